"""Requests of callers, and traces of their attempts."""

import datetime
from typing import Mapping, NamedTuple

from gentianlead import errors
from gentianlead import routing


class CallerRequest(NamedTuple):
    """A request from a caller or, if forwarded, from a peer.

    Attributes:
        request_id: Identifier that the caller gave to the request, for logs and
            traces; need not be unique. A generated one if there was none.
        service: Name of the service that the request is for.
        method: HTTP method.
        path: URL path and query string that are sent to the target.
        headers: HTTP headers that are passed on to the target.
        body: Complete body of the request.
        timeout: Time left until the caller's deadline.
        is_idempotent: Whether it may safely run more than once.
        idempotency_key: Key from the caller; empty if there is none. If several
            requests to a service have the same key and are not idempotent, at
            most one of them runs.
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
        """Whether it has an idempotency key and is not idempotent.

        The key must be claimed before the request is sent.
        """
        return bool(self.idempotency_key) and not self.is_idempotent


class AttemptTrace(NamedTuple):
    """One attempt of a request, as the command `explain` shows it.

    Attributes:
        kind: Whether it was the first attempt, a retry or a hedge.
        destination: Name of the target, or `peer` and the address of the peer.
        verdict: Whether a target ran the attempt, did not run it, or may have
            run it.
        elapsed: Time from the start to the end of the attempt.
        outcome: Text with the HTTP status, or with the error code and message.
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
        summary: Text with the HTTP status, or with the error code, verdict and
            message.
        attempts: Attempts that had ended when the request ended, in the order
            of their ends.
    """

    request_id: str
    service: str
    summary: str
    attempts: tuple[AttemptTrace, ...]
