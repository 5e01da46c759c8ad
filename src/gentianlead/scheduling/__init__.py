"""Decisions of a failure domain: placement, quotas, eviction, colocation.

The package is pure decision logic. It does no I/O; clock readings are
monotonic seconds that the caller passes in.
"""

from gentianlead.scheduling._baseline import BaselineScheduler
from gentianlead.scheduling._colocation import ColocationPolicy
from gentianlead.scheduling._colocation import ColocationSettings
from gentianlead.scheduling._colocation import EvictOnSlowdownPolicy
from gentianlead.scheduling._colocation import SteppedPolicy
from gentianlead.scheduling._colocation import TAIL_LATENCY_FIRST
from gentianlead.scheduling._colocation import THROUGHPUT_FIRST
from gentianlead.scheduling._decisions import Eviction
from gentianlead.scheduling._decisions import EvictionAction
from gentianlead.scheduling._decisions import EvictionReason
from gentianlead.scheduling._decisions import PlannedStart
from gentianlead.scheduling._decisions import WaitCode
from gentianlead.scheduling._decisions import WaitReason
from gentianlead.scheduling._domains import choose_domain
from gentianlead.scheduling._domains import DomainLoad
from gentianlead.scheduling._domains import JobMove
from gentianlead.scheduling._domains import plan_moves
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
    "SteppedPolicy",
    "TAIL_LATENCY_FIRST",
    "THROUGHPUT_FIRST",
    "WaitCode",
    "WaitReason",
    "WorkerIndex",
    "choose_domain",
    "plan_moves",
]
