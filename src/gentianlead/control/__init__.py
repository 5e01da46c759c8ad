"""Control loop of a failure domain, for members, workers, jobs and claims."""

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
