"""Interface to the advisory service, which permits workers to run a step."""

import abc
import datetime
from typing import NamedTuple, Sequence


class PermitReply(NamedTuple):
    """Permits that the service grants for one step.

    Attributes:
        permits: Permit by identifier of the worker; a worker without an entry
            may not run the step.
        valid_for: Time for which the permits are valid after the reply.
    """

    permits: dict[str, str]
    valid_for: datetime.timedelta


class PermitError(Exception):
    """The advisory service gave no usable reply."""


class PermitService(abc.ABC):
    """Requests start permits from the advisory service."""

    @abc.abstractmethod
    async def request_permits(self, job_id: str, occurrence: int, step: int,
                              workers: Sequence[str],
                              timeout: datetime.timedelta) -> PermitReply:
        """Requests permits for workers to run a step.

        Args:
            job_id: Identifier of the job.
            occurrence: Number of the job's occurrence, from 0.
            step: Index of the step.
            workers: Identifiers of the workers, at most `MAX_WORKERS`.
            timeout: Time after which the call fails.

        Raises:
            PermitError: The call failed or the reply is not usable.
        """


MAX_WORKERS = 100
"""Maximum number of workers in one request; the platform sets this limit."""
