"""Calls to one worker for the runs that this daemon holds there.

A single call renews the leases of all these runs that may be running.
"""

import datetime
from typing import Callable

from gentianlead import errors
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead.execution import _held_run
from gentianlead.execution import _observer

START_WINDOW = datetime.timedelta(seconds=1)
"""Time from the sending of a start order after which the worker refuses it."""

TAKEOVER_GRACE_PERIOD = datetime.timedelta(milliseconds=3500)
"""Time after a takeover in which a start order of the former holder may still
take effect.

During this time a taken-over run that the worker does not know may still start,
so it is not yet marked as ended.

The time is the sum of three parts:

* The greatest age of the states of the `config` stream and of the domain's
  stream with which a daemon starts runs, which is at most 2 s.
* `START_WINDOW`.
* A margin."""


class WorkerSession:
    """Starts and stops the held runs on one worker and renews their leases.

    Attributes:
        worker: Name of the worker.
        address: Address of the worker's agent.
        runs: Held runs on the worker by job id and index of the task.
        lost_at: Time in monotonic seconds at which this daemon last noticed
            that the worker had restarted or could not be reached; negative
            infinity if it never did.

    Args:
        worker: Name of the worker.
        address: Address of the worker's agent.
        worker_agent_client: Client for the agents of all workers.
        clock: Source of time.
        lease_length: Length of a lease from the sending of its start order or
            renewal.
        may_start: Returns whether a run may be started now.
        may_renew: Returns whether leases may be renewed now.
        observer: Receives the events of held runs.
    """

    def __init__(self, worker: str, address: str,
                 worker_agent_client: ports.WorkerAgent, clock: ports.Clock,
                 lease_length: datetime.timedelta,
                 may_start: Callable[[_held_run.HeldRun],
                                     bool], may_renew: Callable[[], bool],
                 observer: _observer.ExecutionObserver):
        self.worker = worker
        self.address = address
        self.runs: dict[tuple[str, int], _held_run.HeldRun] = {}
        self.lost_at = float("-inf")
        self._worker_agent_client = worker_agent_client
        self._clock = clock
        self._lease_length = lease_length
        self._may_start = may_start
        self._may_renew = may_renew
        self._observer = observer
        self._clock_estimate: leases.WorkerClockEstimate | None = None
        self._is_unreachable = False

    @property
    def is_unreachable(self) -> bool:
        """Whether a call to the worker failed after its last applied reply.

        It is False before any call. A successful `forget` does not reset it,
        because the session does not apply the reply to that call.
        """
        return self._is_unreachable

    async def run_round(self) -> None:
        """Renews leases, starts and stops runs, and updates the phases of runs.

        It does nothing if no run is held on the worker. After a failed call the
        round makes no further calls. At its end the round marks the runs whose
        lease has certainly expired as ended, even if a call failed.
        """
        if not self.runs:
            return
        try:
            await self._renew_leases()
            for run in list(self.runs.values()):
                await self._start_or_stop(run)
        except errors.WorkerError as error:
            self._mark_unreachable(error)
        self._end_expired_runs()

    async def _start_or_stop(self, run: _held_run.HeldRun) -> None:
        if run.phase is _held_run.RunPhase.CLAIMED:
            await self._start(run)
        elif run.stop_reason is not None and run.phase in (
                _held_run.RunPhase.RUNNING, _held_run.RunPhase.TAKEN_OVER):
            await self._stop(run)

    def _mark_unreachable(self, error: errors.WorkerError) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            self.lost_at = self._clock.monotonic()
            self._observer.on_worker_unreachable(self.worker, error)

    def _apply_reply(self, reply: ports.WorkerReply, sent_at: float) -> None:
        now = self._clock.monotonic()
        was_unreachable = self._is_unreachable
        if was_unreachable:
            self._is_unreachable = False
            self._observer.on_worker_reachable(self.worker)
        if (self._clock_estimate and
                self._clock_estimate.boot_id != reply.boot_id):
            if not was_unreachable:
                self.lost_at = now
            self._end_runs_of_earlier_boots(reply.boot_id)
        self._clock_estimate = leases.WorkerClockEstimate(
            reply.boot_id, reply.worker_time_ms, sent_at, now)
        for report in reply.runs:
            run = self.runs.get((report.key.job_id, report.key.task))
            if run is not None and run.live_run.run == report.key.run:
                self._apply_run_report(run, report, reply)

    def _end_runs_of_earlier_boots(self, boot_id: str) -> None:
        for run in self.runs.values():
            if run.boot_id and run.boot_id != boot_id:
                run.mark_ended(model.ReleaseReason.LOST,
                               was_lost_with_worker=True)

    async def _renew_leases(self) -> None:
        sent_at = self._clock.monotonic()
        if self._clock_estimate is None:
            # This call only reads the worker's clock and boot identifier. The
            # run reports in the reply are dropped: until a renewal by this
            # daemon has raised the fencing token at the worker, a former holder
            # can still extend the leases, so the reported ends can change.
            reply = await self._worker_agent_client.list_runs(self.address)
            self._apply_reply(reply._replace(runs=()), sent_at)
            sent_at = self._clock.monotonic()
        runs = [
            run for run in self.runs.values()
            if run.phase not in (_held_run.RunPhase.CLAIMED,
                                 _held_run.RunPhase.ENDED)
        ]
        if not runs:
            return
        lease_renewals = []
        # A renewal that is sent may extend the lease even if no reply comes,
        # and so delays the time at which the lease has certainly expired. A
        # worker that is unreachable therefore gets an expiry of 0, which
        # extends no lease but still queries the states of the runs. The same
        # expiry is sent while leases may not be renewed, and for runs whose
        # renewals have ended.
        may_renew = self._may_renew() and not self._is_unreachable
        for run in runs:
            expiry_ms = 0
            if may_renew and not run.are_renewals_ended:
                expiry_ms = self._clock_estimate.get_expiry_ms(
                    sent_at, self._lease_length)
                run.latest_expiry_ms = max(run.latest_expiry_ms, expiry_ms)
            lease_renewals.append(
                ports.LeaseRenewal(run.run_key, expiry_ms,
                                   run.live_run.fence_token))
        reply = await self._worker_agent_client.renew(
            self.address, self._clock_estimate.boot_id, lease_renewals)
        self._apply_reply(reply, sent_at)

    def _apply_run_report(self, run: _held_run.HeldRun, report: ports.RunReport,
                          reply: ports.WorkerReply) -> None:
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        if report.state is ports.RunState.RUNNING:
            run.boot_id = reply.boot_id
            run.last_seen_running_at = self._clock.monotonic()
            run.latest_expiry_ms = max(run.latest_expiry_ms,
                                       report.expires_at_ms)
            if run.phase is not _held_run.RunPhase.ENDED:
                run.phase = _held_run.RunPhase.RUNNING
        elif report.state is ports.RunState.UNKNOWN:
            self._handle_run_unknown_to_worker(run, reply)
        else:
            run.mark_ended(_get_end_reason(run, report.state))

    def _handle_run_unknown_to_worker(self, run: _held_run.HeldRun,
                                      reply: ports.WorkerReply) -> None:
        if run.phase is _held_run.RunPhase.RUNNING:
            run.mark_ended(model.ReleaseReason.LOST)
        elif run.phase is _held_run.RunPhase.START_UNCONFIRMED:
            if reply.worker_time_ms > run.start_by_ms:
                run.mark_ended(model.ReleaseReason.NOT_STARTED)
        elif run.phase is _held_run.RunPhase.TAKEN_OVER:
            seconds_since_takeover = self._clock.monotonic(
            ) - run.takeover_read_at
            if seconds_since_takeover > TAKEOVER_GRACE_PERIOD.total_seconds():
                # The worker forgets its runs when it restarts, so the run may
                # have started.
                run.mark_ended(model.ReleaseReason.NOT_STARTED,
                               was_lost_with_worker=True)

    async def _start(self, run: _held_run.HeldRun) -> None:
        if run.stop_reason is not None:
            run.mark_ended(run.stop_reason)
            return
        # The clock is read before `_may_start` is checked. The start window and
        # the lease are thus not extended if this process pauses after the
        # check.
        now = self._clock.monotonic()
        if self._clock_estimate is None or not self._may_start(run):
            return
        expiry_ms = self._clock_estimate.get_expiry_ms(now, self._lease_length)
        run.start_by_ms = self._clock_estimate.get_expiry_ms(now, START_WINDOW)
        run.latest_expiry_ms = max(run.latest_expiry_ms, expiry_ms)
        run.boot_id = self._clock_estimate.boot_id
        run.phase = _held_run.RunPhase.START_UNCONFIRMED
        run.start_ordered_at = now
        start_order = ports.StartOrder(run.run_key, run.boot_id,
                                       run.live_run.resources, expiry_ms,
                                       run.start_by_ms,
                                       run.live_run.fence_token,
                                       run.job_spec.payload, run.checkpoint)
        try:
            reply = await self._worker_agent_client.start(
                self.address, start_order)
        except errors.WorkerError as error:
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                run.mark_ended(model.ReleaseReason.NOT_STARTED)
            raise
        self._apply_reply(reply, now)
        if run.phase is _held_run.RunPhase.START_UNCONFIRMED:
            run.phase = _held_run.RunPhase.RUNNING
        self._observer.on_run_started(run.run_key, self.worker)

    async def _stop(self, run: _held_run.HeldRun) -> None:
        sent_at = self._clock.monotonic()
        if run.wants_checkpoint:
            reply = await self._worker_agent_client.checkpoint(
                self.address, run.run_key)
            self._apply_reply(reply, sent_at)
            run.wants_checkpoint = False
        if run.phase is _held_run.RunPhase.ENDED:
            return
        sent_at = self._clock.monotonic()
        reply = await self._worker_agent_client.stop(self.address, run.run_key)
        self._apply_reply(reply, sent_at)

    async def forget(self, run: _held_run.HeldRun) -> None:
        """Tells the worker to drop its record of an ended run.

        If the call fails, it is not repeated, and the worker is marked as
        unreachable.
        """
        try:
            await self._worker_agent_client.forget(self.address, run.run_key)
        except errors.WorkerError as error:
            self._mark_unreachable(error)

    def end_renewals(self, run: _held_run.HeldRun) -> datetime.timedelta:
        """Stops renewing the lease of a run before another daemon holds it.

        Renewals and start orders that were sent before can still take effect,
        but they carry the times at which their leases end.

        Returns:
            How long the lease can still last, without `EXPIRY_MARGIN`.
        """
        run.are_renewals_ended = True
        now = self._clock.monotonic()
        remaining_s = 0.0
        if run.boot_id == "":
            remaining_s = (run.former_lease_expiry_bound - now -
                           leases.EXPIRY_MARGIN.total_seconds())
        if self._clock_estimate is not None:
            expiry_bound_ms = max(run.latest_expiry_ms, run.start_by_ms)
            remaining_ms = (expiry_bound_ms -
                            self._clock_estimate.get_lower_bound_ms(now))
            remaining_s = max(remaining_s, remaining_ms / 1000)
        return datetime.timedelta(seconds=max(0.0, remaining_s))

    def _end_expired_runs(self) -> None:
        now = self._clock.monotonic()
        for run in self.runs.values():
            if run.phase in (_held_run.RunPhase.CLAIMED,
                             _held_run.RunPhase.ENDED):
                continue
            if now < run.former_lease_expiry_bound and run.boot_id == "":
                continue
            if self._clock_estimate is None:
                if run.phase is _held_run.RunPhase.TAKEN_OVER:
                    run.mark_ended(model.ReleaseReason.LEASE_EXPIRED,
                                   was_lost_with_worker=True)
                continue
            expiry_bound_ms = max(run.latest_expiry_ms, run.start_by_ms)
            if self._clock_estimate.is_certainly_past(expiry_bound_ms, now):
                run.mark_ended(model.ReleaseReason.LEASE_EXPIRED,
                               was_lost_with_worker=self._is_unreachable)

    async def read_usage(self) -> None:
        """Reads the worker's usage reports and passes them to the observer.

        If the call fails, the observer gets no reports, and the worker is
        marked as unreachable.
        """
        sent_at = self._clock.monotonic()
        try:
            reply, usage_reports = await self._worker_agent_client.read_usage(
                self.address)
        except errors.WorkerError as error:
            self._mark_unreachable(error)
            return
        self._apply_reply(reply, sent_at)
        self._observer.on_usage_reported(self.worker, reply, usage_reports)

    async def throttle(self, run: _held_run.HeldRun,
                       throttle_share: float) -> None:
        """Limits a run to a share of its resources.

        If the call fails, it is not repeated, and the worker is marked as
        unreachable.

        Args:
            run: Run to throttle.
            throttle_share: Share of its resources that the run keeps, above 0.0
                and at most 1.0.
        """
        sent_at = self._clock.monotonic()
        try:
            reply = await self._worker_agent_client.throttle(
                self.address, run.run_key, throttle_share)
        except errors.WorkerError as error:
            self._mark_unreachable(error)
            return
        self._apply_reply(reply, sent_at)


def _get_end_reason(run: _held_run.HeldRun,
                    run_state: ports.RunState) -> model.ReleaseReason | None:
    if run_state is ports.RunState.FINISHED:
        return model.ReleaseReason.LOST if run.job_spec.is_watcher else None
    if run_state is ports.RunState.FAILED:
        return model.ReleaseReason.FAILED
    if run_state is ports.RunState.LEASE_EXPIRED:
        return model.ReleaseReason.LEASE_EXPIRED
    return run.stop_reason or model.ReleaseReason.LOST
