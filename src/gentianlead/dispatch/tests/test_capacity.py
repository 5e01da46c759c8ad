"""Tests that starts respect the capacity of the workers."""

import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
OTHER_JOB_ID = "00000000000000bb"


def build_foreign_run(job_id: str = OTHER_JOB_ID,
                      run_number: int = 7) -> ports.ActiveRun:
    """Builds the report of a run that the leader did not start."""
    return ports.ActiveRun(model.TaskKey(job_id, 0, 0, 0), run_number, "", 0,
                           None)


class CapacityTest(unittest.TestCase):
    """Base class: one worker with ten cores and 10,000 MiB."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.worker = self.driver.scheduler.workers["w1"]

    def put_job(self,
                step: model.Step,
                job_id: str = JOB_ID,
                offset: int = 100) -> None:
        """Adds a job of one step."""
        self.driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(job_id, step), offset))

    def report_runs(
        self,
        *orders: dispatch.StartOrder,
        foreign_runs: tuple[ports.ActiveRun, ...] = ()
    ) -> None:
        """Applies a status report, 0.1 s later, that lists these runs."""
        self.driver.now += 0.1
        self.driver.apply_status(
            running=(*map(builders.build_active_run, orders), *foreign_runs))


class UnknownRunTest(CapacityTest):
    """Tests of runs that a worker lists and the leader does not track."""

    def start_and_cancel(self, step: model.Step) -> ports.ActiveRun:
        """Cancels a job whose only run the worker reports to a new leader."""
        self.put_job(step, OTHER_JOB_ID)
        self.driver.scheduler.cancel_job(OTHER_JOB_ID)
        foreign_run = build_foreign_run()
        self.report_runs(foreign_runs=(foreign_run,))
        return foreign_run

    def test_run_of_an_ended_job_takes_up_capacity(self):
        """Checks that nothing starts beside an unknown run that fills a worker.

        Guards against a start over capacity after a takeover: runs of a job
        that was cancelled before the takeover are not adopted.
        """
        for fields in ({"cpu_millis": 6000}, {"memory_mib": 6000}):
            with self.subTest(fields):
                self.setUp()
                step = builders.build_step(**fields)
                self.start_and_cancel(step)
                self.put_job(step)
                self.assertEqual(self.driver.plan_starts(), [])
                self.report_runs()
                self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_stopped_unknown_run_takes_up_capacity_until_its_end(self):
        """Checks that an accepted stop does not free capacity by itself.

        Guards against a start beside an unknown run that is still stopping.
        """
        step = builders.build_step(cpu_millis=6000)
        foreign_run = self.start_and_cancel(step)
        (stop_order,) = self.driver.plan_stops()
        self.put_job(step)
        self.driver.scheduler.apply_stop_reply(stop_order, True,
                                               self.driver.now)
        self.assertEqual(self.driver.plan_starts(), [])
        self.report_runs(foreign_runs=(foreign_run,))
        self.assertEqual(self.driver.plan_starts(), [])
        self.report_runs()
        self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_stop_is_not_repeated_before_its_reply(self):
        """Checks when a stop order for an unknown run is repeated.

        Guards against a stop order in each planning pass until the reply.
        """
        self.start_and_cancel(builders.build_step())
        (stop_order,) = self.driver.plan_stops()
        self.assertEqual(self.driver.plan_stops(), [])
        for has_succeeded in (True, False):
            with self.subTest(has_succeeded=has_succeeded):
                self.driver.scheduler.apply_stop_reply(stop_order,
                                                       has_succeeded,
                                                       self.driver.now)
                self.assertEqual(self.driver.plan_stops(), [])
                self.driver.now += 2.1
                failure_count = 0 if has_succeeded else 1
                self.assertEqual(
                    self.driver.plan_stops(),
                    [stop_order._replace(failure_count=failure_count)])

    def test_adopted_run_is_not_stopped_as_unknown(self):
        """Checks that a run is adopted once its job is known, and goes on.

        Guards against the stop of a sound run that was reported to a new leader
        before the leader had read the run's job.
        """
        foreign_run = build_foreign_run(JOB_ID)
        self.report_runs(foreign_runs=(foreign_run,))
        self.put_job(builders.build_step(), offset=40)
        self.report_runs(foreign_runs=(foreign_run,))
        self.assertEqual(self.driver.plan(), [])
        self.assertEqual(list(self.worker.runs), [foreign_run[:2]])

    def test_run_of_unknown_size_blocks_a_worker_that_starts_anything(self):
        """Checks where tasks start beside a run whose job is not known.

        Guards against a start over capacity on a worker that starts whatever it
        is told to start, and against idle workers of services that refuse what
        does not fit.
        """
        foreign_run = build_foreign_run()
        self.put_job(builders.build_step())
        for services, start_count in ((frozenset(), 0), (frozenset({"other"}),
                                                         0), (frozenset({"svc"
                                                                        }), 1)):
            with self.subTest(services):
                self.driver.scheduler.set_capacity_enforcing_services(services)
                self.report_runs(foreign_runs=(foreign_run,))
                self.assertEqual(len(self.driver.plan_starts()), start_count)

    def test_run_of_a_job_that_ended_before_the_takeover(self):
        """Checks that such a run takes up capacity, and is stopped at once.

        The job's end is stored, so the leader does not keep the job. Guards
        against a cancelled job that runs on for a grace period with each new
        leader, and against refused starts beside its runs.
        """
        step = builders.build_step(cpu_millis=6000)
        entry = builders.build_job_entry(builders.build_job(
            OTHER_JOB_ID, step))._replace(is_cancelled=True)
        self.driver.scheduler.find_job_entry = {OTHER_JOB_ID: entry}.get
        self.driver.scheduler.set_capacity_enforcing_services(frozenset({"svc"
                                                                        }))
        self.driver.scheduler.put_job(entry)
        self.put_job(step)
        foreign_run = build_foreign_run()
        self.report_runs(foreign_runs=(foreign_run,))
        (stop_order,) = self.driver.plan()
        self.assertEqual(stop_order[1:3], foreign_run[:2])
        self.report_runs()
        self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_start_follows_the_end_of_a_run_of_unknown_size(self):
        """Checks that such a run is stopped, and that a task starts then.

        Guards against a worker that stays idle because of an unknown run.
        """
        foreign_run = build_foreign_run()
        self.put_job(builders.build_step())
        self.report_runs(foreign_runs=(foreign_run,))
        self.driver.now += 3.1
        self.report_runs(foreign_runs=(foreign_run,))
        (stop_order,) = self.driver.plan()
        self.assertIsInstance(stop_order, dispatch.StopOrder)
        self.driver.scheduler.apply_stop_reply(stop_order, True,
                                               self.driver.now)
        self.assertEqual(self.driver.plan(), [])
        self.report_runs()
        self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_size_of_a_run_becomes_known_with_its_job(self):
        """Checks that a task starts beside an unknown run of a known job.

        Guards against a worker that stays blocked although the leader has read
        the job of the run meanwhile.
        """
        foreign_run = build_foreign_run()
        self.report_runs(foreign_runs=(foreign_run,))
        self.put_job(builders.build_step(cpu_millis=6000), OTHER_JOB_ID)
        self.driver.scheduler.cancel_job(OTHER_JOB_ID)
        self.put_job(builders.build_step(4, cpu_millis=2000))
        self.report_runs(foreign_runs=(foreign_run,))
        self.assertEqual(len(self.driver.plan_starts()), 2)


class ReplacedWorkerTest(unittest.TestCase):
    """Tests of workers that start again, as another kind, at their address."""

    FORMER_MS = builders.INSTANCE_START_MS
    NEW_MS = builders.INSTANCE_START_MS + 5000

    def setUp(self):
        self.driver = builders.GroupDriver(
            builders.build_worker(born_ms=self.FORMER_MS))
        self.driver.scheduler.put_job(
            builders.build_job_entry(
                builders.build_job(
                    JOB_ID,
                    builders.build_step(cpu_millis=6000, required_label="a"))))

    def put_new_entry(self, **fields) -> None:
        """Applies the registry entry of the new instance."""
        self.driver.scheduler.put_worker(
            builders.build_worker(born_ms=self.NEW_MS, **fields))

    def test_entry_of_the_former_instance_allows_no_start(self):
        """Checks that no task starts until the registry shows the instance.

        The new instance has less capacity or another label than the former one.
        Guards against a start over capacity, or without the label that the task
        requires.
        """
        for fields, start_count in (({
                "cpu_millis": 4000
        }, 0), ({
                "labels": frozenset({"b"})
        }, 0), ({}, 1)):
            with self.subTest(fields):
                self.setUp()
                self.driver.apply_status(born_ms=self.NEW_MS)
                self.assertEqual(self.driver.plan_starts(), [])
                self.put_new_entry(**fields)
                self.assertEqual(len(self.driver.plan_starts()), start_count)

    def test_report_of_the_former_instance_allows_no_start(self):
        """Checks that no task starts until the new instance has reported.

        Guards against a start on a worker whose clock and runs are not known.
        """
        self.put_new_entry()
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.apply_status(born_ms=self.NEW_MS)
        self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_runs_of_the_former_instance_take_up_no_capacity(self):
        """Checks that the new instance starts tasks with its whole capacity.

        Guards against a lasting loss of capacity after a restart. The run was
        at work for long enough not to be blamed for the restart.
        """
        (order,) = self.driver.start_all()
        self.driver.now += 1.0
        self.driver.apply_status(running=(builders.build_active_run(order),))
        self.put_new_entry()
        self.driver.apply_status(born_ms=self.NEW_MS)
        (new_order,) = self.driver.plan_starts()
        self.assertEqual(new_order.task, order.task)
        self.assertGreater(new_order.run, order.run)


class ShrunkWorkerTest(CapacityTest):
    """Tests of workers whose capacity shrinks and grows while they run."""

    def resize(self, **fields) -> None:
        """Applies a registry entry with another capacity."""
        self.driver.scheduler.put_worker(builders.build_worker(**fields))

    def test_nothing_starts_on_a_worker_over_its_capacity(self):
        """Checks that no kind of task starts on a worker that has shrunk.

        Guards against starts on a worker that is over its capacity already:
        those of best-effort tasks, whose CPU does not count, and of tasks that
        do not need what the worker lacks.
        """
        resizes = ({
            "cpu_millis": 5000
        }, {
            "memory_mib": 50
        }, {
            "accelerators": 0
        })
        steps = (builders.build_step(), builders.build_step(cpu_millis=0),
                 builders.build_step(is_best_effort=True, cpu_millis=0),
                 builders.build_step(is_best_effort=True, image="bundle"),
                 builders.build_step(is_best_effort=True, memory_mib=0),
                 builders.build_step(2, is_gang=True),
                 builders.build_step(is_long_running=True))
        for fields in resizes:
            for step in steps:
                with self.subTest(fields=fields, step=step):
                    self.driver = builders.GroupDriver(
                        builders.build_worker(accelerators=1))
                    self.put_job(
                        builders.build_step(cpu_millis=6000,
                                            accelerators=1,
                                            estimate_ms=60_000), OTHER_JOB_ID)
                    (order,) = self.driver.start_all()
                    self.resize(**{"accelerators": 1, **fields})
                    self.put_job(step)
                    # A best-effort task may ignore spare CPU and interference
                    # after it has waited.
                    for _ in range(40):
                        self.assertEqual(self.driver.plan(), [])
                        self.driver.now += 0.9
                        self.report_runs(order)

    def test_waiting_task_starts_when_the_worker_grows_again(self):
        """Checks that a larger entry alone lets a waiting task start.

        Guards against a task that waits for another event, and against starts
        beyond the new capacity.
        """
        for step in (builders.build_step(3, cpu_millis=2000),
                     builders.build_step(3,
                                         cpu_millis=2000,
                                         is_long_running=True)):
            with self.subTest(step):
                self.driver = builders.GroupDriver(
                    builders.build_worker(cpu_millis=1000))
                self.put_job(step)
                self.assertEqual(self.driver.plan_starts(), [])
                self.resize(cpu_millis=4500)
                self.assertEqual(len(self.driver.start_all()), 2)
                self.assertEqual(self.driver.plan_starts(), [])
                self.resize()
                self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_gang_fits_the_present_capacity(self):
        """Checks that a gang starts only if all its tasks fit together.

        Guards against a gang whose tasks are each compared with the whole
        capacity of a worker.
        """
        for fields, start_count in (({
                "cpu_millis": 5999
        }, 0), ({
                "memory_mib": 299
        }, 0), ({
                "cpu_millis": 6000,
                "memory_mib": 300
        }, 3)):
            with self.subTest(fields):
                self.driver = builders.GroupDriver(builders.build_worker())
                self.resize(**fields)
                self.put_job(
                    builders.build_step(3, cpu_millis=2000, is_gang=True))
                self.assertEqual(len(self.driver.plan_starts()), start_count)

    def test_stopping_run_takes_up_capacity_until_its_end(self):
        """Checks that a task starts only after the end of a run was listed.

        Guards against a start beside a run whose worker accepted a stop order.
        """
        self.put_job(builders.build_step(cpu_millis=6000), OTHER_JOB_ID)
        (order,) = self.driver.start_all()
        self.driver.scheduler.cancel_job(OTHER_JOB_ID)
        (stop_order,) = self.driver.plan_stops()
        self.put_job(builders.build_step(cpu_millis=6000))
        self.driver.scheduler.apply_stop_reply(stop_order, True,
                                               self.driver.now)
        self.report_runs(order)
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.apply_status(ended=(
            builders.build_ended_run(order, cause=ports.EndCause.STOPPED),))
        self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_runs_of_a_shrunk_worker_go_on(self):
        """Checks that a worker that shrank keeps what it runs.

        Guards against stopped work: a worker over its capacity executes it.
        """
        steps = (builders.build_step(cpu_millis=3000, is_long_running=True),
                 builders.build_step(cpu_millis=3000, has_checkpoints=True),
                 builders.build_step(is_best_effort=True, image="bundle"))
        self.driver.scheduler.put_job(
            builders.build_job_entry(builders.build_job(JOB_ID, *steps)))
        orders = self.driver.start_all()
        self.assertEqual(len(orders), 3)
        self.driver.add_worker(builders.build_worker("w2"))
        self.resize(cpu_millis=1000, memory_mib=100)
        self.report_runs(*orders)
        self.assertEqual(self.driver.plan_stops(), [])


class ReservationTest(CapacityTest):
    """Tests of workers reserved for long-running tasks by scarce resource."""

    RESOURCES = ("memory_mib", "accelerators")

    def build_step(self, **fields) -> model.Step:
        """Builds a step that needs little except for the given fields."""
        return builders.build_step(**{
            "cpu_millis": 1000,
            "memory_mib": 0,
            "estimate_ms": 60_000,
            **fields
        })

    def start_on_full_worker(self, first_step: model.Step,
                             waiting_step: model.Step) -> dispatch.StartOrder:
        """Starts a task, then adds one that waits; returns the first order."""
        self.driver = builders.GroupDriver(
            builders.build_worker(memory_mib=10, accelerators=10))
        self.put_job(first_step, OTHER_JOB_ID)
        (order,) = self.driver.start_all()
        self.put_job(waiting_step)
        self.assertEqual(self.driver.plan_starts(), [])
        return order

    def test_nothing_is_reserved_where_long_running_tasks_hold_the_resource(
            self):
        """Checks that a short task starts where no long-running one can fit.

        The running long-running task leaves too little of the resource. Guards
        against idle CPU, and a later move, because of a reservation in vain.
        """
        for resource in self.RESOURCES:
            with self.subTest(resource):
                step = self.build_step(is_long_running=True, **{resource: 6})
                self.start_on_full_worker(step, step)
                self.put_job(self.build_step(), "00000000000000cc")
                self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_best_effort_tasks_leave_the_resource_to_a_long_running_one(self):
        """Checks that a long-running task gets what a best-effort one held.

        A smaller best-effort task would fit at once, but waits. Guards against
        a long-running task that never starts, because best-effort tasks take
        the memory as soon as it becomes free.
        """
        for resource in self.RESOURCES:
            with self.subTest(resource):
                order = self.start_on_full_worker(
                    self.build_step(is_best_effort=True, **{resource: 6}),
                    self.build_step(is_long_running=True, **{resource: 6}))
                self.put_job(
                    self.build_step(is_best_effort=True, **{resource: 4}),
                    "00000000000000cc")
                self.assertEqual(self.driver.plan_starts(), [])
                self.driver.apply_status(
                    ended=(builders.build_ended_run(order),))
                started_jobs = [
                    order.task.job_id for order in self.driver.plan_starts()
                ]
                self.assertEqual(started_jobs, [JOB_ID, "00000000000000cc"])


class RepeatedStartTest(CapacityTest):
    """Tests of start orders that are repeated because no reply came."""

    def setUp(self):
        super().setUp()
        self.put_job(builders.build_step(cpu_millis=6000))
        (self.order,) = self.driver.plan_starts()
        self.driver.apply_start_outcome(self.order, ports.StartOutcome.UNKNOWN)

    def test_start_without_reply_takes_up_capacity(self):
        """Checks that nothing starts beside a run that may have started.

        Guards against a start over capacity beside a run whose start order, or
        stop order, got no reply.
        """
        self.put_job(builders.build_step(cpu_millis=6000), OTHER_JOB_ID)
        self.report_runs()
        (repeated_order,) = self.driver.plan_starts()
        self.assertEqual(repeated_order.task, self.order.task)
        self.driver.apply_start_outcome(repeated_order,
                                        ports.StartOutcome.UNKNOWN)
        self.report_runs()
        for has_succeeded in (False, True):
            (stop_order,) = self.driver.plan()
            self.assertIsInstance(stop_order, dispatch.StopOrder)
            self.driver.scheduler.apply_stop_reply(stop_order, has_succeeded,
                                                   self.driver.now)
            if not has_succeeded:
                self.report_runs()
        self.assertEqual(self.driver.plan(), [])
        self.report_runs()
        self.assertEqual(len(self.driver.plan_starts()), 1)

    def test_no_repetition_on_a_worker_that_has_shrunk(self):
        """Checks what follows a start without reply if the run fits no more.

        The run is stopped instead, so that a late execution is refused. Guards
        against a repeated order that brings the worker over its capacity.
        """
        for fields in ({"cpu_millis": 5000}, {"memory_mib": 50}):
            with self.subTest(fields):
                self.setUp()
                self.report_runs()
                self.driver.scheduler.put_worker(
                    builders.build_worker(**fields))
                self.assertEqual(self.driver.plan(), [])
                (stop_order,) = self.driver.plan()
                self.assertIsInstance(stop_order, dispatch.StopOrder)
                self.driver.scheduler.apply_stop_reply(stop_order, True,
                                                       self.driver.now)
                self.report_runs()
                self.assertEqual(self.driver.plan(), [])

    def test_no_repetition_before_the_next_report(self):
        """Checks that the order is repeated once the worker has reported.

        A worker that enforces its capacity gets it at once. Guards against
        repeated orders that a smaller instance at the same address starts all.
        """
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.scheduler.set_capacity_enforcing_services(frozenset({"svc"
                                                                        }))
        self.assertEqual(self.driver.plan_starts(), [self.order])


class RefusedStartTest(CapacityTest):
    """Tests of starts that a worker refuses for lack of capacity."""

    def count_refusals(self, seconds: float) -> int:
        """Refuses all starts for some time; returns how many there were."""
        refusal_count = 0
        for _ in range(round(seconds / 0.1)):
            for order in self.driver.plan_starts():
                refusal_count += 1
                self.driver.apply_start_outcome(
                    order, ports.StartOutcome.NO_FREE_CAPACITY)
            self.report_runs()
        return refusal_count

    def test_refusals_become_rare(self):
        """Checks how often a worker is tried that has less than its entry says.

        The entry is 2.5 s old: a report interval and a read of the registry.
        Guards against a refused start every 0.2 s until then.
        """
        self.driver.scheduler.set_capacity_enforcing_services(frozenset({"svc"
                                                                        }))
        self.put_job(builders.build_step())
        self.assertLessEqual(self.count_refusals(2.5), 5)

    def test_worker_is_tried_soon_after_a_success(self):
        """Checks that a start that succeeds ends the longer pauses.

        Guards against idle capacity on a worker that was full for a while.
        """
        self.put_job(builders.build_step(2))
        self.count_refusals(5.0)
        self.driver.now += 1.0
        self.report_runs()
        first_order, second_order = self.driver.plan_starts()
        self.driver.apply_start_outcome(first_order, ports.StartOutcome.STARTED)
        self.driver.apply_start_outcome(second_order,
                                        ports.StartOutcome.NO_FREE_CAPACITY)
        self.driver.now += 0.2
        self.report_runs(first_order)
        self.assertEqual(len(self.driver.plan_starts()), 1)


class OutdatedRegistryTest(CapacityTest):
    """Tests of starts while the registry may not show the present capacity."""

    def test_only_workers_that_enforce_their_capacity_get_starts(self):
        """Checks which workers get starts while the registry is outdated.

        Guards against a start over capacity on a worker that has shrunk during
        an outage of the store, and against an outage that stops other workers.
        """
        for services, is_current, start_count in ((frozenset(), False,
                                                   0), (frozenset(), True, 1),
                                                  (frozenset({"svc"}), False,
                                                   1)):
            with self.subTest(services=services, is_current=is_current):
                self.setUp()
                self.put_job(builders.build_step())
                self.driver.scheduler.set_capacity_enforcing_services(services)
                self.driver.scheduler.is_registry_current = is_current
                self.assertEqual(len(self.driver.plan_starts()), start_count)

    def test_no_repetition_by_an_outdated_registry(self):
        """Checks that a start without reply is repeated after the outage only.

        Guards against a repeated order that a worker executes for the first
        time after it has shrunk.
        """
        self.put_job(builders.build_step())
        (order,) = self.driver.plan_starts()
        self.driver.apply_start_outcome(order, ports.StartOutcome.UNKNOWN)
        self.report_runs()
        self.driver.scheduler.is_registry_current = False
        self.assertEqual(self.driver.plan_starts(), [])
        self.driver.scheduler.is_registry_current = True
        self.assertEqual(self.driver.plan_starts(), [order])
