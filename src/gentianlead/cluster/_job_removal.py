"""Removal of the stored keys of jobs that ended long ago."""

import datetime
from typing import Callable

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_topic

JOB_REMOVAL_INTERVAL = datetime.timedelta(seconds=10)
"""Pause after a removal that left no keys to remove, and longest time for one
append of a removal and for its read back."""


class EndedJobRemover:
    """Removes the stored keys of ended jobs whose retention is over.

    A daemon that starts reads all keys before it serves callers, so their
    number must not grow while more jobs end than one append removes.
    """

    def __init__(self, retention: datetime.timedelta,
                 topic_reader: _job_topic.JobTopicReader,
                 topic_writer: _job_topic.JobTopicWriter,
                 is_coordinator: Callable[[], bool], clock: ports.Clock,
                 log: _decision_log.DecisionLog):
        self._planner = dispatch.RetentionPlanner(retention)
        self._topic_reader = topic_reader
        self._topic_writer = topic_writer
        self._is_coordinator = is_coordinator
        self._clock = clock
        self._log = log

    async def run(self) -> None:
        """Removes keys until the calling task is cancelled."""
        while True:
            await self._clock.sleep(JOB_REMOVAL_INTERVAL)
            while await self._remove_some_keys():
                pass

    async def _remove_some_keys(self) -> bool:
        """Removes the keys of some jobs, if this daemon is the coordinator.

        Returns:
            Whether keys were removed and more may be left. Also False after a
            failure, so that the next removal follows after the interval.
        """
        expired_keys = self._planner.list_expired_keys(
            self._topic_reader.job_table, self._clock.monotonic())
        if not expired_keys or not self._is_coordinator():
            return False
        try:
            offset = await self._topic_writer.append(expired_keys,
                                                     JOB_REMOVAL_INTERVAL)
        except ports.StoreError as error:
            self._log.write("keys-not-removed",
                            keys=len(expired_keys),
                            error=str(error))
            return False
        self._log.write("keys-removed", keys=len(expired_keys), offset=offset)
        # The planner lists removed keys again until the removal is read.
        return offset >= 0 and await self._topic_reader.wait_until_applied(
            offset + len(expired_keys) - 1, JOB_REMOVAL_INTERVAL)
