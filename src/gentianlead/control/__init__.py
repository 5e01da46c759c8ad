"""Control loop for the members, workers, jobs and task claims of a domain."""

from gentianlead.control._controller import ControlTimings
from gentianlead.control._controller import DomainController
from gentianlead.control._jobs import JobReconciler
from gentianlead.control._observer import ControlObserver
from gentianlead.control._platform_vms import VMInventory
from gentianlead.control._running_coroutines import BackgroundCoroutines

__all__ = [
    "ControlObserver",
    "ControlTimings",
    "DomainController",
    "JobReconciler",
    "VMInventory",
    "BackgroundCoroutines",
]
