"""Tests of ends that a worker lists after the leader gave its runs up."""

import unittest

from gentianlead import ports
from gentianlead.dispatch import _lapsed_runs
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"


class LateEndTest(unittest.TestCase):
    """A worker is out of reach until its lease has expired, and returns."""

    def setUp(self):
        self.driver = builders.GroupDriver(builders.build_worker())
        self.driver.put_job(JOB_ID)
        (self.order,) = self.driver.start_all()
        self.worker = self.driver.scheduler.workers["w1"]

    def lose_worker(self, has_other_worker: bool) -> None:
        """Lets the lease of the worker expire out of reach.

        The task starts again if there is another worker.
        """
        # The run has shown that it does not crash its worker.
        self.driver.now += 1.0
        self.driver.apply_status(
            running=(builders.build_active_run(self.order),))
        self.worker.extend_lease(self.driver.now, builders.LEASE)
        if has_other_worker:
            self.driver.add_worker(builders.build_worker("w2"))
        self.driver.scheduler.mark_unreachable("w1", self.driver.now)
        self.driver.now += builders.LEASE.total_seconds() + 1.0
        if has_other_worker:
            self.driver.apply_status("w2")
        self.assertEqual(len(self.driver.start_all()), int(has_other_worker))

    def count_acknowledged_ends(self, *causes: ports.EndCause) -> int:
        """Returns up to which end the next status call acknowledges.

        The worker reports the end of the run, and then those of unknown runs.
        """
        self.driver.apply_status(ended=tuple(
            builders.build_ended_run(
                self.order if number == 1 else self.order._replace(
                    run=1000 + number), number, cause)
            for number, cause in enumerate(causes, 1)))
        self.worker.last_stored_end_number = (
            self.worker.last_applied_end_number)
        return self.worker.acknowledged_end_number

    def test_acknowledged_ends(self):
        """Guards against a task that started again although it was done.

        Its end must not be acknowledged: it would count as its result. The
        lease was over when nothing ran any more, so that the worker did not
        notice it.
        """
        done = ports.EndCause.DONE
        stopped = ports.EndCause.STOPPED
        lapsed = ports.EndCause.LEASE_EXPIRED
        many = (stopped,) * _lapsed_runs.MAX_WITHHELD_ENDS
        for name, has_other_worker, causes, expected_number in (
            ("started again", True, (done, stopped),
             0), ("not started again", False, (done, stopped), 2),
            ("the lease expired there", True, (done, lapsed, stopped),
             3), ("the run failed", True, (ports.EndCause.FAILED, stopped),
                  2), ("many later ends", True, (done, *many), len(many) + 1)):
            with self.subTest(name):
                self.setUp()
                self.lose_worker(has_other_worker)
                self.assertEqual(self.count_acknowledged_ends(*causes),
                                 expected_number)
                self.assertEqual(self.worker.lapsed_runs.withholds_ends,
                                 not expected_number)
