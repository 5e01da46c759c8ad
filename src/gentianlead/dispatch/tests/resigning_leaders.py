"""Model of daemons that freeze and restart, and of leaders that resign."""

import random
from typing import Callable

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import fleet_workers
from gentianlead.dispatch.tests import fleets

ORDER_END_TIMEOUT_S = 0.08
"""Longest wait of a leader that resigns for the replies to its orders."""

RESIGNATION_TIMEOUT_S = 0.2
"""Longest wait for the reply to a resignation, and before it for the last
progress to be stored."""

LEASE_END_S = fleets.TAKEOVER_WAIT.total_seconds() - fleets.START_PERMISSION_S
"""Time after the last start of a leader until all its leases have expired."""

SILENCE_LIMIT_S = 0.8
"""Time without a record of a leader after which a daemon claims its group."""

EPOCHS_PER_CLAIM = 64


class ResigningLeader(fleets.LeaderModel):
    """Models a leader that its daemon can freeze, and that can resign.

    A frozen leader does nothing. Once thawed, it goes on with what it was
    doing, and handles the replies that came meanwhile.
    """

    def __init__(self, site: fleets.SiteModel, daemon: "ResigningDaemon",
                 group: str, epoch: int, leadership_offset: int):
        super().__init__(site, group, epoch, leadership_offset)
        self._daemon = daemon
        # Only a record with a higher number than the claim has allows starts.
        self._heartbeat_number = 0
        self._last_success_sent_at = float("-inf")
        self._is_resigning = False
        self._are_calls_ended = False
        self._is_sole_stored = False

    def advance(self) -> None:
        """Runs each loop once, if its time has come."""
        if self.is_stopped:
            return
        if self._is_resigning:
            if self._queue and not self._is_appending:
                self._append()
            return
        for worker_id in self.scheduler.drop_removed_workers(self._site.now):
            self._polls.pop(worker_id, None)
        super().advance()

    def put_recorded_worker(self, entry: ports.WorkerEntry) -> None:
        """Adds a worker of a former leader and begins to poll it."""
        self.scheduler.put_recorded_worker(entry, self._site.now)
        self._polls.setdefault(entry.worker_id, self._site.now)

    def apply_handover(self, handover: dispatch.HandoverEntry) -> None:
        """Takes over the runs that the former leader has left."""
        self.scheduler.apply_handover(handover.record, handover.read_at,
                                      self._site.now)
        for handed_over in handover.record.workers:
            self._polls.setdefault(handed_over.entry.worker_id, self._site.now)

    def resign(self) -> None:
        """Ends all orders, and stores a resignation with the runs left.

        The leader stops at the reply or at a timeout. It may freeze between any
        two steps.
        """
        if self.is_stopped or self._is_resigning:
            return
        self._is_resigning = True
        self._site.log(f"{self.group} epoch {self.epoch} resigns")
        self.draw_cuts()
        self._continue_later(self._site.rng.uniform(0.0, ORDER_END_TIMEOUT_S),
                             self._end_calls)

    def _end_calls(self) -> None:
        self._are_calls_ended = True
        self._continue_later(0.0, self._store_last_progress)

    def _store_last_progress(self) -> None:
        self._queue.extend((record, lambda: None)
                           for record in self.scheduler.take_unstored_records())
        self._finish(self._site.now + RESIGNATION_TIMEOUT_S)

    def _finish(self, give_up_at: float) -> None:
        """Stores the resignation once all progress is stored."""
        if self._site.now > give_up_at:
            # The product stores a resignation without the runs then.
            self._store_resignation([])
        elif self._queue or self._is_appending:
            self._continue_later(fleets.TICK_S,
                                 lambda: self._finish(give_up_at))
        else:
            handover = self.scheduler.build_handover(self._site.now)
            self._continue_later(0.0,
                                 lambda: self._store_resignation([handover]))

    def _store_resignation(self, records: list[dispatch.Record]) -> None:
        records = [*records, self._build_resignation()]
        self._queue.clear()
        self._site.schedule(RESIGNATION_TIMEOUT_S, self.stop)
        if self._is_appending:
            # The resignation would be stored after these records.
            return
        rng = self._site.rng
        delay_s = 0.0
        if self._site.has_troubles:
            if rng.random() < 0.1:
                return
            if rng.random() < 0.2:
                delay_s = rng.uniform(0.3, 5.0)
        is_reply_lost = self._site.has_troubles and rng.random() < 0.2

        def complete(_: int) -> None:
            if not is_reply_lost:
                self.stop()

        # The call may take effect long after the leader has stopped.
        self._site.schedule(
            delay_s, lambda: self._site.call_store(
                lambda: self._site.store.append(self.group, self.epoch, records
                                               ), complete, self.stop))

    def _continue_later(self, delay_s: float, step: Callable[[], None]) -> None:
        """Calls the next step of the resignation unless the leader stops."""

        def run() -> None:
            if not self.is_stopped:
                step()

        self._daemon.draw_freeze(0.1)
        self._site.schedule(delay_s, lambda: self._daemon.run_awake(run))

    def stop(self) -> None:
        """Stops all loops once the daemon is awake."""
        self._daemon.run_awake(super().stop)

    def _build_resignation(self) -> dispatch.LeaderRecord:
        return dispatch.LeaderRecord(self.group, self.epoch, "",
                                     "", self._heartbeat_number + 1,
                                     self._is_sole())

    def _must_store_heartbeat(self) -> bool:
        return (not self._heartbeat_number or
                self._is_sole() != self._is_sole_stored)

    def _build_heartbeat(self) -> dispatch.LeaderRecord:
        self._is_sole_stored = self._is_sole()
        return super()._build_heartbeat()._replace(
            node=self._daemon.node,
            incarnation=self._daemon.incarnation,
            is_sole=self._is_sole_stored)

    def _is_sole(self) -> bool:
        return self.scheduler.is_takeover_over(self._site.now)

    def _send_start(self, order: dispatch.StartOrder) -> None:
        self._daemon.draw_freeze(0.02)
        if self._daemon.is_frozen:
            # The order matters most if no successor reaches the worker.
            self._site.cut_from_others(self._daemon, order.worker_id,
                                       self._site.rng.uniform(1.0, 8.0))
        self._daemon.run_awake(lambda: self._send_start_awake(order))

    def awaits_workers(self) -> bool:
        """Returns whether runs may exist on workers that do not reply."""
        return (not self.scheduler.is_reconciled or
                any(worker.runs and not worker.is_reachable
                    for worker in self.scheduler.workers.values()))

    def draw_cuts(self) -> None:
        """Cuts some workers off from the possible successors."""
        for worker_id in self.scheduler.workers:
            if self._site.has_troubles and self._site.rng.random() < 0.3:
                self._site.cut_from_others(self._daemon, worker_id,
                                           self._site.rng.uniform(1.0, 8.0))

    def _send_start_awake(self, order: dispatch.StartOrder) -> None:
        if self.is_stopped or order.worker_id not in self.scheduler.workers:
            return
        if self._may_start():
            super()._send_start(order)
        else:
            self.scheduler.apply_start_reply(
                order,
                ports.StartReply(ports.StartOutcome.LEASE_ALREADY_EXPIRED),
                self._site.now)

    def _call_worker(self, worker_id: str, execute: Callable,
                     on_reply: Callable, on_no_reply: Callable[[],
                                                               None]) -> None:

        if self._are_calls_ended:
            return

        def execute_if_reached(target: fleet_workers.WorkerModel) -> object:
            if self._daemon.is_cut(worker_id):
                return None
            return execute(target)

        def handle(result: object) -> None:
            if self._are_calls_ended:
                return
            if result is None or self._daemon.is_cut(worker_id):
                fail()
            else:
                on_reply(result)

        def fail() -> None:
            if not self._are_calls_ended:
                on_no_reply()

        self._daemon.draw_freeze(0.002)
        call = super()._call_worker
        self._daemon.run_awake(
            lambda: call(worker_id, execute_if_reached, handle, fail))

    def _guard(self, handle: Callable) -> Callable:
        guarded = super()._guard(handle)
        return lambda *args: self._daemon.run_awake(lambda: guarded(*args))


class ResigningDaemon(fleets.DaemonModel):
    """Models a daemon that elects itself, freezes, restarts and resigns.

    Attributes:
        node: Name of the daemon.
        incarnation: Identity of its process.
        frozen_until: Time in seconds until which the process does nothing.
        is_draining: Whether the process is about to end and claims nothing.
        cut_until: Time in seconds until which the daemon cannot reach a worker,
            by worker identifier.
    """

    def __init__(self, site: fleets.SiteModel, number: int):
        super().__init__(site)
        self.node = f"d{number}"
        self.incarnation = f"{self.node}#1"
        self.frozen_until = 0.0
        self.is_draining = False
        self.cut_until: dict[str, float] = {}
        self._number = number
        self._rng: random.Random = site.rng
        self._process_number = 1
        self._registry: dict[str, ports.WorkerEntry] = {}
        self._next_registry_read_at = 0.0
        self._claimed_groups: set[str] = set()
        # Time of the next claim of a group, by group and epoch of its leader.
        self._claims_due_at: dict[tuple[str, int], float] = {}
        self._announce()

    @property
    def is_frozen(self) -> bool:
        """Whether the process does nothing at present."""
        return self._site.now < self.frozen_until

    def is_cut(self, worker_id: str) -> bool:
        """Returns whether this daemon cannot reach a worker at present."""
        return self._site.now < self.cut_until.get(worker_id, 0.0)

    def awaits_workers(self) -> bool:
        """Returns whether a leader here waits for workers that are silent."""
        return any(not leader.is_stopped and leader.awaits_workers()
                   for leader in self.leaders.values())

    def draw_freeze(self, share: float) -> None:
        """Freezes the process in a share of all calls on troubled days."""
        if self._site.has_troubles and self._rng.random() < share:
            duration_s = (self._rng.uniform(0.1, 0.6) if self._rng.random()
                          < 0.5 else self._rng.uniform(1.0, 7.0))
            self.frozen_until = max(self.frozen_until,
                                    self._site.now + duration_s)
            self._site.log(f"{self.node} freezes for {duration_s:.2f}")

    def run_awake(self, action: Callable[[], None]) -> None:
        """Calls a function now, or when the process thaws; never if it ends."""
        incarnation = self.incarnation

        def run() -> None:
            if self.incarnation != incarnation:
                return
            if self.is_frozen:
                self._site.schedule(self.frozen_until - self._site.now, run)
            else:
                action()

        run()

    def advance(self) -> None:
        """Reads topics and claims groups if it is time to; runs the leaders."""
        if self.is_frozen:
            for group in self.leaders:
                self._site.impairments.mark(group, self._site.now)
            return
        if self._site.now >= self._next_registry_read_at:
            self._next_registry_read_at = (self._site.now +
                                           self._rng.uniform(0.05, 0.2))
            self._read_registry()
        super().advance()
        self._limit_takeover_waits()
        if not self.is_draining:
            self._claim_groups()

    def lead(self, group: str) -> None:
        """Claims a group; leads it once the claim has been read back."""
        member = self.table.members.get(self.node)
        if (group in self._claimed_groups or self._site.store.is_down or
                member is None or
                member.record.incarnation != self.incarnation):
            return
        self._claimed_groups.add(group)
        known_leader = self.table.leaders.get(group)
        known_epoch = known_leader.record.epoch if known_leader else 0
        epoch = ((known_epoch // EPOCHS_PER_CLAIM + 1) * EPOCHS_PER_CLAIM +
                 self._number)
        claim = dispatch.LeaderRecord(group, epoch, self.node, self.incarnation,
                                      0)

        def execute() -> None:
            if self._site.store.is_down:
                self._claimed_groups.discard(group)
                return
            try:
                offset = self._site.store.append(group, epoch, [claim])
            except fleet_workers.FencedError:
                self._claimed_groups.discard(group)
                return
            self._site.schedule(self._site.draw_read_delay(),
                                lambda: self.run_awake(lambda: finish(offset)))

        def finish(offset: int) -> None:
            self._claimed_groups.discard(group)
            is_lost = self._site.has_troubles and self._rng.random() < 0.1
            self.read()
            if (not is_lost and not self.is_draining and
                    self.table.leaders[group].record.epoch == epoch):
                self._start_leading(group, epoch, offset)

        self._site.schedule(self._site.draw_call_delay(), execute)

    def resign(self, groups: list[str]) -> None:
        """Resigns some of the leaderships of this daemon."""
        for group in groups:
            if group in self.leaders:
                self.leaders[group].resign()

    def end_process(self) -> None:
        """Ends the process with all its leaders; calls under way go on."""
        self.incarnation = f"{self.node}#ended"
        for leader in self.leaders.values():
            leader.is_stopped = True
        self.leaders.clear()
        self.is_draining = True

    def start_process(self) -> None:
        """Starts the process anew; it loads the topic afresh."""
        self._process_number += 1
        self.incarnation = f"{self.node}#{self._process_number}"
        self.frozen_until = 0.0
        self.is_draining = False
        self._claimed_groups.clear()
        self._claims_due_at.clear()
        self._registry.clear()
        newest = {record.key: record for record in self._site.store.records}
        self.table = dispatch.JobTable()
        self.table.load_newest_records(
            ports.KeyedBatch(len(self._site.store.records),
                             tuple(newest.values())), self._site.now)
        self.table.take_changed_jobs()
        self._announce()

    def _announce(self) -> None:
        """Stores the record by which others see that a former process ended."""
        member = dispatch.MemberRecord(self.node, self.incarnation, "", "", 1)
        if self._site.store.is_down:
            self._site.schedule(0.1, lambda: self.run_awake(self._announce))
        else:
            self._site.store.append("", 1, [member])

    def _read_registry(self) -> None:
        entries = self._site.list_registry()
        for leader in self.leaders.values():
            for worker_id, entry in entries.items():
                if entry.domain == leader.group and (
                        entry != self._registry.get(worker_id) or
                        worker_id not in leader.scheduler.workers):
                    leader.put_worker(entry)
            for worker_id in self._registry.keys() - entries.keys():
                leader.scheduler.mark_worker_removed(worker_id, self._site.now)
        self._registry = entries

    def _claim_groups(self) -> None:
        now = self._site.now
        for group in fleets.GROUPS:
            entry = self.table.leaders.get(group)
            leader = self.leaders.get(group)
            if leader is not None and leader.is_stopped:
                del self.leaders[group]
            if group in self.leaders or not self._is_claim_due(entry):
                continue
            key = (group, entry.record.epoch if entry is not None else 0)
            due_at = self._claims_due_at.setdefault(
                key, now + self._rng.choice((0.0, 0.02, 0.1, 0.4)))
            if now >= due_at:
                self._claims_due_at[key] = now + 0.5
                self.lead(group)

    def _is_claim_due(self, entry: dispatch.LeaderEntry | None) -> bool:
        if entry is None or not entry.record.node:
            return True
        if entry.record.node == self.node:
            return entry.record.incarnation != self.incarnation
        if dispatch.find_process_end(entry, self.table.members) is not None:
            return True
        return self._site.now - entry.last_record_read_at > SILENCE_LIMIT_S

    def _start_leading(self, group: str, epoch: int, offset: int) -> None:
        leader = ResigningLeader(self._site, self, group, epoch, offset)
        self._site.log(f"{group} epoch {epoch} is led by {self.node}")
        self.leaders[group] = leader
        self._site.impairments.mark(group, self._site.now)
        for entry in self.table.jobs.values():
            leader.scheduler.put_job(entry)
        for entry in self.table.recorded_workers.get(group, ()):
            leader.put_recorded_worker(entry)
        for entry in self._registry.values():
            if entry.domain == group:
                leader.put_worker(entry)
        handover = self.table.find_handover(group)
        if handover is not None:
            leader.apply_handover(handover)
        leader.scheduler.find_job_entry = self.table.jobs.get
        self._limit_takeover_waits()

    def _limit_takeover_waits(self) -> None:
        """Ends each takeover wait when all leases have expired.

        The former leader may start runs until its start permission ends, its
        process ends or it resigns, and the leaders before it until their start
        permissions end. A daemon that only claimed the group starts none.
        """
        for group, leader in self.leaders.items():
            entry = self.table.leaders.get(group)
            if (entry is None or entry.former is None or
                    entry.record.epoch != leader.epoch):
                continue
            former = entry.former
            earlier_start_at = former.epoch_read_at + fleets.START_PERMISSION_S
            last_start_at = (former.last_record_read_at +
                             fleets.START_PERMISSION_S)
            ended_at = (former.last_record_read_at
                        if former.record.has_resigned else
                        dispatch.find_process_end(former, self.table.members))
            if former.record.is_claim:
                last_start_at = earlier_start_at
            elif ended_at is not None:
                if not former.record.is_sole:
                    ended_at = max(ended_at, earlier_start_at)
                last_start_at = min(last_start_at, ended_at)
            leader.scheduler.limit_takeover_wait(last_start_at + LEASE_END_S)
