"""Processor time and size of each record kind, for the capacity page.

Example:
    $ python -m bench.fold_cost --output out/fold_cost.json
"""

import json
import pathlib
import time
from typing import NamedTuple

import click

from bench import states
from gentianlead import model
from gentianlead import state

_SIZES = tuple(
    states.DomainSize(workers, live_runs)
    for workers in (24, 200, 1_400)
    for live_runs in (0, 5_000, 17_000))
_JOBS_PER_KIND = 100
_BATCH_RECORDS = 100
"""Records in one read."""

_NEW_HOLDER = f"{states.MEMBER}-1"
_ROUNDS = 3
"""Rounds on fresh states; the fastest counts, because others include pauses
of the machine."""


class RecordCost(NamedTuple):
    """Cost of one record kind.

    Attributes:
        fold: Stream that it belongs to.
        kind: Name of the record type.
        workers: Workers in the state.
        live_runs: Live runs in the state.
        bytes: Mean length of an encoded record.
        microseconds: Processor time to decode and apply a record.
    """

    fold: str
    kind: str
    workers: int
    live_runs: int
    bytes: float
    microseconds: float


def _build_domain_steps(size: states.DomainSize) -> list[list[model.Record]]:
    """Returns lists of records of one kind each, to be applied in order."""
    specs = [
        states.build_spec(20_000_000 + number)
        for number in range(_JOBS_PER_KIND)
    ]
    tasks = range(states.TASKS_PER_JOB)
    runs = [(spec, task) for spec in specs for task in tasks]
    claims = [
        states.build_claim(spec, task, number % size.workers)
        for number, (spec, task) in enumerate(runs)
    ]
    again = [claim._replace(run=2) for claim in claims if claim.task % 2]
    return [
        [model.MemberHeartbeat(f"{states.MEMBER}-0")] * len(runs),
        [
            model.WorkerPut(states.get_worker_name(number % size.workers),
                            "rack-1", states.WORKER_CAPACITY)
            for number in range(len(runs))
        ],
        [model.JobOpened(spec, 1, (), {}) for spec in specs],
        claims,
        [
            model.HolderChanged(spec.job_id, task, 1, states.MEMBER,
                                _NEW_HOLDER) for spec, task in runs
        ],
        [
            model.TaskReleased(claim.job_id, claim.task, 1, "evicted",
                               "checkpoint-0123456789abcdef", _NEW_HOLDER)
            for claim in again
        ],
        [
            model.TaskFinished(spec.job_id, task, 1, _NEW_HOLDER)
            for spec, task in runs
            if task % 2 == 0
        ],
        again,
        [
            model.TaskFinished(claim.job_id, claim.task, 2, claim.holder)
            for claim in again
        ],
        [model.JobClosed(spec.job_id, 1, "done") for spec in specs],
    ]


def _build_configuration_steps(
        size: states.ConfigurationSize) -> list[list[model.Record]]:
    specs = [
        states.build_spec(20_000_000 + number, size.payload_bytes)
        for number in range(_JOBS_PER_KIND)
    ]
    return [
        [
            states.build_patch(size.patches + number, (model.PutTeam(
                f"team-{number % size.teams}", states.WORKER_CAPACITY),))
            for number in range(_JOBS_PER_KIND)
        ],
        [model.JobSubmitted(spec, "domain-1", 1) for spec in specs],
        [
            model.JobMoved(spec.job_id, 2, "domain-2",
                           tuple(range(states.TASKS_PER_JOB // 2)), {})
            for spec in specs
        ],
        [model.JobCancelled(spec.job_id) for spec in specs],
        [model.JobEnded(spec.job_id, 2, "cancelled", "") for spec in specs],
    ]


def _measure_steps(fold: str, replica: state.StreamReplica,
                   size: states.DomainSize,
                   steps: list[list[model.Record]]) -> list[RecordCost]:
    costs = []
    for records in steps:
        start = replica.position
        encoded = states.encode_records(records, start + 1)
        batches = [
            list(enumerate(encoded))[index:index + _BATCH_RECORDS]
            for index in range(0, len(encoded), _BATCH_RECORDS)
        ]
        batches = [[(start + offset, data)
                    for offset, data in batch]
                   for batch in batches]
        began = time.process_time_ns()
        applied = [replica.feed(batch) for batch in batches]
        spent = time.process_time_ns() - began
        for item in (item for batch in applied for item in batch):
            if not item.verdict.is_accepted:
                raise RuntimeError(f"{item.envelope}: {item.verdict.reason}")
        costs.append(
            RecordCost(fold,
                       type(records[0]).__name__, size.workers, size.live_runs,
                       sum(map(len, encoded)) / len(encoded),
                       spent / 1_000 / len(encoded)))
    return costs


def _keep_fastest(rounds: list[list[RecordCost]]) -> list[RecordCost]:
    fastest: dict[tuple, RecordCost] = {}
    for cost in (cost for costs in rounds for cost in costs):
        key = cost[:4]
        known = fastest.get(key)
        if known is None or cost.microseconds < known.microseconds:
            fastest[key] = cost
    return list(fastest.values())


def measure_domain(size: states.DomainSize) -> list[RecordCost]:
    """Returns the costs of the records of a domain stream."""
    rounds = []
    for _ in range(_ROUNDS):
        replica = state.StreamReplica("domain.a", state.DomainStateMachine())
        states.feed_records(replica, states.build_domain_records(size))
        rounds.append(
            _measure_steps("domain", replica, size, _build_domain_steps(size)))
    return _keep_fastest(rounds)


def measure_configuration(size: states.ConfigurationSize) -> list[RecordCost]:
    """Returns the costs of the records of the `config` stream."""
    rounds = []
    for _ in range(_ROUNDS):
        replica = state.StreamReplica("config",
                                      state.ConfigurationStateMachine())
        states.feed_records(replica, states.build_configuration_records(size))
        rounds.append(
            _measure_steps("config", replica, states.DomainSize(0, 0),
                           _build_configuration_steps(size)))
    return _keep_fastest(rounds)


def measure_once(keys: int) -> list[RecordCost]:
    """Returns the costs of the records of the `once` stream."""
    rounds = []
    for _ in range(_ROUNDS):
        replica = state.StreamReplica("once",
                                      state.OneTimeRequestStateMachine())
        states.feed_records(replica, states.build_once_records(keys))
        records = [
            record._replace(key=f"new-{record.key}")
            for record in states.build_once_records(_JOBS_PER_KIND * 10)
        ]
        rounds.append(
            _measure_steps("once", replica, states.DomainSize(0, 0),
                           [records[::2], records[1::2]]))
    return _keep_fastest(rounds)


def print_table(costs: list[RecordCost]) -> None:
    """Prints the costs, one line each."""
    click.echo(f"{'fold':8}{'record':18}{'workers':>8}{'runs':>8}"
               f"{'bytes':>8}{'us':>8}")
    for cost in costs:
        click.echo(f"{cost.fold:8}{cost.kind:18}{cost.workers:8}"
                   f"{cost.live_runs:8}{cost.bytes:8.0f}"
                   f"{cost.microseconds:8.1f}")


@click.command()
@click.option("--output",
              type=click.Path(path_type=pathlib.Path),
              help="File for the figures as JSON.")
def main(output: pathlib.Path | None) -> None:
    """Measures the cost of each record kind."""
    costs = [cost for size in _SIZES for cost in measure_domain(size)]
    costs += measure_configuration(states.ConfigurationSize())
    costs += measure_once(50_000)
    print_table(costs)
    document = json.dumps([cost._asdict() for cost in costs], indent=1)
    if output is None:
        click.echo(document)
    else:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(document, encoding="utf-8")


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
