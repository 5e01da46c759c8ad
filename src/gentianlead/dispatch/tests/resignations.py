"""Randomized model of leaders that resign while workers leave and join.

It extends the model in `fleets` with long-running tasks, frozen and restarted
processes, drifting clocks of workers, resignations that are late or lost, and
workers that leave, are replaced or are cut off.
"""

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import fleet_workers
from gentianlead.dispatch.tests import fleets
from gentianlead.dispatch.tests import leaving_workers
from gentianlead.dispatch.tests import resigning_leaders

DAEMONS = 3
WORKERS_PER_GROUP = 3
MIN_STAYING_WORKERS = 2
LONG_RUNNING_TASKS_PER_GROUP = 2
MAX_SHORT_JOBS = 16
JOIN_DELAY_S = 0.6
"""Time after which a new worker is sure to be known, recorded and reached."""

RULE_S = 6.0
RULE_TAKEOVER_WAIT_S = 10.11
LEASE_EXPIRY_MARGIN_S = 0.15
MAX_CALM_READ_DELAY_S = 0.2
MAX_WAIT_S = (
    RULE_S / RULE_TAKEOVER_WAIT_S * fleets.TAKEOVER_WAIT.total_seconds() +
    LEASE_EXPIRY_MARGIN_S + MAX_CALM_READ_DELAY_S)
"""Longest time without a run for a long-running task with a free worker.

The stated rule is 6 s. The daemons have a takeover wait of 10.11 s (4 s start
permission, 5.5 s lease with 2 % drift, 0.5 s margin); that of the model is
shorter, and the bound is shortened in the same proportion, to 1.9 s. Two delays
of the model are as long as those of the daemons and are added: the margin after
the end of a lease, and one read of the topic by the successor. The bound is
above the longest lease with drift (1.53 s), for which a task may have to wait
if its worker has left without a sign, and below the takeover wait (3.2 s)."""


class WaitMonitor:
    """Checks how long long-running tasks have no run although there is room.

    Attributes:
        violations: Descriptions of tasks that waited for too long.
        longest_wait_s: Longest wait so far, in seconds.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.longest_wait_s = 0.0
        self._had_no_room_at: dict[str, float] = {}
        self._reported_ends: set[tuple[model.TaskKey, float]] = set()

    def check(self, now: float, ended_at: dict[model.TaskKey, float],
              groups: dict[str, str], free_cores: dict[str, int]) -> None:
        """Checks all tasks without a run.

        A wait counts while the group has room for its waiting tasks twice over.

        Args:
            now: Present time in seconds.
            ended_at: End of the last run of each task without one.
            groups: Group of each job.
            free_cores: Number of free cores on sound workers, by group.
        """
        waiting_counts: dict[str, int] = {}
        for task in ended_at:
            group = groups[task.job_id]
            waiting_counts[group] = waiting_counts.get(group, 0) + 1
        for group, count in waiting_counts.items():
            if free_cores.get(group, 0) < 2 * count:
                self._had_no_room_at[group] = now
        for task, task_ended_at in ended_at.items():
            group = groups[task.job_id]
            wait_s = now - max(task_ended_at,
                               self._had_no_room_at.get(group, 0.0))
            self.longest_wait_s = max(self.longest_wait_s, wait_s)
            if (wait_s > MAX_WAIT_S and
                (task, task_ended_at) not in self._reported_ends):
                self._reported_ends.add((task, task_ended_at))
                self.violations.append(
                    f"{now:.2f} {task} in {group} has no run since "
                    f"{task_ended_at:.2f}")


class ResignationSite(fleets.SiteModel):
    """Models a site whose daemons restart one by one while workers leave.

    Attributes:
        has_troubles: Whether processes freeze and crash, calls are late or
            lost, workers fail or are cut off, and the store has outages. If
            not, leaders only resign, and workers only drain, leave and join.
        waits: Checks how long long-running tasks wait.
    """

    def __init__(self, seed: int, has_troubles: bool):
        self.has_troubles = has_troubles
        self.waits = WaitMonitor()
        self._worker_numbers: dict[str, int] = {}
        self._long_running_groups: dict[str, str] = {}
        self._next_resignation_at = 11.0
        self._next_worker_event_at = 11.0
        super().__init__(seed)
        self.move_rate = self.rng.choice((0.0, 0.01)) if has_troubles else 0.0
        self._resignation_interval_s = self.rng.uniform(0.5, 3.0)
        self._worker_interval_s = self.rng.uniform(0.3, 2.0)
        for number, group in enumerate(fleets.GROUPS):
            job = leaving_workers.build_long_running_job(
                number, group, LONG_RUNNING_TASKS_PER_GROUP)
            self._long_running_groups[job.job_id] = group
            self.store.append("", 1, [dispatch.AcceptedRecord(job, "a#1")])

    def log(self, text: str) -> None:
        """Adds a line to the trace of the site."""
        self.observer.log.append(f"{self.now:.2f} {text}")

    def list_registry(self) -> dict[str, ports.WorkerEntry]:
        """Returns the registry entries of all present workers."""
        return {
            worker_id: worker.entry
            for worker_id, worker in self.workers.items()
        }

    def draw_read_delay(self) -> float:
        """Draws the time until the next read of the topic, in seconds."""
        if self.has_troubles:
            return super().draw_read_delay()
        return self.rng.uniform(0.02, MAX_CALM_READ_DELAY_S)

    def draw_call_delay(self) -> float:
        """Draws the time that a call or its reply takes, in seconds."""
        if self.has_troubles:
            return super().draw_call_delay()
        return self.rng.uniform(0.001, 0.03)

    def cut_from_others(self, daemon: fleets.DaemonModel, worker_id: str,
                        duration_s: float) -> None:
        """Cuts a worker off from all daemons but one."""
        for other_daemon in self._daemons:
            if other_daemon is not daemon:
                other_daemon.cut_until[worker_id] = self.now + duration_s

    def list_waiting_tasks(self) -> list[model.TaskKey]:
        """Returns the long-running tasks that have no run any more."""
        return list(self.observer.ended_at)

    def _draw_reply_loss(self) -> bool:
        return self.has_troubles and super()._draw_reply_loss()

    def _build_workers(self) -> list[fleet_workers.WorkerModel]:
        self.observer = leaving_workers.LastingRunObserver()
        return [
            self._build_worker(group)
            for group in fleets.GROUPS
            for _ in range(WORKERS_PER_GROUP)
        ]

    def _build_worker(self, group: str) -> leaving_workers.LeavingWorker:
        number = self._worker_numbers.get(group, 0) + 1
        self._worker_numbers[group] = number
        return leaving_workers.LeavingWorker(
            f"{group}-w{number}", group, self.rng, self.observer, self.now,
            fleet_workers.FAILED_SHARE if self.has_troubles else 0.0)

    def _build_daemons(self) -> list[fleets.DaemonModel]:
        return [
            resigning_leaders.ResigningDaemon(self, number)
            for number in range(DAEMONS)
        ]

    def _advance(self) -> None:
        super()._advance()
        if not self.has_troubles:
            self.waits.check(self.now,
                             self.observer.ended_at, self._long_running_groups,
                             self._count_free_cores())

    def _count_free_cores(self) -> dict[str, int]:
        free_cores: dict[str, int] = {}
        for worker in self.workers.values():
            if (not worker.is_draining and
                    self.now - worker.joined_at >= JOIN_DELAY_S):
                free_cores[worker.group] = (free_cores.get(worker.group, 0) +
                                            worker.free_cores)
        return free_cores

    def _replace_stopped_leaders(self) -> None:
        """Does nothing: the daemons elect themselves."""

    def _end_troubles(self) -> None:
        super()._end_troubles()
        self.has_troubles = False
        for daemon in self._daemons:
            daemon.cut_until.clear()
        for worker in self.workers.values():
            worker.failed_share = 0.0

    def _draw_troubles(self) -> None:
        if self.rng.random() < 0.04:
            self._accept_job()
        if self.now >= self._next_resignation_at:
            self._next_resignation_at = (
                self.now +
                self._resignation_interval_s * self.rng.uniform(0.8, 1.2))
            self._draw_resignation()
        if self.now >= self._next_worker_event_at:
            self._next_worker_event_at = (
                self.now + self._worker_interval_s * self.rng.uniform(0.5, 1.5))
            self._draw_worker_event()
        if self.has_troubles:
            self._draw_failures()

    def _draw_resignation(self) -> None:
        daemon = self.rng.choice(self._daemons)
        if self.has_troubles and self.rng.random() < 0.5:
            # A leader that does not know all runs yet must hand that over.
            daemon = next(
                filter(resigning_leaders.ResigningDaemon.awaits_workers,
                       self._daemons), daemon)
        if daemon.is_draining:
            return
        if self.rng.random() < 0.3:
            daemon.resign(self.rng.sample(fleets.GROUPS, 1))
            return
        daemon.is_draining = True
        daemon.resign(list(fleets.GROUPS))
        end_delay_s = self.rng.uniform(0.3, 1.5)
        self.schedule(end_delay_s, daemon.end_process)
        self.schedule(end_delay_s + 0.1, daemon.start_process)

    def _crash_daemon(self, daemon: resigning_leaders.ResigningDaemon) -> None:
        if daemon.is_draining:
            return
        self.log(f"{daemon.node} crashes")
        for leader in daemon.leaders.values():
            leader.draw_cuts()
        daemon.end_process()
        self.schedule(self.rng.uniform(0.1, 1.0), daemon.start_process)

    def _draw_worker_event(self) -> None:
        group = self.rng.choice(fleets.GROUPS)
        staying_workers = [
            worker for worker in self.workers.values()
            if worker.group == group and not worker.is_draining
        ]
        if len(staying_workers) <= MIN_STAYING_WORKERS or (
                len(staying_workers) <= WORKERS_PER_GROUP and
                self.rng.random() < 0.3):
            worker = self._build_worker(group)
            self.workers[worker.worker_id] = worker
            self.log(f"{worker.worker_id} joins")
            return
        worker = self.rng.choice(staying_workers)
        kind = self.rng.choice(("drain", "notice",
                                "crash") if self.has_troubles else ("drain",
                                                                    "notice"))
        self.log(f"{worker.worker_id}: {kind}")
        if kind == "crash":
            self._remove_worker(worker)
        else:
            worker.is_draining = True
            notice_s = (self.rng.uniform(1.0, 2.5)
                        if kind == "drain" else self.rng.uniform(0.2, 0.7))
            self.schedule(notice_s, lambda: self._remove_worker(worker))

    def _remove_worker(self, worker: leaving_workers.LeavingWorker) -> None:
        if self.workers.pop(worker.worker_id, None) is not None:
            self.log(f"{worker.worker_id} is gone")
            worker.leave(self.now)

    def _draw_failures(self) -> None:
        if self.rng.random() < 0.02:
            daemon = self.rng.choice(self._daemons)
            worker_id = self.rng.choice(list(self.workers))
            daemon.cut_until[worker_id] = self.now + self.rng.uniform(0.2, 5.0)
        if self.rng.random() < 0.006:
            self.rng.choice(self._daemons).draw_freeze(1.0)
        if self.rng.random() < 0.006:
            self._crash_daemon(self.rng.choice(self._daemons))
        if self.store.is_down:
            return
        if self.rng.random() < 0.003:
            self._store_down_until = self.now + self.rng.uniform(0.2, 1.5)
        if self.rng.random() < 0.006:
            worker_id = self.rng.choice(list(self.workers))
            self._cut_until[worker_id] = self.now + self.rng.uniform(0.2, 3.0)
        if self.rng.random() < 0.004:
            daemon = self.rng.choice(self._daemons)
            if not daemon.is_frozen and not daemon.is_draining:
                daemon.lead(self.rng.choice(fleets.GROUPS))

    def _accept_job(self) -> None:
        number = next(self._job_numbers)
        if self.store.is_down or number >= MAX_SHORT_JOBS:
            return
        job = builders.build_job(f"{number:016x}",
                                 builders.build_step(self.rng.randint(1, 3)),
                                 builders.build_step(2, depends_on=(0,)),
                                 assignment=(self.rng.choice(fleets.GROUPS),))
        self.store.append("", 1, [dispatch.AcceptedRecord(job, "a#1")])
