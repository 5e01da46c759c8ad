"""Sending of callers' requests to targets and peer daemons.

`RequestGateway` does the I/O that the request router of the package `routing`
decides on. `PeerDirectory` sends messages to peer daemons, and `PeerService`
handles the messages from them.
"""

from gentianlead.gateway._gateway import RequestGateway
from gentianlead.gateway._messages import AttemptTrace
from gentianlead.gateway._messages import CallerRequest
from gentianlead.gateway._messages import RequestTrace
from gentianlead.gateway._observer import GatewayObserver
from gentianlead.gateway._idempotency_keys import IdempotencyKeyGuard
from gentianlead.gateway._peers import LEAVING_TARGETS_SUBJECT
from gentianlead.gateway._peers import PeerDirectory
from gentianlead.gateway._peers import PeerService
from gentianlead.gateway._trace_store import TraceStore

__all__ = [
    "AttemptTrace",
    "CallerRequest",
    "GatewayObserver",
    "LEAVING_TARGETS_SUBJECT",
    "IdempotencyKeyGuard",
    "PeerDirectory",
    "PeerService",
    "RequestGateway",
    "RequestTrace",
    "TraceStore",
]
