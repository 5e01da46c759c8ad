"""Messages between daemons.

New fields are only ever added at the end of a message, with a default: a daemon
of an older version ignores the fields that it does not know, and a newer one
uses the defaults of those that are missing. Daemons of different versions can
therefore run together during an upgrade. Any other change needs a new protocol
version.
"""

from typing import NamedTuple, Union

from gentianlead import errors
from gentianlead import ports

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """First message that each side sends on a connection.

    Attributes:
        name: Name of the daemon with the identifier of its current instance,
            such as `entry-1#ab`.
        domain: Failure domain of the daemon.
        versions: Protocol versions that the daemon understands.
    """

    name: str
    domain: str
    versions: tuple[int, ...] = (PROTOCOL_VERSION,)


class Heartbeat(NamedTuple):
    """Message without content, sent regularly to show that the sender runs."""


class ForwardRequest(NamedTuple):
    """Asks the receiver to send a caller's request to a target in its domain.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path and query of the URL.
        headers: End-to-end HTTP headers of the caller, as pairs of name and
            value.
        body: Complete body of the caller's request.
        deadline_ms: Milliseconds from the sending of this message to the
            deadline of the request.
        is_idempotent: Whether the request may run more than once.
        request_class: `interactive` or `bulk`.
        trace: Trace context in the form of HTTP headers, such as
            `traceparent`.
    """

    # All instances share the default dictionary; no code modifies it.
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
    """Reply that reports an error instead of a result.

    With correlation id 0 it refuses the whole connection.

    Attributes:
        code: Value of an `errors.ErrorCode`. It is a plain string, because a
            newer daemon may send a code that this one does not know.
        message: Text that explains the error.
        verdict: Whether the request may have run.
    """

    code: str
    message: str
    verdict: errors.Verdict


class ReplyPart(NamedTuple):
    """One part of an encoded reply that exceeds the limit of a frame.

    Attributes:
        index: Index of the part, from 0; the parts of a reply are sent in
            order.
        count: Number of parts of the reply.
        data: Bytes of the encoded reply that belong to this part.
    """

    index: int
    count: int
    data: bytes


class Cancel(NamedTuple):
    """Asks the receiver to cancel the request with the same correlation id."""


class LoanRequest(NamedTuple):
    """Asks the receiver to lend request slots of a target from its own share.

    A slot permits one request to be in progress at the target.

    Attributes:
        target: Name of the target.
        slots: Number of slots to borrow.
        length_ms: Requested length of the loan in milliseconds.
    """

    target: str
    slots: int
    length_ms: int


class LoanGrant(NamedTuple):
    """Reply to `LoanRequest`.

    Attributes:
        loan_id: Identifier that the lender uses for this loan only.
        slots: Number of slots lent; 0 if the lender has none to lend.
        length_ms: Length of the loan in milliseconds. The lender measures it
            from when it sends the grant, the borrower from before it sent the
            request.
    """

    loan_id: str
    slots: int
    length_ms: int


class LoanReturn(NamedTuple):
    """Returns the slots of a loan before the loan ends.

    If the message is lost, the lender gets the slots back when the loan ends.

    Attributes:
        loan_id: Identifier from the `LoanGrant`.
    """

    loan_id: str


class StatusQuery(NamedTuple):
    """Asks for one section of the receiver's status.

    Attributes:
        subject: Name of the section, such as `load`.
        arguments: Arguments of the query, by name.
    """

    # All instances share the default dictionary; no code modifies it.
    # pylint: disable=dangerous-default-value
    subject: str
    arguments: dict[str, str] = {}


class StatusReply(NamedTuple):
    """Reply to `StatusQuery`.

    Attributes:
        value: The section of the status, made of JSON types.
    """

    value: object


class GroupCall(NamedTuple):
    """Calls a function of the receiver for jobs or a group of workers.

    Attributes:
        subject: Name of the function.
        payload: Arguments, encoded like the records of the job topic.
    """

    subject: str
    payload: bytes


class GroupCallReply(NamedTuple):
    """Reply to `GroupCall`.

    Attributes:
        payload: Result, encoded like the records of the job topic.
    """

    payload: bytes


Request = Union[ForwardRequest, LoanRequest, StatusQuery, GroupCall]
Reply = Union[ports.HttpResponse, Refusal, LoanGrant, StatusReply,
              GroupCallReply]
Message = Union[Hello, Heartbeat, Request, Reply, ReplyPart, Cancel, LoanReturn]

MESSAGE_TYPES_BY_KIND_NUMBER: dict[int, type] = {
    1: Hello,
    2: Heartbeat,
    3: ForwardRequest,
    4: ports.HttpResponse,
    5: Refusal,
    6: ReplyPart,
    7: Cancel,
    8: LoanRequest,
    9: LoanGrant,
    10: LoanReturn,
    11: StatusQuery,
    12: StatusReply,
    13: GroupCall,
    14: GroupCallReply,
}

REPLY_TYPES: dict[type, type] = {
    ForwardRequest: ports.HttpResponse,
    LoanRequest: LoanGrant,
    StatusQuery: StatusReply,
    GroupCall: GroupCallReply,
}
"""Type of the reply to each type of request, apart from `Refusal`."""


def build_refusal(error: errors.RequestError) -> Refusal:
    """Returns the message that reports an error to a peer."""
    return Refusal(error.code.value, str(error), error.verdict)


def build_request_error(refusal: Refusal) -> errors.RequestError:
    """Returns the error that a refusal from a peer reports."""
    try:
        code = errors.ErrorCode(refusal.code)
    except ValueError:
        code = errors.ErrorCode.PEER_FAILED
    return errors.RequestError(code, refusal.message, refusal.verdict)
