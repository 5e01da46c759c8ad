"""Immutable record of the daemon's settings, with their defaults."""

import datetime
import enum
import pathlib
from typing import NamedTuple

from gentianlead.settings import _setting_types


class PlacementGoal(enum.Enum):
    """Goal that wins when the goals of task placement conflict."""

    TAIL_LATENCY = "tail-latency"
    THROUGHPUT = "throughput"


class TraceExporter(enum.Enum):
    """Exporter of trace spans that ended; `NONE` records no spans."""

    NONE = "none"
    CONSOLE = "console"


class LogLevel(enum.Enum):
    """Lowest level of the events that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Settings(NamedTuple):
    """Settings of one daemon.

    `SETTING_FIELDS` has the allowed range and the help text of each.

    Attributes:
        name: Name of the daemon, unique in the deployment.
        domain: Failure domain that the daemon runs in.
        region: Region of the failure domain.
        seat: Index of the daemon among those of its domain, 0 to `seats - 1`.
        seats: Number of daemons in the domain, which divide the slots of each
            target among them.
        log_url: Base URL of the log service.
        vm_list_url: Base URL of the VM list.
        caller_address: Listening address for requests of callers.
        operator_address: Listening address for requests of operators.
        peer_address: Listening address for peers, which is announced to them.
        log_read_wait: Longest time that one log read at the end of the stream
            waits for new records.
        append_timeout: Longest wait for the reply to one append, to which the
            client of the log adds time for the transfer of the records.
        start_freshness_limit: Greatest age of the state read from the log with
            which tasks may be started.
        holding_limit: Greatest age of the state read from the log with which
            leases may be renewed.
        lease_length: Duration of a task lease.
        lease_renew_interval: Time between two renewals of a lease.
        heartbeat_interval: Time between two heartbeats of a member.
        member_timeout: Time without a heartbeat after which a member is
            considered gone.
        drain_wait: Time between becoming unready and closing the ports, for
            the load balancer to react.
        drain_limit: Longest time that requests in progress may take to end
            after `drain_wait`.
        log_retention: Time for which the log service keeps records.
        snapshot_records: Number of records after which a stream gets a
            snapshot.
        weights: Goal that takes precedence when tasks are placed.
        caller_tls_certificate: Certificate chain of the caller port, PEM.
        caller_tls_key: Private key of the caller port, PEM.
        operator_tls_certificate: Certificate chain of the operator port, PEM.
        operator_tls_key: Private key of the operator port, PEM.
        operator_token: Bearer token that operators must present.
        trace_exporter: Exporter of trace spans that ended.
        log_level: Lowest level of the events that are written.
        body_limit: Largest body of a request or response, in bytes.
        connection_limit: Largest number of open connections to the caller port.
        default_deadline: Deadline of a request that does not specify one.
        maximum_deadline: Longest deadline that a request may specify.
    """

    name: str
    domain: str
    region: str
    seat: int
    seats: int
    log_url: str
    vm_list_url: str
    caller_address: _setting_types.Address
    operator_address: _setting_types.Address
    peer_address: _setting_types.Address
    log_read_wait: datetime.timedelta = datetime.timedelta(milliseconds=500)
    append_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    start_freshness_limit: datetime.timedelta = datetime.timedelta(seconds=2)
    holding_limit: datetime.timedelta = datetime.timedelta(minutes=15)
    lease_length: datetime.timedelta = datetime.timedelta(seconds=15)
    lease_renew_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    member_timeout: datetime.timedelta = datetime.timedelta(seconds=6)
    drain_wait: datetime.timedelta = datetime.timedelta(seconds=5)
    drain_limit: datetime.timedelta = datetime.timedelta(seconds=45)
    log_retention: datetime.timedelta = datetime.timedelta(hours=24)
    snapshot_records: int = 5000
    weights: PlacementGoal = PlacementGoal.TAIL_LATENCY
    caller_tls_certificate: pathlib.Path | None = None
    caller_tls_key: pathlib.Path | None = None
    operator_tls_certificate: pathlib.Path | None = None
    operator_tls_key: pathlib.Path | None = None
    operator_token: _setting_types.Secret = _setting_types.Secret()
    trace_exporter: TraceExporter = TraceExporter.NONE
    log_level: LogLevel = LogLevel.INFO
    body_limit: int = 8 * 1024 * 1024
    connection_limit: int = 1024
    default_deadline: datetime.timedelta = datetime.timedelta(seconds=10)
    maximum_deadline: datetime.timedelta = datetime.timedelta(seconds=30)
