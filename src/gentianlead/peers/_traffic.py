"""Counts of the messages and timed checks of peer connections."""

from gentianlead import ports
from gentianlead.peers import _messages

HEARTBEAT = "heartbeat"
REPORT = "report"
CALL = "call"
REPLY = "reply"
OTHER = "other"
MESSAGE_KINDS = (HEARTBEAT, REPORT, CALL, REPLY, OTHER)

_KINDS_BY_TYPE: dict[type, str] = {
    _messages.Heartbeat: HEARTBEAT,
    _messages.ForwardRequest: CALL,
    _messages.LoanRequest: CALL,
    _messages.StatusQuery: CALL,
    _messages.GroupCall: CALL,
    ports.HttpResponse: REPLY,
    _messages.Refusal: REPLY,
    _messages.ReplyPart: REPLY,
    _messages.LoanGrant: REPLY,
    _messages.StatusReply: REPLY,
    _messages.GroupCallReply: REPLY,
}


class LinkTraffic:
    """Counts what the peer connections of a process send, receive and check.

    All connections of a daemon share one object.

    Args:
        report_subject: Subject of the calls that count as `REPORT` instead of
            `CALL`; empty for none.

    Attributes:
        sent: Number of messages sent, by kind. Each part of a reply that is
            sent in parts counts.
        received: Number of messages received, by kind.
        sent_bytes: Number of bytes handed to the connections for sending.
        received_bytes: Number of bytes received.
        liveness_checks: Number of timed checks of connections.
    """

    def __init__(self, report_subject: str = ""):
        self.sent = dict.fromkeys(MESSAGE_KINDS, 0)
        self.received = dict.fromkeys(MESSAGE_KINDS, 0)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.liveness_checks = 0
        self._report_subject = report_subject

    def count_sent(self, message: _messages.Message, count: int = 1) -> None:
        """Counts a message that is sent in `count` frames."""
        self.sent[self._get_kind(message)] += count

    def count_received(self, message: _messages.Message) -> None:
        """Counts a received message."""
        self.received[self._get_kind(message)] += 1

    def _get_kind(self, message: _messages.Message) -> str:
        kind = _KINDS_BY_TYPE.get(type(message), OTHER)
        if (kind is CALL and self._report_subject and
                getattr(message, "subject", None) == self._report_subject):
            return REPORT
        return kind
