"""Tests of the HTTP clients and of the HTTP server for callers."""

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
SHORT_TIMEOUT = datetime.timedelta(milliseconds=200)
JOB_ID = "5c0e7a21d94b36f8"
TASK_KEY = model.TaskKey(JOB_ID, 0, 1, 17)
NESTED_BODY = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


class StubHttpServer:
    """An HTTP server that sends prepared replies and records the requests.

    Attributes:
        replies: Status and body of the next replies, in order; for None, the
            server sends no reply.
        requests: Each received request with its body.
        address: `host:port` of the server; empty before it is started.
    """

    def __init__(self) -> None:
        self.replies: list[tuple[int, bytes] | None] = []
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
        """Stops the server."""
        await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.requests.append((request, await request.read()))
        reply = self.replies.pop(0)
        if reply is None:
            await asyncio.sleep(30)
        status, body = reply
        return web.Response(status=status, body=body)


class StubServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that run a client against one stub server."""

    async def asyncSetUp(self) -> None:
        self.stub_server = StubHttpServer()
        await self.stub_server.start()
        self.addAsyncCleanup(self.stub_server.stop)

    def add_reply(self,
                  status: int,
                  document: object = None,
                  body: bytes = b"") -> None:
        """Prepares a reply with a JSON document or a raw body."""
        if document is not None:
            body = json.dumps(document).encode()
        self.stub_server.replies.append((status, body))


class StoreTest(StubServerTestCase):
    """Tests of the client of the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = platform.PlatformStore(self.stub_server.address)
        self.addAsyncCleanup(self.store.close)

    async def append(self, timeout: datetime.timedelta = TIMEOUT) -> int:
        """Appends one record to the topic `jobs`."""
        return await self.store.append("jobs", [ports.KeyedRecord("k", b"v")],
                                       ports.Producer("g/n1", 64), 3, timeout)

    async def test_append_request(self):
        """Guards against appends that lack the producer, epoch or sequence."""
        self.add_reply(200, {"offset": 840, "end_offset": 842})
        self.assertEqual(await self.append(), 840)
        request, body = self.stub_server.requests[0]
        self.assertEqual(
            dict(request.query), {
                "topic": "keyed.jobs",
                "part": "0",
                "producer": "g/n1",
                "epoch": "64",
                "sequence": "3"
            })
        self.assertEqual(body, b"\x00\x00\x00\x03\x01kv")

    async def test_append_failures(self):
        """Guards against wrong verdicts on whether an append was stored."""
        cases = ((409, {
            "reason": "fenced"
        }, ports.ProducerFencedError, errors.Verdict.DID_NOT_RUN), (409, {
            "reason": "seq",
            "sequence": 8
        }, ports.SequenceError, errors.Verdict.DID_NOT_RUN),
                 (503, {}, ports.StoreError, errors.Verdict.DID_NOT_RUN),
                 (429, {}, ports.StoreError, errors.Verdict.DID_NOT_RUN),
                 (500, {}, ports.StoreError, errors.Verdict.MAY_HAVE_RUN),
                 (200, {}, ports.StoreError,
                  errors.Verdict.MAY_HAVE_RUN), (200, {
                      "offset": "7"
                  }, ports.StoreError, errors.Verdict.MAY_HAVE_RUN))
        for status, document, error_type, verdict in cases:
            with self.subTest(status=status, document=document):
                self.add_reply(status, document)
                with self.assertRaises(error_type) as caught:
                    await self.append()
                self.assertIs(caught.exception.verdict, verdict)

    async def test_rejected_appends(self):
        """Guards against repetitions of an append that can never succeed."""
        for status in (400, 413):
            with self.subTest(status=status):
                self.add_reply(status, {"reason": "size"})
                with self.assertRaisesRegex(ports.RecordsRejectedError,
                                            f"status {status}") as caught:
                    await self.append()
                self.assertIs(caught.exception.verdict,
                              errors.Verdict.DID_NOT_RUN)

    async def test_oversized_records_are_not_sent(self):
        """Guards against records above the limits of the store.

        A record of exactly the maximum size must be sent.
        """
        store = platform.PlatformStore(self.stub_server.address,
                                       platform.StoreLimits(100, 250))
        self.addAsyncCleanup(store.close)
        producer = ports.Producer("n/1", 1)
        largest_record = ports.KeyedRecord("k", b"v" * 98)
        cases = (([ports.KeyedRecord("k" * 9, b"v" * 91)], "has 101 bytes"),
                 ([ports.KeyedRecord("k" * 256, b"")], "257 bytes, 256 of"),
                 ([largest_record] * 3, "3 records has 312 bytes"))
        for records, message in cases:
            with self.subTest(message), self.assertRaisesRegex(
                    ports.RecordsRejectedError, message):
                await store.append("jobs", records, producer, 1, TIMEOUT)
        self.assertEqual(self.stub_server.requests, [])
        self.add_reply(200, {"offset": 1})
        await store.append("jobs", [largest_record], producer, 1, TIMEOUT)

    async def test_append_without_reply_may_have_run(self):
        """Guards against a timeout that is reported as certainly not stored."""
        self.stub_server.replies.append(None)
        with self.assertRaises(ports.StoreError) as caught:
            await self.append(SHORT_TIMEOUT)
        self.assertIs(caught.exception.verdict, errors.Verdict.MAY_HAVE_RUN)
        self.add_reply(200, {"offset": 1})
        self.assertEqual(await self.append(), 1)

    async def test_append_over_refused_connection_did_not_run(self):
        """Guards against an unsent append reported as possibly stored."""
        await self.stub_server.stop()
        with self.assertRaises(ports.StoreError) as caught:
            await self.append()
        self.assertIs(caught.exception.verdict, errors.Verdict.DID_NOT_RUN)

    async def test_read(self):
        """Guards against wrong offsets of the records that a read returns."""
        self.add_reply(200,
                       body=struct.pack(">QQ", 9, 0) +
                       b"\x00\x00\x00\x03\x01kv")
        batch = await self.store.read("keyed.op", 8, SHORT_TIMEOUT)
        self.assertEqual(
            batch, ports.KeyedBatch(9, (ports.KeyedRecord("k", b"v", 8),)))
        self.assertEqual(self.stub_server.requests[0][0].query["wait_ms"],
                         "200")

    async def test_read_of_expired_records(self):
        """Guards against a read that skips expired records unnoticed."""
        self.add_reply(410, {"first_offset": 50})
        self.assertIsNone(await self.store.read("jobs", 8, SHORT_TIMEOUT))

    async def test_read_newest_page(self):
        """Guards against pages that start or end at a wrong key."""
        for after_key, has_more in (("", True), ("a", False)):
            with self.subTest(after_key=after_key):
                self.add_reply(
                    200, {
                        "items": [{
                            "key": "b",
                            "value": base64.b64encode(b"v").decode(),
                            "offset": 3
                        }],
                        "has_more": has_more,
                        "end_offset": 6
                    })
                self.assertEqual(
                    await self.store.read_newest_page("jobs", after_key,
                                                      SHORT_TIMEOUT),
                    ports.NewestPage((ports.KeyedRecord("b", b"v", 3),), 6,
                                     has_more))
                query = self.stub_server.requests[-1][0].query
                self.assertEqual(query.get("depends_on", ""), after_key)

    async def test_unreadable_replies(self):
        """Guards against a malformed reply that raises an unexpected error.

        The loops that read topics catch only `StoreError`.
        """
        for body in (b"", b"\x00" * 20, b"x" * 17):
            with self.subTest(body), self.assertRaises(ports.StoreError):
                self.add_reply(200, body=body)
                await self.store.read("jobs", 0, SHORT_TIMEOUT)
        for body in (b"", b"[]", b'{"items":[5],"end_offset":1}', b"{",
                     NESTED_BODY):
            with self.subTest(body), self.assertRaises(ports.StoreError):
                self.add_reply(200, body=body)
                await self.store.read_newest_page("jobs", "", SHORT_TIMEOUT)

    async def test_key_that_is_not_valid_text(self):
        """Guards against one key that hides all other records of a page."""
        for odd_key in (b"\\ud800", b"\xff", b"\xed\xa0\x80"):
            with self.subTest(odd_key):
                self.add_reply(
                    200,
                    body=b'{"items":[{"key":"a","value":"","offset":1},'
                    b'{"key":"' + odd_key + b'","value":"","offset":2}],'
                    b'"end_offset":3}')
                page = await self.store.read_newest_page(
                    "jobs", "", SHORT_TIMEOUT)
                first_key, second_key = [record.key for record in page.records]
                self.assertEqual(first_key, "a")
                self.assertEqual(set(second_key), {"\ufffd"})


class WorkersTest(StubServerTestCase):
    """Tests of the client of workers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.workers = platform.PlatformWorkerClient(
            adapters.LoopDelayMeter(adapters.SystemClock()), TIMEOUT)
        self.addAsyncCleanup(self.workers.close)
        self.entry = ports.WorkerEntry("w1", "svc", self.stub_server.address,
                                       "n1", False, 1000, 1000, 0, frozenset())

    async def start(self,
                    timeout: datetime.timedelta = TIMEOUT) -> ports.StartReply:
        """Sends a start order."""
        order = ports.LeasedStartOrder(TASK_KEY, 2, "text", 486000, 7, "c-1")
        return await self.workers.start(self.entry, order, timeout)

    async def test_start_outcomes(self):
        """Guards against a refusal reported as a start, or the reverse."""
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
                 (429, {}, outcomes.UNHEALTHY), (421, {},
                                                 outcomes.WORKER_REPLACED),
                 (400, {}, outcomes.INVALID), (500, {}, outcomes.UNKNOWN))
        for status, document, outcome in cases:
            with self.subTest(status=status, document=document):
                self.add_reply(status, document)
                self.assertIs((await self.start()).outcome, outcome)

    async def test_start_document(self):
        """Guards against a wrong task name, fencing token or checkpoint."""
        self.add_reply(200, {"clock_ms": 5})
        await self.start()
        request, body = self.stub_server.requests[0]
        self.assertEqual(
            json.loads(body), {
                "task": JOB_ID + ".0.1.17",
                "run_id": 2,
                "spec": "text",
                "expires_ms": 486000,
                "fencing_token": 7,
                "checkpoint": "c-1"
            })
        self.assertEqual(request.headers["Gentianlead-Expected-Instance"], "w1")

    async def test_start_reply_that_cannot_be_decoded(self):
        """Guards against a reply that ends the loop of the leader."""
        for status, outcome in ((200, ports.StartOutcome.STARTED),
                                (409, ports.StartOutcome.INVALID)):
            self.add_reply(status, body=NESTED_BODY)
            reply = await self.start()
            self.assertEqual((reply.outcome, reply.clock_ms), (outcome, None))

    async def test_start_without_reply_is_unknown(self):
        """Guards against a second start of a run that the worker has started.

        A start order without a reply may have taken effect.
        """
        self.stub_server.replies.append(None)
        self.assertIs((await self.start(SHORT_TIMEOUT)).outcome,
                      ports.StartOutcome.UNKNOWN)

    async def test_status_request_does_not_wait_for_orders(self):
        """Guards against a lease that runs out behind orders without a reply.
        """
        self.stub_server.replies += [None] * 6
        starts = [
            asyncio.create_task(self.start(2 * TIMEOUT)) for _ in range(6)
        ]
        self.addCleanup(lambda: [start.cancel() for start in starts])
        await asyncio.sleep(SHORT_TIMEOUT.total_seconds())
        self.stub_server.replies.insert(0, (200, b'{"clock_ms": 5}'))
        status = await self.workers.poll_status(self.entry, 7, 0, None,
                                                datetime.timedelta(0),
                                                SHORT_TIMEOUT)
        self.assertEqual(status.clock_ms, 5)

    async def test_poll_status(self):
        """Guards against status fields that are decoded as other fields."""
        self.add_reply(
            200, {
                "clock_ms": 482113,
                "born": 17,
                "running": [[JOB_ID + ".0.1.17", 2, "c-1", 41, 350]],
                "finished": [[58, JOB_ID + ".0.1.9", 1, "done", ""]]
            })
        status = await self.workers.poll_status(self.entry, 7, 57, 486000,
                                                SHORT_TIMEOUT, TIMEOUT)
        self.assertEqual(
            status,
            ports.WorkerStatus(482113, 17,
                               (ports.ActiveRun(TASK_KEY, 2, "c-1", 41, 350),),
                               (ports.EndedRun(58, TASK_KEY._replace(index=9),
                                               1, ports.EndCause.DONE, ""),)))
        self.assertEqual(
            json.loads(self.stub_server.requests[0][1]), {
                "fencing_token": 7,
                "last_seen": 57,
                "expires_ms": 486000,
                "wait_ms": 200
            })

    async def test_poll_status_with_many_ends(self):
        """Guards against ends that count as absent because a list is full."""
        for count, may_lack_ends in ((499, False), (500, True)):
            self.add_reply(
                200, {
                    "clock_ms":
                        482113,
                    "finished": [[n + 1, JOB_ID + ".0.1.9", n, "done", ""]
                                 for n in range(count)]
                })
            with self.subTest(count=count):
                status = await self.workers.poll_status(self.entry, 7, 0, None,
                                                        SHORT_TIMEOUT, TIMEOUT)
                self.assertIs(status.may_lack_ends, may_lack_ends)

    async def test_poll_status_failures(self):
        """Guards against malformed lists that are decoded as empty lists."""
        self.add_reply(200, body=NESTED_BODY)
        with self.assertRaises(errors.WorkerError):
            await self.workers.poll_status(self.entry, 7, 0, None,
                                           SHORT_TIMEOUT, TIMEOUT)
        cases = ((409, {
            "reason": "fence"
        }, ports.StaleFencingTokenError), (503, {}, errors.WorkerError),
                 (200, [], errors.WorkerError), (200, {
                     "clock_ms": 5,
                     "running": [["x"]]
                 }, errors.WorkerError), (200, {
                     "clock_ms": 5,
                     "finished": [[1, JOB_ID + ".0.0.0", 1, "burnt", ""]]
                 }, errors.WorkerError))
        for status, document, error_type in cases:
            with self.subTest(status=status, document=document):
                self.add_reply(status, document)
                with self.assertRaises(error_type):
                    await self.workers.poll_status(self.entry, 7, 0, None,
                                                   SHORT_TIMEOUT, TIMEOUT)


class PermitsTest(StubServerTestCase):
    """Tests of the client of the advisory service."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.permits = platform.PlatformPermitService(self.stub_server.address)
        self.addAsyncCleanup(self.permits.close)

    async def request(self,
                      timeout: datetime.timedelta = TIMEOUT
                     ) -> ports.PermitReply:
        """Requests permits for two workers."""
        return await self.permits.request_permits("5c0e7a21d94b36f8", 0, 1,
                                                  ("w1", "w2"), timeout)

    async def test_request_and_reply(self):
        """Guards against a wrong step name or wrong workers in the request."""
        self.add_reply(200, {"granted": [["w2", "c81e"]], "valid_ms": 3000})
        self.assertEqual(
            await self.request(),
            ports.PermitReply({"w2": "c81e"}, datetime.timedelta(seconds=3)))
        request, body = self.stub_server.requests[0]
        self.assertEqual(request.path, "/advise")
        self.assertEqual(json.loads(body), {
            "step": "5c0e7a21d94b36f8.0.1",
            "workers": ["w1", "w2"]
        })

    async def test_failures(self):
        """Guards against a failed request that is decoded as no permits."""
        cases = ((429, b""), (200, b"{"), (200, b"[]"), (200, NESTED_BODY),
                 (200, b'{"granted": [["w1"]]}'),
                 (200, b'{"granted": [[1, "c81e"]]}'),
                 (200, b'{"granted": [], "valid_ms": "soon"}'))
        for status, body in cases:
            with self.subTest(status=status, body=body):
                self.add_reply(status, body=body)
                with self.assertRaises(ports.PermitError):
                    await self.request()
        self.stub_server.replies.append(None)
        with self.assertRaises(ports.PermitError):
            await self.request(datetime.timedelta(milliseconds=100))


class FakeJobService(ports.JobService):
    """A job service that returns the values that a test sets.

    Attributes:
        configuration: Configuration that is returned.
        reply: Reply to submissions and cancellations.
        lookup: Result of each lookup of a job's state.
        jobs: Jobs submitted so far.
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
        self.pending_count: int | None = 12

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

    def count_pending(self, queue: model.Queue) -> int | None:
        return self.pending_count

    def get_unix_time_ms(self) -> int:
        return 17


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the HTTP server for callers."""

    async def asyncSetUp(self) -> None:
        self.job_service = FakeJobService()
        self.server = platform.CallerServer(self.job_service,
                                            adapters.SystemClock(),
                                            lambda *_: None, lambda: b"m 1\n")
        addresses = await self.server.start("127.0.0.1:0", "127.0.0.1:0",
                                            "127.0.0.1:0")
        self.base_url = f"http://{addresses[0]}"
        self.addAsyncCleanup(self.server.close)
        self.session = aiohttp.ClientSession(headers={"Host": "A.example"})
        self.addAsyncCleanup(self.session.close)

    async def call(self,
                   method: str,
                   path: str,
                   body: bytes | None = None) -> tuple[int, dict, str]:
        """Returns status, body and Retry-After of the response to a request."""
        async with self.session.request(method, self.base_url + path,
                                        data=body) as response:
            return (response.status, await
                    response.json(), response.headers.get("Retry-After", ""))

    async def test_submission(self):
        """Guards against a job that is submitted with a wrong name or queue."""
        status, _, _ = await self.call("POST", f"/q/{JOB_ID}",
                                       b'{"steps":[{"count":1}]}')
        self.assertEqual(status, 200)
        self.assertEqual((self.job_service.jobs[0].job_id,
                          self.job_service.jobs[0].queue.service),
                         (JOB_ID, "svc"))

    async def test_submission_failures(self):
        """Guards against a status that says a job cannot run if it may run."""
        one_second = datetime.timedelta(seconds=1)
        cases = ((ports.SubmitReply(ports.SubmitOutcome.REFUSED, "x",
                                    one_second), 503, "1"),
                 (ports.SubmitReply(ports.SubmitOutcome.UNKNOWN, "x"), 504, ""))
        for reply, expected, retry_after in cases:
            with self.subTest(reply=reply):
                self.job_service.reply = reply
                status, _, retry_header = await self.call(
                    "POST", f"/q/{JOB_ID}", b'{"steps":[{"count":1}]}')
                self.assertEqual((status, retry_header),
                                 (expected, retry_after))

    async def test_job_states(self):
        """Guards against status 410 for a job that may exist."""
        cases = ((ports.JobLookup(model.JobState.COMPLETED, True), 200),
                 (ports.JobLookup(None,
                                  True), 410), (ports.JobLookup(None,
                                                                False), 503))
        for lookup, expected in cases:
            with self.subTest(lookup=lookup):
                self.job_service.lookup = lookup
                status, document, _ = await self.call("GET", f"/q/{JOB_ID}")
                self.assertEqual(status, expected)
                if status == 200:
                    self.assertEqual(document, {"state": "completed"})

    async def test_cancellation_of_an_unknown_job(self):
        """Guards against a success status for a job that does not exist."""
        self.job_service.reply = None
        status, _, _ = await self.call("DELETE", f"/q/{JOB_ID}")
        self.assertEqual(status, 410)

    async def test_malformed_requests(self):
        """Guards against malformed requests that are not answered with 4xx."""
        cases = (("POST", f"/q/{JOB_ID}", b"{",
                  400), ("POST", f"/q/{JOB_ID}", b"x" * 301,
                         413), ("POST", "/q/short", b"{}", 404),
                 ("POST", f"/r/{JOB_ID}", b"{}", 404), ("PUT", f"/q/{JOB_ID}",
                                                        b"{}", 405))
        for method, path, body, expected in cases:
            with self.subTest(method=method, path=path):
                status, _, _ = await self.call(method, path, body)
                self.assertEqual(status, expected)
        self.assertEqual(await self.call("GET", "/q/"), (200, {
            "pending": 12
        }, ""))

    async def test_count_before_the_jobs_are_read(self):
        """Guards against a count of 0 by a daemon that knows no jobs yet."""
        self.job_service.pending_count = None
        status, _, retry_header = await self.call("GET", "/q/")
        self.assertEqual((status, retry_header), (503, "1"))

    async def test_bodies_that_cannot_be_decoded(self):
        """Guards against status 500 for a body of a caller."""
        self.job_service.configuration = (
            self.job_service.configuration._replace(max_body_bytes=300_000))
        for body in (NESTED_BODY, b'{"spec":"\\ud800","steps":[{"count":1}]}',
                     b'{"spec":"\xed\xa0\x80","steps":[{"count":1}]}'):
            with self.subTest(body[:40]):
                status, _, _ = await self.call("POST", f"/q/{JOB_ID}", body)
                self.assertEqual(status, 400)

    async def test_request_before_first_configuration(self):
        """Guards against status 404 for a queue that may exist."""
        self.job_service.configuration = None
        status, _, retry_header = await self.call("GET", f"/q/{JOB_ID}")
        self.assertEqual((status, retry_header), (503, "1"))
