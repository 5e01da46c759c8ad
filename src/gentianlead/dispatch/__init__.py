"""Decisions of a group leader on stepped jobs, without I/O.

Covers the records of the job topic and the state that is built from them, the
admission of jobs, the election of group leaders, and the placement, start, stop
and throttling of tasks on the workers of a group.
"""

from gentianlead.dispatch._admission import Admission
from gentianlead.dispatch._admission import choose_fallback_group
from gentianlead.dispatch._admission import choose_less_loaded_group
from gentianlead.dispatch._admission import sum_long_running_cpu
from gentianlead.dispatch._admission import decide_admission
from gentianlead.dispatch._admission import GroupReport
from gentianlead.dispatch._admission import include_unreported_jobs
from gentianlead.dispatch._admission import FallbackGroup
from gentianlead.dispatch._election import HEARTBEAT_INTERVAL
from gentianlead.dispatch._election import choose_epoch
from gentianlead.dispatch._election import ElectionView
from gentianlead.dispatch._election import find_reason_to_lead
from gentianlead.dispatch._group import GroupScheduler
from gentianlead.dispatch._group_state import JOB_MOVE_DELAY
from gentianlead.dispatch._interference import InterferenceModel
from gentianlead.dispatch._interference import InterferenceEstimate
from gentianlead.dispatch._load import add_job_to_load
from gentianlead.dispatch._load import GroupLoad
from gentianlead.dispatch._load import ImageCapacity
from gentianlead.dispatch._orders import AppliedRunEnd
from gentianlead.dispatch._orders import GroupTimings
from gentianlead.dispatch._orders import Order
from gentianlead.dispatch._orders import ThrottleOrder
from gentianlead.dispatch._orders import PermitRequest
from gentianlead.dispatch._orders import StartOrder
from gentianlead.dispatch._orders import StopOrder
from gentianlead.dispatch._records import AcceptedRecord
from gentianlead.dispatch._records import build_key
from gentianlead.dispatch._records import CancelledRecord
from gentianlead.dispatch._records import decode_record
from gentianlead.dispatch._records import decode_value
from gentianlead.dispatch._records import encode_record
from gentianlead.dispatch._records import encode_value
from gentianlead.dispatch._records import LeaderRecord
from gentianlead.dispatch._records import MemberRecord
from gentianlead.dispatch._records import MovedRecord
from gentianlead.dispatch._records import ProgressRecord
from gentianlead.dispatch._records import Record
from gentianlead.dispatch._records import RemovedKey
from gentianlead.dispatch._records import TaskProgress
from gentianlead.dispatch._records import JOB_TOPIC
from gentianlead.dispatch._records import WorkersRecord
from gentianlead.dispatch._retention import RETENTION_MARGIN
from gentianlead.dispatch._retention import RetentionPlanner
from gentianlead.dispatch._runs import compute_critical_path_ms
from gentianlead.dispatch._runs import compute_deadline_ms
from gentianlead.dispatch._runs import JobRun
from gentianlead.dispatch._runs import Run
from gentianlead.dispatch._runs import RunPhase
from gentianlead.dispatch._table import build_job_entry
from gentianlead.dispatch._table import JobEntry
from gentianlead.dispatch._table import JobTable
from gentianlead.dispatch._table import LeaderEntry
from gentianlead.dispatch._table import MemberEntry
from gentianlead.dispatch._workers import WorkerState
