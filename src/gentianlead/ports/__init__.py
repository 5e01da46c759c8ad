"""Abstract interfaces between the decision logic and the outside world.

Covered are the clock, the random source, the log and the keyed store, the
workers, the targets, the list of VMs and the advisory service.
"""

from gentianlead.ports._clock import Clock
from gentianlead.ports._job_service import JobService
from gentianlead.ports._job_service import JobLookup
from gentianlead.ports._job_service import SubmitOutcome
from gentianlead.ports._job_service import SubmitReply
from gentianlead.ports._leased_worker import EndCause
from gentianlead.ports._leased_worker import EndedRun
from gentianlead.ports._leased_worker import StaleFencingTokenError
from gentianlead.ports._leased_worker import WorkerReplacedError
from gentianlead.ports._leased_worker import LeasedWorkerClient
from gentianlead.ports._leased_worker import ActiveRun
from gentianlead.ports._leased_worker import StartOutcome
from gentianlead.ports._leased_worker import StartReply
from gentianlead.ports._leased_worker import LeasedStartOrder
from gentianlead.ports._leased_worker import WorkerEntry
from gentianlead.ports._leased_worker import WorkerStatus
from gentianlead.ports._log import LogBatch
from gentianlead.ports._log import LogService
from gentianlead.ports._loop_delay import LoopDelay
from gentianlead.ports._loop_delay import MeasuredLoopDelay
from gentianlead.ports._random import RandomSource
from gentianlead.ports._permit_service import MAX_WORKERS as MAX_PERMIT_WORKERS
from gentianlead.ports._permit_service import PermitReply
from gentianlead.ports._permit_service import PermitError
from gentianlead.ports._permit_service import PermitService
from gentianlead.ports._store import ProducerFencedError
from gentianlead.ports._store import KeyedBatch
from gentianlead.ports._store import KeyedRecord
from gentianlead.ports._store import KeyedStore
from gentianlead.ports._store import NewestPage
from gentianlead.ports._store import Producer
from gentianlead.ports._store import RecordsRejectedError
from gentianlead.ports._store import SequenceError
from gentianlead.ports._store import StoreError
from gentianlead.ports._target import HttpResponse
from gentianlead.ports._target import TargetClient
from gentianlead.ports._target import TargetRequest
from gentianlead.ports._vmlist import VMList
from gentianlead.ports._worker import LeaseRenewal
from gentianlead.ports._worker import RunKey
from gentianlead.ports._worker import RunReport
from gentianlead.ports._worker import RunState
from gentianlead.ports._worker import StartOrder
from gentianlead.ports._worker import UsageReport
from gentianlead.ports._worker import WorkerAgent
from gentianlead.ports._worker import WorkerReply

__all__ = [
    "HttpResponse",
    "Clock",
    "EndCause",
    "EndedRun",
    "ProducerFencedError",
    "RecordsRejectedError",
    "StaleFencingTokenError",
    "WorkerReplacedError",
    "JobService",
    "KeyedBatch",
    "KeyedRecord",
    "KeyedStore",
    "NewestPage",
    "LeasedWorkerClient",
    "MAX_PERMIT_WORKERS",
    "PermitReply",
    "PermitError",
    "PermitService",
    "LogBatch",
    "LogService",
    "LoopDelay",
    "MeasuredLoopDelay",
    "JobLookup",
    "Producer",
    "RandomSource",
    "LeaseRenewal",
    "RunKey",
    "ActiveRun",
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
    "LeasedStartOrder",
    "UsageReport",
    "VMList",
    "WorkerAgent",
    "WorkerEntry",
    "WorkerStatus",
    "WorkerReply",
]
