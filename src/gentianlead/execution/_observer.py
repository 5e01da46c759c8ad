"""Interface through which events of held runs and workers are reported."""

from gentianlead import errors
from gentianlead import model
from gentianlead import ports


class ExecutionObserver:
    """Receives events of held runs and their workers, for logs and metrics.

    The methods of this class do nothing.
    """

    def on_run_started(self, run_key: ports.RunKey, worker: str) -> None:
        """Handles the worker's confirmation of a start order."""

    def on_run_end_recorded(self, run_key: ports.RunKey, worker: str,
                            end_reason: model.ReleaseReason | None) -> None:
        """Handles the end of a run, once the log has accepted the end record.

        Args:
            run_key: Identity of the run.
            worker: Name of the worker for which the run was claimed.
            end_reason: Why the run ended; None if it completed its task.
        """

    def on_worker_unreachable(self, worker: str,
                              error: errors.WorkerError) -> None:
        """Handles the first failed call to a worker that was reachable."""

    def on_worker_reachable(self, worker: str) -> None:
        """Handles the first successful call to an unreachable worker.

        A successful `WorkerSession.forget` does not count.
        """

    def on_usage_reported(self, worker: str, reply: ports.WorkerReply,
                          usage_reports: list[ports.UsageReport]) -> None:
        """Handles reports of the resources that the runs on a worker used.

        Args:
            worker: Name of the worker.
            reply: Reply that came with the reports. It contains the current
                time on the worker's clock, to which their times refer.
            usage_reports: Newest usage report of each run on the worker.
        """
