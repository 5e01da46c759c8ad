"""Append requests for the job topic, and their division into store calls."""

import asyncio
import datetime
from typing import NamedTuple, Sequence

from gentianlead import errors
from gentianlead import ports

MAX_BATCH_RECORDS = 200
"""Number of records from which on no further append request is added to a call
to the store. The last request that is added may raise the call above this
number."""

MAX_BATCH_BYTES = 64 * 1024
"""Size that append requests may have together to share a call to the store. It
takes 0.1 s on a link of 5 Mbit/s and 1 s on a tenth of it, so that a call does
not last longer than other daemons wait for a sign of life of a leader."""

APPEND_TIMEOUT = datetime.timedelta(milliseconds=900)
"""Longest wait for the reply to an append call, without the time for the
transfer of its records; after it the call is repeated. A store that is slow by
a factor of 60 completes a queue of a few appends in this time."""

MAX_APPEND_TIMEOUT = datetime.timedelta(seconds=5)
"""Longest wait for the reply to an append call of any size. It covers the
largest record that the store accepts at a tenth of a link of 5 Mbit/s."""

EXPECTED_BYTES_PER_S = 62_500
"""Rate for which the first call allows: a tenth of a link of 5 Mbit/s."""

MAX_DOUBLINGS = 4
"""How often the time for the transfer may double. Calls with less than 1 KB
thus end within 1.2 s, so that a dead connection is still found soon."""

_RECORD_OVERHEAD_BYTES = 5
"""Bytes that the encoding for the store adds to the key and the value of a
record: their lengths."""


class PendingAppend(NamedTuple):
    """Request to append records that the store has not confirmed yet.

    Attributes:
        records: The records to append.
        byte_count: Encoded size of the records in bytes.
        future: Receives the offset of the first record (-1 if it is unknown),
            or the error.
        give_up_at: Monotonic time in seconds after which the caller gets an
            error although the records may be stored.
        refuse_at: Monotonic time in seconds after which the request is dropped
            and the caller gets an error, if the records are certainly not
            stored.
        replacements: Records that calls after `give_up_at` append instead, one
            for each of `records`; empty if they still append `records`.
    """

    records: list[ports.KeyedRecord]
    byte_count: int
    future: asyncio.Future
    give_up_at: float
    refuse_at: float
    replacements: tuple[ports.KeyedRecord, ...] = ()


class AppendQueue:
    """Append requests that are not part of a call to the store yet, in order.
    """

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self._appends: list[PendingAppend] = []

    def __len__(self) -> int:
        return len(self._appends)

    def add(self, pending: PendingAppend) -> None:
        """Adds a request at the end."""
        self._appends.append(pending)

    def take_batch(self) -> list[PendingAppend]:
        """Removes and returns the first requests, for one call to the store.

        A request is never divided, so a single one may exceed the limits.
        """
        batch: list[PendingAppend] = []
        record_count = 0
        byte_count = 0
        for pending in self._appends:
            byte_count += pending.byte_count
            if batch and (record_count >= MAX_BATCH_RECORDS or
                          byte_count > MAX_BATCH_BYTES):
                break
            batch.append(pending)
            record_count += len(pending.records)
        del self._appends[:len(batch)]
        return batch

    def refuse_expired(self) -> None:
        """Fails and removes the requests whose `refuse_at` has passed."""
        self._appends = refuse_expired(self._appends, self._clock.monotonic())

    def fail_all(self, error: ports.StoreError) -> None:
        """Fails and removes all requests."""
        fail_appends(self._appends, error)
        self._appends.clear()


class CallLimit:
    """Time limit of append calls, which follows the rate of a slow link.

    The time for the transfer doubles after each call that got no reply, and is
    halved after each call that succeeded. A repeated call thus gets the time
    that it needs, instead of ending at the same point each time.
    """

    def __init__(self) -> None:
        self._doublings = 0

    def compute_timeout(self, byte_count: int) -> datetime.timedelta:
        """Returns the time limit of a call with `byte_count` bytes of records.
        """
        transfer_s = byte_count / EXPECTED_BYTES_PER_S * 2**self._doublings
        return min(MAX_APPEND_TIMEOUT,
                   APPEND_TIMEOUT + datetime.timedelta(seconds=transfer_s))

    def lengthen(self) -> None:
        """Allows more time for transfers, after a call without a reply."""
        self._doublings = min(MAX_DOUBLINGS, self._doublings + 1)

    def shorten(self) -> None:
        """Allows less time for transfers, after a call that succeeded."""
        self._doublings = max(0, self._doublings - 1)


def count_bytes(records: Sequence[ports.KeyedRecord]) -> int:
    """Returns the encoded size of records in a call to the store, in bytes."""
    return sum(
        len(record.key.encode()) + len(record.value) + _RECORD_OVERHEAD_BYTES
        for record in records)


def refuse_expired(appends: list[PendingAppend],
                   now: float) -> list[PendingAppend]:
    """Fails the requests whose `refuse_at` has passed; returns the others.

    May be called only if the records are certainly not stored.
    """
    fail_appends([pending for pending in appends if pending.refuse_at <= now],
                 ports.StoreError(
                     "the store did not accept the records in time",
                     errors.Verdict.DID_NOT_RUN))
    return [pending for pending in appends if pending.refuse_at > now]


def report_unknown_outcomes(appends: list[PendingAppend], now: float) -> None:
    """Reports an unknown outcome to callers whose `give_up_at` has passed."""
    fail_appends([pending for pending in appends if pending.give_up_at <= now],
                 ports.StoreError("the outcome of the append is unknown",
                                  errors.Verdict.MAY_HAVE_RUN))


def replace_expired(appends: list[PendingAppend],
                    now: float) -> list[PendingAppend]:
    """Gives up expired requests, and returns all with their replacements.

    Only requests with replacements are given up, with an unknown outcome: the
    caller must not take the success of a later call for that of its records.
    The number of records stays the same, and with it the offsets of those that
    follow. If an earlier call has stored the records, the store replies to the
    repeated call as to that one, and does not store the replacements.
    """
    report_unknown_outcomes(
        [pending for pending in appends if pending.replacements], now)
    return [
        pending._replace(records=list(pending.replacements))
        if pending.replacements and pending.give_up_at <= now else pending
        for pending in appends
    ]


def fail_appends(appends: list[PendingAppend], error: ports.StoreError) -> None:
    """Raises an error to the callers of requests that are not completed."""
    for pending in appends:
        if not pending.future.done():
            pending.future.set_exception(error)
            # Marks the error as retrieved; asyncio logs a warning otherwise if
            # the caller no longer waits.
            pending.future.exception()
