"""Interface to the delay of the event loop."""

import abc


class LoopDelay(abc.ABC):
    """Tells by how much the event loop of the process has run late."""

    @abc.abstractmethod
    def read_total_s(self) -> float:
        """Returns the sum of all delays so far in seconds.

        It includes the present delay, and never decreases.
        """
