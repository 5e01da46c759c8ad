"""Interface through which the HTTP server of callers submits and reads jobs."""

import abc
import datetime
import enum
from typing import NamedTuple

from gentianlead import model


class SubmitOutcome(enum.Enum):
    """Outcome of a submission or a cancellation.

    Attributes:
        ACCEPTED: The request is stored and takes effect.
        REFUSED: The request certainly has no effect.
        UNKNOWN: The request may or may not take effect.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class SubmitReply(NamedTuple):
    """Reply to a submission or a cancellation.

    Attributes:
        outcome: Outcome of the request. A submission is `REFUSED` only if
            the job certainly never runs.
        reason: Explanation if the outcome is `REFUSED` or `UNKNOWN`.
        retry_after: Time that the caller should wait before it retries a
            refused request.
    """

    outcome: SubmitOutcome
    reason: str = ""
    retry_after: datetime.timedelta = datetime.timedelta(0)


class JobLookup(NamedTuple):
    """Result of looking up the state of a job.

    Attributes:
        state: State of the job, or None if no state was found.
        is_certain: Whether the result is final. If `state` is None, True means
            that the job does not exist, and False that it may exist.
    """

    state: model.JobState | None
    is_certain: bool


class JobService(abc.ABC):
    """Accepts and cancels jobs and returns their states."""

    @abc.abstractmethod
    def get_configuration(self) -> model.FleetConfiguration | None:
        """Returns the current configuration, or None if none was read yet."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Returns whether this daemon can serve requests of callers."""

    @abc.abstractmethod
    async def submit(self, job: model.SteppedJob,
                     deadline: datetime.timedelta) -> SubmitReply:
        """Chooses worker groups for a job and stores it, or refuses the job.

        Args:
            job: The job, without an assignment to groups.
            deadline: Time left for the request.
        """

    @abc.abstractmethod
    async def cancel(self, job_id: str,
                     deadline: datetime.timedelta) -> SubmitReply | None:
        """Cancels a job.

        Returns:
            The reply, or None if the job certainly does not exist.
        """

    @abc.abstractmethod
    async def find_state(self, job_id: str,
                         deadline: datetime.timedelta) -> JobLookup:
        """Looks up the state of a job, at other daemons if necessary."""

    @abc.abstractmethod
    def count_pending(self, queue: model.Queue) -> int | None:
        """Returns the number of accepted jobs of a queue that wait to start.

        None if the jobs are not known yet.
        """

    @abc.abstractmethod
    def get_unix_time_ms(self) -> int:
        """Returns the wall-clock time in milliseconds since 1970."""
