"""Randomized model of long-running tasks beside troubles of their workers.

The leaders stay the same on most days. Orders and replies are lost or late,
workers drain, leave, restart, shrink, refuse starts and crash, groups are
evacuated and reclaimed, and registry entries, load reports and the topic are
late. After a calm time, each long-running task must run if a worker has room.
"""

import contextlib
from typing import Callable, Iterator, NamedTuple

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import fleet_workers
from gentianlead.dispatch.tests import fleets
from gentianlead.dispatch.tests import leaving_workers
from gentianlead.dispatch.tests import moving_leaders
from gentianlead.dispatch.tests import troubled_workers

QUIET_START_S = 3.0
MAX_LONG_RUNNING_JOBS = 7
MAX_SHORT_JOBS = 60
JOIN_DELAY_S = 1.0
"""Time after which a new worker is sure to be known, recorded and reached."""

WORKER_SIZES = ((8000, 16000), (12000, 24000), (16000, 16000), (16000, 48000))


class LongestWait(NamedTuple):
    """Longest time without a run for a task that some worker could take.

    Attributes:
        seconds: The time.
        task: The task; None without a wait.
    """

    seconds: float = 0.0
    task: model.TaskKey | None = None


class TroubledSite(fleets.SiteModel):
    """Models groups whose workers and messages have troubles.

    Attributes:
        trouble_kinds: Troubles of the day, by name.
        registry: Entries that the registry lists at present.
        is_registry_down: Whether the registry cannot be read.
        do_workers_enforce_capacity: Whether the configuration says that the
            workers refuse starts that do not fit.
        longest_wait: Longest wait in the calm time.
        given_up_jobs: Long-running jobs that their leaders have failed.
    """

    tick_s = 0.05
    contact_s = 5.0

    def __init__(self, seed: int, trouble_kinds: tuple[str, ...] = ()):
        self.registry: dict = {}
        self.is_registry_down = False
        self.do_workers_enforce_capacity = seed % 2 == 0
        self.longest_wait = LongestWait()
        self._jobs: dict[str, model.SteppedJob] = {}
        self._worker_numbers: dict[str, int] = {}
        self._replaced_ids: set[str] = set()
        self._order_loss_until: dict[str, float] = {}
        self._status_loss_until: dict[str, float] = {}
        self._reports_lost_until: dict[str, float] = {}
        self._crashes_until: dict[str, float] = {}
        self._registry_down_until = 0.0
        self._is_order = False
        self._long_running_count = 0
        self._waiting_since: dict[model.TaskKey, float] = {}
        self._has_ended_troubles = False
        self._starts_at = float("inf")
        super().__init__(seed)
        self.move_rate = 1.0
        self._starts_at = self.now + QUIET_START_S
        self._troubles = {
            "order-loss": self._lose_orders,
            "deaf": self._lose_orders_for_good,
            "status-loss": self._lose_status_replies,
            "drain": self._drain_worker,
            "reclaim": self._reclaim_group,
            "restart": self._restart_worker,
            "loss": self._lose_worker,
            "cut": self._cut_worker,
            "refusal": self._refuse_starts,
            "shrink": self._shrink_worker,
            "evacuation": self._evacuate_group,
            "lapse": self._lapse_entry,
            "crash": self._crash_starts,
            "failure": self._fail_runs,
            "store": self._stop_store,
            "report-loss": self._lose_reports,
            "registry": self._stop_registry,
            "reload": lambda: None,
            "cancel": self._cancel_job,
            "lead": lambda: None,
        }
        self.trouble_kinds = trouble_kinds or tuple(
            kind for kind in self._troubles
            if self.rng.random() < (0.1 if kind == "lead" else 0.4))
        self._trouble_rate = self.rng.choice((0.15, 0.5, 1.2))
        self._leads_at = (self.now + self.rng.uniform(5.0, 25.0)
                          if "lead" in self.trouble_kinds else float("inf"))
        for worker in self.workers.values():
            self.registry[worker.worker_id] = worker.entry

    def log(self, text: str) -> None:
        """Adds a line to the trace of the site."""
        self.observer.log.append(f"{self.now:.2f} {text}")

    @contextlib.contextmanager
    def mark_orders(self) -> Iterator[None]:
        """Marks the calls of a context as orders to start or stop a run."""
        self._is_order = True
        try:
            yield
        finally:
            self._is_order = False

    def is_replaced(self, worker_id: str) -> bool:
        """Returns whether another worker has the address of a worker."""
        return worker_id in self._replaced_ids

    def draw_reload(self) -> bool:
        """Draws whether a daemon loads the topic anew."""
        return (self._is_troubled and "reload" in self.trouble_kinds and
                self.rng.random() < moving_leaders.RELOAD_SHARE)

    def send_report(self, group: str, load: dispatch.GroupLoad,
                    losses: tuple[dispatch.LossReport, ...]) -> None:
        """Delivers a load report to all daemons, unless it is lost."""
        for daemon in self._daemons:
            if (group not in daemon.leaders and
                    self.now < self._reports_lost_until.get(group, 0.0)):
                continue
            delay_s = (0.0 if group in daemon.leaders else self.rng.uniform(
                0.001, 0.05))
            self.schedule(delay_s,
                          lambda daemon=daemon: self._deliver_report(
                              daemon, group, load, losses))

    def call_worker(self, worker_id: str, execute: Callable, on_reply: Callable,
                    on_no_reply: Callable[[], None],
                    on_fenced: Callable[[], None]) -> None:
        """Calls the present instance of a worker; see the base class."""
        instance = self.workers.get(worker_id)
        is_order = self._is_order

        def execute_late() -> None:
            if self.workers.get(worker_id) is instance:
                with contextlib.suppress(fleet_workers.FencedError):
                    execute(instance)

        def execute_at_instance(
                present: troubled_workers.LimitedWorker) -> object:
            if present is not instance:
                raise fleet_workers.NoReplyError()
            if is_order and self.now < self._order_loss_until.get(
                    worker_id, 0.0):
                if (worker_id not in self._list_deaf_workers() and
                        self.rng.random() < 0.7):
                    self.schedule(self.rng.uniform(2.0, 12.0), execute_late)
                raise fleet_workers.NoReplyError()
            result = execute(present)
            if not is_order and self.now < self._status_loss_until.get(
                    worker_id, 0.0):
                raise fleet_workers.NoReplyError()
            return result

        super().call_worker(worker_id, execute_at_instance, on_reply,
                            on_no_reply, on_fenced)

    def list_waiting_tasks(self) -> list[model.TaskKey]:
        """Returns the long-running tasks that have no run at present."""
        return [
            task for task in self._list_long_running_tasks()
            if not self.observer.is_active(task)
        ]

    def list_workers_with_room(self, task: model.TaskKey) -> list[str]:
        """Returns the sound workers on which a task fits at present."""
        step = self._jobs[task.job_id].steps[task.step]
        return [
            worker.worker_id
            for worker in self.workers.values()
            if not worker.is_draining and self.now -
            worker.joined_at >= JOIN_DELAY_S and worker.worker_id in
            self.registry and not self.is_evacuated(worker.group) and
            worker.has_room_for(step, task.job_id)
        ]

    @property
    def given_up_jobs(self) -> list[str]:
        """Identifiers of the long-running jobs that a leader has failed."""
        table = self._build_table()
        return [
            job_id for job_id, entry in table.jobs.items() if
            entry.job.is_long_running and entry.state is model.JobState.FAILED
        ]

    @property
    def _is_troubled(self) -> bool:
        return not self._is_calm and self.now >= self._starts_at

    def _build_table(self) -> dispatch.JobTable:
        table = dispatch.JobTable()
        for stored in self.store.records:
            table.apply(stored, self.now)
        return table

    def _list_long_running_tasks(self) -> list[model.TaskKey]:
        return [
            model.TaskKey(job_id, 0, 0, index)
            for job_id, entry in self._build_table().jobs.items()
            if entry.job.is_long_running and not entry.state.is_final
            for index in range(entry.job.steps[0].count)
        ]

    def _deliver_report(self, daemon: moving_leaders.ReportingDaemon,
                        group: str, load: dispatch.GroupLoad,
                        losses: tuple[dispatch.LossReport, ...]) -> None:
        daemon.reports[group] = dispatch.GroupReport(load, self.now)
        daemon.losses.add(group, losses, self.now)

    def _build_workers(self) -> list[fleet_workers.WorkerModel]:
        self.observer = leaving_workers.LastingRunObserver()
        return [
            self._build_worker(group)
            for group in fleets.GROUPS
            for _ in range(self.rng.randint(3, 5))
        ]

    def _build_worker(self,
                      group: str,
                      worker_id: str = "") -> troubled_workers.LimitedWorker:
        if not worker_id:
            number = self._worker_numbers.get(group, 0) + 1
            self._worker_numbers[group] = number
            worker_id = f"{group}-w{number}"
        worker = troubled_workers.LimitedWorker(worker_id, group, self.rng,
                                                self.observer, self.now,
                                                self.rng.choice(WORKER_SIZES),
                                                self._jobs)
        worker.on_start = self._handle_start
        return worker

    def _build_daemons(self) -> list[fleets.DaemonModel]:
        return [moving_leaders.ReportingDaemon(self) for _ in fleets.GROUPS]

    def _advance(self) -> None:
        self.is_registry_down = self.now < self._registry_down_until
        super()._advance()
        if self._is_calm and round(self.now / self.tick_s) % 5 == 0:
            self._measure_waits()

    def _measure_waits(self) -> None:
        waiting_since = {}
        for task in self.list_waiting_tasks():
            if self.list_workers_with_room(task):
                since = self._waiting_since.get(task, self.now)
                waiting_since[task] = since
                self.longest_wait = max(self.longest_wait,
                                        LongestWait(self.now - since, task),
                                        key=lambda wait: wait.seconds)
        self._waiting_since = waiting_since

    # Troubles.

    def _draw_troubles(self) -> None:
        if self.rng.random() < 0.06 and not self.store.is_down:
            self._accept_job()
        if not self._is_troubled:
            return
        if self.now >= self._leads_at and not self.store.is_down:
            self._leads_at = float("inf")
            self.log("a leader changes")
            self.rng.choice(self._daemons).lead(self.rng.choice(fleets.GROUPS))
        for kind in self.trouble_kinds:
            rate = self._trouble_rate * (0.2 if kind in ("reclaim",
                                                         "cancel") else 1.0)
            if self.rng.random() < rate * self.tick_s:
                self.log(f"trouble: {kind}")
                self._troubles[kind]()

    def _end_troubles(self) -> None:
        if self._has_ended_troubles:
            return
        self._has_ended_troubles = True
        self.log("calm")
        super()._end_troubles()
        self.move_rate = 1.0
        for until in (self._status_loss_until, self._reports_lost_until,
                      self._crashes_until):
            until.clear()
        self._order_loss_until = dict.fromkeys(self._list_deaf_workers(),
                                               float("inf"))
        self._registry_down_until = 0.0
        for worker in self.workers.values():
            worker.failed_share = 0.0
            worker.refuses_until = 0.0
            worker.capacity_share = 1.0
            self._publish(worker, 0.0)

    def _draw_duration(self, minimum_s: float, maximum_s: float) -> float:
        return self.now + self.rng.uniform(minimum_s, maximum_s)

    def _draw_worker(self) -> troubled_workers.LimitedWorker | None:
        workers = [
            worker for worker in self.workers.values() if not worker.is_draining
        ]
        return self.rng.choice(workers) if workers else None

    def _publish(self, worker: troubled_workers.LimitedWorker,
                 max_delay_s: float) -> None:
        """Writes the registry entry of a worker, perhaps late."""

        def write() -> None:
            if self.workers.get(worker.worker_id) is worker:
                self.registry[worker.worker_id] = worker.entry

        self.schedule(self.rng.uniform(0.0, max_delay_s), write)

    def _remove(self, worker: troubled_workers.LimitedWorker,
                max_delay_s: float) -> None:
        """Removes a worker; its registry entry may stay for a while."""
        if self.workers.get(worker.worker_id) is not worker:
            return
        del self.workers[worker.worker_id]
        self.log(f"{worker.worker_id} is gone")
        worker.leave(self.now)

        def delete() -> None:
            if worker.worker_id not in self.workers:
                self.registry.pop(worker.worker_id, None)

        self.schedule(self.rng.uniform(0.0, max_delay_s), delete)

    def _join(self, group: str, worker_id: str = "") -> None:
        if worker_id in self.workers:
            return
        worker = self._build_worker(group, worker_id)
        self._replaced_ids.discard(worker.worker_id)
        self.workers[worker.worker_id] = worker
        self.log(f"{worker.worker_id} joins")
        self._publish(worker, 0.0 if self._is_calm else 1.5)

    def _replace(self, worker: troubled_workers.LimitedWorker) -> None:
        """Lets another worker join, perhaps at the same address."""
        if self.rng.random() < 0.4 and worker.worker_id not in self.workers:
            self._replaced_ids.add(worker.worker_id)
        self._join(worker.group)

    def _leave_in_order(self, worker: troubled_workers.LimitedWorker,
                        notice_s: float, join_delay_s: float) -> None:
        worker.is_draining = True
        self._publish(worker, 1.0)
        self.schedule(notice_s, lambda: self._remove(worker, 3.0))
        self.schedule(notice_s + join_delay_s, lambda: self._replace(worker))

    def _drain_worker(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            self._leave_in_order(worker, self.rng.uniform(0.5, 3.0),
                                 self.rng.uniform(0.2, 8.0))

    def _reclaim_group(self) -> None:
        group = self.rng.choice(fleets.GROUPS)
        for worker in list(self.workers.values()):
            if worker.group == group and not worker.is_draining:
                self._leave_in_order(worker, 2.5, self.rng.uniform(7.5, 17.5))

    def _restart_worker(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            self._restart(worker, self.rng.uniform(0.2, 6.0))

    def _restart(self, worker: troubled_workers.LimitedWorker,
                 delay_s: float) -> None:
        self._remove(worker, 3.0)
        self.schedule(delay_s,
                      lambda: self._join(worker.group, worker.worker_id))

    def _lose_worker(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            self._remove(worker, 6.0)
            self.schedule(self.rng.uniform(1.0, 12.0),
                          lambda: self._replace(worker))

    def _handle_start(self, worker: troubled_workers.LimitedWorker) -> None:
        if (self.now < self._crashes_until.get(worker.group, 0.0) and
                self.rng.random() < 0.4):
            self.schedule(self.rng.uniform(0.0, 0.3),
                          lambda: self._crash(worker))

    def _crash(self, worker: troubled_workers.LimitedWorker) -> None:
        if self.workers.get(worker.worker_id) is worker:
            self.log(f"{worker.worker_id} crashes")
            self._restart(worker, self.rng.uniform(0.2, 4.0))

    def _crash_starts(self) -> None:
        self._crashes_until[self.rng.choice(
            fleets.GROUPS)] = self._draw_duration(0.5, 4.0)

    def _lose_orders(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            self._order_loss_until[worker.worker_id] = max(
                self._draw_duration(0.5, 8.0),
                self._order_loss_until.get(worker.worker_id, 0.0))

    def _lose_orders_for_good(self) -> None:
        """Lets one worker reply to status calls only, also in the calm time."""
        worker = self._draw_worker()
        if worker is not None and not self._list_deaf_workers():
            self._order_loss_until[worker.worker_id] = float("inf")

    def _list_deaf_workers(self) -> set[str]:
        return {
            worker_id for worker_id, until in self._order_loss_until.items()
            if until == float("inf")
        }

    def _lose_status_replies(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            self._status_loss_until[worker.worker_id] = self._draw_duration(
                0.5, 8.0)

    def _cut_worker(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            self._cut_until[worker.worker_id] = self._draw_duration(0.3, 9.0)

    def _refuse_starts(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            worker.refuses_until = self._draw_duration(1.0, 8.0)

    def _shrink_worker(self) -> None:
        worker = self._draw_worker()
        if worker is None:
            return
        worker.capacity_share = self.rng.uniform(0.2, 0.7)
        self._publish(worker, 3.0)

        def grow() -> None:
            worker.capacity_share = 1.0
            self._publish(worker, 3.0)

        self.schedule(self.rng.uniform(1.0, 10.0), grow)

    def _evacuate_group(self) -> None:
        self._evacuated_until[self.rng.choice(
            fleets.GROUPS)] = self._draw_duration(0.5, 10.0)

    def _lapse_entry(self) -> None:
        worker = self._draw_worker()
        if worker is not None:
            self.registry.pop(worker.worker_id, None)
            self.schedule(self.rng.uniform(0.5, 7.0),
                          lambda: self._publish(worker, 0.0))

    def _fail_runs(self) -> None:
        worker = self._draw_worker()
        if worker is None:
            return
        worker.failed_share = troubled_workers.FAILED_SHARE_OF_SICK_WORKER

        def recover() -> None:
            worker.failed_share = 0.0

        self.schedule(self.rng.uniform(1.0, 8.0), recover)

    def _stop_store(self) -> None:
        self._store_down_until = self._draw_duration(0.2, 4.0)

    def _lose_reports(self) -> None:
        self._reports_lost_until[self.rng.choice(
            fleets.GROUPS)] = self._draw_duration(0.5, 8.0)

    def _stop_registry(self) -> None:
        self._registry_down_until = self._draw_duration(0.5, 5.0)

    def _cancel_job(self) -> None:
        tasks = self._list_long_running_tasks()
        if tasks and not self.store.is_down:
            job_id = self.rng.choice(tasks).job_id
            self._long_running_count -= 1
            self.store.append("", 1, [dispatch.CancelledRecord(job_id)])

    # Jobs.

    def _accept_job(self) -> None:
        number = next(self._job_numbers)
        if (self._long_running_count < MAX_LONG_RUNNING_JOBS and
                self.rng.random() < 0.4):
            step = builders.build_step(self.rng.randint(4, 6),
                                       cpu_millis=self.rng.randint(5, 40) * 100,
                                       memory_mib=self.rng.randint(1, 40) * 100,
                                       is_long_running=True,
                                       max_tasks_per_worker=self.rng.choice(
                                           (0, 0, 0, 2)))
            job_id = (f"{leaving_workers.LONG_RUNNING_JOB_PREFIX}"
                      f"{number:015x}")
        elif number < MAX_SHORT_JOBS:
            step = builders.build_step(self.rng.randint(1, 4),
                                       cpu_millis=self.rng.randint(5, 40) * 100,
                                       memory_mib=self.rng.randint(1, 60) * 100)
            job_id = f"{number:016x}"
        else:
            return
        job = builders.build_job(job_id, step)
        daemon_number = self.rng.randrange(len(self._daemons))
        daemon = self._daemons[daemon_number]
        needed_cpu_millis = dispatch.sum_long_running_cpu(
            (entry.job, entry.assignment)
            for entry in daemon.table.jobs.values()
            if not entry.state.is_final)
        admission = dispatch.decide_admission(
            job,
            dispatch.include_unreported_jobs(daemon.reports, needed_cpu_millis),
            fleets.GROUPS[daemon_number], self.now)
        if not admission.assignment:
            return
        job = job._replace(assignment=admission.assignment)
        self._jobs[job_id] = job
        self._long_running_count += job.is_long_running
        self.store.append("", 1, [dispatch.AcceptedRecord(job, "a#1")])
