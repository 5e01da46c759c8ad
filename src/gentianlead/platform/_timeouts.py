"""Time limits that leave out the delay of the event loop."""

import asyncio
import datetime
from types import TracebackType

from gentianlead import ports

NEGLIGIBLE_DELAY = datetime.timedelta(milliseconds=20)
"""Delay of the event loop that prolongs a wait no further. The timers of a loop
that has little to do fire late by 1 ms each."""

MIN_EXTENSION = datetime.timedelta(milliseconds=5)
"""Shortest extension, in which the loop polls its sockets. When a timer fires,
data that has arrived may wait in a socket, or for the task that reads it."""


class DelayTolerantTimeout:
    """Cancels its block after a timeout, to which loop delays are added.

    A reply that has arrived is read late if the event loop runs late. At the
    end of the timeout, the block gets the time by which the loop was late since
    it was entered, and so on until no further delay has come up meanwhile. It
    gets at least `MIN_EXTENSION` once.

    Example:
        >>> async with DelayTolerantTimeout(timeout, end_limit, loop_delay):
        ...     await reply  # Raises TimeoutError.

    Args:
        timeout: Time for the block on a loop that is not late.
        end_limit: Time for the block with all extensions. A block whose limit
            ends while the loop is late gets `MIN_EXTENSION` beyond it.
        loop_delay: Delay of the event loop.
    """

    def __init__(self, timeout: datetime.timedelta,
                 end_limit: datetime.timedelta, loop_delay: ports.LoopDelay):
        self._timeout_s = timeout.total_seconds()
        self._end_limit_s = end_limit.total_seconds()
        self._loop_delay = loop_delay
        self._time_limit = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        # Times of the event loop in seconds.
        self._latest_end = 0.0
        self._due_at = 0.0
        self._known_delay_s = 0.0
        self._extension_count = 0

    async def __aenter__(self) -> None:
        now = asyncio.get_running_loop().time()
        self._latest_end = now + self._end_limit_s
        self._known_delay_s = self._loop_delay.read_total_s()
        await self._time_limit.__aenter__()
        self._start_timer(now, self._timeout_s)

    async def __aexit__(self, error_type: type[BaseException] | None,
                        error: BaseException | None,
                        traceback: TracebackType | None) -> bool | None:
        self._timer.cancel()
        return await self._time_limit.__aexit__(error_type, error, traceback)

    def _start_timer(self, now: float, wait_s: float) -> None:
        self._due_at = now + wait_s
        self._timer = asyncio.get_running_loop().call_later(
            wait_s, self._extend_or_cancel)

    def _extend_or_cancel(self) -> None:
        now = asyncio.get_running_loop().time()
        total_delay_s = self._loop_delay.read_total_s()
        # The meter does not see a delay between two of its ticks.
        delay_s = max(total_delay_s - self._known_delay_s, now - self._due_at)
        self._known_delay_s = total_delay_s
        is_late = delay_s >= NEGLIGIBLE_DELAY.total_seconds()
        if self._extension_count and (not is_late or now >= self._latest_end):
            self._time_limit.reschedule(now)
            return
        self._extension_count += 1
        self._start_timer(
            now,
            max(MIN_EXTENSION.total_seconds(),
                min(delay_s, self._latest_end - now) if is_late else 0.0))
