"""Messages of calls between daemons: notices, leader reports and requests."""

from typing import NamedTuple

from gentianlead import dispatch
from gentianlead import model


class JobNotice(NamedTuple):
    """Tells a group's leader that an accepted job of the group is stored.

    Attributes:
        group: Group whose leader is notified.
        epoch: Epoch of the group's leader according to the sender's copy of the
            job topic. A leader of another epoch ignores the notice.
        offset: Offset in the job topic of the record that accepted the job.
        job: The accepted job.
    """

    group: str
    epoch: int
    offset: int
    job: model.SteppedJob


class CancelNotice(NamedTuple):
    """Tells a group's leader that the cancellation of a job is stored.

    Attributes:
        group: Group whose leader is notified.
        job_id: Identifier of the cancelled job.
    """

    group: str
    job_id: str


class ResignationNotice(NamedTuple):
    """Tells the other daemons that the resignation of a leader is stored.

    Attributes:
        group: Group of the leader.
    """

    group: str


class EndsNotice(NamedTuple):
    """Tells a leader that the ends of some of its tasks are stored.

    Attributes:
        group: Group whose leader has stored them.
    """

    group: str


class JobStateNotice(NamedTuple):
    """Stored state of one job, as part of a leader's report.

    Attributes:
        job_id: Identifier of the job.
        state: State that the leader has stored for the job.
    """

    job_id: str
    state: model.JobState


class LeaderReport(NamedTuple):
    """Report that a group's leader sends to all daemons.

    It is sent periodically, and at once when the end of a job is stored.

    Attributes:
        group: Group of the leader.
        epoch: Epoch of the leader.
        load: Load of the group.
        states: State of each job whose progress the leader has stored since its
            previous report.
        interference_pairs: Estimates of how much best-effort images raise the
            latency of other images. Contains only estimates that changed since
            the sending daemon's previous report for any group.
        losses: Workers of the group that were lost lately.
    """

    group: str
    epoch: int
    load: dispatch.GroupLoad
    states: tuple[JobStateNotice, ...]
    interference_pairs: tuple[dispatch.InterferenceEstimate, ...] = ()
    losses: tuple[dispatch.LossReport, ...] = ()


class RelayedSubmission(NamedTuple):
    """Submission that a daemon relays to a peer for a caller.

    Attributes:
        job: The submitted job.
        timeout_ms: Time left for the submission, in milliseconds.
    """

    job: model.SteppedJob
    timeout_ms: int

    @property
    def job_id(self) -> str:
        """Identifier of the submitted job."""
        return self.job.job_id


class RelayedCancellation(NamedTuple):
    """Cancellation that a daemon relays to a peer for a caller.

    Attributes:
        job_id: Identifier of the job to cancel.
        timeout_ms: Time left for the cancellation, in milliseconds.
        may_be_accepted: Whether the sender holds an acceptance of the job that
            may be stored later, so that the cancellation has to hold for it.
    """

    job_id: str
    timeout_ms: int
    may_be_accepted: bool = False


class RelayedReply(NamedTuple):
    """Reply to a relayed submission or cancellation.

    Attributes:
        outcome: Value of a `ports.SubmitOutcome`, or empty if the job to cancel
            does not exist.
        reason: Why the request was refused, its outcome is unknown or there is
            no such job; empty if the request was accepted.
        retry_after_ms: Time in milliseconds that the caller should wait before
            it repeats a refused request.
    """

    outcome: str
    reason: str
    retry_after_ms: int


class StateQuery(NamedTuple):
    """Asks a peer for the state of a job.

    Attributes:
        job_id: Identifier of the job.
    """

    job_id: str


class StateReply(NamedTuple):
    """Reply to a `StateQuery`.

    Attributes:
        state: Value of a `model.JobState`, or empty if the peer does not know
            the job.
        is_certain: Whether the reply is certain. An empty state then means that
            the job does not exist.
    """

    state: str
    is_certain: bool


NOTICE_JOB = "job"
NOTICE_CANCEL = "cancel"
NOTICE_REPORT = "report"
NOTICE_RESIGNATION = "resignation"
NOTICE_ENDS = "ends"
CALL_SUBMIT = "submit"
CALL_CANCEL = "cancel-for-me"
CALL_STATE = "state"
"""Subjects of calls between daemons: each selects the handler and the type of
the message. A call with a `NOTICE_` subject returns only True; a call with a
`CALL_` subject returns a `RelayedReply` or a `StateReply`."""
