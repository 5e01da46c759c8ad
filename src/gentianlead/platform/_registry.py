"""Decodes the entries of the worker registry."""

import re

from gentianlead import errors
from gentianlead import ports
from gentianlead.platform import _fields
from gentianlead.platform import _json

REGISTRY_TOPIC = "keyed.servers"
"""Topic of the worker registry; a record's key is the worker's identifier."""

_REPORT_COUNTERS = tuple(
    (re.compile(name + rb": ?(?:0|[1-9][0-9]{0,17})(?=[,}])"), name + b":0")
    for name in (b'"sequence"', b'"clock_ms"'))
"""Pattern and replacement of fields that change with each report of a worker
and that `parse_worker_entry` ignores. The replacement leaves a document that is
malformed if and only if the entry is: only whole numbers as in JSON match, and
nothing in a JSON string does, as the quotation marks in it are escaped."""

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def clear_report_counters(encoded_entry: bytes) -> bytes:
    """Returns an entry in which the counters of a worker's reports are 0.

    If the results for two entries are equal, `parse_worker_entry` decodes both
    entries alike, or refuses both.
    """
    for pattern, replacement in _REPORT_COUNTERS:
        encoded_entry = pattern.sub(replacement, encoded_entry)
    return encoded_entry


def parse_worker_entry(worker_id: str,
                       encoded_entry: bytes) -> ports.WorkerEntry:
    """Decodes a worker's entry in the registry.

    Raises:
        ProtocolError: A field is missing, of the wrong type or out of range,
            or the identifier is not printable, so the worker cannot be used.
    """
    if not worker_id or not worker_id.isprintable():
        # Requests to the worker carry its identifier in a header.
        raise errors.ProtocolError("the identifier is not printable")
    document = _json.decode_object(encoded_entry, "registry entry")
    state = _fields.read_string(document, "state")
    if state not in _IS_DRAINING_BY_STATE:
        raise errors.ProtocolError(
            f"unknown worker state {_fields.describe(state)}")
    capacity = _fields.require_object(document.get("capacity"), "capacity")
    labels = document.get("labels", [])
    if not isinstance(labels, list) or not all(
            isinstance(label, str) for label in labels):
        raise errors.ProtocolError(
            f"labels are {_fields.describe(labels)}, expected strings")
    leaves_in_ms = (_fields.read_int(document, "remaining_ms")
                    if "remaining_ms" in document else None)
    return ports.WorkerEntry(worker_id=worker_id,
                             service=_fields.read_string(document, "service"),
                             address=_fields.read_address(document, "address"),
                             domain=_fields.read_string(document, "zone"),
                             is_draining=_IS_DRAINING_BY_STATE[state],
                             cpu_millis=_fields.read_amount(capacity, "cpu"),
                             memory_mib=_fields.read_amount(capacity, "mem_mb"),
                             accelerators=_fields.read_amount(capacity, "gpu"),
                             labels=frozenset(labels),
                             born_ms=_fields.read_int(document, "born", 0),
                             leaves_in_ms=leaves_in_ms)
