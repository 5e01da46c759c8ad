"""Tests of a listener and a dialer without faults."""

import asyncio
import time

from gentianlead import errors
from gentianlead import peers
from gentianlead.peers.tests import doubles


class PeersTest(doubles.LoopbackTestCase):
    """Requests between a listener and a dialer that both work."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.handler = doubles.EchoHandler()
        self.server = await self.start_server(self.handler)
        self.address = self.server.address
        self.pool = await self.start_pool(self.address)
        await self.wait_until(self.pool.get_peers)

    async def request(self, message):
        return await self.pool.request(self.address, message,
                                       doubles.WAIT_TIMEOUT)

    async def test_each_kind_of_request_gets_its_reply(self) -> None:
        """Guards against a message that changes when it is sent."""
        cases = (
            (doubles.build_request("/a"), 200),
            (peers.LoanRequest("worker-1", 2,
                               500), peers.LoanGrant("dialer#1/worker-1", 2,
                                                     500)),
            (peers.StatusQuery("members"),
             peers.StatusReply({"members": [1, None, "x"]})),
        )
        for message, expected_reply in cases:
            reply = await self.request(message)
            if expected_reply == 200:
                self.assertEqual(
                    (reply.status, reply.headers, reply.body, reply.verdict),
                    (200, (("x-peer", "dialer#1"),), b"/a", errors.Verdict.RAN))
            else:
                self.assertEqual(reply, expected_reply)
        self.assertTrue(
            self.pool.notify(self.address, peers.LoanReturn("loan-1")))
        await self.request(peers.StatusQuery("members"))
        self.assertEqual(self.handler.returned_loan_ids, ["loan-1"])

    async def test_replies_out_of_order_reach_their_requests(self) -> None:
        """Guards against matching a reply to another request."""
        paths = [f"/{index}" for index in range(50)]
        for path in paths[::2]:
            self.handler.release_events[path] = asyncio.Event()
        body_sizes = [1_500_000 * (index % 10 == 3) for index in range(50)]
        request_tasks = [
            asyncio.create_task(self.request(doubles.build_request(path, size)))
            for path, size in zip(paths, body_sizes)
        ]
        await asyncio.sleep(0.02)
        for path in reversed(paths[::2]):
            self.handler.release_events[path].set()
        for path, size, task in zip(paths, body_sizes, request_tasks):
            body = (await task).body
            self.assertEqual(len(body), max(size, len(path)))
            self.assertTrue(body.startswith(path.encode()))
            self.assertEqual(set(body), set(path.encode()))

    async def test_refusals_keep_code_and_verdict(self) -> None:
        """Guards against losing whether a refused request may have run."""
        cases = (
            ("refused", 0, errors.ErrorCode.NO_TARGET,
             errors.Verdict.DID_NOT_RUN),
            ("faulty", 0, errors.ErrorCode.INTERNAL,
             errors.Verdict.MAY_HAVE_RUN),
            ("previews", 10 * 2**20, errors.ErrorCode.BODY_TOO_LARGE,
             errors.Verdict.RAN),
        )
        for service, size, code, verdict in cases:
            with self.assertRaises(errors.RequestError) as caught:
                await self.request(doubles.build_request("/a", size, service))
            self.assertEqual((caught.exception.code, caught.exception.verdict),
                             (code, verdict), service)

    async def test_heartbeats_keep_an_idle_connection(self) -> None:
        """Guards against treating an idle peer as silent."""
        await asyncio.sleep(4 * doubles.SETTINGS.silence_limit.total_seconds())
        self.assertEqual([event.kind for event in self.events],
                         [peers.PeerEventKind.CONNECTED] * 2)

    async def test_pause_of_this_daemon_is_no_silence_of_its_peers(
            self) -> None:
        """Guards against closing connections after a pause of this daemon."""
        interval = doubles.SETTINGS.heartbeat_interval.total_seconds()
        for step in range(6):
            time.sleep(1.1 * doubles.SETTINGS.silence_limit.total_seconds())
            await asyncio.sleep(interval * (1 + step / 6))
        self.assertEqual([event.kind for event in self.events],
                         [peers.PeerEventKind.CONNECTED] * 2)

    async def test_dialer_connects_again(self) -> None:
        """Guards against a peer that stays unreachable after a restart."""
        await self.server.close()
        await self.wait_until(lambda: not self.pool.get_peers())
        with self.assertRaises(errors.RequestError) as caught:
            await self.request(doubles.build_request("/a"))
        self.assertEqual(caught.exception.verdict, errors.Verdict.DID_NOT_RUN)
        host, port = self.address.split(":")
        await self.server.start(host, int(port))
        await self.wait_until(self.pool.get_peers)
        self.assertEqual((await self.request(doubles.build_request("/b"))).body,
                         b"/b")

    async def test_drain_waits_for_requests_in_progress(self) -> None:
        """Guards against a planned stop that interrupts a request."""
        self.handler.release_events["/a"] = asyncio.Event()
        request_task = asyncio.create_task(
            self.request(doubles.build_request("/a")))
        await self.wait_until(lambda: self.handler.started_paths)
        self.assertFalse(await self.server.drain(doubles.WAIT_TIMEOUT / 100))
        drain_task = asyncio.create_task(self.server.drain(
            doubles.WAIT_TIMEOUT))
        self.handler.release_events["/a"].set()
        self.assertTrue(await drain_task)
        await self.server.close()
        self.assertEqual((await request_task).body, b"/a")

    async def test_connections_are_limited(self) -> None:
        """Guards against an unlimited number of accepted connections."""
        server = await self.start_server(
            self.handler, doubles.SETTINGS._replace(max_connections=1))
        first_pool, second_pool = [
            await self.start_pool(server.address) for _ in "ab"
        ]
        await self.wait_until(
            lambda: self.get_error_texts(peers.PeerEventKind.DIAL_FAILED))
        self.assertEqual(len(server.links), 1)
        self.assertEqual(
            len({
                **first_pool.get_peers(),
                **second_pool.get_peers()
            }), 1)
