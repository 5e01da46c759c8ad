"""Log events with stable numbers, each written as one line of JSON.

Numbers are grouped by area and never reused: 1xx start, readiness and stop of
the daemon, 2xx log service and state read from it, 3xx requests and routing,
4xx tasks and leases, 5xx configuration, 6xx peers. An event of level `warning`
or above describes a condition that an operator may have to act on;
`docs/OPERATIONS.md` gives its cause and action.
"""

import contextlib
import enum
import json
import string
import sys
from typing import Any, Iterator, NamedTuple, TextIO

import logbook


class EventSpec(NamedTuple):
    """Number, level and message template of an event.

    Attributes:
        number: Number that identifies the event in logs and documentation.
        level: Severity, as one of the level constants of logbook.
        template: Format string of the message; its placeholders name the
            fields that `emit` should receive.
    """

    number: int
    level: int
    template: str

    @property
    def level_name(self) -> str:
        """Lower-case name of the level, as written to the log."""
        return logbook.get_level_name(self.level).lower()

    @property
    def fields(self) -> tuple[str, ...]:
        """Names in the template's placeholders, in order of first use."""
        names = [
            segment[1] for segment in string.Formatter().parse(self.template)
        ]
        return tuple(dict.fromkeys(name for name in names if name))


def _debug_event(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.DEBUG, template)


def _info_event(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.INFO, template)


def _warning_event(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.WARNING, template)


def _error_event(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.ERROR, template)


class Event(enum.Enum):
    """Events that the daemon can emit; each value is an `EventSpec`."""

    DAEMON_STARTED = _info_event(
        101, "daemon version {version} started in failure domain {domain}")
    PORT_OPENED = _info_event(102, "{port} port listens on {address}")
    DAEMON_READY = _info_event(103, "daemon is ready after {elapsed_ms} ms")
    DAEMON_NOT_READY = _warning_event(104, "daemon is not ready: {reason}")
    DRAIN_BEGUN = _info_event(
        105, "draining; waiting {wait_ms} ms for the load balancer")
    DRAIN_ENDED = _info_event(106, "requests drained after {elapsed_ms} ms")
    DRAIN_LIMIT_REACHED = _error_event(
        107, "{requests} requests still in progress after {limit_ms} ms")
    RUNS_HANDED_OVER = _info_event(
        108, "handed over {runs} runs to other daemons, {left} left")
    DAEMON_STOPPED = _info_event(109, "daemon stopped with status {status}")
    PAUSE_DETECTED = _warning_event(
        110, "process was paused for {pause_ms} ms; permissions are checked "
        "again")
    LOOP_RESTARTED = _error_event(111,
                                  "loop {loop} failed and restarts: {error}")
    INTERNAL_ERROR = _error_event(112, "unexpected error in {place}: {error}")
    PORT_LIMIT_REACHED = _warning_event(
        113, "{port} port refuses connections: {connections} are open")

    LOG_UNAVAILABLE = _warning_event(
        201, "log service gives no usable reply for stream {stream}: {error}")
    LOG_AVAILABLE = _info_event(
        202, "log service replies for stream {stream} after {outage_ms} ms")
    APPEND_OUTCOME_UNKNOWN = _warning_event(
        203, "reply to an append of {records} records to stream {stream} was "
        "lost; reading the stream to learn the outcome")
    APPEND_RESOLVED = _info_event(
        204, "lost reply for stream {stream} resolved: {appended} of "
        "{records} records had been appended")
    STREAM_STALE = _warning_event(
        205, "stream {stream} is {age_ms} ms old; no task is started")
    STREAM_FRESH = _info_event(206,
                               "stream {stream} is fresh after {stale_ms} ms")
    STREAM_INCOMPLETE = _warning_event(
        207, "start of stream {stream} has expired (earliest offset "
        "{earliest}); waiting for a snapshot")
    STREAM_RESTORED = _info_event(
        208, "stream {stream} restored through offset {through}")
    STREAM_UNRECOVERABLE = _error_event(
        209, "stream {stream} holds no whole snapshot up to its head {head}; "
        "its state cannot be rebuilt")
    SNAPSHOT_WRITTEN = _info_event(
        210, "snapshot of stream {stream} through offset {through} written "
        "in {parts} parts")
    SNAPSHOT_OVERDUE = _warning_event(
        211, "last snapshot of stream {stream} is {age_ms} ms old")
    RECORD_UNREADABLE = _error_event(
        212, "record {offset} of stream {stream} cannot be read: {reason}")
    RECORD_REJECTED = _debug_event(
        213, "{kind} at offset {offset} of stream {stream} has no effect: "
        "{reason}")
    HOLDING_LIMIT_REACHED = _error_event(
        214, "stream {stream} is {age_ms} ms old; leases are no longer renewed")
    VM_LIST_UNAVAILABLE = _warning_event(
        215, "VM list gives no usable reply: {error}; the last known list is "
        "used")
    VM_LIST_AVAILABLE = _info_event(216, "VM list replies after {outage_ms} ms")

    REQUEST_REFUSED = _debug_event(
        301, "request {request} to service {service} refused: {code}")
    REQUEST_FAILED = _info_event(
        302, "request {request} to service {service} failed: {code}, verdict "
        "{verdict}")
    RETRY_BUDGET_EXHAUSTED = _warning_event(
        303, "service {service}: retry budget exhausted")
    OVERLOAD_BEGUN = _warning_event(304,
                                    "service {service} sheds load: {reason}")
    OVERLOAD_ENDED = _info_event(
        305, "service {service} sheds no more load after {elapsed_ms} ms")
    TARGET_EJECTED = _warning_event(
        306, "target {target} ejected for {duration_ms} ms: {reason}")
    TARGET_READMITTED = _info_event(307,
                                    "target {target} receives requests again")
    CONNECTION_SILENT = _warning_event(
        308, "connection to target {target} closed after {silent_ms} ms "
        "without progress")
    ANSWER_MISMATCHED = _error_event(
        309, "target {target} answered request {request} with identifier "
        "{received}")
    ANSWER_TRUNCATED = _warning_event(
        310, "answer of target {target} to request {request} is truncated")
    SERVICE_WITHOUT_TARGET = _warning_event(
        311, "service {service} has no usable target in failure domain "
        "{domain}")
    SPILLOVER_BEGUN = _info_event(
        312, "service {service}: requests are forwarded to failure domain "
        "{domain}")
    SPILLOVER_ENDED = _info_event(
        313, "service {service}: requests are no longer forwarded")
    ONE_TIME_REFUSED = _info_event(
        314, "one-time request {request} to service {service} refused: {code}")

    TASK_STARTED = _debug_event(
        401, "task {job}/{task} run {run} started on worker {worker}")
    TASK_FINISHED = _debug_event(
        402, "task {job}/{task} run {run} finished on worker {worker}")
    TASK_RELEASED = _info_event(
        403, "task {job}/{task} run {run} released from worker {worker}: "
        "{reason}")
    TASK_EVICTED = _info_event(
        404, "task {job}/{task} run {run} evicted from worker {worker}: "
        "{reason}")
    START_REFUSED = _info_event(
        405, "worker {worker} refused to start task {job}/{task} run {run}: "
        "{reason}")
    LEASE_LAPSED = _warning_event(
        406, "lease of task {job}/{task} run {run} on worker {worker} lapsed")
    RUNS_TAKEN_OVER = _warning_event(
        407, "took over {runs} runs of daemon {daemon}")
    RENEWAL_FENCED = _warning_event(
        408, "worker {worker} refused to renew task {job}/{task} run {run}: "
        "a higher fence is known")
    WORKER_QUARANTINED = _warning_event(
        409, "worker {worker} quarantined: {failures} of {starts} runs failed")
    WORKER_READMITTED = _info_event(410, "worker {worker} receives tasks again")
    WORKER_UNREACHABLE = _warning_event(
        411, "worker {worker} gives no usable reply: {error}")
    WORKER_REACHABLE = _info_event(
        412, "worker {worker} replies after {outage_ms} ms")
    WORKER_RESTARTED = _warning_event(
        413, "worker {worker} has a new boot identifier; {runs} runs ended")
    JOB_UNPLACEABLE = _warning_event(
        414, "job {job} fits on no worker of failure domain {domain}: {reason}")
    JOB_ENDED = _info_event(415, "job {job} ended: {outcome}")
    JOB_MOVED = _info_event(
        416, "job {job} moved from failure domain {source} to {destination}")
    WATCHER_STOPPED = _warning_event(417,
                                     "watcher {job} is not running: {reason}")
    WATCHER_RUNNING = _info_event(
        418, "watcher {job} runs again after {elapsed_ms} ms")
    URGENT_TASK_LATE = _warning_event(
        419, "urgent task {job}/{task} has waited {wait_ms} ms")
    UNKNOWN_RUN_STOPPED = _warning_event(
        420, "worker {worker} runs task {job}/{task} run {run}, which is not "
        "live; stopping it")
    WORKER_CRASHED = _warning_event(
        421, "worker {worker} was lost soon after the start of task "
        "{job}/{task} run {run}: {reason}")
    SUSPECT_STARTED = _info_event(
        422, "task {job}/{task} run {run} starts alone on worker {worker} "
        "because workers crashed soon after its earlier starts")
    TASK_GIVEN_UP = _error_event(423, "job {job} fails: {reason}")

    PATCH_ACCEPTED = _info_event(
        501, "patch {patch} by {author} accepted as version {version}")
    PATCH_REJECTED = _info_event(
        502, "patch {patch} by {author} rejected at version {version}: "
        "{reason}")
    CONFIGURATION_IN_FORCE = _info_event(503,
                                         "configuration {version} is in force")
    DOMAIN_OUT = _warning_event(
        504, "failure domain {domain} is out of service since configuration "
        "{version}")
    DOMAIN_IN = _info_event(
        505, "failure domain {domain} is in service since configuration "
        "{version}")
    DOMAIN_EMPTY = _info_event(
        506, "no task runs in failure domain {domain} after {elapsed_ms} ms")
    TARGET_LEAVING = _info_event(507, "target {target} is leaving: {reason}")
    OPERATOR_UNAUTHORIZED = _warning_event(
        508, "request from {address} to the operator port carries no valid "
        "token")
    SEAT_CONFLICT = _error_event(
        509, "seat {seat} of failure domain {domain} is also held by {daemon}")

    PEER_CONNECTED = _info_event(601, "stream to peer {peer} opened")
    PEER_LOST = _warning_event(602, "stream to peer {peer} ended: {reason}")
    PEER_SILENT = _warning_event(
        603, "stream to peer {peer} closed after {silent_ms} ms of silence")
    PEER_MALFORMED = _warning_event(
        604, "stream to peer {peer} closed because of malformed input: "
        "{reason}")
    PEER_FRAME_TOO_LARGE = _warning_event(
        605, "stream to peer {peer} closed because of a frame of {size} bytes")
    PEER_VERSION_REFUSED = _warning_event(
        606, "peer {peer} uses protocol version {received}, expected "
        "{expected}")
    LOAN_EXPIRED = _info_event(
        607, "loan of {slots} slots of target {target} to peer {peer} expired")
    MEMBER_JOINED = _info_event(
        608, "daemon {member} joined failure domain {domain}")
    MEMBER_SILENT = _warning_event(
        609, "daemon {member} sent no heartbeat for {silent_ms} ms")
    MEMBER_LEFT = _info_event(610,
                              "daemon {member} left failure domain {domain}")
    PREFERRED_SCHEDULER = _info_event(
        611, "daemon {member} is the preferred scheduler of failure domain "
        "{domain}")


class _PlaceholderFieldValues(dict):
    """Field values; a missing field formats as `<name missing>`."""

    def __missing__(self, key: str) -> str:
        return f"<{key} missing>"


class _EventLogger(logbook.Logger):
    """Logger that writes the events of the whole process.

    Attributes:
        daemon_name: Name of the daemon, written on each line.
    """

    daemon_name = ""


_LOGGER = _EventLogger("gentianlead")


class _JSONFormatter:
    """Formats a logbook record as one line of JSON."""

    def __call__(self, record: logbook.LogRecord,
                 handler: logbook.Handler) -> str:
        del handler  # Unused.
        document = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": logbook.get_level_name(record.level).lower(),
            "event": record.extra["event"],
            "name": record.extra["name"],
            "daemon": record.extra["daemon"],
            "message": record.message,
            "fields": record.extra["fields"],
        }
        return json.dumps(document, default=str)


class _EventHandler(logbook.StreamHandler):
    """Writes events to a stream; ignores errors of a full or closed stream.

    A failure of standard error must not stop the daemon.
    """

    def __init__(self, output: TextIO):
        super().__init__(output, level=logbook.NOTSET)
        self.formatter = _JSONFormatter()

    def emit(self, record: logbook.LogRecord) -> None:
        try:
            super().emit(record)
        except (OSError, ValueError):  # Closed streams raise `ValueError`.
            pass


@contextlib.contextmanager
def open_event_log(daemon_name: str,
                   minimum_level: str,
                   output: TextIO | None = None) -> Iterator[None]:
    """Writes the events of the whole process while the `with` block runs.

    Args:
        daemon_name: Name of the daemon, written on each line.
        minimum_level: Lowest level that is written: `debug`, `info`,
            `warning` or `error`.
        output: Text stream to write to; standard error by default.

    Yields:
        Nothing; events are written until the block ends.
    """
    previous_values = (_LOGGER.daemon_name, _LOGGER.level)
    _LOGGER.daemon_name = daemon_name
    _LOGGER.level = logbook.lookup_level(minimum_level.upper())
    # Some asyncio tasks and callbacks run in a context that was not copied from
    # this one, so the handler is bound to the process and not to the context.
    try:
        with _EventHandler(output or sys.stderr).applicationbound():
            yield
    finally:
        _LOGGER.daemon_name, _LOGGER.level = previous_values


def emit(event: Event, /, **fields: Any) -> None:
    """Writes an event if its level is at least that of the event log.

    Wrong fields never raise an error in the caller: a field that the template
    does not use is written under `fields` only, and the message shows
    `<name missing>` for a field that was not passed.

    Args:
        event: Event to write.
        **fields: Values of the template's fields; must not contain secrets or
            request bodies.
    """
    spec = event.value
    if spec.level < _LOGGER.level:
        return
    _LOGGER.log(spec.level,
                spec.template.format_map(_PlaceholderFieldValues(fields)),
                extra={
                    "event": spec.number,
                    "name": event.name,
                    "daemon": _LOGGER.daemon_name,
                    "fields": fields,
                })
