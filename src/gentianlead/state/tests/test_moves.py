"""Property test of a job that moves between failure domains."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies as st

from gentianlead import model
from gentianlead import state
from gentianlead.state.tests import strategies

_JOB_ID = "job-a"
_DOMAINS = ("a", "b")


class _SimulatedDeployment:
    """Simulates daemons that share the log of a deployment with one job.

    The daemons may act on outdated entries of the job, and their appends may
    be duplicated.

    Attributes:
        rng: Source of random choices of the current step.
        replicas: Replica of each stream, by name of the stream.
        appended_records: Name of the stream, encoded record and record of each
            append.
        job_entries: Entry of the job after its submission and after each
            accepted move, oldest first.
        last_run_numbers: Highest run number of an accepted claim, by task.
        checkpoints: Newest accepted checkpoint, by task.
        done: Indexes of the tasks that were accepted as done.
    """

    def __init__(self) -> None:
        self.rng = random.Random()
        self.replicas = {
            domain: state.StreamReplica(domain, state.DomainStateMachine())
            for domain in _DOMAINS
        }
        self.replicas["config"] = state.StreamReplica(
            "config", state.ConfigurationStateMachine())
        self.appended_records: list[tuple[str, bytes, model.Record]] = []
        self.job_entries: list[state.JobEntry] = []
        self.last_run_numbers: dict[int, int] = collections.defaultdict(int)
        self.checkpoints: dict[int, str] = {}
        self.done: set[int] = set()
        self.append("config",
                    model.JobSubmitted(strategies.build_spec(_JOB_ID), "a", 0))
        for domain in _DOMAINS:
            self.append(
                domain,
                model.WorkerPut("worker-1", "rack-1",
                                strategies.WORKER_CAPACITY))

    def append(self, stream: str, record: model.Record) -> None:
        """Appends a record, which may be accepted or rejected."""
        data = model.encode_record("entry-1#a",
                                   len(self.appended_records) + 1, record)
        self.appended_records.append((stream, data, record))
        self.feed(stream, data)

    def feed(self, stream: str, data: bytes) -> None:
        """Feeds one record to the replica of a stream.

        Checks the record if the replica accepts it.
        """
        replica = self.replicas[stream]
        [applied] = replica.feed([(replica.position, data)])
        if applied.verdict.is_accepted:
            self.check_accepted_record(stream, applied.envelope.record)

    def check_accepted_record(self, stream: str, record: model.Record) -> None:
        """Checks an accepted claim against the earlier accepted records.

        Records of other types are only stored for later checks.
        """
        if isinstance(record, model.TaskClaimed):
            assert record.task not in self.done, "a done task runs again"
            assert record.run > self.last_run_numbers[
                record.task], "the run number does not increase"
            self.last_run_numbers[record.task] = record.run
            job = self.replicas[stream].state_machine.jobs[_JOB_ID]
            assert job.checkpoints.get(record.task) == self.checkpoints.get(
                record.task), "the checkpoint is not the newest one"
        elif isinstance(record, model.TaskFinished):
            self.done.add(record.task)
        elif isinstance(record, model.TaskReleased) and record.checkpoint:
            self.checkpoints[record.task] = record.checkpoint
        elif isinstance(record, (model.JobSubmitted, model.JobMoved)):
            self.job_entries.append(
                self.replicas["config"].state_machine.jobs[_JOB_ID])

    def choose_job_entry(self) -> state.JobEntry:
        """Returns the current or an outdated entry of the job."""
        entry_age = self.rng.choice((0, 0, 0, 1, 2))
        return self.job_entries[max(0, len(self.job_entries) - 1 - entry_age)]

    def open_job(self) -> None:
        """Opens the job for its current or an outdated assignment."""
        entry = self.choose_job_entry()
        self.append(
            entry.domain,
            model.JobOpened(entry.spec, entry.epoch, entry.done,
                            entry.checkpoints))

    def claim(self) -> None:
        """Claims a random task in a domain; the job may not be open there."""
        domain = self.choose_job_entry().domain
        job = self.replicas[domain].state_machine.jobs.get(_JOB_ID)
        task = self.rng.randrange(strategies.TASK_COUNT)
        self.append(
            domain,
            model.TaskClaimed(_JOB_ID, task,
                              job.get_next_run_number(task) if job else 1,
                              "worker-1", model.Resources(3, 3,
                                                          0), "entry-1#a"))

    def list_live_runs(self) -> list[tuple[str, state.LiveRun]]:
        """Returns the live runs of all domains, each with its domain."""
        return [(domain, run)
                for domain in _DOMAINS
                for run in self.replicas[domain].state_machine.runs.values()]

    def end_run(self) -> None:
        """Ends a random live run as finished or evicted, if there is one."""
        live_runs = self.list_live_runs()
        if not live_runs:
            return
        domain, run = self.rng.choice(live_runs)
        record = model.TaskReleased(_JOB_ID, run.task, run.run, "evicted",
                                    f"c-{len(self.appended_records)}",
                                    run.holder)
        if self.rng.random() < 0.3:
            record = model.TaskFinished(_JOB_ID, run.task, run.run, run.holder)
        self.append(domain, record)

    def close_job(self) -> None:
        """Closes the job for its current or an outdated assignment.

        The job may not have been opened in the domain of the assignment.
        """
        entry = self.choose_job_entry()
        self.append(entry.domain, model.JobClosed(_JOB_ID, entry.epoch,
                                                  "moved"))

    def move_job(self) -> None:
        """Moves the job to a random domain if an assignment was closed.

        The assignment is the current or an outdated one.
        """
        entry = self.choose_job_entry()
        tombstone = self.replicas[entry.domain].state_machine.tombstones.get(
            _JOB_ID)
        if tombstone is not None and tombstone.epoch >= entry.epoch:
            self.append(
                "config",
                model.JobMoved(_JOB_ID, entry.epoch + 1,
                               self.rng.choice(_DOMAINS), tombstone.done,
                               tombstone.checkpoints))

    def repeat_append(self) -> None:
        """Feeds an earlier record again with the same sequence number."""
        stream, data, _ = self.rng.choice(self.appended_records)
        self.feed(stream, data)

    def repeat_record(self) -> None:
        """Appends an earlier record again under a new sequence number."""
        stream, _, record = self.rng.choice(self.appended_records)
        self.append(stream, record)

    def restart_reader(self) -> None:
        """Replaces a random replica with one restored from its snapshot."""
        stream = self.rng.choice(list(self.replicas))
        old_replica = self.replicas[stream]
        new_replica = state.StreamReplica(stream,
                                          type(old_replica.state_machine)())
        new_replica.reset_after_expiry(old_replica.position)
        parts = old_replica.build_snapshot(
            f"snapshot-{len(self.appended_records)}")
        new_replica.feed([(old_replica.position + part.index,
                           model.encode_record("entry-2#b", part.index + 1,
                                               part)) for part in parts])
        assert new_replica.is_complete
        self.replicas[stream] = new_replica

    def run_step(self, name: str, seed: int) -> None:
        """Calls the named method and checks that no task has two live runs."""
        self.rng = random.Random(seed)
        getattr(self, name)()
        live_runs = [run.task for _, run in self.list_live_runs()]
        assert len(live_runs) == len(set(live_runs)), live_runs


_STEP_NAMES = ("open_job", "open_job", "claim", "claim", "claim", "claim",
               "end_run", "end_run", "close_job", "close_job", "move_job",
               "move_job", "repeat_append", "repeat_record", "restart_reader")


class MovesTest(unittest.TestCase):
    """Properties of runs and checkpoints in any sequence of random steps."""

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(
        st.lists(st.tuples(st.sampled_from(_STEP_NAMES), st.integers(0, 9999)),
                 min_size=80,
                 max_size=120))
    def test_no_task_runs_twice_across_moves(self, steps) -> None:
        """Checks that no task has two live runs while its job is moved.

        Also checks that no done task is claimed again, that run numbers
        increase and that each claim finds the task's newest checkpoint.
        """
        deployment = _SimulatedDeployment()
        for name, seed in steps:
            deployment.run_step(name, seed)
