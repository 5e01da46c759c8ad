"""Seeded tests that odd input leaves each decoder as its documented error.

What a decoder returns must fit the records and the log of the daemons.
"""

import datetime
import json
import random
import tempfile
import unittest
from typing import Any, Callable

import msgpack

from gentianlead import errors
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.platform import _http
from gentianlead.platform import _permits
from gentianlead.platform import _store
from gentianlead.platform import _workers
from gentianlead.platform.tests import mutations
from gentianlead.platform.tests import test_formats

SEEDS = range(4)
MUTATIONS_PER_SEED = 500
TIMEOUT = datetime.timedelta(seconds=1)
TASK_NAME = test_formats.JOB_ID + ".0.1.2"

WORKER_COUNT = 1400
"""Number of workers whose capacities a leader sums up in its reports."""

SUBMISSION = {
    "spec":
        "text",
    "repeat_count":
        2,
    "first_run_ms":
        1764849600000,
    "interval_ms":
        1000,
    "steps": [{
        "count": 4,
        "cpu": 500,
        "mem_mb": 256,
        "estimate_ms": 900
    }, {
        "count": 2,
        "depends_on": [0],
        "long_running": True,
        "requires": "a",
        "image": "x",
        "target_ms": 70,
        "miss_allowed": 0
    }]
}
STATUS = {
    "clock_ms": 5000,
    "born": 1764849600000,
    "running": [[TASK_NAME, 2, "c-1", 41, 70], [TASK_NAME, 3, "", 0]],
    "finished": [[1, TASK_NAME, 1, "done", ""], [2, TASK_NAME, 1, "failed", ""]]
}
CONFIGURATION = {
    "version": 7,
    "routes": [{
        "host": "a.example",
        "path_prefix": "/q/",
        "service": "svc",
        "priority": 1,
        "max_attempts": 3,
        "deadline_factor": 1.5,
        "target_latency_ms": 250,
        "advice": {}
    }],
    "services": [{
        "name": "svc",
        "enforces_capacity": True
    }],
    "limits": {
        "max_body_bytes": 10000
    }
}


def _encode_plain(value: object) -> object:
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, ports.EndCause):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    raise TypeError(type(value).__name__)


class ReplyingEndpoint(_http.HttpEndpoint):
    """Endpoint whose calls all get the same reply, without a connection."""

    def __init__(self, reply: _http.HttpReply):
        super().__init__("127.0.0.1:1", 1)
        self._reply = reply

    async def call(self, *args: object, **kwargs: object) -> _http.HttpReply:
        del args, kwargs
        return self._reply


class OddInputTest(unittest.IsolatedAsyncioTestCase):
    """Passes mutated documents to each decoder."""

    def check_value(self, value: object) -> None:
        """Checks that records and log lines can hold a decoded value."""
        msgpack.packb(value, default=_encode_plain)
        json.dumps(value, default=_encode_plain, allow_nan=False).encode()

    def check_decoder(self, document: Any, decode: Callable[[bytes],
                                                            object]) -> None:
        """Decodes mutations of a document; only `ProtocolError` may result."""
        decoded_count = 0
        for seed in SEEDS:
            random_source = random.Random(seed)
            for number in range(MUTATIONS_PER_SEED):
                encoded = mutations.mutate_document(document, random_source)
                with self.subTest(seed=seed,
                                  number=number,
                                  encoded=encoded[:400]):
                    try:
                        self.check_value(decode(encoded))
                        decoded_count += 1
                    except errors.ProtocolError as error:
                        self.assertLess(len(str(error)), 1000)
        # Most mutations of unknown or optional fields remain valid.
        self.assertGreater(decoded_count, 20)

    def test_worker_entries(self):
        """Guards against an entry that ends the reader of the registry."""

        def decode(encoded: bytes) -> object:
            entry = platform.parse_worker_entry("w1", encoded)
            return [entry, *(WORKER_COUNT * value for value in entry[5:8])]

        self.check_decoder(test_formats.WORKER_ENTRY, decode)

    def test_configurations(self):
        """Guards against a configuration that ends the operators' reader."""

        def decode(encoded: bytes) -> object:
            configuration, problems = platform.parse_configuration(encoded)
            configuration.find_queue("a.example", "/q/x")
            for problem in problems:
                self.assertLess(len(problem), 1000)
            return [configuration, problems]

        self.check_decoder(CONFIGURATION, decode)

    def test_submissions(self):
        """Guards against a body that gets status 500 or cannot be stored."""

        def decode(encoded: bytes) -> object:
            job = platform.parse_submission(encoded, test_formats.JOB_ID,
                                            test_formats.QUEUE, 17)
            last_due_ms = job.first_run_ms + job.occurrences * job.interval_ms
            return [
                job, last_due_ms, *(step.count * amount
                                    for step in job.steps
                                    for amount in step[1:5])
            ]

        self.check_decoder(SUBMISSION, decode)

    def test_worker_statuses(self):
        """Guards against a status that ends the polls of a worker."""
        self.check_decoder(
            STATUS,
            lambda encoded: _workers._decode_status(  # pylint: disable=protected-access
                _http.HttpReply(200, encoded)))

    def test_start_replies(self):
        """Guards against a reply that ends the leader of the group."""

        def decode(encoded: bytes) -> object:
            for status in (200, 409, 421, 503):
                # pylint: disable-next=protected-access
                reply = _workers._decode_start_reply(
                    _http.HttpReply(status, encoded))
                self.assertLess(len(reply.detail), 200)
            return [reply.clock_ms, reply.detail]

        self.check_decoder({"clock_ms": 482113, "reason": "fence"}, decode)

    def test_permit_replies(self):
        """Guards against a reply that ends the leader of the group."""

        def decode(encoded: bytes) -> object:
            try:
                # pylint: disable-next=protected-access
                reply = _permits._decode_permit_reply(encoded)
            except ports.PermitError as error:
                raise errors.ProtocolError(str(error)) from error
            return [reply.permits, reply.valid_for.total_seconds()]

        self.check_decoder(
            {
                "granted": [["w1", "c81e"], ["w2", "c81f"]],
                "valid_ms": 3000
            }, decode)

    async def call_store(self, encoded: bytes, method_name: str, *args:
                         object) -> None:
        """Calls the store, which replies with `encoded`; checks the result."""
        store = platform.PlatformStore("127.0.0.1:1")
        for status in (200, 409, 503):
            reply = _http.HttpReply(status, encoded)
            store._endpoint = ReplyingEndpoint(reply)  # pylint: disable=protected-access
            try:
                self.check_value(await getattr(store, method_name)(*args))
            except ports.StoreError as error:
                self.assertLess(len(str(error)), 1000)

    async def test_store_replies(self):
        """Guards against a reply that ends a loop of the daemon."""
        page = {
            "items": [{
                "key": "a",
                "value": "eA==",
                "offset": 3
            }, {
                "key": "b",
                "value": "",
                "offset": 4
            }],
            "has_more": True,
            "end_offset": 5
        }
        append_reply = {"offset": 7, "reason": "seq", "sequence": 3}
        producer = ports.Producer("n1", 1)
        for seed in SEEDS:
            random_source = random.Random(seed)
            for number in range(MUTATIONS_PER_SEED // 2):
                encoded = mutations.mutate_document(page, random_source)
                with self.subTest(seed=seed,
                                  number=number,
                                  encoded=encoded[:400]):
                    await self.call_store(encoded, "read_newest_page", "jobs",
                                          "", TIMEOUT)
                encoded = mutations.mutate_document(append_reply, random_source)
                with self.subTest(seed=seed,
                                  number=number,
                                  encoded=encoded[:400]):
                    await self.call_store(encoded, "append", "jobs",
                                          [ports.KeyedRecord("a", b"x")],
                                          producer, 1, TIMEOUT)

    async def test_store_records(self):
        """Guards against a read of records that ends a reader."""
        records = [
            ports.KeyedRecord("a", b"x" * 20, 3),
            ports.KeyedRecord("b", b"", 4)
        ]
        reply = bytes(16) + _store.encode_records(records)
        random_source = random.Random(1)
        for number in range(MUTATIONS_PER_SEED):
            encoded = mutations.mutate_bytes(reply, random_source)
            with self.subTest(number=number, encoded=encoded):
                await self.call_store(encoded, "read", "jobs", 3, TIMEOUT)

    def test_settings(self):
        """Guards against a traceback instead of a message at the start."""
        for seed in SEEDS:
            random_source = random.Random(seed)
            for number in range(MUTATIONS_PER_SEED // 2):
                lines = test_formats.SETTINGS_TEXT.splitlines()
                index = random_source.randrange(len(lines))
                odd_text = random_source.choice(
                    ("1e400", "-1", "nan", "[" * 5000, '""', "[1]", "inf",
                     "9" * 4000, "true", "{}", "1979-05-27", '"\\u0000"'))
                name, _, _ = lines[index].partition(" = ")
                lines[index] = f"{name} = {odd_text}"
                with self.subTest(seed=seed, number=number, line=lines[index]):
                    try:
                        platform.parse_settings("\n".join(lines))
                    except errors.SettingsError:
                        pass

    def test_settings_file_that_is_not_text(self):
        """Guards against a traceback instead of a message at the start."""
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"node_name = \"\xff\"")
            file.flush()
            with self.assertRaises(errors.SettingsError):
                platform.read_settings(file.name)

    def test_task_names(self):
        """Guards against a name that is no number of a task."""
        for name in (TASK_NAME, "", "....", TASK_NAME + "9" * 30, TASK_NAME +
                     "9" * 5000, test_formats.JOB_ID + ".\u00b2.1.1",
                     test_formats.JOB_ID + ".0.0.10000", "\ud800.1.1.1", 5,
                     None, [], {}):
            with self.subTest(str(name)[:60]):
                try:
                    task = platform.parse_task_name(name)
                except errors.ProtocolError:
                    continue
                self.assertEqual(task,
                                 model.TaskKey(test_formats.JOB_ID, 0, 1, 2))
