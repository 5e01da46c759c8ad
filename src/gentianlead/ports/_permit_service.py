"""Service that tells which workers may run a step."""

import abc
import datetime
from typing import NamedTuple, Sequence


class PermitReply(NamedTuple):
    """Permits for one step.

    Attributes:
        permits: Permit by worker; workers that are missing may not run it.
        valid_for: How long the permits hold from the answer on.
    """

    permits: dict[str, str]
    valid_for: datetime.timedelta


class PermitError(Exception):
    """The service gave no usable answer."""


class PermitService(abc.ABC):
    """The advisory service of the site."""

    @abc.abstractmethod
    async def request_permits(self, job_id: str, occurrence: int, step: int,
                              workers: Sequence[str],
                              timeout: datetime.timedelta) -> PermitReply:
        """Asks which of some workers may run a step.

        Args:
            job_id: The job.
            occurrence: Number of the repetition.
            step: Index of the step.
            workers: Identifiers of the workers, at most `MAX_WORKERS`.
            timeout: Longest wait for the answer.

        Raises:
            PermitError: No usable answer.
        """


MAX_WORKERS = 100
"""Most workers in one request; the platform's bound."""
