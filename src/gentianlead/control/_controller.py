"""Control loop that every daemon runs for its failure domain.

The preferred scheduler, which is the live member that joined first, claims
tasks, reconciles jobs and does the other shared work of the domain. Two members
may both take themselves for the preferred scheduler for some time; this is
safe, because the state machines of the streams reject conflicting records.
"""

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
from gentianlead.control import _departure
from gentianlead.control import _jobs
from gentianlead.control import _observer
from gentianlead.control import _platform_vms
from gentianlead.control import _running_coroutines
from gentianlead.control import _snapshot_writer

MAX_STARTS_PER_ROUND = 200
"""Largest number of task claims that one round of the loop starts."""

MAX_COROUTINES_FOR_CLAIMS = 1000
"""Largest number of running background coroutines with which a round still
claims tasks."""

URGENT_START_DELAY = datetime.timedelta(milliseconds=1500)
"""Time for which an urgent job must have waited without a claim before the
member of rank 1 claims its tasks in place of the preferred scheduler, which has
rank 0.

A member of a higher rank waits for this time multiplied by its rank. Urgent
tasks thus start in time when the preferred scheduler has failed. No member
waits before it claims tasks for workers that its own scheduler has reserved."""

URGENT_OPEN_DELAY = datetime.timedelta(milliseconds=500)
"""Time that the member of rank 1 waits after it has read in the `config` stream
that an urgent job was submitted or changed. If the preferred scheduler, which
has rank 0, has not opened the job by then, the member of rank 1 opens it.

A member of a higher rank waits for this time multiplied by its rank. The time
is short because `URGENT_START_DELAY` begins only when the job is open: the two
delays add up."""

MAX_VM_LIST_AGE_FOR_URGENT_WORK = datetime.timedelta(seconds=5)
"""Greatest age of the list of VMs with which a member of rank 1 or higher
records workers. With an older one it could add again, round after round, a
worker that the preferred scheduler has removed."""

MEMBER_REMOVAL_TIMEOUT = datetime.timedelta(seconds=60)
"""Time without a heartbeat after which the preferred scheduler removes a member
from the domain."""


class ControlTimings(NamedTuple):
    """Durations of the control loop.

    Attributes:
        round_interval: Pause between two rounds of the loop.
        heartbeat_interval: Shortest time between two heartbeats of this daemon.
        member_timeout: Time without a heartbeat after which a member no longer
            counts as live.
    """

    round_interval: datetime.timedelta = datetime.timedelta(milliseconds=100)
    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    member_timeout: datetime.timedelta = datetime.timedelta(seconds=6)


class DomainController(state.DomainObserver):
    """Runs the control loop of one daemon for its failure domain.

    Every daemon joins the domain and sends heartbeats. It throttles, moves and
    stops the runs that it holds as its own `scheduler` orders.

    The preferred scheduler also does the shared work of the domain: it records
    changes of the workers, reconciles jobs, writes snapshots and claims tasks.
    It takes over runs whose holder is not live. It removes other members that
    have sent no heartbeat for more than `MEMBER_REMOVAL_TIMEOUT`.

    Any other live member opens urgent jobs and claims urgent tasks only if the
    preferred scheduler has not done so in time. While urgent work waits too
    long, it also records workers that are missing from the domain's state. It
    claims tasks without delay for workers that its own `scheduler` has reserved
    for their job group. It does no other shared work.

    Args:
        incarnation: Incarnation of this daemon.
        seat: Number of this daemon's entry VM among the entry VMs of its
            failure domain, from 0. It comes from the daemon's settings and is
            stored in the record with which the daemon joins the domain.
        peer_address: `host:port` of this daemon's listener for other daemons.
        domain_name: Name of the failure domain.
        config_stream_client: Client of the `config` stream.
        domain_stream_client: Client of the domain's stream.
        one_time_stream_client: Client of the `once` stream, which stores
            one-time requests; the loop uses it only to write snapshots of this
            stream.
        vm_inventory: Last known VMs of the platform.
        run_manager: Manages the runs that this daemon holds.
        scheduler: Plans which tasks to start, and which runs to throttle, move
            or stop.
        job_reconciler: Finds the next record to append for a job.
        clock: Source of time.
        random: Source of identifiers for snapshots.
        freshness_limits: Gives the greatest age of the streams' state with
            which tasks may be started.
        timings: Durations of the control loop.
        snapshot_policy: Decides when a snapshot of a stream is due.
        observer: Receives the events of the loop.
    """

    def __init__(self, incarnation: str, seat: int, peer_address: str,
                 domain_name: str, config_stream_client: streams.StreamClient,
                 domain_stream_client: streams.StreamClient,
                 one_time_stream_client: streams.StreamClient,
                 vm_inventory: _platform_vms.VMInventory,
                 run_manager: execution.RunManager,
                 scheduler: scheduling.DomainScheduler,
                 job_reconciler: _jobs.JobReconciler, clock: ports.Clock,
                 random: ports.RandomSource,
                 freshness_limits: leases.FreshnessLimits,
                 timings: ControlTimings,
                 snapshot_policy: streams.SnapshotPolicy,
                 observer: _observer.ControlObserver):
        self._incarnation = incarnation
        self._seat = seat
        self._peer_address = peer_address
        self._domain_name = domain_name
        self._config_stream_client = config_stream_client
        self._domain_stream_client = domain_stream_client
        self._one_time_stream_client = one_time_stream_client
        self._vm_inventory = vm_inventory
        self._run_manager = run_manager
        self._scheduler = scheduler
        self._job_reconciler = job_reconciler
        self._clock = clock
        self._freshness_limits = freshness_limits
        self._timings = timings
        self._observer = observer
        self._membership_tracker = membership.MembershipTracker(
            timings.member_timeout)
        self._background_coroutines = _running_coroutines.BackgroundCoroutines(
            observer.on_error)
        self._snapshot_writer = _snapshot_writer.SnapshotWriter(
            incarnation, snapshot_policy, clock, random,
            self._background_coroutines, observer)
        self._departure = _departure.DomainDeparture(
            incarnation, domain_stream_client, run_manager,
            self._membership_tracker, self._background_coroutines,
            freshness_limits.max_age_for_starts)
        self._job_ids_to_reconcile: set[str] = set()
        self._changed_job_ids: set[str] = set()
        # Urgent jobs that this daemon opens if the preferred scheduler does
        # not. Maps the job id to the time, in monotonic seconds, at which this
        # daemon read that the job was submitted or changed.
        self._unopened_urgent_jobs_read_at: dict[str, float] = {}
        self._applied_config_version = -1
        self._is_preferred_scheduler = False
        self._is_draining = False
        self._last_heartbeat_at = float("-inf")
        self._domain_state_machine.add_observer(self)

    @property
    def _domain_state_machine(self) -> state.DomainStateMachine:
        state_machine = self._domain_stream_client.replica.state_machine
        assert isinstance(state_machine, state.DomainStateMachine)
        return state_machine

    @property
    def _config_state_machine(self) -> state.ConfigurationStateMachine:
        state_machine = self._config_stream_client.replica.state_machine
        assert isinstance(state_machine, state.ConfigurationStateMachine)
        return state_machine

    @property
    def configuration(self) -> model.Configuration:
        """The configuration in the state of the `config` stream."""
        return self._config_state_machine.configuration

    @property
    def is_preferred(self) -> bool:
        """Whether this daemon was the preferred scheduler in the last round."""
        return self._is_preferred_scheduler

    @property
    def membership_tracker(self) -> membership.MembershipTracker:
        """Tracker of which members of the domain are live."""
        return self._membership_tracker

    def is_ready(self) -> bool:
        """Returns whether this daemon has the state that the loop needs.

        The state of the `config` stream and of the domain's stream must be
        complete and have been current at least once; it may have become
        outdated since.
        """
        return self._config_stream_client.is_ready(
        ) and self._domain_stream_client.is_ready()

    def may_start(self) -> bool:
        """Returns whether tasks may be started in this domain now.

        The daemon must be ready, the domain must be in service, and the states
        of the `config` stream and of the domain's stream must both be within
        the age limit for starts. The age of the configuration counts, because a
        daemon that cannot read the log cannot know whether operators took its
        domain out of service.
        """
        return (self.is_ready() and
                self.configuration.is_domain_in_service(self._domain_name) and
                self._freshness_limits.may_start(
                    self._config_stream_client.get_age(),
                    self._domain_stream_client.get_age()))

    def may_start_run(self, run: execution.HeldRun) -> bool:
        """Returns whether a held run may be started now.

        It may not if `may_start` is false, if this daemon is draining, if no
        more tasks of the job may be started in this domain, or if the worker is
        to get no new work.
        """
        if not self.may_start() or self._is_draining:
            return False
        if self._job_reconciler.is_job_stopping(run.live_run.job_id):
            return False
        leaving_vms = self._vm_inventory.list_leaving_vms(self.configuration)
        return run.live_run.worker not in leaving_vms

    def on_job_changed(self, job_id: str) -> None:
        self._job_ids_to_reconcile.add(job_id)
        self._changed_job_ids.add(job_id)

    def on_reset(self) -> None:
        self._changed_job_ids.update(self._domain_state_machine.jobs)
        self._job_ids_to_reconcile.update(self._domain_state_machine.jobs)
        self._job_ids_to_reconcile.update(self._config_state_machine.jobs)

    async def run(self) -> None:
        """Runs rounds of the loop until cancelled.

        A `GentianleadError` ends only the round in which it occurs, and goes to
        the observer.
        """
        while True:
            try:
                self.run_round()
            except errors.GentianleadError as error:
                self._observer.on_error(error)
            await self._clock.sleep(self._timings.round_interval)

    def run_round(self) -> None:
        """Runs one round of the loop; does nothing unless `is_ready`.

        The round starts its appends in the background and does not wait for
        them.
        """
        if not self.is_ready():
            return
        now = self._clock.monotonic()
        self._membership_tracker.update(
            self._domain_state_machine.members,
            self._domain_stream_client.freshness.as_of or 0.0)
        self._join_or_send_heartbeat(now)
        self._apply_configuration(now)
        self._stop_failing_jobs()
        self._execute_evictions(now)
        rank = self._membership_tracker.get_rank(self._incarnation)
        self._set_is_preferred_scheduler(rank == 0 and not self._is_draining)
        if self._is_draining:
            self._departure.begin_if_due()
            return
        if rank is None:
            return
        if rank == 0:
            self._unopened_urgent_jobs_read_at.clear()
            self._record_worker_changes()
            self._reconcile_jobs()
            self._take_over_runs()
            self._remove_silent_members()
            self._write_snapshots(now)
            self._claim_tasks(now)
            return
        self._record_missing_workers(rank, now)
        self._open_urgent_jobs(rank, now)
        self._claim_overdue_urgent_tasks(rank, now)

    def _set_is_preferred_scheduler(self, is_preferred_scheduler: bool) -> None:
        if is_preferred_scheduler == self._is_preferred_scheduler:
            return
        self._is_preferred_scheduler = is_preferred_scheduler
        if is_preferred_scheduler:
            self.on_reset()
        self._observer.on_preferred_changed(is_preferred_scheduler)

    def _append_in_background(self, coroutine_key: object,
                              client: streams.StreamClient,
                              record: model.Record) -> None:
        self._background_coroutines.start(coroutine_key,
                                          self._append_record(client, record))

    async def _append_record(self, client: streams.StreamClient,
                             record: model.Record) -> bool:
        try:
            applied = await client.submit(record)
        except errors.LogUnavailableError:
            return False
        return applied.verdict.is_accepted

    def _join_or_send_heartbeat(self, now: float) -> None:
        if self._is_draining:
            return
        if self._incarnation not in self._domain_state_machine.members:
            self._append_in_background(
                "join", self._domain_stream_client,
                model.MemberJoined(self._incarnation, self._seat,
                                   self._peer_address))
            return
        heartbeat_interval_s = self._timings.heartbeat_interval.total_seconds()
        if now - self._last_heartbeat_at >= heartbeat_interval_s:
            self._last_heartbeat_at = now
            self._append_in_background("heartbeat", self._domain_stream_client,
                                       model.MemberHeartbeat(self._incarnation))

    def _apply_configuration(self, now: float) -> None:
        state_machine = self._config_state_machine
        leaving_vms = self._vm_inventory.list_leaving_vms(
            state_machine.configuration)
        self._scheduler.set_leaving_workers(leaving_vms)
        if state_machine.configuration.version != self._applied_config_version:
            self._applied_config_version = state_machine.configuration.version
            self._scheduler.set_configuration(state_machine.configuration)
            self._job_ids_to_reconcile.update(self._domain_state_machine.jobs)
            self._job_ids_to_reconcile.update(
                job_id for job_id, config_job in state_machine.jobs.items()
                if not config_job.outcome)
        if state_machine.changed_jobs:
            changed_job_ids, state_machine.changed_jobs = (
                state_machine.changed_jobs, set())
            self._job_ids_to_reconcile.update(changed_job_ids)
            for job_id in changed_job_ids:
                config_job = state_machine.jobs.get(job_id)
                if config_job is not None and config_job.spec.is_urgent:
                    self._unopened_urgent_jobs_read_at.setdefault(job_id, now)
                if job_id in self._domain_state_machine.jobs and (
                        self._job_reconciler.is_job_stopping(job_id)):
                    self._scheduler.cancel_job(job_id)

    def _stop_failing_jobs(self) -> None:
        changed_job_ids, self._changed_job_ids = self._changed_job_ids, set()
        for job_id in changed_job_ids:
            if self._job_reconciler.is_job_failing(job_id):
                self._scheduler.cancel_job(job_id)

    def _execute_evictions(self, now: float) -> None:
        for eviction in self._scheduler.plan_evictions(now):
            run = self._run_manager.get_run(eviction.task_key)
            if run is None or run.live_run.run != eviction.run:
                continue
            self._observer.on_eviction(eviction)
            action = eviction.action
            if action is scheduling.EvictionAction.THROTTLE:
                self._background_coroutines.start(
                    ("throttle", eviction.task_key),
                    self._run_manager.throttle_run(eviction.task_key,
                                                   eviction.throttle_share))
                continue
            is_move = action is scheduling.EvictionAction.MOVE
            release_reason = model.ReleaseReason.EVICTED
            if eviction.reason is scheduling.EvictionReason.JOB_CANCELLED:
                release_reason = model.ReleaseReason.CANCELLED
            self._run_manager.stop_run(eviction.task_key, release_reason,
                                       is_move)

    def _record_worker_changes(self) -> None:
        listed_vms_by_name = {
            vm.name: vm
            for vm in self._vm_inventory.list_workers(self._domain_name)
        }
        for name, vm in listed_vms_by_name.items():
            capacity = self._compute_task_capacity(vm)
            worker = self._domain_state_machine.workers.get(name)
            if worker is None or worker.capacity != capacity or (worker.rack
                                                                 != vm.rack):
                self._record_worker(vm)
        if self._vm_inventory.updated_at is None:
            return
        for name, worker in self._domain_state_machine.workers.items():
            if name not in listed_vms_by_name and not worker.runs:
                self._append_in_background(("worker", name),
                                           self._domain_stream_client,
                                           model.WorkerRemoved(name))

    def _record_worker(self, vm: model.VM) -> None:
        self._append_in_background(
            ("worker", vm.name), self._domain_stream_client,
            model.WorkerPut(vm.name, vm.rack, self._compute_task_capacity(vm)))

    def _record_missing_workers(self, rank: int, now: float) -> None:
        """Records the missing workers if urgent work waits for too long.

        The preferred scheduler may have failed before it recorded them. Changed
        and removed workers are left to the preferred scheduler.
        """
        vm_list_updated_at = self._vm_inventory.updated_at
        if vm_list_updated_at is None or not self.may_start():
            return
        max_age_s = MAX_VM_LIST_AGE_FOR_URGENT_WORK.total_seconds()
        waiting_before = now - rank * URGENT_OPEN_DELAY.total_seconds()
        if now - vm_list_updated_at > max_age_s or not (
                self._has_urgent_work(waiting_before)):
            return
        for vm in self._vm_inventory.list_workers(self._domain_name):
            if vm.name not in self._domain_state_machine.workers:
                self._record_worker(vm)

    def _has_urgent_work(self, waiting_before: float) -> bool:
        """Returns whether urgent work waits since before a monotonic time."""
        return any(read_at < waiting_before
                   for read_at in self._unopened_urgent_jobs_read_at.values()
                  ) or self._scheduler.has_urgent_work(waiting_before)

    def _compute_task_capacity(self, vm: model.VM) -> model.Resources:
        capacity = vm.capacity
        for service in self.configuration.services.values():
            if service.has_target(vm.name):
                capacity = capacity.minus(service.reserve)
        return model.Resources(*(max(0, amount) for amount in capacity))

    def _reconcile_jobs(self) -> None:
        for job_id in list(self._job_ids_to_reconcile):
            if ("job", job_id) in self._background_coroutines:
                continue
            self._job_ids_to_reconcile.discard(job_id)
            next_record = self._job_reconciler.find_next_record(job_id)
            if next_record is not None:
                self._background_coroutines.start(
                    ("job", job_id),
                    self._append_job_record(job_id, next_record))

    def _open_urgent_jobs(self, rank: int, now: float) -> None:
        """Opens the urgent jobs that have waited long enough for this member.

        A job must have waited for more than `URGENT_OPEN_DELAY` multiplied by
        `rank`. Jobs that need not be opened any more are no longer tracked.
        """
        for job_id, read_at in list(self._unopened_urgent_jobs_read_at.items()):
            next_record = self._job_reconciler.find_next_record(job_id)
            if next_record is None or not isinstance(next_record.record,
                                                     model.JobOpened):
                del self._unopened_urgent_jobs_read_at[job_id]
            elif now - read_at > rank * URGENT_OPEN_DELAY.total_seconds():
                self._background_coroutines.start(
                    ("job", job_id),
                    self._append_job_record(job_id, next_record))

    async def _append_job_record(self, job_id: str,
                                 next_record: _jobs.RecordToAppend) -> None:
        is_config_record = next_record.stream == model.CONFIG_STREAM
        client = (self._config_stream_client
                  if is_config_record else self._domain_stream_client)
        is_accepted = await self._append_record(client, next_record.record)
        self._job_ids_to_reconcile.add(job_id)
        if not is_accepted:
            return
        if isinstance(next_record.record, model.JobEnded):
            self._observer.on_job_ended(job_id, next_record.record.outcome)
        elif isinstance(next_record.record, model.JobMoved):
            self._observer.on_job_moved(job_id, next_record.record.domain)
        elif isinstance(next_record.record, model.JobClosed):
            tombstone = self._domain_state_machine.tombstones.get(job_id)
            if tombstone is not None and tombstone.detail:
                self._observer.on_job_given_up(job_id, tombstone.detail)

    def _take_over_runs(self) -> None:
        for task_key, run in self._domain_state_machine.runs.items():
            if (run.holder == self._incarnation or
                    self._membership_tracker.is_live(run.holder)):
                continue
            self._background_coroutines.start(("takeover", task_key),
                                              self._take_over_run(run))

    async def _take_over_run(self, run: state.LiveRun) -> None:
        record = model.HolderChanged(run.job_id, run.task, run.run, run.holder,
                                     self._incarnation)
        if await self._append_record(self._domain_stream_client, record):
            self._observer.on_run_taken_over(run.job_id, run.task, run.holder)

    def _remove_silent_members(self) -> None:
        for member in self._membership_tracker.list_silent_members(
                MEMBER_REMOVAL_TIMEOUT):
            if member.member != self._incarnation:
                self._append_in_background(("remove", member.member),
                                           self._domain_stream_client,
                                           model.MemberLeft(member.member))

    def _may_claim_tasks(self) -> bool:
        return self.may_start() and len(
            self._background_coroutines) <= MAX_COROUTINES_FOR_CLAIMS

    def _claim_overdue_urgent_tasks(self, rank: int, now: float) -> None:
        if not self._may_claim_tasks():
            return
        min_wait_s = rank * URGENT_START_DELAY.total_seconds()
        self._claim_planned_starts(
            self._scheduler.plan_urgent_starts(now, MAX_STARTS_PER_ROUND,
                                               min_wait_s))

    def _claim_tasks(self, now: float) -> None:
        if self._may_claim_tasks():
            self._claim_planned_starts(
                self._scheduler.plan_starts(now, MAX_STARTS_PER_ROUND))

    def _claim_planned_starts(
            self, planned_starts: list[scheduling.PlannedStart]) -> None:
        for planned_start in planned_starts:
            self._background_coroutines.start(
                (_departure.CLAIM_KEY, planned_start.job_id, planned_start.task,
                 planned_start.run), self._claim_planned_start(planned_start))

    async def _claim_planned_start(
            self, planned_start: scheduling.PlannedStart) -> None:
        try:
            applied = await self._domain_stream_client.submit(
                planned_start.build_claim(self._incarnation))
        except errors.LogUnavailableError:
            self._scheduler.discard_claim(planned_start)
            return
        verdict = applied.verdict
        if not verdict.is_accepted:
            self._scheduler.discard_claim(planned_start)
        self._observer.on_claim_decided(planned_start, verdict.is_accepted,
                                        verdict.reason)

    def _write_snapshots(self, now: float) -> None:
        self._snapshot_writer.write_if_due(self._domain_stream_client, now)
        turn = self._get_turn_for_shared_streams()
        for client in (self._config_stream_client,
                       self._one_time_stream_client):
            self._snapshot_writer.write_if_due(client, now, turn)

    def _get_turn_for_shared_streams(self) -> int:
        """Returns how many domains write snapshots of shared streams before us.

        All domains share `config` and `once`. Their snapshots are written by
        the domain in service whose name sorts first. In case its daemons fail,
        the others follow in the order of their names, and the domains that are
        not in service follow last.
        """
        domains_in_service = sorted(
            name for name, domain in self.configuration.domains.items()
            if domain.is_in_service)
        if self._domain_name in domains_in_service:
            return domains_in_service.index(self._domain_name)
        return len(domains_in_service)

    async def leave(self) -> None:
        """Drains the daemon, transfers its held runs and leaves the domain.

        It is called before the daemon exits and completes what the rounds have
        not done since `start_draining`. If there is no other live member, the
        runs keep this daemon as their holder. If the daemon is not ready, it
        neither transfers runs nor leaves the domain.
        """
        self._is_draining = True
        if self.is_ready():
            await self._departure.finish()

    def start_draining(self) -> None:
        """Makes the following rounds transfer the runs and leave the domain.

        It is called when a planned stop of the daemon begins. All held runs go
        to one member: of the other live members, the one that joined first.
        While there is none, the daemon stays a member without heartbeats; it
        throttles, moves and stops held runs as the scheduler orders, and the
        run manager renews leases. The daemon starts no held run, claims no
        tasks and does none of the loop's other work for the domain.
        """
        self._is_draining = True

    async def close(self) -> None:
        """Cancels the background coroutines and waits until they have ended."""
        await self._background_coroutines.close()
