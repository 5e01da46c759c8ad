"""Interface to the delay of the event loop."""

import abc


class LoopDelay(abc.ABC):
    """Tells by how much the event loop of the process has run late."""

    @abc.abstractmethod
    def read_total_s(self) -> float:
        """Returns the sum of all delays so far in seconds.

        It includes the present delay, and never decreases.
        """


class MeasuredLoopDelay(LoopDelay):
    """Measures the delay of the event loop while a task runs."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Measures until the task is cancelled."""

    @abc.abstractmethod
    def take_max_s(self) -> float:
        """Returns the longest delay since the last call of this method, in s.
        """
