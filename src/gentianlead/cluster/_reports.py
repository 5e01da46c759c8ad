"""Messages between daemons about jobs and groups."""

from typing import NamedTuple

from gentianlead import dispatch
from gentianlead import model


class JobNotice(NamedTuple):
    """Tells a leader of a stored job.

    Attributes:
        group: Group of the job.
        epoch: Epoch of the leader as the sender knows it.
        offset: Offset of the acceptance that took effect.
        job: The job.
    """

    group: str
    epoch: int
    offset: int
    job: model.SteppedJob


class CancelNotice(NamedTuple):
    """Tells a leader of a stored cancellation.

    Attributes:
        group: Group of the job.
        job_id: The job.
    """

    group: str
    job_id: str


class JobStateNotice(NamedTuple):
    """State of a job that is stored.

    Attributes:
        job_id: The job.
        state: The state.
    """

    job_id: str
    state: model.JobState


class LeaderReport(NamedTuple):
    """A leader tells all daemons how it stands.

    Attributes:
        group: Its group.
        epoch: Its epoch.
        load: How busy the group is.
        states: Jobs whose state changed.
        figures: Interference between images that was learned.
    """

    group: str
    epoch: int
    load: dispatch.GroupLoad
    states: tuple[JobStateNotice, ...]
    figures: tuple[dispatch.InterferenceEstimate, ...] = ()


class RelayedSubmission(NamedTuple):
    """A job that the sender cannot store itself.

    Attributes:
        job: The job.
        deadline_ms: Time left, in milliseconds.
    """

    job: model.SteppedJob
    deadline_ms: int

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.job.job_id


class RelayedCancellation(NamedTuple):
    """A cancellation that the sender cannot store itself.

    Attributes:
        job_id: The job.
        deadline_ms: Time left, in milliseconds.
    """

    job_id: str
    deadline_ms: int


class RelayedReply(NamedTuple):
    """Outcome of a relayed call.

    Attributes:
        outcome: Value of a `ports.SubmitOutcome`, or empty for a job that
            does not exist.
        reason: Why.
        retry_after_ms: When the caller may come back, in milliseconds.
    """

    outcome: str
    reason: str
    retry_after_ms: int


class StateQuestion(NamedTuple):
    """Asks for the state of a job.

    Attributes:
        job_id: The job.
    """

    job_id: str


class StateReply(NamedTuple):
    """State of a job.

    Attributes:
        state: Value of a `model.JobState`, or empty when it is not known.
        is_certain: Whether an unknown job certainly does not exist.
    """

    state: str
    is_certain: bool


NOTICE_JOB = "job"
NOTICE_CANCEL = "cancel"
NOTICE_REPORT = "report"
CALL_SUBMIT = "submit"
CALL_CANCEL = "cancel-for-me"
CALL_STATE = "state"
"""Subjects of calls between daemons."""
