"""HTTP client for the servers of the platform."""

import asyncio
import contextlib
import datetime
from typing import Mapping, NamedTuple

import aiohttp
import yarl

from gentianlead import errors
from gentianlead import ports
from gentianlead.platform import _timeouts

MAX_TRANSFER_TIME = datetime.timedelta(seconds=15)
"""Longest transfer of the body of a reply that is bound by its progress. A page
of newest records, about 1.4 MB as encoded, takes it at 0.75 Mbit/s."""

_NOT_CONNECTED_ERRORS = (aiohttp.ClientConnectorError, aiohttp.InvalidURL)


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
    new session, and none of the connections open at that time is used again
    once the calls in progress on them have ended.

    Attributes:
        address: `host:port` of the server.
    """

    def __init__(self,
                 address: str,
                 max_connections: int,
                 loop_delay: ports.LoopDelay | None = None,
                 end_limit: datetime.timedelta = datetime.timedelta(0)):
        """Creates an endpoint without connections.

        Args:
            address: `host:port` of the server.
            max_connections: Largest number of connections of a session.
            loop_delay: Delay of the event loop, by which calls without a
                `progress_timeout` are prolonged; None to prolong none.
            end_limit: Longest time of such a call with its prolongation.
        """
        self.address = address
        self._loop_delay = loop_delay
        self._end_limit = end_limit
        self._max_connections = max_connections
        self._session: aiohttp.ClientSession | None = None
        # Number of calls in progress, by session.
        self._call_counts: dict[aiohttp.ClientSession, int] = {}
        self._close_tasks: set[asyncio.Task] = set()

    async def call(
            self,
            method: str,
            path: str,
            timeout: datetime.timedelta,
            body: bytes | None = None,
            query: Mapping[str, str | int] | None = None,
            headers: Mapping[str, str] | None = None,
            progress_timeout: datetime.timedelta | None = None) -> HttpReply:
        """Sends a request and waits for the complete reply.

        Args:
            method: HTTP method.
            path: Path of the request.
            timeout: Longest wait for the complete reply, to which the delay of
                the event loop during the call may be added. With
                `progress_timeout`, longest wait for the head of the reply.
            body: Body of the request.
            query: Parameters in the query of the request.
            headers: Additional headers of the request.
            progress_timeout: Longest wait for the next bytes of the body after
                the head. The body then takes at most `MAX_TRANSFER_TIME` in
                all, so that a large one can arrive over a slow link.

        Raises:
            HttpCallError: No complete reply was received within these times,
                the connection failed, or the address or a header is malformed.
        """
        try:
            url = yarl.URL.build(scheme="http",
                                 authority=self.address,
                                 path=path,
                                 query=query or {})
        except ValueError as error:
            raise HttpCallError(f"{self.address!r:.60}: {error!s:.120}",
                                errors.Verdict.DID_NOT_RUN) from error
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        session = self._enter_session()
        reply_body = bytearray()
        try:
            async with self._limit_time(timeout,
                                        progress_timeout) as time_limit:
                async with session.request(method,
                                           url,
                                           data=body,
                                           headers=headers,
                                           allow_redirects=False) as reply:
                    await _receive_body(reply, reply_body, time_limit,
                                        progress_timeout)
                    return HttpReply(reply.status, bytes(reply_body))
        except _NOT_CONNECTED_ERRORS as error:
            raise HttpCallError(f"{self.address}: {error}",
                                errors.Verdict.DID_NOT_RUN) from error
        except TimeoutError as error:
            if self._session is session:
                self._session = None
            raise HttpCallError(
                f"{self.address}: no complete reply after "
                f"{loop.time() - sent_at:.2f} s, received "
                f"{len(reply_body)} bytes of its body",
                errors.Verdict.MAY_HAVE_RUN) from error
        except (aiohttp.ClientError, OSError, RuntimeError,
                ValueError) as error:
            # aiohttp raises `RuntimeError` if the session was closed meanwhile,
            # and `ValueError` for a malformed header.
            raise HttpCallError(f"{self.address}: {error!r:.120}",
                                errors.Verdict.MAY_HAVE_RUN) from error
        finally:
            self._leave_session(session)

    def _limit_time(
        self, timeout: datetime.timedelta,
        progress_timeout: datetime.timedelta | None
    ) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout | None]:
        if self._loop_delay is None or progress_timeout is not None:
            return asyncio.timeout(timeout.total_seconds())
        return _timeouts.DelayTolerantTimeout(timeout, self._end_limit,
                                              self._loop_delay)

    def _enter_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=self._max_connections,
                                               keepalive_timeout=60,
                                               enable_cleanup_closed=False),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False)
            self._call_counts[self._session] = 0
        self._call_counts[self._session] += 1
        return self._session

    def _leave_session(self, session: aiohttp.ClientSession) -> None:
        """Ends a call; closes a replaced session after its last call.

        A transfer over a slow link takes longer than the interval at which
        other calls may time out, so a replaced session stays open for it.
        """
        self._call_counts[session] -= 1
        if session is self._session or self._call_counts[session] > 0:
            return
        del self._call_counts[session]
        close_task = asyncio.get_running_loop().create_task(session.close())
        self._close_tasks.add(close_task)
        close_task.add_done_callback(self._close_tasks.discard)

    async def close(self) -> None:
        """Closes all connections; calls in progress fail."""
        self._session = None
        for session in list(self._call_counts):
            await session.close()
        if self._close_tasks:
            await asyncio.wait(self._close_tasks)


async def _receive_body(reply: aiohttp.ClientResponse, reply_body: bytearray,
                        time_limit: asyncio.Timeout | None,
                        progress_timeout: datetime.timedelta | None) -> None:
    """Appends the body of a reply to `reply_body`.

    With `progress_timeout`, each piece that arrives extends `time_limit`.
    """
    loop = asyncio.get_running_loop()
    transfer_ends_at = loop.time() + MAX_TRANSFER_TIME.total_seconds()
    while True:
        if progress_timeout is not None:
            time_limit.reschedule(
                min(loop.time() + progress_timeout.total_seconds(),
                    transfer_ends_at))
        chunk = await reply.content.readany()
        if not chunk:
            return
        reply_body += chunk
