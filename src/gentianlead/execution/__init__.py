"""Execution of the runs that a daemon holds, from start to recorded end."""

from gentianlead.execution._held_run import HeldRun
from gentianlead.execution._held_run import RunPhase
from gentianlead.execution._manager import LeaseTimings
from gentianlead.execution._manager import RunManager
from gentianlead.execution._observer import ExecutionObserver
from gentianlead.execution._worker_session import WorkerSession

__all__ = [
    "ExecutionObserver",
    "LeaseTimings",
    "HeldRun",
    "RunPhase",
    "RunManager",
    "WorkerSession",
]
