"""The control loop that every daemon runs for its failure domain.

One member, the preferred scheduler, decides; the folds keep two that both
think they are preferred from doing harm.
"""

import asyncio
import datetime
from typing import NamedTuple

from gentianlead import errors
from gentianlead import execution
from gentianlead import leases
from gentianlead import membership
from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state
from gentianlead import streams
from gentianlead.control import _jobs
from gentianlead.control import _observer
from gentianlead.control import _platform
from gentianlead.control import _tasks

MAX_STARTS_PER_TICK = 200
MAX_CLAIMS_IN_FLIGHT = 1000
URGENT_BACKOFF = datetime.timedelta(milliseconds=1500)
"""Each further member waits this much longer before it plans starts in place
of a preferred scheduler that does not, so that urgent work starts in time."""

URGENT_OPEN_BACKOFF = datetime.timedelta(milliseconds=500)
"""Each further member waits this much longer before it opens an urgent job in
place of the preferred scheduler; short, as URGENT_BACKOFF begins afterwards."""

REMOVAL_LIMIT = datetime.timedelta(seconds=60)
"""Silence after which a member is removed from the stream's state."""


class ControlPolicy(NamedTuple):
    """Times of the control loop.

    Attributes:
        tick: Time between two rounds.
        heartbeat_interval: Time between two heartbeats.
        member_timeout: Silence after which a member is not live.
    """

    tick: datetime.timedelta = datetime.timedelta(milliseconds=100)
    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    member_timeout: datetime.timedelta = datetime.timedelta(seconds=6)


class DomainController(state.DomainObserver):
    """Keeps a failure domain's members, workers, jobs and claims in order.

    Args:
        member: This incarnation.
        seat: Seat from the settings.
        peer_address: Address of the peer listener.
        domain_name: Failure domain.
        config: Client of the `config` stream.
        domain: Client of the domain's stream.
        once: Client of the `once` stream; only for its snapshots.
        platform: Last known VMs.
        runs: Runs that this daemon holds.
        scheduler: Decisions on starts and evictions.
        reconciler: Decisions on jobs.
        clock: Source of time.
        random: Source of identifiers.
        rights: Limits on the age of knowledge.
        policy: Times of the loop.
        snapshots: When to write snapshots.
        observer: Told of what happens.
    """

    def __init__(self, member: str, seat: int, peer_address: str,
                 domain_name: str, config: streams.StreamClient,
                 domain: streams.StreamClient, once: streams.StreamClient,
                 platform: _platform.PlatformView, runs: execution.RunManager,
                 scheduler: scheduling.DomainScheduler,
                 reconciler: _jobs.JobReconciler, clock: ports.Clock,
                 random: ports.RandomSource, rights: leases.Rights,
                 policy: ControlPolicy, snapshots: streams.SnapshotPolicy,
                 observer: _observer.ControlObserver):
        self._member = member
        self._seat = seat
        self._peer_address = peer_address
        self._domain_name = domain_name
        self._config = config
        self._domain = domain
        self._once = once
        self._platform = platform
        self._runs = runs
        self._scheduler = scheduler
        self._reconciler = reconciler
        self._clock = clock
        self._random = random
        self._rights = rights
        self._policy = policy
        self._snapshots = snapshots
        self._observer = observer
        self._tracker = membership.MembershipTracker(policy.member_timeout)
        self._tasks = _tasks.TaskSet(observer.on_error)
        self._dirty_jobs: set[str] = set()
        self._unopened_urgent: dict[str, float] = {}
        self._known_version = -1
        self._is_preferred = False
        self._is_draining = False
        self._last_heartbeat = float("-inf")
        self._fold.add_observer(self)

    @property
    def _fold(self) -> state.DomainFold:
        fold = self._domain.replica.fold
        assert isinstance(fold, state.DomainFold)
        return fold

    @property
    def _config_fold(self) -> state.ConfigurationFold:
        fold = self._config.replica.fold
        assert isinstance(fold, state.ConfigurationFold)
        return fold

    @property
    def configuration(self) -> model.Configuration:
        """The configuration as this daemon knows it."""
        return self._config_fold.configuration

    @property
    def is_preferred(self) -> bool:
        """Whether this daemon is the preferred scheduler."""
        return self._is_preferred

    @property
    def tracker(self) -> membership.MembershipTracker:
        """Liveness of the members."""
        return self._tracker

    def is_ready(self) -> bool:
        """Returns whether both streams are complete and were current."""
        return self._config.is_ready() and self._domain.is_ready()

    def may_start(self) -> bool:
        """Returns whether tasks may be started in this domain now.

        The age of the configuration counts, because an entry VM that cannot
        see the log cannot know that operators took its domain out.
        """
        return (self.is_ready() and
                self.configuration.is_domain_in_service(self._domain_name) and
                self._rights.may_start(self._config.get_age(),
                                       self._domain.get_age()))

    def may_start_run(self, run: execution.HeldRun) -> bool:
        """Returns whether a held run may be started now."""
        if not self.may_start() or self._is_draining:
            return False
        if self._reconciler.is_stopping(run.live.job_id):
            return False
        leaving = self._platform.list_leaving(self.configuration)
        return run.live.worker not in leaving

    def on_job_changed(self, job_id: str) -> None:
        self._dirty_jobs.add(job_id)

    def on_reset(self) -> None:
        self._dirty_jobs.update(self._fold.jobs)
        self._dirty_jobs.update(self._config_fold.jobs)

    async def run(self) -> None:
        """Runs the loop until cancelled."""
        while True:
            try:
                self.step()
            except errors.GentianleadError as error:
                self._observer.on_error(error)
            await self._clock.sleep(self._policy.tick)

    def step(self) -> None:
        """Does one round; appends go on in the background."""
        if not self.is_ready():
            return
        now = self._clock.monotonic()
        self._tracker.update(self._fold.members, self._domain.freshness.as_of or
                             0.0)
        self._keep_membership(now)
        self._take_configuration(now)
        self._execute_evictions(now)
        rank = self._tracker.get_rank(self._member)
        self._set_preferred(rank == 0)
        if rank is None or self._is_draining:
            return
        if rank == 0:
            self._unopened_urgent.clear()
            self._sync_workers()
            self._reconcile_jobs()
            self._take_over_runs()
            self._remove_silent_members()
            self._write_snapshots(now)
            self._start_tasks(now)
            return
        self._open_urgent_jobs(rank, now)
        self._start_overdue_urgent_tasks(rank, now)

    def _set_preferred(self, is_preferred: bool) -> None:
        if is_preferred == self._is_preferred:
            return
        self._is_preferred = is_preferred
        if is_preferred:
            self.on_reset()
        self._observer.on_preferred_changed(is_preferred)

    def _submit(self, key: object, client: streams.StreamClient,
                record: model.Record) -> None:
        self._tasks.start(key, self._append(client, record))

    async def _append(self, client: streams.StreamClient,
                      record: model.Record) -> bool:
        try:
            applied = await client.submit(record)
        except errors.LogUnavailableError:
            return False
        return applied.verdict.is_accepted

    def _keep_membership(self, now: float) -> None:
        if self._is_draining:
            return
        if self._member not in self._fold.members:
            self._submit(
                "join", self._domain,
                model.MemberJoined(self._member, self._seat,
                                   self._peer_address))
            return
        interval = self._policy.heartbeat_interval.total_seconds()
        if now - self._last_heartbeat >= interval:
            self._last_heartbeat = now
            self._submit("heartbeat", self._domain,
                         model.MemberHeartbeat(self._member))

    def _take_configuration(self, now: float) -> None:
        fold = self._config_fold
        leaving = self._platform.list_leaving(fold.configuration)
        self._scheduler.set_leaving(leaving)
        if fold.configuration.version != self._known_version:
            self._known_version = fold.configuration.version
            self._scheduler.set_configuration(fold.configuration)
            self._dirty_jobs.update(self._fold.jobs)
            self._dirty_jobs.update(
                job_id for job_id, entry in fold.jobs.items()
                if not entry.outcome)
        if fold.changed_jobs:
            changed, fold.changed_jobs = fold.changed_jobs, set()
            self._dirty_jobs.update(changed)
            for job_id in changed:
                entry = fold.jobs.get(job_id)
                if entry is not None and entry.spec.is_urgent:
                    self._unopened_urgent.setdefault(job_id, now)
                if job_id in self._fold.jobs and (
                        self._reconciler.is_stopping(job_id)):
                    self._scheduler.cancel_job(job_id)

    def _execute_evictions(self, now: float) -> None:
        for eviction in self._scheduler.plan_evictions(now):
            run = self._runs.get_run(eviction.slot)
            if run is None or run.live.run != eviction.run:
                continue
            self._observer.on_eviction(eviction)
            action = eviction.action
            if action is scheduling.EvictionAction.THROTTLE:
                self._tasks.start(
                    ("throttle", eviction.slot),
                    self._runs.throttle_run(eviction.slot, eviction.fraction))
                continue
            is_move = action is scheduling.EvictionAction.MOVE
            reason = model.ReleaseReason.EVICTED
            if eviction.reason is scheduling.EvictionReason.JOB_CANCELLED:
                reason = model.ReleaseReason.CANCELLED
            self._runs.stop_run(eviction.slot, reason, is_move)

    def _sync_workers(self) -> None:
        wanted = {
            vm.name: vm for vm in self._platform.list_workers(self._domain_name)
        }
        for name, vm in wanted.items():
            capacity = self._get_task_capacity(vm)
            worker = self._fold.workers.get(name)
            if worker is None or worker.capacity != capacity or (worker.rack
                                                                 != vm.rack):
                self._submit(("worker", name), self._domain,
                             model.WorkerPut(name, vm.rack, capacity))
        if self._platform.updated_at is None:
            return
        for name, worker in self._fold.workers.items():
            if name not in wanted and not worker.runs:
                self._submit(("worker", name), self._domain,
                             model.WorkerRemoved(name))

    def _get_task_capacity(self, vm: model.VM) -> model.Resources:
        capacity = vm.capacity
        for service in self.configuration.services.values():
            if service.has_target(vm.name):
                capacity = capacity.minus(service.reserve)
        return model.Resources(*(max(0, amount) for amount in capacity))

    def _reconcile_jobs(self) -> None:
        for job_id in list(self._dirty_jobs):
            if ("job", job_id) in self._tasks:
                continue
            self._dirty_jobs.discard(job_id)
            step = self._reconciler.find_step(job_id)
            if step is not None:
                self._tasks.start(("job", job_id),
                                  self._take_job_step(job_id, step))

    def _open_urgent_jobs(self, rank: int, now: float) -> None:
        """Opens urgent jobs that the preferred scheduler does not open."""
        for job_id, since in list(self._unopened_urgent.items()):
            step = self._reconciler.find_step(job_id)
            if step is None or not isinstance(step.record, model.JobOpened):
                del self._unopened_urgent[job_id]
            elif now - since > rank * URGENT_OPEN_BACKOFF.total_seconds():
                self._tasks.start(("job", job_id),
                                  self._take_job_step(job_id, step))

    async def _take_job_step(self, job_id: str, step: _jobs.JobStep) -> None:
        is_config = step.stream == model.CONFIG_STREAM
        client = self._config if is_config else self._domain
        is_accepted = await self._append(client, step.record)
        self._dirty_jobs.add(job_id)
        if not is_accepted:
            return
        if isinstance(step.record, model.JobEnded):
            self._observer.on_job_ended(job_id, step.record.outcome)
        elif isinstance(step.record, model.JobMoved):
            self._observer.on_job_moved(job_id, step.record.domain)

    def _take_over_runs(self) -> None:
        for key, run in self._fold.runs.items():
            if run.holder == self._member or self._tracker.is_live(run.holder):
                continue
            self._tasks.start(("takeover", key), self._take_over(run))

    async def _take_over(self, run: state.LiveRun) -> None:
        record = model.HolderChanged(run.job_id, run.task, run.run, run.holder,
                                     self._member)
        if await self._append(self._domain, record):
            self._observer.on_takeover(run.job_id, run.task, run.holder)

    def _remove_silent_members(self) -> None:
        for member in self._tracker.list_silent(REMOVAL_LIMIT):
            if member.member != self._member:
                self._submit(("remove", member.member), self._domain,
                             model.MemberLeft(member.member))

    def _may_claim(self) -> bool:
        return self.may_start() and len(self._tasks) <= MAX_CLAIMS_IN_FLIGHT

    def _start_overdue_urgent_tasks(self, rank: int, now: float) -> None:
        if not self._may_claim():
            return
        waited = rank * URGENT_BACKOFF.total_seconds()
        self._claim_all(
            self._scheduler.plan_urgent_starts(now, MAX_STARTS_PER_TICK,
                                               waited))

    def _start_tasks(self, now: float) -> None:
        if self._may_claim():
            self._claim_all(
                self._scheduler.plan_starts(now, MAX_STARTS_PER_TICK))

    def _claim_all(self, starts: list[scheduling.Start]) -> None:
        for start in starts:
            self._tasks.start(("claim", start.job_id, start.task, start.run),
                              self._claim(start))

    async def _claim(self, start: scheduling.Start) -> None:
        try:
            applied = await self._domain.submit(start.build_claim(self._member))
        except errors.LogUnavailableError:
            self._scheduler.forget_claim(start)
            return
        verdict = applied.verdict
        if not verdict.is_accepted:
            self._scheduler.forget_claim(start)
        self._observer.on_claim(start, verdict.is_accepted, verdict.reason)

    def _write_snapshots(self, now: float) -> None:
        clients = [self._domain]
        if self._is_first_domain():
            clients += [self._config, self._once]
        for client in clients:
            if self._snapshots.is_due(client.replica, now):
                self._tasks.start(("snapshot", client.stream),
                                  self._write_snapshot(client))

    def _is_first_domain(self) -> bool:
        """Returns whether this domain writes the global streams' snapshots.

        When its daemons are gone, the snapshots become overdue and the other
        domains write them too.
        """
        domains = sorted(
            name for name, domain in self.configuration.domains.items()
            if domain.is_in_service)
        if not domains or domains[0] == self._domain_name:
            return True
        return any(client.replica.records_since_snapshot >
                   self._snapshots.max_records * 1.2
                   for client in (self._config, self._once))

    async def _write_snapshot(self, client: streams.StreamClient) -> None:
        parts = client.replica.build_snapshot(
            f"{self._member}/{self._random.generate_id()}")
        results = await asyncio.gather(*(client.submit(
            part, datetime.timedelta(seconds=20)) for part in parts),
                                       return_exceptions=True)
        if any(isinstance(result, BaseException) for result in results):
            return
        self._snapshots.note_snapshot(client.replica, self._clock.monotonic())
        self._observer.on_snapshot(client.stream, len(parts),
                                   sum(len(part.data) for part in parts))

    async def leave(self) -> None:
        """Hands over the held runs and leaves the domain."""
        self._is_draining = True
        successors = [
            member.member
            for member in self._tracker.list_live()
            if member.member != self._member
        ]
        if self.is_ready():
            await self._runs.hand_over(successors[:1])
            await self._append(self._domain, model.MemberLeft(self._member))

    def start_draining(self) -> None:
        """Starts no more tasks; leases are still renewed."""
        self._is_draining = True

    async def close(self) -> None:
        """Cancels background appends."""
        await self._tasks.close()
