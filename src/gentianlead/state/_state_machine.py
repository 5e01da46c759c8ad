"""Interface of the state machines that are replicated through the log."""

import abc
from typing import NamedTuple

from gentianlead import model


class RecordVerdict(NamedTuple):
    """States whether a record changed the state or was rejected.

    Attributes:
        is_accepted: Whether the record was applied to the state.
        reason: Explanation of a rejection; empty when the record is accepted.
    """

    is_accepted: bool
    reason: str = ""


ACCEPTED = RecordVerdict(True)


def reject(reason: str) -> RecordVerdict:
    """Returns the verdict on a record that leaves the state unchanged."""
    return RecordVerdict(False, reason)


class StateMachine(abc.ABC):
    """State of one stream, changed only by the stream's records.

    `apply` must be deterministic: it may depend on the current state, the
    offset and the record, but not on time, randomness or the local daemon.
    """

    @abc.abstractmethod
    def apply(self, offset: int, record: model.Record) -> RecordVerdict:
        """Applies a record to the state, or rejects it.

        Args:
            offset: Offset of the record in its stream.
            record: Record to apply.

        Returns:
            The verdict on the record.
        """

    @abc.abstractmethod
    def dump(self) -> object:
        """Returns the whole state as values that msgpack can serialize."""

    @abc.abstractmethod
    def load(self, state: object) -> None:
        """Replaces the whole state with a serialized one.

        Args:
            state: Value that `dump` returned, after msgpack decoded it.

        Raises:
            ProtocolError: The value does not have the form of a state.
        """
