"""Decisions on the scheduling of stepped jobs, without I/O.

A stepped job consists of steps, each with one or more tasks; a step may depend
on other steps. A group is a set of workers that one leader schedules. Daemons
admit jobs, assign them to groups, and elect the leader of each group. The
leader places, starts, stops and throttles tasks on the workers of its group.

The job topic in the store has the records of accepted jobs, their progress and
moves, and of the members and leaders. The state of jobs, members and leaders is
built from these records.
"""

from gentianlead.dispatch._admission import Admission
from gentianlead.dispatch._admission import choose_fallback_group
from gentianlead.dispatch._admission import sum_long_running_cpu
from gentianlead.dispatch._admission import decide_admission
from gentianlead.dispatch._admission import GroupReport
from gentianlead.dispatch._admission import include_unreported_jobs
from gentianlead.dispatch._admission import FallbackGroup
from gentianlead.dispatch._audit import Difference
from gentianlead.dispatch._audit import DifferenceKind
from gentianlead.dispatch._audit import GroupAuditor
from gentianlead.dispatch._audit import TopicView
from gentianlead.dispatch._audit_repairs import repair_from_topic
from gentianlead.dispatch._audit_repairs import RepairOutcome
from gentianlead.dispatch._election import HEARTBEAT_INTERVAL
from gentianlead.dispatch._election import choose_epoch
from gentianlead.dispatch._election import ElectionView
from gentianlead.dispatch._election import find_process_end
from gentianlead.dispatch._election import find_reason_to_hand_back
from gentianlead.dispatch._election import find_reason_to_lead
from gentianlead.dispatch._group import GroupScheduler
from gentianlead.dispatch._idle_jobs import explain_idle_job
from gentianlead.dispatch._idle_jobs import IdleJob
from gentianlead.dispatch._idle_jobs import IdleJobMonitor
from gentianlead.dispatch._interference import InterferenceModel
from gentianlead.dispatch._interference import InterferenceEstimate
from gentianlead.dispatch._interference import LatencySample
from gentianlead.dispatch._interference import LoadTracker
from gentianlead.dispatch._lease_calls import CALL_END_LIMIT
from gentianlead.dispatch._load import add_job_to_load
from gentianlead.dispatch._load import GroupLoad
from gentianlead.dispatch._load import ImageCapacity
from gentianlead.dispatch._loss_reports import LossReport
from gentianlead.dispatch._loss_reports import ReportedLosses
from gentianlead.dispatch._member_ranks import count_rankings
from gentianlead.dispatch._moves import JOB_MOVE_DELAY
from gentianlead.dispatch._moves import PlannedMove
from gentianlead.dispatch._objectives import compute_critical_path_ms
from gentianlead.dispatch._objectives import compute_deadline_ms
from gentianlead.dispatch._orders import AppliedRunEnd
from gentianlead.dispatch._orders import GroupTimings
from gentianlead.dispatch._orders import Order
from gentianlead.dispatch._orders import ThrottleOrder
from gentianlead.dispatch._orders import PermitRequest
from gentianlead.dispatch._orders import RefusedStarts
from gentianlead.dispatch._orders import StartOrder
from gentianlead.dispatch._orders import StopOrder
from gentianlead.dispatch._peer_selection import CANDIDATES_PER_LIST
from gentianlead.dispatch._peer_selection import select_peers
from gentianlead.dispatch._records import AcceptedRecord
from gentianlead.dispatch._records import build_key
from gentianlead.dispatch._records import build_withdrawal
from gentianlead.dispatch._records import CancelledRecord
from gentianlead.dispatch._records import CapacityRecord
from gentianlead.dispatch._records import CrashedRun
from gentianlead.dispatch._records import decode_record
from gentianlead.dispatch._records import decode_value
from gentianlead.dispatch._records import EarlyCancelledRecord
from gentianlead.dispatch._records import encode_record
from gentianlead.dispatch._records import encode_value
from gentianlead.dispatch._records import HandedOverRun
from gentianlead.dispatch._records import HandedOverWorker
from gentianlead.dispatch._records import HandoverRecord
from gentianlead.dispatch._records import LeaderRecord
from gentianlead.dispatch._records import MemberRecord
from gentianlead.dispatch._records import MovedRecord
from gentianlead.dispatch._records import ProgressRecord
from gentianlead.dispatch._records import Record
from gentianlead.dispatch._records import RemovedKey
from gentianlead.dispatch._records import ReportedEndsRecord
from gentianlead.dispatch._records import RunLimitsRecord
from gentianlead.dispatch._records import StepRunLimits
from gentianlead.dispatch._records import TaskProgress
from gentianlead.dispatch._records import JOB_TOPIC
from gentianlead.dispatch._records import WorkersRecord
from gentianlead.dispatch._retention import EARLY_CANCELLATION_RETENTION
from gentianlead.dispatch._retention import RETENTION_MARGIN
from gentianlead.dispatch._retention import RetentionPlanner
from gentianlead.dispatch._runs import JobRun
from gentianlead.dispatch._superseded_runs import build_run_limits
from gentianlead.dispatch._task_runs import Run
from gentianlead.dispatch._task_runs import RunPhase
from gentianlead.dispatch._table import build_job_entry
from gentianlead.dispatch._table import HandoverEntry
from gentianlead.dispatch._table import JobEntry
from gentianlead.dispatch._table import JobTable
from gentianlead.dispatch._table import LeaderEntry
from gentianlead.dispatch._table import MemberEntry
from gentianlead.dispatch._throttling import explain_throttles
from gentianlead.dispatch._unled_groups import find_unled_groups
from gentianlead.dispatch._unled_groups import UnledGroup
from gentianlead.dispatch._waiting import find_wait_cause
from gentianlead.dispatch._waiting import StepWait
from gentianlead.dispatch._waiting import WaitMonitor
from gentianlead.dispatch._workers import WorkerState
