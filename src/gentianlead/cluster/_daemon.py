"""Assembles a daemon for jobs with steps and runs its leader elections."""

import asyncio
import datetime
import functools
import signal
from typing import Coroutine

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _daemon_load
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_removal
from gentianlead.cluster import _job_service
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _membership
from gentianlead.cluster import _metrics
from gentianlead.cluster import _platform_topics
from gentianlead.cluster import _peering
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _read_notices
from gentianlead.cluster import _report_pacer
from gentianlead.cluster import _report_sender
from gentianlead.cluster import _takeover_wait
from gentianlead.cluster import _unled_groups

ELECTION_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which this daemon checks which groups it should start to lead."""

ACQUIRE_LEADERSHIP_TIMEOUT = datetime.timedelta(seconds=1)
"""Longest wait for the append of the record that claims the leadership of a
group, and again for this record to be read back from the job topic."""

CLAIM_CHECK_DELAY = datetime.timedelta(milliseconds=60)
"""Time for a read of the job topic before this daemon claims a group. The table
may lack the records of the last 0.3 s, so another candidate may have claimed
the group. Each leader waits anew for workers that do not reply."""

SHUTDOWN_TIMEOUT = datetime.timedelta(seconds=3)
"""Time that a stopping daemon has for resigning its leaderships and finishing
requests in progress; after it the daemon stops without completing them. This is
half of the grace period that the platform gives."""


class ClusterDaemon:
    """Creates and connects the parts of a daemon, and runs them until it stops.

    It also takes part in leader elections and runs a `GroupLeader` for each
    group that it leads.

    Example:
        >>> daemon = ClusterDaemon(settings, store, worker_client,
        ...                        permit_service, clock, random_source, log,
        ...                        loop_delay)
        >>> await daemon.run()
    """

    def __init__(self,
                 settings: platform.DaemonSettings,
                 store: ports.KeyedStore,
                 worker_client: ports.LeasedWorkerClient,
                 permit_service: ports.PermitService,
                 clock: ports.Clock,
                 random_source: ports.RandomSource,
                 log: _decision_log.DecisionLog,
                 loop_delay: ports.MeasuredLoopDelay,
                 metrics_address: str = ""):
        self._settings = settings
        self._store = store
        self._worker_client = worker_client
        self._permit_service = permit_service
        self._clock = clock
        self._log = log
        self._loop_delay = loop_delay
        self._metrics_address = metrics_address
        self._metrics = _metrics.ClusterMetrics()
        self._interference = dispatch.InterferenceModel()
        self._incarnation = f"{settings.node}#{random_source.generate_id()}"
        self._leaders: dict[str, _group_leader.GroupLeader] = {}
        self._acquisitions: dict[str, asyncio.Task] = {}
        self._leadership_lost_at: dict[str, float] = {}
        self._joined_at: float | None = None
        self._background_tasks: set[asyncio.Task] = set()
        self._stop_requested = asyncio.Event()
        self._topic_reader = _job_topic.JobTopicReader(store, clock, log,
                                                       self._metrics,
                                                       self._apply_changed_jobs)
        self._topic_writer = _job_topic.JobTopicWriter(
            store, ports.Producer(f"n/{self._incarnation}", 1), clock, log,
            self._metrics)
        self._member_announcer = _membership.MemberAnnouncer(
            settings, self._incarnation, self._topic_writer, clock, log)
        self._reported_losses = dispatch.ReportedLosses()
        self._peering = _peering.Peering(self._incarnation, settings.domain,
                                         clock, random_source)
        self._load_log = _daemon_load.DaemonLoadLog(self._peering,
                                                    self._topic_reader,
                                                    loop_delay, clock, log,
                                                    self._metrics)
        self._membership = _membership.Membership(settings.node,
                                                  settings.domains,
                                                  self._topic_reader,
                                                  self._peering)
        self._report_sender = _report_sender.ReportSender(
            self._peering, _report_pacer.ReportPacer(settings.link_mbit_s,
                                                     clock), log, self._metrics)
        self._job_service = _job_service.SteppedJobService(
            settings.domain, self._incarnation, self._topic_reader,
            self._topic_writer, self._peering, clock, log, self._send_to_leader)
        self._job_remover = _job_removal.EndedJobRemover(
            settings.status_retention, self._topic_reader, self._topic_writer,
            self._job_service.is_coordinator, clock, log)
        self._operator_state = _platform_topics.OperatorState(
            log, self._metrics, self._apply_operator_state)
        self._registry_freshness = _platform_topics.RegistryFreshness(
            settings.worker_report_interval)
        self._worker_registry = _platform_topics.WorkerRegistry(
            log, self._metrics, self._apply_worker_entry,
            self._handle_worker_removal)
        self._peering.handlers[
            _peer_messages.NOTICE_JOB] = self._serve_job_notice
        self._peering.handlers[
            _peer_messages.NOTICE_CANCEL] = self._serve_cancel_notice
        self._peering.handlers[
            _peer_messages.NOTICE_REPORT] = self._serve_leader_report
        self._read_notices = _read_notices.ReadNotices(self._topic_reader,
                                                       self._peering,
                                                       self._send_notice,
                                                       self._spawn)
        self._caller_server = platform.CallerServer(
            self._job_service, clock, self._observe_request,
            self._load_log.render_metrics)

    async def run(self) -> None:
        """Runs the daemon until SIGTERM or SIGINT, then shuts it down."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload_request)
        settings = self._settings
        peer_address = await self._peering.start(settings.peer_host,
                                                 settings.peer_ports)
        self._log.write("daemon-started",
                        incarnation=self._incarnation,
                        domain=settings.domain,
                        peer_address=peer_address,
                        processor_cores=settings.processor_cores,
                        link_mbit_s=settings.link_mbit_s)
        self._topic_reader.start()
        self._topic_writer.start()
        self._spawn(self._follow_topic(platform.OPERATOR_TOPIC))
        self._spawn(self._follow_topic(platform.REGISTRY_TOPIC))
        self._spawn(self._member_announcer.run(peer_address))
        self._spawn(self._run_elections())
        self._spawn(self._job_remover.run())
        self._spawn(self._load_log.run())
        self._spawn(self._loop_delay.run())
        self._spawn(
            _unled_groups.UnledGroupLog(settings.domains, self._topic_reader,
                                        self._clock, self._log,
                                        self._metrics).run())
        await self._caller_server.start(settings.caller_address,
                                        settings.ready_address,
                                        self._metrics_address)
        await self._stop_requested.wait()
        await self._stop()

    def _log_reload_request(self) -> None:
        self._log.write("settings-reload",
                        note="settings are read at start only")

    async def _stop(self) -> None:
        """Resigns all leaderships, finishes requests and stops all parts.

        Resignations and requests in progress share `SHUTDOWN_TIMEOUT`. After
        this time the parts are stopped even if a resignation or a request is
        unfinished.
        """
        self._log.write("daemon-stopping", leads=sorted(self._leaders))
        self._job_service.is_draining = True
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT.total_seconds()):
                await asyncio.gather(self._resign_leaderships(),
                                     self._job_service.wait_for_submissions())
                await self._caller_server.close()
        except TimeoutError:
            self._log.write("stop-limit-reached")
        for task in list(self._background_tasks):
            task.cancel()
        self._report_sender.close()
        await self._topic_reader.stop()
        await self._topic_writer.stop()
        await self._peering.close()
        self._log.write("daemon-stopped")

    async def _resign_leaderships(self) -> None:
        """Resigns, also the leaderships to which pending claims lead."""
        while self._leaders or self._acquisitions:
            leaders = list(self._leaders.values())
            self._leaders.clear()
            await asyncio.gather(*map(self._resign_leadership, leaders))
            if self._acquisitions:
                await asyncio.wait(list(self._acquisitions.values()))

    async def _resign_leadership(self,
                                 leader: _group_leader.GroupLeader) -> None:
        await leader.resign()
        await asyncio.gather(
            leader.stop(),
            self._read_notices.announce_resignation(leader.group))

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._handle_background_task_end)
        return task

    def _handle_background_task_end(self, task: asyncio.Task) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.write("internal-error",
                            error=_decision_log.format_error(task.exception()))

    # Reading of the operators' topic and the worker registry, and handling of
    # changes that were read from the topics.

    async def _follow_topic(self, topic: str) -> None:
        is_operator_topic = topic == platform.OPERATOR_TOPIC
        topic_state = (self._operator_state
                       if is_operator_topic else self._worker_registry)
        platform_reader = _platform_topics.PlatformTopicReader(
            topic, _platform_topics.OPERATOR_LONG_POLL_WAIT
            if is_operator_topic else datetime.timedelta(0),
            datetime.timedelta(0) if is_operator_topic else
            _platform_topics.REGISTRY_INTERVAL, self._store, self._clock,
            self._log, self._metrics, topic_state.apply_record,
            topic_state.apply_loaded_keys, (lambda sent_at: None)
            if is_operator_topic else self._registry_freshness.mark_read)
        await platform_reader.run()

    def _apply_operator_state(self) -> None:
        configuration = self._operator_state.configuration
        self._job_service.configuration = configuration
        for leader in self._leaders.values():
            leader.set_evacuated(
                leader.group in self._operator_state.evacuated_domains)
            if configuration is not None:
                leader.scheduler.set_queues(configuration.queues)
                leader.scheduler.set_capacity_enforcing_services(
                    configuration.capacity_enforcing_services)

    def _apply_worker_entry(self, worker_entry: ports.WorkerEntry) -> None:
        leader = self._leaders.get(worker_entry.domain)
        if leader is not None:
            leader.put_worker(worker_entry)

    def _handle_worker_removal(self, worker_id: str) -> None:
        for leader in self._leaders.values():
            leader.mark_worker_removed(worker_id)

    def _apply_changed_jobs(self, changed_job_ids: set[str]) -> None:
        job_table = self._topic_reader.job_table
        # A superseded leader must not start jobs that were assigned to the
        # group later: the new leader takes itself for the only one that may.
        for leader in list(self._leaders.values()):
            if job_table.is_superseded(leader.group, leader.epoch):
                self._stop_leading(leader.group, "the group has a later leader")
        for job_id in changed_job_ids:
            job_entry = job_table.jobs.get(job_id)
            if job_entry is None:
                self._job_service.forget_job(job_id)
                continue
            for leader in self._leaders.values():
                leader.put_job(job_entry)

    # Leader elections, start and end of leaderships.

    async def _run_elections(self) -> None:
        while True:
            await self._clock.sleep(ELECTION_INTERVAL)
            self._membership.update_peers()
            if (not self._topic_reader.is_loaded or
                    self._job_service.is_draining):
                continue
            self._limit_takeover_waits()
            election_view = self._build_election_view()
            if election_view is None:
                continue
            self._hand_back_groups(election_view)
            for group in self._settings.domains:
                if group in self._leaders or group in self._acquisitions:
                    continue
                takeover_reason = dispatch.find_reason_to_lead(
                    group, self._topic_reader.job_table.leaders.get(group),
                    election_view)
                if takeover_reason:
                    self._acquisitions[group] = self._spawn(
                        self._acquire_leadership(group, takeover_reason))

    def _hand_back_groups(self, election_view: dispatch.ElectionView) -> None:
        """Resigns leaderships of which another daemon should be the leader."""
        for group, leader in list(self._leaders.items()):
            leader_entry = self._topic_reader.job_table.leaders.get(group)
            if (leader_entry is None or
                    leader_entry.record.epoch != leader.epoch):
                continue
            reason = dispatch.find_reason_to_hand_back(group, leader_entry,
                                                       election_view)
            if not reason:
                continue
            del self._leaders[group]
            self._metrics.leadership_changes.inc({"change": "handed-back"})
            self._log.write("lead-handed-back",
                            group=group,
                            epoch=leader.epoch,
                            reason=reason)
            # Counts as an acquisition, so that this daemon does not claim the
            # group before its own resignation is stored.
            self._acquisitions[group] = self._spawn(self._hand_back(leader))

    async def _hand_back(self, leader: _group_leader.GroupLeader) -> None:
        try:
            await self._resign_leadership(leader)
        finally:
            self._acquisitions.pop(leader.group, None)

    def _limit_takeover_waits(self) -> None:
        """Ends waits for runs of former leaders that can have none any more."""
        job_table = self._topic_reader.job_table
        for group, leader in self._leaders.items():
            leader_entry = job_table.leaders.get(group)
            if (leader_entry is None or leader_entry.former is None or
                    leader_entry.record.epoch != leader.epoch):
                continue
            process_ended_at = dispatch.find_process_end(
                leader_entry.former, job_table.members)
            leader.scheduler.limit_takeover_wait(
                _takeover_wait.compute_takeover_end(self._get_lease_length(),
                                                    leader_entry.former,
                                                    process_ended_at))

    def _get_lease_length(self) -> datetime.timedelta:
        return min(self._settings.max_lease, _group_leader.MAX_LEASE)

    async def _is_takeover_still_due(self, group: str) -> bool:
        """Reads the topic once more, and repeats the decision on a takeover."""
        self._topic_reader.request_read()
        await self._clock.sleep(CLAIM_CHECK_DELAY)
        if self._job_service.is_draining:
            return False
        # A daemon that has just joined finds its peers in this read.
        self._membership.update_peers()
        election_view = self._build_election_view()
        return election_view is not None and bool(
            dispatch.find_reason_to_lead(
                group, self._topic_reader.job_table.leaders.get(group),
                election_view))

    def _build_election_view(self) -> dispatch.ElectionView | None:
        members = self._topic_reader.job_table.members
        now = self._clock.monotonic()
        own_member = members.get(self._settings.node)
        if (own_member is None or
                own_member.record.incarnation != self._incarnation):
            return None
        if self._joined_at is None:
            self._joined_at = now
        reachability = self._peering.find_reachability()
        return dispatch.ElectionView(
            self._settings.node, self._incarnation, members,
            reachability.reachable_names, self._topic_reader.readable_since,
            self._joined_at, now,
            frozenset(group for group, workers in
                      self._topic_reader.job_table.recorded_workers.items()
                      if any(
                          worker.worker_id not in self._worker_registry.entries
                          for worker in workers)),
            self._membership.find_unknown_members(reachability))

    async def _acquire_leadership(self, group: str,
                                  takeover_reason: str) -> None:
        """Claims the leadership of a group and starts to lead if it succeeds.

        Does nothing if a read of the topic shows that another daemon has
        claimed the group.

        The claim succeeds only if it is stored and read back, and the job table
        then holds it as the group's leader record. Otherwise another daemon may
        have claimed the group.
        """
        try:
            if not await self._is_takeover_still_due(group):
                return
            current_leader = self._topic_reader.job_table.leaders.get(group)
            epoch = dispatch.choose_epoch(
                current_leader.record.epoch if current_leader else 0,
                self._settings.node)
            leader_record = dispatch.LeaderRecord(group, epoch,
                                                  self._settings.node,
                                                  self._incarnation, 0)
            leadership_offset = await self._store.append(
                dispatch.JOB_TOPIC, [dispatch.encode_record(leader_record)],
                ports.Producer(f"g/{group}", epoch), 1,
                ACQUIRE_LEADERSHIP_TIMEOUT)
            if not await self._topic_reader.wait_until_applied(
                    leadership_offset, ACQUIRE_LEADERSHIP_TIMEOUT):
                self._log.write("lead-not-read-back", group=group, epoch=epoch)
                return
            read_back_record = self._topic_reader.job_table.leaders[
                group].record
            if (read_back_record.epoch,
                    read_back_record.incarnation) == (epoch, self._incarnation):
                self._start_leading(group, epoch, leadership_offset,
                                    takeover_reason)
            else:
                self._log.write(
                    "lead-not-taken",
                    group=group,
                    reason=takeover_reason,
                    epoch=epoch,
                    error=f"{read_back_record.incarnation or 'another daemon'} "
                    f"claimed the group with epoch {read_back_record.epoch}")
        except ports.StoreError as error:
            self._log.write("lead-not-taken",
                            group=group,
                            reason=takeover_reason,
                            error=str(error))
        finally:
            self._acquisitions.pop(group, None)

    def _start_leading(self, group: str, epoch: int, leadership_offset: int,
                       takeover_reason: str) -> None:
        self._metrics.leadership_changes.inc({"change": "taken"})
        self._log.write("lead-taken",
                        group=group,
                        epoch=epoch,
                        offset=leadership_offset,
                        reason=takeover_reason)
        lease_length = self._get_lease_length()
        takeover_wait = (_takeover_wait.START_PERMISSION_PERIOD +
                         lease_length * _takeover_wait.CLOCK_DRIFT_FACTOR +
                         _takeover_wait.TAKEOVER_MARGIN)
        timings = dispatch.GroupTimings(lease_length, self._settings.max_lease,
                                        takeover_wait,
                                        self._settings.stop_limit)
        leader_topic_writer = _job_topic.JobTopicWriter(self._store,
                                                        ports.Producer(
                                                            f"g/{group}",
                                                            epoch),
                                                        self._clock,
                                                        self._log,
                                                        self._metrics,
                                                        first_sequence=2)
        leader = _group_leader.GroupLeader(
            group, epoch, leadership_offset, timings,
            (self._settings.node, self._incarnation), self._worker_client,
            self._permit_service, leader_topic_writer, self._clock, self._log,
            self._metrics, self._publish_leader_report, self._stop_leading,
            lambda: self._job_service.load_reports, self._interference,
            self._loop_delay, self._registry_freshness.is_current)
        leader.scheduler.find_job_entry = self._topic_reader.job_table.jobs.get
        leader.scheduler.crashes.reported_losses = self._reported_losses
        untracked_ends = leader.scheduler.untracked_ends
        untracked_ends.on_ends_stored = functools.partial(
            self._read_notices.announce_ends, group)
        untracked_ends.get_view_time = lambda: self._topic_reader.fresh_as_of
        leader.audit_log.topic_reader = self._topic_reader
        self._leaders[group] = leader
        for job_entry in self._topic_reader.job_table.jobs.values():
            leader.put_job(job_entry)
        for recorded_entry in self._topic_reader.job_table.recorded_workers.get(
                group, ()):
            leader.put_recorded_worker(recorded_entry)
        for listed_entry in self._worker_registry.entries.values():
            if listed_entry.domain == group:
                leader.put_worker(listed_entry)
        handover = self._topic_reader.job_table.find_handover(group)
        if handover is not None:
            leader.apply_handover(handover)
        self._apply_operator_state()
        self._limit_takeover_waits()
        leader.start()

    def _stop_leading(self, group: str, loss_reason: str) -> None:
        leader = self._leaders.pop(group, None)
        if leader is None:
            return
        self._metrics.leadership_changes.inc({"change": "lost"})
        self._log.write("lead-lost",
                        group=group,
                        epoch=leader.epoch,
                        reason=loss_reason)
        self._spawn(leader.stop())

    # Sending and serving of notices between daemons: new and cancelled jobs for
    # the leader of a group, and reports of leaders to all daemons.

    def _publish_leader_report(self,
                               report: _peer_messages.LeaderReport) -> None:
        self._apply_leader_report(report)
        self._report_sender.publish(report)

    def _apply_leader_report(self, report: _peer_messages.LeaderReport) -> None:
        self._job_service.apply_leader_report(report)
        self._reported_losses.add(report.group, report.losses,
                                  self._clock.monotonic())

    async def _send_notice(self, peer_name: str, subject: str,
                           notice: object) -> None:
        try:
            await self._peering.call(peer_name, subject, notice, bool)
        except errors.RequestError as error:
            self._log.write("notice-failed",
                            peer=peer_name,
                            subject=subject,
                            error=str(error))

    def _send_to_leader(self, group: str, subject: str, notice: object) -> None:
        leader_entry = self._topic_reader.job_table.leaders.get(group)
        if leader_entry is None:
            return
        if group in self._leaders:
            if subject == _peer_messages.NOTICE_JOB:
                self._apply_job_notice(notice)
            else:
                self._leaders[group].cancel_job(notice.job_id)
        elif leader_entry.record.node in self._peering.list_reachable_daemons():
            self._spawn(
                self._send_notice(leader_entry.record.node, subject, notice))

    def _apply_job_notice(self, notice: _peer_messages.JobNotice) -> None:
        leader = self._leaders.get(notice.group)
        # Ignores a notice for a leader of another epoch. If a former leader
        # starts runs of the job, its successor's scheduler expects these runs
        # only if the job's offset is below the offset of the successor's leader
        # record.
        if leader is None or leader.epoch != notice.epoch:
            return
        job_entry = self._topic_reader.job_table.jobs.get(notice.job.job_id)
        leader.put_job(job_entry or
                       dispatch.build_job_entry(notice.job, notice.offset))

    async def _serve_job_notice(self, payload: bytes) -> object:
        self._apply_job_notice(
            dispatch.decode_value(payload, _peer_messages.JobNotice))
        return True

    async def _serve_cancel_notice(self, payload: bytes) -> object:
        notice = dispatch.decode_value(payload, _peer_messages.CancelNotice)
        leader = self._leaders.get(notice.group)
        if leader is not None:
            leader.cancel_job(notice.job_id)
        return True

    async def _serve_leader_report(self, payload: bytes) -> object:
        report = dispatch.decode_value(payload, _peer_messages.LeaderReport)
        self._apply_leader_report(report)
        ignored_count = self._interference.merge(report.interference_pairs)
        if ignored_count:
            self._log.write("estimates-ignored",
                            group=report.group,
                            count=ignored_count)
        return True

    # Recording of metrics of callers' requests.

    def _observe_request(self, operation: str, http_status: int,
                         duration_s: float) -> None:
        self._metrics.caller_requests.inc({
            "operation": operation,
            "status": str(http_status)
        })
        self._metrics.request_seconds.observe({"operation": operation},
                                              duration_s)
