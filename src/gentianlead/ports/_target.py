"""Interface to targets, the HTTP endpoints of services on workers."""

import abc
import datetime
from typing import Mapping, NamedTuple

from gentianlead import errors


class TargetRequest(NamedTuple):
    """One attempt to send a request to a target.

    Attributes:
        method: HTTP method of the request.
        path: Path and query string of the request.
        headers: End-to-end headers that the caller sent.
        body: Complete body of the request.
        request_id: Identifier of this attempt; no other attempt has it.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str


class HttpResponse(NamedTuple):
    """An HTTP response, received completely.

    Attributes:
        status: HTTP status code.
        headers: Names and values of the end-to-end headers.
        body: Complete body of the response.
        verdict: `RAN`, unless the response states that the request was refused.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    verdict: errors.Verdict = errors.Verdict.RAN


class TargetClient(abc.ABC):
    """Sends requests to targets, each exactly once and without retries."""

    @abc.abstractmethod
    async def send(self, address: str, request: TargetRequest,
                   timeout: datetime.timedelta) -> HttpResponse:
        """Sends a request and waits for the complete response.

        Raises:
            RequestError: The attempt failed; the verdict says whether the
                request may have run.
        """
