"""All held runs on one worker: one renewal call serves them together."""

import datetime
from typing import Callable

from gentianlead import errors
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead.execution import _held_run
from gentianlead.execution import _observer

START_WINDOW = datetime.timedelta(seconds=1)
"""A start order that reaches the worker later than this has no effect."""

ADOPTION_GRACE = datetime.timedelta(milliseconds=3500)
"""Time after a takeover in which the former holder's start order may still
take effect: its start limit, the start window and a margin."""


class WorkerSession:
    """Talks to one worker's agent about the runs held on it.

    Args:
        worker: Name of the worker.
        address: Address of its agent.
        agent: Client of worker agents.
        clock: Source of time.
        lease_length: Length of a lease from the moment of renewal.
        may_start: Returns whether a run may be started now.
        may_renew: Returns whether leases may be renewed now.
        observer: Told of what happens.
    """

    def __init__(self, worker: str, address: str, agent: ports.WorkerAgent,
                 clock: ports.Clock, lease_length: datetime.timedelta,
                 may_start: Callable[[_held_run.HeldRun],
                                     bool], may_renew: Callable[[], bool],
                 observer: _observer.ExecutionObserver):
        self.worker = worker
        self.address = address
        self.runs: dict[tuple[str, int], _held_run.HeldRun] = {}
        self._agent = agent
        self._clock = clock
        self._lease_length = lease_length
        self._may_start = may_start
        self._may_renew = may_renew
        self._observer = observer
        self._estimate: leases.WorkerClockEstimate | None = None
        self._is_lost = False

    @property
    def is_lost(self) -> bool:
        """Whether the last call to the worker failed."""
        return self._is_lost

    async def step(self) -> None:
        """Renews leases, learns states, starts and stops runs once."""
        if not self.runs:
            return
        try:
            await self._renew()
            for run in list(self.runs.values()):
                await self._advance(run)
        except errors.WorkerError as error:
            self._note_lost(error)
        self._end_lapsed()

    async def _advance(self, run: _held_run.HeldRun) -> None:
        if run.phase is _held_run.Phase.CLAIMED:
            await self._start(run)
        elif run.stop_reason is not None and run.phase in (
                _held_run.Phase.RUNNING, _held_run.Phase.ADOPTED):
            await self._stop(run)

    def _note_lost(self, error: errors.WorkerError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._observer.on_worker_lost(self.worker, error)

    def _note_reply(self, reply: ports.WorkerReply, sent_at: float) -> None:
        now = self._clock.monotonic()
        if self._is_lost:
            self._is_lost = False
            self._observer.on_worker_found(self.worker)
        if self._estimate and self._estimate.boot_id != reply.boot_id:
            self._end_runs_of_other_boots(reply.boot_id)
        self._estimate = leases.WorkerClockEstimate(reply.boot_id,
                                                    reply.worker_time_ms,
                                                    sent_at, now)
        for report in reply.runs:
            run = self.runs.get((report.key.job_id, report.key.task))
            if run is not None and run.live.run == report.key.run:
                self._take_report(run, report, reply)

    def _end_runs_of_other_boots(self, boot_id: str) -> None:
        for run in self.runs.values():
            if run.boot_id and run.boot_id != boot_id:
                run.end(model.ReleaseReason.LOST)

    async def _renew(self) -> None:
        sent_at = self._clock.monotonic()
        if self._estimate is None:
            # Only a renewal raises the fence at the worker. Until then a former
            # holder may renew, so the listed runs do not say when they lapse.
            reply = await self._agent.list_runs(self.address)
            self._note_reply(reply._replace(runs=()), sent_at)
            sent_at = self._clock.monotonic()
        runs = [
            run for run in self.runs.values()
            if run.phase not in (_held_run.Phase.CLAIMED, _held_run.Phase.ENDED)
        ]
        if not runs:
            return
        renewals = []
        # Each renewal sent moves the time at which the run has certainly
        # lapsed, so an unreachable worker is only asked for the states.
        may_renew = self._may_renew() and not self._is_lost
        for run in runs:
            expiry_ms = 0
            if may_renew:
                expiry_ms = self._estimate.get_expiry_ms(
                    sent_at, self._lease_length)
                run.last_expiry_ms = max(run.last_expiry_ms, expiry_ms)
            renewals.append(ports.LeaseRenewal(run.key, expiry_ms, run.live.fence))
        reply = await self._agent.renew(self.address, self._estimate.boot_id,
                                        renewals)
        self._note_reply(reply, sent_at)

    def _take_report(self, run: _held_run.HeldRun, report: ports.RunReport,
                     reply: ports.WorkerReply) -> None:
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        if report.state is ports.RunState.RUNNING:
            run.boot_id = reply.boot_id
            run.last_expiry_ms = max(run.last_expiry_ms, report.expires_at_ms)
            if run.phase is not _held_run.Phase.ENDED:
                run.phase = _held_run.Phase.RUNNING
        elif report.state is ports.RunState.UNKNOWN:
            self._take_unknown(run, reply)
        else:
            run.end(_get_end_reason(run, report.state))

    def _take_unknown(self, run: _held_run.HeldRun,
                      reply: ports.WorkerReply) -> None:
        if run.phase is _held_run.Phase.RUNNING:
            run.end(model.ReleaseReason.LOST)
        elif run.phase is _held_run.Phase.START_UNKNOWN:
            if reply.worker_time_ms > run.start_by_ms:
                run.end(model.ReleaseReason.NOT_STARTED)
        elif run.phase is _held_run.Phase.ADOPTED:
            waited = self._clock.monotonic() - run.adopted_at
            if waited > ADOPTION_GRACE.total_seconds():
                run.end(model.ReleaseReason.NOT_STARTED)

    async def _start(self, run: _held_run.HeldRun) -> None:
        if run.stop_reason is not None:
            run.end(run.stop_reason)
            return
        # Read before the check: a pause after it must not extend the window.
        now = self._clock.monotonic()
        if self._estimate is None or not self._may_start(run):
            return
        expiry_ms = self._estimate.get_expiry_ms(now, self._lease_length)
        run.start_by_ms = self._estimate.get_expiry_ms(now, START_WINDOW)
        run.last_expiry_ms = max(run.last_expiry_ms, expiry_ms)
        run.boot_id = self._estimate.boot_id
        run.phase = _held_run.Phase.START_UNKNOWN
        order = ports.StartOrder(run.key, run.boot_id, run.live.resources,
                                 expiry_ms, run.start_by_ms, run.live.fence,
                                 run.spec.payload, run.checkpoint)
        try:
            reply = await self._agent.start(self.address, order)
        except errors.WorkerError as error:
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                run.end(model.ReleaseReason.NOT_STARTED)
            raise
        self._note_reply(reply, now)
        if run.phase is _held_run.Phase.START_UNKNOWN:
            run.phase = _held_run.Phase.RUNNING
        self._observer.on_started(run.key, self.worker)

    async def _stop(self, run: _held_run.HeldRun) -> None:
        sent_at = self._clock.monotonic()
        if run.wants_checkpoint:
            reply = await self._agent.checkpoint(self.address, run.key)
            self._note_reply(reply, sent_at)
            run.wants_checkpoint = False
        if run.phase is _held_run.Phase.ENDED:
            return
        sent_at = self._clock.monotonic()
        reply = await self._agent.stop(self.address, run.key)
        self._note_reply(reply, sent_at)

    async def forget(self, run: _held_run.HeldRun) -> None:
        """Lets the worker drop a run whose end is recorded."""
        try:
            await self._agent.forget(self.address, run.key)
        except errors.WorkerError as error:
            self._note_lost(error)

    def _end_lapsed(self) -> None:
        now = self._clock.monotonic()
        for run in self.runs.values():
            if run.phase in (_held_run.Phase.CLAIMED, _held_run.Phase.ENDED):
                continue
            if now < run.unreachable_until and run.boot_id == "":
                continue
            if self._estimate is None:
                if run.phase is _held_run.Phase.ADOPTED:
                    run.end(model.ReleaseReason.LEASE_EXPIRED)
                continue
            latest = max(run.last_expiry_ms, run.start_by_ms)
            if self._estimate.is_certainly_past(latest, now):
                run.end(model.ReleaseReason.LEASE_EXPIRED)

    async def read_usage(self) -> None:
        """Passes the worker's newest usage reports to the observer."""
        sent_at = self._clock.monotonic()
        try:
            reply, reports = await self._agent.read_usage(self.address)
        except errors.WorkerError as error:
            self._note_lost(error)
            return
        self._note_reply(reply, sent_at)
        self._observer.on_usage(self.worker, reply, reports)

    async def throttle(self, run: _held_run.HeldRun, fraction: float) -> None:
        """Limits a run to a fraction of its resources."""
        sent_at = self._clock.monotonic()
        try:
            reply = await self._agent.throttle(self.address, run.key, fraction)
        except errors.WorkerError as error:
            self._note_lost(error)
            return
        self._note_reply(reply, sent_at)


def _get_end_reason(run: _held_run.HeldRun,
                    state: ports.RunState) -> model.ReleaseReason | None:
    if state is ports.RunState.FINISHED:
        return model.ReleaseReason.LOST if run.spec.is_watcher else None
    if state is ports.RunState.FAILED:
        return model.ReleaseReason.FAILED
    if state is ports.RunState.LEASE_EXPIRED:
        return model.ReleaseReason.LEASE_EXPIRED
    return run.stop_reason or model.ReleaseReason.LOST
