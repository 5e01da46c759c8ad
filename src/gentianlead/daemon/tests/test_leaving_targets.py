"""Tests that leaving targets get no new requests (guarantee 8)."""

import time

from gentianlead.daemon.tests import request_support as support
from standins import checks

_LEAVING_WORKER = "domain-1-w1"
# Time until the guarantee holds, plus time in which violations would occur.
_OBSERVATION_SECONDS = checks.DEFAULT_LEAVING_SECONDS + 2


class LeavingTargetTest(support.RequestTestCase):
    """Marks a target as leaving while all daemons send requests."""

    options = support.DEPLOYMENT_OPTIONS._replace(relayed=("entry-2",))

    def tearDown(self) -> None:
        self.clear_faults()
        self.deployment.set_leaving(_LEAVING_WORKER, False)

    def count_worker_executions(self) -> int:
        """Returns the number of requests that the leaving worker executed."""
        return sum(
            entry["kind"] == "request" and entry["worker"] == _LEAVING_WORKER
            for entry in self.deployment.read_journals())

    def check_worker_gets_no_load(self, load: support.RequestLoad,
                                  marked_at_s: float) -> None:
        """Checks that the load goes on and that the worker gets none of it."""
        time.sleep(_OBSERVATION_SECONDS)
        n_complete_responses = load.n_complete_responses
        self.wait_for(
            "answers",
            lambda: load.n_complete_responses > n_complete_responses + 20)
        self.check_journals(load.list_refused_ids(),
                            [checks.Absence(_LEAVING_WORKER, marked_at_s)])

    def test_mark_in_vm_list(self) -> None:
        """Guards against new requests after the VM list marks the target."""
        with support.RequestLoad(self, 8, 20) as load:
            self.wait_for("work", self.count_worker_executions)
            marked_at_s = time.monotonic()
            self.deployment.vm_list.control("update",
                                            name=_LEAVING_WORKER,
                                            set={"state": "leaving"})
            self.check_worker_gets_no_load(load, marked_at_s)
        self.assertEqual(load.get_failed_responses(), {})

    def test_mark_by_patch(self) -> None:
        """Guards against new requests after a patch marks the target."""
        with support.RequestLoad(self, 8, 20) as load:
            self.wait_for("work", self.count_worker_executions)
            self.apply_patch({"op": "target_leaving", "name": _LEAVING_WORKER})
            self.addCleanup(self.apply_patch, {
                "op": "target_returned",
                "name": _LEAVING_WORKER
            })
            self.check_worker_gets_no_load(load, time.monotonic())
        self.assertEqual(load.get_failed_responses(), {})

    def test_mark_while_cut_off(self) -> None:
        """Guards against new requests from a daemon that cannot read the mark.

        A daemon that cannot reach the log and the VM list must query its peers
        for leaving targets.
        """
        self.wait_for("work", self.does_entry_2_use_worker)
        for link in ("log", "vmlist"):
            self.deployment.set_links(["entry-2"], link, mode="drop")
        for mark_leaving in (lambda: self.deployment.vm_list.control(
                "update", name=_LEAVING_WORKER, set={"state": "leaving"}),
                             lambda: self.apply_patch({
                                 "op": "target_leaving",
                                 "name": _LEAVING_WORKER
                             })):
            self.deployment.vm_list.control("update",
                                            name=_LEAVING_WORKER,
                                            set={"state": "live"})
            self.wait_for("work", self.does_entry_2_use_worker)
            with support.RequestLoad(self, 8, 20) as load:
                mark_leaving()
                self.check_worker_gets_no_load(load, time.monotonic())
            self.assertEqual(load.get_failed_responses(), {})
        self.apply_patch({"op": "target_returned", "name": _LEAVING_WORKER})

    def does_entry_2_use_worker(self) -> bool:
        """Returns whether entry-2 sends requests to the worker."""
        calls = [
            self.start_call("entry-2", "warm", work_ms=200) for _ in range(6)
        ]
        responses = [call.result() for call in calls]
        return any(
            response.status == 200 and _LEAVING_WORKER.encode() in response.body
            for response in responses)
