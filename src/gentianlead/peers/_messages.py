"""Messages between daemons.

Messages are only ever extended at the end, with a default for each new field:
a daemon of an older version ignores the fields that it does not know, and a
newer one fills in those that are missing. Mixed versions can so run together
during an upgrade. A change of any other kind needs a new protocol version.
"""

from typing import NamedTuple, Union

from gentianlead import errors
from gentianlead import ports

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """First message of both sides of a connection.

    Attributes:
        name: Incarnation identity of the daemon.
        domain: Failure domain of the daemon.
        versions: Protocol versions that the daemon understands.
    """

    name: str
    domain: str
    versions: tuple[int, ...] = (PROTOCOL_VERSION,)


class Heartbeat(NamedTuple):
    """Shows that the sender is alive."""


class ForwardRequest(NamedTuple):
    """A caller's request that the receiver sends to a target of its domain.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path and query.
        headers: End-to-end headers of the caller.
        body: Whole body.
        deadline_ms: Time that is left, in milliseconds from the sending.
        is_idempotent: Whether the request may run more than once.
        request_class: `interactive` or `bulk`.
        trace: Trace context as a propagator writes it.
    """

    # The default is shared, and nothing changes it.
    # pylint: disable=dangerous-default-value
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int
    is_idempotent: bool
    request_class: str
    trace: dict[str, str] = {}


class Refusal(NamedTuple):
    """Reply to a request that gave no answer.

    With correlation id 0 it refuses the whole connection.

    Attributes:
        code: Value of an `errors.ErrorCode`. It is a plain string, because a
            newer daemon may send a code that this one does not know.
        message: Explanation.
        verdict: Whether the request may have run.
    """

    code: str
    message: str
    verdict: errors.Verdict


class AnswerPart(NamedTuple):
    """A piece of a reply that exceeds the limit of a frame.

    Attributes:
        index: Position from 0; parts of one reply are sent in order.
        count: Number of parts.
        data: Piece of the frame body of the reply.
    """

    index: int
    count: int
    data: bytes


class Cancel(NamedTuple):
    """Abandons the request of the same correlation id."""


class LoanAsk(NamedTuple):
    """Asks for slots of a target out of the receiver's share.

    Attributes:
        target: Name of the target.
        slots: Number of slots.
        length_ms: How long they are wanted, in milliseconds.
    """

    target: str
    slots: int
    length_ms: int


class LoanGrant(NamedTuple):
    """Reply to `LoanAsk`.

    Attributes:
        loan_id: Identifier that the lender never uses again.
        slots: Number of slots lent; 0 when none can be spared.
        length_ms: Length of the loan in milliseconds. The lender counts it
            from the sending of the grant, the borrower from before it asked.
    """

    loan_id: str
    slots: int
    length_ms: int


class LoanReturn(NamedTuple):
    """Returns a loan early; a lost return only delays the lender.

    Attributes:
        loan_id: Identifier of the grant.
    """

    loan_id: str


class StatusQuery(NamedTuple):
    """Asks for a part of the receiver's status.

    Attributes:
        subject: Name of the part.
        arguments: Arguments by name.
    """

    # The default is shared, and nothing changes it.
    # pylint: disable=dangerous-default-value
    subject: str
    arguments: dict[str, str] = {}


class StatusAnswer(NamedTuple):
    """Reply to `StatusQuery`.

    Attributes:
        value: Value of JSON types.
    """

    value: object


class GroupCall(NamedTuple):
    """Asks the receiver for something that concerns jobs or a group.

    Attributes:
        subject: Name of the call.
        payload: Arguments, in the codec of the job topic.
    """

    subject: str
    payload: bytes


class GroupAnswer(NamedTuple):
    """Reply to `GroupCall`.

    Attributes:
        payload: Result, in the codec of the job topic.
    """

    payload: bytes


Request = Union[ForwardRequest, LoanAsk, StatusQuery, GroupCall]
Reply = Union[ports.HttpResponse, Refusal, LoanGrant, StatusAnswer, GroupAnswer]
Message = Union[Hello, Heartbeat, Request, Reply, AnswerPart, Cancel,
                LoanReturn]

MESSAGE_KINDS: dict[int, type] = {
    1: Hello,
    2: Heartbeat,
    3: ForwardRequest,
    4: ports.HttpResponse,
    5: Refusal,
    6: AnswerPart,
    7: Cancel,
    8: LoanAsk,
    9: LoanGrant,
    10: LoanReturn,
    11: StatusQuery,
    12: StatusAnswer,
    13: GroupCall,
    14: GroupAnswer,
}

REPLY_TYPES: dict[type, type] = {
    ForwardRequest: ports.HttpResponse,
    LoanAsk: LoanGrant,
    StatusQuery: StatusAnswer,
    GroupCall: GroupAnswer,
}
"""The only reply, apart from `Refusal`, that each request can have."""


def build_refusal(error: errors.RequestError) -> Refusal:
    """Returns the message that carries an error to a peer."""
    return Refusal(error.code.value, str(error), error.verdict)


def build_error(refusal: Refusal) -> errors.RequestError:
    """Returns the error that a peer sent."""
    try:
        code = errors.ErrorCode(refusal.code)
    except ValueError:
        code = errors.ErrorCode.PEER_FAILED
    return errors.RequestError(code, refusal.message, refusal.verdict)
