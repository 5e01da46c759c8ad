"""HTTP client for the servers of the platform."""

import asyncio
import datetime
from typing import Mapping, NamedTuple

import aiohttp
import yarl

from gentianlead import errors

_NOT_CONNECTED_ERRORS = (aiohttp.ClientConnectorError,)


class HttpReply(NamedTuple):
    """A reply that was received completely.

    Attributes:
        status: HTTP status code.
        body: Body of the reply.
    """

    status: int
    body: bytes


class HttpCallError(Exception):
    """A call did not receive a complete reply.

    Attributes:
        verdict: Whether the call may have been carried out.
    """

    def __init__(self, message: str, verdict: errors.Verdict):
        super().__init__(message)
        self.verdict = verdict


class HttpEndpoint:
    """Sends requests to one address over a pool of connections.

    An open connection can stop delivering data for good while new connections
    to the same address work. After a call times out, new calls therefore use a
    new session, and none of the connections open at that time is used again.

    Attributes:
        address: `host:port` of the server.
    """

    def __init__(self, address: str, max_connections: int):
        self.address = address
        self._max_connections = max_connections
        self._session: aiohttp.ClientSession | None = None
        self._close_tasks_by_session: dict[aiohttp.ClientSession,
                                           asyncio.Task] = {}

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=self._max_connections,
                                               keepalive_timeout=60,
                                               enable_cleanup_closed=False),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False)
        return self._session

    async def call(self,
                   method: str,
                   path: str,
                   timeout: datetime.timedelta,
                   body: bytes | None = None,
                   query: Mapping[str, str | int] | None = None,
                   headers: Mapping[str, str] | None = None) -> HttpReply:
        """Sends a request and waits for the complete reply.

        Raises:
            HttpCallError: No complete reply was received within the timeout,
                or the connection failed.
        """
        url = yarl.URL.build(scheme="http",
                             authority=self.address,
                             path=path,
                             query=query or {})
        session = self._get_session()
        reply_body = bytearray()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                async with session.request(method,
                                           url,
                                           data=body,
                                           headers=headers,
                                           allow_redirects=False) as reply:
                    async for chunk in reply.content.iter_any():
                        reply_body += chunk
                    return HttpReply(reply.status, bytes(reply_body))
        except _NOT_CONNECTED_ERRORS as error:
            raise HttpCallError(f"{self.address}: {error}",
                                errors.Verdict.DID_NOT_RUN) from error
        except TimeoutError as error:
            self._stop_reusing_session(session)
            raise HttpCallError(
                f"{self.address}: no complete reply within "
                f"{timeout.total_seconds():.2f} s, received "
                f"{len(reply_body)} bytes of its body",
                errors.Verdict.MAY_HAVE_RUN) from error
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            # aiohttp raises `RuntimeError` if the session was closed meanwhile.
            raise HttpCallError(f"{self.address}: {error!r:.120}",
                                errors.Verdict.MAY_HAVE_RUN) from error

    def _stop_reusing_session(self, session: aiohttp.ClientSession) -> None:
        """Lets new calls use another session, and closes this one later."""
        if self._session is not session:
            return
        self._session = None
        # Calls in progress on other connections of the session may still get
        # their replies.
        close_task = asyncio.get_running_loop().create_task(
            self._close_after_delay(session))
        self._close_tasks_by_session[session] = close_task

    async def _close_after_delay(self, session: aiohttp.ClientSession) -> None:
        await asyncio.sleep(_SESSION_CLOSE_DELAY_SECONDS)
        del self._close_tasks_by_session[session]
        await session.close()

    async def close(self) -> None:
        """Closes all connections."""
        sessions = list(self._close_tasks_by_session)
        for close_task in self._close_tasks_by_session.values():
            close_task.cancel()
        self._close_tasks_by_session.clear()
        if self._session is not None:
            sessions.append(self._session)
            self._session = None
        for session in sessions:
            await session.close()


_SESSION_CLOSE_DELAY_SECONDS = 3.0
"""Delay before the session of a timed-out call is closed. It
covers the longest call: a status request, which a worker may hold for two
seconds, and the time allowed for its reply."""
