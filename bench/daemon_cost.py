"""Snapshots, memory and peer streams of one daemon, for the capacity page.

Example:
    $ python -m bench.daemon_cost --output out/daemon_cost.json
"""

import gc
import json
import pathlib
import time
import tracemalloc
from typing import Callable, NamedTuple

import click

from bench import states
from gentianlead import peers
from gentianlead import ports
from gentianlead import state
from gentianlead.peers import _codec
from gentianlead.peers import _messages

_TARGET_WORKERS = 117
_TARGET_RUNS = 1_420
_MAX_TOMBSTONES = 50_000
_MAX_ONCE_KEYS = 100_000
_ROUNDS = 3
_FRAMES = 5_000
_MIB = 1024 * 1024


class StateCost(NamedTuple):
    """Cost of holding a fold and of its snapshot.

    Attributes:
        name: What the state contains.
        memory_mib: Memory of the state.
        snapshot_bytes: Data in all parts of a snapshot.
        snapshot_parts: Number of records of a snapshot.
        build_ms: Processor time to build the snapshot.
        load_ms: Processor time to read it and restore the state.
        load_peak_mib: Highest memory while it is read and restored.
    """

    name: str
    memory_mib: float
    snapshot_bytes: int
    snapshot_parts: int
    build_ms: float
    load_ms: float
    load_peak_mib: float


class FrameCost(NamedTuple):
    """Cost of one kind of frame between daemons.

    Attributes:
        name: Kind of the message.
        bytes: Length of the frame.
        encode_microseconds: Processor time to encode it.
        decode_microseconds: Processor time to cut and decode it.
    """

    name: str
    bytes: int
    encode_microseconds: float
    decode_microseconds: float


_DOMAIN = states.DomainSize(_TARGET_WORKERS, _TARGET_RUNS)
_CONFIGURATION = states.ConfigurationSize()
_CASES: tuple[tuple[str, type, Callable[[], list]], ...] = (
    ("domain at target size", state.DomainFold,
     lambda: states.build_domain_records(_DOMAIN)),
    ("domain, all closed jobs kept", state.DomainFold, lambda: states.
     build_domain_records(_DOMAIN._replace(tombstones=_MAX_TOMBSTONES))),
    ("domain, 1,400 workers, 17,000 runs", state.DomainFold,
     lambda: states.build_domain_records(states.DomainSize(1_400, 17_000))),
    ("config at target size", state.ConfigurationFold,
     lambda: states.build_configuration_records(_CONFIGURATION)),
    ("config, payloads of 4 KiB", state.ConfigurationFold, lambda: states.
     build_configuration_records(_CONFIGURATION._replace(payload_bytes=4_096))),
    ("once, all keys", state.OnceFold,
     lambda: states.build_once_records(_MAX_ONCE_KEYS)),
)


def _build_replica(fold_type: type,
                   build_records: Callable[[], list]) -> state.StreamReplica:
    replica = state.StreamReplica("bench", fold_type())
    states.feed_records(replica, build_records())
    return replica


def _measure_memory(fold_type: type, build_records: Callable[[],
                                                             list]) -> float:
    gc.collect()
    tracemalloc.start()
    replica = _build_replica(fold_type, build_records)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del replica
    return size / _MIB


def _restore(fold_type: type, records: list[tuple[int, bytes]],
             earliest: int) -> None:
    replica = state.StreamReplica("bench", fold_type())
    replica.note_expired(earliest)
    replica.feed(records)
    if not replica.is_complete:
        raise RuntimeError("the snapshot did not restore the state")


def _measure_peak(action: Callable[[], None]) -> float:
    gc.collect()
    tracemalloc.start()
    action()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / _MIB


def _measure_time(action: Callable[[], object]) -> float:
    """Returns the lowest processor time of some rounds, in seconds."""
    spent = []
    for _ in range(_ROUNDS):
        began = time.process_time()
        action()
        spent.append(time.process_time() - began)
    return min(spent)


def measure_state(name: str, fold_type: type,
                  build_records: Callable[[], list]) -> StateCost:
    """Returns the cost of one state."""
    memory = _measure_memory(fold_type, build_records)
    replica = _build_replica(fold_type, build_records)
    parts = replica.build_snapshot("snapshot-1")
    build = _measure_time(lambda: replica.build_snapshot("snapshot-1"))
    earliest = replica.position
    records = list(enumerate(states.encode_records(parts), earliest))
    load = _measure_time(lambda: _restore(fold_type, records, earliest))
    peak = _measure_peak(lambda: _restore(fold_type, records, earliest))
    return StateCost(name, memory, sum(len(part.data) for part in parts),
                     len(parts), build * 1_000, load * 1_000, peak)


def _build_messages() -> list[_messages.Message]:
    headers = tuple((f"x-header-{index}", "value" * 4) for index in range(10))
    return [
        _messages.Heartbeat(),
        peers.ForwardRequest(
            "thumbnail-previews", "GET", "/previews/0123456789abcdef?size=200",
            headers, b"", 1_000, True, "interactive",
            {"traceparent": "00-0123456789abcdef0123456789abcdef-01234567-01"}),
        ports.HttpResponse(200, headers, bytes(4_096)),
        peers.LoanAsk(states.get_worker_name(1), 1, 1_000),
        peers.LoanGrant("loan-0123456789abcdef", 1, 1_000),
    ]


def measure_frames() -> list[FrameCost]:
    """Returns the cost of the frequent frames between daemons."""
    costs = []
    for message in _build_messages():
        correlation_id = 1 << 40
        frame = _codec.encode_frame(1, correlation_id, message)

        def encode(message=message, correlation_id=correlation_id) -> None:
            for _ in range(_FRAMES):
                _codec.encode_frame(1, correlation_id, message)

        def decode(frame=frame) -> None:
            reader = _codec.FrameReader()
            for _ in range(_FRAMES):
                for body in reader.feed(frame):
                    _codec.decode_body(body)

        costs.append(
            FrameCost(
                type(message).__name__, len(frame),
                _measure_time(encode) / _FRAMES * 1e6,
                _measure_time(decode) / _FRAMES * 1e6))
    return costs


def print_tables(state_costs: list[StateCost],
                 frame_costs: list[FrameCost]) -> None:
    """Prints the costs, one line each."""
    click.echo(f"{'state':36}{'MiB':>8}{'snapshot':>12}{'parts':>7}"
               f"{'build ms':>10}{'load ms':>9}{'peak MiB':>10}")
    for cost in state_costs:
        click.echo(f"{cost.name:36}{cost.memory_mib:8.1f}"
                   f"{cost.snapshot_bytes:12}{cost.snapshot_parts:7}"
                   f"{cost.build_ms:10.1f}{cost.load_ms:9.1f}"
                   f"{cost.load_peak_mib:10.1f}")
    click.echo(f"{'frame':36}{'bytes':>8}{'encode us':>12}{'decode us':>12}")
    for cost in frame_costs:
        click.echo(f"{cost.name:36}{cost.bytes:8}"
                   f"{cost.encode_microseconds:12.1f}"
                   f"{cost.decode_microseconds:12.1f}")


@click.command()
@click.option("--output",
              type=click.Path(path_type=pathlib.Path),
              help="File for the figures as JSON.")
def main(output: pathlib.Path | None) -> None:
    """Measures states, snapshots and frames at the target size."""
    state_costs = [measure_state(*case) for case in _CASES]
    frame_costs = measure_frames()
    print_tables(state_costs, frame_costs)
    document = json.dumps(
        {
            "states": [cost._asdict() for cost in state_costs],
            "frames": [cost._asdict() for cost in frame_costs]
        },
        indent=1)
    if output is None:
        click.echo(document)
    else:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(document, encoding="utf-8")


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
