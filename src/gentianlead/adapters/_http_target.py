"""HTTP client of targets, which sends each request exactly once."""

import asyncio
import datetime

import aiohttp
import multidict

from gentianlead import errors
from gentianlead import ports

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_TIMEOUT_S = 15.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
NOT_RUN_HEADER = "X-Not-Run"

_HOP_BY_HOP_HEADERS = frozenset({
    "connection", "content-length", "host", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"
})


class HttpTargetClient(ports.TargetClient):
    """Sends requests over a bounded pool of connections to each target.

    When a request times out, all connections to its target are replaced,
    because a fault on the network path that breaks one connection often breaks
    the others too.

    Args:
        max_connections: Maximum number of connections to one target, idle
            ones included.
    """

    def __init__(self, max_connections: int):
        self._max_connections = max_connections
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()

    def _get_session(self, address: str) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            connector = aiohttp.TCPConnector(
                limit=self._max_connections,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S)
            session = aiohttp.ClientSession(connector=connector,
                                            cookie_jar=aiohttp.DummyCookieJar(),
                                            auto_decompress=False,
                                            skip_auto_headers=("User-Agent",
                                                               "Content-Type"))
            # By default, aiohttp repeats GET, PUT and DELETE requests when a
            # reused connection breaks. A one-time request could then run twice.
            session._retry_connection = False  # pylint: disable=protected-access
            self._sessions[address] = session
        return session

    def _discard_session(self, address: str,
                         session: aiohttp.ClientSession) -> None:
        if self._sessions.get(address) is not session:
            return
        del self._sessions[address]
        task = asyncio.get_running_loop().create_task(
            self._close_when_idle(session))
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)

    @staticmethod
    async def _close_when_idle(session: aiohttp.ClientSession) -> None:
        connector = session.connector
        while connector is not None and connector._acquired:  # pylint: disable=protected-access
            await asyncio.sleep(0.1)
        await session.close()

    async def close(self) -> None:
        """Closes the current sessions; replaced ones are no longer awaited."""
        sessions = list(self._sessions.values())
        self._sessions.clear()
        for task in list(self._closing_tasks):
            task.cancel()
        for session in sessions:
            await session.close()

    async def send(self, address: str, request: ports.TargetRequest,
                   timeout: datetime.timedelta) -> ports.HttpResponse:
        session = self._get_session(address)
        timeout_s = timeout.total_seconds()
        client_timeout = aiohttp.ClientTimeout(total=timeout_s,
                                               sock_connect=min(
                                                   CONNECT_TIMEOUT_S,
                                                   timeout_s))
        headers = multidict.CIMultiDict(
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in _HOP_BY_HOP_HEADERS)
        headers[REQUEST_ID_HEADER] = request.request_id
        headers[DEADLINE_HEADER] = str(int(timeout_s * 1000))
        try:
            async with session.request(request.method,
                                       f"http://{address}{request.path}",
                                       data=request.body or None,
                                       headers=headers,
                                       allow_redirects=False,
                                       timeout=client_timeout) as response:
                body = await _read_body(request, response)
                return _build_response(request, response, body)
        except (aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError) as error:
            raise errors.RequestError(
                errors.ErrorCode.TARGET_FAILED,
                f"cannot connect to target {address}: {error}",
                errors.Verdict.DID_NOT_RUN) from error
        except asyncio.TimeoutError as error:
            self._discard_session(address, session)
            raise errors.RequestError(
                errors.ErrorCode.TARGET_TIMEOUT,
                f"target {address}: no complete response within "
                f"{timeout_s:.3f} s", errors.Verdict.MAY_HAVE_RUN) from error
        except aiohttp.ClientPayloadError as error:
            raise errors.RequestError(
                errors.ErrorCode.ANSWER_TRUNCATED,
                f"target {address}: the response was truncated",
                errors.Verdict.MAY_HAVE_RUN) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.RequestError(
                errors.ErrorCode.TARGET_FAILED,
                f"target {address}: {type(error).__name__}: {error}",
                errors.Verdict.MAY_HAVE_RUN) from error


async def _read_body(request: ports.TargetRequest,
                     response: aiohttp.ClientResponse) -> bytes:
    expects_body = (request.method != "HEAD" and
                    response.status not in (204, 304))
    has_known_end = ("Content-Length" in response.headers or "chunked"
                     in response.headers.get("Transfer-Encoding", "").lower())
    if expects_body and not has_known_end:
        response.close()
        raise errors.RequestError(
            errors.ErrorCode.ANSWER_TRUNCATED,
            "the response has neither a Content-Length nor chunks, so a "
            "truncated body cannot be detected", errors.Verdict.MAY_HAVE_RUN)
    if (response.content_length or
            0) <= MAX_RESPONSE_BYTES and ("Content-Length" in response.headers):
        return await response.read()
    chunks = []
    received_bytes = 0
    async for chunk in response.content.iter_any():
        received_bytes += len(chunk)
        if received_bytes > MAX_RESPONSE_BYTES:
            response.close()
            raise errors.RequestError(
                errors.ErrorCode.TARGET_FAILED,
                f"the response exceeds {MAX_RESPONSE_BYTES} bytes",
                errors.Verdict.MAY_HAVE_RUN)
        chunks.append(chunk)
    return b"".join(chunks)


def _build_response(request: ports.TargetRequest,
                    response: aiohttp.ClientResponse,
                    body: bytes) -> ports.HttpResponse:
    echoed_id = response.headers.get(REQUEST_ID_HEADER)
    if echoed_id is not None and echoed_id != request.request_id:
        response.close()
        raise errors.RequestError(
            errors.ErrorCode.TARGET_FAILED,
            "the response carries the identifier of another request",
            errors.Verdict.MAY_HAVE_RUN)
    if response.status == 503 and response.headers.get(NOT_RUN_HEADER) == "1":
        raise errors.RequestError(errors.ErrorCode.TARGET_FAILED,
                                  "the target refused to run the request",
                                  errors.Verdict.DID_NOT_RUN)
    headers = tuple((name, value)
                    for name, value in response.headers.items()
                    if name.lower() not in _HOP_BY_HOP_HEADERS and
                    name.lower() != REQUEST_ID_HEADER.lower())
    return ports.HttpResponse(response.status, headers, body)
