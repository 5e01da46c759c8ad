"""Tests of the counts that show what a daemon spends its processor time on."""

import asyncio
import collections
import json
import re
import time
from typing import Callable
import unittest

from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _peer_messages
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes

ENTRY = json.dumps({
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "north-1",
    "state": "ready",
    "capacity": {
        "cpu": 8000
    },
    "labels": []
}).encode()

REGISTRY_LABEL = f'{{topic="{platform.REGISTRY_TOPIC}"}}'

# Metrics that rise in a fleet without callers, and their lowest sums.
RISING_METRICS = (
    ('peer_messages_total{direction="sent",kind="heartbeat"}', 4),
    ('peer_messages_total{direction="received",kind="heartbeat"}', 4),
    ('peer_messages_total{direction="sent",kind="report"}', 1),
    ('peer_messages_total{direction="received",kind="report"}', 1),
    ('peer_messages_total{direction="sent",kind="call"}', 1),
    ('peer_messages_total{direction="received",kind="call"}', 1),
    ('peer_messages_total{direction="sent",kind="reply"}', 2),
    ('peer_messages_total{direction="received",kind="reply"}', 2),
    ('peer_bytes_total{direction="sent"}', 400),
    ('peer_bytes_total{direction="received"}', 400),
    ("loop_delay_seconds_total", 0.0),
    ("peer_liveness_checks_total", 8),
    ('topic_records_read_total{topic="jobs"}', 2),
    ('topic_records_decoded_total{topic="jobs"}', 2),
    ("topic_records_read_total" + REGISTRY_LABEL, 2),
    ("topic_records_decoded_total" + REGISTRY_LABEL, 1),
    ("election_rankings_total", 1),
    ("processor_seconds_total", 0.001),
)


class DaemonLoadTest(unittest.IsolatedAsyncioTestCase):
    """Tests the counts of two daemons that are connected to each other."""

    async def asyncSetUp(self) -> None:
        store = fakes.FakeStore()
        store.write(platform.REGISTRY_TOPIC, ports.KeyedRecord("w1", ENTRY))
        self.daemons = [
            daemons.start_daemon(self, node, store)
            for node in ("entry-1", "entry-2")
        ]
        # pylint: disable=protected-access
        self.peering = self.daemons[0]._peering
        self.load_logs = [daemon._load_log for daemon in self.daemons]
        await self.wait_until(lambda: sum(self.peering.count_open_links()) == 1
                              and self.peering.list_reachable_daemons())

    async def wait_until(self, is_done: Callable[[], object]) -> None:
        """Waits until a condition holds; fails the test after 10 s."""
        until = time.monotonic() + 10
        while not is_done():
            self.assertLess(time.monotonic(), until, self.read_metrics())
            await asyncio.sleep(0.05)

    def read_metrics(self) -> dict[str, float]:
        """Returns the sums of both daemons by name and labels."""
        sums: dict[str, float] = collections.defaultdict(float)
        for load_log in self.load_logs:
            text = load_log.render_metrics().decode().replace("{}", "")
            for name, value in re.findall(r"^gentianlead_(\S+) (\S+)$", text,
                                          re.MULTILINE):
                sums[name] += float(value)
        return sums

    async def test_metrics_count_the_work_of_each_kind(self):
        """Waits for each count; one daemon leads a group and sends reports.

        Guards against a cost that grows with the fleet and shows nowhere.
        """
        await self.peering.call("entry-2", _peer_messages.NOTICE_RESIGNATION,
                                _peer_messages.ResignationNotice(daemons.GROUP),
                                bool)
        for name, least in RISING_METRICS:
            with self.subTest(name):
                await self.wait_until(lambda name=name, least=least: self.
                                      read_metrics()[name] >= least)
        # Two daemons share one connection, once a second one has been closed.
        for side in ("dialed", "accepted"):
            name = f'peer_streams{{side="{side}"}}'
            await self.wait_until(
                lambda name=name: self.read_metrics()[name] == 1)

    async def test_line_has_the_counts_since_the_line_before(self):
        """Checks two lines and the totals between them.

        Guards against lines that show totals, in which a rise is lost.
        """
        load_log = self.load_logs[0]
        load_log.write_line()
        first_totals = load_log.collect()
        await asyncio.sleep(0.6)
        time.sleep(0.3)  # Blocks the event loop.
        await asyncio.sleep(0)
        load_log.write_line()
        last_totals = load_log.collect()
        log = self.daemons[0]._log  # pylint: disable=protected-access
        line = log.list_fields("daemon-load")[-1]
        self.assertEqual(line["streams_dialed"], 1)
        self.assertEqual(
            line["sent"]["heartbeat"],
            last_totals.sent["heartbeat"] - first_totals.sent["heartbeat"])
        self.assertGreater(line["sent"]["heartbeat"], 0)
        self.assertGreaterEqual(line["seconds"], 0.5)
        self.assertGreaterEqual(line["loop_delay_s"], 0.2)
        self.assertGreaterEqual(line["loop_delay_max_ms"], 200)
        self.assertEqual(line["sent_bytes"],
                         last_totals.sent_bytes - first_totals.sent_bytes)
