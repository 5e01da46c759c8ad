"""Scheduling decisions for one failure domain.

The package decides where tasks run, how teams share capacity under their
quotas, which runs are evicted, and how batch work is colocated with services.
It does no I/O. Clock readings are monotonic seconds, which the caller supplies.

A `state.DomainStateMachine` holds the replicated state of the domain: it
applies the records of the domain's stream one by one. The classes of this
package observe its changes.
"""

from gentianlead.scheduling._baseline import BaselineScheduler
from gentianlead.scheduling._colocation import ColocationPolicy
from gentianlead.scheduling._colocation import ColocationSettings
from gentianlead.scheduling._colocation import EvictOnSlowdownPolicy
from gentianlead.scheduling._colocation import ThrottleThenMovePolicy
from gentianlead.scheduling._colocation import TAIL_LATENCY_FIRST
from gentianlead.scheduling._colocation import THROUGHPUT_FIRST
from gentianlead.scheduling._decisions import Eviction
from gentianlead.scheduling._decisions import EvictionAction
from gentianlead.scheduling._decisions import EvictionReason
from gentianlead.scheduling._decisions import PlannedStart
from gentianlead.scheduling._decisions import WaitCode
from gentianlead.scheduling._decisions import WaitReason
from gentianlead.scheduling._domain_choice import choose_domain
from gentianlead.scheduling._domain_choice import DomainLoad
from gentianlead.scheduling._domain_choice import JobMove
from gentianlead.scheduling._domain_choice import plan_moves
from gentianlead.scheduling._placement import FirstFitPolicy
from gentianlead.scheduling._placement import PackAndSpreadPolicy
from gentianlead.scheduling._placement import PlacementPolicy
from gentianlead.scheduling._placement import PlacementRequest
from gentianlead.scheduling._placement import RandomPolicy
from gentianlead.scheduling._quarantine import FailingJob
from gentianlead.scheduling._scheduler import DomainScheduler
from gentianlead.scheduling._worker_index import WorkerIndex

__all__ = [
    "BaselineScheduler",
    "ColocationPolicy",
    "ColocationSettings",
    "DomainLoad",
    "DomainScheduler",
    "Eviction",
    "EvictionAction",
    "EvictionReason",
    "EvictOnSlowdownPolicy",
    "FailingJob",
    "FirstFitPolicy",
    "JobMove",
    "PackAndSpreadPolicy",
    "PlacementPolicy",
    "PlacementRequest",
    "RandomPolicy",
    "PlannedStart",
    "ThrottleThenMovePolicy",
    "TAIL_LATENCY_FIRST",
    "THROUGHPUT_FIRST",
    "WaitCode",
    "WaitReason",
    "WorkerIndex",
    "choose_domain",
    "plan_moves",
]
