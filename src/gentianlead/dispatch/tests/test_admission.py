"""Tests of acceptance and of the choice of groups."""

import unittest

from gentianlead import dispatch
from gentianlead.dispatch.tests import builders

JOB = "00000000000000aa"
NOW = 50.0


def build_report(age: float = 0.1, **fields) -> dispatch.GroupReport:
    """Returns the report of a group with ten free processors."""
    values = {
        "is_usable": True,
        "capacity_millis": 10_000,
        "firm_millis": 0,
        "urgent_ms": 0,
        "filling_ms": 0,
        "workers": 2,
        "largest_free": 5_000,
        "labels": ("a", "r1")
    }
    values.update(fields)
    return dispatch.GroupReport(dispatch.GroupLoad(**values), NOW - age)


def decide(reports: dict[str, dispatch.GroupReport],
           **fields) -> dispatch.Admission:
    """Decides on a job of one step at a daemon of `n1`."""
    job = builders.build_job(JOB, builders.build_step(**fields), assignment=())
    return dispatch.decide_admission(job, reports, "n1", NOW)


class ChoiceTest(unittest.TestCase):
    """Which group gets a job."""

    def test_choice(self):
        """Guards against work in a group that is full, stale or out."""
        own = build_report()
        full = build_report(firm_millis=9_900)
        out = build_report(is_usable=False)
        old = build_report(age=5.0)
        other_label = build_report(labels=("b",))
        other_rack = build_report(labels=("r2",))
        plain = builders.build_step()
        labelled = builders.build_step(required_label="b")
        near = builders.build_step(preferred_rack="r2")
        cases = (
            ("own group when all are alike", own, own, plain, "n1"),
            ("another one when the own is full", full, own, plain, "n2"),
            ("another one when the own is out", out, own, plain, "n2"),
            ("another one when the report is old", old, own, plain, "n2"),
            ("the one with the label", own, other_label, labelled, "n2"),
            ("the one with the data", own, other_rack, near, "n2"),
        )
        for name, first, second, step, expected in cases:
            with self.subTest(name):
                job = builders.build_job(JOB, step, assignment=())
                admission = dispatch.decide_admission(job, {
                    "n1": first,
                    "n2": second
                }, "n1", NOW)
                self.assertEqual(admission.assignment, (expected,))

    def test_load_of_a_burst_of_bundles(self):
        """Load pattern: bundles of an image that most watchers suffer from.

        Guards against fillers in a group where they may join no worker.
        """
        rooms = (dispatch.ImageRoom("bundle", 500),)
        reports = {
            "n1": build_report(rooms=rooms),
            "n2": build_report(rooms=(dispatch.ImageRoom("bundle", 8_000),))
        }
        admission = decide(reports, is_best_effort=True, image="bundle")
        self.assertEqual(admission.assignment, ("n2",))

    def test_watchers_leave_room_for_short_tasks(self):
        """Load pattern: watchers arrive until they hold the whole site.

        Guards against previews that find no room for the rest of the day.
        """
        reports = {"n1": build_report(firm_millis=8_000)}
        admission = decide(reports, is_long_running=True)
        self.assertEqual(admission.assignment, ())
        self.assertGreater(admission.retry_after.total_seconds(), 0)
        self.assertEqual(decide(reports).assignment, ("n1",))

    def test_watchers_of_an_image_share_a_group(self):
        """Load pattern: watchers of several images in all domains.

        Guards against images on all workers, which leave fillers no place.
        """
        reports = {
            name: build_report(capacity_millis=90_000, workers=9)
            for name in ("n1", "n2", "n3")
        }
        first = decide(reports, count=4, is_long_running=True, image="x")
        second = decide(reports, count=4, is_long_running=True, image="x")
        self.assertEqual(len(set(first.assignment + second.assignment)), 1)
        spread = decide(reports,
                        count=12,
                        is_long_running=True,
                        image="x",
                        max_tasks_per_worker=1)
        self.assertEqual(len(set(spread.assignment)), 2)

    def test_watchers_beyond_the_reserve_share_all_groups(self):
        """Load pattern: watchers arrive when each group is nearly full.

        Guards against a single group that gets more than it has.
        """
        reports = {
            name: build_report(capacity_millis=90_000, firm_millis=firm)
            for name, firm in (("n1", 70_000), ("n2", 68_000), ("n3", 68_000))
        }
        admission = decide(reports, count=6, is_long_running=True, image="x")
        counts = {name: admission.assignment.count(name) for name in reports}
        self.assertEqual(counts["n1"], 1)
        self.assertEqual(sorted(counts.values()), [1, 2, 3])

    def test_burst_before_the_next_report(self):
        """Load pattern: bundles arrive at once, between two reports.

        Guards against all of them in the group that was the least busy.
        """
        load = build_report(left_over=5_000).load
        step = builders.build_step(4, is_best_effort=True, estimate_ms=3000)
        job = builders.build_job(JOB, step, assignment=("n1",))
        added = dispatch.add_job(load, job, "n1")
        self.assertEqual(added.filling_ms - load.filling_ms, 2400)
        self.assertEqual(added.filling_millis, 4_000)
        watcher = job._replace(steps=(builders.build_step(4, is_long_running=True),),
                               assignment=("n1", "n2", "n1", "n2"))
        self.assertEqual(
            dispatch.add_job(load, watcher, "n1").firm_millis, 2_000)


class RefusalTest(unittest.TestCase):
    """When a job is refused."""

    def test_late_jobs_are_accepted_and_hopeless_ones_refused(self):
        """Guards against refusals of what callers would rather get late."""
        objective_ms = 3_000
        for filling_ms, is_accepted in ((2 * objective_ms, True),
                                        (5 * objective_ms, False)):
            with self.subTest(filling_ms=filling_ms):
                admission = decide({"n1": build_report(filling_ms=filling_ms)},
                                   is_best_effort=True)
                self.assertEqual(bool(admission.assignment), is_accepted)
                self.assertEqual(admission.retry_after.total_seconds() == 0,
                                 is_accepted)

    def test_nothing_usable(self):
        """Guards against jobs accepted where nothing can run them."""
        for reports in ({}, {"n1": build_report(is_usable=False)}):
            with self.subTest(reports=reports):
                self.assertEqual(decide(reports).assignment, ())
