"""Tests of the removal of the records of jobs that ended long ago."""

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
    """Tests of when the keys of a job are removed, and of removal records.

    The job has four keys once it has ended.
    """

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

    def test_all_keys_are_listed_after_the_retention(self):
        """Checks that all keys of an ended job are listed after the retention.

        None is listed before, and none of a job that has not ended. Guards
        against keys that stay in the store, which would grow without bound.
        """
        self.assertEqual(self.planner.list_expired_keys(self.table, 0.0), [])
        self.assertEqual(self.planner.list_expired_keys(self.table, 900.0), [])
        self.end_job()
        self.assertEqual(self.planner.list_expired_keys(self.table, 1000.0), [])
        self.assertEqual(
            self.planner.list_expired_keys(self.table,
                                           1000.0 + TOTAL_RETENTION_S - 1), [])
        removal_records = self.planner.list_expired_keys(
            self.table, 1000.0 + TOTAL_RETENTION_S)
        self.assertEqual({record.key for record in removal_records}, {
            f"j/{JOB_ID}/entry-1#1", f"j/{JOB_ID}/entry-2#1",
            f"m/{JOB_ID}/north-1/5", f"p/{JOB_ID}/north-2"
        })
        self.apply_records(*removal_records)
        self.assertEqual((self.table.jobs, self.table.keys_by_job), ({}, {}))
        self.assertEqual(self.planner.list_expired_keys(self.table, 2000.0), [])

    def test_cancellation_of_a_job_that_does_not_exist(self):
        """Guards against keys of such cancellations that stay for good.

        Each is kept for its own retention, also if an earlier one is removed,
        and the job may be accepted meanwhile.
        """
        retention_s = dispatch.EARLY_CANCELLATION_RETENTION.total_seconds()
        other_id = "00000000000000bb"
        self.apply_records(dispatch.EarlyCancelledRecord(other_id, "d#1/1"))
        self.assertEqual(self.planner.list_expired_keys(self.table, 0.0), [])
        self.apply_records(dispatch.EarlyCancelledRecord(other_id, "d#1/2"))
        self.assertEqual(
            self.planner.list_expired_keys(self.table, retention_s - 1), [])
        removal_records = self.planner.list_expired_keys(
            self.table, retention_s)
        self.assertEqual(removal_records,
                         [dispatch.RemovedKey(f"e/{other_id}/d#1/1")])
        self.apply_records(
            *removal_records,
            dispatch.AcceptedRecord(builders.build_job(other_id), "d#1/1"))
        self.assertIs(self.table.jobs[other_id].state, model.JobState.CANCELLED)

    def test_withdrawn_acceptance_removes_nothing(self):
        """Guards against a cancellation that is removed with an acceptance.

        Both have the same number, of the same daemon process.
        """
        record = dispatch.AcceptedRecord(builders.build_job(JOB_ID), "d#1/1")
        self.apply_records(dispatch.EarlyCancelledRecord(JOB_ID, "d#1/1"),
                           dispatch.build_withdrawal(record))
        self.assertIn(JOB_ID, self.table.jobs)
        self.assertIn(JOB_ID, self.table.early_cancellations)

    def test_removed_key_has_no_value(self):
        """Checks that the removal of a key is encoded as an empty value.

        Guards against a key that the store keeps because its value is not
        empty.
        """
        self.assertEqual(dispatch.encode_record(dispatch.RemovedKey("c/x")),
                         ports.KeyedRecord("c/x", b""))

    def test_restart_extends_the_retention(self):
        """Checks that a restarted process counts the full retention again.

        It counts from the moment at which it first sees the end of the job.
        Guards against a removal that follows the end of the job too early, so
        that callers get status 410 for a job that ended a moment ago.
        """
        self.end_job()
        self.planner.list_expired_keys(self.table, 0.0)
        restarted_planner = dispatch.RetentionPlanner(STATUS_RETENTION)
        self.assertEqual(
            restarted_planner.list_expired_keys(self.table, TOTAL_RETENTION_S),
            [])
