"""Abstract interfaces to everything outside the decision logic."""

from gentianlead.ports._clock import Clock
from gentianlead.ports._job_desk import JobDesk
from gentianlead.ports._job_desk import Lookup
from gentianlead.ports._job_desk import SubmitOutcome
from gentianlead.ports._job_desk import SubmitReply
from gentianlead.ports._leased_worker import EndCause
from gentianlead.ports._leased_worker import EndedTask
from gentianlead.ports._leased_worker import FenceError
from gentianlead.ports._leased_worker import GoneError
from gentianlead.ports._leased_worker import LeasedWorkerClient
from gentianlead.ports._leased_worker import RunningTask
from gentianlead.ports._leased_worker import StartOutcome
from gentianlead.ports._leased_worker import StartReply
from gentianlead.ports._leased_worker import TaskStart
from gentianlead.ports._leased_worker import WorkerEntry
from gentianlead.ports._leased_worker import WorkerLook
from gentianlead.ports._log import LogBatch
from gentianlead.ports._log import LogService
from gentianlead.ports._random import RandomSource
from gentianlead.ports._permit_service import MAX_WORKERS as MAX_PERMIT_WORKERS
from gentianlead.ports._permit_service import PermitAnswer
from gentianlead.ports._permit_service import PermitError
from gentianlead.ports._permit_service import PermitService
from gentianlead.ports._store import FencedError
from gentianlead.ports._store import KeyedBatch
from gentianlead.ports._store import KeyedRecord
from gentianlead.ports._store import KeyedStore
from gentianlead.ports._store import Producer
from gentianlead.ports._store import SequenceError
from gentianlead.ports._store import StoreError
from gentianlead.ports._target import Answer
from gentianlead.ports._target import TargetClient
from gentianlead.ports._target import TargetRequest
from gentianlead.ports._vmlist import VMList
from gentianlead.ports._worker import Renewal
from gentianlead.ports._worker import RunKey
from gentianlead.ports._worker import RunReport
from gentianlead.ports._worker import RunState
from gentianlead.ports._worker import StartOrder
from gentianlead.ports._worker import UsageReport
from gentianlead.ports._worker import WorkerAgent
from gentianlead.ports._worker import WorkerReply

__all__ = [
    "Answer",
    "Clock",
    "EndCause",
    "EndedTask",
    "FencedError",
    "FenceError",
    "GoneError",
    "JobDesk",
    "KeyedBatch",
    "KeyedRecord",
    "KeyedStore",
    "LeasedWorkerClient",
    "MAX_PERMIT_WORKERS",
    "PermitAnswer",
    "PermitError",
    "PermitService",
    "LogBatch",
    "LogService",
    "Lookup",
    "Producer",
    "RandomSource",
    "Renewal",
    "RunKey",
    "RunningTask",
    "RunReport",
    "RunState",
    "SequenceError",
    "StartOrder",
    "StartOutcome",
    "StartReply",
    "StoreError",
    "SubmitOutcome",
    "SubmitReply",
    "TargetClient",
    "TargetRequest",
    "TaskStart",
    "UsageReport",
    "VMList",
    "WorkerAgent",
    "WorkerEntry",
    "WorkerLook",
    "WorkerReply",
]
