"""Test doubles for connections between daemons."""

import asyncio
import datetime
import gc
import random
import struct
from typing import Callable, Sequence
import unittest

import uvloop

from gentianlead import errors
from gentianlead import peers
from gentianlead import ports
from gentianlead.peers import _codec
from gentianlead.peers import _messages

HOST = "127.0.0.1"
WAIT = datetime.timedelta(seconds=5)
"""Limit of a wait for something that must happen."""

SETTINGS = peers.LinkSettings(
    heartbeat_interval=datetime.timedelta(milliseconds=40),
    suspect_limit=datetime.timedelta(milliseconds=80),
    silence_limit=datetime.timedelta(milliseconds=160),
    dial_timeout=datetime.timedelta(milliseconds=300),
    min_backoff=datetime.timedelta(milliseconds=10),
    max_backoff=datetime.timedelta(milliseconds=40))


class SystemClock(ports.Clock):
    """The clock of the machine."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.timezone.utc)

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())


class SeededRandom(ports.RandomSource):
    """Random choices that repeat."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def random(self) -> float:
        return self._random.random()

    def sample(self, items: Sequence, count: int) -> list:
        return self._random.sample(items, count)

    def generate_id(self) -> str:
        return f"{self._random.getrandbits(64):016x}"


class EchoHandler(peers.PeerHandler):
    """Answers a forward request with its own path.

    Attributes:
        started: Paths of the requests that were begun.
        cancelled: Paths of those that were cancelled.
        returned: Loans that were returned.
        gates: A request whose path is here waits for the event.
    """

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.returned: list[str] = []
        self.gates: dict[str, asyncio.Event] = {}

    async def handle_forward(self, peer: peers.Hello,
                             message: peers.ForwardRequest) -> ports.HttpResponse:
        self.started.append(message.path)
        try:
            if message.path in self.gates:
                await self.gates[message.path].wait()
        except asyncio.CancelledError:
            self.cancelled.append(message.path)
            raise
        if message.service == "refused":
            raise errors.RequestError(errors.ErrorCode.NO_TARGET, "no target",
                                      errors.Verdict.DID_NOT_RUN)
        if message.service == "faulty":
            raise KeyError("fault")
        size = int(message.body or b"0")
        body = (message.path.encode() * (size // len(message.path) + 1))
        return ports.HttpResponse(200, (("x-peer", peer.name),),
                            body[:max(size, len(message.path))])

    async def handle_loan_ask(self, peer: peers.Hello,
                              message: peers.LoanAsk) -> peers.LoanGrant:
        return peers.LoanGrant(f"{peer.name}/{message.target}", message.slots,
                               message.length_ms)

    def handle_loan_return(self, peer: peers.Hello,
                           message: peers.LoanReturn) -> None:
        self.returned.append(message.loan_id)

    async def handle_status_query(
            self, peer: peers.Hello,
            message: peers.StatusQuery) -> peers.StatusAnswer:
        return peers.StatusAnswer({message.subject: [1, None, "x"]})


def build_request(path: str,
                  size: int = 0,
                  service: str = "previews") -> peers.ForwardRequest:
    """Returns a request whose answer repeats `path` up to `size` bytes."""
    return peers.ForwardRequest(service, "GET", path, (("a", "b"),),
                                str(size).encode(), 1000, True, "interactive",
                                {"traceparent": "00-1"})


class LoopbackTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs on the daemon's event loop and fails on errors that it reports.

    Attributes:
        clock: The clock of the machine.
        events: Events of all connections.
    """

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls) -> None:
        asyncio.set_event_loop_policy(None)

    async def asyncSetUp(self) -> None:
        self.clock = SystemClock()
        self.events: list[peers.PeerEvent] = []
        self._loop_errors: list[dict] = []
        loop = asyncio.get_running_loop()
        loop.set_debug(False)
        loop.set_exception_handler(
            lambda loop, context: self._loop_errors.append(context))
        self.addAsyncCleanup(self._check_loop)

    async def _check_loop(self) -> None:
        gc.collect()
        await asyncio.sleep(0)
        self.assertEqual(self._loop_errors, [])

    async def start_server(
            self,
            handler: peers.PeerHandler,
            settings: peers.LinkSettings = SETTINGS) -> peers.PeerServer:
        """Returns a listener that is closed after the test."""
        server = peers.PeerServer(peers.Hello("server#1", "north-1"), handler,
                                  self.clock, self.events.append, settings)
        await server.start(HOST, 0)
        self.addAsyncCleanup(server.close)
        return server

    async def start_pool(
            self,
            address: str,
            settings: peers.LinkSettings = SETTINGS) -> peers.PeerPool:
        """Returns a pool that is closed after the test."""
        pool = peers.PeerPool(peers.Hello("dialer#1",
                                          "north-2"), EchoHandler(), self.clock,
                              SeededRandom(1), self.events.append, settings)
        self.addAsyncCleanup(pool.close)
        pool.set_addresses([address])
        return pool

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Waits until the condition is true."""
        async with asyncio.timeout(WAIT.total_seconds()):
            while not condition():
                await asyncio.sleep(0.002)

    def get_errors(self, kind: peers.PeerEventKind) -> list[str]:
        """Returns the texts of the events of one kind."""
        return [str(event.error) for event in self.events if event.kind is kind]


class RawPeer:
    """The other end of a connection, driven byte by byte.

    Attributes:
        reader: Bytes from the daemon under test.
        writer: Bytes to the daemon under test.
    """

    def __init__(self, reader: asyncio.StreamReader,
                 writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self,
             message: _messages.Message,
             correlation_id: int = 0,
             version: int = peers.PROTOCOL_VERSION) -> None:
        """Sends a message, whether it is allowed or not."""
        if self.writer.is_closing():
            return
        self.writer.write(_codec.encode_frame(version, correlation_id, message))

    def greet(self, versions: tuple[int, ...] = (1,)) -> None:
        """Sends a hello."""
        self.send(peers.Hello("raw", "north-1", versions), 0, 0)

    async def receive(self) -> _codec.Frame:
        """Returns the next frame.

        Raises:
            asyncio.IncompleteReadError: The connection ended.
        """
        (length,) = struct.unpack(">I", await self.reader.readexactly(4))
        return _codec.decode_body(await self.reader.readexactly(length))

    async def receive_message(self, kind: type) -> _codec.Frame:
        """Returns the next frame with a message of the type."""
        while True:
            frame = await self.receive()
            if isinstance(frame.message, kind):
                return frame

    async def wait_closed(self) -> None:
        """Reads until the daemon under test has closed the connection."""
        try:
            while await self.reader.read(65536):
                pass
        except ConnectionError:
            pass

    def close(self) -> None:
        """Breaks the connection."""
        self.writer.transport.abort()


def mutate(source: random.Random, data: bytes) -> bytes:
    """Returns bytes with a few random changes, insertions or removals."""
    mutated = bytearray(data)
    for _ in range(source.randint(1, 3)):
        position = source.randrange(len(mutated) + 1)
        choice = source.randrange(4)
        if choice == 0:
            mutated[position:position + 1] = bytes([source.randrange(256)])
        elif choice == 1:
            mutated[position:position +
                    1] = bytes([mutated[position] ^ (1 << source.randrange(8))
                               ]) if position < len(mutated) else b""
        elif choice == 2:
            mutated[position:position] = source.randbytes(source.randint(1, 4))
        else:
            del mutated[position:position + source.randint(1, 4)]
    return bytes(mutated)
