"""Tests of the state machine of a failure domain."""

import unittest

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
