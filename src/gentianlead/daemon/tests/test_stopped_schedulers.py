"""Tests of tasks while daemons that schedule them stop as planned."""

import signal

from gentianlead.daemon.tests import clusters
from standins import deployment

_DRAIN_SECONDS = 4.0
# Well below the time that members wait for a failed one, 6 s, and enough for
# busy machines: the steps of a handover take less than 1 s.
_MAX_GAP_SECONDS = 3.0


class StoppedSchedulerTest(clusters.ClusterTest):
    """Stops daemons by SIGTERM that have a long time to drain."""

    shape = clusters.build_deployment_shape(1, 2, 3)
    options = deployment.Options(
        daemon_arguments=("--drain-wait", f"{_DRAIN_SECONDS}s",
                          "--lease-renew-interval", "200ms",
                          "--heartbeat-interval", "500ms", "--member-timeout",
                          "6s", "--log-read-wait", "100ms"))

    def get_gap_seconds(self, job_id: str, n_starts: int) -> float:
        """Waits for a start of a task, and returns how long it had no run."""
        starts = self.wait_for_journal_entries(job_id,
                                               "task_started",
                                               count=n_starts)
        ends = self.list_journal_entries(job_id, "task_stopped")
        return starts[-1]["at"] - ends[-1]["at"]

    def test_worker_leaves_as_daemons_stop(self) -> None:
        """Guards against a domain that starts nothing while a daemon drains.

        Each daemon stops in turn while the worker of the watcher leaves.
        """
        self.submit_job("watcher", kind="watcher", run_ms=600_000)
        for n_starts in (2, 3):
            worker = self.wait_for_journal_entries("watcher",
                                                   "task_started",
                                                   count=n_starts -
                                                   1)[-1]["worker"]
            scheduler = self.wait_for_preferred_scheduler("domain-1")
            self.cluster.daemons[scheduler].send(signal.SIGTERM)
            self.cluster.set_leaving(worker, True)
            self.addCleanup(self.cluster.set_leaving, worker, False)
            gap_seconds = self.get_gap_seconds("watcher", n_starts)
            self.assertLess(gap_seconds, _MAX_GAP_SECONDS)
            self.assertEqual(self.cluster.daemons[scheduler].wait(60), 0)
            self.cluster.start_daemon(scheduler)
            self.cluster.wait_ready(clusters.READY_TIMEOUT_SECONDS)
