"""Tests of moves of waiting jobs between groups."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders

GROUPS = ("n1", "n2", "n3")
TICK_S = 0.05
REPORT_INTERVAL_S = 0.3
READ_DELAY_S = 0.1


class SiteModel:
    """Simulates groups of one worker each that move jobs to each other.

    The leaders read records `READ_DELAY_S` after they were appended, and get a
    load report of each group every `REPORT_INTERVAL_S`.

    Attributes:
        now: Simulated monotonic time in seconds.
        drivers: Driver of the scheduler of each group, by group.
        moves: Time and record of each move, in order.
        starts: Time and start order of each start, in order.
    """

    def __init__(self, **worker_fields) -> None:
        self.now = 100.0
        self.drivers = {
            group:
                builders.GroupDriver(builders.build_worker(group,
                                                           domain=group,
                                                           **worker_fields),
                                     now=self.now,
                                     group=group) for group in GROUPS
        }
        self.moves: list[tuple[float, dispatch.MovedRecord]] = []
        self.starts: list[tuple[float, dispatch.StartOrder]] = []
        self._table = dispatch.JobTable()
        self._appended: list[tuple[float, dispatch.Record]] = []
        self._reports: dict[str, dispatch.GroupReport] = {}
        self._active_runs: dict[str, list] = {group: [] for group in GROUPS}

    def accept(self, group: str, job_id: str, *steps: model.Step) -> None:
        """Accepts a job for a group."""
        job = builders.build_job(job_id, *steps, assignment=(group,))
        self._append(dispatch.AcceptedRecord(job, "a#1"))

    def count_moves(self, job_id: str) -> int:
        """Returns how often a job was moved."""
        return sum(1 for _, move in self.moves if move.job_id == job_id)

    def run(self, duration_s: float) -> None:
        """Lets the leaders plan for some time; no run ends."""
        for _ in range(round(duration_s / TICK_S)):
            self.now += TICK_S
            self._read_records()
            tick = round(self.now / TICK_S)
            for number, (group, driver) in enumerate(self.drivers.items()):
                driver.now = self.now
                if (tick + 2 * number) % round(REPORT_INTERVAL_S / TICK_S) == 0:
                    self._report(group, driver)
                self._run_planning_pass(group, driver)

    def _append(self, record: dispatch.Record) -> None:
        self._appended.append((self.now + READ_DELAY_S, record))

    def _read_records(self) -> None:
        while self._appended and self._appended[0][0] <= self.now:
            stored = dispatch.encode_record(self._appended.pop(0)[1])
            self._table.apply(stored._replace(offset=self._table.position),
                              self.now)
        for job_id in self._table.take_changed_jobs():
            for driver in self.drivers.values():
                driver.scheduler.put_job(self._table.jobs[job_id])

    def _report(self, group: str, driver: builders.GroupDriver) -> None:
        self._reports[group] = dispatch.GroupReport(
            driver.scheduler.compute_load(self.now), self.now)

    def _run_planning_pass(self, group: str,
                           driver: builders.GroupDriver) -> None:
        scheduler = driver.scheduler
        for move in dispatch.plan_moves(
                scheduler, lambda: scheduler.compute_load(self.now),
                self._reports, self.now):
            record = dispatch.MovedRecord(move.job.job.job_id, group,
                                          move.indexes, move.group, move.number)
            self.moves.append((self.now, record))
            self._append(record)
        for order in driver.start_all():
            self.starts.append((self.now, order))
            self._active_runs[group].append(builders.build_active_run(order))
        driver.apply_status(group, running=tuple(self._active_runs[group]))


class WaitingJobTest(unittest.TestCase):
    """Tests of jobs that wait although other groups look less loaded."""

    def test_job_that_fits_nowhere_stays(self):
        """Checks that a job without a suitable worker stays in its group.

        The groups are equal and have no other jobs. Guards against a group
        that looks more loaded than the others because of the job itself, so
        that the job moves in a circle and never starts.
        """
        for is_best_effort in (True, False):
            with self.subTest(is_best_effort=is_best_effort):
                site = SiteModel()
                job_id = "00000000000000aa"
                site.accept(
                    "n1", job_id,
                    builders.build_step(2,
                                        is_best_effort=is_best_effort,
                                        memory_mib=20_000))
                site.run(10.0)
                self.assertEqual(site.count_moves(job_id), 0)
