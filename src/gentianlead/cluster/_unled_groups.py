"""Log lines and gauge for long-running tasks of groups without a leader."""

import datetime
from typing import Sequence

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics

CHECK_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two checks of the leaders of all groups."""


class UnledGroupLog:
    """Reports what no leader reports, in every daemon."""

    def __init__(self, groups: Sequence[str],
                 topic_reader: _job_topic.JobTopicReader, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._groups = groups
        self._topic_reader = topic_reader
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # Time since which each unled group is known, and the age in seconds at
        # which the next line about it is due.
        self._unled_since: dict[str, tuple[float, float]] = {}

    async def run(self) -> None:
        """Checks all groups until the calling task is cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.check(self._clock.monotonic())

    def check(self, now: float) -> None:
        """Updates the gauge, and logs each unled group at doubled intervals.

        While the topic cannot be read, nothing is known about the leaders, and
        nothing changes.
        """
        if not self._topic_reader.is_loaded or not self._topic_reader.is_fresh(
        ):
            return
        unled_groups = dispatch.find_unled_groups(self._topic_reader.job_table,
                                                  self._groups, now)
        known_since, self._unled_since = self._unled_since, {}
        for unled_group in unled_groups:
            since, next_age_s = known_since.get(unled_group.group, (now, 0.0))
            age_s = now - since
            if age_s >= next_age_s:
                self._log.write("group-unled", **unled_group._asdict())
                next_age_s = max(1.0, 2 * age_s)
            self._unled_since[unled_group.group] = (since, next_age_s)
            self._metrics.unled_tasks.set({"group": unled_group.group},
                                          unled_group.long_running_tasks)
        for group in known_since.keys() - self._unled_since.keys():
            self._metrics.unled_tasks.set({"group": group}, 0)
