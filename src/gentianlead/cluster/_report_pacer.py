"""Limits the share of a VM's link that reports to other daemons take."""

import asyncio
import datetime

from gentianlead import ports

MAX_LINK_SHARE = 0.5
"""Largest share of the link for reports. Without a limit, the reports to all
daemons of a large cluster leave at once and fill a slow link for most of the
time, and calls to workers that wait behind them time out."""

MAX_CREDIT = datetime.timedelta(milliseconds=50)
"""Time whose unused share may be used later. Without it, the share shrinks by
the delay of each timer, which is as long as a pause on a busy VM."""

MIN_PAUSE = datetime.timedelta(milliseconds=2)
"""Pauses that are shorter are left out and added to a later one, as each costs
a turn of the event loop."""


class ReportPacer:
    """Spreads reports over time, in the order in which they ask for a turn.

    Example:
        >>> pacer = ReportPacer(settings.link_mbit_s, clock)
        >>> async with pacer.turn:
        ...     await pacer.wait()
        ...     pacer.add_bytes(len(report))
        >>> await send(report)

    Attributes:
        turn: Held by the one report whose sending is awaited.
    """

    def __init__(self, link_mbit_s: float, clock: ports.Clock):
        """Creates a pacer.

        Args:
            link_mbit_s: Bandwidth of the VM's network link in Mbit/s; 0 if it
                is not known, so that nothing is limited.
            clock: Clock of the daemon.
        """
        self.turn = asyncio.Lock()
        self._bytes_per_s = MAX_LINK_SHARE * link_mbit_s * 1e6 / 8
        self._clock = clock
        # Monotonic time in seconds at which the bytes so far have been sent.
        self._free_at = 0.0

    async def wait(self) -> None:
        """Waits until the bytes that were added before have been sent."""
        pause = datetime.timedelta(seconds=self._free_at -
                                   self._clock.monotonic())
        if pause >= MIN_PAUSE:
            await self._clock.sleep(pause)

    def add_bytes(self, byte_count: int) -> None:
        """Adds bytes that are sent now."""
        if self._bytes_per_s:
            credit_from = (self._clock.monotonic() - MAX_CREDIT.total_seconds())
            self._free_at = (max(self._free_at, credit_from) +
                             byte_count / self._bytes_per_s)
