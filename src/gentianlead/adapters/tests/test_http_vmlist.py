"""Tests of the client of the list of VMs over a slow link."""

import asyncio
import json
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from gentianlead import adapters
from gentianlead import errors
from gentianlead.adapters import _http_vmlist

_CHUNK_BYTES = 4096
_CHUNK_INTERVAL_S = 0.05
_LIMIT_S = 0.4
_VM_NAMES = [f"worker-{number:04}" for number in range(2000)]


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Checks a list whose transfer takes longer than the time limit."""

    async def asyncSetUp(self) -> None:
        self.stalls = False
        app = web.Application()
        app.router.add_get("/vms", self.send_slowly)
        runner = web.AppRunner(app,
                               handler_cancellation=True,
                               shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.vm_list = adapters.HttpVMList(f"http://{host}:{port}", session)
        self.enterContext(
            mock.patch.object(_http_vmlist, "REQUEST_TIMEOUT",
                              _http_vmlist.build_timeout(_LIMIT_S)))

    async def send_slowly(self, request: web.Request) -> web.StreamResponse:
        """Sends the list in chunks, or only the first one of them."""
        body = json.dumps({
            "vms": [{
                "name": name,
                "domain": "domain-1"
            } for name in _VM_NAMES]
        }).encode()
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), _CHUNK_BYTES):
            await response.write(body[start:start + _CHUNK_BYTES])
            await asyncio.sleep(3600 if self.stalls else _CHUNK_INTERVAL_S)
        return response

    async def test_long_transfer_completes(self) -> None:
        """Checks a list that arrives steadily for 1 s.

        Guards against a list that is read again and again from its start.
        """
        vms = await self.vm_list.list_vms()
        self.assertEqual([vm.name for vm in vms], _VM_NAMES)

    async def test_stalled_transfer_fails(self) -> None:
        """Guards against a reader that waits for ever for a lost connection."""
        self.stalls = True
        with self.assertRaises(errors.LogUnavailableError):
            async with asyncio.timeout(20):
                await self.vm_list.list_vms()
