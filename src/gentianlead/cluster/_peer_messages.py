"""Messages that daemons send each other about jobs and groups."""

from typing import NamedTuple

from gentianlead import dispatch
from gentianlead import model


class JobNotice(NamedTuple):
    """Notifies the leader of a group of a stored job.

    Attributes:
        group: Group of the job.
        epoch: Epoch of the leader that the sender has read from the job topic.
        offset: Offset in the job topic of the acceptance that took effect.
        job: The job.
    """

    group: str
    epoch: int
    offset: int
    job: model.SteppedJob


class CancelNotice(NamedTuple):
    """Notifies the leader of a group of a stored cancellation.

    Attributes:
        group: Group of the job.
        job_id: Identifier of the job.
    """

    group: str
    job_id: str


class JobStateNotice(NamedTuple):
    """State of a job that its leader has stored, as part of a leader's report.

    Attributes:
        job_id: Identifier of the job.
        state: The stored state.
    """

    job_id: str
    state: model.JobState


class LeaderReport(NamedTuple):
    """Periodic report of a group's leader to all daemons.

    Attributes:
        group: Group of the leader.
        epoch: Epoch of the leader.
        load: Load of the group.
        states: States of the jobs whose state was stored since the last report.
        interference_pairs: Estimates of the interference between two images
            that changed since the last report of this daemon.
    """

    group: str
    epoch: int
    load: dispatch.GroupLoad
    states: tuple[JobStateNotice, ...]
    interference_pairs: tuple[dispatch.InterferenceEstimate, ...] = ()


class RelayedSubmission(NamedTuple):
    """Submission that the sender asks a peer to carry out.

    Attributes:
        job: The job.
        timeout_ms: Time left for the submission, in milliseconds.
    """

    job: model.SteppedJob
    timeout_ms: int

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.job.job_id


class RelayedCancellation(NamedTuple):
    """Cancellation that the sender asks a peer to carry out.

    Attributes:
        job_id: Identifier of the job.
        timeout_ms: Time left for the cancellation, in milliseconds.
    """

    job_id: str
    timeout_ms: int


class RelayedReply(NamedTuple):
    """Reply to a relayed submission or cancellation.

    Attributes:
        outcome: Value of a `ports.SubmitOutcome`, or empty if the job to cancel
            does not exist.
        reason: Why the request was refused or its outcome is unknown.
        retry_after_ms: Delay in milliseconds after which the caller may retry.
    """

    outcome: str
    reason: str
    retry_after_ms: int


class StateQuery(NamedTuple):
    """Requests the state of a job.

    Attributes:
        job_id: Identifier of the job.
    """

    job_id: str


class StateReply(NamedTuple):
    """Reply to a `StateQuery`.

    Attributes:
        state: Value of a `model.JobState`, or empty if the peer does not know
            the job.
        is_certain: Whether a job that the peer does not know certainly does not
            exist.
    """

    state: str
    is_certain: bool


NOTICE_JOB = "job"
NOTICE_CANCEL = "cancel"
NOTICE_REPORT = "report"
CALL_SUBMIT = "submit"
CALL_CANCEL = "cancel-for-me"
CALL_STATE = "state"
"""Subjects of calls between daemons. The reply to a notice is only a
confirmation; the other calls return a result."""
