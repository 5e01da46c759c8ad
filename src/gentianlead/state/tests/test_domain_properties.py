"""Property tests of a domain's state machine with random records."""

import collections
import unittest

import hypothesis
from hypothesis import strategies as st

from gentianlead import model
from gentianlead import state
from gentianlead.state.tests import strategies


def _build_replica() -> state.StreamReplica:
    return state.StreamReplica("domain.a", state.DomainStateMachine())


def _add_name_prefix(value: object) -> object:
    """Returns the value with a prefix on each non-empty string inside it.

    Values of enums and keys of dictionaries get no prefix.
    """
    if isinstance(value, str) and value not in ("evicted", "failed", "moved",
                                                "batch", ""):
        return "old-department." + value
    if isinstance(value, dict):
        return {key: _add_name_prefix(item) for key, item in value.items()}
    if isinstance(value, tuple):
        items = [_add_name_prefix(item) for item in value]
        return type(value)(
            *items) if hasattr(value, "_fields") else tuple(items)
    return value


class DomainPropertiesTest(unittest.TestCase):
    """Properties that hold for any sequence of records."""

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.domain_record_lists)
    def test_claims_respect_capacity_and_runs(self, records) -> None:
        """Checks each accepted claim against the state of its worker and task.

        Guards against overcommitted workers, two live runs of a task and runs
        of a done task. Also checks the run numbers, that a job with live runs
        is not closed, and the live runs at the end.
        """
        state_machine = state.DomainStateMachine()
        live_claims: dict[tuple[str, int], model.TaskClaimed] = {}
        last_run_numbers_by_task: dict[tuple[str, int],
                                       int] = collections.defaultdict(int)
        done_tasks: set[tuple[str, int]] = set()
        capacity_by_worker: dict[str, model.Resources] = {}
        for offset, record in enumerate(records):
            if not state_machine.apply(offset, record).is_accepted:
                continue
            if isinstance(record, model.WorkerPut):
                capacity_by_worker[record.worker] = record.capacity
            elif isinstance(record, model.WorkerRemoved):
                del capacity_by_worker[record.worker]
            elif isinstance(record, model.TaskClaimed):
                task_key = (record.job_id, record.task)
                self.assertNotIn(task_key, live_claims)
                self.assertNotIn(task_key, done_tasks)
                epoch_base = (state_machine.jobs[record.job_id].epoch -
                              1) * 1_000_000
                self.assertEqual(
                    record.run,
                    max(last_run_numbers_by_task[task_key], epoch_base) + 1)
                self.assertGreaterEqual(min(record.resources), 0)
                last_run_numbers_by_task[task_key] = record.run
                live_claims[task_key] = record
                self._check_capacity(record.worker, live_claims,
                                     capacity_by_worker)
            elif isinstance(record, (model.TaskFinished, model.TaskReleased)):
                task_key = (record.job_id, record.task)
                self.assertEqual(live_claims.pop(task_key).run, record.run)
                if isinstance(record, model.TaskFinished):
                    done_tasks.add(task_key)
            elif isinstance(record, model.JobClosed):
                self.assertFalse([
                    task_key for task_key in live_claims
                    if task_key[0] == record.job_id
                ])
                done_tasks = {
                    task_key for task_key in done_tasks
                    if task_key[0] != record.job_id
                }
        self.assertEqual(
            {
                task_key: run.run
                for task_key, run in state_machine.runs.items()
            }, {
                task_key: claim.run for task_key, claim in live_claims.items()
            })

    def _check_capacity(self, worker: str, live_claims: dict,
                        capacity_by_worker: dict) -> None:
        used_resources = model.Resources()
        for claim in live_claims.values():
            if claim.worker == worker:
                used_resources = used_resources.plus(claim.resources)
        self.assertTrue(used_resources.fits_in(capacity_by_worker[worker]),
                        (worker, used_resources))

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.encoded_domain_streams, st.data())
    def test_all_readers_agree(self, stream, data) -> None:
        """Checks that all replicas of a stream give the same verdicts.

        One replica reads everything at once, one reads in batches that may
        overlap, and one is restored from a snapshot. The restored one must also
        have the same state and the same claimable tasks as the first. Guards
        against verdicts that depend on batch sizes or snapshots.
        """
        full_replica = _build_replica()
        expected = strategies.feed_from_offset(full_replica, stream)
        batch_replica = _build_replica()
        applied = []
        while batch_replica.position < len(stream):
            end_offset = batch_replica.position + data.draw(st.integers(1, 20))
            start_offset = max(
                0, batch_replica.position - data.draw(st.integers(0, 3)))
            applied += strategies.feed_from_offset(batch_replica,
                                                   stream[:end_offset],
                                                   start_offset)
        self.assertEqual(applied, expected)
        snapshot_offset = data.draw(st.integers(1, len(stream)))
        snapshot_source = _build_replica()
        strategies.feed_from_offset(snapshot_source, stream[:snapshot_offset])
        parts = snapshot_source.build_snapshot("snapshot-1")
        restored_replica = _build_replica()
        restored_replica.reset_after_expiry(snapshot_offset)
        remaining_records = stream[snapshot_offset:] + [
            model.encode_record("entry-1#a", 10_000 + part.index, part)
            for part in parts
        ]
        applied = restored_replica.feed(
            list(enumerate(remaining_records, snapshot_offset)))
        self.assertTrue(restored_replica.is_complete)
        self.assertEqual(applied[:-len(parts)], expected[snapshot_offset:])
        self.assertEqual(restored_replica.state_machine.dump(),
                         full_replica.state_machine.dump())
        for job_id, job in full_replica.state_machine.jobs.items():
            restored_job = restored_replica.state_machine.jobs[job_id]
            claimable_tasks = [
                task for task in range(job.spec.tasks)
                if task not in job.done and task not in job.live_tasks
            ]
            for checked_job in (job, restored_job):
                self.assertEqual(checked_job.list_claimable_tasks(9),
                                 claimable_tasks)
                self.assertEqual(
                    checked_job.get_next_claimable_task(),
                    claimable_tasks[0] if claimable_tasks else None)

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.encoded_domain_streams, st.data())
    def test_duplicate_changes_nothing(self, stream, data) -> None:
        """Checks that duplicates are not accepted and do not change the state.

        Compares the number of accepted records, and the state without its
        offsets. Guards against a duplicate that is applied a second time.
        """
        full_replica = _build_replica()
        expected = strategies.feed_from_offset(full_replica, stream)
        duplicate_replica = _build_replica()
        stream_with_duplicates: list[bytes] = []
        for record in stream:
            stream_with_duplicates.append(record)
            if data.draw(st.booleans()):
                stream_with_duplicates.append(
                    data.draw(st.sampled_from(stream_with_duplicates)))
        applied = strategies.feed_from_offset(duplicate_replica,
                                              stream_with_duplicates)
        self.assertEqual([item.verdict for item in applied if item.verdict[0]],
                         [item.verdict for item in expected if item.verdict[0]])
        self.assertEqual(
            _describe_without_offsets(duplicate_replica.state_machine),
            _describe_without_offsets(full_replica.state_machine))

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.domain_record_lists)
    def test_names_are_opaque(self, records) -> None:
        """Checks that verdicts stay the same when all names get a prefix.

        Guards against verdicts that depend on the spelling of names.
        """
        state_machine, renamed_state_machine = state.DomainStateMachine(
        ), state.DomainStateMachine()
        for offset, record in enumerate(records):
            self.assertEqual(
                state_machine.apply(offset, record).is_accepted,
                renamed_state_machine.apply(
                    offset, _add_name_prefix(record)).is_accepted, record)


def _describe_without_offsets(
        state_machine: state.DomainStateMachine) -> object:
    return ([
        (member.member, member.seat)
        for member in state_machine.members.values()
    ], {
        name: worker.free for name, worker in state_machine.workers.items()
    }, {
        job_id:
            (job.done, job.live_tasks, job.last_run_numbers, job.checkpoints)
        for job_id, job in state_machine.jobs.items()
    }, [run._replace(claim_offset=0) for run in state_machine.runs.values()],
            list(state_machine.tombstones.items()))
