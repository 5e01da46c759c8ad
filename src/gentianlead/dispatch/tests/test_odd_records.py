"""Seeded tests that odd records leave their decoder as `ProtocolError`."""

import copy
import random
import unittest
from typing import Any

import msgpack

from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch import _records
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_capacity

MUTATIONS = 2000
JOB_ID = test_capacity.JOB_ID
RECORDS = (
    dispatch.AcceptedRecord(
        builders.build_job(JOB_ID, builders.build_step(3),
                           builders.build_step(2, depends_on=(0,))), "a#1"),
    dispatch.ProgressRecord(
        JOB_ID, "north-1", 64, model.JobState.RUNNING, 5,
        (_records.DoneTasks(0, 0, "5"),),
        (_records.TaskProgress(0, 0, 1, 1, "c", 3, (3,),
                               (_records.CrashedRun(2, 1),), 1),)),
    dispatch.MovedRecord(JOB_ID, "north-1", (0,), "north-2", 7),
    dispatch.LeaderRecord("north-1", 64, "a", "a#1", 1),
    dispatch.MemberRecord("a", "a#1", "10.0.0.1:80", "north-1", 3),
    dispatch.CapacityRecord("a", "a#1", 0.5, 20.0),
    dispatch.WorkersRecord("north-1", 64, (builders.build_worker(),)),
    dispatch.CancelledRecord(JOB_ID),
)
ODD_VALUES = (None, True, 0, -1, 2**31, 2**63 - 1, 2**64 - 1, -2**63, 1.5,
              float("inf"), float("nan"), "", "x", "zz", "-1", "\0", "a/b",
              b"x", [], {}, [[]], [0], ["x"], {
                  "a": 1
              })
ODD_BYTES = (b"", b"\xc1", b"\xa1\xff", b"\xa3\xed\xa0\x80",
             b"\x91" * 500 + b"\xc0", b"\x91" * 100_000 + b"\xc0",
             b"\xd4\x01\x00", b"\xd7\xff" + b"\xff" * 8)


def list_places(value: Any) -> list[tuple[list[Any], int]]:
    """Returns each array in a value, with each of its indexes."""
    if not isinstance(value, list):
        return []
    return [(value, index) for index in range(len(value))
           ] + [place for item in value for place in list_places(item)]


class OddRecordTest(unittest.TestCase):
    """Passes mutated records to the decoder and to the job table."""

    def mutate(self, stored: ports.KeyedRecord,
               random_source: random.Random) -> ports.KeyedRecord:
        """Returns a record with other values, bytes or another key."""
        fields = msgpack.unpackb(stored.value)
        for _ in range(random_source.randint(0, 2)):
            container, index = random_source.choice(list_places(fields))
            container[index] = copy.deepcopy(random_source.choice(ODD_VALUES))
        value = msgpack.packb(fields)
        key = stored.key
        kind = random_source.random()
        if kind < 0.2:
            position = random_source.randrange(len(value))
            value = (value[:position] + random_source.choice(ODD_BYTES) +
                     value[position + 1:])
        elif kind < 0.4:
            key = random_source.choice(
                (key.partition("/")[0], "", key + "/x", "j/", "p/\0", "zz/1"))
        return ports.KeyedRecord(key, value, 20)

    def test_mutated_records(self):
        """Guards against a record that no daemon can read past."""
        random_source = random.Random(1)
        applied_count = 0
        for number in range(MUTATIONS):
            stored = self.mutate(
                dispatch.encode_record(random_source.choice(RECORDS)),
                random_source)
            table = dispatch.JobTable()
            for offset, record in enumerate(RECORDS):
                table.apply(
                    dispatch.encode_record(record)._replace(offset=offset), 0.0)
            with self.subTest(number=number,
                              key=stored.key,
                              value=stored.value[:200]):
                try:
                    table.apply(stored, 1.0)
                    applied_count += 1
                except errors.ProtocolError as error:
                    self.assertLess(len(str(error)), 400)
        self.assertGreater(applied_count, MUTATIONS // 10)
