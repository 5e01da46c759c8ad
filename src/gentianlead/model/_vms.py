"""Entries of the platform's list of VMs."""

import enum
from typing import NamedTuple

from gentianlead.model import _resources


class VMState(enum.Enum):
    """State of a VM in the platform's list.

    Attributes:
        LIVE: The VM is in use.
        LEAVING: The VM is about to be removed and gets no new work.
    """

    LIVE = "live"
    LEAVING = "leaving"


class VM(NamedTuple):
    """A VM in the platform's list, which lags behind the real state.

    Attributes:
        name: Unique name; its content is not interpreted.
        domain: Name of the failure domain that contains the VM.
        rack: Name of the rack inside the domain.
        region: Name of the region that contains the domain.
        state: Value of a `VMState`.
        roles: `worker`, `entry` or both.
        address: `host:port` of the target's HTTP server.
        agent_address: `host:port` of the worker agent on the VM.
        capacity: Resources of the VM.
        slots: Number of requests that the target executes at the same time.
        connections: Number of connections that the target accepts.
    """

    name: str
    domain: str
    rack: str = ""
    region: str = ""
    state: str = VMState.LIVE.value
    roles: tuple[str, ...] = ()
    address: str = ""
    agent_address: str = ""
    capacity: _resources.Resources = _resources.Resources()
    slots: int = 0
    connections: int = 0

    @property
    def is_worker(self) -> bool:
        """Whether the VM runs tasks and targets."""
        return "worker" in self.roles

    @property
    def is_leaving(self) -> bool:
        """Whether the VM gets no new work."""
        return self.state != VMState.LIVE.value
