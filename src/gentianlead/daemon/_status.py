"""What a daemon tells of itself, to operators and to peers."""

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

JOB_SUBJECT = "job"
EXPLAIN_SUBJECT = "explain-job"


class StatusService:
    """Describes the daemon, its domain, and jobs of all domains.

    Args:
        name: Name of the daemon.
        domain_name: Its failure domain.
        clients: Clients of all streams.
        controller: Control loop.
        scheduler: Explains why jobs wait.
        jobs: Jobs.
        requests: Path of requests.
        directory: Peers, for jobs of other domains.
        platform: Last known VMs.
        clock: Source of time.
        find_unready_reason: Returns why the daemon is not ready.
    """

    def __init__(self, name: str, domain_name: str,
                 clients: list[streams.StreamClient],
                 controller: control.DomainController,
                 scheduler: scheduling.DomainScheduler, jobs: _jobs.JobService,
                 requests: gateway.RequestGateway,
                 directory: gateway.PeerDirectory,
                 platform: control.PlatformView, clock: ports.Clock,
                 find_unready_reason: Callable[[], str]):
        self._name = name
        self._domain_name = domain_name
        self._clients = clients
        self._controller = controller
        self._scheduler = scheduler
        self._jobs = jobs
        self._requests = requests
        self._directory = directory
        self._platform = platform
        self._clock = clock
        self._find_unready_reason = find_unready_reason

    def describe_status(self) -> _documents.Document:
        """Returns the body of `GET /v1/status`."""
        reason = self._find_unready_reason()
        fold = self._get_domain_fold()
        tracker = self._controller.tracker
        return {
            "name": self._name,
            "domain": self._domain_name,
            "ready": not reason,
            "ready_reason": reason,
            "is_preferred": self._controller.is_preferred,
            "config_version": self._controller.configuration.version,
            "streams": [_describe_stream(client) for client in self._clients],
            "members": [{
                "name": member.member,
                "seat": member.seat,
                "live": tracker.is_live(member.member),
            } for member in fold.members.values()],
            "workers": [{
                "name": worker.name,
                "rack": worker.rack,
                "capacity": worker.capacity._asdict(),
                "free": worker.free._asdict(),
                "runs": len(worker.runs),
            } for worker in fold.workers.values()],
            "open_requests": self._requests.open_requests,
        }

    def _get_domain_fold(self) -> state.DomainFold:
        for client in self._clients:
            if isinstance(client.replica.fold, state.DomainFold):
                return client.replica.fold
        raise errors.RequestError(errors.ErrorCode.INTERNAL, "no domain stream")

    def describe_services(self) -> _documents.Document:
        """Returns the body of `GET /v1/services`."""
        configuration = self._controller.configuration
        leaving = self._platform.list_leaving(configuration)
        shares = self._requests.router.shares
        now = self._clock.monotonic()
        services = []
        for service in configuration.services.values():
            targets = [{
                "name": vm.name,
                "domain": vm.domain,
                "address": vm.address,
                "state": "leaving" if vm.name in leaving else vm.state,
                "in_flight": shares.get_in_use(vm.name),
                "share": shares.get_own_share(vm.name, now),
            }
                       for vm in self._platform.list_workers()
                       if service.has_target(vm.name)]
            services.append({"name": service.name, "targets": targets})
        return {"services": services}

    async def describe_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/jobs/{id}`.

        A job of another domain is described by a peer there; when none can be
        reached, by what the `config` stream says.
        """
        entry = self._jobs.get(job_id)
        if entry.domain != self._domain_name and not entry.outcome:
            described = await self._ask_peer(entry.domain, JOB_SUBJECT, job_id)
            if described is not None:
                return described
        return _documents.describe_job(entry, self._jobs.measure(job_id))

    async def explain_job(self, job_id: str) -> _documents.Document:
        """Returns the body of `GET /v1/explain/jobs/{id}`."""
        entry = self._jobs.get(job_id)
        if entry.domain != self._domain_name and not entry.outcome:
            explained = await self._ask_peer(entry.domain, EXPLAIN_SUBJECT,
                                             job_id)
            if explained is not None:
                return explained
        return self._explain_here(entry)

    def _explain_here(self, entry: state.JobEntry) -> _documents.Document:
        job_id = entry.spec.job_id
        if entry.outcome:
            summary = f"the job ended: {entry.outcome}"
            reasons = [entry.detail] if entry.detail else []
        elif entry.domain != self._domain_name:
            summary = (f"the job is assigned to domain {entry.domain!r}, of "
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

    async def _ask_peer(self, domain: str, subject: str, job_id: str) -> Any:
        address = self._directory.find_domain(domain)
        if address is None:
            return None
        try:
            return await self._directory.query(address, subject,
                                               {"job_id": job_id})
        except errors.RequestError:
            return None

    async def read_status(self, subject: str, arguments: dict[str,
                                                              str]) -> object:
        """Answers a status query of a peer.

        Raises:
            RequestError: The subject or the job is unknown.
        """
        job_id = arguments.get("job_id", "")
        entry = self._jobs.get(job_id)
        if subject == JOB_SUBJECT:
            return _documents.describe_job(entry, self._jobs.measure(job_id))
        if subject == EXPLAIN_SUBJECT:
            return self._explain_here(entry)
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
