"""Entry point of the daemon: reads the settings and runs it."""

import asyncio
import os
import sys

import uvloop

from gentianlead import adapters
from gentianlead import errors
from gentianlead import platform
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _daemon

METRICS_ADDRESS_VARIABLE = "GENTIANLEAD_METRICS_ADDRESS"
"""Environment variable with the `host:port` at which metrics are served;
without it they are not served."""

SETTINGS_ERROR_EXIT_STATUS = 2
"""Exit status if the settings cannot be read or are invalid."""


def main() -> int:
    """Runs the daemon until it is stopped.

    Returns:
        The exit status of the process.
    """
    try:
        path = os.environ.get(platform.SETTINGS_PATH_VARIABLE, "")
        settings = platform.read_settings(path)
    except errors.SettingsError as error:
        print(f"gentianlead: {error}", file=sys.stderr)
        return SETTINGS_ERROR_EXIT_STATUS
    clock = adapters.SystemClock()
    log = _decision_log.DecisionLog(settings.node, clock)
    metrics_address = os.environ.get(METRICS_ADDRESS_VARIABLE, "")

    async def run_daemon() -> None:
        store = platform.PlatformStore(settings.store_address)
        workers = platform.PlatformWorkerClient()
        permits = platform.PlatformPermitService(settings.advisory_address)
        daemon = _daemon.ClusterDaemon(settings, store, workers, permits, clock,
                                       adapters.SystemRandom(), log,
                                       metrics_address)
        try:
            await daemon.run()
        finally:
            await permits.close()
            await workers.close()
            await store.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_daemon())
    return 0
