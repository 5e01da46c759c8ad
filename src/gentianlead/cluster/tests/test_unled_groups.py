"""Tests of the report on long-running tasks of groups without a live leader."""

import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics
from gentianlead.cluster import _unled_groups
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_lasting

GAUGE = "gentianlead_unled_long_running_tasks"


class UnledGroupLogTest(unittest.IsolatedAsyncioTestCase):
    """Tests which groups are reported, and how often."""

    async def asyncSetUp(self) -> None:
        self.log = fakes.RecordingLog()
        self.metrics = _metrics.ClusterMetrics()
        clock = adapters.SystemClock()
        self.now = clock.monotonic()
        self.reader = _job_topic.JobTopicReader(fakes.FakeStore(), clock,
                                                self.log, self.metrics,
                                                lambda job_ids: None)
        self.reader.is_loaded = True
        self.reader.fresh_as_of = self.now
        self.unled_log = _unled_groups.UnledGroupLog(
            ("north-1", "north-2"), self.reader, clock, self.log, self.metrics)

    def put_job(self, step, is_cancelled: bool = False) -> None:
        """Adds a job to the topic; tasks 0 and 1 are in different groups."""
        job = builders.build_job("00000000000000aa", step)
        self.reader.job_table.jobs[job.job_id] = builders.build_job_entry(
            job)._replace(assignment=("north-1", "north-2"),
                          assignment_offsets={
                              "north-1": 100,
                              "north-2": 100
                          },
                          is_cancelled=is_cancelled)

    def put_leader(self, group: str, node: str, read_ago_s: float) -> None:
        """Sets the leader of a group and the age of its last record."""
        self.reader.job_table.leaders[group] = dispatch.LeaderEntry(
            dispatch.LeaderRecord(group, 64, node, node, 1), 50,
            self.now - read_ago_s)

    def check_for(self, seconds: int) -> list[tuple[str, str, int]]:
        """Checks once a second; returns group, leader and tasks of each line.
        """
        for second in range(seconds):
            self.unled_log.check(self.now + second)
        return [(line["group"], line["leader"], line["long_running_tasks"])
                for line in self.log.list_fields("group-unled")]

    async def test_groups_that_are_reported(self):
        """Guards against a task that no leader could report, and false lines.
        """
        service = test_lasting.build_service_step(2)
        unled = [("north-1", "entry-1", 1)]
        for case, (step, leader, read_ago_s, is_cancelled, lines) in {
                "silent": (service, "entry-1", 7.0, False, unled),
                "resigned": (service, "", 7.0, False, [("north-1", "", 1)]),
                "none": (service, None, 0.0, False, [("north-1", "", 1)]),
                "live": (service, "entry-1", 5.0, False, []),
                "short task":
                    (builders.build_step(2), "entry-1", 7.0, False, []),
                "cancelled": (service, "entry-1", 7.0, True, []),
        }.items():
            with self.subTest(case=case):
                await self.asyncSetUp()
                self.put_leader("north-2", "entry-2", 0.1)
                if leader is not None:
                    self.put_leader("north-1", leader, read_ago_s)
                self.put_job(step, is_cancelled)
                self.assertEqual(self.check_for(1), lines)

    async def test_lines_are_bounded_and_the_gauge_ends(self):
        """Guards against a full log, and an alarm after the takeover."""
        self.put_leader("north-2", "entry-2", -60.0)
        self.put_leader("north-1", "entry-1", 7.0)
        self.put_job(test_lasting.build_service_step(2))
        self.assertEqual(len(self.check_for(40)), 7)
        self.assertIn(GAUGE + '{group="north-1"} 1',
                      self.metrics.render().decode())
        self.put_leader("north-1", "entry-3", 0.0)
        self.unled_log.check(self.now)
        self.assertIn(GAUGE + '{group="north-1"} 0',
                      self.metrics.render().decode())

    async def test_unread_topic_shows_nothing(self):
        """Guards against lines of a daemon that is cut off from the store."""
        self.put_leader("north-1", "entry-1", 7.0)
        self.put_job(test_lasting.build_service_step(2))
        self.reader.fresh_as_of = self.now - 3.0
        self.assertEqual(self.check_for(1), [])
