"""Decodes the records that operators write to the store."""

from typing import Any

from gentianlead import errors
from gentianlead import model
from gentianlead.platform import _fields
from gentianlead.platform import _json

OPERATOR_TOPIC = "keyed.op"
"""Topic to which operators write the configuration and domain evacuations."""

CONFIGURATION_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"
"""Key of the configuration and prefix of the keys of evacuated domains. The
platform's documentation writes them with a prefix `op/`, which the keys in the
topic do not have."""

DEFAULT_MAX_BODY_BYTES = 262_144
"""Maximum size of a request body in bytes if the configuration states none."""


def _parse_queue(value: Any) -> model.Queue:
    route = _fields.require_object(value, "a route")
    advice = route.get("advice")
    return model.Queue(
        host=_fields.read_string(route, "host").lower(),
        path_prefix=_fields.read_string(route, "path_prefix"),
        service=_fields.read_string(route, "service"),
        priority=_fields.read_int(route, "priority", 0),
        max_attempts=max(1, _fields.read_int(route, "max_attempts", 1)),
        # The wire name misleads: the factor applies to the ideal duration.
        objective_factor=_fields.read_number(route, "deadline_factor", 2.0),
        objective_slack_ms=_fields.read_int(route, "target_latency_ms", 0),
        needs_permit=isinstance(advice, dict))


def parse_configuration(
        encoded_configuration: bytes
) -> tuple[model.FleetConfiguration, list[str]]:
    """Decodes a configuration.

    A malformed route or service is skipped, and the others apply.

    Returns:
        The configuration, and a message for each skipped route or service.

    Raises:
        ProtocolError: The record is not a JSON object, or its version, its
            limits or the list of routes or services is malformed.
    """
    document = _json.decode_object(encoded_configuration, "the configuration")
    version = _fields.read_int(document, "version")
    problems: list[str] = []
    queues = []
    for value in _fields.read_list(document, "routes"):
        try:
            queues.append(_parse_queue(value))
        except errors.ProtocolError as error:
            problems.append(f"skipped a malformed route: {error}")
    capacity_enforcing_services = set()
    service_names = set()
    for value in _fields.read_list(document, "services"):
        try:
            service = _fields.require_object(value, "a service")
            name = _fields.read_string(service, "name")
            service_names.add(name)
            if _fields.read_bool(service, "enforces_capacity"):
                capacity_enforcing_services.add(name)
        except errors.ProtocolError as error:
            problems.append(f"skipped a malformed service: {error}")
    limits = document.get("limits")
    max_body_bytes = (_fields.read_int(
        limits, "max_body_bytes", DEFAULT_MAX_BODY_BYTES) if isinstance(
            limits, dict) else DEFAULT_MAX_BODY_BYTES)
    return model.FleetConfiguration(version, tuple(queues),
                                    frozenset(capacity_enforcing_services),
                                    frozenset(service_names),
                                    max_body_bytes), problems
