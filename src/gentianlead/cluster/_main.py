"""Entry point of the daemon on the platform."""

import asyncio
import os
import sys

import uvloop

from gentianlead import adapters
from gentianlead import errors
from gentianlead import platform
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _node

METRICS_VARIABLE = "GENTIANLEAD_METRICS_ADDRESS"
"""Environment variable with `host:port` of the metrics, or empty."""

EXIT_SETTINGS = 2
"""Exit status when the settings are unusable."""


def main() -> int:
    """Runs the daemon.

    Returns:
        The exit status of the process.
    """
    try:
        path = os.environ.get(platform.SETTINGS_VARIABLE, "")
        settings = platform.read_settings(path)
    except errors.SettingsError as error:
        print(f"gentianlead: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    clock = adapters.SystemClock()
    log = _decision_log.DecisionLog(settings.node, clock)
    metrics_address = os.environ.get(METRICS_VARIABLE, "")

    async def run() -> None:
        store = platform.PlatformStore(settings.store_address)
        workers = platform.PlatformWorkers()
        permits = platform.PlatformPermits(settings.advice_address)
        node = _node.ClusterNode(settings, store, workers, permits, clock,
                                 adapters.SystemRandom(), log, metrics_address)
        try:
            await node.run()
        finally:
            await permits.close()
            await workers.close()
            await store.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
    return 0
