"""Requests of callers, and traces of how they were served."""

import datetime
from typing import Mapping, NamedTuple

from gentianlead import errors
from gentianlead import routing


class CallerRequest(NamedTuple):
    """A request from a caller or, if forwarded, from a peer.

    Attributes:
        request_id: Correlation identifier of the caller, or a generated one.
        service: Name of the service that the request is for.
        method: HTTP method.
        path: Path and query string for the target.
        headers: End-to-end HTTP headers.
        body: Complete body.
        timeout: Time left until the caller's deadline.
        is_idempotent: Whether it may safely run more than once.
        idempotency_key: Key under which the request may run once; empty if it
            has none.
        request_class: Priority class.
        is_forwarded: Whether a peer forwarded it to this daemon.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout: datetime.timedelta
    is_idempotent: bool
    idempotency_key: str = ""
    request_class: routing.RequestClass = routing.RequestClass.INTERACTIVE
    is_forwarded: bool = False

    @property
    def is_one_time(self) -> bool:
        """Whether it must be recorded in the log before it is sent."""
        return bool(self.idempotency_key) and not self.is_idempotent


class AttemptTrace(NamedTuple):
    """One attempt of a request, as the command `explain` shows it.

    Attributes:
        kind: Reason for the attempt.
        destination: Name of the target, or `peer` and the name of the peer.
        verdict: Whether the target ran the attempt, did not, or may have.
        elapsed: Time from the start to the end of the attempt.
        outcome: HTTP status, or error code and message.
    """

    kind: routing.AttemptKind
    destination: str
    verdict: errors.Verdict
    elapsed: datetime.timedelta
    outcome: str


class RequestTrace(NamedTuple):
    """Outcome and attempts of a request, as the command `explain` shows it.

    Attributes:
        request_id: Identifier of the request.
        service: Name of the service.
        summary: Outcome of the request in one line.
        attempts: Attempts in the order in which they ended.
    """

    request_id: str
    service: str
    summary: str
    attempts: tuple[AttemptTrace, ...]
