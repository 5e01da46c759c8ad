"""Hypothesis strategies for the records of a small failure domain.

Each record is built from the state before it, so that many records are
accepted. The others conflict with earlier records, repeat them or are outdated.
"""

import random
from typing import Callable

import hypothesis
from hypothesis import strategies

from gentianlead import model
from gentianlead import state

HYPOTHESIS_SETTINGS = hypothesis.settings(derandomize=True,
                                          database=None,
                                          deadline=None,
                                          max_examples=40)
WORKER_CAPACITY = model.Resources(10, 10, 1)
TASK_COUNT = 3
_JOB_IDS = ("job-a", "job-b")
_WORKERS = ("worker-1", "worker-2")
_WRITERS = ("entry-1#a", "entry-2#b")
_MAX_RECORDS = 90


def build_spec(job_id: str) -> model.JobSpec:
    """Returns the specification that all tests use for this job id."""
    return model.JobSpec(job_id,
                         tasks=TASK_COUNT,
                         resources=model.Resources(3, 3, 0))


def _choose_run(state_machine: state.DomainStateMachine, rng: random.Random,
                job_id: str) -> state.LiveRun:
    runs = [run for run in state_machine.runs.values() if run.job_id == job_id]
    if runs and rng.random() < 0.9:
        return rng.choice(runs)
    return state.LiveRun(job_id, rng.randrange(TASK_COUNT),
                         rng.choice((1, 2, 1_000_001)), "worker-1",
                         model.Resources(), "entry-1#a", 1, 0)


def _build_task_claimed(state_machine: state.DomainStateMachine,
                        rng: random.Random, job_id: str) -> model.Record:
    task = rng.randrange(-1, TASK_COUNT + 1)
    job = state_machine.jobs.get(job_id)
    run = job.get_next_run_number(task) if job is not None else 1
    if rng.random() < 0.1:
        run += rng.choice((-1, 1, 1_000_000))
    resources = model.Resources(rng.choice((1, 2, 3, 6, -1)), rng.randint(0, 4),
                                int(rng.random() < 0.2))
    return model.TaskClaimed(job_id, task, run, rng.choice(_WORKERS), resources,
                             rng.choice(_WRITERS))


def _build_task_finished(state_machine: state.DomainStateMachine,
                         rng: random.Random, job_id: str) -> model.Record:
    run = _choose_run(state_machine, rng, job_id)
    return model.TaskFinished(job_id, run.task, run.run, run.holder)


def _build_task_released(state_machine: state.DomainStateMachine,
                         rng: random.Random, job_id: str) -> model.Record:
    run = _choose_run(state_machine, rng, job_id)
    return model.TaskReleased(job_id, run.task, run.run,
                              rng.choice(("evicted", "failed")),
                              rng.choice(("", "c-1", "c-2")), run.holder)


def _build_holder_changed(state_machine: state.DomainStateMachine,
                          rng: random.Random, job_id: str) -> model.Record:
    run = _choose_run(state_machine, rng, job_id)
    return model.HolderChanged(job_id, run.task, run.run,
                               rng.choice((run.holder, *_WRITERS)),
                               rng.choice(_WRITERS))


def _build_renewals_ended(state_machine: state.DomainStateMachine,
                          rng: random.Random, job_id: str) -> model.Record:
    run = _choose_run(state_machine, rng, job_id)
    return model.RenewalsEnded(job_id, run.task, run.run,
                               rng.choice((run.holder, *_WRITERS)),
                               rng.choice((0, 15_000)))


def _build_job_opened(state_machine: state.DomainStateMachine,
                      rng: random.Random, job_id: str) -> model.Record:
    tombstone = state_machine.tombstones.get(job_id)
    epoch = 1 if tombstone is None else tombstone.epoch + rng.randint(0, 2)
    return model.JobOpened(build_spec(job_id), epoch,
                           (0,) if rng.random() < 0.2 else (), {1: "c-0"})


def _build_job_closed(state_machine: state.DomainStateMachine,
                      rng: random.Random, job_id: str) -> model.Record:
    job = state_machine.jobs.get(job_id)
    epoch = rng.randint(1, 3) if job is None else job.epoch
    return model.JobClosed(job_id, epoch, "moved")


def _build_worker_record(state_machine: state.DomainStateMachine,
                         rng: random.Random, job_id: str) -> model.Record:
    del state_machine, job_id
    worker = rng.choice(_WORKERS)
    capacity = rng.choice(
        (WORKER_CAPACITY, WORKER_CAPACITY, model.Resources(4, 4, 0)))
    return rng.choice((model.WorkerPut(worker, "rack-1", capacity),
                       model.WorkerPut(worker, "rack-1",
                                       capacity), model.WorkerRemoved(worker)))


def _build_member_record(state_machine: state.DomainStateMachine,
                         rng: random.Random, job_id: str) -> model.Record:
    del state_machine, job_id
    member = rng.choice(_WRITERS)
    return rng.choice((model.MemberJoined(member, 0, "127.0.0.1:1"),
                       model.MemberHeartbeat(member), model.MemberLeft(member)))


_RecordBuilder = Callable[[state.DomainStateMachine, random.Random, str],
                          model.Record]
_WEIGHTED_BUILDERS: tuple[_RecordBuilder,
                          ...] = (*[_build_task_claimed] * 6,
                                  *[_build_task_released] * 3,
                                  _build_task_finished, _build_job_opened,
                                  _build_job_closed, _build_worker_record,
                                  _build_holder_changed, _build_renewals_ended,
                                  _build_member_record)


def _build_records(
        builders_and_seeds: list[tuple[_RecordBuilder,
                                       int]]) -> list[model.Record]:
    state_machine = state.DomainStateMachine()
    records: list[model.Record] = [
        *(model.WorkerPut(worker, "rack-1", WORKER_CAPACITY)
          for worker in _WORKERS),
        *(model.JobOpened(build_spec(job_id), 1, (), {}) for job_id in _JOB_IDS)
    ]
    for offset, record in enumerate(records):
        state_machine.apply(offset, record)
    for builder, seed in builders_and_seeds:
        rng = random.Random(seed)
        record = builder(state_machine, rng, rng.choice(_JOB_IDS))
        state_machine.apply(len(records), record)
        records.append(record)
    return records


domain_record_lists = strategies.lists(
    strategies.tuples(strategies.sampled_from(_WEIGHTED_BUILDERS),
                      strategies.integers(0, 9999)),
    min_size=30,
    max_size=_MAX_RECORDS).map(_build_records)


def _encode_records(records: list[model.Record], seed: int) -> list[bytes]:
    """Encodes each record for one of two writers and inserts duplicates.

    The writer of a record is random. Each duplicate repeats an earlier record
    with the same writer and sequence number.
    """
    rng = random.Random(seed)
    stream: list[bytes] = []
    last_sequences = dict.fromkeys(_WRITERS, 0)
    for record in records:
        if stream and rng.random() < 0.2:
            stream.append(rng.choice(stream))
        writer = rng.choice(_WRITERS)
        last_sequences[writer] += 1
        stream.append(
            model.encode_record(writer, last_sequences[writer], record))
    return stream


encoded_domain_streams = strategies.builds(_encode_records, domain_record_lists,
                                           strategies.integers(0, 9999))


def feed_from_offset(replica: state.StreamReplica,
                     stream: list[bytes],
                     start: int = 0) -> list[state.AppliedRecord]:
    """Feeds a replica the records of a stream from offset `start` on."""
    return replica.feed(list(enumerate(stream))[start:])
