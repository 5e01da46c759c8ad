"""Regular checks of all connections of a pool or of a listener."""

import asyncio
from typing import Callable

from gentianlead import ports
from gentianlead.peers import _handler
from gentianlead.peers import _peer_liveness

LinkCheck = Callable[[float], None]
"""Checks one connection; called with the monotonic time in seconds."""


class LinkMonitor:
    """Runs the checks of all connections in one task.

    The number of wakes of a process is thus independent of the number of its
    connections. The task runs while there are connections.
    """

    def __init__(self, clock: ports.Clock, settings: _handler.LinkSettings):
        self._clock = clock
        self._check_interval = (settings.heartbeat_interval /
                                _peer_liveness.CHECKS_PER_HEARTBEAT)
        self._checks: set[LinkCheck] = set()
        self._task: asyncio.Task | None = None

    def add(self, check: LinkCheck) -> None:
        """Calls a check at each further tick."""
        self._checks.add(check)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(
                self._run_checks())

    def remove(self, check: LinkCheck) -> None:
        """Ends the calls of a check."""
        self._checks.discard(check)
        if not self._checks and self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run_checks(self) -> None:
        while True:
            await self._clock.sleep(self._check_interval)
            now = self._clock.monotonic()
            for check in tuple(self._checks):
                try:
                    check(now)
                except Exception as error:  # pylint: disable=broad-exception-caught
                    # A fault in one check must not end those of the other
                    # connections.
                    asyncio.get_running_loop().call_exception_handler({
                        "message": "check of a peer connection failed",
                        "exception": error,
                    })
