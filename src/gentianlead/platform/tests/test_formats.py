"""Tests of the platform's formats, with good and bad input."""

import json
import unittest

from gentianlead import errors
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.platform import _store

QUEUE = model.Queue("a.example", "/q/", "svc")
JOB = "5c0e7a21d94b36f8"
ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "north-1",
    "state": "ready",
    "slots": 8,
    "capacity": {
        "cpu": 16000,
        "mem_mb": 32768
    },
    "labels": ["a", "r1-2"],
    "born": 1764849600000,
    "sequence": 3
}
SETTINGS = """
node_name = "entry-1"
ip = "10.1.0.13"
zone = "north-1"
port_range = [7720, 7735]
[zones]
north-1 = "north"
north-2 = "north"
[listen_addrs]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[bounds]
hold_max_ms = 6000
stop_ms = 900
[platform]
address = "10.200.1.7:8169"
writes_per_s = 600
"""


def parse(document: object) -> model.SteppedJob:
    """Parses a submission."""
    return platform.parse_submission(
        json.dumps(document).encode(), JOB, QUEUE, 17)


class SubmissionTest(unittest.TestCase):
    """Jobs that callers submit."""

    def test_all_fields_are_read(self):
        """Guards against a property of a step that is lost on the way."""
        job = parse({
            "spec":
                "text",
            "repeat_count":
                2,
            "first_run_ms":
                5,
            "interval_ms":
                6,
            "steps": [{
                "count": 4,
                "cpu": 500,
                "mem_mb": 256,
                "gpu": 1,
                "estimate_ms": 900,
                "data_rack": "r1"
            }, {
                "count": 2,
                "depends_on": [0],
                "checkpointing": True,
                "gang": True,
                "same_rack": True,
                "requires": "a",
                "anti_affinity": 3,
                "speculative": True,
                "long_running": True,
                "image": "x",
                "target_ms": 70,
                "fills": True,
                "miss_allowed": 0
            }]
        })
        self.assertEqual(job.steps[0],
                         model.Step(4, 500, 256, 1, 900, preferred_rack="r1"))
        self.assertEqual(
            job.steps[1],
            model.Step(2,
                       depends_on=(0,),
                       has_checkpoints=True,
                       is_gang=True,
                       prefers_same_rack=True,
                       required_label="a",
                       max_tasks_per_worker=3,
                       allows_speculative_copies=True,
                       is_long_running=True,
                       image="x",
                       tail_latency_limit_ms=70,
                       is_best_effort=True,
                       max_unavailable=0))
        self.assertEqual((job.occurrences, job.first_run_ms, job.interval_ms),
                         (2, 5, 6))

    def test_bad_input_is_refused_with_the_field(self):
        """Guards against input that stops a daemon or fills its memory."""
        step = {"count": 1}
        cases = {
            "steps": [{}, {
                "steps": []
            }, {
                "steps": {}
            }, {
                "steps": [step] * 65
            }],
            "count": [{
                "steps": [{
                    "count": value
                }]
            } for value in (0, -1, "1", True, 1e9, None)],
            "cpu": [{
                "steps": [{
                    "count": 1,
                    "cpu": -5
                }]
            }],
            "depends_on": [{
                "steps": [step, {
                    "count": 1,
                    "depends_on": value
                }]
            } for value in ([1], [-1], ["0"], 0)],
            "gang": [{
                "steps": [{
                    "count": 1,
                    "gang": 1
                }]
            }],
            "spec": [{
                "spec": 5,
                "steps": [step]
            }, {
                "spec": "x" * 4001,
                "steps": [step]
            }],
            "repeat_count": [{
                "repeat_count": 10**7,
                "steps": [step]
            }],
            "body": [[], "text", None],
        }
        for field, documents in cases.items():
            for document in documents:
                with self.subTest(document=str(document)[:60]):
                    with self.assertRaisesRegex(errors.ProtocolError, field):
                        parse(document)
        with self.assertRaises(errors.ProtocolError):
            platform.parse_submission(b"\xff{", JOB, QUEUE, 17)

    def test_task_names(self):
        """Guards against a name that is taken for another task."""
        task = model.TaskKey(JOB, 1, 2, 30)
        self.assertEqual(platform.format_task(task), JOB + ".1.2.30")
        self.assertEqual(platform.parse_task(JOB + ".1.2.30"), task)
        for text in (JOB, JOB + ".1.2", JOB + ".1.2.-3", JOB + ".1.2.x",
                     JOB + ".1.2.3.4", ""):
            with self.subTest(text), self.assertRaises(errors.ProtocolError):
                platform.parse_task(text)


class RegistryTest(unittest.TestCase):
    """Entries of workers."""

    def test_entry(self):
        """Guards against a worker that is taken for another one."""
        entry = platform.parse_entry("w1", json.dumps(ENTRY).encode())
        self.assertEqual((entry.worker_id, entry.domain, entry.cpu_millis,
                          entry.memory_mib, entry.is_draining),
                         ("w1", "north-1", 16000, 32768, False))

    def test_foreign_entry_names_no_worker(self):
        """Guards against entries of other writers in the registry."""
        changes = ({
            "state": "paused"
        }, {
            "state": None
        }, {
            "address": "x"
        }, {
            "address": 5
        }, {
            "capacity": []
        }, {
            "capacity": {
                "cpu": "1"
            }
        }, {
            "labels": "a"
        }, {
            "labels": [1]
        }, {
            "service": None
        }, {
            "born": 1.5
        }, {
            "zone": 7
        })
        for change in changes:
            with self.subTest(change=change):
                data = json.dumps({**ENTRY, **change}).encode()
                with self.assertRaises(errors.ProtocolError):
                    platform.parse_entry("w1", data)
        for data in (b"", b"[]", b"\x00\xff", b"{"):
            with self.subTest(data), self.assertRaises(errors.ProtocolError):
                platform.parse_entry("w1", data)


class ConfigurationTest(unittest.TestCase):
    """Configurations of the operators."""

    ROUTE = {
        "host": "A.example",
        "path_prefix": "/q/",
        "service": "svc",
        "max_attempts": 3,
        "deadline_factor": 1.5,
        "target_latency_ms": 250
    }

    def parse(self, **fields) -> tuple[model.FleetConfiguration, list[str]]:
        """Parses a configuration."""
        document = {"version": 7, "routes": [self.ROUTE], "services": []}
        document.update(fields)
        return platform.parse_configuration(json.dumps(document).encode())

    def test_longest_prefix_wins(self):
        """Guards against a job in another queue of the same host."""
        routes = [
            self.ROUTE, {
                **self.ROUTE, "path_prefix": "/q/sub/",
                "service": "other"
            }
        ]
        configuration, problems = self.parse(routes=routes)
        self.assertEqual(problems, [])
        for path, service in (("/q/x", "svc"), ("/q/sub/x", "other")):
            queue = configuration.find_queue("a.example", path)
            self.assertEqual(queue.service, service)
        self.assertIsNone(configuration.find_queue("b.example", "/q/x"))
        self.assertIsNone(configuration.find_queue("a.example", "/r/"))

    def test_unusable_parts_are_left_out(self):
        """Guards against one bad route that blocks a configuration."""
        routes = [{**self.ROUTE, "max_attempts": "x"}, 5, self.ROUTE]
        configuration, problems = self.parse(routes=routes,
                                             services=[{}, {
                                                 "name": "svc",
                                                 "enforces_capacity": True
                                             }])
        self.assertEqual(len(configuration.queues), 1)
        self.assertEqual(configuration.capacity_enforcing_services, {"svc"})
        self.assertEqual(len(problems), 3)

    def test_unreadable_configuration(self):
        """Guards against a damaged record that replaces a good one."""
        for data in (b"", b"[]", b'{"version":"x"}', b"\xff"):
            with self.subTest(data), self.assertRaises(errors.ProtocolError):
                platform.parse_configuration(data)


class SettingsTest(unittest.TestCase):
    """The settings file."""

    def test_settings(self):
        """Guards against a bound that is read in the wrong unit."""
        settings = platform.parse_settings(SETTINGS)
        self.assertEqual(settings.domains, ("north-1", "north-2"))
        self.assertEqual(settings.max_lease.total_seconds(), 6)
        self.assertEqual(settings.stop_limit.total_seconds(), 0.9)

    def test_missing_setting_is_named(self):
        """Guards against a daemon that starts without what it needs."""
        for name in ("node_name", "zone", "front", "address", "port_range"):
            text = "\n".join(line for line in SETTINGS.splitlines()
                             if not line.startswith(name))
            with self.subTest(name):
                with self.assertRaisesRegex(errors.SettingsError, name):
                    platform.parse_settings(text)
        with self.assertRaises(errors.SettingsError):
            platform.parse_settings("= broken")


class FramingTest(unittest.TestCase):
    """Records in the store's framing."""

    def test_round_trip(self):
        """Guards against keys and values that run into each other."""
        records = [
            ports.KeyedRecord("j/a", b"\x00" * 300),
            ports.KeyedRecord("x", b""),
            ports.KeyedRecord("é", b"1")
        ]
        data = _store.encode_records(records)
        self.assertEqual(
            _store.decode_records(data, 5),
            [record._replace(offset=5 + i) for i, record in enumerate(records)])

    def test_cut_data_is_an_error(self):
        """Guards against a cut reply that passes as a shorter one."""
        data = _store.encode_records([ports.KeyedRecord("key", b"value")])
        for length in range(1, len(data)):
            with self.subTest(length), self.assertRaises(errors.ProtocolError):
                _store.decode_records(data[:length], 0)
