"""Tests of requests that must run at most once (guarantees 6 and 7)."""

import time

from gentianlead.daemon.tests import request_support as support

_KEY_HEADER = "Gentianlead-Idempotency-Key"
_REQUEST_ID_HEADER = "Gentianlead-Request-Id"
_DEADLINE_HEADER = "Gentianlead-Deadline-Ms"


class BrokenConnectionTest(support.RequestTestCase):
    """Sends non-idempotent requests without a key to failing targets."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.apply_patch({
            "op": "put_service",
            "name": "single",
            "targets": ["domain-1-w1"]
        })

    def call_with_fault(self, method: str, service: str, kind: str,
                        **fields: object) -> tuple[support.CallerResponse, int]:
        """Sends a one-time request to targets with a fault.

        Returns:
            The reply and the number of executions.
        """
        for _ in range(4):
            warm = self.call("entry-1", "warm", service=service)
            self.assertEqual(warm.status, 200, warm)
        for rack in self.deployment.racks.values():
            rack.control("fault", kind=kind, endpoint="*/target", **fields)
        caller_id = self.build_caller_id()
        response = self.call(
            "entry-1",
            caller_id,
            method, {
                **support.NOT_IDEMPOTENT_HEADERS, _DEADLINE_HEADER: "1000"
            },
            service=service)
        self.clear_faults()
        self.assertNotEqual(response.status, 200, response)
        self.assertEqual(response.verdict, support.MAY_HAVE_RUN, response)
        return response, len(self.list_executions(caller_id))

    def test_library_does_not_repeat(self) -> None:
        """Guards against an HTTP library that repeats a request.

        aiohttp by default repeats idempotent methods on a new connection when
        a reused connection fails before the response.
        """
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method=method):
                _, n_executions = self.call_with_fault(method,
                                                       "single",
                                                       "lose_reply",
                                                       count=1)
                self.assertEqual(n_executions, 1)

    def test_router_does_not_repeat(self) -> None:
        """Guards against a retry at another target after an unclear outcome."""
        for kind, max_executions, fields in (("lose_reply", 1, {}),
                                             ("cut_short", 1, {}), ("late", 1, {
                                                 "ms": 1500
                                             }), ("close", 0,
                                                  {}), ("freeze", 1,
                                                        {}), ("silent", 1, {})):
            with self.subTest(kind=kind):
                _, n_executions = self.call_with_fault("POST",
                                                       support.SERVICE_NAME,
                                                       kind, **fields)
                self.assertLessEqual(n_executions, max_executions)
        self.check_journals()


class OneTimeKeyTest(support.RequestTestCase):
    """Sends requests with an idempotency key while daemons or the log fail."""

    options = support.DEPLOYMENT_OPTIONS._replace(relayed=("entry-2",))

    def call_with_key(self,
                      name: str,
                      key: str,
                      deadline_ms: int = 10_000,
                      **fields: object) -> support.CallerResponse:
        """Sends a one-time request whose key is also its caller id."""
        return self.call(
            name, key, "POST", {
                _KEY_HEADER: key,
                _REQUEST_ID_HEADER: "same",
                _DEADLINE_HEADER: str(deadline_ms)
            }, **fields)

    def wait_until_key_is_free(self, name: str, key: str) -> None:
        """Waits until a refused request succeeds; checks that it ran once."""
        self.wait_for(f"free key {key}",
                      lambda: self.call_with_key(name, key).status == 200)
        self.assertEqual(len(self.list_executions(key)), 1)

    def test_key_runs_once_at_all_daemons(self) -> None:
        """Guards against daemons that each execute the same request."""
        for _ in range(5):
            key = self.build_caller_id()
            calls = [
                self.pool.submit(self.call_with_key, name, key, work_ms=100)
                for name in [*self.deployment.seats] * 3
            ]
            responses = [call.result() for call in calls]
            self.assertEqual(len(self.list_executions(key)), 1)
            self.assertEqual([response.status for response in responses
                             ].count(200), 1)
            for response in responses:
                if response.status != 200:
                    self.assertEqual(response.code, "ONE_TIME_ALREADY_BEGUN")
                    self.assertNotEqual(response.verdict, support.DID_NOT_RUN)

    def test_log_that_loses_replies(self) -> None:
        """Guards against a second execution after a lost append reply."""
        self.deployment.log.control("fault",
                                    kind="lose_reply",
                                    method="POST",
                                    path="once")
        keys = [self.build_caller_id() for _ in range(4)]
        calls = [
            self.pool.submit(self.call_with_key, name, key, 3000)
            for key in keys
            for name in self.deployment.seats
        ]
        refused_response = [
            response for response in [call.result() for call in calls]
            if response.status != 200
        ]
        self.assertTrue(all(response.verdict for response in refused_response),
                        refused_response)
        self.deployment.log.control("clear")
        for key in keys:
            self.assertLessEqual(len(self.list_executions(key)), 1)
        self.check_journals()

    def test_log_that_is_down(self) -> None:
        """Guards against an unrecorded execution and a key that stays taken."""
        key = self.build_caller_id()
        self.deployment.log.control("fault", kind="down")
        for name in self.deployment.seats:
            response = self.call_with_key(name, key, 500)
            self.assertEqual(response.code, "LOG_UNAVAILABLE", response)
            self.assertEqual(response.verdict, support.DID_NOT_RUN)
        self.assertEqual(self.list_executions(key), [])
        self.deployment.log.control("clear")
        self.wait_until_key_is_free("entry-2", key)
        self.check_journals()

    def test_refused_target_frees_key(self) -> None:
        """Guards against a key that stays taken after `did-not-run`."""
        key = self.build_caller_id()
        for worker in self.deployment.workers:
            self.deployment.control_worker(worker, "leaving", on=True)
        response = self.call_with_key("entry-1", key)
        for worker in self.deployment.workers:
            self.deployment.control_worker(worker, "leaving", on=False)
        self.assertEqual(response.verdict, support.DID_NOT_RUN, response)
        self.wait_until_key_is_free("entry-2", key)

    def test_refusal_with_log_down_is_in_time(self) -> None:
        """Guards against a refusal that waits for the log past the deadline."""
        key = self.build_caller_id()
        for rack in self.deployment.racks.values():
            rack.control("fault", kind="slow", ms=700, endpoint="*/target")
        for worker in self.deployment.workers:
            self.deployment.control_worker(worker, "leaving", on=True)
        log = self.deployment.log
        log.control("clear_journal")
        began_at = time.monotonic()
        call = self.pool.submit(self.call_with_key, "entry-1", key, 3000)
        # A target gets the request only after the daemon has read that its
        # claim of the key is accepted.
        self.wait_for(
            "request at a target",
            lambda: any(entry["kind"] == "request_delayed"
                        for rack in self.deployment.racks.values()
                        for entry in rack.read_journal()))
        self.assertIn("once",
                      [entry.get("stream") for entry in log.read_journal()])
        log.control("fault", kind="down")
        response = call.result()
        elapsed = time.monotonic() - began_at
        for worker in self.deployment.workers:
            self.deployment.control_worker(worker, "leaving", on=False)
        self.clear_faults()
        self.assertEqual(response.verdict, support.DID_NOT_RUN, response)
        self.assertNotEqual(response.code, "LOG_UNAVAILABLE")
        # Without a limit the refusal would wait until the log is up again, for
        # up to a minute.
        self.assertLess(elapsed, 20)
        self.wait_until_key_is_free("entry-2", key)

    def test_release_frees_own_request_only(self) -> None:
        """Guards against a refused copy that frees the key of a running copy.

        Both copies of the request have the same key and request id.
        """
        key = self.build_caller_id()
        self.deployment.set_links(["entry-2"], "log", mode="drop")
        running = self.pool.submit(self.call_with_key,
                                   "entry-1",
                                   key,
                                   work_ms=3000)
        self.wait_for_execution(key)
        refused_response = self.call_with_key("entry-2", key, 300)
        self.assertEqual(refused_response.code, "LOG_UNAVAILABLE",
                         refused_response)
        self.deployment.set_links(["entry-2"], "log", mode="pass")
        self.assertEqual(running.result().status, 200)
        probe_key = self.build_caller_id()
        self.wait_until_key_is_free("entry-2", probe_key)
        for name in self.deployment.seats:
            self.assertEqual(
                self.call_with_key(name, key).code, "ONE_TIME_ALREADY_BEGUN")
        self.assertEqual(len(self.list_executions(key)), 1)

    def test_killed_daemon(self) -> None:
        """Guards against a second execution after a daemon is killed."""
        key = self.build_caller_id()
        call = self.pool.submit(self.call_with_key,
                                "entry-1",
                                key,
                                work_ms=1000)
        self.wait_for_execution(key)
        self.deployment.kill_daemon("entry-1")
        self.assertEqual(call.result().status, 0)
        response = self.call_with_key("entry-2", key)
        self.deployment.start_daemon("entry-1")
        self.deployment.wait_ready(support.READY_TIMEOUT_SECONDS, ["entry-1"])
        self.assertEqual(response.code, "ONE_TIME_ALREADY_BEGUN", response)
        second_response = self.call_with_key("entry-1", key)
        self.assertEqual(second_response.code, "ONE_TIME_ALREADY_BEGUN",
                         second_response)
        self.assertEqual(len(self.list_executions(key)), 1)
        self.check_journals()
