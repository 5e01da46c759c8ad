"""Tests of the meter of the event loop's delay."""

import asyncio
import datetime
import unittest

from gentianlead import adapters
from gentianlead import ports


class SteppedClock(ports.Clock):
    """Clock that stands still until a test advances it.

    Attributes:
        time_s: Present monotonic time in seconds.
    """

    def __init__(self) -> None:
        self.time_s = 0.0
        self._wake_up = asyncio.Event()

    def monotonic(self) -> float:
        return self.time_s

    def now(self) -> datetime.datetime:
        raise NotImplementedError()

    async def sleep(self, duration: datetime.timedelta) -> None:
        await self._wake_up.wait()
        self._wake_up.clear()

    async def advance(self, seconds: float) -> None:
        """Advances the clock and then ends the present sleep."""
        self.time_s += seconds
        self._wake_up.set()
        await asyncio.sleep(0.001)


class LoopDelayMeterTest(unittest.IsolatedAsyncioTestCase):
    """Tests the sum and the maximum of the delays."""

    async def test_sum_and_maximum_after_each_tick(self):
        """Guards against a delay that is counted twice, or not while it lasts.
        """
        clock = SteppedClock()
        meter = adapters.LoopDelayMeter(clock)
        self.assertEqual(meter.read_total_s(), 0.0)
        task = asyncio.create_task(meter.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.001)
        # Time between two ticks in s, sum and maximum after it in s.
        cases = ((0.05, 0.0, 0.0), (0.35, 0.3, 0.3), (0.15, 0.4, 0.1),
                 (0.04, 0.4, 0.0))
        for seconds, total_s, max_s in cases:
            with self.subTest(seconds):
                clock.time_s += seconds
                self.assertAlmostEqual(meter.read_total_s(), total_s)
                await clock.advance(0.0)
                self.assertAlmostEqual(meter.read_total_s(), total_s)
                self.assertAlmostEqual(meter.take_max_s(), max_s)
