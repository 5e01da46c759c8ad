"""Requests, attempt outcomes and steps exchanged with the I/O layer."""

import datetime
import enum
from typing import NamedTuple

from gentianlead import errors

DEFAULT_ATTEMPT_TIMEOUT = datetime.timedelta(seconds=5)


class RequestClass(enum.Enum):
    """Priority class of a request; interactive goes before bulk."""

    INTERACTIVE = "interactive"
    BULK = "bulk"


class AttemptKind(enum.Enum):
    """Reason why an attempt is sent.

    A hedge is a second attempt that is sent while the first one takes long.
    """

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Request(NamedTuple):
    """A caller's request as the router sees it, without its content.

    Attributes:
        request_id: Identifier that no other active request of the router has.
        service: Name of the service.
        deadline: Monotonic seconds by which the caller needs the response.
        attempt_timeout: Longest wait for the response to one attempt.
        request_class: Priority class.
        is_idempotent: Whether it may safely run more than once.
        is_forwarded: Whether a peer forwarded it to this daemon; if so, it is
            not forwarded again.
        targets: Names of the targets that may serve it; None for all.
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
    """How an attempt ended.

    Attributes:
        verdict: Whether the target ran the attempt, did not, or may have.
        is_success: Whether the target responded without a server error. A
            response with a server error has the verdict `RAN`, but is no
            success.
        code: Error code of the failure; None for a response. `OVERLOADED` and
            `TARGET_TIMEOUT` are signals of overload.
        is_aborted: Whether this daemon closed the connection of the attempt
            itself, so that the outcome says nothing about the target.
    """

    verdict: errors.Verdict
    is_success: bool
    code: errors.ErrorCode | None = None
    is_aborted: bool = False


class TargetDestination(NamedTuple):
    """Destination of an attempt: a target of the daemon's own domain."""

    target: str


class PeerDestination(NamedTuple):
    """Destination of an attempt: a peer daemon in another domain."""

    peer: str


class StartAttempt(NamedTuple):
    """Instructs the I/O layer to send an attempt now.

    Attributes:
        request_id: Identifier of the request.
        attempt_id: Identifier of the attempt, for `RequestRouter.report`.
        kind: Reason for the attempt.
        destination: Target or peer to send it to.
        timeout: Longest wait for the whole response. It is also sent with the
            attempt as its deadline.
    """

    request_id: str
    attempt_id: int
    kind: AttemptKind
    destination: TargetDestination | PeerDestination
    timeout: datetime.timedelta


class Wait(NamedTuple):
    """Instructs the I/O layer to wait; a later poll returns the next step.

    Attributes:
        request_id: Identifier of the request.
        next_step_by: Monotonic seconds by which `RequestRouter.poll` returns
            the next step at the latest.
    """

    request_id: str
    next_step_by: float


class ReturnResponse(NamedTuple):
    """Instructs the I/O layer to pass an attempt's response to the caller.

    Attributes:
        request_id: Identifier of the request.
        attempt_id: Identifier of the attempt whose response is passed on.
        abandoned_attempt_ids: Identifiers of the other attempts in flight, whose
            responses must be dropped.
    """

    request_id: str
    attempt_id: int
    abandoned_attempt_ids: tuple[int, ...] = ()


class ReturnError(NamedTuple):
    """Instructs the I/O layer to send the caller an error.

    Attributes:
        request_id: Identifier of the request.
        code: Error code for the caller.
        verdict: Whether any attempt of the request ran or may have run.
        message: Explanation for people.
    """

    request_id: str
    code: errors.ErrorCode
    verdict: errors.Verdict
    message: str


RoutingStep = StartAttempt | Wait | ReturnResponse | ReturnError
