"""Tests of the admission of jobs and the choice of groups."""

import unittest

from gentianlead import dispatch
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
NOW = 50.0


def build_report(age_s: float = 0.1, **fields) -> dispatch.GroupReport:
    """Builds the load report of a group with ten cores, by default all free."""
    values = {
        "is_usable": True,
        "capacity_cpu_millis": 10_000,
        "reserved_cpu_millis": 0,
        "short_backlog_ms": 0,
        "total_backlog_ms": 0,
        "worker_count": 2,
        "largest_free_cpu_millis": 5_000,
        "labels": ("a", "r1")
    }
    values.update(fields)
    return dispatch.GroupReport(dispatch.GroupLoad(**values), NOW - age_s)


def decide_at_n1(reports: dict[str, dispatch.GroupReport],
                 **fields) -> dispatch.Admission:
    """Decides on the admission of a job at a daemon of the domain `n1`.

    The job has one step, which is built with `fields`.
    """
    job = builders.build_job(JOB_ID,
                             builders.build_step(**fields),
                             assignment=())
    return dispatch.decide_admission(job, reports, "n1", NOW)


class ChoiceTest(unittest.TestCase):
    """Tests of the choice of groups for a job, and of the load it adds."""

    def test_choice_of_a_group(self):
        """Checks which of two groups gets a job, for several load reports.

        Guards against a job in a group that is full, evacuated, without a
        recent report, or without the required label or the preferred rack.
        """
        free_report = build_report()
        full_report = build_report(reserved_cpu_millis=9_900)
        evacuated_report = build_report(is_usable=False)
        outdated_report = build_report(age_s=5.0)
        other_label_report = build_report(labels=("b",))
        other_rack_report = build_report(labels=("r2",))
        plain_step = builders.build_step()
        labelled_step = builders.build_step(required_label="b")
        preferred_rack_step = builders.build_step(preferred_rack="r2")
        cases = (
            ("own group if the load is equal", free_report, free_report,
             plain_step, "n1"),
            ("other group if the own one is full", full_report, free_report,
             plain_step, "n2"),
            ("other group if the own one is evacuated", evacuated_report,
             free_report, plain_step, "n2"),
            ("other group if the report is outdated", outdated_report,
             free_report, plain_step, "n2"),
            ("group that has the required label", free_report,
             other_label_report, labelled_step, "n2"),
            ("group that has the preferred rack", free_report,
             other_rack_report, preferred_rack_step, "n2"),
        )
        for name, n1_report, n2_report, step, expected_group in cases:
            with self.subTest(name):
                job = builders.build_job(JOB_ID, step, assignment=())
                admission = dispatch.decide_admission(job, {
                    "n1": n1_report,
                    "n2": n2_report
                }, "n1", NOW)
                self.assertEqual(admission.assignment, (expected_group,))

    def test_steps_are_divided_by_their_labels(self):
        """Guards against a refusal of a job each of whose steps could run.

        Steps stay together where one group has their labels, and a job with a
        label that no group has is refused.
        """
        reports = {
            "n1": build_report(labels=("a",)),
            "n2": build_report(labels=("b",)),
            "n3": build_report(labels=("b", "c"))
        }
        cases = (
            (("a", "b"), ("n1", "n1", "n2", "n2")),
            (("b", "a"), ("n2", "n2", "n1", "n1")),
            (("a", "", "b"), ("n1", "n1", "n1", "n1", "n2", "n2")),
            (("b", "a", "c"), ("n3", "n3", "n1", "n1", "n3", "n3")),
            (("b", "c"), ("n3",)),
            (("a", "d"), ()),
        )
        for labels, expected_assignment in cases:
            for is_gang in (False, True):
                with self.subTest(labels, is_gang=is_gang):
                    job = builders.build_job(
                        JOB_ID, *[
                            builders.build_step(2,
                                                required_label=label,
                                                is_gang=is_gang)
                            for label in labels
                        ])
                    self.assertEqual(
                        dispatch.decide_admission(job, reports, "n1",
                                                  NOW).assignment,
                        expected_assignment)

    def test_load_of_a_divided_job(self):
        """Guards against load of all steps in each group of a divided job."""
        job = builders.build_job(JOB_ID,
                                 builders.build_step(2, is_long_running=True),
                                 builders.build_step(is_long_running=True),
                                 assignment=("n1", "n1", "n2"))
        for group, cpu_millis in (("n1", 2000), ("n2", 1000)):
            with self.subTest(group):
                load = dispatch.add_job_to_load(build_report().load, job, group)
                self.assertEqual(load.reserved_cpu_millis, cpu_millis)

    def test_best_effort_job_goes_where_it_does_not_interfere(self):
        """Checks that a best-effort job goes where its image can use more CPU.

        Guards against a best-effort job in a group where its image interferes
        with most latency-critical tasks and can use only little CPU.
        """
        image_capacities = (dispatch.ImageCapacity("bundle", 500),)
        reports = {
            "n1":
                build_report(image_capacities=image_capacities),
            "n2":
                build_report(
                    image_capacities=(dispatch.ImageCapacity("bundle", 8_000),))
        }
        admission = decide_at_n1(reports, is_best_effort=True, image="bundle")
        self.assertEqual(admission.assignment, ("n2",))

    def test_long_running_jobs_leave_capacity_for_short_tasks(self):
        """Checks the admission when 80 % of a group's CPU is reserved.

        A long-running job is refused, and a short one is accepted. Guards
        against long-running jobs that reserve all CPU of the site, so that
        short tasks find no free capacity any more.
        """
        reports = {"n1": build_report(reserved_cpu_millis=8_000)}
        admission = decide_at_n1(reports, is_long_running=True)
        self.assertEqual(admission.assignment, ())
        self.assertGreater(admission.retry_after.total_seconds(), 0)
        self.assertEqual(decide_at_n1(reports).assignment, ("n1",))

    def test_long_running_tasks_of_an_image_share_a_group(self):
        """Checks that long-running tasks of one image get few groups.

        Two jobs of 4 tasks share one group. With a limit of one task per
        worker, 12 tasks get two groups of 9 workers. Guards against an image in
        more groups than necessary: best-effort tasks that interfere with it
        would find no group.
        """
        reports = {
            name: build_report(capacity_cpu_millis=90_000, worker_count=9)
            for name in ("n1", "n2", "n3")
        }
        first_admission = decide_at_n1(reports,
                                       count=4,
                                       is_long_running=True,
                                       image="x")
        second_admission = decide_at_n1(reports,
                                        count=4,
                                        is_long_running=True,
                                        image="x")
        self.assertEqual(
            len(set(first_admission.assignment + second_admission.assignment)),
            1)
        spread_admission = decide_at_n1(reports,
                                        count=12,
                                        is_long_running=True,
                                        image="x",
                                        max_tasks_per_worker=1)
        self.assertEqual(len(set(spread_admission.assignment)), 2)

    def test_long_running_tasks_beyond_the_reserve_use_all_groups(self):
        """Checks that six tasks are spread over three nearly full groups.

        The fullest group gets one of them. Guards against a single group that
        gets more long-running tasks than it has free capacity for.
        """
        reports = {
            name:
                build_report(capacity_cpu_millis=90_000,
                             reserved_cpu_millis=reserved_cpu_millis)
            for name, reserved_cpu_millis in (("n1", 70_000), ("n2", 68_000),
                                              ("n3", 68_000))
        }
        admission = decide_at_n1(reports,
                                 count=6,
                                 is_long_running=True,
                                 image="x")
        task_counts = {
            name: admission.assignment.count(name) for name in reports
        }
        self.assertEqual(task_counts["n1"], 1)
        self.assertEqual(sorted(task_counts.values()), [1, 2, 3])

    def test_long_running_gang_gets_one_group(self):
        """Guards against a gang that each of two groups starts as a whole."""
        admission = decide_at_n1({
            "n1": build_report(),
            "n2": build_report()
        },
                                 count=14,
                                 is_long_running=True,
                                 is_gang=True)
        self.assertEqual(admission.assignment, ("n1",))

    def test_assigned_job_increases_the_load(self):
        """Checks how much an assigned job increases the load of its group.

        Guards against jobs that count only in the group's next load report.
        Several jobs that arrive between two reports would all go to the group
        that was the least loaded in the first report.
        """
        load = build_report(best_effort_capacity_cpu_millis=5_000).load
        step = builders.build_step(4, is_best_effort=True, estimate_ms=3000)
        job = builders.build_job(JOB_ID, step, assignment=("n1",))
        increased_load = dispatch.add_job_to_load(load, job, "n1")
        self.assertEqual(
            increased_load.total_backlog_ms - load.total_backlog_ms, 2400)
        self.assertEqual(increased_load.best_effort_cpu_millis, 4_000)
        long_running_job = job._replace(steps=(builders.build_step(
            4, is_long_running=True),),
                                        assignment=("n1", "n2", "n1", "n2"))
        self.assertEqual(
            dispatch.add_job_to_load(load, long_running_job,
                                     "n1").reserved_cpu_millis, 2_000)


class RefusalTest(unittest.TestCase):
    """Tests of jobs refused for a long backlog or for lack of a usable group.
    """

    def test_late_jobs_are_accepted_and_overdue_ones_refused(self):
        """Checks the admission of a job that cannot meet its objective.

        It is accepted with a backlog of twice the objective, and refused with
        five times the objective, which is above `MAX_BACKLOG_FACTOR`. Guards
        against the refusal of a job that is still worth running for the caller
        although it completes late.
        """
        objective_ms = 3_000
        for total_backlog_ms, is_accepted in ((2 * objective_ms, True),
                                              (5 * objective_ms, False)):
            with self.subTest(total_backlog_ms=total_backlog_ms):
                admission = decide_at_n1(
                    {"n1": build_report(total_backlog_ms=total_backlog_ms)},
                    is_best_effort=True)
                self.assertEqual(bool(admission.assignment), is_accepted)
                self.assertEqual(admission.retry_after.total_seconds() == 0,
                                 is_accepted)

    def test_job_without_usable_group_is_refused(self):
        """Checks that a job is refused if no group is reported to be usable.

        Guards against the acceptance of a job that no worker can run.
        """
        for reports in ({}, {"n1": build_report(is_usable=False)}):
            with self.subTest(reports=reports):
                self.assertEqual(decide_at_n1(reports).assignment, ())
