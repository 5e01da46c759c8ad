"""Reads the settings file of a daemon, which has the platform's format."""

import datetime
import math
import tomllib
from typing import Any, NamedTuple

from gentianlead import errors
from gentianlead.platform import _store

SETTINGS_PATH_VARIABLE = "GENTIANLEAD_NODE_FILE"
"""Environment variable with the path of the settings file."""

_DEFAULT_BOUNDS = {
    "hold_max_ms": 6000,
    "stop_ms": 1000,
    "gang_ms": 3000,
    "status_s": 120,
    "grace_s": 6,
    "drain_ms": 2000,
}
"""Defaults for the fields of the table `bounds` in the settings file. The
suffix of a name is its unit."""

_DEFAULT_REPORT_INTERVAL_MS = 1500
"""Interval in milliseconds at which workers report to the registry, if the
settings do not name it."""


class DaemonSettings(NamedTuple):
    """Settings of a daemon from the settings file of the platform.

    Attributes:
        node: Name of the daemon.
        domain: Failure domain of the daemon.
        domains: Names of all failure domains, sorted.
        caller_address: `host:port` at which the daemon serves callers.
        ready_address: `host:port` at which the daemon reports readiness.
        peer_host: IP address at which peers reach the daemon.
        peer_ports: First and last port that daemons may use for connections
            between them.
        store_address: `host:port` of the store.
        store_writes_per_s: Limit of the store on appends per second, for all
            daemons together.
        store_limits: Sizes that the store accepts.
        advisory_address: `host:port` of the advisory service, or empty.
        vm_service_address: `host:port` of the VM service, or empty.
        max_lease: Maximum duration of a worker's lease.
        stop_limit: Maximum time that a worker takes to stop a run.
        status_retention: Time for which the state of an ended job is retained.
        stop_grace: Time that the platform leaves a process between the stop
            signal and the kill signal.
        worker_report_interval: Interval at which workers report to the
            registry.
        processor_cores: Processor of the VM, in cores of the platform's
            reference speed; 0 if it is not known.
        link_mbit_s: Bandwidth of the VM's network link in Mbit/s; 0 if it is
            not known.
    """

    node: str
    domain: str
    domains: tuple[str, ...]
    caller_address: str
    ready_address: str
    peer_host: str
    peer_ports: tuple[int, int]
    store_address: str
    store_writes_per_s: float
    store_limits: _store.StoreLimits
    advisory_address: str
    vm_service_address: str
    max_lease: datetime.timedelta
    stop_limit: datetime.timedelta
    status_retention: datetime.timedelta
    stop_grace: datetime.timedelta
    worker_report_interval: datetime.timedelta = datetime.timedelta(
        milliseconds=_DEFAULT_REPORT_INTERVAL_MS)
    processor_cores: float = 0.0
    link_mbit_s: float = 0.0


def _read_bounds(document: dict[str, Any]) -> dict[str, float]:
    """Returns the fields of the table `bounds`.

    A missing or malformed field gets its default.
    """
    bounds = document.get("bounds")
    values = dict(_DEFAULT_BOUNDS)
    if isinstance(bounds, dict):
        for name in values:
            value = bounds.get(name)
            if isinstance(value, (int, float)) and not isinstance(value, bool):
                values[name] = value
    return values


def _read_capacity(document: dict[str, Any]) -> tuple[float, float]:
    """Returns the processor in cores and the link in Mbit/s of the VM.

    A value is 0 if a field that it depends on is missing or malformed.
    """
    limits = document.get("limits")
    if not isinstance(limits, dict):
        return 0.0, 0.0
    return (_read_amount(
        _read_amount(limits.get("cpu_share")) *
        _read_amount(limits.get("cores"))),
            _read_amount(limits.get("link_mbps")))


def _read_amount(value: object) -> float:
    """Returns a number above 0, or 0 for all other values."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0.0
    try:
        amount = float(value)
    except OverflowError:
        return 0.0
    return amount if amount > 0 and math.isfinite(amount) else 0.0


def parse_settings(text: str) -> DaemonSettings:
    """Decodes the text of a settings file.

    Raises:
        SettingsError: A required setting is missing or malformed.
    """
    try:
        document = tomllib.loads(text)
        bounds = _read_bounds(document)
        processor_cores, link_mbit_s = _read_capacity(document)
        listen = document["listen_addrs"]
        vm_service = document.get("cloud_api") or {}
        first_port, last_port = document["port_range"]
        return DaemonSettings(
            node=str(document["node_name"]),
            domain=str(document["zone"]),
            # The table `zones` maps each failure domain to its region.
            domains=tuple(sorted(document["zones"])),
            caller_address=str(listen["front"]),
            ready_address=str(listen["ready"]),
            peer_host=str(document["ip"]),
            peer_ports=(int(first_port), int(last_port)),
            store_address=str(document["platform"]["address"]),
            store_writes_per_s=float(document["platform"]["writes_per_s"]),
            store_limits=_store.StoreLimits(
                int(document["platform"].get(
                    "record_bytes",
                    _store.StoreLimits().record_bytes)),
                int(document["platform"].get("call_bytes",
                                             _store.StoreLimits().call_bytes))),
            advisory_address=str(document.get("advice") or ""),
            vm_service_address=str(vm_service.get("address") or ""),
            max_lease=datetime.timedelta(milliseconds=bounds["hold_max_ms"]),
            stop_limit=datetime.timedelta(milliseconds=bounds["stop_ms"]),
            status_retention=datetime.timedelta(seconds=bounds["status_s"]),
            stop_grace=datetime.timedelta(seconds=bounds["grace_s"]),
            worker_report_interval=datetime.timedelta(milliseconds=float(
                document.get("heartbeat_ms", _DEFAULT_REPORT_INTERVAL_MS))),
            processor_cores=processor_cores,
            link_mbit_s=link_mbit_s)
    except KeyError as error:
        raise errors.SettingsError(
            f"setting {error.args[0]!r} is missing") from error
    except (ValueError, TypeError, AttributeError, OverflowError,
            RecursionError) as error:
        raise errors.SettingsError(
            f"a setting is malformed: {error}") from error


def read_settings(path: str) -> DaemonSettings:
    """Reads a settings file.

    Raises:
        SettingsError: The file cannot be read, or a setting is missing or
            malformed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
