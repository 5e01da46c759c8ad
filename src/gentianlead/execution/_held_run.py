"""State of a run that this daemon holds.

The holder of a run is the daemon that starts it on its worker, renews its
lease and records its end in the log.
"""

import enum

from gentianlead import model
from gentianlead import ports
from gentianlead import state


class RunPhase(enum.Enum):
    """Phase of a held run, as far as its holder knows.

    Attributes:
        CLAIMED: The claim was accepted in the log; no start order was sent.
        START_UNCONFIRMED: A start order was sent, and the worker has not yet
            confirmed or refused it.
        RUNNING: The worker has confirmed the start or reported the run as
            running.
        TAKEN_OVER: The run was taken over from another holder; its worker has
            not yet reported it to this daemon as running or ended.
        ENDED: The run has certainly ended or will certainly not start; the log
            has not yet accepted the record of its end.
    """

    CLAIMED = "claimed"
    START_UNCONFIRMED = "start-unknown"
    RUNNING = "running"
    TAKEN_OVER = "adopted"
    ENDED = "ended"


class HeldRun:
    """Tracks one held run from its claim or takeover to the record of its end.

    Attributes:
        live_run: Entry of the run in the state of the domain's stream.
        job_spec: Specification of the job.
        checkpoint: Identifier of the newest confirmed checkpoint of the task,
            or empty if it has none.
        phase: Phase of the run.
        boot_id: Boot identifier of the worker when the start order was sent or
            the run was last reported as running; empty before.
        latest_expiry_ms: Latest of all lease expiry times that were sent to the
            worker or reported by it, in milliseconds on the worker's clock; 0
            if there are none.
        start_by_ms: Time in milliseconds on the worker's clock after which the
            worker refuses the start order; 0 before the order is sent.
        stop_reason: Why the run is to be stopped; None if no stop is requested.
        wants_checkpoint: Whether a checkpoint is still to be taken before the
            stop.
        end_reason: Why the run ended; None if it completed its task or has not
            ended.
        was_lost_with_worker: Whether the run ended because its worker restarted
            or could not be reached until the lease had expired, as far as its
            holder can tell.
        start_ordered_at: Time in monotonic seconds at which this daemon sent
            the start order; None if it has not.
        last_seen_running_at: Time in monotonic seconds of the last report of
            the worker that the run is running; negative infinity if there is
            none.
        heartbeats_before_takeover: Number of heartbeats of the first holder
            between the claim and its end; None if it is unknown or the run was
            not taken over exactly once.
        is_appending_end_record: Whether the record of the run's end is being
            appended.
        takeover_read_at: Time in monotonic seconds at which this daemon read
            that it became the holder; without meaning if the run was not taken
            over.
        former_lease_expiry_bound: Time in monotonic seconds by which any lease
            that a former holder can still have renewed has expired; the time of
            creation of this object if the run was not taken over.
        claim_read_at: Time in monotonic seconds at which this daemon read the
            claim; without meaning if the run was taken over.
        are_renewals_ended: Whether the lease must not be renewed any more,
            because this daemon has told in the log when it ends.
    """

    __slots__ = ("live_run", "job_spec", "checkpoint", "phase", "boot_id",
                 "latest_expiry_ms", "start_by_ms", "stop_reason",
                 "wants_checkpoint", "end_reason", "was_lost_with_worker",
                 "start_ordered_at", "heartbeats_before_takeover",
                 "last_seen_running_at", "is_appending_end_record",
                 "takeover_read_at", "former_lease_expiry_bound",
                 "claim_read_at", "are_renewals_ended")

    def __init__(self, live_run: state.LiveRun, job_spec: model.JobSpec,
                 checkpoint: str, phase: RunPhase, now: float):
        self.live_run = live_run
        self.job_spec = job_spec
        self.checkpoint = checkpoint
        self.phase = phase
        self.boot_id = ""
        self.latest_expiry_ms = 0
        self.start_by_ms = 0
        self.stop_reason: model.ReleaseReason | None = None
        self.wants_checkpoint = False
        self.end_reason: model.ReleaseReason | None = None
        self.was_lost_with_worker = False
        self.start_ordered_at: float | None = None
        self.heartbeats_before_takeover: int | None = None
        self.last_seen_running_at = float("-inf")
        self.is_appending_end_record = False
        self.takeover_read_at = now
        self.former_lease_expiry_bound = now
        self.claim_read_at = now
        self.are_renewals_ended = False

    @property
    def run_key(self) -> ports.RunKey:
        """Identity of the run in calls to its worker."""
        return ports.RunKey(self.live_run.job_id, self.live_run.task,
                            self.live_run.run)

    def mark_ended(self,
                   end_reason: model.ReleaseReason | None,
                   was_lost_with_worker: bool = False) -> None:
        """Marks the run as ended; no effect if it is already marked.

        Args:
            end_reason: Why the run ended; None if it completed its task.
            was_lost_with_worker: Value of the attribute.
        """
        if self.phase is not RunPhase.ENDED:
            self.phase = RunPhase.ENDED
            self.end_reason = end_reason
            self.was_lost_with_worker = was_lost_with_worker
