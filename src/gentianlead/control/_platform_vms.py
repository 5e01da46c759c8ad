"""Inventory of the VMs that were recently in the platform's list of VMs."""

import datetime

from gentianlead import model


class VMInventory:
    """Stores the VMs that were recently in the platform's list of VMs.

    The platform's list lags behind and can be unavailable for a long time. A VM
    that is missing from the list may still run, so it is kept for
    `removal_delay` after the last list that contained it.

    Attributes:
        updated_at: Time of the last update in monotonic seconds; None before
            the first update.

    Args:
        removal_delay: Time after the last list that contained a VM; the first
            update after this time removes the VM.
    """

    def __init__(
        self,
        removal_delay: datetime.timedelta = datetime.timedelta(seconds=60)):
        self._removal_delay_s = removal_delay.total_seconds()
        self._vms: dict[str, model.VM] = {}
        self._last_listed_at: dict[str, float] = {}
        self.updated_at: float | None = None

    def update(self, vms: list[model.VM], now: float) -> None:
        """Stores the VMs of a new list, and removes VMs after `removal_delay`.

        Args:
            vms: All VMs in the list that the platform returned.
            now: Current time in monotonic seconds.
        """
        self.updated_at = now
        for vm in vms:
            self._vms[vm.name] = vm
            self._last_listed_at[vm.name] = now
        for name in list(self._vms):
            if now - self._last_listed_at[name] > self._removal_delay_s:
                del self._vms[name]
                del self._last_listed_at[name]

    def get(self, name: str) -> model.VM | None:
        """Returns a VM by name, or None if it is not stored."""
        return self._vms.get(name)

    def list_workers(self, domain: str | None = None) -> list[model.VM]:
        """Returns the worker VMs of one failure domain.

        If `domain` is None, the worker VMs of all domains are returned.
        """
        return [
            vm for vm in self._vms.values()
            if vm.is_worker and (domain is None or vm.domain == domain)
        ]

    def list_entry_vms(self) -> list[model.VM]:
        """Returns the VMs with the role `entry`, on which the daemons run."""
        return [vm for vm in self._vms.values() if "entry" in vm.roles]

    def list_leaving_vms(self, configuration: model.Configuration) -> set[str]:
        """Returns the names of the VMs that get no new work.

        These are the stored VMs that the platform marks as leaving, and the
        `leaving_targets` of the configuration. The latter are the workers that
        operators have marked as leaving; they are included even if their VMs
        are not stored.
        """
        leaving_vms = {vm.name for vm in self._vms.values() if vm.is_leaving}
        return leaving_vms | set(configuration.leaving_targets)
