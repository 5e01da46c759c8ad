"""HTTP client of the operator port, which tries several servers in turn."""

import asyncio
import json
import ssl
from typing import Any, NamedTuple
import urllib.parse

import aiohttp

from gentianlead import errors

MAX_REPLY_BYTES = 64 * 1024 * 1024
_CONNECT_TIMEOUT_SECONDS = 2.0
_MIN_ATTEMPTS_PER_TIMEOUT = 3
_NEXT_SERVER_ERROR_CODES = frozenset({
    errors.ErrorCode.NOT_READY, errors.ErrorCode.DRAINING,
    errors.ErrorCode.OVERLOADED, errors.ErrorCode.LOG_UNAVAILABLE,
    errors.ErrorCode.DEADLINE_EXCEEDED, errors.ErrorCode.PEER_FAILED
})


class ConnectionSettings(NamedTuple):
    """Servers, credentials and time limit of a command's requests.

    Attributes:
        servers: Base URLs of operator ports, in order of preference.
        token: Bearer token, or empty.
        timeout: Longest time for the whole command, in seconds.
        tls: TLS settings for `https` servers; None for the defaults of the
            system.
    """

    servers: tuple[str, ...]
    token: str
    timeout: float
    tls: ssl.SSLContext | None = None


class UnreachableError(errors.GentianleadError):
    """No server accepted the request; it did not run."""


class LostReplyError(errors.GentianleadError):
    """The request was sent but no usable reply arrived; it may have run."""


class ReplyError(errors.GentianleadError):
    """A server replied with an error.

    Attributes:
        status: HTTP status.
        code: Code of the error; `INTERNAL` if this version does not know it.
        verdict: Whether the request may have run.
        document: The whole JSON reply.
        server: Base URL of the server that replied.
    """

    def __init__(self, status: int, code: errors.ErrorCode, message: str,
                 verdict: errors.Verdict, document: dict[str, Any]):
        super().__init__(message)
        self.status = status
        self.code = code
        self.verdict = verdict
        self.document = document
        self.server = ""

    @property
    def is_not_found(self) -> bool:
        """Whether the requested job, patch or request does not exist."""
        return self.status == 404

    @property
    def is_conflict(self) -> bool:
        """Whether a patch names a version that is not the current one."""
        return self.code is errors.ErrorCode.PATCH_VERSION_CONFLICT

    @property
    def may_try_next_server(self) -> bool:
        """Whether another server may accept the request."""
        return (self.code in _NEXT_SERVER_ERROR_CODES and
                self.verdict is errors.Verdict.DID_NOT_RUN)


class OperatorClient:
    """Sends each request to the servers in turn until one accepts it.

    Use it as an asynchronous context manager.
    """

    def __init__(self, connection: ConnectionSettings):
        self._connection = connection
        self._next_server_index = 0
        self._session: aiohttp.ClientSession | None = None
        self._deadline = 0.0

    async def __aenter__(self) -> "OperatorClient":
        headers = {"Accept": "application/json"}
        if self._connection.token:
            headers["Authorization"] = f"Bearer {self._connection.token}"
        # aiohttp repeats a GET once when its connection breaks, which has no
        # effect here; it never repeats a POST.
        connector = aiohttp.TCPConnector(force_close=True,
                                         ssl=self._connection.tls or True)
        self._session = aiohttp.ClientSession(connector=connector,
                                              headers=headers,
                                              trust_env=False)
        self._deadline = self._get_monotonic_time() + self._connection.timeout
        return self

    async def __aexit__(self, *unused: object) -> None:
        assert self._session is not None
        await self._session.close()

    @staticmethod
    def _get_monotonic_time() -> float:
        return asyncio.get_running_loop().time()

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the timeout of the command; negative after it."""
        return self._deadline - self._get_monotonic_time()

    async def get(self, path: str, server: str = "") -> dict[str, Any]:
        """Reads a document from the first server that replies.

        Args:
            path: Path with its identifiers quoted.
            server: Base URL of the only server to query; empty for any server.

        Returns:
            The JSON object in the reply.

        Raises:
            ReplyError: A server refused the request.
            UnreachableError: No server gave a usable reply.
        """
        servers = (server,) if server else self._connection.servers
        return await self._try_servers(servers, "GET", path, None)

    async def search_servers(self, path: str) -> dict[str, Any]:
        """Reads a document that possibly only one of the servers has.

        All servers are queried in turn until one returns the document.

        Raises:
            ReplyError: All servers replied, and none has the document.
            UnreachableError: No server returned the document, and one that did
                not reply may have it.
        """
        failure: errors.GentianleadError | None = None
        for server in self._connection.servers:
            try:
                return await self.get(path, server)
            except ReplyError as error:
                if not error.is_not_found:
                    raise
                failure = failure or error
            except UnreachableError as error:
                failure = error
        assert failure is not None
        raise failure

    async def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Sends a change to the servers in turn until one accepts it.

        Raises:
            ReplyError: A server refused the change.
            LostReplyError: A server may have run it, so that it was not sent to
                further servers. The next request goes to another server.
            UnreachableError: No server accepted it; it did not run.
        """
        return await self._try_servers(self._connection.servers, "POST", path,
                                       body)

    async def _try_servers(self, servers: tuple[str,
                                                ...], method: str, path: str,
                           body: dict[str, Any] | None) -> dict[str, Any]:
        reasons = []
        for _ in servers:
            server = servers[self._next_server_index % len(servers)]
            if self.remaining_seconds <= 0:
                reasons.append("the time is up")
                break
            try:
                return await self._send_request(server, method, path, body)
            except ReplyError as error:
                error.server = server
                if not error.may_try_next_server:
                    raise
                reasons.append(f"{server}: {error}")
            except UnreachableError as error:
                reasons.append(f"{server}: {error}")
            except LostReplyError as error:
                if method != "GET":
                    self._next_server_index += 1
                    raise LostReplyError(f"{server}: {error}") from error
                reasons.append(f"{server}: {error}")
            self._next_server_index += 1
        raise UnreachableError("; ".join(reasons))

    async def _send_request(self, server: str, method: str, path: str,
                            body: dict[str, Any] | None) -> dict[str, Any]:
        assert self._session is not None
        # A server that does not reply must leave time to try another one.
        attempt_timeout = min(
            self.remaining_seconds,
            self._connection.timeout / _MIN_ATTEMPTS_PER_TIMEOUT)
        timeout = aiohttp.ClientTimeout(total=attempt_timeout,
                                        sock_connect=min(
                                            _CONNECT_TIMEOUT_SECONDS,
                                            attempt_timeout / 2))
        try:
            async with self._session.request(method,
                                             server + path,
                                             json=body,
                                             timeout=timeout,
                                             allow_redirects=False) as reply:
                content = await reply.content.read(MAX_REPLY_BYTES)
                while chunk := await reply.content.read(MAX_REPLY_BYTES):
                    content += chunk
                    if len(content) > MAX_REPLY_BYTES:
                        raise LostReplyError("the reply is too large")
                return _parse_reply(reply.status, content)
        except (aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError) as error:
            raise UnreachableError(str(error) or "connect timeout") from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            raise LostReplyError(
                str(error) or
                f"no reply within {attempt_timeout:.1f} s") from error


def _parse_reply(status: int, content: bytes) -> dict[str, Any]:
    try:
        document = json.loads(content)
    except ValueError as error:
        raise LostReplyError(
            f"the reply with status {status} is not JSON") from error
    if not isinstance(document, dict):
        raise LostReplyError(f"the reply with status {status} is no object")
    if 200 <= status < 300:
        return document
    error = document.get("error")
    if not isinstance(error, dict):
        raise LostReplyError(f"unexpected reply with status {status}")
    code = _parse_enum(errors.ErrorCode, error.get("code"),
                       errors.ErrorCode.INTERNAL)
    verdict = _parse_enum(errors.Verdict, error.get("verdict"),
                          errors.Verdict.MAY_HAVE_RUN)
    raise ReplyError(status, code,
                     f"{error.get('code')}: {error.get('message')}", verdict,
                     document)


def _parse_enum(kind: Any, value: object, default: Any) -> Any:
    try:
        return kind(value)
    except ValueError:
        return default


def quote(identifier: str) -> str:
    """Percent-encodes an identifier for use as one segment of a URL path."""
    return urllib.parse.quote(identifier, safe="")
