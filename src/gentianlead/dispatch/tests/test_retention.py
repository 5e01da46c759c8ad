"""Tests of the removal of jobs that ended long ago."""

import datetime
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
STATUS_RETENTION = datetime.timedelta(seconds=120)
TOTAL_RETENTION_S = (STATUS_RETENTION +
                     dispatch.RETENTION_MARGIN).total_seconds()


class RetentionTest(unittest.TestCase):
    """Tests of the removal of the keys of an ended job."""

    def setUp(self):
        self.table = dispatch.JobTable()
        self.planner = dispatch.RetentionPlanner(STATUS_RETENTION)
        self.offset = 0
        job = builders.build_job(JOB_ID)
        self.apply_records(
            dispatch.AcceptedRecord(job, "entry-1#1"),
            dispatch.AcceptedRecord(job, "entry-2#1"),
            dispatch.MovedRecord(JOB_ID, "north-1", (), "north-2", 5))

    def apply_records(self, *records: dispatch.Record) -> None:
        """Applies records at rising offsets, as a reader of the topic does."""
        for record in records:
            stored = dispatch.encode_record(record)
            self.table.apply(stored._replace(offset=self.offset), 0.0)
            self.offset += 1

    def end_job(self) -> None:
        """Applies the record of the job's completion."""
        self.apply_records(
            dispatch.ProgressRecord(JOB_ID, "north-2", 64,
                                    model.JobState.COMPLETED))

    def test_keys_go_together_after_the_retention(self):
        """Guards against a store that grows without bound.

        All keys of a job are removed together, but not before the retention has
        passed since its end.
        """
        self.assertEqual(self.planner.list_expired_keys(self.table, 0.0), [])
        self.assertEqual(self.planner.list_expired_keys(self.table, 900.0), [])
        self.end_job()
        self.assertEqual(self.planner.list_expired_keys(self.table, 1000.0), [])
        self.assertEqual(
            self.planner.list_expired_keys(self.table,
                                           1000.0 + TOTAL_RETENTION_S - 1), [])
        removed_keys = self.planner.list_expired_keys(
            self.table, 1000.0 + TOTAL_RETENTION_S)
        self.assertEqual({removed_key.key for removed_key in removed_keys}, {
            f"j/{JOB_ID}/entry-1#1", f"j/{JOB_ID}/entry-2#1",
            f"m/{JOB_ID}/north-1/5", f"p/{JOB_ID}/north-2"
        })
        self.apply_records(*removed_keys)
        self.assertEqual((self.table.jobs, self.table.keys_by_job), ({}, {}))
        self.assertEqual(self.planner.list_expired_keys(self.table, 2000.0), [])

    def test_removed_key_has_no_value(self):
        """Guards against a key that the store keeps as its value is not empty.
        """
        self.assertEqual(dispatch.encode_record(dispatch.RemovedKey("c/x")),
                         ports.KeyedRecord("c/x", b""))

    def test_restart_extends_the_retention(self):
        """Guards against status 410 for a job that ended a moment ago.

        A new process counts the retention from when it first sees the end.
        """
        self.end_job()
        self.planner.list_expired_keys(self.table, 0.0)
        restarted_planner = dispatch.RetentionPlanner(STATUS_RETENTION)
        self.assertEqual(
            restarted_planner.list_expired_keys(self.table, TOTAL_RETENTION_S),
            [])
