"""Implementations of the ports by HTTP clients and the operating system."""

from gentianlead.adapters._http_log import HttpLogService
from gentianlead.adapters._http_target import HttpTargetClient
from gentianlead.adapters._http_vmlist import HttpVMList
from gentianlead.adapters._http_worker import HttpWorkerAgent
from gentianlead.adapters._loop_delay import LoopDelayMeter
from gentianlead.adapters._system import SystemClock
from gentianlead.adapters._system import SystemRandom

__all__ = [
    "HttpLogService",
    "HttpTargetClient",
    "HttpVMList",
    "HttpWorkerAgent",
    "LoopDelayMeter",
    "SystemClock",
    "SystemRandom",
]
