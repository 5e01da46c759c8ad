"""Interface through which the control loop reports events."""

from gentianlead import model
from gentianlead import scheduling


class ControlObserver:
    """Receives events of the control loop, for logs and metrics.

    The methods of this class do nothing.
    """

    def on_preferred_changed(self, is_preferred: bool) -> None:
        """Handles the start or end of the preferred scheduler role here."""

    def on_claim_decided(self, start: scheduling.PlannedStart,
                         is_accepted: bool, reason: str) -> None:
        """Handles the verdict on the claim of a planned start.

        Args:
            start: The planned start.
            is_accepted: Whether the claim was accepted.
            reason: Why the claim was rejected; empty if it was accepted.
        """

    def on_eviction(self, eviction: scheduling.Eviction) -> None:
        """Handles a run that is to be throttled, moved or stopped."""

    def on_run_taken_over(self, job_id: str, task: int,
                          old_holder: str) -> None:
        """Handles that this daemon became the holder of another's run.

        Args:
            job_id: Job of the run.
            task: Index of the task.
            old_holder: Incarnation of the daemon that held the run before.
        """

    def on_snapshot_written(self, stream: str, parts: int, size: int) -> None:
        """Handles a snapshot that was written to its stream.

        Args:
            stream: Name of the stream.
            parts: Number of records that the snapshot consists of.
            size: Total size of these records in bytes.
        """

    def on_job_ended(self, job_id: str, outcome: str) -> None:
        """Handles the end of a job, after it was recorded."""

    def on_job_moved(self, job_id: str, domain: str) -> None:
        """Handles the assignment of a job to another failure domain."""

    def on_domain_changed(self, domain: model.Domain) -> None:
        """Handles a domain that was taken out of service or brought back."""

    def on_error(self, error: BaseException) -> None:
        """Handles an unexpected error in the loop or a background coroutine."""
