"""Messages to and from peer daemons.

They query load and status, forward requests, and request and return loans of
target slots.
"""

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
LEAVING_TARGETS_SUBJECT = "leaving"
MAX_LEAVING_TARGET_QUERIES = 3
MAX_QUERIES_PER_ROUND = 8
"""Maximum number of peers that one call of `refresh_peer_statuses` queries, so
that the cost of a call does not grow with the number of daemons."""

QUERY_TIMEOUT = datetime.timedelta(seconds=1)
MAX_STATUS_AGE = datetime.timedelta(seconds=5)
"""Time after its receipt for which the reported load of a peer is used."""

StatusReader = Callable[[str, dict[str, str]], Awaitable[object]]


class _ReceivedStatus(NamedTuple):
    """Reported load of a peer, with the time of its receipt.

    Attributes:
        status: Load that the peer reported.
        received_at: Monotonic seconds at which it was received.
    """

    status: routing.PeerStatus
    received_at: float


class PeerDirectory:
    """Sends forwarded requests, queries and loan requests to peers.

    It also notifies lenders when this daemon returns borrowed slots. It keeps
    the load that peers in other domains reported, and the lender of each loan
    of target slots to this daemon.

    Args:
        peer_pool: Connections to peers.
        own_domain: Failure domain of this daemon.
        clock: Source of monotonic time.
        random: Source of random choices among peers.
    """

    def __init__(self, peer_pool: peers.PeerPool, own_domain: str,
                 clock: ports.Clock, random: ports.RandomSource):
        self._peer_pool = peer_pool
        self._own_domain = own_domain
        self._clock = clock
        self._random = random
        self._received_statuses: dict[str, _ReceivedStatus] = {}
        self._one_way_delays_s: dict[str, float] = {}
        self._loan_duration_settings = routing.LoanDurations()
        self._lenders_by_loan_id: dict[str, tuple[str, str]] = {}

    def set_addresses(self, addresses: list[str]) -> None:
        """Replaces the addresses of the peers to keep connections to."""
        self._peer_pool.set_addresses(addresses)

    def list_own_domain_peers(self) -> list[str]:
        """Returns the addresses of reachable peers in the own domain."""
        return [
            address for address, peer in self._peer_pool.get_peers().items()
            if peer.domain == self._own_domain
        ]

    def find_peer_in_domain(self, domain: str) -> str | None:
        """Returns the address of a reachable peer in a domain, or None."""
        for address, peer in self._peer_pool.get_peers().items():
            if peer.domain == domain:
                return address
        return None

    def list_peer_statuses(self) -> list[routing.PeerStatus]:
        """Returns the reported load of the reachable peers in other domains.

        Peers whose load was received more than `MAX_STATUS_AGE` ago are left
        out.
        """
        now = self._clock.monotonic()
        reachable_peers = self._peer_pool.get_peers()
        max_age_s = MAX_STATUS_AGE.total_seconds()
        return [
            received_status.status
            for address, received_status in self._received_statuses.items()
            if address in reachable_peers and now -
            received_status.received_at <= max_age_s
        ]

    async def refresh_peer_statuses(self) -> None:
        """Queries the load of the reachable peers in other domains.

        If there are more than `MAX_QUERIES_PER_ROUND`, a random sample of them
        is queried. The load of a peer whose query fails is forgotten.
        """
        other_domain_peers = [
            address for address, peer in self._peer_pool.get_peers().items()
            if peer.domain != self._own_domain
        ]
        if len(other_domain_peers) > MAX_QUERIES_PER_ROUND:
            other_domain_peers = self._random.sample(other_domain_peers,
                                                     MAX_QUERIES_PER_ROUND)
        await asyncio.gather(
            *(self._query_load(address) for address in other_domain_peers))

    async def _query_load(self, address: str) -> None:
        sent_at = self._clock.monotonic()
        peer = self._peer_pool.get_peers().get(address)
        if peer is None:
            return
        try:
            reply = await self._peer_pool.request(
                address, peers.StatusQuery(LOAD_SUBJECT), QUERY_TIMEOUT)
            load_report = reply.value
            free_slots = int(load_report["free_slots"])
            queue_delay = datetime.timedelta(
                milliseconds=float(load_report["queue_ms"]))
        except (errors.RequestError, KeyError, TypeError, ValueError):
            self._received_statuses.pop(address, None)
            return
        now = self._clock.monotonic()
        one_way_delay_s = min(
            (now - sent_at) / 2,
            self._one_way_delays_s.get(address, float("inf")) * 1.05)
        self._one_way_delays_s[address] = one_way_delay_s
        status = routing.PeerStatus(address, peer.domain,
                                    datetime.timedelta(seconds=one_way_delay_s),
                                    free_slots, queue_delay)
        self._received_statuses[address] = _ReceivedStatus(status, now)

    async def forward_request(
            self, address: str, request: _messages.CallerRequest,
            timeout: datetime.timedelta) -> ports.HttpResponse:
        """Forwards a request to a peer and returns the response.

        Args:
            address: Address of the peer.
            request: The request.
            timeout: Longest wait for the response; sent to the peer as the time
                left until the deadline of the request.

        Raises:
            RequestError: The peer refused the request, failed or did not reply
                within the timeout.
        """
        message = peers.ForwardRequest(
            request.service, request.method, request.path,
            tuple(request.headers.items()), request.body,
            max(1, int(timeout.total_seconds() * 1000)), request.is_idempotent,
            request.request_class.value)
        reply = await self._peer_pool.request(address, message, timeout)
        assert isinstance(reply, ports.HttpResponse)
        return reply

    async def query(self, address: str, subject: str,
                    arguments: dict[str, str]) -> object:
        """Queries a part of the status of a peer and returns it.

        Args:
            address: Address of the peer.
            subject: Name of the part of the status.
            arguments: Arguments of the query, by name.

        Raises:
            RequestError: The peer cannot be reached, refused the query or did
                not reply within `QUERY_TIMEOUT`.
        """
        reply = await self._peer_pool.request(
            address, peers.StatusQuery(subject, arguments), QUERY_TIMEOUT)
        return reply.value

    async def query_leaving_targets(self) -> frozenset[str] | None:
        """Queries up to 3 random peers for the names of the leaving targets.

        Returns:
            Names that any of these peers reported. None if none of them
            reported a list, because it failed or has no current list of VMs
            itself, or if no peer is reachable.
        """
        addresses = list(self._peer_pool.get_peers())
        if len(addresses) > MAX_LEAVING_TARGET_QUERIES:
            addresses = self._random.sample(addresses,
                                            MAX_LEAVING_TARGET_QUERIES)
        replies = await asyncio.gather(*(self.query(address,
                                                    LEAVING_TARGETS_SUBJECT, {})
                                         for address in addresses),
                                       return_exceptions=True)
        reported_target_lists = [
            reply for reply in replies if isinstance(reply, list)
        ]
        if not reported_target_lists:
            return None
        return frozenset(target_name for target_names in reported_target_lists
                         for target_name in target_names
                         if isinstance(target_name, str))

    async def exchange_loans(self, router: routing.RequestRouter) -> None:
        """Returns idle slot loans to their lenders and requests new ones.

        Each request is sent to a random reachable peer of the own domain.

        Args:
            router: Decides which loans to return and to request, and gets the
                replies.
        """
        for loan_return in router.build_loan_returns(self._clock.monotonic()):
            lender_address, loan_id = self._lenders_by_loan_id.pop(
                loan_return.loan_id, ("", ""))
            self._peer_pool.notify(lender_address, peers.LoanReturn(loan_id))
        lender_addresses = self.list_own_domain_peers()
        if not lender_addresses:
            return
        loan_requests = router.build_loan_requests(self._clock.monotonic())
        await asyncio.gather(*(self._request_loan(
            router,
            self._random.sample(lender_addresses, 1)[0], loan_request)
                               for loan_request in loan_requests))

    async def _request_loan(self, router: routing.RequestRouter,
                            lender_address: str,
                            loan_request: routing.LoanRequest) -> None:
        loan_duration_ms = int(
            self._loan_duration_settings.duration.total_seconds() * 1000)
        message = peers.LoanRequest(loan_request.target, loan_request.slots,
                                    loan_duration_ms)
        granted_slots = 0
        try:
            reply = await self._peer_pool.request(lender_address, message,
                                                  QUERY_TIMEOUT)
            granted_slots = reply.slots
            if granted_slots:
                self._lenders_by_loan_id[loan_request.loan_id] = (
                    lender_address, reply.loan_id)
        except errors.RequestError:
            # Without a reply, no slots are borrowed. If the lender has granted
            # the loan, it counts the slots as lent until the loan expires.
            pass
        router.apply_loan_grant(
            routing.LoanGrant(loan_request.loan_id, loan_request.target,
                              granted_slots), self._clock.monotonic())


class PeerService(peers.PeerHandler):
    """Handles the messages that this daemon receives from its peers.

    These are forwarded requests, requests for slot loans, returns of slot
    loans, and queries of the load and the status of this daemon.

    Args:
        gateway: Serves forwarded requests; its router lends slots.
        read_status: Returns a part of this daemon's status, given its name and
            the arguments of the query.
        clock: Source of monotonic time.
    """

    def __init__(self, gateway: _gateway.RequestGateway,
                 read_status: StatusReader, clock: ports.Clock):
        self._gateway = gateway
        self._read_status = read_status
        self._clock = clock
        self._targets_by_lent_loan_id: dict[str, str] = {}

    async def handle_forward(
            self, peer: peers.Hello,
            message: peers.ForwardRequest) -> ports.HttpResponse:
        request = _messages.CallerRequest(
            self._gateway.generate_unique_id(),
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
        loan_request = routing.LoanRequest(self._gateway.generate_unique_id(),
                                           message.target, message.slots)
        grant = router.lend(loan_request, self._clock.monotonic())
        if grant.slots:
            self._targets_by_lent_loan_id[grant.loan_id] = grant.target
        return peers.LoanGrant(grant.loan_id, grant.slots, message.length_ms)

    def handle_loan_return(self, peer: peers.Hello,
                           message: peers.LoanReturn) -> None:
        target = self._targets_by_lent_loan_id.pop(message.loan_id, None)
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
