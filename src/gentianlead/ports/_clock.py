"""Clock interface, injected so that tests can control the time."""

import abc
import datetime


class Clock(abc.ABC):
    """Provides monotonic time, wall-clock time and asynchronous sleep."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns the time in seconds on a clock that never goes backwards."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspends the caller for `duration`."""
