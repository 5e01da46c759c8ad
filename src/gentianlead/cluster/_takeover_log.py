"""Log lines and histogram for the wait of a new leader for silent workers."""

import datetime

from gentianlead import dispatch
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics

LOG_INTERVAL = datetime.timedelta(seconds=1)
"""Shortest time between two `takeover-waiting` lines of a group."""

MAX_LISTED_WORKERS = 8
"""Silent workers that a line names; the others are only counted."""


class TakeoverLog:
    """Reports for which workers a new leader waits, and when the wait ends."""

    def __init__(self, scheduler: dispatch.GroupScheduler, started_at: float,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._scheduler = scheduler
        self._started_at = started_at
        self._log = log
        self._metrics = metrics
        self._logged_at = started_at
        self._is_over = False

    def write(self, now: float) -> None:
        """Logs the silent workers once a second, and the end of the wait.

        Args:
            now: Present monotonic time in seconds.
        """
        if self._is_over:
            return
        waited_s = round(now - self._started_at, 3)
        silent_workers = self._scheduler.list_silent_workers()
        if self._scheduler.is_reconciled:
            self._is_over = True
            self._metrics.takeover_wait_seconds.observe({}, waited_s)
            self._log.write("takeover-ended",
                            group=self._scheduler.group,
                            epoch=self._scheduler.epoch,
                            waited_s=waited_s,
                            silent_workers=len(silent_workers))
        elif now - self._logged_at >= LOG_INTERVAL.total_seconds():
            self._logged_at = now
            self._log.write(
                "takeover-waiting",
                group=self._scheduler.group,
                epoch=self._scheduler.epoch,
                waited_s=waited_s,
                ends_in_s=round(
                    self._scheduler.compute_takeover_remaining_s(now), 3),
                silent_workers=len(silent_workers),
                workers={
                    worker.worker_id:
                        "listed" if worker.is_registered else "not-registered"
                    for worker in silent_workers[:MAX_LISTED_WORKERS]
                },
                jobs=sum(not job.is_reconciled
                         for job in self._scheduler.jobs.values()))

    def write_resignation(self) -> None:
        """Logs what this leader knows as it resigns."""
        silent_workers = [
            worker for worker in self._scheduler.workers.values()
            if not worker.is_reachable
        ]
        self._log.write("lead-resigned",
                        group=self._scheduler.group,
                        epoch=self._scheduler.epoch,
                        is_reconciled=self._scheduler.is_reconciled,
                        workers=len(self._scheduler.workers),
                        silent_workers=len(silent_workers),
                        runs_on_silent_workers={
                            worker.worker_id: len(worker.runs)
                            for worker in silent_workers[:MAX_LISTED_WORKERS]
                        })
