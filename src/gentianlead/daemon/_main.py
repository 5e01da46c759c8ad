"""Entry point of `gentianleadd`."""

import sys

import aiomisc
import uvloop

from gentianlead import settings as settings_module
from gentianlead import telemetry
from gentianlead.daemon import _entry_daemon

SHUTDOWN_MARGIN_S = 15.0
"""Time for the steps of a planned stop that follow the wait and the drain.

They close the connections and record that the daemon leaves its domain."""


class DaemonService(aiomisc.Service):
    """Starts and stops the entry daemon with the entry point of aiomisc."""

    def __init__(self, settings: settings_module.Settings):
        super().__init__()
        self._settings = settings
        self._entry_daemon: _entry_daemon.EntryDaemon | None = None

    async def start(self) -> None:
        # aiohttp client sessions can be created only in a running event loop.
        self._entry_daemon = _entry_daemon.EntryDaemon(self._settings)
        await self._entry_daemon.start()

    async def stop(self, exception: Exception | None = None) -> None:
        del exception
        if self._entry_daemon is not None:
            await self._entry_daemon.stop()


def run(settings: settings_module.Settings) -> int:
    """Runs the daemon until SIGTERM or SIGINT.

    Returns:
        The exit status of the process.
    """
    timeout = (settings.drain_wait + settings.drain_limit).total_seconds()
    with telemetry.open_event_log(settings.name, settings.log_level.value):
        with aiomisc.entrypoint(DaemonService(settings),
                                log_config=False,
                                loop_factory=uvloop.new_event_loop,
                                shutdown_timeout=timeout +
                                SHUTDOWN_MARGIN_S) as loop:
            loop.run_forever()
        telemetry.emit(telemetry.Event.DAEMON_STOPPED, status=0)
    return 0


_command = settings_module.build_daemon_command(run)


def main() -> None:
    """Runs the command line of the daemon."""
    sys.exit(_command())
