"""Writes snapshots of streams when they are due."""

import asyncio
import datetime

from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead import streams
from gentianlead.control import _observer
from gentianlead.control import _running_coroutines

PARTS_IN_FLIGHT = 4
"""Number of parts of a snapshot that are appended together. Their 256 KiB take
0.4 s on a link of 5 Mbit/s; other records of the stream wait for so long."""

PART_TIMEOUT = datetime.timedelta(seconds=20)
"""Time after which a part that was not read is appended again."""

RETRY_DELAY = datetime.timedelta(milliseconds=100)

OVERDUE_FACTOR = 2
"""Multiple of the age at which a snapshot is due from which on it is reported
as overdue. It is then half of the log's retention."""


class SnapshotWriter:
    """Writes due snapshots in the background.

    Args:
        incarnation: Incarnation of this daemon, the start of the identifiers of
            its snapshots.
        policy: Decides when a snapshot of a stream is due.
        clock: Source of time.
        random: Source of identifiers for snapshots.
        background_coroutines: Runs the writing of a snapshot.
        observer: Receives the snapshots that were written or are overdue.
    """

    def __init__(
            self, incarnation: str, policy: streams.SnapshotPolicy,
            clock: ports.Clock, random: ports.RandomSource,
            background_coroutines: _running_coroutines.BackgroundCoroutines,
            observer: _observer.ControlObserver):
        self._incarnation = incarnation
        self._policy = policy
        self._clock = clock
        self._random = random
        self._background_coroutines = background_coroutines
        self._observer = observer
        # Streams whose snapshot was reported as overdue and still is due.
        self._overdue_streams: set[str] = set()

    def write_if_due(self,
                     client: streams.StreamClient,
                     now: float,
                     turn: int = 0) -> None:
        """Starts to write a snapshot if one is due and none is being written.

        Args:
            client: Client of the stream.
            now: Monotonic time in seconds.
            turn: Number of daemons that write snapshots of the stream before
                this one.
        """
        if not self._policy.is_due(client, now, turn):
            self._overdue_streams.discard(client.stream)
            return
        self._background_coroutines.start(("snapshot", client.stream),
                                          self._write_snapshot(client))
        age = self._policy.get_age(client, now)
        if (client.stream not in self._overdue_streams and
                age >= OVERDUE_FACTOR * self._policy.max_snapshot_age):
            self._overdue_streams.add(client.stream)
            self._observer.on_snapshot_overdue(client.stream, age)

    async def _write_snapshot(self, client: streams.StreamClient) -> None:
        """Writes a snapshot, a few parts at a time.

        Records of this daemon wait at most for a few parts, and parts that were
        written are not written again when a later one fails.
        """
        parts = client.replica.build_snapshot(
            f"{self._incarnation}/{self._random.generate_id()}")
        give_up_at = (self._clock.monotonic() +
                      self._policy.max_snapshot_age.total_seconds())
        for start in range(0, len(parts), PARTS_IN_FLIGHT):
            are_written = await asyncio.gather(
                *(self._append_part(client, part, give_up_at)
                  for part in parts[start:start + PARTS_IN_FLIGHT]))
            if not all(are_written):
                return
        self._observer.on_snapshot_written(
            client.stream, parts[0].through_offset, len(parts),
            sum(len(part.data) for part in parts))

    async def _append_part(self, client: streams.StreamClient,
                           part: model.SnapshotPart, give_up_at: float) -> bool:
        """Appends a part until it was read, and returns whether it was.

        Args:
            client: Client of the stream.
            part: Part to append. A second copy of it has no effect.
            give_up_at: Monotonic time in seconds from which on a failed append
                is not repeated, because the records after the snapshot would
                expire too soon after its end.
        """
        while client.replica.is_complete:
            try:
                await client.submit(part, PART_TIMEOUT)
                return True
            except errors.LogUnavailableError:
                if self._clock.monotonic() >= give_up_at:
                    return False
            await self._clock.sleep(RETRY_DELAY)
        return False
