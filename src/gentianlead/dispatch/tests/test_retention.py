"""Tests of the removal of jobs that ended long ago."""

import datetime
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB = "00000000000000aa"
STATUS = datetime.timedelta(seconds=120)
KEPT_S = (STATUS + dispatch.RETENTION_MARGIN).total_seconds()


class RetentionTest(unittest.TestCase):
    """Keys of a job that ended."""

    def setUp(self):
        self.table = dispatch.JobTable()
        self.planner = dispatch.RetentionPlanner(STATUS)
        self.offset = 0
        job = builders.build_job(JOB)
        self.store(dispatch.AcceptedRecord(job, "entry-1#1"),
                   dispatch.AcceptedRecord(job, "entry-2#1"),
                   dispatch.MovedRecord(JOB, "north-1", (), "north-2", 5))

    def store(self, *records: dispatch.Record) -> None:
        """Applies records as they are read back."""
        for record in records:
            stored = dispatch.encode_record(record)
            self.table.apply(stored._replace(offset=self.offset), 0.0)
            self.offset += 1

    def end(self) -> None:
        """Stores the end of the job."""
        self.store(
            dispatch.ProgressRecord(JOB, "north-2", 64,
                                    model.JobState.COMPLETED))

    def test_keys_go_together_after_the_retention(self):
        """Guards against a store that grows without bound."""
        self.assertEqual(self.planner.list_expired_keys(self.table, 0.0), [])
        self.assertEqual(self.planner.list_expired_keys(self.table, 900.0), [])
        self.end()
        self.assertEqual(self.planner.list_expired_keys(self.table, 1000.0), [])
        self.assertEqual(
            self.planner.list_expired_keys(self.table, 1000.0 + KEPT_S - 1), [])
        removed = self.planner.list_expired_keys(self.table, 1000.0 + KEPT_S)
        self.assertEqual({row.key for row in removed}, {
            f"j/{JOB}/entry-1#1", f"j/{JOB}/entry-2#1", f"m/{JOB}/north-1/5",
            f"p/{JOB}/north-2"
        })
        self.store(*removed)
        self.assertEqual((self.table.jobs, self.table.keys), ({}, {}))
        self.assertEqual(self.planner.list_expired_keys(self.table, 2000.0), [])

    def test_removed_key_has_no_value(self):
        """Guards against a key that the store keeps for ever."""
        self.assertEqual(dispatch.encode_record(dispatch.RemovedKey("c/x")),
                         ports.KeyedRecord("c/x", b""))

    def test_a_new_start_keeps_states_longer(self):
        """Guards against 410 for a job that ended a moment ago."""
        self.end()
        self.planner.list_expired_keys(self.table, 0.0)
        later = dispatch.RetentionPlanner(STATUS)
        self.assertEqual(later.list_expired_keys(self.table, KEPT_S), [])
