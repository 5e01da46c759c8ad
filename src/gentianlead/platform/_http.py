"""HTTP connections to one address of the platform."""

import asyncio
import datetime
from typing import Mapping, NamedTuple

import aiohttp
import yarl

from gentianlead import errors

_NOTHING_SENT = (aiohttp.ClientConnectorError,)


class HttpReply(NamedTuple):
    """A whole reply.

    Attributes:
        status: Status code.
        body: Body.
    """

    status: int
    body: bytes


class HttpCallError(Exception):
    """A call without a whole reply.

    Attributes:
        verdict: Whether the call may have been carried out.
    """

    def __init__(self, message: str, verdict: errors.Verdict):
        super().__init__(message)
        self.verdict = verdict


class HttpEndpoint:
    """Pool of connections to one address.

    Connections can go silent for good while new ones work, so after a call
    without a reply none of the open ones is used again.
    """

    def __init__(self, address: str, max_connections: int):
        self.address = address
        self._max_connections = max_connections
        self._session: aiohttp.ClientSession | None = None
        self._retired: dict[aiohttp.ClientSession, asyncio.Task] = {}

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
        """Makes a call and returns the whole reply.

        Raises:
            HttpCallError: No whole reply.
        """
        url = yarl.URL.build(scheme="http",
                             authority=self.address,
                             path=path,
                             query=query or {})
        session = self._get_session()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                async with session.request(method,
                                           url,
                                           data=body,
                                           headers=headers,
                                           allow_redirects=False) as reply:
                    return HttpReply(reply.status, await reply.read())
        except _NOTHING_SENT as error:
            raise HttpCallError(f"{self.address}: {error}",
                                errors.Verdict.DID_NOT_RUN) from error
        except TimeoutError as error:
            self._retire(session)
            raise HttpCallError(
                f"{self.address}: no reply within "
                f"{timeout.total_seconds():.2f} s",
                errors.Verdict.MAY_HAVE_RUN) from error
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            # `RuntimeError`: the session was retired by another call.
            raise HttpCallError(f"{self.address}: {error!r:.120}",
                                errors.Verdict.MAY_HAVE_RUN) from error

    def _retire(self, session: aiohttp.ClientSession) -> None:
        """Keeps a session only for the calls that it has begun."""
        if self._session is not session:
            return
        self._session = None
        # Calls in progress on other connections may still be answered.
        task = asyncio.get_running_loop().create_task(
            self._close_later(session))
        self._retired[session] = task

    async def _close_later(self, session: aiohttp.ClientSession) -> None:
        await asyncio.sleep(_RETIRED_SECONDS)
        del self._retired[session]
        await session.close()

    async def close(self) -> None:
        """Closes all connections."""
        sessions = list(self._retired)
        for task in self._retired.values():
            task.cancel()
        self._retired.clear()
        if self._session is not None:
            sessions.append(self._session)
            self._session = None
        for session in sessions:
            await session.close()


_RETIRED_SECONDS = 3.0
"""Longest call: a look of two seconds and its allowance."""
