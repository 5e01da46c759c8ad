"""Tests calls that wait for one of the connections of an endpoint."""

import asyncio
import datetime
import unittest

from aiohttp import web

from gentianlead import errors
from gentianlead.platform import _http
from gentianlead.platform import _workers

REPLY_S = 0.3
TIMEOUT = datetime.timedelta(seconds=0.8)
CALL_COUNT = 12


class WaitingCallTest(unittest.IsolatedAsyncioTestCase):
    """Tests concurrent calls to a server that is 0.3 s away."""

    async def test_call_that_was_not_sent_did_not_run(self):
        """Guards against orders that count as unanswered and were never sent.

        Their worker would count as unreachable.
        """
        received = []

        async def serve(request: web.BaseRequest) -> web.Response:
            received.append(request.path)
            await asyncio.sleep(REPLY_S)
            return web.Response()

        runner = web.ServerRunner(web.Server(serve), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        endpoint = _http.HttpEndpoint(f"127.0.0.1:{runner.addresses[0][1]}",
                                      _workers.MAX_ORDER_CONNECTIONS)
        self.addAsyncCleanup(endpoint.close)
        results = await asyncio.gather(*(endpoint.call("POST", f"/{number}",
                                                       TIMEOUT)
                                         for number in range(CALL_COUNT)),
                                       return_exceptions=True)
        unsent_verdicts = [
            result.verdict
            for number, result in enumerate(results)
            if f"/{number}" not in received
        ]
        self.assertNotIn(errors.Verdict.MAY_HAVE_RUN, unsent_verdicts)
