"""Log lines for jobs of a group that have nothing running."""

import datetime
from typing import Callable

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _decision_log

MIN_LOGGED_IDLE_TIME = datetime.timedelta(seconds=1)
"""Shorter times without a run are not logged: the next task is ordered within
milliseconds, and a move to another group takes two appends."""

MAX_LINES = 4
"""Jobs that are logged in one call of `IdleJobLog.write`, longest first."""


class IdleJobLog:
    """Reports jobs with due tasks and no runs, and what keeps them waiting."""

    def __init__(self, scheduler: dispatch.GroupScheduler, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 get_load_reports: Callable[[], dict[str,
                                                     dispatch.GroupReport]]):
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._get_load_reports = get_load_reports
        self._monitor = dispatch.IdleJobMonitor()

    def add_run_ends(self, now: float) -> None:
        """Notes the run ends that the scheduler has not reported yet."""
        self._monitor.add_run_ends(self._scheduler.ended_runs, now)

    def write(self, now: float) -> None:
        """Logs the jobs that have had nothing running for the longest time."""
        now_ms = int(self._clock.now().timestamp() * 1000)
        idle_jobs = [
            idle_job
            for idle_job in self._monitor.observe(self._scheduler, now, now_ms)
            if idle_job.idle_s >= MIN_LOGGED_IDLE_TIME.total_seconds()
        ]
        for idle_job in idle_jobs[:MAX_LINES]:
            self._log.write("job-idle",
                            job=idle_job.job_id,
                            group=self._scheduler.group,
                            epoch=self._scheduler.epoch,
                            idle_s=round(idle_job.idle_s, 2),
                            idle_jobs=len(idle_jobs),
                            **dispatch.explain_idle_job(
                                self._scheduler, idle_job,
                                self._get_load_reports(), now))
