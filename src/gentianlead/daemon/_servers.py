"""HTTP servers of the daemon, optionally with reloadable TLS certificates."""

import asyncio
import datetime
import pathlib
import ssl

from aiohttp import web

from gentianlead import settings as settings_module

MAX_HEADER_BYTES = 16 * 1024


class ReloadableTLSContext:
    """Holds a TLS server context and reloads its certificate from files.

    Args:
        certificate: Path of the certificate chain in PEM format.
        key: Path of the private key in PEM format.
    """

    def __init__(self, certificate: pathlib.Path, key: pathlib.Path):
        self._certificate = certificate
        self._key = key
        self._loaded_mtimes: tuple[float, float] = (0.0, 0.0)
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.reload()

    def reload(self) -> bool:
        """Loads the certificate and the key if the files have changed.

        New connections use them; existing connections are unaffected.

        Returns:
            Whether the files had changed and were loaded.

        Raises:
            OSError: A file is missing, or certificate and key are invalid;
                the former pair stays in use.
        """
        file_mtimes = (self._certificate.stat().st_mtime,
                       self._key.stat().st_mtime)
        if file_mtimes == self._loaded_mtimes:
            return False
        self.context.load_cert_chain(self._certificate, self._key)
        self._loaded_mtimes = file_mtimes
        return True


class HTTPServer:
    """Serves an application at one address.

    Args:
        application: Routes and middlewares.
        address: Address to listen on.
        connection_limit: Limit on the listen backlog, in connections.
        tls_context: TLS context, or None for plain HTTP.
    """

    def __init__(self, application: web.Application,
                 address: settings_module.Address, connection_limit: int,
                 tls_context: ReloadableTLSContext | None):
        self._runner = web.AppRunner(application,
                                     access_log=None,
                                     max_line_size=MAX_HEADER_BYTES,
                                     max_field_size=MAX_HEADER_BYTES,
                                     shutdown_timeout=1.0)
        self._address = address
        self._connection_limit = connection_limit
        self.tls_context = tls_context

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be bound.
        """
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            ssl_context=self.tls_context.context if self.tls_context else None,
            backlog=min(1024, self._connection_limit),
            reuse_address=True)
        await site.start()

    async def drain(self, timeout: datetime.timedelta) -> None:
        """Stops listening and waits until all responses are sent.

        Args:
            timeout: Longest wait for callers that read responses slowly.
        """
        for site in list(self._runner.sites):
            await site.stop()
        # Yields to the event loop so that requests that have arrived are being
        # handled before the idle connections are closed.
        await asyncio.sleep(0)
        server = self._runner.server
        if server is not None:
            server.pre_shutdown()
            await server.shutdown(timeout.total_seconds())

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        await self._runner.cleanup()


def build_tls_context(certificate: pathlib.Path | None,
                      key: pathlib.Path | None) -> ReloadableTLSContext | None:
    """Returns the TLS context of a port, or None when it has no certificate."""
    if certificate is None or key is None:
        return None
    return ReloadableTLSContext(certificate, key)
