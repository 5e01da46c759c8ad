"""Storing of the cancellations of jobs."""

import datetime

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import ports
from gentianlead.cluster import _job_acceptances
from gentianlead.cluster import _job_topic

MAX_EARLY_CANCELLATIONS = 4000
"""Number of stored cancellations of jobs that may be accepted later from which
on no further one is stored. They are kept for
`dispatch.EARLY_CANCELLATION_RETENTION`, and each daemon that starts loads them:
this number takes eight pages of keys and a few megabytes of memory."""

EARLY_CANCELLATION_RETRY_DELAY = datetime.timedelta(seconds=10)
"""Retry delay in the reply to a caller whose cancellation is refused because of
`MAX_EARLY_CANCELLATIONS`: the interval at which old ones are removed."""


class JobCancellations:
    """Stores cancellations, also of jobs that do not exist yet."""

    def __init__(self, incarnation: str,
                 topic_reader: _job_topic.JobTopicReader,
                 topic_writer: _job_topic.JobTopicWriter):
        self._incarnation = incarnation
        self._topic_reader = topic_reader
        self._topic_writer = topic_writer
        self._early_cancellation_count = 0

    async def store(self, job_id: str,
                    timeout: datetime.timedelta) -> ports.SubmitReply:
        """Stores the cancellation of a job whose acceptance is stored.

        Returns:
            The reply to the caller.
        """
        reply, _ = await self._append(dispatch.CancelledRecord(job_id), timeout)
        return reply

    async def store_early(self, job_id: str,
                          timeout: datetime.timedelta) -> ports.SubmitReply:
        """Stores a cancellation that holds for later acceptances of a job, too.

        If it is stored, it has also been read back, unless that takes longer
        than `timeout`: the acceptance may have been stored just before.

        Returns:
            The reply to the caller.
        """
        if (self._topic_reader.job_table.count_early_cancellations()
                >= MAX_EARLY_CANCELLATIONS):
            return _job_acceptances.build_refusal(
                "too many cancellations of jobs that do not exist",
                EARLY_CANCELLATION_RETRY_DELAY)
        self._early_cancellation_count += 1
        reply, offset = await self._append(
            dispatch.EarlyCancelledRecord(
                job_id,
                f"{self._incarnation}/{self._early_cancellation_count}"),
            timeout / 2)
        if reply.outcome is ports.SubmitOutcome.ACCEPTED:
            await self._topic_reader.wait_until_applied(offset, timeout / 2)
        return reply

    async def _append(
            self,
            record: dispatch.CancelledRecord | dispatch.EarlyCancelledRecord,
            timeout: datetime.timedelta) -> tuple[ports.SubmitReply, int]:
        """Returns the reply to the caller and the offset of the record.

        The offset is -1 if the record is not stored, or at an unknown offset.
        """
        try:
            offset = await self._topic_writer.append(
                [record], timeout, _job_acceptances.REFUSAL_TIMEOUT)
        except ports.StoreError as error:
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                return _job_acceptances.build_refusal(
                    str(error), _job_acceptances.STORE_RETRY_DELAY), -1
            return ports.SubmitReply(ports.SubmitOutcome.UNKNOWN,
                                     str(error)), -1
        return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED), offset
