"""Interface to the platform's list of VMs, which lags behind the real state."""

import abc

from gentianlead import model


class VMList(abc.ABC):
    """Reads the platform's list of VMs."""

    @abc.abstractmethod
    async def list_vms(self) -> list[model.VM]:
        """Returns the live and leaving VMs as the platform last listed them.

        Raises:
            LogUnavailableError: The platform gave no usable reply.
        """
