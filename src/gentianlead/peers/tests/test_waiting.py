"""Tests of the table of requests that wait for replies."""

import asyncio
import unittest

from gentianlead import errors
from gentianlead import peers
from gentianlead.peers import _pending


class PendingRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Replies are matched to requests by correlation id."""

    async def test_damaged_id_names_no_other_request(self) -> None:
        """Guards against a damaged id that matches another request."""
        pending_requests = _pending.PendingRequests("entry-1#ab", 1000)
        futures: dict[int, asyncio.Future] = {}
        for _ in range(300):
            correlation_id = pending_requests.allocate_correlation_id()
            futures[correlation_id] = pending_requests.add(
                correlation_id, peers.StatusQuery("s"), 0)
        self.assertEqual(sorted(futures), list(futures))
        for correlation_id in futures:
            for bit in range(63):
                with self.assertRaises(errors.ProtocolError):
                    pending_requests.deliver_reply(
                        correlation_id ^ (1 << bit),
                        peers.StatusReply(correlation_id))
        for correlation_id, future in reversed(futures.items()):
            pending_requests.deliver_reply(correlation_id,
                                           peers.StatusReply(correlation_id))
            self.assertEqual((await future).value, correlation_id)
        self.assertEqual(len(pending_requests), 0)
