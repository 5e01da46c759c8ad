"""Keeps one session for each worker and follows the fold of the domain."""

import asyncio
import datetime
from typing import Callable, NamedTuple

from gentianlead import errors
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead import streams
from gentianlead.execution import _held_run
from gentianlead.execution import _observer
from gentianlead.execution import _worker_session

START_PATIENCE = datetime.timedelta(seconds=5)
"""A claim that could not be started for this long is released."""

MAX_SPREAD_WORKERS = 40
"""Workers polled a second by one daemon; more workers are polled less often,
so that the cost of polling does not rise with the fleet."""


class ExecutionPolicy(NamedTuple):
    """Times of leases.

    Attributes:
        lease_length: Length of a lease.
        renew_interval: Shortest time between two renewals on a worker.
        usage_interval: Time between two readings of usage on a worker.
    """

    lease_length: datetime.timedelta = datetime.timedelta(seconds=15)
    renew_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    usage_interval: datetime.timedelta = datetime.timedelta(seconds=2)


class RunManager(state.DomainObserver):
    """Holds the runs whose holder is this daemon.

    The fold decides which runs these are; the manager follows it and records
    the end of each run with `TaskFinished` or `TaskReleased`.

    Args:
        member: This incarnation.
        domain: Client of the domain's stream.
        agent: Client of worker agents.
        clock: Source of time.
        policy: Times of leases.
        rights: Limits on the age of knowledge.
        get_address: Returns the agent address of a worker, or None.
        may_start: Returns whether a run may be started now.
        observer: Told of what happens.
    """

    def __init__(self, member: str, domain: streams.StreamClient,
                 agent: ports.WorkerAgent, clock: ports.Clock,
                 policy: ExecutionPolicy, rights: leases.Rights,
                 get_address: Callable[[str], str | None],
                 may_start: Callable[[_held_run.HeldRun], bool],
                 observer: _observer.ExecutionObserver):
        self._member = member
        self._domain = domain
        self._agent = agent
        self._clock = clock
        self._policy = policy
        self._rights = rights
        self._get_address = get_address
        self._may_start = may_start
        self._observer = observer
        self._sessions: dict[str, _worker_session.WorkerSession] = {}
        self._loops: dict[str, asyncio.Task[None]] = {}
        self._wakeups: dict[str, asyncio.Event] = {}
        self._recordings: set[asyncio.Task[None]] = set()
        self._workers_by_run: dict[tuple[str, int], str] = {}
        self._state_machine.add_observer(self)

    @property
    def _state_machine(self) -> state.DomainStateMachine:
        state_machine = self._domain.replica.state_machine
        assert isinstance(state_machine, state.DomainStateMachine)
        return state_machine

    def list_runs(self) -> list[_held_run.HeldRun]:
        """Returns all held runs."""
        return [
            run for session in self._sessions.values()
            for run in session.runs.values()
        ]

    def get_run(self, key: tuple[str, int]) -> _held_run.HeldRun | None:
        """Returns a held run by job and task."""
        session = self._sessions.get(self._workers_by_run.get(key, ""))
        return session.runs.get(key) if session else None

    def stop_run(self, key: tuple[str, int], reason: model.ReleaseReason,
                 wants_checkpoint: bool) -> None:
        """Asks for the end of a held run; the first reason given stays."""
        run = self.get_run(key)
        if run is None or run.stop_reason is not None:
            return
        run.stop_reason = reason
        run.wants_checkpoint = wants_checkpoint
        self._wake(run.live.worker)

    async def throttle_run(self, key: tuple[str, int], fraction: float) -> None:
        """Limits a held run to a fraction of its resources."""
        run = self.get_run(key)
        if run is not None and run.phase is _held_run.Phase.RUNNING:
            await self._sessions[run.live.worker].throttle(run, fraction)

    def on_run_changed(self, key: tuple[str, int]) -> None:
        live = self._state_machine.runs.get(key)
        held = self.get_run(key)
        if held is not None and (live is None or live.run != held.live.run or
                                 live.holder != self._member):
            self._drop(held)
            held = None
        if live is None or live.holder != self._member:
            return
        if held is not None:
            held.live = live
        else:
            self._add(live)

    def on_reset(self) -> None:
        for key in set(self._state_machine.runs) | set(self._workers_by_run):
            self.on_run_changed(key)

    def _add(self, live: state.LiveRun) -> None:
        job = self._state_machine.jobs[live.job_id]
        now = self._clock.monotonic()
        phase = (_held_run.Phase.CLAIMED
                 if live.fence_token == 1 else _held_run.Phase.ADOPTED)
        run = _held_run.HeldRun(live, job.spec,
                                job.checkpoints.get(live.task, ""), phase, now)
        if phase is _held_run.Phase.ADOPTED:
            patience = (self._rights.holding_limit + self._policy.lease_length +
                        leases.LAPSE_MARGIN)
            run.unreachable_until = now + patience.total_seconds()
        session = self._get_session(live.worker)
        key = (live.job_id, live.task)
        session.runs[key] = run
        self._workers_by_run[key] = live.worker
        self._wake(live.worker)

    def _drop(self, run: _held_run.HeldRun) -> None:
        key = (run.live.job_id, run.live.task)
        session = self._sessions[run.live.worker]
        del session.runs[key]
        del self._workers_by_run[key]
        if run.phase is _held_run.Phase.ENDED:
            self._spawn(session.forget(run))

    def _get_session(self, worker: str) -> _worker_session.WorkerSession:
        session = self._sessions.get(worker)
        if session is None:
            session = _worker_session.WorkerSession(
                worker,
                self._get_address(worker) or "", self._agent, self._clock,
                self._policy.lease_length, self._may_start, self._may_renew,
                self._observer)
            self._sessions[worker] = session
            self._wakeups[worker] = asyncio.Event()
            self._loops[worker] = asyncio.get_running_loop().create_task(
                self._run_session(session))
        return session

    def _may_renew(self) -> bool:
        return self._rights.may_renew(self._domain.get_age())

    def _wake(self, worker: str) -> None:
        event = self._wakeups.get(worker)
        if event is not None:
            event.set()

    def _get_spread_factor(self) -> float:
        busy = sum(1 for session in self._sessions.values() if session.runs)
        return max(1.0, busy / MAX_SPREAD_WORKERS)

    def _get_interval(self) -> datetime.timedelta:
        # Three attempts must fit into a lease.
        longest = self._policy.lease_length / 3
        return min(self._policy.renew_interval * self._get_spread_factor(),
                   longest)

    async def _run_session(self,
                           session: _worker_session.WorkerSession) -> None:
        wakeup = self._wakeups[session.worker]
        last_usage = self._clock.monotonic()
        while True:
            if not session.runs:
                await wakeup.wait()
            wakeup.clear()
            session.address = (self._get_address(session.worker) or
                               session.address)
            await session.step()
            self._record_ends(session)
            now = self._clock.monotonic()
            usage_interval = (self._policy.usage_interval *
                              self._get_spread_factor())
            if now - last_usage >= usage_interval.total_seconds():
                last_usage = now
                await session.read_usage()
            try:
                async with asyncio.timeout(
                        self._get_interval().total_seconds()):
                    await wakeup.wait()
            except TimeoutError:
                pass

    def _record_ends(self, session: _worker_session.WorkerSession) -> None:
        now = self._clock.monotonic()
        for run in list(session.runs.values()):
            waited = now - run.claimed_at
            if (run.phase is _held_run.Phase.CLAIMED and
                    waited > START_PATIENCE.total_seconds()):
                # Only a worker that cannot be reached is to blame.
                run.end(model.ReleaseReason.NOT_STARTED if session.
                        is_lost else model.ReleaseReason.EVICTED)
            if run.phase is _held_run.Phase.ENDED and not run.is_recording:
                run.is_recording = True
                self._spawn(self._record_end(run))

    async def _record_end(self, run: _held_run.HeldRun) -> None:
        live = run.live
        if run.end_reason is None:
            record: model.Record = model.TaskFinished(live.job_id, live.task,
                                                      live.run, self._member)
        else:
            record = model.TaskReleased(live.job_id, live.task, live.run,
                                        run.end_reason.value, run.checkpoint,
                                        self._member)
        try:
            applied = await self._domain.submit(record)
            if applied.verdict.is_accepted:
                self._observer.on_ended(run.key, live.worker, run.end_reason)
        except errors.LogUnavailableError:
            pass  # The session submits the record again while it is not folded.
        finally:
            run.is_recording = False

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)

    async def hand_over(self, successors: list[str]) -> None:
        """Moves all held runs to other members, before a planned stop."""
        if not successors:
            return
        runs = [
            run for run in self.list_runs()
            if run.phase is not _held_run.Phase.ENDED
        ]
        records = [
            model.HolderChanged(run.live.job_id, run.live.task, run.live.run,
                                self._member,
                                successors[index % len(successors)])
            for index, run in enumerate(runs)
        ]
        await asyncio.gather(
            *(self._domain.submit(record) for record in records),
            return_exceptions=True)

    async def close(self) -> None:
        """Stops all sessions; leases that are held run on until they lapse."""
        tasks = [*self._loops.values(), *self._recordings]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
