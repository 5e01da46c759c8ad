"""Choice of the records to remove: those of jobs that ended long ago.

Cancellations of jobs that do not exist are removed, too.
"""

import datetime

from gentianlead.dispatch import _records
from gentianlead.dispatch import _table

RETENTION_MARGIN = datetime.timedelta(seconds=30)
"""Time for which the records of an ended job are kept beyond the configured
retention of job states. Callers may repeat a submission some seconds after its
reply, and the clocks of daemons differ."""

EARLY_CANCELLATION_RETENTION = datetime.timedelta(seconds=150)
"""Time for which a cancellation of a job that does not exist is kept. A daemon
that holds an acceptance of the job gives it up after 30 s. The rest of the time
allows for a call that the store executes late, and for a daemon that is frozen
while it sends one."""

MAX_JOBS_PER_APPEND = 40
"""Highest number of jobs whose keys one append removes. A job has about five
keys, so they fit into one append."""


class RetentionPlanner:
    """Finds the keys of jobs that ended long ago, so that they can be removed.

    It also finds old cancellations of jobs that do not exist. The retention
    counts from the moment at which this process first saw the end of the job or
    the cancellation, so a restart of the process only extends it.
    """

    def __init__(self, retention: datetime.timedelta):
        self._retention_s = (retention + RETENTION_MARGIN).total_seconds()
        self._end_seen_at: dict[str, float] = {}
        self._cancellation_seen_at: dict[str, float] = {}

    def list_expired_keys(self, table: _table.JobTable,
                          now: float) -> list[_records.RemovedKey]:
        """Returns all keys of the ended jobs whose retention has passed.

        The keys are of at most `MAX_JOBS_PER_APPEND` jobs, and cancellations of
        as many jobs that do not exist may be added. For a job whose end is seen
        for the first time, the retention begins at `now`.
        """
        for job_id in [
                ended_id for ended_id in self._end_seen_at
                if ended_id not in table.jobs
        ]:
            del self._end_seen_at[job_id]
        removal_records: list[_records.RemovedKey] = []
        removed_job_count = 0
        for job_id, entry in table.jobs.items():
            if not entry.state.is_final:
                continue
            end_seen_at = self._end_seen_at.setdefault(job_id, now)
            if (now - end_seen_at < self._retention_s or
                    removed_job_count >= MAX_JOBS_PER_APPEND):
                continue
            removed_job_count += 1
            removal_records.extend(
                _records.RemovedKey(key)
                for key in sorted(table.keys_by_job[job_id]))
        return removal_records + self._list_expired_cancellations(table, now)

    def _list_expired_cancellations(self, table: _table.JobTable,
                                    now: float) -> list[_records.RemovedKey]:
        self._cancellation_seen_at = {
            key: self._cancellation_seen_at.get(key, now)
            for job_id, keys in table.early_cancellations.items()
            if job_id not in table.jobs for key in keys
        }
        expired_keys = [
            key for key, seen_at in self._cancellation_seen_at.items()
            if now - seen_at >= EARLY_CANCELLATION_RETENTION.total_seconds()
        ]
        return [
            _records.RemovedKey(key)
            for key in sorted(expired_keys)[:MAX_JOBS_PER_APPEND]
        ]
