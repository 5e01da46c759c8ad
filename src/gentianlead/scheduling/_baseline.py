"""A simple scheduler that benchmarks use as the baseline."""

from typing import Callable

from gentianlead import model
from gentianlead import state
from gentianlead.scheduling import _colocation
from gentianlead.scheduling import _placement
from gentianlead.scheduling import _quarantine
from gentianlead.scheduling import _scheduler


class _NoQuarantine(_quarantine.Quarantine):
    """Ignores failures: no worker is quarantined and no job is paused."""

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        del run, reason


class BaselineScheduler(_scheduler.DomainScheduler):
    """Schedules without estimates, quarantine or an interference model.

    Tasks go to the first worker with enough free capacity for their declared
    size. After a slowdown report above the limit of `EvictOnSlowdownPolicy`,
    the newest batch run of the reported worker is moved.
    """

    def __init__(self, state_machine: state.DomainStateMachine,
                 configuration: model.Configuration, domain: str,
                 read_clock: Callable[[], float]):
        super().__init__(state_machine, configuration, domain, read_clock,
                         _placement.FirstFitPolicy(),
                         _colocation.THROUGHPUT_FIRST)

    def _build_colocation(
        self, settings: _colocation.ColocationSettings
    ) -> _colocation.ColocationPolicy:
        return _colocation.EvictOnSlowdownPolicy(self._domain_index)

    def _build_quarantine(
            self, read_clock: Callable[[], float]) -> _quarantine.Quarantine:
        return _NoQuarantine(self._state_machine, self._domain_index,
                             read_clock)

    def _record_usage(self, run: state.LiveRun, usage: model.Resources,
                      as_of: float) -> bool:
        return True
