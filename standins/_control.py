"""Control port: fault switches and the journal of a stand-in process."""

import asyncio
import contextlib
import fnmatch
import json
import os
import signal
import sys
from typing import Any, Awaitable, Callable, Iterable

from aiohttp import web
import uvloop

from standins import _endpoint
from standins import _faults
from standins import _journal

_PARENT_POLL_SECONDS = 0.5
# Read early: the parent may end before the ports are open.
_PARENT = os.getppid()

Command = dict[str, Any]
Action = Callable[[Command], object]


class CommandError(Exception):
    """A control command that is malformed or does not apply."""


class Control:
    """Handles `POST /control`, `GET /journal` and `GET /status`.

    A command is a JSON object with the key `action`. All stand-ins know
    `fault` (`kind`, and optionally `endpoint` as a pattern, `ms`, `count`,
    `method`, `path`, `mode`), `clear` (optionally `kind` and `endpoint`) and
    `clear_journal`.

    Attributes:
        journal: The journal of the process.
        endpoint: The control port.
        actions: Further actions by name.
    """

    def __init__(self, journal: _journal.Journal,
                 endpoints: Iterable[_endpoint.Endpoint]):
        self.journal = journal
        self.endpoint = _endpoint.Endpoint("control", self._handle, journal)
        self.actions: dict[str, Action] = {
            "fault": self._switch_on,
            "clear": self._switch_off,
            "clear_journal": self._clear_journal,
        }
        self._endpoints = list(endpoints)
        self._tasks: list[asyncio.Task[Any]] = []

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Keeps a reference to a background task of the process."""
        self._tasks.append(task)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/journal":
            since = int(request.query.get("since", 0))
            kinds = request.query.get("kinds", "")
            return _endpoint.respond_json(
                self.journal.select(since,
                                    frozenset(filter(None, kinds.split(",")))))
        if request.path == "/status":
            return _endpoint.respond_json(self.get_status())
        if request.path != "/control" or request.method != "POST":
            return _endpoint.respond_json({"error": "unknown path"}, 404)
        try:
            return _endpoint.respond_json(await self._run(await request.read()))
        except (CommandError, ValueError, KeyError, TypeError) as error:
            return _endpoint.respond_json(
                {"error": f"{type(error).__name__}: {error}"}, 400)

    async def _run(self, body: bytes) -> object:
        command = json.loads(body)
        if not isinstance(command, dict):
            raise CommandError("expected a JSON object with the key 'action'")
        action = self.actions.get(str(command.get("action")))
        if action is None:
            known = ", ".join(sorted(self.actions))
            raise CommandError(
                f"unknown action {command.get('action')!r}; known: {known}")
        self.journal.add("control", command=command)
        result = action(command)
        if isinstance(result, Awaitable):
            result = await result
        return {"ok": True, "result": result}

    def get_status(self) -> dict[str, Any]:
        """Returns the ports by endpoint name."""
        return {
            "pid": os.getpid(),
            "control": self.endpoint.port,
            "ports": {
                endpoint.name: endpoint.port for endpoint in self._endpoints
            },
        }

    def _select(self, command: Command) -> list[_endpoint.Endpoint]:
        pattern = command.get("endpoint", "*")
        chosen = [
            endpoint for endpoint in self._endpoints
            if fnmatch.fnmatchcase(endpoint.name, pattern)
        ]
        if not chosen:
            known = ", ".join(endpoint.name for endpoint in self._endpoints)
            raise CommandError(f"no endpoint matches {pattern!r}; "
                               f"known: {known}")
        return chosen

    async def _switch_on(self, command: Command) -> object:
        kind = _faults.FaultKind(command["kind"])
        chosen = self._select(command)
        for endpoint in chosen:
            await endpoint.add_fault(_faults.FaultRule(kind, command))
        return [endpoint.name for endpoint in chosen]

    async def _switch_off(self, command: Command) -> object:
        name = command.get("kind")
        kind = None if name is None else _faults.FaultKind(name)
        chosen = self._select(command)
        for endpoint in chosen:
            await endpoint.clear_faults(kind)
        return [endpoint.name for endpoint in chosen]

    def _clear_journal(self, command: Command) -> object:
        del command
        return self.journal.clear()


async def _watch_parent(stopped: asyncio.Event) -> None:
    while os.getppid() == _PARENT:
        await asyncio.sleep(_PARENT_POLL_SECONDS)
    stopped.set()


async def _serve(start: Callable[[], Awaitable[Control]],
                 does_exit_with_parent: bool) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    control = await start()
    print(json.dumps(control.get_status()), flush=True)
    async with contextlib.AsyncExitStack() as stack:
        if does_exit_with_parent:
            stack.callback(asyncio.create_task(_watch_parent(stopped)).cancel)
        await stopped.wait()
    sys.stdout.flush()


def run(start: Callable[[], Awaitable[Control]],
        does_exit_with_parent: bool = False) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    It prints its ports as one line of JSON when it is ready.

    Args:
        start: Opens the ports and returns the control.
        does_exit_with_parent: Whether to stop when the parent process ends.
    """
    uvloop.run(_serve(start, does_exit_with_parent))
