"""Service of callers' job requests, as the servers of callers see it."""

import abc
import datetime
import enum
from typing import NamedTuple

from gentianlead import model


class SubmitOutcome(enum.Enum):
    """What became of a submission."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class SubmitReply(NamedTuple):
    """Reply to a submission or a cancellation.

    Attributes:
        outcome: `REFUSED` only when the job certainly never runs.
        reason: Why it was refused or is unknown.
        retry_after: When the caller may come back.
    """

    outcome: SubmitOutcome
    reason: str = ""
    retry_after: datetime.timedelta = datetime.timedelta(0)


class JobLookup(NamedTuple):
    """What is known of a job.

    Attributes:
        state: Its state, or None when it is not known.
        is_certain: Whether a job that is not known certainly does not exist.
    """

    state: model.JobState | None
    is_certain: bool


class JobService(abc.ABC):
    """Accepts, cancels and reports jobs."""

    @abc.abstractmethod
    def get_configuration(self) -> model.FleetConfiguration | None:
        """Returns the configuration in force, or None before the first."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Returns whether the daemon should get callers."""

    @abc.abstractmethod
    async def submit(self, job: model.SteppedJob,
                     deadline: datetime.timedelta) -> SubmitReply:
        """Accepts a job, or refuses it; its group is chosen here."""

    @abc.abstractmethod
    async def cancel(self, job_id: str,
                     deadline: datetime.timedelta) -> SubmitReply | None:
        """Cancels a job; None when it certainly does not exist."""

    @abc.abstractmethod
    async def find_state(self, job_id: str,
                         deadline: datetime.timedelta) -> JobLookup:
        """Returns the state of a job."""

    @abc.abstractmethod
    def count_pending(self, queue: model.Queue) -> int:
        """Returns the number of accepted jobs that have not begun."""

    @abc.abstractmethod
    def get_unix_time_ms(self) -> int:
        """Returns the time of day in milliseconds since 1970."""
