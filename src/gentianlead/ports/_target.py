"""Targets: the endpoints of services on workers."""

import abc
import datetime
from typing import Mapping, NamedTuple

from gentianlead import errors


class TargetRequest(NamedTuple):
    """One attempt at a target.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: End-to-end headers of the caller.
        body: Whole body.
        request_id: Identifier of this attempt; never used twice.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str


class HttpResponse(NamedTuple):
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Whole body.
        verdict: `RAN`, unless the target says that it refused.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    verdict: errors.Verdict = errors.Verdict.RAN


class TargetClient(abc.ABC):
    """Sends requests to targets; never retries by itself."""

    @abc.abstractmethod
    async def send(self, address: str, request: TargetRequest,
                   timeout: datetime.timedelta) -> HttpResponse:
        """Sends one attempt and waits for the whole answer.

        Raises:
            RequestError: The attempt failed; the verdict says whether it may
                have run.
        """
