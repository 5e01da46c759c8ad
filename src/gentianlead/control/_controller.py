"""Control loop that every daemon runs for its failure domain.

The preferred scheduler, which is the live member that joined first, plans task
starts and reconciles jobs. Two members may both take themselves for the
preferred scheduler for some time; this is safe, because the state machines of
the streams reject conflicting records.
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
from gentianlead.control import _platform_vms
from gentianlead.control import _running_coroutines

MAX_STARTS_PER_ROUND = 200
"""Largest number of tasks that one round of the loop claims."""

MAX_COROUTINES_FOR_CLAIMS = 1000
"""Number of background coroutines above which no further tasks are claimed."""

URGENT_START_DELAY = datetime.timedelta(milliseconds=1500)
"""Time, multiplied by the rank of a member, for which an urgent job must have
waited without a claim before that member claims its tasks in place of the
preferred scheduler.

Urgent tasks thus start in time when the preferred scheduler has failed."""

URGENT_OPEN_DELAY = datetime.timedelta(milliseconds=500)
"""Time, multiplied by the rank of a member, after which that member opens an
urgent job in place of the preferred scheduler.

It is short because `URGENT_START_DELAY` counts only after the job was
opened."""

MEMBER_REMOVAL_TIMEOUT = datetime.timedelta(seconds=60)
"""Time without a heartbeat after which a member is removed from the domain."""


class ControlTimings(NamedTuple):
    """Durations of the control loop.

    Attributes:
        round_interval: Time between two rounds of the loop.
        heartbeat_interval: Time between two heartbeats of this daemon.
        member_timeout: Time without a heartbeat after which a member is not
            live.
    """

    round_interval: datetime.timedelta = datetime.timedelta(milliseconds=100)
    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    member_timeout: datetime.timedelta = datetime.timedelta(seconds=6)


class DomainController(state.DomainObserver):
    """Runs the control loop of one daemon for its failure domain.

    Every daemon joins the domain, sends heartbeats and carries out evictions of
    the runs that it holds. The preferred scheduler also records changes of the
    workers, reconciles jobs, takes over the runs of members that are not live,
    writes snapshots and claims tasks. The other members only open
    urgent jobs and claim urgent tasks that the preferred scheduler has not
    handled in time.

    Args:
        member: Incarnation of this daemon.
        seat: Seat number from the settings.
        peer_address: `host:port` of this daemon's listener for other daemons.
        domain_name: Name of the failure domain.
        config_client: Client of the `config` stream.
        domain_client: Client of the domain's stream.
        one_time_client: Client of the `once` stream of one-time requests, whose
            snapshots the loop writes.
        vm_inventory: Last known VMs.
        run_manager: Manages the runs that this daemon holds.
        scheduler: Plans starts and evictions.
        reconciler: Finds the next record to append for a job.
        clock: Source of time.
        random: Source of snapshot identifiers.
        freshness_limits: Limits on the age of the streams' state.
        timings: Durations of the loop.
        snapshot_policy: Decides when to write snapshots.
        observer: Receives the events of the loop.
    """

    def __init__(self, member: str, seat: int, peer_address: str,
                 domain_name: str, config_client: streams.StreamClient,
                 domain_client: streams.StreamClient,
                 one_time_client: streams.StreamClient,
                 vm_inventory: _platform_vms.VMInventory,
                 run_manager: execution.RunManager,
                 scheduler: scheduling.DomainScheduler,
                 reconciler: _jobs.JobReconciler, clock: ports.Clock,
                 random: ports.RandomSource,
                 freshness_limits: leases.FreshnessLimits,
                 timings: ControlTimings,
                 snapshot_policy: streams.SnapshotPolicy,
                 observer: _observer.ControlObserver):
        self._member = member
        self._seat = seat
        self._peer_address = peer_address
        self._domain_name = domain_name
        self._config_client = config_client
        self._domain_client = domain_client
        self._one_time_client = one_time_client
        self._vm_inventory = vm_inventory
        self._run_manager = run_manager
        self._scheduler = scheduler
        self._reconciler = reconciler
        self._clock = clock
        self._random = random
        self._freshness_limits = freshness_limits
        self._timings = timings
        self._snapshot_policy = snapshot_policy
        self._observer = observer
        self._membership_tracker = membership.MembershipTracker(
            timings.member_timeout)
        self._coroutines = _running_coroutines.BackgroundCoroutines(
            observer.on_error)
        self._jobs_to_reconcile: set[str] = set()
        # By job id: time at which the job was read, in monotonic seconds.
        self._unopened_urgent_jobs: dict[str, float] = {}
        self._applied_config_version = -1
        self._is_preferred = False
        self._is_draining = False
        self._last_heartbeat_at = float("-inf")
        self._domain_state_machine.add_observer(self)

    @property
    def _domain_state_machine(self) -> state.DomainStateMachine:
        state_machine = self._domain_client.replica.state_machine
        assert isinstance(state_machine, state.DomainStateMachine)
        return state_machine

    @property
    def _config_state_machine(self) -> state.ConfigurationStateMachine:
        state_machine = self._config_client.replica.state_machine
        assert isinstance(state_machine, state.ConfigurationStateMachine)
        return state_machine

    @property
    def configuration(self) -> model.Configuration:
        """The newest configuration that this daemon has read."""
        return self._config_state_machine.configuration

    @property
    def is_preferred(self) -> bool:
        """Whether this daemon is the preferred scheduler."""
        return self._is_preferred

    @property
    def membership_tracker(self) -> membership.MembershipTracker:
        """Tracks which members of the domain are live."""
        return self._membership_tracker

    def is_ready(self) -> bool:
        """Returns whether the `config` and the domain stream are fully read."""
        return self._config_client.is_ready() and self._domain_client.is_ready()

    def may_start(self) -> bool:
        """Returns whether tasks may be started in this domain now.

        The age of the configuration counts, because a daemon that cannot read
        the log cannot know whether operators took its domain out of service.
        """
        return (self.is_ready() and
                self.configuration.is_domain_in_service(self._domain_name) and
                self._freshness_limits.may_start(self._config_client.get_age(),
                                                 self._domain_client.get_age()))

    def may_start_run(self, run: execution.HeldRun) -> bool:
        """Returns whether a held run may be started now."""
        if not self.may_start() or self._is_draining:
            return False
        if self._reconciler.is_job_stopping(run.live_run.job_id):
            return False
        leaving_vms = self._vm_inventory.list_leaving_vms(self.configuration)
        return run.live_run.worker not in leaving_vms

    def on_job_changed(self, job_id: str) -> None:
        self._jobs_to_reconcile.add(job_id)

    def on_reset(self) -> None:
        self._jobs_to_reconcile.update(self._domain_state_machine.jobs)
        self._jobs_to_reconcile.update(self._config_state_machine.jobs)

    async def run(self) -> None:
        """Runs the loop until cancelled."""
        while True:
            try:
                self.run_round()
            except errors.GentianleadError as error:
                self._observer.on_error(error)
            await self._clock.sleep(self._timings.round_interval)

    def run_round(self) -> None:
        """Runs one round of the loop, without waiting for its appends."""
        if not self.is_ready():
            return
        now = self._clock.monotonic()
        self._membership_tracker.update(
            self._domain_state_machine.members,
            self._domain_client.freshness.as_of or 0.0)
        self._join_or_send_heartbeat(now)
        self._apply_configuration(now)
        self._execute_evictions(now)
        rank = self._membership_tracker.get_rank(self._member)
        self._set_preferred(rank == 0)
        if rank is None or self._is_draining:
            return
        if rank == 0:
            self._unopened_urgent_jobs.clear()
            self._record_worker_changes()
            self._reconcile_jobs()
            self._take_over_runs()
            self._remove_silent_members()
            self._write_snapshots(now)
            self._claim_tasks(now)
            return
        self._open_urgent_jobs(rank, now)
        self._claim_overdue_urgent_tasks(rank, now)

    def _set_preferred(self, is_preferred: bool) -> None:
        if is_preferred == self._is_preferred:
            return
        self._is_preferred = is_preferred
        if is_preferred:
            self.on_reset()
        self._observer.on_preferred_changed(is_preferred)

    def _append_in_background(self, key: object, client: streams.StreamClient,
                              record: model.Record) -> None:
        self._coroutines.start(key, self._append(client, record))

    async def _append(self, client: streams.StreamClient,
                      record: model.Record) -> bool:
        try:
            applied = await client.submit(record)
        except errors.LogUnavailableError:
            return False
        return applied.verdict.is_accepted

    def _join_or_send_heartbeat(self, now: float) -> None:
        if self._is_draining:
            return
        if self._member not in self._domain_state_machine.members:
            self._append_in_background(
                "join", self._domain_client,
                model.MemberJoined(self._member, self._seat,
                                   self._peer_address))
            return
        interval = self._timings.heartbeat_interval.total_seconds()
        if now - self._last_heartbeat_at >= interval:
            self._last_heartbeat_at = now
            self._append_in_background("heartbeat", self._domain_client,
                                       model.MemberHeartbeat(self._member))

    def _apply_configuration(self, now: float) -> None:
        state_machine = self._config_state_machine
        leaving_vms = self._vm_inventory.list_leaving_vms(
            state_machine.configuration)
        self._scheduler.set_leaving_workers(leaving_vms)
        if state_machine.configuration.version != self._applied_config_version:
            self._applied_config_version = state_machine.configuration.version
            self._scheduler.set_configuration(state_machine.configuration)
            self._jobs_to_reconcile.update(self._domain_state_machine.jobs)
            self._jobs_to_reconcile.update(
                job_id for job_id, entry in state_machine.jobs.items()
                if not entry.outcome)
        if state_machine.changed_jobs:
            changed_job_ids, state_machine.changed_jobs = (
                state_machine.changed_jobs, set())
            self._jobs_to_reconcile.update(changed_job_ids)
            for job_id in changed_job_ids:
                entry = state_machine.jobs.get(job_id)
                if entry is not None and entry.spec.is_urgent:
                    self._unopened_urgent_jobs.setdefault(job_id, now)
                if job_id in self._domain_state_machine.jobs and (
                        self._reconciler.is_job_stopping(job_id)):
                    self._scheduler.cancel_job(job_id)

    def _execute_evictions(self, now: float) -> None:
        for eviction in self._scheduler.plan_evictions(now):
            run = self._run_manager.get_run(eviction.task_key)
            if run is None or run.live_run.run != eviction.run:
                continue
            self._observer.on_eviction(eviction)
            action = eviction.action
            if action is scheduling.EvictionAction.THROTTLE:
                self._coroutines.start(
                    ("throttle", eviction.task_key),
                    self._run_manager.throttle_run(eviction.task_key,
                                                   eviction.throttle_share))
                continue
            is_move = action is scheduling.EvictionAction.MOVE
            reason = model.ReleaseReason.EVICTED
            if eviction.reason is scheduling.EvictionReason.JOB_CANCELLED:
                reason = model.ReleaseReason.CANCELLED
            self._run_manager.stop_run(eviction.task_key, reason, is_move)

    def _record_worker_changes(self) -> None:
        listed_workers = {
            vm.name: vm
            for vm in self._vm_inventory.list_workers(self._domain_name)
        }
        for name, vm in listed_workers.items():
            capacity = self._compute_task_capacity(vm)
            worker = self._domain_state_machine.workers.get(name)
            if worker is None or worker.capacity != capacity or (worker.rack
                                                                 != vm.rack):
                self._append_in_background(
                    ("worker", name), self._domain_client,
                    model.WorkerPut(name, vm.rack, capacity))
        if self._vm_inventory.updated_at is None:
            return
        for name, worker in self._domain_state_machine.workers.items():
            if name not in listed_workers and not worker.runs:
                self._append_in_background(("worker", name),
                                           self._domain_client,
                                           model.WorkerRemoved(name))

    def _compute_task_capacity(self, vm: model.VM) -> model.Resources:
        capacity = vm.capacity
        for service in self.configuration.services.values():
            if service.has_target(vm.name):
                capacity = capacity.minus(service.reserve)
        return model.Resources(*(max(0, amount) for amount in capacity))

    def _reconcile_jobs(self) -> None:
        for job_id in list(self._jobs_to_reconcile):
            if ("job", job_id) in self._coroutines:
                continue
            self._jobs_to_reconcile.discard(job_id)
            next_record = self._reconciler.find_next_record(job_id)
            if next_record is not None:
                self._coroutines.start(
                    ("job", job_id),
                    self._append_job_record(job_id, next_record))

    def _open_urgent_jobs(self, rank: int, now: float) -> None:
        """Opens urgent jobs that the preferred scheduler has left unopened."""
        for job_id, read_at in list(self._unopened_urgent_jobs.items()):
            next_record = self._reconciler.find_next_record(job_id)
            if next_record is None or not isinstance(next_record.record,
                                                     model.JobOpened):
                del self._unopened_urgent_jobs[job_id]
            elif now - read_at > rank * URGENT_OPEN_DELAY.total_seconds():
                self._coroutines.start(
                    ("job", job_id),
                    self._append_job_record(job_id, next_record))

    async def _append_job_record(self, job_id: str,
                                 next_record: _jobs.RecordToAppend) -> None:
        is_config = next_record.stream == model.CONFIG_STREAM
        client = self._config_client if is_config else self._domain_client
        is_accepted = await self._append(client, next_record.record)
        self._jobs_to_reconcile.add(job_id)
        if not is_accepted:
            return
        if isinstance(next_record.record, model.JobEnded):
            self._observer.on_job_ended(job_id, next_record.record.outcome)
        elif isinstance(next_record.record, model.JobMoved):
            self._observer.on_job_moved(job_id, next_record.record.domain)

    def _take_over_runs(self) -> None:
        for task_key, run in self._domain_state_machine.runs.items():
            if run.holder == self._member or self._membership_tracker.is_live(
                    run.holder):
                continue
            self._coroutines.start(("takeover", task_key),
                                   self._take_over_run(run))

    async def _take_over_run(self, run: state.LiveRun) -> None:
        record = model.HolderChanged(run.job_id, run.task, run.run, run.holder,
                                     self._member)
        if await self._append(self._domain_client, record):
            self._observer.on_run_taken_over(run.job_id, run.task, run.holder)

    def _remove_silent_members(self) -> None:
        for member in self._membership_tracker.list_silent_members(
                MEMBER_REMOVAL_TIMEOUT):
            if member.member != self._member:
                self._append_in_background(("remove", member.member),
                                           self._domain_client,
                                           model.MemberLeft(member.member))

    def _may_claim(self) -> bool:
        return self.may_start() and len(
            self._coroutines) <= MAX_COROUTINES_FOR_CLAIMS

    def _claim_overdue_urgent_tasks(self, rank: int, now: float) -> None:
        if not self._may_claim():
            return
        min_wait_s = rank * URGENT_START_DELAY.total_seconds()
        self._claim_planned_starts(
            self._scheduler.plan_urgent_starts(now, MAX_STARTS_PER_ROUND,
                                               min_wait_s))

    def _claim_tasks(self, now: float) -> None:
        if self._may_claim():
            self._claim_planned_starts(
                self._scheduler.plan_starts(now, MAX_STARTS_PER_ROUND))

    def _claim_planned_starts(self,
                              starts: list[scheduling.PlannedStart]) -> None:
        for start in starts:
            self._coroutines.start(
                ("claim", start.job_id, start.task, start.run),
                self._claim_planned_start(start))

    async def _claim_planned_start(self,
                                   start: scheduling.PlannedStart) -> None:
        try:
            applied = await self._domain_client.submit(
                start.build_claim(self._member))
        except errors.LogUnavailableError:
            self._scheduler.discard_claim(start)
            return
        verdict = applied.verdict
        if not verdict.is_accepted:
            self._scheduler.discard_claim(start)
        self._observer.on_claim_decided(start, verdict.is_accepted,
                                        verdict.reason)

    def _write_snapshots(self, now: float) -> None:
        clients = [self._domain_client]
        if self._writes_global_snapshots():
            clients += [self._config_client, self._one_time_client]
        for client in clients:
            if self._snapshot_policy.is_due(client.replica, now):
                self._coroutines.start(("snapshot", client.stream),
                                       self._write_snapshot(client))

    def _writes_global_snapshots(self) -> bool:
        """Returns whether this domain writes snapshots of the global streams.

        The first domain in service does, by name. If its daemons fail, the
        snapshots become overdue and the other domains write them too.
        """
        domains_in_service = sorted(
            name for name, domain in self.configuration.domains.items()
            if domain.is_in_service)
        if not domains_in_service or domains_in_service[0] == self._domain_name:
            return True
        return any(client.replica.records_since_snapshot >
                   self._snapshot_policy.max_records * 1.2
                   for client in (self._config_client, self._one_time_client))

    async def _write_snapshot(self, client: streams.StreamClient) -> None:
        parts = client.replica.build_snapshot(
            f"{self._member}/{self._random.generate_id()}")
        submit_results = await asyncio.gather(*(client.submit(
            part, datetime.timedelta(seconds=20)) for part in parts),
                                              return_exceptions=True)
        if any(isinstance(result, BaseException) for result in submit_results):
            return
        self._snapshot_policy.mark_snapshot_written(client.replica,
                                                    self._clock.monotonic())
        self._observer.on_snapshot_written(
            client.stream, len(parts), sum(len(part.data) for part in parts))

    async def leave(self) -> None:
        """Transfers the held runs to another member and leaves the domain."""
        self._is_draining = True
        successors = [
            member.member
            for member in self._membership_tracker.list_live_members()
            if member.member != self._member
        ]
        if self.is_ready():
            await self._run_manager.hand_over(successors[:1])
            await self._append(self._domain_client,
                               model.MemberLeft(self._member))

    def start_draining(self) -> None:
        """Stops starting tasks; leases are still renewed."""
        self._is_draining = True

    async def close(self) -> None:
        """Cancels the coroutines in the background."""
        await self._coroutines.close()
