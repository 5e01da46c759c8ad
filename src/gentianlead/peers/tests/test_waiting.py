"""Tests of requests that wait for replies."""

import asyncio
import unittest

from gentianlead import errors
from gentianlead import peers
from gentianlead.peers import _waiting


class WaitingRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Correlation ids."""

    async def test_damaged_id_names_no_other_request(self) -> None:
        """Guards against the answer of another request after damage."""
        waiting = _waiting.WaitingRequests("entry-1#ab", 1000)
        futures: dict[int, asyncio.Future] = {}
        for _ in range(300):
            correlation_id = waiting.take_id()
            futures[correlation_id] = waiting.add(correlation_id,
                                                  peers.StatusQuery("s"), 0)
        self.assertEqual(sorted(futures), list(futures))
        for correlation_id in futures:
            for bit in range(63):
                with self.assertRaises(errors.ProtocolError):
                    waiting.accept_reply(correlation_id ^ (1 << bit),
                                         peers.StatusReply(correlation_id))
        for correlation_id, future in reversed(futures.items()):
            waiting.accept_reply(correlation_id,
                                 peers.StatusReply(correlation_id))
            self.assertEqual((await future).value, correlation_id)
        self.assertEqual(len(waiting), 0)
