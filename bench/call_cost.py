"""Processor time of one call to a worker agent, for the capacity page.

The agent is a fake in another process, so that only the caller's side counts.

Example:
    $ python -m bench.call_cost --output out/call_cost.json
"""

import asyncio
import json
import multiprocessing
import pathlib
import time
from typing import NamedTuple

import aiohttp
from aiohttp import web
import click
import uvloop

from gentianlead import adapters
from gentianlead import model
from gentianlead import ports

_CALLS = 2000
_RUN_COUNTS = (1, 12, 48)
_ROUNDS = 3


class CallCost(NamedTuple):
    """Cost of one kind of call.

    Attributes:
        call: Name of the call.
        runs: Runs that it speaks of.
        microseconds: Processor time of the caller.
    """

    call: str
    runs: int
    microseconds: float


async def _serve(connection: "multiprocessing.connection.Connection") -> None:

    async def answer(request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else {}
        tasks = [{
            **renewal, "state": "running"
        } for renewal in body.get("renewals", [])]
        reply = {"boot_id": "b", "worker_time_ms": 1, "state": "running"}
        return web.json_response({**reply, "tasks": tasks})

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    connection.send(runner.addresses[0][1])
    await asyncio.Event().wait()


def _run_agent(connection: "multiprocessing.connection.Connection") -> None:
    uvloop.run(_serve(connection))


async def _measure(port: int) -> list[CallCost]:
    address = f"127.0.0.1:{port}"
    costs = []
    async with aiohttp.ClientSession() as session:
        agent = adapters.HttpWorkerAgent(session)
        order = ports.StartOrder(ports.RunKey("job-1", 0, 1), "b",
                                 model.Resources(100, 64), 1, 1, 1, b"{}", "")
        costs.append(await _time("start", 1,
                                 lambda: agent.start(address, order)))
        for count in _RUN_COUNTS:
            renewals = [
                ports.LeaseRenewal(ports.RunKey("job-1", task, 1), 1, 1)
                for task in range(count)
            ]
            costs.append(await _time(
                "renew",
                count,
                lambda renewals=renewals: agent.renew(address, "b", renewals)))
    return costs


async def _time(call: str, runs: int, send) -> CallCost:
    best = float("inf")
    for _ in range(_ROUNDS):
        began = time.process_time()
        for _ in range(_CALLS):
            await send()
        best = min(best, time.process_time() - began)
    return CallCost(call, runs, best / _CALLS * 1e6)


@click.command()
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def main(output: pathlib.Path | None) -> None:
    """Measures calls to a worker agent and prints a table."""
    receiver, sender = multiprocessing.Pipe(duplex=False)
    agent = multiprocessing.Process(target=_run_agent,
                                    args=(sender,),
                                    daemon=True)
    agent.start()
    try:
        costs = uvloop.run(_measure(receiver.recv()))
    finally:
        agent.terminate()
        agent.join()
    for cost in costs:
        click.echo(f"{cost.call:8}{cost.runs:4} runs "
                   f"{cost.microseconds:8.0f} us")
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(json.dumps([cost._asdict() for cost in costs],
                                     indent=1),
                          encoding="utf-8")


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
