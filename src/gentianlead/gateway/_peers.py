"""Peers: who they are, how loaded they are, and serving their requests."""

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
MAX_LEAVING_QUERIES = 3
MAX_QUERIES_PER_ROUND = 8
"""Peers asked for their load in one round, so that the cost of a round does
not rise with the fleet."""

QUERY_TIMEOUT = datetime.timedelta(seconds=1)
VIEW_LIMIT = datetime.timedelta(seconds=5)
"""Age after which what a peer said of its load is not used any more."""

StatusReader = Callable[[str, dict[str, str]], Awaitable[object]]


class _View(NamedTuple):
    view: routing.PeerView
    taken_at: float


class PeerDirectory:
    """Knows the peers and their load, and forwards requests to them.

    Args:
        pool: Connections to peers.
        domain: The own failure domain.
        clock: Source of time.
        random: Chooses the peers to ask.
    """

    def __init__(self, pool: peers.PeerPool, domain: str, clock: ports.Clock,
                 random: ports.RandomSource):
        self._pool = pool
        self._domain = domain
        self._clock = clock
        self._random = random
        self._views: dict[str, _View] = {}
        self._delays: dict[str, float] = {}
        self._loan_terms = routing.LoanTerms()
        self._loans: dict[str, tuple[str, str]] = {}

    def set_addresses(self, addresses: list[str]) -> None:
        """Sets the peers to stay connected to."""
        self._pool.set_addresses(addresses)

    def list_own_domain(self) -> list[str]:
        """Returns the addresses of reachable peers in the own domain."""
        return [
            address for address, hello in self._pool.get_peers().items()
            if hello.domain == self._domain
        ]

    def find_domain(self, domain: str) -> str | None:
        """Returns the address of a reachable peer in a domain, or None."""
        for address, hello in self._pool.get_peers().items():
            if hello.domain == domain:
                return address
        return None

    def list_views(self) -> list[routing.PeerView]:
        """Returns the peers of other domains with their last known load."""
        now = self._clock.monotonic()
        reachable = self._pool.get_peers()
        limit = VIEW_LIMIT.total_seconds()
        return [
            known.view
            for address, known in self._views.items()
            if address in reachable and now - known.taken_at <= limit
        ]

    async def refresh(self) -> None:
        """Asks peers of other domains for their load."""
        others = [
            address for address, hello in self._pool.get_peers().items()
            if hello.domain != self._domain
        ]
        if len(others) > MAX_QUERIES_PER_ROUND:
            others = self._random.sample(others, MAX_QUERIES_PER_ROUND)
        await asyncio.gather(*(self._ask(address) for address in others))

    async def _ask(self, address: str) -> None:
        sent_at = self._clock.monotonic()
        hello = self._pool.get_peers().get(address)
        if hello is None:
            return
        try:
            reply = await self._pool.request(address,
                                             peers.StatusQuery(LOAD_SUBJECT),
                                             QUERY_TIMEOUT)
            load = reply.value
            free_slots = int(load["free_slots"])
            queue_delay = datetime.timedelta(
                milliseconds=float(load["queue_ms"]))
        except (errors.RequestError, KeyError, TypeError, ValueError):
            self._views.pop(address, None)
            return
        now = self._clock.monotonic()
        delay = min((now - sent_at) / 2,
                    self._delays.get(address, float("inf")) * 1.05)
        self._delays[address] = delay
        view = routing.PeerView(address, hello.domain,
                                datetime.timedelta(seconds=delay), free_slots,
                                queue_delay)
        self._views[address] = _View(view, now)

    async def send(self, address: str, request: _messages.CallerRequest,
                   timeout: datetime.timedelta) -> ports.HttpResponse:
        """Forwards a request.

        Raises:
            RequestError: The peer refused it, failed or did not answer.
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
        """Asks a peer for a part of its status.

        Raises:
            RequestError: The peer cannot be reached or refused.
        """
        reply = await self._pool.request(address,
                                         peers.StatusQuery(subject, arguments),
                                         QUERY_TIMEOUT)
        return reply.value

    async def ask_leaving(self) -> frozenset[str] | None:
        """Asks some peers for the targets that leave.

        Returns:
            Names of the targets; None when no peer that was asked is current
            itself.
        """
        addresses = list(self._pool.get_peers())
        if len(addresses) > MAX_LEAVING_QUERIES:
            addresses = self._random.sample(addresses, MAX_LEAVING_QUERIES)
        replies = await asyncio.gather(*(
            self.query(address, LEAVING_SUBJECT, {}) for address in addresses),
                                       return_exceptions=True)
        known = [reply for reply in replies if isinstance(reply, list)]
        if not known:
            return None
        return frozenset(
            name for names in known for name in names if isinstance(name, str))

    async def exchange_loans(self, router: routing.RequestRouter) -> None:
        """Asks peers of the own domain for slots and returns idle ones."""
        for message in router.plan_returns(self._clock.monotonic()):
            lender, loan_id = self._loans.pop(message.loan_id, ("", ""))
            self._pool.notify(lender, peers.LoanReturn(loan_id))
        lenders = self.list_own_domain()
        if not lenders:
            return
        asks = router.plan_asks(self._clock.monotonic())
        await asyncio.gather(
            *(self._ask_loan(router,
                             self._random.sample(lenders, 1)[0], ask)
              for ask in asks))

    async def _ask_loan(self, router: routing.RequestRouter, lender: str,
                        ask: routing.LoanAsk) -> None:
        length_ms = int(self._loan_terms.length.total_seconds() * 1000)
        message = peers.LoanAsk(ask.target, ask.count, length_ms)
        count = 0
        try:
            reply = await self._pool.request(lender, message, QUERY_TIMEOUT)
            count = reply.slots
            if count:
                self._loans[ask.loan_id] = (lender, reply.loan_id)
        except errors.RequestError:
            pass  # The lender counts what it lent until it has certainly ended.
        router.note_grant(routing.LoanGrant(ask.loan_id, ask.target, count),
                          self._clock.monotonic())


class PeerService(peers.PeerHandler):
    """Serves what peers ask for.

    Args:
        gateway: Path of requests.
        read_status: Returns a part of the status by subject.
        clock: Source of time.
    """

    def __init__(self, gateway: _gateway.RequestGateway,
                 read_status: StatusReader, clock: ports.Clock):
        self._gateway = gateway
        self._read_status = read_status
        self._clock = clock
        self._lent: dict[str, str] = {}

    async def handle_forward(self, peer: peers.Hello,
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
        with self._gateway.hold():
            return await self._gateway.serve(request)

    async def handle_loan_ask(self, peer: peers.Hello,
                              message: peers.LoanAsk) -> peers.LoanGrant:
        router = self._gateway.router
        ask = routing.LoanAsk(self._gateway.build_request_id(), message.target,
                              message.slots)
        grant = router.lend(ask, self._clock.monotonic())
        if grant.count:
            self._lent[grant.loan_id] = grant.target
        return peers.LoanGrant(grant.loan_id, grant.count, message.length_ms)

    def handle_loan_return(self, peer: peers.Hello,
                           message: peers.LoanReturn) -> None:
        target = self._lent.pop(message.loan_id, None)
        if target is not None:
            self._gateway.router.take_back(
                routing.LoanReturn(message.loan_id, target))

    async def handle_status_query(
            self, peer: peers.Hello,
            message: peers.StatusQuery) -> peers.StatusAnswer:
        router = self._gateway.router
        if message.subject == LOAD_SUBJECT:
            now = self._clock.monotonic()
            delay = router.get_queue_delay(now)
            return peers.StatusAnswer({
                "free_slots": router.get_free_slots(now),
                "queue_ms": delay.total_seconds() * 1000,
            })
        return peers.StatusAnswer(await
                                  self._read_status(message.subject,
                                                    message.arguments))
