"""Simulated entry daemons that drive the request router against fakes."""

import collections
import datetime
import functools
import random
from typing import NamedTuple

from bench import reporting
from bench import simulation
from gentianlead import errors
from gentianlead import routing

LOCAL_DELAY_S = 0.0001
LOAN_TICK_S = 0.02
STATUS_INTERVAL_S = 1.0
VM_LIST_LAG_S = 2.0
INTERACTIVE_SHARE = 0.8
IDEMPOTENT_SHARE = 0.8
INTERACTIVE_DEADLINE_S = 2.0
BULK_DEADLINE_S = 10.0
BIN_S = 0.5

_ANSWERED = routing.Outcome(errors.Verdict.RAN, True)
_ERROR_ANSWER = routing.Outcome(errors.Verdict.RAN, False)
_REFUSED = routing.Outcome(errors.Verdict.DID_NOT_RUN, False,
                           errors.ErrorCode.TARGET_FAILED)
_TIMED_OUT = routing.Outcome(errors.Verdict.MAY_HAVE_RUN, False,
                             errors.ErrorCode.TARGET_TIMEOUT)
_PEER_TIMED_OUT = routing.Outcome(errors.Verdict.MAY_HAVE_RUN, False,
                                  errors.ErrorCode.PEER_FAILED)


class Deployment(NamedTuple):
    """Shape of a deployment.

    Attributes:
        domains: Number of failure domains.
        targets: Targets of each domain.
        daemons: Number of entry daemons.
        delay: One-way delay between domains, in seconds.
    """

    domains: int
    targets: int
    daemons: int
    delay: float

    @property
    def capacity(self) -> float:
        """Requests per second when no neighbour is noisy."""
        slots = self.domains * self.targets * simulation.TARGET_SLOTS
        return slots / simulation.SERVICE_MEAN_S


class _Caller(NamedTuple):
    """A request of a caller.

    Attributes:
        request: The request.
        arrived_at: Simulated seconds.
    """

    request: routing.Request
    arrived_at: float


class Records:
    """What callers saw."""

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.arrived: collections.Counter[int] = collections.Counter()
        self.succeeded: collections.Counter[int] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.not_run: list[str] = []
        self.open: dict[str, _Caller] = {}
        self.non_idempotent: set[str] = set()
        self.repeated_answers = 0

    def note_arrival(self, caller: _Caller) -> None:
        """Notes a request."""
        self.open[caller.request.request_id] = caller
        self.arrived[int(caller.arrived_at / BIN_S)] += 1
        if not caller.request.is_idempotent:
            self.non_idempotent.add(caller.request.request_id)

    def note_end(self, request_id: str, now: float,
                 outcome: routing.Outcome) -> None:
        """Notes the answer of a request.

        A failure counts with the whole time to the deadline, so that a policy
        cannot improve its percentiles with failures.
        """
        caller = self.open.pop(request_id, None)
        if caller is None:
            self.repeated_answers += 1
            return
        request = caller.request
        latency = now - caller.arrived_at
        if outcome.is_success and now <= request.deadline:
            self.succeeded[int(caller.arrived_at / BIN_S)] += 1
        else:
            latency = request.deadline - caller.arrived_at
            code = outcome.code.value if outcome.code else "ERROR_ANSWER"
            self.codes[code] += 1
        if outcome.verdict is errors.Verdict.DID_NOT_RUN:
            self.not_run.append(request_id)
        if request.request_class is routing.RequestClass.INTERACTIVE:
            self.latencies.append(latency)


class Daemon:
    """An entry daemon: does for the router what its I/O layer does."""

    def __init__(self, name: str, cluster: "Cluster", domain: int,
                 router: routing.RequestRouter):
        self.name = name
        self.domain = domain
        self.router = router
        self._cluster = cluster
        self._loop = cluster.loop
        self._wakes_at = float("inf")
        self._open: dict[int, str] = {}
        self._outcomes: dict[int, routing.Outcome] = {}
        self._reply_to: dict[str, tuple["Daemon", int]] = {}

    def admit(self,
              request: routing.Request,
              reply_to: tuple["Daemon", int] | None = None) -> None:
        """Admits a request of a caller, or of a peer that waits for it."""
        if reply_to is not None:
            self._reply_to[request.request_id] = reply_to
        self._drive(self.router.admit(request, self._loop.now), None)
        self.poll()

    def poll(self) -> None:
        """Does the steps that are due and sets the next wake-up."""
        for step in self.router.poll(self._loop.now):
            self._drive(step, None)
        wanted = self.router.get_next_poll()
        if wanted is not None and wanted < self._wakes_at:
            self._wakes_at = wanted
            self._loop.call_at(wanted, self._wake, wanted)

    def report(self, attempt_id: int, outcome: routing.Outcome) -> None:
        """Reports the first outcome of an attempt; later ones are dropped."""
        if self._open.pop(attempt_id, None) is None:
            return
        step = self.router.report(attempt_id, outcome, self._loop.now)
        if step is not None:
            self._drive(step, outcome)
        self.poll()

    def _wake(self, time: float) -> None:
        if time <= self._wakes_at:
            self._wakes_at = float("inf")
        self.poll()

    def _drive(self, step: routing.Step,
               outcome: routing.Outcome | None) -> None:
        if isinstance(step, routing.StartAttempt):
            self._send(step)
        elif isinstance(step, routing.Done):
            assert outcome is not None
            self._finish(step.request_id, outcome)
        elif isinstance(step, routing.Fail):
            self._finish(step.request_id,
                         routing.Outcome(step.verdict, False, step.code))

    def _send(self, step: routing.StartAttempt) -> None:
        self._open[step.attempt_id] = step.request_id
        ends_by = self._loop.now + step.timeout.total_seconds()
        if isinstance(step.destination, routing.PeerDestination):
            peer = self._cluster.daemons[step.destination.peer]
            self._loop.call_later(self._cluster.deployment.delay,
                                  self._cluster.forward, self, peer, step)
            self._loop.call_at(ends_by, self.report, step.attempt_id,
                               _PEER_TIMED_OUT)
            return
        target = self._cluster.targets[step.destination.target]
        origin = step.request_id.split("@", maxsplit=1)[0]
        self._cluster.note_sent(target.name)
        work = simulation.TargetWork(
            origin, ends_by, functools.partial(self._on_target_end, step))
        self._loop.call_later(LOCAL_DELAY_S, target.offer, work)
        self._loop.call_at(ends_by, self.report, step.attempt_id, _TIMED_OUT)

    def _on_target_end(self, step: routing.StartAttempt,
                       is_success: bool | None) -> None:
        outcome = _REFUSED
        if is_success is not None:
            outcome = _ANSWERED if is_success else _ERROR_ANSWER
        self._loop.call_later(LOCAL_DELAY_S, self.report, step.attempt_id,
                              outcome)

    def _finish(self, request_id: str, outcome: routing.Outcome) -> None:
        reply_to = self._reply_to.pop(request_id, None)
        if reply_to is None:
            self._cluster.records.note_end(request_id, self._loop.now, outcome)
            return
        origin, attempt_id = reply_to
        self._loop.call_later(self._cluster.deployment.delay, origin.report,
                              attempt_id, outcome)


class Cluster:
    """All daemons and targets of a deployment under a Poisson load.

    Attributes:
        load: Requests per second relative to the quiet capacity.
    """

    def __init__(self, deployment: Deployment, variant: str, seed: int,
                 load: float):
        self.deployment = deployment
        self.load = load
        self.loop = simulation.EventLoop()
        self.records = Records()
        # The load has its own randomness, so that it is the same for every
        # variant.
        self._load_random = random.Random(f"load {seed}")
        self._loan_random = random.Random(f"loans {seed}")
        self.late_starts = 0
        self._left_at: dict[str, float] = {}
        self._arrivals = 0
        self._variant = variant
        self.targets = {
            name: simulation.FakeTarget(name, self.loop, f"{name} {seed}")
            for domain in range(deployment.domains)
            for name in self.list_names(domain)
        }
        self.daemons: dict[str, Daemon] = {}
        for index in range(deployment.daemons):
            self._add_daemon(index, seed)
        self._daemon_list = list(self.daemons.values())
        for daemon in self._daemon_list:
            self.update_vms(daemon.domain, False)
        self._send_status()
        self._tick_loans()
        self._arrive()

    def list_names(self, domain: int) -> list[str]:
        """Returns the targets of a domain."""
        return [f"d{domain}-w{i}" for i in range(self.deployment.targets)]

    def update_vms(self, domain: int, is_leaving: bool) -> None:
        """Tells the daemons of a domain the state of its targets."""
        slots = simulation.TARGET_SLOTS
        if self._variant == "round_robin":
            slots = simulation.TARGET_CONNECTIONS
        for name in self.list_names(domain):
            if is_leaving:
                self._left_at.setdefault(name, self.loop.now)
            else:
                self._left_at.pop(name, None)
        specs = [
            routing.TargetSpec(name,
                               slots,
                               simulation.TARGET_CONNECTIONS,
                               is_leaving=is_leaving)
            for name in self.list_names(domain)
        ]
        for daemon in self.daemons.values():
            if daemon.domain == domain:
                daemon.router.update_targets(specs, self.loop.now)
                daemon.poll()

    def note_sent(self, target: str) -> None:
        """Counts an attempt that starts at a target known to be leaving."""
        if target in self._left_at:
            self.late_starts += 1

    def forward(self, origin: Daemon, peer: Daemon,
                step: routing.StartAttempt) -> None:
        """Hands a forwarded request to a peer."""
        caller = self.records.open.get(step.request_id)
        if caller is None:
            return
        request = caller.request._replace(
            request_id=f"{step.request_id}@{origin.name}.{step.attempt_id}",
            deadline=caller.request.deadline - self.deployment.delay,
            is_forwarded=True)
        peer.admit(request, (origin, step.attempt_id))

    def _add_daemon(self, index: int, seed: int) -> None:
        domain = index % self.deployment.domains
        seat = index // self.deployment.domains
        seats = self.deployment.daemons // self.deployment.domains
        settings = routing.RouterSettings(seat=seat, seats=seats)
        source = reporting.SeededRandom(f"daemon {index} {seed}")
        policy: routing.TargetPolicy | None = None
        if self._variant.startswith("round_robin"):
            settings = routing.make_baseline_settings(seat, seats)
            policy = routing.RoundRobinPolicy()
        # The daemons started long ago, so that no slots are held back.
        router = routing.RequestRouter(settings, source, _STARTED_AT, policy)
        name = f"entry-{index}"
        self.daemons[name] = Daemon(name, self, domain, router)

    def _arrive(self) -> None:
        self.loop.call_later(
            self._load_random.expovariate(self.load * self.deployment.capacity),
            self._arrive)
        self._arrivals += 1
        is_interactive = self._load_random.random() < INTERACTIVE_SHARE
        now = self.loop.now
        request = routing.Request(
            f"r{self._arrivals}",
            "service",
            now +
            (INTERACTIVE_DEADLINE_S if is_interactive else BULK_DEADLINE_S),
            request_class=(routing.RequestClass.INTERACTIVE
                           if is_interactive else routing.RequestClass.BULK),
            is_idempotent=self._load_random.random() < IDEMPOTENT_SHARE)
        self.records.note_arrival(_Caller(request, now))
        self._load_random.choice(self._daemon_list).admit(request)

    def _send_status(self) -> None:
        now = self.loop.now
        delay = datetime.timedelta(seconds=self.deployment.delay)
        views = {
            daemon:
                routing.PeerView(daemon.name, str(daemon.domain), delay,
                                 daemon.router.get_free_slots(now),
                                 daemon.router.get_queue_delay(now))
            for daemon in self._daemon_list
        }
        for daemon in self._daemon_list:
            others = [
                view for peer, view in views.items()
                if peer.domain != daemon.domain
            ]
            self.loop.call_later(self.deployment.delay,
                                 daemon.router.update_peers, others)
        self.loop.call_later(STATUS_INTERVAL_S, self._send_status)

    def _tick_loans(self) -> None:
        self.loop.call_later(LOAN_TICK_S, self._tick_loans)
        if self._variant == "round_robin":
            return
        for daemon in self._daemon_list:
            peers = [
                peer for peer in self._daemon_list
                if peer.domain == daemon.domain and peer is not daemon
            ]
            now = self.loop.now
            for message in daemon.router.plan_returns(now):
                for peer in peers:
                    self.loop.call_later(LOCAL_DELAY_S, peer.router.take_back,
                                         message)
            for ask in daemon.router.plan_asks(now):
                peer = self._loan_random.choice(peers)
                self.loop.call_later(LOCAL_DELAY_S, self._lend, daemon, peer,
                                     ask)

    def _lend(self, daemon: Daemon, peer: Daemon, ask: routing.LoanRequest) -> None:
        grant = peer.router.lend(ask, self.loop.now)
        self.loop.call_later(LOCAL_DELAY_S, self._take_grant, daemon, grant)

    def _take_grant(self, daemon: Daemon, grant: routing.LoanGrant) -> None:
        daemon.router.note_grant(grant, self.loop.now)
        daemon.poll()


_STARTED_AT = -1000.0
