"""Interface of the state machines that are replicated through the log."""

import abc
from typing import NamedTuple

from gentianlead import model


class RecordVerdict(NamedTuple):
    """Whether a record was accepted or rejected, and why it was rejected.

    Attributes:
        is_accepted: Whether the record was accepted.
        reason: Explanation of a rejection; empty when the record is accepted.
    """

    is_accepted: bool
    reason: str = ""


ACCEPTED = RecordVerdict(True)


def reject(reason: str) -> RecordVerdict:
    """Returns a verdict that rejects a record for the given reason."""
    return RecordVerdict(False, reason)


class StateMachine(abc.ABC):
    """State of one stream, changed only by its records and its snapshots.

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
            ProtocolError: The value is not a valid state of the stream.
        """
