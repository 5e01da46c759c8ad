"""Simulated workers that crash, and the store through which leaders change."""

import datetime
from typing import NamedTuple

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

TICK_S = 0.05
"""Time in seconds between two status reports, flushes and planning passes."""

RESTART_S = 3.0
"""Time in seconds after which a crashed worker is replaced by a new one."""

PERMIT_VALIDITY = datetime.timedelta(seconds=30)


class SimulatedRun(NamedTuple):
    """Run on a simulated worker; times are in seconds.

    Attributes:
        order: Order that started the run.
        ends_at: Time at which the run succeeds.
    """

    order: dispatch.StartOrder
    ends_at: float


class SimulatedWorker:
    """Worker that executes start orders.

    Attributes:
        entry: Registry entry of the worker.
        runs: Active runs.
        ended: All ends of runs, as the worker reports them.
        crashed_at: Time of the crash in seconds; None while the worker is up.
    """

    def __init__(self, entry: ports.WorkerEntry):
        self.entry = entry
        self.runs: list[SimulatedRun] = []
        self.ended: list[ports.EndedRun] = []
        self.crashed_at: float | None = None

    def end_run(self, run: SimulatedRun, cause: ports.EndCause) -> None:
        """Ends a run, which the next status report lists."""
        self.runs.remove(run)
        self.ended.append(
            builders.build_ended_run(run.order,
                                     len(self.ended) + 1, cause))


class SimulatedCluster:
    """Runs one group's leader against simulated workers and a stored topic.

    A task of `crashing_tasks` crashes each worker that starts it.

    Attributes:
        driver: Driver of the present leader.
        workers: Workers by identifier; a worker that has crashed is replaced by
            one with another identifier.
        table: State of the job topic.
        crashing_tasks: Tasks that crash their workers.
        silent_tasks: Tasks whose start orders get no reply.
        starts: All start orders that reached a worker.
    """

    def __init__(self, *entries: ports.WorkerEntry, task_s: float = 2.0):
        self.table = dispatch.JobTable()
        self.workers = {
            entry.worker_id: SimulatedWorker(entry) for entry in entries
        }
        self.driver = builders.GroupDriver(*entries)
        self.crashing_tasks: set[model.TaskKey] = set()
        self.silent_tasks: set[model.TaskKey] = set()
        self.starts: list[dispatch.StartOrder] = []
        self._task_s = task_s
        self._epoch = builders.EPOCH
        self._offset = 100
        self._replacement_count = 0

    def store(self, record: dispatch.Record) -> None:
        """Appends a record to the topic, and applies it to the table."""
        self._offset += 1
        stored = dispatch.encode_record(record)
        self.table.apply(
            ports.KeyedRecord(stored.key, stored.value, self._offset),
            self.driver.now)

    def accept(self, job: model.SteppedJob) -> None:
        """Stores a job and hands it to the leader."""
        self.store(dispatch.AcceptedRecord(job, "daemon#1"))
        self.driver.scheduler.put_job(self.table.jobs[job.job_id])

    def crash(self, *worker_ids: str) -> None:
        """Crashes workers; the leader notices it at once."""
        for worker_id in worker_ids:
            worker = self.workers[worker_id]
            if worker.crashed_at is None:
                worker.crashed_at = self.driver.now
                lost_runs, worker.runs = worker.runs, []
                for run in lost_runs:
                    self._break_gang(run.order)
                self.driver.scheduler.mark_unreachable(worker_id,
                                                       self.driver.now)

    def remove(self, worker_id: str) -> None:
        """Crashes a worker that is not replaced."""
        self.crash(worker_id)
        del self.workers[worker_id]

    def change_leader(self, group: str = "north-1") -> None:
        """Replaces the leader by one that knows only what is stored.

        The record of the former leader lists all workers, also those that have
        crashed and are not replaced yet. With another group, the jobs of the
        topic and the workers that are up count as those of that group.
        """
        has_moved = group != self.driver.scheduler.group
        self._epoch += 1
        self.driver = builders.GroupDriver(now=self.driver.now,
                                           group=group,
                                           epoch=self._epoch,
                                           leadership_offset=self._offset)
        for worker in self.workers.values():
            if not has_moved:
                self.driver.scheduler.put_recorded_worker(
                    worker.entry, self.driver.now)
            if worker.crashed_at is None:
                self.driver.add_worker(worker.entry)
        for entry in self.table.jobs.values():
            self.driver.scheduler.put_job(entry)
        self._report()

    def run_for(self, seconds: float) -> None:
        """Advances the simulated time by `seconds`."""
        end = self.driver.now + seconds
        while self.driver.now < end:
            self.driver.now += TICK_S
            self._replace_crashed_workers()
            self._report()
            self.flush()
            self.plan()

    def flush(self) -> None:
        """Stores the changed progress and shows the leader the new state."""
        for record in self.driver.flush():
            self.store(record)
            if record.state.is_final:
                self.driver.scheduler.forget_job(record.job_id)
            else:
                self.driver.scheduler.put_job(self.table.jobs[record.job_id])

    def plan(self) -> None:
        """Makes a plan and carries out its orders."""
        for order in self.driver.plan():
            if isinstance(order, dispatch.StartOrder):
                self._start(order)
            elif isinstance(order, dispatch.StopOrder):
                self._stop(order)
            elif isinstance(order, dispatch.PermitRequest):
                self.driver.scheduler.apply_permits(
                    order,
                    ports.PermitReply(dict.fromkeys(order.workers, "permit"),
                                      PERMIT_VALIDITY), self.driver.now,
                    self.driver.now)

    def get_state(self, job_id: str) -> model.JobState:
        """Returns the stored state of a job."""
        return self.table.jobs[job_id].state

    def count_starts(self, task: model.TaskKey) -> int:
        """Returns how often a task was started."""
        return sum(order.task == task for order in self.starts)

    def _start(self, order: dispatch.StartOrder) -> None:
        worker = self.workers.get(order.worker_id)
        if worker is None or worker.crashed_at is not None:
            self.driver.apply_start_outcome(order, ports.StartOutcome.UNKNOWN)
            return
        self.starts.append(order)
        worker.runs.append(SimulatedRun(order, self.driver.now + self._task_s))
        self.driver.apply_start_outcome(
            order, ports.StartOutcome.UNKNOWN
            if order.task in self.silent_tasks else ports.StartOutcome.STARTED)
        if order.task in self.crashing_tasks:
            self.crash(order.worker_id)

    def _break_gang(self, lost_order: dispatch.StartOrder) -> None:
        """Ends the other members of a gang that has lost one."""
        job = self.table.jobs[lost_order.task.job_id].job
        if not job.steps[lost_order.task.step].is_gang:
            return
        for worker in self.workers.values():
            for run in list(worker.runs):
                if (run.order.task[:3], run.order.run) == (lost_order.task[:3],
                                                           lost_order.run):
                    worker.end_run(run, ports.EndCause.GANG_MEMBER_ENDED)

    def _has_all_members(self, run: SimulatedRun) -> bool:
        """Returns whether all members of a gang are present."""
        job = self.table.jobs[run.order.task.job_id].job
        step = job.steps[run.order.task.step]
        member_count = sum(
            (other.order.task[:3], other.order.run) == (run.order.task[:3],
                                                        run.order.run)
            for worker in self.workers.values()
            for other in worker.runs)
        return not step.is_gang or member_count == step.count

    def _stop(self, order: dispatch.StopOrder) -> None:
        worker = self.workers.get(order.worker_id)
        is_up = worker is not None and worker.crashed_at is None
        for run in list(worker.runs) if is_up else ():
            if (run.order.task, run.order.run) == (order.task, order.run):
                worker.end_run(run, ports.EndCause.STOPPED)
        self.driver.scheduler.apply_stop_reply(order, is_up, self.driver.now)

    def _replace_crashed_workers(self) -> None:
        for worker_id, worker in list(self.workers.items()):
            if (worker.crashed_at is None or
                    self.driver.now - worker.crashed_at < RESTART_S):
                continue
            self._replacement_count += 1
            entry = worker.entry._replace(
                worker_id=f"{worker_id.partition('-')[0]}-"
                f"{self._replacement_count}")
            del self.workers[worker_id]
            self.workers[entry.worker_id] = SimulatedWorker(entry)
            self.driver.scheduler.remove_replaced_worker(
                worker_id, self.driver.now)
            self.driver.add_worker(entry)

    def _report(self) -> None:
        for worker_id, worker in self.workers.items():
            if worker.crashed_at is not None:
                continue
            for run in list(worker.runs):
                job = self.table.jobs[run.order.task.job_id].job
                if run.ends_at <= self.driver.now and not job.is_long_running:
                    worker.end_run(
                        run, ports.EndCause.DONE if self._has_all_members(run)
                        else ports.EndCause.GANG_INCOMPLETE)
            self.driver.scheduler.workers[worker_id].extend_lease(
                self.driver.now, builders.LEASE)
            self.driver.apply_status(
                worker_id,
                running=tuple(
                    builders.build_active_run(run.order, 100)
                    for run in worker.runs),
                ended=tuple(worker.ended))
