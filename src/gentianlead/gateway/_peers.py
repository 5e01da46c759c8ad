"""Exchange with peer daemons: load, forwarded requests, loans and status."""

import asyncio
import datetime
from typing import Awaitable, Callable, NamedTuple

from gentianlead import errors
from gentianlead import peers
from gentianlead import ports
from gentianlead import routing
from gentianlead.gateway import _gateway
from gentianlead.gateway import _messages

LOAD_SUBJECT = "load"
LEAVING_SUBJECT = "leaving"
MAX_LEAVING_TARGET_QUERIES = 3
MAX_QUERIES_PER_ROUND = 8
"""Maximum number of peers queried for their load in one round, so that the cost
of a round does not grow with the number of daemons."""

QUERY_TIMEOUT = datetime.timedelta(seconds=1)
MAX_STATUS_AGE = datetime.timedelta(seconds=5)
"""Age after which the reported load of a peer is no longer used."""

StatusReader = Callable[[str, dict[str, str]], Awaitable[object]]


class _ReceivedStatus(NamedTuple):
    """Status of a peer with the monotonic seconds of its receipt."""

    status: routing.PeerStatus
    received_at: float


class PeerDirectory:
    """Queries peers, keeps their reported load and forwards requests to them.

    Args:
        pool: Connections to peers.
        domain: Failure domain of this daemon.
        clock: Source of monotonic time.
        random: Source of random choices of peers.
    """

    def __init__(self, pool: peers.PeerPool, domain: str, clock: ports.Clock,
                 random: ports.RandomSource):
        self._pool = pool
        self._own_domain = domain
        self._clock = clock
        self._random = random
        self._received_statuses: dict[str, _ReceivedStatus] = {}
        self._one_way_delays: dict[str, float] = {}
        self._loan_durations = routing.LoanDurations()
        self._loan_lenders: dict[str, tuple[str, str]] = {}

    def set_addresses(self, addresses: list[str]) -> None:
        """Sets the addresses of the peers to keep connections to."""
        self._pool.set_addresses(addresses)

    def list_own_domain_peers(self) -> list[str]:
        """Returns the addresses of reachable peers in the own domain."""
        return [
            address for address, peer in self._pool.get_peers().items()
            if peer.domain == self._own_domain
        ]

    def find_peer_in_domain(self, domain: str) -> str | None:
        """Returns the address of a reachable peer in a domain, or None."""
        for address, peer in self._pool.get_peers().items():
            if peer.domain == domain:
                return address
        return None

    def list_peer_statuses(self) -> list[routing.PeerStatus]:
        """Returns the recent statuses of reachable peers in other domains."""
        now = self._clock.monotonic()
        reachable_peers = self._pool.get_peers()
        max_age = MAX_STATUS_AGE.total_seconds()
        return [
            received.status
            for address, received in self._received_statuses.items()
            if address in reachable_peers and now -
            received.received_at <= max_age
        ]

    async def refresh_peer_statuses(self) -> None:
        """Queries the load of peers in other domains; samples them if many."""
        other_domain_peers = [
            address for address, peer in self._pool.get_peers().items()
            if peer.domain != self._own_domain
        ]
        if len(other_domain_peers) > MAX_QUERIES_PER_ROUND:
            other_domain_peers = self._random.sample(other_domain_peers,
                                                     MAX_QUERIES_PER_ROUND)
        await asyncio.gather(
            *(self._query_load(address) for address in other_domain_peers))

    async def _query_load(self, address: str) -> None:
        sent_at = self._clock.monotonic()
        peer = self._pool.get_peers().get(address)
        if peer is None:
            return
        try:
            reply = await self._pool.request(address,
                                             peers.StatusQuery(LOAD_SUBJECT),
                                             QUERY_TIMEOUT)
            load_report = reply.value
            free_slots = int(load_report["free_slots"])
            queue_delay = datetime.timedelta(
                milliseconds=float(load_report["queue_ms"]))
        except (errors.RequestError, KeyError, TypeError, ValueError):
            self._received_statuses.pop(address, None)
            return
        now = self._clock.monotonic()
        one_way_delay = min(
            (now - sent_at) / 2,
            self._one_way_delays.get(address, float("inf")) * 1.05)
        self._one_way_delays[address] = one_way_delay
        status = routing.PeerStatus(address, peer.domain,
                                    datetime.timedelta(seconds=one_way_delay),
                                    free_slots, queue_delay)
        self._received_statuses[address] = _ReceivedStatus(status, now)

    async def send(self, address: str, request: _messages.CallerRequest,
                   timeout: datetime.timedelta) -> ports.HttpResponse:
        """Forwards a request to a peer and returns the response.

        Raises:
            RequestError: The peer refused the request, failed or did not reply.
        """
        message = peers.ForwardRequest(
            request.service, request.method, request.path,
            tuple(request.headers.items()), request.body,
            max(1, int(timeout.total_seconds() * 1000)), request.is_idempotent,
            request.request_class.value)
        reply = await self._pool.request(address, message, timeout)
        assert isinstance(reply, ports.HttpResponse)
        return reply

    async def query(self, address: str, subject: str,
                    arguments: dict[str, str]) -> object:
        """Queries a part of the status of a peer.

        Args:
            address: Address of the peer.
            subject: Name of the part.
            arguments: Arguments of the query by name.

        Raises:
            RequestError: The peer cannot be reached or refused the query.
        """
        reply = await self._pool.request(address,
                                         peers.StatusQuery(subject, arguments),
                                         QUERY_TIMEOUT)
        return reply.value

    async def query_leaving_targets(self) -> frozenset[str] | None:
        """Queries some peers for the names of the leaving targets.

        Returns:
            Names of the targets that any of the queried peers reported; None
            when none of these peers has a current VM list itself.
        """
        addresses = list(self._pool.get_peers())
        if len(addresses) > MAX_LEAVING_TARGET_QUERIES:
            addresses = self._random.sample(addresses,
                                            MAX_LEAVING_TARGET_QUERIES)
        replies = await asyncio.gather(*(
            self.query(address, LEAVING_SUBJECT, {}) for address in addresses),
                                       return_exceptions=True)
        reported_names = [reply for reply in replies if isinstance(reply, list)]
        if not reported_names:
            return None
        return frozenset(name for names in reported_names for name in names
                         if isinstance(name, str))

    async def exchange_loans(self, router: routing.RequestRouter) -> None:
        """Returns idle loans to peers of the own domain and requests new ones.

        Args:
            router: Router that decides which loans to return and request.
        """
        for loan_return in router.build_loan_returns(self._clock.monotonic()):
            lender, loan_id = self._loan_lenders.pop(loan_return.loan_id,
                                                     ("", ""))
            self._pool.notify(lender, peers.LoanReturn(loan_id))
        lenders = self.list_own_domain_peers()
        if not lenders:
            return
        loan_requests = router.build_loan_requests(self._clock.monotonic())
        await asyncio.gather(*(
            self._request_loan(router,
                               self._random.sample(lenders, 1)[0], loan_request)
            for loan_request in loan_requests))

    async def _request_loan(self, router: routing.RequestRouter, lender: str,
                            loan_request: routing.LoanRequest) -> None:
        length_ms = int(self._loan_durations.duration.total_seconds() * 1000)
        message = peers.LoanRequest(loan_request.target, loan_request.slots,
                                    length_ms)
        granted_slots = 0
        try:
            reply = await self._pool.request(lender, message, QUERY_TIMEOUT)
            granted_slots = reply.slots
            if granted_slots:
                self._loan_lenders[loan_request.loan_id] = (lender,
                                                            reply.loan_id)
        except errors.RequestError:
            pass  # The lender counts the slots as lent until the loan expires.
        router.apply_loan_grant(
            routing.LoanGrant(loan_request.loan_id, loan_request.target,
                              granted_slots), self._clock.monotonic())


class PeerService(peers.PeerHandler):
    """Handles the requests that this daemon receives from its peers.

    Args:
        gateway: Gateway that serves forwarded requests.
        read_status: Returns a part of the daemon's status by its name.
        clock: Source of monotonic time.
    """

    def __init__(self, gateway: _gateway.RequestGateway,
                 read_status: StatusReader, clock: ports.Clock):
        self._gateway = gateway
        self._read_status = read_status
        self._clock = clock
        self._lent_loan_targets: dict[str, str] = {}

    async def handle_forward(
            self, peer: peers.Hello,
            message: peers.ForwardRequest) -> ports.HttpResponse:
        request = _messages.CallerRequest(
            self._gateway.build_request_id(),
            message.service,
            message.method,
            message.path,
            dict(message.headers),
            message.body,
            datetime.timedelta(milliseconds=message.deadline_ms),
            message.is_idempotent,
            request_class=routing.RequestClass(message.request_class),
            is_forwarded=True)
        with self._gateway.track_request():
            return await self._gateway.serve(request)

    async def handle_loan_request(
            self, peer: peers.Hello,
            message: peers.LoanRequest) -> peers.LoanGrant:
        router = self._gateway.router
        loan_request = routing.LoanRequest(self._gateway.build_request_id(),
                                           message.target, message.slots)
        grant = router.lend(loan_request, self._clock.monotonic())
        if grant.slots:
            self._lent_loan_targets[grant.loan_id] = grant.target
        return peers.LoanGrant(grant.loan_id, grant.slots, message.length_ms)

    def handle_loan_return(self, peer: peers.Hello,
                           message: peers.LoanReturn) -> None:
        target = self._lent_loan_targets.pop(message.loan_id, None)
        if target is not None:
            self._gateway.router.apply_loan_return(
                routing.LoanReturn(message.loan_id, target))

    async def handle_status_query(
            self, peer: peers.Hello,
            message: peers.StatusQuery) -> peers.StatusReply:
        router = self._gateway.router
        if message.subject == LOAD_SUBJECT:
            now = self._clock.monotonic()
            queue_delay = router.get_queue_delay(now)
            return peers.StatusReply({
                "free_slots": router.get_free_slots(now),
                "queue_ms": queue_delay.total_seconds() * 1000,
            })
        return peers.StatusReply(await
                                 self._read_status(message.subject,
                                                   message.arguments))
