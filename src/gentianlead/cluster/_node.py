"""One daemon for jobs with steps: wiring, elections, readiness, stop."""

import asyncio
import datetime
import signal
from typing import Coroutine

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _desk
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _metrics
from gentianlead.cluster import _operators
from gentianlead.cluster import _peering
from gentianlead.cluster import _reports
from gentianlead.cluster import _topic

ELECTION_INTERVAL = datetime.timedelta(milliseconds=100)
"""Time between two looks at who leads the groups."""

MEMBER_INTERVAL = datetime.timedelta(seconds=5)
"""Time between two records of a member; a daemon that starts finds the others
by the newest ones."""

MEMBER_LIMIT = datetime.timedelta(seconds=16)
"""Age of a member's record above which it is gone: three intervals."""

RETENTION_INTERVAL = datetime.timedelta(seconds=10)
"""Time between two removals of jobs that ended long ago: 40 jobs each keep up
with four a second."""

ACQUIRE_PATIENCE = datetime.timedelta(seconds=1)
"""Longest wait for the append that takes the lead."""

STOP_LIMIT = datetime.timedelta(seconds=3)
"""Longest wait at a stop for answers in progress; half of the grace that the
platform gives."""


class ClusterNode:
    """A daemon.

    Example:
        >>> node = ClusterNode(settings, store, workers, permits, clock,
        ...                    source, log)
        >>> await node.run()
    """

    def __init__(self,
                 settings: platform.NodeSettings,
                 store: ports.KeyedStore,
                 workers: ports.LeasedWorkerClient,
                 permits: ports.PermitService,
                 clock: ports.Clock,
                 random_source: ports.RandomSource,
                 log: _decision_log.DecisionLog,
                 metrics_address: str = ""):
        self._settings = settings
        self._store = store
        self._workers = workers
        self._permits = permits
        self._clock = clock
        self._log = log
        self._metrics_address = metrics_address
        self._metrics = _metrics.ClusterMetrics()
        self._interference = dispatch.InterferenceModel()
        self._incarnation = f"{settings.node}#{random_source.generate_id()}"
        self._leaders: dict[str, _group_leader.GroupLeader] = {}
        self._acquiring: set[str] = set()
        self._lost_at: dict[str, float] = {}
        self._started_at: float | None = None
        self._beat = 0
        self._tasks: set[asyncio.Task] = set()
        self._stop_wanted = asyncio.Event()
        self._reader = _topic.TopicReader(store, clock, log, self._metrics,
                                          self._apply_changes)
        self._writer = _topic.TopicWriter(
            store, ports.Producer(f"n/{self._incarnation}", 1), clock, log,
            self._metrics)
        self._peering = _peering.Peering(self._incarnation, settings.domain,
                                         clock, random_source)
        self._desk = _desk.SteppedJobDesk(settings.domain, self._incarnation,
                                          self._reader, self._writer,
                                          self._peering, clock, log,
                                          self._notify_leader)
        self._operators = _operators.OperatorState(log, self._apply_operators)
        self._registry = _operators.WorkerRegistry(log, self._apply_entry,
                                                   self._apply_gone)
        self._peering.handlers[_reports.NOTICE_JOB] = self._serve_job
        self._peering.handlers[_reports.NOTICE_CANCEL] = self._serve_cancel
        self._peering.handlers[_reports.NOTICE_REPORT] = self._serve_report
        self._callers = platform.CallerServer(self._desk, clock,
                                              self._observe_request,
                                              self._render_metrics)

    async def run(self) -> None:
        """Runs until a stop signal."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_wanted.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_wanted.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        settings = self._settings
        address = await self._peering.start(settings.peer_host,
                                            settings.peer_ports)
        self._log.write("daemon-started",
                        incarnation=self._incarnation,
                        domain=settings.domain,
                        peer_address=address)
        self._reader.start()
        self._writer.start()
        self._spawn(self._run_follower(platform.OPERATOR_TOPIC))
        self._spawn(self._run_follower(platform.REGISTRY_TOPIC))
        self._spawn(self._announce(address))
        self._spawn(self._hold_elections())
        self._spawn(self._remove_ended_jobs())
        await self._callers.start(settings.caller_address,
                                  settings.ready_address, self._metrics_address)
        await self._stop_wanted.wait()
        await self._stop()

    def _note_reload(self) -> None:
        self._log.write("settings-reload", note="addresses stay as at start")

    async def _stop(self) -> None:
        """Ends requests in progress, then gives up the lead of groups."""
        self._log.write("daemon-stopping", leads=sorted(self._leaders))
        self._desk.is_draining = True
        try:
            async with asyncio.timeout(STOP_LIMIT.total_seconds()):
                await self._resign()
                await self._desk.finish()
                await self._callers.close()
        except TimeoutError:
            self._log.write("stop-limit-reached")
        for task in list(self._tasks):
            task.cancel()
        await self._reader.stop()
        await self._writer.stop()
        await self._peering.close()
        self._log.write("daemon-stopped")

    async def _resign(self) -> None:
        leaders = list(self._leaders.values())
        self._leaders.clear()
        for leader in leaders:
            await leader.resign()
            await leader.stop()

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.write("internal-error",
                            error=_decision_log.format_error(task.exception()))

    # Dependencies.

    async def _run_follower(self, topic: str) -> None:
        is_operators = topic == platform.OPERATOR_TOPIC
        state = self._operators if is_operators else self._registry
        follower = _operators.TopicFollower(
            topic,
            _operators.OPERATOR_WAIT if is_operators else datetime.timedelta(0),
            datetime.timedelta(0) if is_operators else
            _operators.REGISTRY_INTERVAL, self._store, self._clock, self._log,
            self._metrics, state.apply, state.apply_loaded)
        await follower.run()

    async def _announce(self, address: str) -> None:
        while True:
            self._beat += 1
            record = dispatch.MemberRecord(self._settings.node,
                                           self._incarnation, address,
                                           self._settings.domain, self._beat)
            try:
                await self._writer.append([record], MEMBER_INTERVAL)
            except ports.StoreError as error:
                self._log.write("member-record-not-stored", error=str(error))
                continue
            await self._clock.sleep(MEMBER_INTERVAL)

    async def _remove_ended_jobs(self) -> None:
        """Removes what is stored of jobs that ended long ago."""
        planner = dispatch.RetentionPlanner(self._settings.status_retention)
        while True:
            await self._clock.sleep(RETENTION_INTERVAL)
            keys = planner.list_expired(self._reader.table,
                                        self._clock.monotonic())
            if not keys or not self._desk.is_coordinator():
                continue
            try:
                offset = await self._writer.append(keys, RETENTION_INTERVAL)
            except ports.StoreError as error:
                self._log.write("keys-not-removed",
                                keys=len(keys),
                                error=str(error))
                continue
            self._log.write("keys-removed", keys=len(keys), offset=offset)

    def _apply_operators(self) -> None:
        configuration = self._operators.configuration
        self._desk.configuration = configuration
        for leader in self._leaders.values():
            leader.set_evacuated(leader.group in self._operators.evacuated)
            if configuration is not None:
                leader.scheduler.set_queues(configuration.queues)

    def _apply_entry(self, entry: ports.WorkerEntry) -> None:
        leader = self._leaders.get(entry.domain)
        if leader is not None:
            leader.put_worker(entry)

    def _apply_gone(self, worker_id: str) -> None:
        for leader in self._leaders.values():
            leader.unlist_worker(worker_id)

    def _apply_changes(self, changed: set[str]) -> None:
        table = self._reader.table
        for job_id in changed:
            entry = table.jobs.get(job_id)
            if entry is None:
                self._desk.forget_job(job_id)
                continue
            for leader in self._leaders.values():
                leader.put_job(entry)
        now = self._clock.monotonic()
        self._peering.set_members({
            name: member.record.address
            for name, member in table.members.items()
            if name != self._settings.node and now -
            member.seen_at <= MEMBER_LIMIT.total_seconds()
        })

    # Elections.

    async def _hold_elections(self) -> None:
        while True:
            await self._clock.sleep(ELECTION_INTERVAL)
            if not self._reader.is_loaded or self._desk.is_draining:
                continue
            view = self._build_view()
            if view is None:
                continue
            for group in self._settings.domains:
                if group in self._leaders or group in self._acquiring:
                    continue
                reason = dispatch.find_reason_to_lead(
                    group, self._reader.table.leaders.get(group), view)
                if reason:
                    self._acquiring.add(group)
                    self._spawn(self._acquire(group, reason))

    def _build_view(self) -> dispatch.ElectionView | None:
        members = self._reader.table.members
        now = self._clock.monotonic()
        own = members.get(self._settings.node)
        if own is None or own.record.incarnation != self._incarnation:
            return None
        if self._started_at is None:
            self._started_at = now
        return dispatch.ElectionView(self._settings.node, self._incarnation,
                                     members, self._peering.list_reachable(),
                                     self._reader.fresh_since, self._started_at,
                                     now)

    async def _acquire(self, group: str, reason: str) -> None:
        """Takes the lead of a group, unless another daemon is faster."""
        try:
            known = self._reader.table.leaders.get(group)
            epoch = dispatch.choose_epoch(known.record.epoch if known else 0,
                                          self._settings.node)
            record = dispatch.LeaderRecord(group, epoch, self._settings.node,
                                           self._incarnation, 1)
            offset = await self._store.append(
                dispatch.TOPIC, [dispatch.encode_record(record)],
                ports.Producer(f"g/{group}", epoch), 1, ACQUIRE_PATIENCE)
            if not await self._reader.wait_applied(offset, ACQUIRE_PATIENCE):
                self._log.write("lead-not-read-back", group=group, epoch=epoch)
                return
            leader = self._reader.table.leaders[group].record
            if (leader.epoch, leader.incarnation) == (epoch, self._incarnation):
                self._lead(group, epoch, offset, reason)
        except ports.StoreError as error:
            self._log.write("lead-not-taken",
                            group=group,
                            reason=reason,
                            error=str(error))
        finally:
            self._acquiring.discard(group)

    def _lead(self, group: str, epoch: int, offset: int, reason: str) -> None:
        self._metrics.lead_changes.inc({"change": "taken"})
        self._log.write("lead-taken",
                        group=group,
                        epoch=epoch,
                        offset=offset,
                        reason=reason)
        lease = min(self._settings.max_lease, _group_leader.LEASE)
        wait = (_group_leader.START_RIGHT +
                lease * _group_leader.CLOCK_ALLOWANCE +
                _group_leader.TAKEOVER_MARGIN)
        rules = dispatch.GroupRules(lease, wait, self._settings.stop_limit)
        writer = _topic.TopicWriter(self._store,
                                    ports.Producer(f"g/{group}", epoch),
                                    self._clock,
                                    self._log,
                                    self._metrics,
                                    first_sequence=2)
        writer.confirmed_at = self._clock.monotonic()
        leader = _group_leader.GroupLeader(
            group, epoch, offset, rules,
            (self._settings.node, self._incarnation), self._workers,
            self._permits, writer, self._clock, self._log, self._metrics,
            self._publish_report, self._lose_lead, self._choose_group,
            self._choose_refuge, self._interference)
        self._leaders[group] = leader
        for entry in self._reader.table.jobs.values():
            leader.put_job(entry)
        for entry in self._reader.table.workers.get(group, ()):
            leader.put_recorded_worker(entry)
        for entry in self._registry.entries.values():
            if entry.domain == group:
                leader.put_worker(entry)
        self._apply_operators()
        leader.start()

    def _lose_lead(self, group: str, reason: str) -> None:
        leader = self._leaders.pop(group, None)
        if leader is None:
            return
        self._metrics.lead_changes.inc({"change": "lost"})
        self._log.write("lead-lost",
                        group=group,
                        epoch=leader.epoch,
                        reason=reason)
        self._spawn(leader.stop())

    def _choose_group(self, job: dispatch.JobRun) -> str:
        """Returns a better group for a job that cannot run in its own."""
        own = job.group
        leader = self._leaders.get(own)
        if leader is None:
            return ""
        needed = {
            step.required_label for step in job.job.steps if step.required_label
        }
        now = self._clock.monotonic()
        load = leader.get_load(now)
        if load.is_usable and needed <= set(load.labels):
            if job.job.is_long_running or not job.is_stuck(
                    now, dispatch.WAIT_LIMIT.total_seconds()):
                return ""
            return dispatch.choose_roomier(job.job, own, self._desk.reports,
                                           now)
        reports = {
            group: report
            for group, report in self._desk.reports.items()
            if group != own
        }
        admission = dispatch.decide_admission(job.job, reports, own, now)
        return admission.assignment[0] if admission.assignment else ""

    def _choose_refuge(self, job: dispatch.JobRun) -> dispatch.Refuge:
        """Returns a group for a lasting task without room in its own."""
        return dispatch.choose_refuge(job.job, job.entry.assignment,
                                      job.group, self._desk.reports,
                                      self._clock.monotonic())

    # Calls between daemons.

    def _publish_report(self, report: _reports.LeaderReport) -> None:
        self._desk.apply_report(report)
        for name in self._peering.list_reachable():
            self._spawn(self._tell(name, _reports.NOTICE_REPORT, report))

    async def _tell(self, name: str, subject: str, notice: object) -> None:
        try:
            await self._peering.call(name, subject, notice, bool)
        except errors.RequestError as error:
            self._log.write("notice-failed",
                            peer=name,
                            subject=subject,
                            error=str(error))

    def _notify_leader(self, group: str, subject: str, notice: object) -> None:
        entry = self._reader.table.leaders.get(group)
        if entry is None:
            return
        if group in self._leaders:
            if subject == _reports.NOTICE_JOB:
                self._take_job(notice)
            else:
                self._leaders[group].cancel_job(notice.job_id)
        elif entry.record.node in self._peering.list_reachable():
            self._spawn(self._tell(entry.record.node, subject, notice))

    def _take_job(self, notice: _reports.JobNotice) -> None:
        leader = self._leaders.get(notice.group)
        # The sender must know this leadership: a job that a former leader may
        # have got has an offset below the one at which this leader began.
        if leader is None or leader.epoch != notice.epoch:
            return
        entry = self._reader.table.jobs.get(notice.job.job_id)
        leader.put_job(entry or dispatch.build_entry(notice.job, notice.offset))

    async def _serve_job(self, payload: bytes) -> object:
        self._take_job(dispatch.decode_value(payload, _reports.JobNotice))
        return True

    async def _serve_cancel(self, payload: bytes) -> object:
        notice = dispatch.decode_value(payload, _reports.CancelNotice)
        leader = self._leaders.get(notice.group)
        if leader is not None:
            leader.cancel_job(notice.job_id)
        return True

    async def _serve_report(self, payload: bytes) -> object:
        report = dispatch.decode_value(payload, _reports.LeaderReport)
        self._desk.apply_report(report)
        self._interference.merge(report.figures)
        return True

    # Metrics.

    def _observe_request(self, operation: str, status: int,
                         seconds: float) -> None:
        self._metrics.requests.inc({
            "operation": operation,
            "status": str(status)
        })
        self._metrics.request_seconds.observe({"operation": operation}, seconds)

    def _render_metrics(self) -> bytes:
        self._metrics.lines_dropped.set({}, self._log.dropped)
        return self._metrics.render()
