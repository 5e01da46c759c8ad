"""Tests of the log lines and metrics for lasting differences."""

import datetime
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _audit_log
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading
from gentianlead.dispatch.tests import builders

GAUGE = "gentianlead_longest_difference_seconds"
COUNTER = "gentianlead_state_differences_total"


class AuditLogTest(unittest.IsolatedAsyncioTestCase):
    """Tests what is written about jobs that the leader lacks."""

    async def asyncSetUp(self) -> None:
        self.log = fakes.RecordingLog()
        self.metrics = _metrics.ClusterMetrics()
        clock = adapters.SystemClock()
        self.driver = builders.GroupDriver(builders.build_worker())
        self.reader = _job_topic.JobTopicReader(fakes.FakeStore(), clock,
                                                self.log, self.metrics,
                                                lambda job_ids: None)
        self.reader.is_loaded = True
        self.audit_log = _audit_log.AuditLog(self.driver.scheduler, clock,
                                             self.log, self.metrics, dict)
        self.audit_log.topic_reader = self.reader

    def add_to_topic(self, count: int) -> None:
        """Adds jobs to the topic alone, and blocks them at the leader."""
        for number in range(count):
            job_id = f"{number:016x}"
            entry = builders.build_job_entry(builders.build_job(job_id))
            self.reader.job_table.jobs[job_id] = entry
            self.driver.scheduler.put_job(entry)
            self.driver.scheduler.forget_job(job_id)

    def assign_again(self) -> None:
        """Assigns all jobs of the topic to the group at a later offset."""
        jobs = self.reader.job_table.jobs
        for job_id, entry in jobs.items():
            jobs[job_id] = entry._replace(assignment_offsets={"north-1": 200})

    def write_for(self, seconds: int) -> list[dict]:
        """Writes once a second; returns the lines of that time."""
        line_count = len(self.log.list_fields("state-differs"))
        for _ in range(seconds):
            self.reader.fresh_as_of = self.driver.now
            self.audit_log.write(self.driver.now)
            self.driver.now += 1.0
        return self.log.list_fields("state-differs")[line_count:]

    def list_samples(self, name: str) -> list[str]:
        """Returns the samples of a metric in the text for Prometheus."""
        return [
            line for line in self.metrics.render().decode().splitlines()
            if line.startswith(name)
        ]

    async def test_line_and_metrics_of_a_difference(self):
        """Guards against a job that stands still without line and metric."""
        self.add_to_topic(1)
        self.assertEqual(self.write_for(3), [])
        (line,) = self.write_for(1)
        self.assertEqual(
            (line["kind"], line["job"], line["group"], line["epoch"],
             line["age_s"], line["topic"]["groups"],
             line["held"]["departed_offset"], line["repair"]),
            ("job-not-held", "0" * 16, "north-1", builders.EPOCH, 3.0,
             ("north-1",), 100, "assignment-ignored"))
        self.write_for(4)
        self.assertEqual(self.list_samples(COUNTER),
                         [COUNTER + '{kind="job-not-held"} 1'])
        self.assertEqual(self.list_samples(GAUGE),
                         [GAUGE + '{group="north-1",kind="job-not-held"} 7.0'])

    async def test_lost_job_is_put_from_the_topic(self):
        """Guards against a task that waits until its leader changes."""
        self.add_to_topic(1)
        self.assign_again()
        (line,) = self.write_for(12)
        self.assertEqual(line["repair"], "topic-applied")
        self.driver.apply_status()
        self.assertEqual(len(self.driver.start_all()), 1)

    async def test_superseded_leader_puts_no_job(self):
        """Guards against a task that two leaders of a group start."""
        self.add_to_topic(1)
        self.assign_again()
        self.reader.job_table.leaders["north-1"] = dispatch.LeaderEntry(
            dispatch.LeaderRecord("north-1", builders.EPOCH + 1, "entry-2",
                                  "entry-2#1", 1), 150, 0.0)
        self.write_for(4)
        self.assertEqual(self.driver.scheduler.jobs, {})

    async def test_gauge_ends_with_the_leadership(self):
        """Guards against an alarm of a leader that leads no more."""
        self.add_to_topic(1)
        self.write_for(5)
        self.audit_log.close()
        self.assertEqual(self.list_samples(GAUGE),
                         [GAUGE + '{group="north-1",kind="job-not-held"} 0.0'])

    async def test_lines_are_bounded(self):
        """Guards against a log that one fault fills; all are counted."""
        self.add_to_topic(50)
        self.assertEqual(len(self.write_for(4)), _audit_log.MAX_LINES)
        self.assertEqual(self.list_samples(COUNTER),
                         [COUNTER + '{kind="job-not-held"} 50'])

    async def test_topic_that_is_not_loaded_is_not_compared(self):
        """Guards against lines while the table is built anew."""
        self.add_to_topic(1)
        self.reader.is_loaded = False
        self.assertEqual(self.write_for(10), [])

    async def test_error_of_the_audit_does_not_end_the_leadership(self):
        """Guards against a group without a leader for a fault of the audit.

        An error in the planning loop makes the leader resign.
        """
        with mock.patch.object(dispatch.GroupAuditor,
                               "audit",
                               side_effect=ValueError("fault")):
            self.write_for(16)
        self.assertEqual(
            [line["errors"] for line in self.log.list_fields("internal-error")],
            [1, 2, 4, 8, 16])


class AuditOfDaemonTest(unittest.IsolatedAsyncioTestCase):
    """Tests that each leader of a daemon is compared with what it reads."""

    async def test_lost_job_comes_back(self):
        """Guards against a leader whose audit sees no topic."""
        job = builders.build_job(f"{1:016x}")
        store = fakes.FakeStore()
        await store.append(
            dispatch.JOB_TOPIC,
            [dispatch.encode_record(dispatch.AcceptedRecord(job, "entry-1#0"))],
            ports.Producer("n/entry-1#0", 1), 1, datetime.timedelta(seconds=1))
        with mock.patch("gentianlead.dispatch._audit.TOPIC_LIMIT",
                        datetime.timedelta(milliseconds=100)):
            daemon = daemons.start_daemon(self, "entry-1", store)
            leaders = daemon._leaders  # pylint: disable=protected-access
            await leading.wait_until(lambda: daemons.GROUP in leaders)
            jobs = leaders[daemons.GROUP].scheduler.jobs
            self.assertIn(job.job_id, jobs)
            del jobs[job.job_id]
            await leading.wait_until(lambda: job.job_id in jobs)
