"""State machine of the stream of one-time requests."""

import collections
from typing import NamedTuple

import msgspec

from gentianlead import errors
from gentianlead import model
from gentianlead.state import _state_machine

MAX_KEYS = 100_000
"""Greatest number of idempotency keys that are stored. One more key removes the
key whose request began first, and a request with that key can then be sent
again."""


class OneTimeRequestEntry(NamedTuple):
    """The request that holds an idempotency key.

    Attributes:
        request_id: Identifier of the request.
        service: Name of the service that the request is sent to.
        status: HTTP status of the response; 0 until it is recorded.
    """

    request_id: str
    service: str
    status: int = 0


class OneTimeRequestStateMachine(_state_machine.StateMachine):
    """Stores which request holds each idempotency key.

    The first `OnceBegun` record of a key is accepted, and its request then
    holds the key. Further `OnceBegun` records of the key are rejected, also
    after the request ended. They are accepted again after the holder released
    the key, or after the key was removed because it was the oldest of more
    than `max_keys` keys.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._entries: collections.OrderedDict[str, OneTimeRequestEntry] = (
            collections.OrderedDict())

    def get(self, key: str) -> OneTimeRequestEntry | None:
        """Returns the request that holds a key, or None when none does."""
        return self._entries.get(key)

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, offset: int,
              record: model.Record) -> _state_machine.RecordVerdict:
        if isinstance(record, model.OnceBegun):
            return self._apply_request_begun(record)
        if isinstance(record, model.OnceEnded):
            return self._apply_request_ended(record)
        if isinstance(record, model.OnceReleased):
            return self._apply_key_released(record)
        return _state_machine.reject(
            f"{type(record).__name__} is not for this stream")

    def _apply_request_begun(
            self, record: model.OnceBegun) -> _state_machine.RecordVerdict:
        if record.key in self._entries:
            return _state_machine.reject("the key has already begun")
        self._entries[record.key] = OneTimeRequestEntry(record.request_id,
                                                        record.service)
        if len(self._entries) > self._max_keys:
            self._entries.popitem(last=False)
        return _state_machine.ACCEPTED

    def _apply_request_ended(
            self, record: model.OnceEnded) -> _state_machine.RecordVerdict:
        entry = self._entries.get(record.key)
        if entry is None or entry.request_id != record.request_id:
            return _state_machine.reject("the request does not hold the key")
        self._entries[record.key] = entry._replace(status=record.status)
        return _state_machine.ACCEPTED

    def _apply_key_released(
            self, record: model.OnceReleased) -> _state_machine.RecordVerdict:
        entry = self._entries.get(record.key)
        if entry is None or entry.request_id != record.request_id:
            return _state_machine.reject("the request does not hold the key")
        del self._entries[record.key]
        return _state_machine.ACCEPTED

    def dump(self) -> object:
        return [[key, *entry] for key, entry in self._entries.items()]

    def load(self, state: object) -> None:
        try:
            loaded = msgspec.convert(state, list[tuple[str, str, str, int]])
        except msgspec.ValidationError as error:
            raise errors.ProtocolError(
                f"malformed state of the once stream: {error}") from error
        self._entries = collections.OrderedDict(
            (key, OneTimeRequestEntry(*fields)) for key, *fields in loaded)
