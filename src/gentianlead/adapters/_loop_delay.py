"""Measures by how much the event loop of the process runs late."""

import datetime

from gentianlead import ports

TICK_INTERVAL = datetime.timedelta(milliseconds=50)
"""Interval of the timer whose delay is measured. A delay that ends before the
next tick is due is not seen."""


class LoopDelayMeter(ports.MeasuredLoopDelay):
    """Sums by how much a periodic timer of the event loop fires late.

    The loop is late while it runs other code for long, or while the process
    gets no processor time.

    Example:
        >>> meter = LoopDelayMeter(clock)
        >>> task = asyncio.create_task(meter.run())
        >>> total_before_s = meter.read_total_s()
        >>> await work()
        >>> delay_s = meter.read_total_s() - total_before_s
    """

    def __init__(self, clock: ports.Clock):
        self._clock = clock
        self._total_s = 0.0
        self._max_s = 0.0
        # Monotonic time in seconds; None while the timer does not run.
        self._due_at: float | None = None

    async def run(self) -> None:
        try:
            while True:
                self._due_at = (self._clock.monotonic() +
                                TICK_INTERVAL.total_seconds())
                await self._clock.sleep(TICK_INTERVAL)
                delay_s = self._read_present_s()
                self._total_s += delay_s
                self._max_s = max(self._max_s, delay_s)
        finally:
            self._due_at = None

    def read_total_s(self) -> float:
        return self._total_s + self._read_present_s()

    def take_max_s(self) -> float:
        max_s = max(self._max_s, self._read_present_s())
        self._max_s = 0.0
        return max_s

    def _read_present_s(self) -> float:
        if self._due_at is None:
            return 0.0
        return max(0.0, self._clock.monotonic() - self._due_at)
