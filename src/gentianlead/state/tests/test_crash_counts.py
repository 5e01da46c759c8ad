"""Tests of the crashes that the state of a domain counts for each task."""

import unittest

import msgpack

from gentianlead import model
from gentianlead import state

_SPEC = model.JobSpec("job", tasks=2)
_LONE = model.ReleaseReason.LONE_CRASH.value
_SHARED = model.ReleaseReason.SHARED_CRASH.value


class GiveUpRuleTest(unittest.TestCase):
    """Tests the evidence from which a task is a suspect or given up."""

    def test_evidence(self) -> None:
        """Guards against a task that is given up too early or too late.

        Two losses of power, of one worker or of many, must not suffice.
        """
        cases = {
            "": (False, False),
            "S": (False, False),
            "L": (True, False),
            "SS": (True, False),
            "LL": (True, False),
            "SSL": (True, False),
            "SLL": (True, True),
            "LLL": (True, True),
            "SSSS": (True, False),
            "SSSL": (True, True),
            "SSSSS": (True, True),
        }
        for pattern, expected in cases.items():
            with self.subTest(pattern=pattern):
                crashes = tuple(
                    model.WorkerCrash(f"w{index}", letter == "L")
                    for index, letter in enumerate(pattern))
                self.assertEqual(
                    (model.is_suspect(crashes), model.is_given_up(crashes)),
                    expected)


class CrashCountTest(unittest.TestCase):
    """Tests when crashes are counted, kept and dropped."""

    def setUp(self) -> None:
        self.state_machine = state.DomainStateMachine()
        self._offset = 0
        self.apply(model.WorkerPut("w1", "rack", model.Resources(1000, 1000)),
                   model.JobOpened(_SPEC, 1, (), {}))

    def apply(self, *records: model.Record) -> None:
        """Applies records, which must be accepted."""
        for record in records:
            self._offset += 1
            verdict = self.state_machine.apply(self._offset, record)
            self.assertTrue(verdict.is_accepted, verdict.reason)

    def run_and_release(self, reason: str, checkpoint: str = "") -> None:
        """Claims task 0 and releases the run."""
        run = self.state_machine.jobs["job"].get_next_run_number(0)
        self.apply(
            model.TaskClaimed("job", 0, run, "w1", _SPEC.resources, "entry"),
            model.TaskReleased("job", 0, run, reason, checkpoint, "entry"))

    def get_pattern(self) -> str:
        """Returns L for each lone and S for each shared crash of task 0."""
        crashes = self.state_machine.jobs["job"].crashes.get(0, ())
        return "".join("L" if crash.is_lone else "S" for crash in crashes)

    def test_release_reasons(self) -> None:
        """Guards against evidence from runs that were not lost early."""
        for reason in model.ReleaseReason:
            self.run_and_release(reason.value)
        self.assertEqual(self.get_pattern(), "LS")

    def test_progress_drops_the_count(self) -> None:
        """Guards against a healthy task that is given up after months."""
        self.run_and_release(_LONE)
        self.run_and_release("evicted", "checkpoint-1")
        self.assertEqual(self.get_pattern(), "")
        self.run_and_release(_SHARED, "checkpoint-1")
        self.run_and_release("evicted", "checkpoint-1")
        self.assertEqual(self.get_pattern(), "S")
        self.apply(
            model.TaskClaimed("job", 0, 5, "w1", _SPEC.resources, "entry"),
            model.TaskFinished("job", 0, 5, "entry"))
        self.assertEqual(self.get_pattern(), "")

    def test_snapshot_keeps_the_count(self) -> None:
        """Guards against a count that a restart from a snapshot drops."""
        self.run_and_release(_LONE)
        self.run_and_release(_SHARED)
        dumped = msgpack.unpackb(msgpack.packb(self.state_machine.dump()),
                                 strict_map_key=False)
        self.state_machine = state.DomainStateMachine()
        self.state_machine.load(dumped)
        self.assertEqual(self.get_pattern(), "LS")

    def test_move_keeps_the_count(self) -> None:
        """Guards against a count that a move between domains drops."""
        self.run_and_release(_LONE)
        self.apply(model.JobClosed("job", 1, "moved"))
        tombstone = self.state_machine.tombstones["job"]
        config = state.ConfigurationStateMachine()
        config.apply(1, model.JobSubmitted(_SPEC, "domain-1", 0))
        config.apply(
            2, model.JobMoved("job", 2, "domain-2", (), {}, tombstone.crashes))
        dumped = msgpack.unpackb(msgpack.packb(config.dump()),
                                 strict_map_key=False)
        config.load(dumped)
        entry = config.jobs["job"]
        self.apply(
            model.JobOpened(_SPEC, 2, entry.done, entry.checkpoints,
                            entry.crashes))
        self.assertEqual(self.get_pattern(), "L")


class OlderVersionTest(unittest.TestCase):
    """Tests that versions without the counts can run beside this one."""

    def test_records_without_crashes(self) -> None:
        """Guards against a move that one of two versions cannot read."""
        for record, field_count in ((model.JobMoved("job", 2, "domain-2", (0,),
                                                    {}), 5),
                                    (model.JobOpened(_SPEC, 2, (0,), {}), 4)):
            data = model.encode_record("entry", 1, record)
            fields = msgpack.unpackb(data)[4]
            self.assertEqual(len(fields), field_count)
            self.assertEqual(model.decode_record(data).record, record)

    def test_snapshots_without_crashes(self) -> None:
        """Guards against a snapshot that one of two versions cannot read."""
        machine = state.DomainStateMachine()
        machine.apply(1, model.JobOpened(_SPEC, 1, (), {}))
        machine.apply(2, model.JobOpened(_SPEC._replace(job_id="b"), 1, (), {}))
        machine.apply(3, model.JobClosed("b", 1, "done"))
        dumped = msgpack.unpackb(msgpack.packb(machine.dump()))
        self.assertEqual([len(job) for job in dumped[2]], [7])
        self.assertLessEqual(len(dumped[4][0][1]), 5)
        config = state.ConfigurationStateMachine()
        config.apply(1, model.JobSubmitted(_SPEC, "domain-1", 0))
        dumped = msgpack.unpackb(msgpack.packb(config.dump()))
        self.assertLessEqual(len(dumped[3][0]), 10)
