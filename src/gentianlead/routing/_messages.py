"""Requests and attempt outcomes for the router, and the steps it returns."""

import datetime
import enum
from typing import NamedTuple

from gentianlead import errors

DEFAULT_ATTEMPT_TIMEOUT = datetime.timedelta(seconds=5)


class RequestClass(enum.Enum):
    """Priority class of a request.

    Queued interactive requests start before queued bulk requests.
    """

    INTERACTIVE = "interactive"
    BULK = "bulk"


class AttemptKind(enum.Enum):
    """Reason why an attempt of a request is started.

    A retry follows a failed attempt. A hedge is an additional attempt that is
    started while an attempt in flight takes long.
    """

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Request(NamedTuple):
    """A caller's request as the router sees it, without its content.

    Attributes:
        request_id: Identifier of the request, unique among the requests that
            the router has admitted and that have not ended.
        service: Name of the service.
        deadline: Monotonic seconds by which the caller needs the response.
        attempt_timeout: Longest wait for the response to one attempt at a
            target; the deadline may shorten it.
        request_class: Priority class.
        is_idempotent: Whether it may safely run more than once.
        is_forwarded: Whether a peer forwarded it to this daemon; if so, it is
            not forwarded again.
        targets: Names of the targets that may serve it; None if all may.
    """

    request_id: str
    service: str
    deadline: float
    attempt_timeout: datetime.timedelta = DEFAULT_ATTEMPT_TIMEOUT
    request_class: RequestClass = RequestClass.INTERACTIVE
    is_idempotent: bool = False
    is_forwarded: bool = False
    targets: frozenset[str] | None = None


class AttemptOutcome(NamedTuple):
    """How an attempt at a target or peer ended.

    Attributes:
        verdict: Whether a target ran the attempt, did not run it, or may have
            run it.
        is_success: Whether the target responded without a server error. A
            response with a server error has the verdict `RAN`, but is no
            success.
        code: Error code if there was no response, else None. `OVERLOADED` and
            `TARGET_TIMEOUT` count as overload signals.
        is_aborted: Whether this daemon itself closed the connection of the
            attempt before a response, so that the outcome says nothing about
            the target.
    """

    verdict: errors.Verdict
    is_success: bool
    code: errors.ErrorCode | None = None
    is_aborted: bool = False


class TargetDestination(NamedTuple):
    """Destination of an attempt: the name of a target of the own domain."""

    target: str


class PeerDestination(NamedTuple):
    """Destination of an attempt: the address of a peer in another domain."""

    peer: str


class StartAttempt(NamedTuple):
    """Instructs the I/O layer to send an attempt now.

    Attributes:
        request_id: Identifier of the request.
        attempt_id: Identifier of the attempt, for `RequestRouter.report`.
        kind: Whether it is the first attempt, a retry or a hedge.
        destination: Target or peer to send it to.
        timeout: Longest time from the start of the attempt to the end of its
            response. It is also sent with the attempt as its deadline.
    """

    request_id: str
    attempt_id: int
    kind: AttemptKind
    destination: TargetDestination | PeerDestination
    timeout: datetime.timedelta


class Wait(NamedTuple):
    """Instructs the I/O layer to wait for the next step of the request.

    `RequestRouter.poll` returns that step, or `RequestRouter.report` does when
    another attempt of the request is in flight.

    Attributes:
        request_id: Identifier of the request.
        next_step_by: Monotonic seconds at which the next step is due at the
            latest.
    """

    request_id: str
    next_step_by: float


class ReturnResponse(NamedTuple):
    """Instructs the I/O layer to pass an attempt's response to the caller.

    Attributes:
        request_id: Identifier of the request.
        attempt_id: Identifier of the attempt whose response is passed on.
        abandoned_attempt_ids: Identifiers of the other attempts of the request
            that are in flight; the I/O layer must drop their responses.
    """

    request_id: str
    attempt_id: int
    abandoned_attempt_ids: tuple[int, ...] = ()


class ReturnError(NamedTuple):
    """Instructs the I/O layer to send the caller an error.

    Attributes:
        request_id: Identifier of the request.
        code: Error code for the caller.
        verdict: `MAY_HAVE_RUN` if any attempt of the request may have run at a
            target, else `DID_NOT_RUN`.
        message: Explanation of the error for people, in English.
    """

    request_id: str
    code: errors.ErrorCode
    verdict: errors.Verdict
    message: str


RoutingStep = StartAttempt | Wait | ReturnResponse | ReturnError
