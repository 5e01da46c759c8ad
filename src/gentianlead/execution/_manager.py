"""Manages all runs that this daemon holds, with one session for each worker."""

import asyncio
import datetime
import math
from typing import Callable, NamedTuple

from gentianlead import errors
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead import streams
from gentianlead.execution import _crashes
from gentianlead.execution import _held_run
from gentianlead.execution import _observer
from gentianlead.execution import _worker_session

START_ORDER_TIMEOUT = datetime.timedelta(seconds=5)
"""A claimed run for which no start order has been sent is released when more
than this time has passed since this daemon read the claim."""

MAX_WORKERS_AT_FULL_RATE = 40
"""Greatest number of polled workers with which the intervals of `LeaseTimings`
are not lengthened. A worker is polled while it has held runs.

With more polled workers, both intervals are multiplied by the number of polled
workers divided by this constant. This keeps the number of calls per second from
growing with the number of workers. The renewal interval is never longer than a
third of the lease length, even if the number of calls per second then grows."""


class LeaseTimings(NamedTuple):
    """Durations for leases and the polling of workers.

    Attributes:
        lease_length: Length of a lease from the sending of its start order or
            renewal.
        renew_interval: Pause between two rounds of renewals, starts and stops
            on a worker. A new run or a requested stop ends the pause early. The
            pause is longer while more than `MAX_WORKERS_AT_FULL_RATE` workers
            have held runs, but never longer than a third of `lease_length`.
        usage_interval: Shortest time between two reads of a worker's usage
            reports. It is also longer while more than
            `MAX_WORKERS_AT_FULL_RATE` workers have held runs.
    """

    lease_length: datetime.timedelta = datetime.timedelta(seconds=15)
    renew_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    usage_interval: datetime.timedelta = datetime.timedelta(seconds=2)


class RunManager(state.DomainObserver):
    """Starts held runs, renews their leases, stops them and records their ends.

    The domain's stream is the replicated log of the domain's jobs and runs. Its
    state says which runs this daemon holds; the manager observes it. When a
    held run has ended, the manager appends `TaskFinished` if the run completed
    its task, and `TaskReleased` otherwise.

    Args:
        incarnation: Incarnation of this daemon.
        domain_stream_client: Client of the domain's stream.
        worker_agent_client: Client for the agents of all workers.
        clock: Source of time.
        timings: Durations for leases and the polling of workers.
        freshness_limits: Limits on the age of the state of the domain's stream;
            the manager uses the limit for the renewal of leases.
        get_agent_address: Returns the agent address of a worker, or None if
            the worker is unknown.
        may_start: Returns whether a run may be started now.
        observer: Receives the events of held runs.
    """

    def __init__(
            self, incarnation: str, domain_stream_client: streams.StreamClient,
            worker_agent_client: ports.WorkerAgent, clock: ports.Clock,
            timings: LeaseTimings, freshness_limits: leases.FreshnessLimits,
            get_agent_address: Callable[[str], str | None],
            may_start: Callable[[_held_run.HeldRun],
                                bool], observer: _observer.ExecutionObserver):
        self._incarnation = incarnation
        self._domain_stream_client = domain_stream_client
        self._worker_agent_client = worker_agent_client
        self._clock = clock
        self._timings = timings
        self._freshness_limits = freshness_limits
        self._get_agent_address = get_agent_address
        self._may_start = may_start
        self._observer = observer
        self._sessions: dict[str, _worker_session.WorkerSession] = {}
        self._session_loops: dict[str, asyncio.Task[None]] = {}
        self._wakeup_events: dict[str, asyncio.Event] = {}
        self._background_asyncio_tasks: set[asyncio.Task[None]] = set()
        self._end_record_appends: set[asyncio.Task[None]] = set()
        self._is_stopping = False
        self._workers_by_task_key: dict[tuple[str, int], str] = {}
        self._state_machine.add_observer(self)

    @property
    def _state_machine(self) -> state.DomainStateMachine:
        state_machine = self._domain_stream_client.replica.state_machine
        assert isinstance(state_machine, state.DomainStateMachine)
        return state_machine

    def list_runs(self) -> list[_held_run.HeldRun]:
        """Returns the runs that this daemon holds, on all workers."""
        return [
            run for session in self._sessions.values()
            for run in session.runs.values()
        ]

    def get_run(self, task_key: tuple[str, int]) -> _held_run.HeldRun | None:
        """Returns the held run of a task, or None if no run of it is held.

        Args:
            task_key: Job id and index of the task.
        """
        session = self._sessions.get(self._workers_by_task_key.get(
            task_key, ""))
        return session.runs.get(task_key) if session else None

    def stop_run(self, task_key: tuple[str,
                                       int], stop_reason: model.ReleaseReason,
                 wants_checkpoint: bool) -> None:
        """Requests the stop of a held run.

        It has no effect if no run of the task is held or if a stop of the run
        was already requested.

        Args:
            task_key: Job id and index of the task.
            stop_reason: Why the run is to be stopped.
            wants_checkpoint: Whether to take a checkpoint before the stop.
        """
        run = self.get_run(task_key)
        if run is None or run.stop_reason is not None:
            return
        run.stop_reason = stop_reason
        run.wants_checkpoint = wants_checkpoint
        self._wake_session_loop(run.live_run.worker)

    async def throttle_run(self, task_key: tuple[str, int],
                           throttle_share: float) -> None:
        """Limits a held run to a share of its resources.

        It has no effect if no run of the task is held or if the run is not in
        phase `RUNNING`.

        Args:
            task_key: Job id and index of the task.
            throttle_share: Share of its resources that the run keeps, above 0.0
                and at most 1.0.
        """
        run = self.get_run(task_key)
        if run is not None and run.phase is _held_run.RunPhase.RUNNING:
            await self._sessions[run.live_run.worker
                                ].throttle(run, throttle_share)

    def on_run_changed(self, key: tuple[str, int]) -> None:
        live_run = self._state_machine.runs.get(key)
        held_run = self.get_run(key)
        if held_run is not None:
            is_end_recorded = (live_run is None or
                               live_run.run != held_run.live_run.run)
            if is_end_recorded or live_run.holder != self._incarnation:
                self._remove_run(held_run, is_end_recorded)
                held_run = None
        if live_run is None or live_run.holder != self._incarnation:
            return
        if held_run is not None:
            held_run.live_run = live_run
        else:
            self._add_run(live_run)

    def on_reset(self) -> None:
        for task_key in set(self._state_machine.runs) | set(
                self._workers_by_task_key):
            self.on_run_changed(task_key)

    def _add_run(self, live_run: state.LiveRun) -> None:
        job = self._state_machine.jobs[live_run.job_id]
        now = self._clock.monotonic()
        phase = (_held_run.RunPhase.CLAIMED if live_run.fence_token == 1 else
                 _held_run.RunPhase.TAKEN_OVER)
        run = _held_run.HeldRun(live_run, job.spec,
                                job.checkpoints.get(live_run.task, ""), phase,
                                now)
        if phase is _held_run.RunPhase.TAKEN_OVER:
            former_lease_timeout = self._compute_former_lease_timeout(live_run)
            run.heartbeats_before_takeover = (
                self._state_machine.count_heartbeats_before_takeover(
                    (live_run.job_id, live_run.task)))
            run.former_lease_expiry_bound = (
                now + former_lease_timeout.total_seconds())
        session = self._get_or_create_session(live_run.worker)
        task_key = (live_run.job_id, live_run.task)
        session.runs[task_key] = run
        self._workers_by_task_key[task_key] = live_run.worker
        self._wake_session_loop(live_run.worker)

    def _compute_former_lease_timeout(
            self, live_run: state.LiveRun) -> datetime.timedelta:
        """Returns the time after which no lease of a former holder is left.

        A former holder that failed may have renewed its lease while its state
        was young enough. One that stopped as planned has told in the log when
        its lease ends.
        """
        former_lease = self._state_machine.get_former_lease(
            (live_run.job_id, live_run.task))
        if former_lease is not None:
            return leases.compute_expiry_bound(former_lease)
        return (self._freshness_limits.max_age_for_renewals +
                self._timings.lease_length + leases.EXPIRY_MARGIN)

    def _remove_run(self, run: _held_run.HeldRun,
                    is_end_recorded: bool) -> None:
        task_key = (run.live_run.job_id, run.live_run.task)
        session = self._sessions[run.live_run.worker]
        del session.runs[task_key]
        del self._workers_by_task_key[task_key]
        # A new holder learns only from the worker how an ended run has ended.
        if is_end_recorded and run.phase is _held_run.RunPhase.ENDED:
            self._run_in_background(session.forget(run))

    def _get_or_create_session(self,
                               worker: str) -> _worker_session.WorkerSession:
        session = self._sessions.get(worker)
        if session is None:
            session = _worker_session.WorkerSession(
                worker,
                self._get_agent_address(worker) or "",
                self._worker_agent_client, self._clock,
                self._timings.lease_length, self._may_start, self._may_renew,
                self._observer)
            self._sessions[worker] = session
            self._wakeup_events[worker] = asyncio.Event()
            self._session_loops[worker] = asyncio.get_running_loop(
            ).create_task(self._run_session(session))
        return session

    def _may_renew(self) -> bool:
        return self._freshness_limits.may_renew(
            self._domain_stream_client.get_age())

    def _wake_session_loop(self, worker: str) -> None:
        event = self._wakeup_events.get(worker)
        if event is not None:
            event.set()

    def _compute_polling_interval_factor(self) -> float:
        polled_worker_count = sum(
            1 for session in self._sessions.values() if session.runs)
        return max(1.0, polled_worker_count / MAX_WORKERS_AT_FULL_RATE)

    def _get_renew_interval(self) -> datetime.timedelta:
        # A third, so that a lease lasts long enough for three renewal attempts.
        max_interval = self._timings.lease_length / 3
        return min(
            self._timings.renew_interval *
            self._compute_polling_interval_factor(), max_interval)

    async def _run_session(self,
                           session: _worker_session.WorkerSession) -> None:
        wakeup_event = self._wakeup_events[session.worker]
        last_usage_read_at = self._clock.monotonic()
        while True:
            if not session.runs:
                await wakeup_event.wait()
            wakeup_event.clear()
            session.address = (self._get_agent_address(session.worker) or
                               session.address)
            await session.run_round()
            self._record_ended_runs(session)
            now = self._clock.monotonic()
            usage_interval = (self._timings.usage_interval *
                              self._compute_polling_interval_factor())
            if now - last_usage_read_at >= usage_interval.total_seconds():
                last_usage_read_at = now
                await session.read_usage()
            try:
                async with asyncio.timeout(
                        self._get_renew_interval().total_seconds()):
                    await wakeup_event.wait()
            except TimeoutError:
                pass

    def _record_ended_runs(self,
                           session: _worker_session.WorkerSession) -> None:
        """Starts to append the end records of a session's ended runs.

        Claimed runs whose `START_ORDER_TIMEOUT` has passed are first marked as
        ended, and so are all claimed runs if this daemon is stopping.
        """
        now = self._clock.monotonic()
        for run in list(session.runs.values()):
            seconds_since_claim = now - run.claim_read_at
            is_overdue = (seconds_since_claim
                          > START_ORDER_TIMEOUT.total_seconds())
            if run.phase is _held_run.RunPhase.CLAIMED and (is_overdue or
                                                            self._is_stopping):
                # NOT_STARTED counts as a fault of the worker, so it is used
                # only if the worker is unreachable.
                is_fault = is_overdue and session.is_unreachable
                run.mark_ended(model.ReleaseReason.NOT_STARTED
                               if is_fault else model.ReleaseReason.EVICTED)
            if (run.phase is _held_run.RunPhase.ENDED and
                    not run.is_appending_end_record and
                    self._is_end_reason_final(run, session, now)):
                run.is_appending_end_record = True
                append = self._run_in_background(self._append_end_record(run))
                self._end_record_appends.add(append)
                append.add_done_callback(self._end_record_appends.discard)

    def _is_end_reason_final(self, run: _held_run.HeldRun,
                             session: _worker_session.WorkerSession,
                             now: float) -> bool:
        """Returns whether the end of a run can be recorded now.

        The end of a run that was lost soon after its start is recorded only
        when losses of other workers at the same time have been noticed. Its end
        reason then says that the worker crashed under the task. A daemon that
        stops does not wait for other losses and assumes that there are some.
        """
        live_run = run.live_run
        job = self._state_machine.jobs[live_run.job_id]
        is_suspect = model.is_suspect(job.crashes.get(live_run.task, ()))
        if not _crashes.was_lost_early(run, is_suspect):
            return True
        shared_loss_time = _crashes.compute_shared_loss_time(
            self._get_renew_interval())
        if now - session.lost_at >= shared_loss_time:
            run.end_reason = _crashes.classify_crash(run, session,
                                                     self._sessions.values(),
                                                     shared_loss_time)
        elif self._is_stopping:
            run.end_reason = model.ReleaseReason.SHARED_CRASH
        else:
            return False
        run.was_lost_with_worker = False
        return True

    async def _append_end_record(self, run: _held_run.HeldRun) -> None:
        live_run = run.live_run
        if run.end_reason is None:
            record: model.Record = model.TaskFinished(live_run.job_id,
                                                      live_run.task,
                                                      live_run.run,
                                                      self._incarnation)
        else:
            record = model.TaskReleased(live_run.job_id, live_run.task,
                                        live_run.run, run.end_reason.value,
                                        run.checkpoint, self._incarnation)
        try:
            applied = await self._domain_stream_client.submit(record)
            if applied.verdict.is_accepted:
                self._observer.on_run_end_recorded(run.run_key, live_run.worker,
                                                   run.end_reason)
        except errors.LogUnavailableError:
            pass  # The next round tries again if the run is still held.
        finally:
            run.is_appending_end_record = False

    def _run_in_background(
            self,
            coroutine: "asyncio._CoroutineLike[None]") -> asyncio.Task[None]:
        asyncio_task = asyncio.get_running_loop().create_task(coroutine)
        self._background_asyncio_tasks.add(asyncio_task)
        asyncio_task.add_done_callback(self._background_asyncio_tasks.discard)
        return asyncio_task

    async def release_ended_runs(self) -> None:
        """Records the ends of held runs before a planned stop.

        Runs that this daemon has claimed and not started are released too, now
        and in future: a successor could not tell that they never started. The
        call returns when the log has accepted the records or failed; failed
        appends are repeated while the daemon runs.
        """
        self._is_stopping = True
        for session in self._sessions.values():
            self._record_ended_runs(session)
        await asyncio.gather(*self._end_record_appends, return_exceptions=True)

    async def hand_over_runs(self, successors: list[str]) -> None:
        """Transfers the held runs to other daemons before a planned stop.

        The leases of these runs are renewed no more, and the log tells when
        they end. If the worker cannot be reached, the next holder then need not
        wait for as long as a failed holder could have renewed them. Runs that
        have ended are not transferred. A failed transfer is ignored.

        Args:
            successors: Incarnations of the daemons among which the runs are
                divided evenly. If it is empty, this daemon must exit soon: the
                runs keep it as their holder until another daemon takes them
                over.
        """
        runs = [
            run for run in self.list_runs()
            if run.phase is not _held_run.RunPhase.ENDED
        ]
        handovers = [
            self._hand_over_run(
                run,
                successors[index % len(successors)] if successors else None)
            for index, run in enumerate(runs)
        ]
        await asyncio.gather(*handovers, return_exceptions=True)

    async def _hand_over_run(self, run: _held_run.HeldRun,
                             successor: str | None) -> None:
        live_run = run.live_run
        lease = self._sessions[live_run.worker].end_renewals(run)
        lease_ms = math.ceil(lease / datetime.timedelta(milliseconds=1))
        records: list[model.Record] = [
            model.RenewalsEnded(live_run.job_id, live_run.task, live_run.run,
                                self._incarnation, lease_ms)
        ]
        if successor is not None:
            records.append(
                model.HolderChanged(live_run.job_id, live_run.task,
                                    live_run.run, self._incarnation, successor))
        results = await asyncio.gather(
            *(self._domain_stream_client.submit(record) for record in records),
            return_exceptions=True)
        if isinstance(results[0], streams.AppendUnresolvedError) and (
                results[0].verdict is errors.Verdict.DID_NOT_RUN):
            run.are_renewals_ended = False

    async def close(self) -> None:
        """Cancels all calls to workers and all appends of end records.

        Runs are not stopped; their leases stay valid until they expire.
        """
        asyncio_tasks = [
            *self._session_loops.values(), *self._background_asyncio_tasks
        ]
        for asyncio_task in asyncio_tasks:
            asyncio_task.cancel()
        await asyncio.gather(*asyncio_tasks, return_exceptions=True)
