"""Tests of requests and jobs through a deployment of processes."""

import json
import time
import unittest
from typing import Any

from gentianlead import model
from standins import checks
from standins import deployment

_SHAPE = deployment.Shape("small", "region-1", ("domain-1", "domain-2"), 2, 2,
                          model.Resources(8000, 8000, 0), 0.5)
_OPTIONS = deployment.Options(daemon_arguments=("--drain-wait", "100ms"))
READY_TIMEOUT_SECONDS = 30.0
WAIT_TIMEOUT_SECONDS = 30.0


class WholePathTest(unittest.TestCase):
    """Sends requests, jobs, watchers and patches to running daemons."""

    deployment: deployment.Deployment

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = cls.enterClassContext(
            deployment.Deployment(_SHAPE, _OPTIONS))
        cls.deployment.wait_ready(READY_TIMEOUT_SECONDS)
        cls.apply_patch({
            "op": "put_service",
            "name": "previews"
        },
                        *({
                            "op": "put_domain",
                            "name": name,
                            "region": "region-1"
                        } for name in _SHAPE.domains))

    @classmethod
    def apply_patch(cls, *operations: dict[str, Any]) -> int:
        """Submits a patch on the current version and returns the new one."""
        _, config = cls.deployment.call("entry-1", "GET", "/v1/config")
        status, reply = cls.deployment.call(
            "entry-1", "POST", "/v1/config/patches", {
                "patch_id": f"patch-{config['version']}",
                "base_version": config["version"],
                "operations": list(operations),
            })
        assert status == 200, reply
        return reply["version"]

    def wait_for(self, description: str, condition: Any) -> Any:
        """Waits until a condition returns a true value, and returns it."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            result = condition()
            if result:
                return result
            time.sleep(0.1)
        self.fail(
            f"{description} did not happen within {WAIT_TIMEOUT_SECONDS} s")

    def call_caller_port(self,
                         name: str,
                         method: str,
                         path: str,
                         value: object = None) -> tuple[int, Any]:
        """Calls the caller port of a daemon."""
        port = self.deployment.seats[name].caller_port
        return deployment.call_json(method, port, path, value)

    def get_job(self, name: str, job_id: str) -> dict[str, Any]:
        """Returns the description of a job by a daemon."""
        return self.call_caller_port(name, "GET", f"/v1/jobs/{job_id}")[1]

    def submit_job(self, name: str, job_id: str, payload: dict[str, Any],
                   **fields: Any) -> None:
        """Submits a job to a daemon and checks that it is accepted."""
        status, reply = self.call_caller_port(name, "POST", "/v1/jobs", {
            "job_id": job_id,
            "payload": json.dumps(payload),
            **fields
        })
        self.assertEqual(status, 202, reply)

    def check_journals(self, *domains_out: checks.Absence) -> None:
        """Checks the stand-ins' journals for violated guarantees."""
        violations = checks.check_all(
            self.deployment.read_journals(),
            checks.Expectations(domains_out=domains_out))
        self.assertEqual([str(violation) for violation in violations], [])

    def test_lookup_is_answered(self) -> None:
        """Guards against a request that reaches no target of its domain."""
        for name, seat in self.deployment.seats.items():
            self.wait_for("service",
                          lambda name=name: self.call_caller_port(
                              name, "GET", "/s/previews/a")[0] == 200)
            status, reply = self.call_caller_port(
                name, "GET", "/s/previews/photo%2F1?size=2")
            self.assertEqual(status, 200)
            self.assertEqual(reply["path"], "/photo%2F1?size=2")
            self.assertEqual(reply["domain"], seat.domain)
        self.check_journals()

    def test_unknown_service_is_refused(self) -> None:
        """Guards against an error response without a code or a verdict."""
        status, reply = self.call_caller_port("entry-1", "GET", "/s/nothing/a")
        self.assertEqual(status, 404)
        self.assertEqual(reply["error"]["code"], "UNKNOWN_SERVICE")
        self.assertEqual(reply["error"]["verdict"], "did-not-run")

    def test_batch_job_finishes_once(self) -> None:
        """Guards against tasks that are lost or finish twice."""
        self.submit_job("entry-1", "batch-1", {"run_ms": 100}, tasks=6)
        self.submit_job("entry-3", "batch-1", {"run_ms": 100}, tasks=6)
        for name in self.deployment.seats:
            self.wait_for("end of the job",
                          lambda name=name: self.get_job(name, "batch-1").get(
                              "state") == "done")
        finished = [
            entry["task"]
            for entry in self.deployment.read_journals()
            if entry["kind"] == "task_finished" and entry["job"] == "batch-1"
        ]
        self.assertEqual(sorted(finished), list(range(6)))
        self.check_journals()

    def test_watcher_moves_with_its_domain(self) -> None:
        """Guards against a watcher that is lost with its domain."""
        self.submit_job("entry-1",
                        "watcher-1", {"run_ms": None},
                        kind="watcher")
        job = self.wait_for("start of the watcher",
                            lambda: self.get_job_running_outside("watcher-1"))
        domain = job["domain"]
        self.apply_patch({"op": "domain_out", "name": domain})
        removed_at_s = time.monotonic()
        moved_job = self.wait_for(
            "move of the watcher",
            lambda: self.get_job_running_outside("watcher-1", domain))
        self.assertEqual(moved_job["epoch"], 2)
        absence = checks.Absence(domain, removed_at_s, time.monotonic())
        self.apply_patch({"op": "domain_in", "name": domain})
        self.check_journals(absence)

    def get_job_running_outside(
            self,
            job_id: str,
            excluded_domain: str = "") -> dict[str, Any] | None:
        """Returns a job if it is running outside the excluded domain."""
        job = self.get_job("entry-1", job_id)
        is_running = job["state"] == "running" and job[
            "domain"] != excluded_domain
        return job if is_running else None

    def test_racing_patches_have_one_winner(self) -> None:
        """Guards against a patch that is applied to another base version."""
        _, config = self.deployment.call("entry-1", "GET", "/v1/config")
        replies = [
            self.deployment.call(
                name, "POST", "/v1/config/patches", {
                    "patch_id":
                        f"race-{name}",
                    "base_version":
                        config["version"],
                    "operations": [{
                        "op": "put_team",
                        "name": f"team-{name}",
                        "quota": {}
                    }],
                }) for name in self.deployment.seats
        ]
        self.assertEqual(sorted(status for status, _ in replies),
                         [200, 409, 409, 409])
        rejected_replies = [reply for status, reply in replies if status == 409]
        for reply in rejected_replies:
            self.assertEqual(reply["error"]["code"], "PATCH_VERSION_CONFLICT")
            self.assertEqual(reply["current_version"], config["version"] + 1)
