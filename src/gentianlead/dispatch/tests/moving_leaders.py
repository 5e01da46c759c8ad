"""Model of leaders that move tasks by the load reports of other groups."""

import datetime
from typing import Callable

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import fleets

REPORT_INTERVAL_S = 0.3
RELOAD_SHARE = 0.02


class MovingLeader(fleets.LeaderModel):
    """Models a leader with the timings and the moves of the product.

    Attributes:
        reports: Newest load reports that its daemon has, by group.
    """

    lease = datetime.timedelta(seconds=5.5)
    start_permission_s = 4.0
    takeover_wait = datetime.timedelta(seconds=10.11)

    def __init__(self, site: fleets.SiteModel, group: str, epoch: int,
                 leadership_offset: int, reports: dict[str,
                                                       dispatch.GroupReport]):
        super().__init__(site, group, epoch, leadership_offset)
        self.reports = reports
        self._next_report_at = site.now

    def advance(self) -> None:
        """Runs each loop once, if its time has come."""
        if self.is_stopped:
            return
        now = self._site.now
        for worker_id in self.scheduler.drop_removed_workers(now):
            self._polls.pop(worker_id, None)
        self.scheduler.is_registry_current = not self._site.is_registry_down
        super().advance()
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._site.send_report(
                self.group, self.scheduler.compute_load(now),
                self.scheduler.crashes.build_loss_reports(now))

    def poll_known_workers(self) -> None:
        """Begins to poll the workers that a former leader recorded."""
        for worker_id in self.scheduler.workers:
            self._polls.setdefault(worker_id, self._site.now)

    def _move_job(self) -> None:
        now = self._site.now
        for move in self.scheduler.plan_moves(
                lambda: self.scheduler.compute_load(now), self.reports, now):
            self._site.log(f"{self.group} moves {move.record}")
            self._queue.append(
                (move.job.build_progress(self.group, self.epoch), lambda: None))
            self._queue.append((move.record, lambda: None))

    def _send_start(self, order: dispatch.StartOrder) -> None:
        with self._site.mark_orders():
            super()._send_start(order)

    def _send_stop(self, order: dispatch.StopOrder) -> None:
        with self._site.mark_orders():
            super()._send_stop(order)

    def _call_worker(self, worker_id: str, execute: Callable,
                     on_reply: Callable, on_no_reply: Callable[[],
                                                               None]) -> None:

        def fail() -> None:
            if (self._site.is_replaced(worker_id) and
                    worker_id in self.scheduler.workers):
                self._polls.pop(worker_id, None)
                self.scheduler.remove_replaced_worker(worker_id, self._site.now)
            else:
                on_no_reply()

        super()._call_worker(worker_id, execute, on_reply, fail)


class ReportingDaemon(fleets.DaemonModel):
    """Models a daemon that reads the registry and load reports.

    Attributes:
        reports: Newest load reports, by group.
        losses: Losses of workers that all leaders have reported.
    """

    def __init__(self, site: fleets.SiteModel):
        super().__init__(site)
        self.reports: dict[str, dispatch.GroupReport] = {}
        self.losses = dispatch.ReportedLosses()
        self._registry: dict[str, ports.WorkerEntry] = {}
        self._next_registry_read_at = 0.0

    def advance(self) -> None:
        """Reads topics if it is time to, and runs the leaders."""
        if (self._site.now >= self._next_registry_read_at and
                not self._site.is_registry_down):
            self._next_registry_read_at = (self._site.now +
                                           self._site.rng.uniform(0.05, 0.2))
            self._read_registry()
        super().advance()

    def read(self) -> None:
        """Reads all new records, on some reads from an empty table."""
        if self._site.draw_reload():
            newest = {record.key: record for record in self._site.store.records}
            self.table.load_newest_records(
                ports.KeyedBatch(len(self._site.store.records),
                                 tuple(newest.values())), self._site.now)
        super().read()

    def lead(self, group: str) -> None:
        """Takes over the leadership of a group."""
        super().lead(group)
        self.leaders[group].poll_known_workers()

    def _build_leader(self, group: str, epoch: int,
                      leadership_offset: int) -> MovingLeader:
        leader = MovingLeader(self._site, group, epoch, leadership_offset,
                              self.reports)
        leader.scheduler.find_job_entry = self.table.jobs.get
        leader.scheduler.crashes.reported_losses = self.losses
        if self._site.do_workers_enforce_capacity:
            leader.scheduler.set_capacity_enforcing_services(frozenset({"svc"}))
        return leader

    def _read_registry(self) -> None:
        entries = dict(self._site.registry)
        for leader in self.leaders.values():
            for worker_id, entry in entries.items():
                if (entry.domain == leader.group and
                        entry != self._registry.get(worker_id)):
                    leader.put_worker(entry)
            for worker_id in self._registry.keys() - entries.keys():
                leader.scheduler.mark_worker_removed(worker_id, self._site.now)
        self._registry = entries
