"""Client of targets: one attempt is one HTTP request, never more."""

import asyncio
import datetime

import aiohttp
import multidict

from gentianlead import errors
from gentianlead import ports

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_TIMEOUT_S = 15.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
NOT_RUN_HEADER = "X-Not-Run"

_HOP_BY_HOP = frozenset({
    "connection", "content-length", "host", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"
})


class HttpTargetClient(ports.TargetClient):
    """Sends attempts over a bounded pool of connections to each target.

    A target's connections are replaced together when one of them goes silent,
    because whatever lost track of one connection has often lost the others.

    Args:
        connections: Most connections to one target, idle ones included.
    """

    def __init__(self, connections: int):
        self._connections = connections
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._retired: set[asyncio.Task[None]] = set()

    def _get_session(self, address: str) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            connector = aiohttp.TCPConnector(
                limit=self._connections, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
            session = aiohttp.ClientSession(connector=connector,
                                            cookie_jar=aiohttp.DummyCookieJar(),
                                            auto_decompress=False,
                                            skip_auto_headers=("User-Agent",
                                                               "Content-Type"))
            # aiohttp repeats GET, PUT and DELETE by itself when a kept
            # connection breaks, which would run a one-time request twice.
            session._retry_connection = False  # pylint: disable=protected-access
            self._sessions[address] = session
        return session

    def _retire_session(self, address: str,
                        session: aiohttp.ClientSession) -> None:
        if self._sessions.get(address) is not session:
            return
        del self._sessions[address]
        task = asyncio.get_running_loop().create_task(self._drain(session))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    @staticmethod
    async def _drain(session: aiohttp.ClientSession) -> None:
        connector = session.connector
        while connector is not None and connector._acquired:  # pylint: disable=protected-access
            await asyncio.sleep(0.1)
        await session.close()

    async def close(self) -> None:
        """Closes all connections."""
        sessions = list(self._sessions.values())
        self._sessions.clear()
        for task in list(self._retired):
            task.cancel()
        for session in sessions:
            await session.close()

    async def send(self, address: str, request: ports.TargetRequest,
                   timeout: datetime.timedelta) -> ports.HttpResponse:
        session = self._get_session(address)
        seconds = timeout.total_seconds()
        limits = aiohttp.ClientTimeout(total=seconds,
                                       sock_connect=min(CONNECT_TIMEOUT_S,
                                                        seconds))
        headers = multidict.CIMultiDict(
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in _HOP_BY_HOP)
        headers[REQUEST_ID_HEADER] = request.request_id
        headers[DEADLINE_HEADER] = str(int(seconds * 1000))
        try:
            async with session.request(request.method,
                                       f"http://{address}{request.path}",
                                       data=request.body or None,
                                       headers=headers,
                                       allow_redirects=False,
                                       timeout=limits) as response:
                body = await _read_body(request, response)
                return _build_answer(request, response, body)
        except (aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError) as error:
            raise errors.RequestError(
                errors.ErrorCode.TARGET_FAILED,
                f"no connection to target {address}: {error}",
                errors.Verdict.DID_NOT_RUN) from error
        except asyncio.TimeoutError as error:
            self._retire_session(address, session)
            raise errors.RequestError(
                errors.ErrorCode.TARGET_TIMEOUT,
                f"target {address}: no whole answer within {seconds:.3f} s",
                errors.Verdict.MAY_HAVE_RUN) from error
        except aiohttp.ClientPayloadError as error:
            raise errors.RequestError(
                errors.ErrorCode.ANSWER_TRUNCATED,
                f"target {address}: the answer was cut short",
                errors.Verdict.MAY_HAVE_RUN) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.RequestError(
                errors.ErrorCode.TARGET_FAILED,
                f"target {address}: {type(error).__name__}: {error}",
                errors.Verdict.MAY_HAVE_RUN) from error


async def _read_body(request: ports.TargetRequest,
                     response: aiohttp.ClientResponse) -> bytes:
    has_body = (request.method != "HEAD" and response.status not in (204, 304))
    is_delimited = ("Content-Length" in response.headers or "chunked"
                    in response.headers.get("Transfer-Encoding", "").lower())
    if has_body and not is_delimited:
        response.close()
        raise errors.RequestError(
            errors.ErrorCode.ANSWER_TRUNCATED,
            "the answer has neither a length nor chunks, so its end cannot "
            "be told from a break", errors.Verdict.MAY_HAVE_RUN)
    if (response.content_length or
            0) <= MAX_ANSWER_BYTES and ("Content-Length" in response.headers):
        return await response.read()
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            response.close()
            raise errors.RequestError(
                errors.ErrorCode.TARGET_FAILED,
                f"the answer exceeds {MAX_ANSWER_BYTES} bytes",
                errors.Verdict.MAY_HAVE_RUN)
        parts.append(part)
    return b"".join(parts)


def _build_answer(request: ports.TargetRequest,
                  response: aiohttp.ClientResponse,
                  body: bytes) -> ports.HttpResponse:
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != request.request_id:
        response.close()
        raise errors.RequestError(
            errors.ErrorCode.TARGET_FAILED,
            "the target answered another request on this connection",
            errors.Verdict.MAY_HAVE_RUN)
    if response.status == 503 and response.headers.get(NOT_RUN_HEADER) == "1":
        raise errors.RequestError(errors.ErrorCode.TARGET_FAILED,
                                  "the target refused the request",
                                  errors.Verdict.DID_NOT_RUN)
    headers = tuple((name, value)
                    for name, value in response.headers.items()
                    if name.lower() not in _HOP_BY_HOP and
                    name.lower() != REQUEST_ID_HEADER.lower())
    return ports.HttpResponse(response.status, headers, body)
