"""Accepts, cancels and reports jobs on behalf of callers."""

import asyncio
import datetime
from typing import Callable

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _peering
from gentianlead.cluster import _reports
from gentianlead.cluster import _topic

RETRY_STORE = datetime.timedelta(seconds=1)
"""Delay that a caller is told while the store gives no reply."""

REPLY_MARGIN = datetime.timedelta(milliseconds=150)
"""Part of a caller's time that is left for the way of the reply."""

REFUSE_PATIENCE = datetime.timedelta(milliseconds=400)
"""Time for which a daemon tries again while the store refuses: a few tries."""

RELAYED_REFUSE_PATIENCE = datetime.timedelta(milliseconds=150)
"""The same for what a peer relays, whose caller has waited already: two tries.
With both, a caller is refused within a fifth of the time that callers wait."""

READ_BACK_PATIENCE = datetime.timedelta(seconds=2)
"""Longest wait for an own record to be read back. Without it the leader finds
the job by its own reading."""

RELAY_PATIENCE = datetime.timedelta(seconds=1)
"""Longest wait for one peer, which may be frozen: an append to a store that is
slow by a factor of 60 takes about as long, and a caller's three seconds allow
for two more tries."""

RELAYS = 2
"""Peers that are asked to store what this daemon cannot."""

Notify = Callable[[str, str, object], None]


class SteppedJobDesk(ports.JobService):
    """The desk of one daemon.

    Attributes:
        configuration: Configuration in force, or None before the first.
        reports: Newest report of each group's leader.
        is_draining: Whether the daemon is being stopped.
    """

    def __init__(self, domain: str, incarnation: str,
                 reader: _topic.TopicReader, writer: _topic.TopicWriter,
                 peering: _peering.Peering, clock: ports.Clock,
                 log: _decision_log.DecisionLog, notify: Notify):
        self.configuration: model.FleetConfiguration | None = None
        self.reports: dict[str, dispatch.GroupReport] = {}
        self.is_draining = False
        self._domain = domain
        self._incarnation = incarnation
        self._reader = reader
        self._writer = writer
        self._peering = peering
        self._clock = clock
        self._log = log
        self._notify = notify
        self._submitting: dict[str, asyncio.Task] = {}
        # Lasting jobs that were accepted here and not read back yet.
        self._accepting: dict[str, model.SteppedJob] = {}
        # States that are stored but not read back yet.
        self._newer_states: dict[str, model.JobState] = {}
        self._background: set[asyncio.Task] = set()
        peering.handlers[_reports.CALL_SUBMIT] = self._serve_submission
        peering.handlers[_reports.CALL_CANCEL] = self._serve_cancellation
        peering.handlers[_reports.CALL_STATE] = self._serve_state

    # ports.JobService

    def get_configuration(self) -> model.FleetConfiguration | None:
        return self.configuration

    def get_unix_time_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def is_ready(self) -> bool:
        return (not self.is_draining and self.configuration is not None and
                self._reader.is_loaded and self._has_store())

    def _has_store(self) -> bool:
        return self._writer.is_healthy and self._reader.is_fresh()

    async def submit(self, job: model.SteppedJob,
                     deadline: datetime.timedelta) -> ports.SubmitReply:
        reply = await self._submit(job, deadline, may_relay=True)
        self._log.write("job-answered",
                        job=job.job_id,
                        outcome=reply.outcome.value,
                        reason=reply.reason,
                        retry_after_s=reply.retry_after.total_seconds())
        return reply

    async def _submit(self, job: model.SteppedJob, deadline: datetime.timedelta,
                      may_relay: bool) -> ports.SubmitReply:
        if job.job_id in self._reader.table.jobs:
            return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED)
        running = self._submitting.get(job.job_id)
        if running is None:
            running = asyncio.get_running_loop().create_task(
                self._store_job(job, deadline, may_relay))
            self._submitting[job.job_id] = running
            running.add_done_callback(
                lambda _: self._submitting.pop(job.job_id, None))
        # A caller that leaves does not end the submission.
        return await asyncio.shield(running)

    async def _store_job(self, job: model.SteppedJob,
                         deadline: datetime.timedelta,
                         may_relay: bool) -> ports.SubmitReply:
        until = self._clock.monotonic() + deadline.total_seconds()
        uncertain = None
        if may_relay and job.is_long_running and self._has_store():
            relayed = await self._relay_submission(job, until, [
                name for name in (self._find_coordinator(),)
                if name and not self.is_coordinator()
            ])
            if relayed is not None and (relayed.outcome
                                        is not ports.SubmitOutcome.UNKNOWN):
                return relayed
            uncertain = relayed
        reply = None
        if self._has_store() or not may_relay:
            patience = (REFUSE_PATIENCE
                        if may_relay else RELAYED_REFUSE_PATIENCE)
            reply = await self._store_here(job, self._get_left(until), patience)
        if reply is None and may_relay:
            reply = await self._relay_submission(job, until,
                                                 self._choose_relays())
        if reply is None:
            reply = _refuse("the store gives no reply", RETRY_STORE)
        # Two acceptances are one job, but a refusal must be certain.
        if uncertain and reply.outcome is ports.SubmitOutcome.REFUSED:
            return uncertain
        return reply

    def _get_left(self, until: float) -> datetime.timedelta:
        return datetime.timedelta(seconds=max(0.0, until -
                                              self._clock.monotonic()))

    async def _relay_submission(self, job: model.SteppedJob, until: float,
                                names: list[str]) -> ports.SubmitReply | None:
        left = self._get_left(until)
        relayed = await self._relay(
            _reports.CALL_SUBMIT, _reports.RelayedSubmission(job, _to_ms(left)),
            left, names)
        return None if relayed is None else _read_relayed(relayed)

    async def _store_here(
            self, job: model.SteppedJob, deadline: datetime.timedelta,
            refuse_after: datetime.timedelta) -> (ports.SubmitReply | None):
        """Decides on a job and stores it; None when the store refuses.

        Lasting jobs keep what they get, so daemons that admit them side by
        side, each by reports from before the others' jobs, would fill the
        workers for minutes. They are relayed to one daemon where possible.
        """
        now = self._clock.monotonic()
        reports = self._count_lasting() if job.is_long_running else self.reports
        admission = dispatch.decide_admission(job, reports, self._domain, now)
        if not admission.assignment:
            return _refuse(admission.reason, admission.retry_after)
        job = job._replace(assignment=admission.assignment)
        if job.is_long_running:
            self._accepting[job.job_id] = job
        self._add_to_reports(job)
        try:
            offset = await self._writer.append(
                [dispatch.AcceptedRecord(job, self._incarnation)], deadline,
                refuse_after)
        except ports.StoreError as error:
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                self._accepting.pop(job.job_id, None)
                self._log.write("job-not-stored",
                                job=job.job_id,
                                error=str(error))
                return None
            return ports.SubmitReply(ports.SubmitOutcome.UNKNOWN, str(error))
        self._log.write(
            "job-accepted",
            job=job.job_id,
            groups=sorted(set(job.assignment)),
            offset=offset,
            steps=[step.count for step in job.steps],
            store_ms=_to_ms(
                datetime.timedelta(seconds=self._clock.monotonic() - now)),
            report_age_ms=self._get_report_age_ms(job.assignment[0]))
        self._spawn(self._notify_leader(job, offset))
        return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED)

    def _find_coordinator(self) -> str:
        """Returns the leader of the first group whose leader is reachable."""
        leaders = self._reader.table.leaders
        reachable = self._peering.list_reachable()
        return next(
            (leaders[group].record.node
             for group in sorted(leaders)
             if leaders[group].record.incarnation == self._incarnation or
             leaders[group].record.node in reachable), "")

    def is_coordinator(self) -> bool:
        """Returns whether what one daemon does for all is up to this one.

        Two daemons may both hold it for a moment. Each of them then admits
        lasting jobs, and removals are stored twice without harm.
        """
        return self._find_coordinator() == self._incarnation.partition("#")[0]

    def _count_lasting(self) -> dict[str, dispatch.GroupReport]:
        """Returns the reports with all lasting jobs that were accepted."""
        jobs = self._reader.table.jobs
        for job_id in [job_id for job_id in self._accepting if job_id in jobs]:
            del self._accepting[job_id]
        entries = [(entry.job, entry.assignment)
                   for entry in jobs.values()
                   if entry.job.is_long_running and not entry.state.is_final]
        entries.extend(
            (job, job.assignment) for job in self._accepting.values())
        return dispatch.raise_reserved(self.reports,
                                       dispatch.compute_lasting(entries))

    def _add_to_reports(self, job: model.SteppedJob) -> None:
        for group in set(job.assignment):
            report = self.reports.get(group)
            if report is not None:
                load = dispatch.add_job(report.load, job, group)
                self.reports[group] = report._replace(load=load)

    def _get_report_age_ms(self, group: str) -> int | None:
        report = self.reports.get(group)
        if report is None:
            return None
        return int((self._clock.monotonic() - report.reported_at) * 1000)

    async def _notify_leader(self, job: model.SteppedJob, offset: int) -> None:
        """Tells the leader once the acceptance has certainly taken effect."""
        if not await self._reader.wait_applied(offset, READ_BACK_PATIENCE):
            self._log.write("job-not-read-back", job=job.job_id, offset=offset)
            return
        entry = self._reader.table.jobs.get(job.job_id)
        if entry is None or entry.offset != offset:
            self._log.write("job-already-accepted",
                            job=job.job_id,
                            offset=offset)
            return
        for group in entry.groups:
            leader = self._reader.table.leaders.get(group)
            if leader is not None:
                self._notify(
                    group, _reports.NOTICE_JOB,
                    _reports.JobNotice(group, leader.record.epoch, entry.offset,
                                       entry.job))

    async def cancel(self, job_id: str,
                     deadline: datetime.timedelta) -> ports.SubmitReply | None:
        reply = await self._cancel(job_id, deadline, may_relay=True)
        self._log.write("cancel-answered",
                        job=job_id,
                        outcome=reply.outcome.value if reply else "unknown-job",
                        reason=reply.reason if reply else "")
        return reply

    async def _cancel(self, job_id: str, deadline: datetime.timedelta,
                      may_relay: bool) -> ports.SubmitReply | None:
        entry = self._reader.table.jobs.get(job_id)
        if entry is None and self._has_store():
            await self._catch_up(deadline)
            entry = self._reader.table.jobs.get(job_id)
            if entry is None and self._reader.is_fresh():
                return None
        if not self._has_store() and may_relay:
            relayed = await self._relay(
                _reports.CALL_CANCEL,
                _reports.RelayedCancellation(job_id, _to_ms(deadline)),
                deadline, self._choose_relays())
            if relayed is not None:
                return _read_relayed(relayed) if relayed.outcome else None
            return _refuse("the store gives no reply", RETRY_STORE)
        if entry is None:
            return _refuse("the job is not known here yet", RETRY_STORE)
        if entry.is_cancelled or entry.state.is_final:
            return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED)
        try:
            await self._writer.append([dispatch.CancelledRecord(job_id)],
                                      deadline, REFUSE_PATIENCE)
        except ports.StoreError as error:
            if error.verdict is errors.Verdict.DID_NOT_RUN:
                return _refuse(str(error), RETRY_STORE)
            return ports.SubmitReply(ports.SubmitOutcome.UNKNOWN, str(error))
        self._newer_states.setdefault(job_id, model.JobState.CANCELLED)
        for group in entry.groups:
            self._notify(group, _reports.NOTICE_CANCEL,
                         _reports.CancelNotice(group, job_id))
        return ports.SubmitReply(ports.SubmitOutcome.ACCEPTED)

    async def _catch_up(self, deadline: datetime.timedelta) -> None:
        """Waits until the topic was read up to what is stored now."""
        asked_at = self._clock.monotonic()
        until = asked_at + deadline.total_seconds()
        while self._clock.monotonic() < until:
            fresh_as_of = self._reader.fresh_as_of
            if fresh_as_of is not None and fresh_as_of >= asked_at:
                return
            await self._reader.wait_applied(self._reader.table.position,
                                            _topic.READ_INTERVAL)

    async def find_state(self, job_id: str,
                         deadline: datetime.timedelta) -> ports.JobLookup:
        lookup = self._look_up(job_id)
        if lookup.state is not None or lookup.is_certain:
            return lookup
        for name in self._choose_relays():
            try:
                reply = await self._peering.call(
                    name, _reports.CALL_STATE, _reports.StateQuestion(job_id),
                    _reports.StateReply, min(deadline, _peering.CALL_TIMEOUT))
            except errors.RequestError as error:
                self._log.write("relay-failed",
                                job=job_id,
                                peer=name,
                                error=str(error))
                continue
            if reply.state:
                return ports.JobLookup(model.JobState(reply.state), True)
            if reply.is_certain:
                return ports.JobLookup(None, True)
        return lookup

    def _look_up(self, job_id: str) -> ports.JobLookup:
        newer = self._newer_states.get(job_id)
        entry = self._reader.table.jobs.get(job_id)
        if entry is None:
            is_certain = self._reader.is_loaded and self._reader.is_fresh()
            return ports.JobLookup(newer, is_certain or newer is not None)
        if newer is not None and not entry.state.is_final:
            return ports.JobLookup(newer, True)
        self._newer_states.pop(job_id, None)
        return ports.JobLookup(entry.state, True)

    def count_pending(self, queue: model.Queue) -> int:
        return sum(
            1 for entry in self._reader.table.jobs.values()
            if entry.job.queue.path_prefix == queue.path_prefix and
            entry.job.queue.host == queue.host and
            self._look_up(entry.job.job_id).state is model.JobState.QUEUED)

    def forget_job(self, job_id: str) -> None:
        """Forgets a job whose keys were removed from the topic."""
        self._newer_states.pop(job_id, None)

    # Notices and relays.

    def apply_report(self, report: _reports.LeaderReport) -> None:
        """Applies a leader's report."""
        leader = self._reader.table.leaders.get(report.group)
        if leader is not None and report.epoch < leader.record.epoch:
            return
        self.reports[report.group] = dispatch.GroupReport(
            report.load, self._clock.monotonic())
        for notice in report.states:
            known = self._newer_states.get(notice.job_id)
            if known is None or not known.is_final:
                self._newer_states[notice.job_id] = notice.state

    async def _relay(self, subject: str, argument: object,
                     deadline: datetime.timedelta,
                     names: list[str]) -> _reports.RelayedReply | None:
        """Asks peers in turn to store something; None when none could.

        After a peer whose reply was lost, only a success of another one is
        certain.
        """
        uncertain = ""
        for name in names:
            try:
                reply = await self._peering.call(name, subject, argument,
                                                 _reports.RelayedReply,
                                                 min(deadline, RELAY_PATIENCE))
            except errors.RequestError as error:
                self._log.write("relay-failed",
                                subject=subject,
                                job=argument.job_id,
                                peer=name,
                                error=str(error),
                                verdict=error.verdict.value)
                if error.verdict is not errors.Verdict.DID_NOT_RUN:
                    uncertain = str(error)
                continue
            if not uncertain or reply.outcome == (
                    ports.SubmitOutcome.ACCEPTED.value):
                return reply
        if not uncertain:
            return None
        return _reports.RelayedReply(ports.SubmitOutcome.UNKNOWN.value,
                                     uncertain, 0)

    def _choose_relays(self) -> list[str]:
        leaders = [
            entry.record.node for entry in self._reader.table.leaders.values()
        ]
        reachable = self._peering.list_reachable()
        ordered = dict.fromkeys([
            *(name for name in leaders if name in reachable), *sorted(reachable)
        ])
        return list(ordered)[:RELAYS]

    async def _serve_submission(self, payload: bytes) -> object:
        request = dispatch.decode_value(payload, _reports.RelayedSubmission)
        if not self._has_store():
            raise errors.RequestError(errors.ErrorCode.LOG_UNAVAILABLE,
                                      "the store gives no reply here either")
        reply = await self._submit(
            request.job, datetime.timedelta(milliseconds=request.deadline_ms),
            False)
        return _build_relayed(reply)

    async def _serve_cancellation(self, payload: bytes) -> object:
        request = dispatch.decode_value(payload, _reports.RelayedCancellation)
        if not self._has_store():
            raise errors.RequestError(errors.ErrorCode.LOG_UNAVAILABLE,
                                      "the store gives no reply here either")
        reply = await self._cancel(
            request.job_id,
            datetime.timedelta(milliseconds=request.deadline_ms), False)
        if reply is None:
            return _reports.RelayedReply("", "no such job", 0)
        return _build_relayed(reply)

    async def _serve_state(self, payload: bytes) -> object:
        question = dispatch.decode_value(payload, _reports.StateQuestion)
        lookup = self._look_up(question.job_id)
        return _reports.StateReply(
            lookup.state.value if lookup.state is not None else "",
            lookup.is_certain)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def finish(self) -> None:
        """Waits for submissions in progress."""
        tasks = list(self._submitting.values())
        if tasks:
            await asyncio.wait(tasks)


def _to_ms(duration: datetime.timedelta) -> int:
    return int(duration.total_seconds() * 1000)


def _refuse(reason: str, retry_after: datetime.timedelta) -> ports.SubmitReply:
    return ports.SubmitReply(ports.SubmitOutcome.REFUSED, reason, retry_after)


def _build_relayed(reply: ports.SubmitReply) -> _reports.RelayedReply:
    return _reports.RelayedReply(reply.outcome.value, reply.reason,
                                 _to_ms(reply.retry_after))


def _read_relayed(reply: _reports.RelayedReply) -> ports.SubmitReply:
    return ports.SubmitReply(
        ports.SubmitOutcome(reply.outcome), reply.reason,
        datetime.timedelta(milliseconds=reply.retry_after_ms))
