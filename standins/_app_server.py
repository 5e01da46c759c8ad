"""Serves an application of aiohttp on a free loopback port."""

from aiohttp import web

from standins import _endpoint

_SHUTDOWN_S = 0.1


async def start_app(app: web.Application) -> tuple[web.AppRunner, str]:
    """Starts to serve; returns the runner and `host:port`."""
    runner = web.AppRunner(app, shutdown_timeout=_SHUTDOWN_S)
    await runner.setup()
    await web.TCPSite(runner, _endpoint.HOST, 0).start()
    return runner, f"{_endpoint.HOST}:{runner.addresses[0][1]}"
