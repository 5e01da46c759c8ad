"""Tests of the scheduler of a group."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class OneRunTest(unittest.TestCase):
    """Tests that at most one run of a task may be executing at a time.

    Also checks that a new run starts once the former one cannot execute any
    more, and that a failed run counts once.
    """

    def test_unreachable_worker_keeps_its_runs_until_lease_expiry(self):
        """Checks that a task restarts elsewhere only after the lease expired.

        Guards against a second run while an unreachable worker may still
        execute the first one.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        (order,) = driver.start_all()
        driver.now += 1.0
        driver.apply_status(order.worker_id,
                            running=(builders.build_active_run(order),))
        worker = driver.scheduler.workers[order.worker_id]
        worker.extend_lease(driver.now, builders.LEASE)
        driver.scheduler.mark_unreachable(order.worker_id, driver.now)
        for seconds, start_count in ((1.0, 0), (4.0, 0), (0.2, 0), (0.3, 1)):
            driver.now += seconds
            other_worker_id = "w2" if order.worker_id == "w1" else "w1"
            driver.apply_status(other_worker_id)
            with self.subTest(at=driver.now):
                self.assertEqual(len(driver.plan_starts()), start_count)

    def test_unrecorded_worker_gets_no_start(self):
        """Checks that a worker gets no start until it is marked as recorded.

        Guards against runs that the next leader does not find, because it
        queries only the workers that are stored in the topic.
        """
        driver = builders.GroupDriver()
        driver.scheduler.put_worker(builders.build_worker())
        driver.apply_status()
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        self.assertEqual(driver.plan_starts(), [])
        driver.scheduler.mark_workers_recorded(
            driver.scheduler.build_workers_record())
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_successor_waits_for_recorded_worker(self):
        """Checks that a new leader first starts only newly accepted jobs.

        Until all recorded workers have replied, a job that was accepted before
        the takeover gets no start. When a worker then reports a run of that
        job, it gets none either. Guards against a second run of a task that a
        former leader started.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                             driver.now)
        job_before_takeover = builders.build_job_entry(
            builders.build_job(JOB_ID), offset=40)
        job_after_takeover = builders.build_job_entry(
            builders.build_job("00000000000000bb"), offset=60)
        driver.scheduler.put_job(job_before_takeover)
        driver.scheduler.put_job(job_after_takeover)
        started_job_ids = [order.task.job_id for order in driver.plan_starts()]
        self.assertEqual(started_job_ids, ["00000000000000bb"])
        active_run = ports.ActiveRun(model.TaskKey(JOB_ID, 0, 0, 0), 7, "", 0,
                                     None)
        driver.apply_status("w2", running=(active_run,))
        self.assertEqual(driver.plan_starts(), [])

    def test_successor_does_not_wait_for_a_worker_without_former_runs(self):
        """Guards against jobs that wait for a new worker that never replies.

        No former leader stored this worker, so none has started a run on it.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_worker(builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID), offset=40))
        driver.scheduler.mark_workers_recorded(
            driver.scheduler.build_workers_record())
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_successor_stops_waiting_after_the_longest_lease(self):
        """Checks that jobs start after the takeover wait without all replies.

        A worker that has not replied by then cannot execute their tasks any
        more. As a run there may have crashed it, the start is stored first.
        Guards against jobs that wait for a worker that never replies.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_recorded_worker(builders.build_worker("w2"),
                                             driver.now)
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID), offset=40))
        driver.now += builders.TAKEOVER_WAIT.total_seconds() + 0.1
        driver.apply_status("w1")
        self.assertEqual(driver.plan_starts(), [])
        driver.flush()
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_end_that_is_not_reported_yet_is_no_lost_run(self):
        """Checks that a run is not given up while its worker may list its end.

        The worker has more ends than a report holds, as after an outage of the
        store. Guards against a second run of a task that is done.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        (order,) = driver.start_all()
        driver.now += 1.0
        driver.apply_status(may_lack_ends=True)
        self.assertEqual(driver.plan_starts(), [])
        driver.apply_status(ended=(builders.build_ended_run(order),))
        (record,) = driver.scheduler.take_dirty_progress()
        self.assertIs(record.state, model.JobState.COMPLETED)

    def test_successor_waits_for_all_ends(self):
        """Checks that a new leader waits until a worker has listed all ends.

        Guards against a second run of a task whose end is not in the worker's
        first reports.
        """
        driver = builders.GroupDriver()
        driver.scheduler.put_worker(builders.build_worker())
        driver.scheduler.mark_workers_recorded(
            driver.scheduler.build_workers_record())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID), offset=40))
        driver.apply_status(may_lack_ends=True)
        self.assertEqual(driver.plan_starts(), [])
        driver.apply_status()
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_adopted_run_keeps_the_former_leaders_lease(self):
        """Checks that an adopted run on an unreachable worker does not end yet.

        A former leader may have extended the worker's lease just before, so the
        lease counts in full. Guards against a second run before its expiry.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        active_run = ports.ActiveRun(model.TaskKey(JOB_ID, 0, 0, 0), 7, "", 0,
                                     None)
        driver.apply_status("w1", running=(active_run,))
        driver.scheduler.mark_unreachable("w1", driver.now)
        driver.now += 1.0
        driver.apply_status("w2")
        self.assertEqual(driver.plan_starts(), [])

    def test_lost_reply_is_resolved_by_a_stop(self):
        """Checks the steps after a start order whose reply was lost.

        The order is repeated with the same run number. If its outcome stays
        unknown, the run is stopped, and only then a new run starts. Guards
        against a late execution of the first order beside a new run.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        (order,) = driver.plan_starts()
        driver.apply_start_outcome(order, ports.StartOutcome.UNKNOWN)
        driver.apply_status()
        (repeated_order,) = driver.plan_starts()
        self.assertEqual((repeated_order.task, repeated_order.run),
                         (order.task, order.run))
        driver.apply_start_outcome(repeated_order, ports.StartOutcome.UNKNOWN)
        driver.apply_status()
        (stop_order,) = driver.plan_stops()
        self.assertEqual(stop_order.run, order.run)
        driver.scheduler.apply_stop_reply(stop_order, True, driver.now)
        self.assertEqual(driver.plan_starts(), [])
        driver.now += 0.1
        driver.apply_status()
        (new_order,) = driver.plan_starts()
        self.assertGreater(new_order.run, order.run)

    def test_status_requested_before_the_start_does_not_end_the_run(self):
        """Checks that only a status call sent after a start can end the run.

        Guards against a second run because an older status call does not report
        the first one, which had not started yet.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        driver.start_all()
        driver.now += 0.5
        driver.apply_status(sent_ago_s=1.0)
        self.assertEqual(driver.plan_starts(), [])
        driver.apply_status(sent_ago_s=0.1)
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_replaced_worker_has_no_runs(self):
        """Checks that a task restarts at once on a new instance of its worker.

        Guards against waiting for the lease of the former instance, whose runs
        have ended.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        (order,) = driver.start_all()
        driver.now += 1.0
        driver.apply_status(running=(builders.build_active_run(order),))
        driver.now += 0.2
        driver.apply_status(born_ms=builders.INSTANCE_START_MS + 500,
                            clock_ms=10)
        (new_order,) = driver.plan_starts()
        self.assertGreater(new_order.run, order.run)

    def test_ended_job_does_not_restart_from_an_older_record(self):
        """Checks that an ended job that was forgotten is not added again.

        The leader reads a progress record that is older than the end of the
        job. Guards against a second run of a job that has ended.
        """
        driver = builders.GroupDriver(builders.build_worker())
        entry = builders.build_job_entry(builders.build_job(JOB_ID))
        driver.scheduler.put_job(entry)
        (order,) = driver.start_all()
        driver.apply_status(ended=(builders.build_ended_run(order),))
        (progress,) = driver.scheduler.take_dirty_progress()
        self.assertIs(progress.state, model.JobState.COMPLETED)
        driver.scheduler.forget_job(order.task.job_id)
        older_progress = progress._replace(state=model.JobState.RUNNING,
                                           done_tasks=())
        driver.scheduler.put_job(
            entry._replace(progress_by_group={"north-1": older_progress}))
        self.assertEqual(driver.plan_starts(), [])

    def test_failures_count_in_any_order_of_reports(self):
        """Checks that a new leader counts failures in any order of reports.

        The former leader saw three failures but could not store them during an
        outage of the store. The workers report them to its successor, the last
        one first, and the job fails. Guards against one more attempt than the
        queue allows.
        """
        driver = builders.GroupDriver()
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID), offset=40))
        task = model.TaskKey(JOB_ID, 0, 0, 0)
        for worker_id in ("w1", "w2", "w3"):
            driver.scheduler.put_recorded_worker(
                builders.build_worker(worker_id), driver.now)
        for worker_id, run_number in (("w1", 9), ("w2", 7), ("w3", 8)):
            ended_run = ports.EndedRun(1, task, run_number,
                                       ports.EndCause.FAILED, "")
            driver.apply_status(worker_id, ended=(ended_run,))
        self.assertEqual(driver.plan_starts(), [])
        job = driver.scheduler.jobs[JOB_ID]
        self.assertIs(job.state, model.JobState.FAILED)
        (progress,) = driver.scheduler.take_dirty_progress()
        self.assertEqual(progress.unfinished_tasks[0].failed_runs, (7, 8, 9))

    def test_stored_failure_is_counted_once(self):
        """Checks that a reported failure is not counted if it is stored.

        This also holds for records of older daemons, which lack `failed_runs`.
        Guards against a failure that is counted twice.
        """
        task_progress = dispatch.TaskProgress(0, 0, 0, 1, "", 7, (7,))
        progress = dispatch.ProgressRecord(JOB_ID,
                                           "north-1",
                                           1,
                                           model.JobState.RUNNING,
                                           7,
                                           unfinished_tasks=(task_progress,))
        entry = builders.build_job_entry(builders.build_job(JOB_ID), offset=40)
        for stored_progress in (progress,
                                progress._replace(
                                    unfinished_tasks=(task_progress._replace(
                                        failed_runs=()),))):
            with self.subTest(
                    task_progress=stored_progress.unfinished_tasks[0]):
                driver = builders.GroupDriver(builders.build_worker())
                driver.scheduler.put_job(
                    entry._replace(
                        progress_by_group={"north-1": stored_progress}))
                ended_run = ports.EndedRun(1, model.TaskKey(JOB_ID, 0, 0, 0), 7,
                                           ports.EndCause.FAILED, "")
                driver.apply_status(ended=(ended_run,))
                step_run = driver.scheduler.jobs[JOB_ID].steps[0, 0]
                self.assertEqual(step_run.failure_counts, {0: 1})

    def test_unknown_run_of_a_running_task_is_stopped(self):
        """Checks that an older run of a task with an active run is stopped.

        Guards against a run that a worker starts late beside a newer one.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        (order,) = driver.start_all()
        late_run = builders.build_active_run(order)._replace(run=order.run - 1)
        driver.apply_status(running=(builders.build_active_run(order),
                                     late_run))
        (stop_order,) = driver.plan_stops()
        self.assertEqual(stop_order.run, order.run - 1)


class JobTest(unittest.TestCase):
    """Tests of a job's progress and cancellation, and of when its tasks start.
    """

    def test_steps_follow_their_dependencies(self):
        """Checks that a step starts when all tasks of its dependency are done.

        Guards against a start while one of them still runs.
        """
        driver = builders.GroupDriver(builders.build_worker())
        job = builders.build_job(JOB_ID, builders.build_step(2),
                                 builders.build_step(1, depends_on=(0,)))
        driver.scheduler.put_job(builders.build_job_entry(job))
        first_order, second_order = driver.start_all()
        driver.apply_status(running=(builders.build_active_run(second_order),),
                            ended=(builders.build_ended_run(first_order, 1),))
        self.assertEqual(driver.plan_starts(), [])
        driver.apply_status(ended=(builders.build_ended_run(second_order, 2),))
        (last_order,) = driver.start_all()
        self.assertEqual(last_order.task.step, 1)
        driver.apply_status(ended=(builders.build_ended_run(last_order, 3),))
        (progress,) = driver.scheduler.take_dirty_progress()
        self.assertIs(progress.state, model.JobState.COMPLETED)

    def test_attempts_are_limited(self):
        """Checks that a job fails when its last allowed attempt has failed.

        Guards against a further start of the task.
        """
        driver = builders.GroupDriver(builders.build_worker("w1"),
                                      builders.build_worker("w2"))
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        for attempt in range(builders.QUEUE.max_attempts):
            (order,) = driver.start_all()
            driver.apply_status(order.worker_id,
                                ended=(builders.build_ended_run(
                                    order, attempt + 1,
                                    ports.EndCause.FAILED),))
        self.assertEqual(driver.plan_starts(), [])
        (progress,) = driver.scheduler.take_dirty_progress()
        self.assertIs(progress.state, model.JobState.FAILED)

    def test_failure_counts_once_across_leaders(self):
        """Checks that a failure reported to several leaders counts once.

        Guards against a job that fails because each new leader counts the same
        failure again.
        """
        driver = builders.GroupDriver(builders.build_worker())
        entry = builders.build_job_entry(builders.build_job(JOB_ID))
        driver.scheduler.put_job(entry)
        (order,) = driver.start_all()
        ended_run = builders.build_ended_run(order, 1, ports.EndCause.FAILED)
        driver.apply_status(ended=(ended_run,))
        (progress,) = driver.scheduler.take_dirty_progress()
        for _ in range(builders.QUEUE.max_attempts):
            successor = builders.GroupDriver()
            successor.scheduler.put_job(
                entry._replace(progress_by_group={"north-1": progress}))
            successor.add_worker(builders.build_worker())
            successor.apply_status(ended=(ended_run,))
            job = successor.scheduler.jobs[JOB_ID]
            progress = job.build_progress("north-1", builders.EPOCH)
        self.assertEqual(progress.unfinished_tasks[0].failures, 1)
        self.assertFalse(progress.state.is_final)

    def test_long_running_task_restarts_after_any_end(self):
        """Checks that a long-running task restarts whatever ended its run.

        Guards against a long-running task that stays stopped.
        """
        step = builders.build_step(1, is_long_running=True)
        for number, cause in enumerate(ports.EndCause):
            with self.subTest(cause=cause):
                driver = builders.GroupDriver(builders.build_worker("w1"),
                                              builders.build_worker("w2"))
                driver.scheduler.put_job(
                    builders.build_job_entry(builders.build_job(JOB_ID, step)))
                (order,) = driver.start_all()
                driver.apply_status(order.worker_id,
                                    ended=(builders.build_ended_run(
                                        order, number + 1, cause),))
                self.assertEqual(len(driver.plan_starts()), 1)

    def test_progress_survives_a_change_of_leader(self):
        """Checks that a new leader does not start a task stored as done.

        Guards against a done task that runs again after a takeover.
        """
        driver = builders.GroupDriver(builders.build_worker())
        job = builders.build_job(JOB_ID, builders.build_step(3))
        entry = builders.build_job_entry(job)
        driver.scheduler.put_job(entry)
        orders = driver.start_all()
        driver.apply_status(running=tuple(
            map(builders.build_active_run, orders[1:])),
                            ended=(builders.build_ended_run(orders[0]),))
        (progress,) = driver.scheduler.take_dirty_progress()
        stored_record = dispatch.encode_record(progress)
        table = dispatch.JobTable()
        table.apply(
            dispatch.encode_record(dispatch.AcceptedRecord(
                job, "x"))._replace(offset=0), 0.0)
        table.apply(stored_record._replace(offset=1), 0.0)
        successor = builders.GroupDriver(builders.build_worker())
        successor.scheduler.put_job(table.jobs[job.job_id])
        restarted_indexes = sorted(
            order.task.index for order in successor.plan_starts())
        self.assertNotIn(orders[0].task.index, restarted_indexes)

    def test_checkpoint_is_handed_to_the_next_run(self):
        """Checks that a start order has the checkpoint of the ended run.

        Guards against the loss of a task's work when its run is stopped.
        """
        driver = builders.GroupDriver(builders.build_worker())
        step = builders.build_step(1, has_checkpoints=True)
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID, step)))
        (order,) = driver.start_all()
        ended_run = builders.build_ended_run(order, 1, ports.EndCause.STOPPED,
                                             "c-1")
        driver.apply_status(ended=(ended_run,))
        (repeated_order,) = driver.plan_starts()
        self.assertEqual(repeated_order.checkpoint, "c-1")

    def test_cancelled_job_is_stopped(self):
        """Checks that all runs of a cancelled job are stopped.

        Guards against tasks that run on or start after the cancellation.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(JOB_ID, builders.build_step(2))))
        orders = driver.start_all()
        driver.scheduler.cancel_job(JOB_ID)
        self.assertEqual({stop_order.run for stop_order in driver.plan_stops()},
                         {order.run for order in orders})
        self.assertEqual(driver.plan_starts(), [])

    def test_tasks_start_only_on_suitable_workers(self):
        """Checks that one of three tasks starts, on the only suitable worker.

        The other workers lack the label or belong to another service, and the
        step allows one task per worker. Guards against tasks on workers where
        their step must not run.
        """
        driver = builders.GroupDriver(
            builders.build_worker("w1"),
            builders.build_worker("w2", labels=frozenset({"b", "r1"})),
            builders.build_worker("w3", service="other"))
        job = builders.build_job(
            JOB_ID,
            builders.build_step(3, max_tasks_per_worker=1, required_label="b"))
        driver.scheduler.put_job(builders.build_job_entry(job))
        self.assertEqual([order.worker_id for order in driver.plan_starts()],
                         ["w2"])

    def test_nothing_starts_while_the_group_is_evacuated(self):
        """Checks that a job of an evacuated group may move but does not start.

        It starts when the evacuation ends. Guards against starts in a domain
        that operators took out of service.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        driver.scheduler.is_evacuated = True
        self.assertEqual(driver.plan_starts(), [])
        self.assertEqual(len(driver.scheduler.list_movable_jobs()), 1)
        driver.scheduler.is_evacuated = False
        self.assertEqual(len(driver.plan_starts()), 1)

    def test_nothing_starts_without_start_permission(self):
        """Checks that a job does not start in a plan without start permission.

        Guards against starts by a leader that may have been replaced.
        """
        driver = builders.GroupDriver(builders.build_worker())
        driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID)))
        self.assertEqual(driver.plan(may_start=False), [])

    def test_gang_starts_whole_or_not_at_all(self):
        """Checks that a gang starts when there is capacity for all its tasks.

        All get the same run number, and the gang is done as soon as one of its
        tasks is done. Guards against a gang of which only some tasks start:
        they would wait for the others in vain.
        """
        step = builders.build_step(3, is_gang=True, cpu_millis=4000)
        job = builders.build_job(JOB_ID, step)
        driver = builders.GroupDriver(builders.build_worker("w1"))
        driver.scheduler.put_job(builders.build_job_entry(job))
        self.assertEqual(driver.plan_starts(), [])
        driver.add_worker(builders.build_worker("w2"))
        orders = driver.start_all()
        self.assertEqual(len({order.run for order in orders}), 1)
        self.assertEqual(len(orders), 3)
        driver.apply_status(orders[0].worker_id,
                            ended=(builders.build_ended_run(orders[0]),))
        (progress,) = driver.scheduler.take_dirty_progress()
        self.assertIs(progress.state, model.JobState.COMPLETED)
