"""Tests of the state machine of a failure domain."""

import datetime
import unittest

import msgpack

from gentianlead import model
from gentianlead import state

_SPEC = model.JobSpec("job-1", tasks=3, resources=model.Resources(600, 10))


def _claim(task: int, run: int, cpu: int = 600) -> model.TaskClaimed:
    return model.TaskClaimed("job-1", task, run, "worker-1",
                             model.Resources(cpu, 10), "entry-1")


class DomainFoldTest(unittest.TestCase):
    """Tests which records of claims, runs and jobs are accepted."""

    def setUp(self) -> None:
        self.state_machine = state.DomainStateMachine()
        self.offset = 0
        self.assert_accepted(
            model.WorkerPut("worker-1", "rack-1", model.Resources(1000, 1000)),
            model.JobOpened(_SPEC, 1, (), {}))

    def apply_record(self, record: model.Record) -> bool:
        self.offset += 1
        return self.state_machine.apply(self.offset, record).is_accepted

    def assert_accepted(self, *records: model.Record) -> None:
        for record in records:
            self.assertTrue(self.apply_record(record), record)

    def assert_rejected(self, *records: model.Record) -> None:
        for record in records:
            self.assertFalse(self.apply_record(record), record)

    def test_racing_claims_never_overcommit(self) -> None:
        """Checks that a claim above a worker's free capacity is rejected.

        Guards against claims that together exceed the capacity of a worker.
        """
        self.assert_accepted(_claim(0, 1))
        self.assert_rejected(_claim(1, 1))
        self.assertEqual(self.state_machine.workers["worker-1"].free,
                         model.Resources(400, 990))

    def test_task_has_one_live_run(self) -> None:
        """Checks that a task with a live run cannot be claimed again.

        Guards against two live runs of one task.
        """
        self.assert_accepted(_claim(0, 1, 100))
        self.assert_rejected(_claim(0, 1, 100), _claim(0, 2, 100))

    def test_evicted_task_resumes_once(self) -> None:
        """Checks that only one claim of an evicted task is accepted.

        Guards against two claims of the task: two daemons can see the eviction
        and both claim the next run. Also checks that a repeated release is
        rejected and that the checkpoint is kept.
        """
        self.assert_accepted(
            _claim(0, 1),
            model.TaskReleased("job-1", 0, 1, "evicted", "c-1", "entry-1"),
            _claim(0, 2))
        self.assert_rejected(
            _claim(0, 2), _claim(0, 3),
            model.TaskReleased("job-1", 0, 1, "evicted", "c-1", "entry-1"))
        self.assertEqual(self.state_machine.jobs["job-1"].checkpoints,
                         {0: "c-1"})

    def test_former_holder_cannot_release(self) -> None:
        """Checks that only the current holder can end or hand over a run.

        Guards against records of a former holder: a daemon that was paused
        while another one took over its run may still append records for it.
        """
        self.assert_accepted(
            _claim(0, 1),
            model.HolderChanged("job-1", 0, 1, "entry-1", "entry-2"))
        self.assert_rejected(
            model.TaskReleased("job-1", 0, 1, "lapsed", "", "entry-1"),
            model.TaskFinished("job-1", 0, 1, "entry-1"),
            model.HolderChanged("job-1", 0, 1, "entry-1", "entry-3"))
        self.assert_accepted(model.TaskFinished("job-1", 0, 1, "entry-2"))

    def test_closed_epoch_does_not_reopen(self) -> None:
        """Checks that a closed job opens again only with a later epoch.

        Guards against a delayed `JobOpened` of a job that was moved away. Also
        checks that a job with a live run cannot be closed, and that run numbers
        in the later epoch start above those of the earlier ones.
        """
        self.assert_accepted(_claim(0, 1))
        self.assert_rejected(model.JobClosed("job-1", 1, "moved"))
        self.assert_accepted(
            model.TaskReleased("job-1", 0, 1, "evicted", "", "entry-1"),
            model.JobClosed("job-1", 1, "moved"))
        self.assert_rejected(model.JobOpened(_SPEC, 1, (), {}))
        self.assert_accepted(model.JobOpened(_SPEC, 3, (), {}))
        self.assert_rejected(_claim(0, 2))
        self.assert_accepted(_claim(0, 2 * 1_000_000 + 1))


class FormerLeaseTest(unittest.TestCase):
    """Tests when the end of a former holder's lease is known."""

    def setUp(self) -> None:
        self.state_machine = state.DomainStateMachine()
        self.apply(
            model.WorkerPut("worker-1", "rack-1", model.Resources(1000, 1000)),
            model.JobOpened(_SPEC, 1, (), {}), _claim(0, 1))

    def apply(self, *records: model.Record) -> None:
        """Applies records, which must be accepted."""
        for record in records:
            verdict = self.state_machine.apply(1, record)
            self.assertTrue(verdict.is_accepted, verdict.reason)

    def get_former_lease(self) -> datetime.timedelta | None:
        """Returns the former lease of the run of task 0."""
        return self.state_machine.get_former_lease(("job-1", 0))

    def test_holder_hands_over(self) -> None:
        """Guards against a next holder that waits as after a failure."""
        self.apply(model.RenewalsEnded("job-1", 0, 1, "entry-1", 9000))
        self.assertIsNone(self.get_former_lease())
        self.apply(model.HolderChanged("job-1", 0, 1, "entry-1", "entry-2"))
        self.assertEqual(self.get_former_lease(), datetime.timedelta(seconds=9))

    def test_next_holder_fails(self) -> None:
        """Guards against a lease that the second holder may have renewed."""
        self.apply(model.RenewalsEnded("job-1", 0, 1, "entry-1", 9000),
                   model.HolderChanged("job-1", 0, 1, "entry-1", "entry-2"),
                   model.HolderChanged("job-1", 0, 1, "entry-2", "entry-3"))
        self.assertIsNone(self.get_former_lease())

    def test_next_run(self) -> None:
        """Guards against a lease of an earlier run of the task."""
        self.apply(model.RenewalsEnded("job-1", 0, 1, "entry-1", 9000),
                   model.TaskReleased("job-1", 0, 1, "evicted", "", "entry-1"),
                   _claim(0, 2),
                   model.HolderChanged("job-1", 0, 2, "entry-1", "entry-2"))
        self.assertIsNone(self.get_former_lease())

    def test_former_holder(self) -> None:
        """Guards against a late record of a daemon that holds the run no more.

        Its lease was taken over, and the present holder renews it.
        """
        self.apply(model.HolderChanged("job-1", 0, 1, "entry-1", "entry-2"))
        verdict = self.state_machine.apply(
            2, model.RenewalsEnded("job-1", 0, 1, "entry-1", 9000))
        self.assertFalse(verdict.is_accepted)
        self.apply(model.HolderChanged("job-1", 0, 1, "entry-2", "entry-3"))
        self.assertIsNone(self.get_former_lease())

    def test_snapshot(self) -> None:
        """Guards against snapshots that an older version cannot read."""
        plain = self.state_machine.dump()
        self.apply(model.RenewalsEnded("job-1", 0, 1, "entry-1", 9000))
        self.assertEqual(self.state_machine.dump(), plain)
        self.state_machine.load(
            msgpack.unpackb(msgpack.packb(plain), strict_map_key=False))
        self.apply(model.HolderChanged("job-1", 0, 1, "entry-1", "entry-2"))
        self.assertIsNone(self.get_former_lease())
