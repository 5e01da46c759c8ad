"""Tests of the clients and servers against stand-ins on loopback."""

import asyncio
import base64
import datetime
import json
import struct
import unittest

import aiohttp
from aiohttp import web

from gentianlead import adapters
from gentianlead import errors
from gentianlead import model
from gentianlead import platform
from gentianlead import ports

TIMEOUT = datetime.timedelta(seconds=2)
SHORT = datetime.timedelta(milliseconds=200)
JOB = "5c0e7a21d94b36f8"
TASK = model.TaskKey(JOB, 0, 1, 17)


class StandIn:
    """A server that gives the next answer and remembers each request.

    Attributes:
        answers: Status and body of the next answers; None for silence.
        requests: Pairs of the request and its body.
    """

    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes] | None] = []
        self.requests: list[tuple[web.BaseRequest, bytes]] = []
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self._runner = web.ServerRunner(web.Server(self._serve),
                                        shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stops."""
        await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.requests.append((request, await request.read()))
        answer = self.answers.pop(0)
        if answer is None:
            await asyncio.sleep(30)
        status, body = answer
        return web.Response(status=status, body=body)


class StandInTest(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with one stand-in."""

    async def asyncSetUp(self) -> None:
        self.stand_in = StandIn()
        await self.stand_in.start()
        self.addAsyncCleanup(self.stand_in.stop)

    def answer(self,
               status: int,
               document: object = None,
               body: bytes = b"") -> None:
        """Sets the next answer."""
        if document is not None:
            body = json.dumps(document).encode()
        self.stand_in.answers.append((status, body))


class StoreTest(StandInTest):
    """Client of the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = platform.PlatformStore(self.stand_in.address)
        self.addAsyncCleanup(self.store.close)

    async def append(self, timeout: datetime.timedelta = TIMEOUT) -> int:
        """Appends a record."""
        return await self.store.append("jobs", [ports.KeyedRecord("k", b"v")],
                                       ports.Producer("g/n1", 64), 3, timeout)

    async def test_append_names_its_writer(self):
        """Guards against appends that the store cannot tell apart."""
        self.answer(200, {"offset": 840, "end_offset": 842})
        self.assertEqual(await self.append(), 840)
        request, body = self.stand_in.requests[0]
        self.assertEqual(
            dict(request.query), {
                "topic": "keyed.jobs",
                "part": "0",
                "producer": "g/n1",
                "epoch": "64",
                "sequence": "3"
            })
        self.assertEqual(body, b"\x00\x00\x00\x03\x01kv")

    async def test_refusals_of_an_append(self):
        """Guards against a stored record that counts as not stored."""
        cases = ((409, {
            "reason": "fenced"
        }, ports.ProducerFencedError, errors.Verdict.DID_NOT_RUN), (409, {
            "reason": "seq",
            "sequence": 8
        }, ports.SequenceError, errors.Verdict.DID_NOT_RUN),
                 (503, {}, ports.StoreError, errors.Verdict.DID_NOT_RUN),
                 (429, {}, ports.StoreError, errors.Verdict.DID_NOT_RUN),
                 (500, {}, ports.StoreError, errors.Verdict.MAY_HAVE_RUN))
        for status, document, kind, verdict in cases:
            with self.subTest(status=status, document=document):
                self.answer(status, document)
                with self.assertRaises(kind) as caught:
                    await self.append()
                self.assertIs(caught.exception.verdict, verdict)

    async def test_silence_leaves_the_outcome_open(self):
        """Guards against a lost reply that counts as not stored."""
        self.stand_in.answers.append(None)
        with self.assertRaises(ports.StoreError) as caught:
            await self.append(SHORT)
        self.assertIs(caught.exception.verdict, errors.Verdict.MAY_HAVE_RUN)
        self.answer(200, {"offset": 1})
        self.assertEqual(await self.append(), 1)

    async def test_refused_connection_did_not_run(self):
        """Guards against callers that wait for what never began."""
        await self.stand_in.stop()
        with self.assertRaises(ports.StoreError) as caught:
            await self.append()
        self.assertIs(caught.exception.verdict, errors.Verdict.DID_NOT_RUN)

    async def test_read(self):
        """Guards against offsets that are counted wrongly."""
        self.answer(200,
                    body=struct.pack(">QQ", 9, 0) + b"\x00\x00\x00\x03\x01kv")
        batch = await self.store.read("keyed.op", 8, SHORT)
        self.assertEqual(
            batch, ports.KeyedBatch(9, (ports.KeyedRecord("k", b"v", 8),)))
        self.assertEqual(self.stand_in.requests[0][0].query["wait_ms"], "200")

    async def test_read_of_expired_records(self):
        """Guards against an incomplete state that passes as complete."""
        self.answer(410, {"first_offset": 50})
        self.assertIsNone(await self.store.read("jobs", 8, SHORT))

    async def test_read_newest_goes_on_after_the_last_key(self):
        """Guards against keys beyond the first page."""
        value = base64.b64encode(b"v").decode()
        self.answer(
            200, {
                "items": [{
                    "key": "a",
                    "value": value,
                    "offset": 1
                }],
                "has_more": True,
                "end_offset": 4
            })
        self.answer(
            200, {
                "items": [{
                    "key": "b",
                    "value": value,
                    "offset": 3
                }],
                "has_more": False,
                "end_offset": 6
            })
        batch = await self.store.read_newest("jobs")
        self.assertEqual([record.key for record in batch.records], ["a", "b"])
        self.assertEqual(batch.end_offset, 4)

    async def test_unreadable_replies(self):
        """Guards against a damaged reply that stops a loop."""
        for body in (b"", b"\x00" * 20, b"x" * 17):
            with self.subTest(body), self.assertRaises(ports.StoreError):
                self.answer(200, body=body)
                await self.store.read("jobs", 0, SHORT)
        for body in (b"", b"[]", b'{"items":[5],"end_offset":1}', b"{"):
            with self.subTest(body), self.assertRaises(ports.StoreError):
                self.answer(200, body=body)
                await self.store.read_newest("jobs")


class WorkersTest(StandInTest):
    """Client of workers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.workers = platform.PlatformWorkers()
        self.addAsyncCleanup(self.workers.close)
        self.entry = ports.WorkerEntry("w1", "svc", self.stand_in.address, "n1",
                                       False, 1000, 1000, 0, frozenset())

    async def start(self,
                    timeout: datetime.timedelta = TIMEOUT) -> ports.StartReply:
        """Starts a run."""
        order = ports.LeasedStartOrder(TASK, 2, "text", 486000, 7, "c-1")
        return await self.workers.start(self.entry, order, timeout)

    async def test_start_outcomes(self):
        """Guards against a refusal that counts as a start, or the reverse."""
        outcomes = ports.StartOutcome
        cases = ((200, {
            "clock_ms": 5
        }, outcomes.STARTED), (409, {
            "reason": "fence"
        }, outcomes.FENCED), (409, {
            "reason": "old"
        }, outcomes.OUTDATED_RUN), (409, {
            "reason": "late"
        }, outcomes.LEASE_ALREADY_EXPIRED), (409, {
            "reason": "room"
        }, outcomes.NO_FREE_CAPACITY), (409, {
            "reason": "ticket"
        }, outcomes.NO_PERMIT), (503, {}, outcomes.UNHEALTHY),
                 (429, {}, outcomes.UNHEALTHY), (421, {}, outcomes.WORKER_REPLACED),
                 (400, {}, outcomes.INVALID), (500, {}, outcomes.UNKNOWN))
        for status, document, outcome in cases:
            with self.subTest(status=status, document=document):
                self.answer(status, document)
                self.assertIs((await self.start()).outcome, outcome)

    async def test_start_document(self):
        """Guards against a run under another name, fence or checkpoint."""
        self.answer(200, {"clock_ms": 5})
        await self.start()
        request, body = self.stand_in.requests[0]
        self.assertEqual(
            json.loads(body), {
                "task": JOB + ".0.1.17",
                "run_id": 2,
                "spec": "text",
                "expires_ms": 486000,
                "fencing_token": 7,
                "checkpoint": "c-1"
            })
        self.assertEqual(request.headers["Gentianlead-Expected-Instance"], "w1")

    async def test_silent_start_is_unknown(self):
        """Guards against a second run of a start that was carried out."""
        self.stand_in.answers.append(None)
        self.assertIs((await self.start(SHORT)).outcome,
                      ports.StartOutcome.UNKNOWN)

    async def test_look(self):
        """Guards against lists that are read in another order."""
        self.answer(
            200, {
                "clock_ms": 482113,
                "born": 17,
                "running": [[JOB + ".0.1.17", 2, "c-1", 41, 350]],
                "finished": [[58, JOB + ".0.1.9", 1, "done", ""]]
            })
        look = await self.workers.poll_status(self.entry, 7, 57, 486000, SHORT,
                                       TIMEOUT)
        self.assertEqual(
            look,
            ports.WorkerStatus(482113, 17,
                             (ports.ActiveRun(TASK, 2, "c-1", 41, 350),),
                             (ports.EndedRun(58, TASK._replace(index=9), 1,
                                              ports.EndCause.DONE, ""),)))
        self.assertEqual(
            json.loads(self.stand_in.requests[0][1]), {
                "fencing_token": 7,
                "last_seen": 57,
                "expires_ms": 486000,
                "wait_ms": 200
            })

    async def test_look_failures(self):
        """Guards against damaged lists that pass as empty ones."""
        cases = ((409, {
            "reason": "fence"
        }, ports.StaleFencingTokenError), (503, {}, errors.WorkerError),
                 (200, [], errors.WorkerError), (200, {
                     "clock_ms": 5,
                     "running": [["x"]]
                 }, errors.WorkerError), (200, {
                     "clock_ms": 5,
                     "finished": [[1, JOB + ".0.0.0", 1, "burnt", ""]]
                 }, errors.WorkerError))
        for status, document, kind in cases:
            with self.subTest(status=status, document=document):
                self.answer(status, document)
                with self.assertRaises(kind):
                    await self.workers.poll_status(self.entry, 7, 0, None, SHORT,
                                            TIMEOUT)


class PermitsTest(StandInTest):
    """Client of the advisory service."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.permits = platform.PlatformPermits(self.stand_in.address)
        self.addAsyncCleanup(self.permits.close)

    async def request(self,
                      timeout: datetime.timedelta = TIMEOUT
                     ) -> ports.PermitReply:
        """Asks for two workers."""
        return await self.permits.request_permits("5c0e7a21d94b36f8", 0, 1,
                                                  ("w1", "w2"), timeout)

    async def test_request_and_answer(self):
        """Guards against a step or a worker that the service does not know."""
        self.answer(200, {"granted": [["w2", "c81e"]], "valid_ms": 3000})
        self.assertEqual(
            await self.request(),
            ports.PermitReply({"w2": "c81e"}, datetime.timedelta(seconds=3)))
        request, body = self.stand_in.requests[0]
        self.assertEqual(request.path, "/advise")
        self.assertEqual(json.loads(body), {
            "step": "5c0e7a21d94b36f8.0.1",
            "workers": ["w1", "w2"]
        })

    async def test_failures(self):
        """Guards against a damaged answer that counts as no permit at all."""
        cases = ((429, b""), (200, b"{"), (200, b"[]"),
                 (200, b'{"granted": [["w1"]]}'),
                 (200, b'{"granted": [[1, "c81e"]]}'),
                 (200, b'{"granted": [], "valid_ms": "soon"}'))
        for status, body in cases:
            with self.subTest(status=status, body=body):
                self.answer(status, body=body)
                with self.assertRaises(ports.PermitError):
                    await self.request()
        self.stand_in.answers.append(None)
        with self.assertRaises(ports.PermitError):
            await self.request(datetime.timedelta(milliseconds=100))


class FakeDesk(ports.JobService):
    """A desk that answers as a test says.

    Attributes:
        reply: Answer to submissions and cancellations.
        lookup: Answer to questions for a state.
        jobs: Submitted jobs.
    """

    def __init__(self) -> None:
        self.configuration: model.FleetConfiguration | None = (
            model.FleetConfiguration(1,
                                     (model.Queue("a.example", "/q/", "svc"),),
                                     frozenset(), frozenset(), 300))
        self.reply: ports.SubmitReply | None = ports.SubmitReply(
            ports.SubmitOutcome.ACCEPTED)
        self.lookup = ports.JobLookup(model.JobState.RUNNING, True)
        self.jobs: list[model.SteppedJob] = []

    def get_configuration(self) -> model.FleetConfiguration | None:
        return self.configuration

    def is_ready(self) -> bool:
        return True

    async def submit(self, job: model.SteppedJob,
                     deadline: datetime.timedelta) -> ports.SubmitReply:
        self.jobs.append(job)
        return self.reply

    async def cancel(self, job_id: str,
                     deadline: datetime.timedelta) -> ports.SubmitReply | None:
        return self.reply

    async def find_state(self, job_id: str,
                         deadline: datetime.timedelta) -> ports.JobLookup:
        return self.lookup

    def count_pending(self, queue: model.Queue) -> int:
        return 12

    def get_unix_time_ms(self) -> int:
        return 17


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    """Server for callers."""

    async def asyncSetUp(self) -> None:
        self.desk = FakeDesk()
        self.server = platform.CallerServer(self.desk, adapters.SystemClock(),
                                            lambda *_: None, lambda: b"m 1\n")
        addresses = await self.server.start("127.0.0.1:0", "127.0.0.1:0",
                                            "127.0.0.1:0")
        self.base = f"http://{addresses[0]}"
        self.addAsyncCleanup(self.server.close)
        self.session = aiohttp.ClientSession(headers={"Host": "A.example"})
        self.addAsyncCleanup(self.session.close)

    async def call(self,
                   method: str,
                   path: str,
                   body: bytes | None = None) -> tuple[int, dict, str]:
        """Returns the status, the body and Retry-After of an answer."""
        async with self.session.request(method, self.base + path,
                                        data=body) as reply:
            return (reply.status, await
                    reply.json(), reply.headers.get("Retry-After", ""))

    async def test_submission(self):
        """Guards against a job that is stored with another name or queue."""
        status, _, _ = await self.call("POST", f"/q/{JOB}",
                                       b'{"steps":[{"count":1}]}')
        self.assertEqual(status, 200)
        self.assertEqual(
            (self.desk.jobs[0].job_id, self.desk.jobs[0].queue.service),
            (JOB, "svc"))

    async def test_refusals_say_whether_the_job_can_run(self):
        """Guards against a refusal of a job that may still run."""
        second = datetime.timedelta(seconds=1)
        cases = ((ports.SubmitReply(ports.SubmitOutcome.REFUSED, "x", second),
                  503, "1"), (ports.SubmitReply(ports.SubmitOutcome.UNKNOWN,
                                                "x"), 504, ""))
        for reply, expected, retry_after in cases:
            with self.subTest(reply=reply):
                self.desk.reply = reply
                status, _, retry = await self.call("POST", f"/q/{JOB}",
                                                   b'{"steps":[{"count":1}]}')
                self.assertEqual((status, retry), (expected, retry_after))

    async def test_states(self):
        """Guards against 410 for a job that may exist."""
        cases = ((ports.JobLookup(model.JobState.COMPLETED, True), 200),
                 (ports.JobLookup(None, True), 410), (ports.JobLookup(None,
                                                                False), 503))
        for lookup, expected in cases:
            with self.subTest(lookup=lookup):
                self.desk.lookup = lookup
                status, document, _ = await self.call("GET", f"/q/{JOB}")
                self.assertEqual(status, expected)
                if status == 200:
                    self.assertEqual(document, {"state": "completed"})

    async def test_cancellation_of_an_unknown_job(self):
        """Guards against a cancellation that is confirmed for nothing."""
        self.desk.reply = None
        status, _, _ = await self.call("DELETE", f"/q/{JOB}")
        self.assertEqual(status, 410)

    async def test_bad_requests(self):
        """Guards against bad input that harms other requests."""
        cases = (("POST", f"/q/{JOB}", b"{",
                  400), ("POST", f"/q/{JOB}", b"x" * 301,
                         413), ("POST", "/q/short", b"{}", 404),
                 ("POST", f"/r/{JOB}", b"{}", 404), ("PUT", f"/q/{JOB}", b"{}",
                                                     405))
        for method, path, body, expected in cases:
            with self.subTest(method=method, path=path):
                status, _, _ = await self.call(method, path, body)
                self.assertEqual(status, expected)
        self.assertEqual(await self.call("GET", "/q/"), (200, {
            "pending": 12
        }, ""))

    async def test_before_the_first_configuration(self):
        """Guards against 404 for a queue that may exist."""
        self.desk.configuration = None
        status, _, retry = await self.call("GET", f"/q/{JOB}")
        self.assertEqual((status, retry), (503, "1"))
