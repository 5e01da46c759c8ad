"""Accepts and cancels jobs for callers, and looks up their states."""

import asyncio
import datetime
from typing import Iterable

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_acceptances
from gentianlead.cluster import _job_cancellations
from gentianlead.cluster import _peering
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _job_topic

REPLY_MARGIN = datetime.timedelta(milliseconds=150)
"""Unused; the server for callers already subtracts its own reply margin from
the deadline passed to `submit`."""

RELAYED_REFUSAL_TIMEOUT = datetime.timedelta(milliseconds=150)
"""Used instead of `_job_acceptances.REFUSAL_TIMEOUT` for a submission that a
peer has relayed to this daemon. It allows only two attempts, because the caller
has already waited at the peer. The two timeouts add up to 550 ms, so a caller
is refused within a fifth of its time limit of three seconds."""

RELAY_TIMEOUT = datetime.timedelta(seconds=1)
"""Longest wait for the reply of one peer, which may be frozen. An append to a
store that is slow by a factor of 60 takes about this long. The caller's limit
of three seconds then still leaves time for two more attempts."""

MAX_RELAY_PEERS = 2
"""Largest number of peers to which a request is sent in turn while this daemon
cannot store or read the job itself."""


class SteppedJobService(ports.JobService):
    """Handles submissions, cancellations and state requests at one daemon.

    Jobs are stored in the job topic. While this daemon cannot reach the store,
    it relays requests to peers. It relays submissions of long-running jobs to
    the coordinator also while it can reach the store.

    Attributes:
        configuration: Configuration in force, or None before one is read.
        load_reports: Newest load report of each group's leader, by group. Jobs
            that this daemon has admitted since a report arrived are added to
            that report.
        is_draining: Whether the daemon is being stopped; `is_ready` then
            returns False.
    """

    def __init__(self, domain: str, incarnation: str,
                 topic_reader: _job_topic.JobTopicReader,
                 topic_writer: _job_topic.JobTopicWriter,
                 peering: _peering.Peering, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 send_to_leader: _job_acceptances.SendToLeader):
        self.configuration: model.FleetConfiguration | None = None
        self.load_reports: dict[str, dispatch.GroupReport] = {}
        self.is_draining = False
        self._domain = domain
        self._incarnation = incarnation
        self._topic_reader = topic_reader
        self._topic_writer = topic_writer
        self._peering = peering
        self._clock = clock
        self._log = log
        self._send_to_leader = send_to_leader
        self._submissions: dict[str, asyncio.Task] = {}
        self._cancellations = _job_cancellations.JobCancellations(
            incarnation, topic_reader, topic_writer)
        self._acceptances = _job_acceptances.JobAcceptances(
            incarnation, topic_reader, topic_writer, clock, log, send_to_leader)
        # Job states, by job identifier, that were received in leaders' reports
        # or that cancellations at this daemon set. They are stored, but this
        # daemon may not have read them from the topic yet.
        self._unread_job_states: dict[str, model.JobState] = {}
        peering.handlers[_peer_messages.CALL_SUBMIT] = self._serve_submission
        peering.handlers[_peer_messages.CALL_CANCEL] = self._serve_cancellation
        peering.handlers[_peer_messages.CALL_STATE] = self._serve_state_query

    # Methods of ports.JobService, with their helpers.

    def get_configuration(self) -> model.FleetConfiguration | None:
        return self.configuration

    def get_unix_time_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def is_ready(self) -> bool:
        return (not self.is_draining and self.configuration is not None and
                self._topic_reader.is_loaded and self._is_store_available())

    def _is_store_available(self) -> bool:
        return (self._topic_writer.last_call_succeeded and
                self._topic_reader.is_fresh())

    async def submit(self, job: model.SteppedJob,
                     deadline: datetime.timedelta) -> ports.SubmitReply:
        reply = await self._submit(job, deadline, may_relay=True)
        self._log.write("job-answered",
                        job=job.job_id,
                        outcome=reply.outcome.value,
                        reason=reply.reason,
                        retry_after_s=reply.retry_after.total_seconds())
        return reply

    async def _submit(self, job: model.SteppedJob, timeout: datetime.timedelta,
                      may_relay: bool) -> ports.SubmitReply:
        if (job.job_id in self._topic_reader.job_table.jobs or
                self._acceptances.find_unread(job.job_id)):
            return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED)
        submission = self._submissions.get(job.job_id)
        if submission is None:
            submission = asyncio.get_running_loop().create_task(
                self._process_submission(job, timeout, may_relay))
            self._submissions[job.job_id] = submission
            submission.add_done_callback(
                lambda _: self._submissions.pop(job.job_id, None))
        # The submission is processed to its end even if the caller disconnects
        # and this coroutine is cancelled.
        return await asyncio.shield(submission)

    async def _process_submission(self, job: model.SteppedJob,
                                  timeout: datetime.timedelta,
                                  may_relay: bool) -> ports.SubmitReply:
        expires_at = self._clock.monotonic() + timeout.total_seconds()
        unknown_reply = None
        if (may_relay and job.is_long_running and self._is_store_available() and
                not self._acceptances.is_pending(job.job_id)):
            relayed_reply = await self._relay_submission(
                job, expires_at, [
                    peer_name for peer_name in (self._find_coordinator(),)
                    if peer_name and not self.is_coordinator()
                ])
            if relayed_reply is not None and (
                    relayed_reply.outcome is not ports.SubmitOutcome.UNKNOWN):
                return relayed_reply
            unknown_reply = relayed_reply
        reply = None
        if self._is_store_available() or not may_relay:
            refusal_timeout = (_job_acceptances.REFUSAL_TIMEOUT
                               if may_relay else RELAYED_REFUSAL_TIMEOUT)
            reply = await self._accept_locally(job, expires_at, refusal_timeout)
        if reply is None and may_relay:
            reply = await self._relay_submission(job, expires_at,
                                                 self._choose_relay_peers())
        if reply is None or reply.outcome is ports.SubmitOutcome.REFUSED:
            # The writer may still have an acceptance that was begun before the
            # store became unavailable.
            pending_reply = await self._acceptances.wait_for_outcome(
                job.job_id, self._compute_time_left(expires_at))
            reply = pending_reply or reply
        if reply is None:
            reply = _job_acceptances.build_refusal(
                "the store does not reply", _job_acceptances.STORE_RETRY_DELAY)
        # A job may be accepted twice without harm, but must not be refused if
        # the coordinator may have accepted it; the outcome is then unknown.
        if unknown_reply and reply.outcome is ports.SubmitOutcome.REFUSED:
            return unknown_reply
        return reply

    def _compute_time_left(self, expires_at: float) -> datetime.timedelta:
        return datetime.timedelta(
            seconds=max(0.0, expires_at - self._clock.monotonic()))

    async def _relay_submission(
            self, job: model.SteppedJob, expires_at: float,
            peer_names: list[str]) -> ports.SubmitReply | None:
        time_left = self._compute_time_left(expires_at)
        relayed_reply = await self._relay_to_peers(
            _peer_messages.CALL_SUBMIT,
            _peer_messages.RelayedSubmission(job, _to_ms(time_left)), time_left,
            peer_names)
        return None if relayed_reply is None else _decode_reply(relayed_reply)

    async def _accept_locally(
            self, job: model.SteppedJob, expires_at: float,
            refusal_timeout: datetime.timedelta) -> (ports.SubmitReply | None):
        """Admits a job according to the load reports, and stores it.

        A job whose acceptance is pending is not admitted anew.

        Long-running jobs keep their workers for minutes. If daemons admitted
        them in parallel, each by load reports that lack the jobs of the others,
        such jobs would fill all workers. `_process_submission` therefore tries
        to relay them to the coordinator before it calls this method.

        Returns:
            The reply to the caller, or None if the job was admitted but is
            certainly not stored.
        """
        if not self._acceptances.is_pending(job.job_id):
            now = self._clock.monotonic()
            load_reports = (self._include_long_running_jobs()
                            if job.is_long_running else self.load_reports)
            admission = dispatch.decide_admission(job, load_reports,
                                                  self._domain, now)
            if not admission.assignment:
                return _job_acceptances.build_refusal(admission.reason,
                                                      admission.retry_after)
            job = job._replace(assignment=admission.assignment)
            report_age_ms = self._get_load_report_age_ms(job.assignment[0])
            self._add_job_to_load_reports(job)
            self._acceptances.begin(
                job, min(refusal_timeout, self._compute_time_left(expires_at)),
                report_age_ms)
        return await self._acceptances.wait_for_outcome(
            job.job_id, self._compute_time_left(expires_at))

    def _find_coordinator(self) -> str:
        """Returns the daemon that admits long-running jobs for all daemons.

        The groups are searched in the order of their names for a leader that is
        this daemon or a reachable peer.

        Returns:
            The name of the daemon; empty if no group has such a leader.
        """
        leaders = self._topic_reader.job_table.leaders
        reachable_names = self._peering.list_reachable_daemons()
        return next(
            (leaders[group].record.node
             for group in sorted(leaders)
             if leaders[group].record.incarnation == self._incarnation or
             leaders[group].record.node in reachable_names), "")

    def is_coordinator(self) -> bool:
        """Returns whether this daemon considers itself the coordinator.

        The coordinator admits long-running jobs for all daemons and removes the
        keys of ended jobs. Two daemons may both be coordinator for a moment,
        and both do these things then, which does no harm.
        """
        return self._find_coordinator() == self._incarnation.partition("#")[0]

    def _include_long_running_jobs(self) -> dict[str, dispatch.GroupReport]:
        """Returns load reports that include all known long-running jobs.

        The reserved CPU in a group's report is at least what the group's
        long-running jobs that have not ended need.
        """
        stored_jobs = self._topic_reader.job_table.jobs
        assigned_jobs = [
            (entry.job, entry.assignment)
            for entry in stored_jobs.values()
            if entry.job.is_long_running and not entry.state.is_final
        ]
        assigned_jobs.extend(
            (job, job.assignment)
            for job in self._acceptances.list_unread_long_running_jobs())
        return dispatch.include_unreported_jobs(
            self.load_reports, dispatch.sum_long_running_cpu(assigned_jobs))

    def _add_job_to_load_reports(self, job: model.SteppedJob) -> None:
        for group in set(job.assignment):
            report = self.load_reports.get(group)
            if report is not None:
                new_load = dispatch.add_job_to_load(report.load, job, group)
                self.load_reports[group] = report._replace(load=new_load)

    def _get_load_report_age_ms(self, group: str) -> int | None:
        report = self.load_reports.get(group)
        if report is None:
            return None
        return int((self._clock.monotonic() - report.reported_at) * 1000)

    async def cancel(self, job_id: str,
                     deadline: datetime.timedelta) -> ports.SubmitReply | None:
        reply = await self._cancel(job_id, deadline, may_relay=True)
        self._log.write("cancel-answered",
                        job=job_id,
                        outcome=reply.outcome.value if reply else "unknown-job",
                        reason=reply.reason if reply else "")
        return reply

    async def _cancel(
            self,
            job_id: str,
            timeout: datetime.timedelta,
            may_relay: bool,
            may_be_accepted: bool = False) -> ports.SubmitReply | None:
        """Stores the cancellation of a job, here or through a peer.

        Args:
            job_id: Identifier of the job.
            timeout: Time left for the reply.
            may_relay: Whether a peer may store the cancellation.
            may_be_accepted: Whether another daemon holds an acceptance of the
                job that may be stored later.

        Returns:
            The reply to the caller, or None if the job does not exist.
        """
        expires_at = self._clock.monotonic() + timeout.total_seconds()
        job_entry = self._topic_reader.job_table.jobs.get(job_id)
        if job_entry is None and self._is_store_available():
            await self._acceptances.wait_for_outcome(job_id, timeout / 2)
            if self._acceptances.find_unread(job_id) is None:
                # Half of the time, as a peer is asked afterwards.
                is_current = await self._wait_until_table_is_current(
                    self._compute_time_left(expires_at) / 2)
                job_entry = self._topic_reader.job_table.jobs.get(job_id)
                if (job_entry is None and is_current and
                        not self._acceptances.is_pending(job_id)):
                    return await self._cancel_early(job_id, expires_at,
                                                    may_be_accepted)
        unread_job = self._acceptances.find_unread(job_id)
        if not self._is_store_available() or not (job_entry or unread_job):
            reply = None
            if may_relay:
                time_left = self._compute_time_left(expires_at)
                reply = await self._relay_to_peers(
                    _peer_messages.CALL_CANCEL,
                    _peer_messages.RelayedCancellation(
                        job_id, _to_ms(time_left),
                        self._acceptances.is_pending(job_id)), time_left,
                    self._choose_relay_peers())
            if reply is not None:
                return _decode_reply(reply) if reply.outcome else None
            return _job_acceptances.build_refusal(
                "this daemon cannot read the job from the store now",
                _job_acceptances.STORE_RETRY_DELAY)
        if job_entry and (job_entry.is_cancelled or job_entry.state.is_final):
            return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED)
        reply = await self._cancellations.store(
            job_id, self._compute_time_left(expires_at))
        if reply.outcome is ports.SubmitOutcome.ACCEPTED:
            self._mark_cancelled(
                job_id,
                job_entry.groups if job_entry else unread_job.assignment)
        return reply

    async def _cancel_early(self, job_id: str, expires_at: float,
                            may_be_accepted: bool) -> ports.SubmitReply | None:
        """Cancels a job whose acceptance is not stored, but may be later.

        The reply promises that the job never runs. Any daemon may hold an
        acceptance of it whose caller got no reply, so the promise is stored
        even if no daemon is known to hold one.

        Returns:
            The reply to the caller; None if the cancellation is stored and no
            daemon is known to have accepted the job.
        """
        reply = await self._cancellations.store_early(
            job_id, self._compute_time_left(expires_at))
        if reply.outcome is not ports.SubmitOutcome.ACCEPTED:
            return reply
        # The acceptance may have been stored just before, so that a leader has
        # started tasks of the job.
        job_entry = self._topic_reader.job_table.jobs.get(job_id)
        if job_entry is not None:
            self._mark_cancelled(job_id, job_entry.groups)
        return reply if may_be_accepted or job_entry is not None else None

    def _mark_cancelled(self, job_id: str, groups: Iterable[str]) -> None:
        """Notifies the leaders of a job's groups of its stored cancellation."""
        self._unread_job_states.setdefault(job_id, model.JobState.CANCELLED)
        for group in set(groups):
            self._send_to_leader(group, _peer_messages.NOTICE_CANCEL,
                                 _peer_messages.CancelNotice(group, job_id))

    async def _wait_until_table_is_current(self,
                                           timeout: datetime.timedelta) -> bool:
        """Waits until the table includes all records stored before the call.

        Returns:
            Whether it does; False after the timeout.
        """
        requested_at = self._clock.monotonic()
        expires_at = requested_at + timeout.total_seconds()
        while True:
            fresh_as_of = self._topic_reader.fresh_as_of
            if fresh_as_of is not None and fresh_as_of >= requested_at:
                return True
            if self._clock.monotonic() >= expires_at:
                return False
            await self._topic_reader.wait_until_applied(
                self._topic_reader.job_table.position,
                min(_job_topic.MIN_READ_INTERVAL,
                    self._compute_time_left(expires_at)))

    async def find_state(self, job_id: str,
                         deadline: datetime.timedelta) -> ports.JobLookup:
        lookup = self._find_local_state(job_id)
        if lookup.state is not None or lookup.is_certain:
            return lookup
        for peer_name in self._choose_relay_peers():
            try:
                reply = await self._peering.call(
                    peer_name, _peer_messages.CALL_STATE,
                    _peer_messages.StateQuery(job_id),
                    _peer_messages.StateReply,
                    min(deadline, _peering.CALL_TIMEOUT))
            except errors.RequestError as error:
                self._log.write("relay-failed",
                                job=job_id,
                                peer=peer_name,
                                error=str(error))
                continue
            if reply.state:
                return ports.JobLookup(model.JobState(reply.state), True)
            if reply.is_certain:
                return ports.JobLookup(None, True)
        return lookup

    def _find_local_state(self, job_id: str) -> ports.JobLookup:
        unread_state = self._unread_job_states.get(job_id)
        job_entry = self._topic_reader.job_table.jobs.get(job_id)
        if job_entry is None:
            if unread_state is None and self._acceptances.find_unread(job_id):
                is_cancelled = (
                    job_id in self._topic_reader.job_table.early_cancellations)
                unread_state = (model.JobState.CANCELLED
                                if is_cancelled else model.JobState.QUEUED)
            is_certain = (self._topic_reader.is_loaded and
                          self._topic_reader.is_fresh())
            return ports.JobLookup(unread_state, is_certain or
                                   unread_state is not None)
        if unread_state is not None and not job_entry.state.is_final:
            return ports.JobLookup(unread_state, True)
        self._unread_job_states.pop(job_id, None)
        return ports.JobLookup(job_entry.state, True)

    def count_pending(self, queue: model.Queue) -> int | None:
        if not self._topic_reader.is_loaded:
            return None
        return sum(
            1 for entry in self._topic_reader.job_table.jobs.values()
            if entry.job.queue.path_prefix == queue.path_prefix and
            entry.job.queue.host == queue.host and self._find_local_state(
                entry.job.job_id).state is model.JobState.QUEUED)

    def forget_job(self, job_id: str) -> None:
        """Drops the state kept for a job that was removed from the job topic.
        """
        self._unread_job_states.pop(job_id, None)
        self._acceptances.forget_job(job_id)

    # Reports of leaders, requests relayed to peers, and requests that peers
    # relayed to this daemon.

    def apply_leader_report(self, report: _peer_messages.LeaderReport) -> None:
        """Keeps the load and the job states of a leader's report in memory.

        The report of a former leader is ignored. A final state that is already
        in memory is not replaced.
        """
        leader = self._topic_reader.job_table.leaders.get(report.group)
        if leader is not None and report.epoch < leader.record.epoch:
            return
        self.load_reports[report.group] = dispatch.GroupReport(
            report.load, self._clock.monotonic())
        for state_notice in report.states:
            unread_state = self._unread_job_states.get(state_notice.job_id)
            if unread_state is None or not unread_state.is_final:
                self._unread_job_states[
                    state_notice.job_id] = state_notice.state

    async def _relay_to_peers(
            self, subject: str, request: object, timeout: datetime.timedelta,
            peer_names: list[str]) -> _peer_messages.RelayedReply | None:
        """Relays a request to peers in turn until one replies.

        If the reply of a peer was lost, that peer may have carried out the
        request. The replies of the following peers then count only if they
        accept the request; otherwise the outcome is reported as unknown.

        Returns:
            The reply, or None if no peer replied and none can have carried out
            the request.
        """
        lost_reply_error = ""
        for peer_name in peer_names:
            try:
                reply = await self._peering.call(peer_name, subject, request,
                                                 _peer_messages.RelayedReply,
                                                 min(timeout, RELAY_TIMEOUT))
            except errors.RequestError as error:
                self._log.write("relay-failed",
                                subject=subject,
                                job=request.job_id,
                                peer=peer_name,
                                error=str(error),
                                verdict=error.verdict.value)
                if error.verdict is not errors.Verdict.DID_NOT_RUN:
                    lost_reply_error = str(error)
                continue
            if not lost_reply_error or reply.outcome == (
                    ports.SubmitOutcome.ACCEPTED.value):
                return reply
        if not lost_reply_error:
            return None
        return _peer_messages.RelayedReply(ports.SubmitOutcome.UNKNOWN.value,
                                           lost_reply_error, 0)

    def _choose_relay_peers(self) -> list[str]:
        leader_names = [
            entry.record.node
            for entry in self._topic_reader.job_table.leaders.values()
        ]
        reachable_names = self._peering.list_reachable_daemons()
        ordered_names = dict.fromkeys([
            *(name for name in leader_names if name in reachable_names),
            *sorted(reachable_names)
        ])
        return list(ordered_names)[:MAX_RELAY_PEERS]

    async def _serve_submission(self, payload: bytes) -> object:
        request = dispatch.decode_value(payload,
                                        _peer_messages.RelayedSubmission)
        if not self._is_store_available():
            raise errors.RequestError(
                errors.ErrorCode.LOG_UNAVAILABLE,
                "the store does not reply to this daemon either")
        reply = await self._submit(
            request.job, datetime.timedelta(milliseconds=request.timeout_ms),
            False)
        return _encode_reply(reply)

    async def _serve_cancellation(self, payload: bytes) -> object:
        request = dispatch.decode_value(payload,
                                        _peer_messages.RelayedCancellation)
        if not self._is_store_available():
            raise errors.RequestError(
                errors.ErrorCode.LOG_UNAVAILABLE,
                "the store does not reply to this daemon either")
        reply = await self._cancel(
            request.job_id, datetime.timedelta(milliseconds=request.timeout_ms),
            False, request.may_be_accepted)
        if reply is None:
            return _peer_messages.RelayedReply("", "the job does not exist", 0)
        return _encode_reply(reply)

    async def _serve_state_query(self, payload: bytes) -> object:
        query = dispatch.decode_value(payload, _peer_messages.StateQuery)
        lookup = self._find_local_state(query.job_id)
        return _peer_messages.StateReply(
            lookup.state.value if lookup.state is not None else "",
            lookup.is_certain)

    async def wait_for_submissions(self) -> None:
        """Waits until all submissions in progress at the call have ended."""
        submissions = list(self._submissions.values())
        if submissions:
            await asyncio.wait(submissions)


def _to_ms(duration: datetime.timedelta) -> int:
    return int(duration.total_seconds() * 1000)


def _encode_reply(reply: ports.SubmitReply) -> _peer_messages.RelayedReply:
    return _peer_messages.RelayedReply(reply.outcome.value, reply.reason,
                                       _to_ms(reply.retry_after))


def _decode_reply(reply: _peer_messages.RelayedReply) -> ports.SubmitReply:
    return ports.SubmitReply(
        ports.SubmitOutcome(reply.outcome), reply.reason,
        datetime.timedelta(milliseconds=reply.retry_after_ms))
