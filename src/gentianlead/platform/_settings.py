"""Settings file of the platform, decoded into the project's words."""

import datetime
import tomllib
from typing import Any, NamedTuple

from gentianlead import errors

SETTINGS_VARIABLE = "GENTIANLEAD_NODE_FILE"
"""Environment variable with the path of the settings file."""

_DEFAULT_BOUNDS = {
    "hold_max_ms": 6000,
    "stop_ms": 1000,
    "gang_ms": 3000,
    "status_s": 120,
    "grace_s": 6,
    "drain_ms": 2000,
}
"""Values for bounds that a settings file leaves out."""


class NodeSettings(NamedTuple):
    """What a daemon learns from the platform.

    Attributes:
        node: Name of the daemon.
        domain: Failure domain of the daemon.
        domains: All failure domains.
        caller_address: Where callers are served; the platform calls it front.
        ready_address: Where readiness is asked for.
        peer_host: Address that peers reach the daemon at.
        peer_ports: First and last port that daemons may use among themselves.
        store_address: `host:port` of the store.
        store_writes_per_s: Appends of all daemons together in a second.
        advice_address: `host:port` of the advisory service, or empty.
        machines_address: `host:port` of the machine service, or empty.
        max_lease: Longest lease of a worker.
        stop_limit: Longest time that a worker takes to stop a run.
        status_retention: Time for which the state of an ended job is kept.
        stop_grace: Time between the stop signal and the kill.
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
    advice_address: str
    machines_address: str
    max_lease: datetime.timedelta
    stop_limit: datetime.timedelta
    status_retention: datetime.timedelta
    stop_grace: datetime.timedelta


def _read_bounds(document: dict[str, Any]) -> dict[str, float]:
    bounds = document.get("bounds")
    values = dict(_DEFAULT_BOUNDS)
    if isinstance(bounds, dict):
        for name in values:
            value = bounds.get(name)
            if isinstance(value, (int, float)) and not isinstance(value, bool):
                values[name] = value
    return values


def parse_settings(text: str) -> NodeSettings:
    """Returns the settings in a file of the platform.

    Raises:
        SettingsError: A setting that the daemon needs is missing or unusable.
    """
    try:
        document = tomllib.loads(text)
        bounds = _read_bounds(document)
        listen = document["listen_addrs"]
        cloud = document.get("cloud_api") or {}
        first_port, last_port = document["port_range"]
        return NodeSettings(
            node=str(document["node_name"]),
            domain=str(document["zone"]),
            # The keys are failure domains, the values their regions.
            domains=tuple(sorted(document["zones"])),
            caller_address=str(listen["front"]),
            ready_address=str(listen["ready"]),
            peer_host=str(document["ip"]),
            peer_ports=(int(first_port), int(last_port)),
            store_address=str(document["platform"]["address"]),
            store_writes_per_s=float(document["platform"]["writes_per_s"]),
            advice_address=str(document.get("advice") or ""),
            machines_address=str(cloud.get("address") or ""),
            max_lease=datetime.timedelta(milliseconds=bounds["hold_max_ms"]),
            stop_limit=datetime.timedelta(milliseconds=bounds["stop_ms"]),
            status_retention=datetime.timedelta(seconds=bounds["status_s"]),
            stop_grace=datetime.timedelta(seconds=bounds["grace_s"]))
    except KeyError as error:
        raise errors.SettingsError(
            f"setting {error.args[0]!r} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise errors.SettingsError(f"settings are unusable: {error}") from error


def read_settings(path: str) -> NodeSettings:
    """Reads a settings file.

    Raises:
        SettingsError: The file cannot be read or used.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read())
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error}") from error
