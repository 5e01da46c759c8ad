"""Connections between daemons that carry msgpack messages.

A daemon accepts connections from peers with `PeerServer`, keeps connections to
peers with `PeerPool`, and serves their requests with a `PeerHandler`.
"""

from gentianlead.peers._handler import EventCallback
from gentianlead.peers._handler import LinkSettings
from gentianlead.peers._handler import PeerEvent
from gentianlead.peers._handler import PeerEventKind
from gentianlead.peers._handler import PeerHandler
from gentianlead.peers._link import PeerLink
from gentianlead.peers._messages import ForwardRequest
from gentianlead.peers._messages import GroupCallReply
from gentianlead.peers._messages import GroupCall
from gentianlead.peers._messages import Hello
from gentianlead.peers._messages import LoanRequest
from gentianlead.peers._messages import LoanGrant
from gentianlead.peers._messages import LoanReturn
from gentianlead.peers._messages import PROTOCOL_VERSION
from gentianlead.peers._messages import StatusReply
from gentianlead.peers._messages import StatusQuery
from gentianlead.peers._pool import PeerPool
from gentianlead.peers._server import PeerServer
from gentianlead.peers._traffic import LinkTraffic

__all__ = [
    "EventCallback",
    "ForwardRequest",
    "GroupCallReply",
    "GroupCall",
    "Hello",
    "LinkSettings",
    "LinkTraffic",
    "LoanRequest",
    "LoanGrant",
    "LoanReturn",
    "PROTOCOL_VERSION",
    "PeerEvent",
    "PeerEventKind",
    "PeerHandler",
    "PeerLink",
    "PeerPool",
    "PeerServer",
    "StatusReply",
    "StatusQuery",
]
