"""The operators' records in the store, decoded into the project's words."""

import json
from typing import Any

from gentianlead import errors
from gentianlead import model
from gentianlead.platform import _fields

OPERATOR_TOPIC = "keyed.op"
"""Topic that the operators write to."""

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""Keys of the operators' topic, without the prefix `op/` of the pages."""

DEFAULT_BODY_BYTES = 262_144
"""Longest body of a request where the configuration does not say."""


def _parse_queue(value: Any) -> model.Queue:
    row = _fields.require_object(value, "a route")
    advice = row.get("advice")
    return model.Queue(
        host=_fields.read_text(row, "host").lower(),
        path_prefix=_fields.read_text(row, "path_prefix"),
        service=_fields.read_text(row, "service"),
        priority=_fields.read_int(row, "priority", 0),
        max_attempts=max(1, _fields.read_int(row, "max_attempts", 1)),
        # The factor applies to the ideal duration, not to the deadline.
        objective_factor=_fields.read_number(row, "deadline_factor", 2.0),
        objective_slack_ms=_fields.read_int(row, "target_latency_ms", 0),
        needs_permit=isinstance(advice, dict))


def parse_configuration(
        data: bytes) -> tuple[model.FleetConfiguration, list[str]]:
    """Returns a configuration and what in it cannot be used.

    A route or service that cannot be read is left out and reported; the
    others hold.

    Raises:
        ProtocolError: The whole record cannot be read.
    """
    try:
        document = _fields.require_object(json.loads(data), "configuration")
    except ValueError as error:
        raise errors.ProtocolError(
            f"the configuration is not JSON: {error}") from error
    version = _fields.read_int(document, "version")
    problems: list[str] = []
    queues = []
    for row in document.get("routes") or ():
        try:
            queues.append(_parse_queue(row))
        except errors.ProtocolError as error:
            problems.append(f"route left out: {error}")
    guarded = set()
    names = set()
    for row in document.get("services") or ():
        try:
            service = _fields.require_object(row, "a service")
            name = _fields.read_text(service, "name")
            names.add(name)
            if _fields.read_flag(service, "enforces_capacity"):
                guarded.add(name)
        except errors.ProtocolError as error:
            problems.append(f"service left out: {error}")
    limits = document.get("limits")
    body_bytes = (_fields.read_int(limits, "max_body_bytes", DEFAULT_BODY_BYTES)
                  if isinstance(limits, dict) else DEFAULT_BODY_BYTES)
    return model.FleetConfiguration(version, tuple(queues), frozenset(guarded),
                                    frozenset(names), body_bytes), problems
