"""Routing of requests: choice of targets, queues, retries and forwarding.

The package does no I/O. An I/O layer, such as the package `gateway`, calls
`RequestRouter` and executes the steps that it returns, for example::

    router = routing.RequestRouter(routing.RouterSettings(seat=0, seats=3),
                                   random_source, clock.monotonic())
    router.update_targets([routing.TargetSpec("worker-1")],
                          clock.monotonic())
    router.update_peers([])         # Statuses of peers.

    def execute(step):
        if isinstance(step, routing.StartAttempt):
            spawn(send(step))       # Later calls on_outcome.
        elif isinstance(step, routing.ReturnResponse):
            respond(step.request_id, responses[step.attempt_id])
        elif isinstance(step, routing.ReturnError):
            refuse(step.request_id, step.code, step.verdict)

    def on_request(request):
        execute(router.admit(request, clock.monotonic()))
        poll()

    def on_outcome(attempt_id, outcome):
        step = router.report(attempt_id, outcome, clock.monotonic())
        if step is not None:
            execute(step)
        poll()

    def poll():                     # Also at get_next_poll_time().
        for step in router.poll(clock.monotonic()):
            execute(step)
"""

from gentianlead.routing._counts import RouterCounts
from gentianlead.routing._ejection import EjectionSettings
from gentianlead.routing._messages import AttemptKind
from gentianlead.routing._messages import ReturnResponse
from gentianlead.routing._messages import ReturnError
from gentianlead.routing._messages import AttemptOutcome
from gentianlead.routing._messages import PeerDestination
from gentianlead.routing._messages import Request
from gentianlead.routing._messages import RequestClass
from gentianlead.routing._messages import StartAttempt
from gentianlead.routing._messages import RoutingStep
from gentianlead.routing._messages import TargetDestination
from gentianlead.routing._messages import Wait
from gentianlead.routing._policies import TargetCandidate
from gentianlead.routing._policies import LatencyPolicy
from gentianlead.routing._policies import LeastLoadedPolicy
from gentianlead.routing._policies import RandomPolicy
from gentianlead.routing._policies import RoundRobinPolicy
from gentianlead.routing._policies import TargetPolicy
from gentianlead.routing._policies import TwoChoicesPolicy
from gentianlead.routing._router import RequestRouter
from gentianlead.routing._settings import RouterSettings
from gentianlead.routing._settings import make_baseline_settings
from gentianlead.routing._slots import LoanRequest
from gentianlead.routing._slots import LoanGrant
from gentianlead.routing._slots import LoanReturn
from gentianlead.routing._slots import LoanDurations
from gentianlead.routing._slots import SlotAllocator
from gentianlead.routing._slots import AcquiredSlot
from gentianlead.routing._slots import compute_seat_share
from gentianlead.routing._forwarding import PeerStatus
from gentianlead.routing._forwarding import ForwardingPolicy
from gentianlead.routing._forwarding import ForwardingSettings
from gentianlead.routing._target_state import TargetSpec

__all__ = [
    "AttemptKind",
    "TargetCandidate",
    "ReturnResponse",
    "EjectionSettings",
    "ReturnError",
    "LatencyPolicy",
    "LeastLoadedPolicy",
    "LoanRequest",
    "LoanGrant",
    "LoanReturn",
    "LoanDurations",
    "AttemptOutcome",
    "PeerDestination",
    "PeerStatus",
    "RandomPolicy",
    "Request",
    "RequestClass",
    "RequestRouter",
    "RoundRobinPolicy",
    "RouterCounts",
    "RouterSettings",
    "SlotAllocator",
    "AcquiredSlot",
    "ForwardingPolicy",
    "ForwardingSettings",
    "StartAttempt",
    "RoutingStep",
    "TargetDestination",
    "TargetPolicy",
    "TargetSpec",
    "TwoChoicesPolicy",
    "Wait",
    "compute_seat_share",
    "make_baseline_settings",
]
