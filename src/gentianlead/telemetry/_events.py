"""Numbered events, written as one line of JSON each.

Numbers are grouped by area and never reused: 1xx life of the daemon, 2xx log
and state, 3xx requests and routing, 4xx tasks and leases, 5xx configuration,
6xx peers. An event of level `warning` or above describes a condition that an
operator may have to act on; `docs/OPERATIONS.md` gives its cause and action.
"""

import contextlib
import enum
import json
import string
import sys
from typing import Any, Iterator, NamedTuple, TextIO

import logbook


class EventSpec(NamedTuple):
    """Description of an event.

    Attributes:
        number: Stable number.
        level: Level of logbook.
        template: Message with a placeholder for each expected field.
    """

    number: int
    level: int
    template: str

    @property
    def level_name(self) -> str:
        """The level as events show it."""
        return logbook.get_level_name(self.level).lower()

    @property
    def fields(self) -> tuple[str, ...]:
        """Names of the expected fields, in order of first appearance."""
        names = [part[1] for part in string.Formatter().parse(self.template)]
        return tuple(dict.fromkeys(name for name in names if name))


def _debug(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.DEBUG, template)


def _info(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.INFO, template)


def _warning(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.WARNING, template)


def _error(number: int, template: str) -> EventSpec:
    return EventSpec(number, logbook.ERROR, template)


class Event(enum.Enum):
    """All events."""

    DAEMON_STARTED = _info(
        101, "daemon version {version} started in failure domain {domain}")
    PORT_OPENED = _info(102, "{port} port listens on {address}")
    DAEMON_READY = _info(103, "daemon is ready after {elapsed_ms} ms")
    DAEMON_NOT_READY = _warning(104, "daemon is not ready: {reason}")
    DRAIN_BEGUN = _info(105,
                        "draining; waiting {wait_ms} ms for the load balancer")
    DRAIN_ENDED = _info(106, "requests drained after {elapsed_ms} ms")
    DRAIN_LIMIT_REACHED = _error(
        107, "{requests} requests still in progress after {limit_ms} ms")
    RUNS_HANDED_OVER = _info(
        108, "handed over {runs} runs to other daemons, {left} left")
    DAEMON_STOPPED = _info(109, "daemon stopped with status {status}")
    PAUSE_DETECTED = _warning(
        110, "process was paused for {pause_ms} ms; permissions are checked "
        "again")
    LOOP_RESTARTED = _error(111, "loop {loop} failed and restarts: {error}")
    INTERNAL_ERROR = _error(112, "unexpected error in {place}: {error}")
    PORT_LIMIT_REACHED = _warning(
        113, "{port} port refuses connections: {connections} are open")

    LOG_UNAVAILABLE = _warning(
        201, "log service gives no usable reply for stream {stream}: {error}")
    LOG_AVAILABLE = _info(
        202, "log service replies for stream {stream} after {outage_ms} ms")
    APPEND_OUTCOME_UNKNOWN = _warning(
        203, "reply to an append of {records} records to stream {stream} was "
        "lost; reading the stream to learn the outcome")
    APPEND_RESOLVED = _info(
        204, "lost reply for stream {stream} resolved: {appended} of "
        "{records} records had been appended")
    STREAM_STALE = _warning(
        205, "stream {stream} is {age_ms} ms old; no task is started")
    STREAM_FRESH = _info(206, "stream {stream} is fresh after {stale_ms} ms")
    STREAM_INCOMPLETE = _warning(
        207, "start of stream {stream} has expired (earliest offset "
        "{earliest}); waiting for a snapshot")
    STREAM_RESTORED = _info(
        208, "stream {stream} restored through offset {through}")
    STREAM_UNRECOVERABLE = _error(
        209, "stream {stream} holds no whole snapshot up to its head {head}; "
        "its state cannot be rebuilt")
    SNAPSHOT_WRITTEN = _info(
        210, "snapshot of stream {stream} through offset {through} written "
        "in {parts} parts")
    SNAPSHOT_OVERDUE = _warning(
        211, "last snapshot of stream {stream} is {age_ms} ms old")
    RECORD_UNREADABLE = _error(
        212, "record {offset} of stream {stream} cannot be read: {reason}")
    RECORD_REJECTED = _debug(
        213, "{kind} at offset {offset} of stream {stream} has no effect: "
        "{reason}")
    HOLDING_LIMIT_REACHED = _error(
        214, "stream {stream} is {age_ms} ms old; leases are no longer renewed")
    VM_LIST_UNAVAILABLE = _warning(
        215, "VM list gives no usable reply: {error}; the last known list is "
        "used")
    VM_LIST_AVAILABLE = _info(216, "VM list replies after {outage_ms} ms")

    REQUEST_REFUSED = _debug(
        301, "request {request} to service {service} refused: {code}")
    REQUEST_FAILED = _info(
        302, "request {request} to service {service} failed: {code}, verdict "
        "{verdict}")
    RETRY_BUDGET_EXHAUSTED = _warning(
        303, "service {service}: retry budget exhausted")
    OVERLOAD_BEGUN = _warning(304, "service {service} sheds load: {reason}")
    OVERLOAD_ENDED = _info(
        305, "service {service} sheds no more load after {elapsed_ms} ms")
    TARGET_EJECTED = _warning(
        306, "target {target} ejected for {duration_ms} ms: {reason}")
    TARGET_READMITTED = _info(307, "target {target} receives requests again")
    CONNECTION_SILENT = _warning(
        308, "connection to target {target} closed after {silent_ms} ms "
        "without progress")
    ANSWER_MISMATCHED = _error(
        309, "target {target} answered request {request} with identifier "
        "{received}")
    ANSWER_TRUNCATED = _warning(
        310, "answer of target {target} to request {request} is truncated")
    SERVICE_WITHOUT_TARGET = _warning(
        311, "service {service} has no usable target in failure domain "
        "{domain}")
    SPILLOVER_BEGUN = _info(
        312, "service {service}: requests are forwarded to failure domain "
        "{domain}")
    SPILLOVER_ENDED = _info(
        313, "service {service}: requests are no longer forwarded")
    ONE_TIME_REFUSED = _info(
        314, "one-time request {request} to service {service} refused: {code}")

    TASK_STARTED = _debug(
        401, "task {job}/{task} run {run} started on worker {worker}")
    TASK_FINISHED = _debug(
        402, "task {job}/{task} run {run} finished on worker {worker}")
    TASK_RELEASED = _info(
        403, "task {job}/{task} run {run} released from worker {worker}: "
        "{reason}")
    TASK_EVICTED = _info(
        404, "task {job}/{task} run {run} evicted from worker {worker}: "
        "{reason}")
    START_REFUSED = _info(
        405, "worker {worker} refused to start task {job}/{task} run {run}: "
        "{reason}")
    LEASE_LAPSED = _warning(
        406, "lease of task {job}/{task} run {run} on worker {worker} lapsed")
    RUNS_TAKEN_OVER = _warning(407, "took over {runs} runs of daemon {daemon}")
    RENEWAL_FENCED = _warning(
        408, "worker {worker} refused to renew task {job}/{task} run {run}: "
        "a higher fence is known")
    WORKER_QUARANTINED = _warning(
        409, "worker {worker} quarantined: {failures} of {starts} runs failed")
    WORKER_READMITTED = _info(410, "worker {worker} receives tasks again")
    WORKER_UNREACHABLE = _warning(
        411, "worker {worker} gives no usable reply: {error}")
    WORKER_REACHABLE = _info(412,
                             "worker {worker} replies after {outage_ms} ms")
    WORKER_RESTARTED = _warning(
        413, "worker {worker} has a new boot identifier; {runs} runs ended")
    JOB_UNPLACEABLE = _warning(
        414, "job {job} fits on no worker of failure domain {domain}: {reason}")
    JOB_ENDED = _info(415, "job {job} ended: {outcome}")
    JOB_MOVED = _info(
        416, "job {job} moved from failure domain {source} to {destination}")
    WATCHER_STOPPED = _warning(417, "watcher {job} is not running: {reason}")
    WATCHER_RUNNING = _info(418,
                            "watcher {job} runs again after {elapsed_ms} ms")
    URGENT_TASK_LATE = _warning(
        419, "urgent task {job}/{task} has waited {wait_ms} ms")
    UNKNOWN_RUN_STOPPED = _warning(
        420, "worker {worker} runs task {job}/{task} run {run}, which is not "
        "live; stopping it")

    PATCH_ACCEPTED = _info(
        501, "patch {patch} by {author} accepted as version {version}")
    PATCH_REJECTED = _info(
        502, "patch {patch} by {author} rejected at version {version}: "
        "{reason}")
    CONFIGURATION_IN_FORCE = _info(503, "configuration {version} is in force")
    DOMAIN_OUT = _warning(
        504, "failure domain {domain} is out of service since configuration "
        "{version}")
    DOMAIN_IN = _info(
        505, "failure domain {domain} is in service since configuration "
        "{version}")
    DOMAIN_EMPTY = _info(
        506, "no task runs in failure domain {domain} after {elapsed_ms} ms")
    TARGET_LEAVING = _info(507, "target {target} is leaving: {reason}")
    OPERATOR_UNAUTHORIZED = _warning(
        508, "request from {address} to the operator port carries no valid "
        "token")
    SEAT_CONFLICT = _error(
        509, "seat {seat} of failure domain {domain} is also held by {daemon}")

    PEER_CONNECTED = _info(601, "stream to peer {peer} opened")
    PEER_LOST = _warning(602, "stream to peer {peer} ended: {reason}")
    PEER_SILENT = _warning(
        603, "stream to peer {peer} closed after {silent_ms} ms of silence")
    PEER_MALFORMED = _warning(
        604, "stream to peer {peer} closed because of malformed input: "
        "{reason}")
    PEER_FRAME_TOO_LARGE = _warning(
        605, "stream to peer {peer} closed because of a frame of {size} bytes")
    PEER_VERSION_REFUSED = _warning(
        606, "peer {peer} uses protocol version {received}, expected "
        "{expected}")
    LOAN_EXPIRED = _info(
        607, "loan of {slots} slots of target {target} to peer {peer} expired")
    MEMBER_JOINED = _info(608, "daemon {member} joined failure domain {domain}")
    MEMBER_SILENT = _warning(
        609, "daemon {member} sent no heartbeat for {silent_ms} ms")
    MEMBER_LEFT = _info(610, "daemon {member} left failure domain {domain}")
    PREFERRED_SCHEDULER = _info(
        611, "daemon {member} is the preferred scheduler of failure domain "
        "{domain}")


class _FieldValues(dict):
    """Shows a missing field in place of failing."""

    def __missing__(self, key: str) -> str:
        return f"<{key} missing>"


class _EventLogger(logbook.Logger):
    """Logger of all events.

    Attributes:
        daemon: Name of the daemon, part of each line.
    """

    daemon = ""


_LOGGER = _EventLogger("gentianlead")


class _JSONFormatter:
    """Formats a record of logbook as one line of JSON."""

    def __call__(self, record: logbook.LogRecord,
                 handler: logbook.Handler) -> str:
        del handler  # Unused.
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": logbook.get_level_name(record.level).lower(),
            "event": record.extra["event"],
            "name": record.extra["name"],
            "daemon": record.extra["daemon"],
            "message": record.message,
            "fields": record.extra["fields"],
        }
        return json.dumps(line, default=str)


class _EventHandler(logbook.StreamHandler):
    """Writes events; a full or closed standard error never stops the daemon."""

    def __init__(self, stream: TextIO):
        super().__init__(stream, level=logbook.NOTSET)
        self.formatter = _JSONFormatter()

    def emit(self, record: logbook.LogRecord) -> None:
        try:
            super().emit(record)
        except (OSError, ValueError):  # `ValueError` when it is closed.
            pass


@contextlib.contextmanager
def open_event_log(daemon: str,
                   level: str,
                   stream: TextIO | None = None) -> Iterator[None]:
    """Writes the events of the whole process while its block runs.

    Args:
        daemon: Name of the daemon, part of each line.
        level: Lowest level that is written: `debug`, `info`, `warning` or
            `error`.
        stream: Where lines go; standard error by default.

    Yields:
        Nothing; events are written until the block ends.
    """
    outer = (_LOGGER.daemon, _LOGGER.level)
    _LOGGER.daemon = daemon
    _LOGGER.level = logbook.lookup_level(level.upper())
    # Tasks and callbacks do not all inherit the context of this block, so the
    # handler is bound to the process.
    try:
        with _EventHandler(stream or sys.stderr).applicationbound():
            yield
    finally:
        _LOGGER.daemon, _LOGGER.level = outer


def emit(event: Event, /, **fields: Any) -> None:
    """Writes an event.

    A field that the message template lacks is still part of the line, and a
    missing field is shown as missing: an event never fails its caller.

    Args:
        event: The event.
        **fields: Values of the fields; never secrets or request bodies.
    """
    spec = event.value
    if spec.level < _LOGGER.level:
        return
    _LOGGER.log(spec.level,
                spec.template.format_map(_FieldValues(fields)),
                extra={
                    "event": spec.number,
                    "name": event.name,
                    "daemon": _LOGGER.daemon,
                    "fields": fields,
                })
