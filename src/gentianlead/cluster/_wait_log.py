"""Log lines and gauge for tasks of a group that wait long for their start."""

import datetime

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

MIN_LOGGED_WAIT = datetime.timedelta(seconds=2)
"""Waits shorter than this are not logged: a move to another group, or the wait
for a short task to end, takes about as long."""

MAX_LINES = 4
"""Longest waits that are logged in one call of `WaitLog.write`; in a full group
hundreds of tasks wait for the same cause."""


class WaitLog:
    """Reports what keeps the tasks of a group from starting."""

    def __init__(self, scheduler: dispatch.GroupScheduler, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._monitor = dispatch.WaitMonitor()

    def write(self, now: float) -> None:
        """Updates the gauge and logs the longest waits."""
        now_ms = int(self._clock.now().timestamp() * 1000)
        waits = self._monitor.observe(self._scheduler, now, now_ms)
        self._set_gauge(waits)
        logged_waits = [
            wait for wait in waits
            if wait.waited_s >= MIN_LOGGED_WAIT.total_seconds()
        ][:MAX_LINES]
        for wait in logged_waits:
            cause = dispatch.find_wait_cause(self._scheduler, wait, now)
            self._log.write("tasks-waiting",
                            job=wait.job_id,
                            group=self._scheduler.group,
                            epoch=self._scheduler.epoch,
                            step=wait.step,
                            indexes=wait.indexes,
                            waited_s=round(wait.waited_s, 1),
                            **cause._asdict())

    def close(self) -> None:
        """Resets the gauge: the group has another leader now."""
        self._set_gauge([])

    def _set_gauge(self, waits: list[dispatch.StepWait]) -> None:
        for kind, is_long_running in (("long-running", True), ("other", False)):
            self._metrics.longest_wait_seconds.set(
                {
                    "group": self._scheduler.group,
                    "kind": kind
                },
                max((wait.waited_s
                     for wait in waits
                     if wait.is_long_running == is_long_running),
                    default=0.0))
