"""Tests of moves of waiting jobs between groups."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
GROUPS = ("n1", "n2", "n3")
TICK_S = 0.05
REPORT_INTERVAL_S = 0.3
READ_DELAY_S = 0.1


class JobTopic:
    """Applies records to a table, each at the next offset.

    Attributes:
        table: The table.
    """

    def __init__(self) -> None:
        self.table = dispatch.JobTable()

    def add(self, *records: dispatch.Record) -> None:
        """Appends records."""
        for record in records:
            stored = dispatch.encode_record(record)
            self.table.apply(stored._replace(offset=self.table.position), 1.0)


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
        self._topic = JobTopic()
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
            self._topic.add(self._appended.pop(0)[1])
        for job_id in self._topic.table.take_changed_jobs():
            for driver in self.drivers.values():
                driver.scheduler.put_job(self._topic.table.jobs[job_id])

    def _report(self, group: str, driver: builders.GroupDriver) -> None:
        self._reports[group] = dispatch.GroupReport(
            driver.scheduler.compute_load(self.now), self.now)

    def _run_planning_pass(self, group: str,
                           driver: builders.GroupDriver) -> None:
        scheduler = driver.scheduler
        for move in scheduler.plan_moves(
                lambda: scheduler.compute_load(self.now), self._reports,
                self.now):
            self.moves.append((self.now, move.record))
            self._append(move.record)
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
                site.accept(
                    "n1", JOB_ID,
                    builders.build_step(2,
                                        is_best_effort=is_best_effort,
                                        memory_mib=20_000))
                site.run(10.0)
                self.assertEqual(site.count_moves(JOB_ID), 0)


class BusySiteTest(unittest.TestCase):
    """Tests of many best-effort jobs that wait in one of three busy groups.

    The tasks of other jobs leave no spare CPU in any group, and do not end.
    """

    def setUp(self):
        self.site = SiteModel()
        for number, group in enumerate(GROUPS):
            self.site.accept(group, f"{number:016x}",
                             builders.build_step(10, is_best_effort=True))
        self.site.run(1.0)
        self.job_ids = [f"{number:016x}" for number in range(16, 28)]
        for job_id in self.job_ids:
            self.site.accept("n1", job_id,
                             builders.build_step(2, is_best_effort=True))
        self.accepted_at = self.site.now

    def test_moved_jobs_start_after_their_whole_wait(self):
        """Checks that moved jobs start when they have waited 2 s in all groups.

        A job without runs may then ignore the lack of spare CPU. Guards against
        jobs that lose their waiting time with each move and never start.
        """
        self.site.run(3.0)
        started_ids = {
            order.task.job_id
            for started_at, order in self.site.starts
            if started_at > self.accepted_at
        }
        self.assertEqual(started_ids, set(self.job_ids))

    def test_jobs_spread_over_the_less_loaded_groups(self):
        """Checks that jobs move at most once, and to both other groups.

        No group gets all of them. Guards against leaders that send all waiting
        jobs to the group that had the least load in the last report.
        """
        self.site.run(1.9)
        for job_id in self.job_ids:
            self.assertLessEqual(self.site.count_moves(job_id), 1)
        move_counts = {
            group:
                sum(1
                    for _, move in self.site.moves
                    if move.destination_group == group) for group in GROUPS
        }
        self.assertEqual(move_counts["n1"], 0)
        for group in ("n2", "n3"):
            self.assertGreaterEqual(move_counts[group], 2)
            self.assertLessEqual(move_counts[group], 5)


class RoomTest(unittest.TestCase):
    """Tests of a best-effort job that no worker of its group may run.

    The only worker has a latency-critical task whose latency is near its limit,
    and nothing else.
    """

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(
                    "00000000000000cc",
                    builders.build_step(is_long_running=True,
                                        tail_latency_limit_ms=20,
                                        image="web"))))
        (self.service_order,) = self.driver.start_all()
        self.apply_latency()
        self.driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(
                    JOB_ID,
                    builders.build_step(2, is_best_effort=True,
                                        image="batch"))))
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.now += 0.5
        self.apply_latency()

    def apply_latency(self) -> None:
        """Reports a latency of 17 ms, with a limit of 20 ms."""
        self.driver.apply_status(
            running=(builders.build_active_run(self.service_order, 100, 17),))

    def plan_moves(self, running_count: int) -> list[str]:
        """Plans moves while another group runs some best-effort tasks.

        Returns:
            Destinations of the moves.
        """
        other_driver = builders.GroupDriver(builders.build_worker(),
                                            now=self.driver.now)
        other_driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(
                    "00000000000000bb",
                    builders.build_step(running_count, is_best_effort=True))))
        self.assertEqual(len(other_driver.start_all()), running_count)
        scheduler = self.driver.scheduler
        report = dispatch.GroupReport(
            other_driver.scheduler.compute_load(self.driver.now),
            self.driver.now)
        moves = scheduler.plan_moves(
            lambda: scheduler.compute_load(self.driver.now),
            {"north-2": report}, self.driver.now)
        return [move.choice.group for move in moves]

    def test_job_moves_where_its_tasks_may_start(self):
        """Checks that the job moves to a more loaded group that has room.

        Guards against a job that waits in a group with little load, although
        its tasks would start at once in another one.
        """
        self.assertEqual(self.plan_moves(8), ["north-2"])

    def test_delay_grows_less_if_a_group_has_room(self):
        """Checks that a job that was moved twice soon moves to free room.

        After more moves it stays longer. Guards against a job that waits for
        seconds because of former moves, although its tasks may start elsewhere.
        """
        job_run = self.driver.scheduler.jobs[JOB_ID]
        job_run.moves_without_start = 4
        self.assertEqual(self.plan_moves(8), [])
        job_run.moves_without_start = 2
        self.assertEqual(self.plan_moves(8), ["north-2"])

    def test_job_stays_if_there_is_no_room_elsewhere(self):
        """Checks that the job stays while the other group has no spare CPU.

        Guards against moves to groups where the job has to wait, too.
        """
        self.assertEqual(self.plan_moves(10), [])

    def test_job_stays_if_its_image_cannot_run_elsewhere(self):
        """Checks that the job stays if its image interferes in the other group.

        That group has less load, but no worker on which the image may run.
        Guards against moves between groups of which none can run the job.
        """
        scheduler = self.driver.scheduler
        load = scheduler.compute_load(self.driver.now)
        loads = [
            load._replace(best_effort_cpu_millis=cpu_millis,
                          image_capacities=(dispatch.ImageCapacity("batch",
                                                                   0),))
            for cpu_millis in (50_000, 5_000)
        ]
        moves = scheduler.plan_moves(
            lambda: loads[0],
            {"north-2": dispatch.GroupReport(loads[1], self.driver.now)},
            self.driver.now)
        self.assertEqual(moves, [])


class KnownProgressTest(unittest.TestCase):
    """Tests of progress in another group of a job that the leader knows.

    The first step of the job has two tasks, the second one task.
    """

    def setUp(self):
        self.topic = JobTopic()
        self.driver = builders.GroupDriver(builders.build_worker())
        job = builders.build_job(JOB_ID,
                                 builders.build_step(2, has_checkpoints=True),
                                 builders.build_step(depends_on=(0,)))
        self.topic.add(dispatch.AcceptedRecord(job, "a#1"))
        self.put_job()
        self.job_run = self.driver.scheduler.jobs[JOB_ID]

    def put_job(self) -> None:
        """Hands the state of the job in the topic to the leader."""
        self.driver.scheduler.put_job(self.topic.table.jobs[JOB_ID])

    def build_other_progress(self, *done_tasks: model.TaskKey,
                             last_run_number: int) -> dispatch.ProgressRecord:
        """Builds progress that the leader of another group stores."""
        other_run = dispatch.JobRun(self.topic.table.jobs[JOB_ID], "north-2",
                                    True)
        for task in done_tasks:
            other_run.mark_task_done(task)
        other_run.last_run_number = last_run_number
        return other_run.build_progress("north-2", 2 * builders.EPOCH)

    def add_return(self, *done_tasks: model.TaskKey,
                   last_run_number: int) -> None:
        """Stores a move to another group, progress there, and a move back."""
        move_number = self.job_run.begin_move()
        self.topic.add(
            self.job_run.build_progress("north-1", builders.EPOCH),
            dispatch.MovedRecord(JOB_ID, "north-1", (), "north-2", move_number))
        self.topic.add(
            self.build_other_progress(*done_tasks,
                                      last_run_number=last_run_number),
            dispatch.MovedRecord(JOB_ID, "north-2", (), "north-1",
                                 last_run_number + 1))

    def test_task_done_elsewhere_is_not_started_again(self):
        """Checks that a job that was moved away and back keeps its done tasks.

        The first group's leader reads both moves at once, as after an outage of
        the store. Guards against a second run of a task that is done, and
        against run numbers below those of the other group.
        """
        self.add_return(model.TaskKey(JOB_ID, 0, 0, 0),
                        last_run_number=10_000_000)
        self.put_job()
        (order,) = self.driver.start_all()
        self.assertEqual(order.task, model.TaskKey(JOB_ID, 0, 0, 1))
        self.assertGreater(order.run, 10_000_001)

    def test_returned_job_resumes_from_its_newest_checkpoint(self):
        """Checks that a job that came back resumes from the other checkpoint.

        Guards against work that is lost because the first group's leader goes
        on with the checkpoint that it knew before the job moved.
        """
        self.job_run.steps[0, 0].checkpoints[0] = "old"
        move_number = self.job_run.begin_move()
        self.topic.add(
            dispatch.MovedRecord(JOB_ID, "north-1", (), "north-2", move_number),
            dispatch.ProgressRecord(
                JOB_ID, "north-2", 2 * builders.EPOCH, model.JobState.RUNNING,
                10, (), (dispatch.TaskProgress(0, 0, 0, 0, "new"),)),
            dispatch.MovedRecord(JOB_ID, "north-2", (), "north-1", 11))
        self.put_job()
        self.assertEqual(
            [order.checkpoint for order in self.driver.start_all()],
            ["new", ""])

    def test_failures_in_both_groups_count(self):
        """Checks that failures here and in another group add up to the limit.

        The job may fail three times. Guards against more attempts than the
        queue allows, because each group counts only its own failures.
        """
        task = model.TaskKey(JOB_ID, 0, 0, 0)
        self.job_run.count_failure(task, 1)
        self.topic.add(
            dispatch.ProgressRecord(
                JOB_ID, "north-2", 2 * builders.EPOCH, model.JobState.RUNNING,
                10, (), (dispatch.TaskProgress(0, 0, 0, 2, "", 9, (8, 9)),)))
        self.put_job()
        self.assertTrue(self.job_run.has_ended)

    def test_wait_begins_anew_after_a_return(self):
        """Checks that a job that came back has waited as its last move says.

        Guards against a job that moves or ignores interference at once because
        of a wait before it ran in another group.
        """
        self.driver.scheduler.is_evacuated = True
        self.driver.plan()
        self.driver.now += 3.0
        self.assertEqual(self.job_run.compute_waited_s(self.driver.now), 3.0)
        self.add_return(last_run_number=10)
        self.put_job()
        self.assertEqual(self.job_run.compute_waited_s(self.driver.now), 0.0)

    def test_late_progress_takes_effect(self):
        """Checks that progress stored after the move to this group counts.

        The former group's leader learns of an end while its move is pending.
        Guards against a second run of a task whose end is stored.
        """
        self.topic.add(
            self.build_other_progress(model.TaskKey(JOB_ID, 0, 0, 0),
                                      last_run_number=0))
        self.put_job()
        self.assertEqual(
            [order.task.index for order in self.driver.start_all()], [1])

    def test_job_ends_when_both_groups_did_its_tasks(self):
        """Checks that a job ends when the other group did the tasks missing.

        Guards against a job that stays unfinished because no leader has ended
        its last task.
        """
        for step in (0, 1):
            self.job_run.mark_task_done(model.TaskKey(JOB_ID, 0, step, 0))
        self.topic.add(
            self.build_other_progress(model.TaskKey(JOB_ID, 0, 0, 1),
                                      last_run_number=0))
        self.put_job()
        (record,) = self.driver.scheduler.take_dirty_progress()
        self.assertIs(record.state, model.JobState.COMPLETED)


class WaitingTimeTest(unittest.TestCase):
    """Tests of the waiting time of jobs that were moved."""

    def test_waiting_time_counts_in_all_groups(self):
        """Checks that a moved job starts when it has waited long enough in all.

        Other best-effort tasks leave no spare CPU on the worker. The job waited
        1.5 s in its former group, and starts 0.6 s after its move, because it
        may ignore the lack of spare CPU after 2 s. Guards against a job that
        loses its waiting time with each move, so that it never starts.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job("00000000000000bb",
                                   builders.build_step(10,
                                                       is_best_effort=True))))
        self.assertEqual(len(driver.start_all()), 10)
        topic = JobTopic()
        job = builders.build_job(JOB_ID,
                                 builders.build_step(is_best_effort=True),
                                 assignment=("north-2",))
        topic.add(
            dispatch.AcceptedRecord(job, "a#1"),
            dispatch.ProgressRecord(JOB_ID, "north-2", 64,
                                    model.JobState.QUEUED, 1),
            dispatch.MovedRecord(JOB_ID, "north-2", (), "north-1", 1, 1500, 1))
        driver.scheduler.put_job(topic.table.jobs[JOB_ID])
        self.assertEqual(driver.plan_starts(), [])
        driver.now += 0.4
        self.assertEqual(driver.plan_starts(), [])
        driver.now += 0.2
        self.assertEqual([order.task.job_id for order in driver.start_all()],
                         [JOB_ID])

    def test_start_ends_the_waiting_time(self):
        """Checks that the waiting time of a moved job ends with its first run.

        A later progress record shows that a task has started. Guards against a
        job that ignores interference for ever because it once waited.
        """
        topic = JobTopic()
        job = builders.build_job(JOB_ID, assignment=("north-2",))
        topic.add(
            dispatch.AcceptedRecord(job, "a#1"),
            dispatch.MovedRecord(JOB_ID, "north-2", (), "north-1", 1, 1500, 1))
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(topic.table.jobs[JOB_ID])
        job_run = driver.scheduler.jobs[JOB_ID]
        self.assertEqual(job_run.compute_waited_s(driver.now), 1.5)
        self.assertEqual(job_run.moves_without_start, 1)
        driver.start_all()
        self.assertEqual(job_run.compute_waited_s(driver.now), 0.0)
        self.assertEqual(job_run.moves_without_start, 0)
        topic.add(job_run.build_progress("north-1", builders.EPOCH))
        self.assertEqual(topic.table.jobs[JOB_ID].waited_ms, 0)
        self.assertEqual(topic.table.jobs[JOB_ID].moves_without_start, 0)

    def test_record_without_waiting_time_is_readable(self):
        """Checks that a move that an older daemon stored still takes effect.

        Guards against a topic that cannot be read after an upgrade.
        """
        record = dispatch.MovedRecord(JOB_ID, "north-2", (), "north-1", 1)
        stored = dispatch.encode_record(record)
        fields = dispatch.decode_value(stored.value, list)
        old_stored = stored._replace(value=dispatch.encode_value(fields[:5]))
        self.assertEqual(dispatch.decode_record(old_stored), record)


class MoveDelayTest(unittest.TestCase):
    """Tests of how long a job stays in a group before it may move."""

    def test_delay_grows_with_each_move_without_a_start(self):
        """Checks that a job that was moved stays longer in each next group.

        Guards against a job that goes on moving at a high rate, because the
        loads of the groups change faster than it can be placed.
        """
        for move_count, delay_s in ((0, 0.4), (1, 0.8), (3, 3.2), (20, 6.4)):
            with self.subTest(move_count=move_count):
                driver = builders.GroupDriver(builders.build_worker())
                entry = builders.build_job_entry(
                    builders.build_job(JOB_ID,
                                       builders.build_step(memory_mib=20_000)))
                driver.scheduler.put_job(
                    entry._replace(moves_without_start=move_count))
                driver.plan()
                free_load = driver.scheduler.compute_load(
                    driver.now)._replace(short_backlog_ms=0)
                self.assertEqual(self.plan_moves(driver, free_load), [])
                driver.now += delay_s - 0.05
                driver.apply_status()
                self.assertEqual(self.plan_moves(driver, free_load), [])
                driver.now += 0.1
                driver.apply_status()
                self.assertEqual(len(self.plan_moves(driver, free_load)), 1)

    def plan_moves(
            self, driver: builders.GroupDriver,
            other_load: dispatch.GroupLoad) -> list[dispatch.PlannedMove]:
        """Plans moves of a group that has a long backlog."""
        own_load = driver.scheduler.compute_load(driver.now)
        return driver.scheduler.plan_moves(
            lambda: own_load._replace(short_backlog_ms=10_000),
            {"north-2": dispatch.GroupReport(other_load, driver.now)},
            driver.now)
