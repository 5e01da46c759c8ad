"""Tests of the connections between daemons, on loopback."""

import asyncio
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead.cluster import _peering
from gentianlead.cluster.tests import daemons
from gentianlead.cluster.tests import fakes
from gentianlead.cluster.tests import leading


async def serve_name(payload: bytes) -> object:
    """Replies with the name that was sent."""
    return dispatch.decode_value(payload, str)


class PeeringTest(unittest.IsolatedAsyncioTestCase):
    """Tests connections of which one daemon dials each."""

    async def start(self, incarnation: str) -> tuple:
        """Starts the peering of a daemon; returns it and its member record."""
        peering = _peering.Peering(incarnation, daemons.GROUP,
                                   adapters.SystemClock(),
                                   adapters.SystemRandom())
        peering.handlers["name"] = serve_name
        address = await peering.start("127.0.0.1", (0, 0))
        self.addAsyncCleanup(peering.close)
        node = incarnation.partition("#")[0]
        return peering, dispatch.MemberRecord(node, incarnation, address,
                                              daemons.GROUP, 1)

    async def test_one_connection_serves_both_daemons(self):
        """Guards against two connections a pair, and against a dead one in use.
        """
        first, first_record = await self.start("a#1")
        second, second_record = await self.start("b#1")
        first.set_members({"b": second_record}, frozenset({"b"}))
        second.set_members({"a": first_record}, frozenset())
        await leading.wait_until(second.list_reachable_daemons)
        second.set_members({"a": first_record}, frozenset({"a"}))
        self.assertEqual(await second.call("a", "name", "x", str), "x")
        self.assertEqual(await first.call("b", "name", "x", str), "x")
        await asyncio.sleep(0.1)
        # pylint: disable=protected-access
        self.assertFalse(first._peer_server.links)
        await first.close()
        await leading.wait_until(lambda: not second.list_reachable_daemons())
        self.assertEqual(second.find_reachability().unreachable_names, {"a"})
        with self.assertRaises(errors.RequestError) as caught:
            await second.call("a", "name", "x", str)
        self.assertIs(caught.exception.verdict, errors.Verdict.DID_NOT_RUN)

        # The next process of the daemon does not dial: it has to be dialed, and
        # is unreachable only for as long as it has no connection.
        first, first_record = await self.start("a#2")
        self.assertFalse(second.list_reachable_daemons())
        second.set_members({"a": first_record}, frozenset({"a"}))
        self.assertFalse(second.find_reachability().unreachable_names)
        await leading.wait_until(second.list_reachable_daemons)
        self.assertEqual(await second.call("a", "name", "x", str), "x")

    async def test_connection_of_another_process_is_not_used(self):
        """Guards against calls to a former process of a daemon."""
        former, _ = await self.start("a#1")
        peering, record = await self.start("b#1")
        former.set_members({"b": record}, frozenset({"b"}))
        await leading.wait_until(former.list_reachable_daemons)
        member = dispatch.MemberRecord("a", "a#2", "127.0.0.1:9", daemons.GROUP,
                                       1)
        peering.set_members({"a": member}, frozenset({"a"}))
        await leading.wait_until(
            lambda: peering.find_reachability().unreachable_names)
        self.assertFalse(peering.list_reachable_daemons())
        with self.assertRaises(errors.RequestError):
            await peering.call("a", "name", "x", str)

    async def test_connection_that_is_not_wanted_ends_later(self):
        """Guards against connections that open and close with each change."""
        peering, _ = await self.start("a#1")
        _, record = await self.start("b#1")
        peering.set_members({"b": record}, frozenset({"b"}))
        await leading.wait_until(peering.list_reachable_daemons)
        for members in ({"b": record}, {}):
            peering.set_members(members, frozenset())
            self.assertEqual(peering.list_reachable_daemons(), {"b"})
        await asyncio.sleep(_peering.CONNECTION_LINGER.total_seconds() + 0.1)
        peering.set_members({"b": record}, frozenset())
        self.assertFalse(peering.list_reachable_daemons())


class SparseClusterTest(unittest.IsolatedAsyncioTestCase):
    """Tests daemons of one domain that connect to some of the others."""

    async def test_connections_and_reports_of_twelve_daemons(self):
        """Guards against connections of all pairs, and daemons without reports.
        """
        store = fakes.FakeStore()
        cluster = [
            daemons.start_daemon(self, f"entry-{number}", store)
            for number in range(12)
        ]
        # pylint: disable=protected-access
        await leading.wait_until(
            lambda: all(daemons.GROUP in daemon._job_service.load_reports
                        for daemon in cluster))
        await asyncio.sleep(_peering.CONNECTION_LINGER.total_seconds() + 0.5)
        link_counts = [
            len(daemon._peering._peer_server.links) for daemon in cluster
        ]
        self.assertLessEqual(sum(link_counts), 12 * 4)

    async def test_members_that_join_before_a_claim_come_first(self):
        """Guards against a first daemon that claims the groups of all domains.

        The member of the group's domain has not replied to its dial.
        """
        server = await asyncio.start_server(lambda reader, writer: None,
                                            "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        store = fakes.FakeStore()
        daemon = daemons.start_daemon(self, "entry-x", store, domain="south-1")
        # pylint: disable=protected-access
        await leading.wait_until(lambda: daemon._acquisitions)
        member = dispatch.MemberRecord("entry-1", "entry-1#1", address,
                                       daemons.GROUP, 1)
        store.write(dispatch.JOB_TOPIC, dispatch.encode_record(member))
        await asyncio.sleep(0.3)
        self.assertFalse(leading.list_records(store, dispatch.LeaderRecord))
