"""Serving of callers' requests through targets and peer daemons.

`RequestGateway` does the I/O for the decisions of the package `routing`.
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
