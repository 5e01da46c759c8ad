"""Tests on processes of a task that crashes the workers that start it."""

import time

from gentianlead.daemon.tests import clusters

MAX_CRASHES = 5
TEST_SECONDS = 120.0


class CrashingTaskTest(clusters.ClusterTest):
    """Restarts each worker as soon as a certain task has started there."""

    shape = clusters.build_deployment_shape(1, 2, 4)

    def test_crashing_task(self) -> None:
        """Guards against a task that crashes one worker after another.

        The preferred scheduler is killed after the second crash. A healthy job
        must be done meanwhile.
        """
        self.submit_job("healthy", tasks=8, run_ms=1000)
        self.submit_job("crashing", run_ms=60_000)
        crash_count = 0
        deadline = time.monotonic() + TEST_SECONDS
        while self.get_job("crashing").get("state") != "failed":
            self.assertLess(time.monotonic(), deadline, "the job did not end")
            starts = self.list_journal_entries("crashing", "task_started")
            if len(starts) > crash_count:
                crash_count = len(starts)
                self.cluster.control_worker(starts[-1]["worker"], "reboot")
                if crash_count == 2:
                    time.sleep(5)
                    self.cluster.kill_daemon(
                        self.wait_for_preferred_scheduler("domain-1"))
                    self.clear_faults()
            time.sleep(0.1)
        self.assertLessEqual(crash_count, MAX_CRASHES)
        daemon = self.list_running_daemons()[-1]
        _, explanation = self.cluster.call(daemon, "GET",
                                           "/v1/explain/jobs/crashing")
        self.assertIn("TASK_GIVEN_UP", str(explanation))
        self.wait_for_job_completion("healthy", 8)
