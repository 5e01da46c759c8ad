"""Entry point of the daemon process: reads the settings and runs a daemon."""

import asyncio
import os
import sys

import uvloop

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import platform
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _daemon

METRICS_ADDRESS_VARIABLE = "GENTIANLEAD_METRICS_ADDRESS"
"""Environment variable with the `host:port` at which metrics are served;
without the variable they are not served."""

SETTINGS_ERROR_EXIT_STATUS = 2
"""Exit status if the settings cannot be read or are invalid."""


def main() -> int:
    """Runs the daemon until SIGTERM or SIGINT stops it.

    Returns:
        Exit status of the process: 0 after a stop by a signal, or
        `SETTINGS_ERROR_EXIT_STATUS` if the settings cannot be read or are
        invalid.
    """
    try:
        settings_path = os.environ.get(platform.SETTINGS_PATH_VARIABLE, "")
        settings = platform.read_settings(settings_path)
    except errors.SettingsError as error:
        print(f"gentianlead: {error}", file=sys.stderr)
        return SETTINGS_ERROR_EXIT_STATUS
    clock = adapters.SystemClock()
    loop_delay = adapters.LoopDelayMeter(clock)
    log = _decision_log.DecisionLog(settings.node, clock)
    metrics_address = os.environ.get(METRICS_ADDRESS_VARIABLE, "")

    async def run_daemon() -> None:
        store = platform.PlatformStore(settings.store_address,
                                       settings.store_limits)
        worker_client = platform.PlatformWorkerClient(loop_delay,
                                                      dispatch.CALL_END_LIMIT)
        permit_service = platform.PlatformPermitService(
            settings.advisory_address)
        daemon = _daemon.ClusterDaemon(settings, store, worker_client,
                                       permit_service, clock,
                                       adapters.SystemRandom(), log, loop_delay,
                                       metrics_address)
        try:
            await daemon.run()
        finally:
            await permit_service.close()
            await worker_client.close()
            await store.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_daemon())
    return 0
