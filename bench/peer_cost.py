"""Processor time of peer streams: idle ones, and a report to all peers.

The peers run in another process, one `Peering` each. The time of that process
is measured, too: it is the receivers' side of the same messages. Beside other
work the streams may break, because a process of the benchmark that gets no
processor for 0.7 s is suspected by the other one.

Example:
    $ python -m bench.peer_cost --output out/peer_cost.json
"""

import asyncio
import datetime
import json
import multiprocessing
import os
import pathlib
import time
from typing import NamedTuple

import click
import uvloop

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import model
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _peering
from gentianlead.cluster import _report_pacer
from gentianlead.cluster import _report_sender

_HOST = "127.0.0.1"
_PORTS = (20_000, 29_999)
_PEER_COUNTS = (8, 32, 96)
_IDLE_SECONDS = 4.0
_REPORTS = 40
_ROUNDS = 3
_TIMEOUT = datetime.timedelta(seconds=60)
_POLL_SECONDS = 0.002
_SENT = {"outcome": "ok"}
_PROCESS_TIME = "process-time"


class PeerCost(NamedTuple):
    """Processor time spent on the streams to a number of peers.

    Attributes:
        peers: Number of peers, with one stream each.
        idle_ms_per_s: Milliseconds a second of the process that dialed, while
            no calls are sent.
        accepted_idle_ms_per_s: The same of the process that accepted.
        report_us_per_peer: Microseconds of the sender to send one report, and
            to receive the reply, for each peer.
        received_report_us: Microseconds to receive, decode and acknowledge one
            report.
    """

    peers: int
    idle_ms_per_s: float
    accepted_idle_ms_per_s: float
    report_us_per_peer: float
    received_report_us: float


def _build_peering(name: str) -> _peering.Peering:
    return _peering.Peering(name, "north-1", adapters.SystemClock(),
                            adapters.SystemRandom())


async def _serve(connection: "multiprocessing.connection.Connection",
                 peer_count: int) -> None:

    async def receive_report(payload: bytes) -> object:
        dispatch.decode_value(payload, _peer_messages.LeaderReport)
        return True

    async def read_process_time(_: bytes) -> object:
        return time.process_time()

    addresses = []
    peerings = [_build_peering(f"peer-{index}") for index in range(peer_count)]
    for peering in peerings:
        peering.handlers[_peer_messages.NOTICE_REPORT] = receive_report
        peering.handlers[_PROCESS_TIME] = read_process_time
        addresses.append(await peering.start(_HOST, _PORTS))
    connection.send(addresses)
    await asyncio.Event().wait()


def _run_peers(connection: "multiprocessing.connection.Connection",
               peer_count: int) -> None:
    uvloop.run(_serve(connection, peer_count))


def _build_report(number: int) -> _peer_messages.LeaderReport:
    """Returns a report with 20 estimates and five states of jobs."""
    load = dispatch.GroupLoad(True, 320_000, 120_000, number, 2 * number)
    return _peer_messages.LeaderReport(
        "north-1", 64, load,
        tuple(
            _peer_messages.JobStateNotice(f"{index:016x}.0.0.{number}",
                                          model.JobState.RUNNING)
            for index in range(5)),
        tuple(
            dispatch.InterferenceEstimate(
                "thumbnail-previews", f"nightly-batch-{index}", 0.25,
                float(number)) for index in range(20)))


async def _read_times(peering: _peering.Peering) -> tuple[float, float]:
    """Returns the processor time of this process and of the peers'."""
    peers_time = await peering.call("peer-0", _PROCESS_TIME, None, float,
                                    _TIMEOUT)
    return time.process_time(), peers_time


async def _measure_idle(peering: _peering.Peering) -> tuple[float, float]:
    began = await _read_times(peering)
    await asyncio.sleep(_IDLE_SECONDS)
    ended = await _read_times(peering)
    return ended[0] - began[0], ended[1] - began[1]


async def _measure_reports(peering: _peering.Peering,
                           peer_count: int) -> tuple[float, float]:
    clock = adapters.SystemClock()
    log = _decision_log.DecisionLog("bench", clock,
                                    os.open(os.devnull, os.O_WRONLY))
    metrics = _metrics.ClusterMetrics()
    metrics.leader_reports.set(_SENT, 0)
    sender = _report_sender.ReportSender(peering,
                                         _report_pacer.ReportPacer(0.0, clock),
                                         log, metrics)
    began = await _read_times(peering)
    async with asyncio.timeout(_TIMEOUT.total_seconds()):
        for number in range(1, _REPORTS + 1):
            sender.publish(_build_report(number))
            while metrics.leader_reports.get(_SENT) < number * peer_count:
                await asyncio.sleep(_POLL_SECONDS)
    ended = await _read_times(peering)
    return ended[0] - began[0], ended[1] - began[1]


async def _measure(addresses: list[str]) -> PeerCost:
    peer_count = len(addresses)
    peering = _build_peering("leader")
    await peering.start(_HOST, _PORTS)
    members = {
        f"peer-{index}":
            dispatch.MemberRecord(f"peer-{index}", "", address, "north-1", 1)
        for index, address in enumerate(addresses)
    }
    peering.set_members(members, frozenset(members))
    while len(peering.list_reachable_daemons()) < peer_count:
        await asyncio.sleep(_POLL_SECONDS)
    idle = [await _measure_idle(peering) for _ in range(_ROUNDS)]
    reports = [
        await _measure_reports(peering, peer_count) for _ in range(_ROUNDS)
    ]
    await peering.close()
    idle_scale = 1e3 / _IDLE_SECONDS
    report_scale = 1e6 / (_REPORTS * peer_count)
    return PeerCost(peer_count,
                    min(spent[0] for spent in idle) * idle_scale,
                    min(spent[1] for spent in idle) * idle_scale,
                    min(spent[0] for spent in reports) * report_scale,
                    min(spent[1] for spent in reports) * report_scale)


def measure_peers(peer_count: int) -> PeerCost:
    """Returns the lowest costs of some rounds with a number of peers."""
    receiver, sender = multiprocessing.Pipe(duplex=False)
    peers_process = multiprocessing.Process(target=_run_peers,
                                            args=(sender, peer_count),
                                            daemon=True)
    peers_process.start()
    try:
        return uvloop.run(_measure(receiver.recv()))
    finally:
        peers_process.terminate()
        peers_process.join()


@click.command()
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def main(output: pathlib.Path | None) -> None:
    """Measures peer streams and prints a table."""
    click.echo(f"{'peers':>6}{'idle ms/s':>12}{'accepted ms/s':>15}"
               f"{'report us/peer':>16}{'received us':>13}")
    costs = []
    for peer_count in _PEER_COUNTS:
        cost = measure_peers(peer_count)
        costs.append(cost)
        click.echo(f"{cost.peers:6}{cost.idle_ms_per_s:12.1f}"
                   f"{cost.accepted_idle_ms_per_s:15.1f}"
                   f"{cost.report_us_per_peer:16.1f}"
                   f"{cost.received_report_us:13.1f}")
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(json.dumps([cost._asdict() for cost in costs],
                                     indent=1),
                          encoding="utf-8")


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
