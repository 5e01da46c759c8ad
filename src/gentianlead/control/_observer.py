"""Interface through which the control loop reports events."""

import datetime

from gentianlead import model
from gentianlead import scheduling


class ControlObserver:
    """Receives events of the control loop, for logs and metrics.

    The methods of this class do nothing.
    """

    def on_preferred_changed(self, is_preferred: bool) -> None:
        """Handles a change of whether this daemon is the preferred scheduler.

        Args:
            is_preferred: Whether it is the preferred scheduler now.
        """

    def on_claim_decided(self, planned_start: scheduling.PlannedStart,
                         is_accepted: bool, rejection_reason: str) -> None:
        """Handles the verdict on the claim of a planned start.

        It is not called if the log is unavailable and gives no verdict.

        Args:
            planned_start: The planned start.
            is_accepted: Whether the claim was accepted.
            rejection_reason: Why the claim was rejected; empty if it was
                accepted.
        """

    def on_eviction(self, eviction: scheduling.Eviction) -> None:
        """Handles an order to throttle, move or stop a held run.

        It is called before the order is carried out.
        """

    def on_run_taken_over(self, job_id: str, task: int,
                          old_holder: str) -> None:
        """Handles that this daemon took over a run whose holder is not live.

        Args:
            job_id: Job of the run.
            task: Index of the task.
            old_holder: Incarnation of the daemon that held the run before.
        """

    def on_snapshot_written(self, stream: str, through_offset: int,
                            n_parts: int, size: int) -> None:
        """Handles a snapshot that was written to its stream.

        Args:
            stream: Name of the stream.
            through_offset: Offset of the last record that it covers.
            n_parts: Number of records into which the snapshot is split.
            size: Total size of the snapshot data in these records, in bytes.
        """

    def on_snapshot_overdue(self, stream: str, age: datetime.timedelta) -> None:
        """Handles that no snapshot was written although one was long due.

        It is called once until a snapshot is no longer overdue.

        Args:
            stream: Name of the stream.
            age: Upper bound of the age of the newest snapshot. If the age is
                unknown, the time since this daemon found it unknown and a
                quarter of the retention.
        """

    def on_job_ended(self, job_id: str, outcome: str) -> None:
        """Handles the end of a job, after the `config` stream accepted it.

        Args:
            job_id: Identifier of the job.
            outcome: Value of the `JobOutcome` with which the job ended.
        """

    def on_job_given_up(self, job_id: str, reason: str) -> None:
        """Handles the closing of a job of which a task was given up.

        Args:
            job_id: Identifier of the job.
            reason: Result of `model.explain_given_up_tasks`.
        """

    def on_job_moved(self, job_id: str, domain: str) -> None:
        """Handles a new assignment of a job that was closed here as `moved`.

        Args:
            job_id: Identifier of the job.
            domain: Name of the failure domain to which the job is now assigned;
                this domain itself if no other one is in service.
        """

    def on_domain_in_service_changed(self, domain: model.Domain) -> None:
        """Handles a domain that was taken out of service or brought back."""

    def on_error(self, error: BaseException) -> None:
        """Handles an error that ended a round or a background coroutine.

        Args:
            error: A `GentianleadError` of a round, or any exception that a
                background coroutine did not handle.
        """
