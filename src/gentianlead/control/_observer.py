"""Hooks of the control loop for logs and metrics."""

from gentianlead import model
from gentianlead import scheduling


class ControlObserver:
    """Told of what the control loop does; the default does nothing."""

    def on_preferred_changed(self, is_preferred: bool) -> None:
        """This daemon became, or is no longer, the preferred scheduler."""

    def on_claim(self, start: scheduling.PlannedStart, is_accepted: bool,
                 reason: str) -> None:
        """A claim got its verdict."""

    def on_eviction(self, eviction: scheduling.Eviction) -> None:
        """A run is throttled or evicted."""

    def on_takeover(self, job_id: str, task: int, old_holder: str) -> None:
        """The duty for a run was taken over."""

    def on_snapshot(self, stream: str, parts: int, size: int) -> None:
        """A snapshot was written."""

    def on_job_ended(self, job_id: str, outcome: str) -> None:
        """The end of a job was recorded."""

    def on_job_moved(self, job_id: str, domain: str) -> None:
        """A job was assigned to another failure domain."""

    def on_domain_changed(self, domain: model.Domain) -> None:
        """A failure domain was taken out of service or brought back."""

    def on_error(self, error: BaseException) -> None:
        """A background step failed unexpectedly."""
