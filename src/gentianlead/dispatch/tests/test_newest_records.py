"""Property test of loads of the job topic: newest records against all records.
"""

import random
import unittest

import hypothesis
from hypothesis import strategies

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders

JOB_ID = "00000000000000aa"
GROUPS = ("north-1", "north-2", "north-3")
WRITERS = ("entry-1#a", "entry-2#b")
TASK_COUNT = 3
SETTINGS = hypothesis.settings(derandomize=True,
                               database=None,
                               deadline=None,
                               max_examples=150)


class DrawnTopic:
    """Appends records of one job as drawn, by two daemons and three leaders.

    Attributes:
        records: All records, with their offsets.
        table: Table to which all of them were applied.
    """

    def __init__(self, seed: int):
        self.records: list[ports.KeyedRecord] = []
        self.table = dispatch.JobTable()
        self._random = random.Random(seed)
        self._acceptance_count = 0

    def append_drawn_record(self) -> None:
        """Appends a record that its writer may append in the present state."""
        entry = self.table.jobs.get(JOB_ID)
        drawn = self._random.random()
        if entry is None or drawn < 0.3:
            self._accept()
        elif entry.state.is_final and drawn > 0.8:
            self._append(*(dispatch.RemovedKey(key)
                           for key in sorted(self.table.keys_by_job[JOB_ID])))
        elif drawn < 0.55:
            self._move(entry)
        elif drawn < 0.95:
            self._store_progress(entry)
        else:
            self._append(dispatch.CancelledRecord(JOB_ID))

    def _accept(self) -> None:
        self._acceptance_count += 1
        writer = self._random.choice(WRITERS)
        job = builders.build_job(JOB_ID,
                                 builders.build_step(TASK_COUNT),
                                 assignment=(self._random.choice(GROUPS),))
        self._append(
            dispatch.AcceptedRecord(job, f"{writer}/{self._acceptance_count}"))

    def _move(self, entry: dispatch.JobEntry) -> None:
        source = self._random.choice(entry.groups)
        destination = self._random.choice(
            [group for group in GROUPS if group != source])
        indexes = tuple(
            index for index in range(TASK_COUNT)
            if entry.has_task(source, 0, index) and self._random.random() < 0.5)
        if self._random.random() < 0.5:
            indexes = ()
        self._append(
            dispatch.MovedRecord(JOB_ID, source, indexes, destination,
                                 entry.last_run_number + 1))

    def _store_progress(self, entry: dispatch.JobEntry) -> None:
        group = self._random.choice(entry.groups)
        state = self._random.choice(
            (model.JobState.RUNNING, model.JobState.RUNNING,
             model.JobState.COMPLETED))
        self._append(
            dispatch.ProgressRecord(
                JOB_ID, group, 64, state,
                entry.last_run_number + self._random.randrange(3)))

    def _append(self, *records: dispatch.Record) -> None:
        for record in records:
            stored = dispatch.encode_record(record)._replace(
                offset=len(self.records))
            self.records.append(stored)
            self.table.apply(stored, 1.0)

    def load(self) -> dispatch.JobTable:
        """Returns a table that has read only the newest record of each key."""
        newest_records = list({stored.key: stored for stored in self.records
                              }.values())
        self._random.shuffle(newest_records)
        loaded_table = dispatch.JobTable()
        loaded_table.load_newest_records(
            ports.KeyedBatch(
                len(self.records),
                tuple(stored for stored in newest_records if stored.value)),
            1.0)
        return loaded_table


def list_start_conditions(table: dispatch.JobTable) -> list[tuple]:
    """Returns what decides which group may start which tasks of the job."""
    return [(entry.offset, entry.assignment, entry.assignment_offsets,
             entry.last_run_number, entry.last_move_numbers, entry.is_cancelled,
             entry.state, dict(entry.progress_by_group))
            for entry in table.jobs.values()]


class NewestRecordsTest(unittest.TestCase):
    """Compares daemons that have read different records of one topic."""

    @SETTINGS
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 25),
                      strategies.integers(0, 8))
    def test_all_daemons_see_the_same_job(self, seed: int, record_count: int,
                                          later_count: int) -> None:
        """Guards against groups that each take a job for their own.

        One daemon has read all records, the other one the newest of each key
        at some time and all later ones.
        """
        topic = DrawnTopic(seed)
        for _ in range(record_count):
            topic.append_drawn_record()
        loaded_table = topic.load()
        self.assertEqual(list_start_conditions(loaded_table),
                         list_start_conditions(topic.table))
        loaded_offset = len(topic.records)
        for _ in range(later_count):
            topic.append_drawn_record()
        for stored in topic.records[loaded_offset:]:
            loaded_table.apply(stored, 2.0)
        self.assertEqual(list_start_conditions(loaded_table),
                         list_start_conditions(topic.table))
