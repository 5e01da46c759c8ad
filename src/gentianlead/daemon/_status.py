"""Status of a daemon, its services and jobs, for operators and peers."""

from typing import Any, Callable

from gentianlead import control
from gentianlead import errors
from gentianlead import gateway
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state
from gentianlead import streams
from gentianlead.daemon import _documents
from gentianlead.daemon import _jobs

JOB_DESCRIPTION_SUBJECT = "job"
JOB_EXPLANATION_SUBJECT = "explain-job"


class StatusService:
    """Describes the daemon, its domain, and jobs of all domains.

    Args:
        name: Name of the daemon.
        domain_name: Failure domain of the daemon.
        stream_clients: Clients of all streams that the daemon reads.
        controller: Control loop of the domain.
        scheduler: Explains why the tasks of a job wait.
        job_service: Returns jobs and their progress.
        request_gateway: Counts open requests and the slots in use at targets.
        peer_directory: Finds peers that know the jobs of other domains.
        vm_inventory: VMs as last read from the platform.
        clock: Source of time.
        find_unready_reason: Returns why the daemon is not ready.
    """

    def __init__(self, name: str, domain_name: str,
                 stream_clients: list[streams.StreamClient],
                 controller: control.DomainController,
                 scheduler: scheduling.DomainScheduler,
                 job_service: _jobs.CallerJobService,
                 request_gateway: gateway.RequestGateway,
                 peer_directory: gateway.PeerDirectory,
                 vm_inventory: control.VMInventory, clock: ports.Clock,
                 find_unready_reason: Callable[[], str]):
        self._name = name
        self._domain_name = domain_name
        self._stream_clients = stream_clients
        self._controller = controller
        self._scheduler = scheduler
        self._job_service = job_service
        self._request_gateway = request_gateway
        self._peer_directory = peer_directory
        self._vm_inventory = vm_inventory
        self._clock = clock
        self._find_unready_reason = find_unready_reason

    def describe_status(self) -> _documents.Document:
        """Returns the body of `GET /v1/status`."""
        reason = self._find_unready_reason()
        state_machine = self._get_domain_state_machine()
        membership_tracker = self._controller.membership_tracker
        return {
            "name": self._name,
            "domain": self._domain_name,
            "ready": not reason,
            "ready_reason": reason,
            "is_preferred": self._controller.is_preferred,
            "config_version": self._controller.configuration.version,
            "streams": [
                _describe_stream(client) for client in self._stream_clients
            ],
            "members": [{
                "name": member.member,
                "seat": member.seat,
                "live": membership_tracker.is_live(member.member),
            } for member in state_machine.members.values()],
            "workers": [{
                "name": worker.name,
                "rack": worker.rack,
                "capacity": worker.capacity._asdict(),
                "free": worker.free._asdict(),
                "runs": len(worker.runs),
            } for worker in state_machine.workers.values()],
            "open_requests": self._request_gateway.open_requests,
        }

    def _get_domain_state_machine(self) -> state.DomainStateMachine:
        for client in self._stream_clients:
            if isinstance(client.replica.state_machine,
                          state.DomainStateMachine):
                return client.replica.state_machine
        raise errors.RequestError(errors.ErrorCode.INTERNAL, "no domain stream")

    def describe_services(self) -> _documents.Document:
        """Returns the body of `GET /v1/services`."""
        configuration = self._controller.configuration
        leaving_vms = self._vm_inventory.list_leaving_vms(configuration)
        slot_allocator = self._request_gateway.router.slot_allocator
        now_s = self._clock.monotonic()
        services = []
        for service in configuration.services.values():
            targets = [{
                "name": vm.name,
                "domain": vm.domain,
                "address": vm.address,
                "state": "leaving" if vm.name in leaving_vms else vm.state,
                "in_flight": slot_allocator.get_slots_in_use(vm.name),
                "share": slot_allocator.get_unlent_slots(vm.name, now_s),
            }
                       for vm in self._vm_inventory.list_workers()
                       if service.has_target(vm.name)]
            services.append({"name": service.name, "targets": targets})
        return {"services": services}

    async def describe_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/jobs/{id}`.

        A job of another domain is described by a peer of that domain. When
        none can be reached, the description uses only the `config` stream.
        """
        job_entry = self._job_service.get_job(job_id)
        if job_entry.domain != self._domain_name and not job_entry.outcome:
            peer_description = await self._query_peer(job_entry.domain,
                                                      JOB_DESCRIPTION_SUBJECT,
                                                      job_id)
            if peer_description is not None:
                return peer_description
        return _documents.describe_job(
            job_entry, self._job_service.compute_progress(job_id))

    async def explain_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/explain/jobs/{id}`."""
        job_entry = self._job_service.get_job(job_id)
        if job_entry.domain != self._domain_name and not job_entry.outcome:
            peer_explanation = await self._query_peer(job_entry.domain,
                                                      JOB_EXPLANATION_SUBJECT,
                                                      job_id)
            if peer_explanation is not None:
                return peer_explanation
        return self._explain_from_local_state(job_entry)

    def _explain_from_local_state(
            self, job_entry: state.JobEntry) -> _documents.Document:
        job_id = job_entry.spec.job_id
        if job_entry.outcome:
            summary = f"the job ended: {job_entry.outcome}"
            reasons = [job_entry.detail] if job_entry.detail else []
        elif job_entry.domain != self._domain_name:
            summary = (
                f"the job is assigned to domain {job_entry.domain!r}, of "
                f"which no daemon can be reached from here")
            reasons = []
        else:
            reason = self._scheduler.explain_job(job_id)
            summary = reason.message
            reasons = [reason.code.value]
            if not self._controller.may_start():
                reasons.append("this daemon may start no task now: its domain "
                               "is out of service or its streams are stale")
        return {"job_id": job_id, "summary": summary, "reasons": reasons}

    async def _query_peer(self, domain: str, subject: str, job_id: str) -> Any:
        address = self._peer_directory.find_peer_in_domain(domain)
        if address is None:
            return None
        try:
            return await self._peer_directory.query(address, subject,
                                                    {"job_id": job_id})
        except errors.RequestError:
            return None

    async def answer_peer_query(self, subject: str,
                                arguments: dict[str, str]) -> object:
        """Returns the reply to a query of a peer.

        Args:
            subject: What the peer queries, such as `JOB_DESCRIPTION_SUBJECT`.
            arguments: Arguments of the query: the job's identifier under
                `job_id`.

        Raises:
            RequestError: The subject or the job is unknown.
        """
        job_id = arguments.get("job_id", "")
        job_entry = self._job_service.get_job(job_id)
        if subject == JOB_DESCRIPTION_SUBJECT:
            return _documents.describe_job(
                job_entry, self._job_service.compute_progress(job_id))
        if subject == JOB_EXPLANATION_SUBJECT:
            return self._explain_from_local_state(job_entry)
        raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                  f"unknown subject {subject!r}")


def _describe_stream(client: streams.StreamClient) -> _documents.Document:
    age = client.get_age()
    is_known = client.freshness.as_of is not None and client.replica.is_complete
    return {
        "stream": client.stream,
        "position": client.replica.position,
        "age_ms": int(age.total_seconds() * 1000) if is_known else None,
        "complete": client.replica.is_complete,
    }
