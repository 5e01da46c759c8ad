"""Decisions on requests: targets, slots, queues, retries, hedges, spilling.

The package does no I/O. `RequestRouter` combines its parts; see its docstring
for the way in which an I/O layer drives it.
"""

from gentianlead.routing._ejection import EjectionSettings
from gentianlead.routing._messages import AttemptKind
from gentianlead.routing._messages import Done
from gentianlead.routing._messages import Fail
from gentianlead.routing._messages import Outcome
from gentianlead.routing._messages import PeerDestination
from gentianlead.routing._messages import Request
from gentianlead.routing._messages import RequestClass
from gentianlead.routing._messages import StartAttempt
from gentianlead.routing._messages import Step
from gentianlead.routing._messages import TargetDestination
from gentianlead.routing._messages import Wait
from gentianlead.routing._policies import Candidate
from gentianlead.routing._policies import LatencyPolicy
from gentianlead.routing._policies import LeastLoadedPolicy
from gentianlead.routing._policies import RandomPolicy
from gentianlead.routing._policies import RoundRobinPolicy
from gentianlead.routing._policies import TargetPolicy
from gentianlead.routing._policies import TwoChoicesPolicy
from gentianlead.routing._router import RequestRouter
from gentianlead.routing._router import RouterCounts
from gentianlead.routing._settings import RouterSettings
from gentianlead.routing._settings import make_baseline_settings
from gentianlead.routing._shares import LoanRequest
from gentianlead.routing._shares import LoanGrant
from gentianlead.routing._shares import LoanReturn
from gentianlead.routing._shares import LoanTerms
from gentianlead.routing._shares import SlotShares
from gentianlead.routing._shares import SlotTicket
from gentianlead.routing._shares import compute_base_share
from gentianlead.routing._spill import PeerView
from gentianlead.routing._spill import SpillPolicy
from gentianlead.routing._spill import SpillSettings
from gentianlead.routing._targets import TargetSpec

__all__ = [
    "AttemptKind",
    "Candidate",
    "Done",
    "EjectionSettings",
    "Fail",
    "LatencyPolicy",
    "LeastLoadedPolicy",
    "LoanRequest",
    "LoanGrant",
    "LoanReturn",
    "LoanTerms",
    "Outcome",
    "PeerDestination",
    "PeerView",
    "RandomPolicy",
    "Request",
    "RequestClass",
    "RequestRouter",
    "RoundRobinPolicy",
    "RouterCounts",
    "RouterSettings",
    "SlotShares",
    "SlotTicket",
    "SpillPolicy",
    "SpillSettings",
    "StartAttempt",
    "Step",
    "TargetDestination",
    "TargetPolicy",
    "TargetSpec",
    "TwoChoicesPolicy",
    "Wait",
    "compute_base_share",
    "make_baseline_settings",
]
