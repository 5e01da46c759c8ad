"""Daemons in the test process, with a fake store and fake workers."""

import asyncio
import datetime
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _daemon
from gentianlead.cluster.tests import fakes

GROUP = "north-1"


def start_daemon(test: unittest.IsolatedAsyncioTestCase,
                 node: str,
                 store: ports.KeyedStore,
                 worker_client: ports.LeasedWorkerClient | None = None,
                 domain: str = GROUP,
                 processor_cores: float = 0.0) -> _daemon.ClusterDaemon:
    """Starts a daemon, by default in the domain of the only group.

    It runs until the test ends.

    Without a worker client, calls to workers reply with mock objects.
    """
    settings = platform.DaemonSettings(
        node=node,
        domain=domain,
        domains=(GROUP,),
        caller_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        peer_host="127.0.0.1",
        peer_ports=(0, 0),
        store_address="",
        store_writes_per_s=100.0,
        store_limits=platform.StoreLimits(),
        advisory_address="",
        vm_service_address="",
        max_lease=datetime.timedelta(seconds=6),
        stop_limit=datetime.timedelta(seconds=1),
        status_retention=datetime.timedelta(seconds=120),
        stop_grace=datetime.timedelta(seconds=6),
        worker_report_interval=datetime.timedelta(seconds=1.5),
        processor_cores=processor_cores,
        link_mbit_s=200.0)
    clock = adapters.SystemClock()
    daemon = _daemon.ClusterDaemon(
        settings, store, worker_client or
        mock.create_autospec(ports.LeasedWorkerClient),
        mock.create_autospec(ports.PermitService), clock,
        adapters.SystemRandom(), fakes.RecordingLog(),
        adapters.LoopDelayMeter(clock))
    run_task = asyncio.create_task(daemon.run())
    test.addCleanup(run_task.cancel)
    return daemon
