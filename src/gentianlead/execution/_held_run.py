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
        RUNNING: The worker has reported the run as running.
        TAKEN_OVER: The run was taken over from another holder; its worker has
            not reported its state to this daemon yet.
        ENDED: The run has certainly ended; the log has not yet accepted the
            record of its end.
    """

    CLAIMED = "claimed"
    START_UNCONFIRMED = "start-unknown"
    RUNNING = "running"
    TAKEN_OVER = "adopted"
    ENDED = "ended"


class HeldRun:
    """Tracks one held run from its claim or takeover to the record of its end.

    Attributes:
        live_run: The run in the state of the domain's stream.
        spec: Specification of the job.
        checkpoint: Identifier of the newest confirmed checkpoint, or empty.
        phase: Phase of the run.
        boot_id: Boot identifier of the worker when the start order was sent or
            the run was last reported as running; empty before.
        latest_expiry_ms: Latest end of the lease that was sent to the worker or
            reported by it, in milliseconds on the worker's clock.
        start_by_ms: Time in milliseconds on the worker's clock after which the
            worker refuses the start order.
        stop_reason: Why the run is to be stopped; None if it is not.
        wants_checkpoint: Whether to take a checkpoint before the stop.
        end_reason: Why the run ended; None if it completed its task or has not
            ended.
        is_storing_end: Whether the record of its end is being appended.
        takeover_time: Time of the takeover in monotonic seconds.
        former_lease_end: Time in monotonic seconds by which every lease that
            the former holder of a taken-over run can have renewed has expired.
        claim_time: Time in monotonic seconds at which this daemon read the
            claim.
    """

    __slots__ = ("live_run", "spec", "checkpoint", "phase", "boot_id",
                 "latest_expiry_ms", "start_by_ms", "stop_reason",
                 "wants_checkpoint", "end_reason", "is_storing_end",
                 "takeover_time", "former_lease_end", "claim_time")

    def __init__(self, live_run: state.LiveRun, spec: model.JobSpec,
                 checkpoint: str, phase: RunPhase, now: float):
        self.live_run = live_run
        self.spec = spec
        self.checkpoint = checkpoint
        self.phase = phase
        self.boot_id = ""
        self.latest_expiry_ms = 0
        self.start_by_ms = 0
        self.stop_reason: model.ReleaseReason | None = None
        self.wants_checkpoint = False
        self.end_reason: model.ReleaseReason | None = None
        self.is_storing_end = False
        self.takeover_time = now
        self.former_lease_end = now
        self.claim_time = now

    @property
    def run_key(self) -> ports.RunKey:
        """Identity of the run in calls to its worker."""
        return ports.RunKey(self.live_run.job_id, self.live_run.task,
                            self.live_run.run)

    def mark_ended(self, reason: model.ReleaseReason | None) -> None:
        """Marks the run as ended; a later call has no effect.

        Args:
            reason: Why the run ended; None if it completed its task.
        """
        if self.phase is not RunPhase.ENDED:
            self.phase = RunPhase.ENDED
            self.end_reason = reason
