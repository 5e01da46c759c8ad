"""Tests of the state machine of a group."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB = "00000000000000aa"


class OneRunTest(unittest.TestCase):
    """A task has at most one run that has not certainly ended."""

    def test_silent_worker_keeps_its_runs_until_the_lease_has_lapsed(self):
        """Guards against a second run while a cut-off worker runs on."""
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        (order,) = driver.start()
        worker = driver.scheduler.workers[order.worker_id]
        worker.extend_lease(driver.now, builders.LEASE)
        driver.scheduler.note_no_reply(order.worker_id)
        for seconds, expected in ((1.0, 0), (4.0, 0), (0.2, 0), (0.3, 1)):
            driver.now += seconds
            other = "w2" if order.worker_id == "w1" else "w1"
            driver.look(other)
            with self.subTest(at=driver.now):
                self.assertEqual(len(driver.plan_starts()), expected)

    def test_unrecorded_worker_gets_no_start(self):
        """Guards against runs on a worker that a successor does not know."""
        driver = builders.GroupDriver()
        driver.scheduler.put_worker(builders.build_worker())
        driver.look()
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        self.assertEqual(driver.plan_starts(), [])
        driver.scheduler.note_workers_recorded(
            driver.scheduler.build_workers_record())
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_successor_waits_for_recorded_worker(self):
        """Guards against a second run of what runs on an unlisted worker."""
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                             driver.now)
        old = builders.build_entry(builders.build_job(JOB), offset=40)
        new = builders.build_entry(builders.build_job("00000000000000bb"),
                                   offset=60)
        driver.scheduler.put_job(old)
        driver.scheduler.put_job(new)
        jobs = [order.task.job_id for order in driver.plan_starts()]
        self.assertEqual(jobs, ["00000000000000bb"])
        row = ports.ActiveRun(model.TaskKey(JOB, 0, 0, 0), 7, "", 0, None)
        driver.look("w2", running=(row,))
        self.assertEqual(driver.plan_starts(), [])

    def test_successor_stops_waiting_after_the_longest_lease(self):
        """Guards against jobs that wait for a worker that never returns."""
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                             driver.now)
        driver.scheduler.put_job(
            builders.build_entry(builders.build_job(JOB), offset=40))
        driver.now += builders.WAIT.total_seconds() + 0.1
        driver.look("w1")
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_adopted_run_keeps_the_former_leaders_lease(self):
        """Guards against a lapse that counts from before the takeover."""
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        row = ports.ActiveRun(model.TaskKey(JOB, 0, 0, 0), 7, "", 0, None)
        driver.look("w1", running=(row,))
        driver.scheduler.note_no_reply("w1")
        driver.now += 1.0
        driver.look("w2")
        self.assertEqual(driver.plan_starts(), [])

    def test_lost_reply_is_resolved_by_a_stop(self):
        """Guards against a start that is carried out after a second one."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        (order,) = driver.plan_starts()
        driver.answer(order, ports.StartOutcome.UNKNOWN)
        driver.look()
        (again,) = driver.plan_starts()
        self.assertEqual((again.task, again.run), (order.task, order.run))
        driver.answer(again, ports.StartOutcome.UNKNOWN)
        driver.look()
        (stop,) = driver.plan_stops()
        self.assertEqual(stop.run, order.run)
        driver.scheduler.apply_stop_reply(stop, True, driver.now)
        self.assertEqual(driver.plan_starts(), [])
        driver.now += 0.1
        driver.look()
        (new,) = driver.plan_starts()
        self.assertGreater(new.run, order.run)

    def test_look_sent_before_the_start_does_not_end_the_run(self):
        """Guards against replies of a look that overtake a start."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        driver.start()
        driver.now += 0.5
        driver.look(sent_ago=1.0)
        self.assertEqual(driver.plan_starts(), [])
        driver.look(sent_ago=0.1)
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_reborn_worker_has_lost_its_runs(self):
        """Guards against waiting for a lease that no longer exists."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        (order,) = driver.start()
        driver.now += 0.2
        driver.look(born_ms=builders.BORN + 500, clock_ms=10)
        (new,) = driver.plan_starts()
        self.assertGreater(new.run, order.run)

    def test_ended_job_is_not_taken_up_from_an_older_record(self):
        """Guards against a second run after the topic is read back late."""
        driver = builders.GroupDriver(builders.build_worker())
        entry = builders.build_entry(builders.build_job(JOB))
        driver.scheduler.put_job(entry)
        (order,) = driver.start()
        driver.look(ended=(builders.build_end(order),))
        (progress,) = driver.scheduler.take_dirty()
        self.assertIs(progress.state, model.JobState.COMPLETED)
        driver.scheduler.forget_job(order.task.job_id)
        older = progress._replace(state=model.JobState.RUNNING, done=())
        driver.scheduler.put_job(entry._replace(progress={"north-1": older}))
        self.assertEqual(driver.plan_starts(), [])

    def test_failures_that_a_former_leader_could_not_store(self):
        """Guards against one more attempt than the queue allows.

        The former leader saw three failures while the store was away. Workers
        list them to its successor, the last one first.
        """
        driver = builders.GroupDriver()
        driver.scheduler.put_job(
            builders.build_entry(builders.build_job(JOB), offset=40))
        task = model.TaskKey(JOB, 0, 0, 0)
        for name in ("w1", "w2", "w3"):
            driver.scheduler.put_recorded_worker(builders.build_worker(name),
                                                 driver.now)
        for name, run in (("w1", 9), ("w2", 7), ("w3", 8)):
            ended = ports.EndedRun(1, task, run, ports.EndCause.FAILED, "")
            driver.look(name, ended=(ended,))
        self.assertEqual(driver.plan_starts(), [])
        job = driver.scheduler.jobs[JOB]
        self.assertIs(job.state, model.JobState.FAILED)
        (progress,) = driver.scheduler.take_dirty()
        self.assertEqual(progress.tasks[0].failed_runs, (7, 8, 9))

    def test_stored_failure_is_counted_once(self):
        """Guards against a job that fails after too few attempts."""
        fact = dispatch.TaskFact(0, 0, 0, 1, "", 7, (7,))
        progress = dispatch.ProgressRecord(JOB,
                                           "north-1",
                                           1,
                                           model.JobState.RUNNING,
                                           7,
                                           tasks=(fact,))
        entry = builders.build_entry(builders.build_job(JOB), offset=40)
        for newer in (progress,
                      progress._replace(tasks=(fact._replace(
                          failed_runs=()),))):
            with self.subTest(fact=newer.tasks[0]):
                driver = builders.GroupDriver(builders.build_worker())
                driver.scheduler.put_job(
                    entry._replace(progress={"north-1": newer}))
                ended = ports.EndedRun(1, model.TaskKey(JOB, 0, 0, 0), 7,
                                        ports.EndCause.FAILED, "")
                driver.look(ended=(ended,))
                step_run = driver.scheduler.jobs[JOB].steps[0, 0]
                self.assertEqual(step_run.failures, {0: 1})

    def test_stranger_of_a_running_task_is_stopped(self):
        """Guards against an order carried out late beside a newer run."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        (order,) = driver.start()
        late = builders.build_row(order)._replace(run=order.run - 1)
        driver.look(running=(builders.build_row(order), late))
        (stop,) = driver.plan_stops()
        self.assertEqual(stop.run, order.run - 1)


class JobTest(unittest.TestCase):
    """Steps, attempts and ends of a job."""

    def test_steps_follow_their_dependencies(self):
        """Guards against a start before the steps that it depends on."""
        driver = builders.GroupDriver(builders.build_worker())
        job = builders.build_job(JOB, builders.build_step(2),
                                 builders.build_step(1, depends_on=(0,)))
        driver.scheduler.put_job(builders.build_entry(job))
        first, second = driver.start()
        driver.look(running=(builders.build_row(second),),
                    ended=(builders.build_end(first, 1),))
        self.assertEqual(driver.plan_starts(), [])
        driver.look(ended=(builders.build_end(second, 2),))
        (last,) = driver.start()
        self.assertEqual(last.task.step, 1)
        driver.look(ended=(builders.build_end(last, 3),))
        (progress,) = driver.scheduler.take_dirty()
        self.assertIs(progress.state, model.JobState.COMPLETED)

    def test_attempts_are_limited(self):
        """Guards against a start after the last attempt failed."""
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        for attempt in range(builders.QUEUE.max_attempts):
            (order,) = driver.start()
            driver.look(order.worker_id,
                        ended=(builders.build_end(order, attempt + 1,
                                                  ports.EndCause.FAILED),))
        self.assertEqual(driver.plan_starts(), [])
        (progress,) = driver.scheduler.take_dirty()
        self.assertIs(progress.state, model.JobState.FAILED)

    def test_failure_counts_once_across_leaders(self):
        """Guards against a job given up for a failure that is listed twice."""
        driver = builders.GroupDriver(builders.build_worker())
        entry = builders.build_entry(builders.build_job(JOB))
        driver.scheduler.put_job(entry)
        (order,) = driver.start()
        end = builders.build_end(order, 1, ports.EndCause.FAILED)
        driver.look(ended=(end,))
        (progress,) = driver.scheduler.take_dirty()
        for _ in range(builders.QUEUE.max_attempts):
            successor = builders.GroupDriver()
            successor.scheduler.put_job(
                entry._replace(progress={"north-1": progress}))
            successor.add_worker(builders.build_worker())
            successor.look(ended=(end,))
            job = successor.scheduler.jobs[JOB]
            progress = job.build_progress("north-1", builders.EPOCH)
        self.assertEqual(progress.tasks[0].failures, 1)
        self.assertFalse(progress.state.is_final)

    def test_lasting_task_is_started_again_however_it_ends(self):
        """Guards against watchers that stay stopped."""
        step = builders.build_step(1, is_long_running=True)
        for number, cause in enumerate(ports.EndCause):
            with self.subTest(cause=cause):
                driver = builders.GroupDriver(builders.build_worker("w1"),
                                              builders.build_worker("w2"))
                driver.scheduler.put_job(
                    builders.build_entry(builders.build_job(JOB, step)))
                (order,) = driver.start()
                driver.look(order.worker_id,
                            ended=(builders.build_end(order, number + 1,
                                                      cause),))
                self.assertEqual(len(driver.plan_starts()), 1)

    def test_progress_survives_a_change_of_leader(self):
        """Guards against tasks that run again after a takeover."""
        driver = builders.GroupDriver(builders.build_worker())
        job = builders.build_job(JOB, builders.build_step(3))
        entry = builders.build_entry(job)
        driver.scheduler.put_job(entry)
        orders = driver.start()
        driver.look(running=tuple(map(builders.build_row, orders[1:])),
                    ended=(builders.build_end(orders[0]),))
        (progress,) = driver.scheduler.take_dirty()
        stored = dispatch.encode_record(progress)
        table = dispatch.JobTable()
        table.apply(
            dispatch.encode_record(dispatch.AcceptedRecord(
                job, "x"))._replace(offset=0), 0.0)
        table.apply(stored._replace(offset=1), 0.0)
        successor = builders.GroupDriver(builders.build_worker())
        successor.scheduler.put_job(table.jobs[job.job_id])
        indexes = sorted(order.task.index for order in successor.plan_starts())
        self.assertNotIn(orders[0].task.index, indexes)

    def test_checkpoint_is_handed_to_the_next_run(self):
        """Guards against work that is thrown away at a stop."""
        driver = builders.GroupDriver(builders.build_worker())
        step = builders.build_step(1, has_checkpoints=True)
        driver.scheduler.put_job(
            builders.build_entry(builders.build_job(JOB, step)))
        (order,) = driver.start()
        end = builders.build_end(order, 1, ports.EndCause.STOPPED, "c-1")
        driver.look(ended=(end,))
        (again,) = driver.plan_starts()
        self.assertEqual(again.checkpoint, "c-1")

    def test_cancelled_job_is_stopped(self):
        """Guards against tasks that run on after a cancellation."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_entry(builders.build_job(JOB,
                                                    builders.build_step(2))))
        orders = driver.start()
        driver.scheduler.cancel_job(JOB)
        self.assertEqual({stop.run for stop in driver.plan_stops()},
                         {order.run for order in orders})
        self.assertEqual(driver.plan_starts(), [])

    def test_spread_limit_and_label(self):
        """Guards against tasks where their step must not run."""
        driver = builders.GroupDriver(
            builders.build_worker("w1"),
            builders.build_worker("w2", labels=frozenset({"b", "r1"})),
            builders.build_worker("w3", service="other"))
        job = builders.build_job(
            JOB, builders.build_step(3, max_tasks_per_worker=1, required_label="b"))
        driver.scheduler.put_job(builders.build_entry(job))
        self.assertEqual([order.worker_id for order in driver.plan_starts()],
                         ["w2"])

    def test_nothing_starts_while_the_domain_is_out(self):
        """Guards against starts in a domain that operators took out."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        driver.scheduler.is_evacuated = True
        self.assertEqual(driver.plan_starts(), [])
        self.assertEqual(len(driver.scheduler.list_movable()), 1)
        driver.scheduler.is_evacuated = False
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_nothing_starts_without_a_fresh_right(self):
        """Guards against starts by a leader that was replaced."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        self.assertEqual(driver.plan(may_start=False), [])

    def test_gang_starts_whole_or_not_at_all(self):
        """Guards against members that wait for the others in vain."""
        step = builders.build_step(3, is_gang=True, cpu_millis=4000)
        job = builders.build_job(JOB, step)
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_job(builders.build_entry(job))
        self.assertEqual(driver.plan_starts(), [])
        driver.add_worker(builders.build_worker("w2"))
        orders = driver.start()
        self.assertEqual(len({order.run for order in orders}), 1)
        self.assertEqual(len(orders), 3)
        driver.look(orders[0].worker_id, ended=(builders.build_end(orders[0]),))
        (progress,) = driver.scheduler.take_dirty()
        self.assertIs(progress.state, model.JobState.COMPLETED)


class HealthTest(unittest.TestCase):
    """Workers that fail or do not answer."""

    def test_worker_that_fails_everything_is_left_alone(self):
        """Guards against a worker that attracts work by failing it fast."""
        driver = builders.GroupDriver(builders.build_worker("w1"))
        steps = (builders.build_step(8),)
        driver.scheduler.put_job(
            builders.build_entry(builders.build_job(JOB, *steps)))
        orders = driver.start()
        ends = tuple(
            builders.build_end(order, number + 1, ports.EndCause.FAILED)
            for number, order in enumerate(orders))
        driver.look(ended=ends)
        self.assertEqual(driver.plan_starts(), [])
        driver.now += 3.5
        driver.look()
        self.assertNotEqual(driver.plan_starts(), [])

    def test_refused_start_is_placed_again(self):
        """Guards against tasks lost with a refused order."""
        for outcome in (ports.StartOutcome.NO_FREE_CAPACITY, ports.StartOutcome.LEASE_ALREADY_EXPIRED,
                        ports.StartOutcome.UNHEALTHY,
                        ports.StartOutcome.WORKER_REPLACED):
            with self.subTest(outcome=outcome):
                driver = builders.GroupDriver(builders.build_worker())
                driver.scheduler.put_job(
                    builders.build_entry(builders.build_job(JOB)))
                (order,) = driver.plan_starts()
                driver.answer(order, outcome)
                self.assertEqual(driver.plan_starts(), [])
                driver.now += 1.1
                driver.look()
                (again,) = driver.plan_starts()
                self.assertGreater(again.run, order.run)

    def test_stalled_run_is_stopped(self):
        """Guards against tasks that stand still on a worker for good."""
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(builders.build_entry(builders.build_job(JOB)))
        (order,) = driver.start()
        for _ in range(5):
            driver.now += 1.0
            driver.look(running=(builders.build_row(order, percent=20),))
        self.assertEqual(driver.plan_stops(), [])
        driver.now += 0.5
        driver.look(running=(builders.build_row(order, percent=20),))
        (stop,) = driver.plan_stops()
        self.assertEqual(stop.reason, "no progress")
