"""Entries of the workers' registry."""

import json

from gentianlead import errors
from gentianlead import ports
from gentianlead.platform import _fields

REGISTRY_TOPIC = "keyed.servers"
"""Topic in which workers register; the key is the worker's identifier."""

_STATES = {"ready": False, "draining": True}


def parse_entry(worker_id: str, data: bytes) -> ports.WorkerEntry:
    """Returns a worker's entry.

    Raises:
        ProtocolError: A field is missing or of the wrong type, or the state
            is unknown: the entry names no worker to use.
    """
    try:
        document = _fields.require_object(json.loads(data), "entry")
    except ValueError as error:
        raise errors.ProtocolError(f"entry is not JSON: {error}") from error
    state = _fields.read_text(document, "state")
    if state not in _STATES:
        raise errors.ProtocolError(f"state {state!r:.40} is unknown")
    capacity = _fields.require_object(document.get("capacity"), "capacity")
    labels = document.get("labels", [])
    if not isinstance(labels, list) or not all(
            isinstance(label, str) for label in labels):
        raise errors.ProtocolError(f"labels are {labels!r:.60}")
    address = _fields.read_text(document, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise errors.ProtocolError(f"address is {address!r:.60}")
    leaves_in_ms = (_fields.read_int(document, "remaining_ms")
                    if "remaining_ms" in document else None)
    return ports.WorkerEntry(worker_id=worker_id,
                             service=_fields.read_text(document, "service"),
                             address=address,
                             domain=_fields.read_text(document, "zone"),
                             is_draining=_STATES[state],
                             cpu_millis=_fields.read_int(capacity, "cpu", 0),
                             memory_mib=_fields.read_int(capacity, "mem_mb", 0),
                             accelerators=_fields.read_int(capacity, "gpu", 0),
                             labels=frozenset(labels),
                             born_ms=_fields.read_int(document, "born", 0),
                             leaves_in_ms=leaves_in_ms)
