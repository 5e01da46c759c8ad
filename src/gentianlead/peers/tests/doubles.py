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
WAIT_TIMEOUT = datetime.timedelta(seconds=5)
"""Longest time that a test waits for an expected event."""

SETTINGS = peers.LinkSettings(
    heartbeat_interval=datetime.timedelta(milliseconds=40),
    suspect_limit=datetime.timedelta(milliseconds=80),
    silence_limit=datetime.timedelta(milliseconds=160),
    dial_timeout=datetime.timedelta(milliseconds=300),
    min_backoff=datetime.timedelta(milliseconds=10),
    max_backoff=datetime.timedelta(milliseconds=40))


class SystemClock(ports.Clock):
    """Clock that reads the time of the event loop and of the system."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.timezone.utc)

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())


class ManualClock(ports.Clock):
    """Clock that stands still between the calls of `advance`.

    Attributes:
        sleep_count: Number of calls of `sleep` so far.
    """

    def __init__(self) -> None:
        self.sleep_count = 0
        self._seconds = 0.0
        self._wakes: list[tuple[float, asyncio.Future]] = []

    def monotonic(self) -> float:
        return self._seconds

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self._seconds,
                                               datetime.timezone.utc)

    async def sleep(self, duration: datetime.timedelta) -> None:
        self.sleep_count += 1
        wake = asyncio.get_running_loop().create_future()
        self._wakes.append((self._seconds + duration.total_seconds(), wake))
        await wake

    def advance(self, seconds: float) -> None:
        """Advances the time and ends the sleeps that are over."""
        self._seconds += seconds
        due_wakes = [wake for due, wake in self._wakes if due <= self._seconds]
        self._wakes = [
            (due, wake) for due, wake in self._wakes if due > self._seconds
        ]
        for wake in due_wakes:
            if not wake.done():
                wake.set_result(None)


class SeededRandom(ports.RandomSource):
    """Random source that makes the same choices for the same seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def random(self) -> float:
        return self._random.random()

    def sample(self, items: Sequence, count: int) -> list:
        return self._random.sample(items, count)

    def generate_id(self) -> str:
        return f"{self._random.getrandbits(64):016x}"


class EchoHandler(peers.PeerHandler):
    """Replies to each forward request with a body that repeats its path.

    The body of the request is the size of the body of the reply, in bytes. A
    request for the service `refused` gets a refusal; one for the service
    `faulty` raises an unexpected exception in the handler.

    Attributes:
        started_paths: Paths of the requests whose handler was started.
        cancelled_paths: Paths of the requests that were cancelled.
        returned_loan_ids: Identifiers of the loans that were returned.
        release_events: Events by path; a request for one of these paths gets
            its reply after the event is set.
    """

    def __init__(self) -> None:
        self.started_paths: list[str] = []
        self.cancelled_paths: list[str] = []
        self.returned_loan_ids: list[str] = []
        self.release_events: dict[str, asyncio.Event] = {}

    async def handle_forward(
            self, peer: peers.Hello,
            message: peers.ForwardRequest) -> ports.HttpResponse:
        self.started_paths.append(message.path)
        try:
            if message.path in self.release_events:
                await self.release_events[message.path].wait()
        except asyncio.CancelledError:
            self.cancelled_paths.append(message.path)
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

    async def handle_loan_request(
            self, peer: peers.Hello,
            message: peers.LoanRequest) -> peers.LoanGrant:
        return peers.LoanGrant(f"{peer.name}/{message.target}", message.slots,
                               message.length_ms)

    def handle_loan_return(self, peer: peers.Hello,
                           message: peers.LoanReturn) -> None:
        self.returned_loan_ids.append(message.loan_id)

    async def handle_status_query(
            self, peer: peers.Hello,
            message: peers.StatusQuery) -> peers.StatusReply:
        return peers.StatusReply({message.subject: [1, None, "x"]})


def build_request(path: str,
                  size: int = 0,
                  service: str = "previews") -> peers.ForwardRequest:
    """Returns a request to which `EchoHandler` replies with `size` bytes."""
    return peers.ForwardRequest(service, "GET", path, (("a", "b"),),
                                str(size).encode(), 1000, True, "interactive",
                                {"traceparent": "00-1"})


class LoopbackTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with connections over the loopback interface.

    Tests run on the event loop that the daemon uses, and fail when the loop
    reports an unhandled error.

    Attributes:
        clock: Clock of the connections.
        events: Events that all listeners and pools of the test reported.
        loop_errors: Unhandled errors that the event loop reported.
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
        self.loop_errors: list[dict] = []
        loop = asyncio.get_running_loop()
        loop.set_debug(False)
        loop.set_exception_handler(
            lambda loop, context: self.loop_errors.append(context))
        self.addAsyncCleanup(self._check_loop_errors)

    async def _check_loop_errors(self) -> None:
        gc.collect()
        await asyncio.sleep(0)
        self.assertEqual(self.loop_errors, [])

    async def start_server(
            self,
            handler: peers.PeerHandler,
            settings: peers.LinkSettings = SETTINGS) -> peers.PeerServer:
        """Starts a listener that is closed after the test."""
        server = peers.PeerServer(peers.Hello("server#1", "north-1"), handler,
                                  self.clock, self.events.append, settings)
        await server.start(HOST, 0)
        self.addAsyncCleanup(server.close)
        return server

    async def start_pool(
            self,
            address: str,
            settings: peers.LinkSettings = SETTINGS) -> peers.PeerPool:
        """Starts a pool that dials an address and is closed after the test."""
        pool = peers.PeerPool(peers.Hello("dialer#1",
                                          "north-2"), EchoHandler(), self.clock,
                              SeededRandom(1), self.events.append, settings)
        self.addAsyncCleanup(pool.close)
        pool.set_addresses([address])
        return pool

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Waits until the condition is true."""
        async with asyncio.timeout(WAIT_TIMEOUT.total_seconds()):
            while not condition():
                await asyncio.sleep(0.002)

    def get_error_texts(self, kind: peers.PeerEventKind) -> list[str]:
        """Returns the error texts of the reported events of one kind."""
        return [str(event.error) for event in self.events if event.kind is kind]


class RawPeer:
    """The other end of a connection, which a test controls frame by frame.

    Attributes:
        reader: Stream of bytes from the daemon under test.
        writer: Stream of bytes to the daemon under test.
        received: Time and type of the messages that a test has collected.
    """

    def __init__(self, reader: asyncio.StreamReader,
                 writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.received: list[tuple[float, type]] = []

    def send(self,
             message: _messages.Message,
             correlation_id: int = 0,
             version: int = peers.PROTOCOL_VERSION) -> None:
        """Sends a message without checking that the protocol allows it."""
        if self.writer.is_closing():
            return
        self.writer.write(_codec.encode_frame(version, correlation_id, message))

    def send_hello(self, versions: tuple[int, ...] = (1,)) -> None:
        """Sends a hello with the given protocol versions."""
        self.send(peers.Hello("raw", "north-1", versions), 0, 0)

    async def receive(self) -> _codec.Frame:
        """Returns the next frame.

        Raises:
            asyncio.IncompleteReadError: The connection ended.
        """
        (length,) = struct.unpack(">I", await self.reader.readexactly(4))
        return _codec.decode_body(await self.reader.readexactly(length))

    async def receive_message(self, message_type: type) -> _codec.Frame:
        """Returns the next frame with a message of the type; skips others."""
        while True:
            frame = await self.receive()
            if isinstance(frame.message, message_type):
                return frame

    async def wait_closed(self) -> None:
        """Reads until the daemon under test has closed the connection."""
        try:
            while await self.reader.read(65536):
                pass
        except ConnectionError:
            pass

    def close(self) -> None:
        """Aborts the connection."""
        self.writer.transport.abort()


def mutate(random_source: random.Random, data: bytes) -> bytes:
    """Returns the data after 1 to 3 random changes, insertions or removals."""
    mutated = bytearray(data)
    for _ in range(random_source.randint(1, 3)):
        position = random_source.randrange(len(mutated) + 1)
        mutation_kind = random_source.randrange(4)
        if mutation_kind == 0:
            mutated[position:position + 1] = bytes(
                [random_source.randrange(256)])
        elif mutation_kind == 1:
            mutated[position:position + 1] = bytes([
                mutated[position] ^ (1 << random_source.randrange(8))
            ]) if position < len(mutated) else b""
        elif mutation_kind == 2:
            mutated[position:position] = random_source.randbytes(
                random_source.randint(1, 4))
        else:
            del mutated[position:position + random_source.randint(1, 4)]
    return bytes(mutated)
