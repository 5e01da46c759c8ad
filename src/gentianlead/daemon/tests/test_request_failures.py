"""Tests of responses and limits while targets fail (guarantees 5 and 6)."""

import time

from gentianlead.daemon.tests import request_support as support

_LARGE_BYTES = 3 * 1024 * 1024
_OVERLOAD_CODES = {"OVERLOADED", "DEADLINE_EXCEEDED"}


class AnswerTest(support.RequestTestCase):
    """Checks that a response is complete and belongs to its request."""

    def inject_target_fault(self,
                            kind: str,
                            pattern: str = "*/target",
                            **fields: object) -> None:
        """Injects a fault into the targets that match a pattern."""
        for rack in self.deployment.racks.values():
            rack.control("fault", kind=kind, endpoint=pattern, **fields)

    def test_answers_out_of_order(self) -> None:
        """Guards against a response that reaches another caller."""
        for round_number in range(3):
            caller_ids = [self.build_caller_id() for _ in range(24)]
            calls = [
                self.start_call(f"entry-{1 + number % 2}",
                                caller_id,
                                work_ms=(number * 37 + round_number) % 120,
                                body_bytes=number * 9973)
                for number, caller_id in enumerate(caller_ids)
            ]
            for caller_id, call in zip(caller_ids, calls):
                self.assertTrue(
                    call.result().is_complete_response_to(caller_id),
                    call.result())
        self.check_journals()

    def test_faulty_target(self) -> None:
        """Guards against a truncated response that is returned as complete."""
        for kind, fields in (("cut_short", {}), ("lose_reply", {}),
                             ("close", {}), ("wrong_id", {}), ("late", {
                                 "ms": 2500
                             }), ("silent", {}), ("lose_reply", {
                                 "mode": "silent"
                             }), ("freeze", {})):
            for pattern in ("domain-1-w1/target", "*/target"):
                with self.subTest(kind=kind, pattern=pattern, **fields):
                    for _ in range(4):
                        self.call("entry-1", "warm")
                    self.inject_target_fault(kind, pattern, **fields)
                    caller_ids = [self.build_caller_id() for _ in range(8)]
                    calls = [
                        self.start_call(
                            "entry-1",
                            caller_id,
                            headers={"Gentianlead-Deadline-Ms": "1500"})
                        for caller_id in caller_ids
                    ]
                    responses = [call.result() for call in calls]
                    self.clear_faults()
                    for caller_id, response in zip(caller_ids, responses):
                        self.check_response(caller_id, response)
                    if pattern == "*/target" and kind != "silent":
                        self.assertNotIn(200, [r.status for r in responses])

    def check_response(self, caller_id: str,
                       response: support.CallerResponse) -> None:
        """Checks that a response is complete or has a true verdict."""
        if response.status == 200:
            self.assertTrue(response.is_complete_response_to(caller_id),
                            response)
            return
        self.assertTrue(response.code and response.verdict, response)
        if response.verdict == support.DID_NOT_RUN:
            self.assertEqual(self.list_executions(caller_id), [])

    def test_late_answer_is_dropped(self) -> None:
        """Guards against a late response that a later request receives."""
        self.inject_target_fault("late", ms=700)
        late_response = self.call("entry-1",
                                  self.build_caller_id(),
                                  "POST",
                                  headers={"Gentianlead-Deadline-Ms": "300"})
        self.assertEqual(late_response.verdict, support.MAY_HAVE_RUN,
                         late_response)
        self.clear_faults()
        for _ in range(20):
            caller_id = self.build_caller_id()
            response = self.call("entry-1", caller_id, work_ms=50)
            self.assertTrue(response.is_complete_response_to(caller_id),
                            response)

    def test_refusal_of_another_request(self) -> None:
        """Guards against a refusal as not run that is for another request.

        The target reports "not run" with the id of another request, which
        does not tell whether this request ran.
        """
        for worker in self.deployment.workers:
            self.deployment.control_worker(worker, "leaving", on=True)
        self.inject_target_fault("wrong_id")
        response = self.call("entry-1", self.build_caller_id(), "POST")
        for worker in self.deployment.workers:
            self.deployment.control_worker(worker, "leaving", on=False)
        self.assertEqual(response.verdict, support.MAY_HAVE_RUN, response)

    def test_refusals_under_changing_faults(self) -> None:
        """Guards against the verdict `did-not-run` on a request that ran."""
        headers = {"Gentianlead-Deadline-Ms": "1200"}
        with support.RequestLoad(self, 16, 20, headers,
                                 one_time_interval=3) as load:
            for kind, fields in (("late", {
                    "ms": 1000
            }), ("cut_short", {}), ("lose_reply", {}), ("close", {}),
                                 ("freeze", {}), ("down", {})):
                self.inject_target_fault(kind, **fields)
                time.sleep(0.8)
                self.clear_faults()
                n_complete_responses = load.n_complete_responses
                self.wait_for("answers",
                              lambda n=n_complete_responses: load.
                              n_complete_responses > n + 20)
        self.assertTrue(load.list_refused_ids())
        for caller_id, response in load.get_failed_responses().items():
            self.assertTrue(response.verdict, (caller_id, response))
        self.check_journals(load.list_refused_ids())


class BlackHoleTest(support.RequestTestCase):
    """Drops the data of existing connections while new ones work."""

    options = support.DEPLOYMENT_OPTIONS._replace(relayed=("entry-1",))

    def test_connections_are_replaced(self) -> None:
        """Guards against requests that keep waiting on dead connections."""
        for _ in range(8):
            self.assertEqual(self.call("entry-1", "warm").status, 200)
        self.deployment.set_links(["entry-1"],
                                  "*/target",
                                  mode="drop",
                                  scope="existing")
        caller_ids = [self.build_caller_id() for _ in range(12)]
        for caller_id in caller_ids:
            response = self.call("entry-1",
                                 caller_id,
                                 headers={"Gentianlead-Deadline-Ms": "1500"})
            if response.status == 200:
                self.assertTrue(response.is_complete_response_to(caller_id))
            else:
                self.assertEqual(response.verdict, support.MAY_HAVE_RUN,
                                 response)
        caller_id = self.build_caller_id()
        self.wait_for(
            "answer", lambda: self.call("entry-1", caller_id).
            is_complete_response_to(caller_id))


class OverloadTest(support.RequestTestCase):
    """Sends more requests than the slots of a domain can serve."""

    def test_overload(self) -> None:
        """Guards against exceeded slots, silent refusals and lost goodput."""
        headers = {"Gentianlead-Deadline-Ms": "600"}
        with support.RequestLoad(self, 150, 100, headers) as load:
            self.wait_for("refusals",
                          lambda: len(load.list_refused_ids()) > 100)
            n_complete_responses = load.n_complete_responses
            self.wait_for(
                "goodput",
                lambda: load.n_complete_responses > n_complete_responses + 200)
        self.assertGreater(load.n_complete_responses, 0)
        for caller_id, response in load.get_failed_responses().items():
            self.assertTrue(response.code and response.verdict,
                            (caller_id, response))
        self.assertTrue(_OVERLOAD_CODES & {
            response.code for response in load.get_failed_responses().values()
        })
        overload_ended_at_s = time.monotonic()
        with support.RequestLoad(self, 4, 20) as load_after_overload:
            self.wait_for(
                "answers",
                lambda: load_after_overload.n_complete_responses > 100)
            failed_responses = load_after_overload.get_failed_responses()
        self.assertLess(time.monotonic() - overload_ended_at_s, 10)
        self.assertEqual(failed_responses, {})
        self.check_journals(load.list_refused_ids())


class SlowTargetTest(support.RequestTestCase):
    """Sends requests whose deadlines pass before the targets have finished."""

    def test_work_outlasts_deadlines(self) -> None:
        """Guards against slots that are reused while targets still use them."""
        headers = {"Gentianlead-Deadline-Ms": "300"}
        with support.RequestLoad(self, 40, 600, headers) as load:
            self.wait_for(
                "timeouts",
                lambda: sum(response.code == "TARGET_TIMEOUT"
                            for response in load.get_failed_responses().values(
                            )) > 48)
        self.check_journals(load.list_refused_ids())


class SpillTest(support.RequestTestCase):
    """Forwards the requests of a domain without targets to another domain."""

    shape = support.build_deployment_shape(2, 1, 1)
    options = support.DEPLOYMENT_OPTIONS._replace(relayed=("entry-1",))

    def setUp(self) -> None:
        super().setUp()
        self.apply_patch({"op": "target_leaving", "name": "domain-1-w1"})
        self.addCleanup(self.apply_patch, {
            "op": "target_returned",
            "name": "domain-1-w1"
        })

        def is_forwarded() -> bool:
            response = self.call("entry-1", "warm")
            return response.status == 200 and b"domain-2" in response.body

        self.wait_for("forwarding", is_forwarded)

    def test_forwarded_answers_are_whole(self) -> None:
        """Guards against mixed-up or truncated responses on a connection."""
        caller_ids = [self.build_caller_id() for _ in range(12)]
        calls = [
            self.start_call("entry-1",
                            caller_id,
                            work_ms=number * 10,
                            body_bytes=number * _LARGE_BYTES // 8)
            for number, caller_id in enumerate(caller_ids)
        ]
        for caller_id, call in zip(caller_ids, calls):
            self.assertTrue(call.result().is_complete_response_to(caller_id),
                            call.result()[:2])
        self.check_journals()

    def test_stream_cut_in_answer(self) -> None:
        """Guards against a truncated forwarded response and a second execution.

        The connection between the daemons fails while the response is sent.
        """
        for mode in ("reset", "drop"):
            with self.subTest(mode=mode):
                caller_id = self.build_caller_id()
                self.deployment.set_links(["entry-1"], "peer/*", delay_ms=300)
                call = self.start_call(
                    "entry-1",
                    caller_id,
                    "POST",
                    headers={"Gentianlead-Deadline-Ms": "4000"},
                    body_bytes=_LARGE_BYTES)
                self.wait_for_execution(caller_id)
                self.deployment.set_links(["entry-1"], "peer/*", mode=mode)
                response = call.result()
                self.deployment.set_links(["entry-1"], "peer/*", mode="pass")
                self.assertEqual(response.verdict, support.MAY_HAVE_RUN,
                                 response[:2])
                self.assertEqual(len(self.list_executions(caller_id)), 1)
                self.wait_for(
                    "forwarding",
                    lambda: self.call("entry-1", "warm").status == 200)

    def test_one_hop(self) -> None:
        """Guards against requests that are forwarded more than once."""
        self.apply_patch({"op": "target_leaving", "name": "domain-2-w1"})
        self.addCleanup(self.apply_patch, {
            "op": "target_returned",
            "name": "domain-2-w1"
        })
        caller_id = self.build_caller_id()
        self.wait_for("refusal",
                      lambda: self.call("entry-1", "warm").code == "NO_TARGET")
        response = self.call("entry-1", caller_id)
        self.assertEqual(response.code, "NO_TARGET", response)
        self.assertEqual(response.verdict, support.DID_NOT_RUN)
        self.assertEqual(self.list_executions(caller_id), [])
