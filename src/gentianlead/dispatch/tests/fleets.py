"""Randomized model of groups whose leaders change and move jobs.

The schedulers, the job tables and the records are those of the product. The
store, the workers and the loops of the daemons and leaders are modelled, with
late reads, outages of the store, lost replies and late calls.
"""

import datetime
import heapq
import itertools
import random
from typing import Callable

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import fleet_stores
from gentianlead.dispatch.tests import fleet_workers

GROUPS = ("n1", "n2", "n3")
WORKERS_PER_GROUP = 2
TICK_S = 0.02
ORDER_TIMEOUT_S = 0.3
LEASE = datetime.timedelta(seconds=1.5)
CONTACT_S = 1.4
"""Time for which an impairment is near, shortened like the lease."""

START_PERMISSION_S = 1.2
TAKEOVER_WAIT = datetime.timedelta(seconds=START_PERMISSION_S + 1.6 + 0.4)
HEARTBEAT_S = 0.3
EPOCHS_PER_CLAIM = 64

MAX_APPEND_S = 0.5
"""Longest time from the report of an end until it is stored while the store is
up. Any leader must know of the end once it has read the topic after that."""


class LeaderModel:
    """Models the loops of a group's leader.

    Attributes:
        lease: Duration of the leases that it grants.
        start_permission_s: Time in seconds for which an append allows starts.
        takeover_wait: Longest wait for the runs of former leaders.
        known_until: Time in seconds before which the leader can know of all
            ends of which any leader was told.
    """

    lease = LEASE
    start_permission_s = START_PERMISSION_S
    takeover_wait = TAKEOVER_WAIT

    def __init__(self, site: "SiteModel", group: str, epoch: int,
                 leadership_offset: int):
        self.group = group
        self.epoch = epoch
        self.is_stopped = False
        self.known_until = 0.0
        self.scheduler = dispatch.GroupScheduler(
            group, epoch,
            dispatch.GroupTimings(self.lease, self.lease, self.takeover_wait,
                                  datetime.timedelta(seconds=0.2)), site.now,
            leadership_offset, dispatch.InterferenceModel())
        self._site = site
        self._polls: dict[str, float] = {}
        self._last_success_sent_at = site.now
        self._queue: list[tuple[dispatch.Record, Callable[[], None]]] = []
        self._is_appending = False
        self._is_flushing = False
        self._flushed_at = site.now
        self._flush_requested = False
        self._heartbeat_number = 1

    def advance(self) -> None:
        """Runs each loop once, if its time has come."""
        now = self._site.now
        if self.is_stopped:
            return
        may_start = self._may_start()
        is_evacuated = self._site.is_evacuated(self.group)
        self.scheduler.is_evacuated = is_evacuated
        if may_start and self._site.rng.random() < (0.3 if is_evacuated else
                                                    self._site.move_rate):
            self._move_job()
        for order in self.scheduler.plan(now, builders.NOW_MS, may_start):
            if isinstance(order, dispatch.StartOrder):
                self._send_start(order)
            elif isinstance(order, dispatch.StopOrder):
                self._send_stop(order)
        for worker_id, next_poll_at in list(self._polls.items()):
            if next_poll_at <= now:
                self._poll(worker_id, may_start)
        if self.scheduler.has_unstored_progress():
            self._flush_requested = True
        if not self._is_flushing and (self._flush_requested or
                                      now - self._flushed_at > HEARTBEAT_S):
            self._flush()
        if self._queue and not self._is_appending:
            self._append()

    def put_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker and begins to poll it."""
        self.scheduler.put_worker(entry)
        self._polls.setdefault(entry.worker_id, self._site.now)

    def _may_start(self) -> bool:
        return (self._site.now - self._last_success_sent_at
                <= self.start_permission_s)

    def _must_store_heartbeat(self) -> bool:
        return False

    def _build_heartbeat(self) -> dispatch.LeaderRecord:
        self._heartbeat_number += 1
        return dispatch.LeaderRecord(self.group, self.epoch, "d", "d#1",
                                     self._heartbeat_number)

    def _move_job(self) -> None:
        jobs = self.scheduler.list_movable_jobs()
        if not jobs:
            return
        job = self._site.rng.choice(jobs)
        self.move_job(
            job,
            self._site.rng.choice(
                [group for group in GROUPS if group != self.group]))

    def move_job(self, job: dispatch.JobRun, destination: str) -> None:
        """Moves a job to another group."""
        record = dispatch.MovedRecord(job.job.job_id, self.group, (),
                                      destination, job.begin_move(), 0,
                                      job.moves_without_start + 1)
        for earlier_record in (*dispatch.build_run_limits(
                job, self.group, self.epoch),
                               job.build_progress(self.group, self.epoch)):
            self._queue.append((earlier_record, lambda: None))
        self._queue.append((record, lambda: None))

    def _append(self) -> None:
        count = self._site.rng.randint(1, len(self._queue))
        batch, self._queue = self._queue[:count], self._queue[count:]
        self._is_appending = True
        sent_at = self._site.now

        def complete(_: int) -> None:
            self._is_appending = False
            self._last_success_sent_at = sent_at
            for _, on_stored in batch:
                on_stored()

        self._site.call_store(
            lambda: self._site.store.append(self.group, self.epoch,
                                            [record for record, _ in batch]),
            self._guard(complete), self.stop)

    def _flush(self) -> None:
        self._is_flushing = True
        self._flush_requested = False
        end_numbers = {
            worker_id: (worker.born_ms, worker.last_applied_end_number)
            for worker_id, worker in self.scheduler.workers.items()
        }
        progress_records = self.scheduler.take_unstored_records()
        records = list(progress_records)
        ended_job_ids = [
            record.job_id
            for record in progress_records
            if isinstance(record, dispatch.ProgressRecord) and
            record.state.is_final
        ]
        workers_record = self.scheduler.build_workers_record()
        if workers_record is not None:
            records.append(workers_record)
        if not records or self._must_store_heartbeat():
            records.insert(0, self._build_heartbeat())

        def complete() -> None:
            self._is_flushing = False
            self._flushed_at = self._site.now
            if workers_record is not None:
                self.scheduler.mark_workers_recorded(workers_record)
            self.scheduler.mark_progress_stored(progress_records)
            for worker_id, (born_ms, number) in end_numbers.items():
                worker = self.scheduler.workers.get(worker_id)
                if worker is not None and worker.born_ms == born_ms:
                    worker.last_stored_end_number = max(
                        worker.last_stored_end_number, number)
            for job_id in ended_job_ids:
                self.scheduler.forget_job(job_id)

        self._queue.extend((record, lambda: None) for record in records[:-1])
        self._queue.append((records[-1], complete))

    def _poll(self, worker_id: str, may_start: bool) -> None:
        worker = self.scheduler.workers[worker_id]
        sent_at = self._site.now
        expiry_ms = None
        if worker.born_ms and worker.is_reachable and may_start:
            expiry_ms = worker.extend_lease(sent_at, self.lease)
        acknowledged_number = worker.acknowledged_end_number
        self._polls[worker_id] = float("inf")

        def apply(status: ports.WorkerStatus) -> None:
            self._site.observer.add_told_ends(self._site.now, self,
                                              status.ended)
            self.scheduler.apply_status(worker_id, status, sent_at,
                                        self._site.now)
            if worker.last_applied_end_number > worker.last_stored_end_number:
                self._flush_requested = True
            schedule_next(self._site.rng.uniform(0.02, 0.2))

        def fail() -> None:
            self.scheduler.mark_unreachable(worker_id, self._site.now)
            schedule_next(0.05)

        def schedule_next(delay_s: float) -> None:
            if worker_id in self._polls:
                self._polls[worker_id] = self._site.now + delay_s

        self._call_worker(
            worker_id, lambda target: target.poll(
                self._site.now, self.epoch, acknowledged_number, expiry_ms),
            apply, fail)

    def _send_start(self, order: dispatch.StartOrder) -> None:
        worker = self.scheduler.workers[order.worker_id]
        expiry_ms = worker.extend_lease(self._site.now, self.lease)
        self._site.observer.add_order(order.task, order.run, self,
                                      self.known_until)

        def apply(reply: ports.StartReply) -> None:
            if reply.outcome is ports.StartOutcome.FENCED:
                self.stop()
            self.scheduler.apply_start_reply(order, reply, self._site.now)

        self._call_worker(
            order.worker_id, lambda target: target.start(
                self._site.now, order, self.epoch, expiry_ms), apply,
            lambda: apply(ports.StartReply(ports.StartOutcome.UNKNOWN)))

    def _send_stop(self, order: dispatch.StopOrder) -> None:

        def apply(has_succeeded: bool) -> None:
            self.scheduler.apply_stop_reply(order, has_succeeded,
                                            self._site.now)

        self._call_worker(
            order.worker_id,
            lambda target: target.stop(self._site.now, order, self.epoch),
            apply, lambda: apply(False))

    def _call_worker(self, worker_id: str, execute: Callable,
                     on_reply: Callable, on_no_reply: Callable[[],
                                                               None]) -> None:
        self._site.call_worker(worker_id, execute, self._guard(on_reply),
                               self._guard(on_no_reply), self.stop)

    def stop(self) -> None:
        """Stops all loops; calls that were sent still take effect."""
        if not self.is_stopped:
            self._site.observer.drop_told_ends(self,
                                               self._site.now - MAX_APPEND_S)
        self.is_stopped = True

    def _guard(self, handle: Callable) -> Callable:

        def handle_unless_stopped(*args) -> None:
            if not self.is_stopped:
                handle(*args)

        return handle_unless_stopped


class DaemonModel:
    """Models a daemon that reads the topic and leads groups.

    Attributes:
        table: State of the topic.
        leaders: Leaders in this daemon, by group.
        next_read_at: Time of the next read of the topic in seconds.
    """

    def __init__(self, site: "SiteModel"):
        self.table = dispatch.JobTable()
        self.leaders: dict[str, LeaderModel] = {}
        self._site = site
        self.next_read_at = 0.0
        self._read_at = 0.0

    def _get_read_time(self) -> float:
        return self._read_at

    def advance(self) -> None:
        """Reads new records if it is time to, and runs the leaders."""
        if (self._site.now >= self.next_read_at and
                not self._site.store.is_down):
            self.read()
        for leader in list(self.leaders.values()):
            leader.advance()

    def read(self) -> None:
        """Reads all new records; the next read may follow much later."""
        self.next_read_at = self._site.now + self._site.draw_read_delay()
        for stored in self._site.store.records[self.table.position:]:
            self.table.apply(stored, self._site.now)
        self._read_at = self._site.now
        for leader in self.leaders.values():
            leader.scheduler.untracked_ends.get_view_time = self._get_read_time
            if self._site.now - self._site.store.up_since >= MAX_APPEND_S:
                leader.known_until = self._site.now - MAX_APPEND_S
            if self.table.is_superseded(leader.group, leader.epoch):
                leader.stop()
        for job_id in sorted(self.table.take_changed_jobs()):
            for leader in self.leaders.values():
                leader.scheduler.put_job(self.table.jobs[job_id])

    def lead(self, group: str) -> None:
        """Takes over the leadership of a group."""
        self._site.impairments.mark(group, self._site.now)
        self.read()
        known_leader = self.table.leaders.get(group)
        epoch = EPOCHS_PER_CLAIM + (known_leader.record.epoch
                                    if known_leader else 0)
        offset = self._site.store.append(
            group, epoch, [dispatch.LeaderRecord(group, epoch, "d", "d#1", 1)])
        self.read()
        leader = self._build_leader(group, epoch, offset)
        leader.scheduler.find_job_entry = self.table.jobs.get
        self.leaders[group] = leader
        for entry in self.table.jobs.values():
            leader.scheduler.put_job(entry)
        for entry in self.table.recorded_workers.get(group, ()):
            leader.scheduler.put_recorded_worker(entry, self._site.now)
        for worker in self._site.workers.values():
            if worker.group == group:
                leader.put_worker(worker.entry)

    def _build_leader(self, group: str, epoch: int,
                      leadership_offset: int) -> LeaderModel:
        return LeaderModel(self._site, group, epoch, leadership_offset)


class SiteModel:
    """Models three groups with two workers each, and three daemons.

    Attributes:
        now: Simulated time in seconds.
        rng: Source of all random choices.
        move_rate: Probability that a leader moves a job in a tick.
        store: The store.
        workers: The workers, by identifier.
        observer: Checks all starts and ends.
        tick_s: Step of the simulated time in seconds.
        contact_s: Time in seconds for which an impairment counts as near.
        has_random_losses: Whether any call may be late or lost during troubles.
        impairment_rate: Factor of the rate of impairments.
        max_jobs: Number of jobs.
        worker_class: Class of the workers.
    """

    tick_s = TICK_S
    contact_s = CONTACT_S
    has_random_losses = True
    impairment_rate = 1.0
    max_jobs = 12
    worker_class = fleet_workers.WorkerModel

    def __init__(self,
                 seed: int,
                 max_reported_ends: int = fleet_workers.MAX_REPORTED_ENDS):
        self.now = 10.0
        self.rng = random.Random(seed)
        self.move_rate = self.rng.choice((0.0, 0.02, 0.2))
        self.observer = fleet_workers.RunObserver()
        self.store = fleet_stores.StoreModel()
        self.workers = {
            worker.worker_id: worker for worker in self._build_workers()
        }
        for worker in self.workers.values():
            worker.max_reported_ends = max_reported_ends
        self.impairments = self.observer.impairments
        self.impairments.contact_s = self.contact_s
        self._is_calm = False
        self._cut_until: dict[str, float] = {}
        self._evacuated_until: dict[str, float] = {}
        self._store_down_until = 0.0
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []
        self._callback_numbers = itertools.count()
        self._job_numbers = itertools.count()
        self._daemons = self._build_daemons()
        for daemon, group in zip(self._daemons, GROUPS):
            daemon.lead(group)

    def _build_workers(self) -> list[fleet_workers.WorkerModel]:
        return [
            self.worker_class(f"{group}-w{number}", group, self.rng,
                              self.observer)
            for group in GROUPS
            for number in range(WORKERS_PER_GROUP)
        ]

    def _build_daemons(self) -> list[DaemonModel]:
        return [DaemonModel(self) for _ in GROUPS]

    def run(self, troubled_s: float, calm_s: float) -> None:
        """Runs the site with troubles, then without."""
        for self._is_calm, duration_s in ((False, troubled_s), (True, calm_s)):
            for _ in range(round(duration_s / self.tick_s)):
                self._advance()

    def list_unfinished_jobs(self) -> list[str]:
        """Returns the jobs that have not ended according to the topic."""
        table = dispatch.JobTable()
        for stored in self.store.records:
            table.apply(stored, self.now)
        return [
            job_id for job_id, entry in table.jobs.items()
            if not entry.state.is_final
        ]

    def draw_read_delay(self) -> float:
        """Draws the time until the next read of the topic, in seconds."""
        if not self._is_calm and self.rng.random() < 0.1:
            return self.rng.uniform(0.3, 2.0)
        return self.rng.uniform(0.02, 0.2)

    def call_store(self, append: Callable[[], int], on_reply: Callable[[int],
                                                                       None],
                   on_fenced: Callable[[], None]) -> None:
        """Calls the store until it replies."""

        def execute() -> None:
            if self.store.is_down:
                self.schedule(0.08, execute)
                return
            try:
                offset = append()
            except fleet_workers.FencedError:
                self.schedule(0.01, on_fenced)
                return
            self.schedule(self.draw_call_delay(), lambda: deliver(offset))

        def deliver(offset: int) -> None:
            if self.store.is_down:
                self.schedule(0.08, lambda: deliver(offset))
            else:
                on_reply(offset)

        self.schedule(self.draw_call_delay(), execute)

    def call_worker(self, worker_id: str, execute: Callable, on_reply: Callable,
                    on_no_reply: Callable[[], None],
                    on_fenced: Callable[[], None]) -> None:
        """Calls a worker; the call or its reply may be late or lost."""
        is_over = False

        def expire() -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                on_no_reply()

        def deliver(handle: Callable, *args) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                handle(*args)

        def run_call() -> None:
            if worker_id not in self.workers:
                return
            try:
                result = execute(self.workers[worker_id])
            except fleet_workers.FencedError:
                self.schedule(0.01, lambda: deliver(on_fenced))
                return
            except fleet_workers.NoReplyError:
                return
            if self._is_calm or (not self._is_cut(worker_id) and
                                 not self._draw_reply_loss()):
                self.schedule(self._draw_reply_delay(worker_id),
                              lambda: deliver(on_reply, result))

        self.schedule(self._get_timeout_s(worker_id), expire)
        if not self._is_cut(worker_id):
            self.schedule(self.draw_call_delay(), run_call)

    def is_evacuated(self, group: str) -> bool:
        """Returns whether a group is out of service."""
        return self.now < self._evacuated_until.get(group, 0.0)

    def _draw_reply_loss(self) -> bool:
        return self.has_random_losses and self.rng.random() <= 0.03

    def _get_timeout_s(self, _: str) -> float:
        return ORDER_TIMEOUT_S

    def _draw_reply_delay(self, _: str) -> float:
        return self.draw_call_delay()

    def _is_cut(self, worker_id: str) -> bool:
        return self.now < self._cut_until.get(worker_id, 0.0)

    def draw_call_delay(self) -> float:
        """Draws the time that a call or its reply takes, in seconds."""
        if (self.has_random_losses and not self._is_calm and
                self.rng.random() < 0.02):
            return self.rng.uniform(0.1, 2.0)
        return self.rng.uniform(0.001, 0.03)

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls a function after a delay in seconds."""
        heapq.heappush(
            self._callbacks,
            (self.now + delay_s, next(self._callback_numbers), callback))

    def _advance(self) -> None:
        self.now += self.tick_s
        if not self._is_calm:
            self._draw_troubles()
        else:
            self._end_troubles()
        self.store.is_down = self.now < self._store_down_until
        if self.store.is_down:
            self.store.up_since = self.now
            self.impairments.mark("store", self.now)
        for worker in self.workers.values():
            worker.advance(self.now)
        self.observer.note_listed_ends(self.now)
        while self._callbacks and self._callbacks[0][0] <= self.now:
            heapq.heappop(self._callbacks)[2]()
        for daemon in self._daemons:
            daemon.advance()
        if self._is_calm and not self.store.is_down:
            self._replace_stopped_leaders()

    def _end_troubles(self) -> None:
        self.move_rate = 0.0
        self.impairments.end_all(self.now)
        self._cut_until.clear()
        self._evacuated_until.clear()
        self._store_down_until = 0.0

    def _replace_stopped_leaders(self) -> None:
        for group in GROUPS:
            if not any(group in daemon.leaders and
                       not daemon.leaders[group].is_stopped
                       for daemon in self._daemons):
                self.rng.choice(self._daemons).lead(group)

    def _draw_troubles(self) -> None:
        if self.rng.random() < 0.03:
            self._accept_job()
        if self.rng.random() < 0.02:
            group = self.rng.choice(GROUPS)
            self._evacuated_until[group] = (self.now +
                                            self.rng.uniform(0.2, 1.5))
        if self.store.is_down:
            return
        if self.rng.random() < 0.004 * self.impairment_rate:
            self._store_down_until = self.now + self.rng.uniform(0.2, 1.5)
        if self.rng.random() < 0.006 * self.impairment_rate:
            worker_id = self.rng.choice(list(self.workers))
            self._cut_until[worker_id] = self.now + self.rng.uniform(0.2, 3.0)
            self.impairments.mark(worker_id, self._cut_until[worker_id])
        if self.rng.random() < 0.008 * self.impairment_rate:
            self.rng.choice(self._daemons).lead(self.rng.choice(GROUPS))

    def _accept_job(self) -> None:
        number = next(self._job_numbers)
        if self.store.is_down or number >= self.max_jobs:
            return
        job = builders.build_job(f"{number:016x}",
                                 builders.build_step(self.rng.randint(1, 3)),
                                 builders.build_step(2, depends_on=(0,)),
                                 assignment=(self.rng.choice(GROUPS),))
        self.store.append("", 1, [dispatch.AcceptedRecord(job, "a#1")])
