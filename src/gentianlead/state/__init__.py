"""State machines of the log's streams, their replicas and their snapshots.

The state after a record depends only on the records of the stream up to it, in
offset order. Every daemon that reads the stream therefore accepts and rejects
the same records and builds the same state.
"""

from gentianlead.state._configuration_state import compute_spec_digest
from gentianlead.state._configuration_state import ConfigurationStateMachine
from gentianlead.state._configuration_state import JobEntry
from gentianlead.state._configuration_state import PatchEntry
from gentianlead.state._domain_job import DomainJob
from gentianlead.state._domain_job import Tombstone
from gentianlead.state._domain_state import DomainStateMachine
from gentianlead.state._domain_state import DomainObserver
from gentianlead.state._domain_state import FINISHED_REASON
from gentianlead.state._domain_state import LiveRun
from gentianlead.state._domain_state import Member
from gentianlead.state._domain_state import WorkerState
from gentianlead.state._state_machine import StateMachine
from gentianlead.state._state_machine import RecordVerdict
from gentianlead.state._one_time_requests import OneTimeRequestEntry
from gentianlead.state._one_time_requests import OneTimeRequestStateMachine
from gentianlead.state._replica import AppliedRecord
from gentianlead.state._replica import StreamReplica
from gentianlead.state._snapshot import build_snapshot_parts

__all__ = [
    "AppliedRecord",
    "ConfigurationStateMachine",
    "DomainStateMachine",
    "DomainJob",
    "DomainObserver",
    "FINISHED_REASON",
    "StateMachine",
    "RecordVerdict",
    "JobEntry",
    "LiveRun",
    "Member",
    "OneTimeRequestEntry",
    "OneTimeRequestStateMachine",
    "PatchEntry",
    "StreamReplica",
    "Tombstone",
    "WorkerState",
    "build_snapshot_parts",
    "compute_spec_digest",
]
