"""Lease expiry on workers' clocks, and limits on the age of streams' state."""

from gentianlead.leases._freshness import Freshness
from gentianlead.leases._freshness import FreshnessLimits
from gentianlead.leases._worker_clock import DRIFT_LIMIT
from gentianlead.leases._worker_clock import EXPIRY_MARGIN
from gentianlead.leases._worker_clock import WorkerClockEstimate
from gentianlead.leases._worker_clock import compute_expiry_bound

__all__ = [
    "DRIFT_LIMIT",
    "Freshness",
    "EXPIRY_MARGIN",
    "FreshnessLimits",
    "WorkerClockEstimate",
    "compute_expiry_bound",
]
