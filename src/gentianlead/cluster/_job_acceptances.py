"""Storing of the acceptances of jobs that a daemon has admitted."""

import asyncio
import datetime
from typing import Callable

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _peer_messages

REFUSAL_TIMEOUT = datetime.timedelta(milliseconds=400)
"""How long a daemon repeats an append that the store refuses: a few attempts.
After this time a submission is relayed to peers, and a cancellation is
refused."""

STORE_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Retry delay in the reply to a caller whose request is refused because the
store is unavailable, or because this daemon has not read the job from the store
yet."""

ACCEPTANCE_WAIT_MARGIN = datetime.timedelta(milliseconds=100)
"""How much longer than its time a submission waits for the outcome of its
append: the writer reports at most `_job_topic.RETRY_INTERVAL` late that it has
dropped the append. The server for callers subtracts more than this from their
deadlines."""

ACCEPTANCE_TIMEOUT = datetime.timedelta(seconds=30)
"""Time after which an acceptance without an outcome is no longer stored. It is
longer than outages of the store usually last, and far below the time for which
a cancellation that holds for it is kept
(`dispatch.EARLY_CANCELLATION_RETENTION`)."""

READ_BACK_TIMEOUT = datetime.timedelta(seconds=2)
"""Longest wait for an accepted job to be read back from the topic. The leaders
of its groups are notified once it is read back. After a timeout they get no
notice, and find the job only by reading the topic themselves."""

# Sends a notice to the leader of a group; takes the name of the group, the
# subject of the notice and the notice.
SendToLeader = Callable[[str, str, object], None]


class JobAcceptances:
    """Stores acceptances, and knows those that this daemon has not read back.

    The store may take longer than a caller waits. Its repeated submission must
    then find the first acceptance: a second admission might choose another
    group, or refuse a job that runs.

    Example:
        >>> acceptances.begin(job, datetime.timedelta(milliseconds=400), 250)
        >>> reply = await acceptances.wait_for_outcome(job.job_id, timeout)
    """

    def __init__(self, incarnation: str,
                 topic_reader: _job_topic.JobTopicReader,
                 topic_writer: _job_topic.JobTopicWriter, clock: ports.Clock,
                 log: _decision_log.DecisionLog, send_to_leader: SendToLeader):
        self._incarnation = incarnation
        self._topic_reader = topic_reader
        self._topic_writer = topic_writer
        self._clock = clock
        self._log = log
        self._send_to_leader = send_to_leader
        self._acceptance_count = 0
        # Acceptances whose outcome is not known yet, by job identifier.
        self._pending: dict[str, asyncio.Task] = {}
        # Jobs whose acceptance is stored but not read back yet, by identifier.
        self._unread_jobs: dict[str, model.SteppedJob] = {}
        # Long-running jobs, by identifier, whose acceptance was sent to the
        # store but not read back yet.
        self._unread_long_running_jobs: dict[str, model.SteppedJob] = {}
        self._notifications: set[asyncio.Task] = set()

    def is_pending(self, job_id: str) -> bool:
        """Returns whether the outcome of an acceptance is not known yet."""
        return job_id in self._pending

    def find_unread(self, job_id: str) -> model.SteppedJob | None:
        """Returns the job of an acceptance that is stored but not read back.

        Another acceptance of the job, with other groups, may take effect.
        """
        return self._unread_jobs.get(job_id)

    def list_unread_long_running_jobs(self) -> list[model.SteppedJob]:
        """Returns the long-running jobs that may be stored, and are not read.
        """
        stored_jobs = self._topic_reader.job_table.jobs
        for job_id in [
                job_id for job_id in self._unread_long_running_jobs
                if job_id in stored_jobs
        ]:
            del self._unread_long_running_jobs[job_id]
        return list(self._unread_long_running_jobs.values())

    def forget_job(self, job_id: str) -> None:
        """Drops what is kept for a job that was removed from the job topic."""
        self._unread_jobs.pop(job_id, None)

    def begin(self, job: model.SteppedJob, refusal_timeout: datetime.timedelta,
              report_age_ms: int | None) -> None:
        """Begins to store an admitted job; none of its acceptances is pending.

        Args:
            job: The job, with its groups.
            refusal_timeout: Time after which the job is given up, if it is
                certainly not stored.
            report_age_ms: Age of the load report that decided, for the log.
        """
        if job.is_long_running:
            self._unread_long_running_jobs[job.job_id] = job
        acceptance = asyncio.get_running_loop().create_task(
            self._store(job, refusal_timeout, report_age_ms))
        self._pending[job.job_id] = acceptance
        acceptance.add_done_callback(
            lambda _: self._pending.pop(job.job_id, None))

    async def wait_for_outcome(
            self, job_id: str,
            timeout: datetime.timedelta) -> ports.SubmitReply | None:
        """Waits for the outcome of the pending acceptance of a job.

        Returns:
            The reply to the caller, with the outcome `UNKNOWN` after the
            timeout and `ACCEPTANCE_WAIT_MARGIN`; None if no acceptance is
            pending or the job is certainly not stored.
        """
        acceptance = self._pending.get(job_id)
        if acceptance is None:
            return None
        await asyncio.wait([acceptance],
                           timeout=(timeout +
                                    ACCEPTANCE_WAIT_MARGIN).total_seconds())
        if acceptance.done():
            return acceptance.result()
        return ports.SubmitReply(ports.SubmitOutcome.UNKNOWN,
                                 "the store has not replied to the append")

    async def _store(self, job: model.SteppedJob,
                     refusal_timeout: datetime.timedelta,
                     report_age_ms: int | None) -> ports.SubmitReply | None:
        """Stores a job within `ACCEPTANCE_TIMEOUT`.

        Returns:
            The reply to the caller, or None if the job is certainly not stored.
        """
        started_at = self._clock.monotonic()
        self._acceptance_count += 1
        acceptance_id = f"{self._incarnation}/{self._acceptance_count}"
        record = dispatch.AcceptedRecord(job, acceptance_id)
        try:
            offset = await self._topic_writer.append(
                [record], ACCEPTANCE_TIMEOUT, refusal_timeout,
                [dispatch.build_withdrawal(record)])
        except ports.RecordsRejectedError as error:
            self._unread_long_running_jobs.pop(job.job_id, None)
            return build_refusal(str(error), STORE_RETRY_DELAY)
        except ports.StoreError as error:
            # An acceptance that was given up takes effect only if it is read.
            self._unread_long_running_jobs.pop(job.job_id, None)
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                self._log.write("job-not-stored",
                                job=job.job_id,
                                error=str(error))
                return None
            self._log.write("acceptance-given-up",
                            job=job.job_id,
                            error=str(error))
            return ports.SubmitReply(ports.SubmitOutcome.UNKNOWN, str(error))
        self._log.write("job-accepted",
                        job=job.job_id,
                        groups=sorted(set(job.assignment)),
                        offset=offset,
                        steps=[step.count for step in job.steps],
                        store_ms=int(
                            (self._clock.monotonic() - started_at) * 1000),
                        report_age_ms=report_age_ms)
        self._unread_jobs[job.job_id] = job
        notification = asyncio.get_running_loop().create_task(
            self._notify_leaders(job, offset))
        self._notifications.add(notification)
        notification.add_done_callback(self._notifications.discard)
        return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED)

    async def _notify_leaders(self, job: model.SteppedJob, offset: int) -> None:
        """Notifies the leaders of a job's groups once the job is read back.

        Another daemon may have accepted the same job, and only reading the job
        back shows which acceptance took effect. No notice is sent if another
        acceptance took effect, if the job is not read back within
        `READ_BACK_TIMEOUT`, or if it was cancelled before its acceptance, which
        the leader may not have read.
        """
        if not await self._topic_reader.wait_until_applied(
                offset, READ_BACK_TIMEOUT):
            self._log.write("job-not-read-back", job=job.job_id, offset=offset)
            return
        job_entry = self._topic_reader.job_table.jobs.get(job.job_id)
        if job_entry is not None:
            self._unread_jobs.pop(job.job_id, None)
        if job_entry is None or job_entry.offset != offset:
            self._log.write("job-already-accepted",
                            job=job.job_id,
                            offset=offset)
            return
        if job_entry.is_cancelled:
            return
        for group in job_entry.groups:
            leader_entry = self._topic_reader.job_table.leaders.get(group)
            if leader_entry is not None:
                self._send_to_leader(
                    group, _peer_messages.NOTICE_JOB,
                    _peer_messages.JobNotice(group, leader_entry.record.epoch,
                                             job_entry.offset, job_entry.job))


def build_refusal(refusal_reason: str,
                  retry_after: datetime.timedelta) -> ports.SubmitReply:
    """Returns the reply to a caller whose job is certainly not stored."""
    return ports.SubmitReply(ports.SubmitOutcome.REFUSED, refusal_reason,
                             retry_after)
