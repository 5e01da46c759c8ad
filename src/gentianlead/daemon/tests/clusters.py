"""Base class of tests that inject failures into a deployment of processes.

After each test all faults are cleared, and the journals that the stand-ins have
written are checked for violated guarantees.
"""

import http.client
import json
import time
from typing import Any, Callable, Iterator, Sequence
import unittest

import msgpack

from gentianlead import model
from standins import checks
from standins import deployment

READY_TIMEOUT_SECONDS = 40.0
WAIT_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
WORKER_CAPACITY = model.Resources(8000, 8000, 0)
HALF_WORKER_RESOURCES = {"cpu_millis": 4000, "memory_mib": 1000}
LEASE_SECONDS = 3.0
MEMBER_TIMEOUT_SECONDS = 1.5
SHORT_TIMING_ARGUMENTS = ("--drain-wait", "100ms", "--lease-length", "3s",
                          "--lease-renew-interval", "200ms",
                          "--heartbeat-interval", "300ms", "--member-timeout",
                          "1500ms", "--log-read-wait", "100ms",
                          "--append-timeout", "500ms")


def build_deployment_shape(domains: int, daemons: int,
                           workers: int) -> deployment.Shape:
    """Returns the sizes of a deployment with `domain-1`, `domain-2` and so on.

    Args:
        domains: Number of failure domains.
        daemons: Number of daemons in each domain.
        workers: Number of workers in each domain.
    """
    domain_names = tuple(f"domain-{number + 1}" for number in range(domains))
    return deployment.Shape("small", "region-1", domain_names, daemons, workers,
                            WORKER_CAPACITY, 0.5)


class ClusterTest(unittest.TestCase):
    """Starts one deployment that all tests of a class use.

    Attributes:
        shape: Numbers of domains, daemons and workers of the deployment.
        options: Command-line arguments and relays of its processes.
        cluster: The running deployment.
        domain_absences: Periods in which domains were out of service.
    """

    shape = build_deployment_shape(1, 2, 2)
    options = deployment.Options(daemon_arguments=SHORT_TIMING_ARGUMENTS)
    cluster: deployment.Deployment
    domain_absences: list[checks.Absence]

    @classmethod
    def setUpClass(cls) -> None:
        if cls is ClusterTest:
            raise unittest.SkipTest("a base class without tests")
        cls.domain_absences = []
        cls.cluster = cls.enterClassContext(
            deployment.Deployment(cls.shape, cls.options))
        cls.cluster.wait_ready(READY_TIMEOUT_SECONDS)

    def setUp(self) -> None:
        if self.get_configuration_version() == 0:
            self.apply_patch(*({
                "op": "put_domain",
                "name": name,
                "region": "region-1"
            } for name in self.shape.domains))

    def tearDown(self) -> None:
        self.clear_faults()
        violations = checks.check_all(
            self.cluster.read_journals(),
            checks.Expectations(domains_out=self.domain_absences))
        self.assertEqual([str(violation) for violation in violations], [])

    def clear_faults(self) -> None:
        """Clears all faults and starts the daemons that were killed."""
        cluster = self.cluster
        for stand_in in (cluster.log, cluster.vm_list, *cluster.racks.values()):
            stand_in.control("clear")
        cluster.log.control("append_latency", ms=0)
        if cluster.relays:
            cluster.set_links(list(cluster.relays), "*", mode="pass")
        for name, process in cluster.daemons.items():
            cluster.resume_daemon(name)
            if not process.is_running:
                cluster.start_daemon(name)
        cluster.wait_ready(READY_TIMEOUT_SECONDS)

    def wait_for(self,
                 description: str,
                 condition: Callable[[], Any],
                 seconds: float = WAIT_TIMEOUT_SECONDS) -> Any:
        """Waits until a condition returns a true value, and returns it."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            result = condition()
            if result:
                return result
            time.sleep(POLL_INTERVAL_SECONDS)
        return self.fail(f"{description}: not within {seconds} s")

    def list_running_daemons(self, domain: str = "") -> list[str]:
        """Returns the names of the running daemons of one domain or of all."""
        return [
            name for name, process in self.cluster.daemons.items()
            if process.is_running and domain in (
                "", self.cluster.seats[name].domain)
        ]

    def get_configuration_version(self, daemon: str = "") -> int:
        """Returns the configuration version that a daemon uses."""
        chosen_daemon = daemon or self.list_running_daemons()[-1]
        return self.cluster.call(chosen_daemon, "GET",
                                 "/v1/config")[1]["version"]

    def apply_patch(self,
                    *operations: dict[str, Any],
                    via_daemon: str = "") -> float:
        """Submits a patch on the current version until it is accepted.

        Returns:
            Monotonic time in seconds just after the patch was accepted.
        """
        chosen_daemon = via_daemon or self.list_running_daemons()[-1]

        def submit_patch() -> bool:
            version = self.get_configuration_version(chosen_daemon)
            status, _ = self.cluster.call(
                chosen_daemon, "POST", "/v1/config/patches", {
                    "patch_id": f"{chosen_daemon}-{version}-{time.monotonic()}",
                    "base_version": version,
                    "operations": list(operations),
                })
            return status == 200

        self.wait_for("acceptance of a patch", submit_patch)
        return time.monotonic()

    def take_domain_out(self, domain: str, via_daemon: str = "") -> None:
        """Takes a domain out of service until the end of the test."""
        accepted_at_s = self.apply_patch({
            "op": "domain_out",
            "name": domain
        },
                                         via_daemon=via_daemon)
        self.restore_domain_after_test(domain, accepted_at_s)

    def restore_domain_after_test(self, domain: str,
                                  removed_at_s: float) -> None:
        """Registers a cleanup that puts a removed domain back in service."""
        index = len(self.domain_absences)
        self.domain_absences.append(checks.Absence(domain, removed_at_s))

        def restore_domain() -> None:
            self.domain_absences[index] = checks.Absence(
                domain, removed_at_s, time.monotonic())
            self.apply_patch({"op": "domain_in", "name": domain})

        self.addCleanup(restore_domain)

    def submit_job(self,
                   job_id: str,
                   via_daemon: str = "",
                   **fields: Any) -> str:
        """Submits a job and returns its domain.

        By default each task needs half a worker and runs for 300 ms.
        """
        payload = {"run_ms": fields.pop("run_ms", 300)}
        status, reply = self.cluster.call(
            via_daemon or self.list_running_daemons()[-1], "POST", "/v1/jobs", {
                "job_id": job_id,
                "resources": HALF_WORKER_RESOURCES,
                "payload": json.dumps(payload),
                **fields
            })
        self.assertEqual(status, 202, reply)
        return reply["domain"]

    def get_job(self, job_id: str) -> dict[str, Any]:
        """Returns the description of a job by a running daemon."""
        return self.cluster.call(self.list_running_daemons()[-1], "GET",
                                 f"/v1/jobs/{job_id}")[1]

    def wait_for_job_completion(self, job_id: str, tasks: int) -> None:
        """Waits until a job is done and checks that each task finished once."""
        self.wait_for(f"end of {job_id}",
                      lambda: self.get_job(job_id).get("state") == "done")
        finished = [
            entry["task"]
            for entry in self.list_journal_entries(job_id)
            if entry["kind"] == "task_finished"
        ]
        self.assertEqual(sorted(finished), list(range(tasks)))

    def list_journal_entries(self, job_id: str, *kinds:
                             str) -> list[dict[str, Any]]:
        """Returns the journal entries of a job, of given kinds or of all."""
        return [
            entry for entry in self.cluster.read_journals()
            if entry.get("job") == job_id and
            (not kinds or entry["kind"] in kinds)
        ]

    def wait_for_journal_entries(self,
                                 job_id: str,
                                 *kinds: str,
                                 count: int = 1) -> list[dict[str, Any]]:
        """Waits for a number of journal entries of a job and returns them."""

        def find_enough_entries() -> list[dict[str, Any]]:
            entries = self.list_journal_entries(job_id, *kinds)
            return entries if len(entries) >= count else []

        return self.wait_for(f"{kinds} of {job_id}", find_enough_entries)

    def check_resumed_from_newest_checkpoint(self, job_id: str) -> None:
        """Checks that each run resumed from its task's newest checkpoint."""
        newest_checkpoints: dict[int, str] = {}
        for entry in self.list_journal_entries(job_id):
            if entry["kind"] == "task_checkpointed":
                newest_checkpoints[entry["task"]] = entry["checkpoint"]
            elif entry["kind"] == "task_started":
                self.assertEqual(entry["resumed_from"],
                                 newest_checkpoints.get(entry["task"], ""),
                                 entry)

    def wait_for_preferred_scheduler(self, domain: str) -> str:
        """Waits until a domain has exactly one preferred scheduler.

        Returns:
            Name of its daemon.
        """

        def find_single_preferred() -> str:
            preferred_daemons = [
                name for name in self.list_running_daemons(domain)
                if self.cluster.call(name, "GET", "/v1/status")[1].get(
                    "is_preferred")
            ]
            return preferred_daemons[0] if len(preferred_daemons) == 1 else ""

        return self.wait_for("a preferred scheduler", find_single_preferred)

    def call_log_service(self,
                         method: str,
                         stream: str,
                         query: str = "",
                         body: bytes | None = None) -> Any:
        """Calls the log service directly, without a daemon."""
        connection = http.client.HTTPConnection("127.0.0.1",
                                                self.cluster.log.ports["log"],
                                                timeout=10)
        try:
            connection.request(method, f"/streams/{stream}/records{query}",
                               body)
            return msgpack.unpackb(connection.getresponse().read())
        finally:
            connection.close()

    def read_log_records(self, stream: str) -> Iterator[model.Envelope]:
        """Returns the retained records of a stream, oldest first."""
        reply = self.call_log_service("GET", stream, "?from=0&limit=100000")
        if "records" not in reply:
            reply = self.call_log_service(
                "GET", stream, f"?from={reply['earliest']}&limit=100000")
        for _, data in reply["records"]:
            yield model.decode_record(data)

    def append_stale_records(self, stream: str,
                             records: Sequence[model.Record]) -> None:
        """Appends records as a daemon with stale state could do."""
        writer = f"stale-{time.monotonic()}"
        body = msgpack.packb([
            model.encode_record(writer, number, record)
            for number, record in enumerate(records, 1)
        ])
        self.call_log_service("POST", stream, body=body)

    def list_claim_records(self, domain: str,
                           job_id: str) -> list[model.TaskClaimed]:
        """Returns the claim records of a job in the stream of a domain."""
        stream = model.get_domain_stream(domain)
        return [
            envelope.record
            for envelope in self.read_log_records(stream)
            if isinstance(envelope.record, model.TaskClaimed) and
            envelope.record.job_id == job_id
        ]
