"""Outgoing connections to peers, by address."""

import asyncio
import datetime
from typing import Iterable

from gentianlead import errors
from gentianlead import ports
from gentianlead.peers import _handler
from gentianlead.peers import _link
from gentianlead.peers import _link_monitor
from gentianlead.peers import _messages
from gentianlead.peers import _traffic


class PeerPool:
    """Keeps a usable connection to each address of a set, and sends requests.

    Example:
        >>> pool = PeerPool(Hello("entry-1#ab", "north-1"), handler, clock,
        ...                 random_source)
        >>> pool.set_addresses(["10.0.0.2:7003"])
        >>> await pool.request("10.0.0.2:7003", StatusQuery("members"),
        ...                    timedelta(seconds=2))
    """

    def __init__(self,
                 own_hello: _messages.Hello,
                 handler: _handler.PeerHandler,
                 clock: ports.Clock,
                 random_source: ports.RandomSource,
                 on_event: _handler.EventCallback = lambda event: None,
                 settings: _handler.LinkSettings = _handler.LinkSettings(),
                 traffic: _traffic.LinkTraffic | None = None):
        self._own_hello = own_hello
        self._handler = handler
        self._clock = clock
        self._random_source = random_source
        self._on_event = on_event
        self._settings = settings
        self._traffic = traffic
        self._monitor = _link_monitor.LinkMonitor(clock, settings)
        self._dialers: dict[str, _Dialer] = {}

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Sets the addresses to stay connected to.

        It dials the addresses that are new and closes the connections to those
        that are no longer in the set.
        """
        wanted_addresses = set(addresses)
        for address in set(self._dialers) - wanted_addresses:
            self._dialers.pop(address).stop()
        for address in sorted(wanted_addresses - set(self._dialers)):
            dialer = _Dialer(address, self._build_link, self._clock,
                             self._random_source, self._settings,
                             self._on_event)
            self._dialers[address] = dialer
            dialer.start()

    def _build_link(self) -> _link.PeerLink:
        return _link.PeerLink(self._own_hello,
                              self._handler,
                              self._clock,
                              self._monitor,
                              self._settings,
                              self._on_event,
                              traffic=self._traffic)

    def count_open_links(self) -> int:
        """Returns the number of dialed connections that are open."""
        return sum(
            dialer.count_open_links() for dialer in self._dialers.values())

    def get_peers(self) -> dict[str, _messages.Hello]:
        """Returns the hellos of peers with a usable connection, by address."""
        return {
            address: dialer.link.peer
            for address, dialer in self._dialers.items()
            if dialer.link is not None and dialer.link.is_usable
        }

    def get_failed_addresses(self) -> frozenset[str]:
        """Returns the addresses that were dialed and have no usable connection.

        An address whose first dial has not ended is not among them.
        """
        return frozenset(address for address, dialer in self._dialers.items()
                         if dialer.has_dialed and
                         (dialer.link is None or not dialer.link.is_usable))

    def is_connected(self, address: str) -> bool:
        """Returns whether there is a usable connection to an address."""
        dialer = self._dialers.get(address)
        return (dialer is not None and dialer.link is not None and
                dialer.link.is_usable)

    def is_idle(self, address: str) -> bool:
        """Returns whether no request to or from an address is in progress."""
        dialer = self._dialers.get(address)
        return dialer is None or dialer.link is None or not (
            dialer.link.pending_request_count or
            dialer.link.incoming_request_count)

    async def request(self, address: str, message: _messages.Request,
                      timeout: datetime.timedelta) -> _messages.Reply:
        """Sends a request to a peer and waits for its reply.

        It fails at once if there is no usable connection, and never retries.

        Raises:
            RequestError: There is no usable connection, the peer refused the
                request, or no reply came in time; the verdict says whether the
                request may have run.
        """
        return await self._get_link(address).request(message, timeout)

    def notify(self, address: str, message: _messages.LoanReturn) -> bool:
        """Sends a message that gets no reply.

        Returns:
            False if there is no usable connection to the address.
        """
        try:
            self._get_link(address).notify(message)
        except errors.RequestError:
            return False
        return True

    def _get_link(self, address: str) -> _link.PeerLink:
        dialer = self._dialers.get(address)
        if dialer is None or dialer.link is None or not dialer.link.is_usable:
            raise errors.RequestError(errors.ErrorCode.PEER_FAILED,
                                      f"no usable connection to {address}")
        return dialer.link

    async def close(self) -> None:
        """Closes all connections and waits for their end."""
        dialers = list(self._dialers.values())
        self._dialers.clear()
        for dialer in dialers:
            dialer.stop()
        for dialer in dialers:
            await dialer.wait_stopped()


class _Dialer:
    """Keeps a connection to one address and replaces it when necessary.

    Attributes:
        link: The newest connection, or None before the first one.
        has_dialed: Whether the first dial has ended.
    """

    def __init__(self, address: str, build_link, clock: ports.Clock,
                 random_source: ports.RandomSource,
                 settings: _handler.LinkSettings,
                 on_event: _handler.EventCallback) -> None:
        self.link: _link.PeerLink | None = None
        self.has_dialed = False
        self._address = address
        self._build_link = build_link
        self._clock = clock
        self._random_source = random_source
        self._settings = settings
        self._on_event = on_event
        self._open_links: set[_link.PeerLink] = set()
        self._connect_task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the task that dials the address."""
        self._connect_task = asyncio.get_running_loop().create_task(
            self._keep_connected())

    def stop(self) -> None:
        """Stops dialing and starts to close all connections to the address."""
        self._connect_task.cancel()
        for link in self._open_links:
            link.close()

    async def wait_stopped(self) -> None:
        """Waits until the task and all connections have ended after `stop`."""
        await asyncio.wait([self._connect_task])
        for link in list(self._open_links):
            await link.wait_closed()

    def count_open_links(self) -> int:
        """Returns the number of connections to the address that are open."""
        return sum(not link.is_closed for link in self._open_links)

    async def _keep_connected(self) -> None:
        failed_dials = 0
        while True:
            dial_started_at = self._clock.monotonic()
            link = await self._dial()
            if link is not None:
                self._replace_link(link)
            self.has_dialed = True
            if link is not None:
                await link.replacement_needed.wait()
            # A connection that ends soon counts as a failure, so that there is
            # a delay before a peer that refuses every hello is dialed again.
            elapsed_seconds = self._clock.monotonic() - dial_started_at
            silence_limit_seconds = self._settings.silence_limit.total_seconds()
            if link is not None and elapsed_seconds >= silence_limit_seconds:
                failed_dials = 0
                continue
            failed_dials += 1
            await self._clock.sleep(self._choose_backoff(failed_dials))

    def _replace_link(self, link: _link.PeerLink) -> None:
        """Uses a new connection for all further requests.

        The old connection is closed once its requests have their replies.
        """
        old_link, self.link = self.link, link
        if old_link is not None:
            old_link.close_after_replies()

    def _choose_backoff(self, failed_dials: int) -> datetime.timedelta:
        """Returns the delay before the next dial.

        The delay is random, so that daemons do not dial at the same time.
        """
        max_delay = min(
            self._settings.max_backoff,
            self._settings.min_backoff * 2**min(failed_dials - 1, 16))
        return max_delay * self._random_source.random()

    async def _dial(self) -> _link.PeerLink | None:
        link = self._build_link()
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(
                    self._settings.dial_timeout.total_seconds()):
                await loop.create_connection(lambda: link, host, int(port))
                self._open_links = {
                    open_link for open_link in self._open_links
                    if not open_link.is_closed
                } | {link}
                await link.wait_ready()
            return link
        except (OSError, TimeoutError, ValueError,
                errors.GentianleadError) as error:
            self._on_event(
                _handler.PeerEvent(_handler.PeerEventKind.DIAL_FAILED,
                                   self._address, "", error))
            link.close()
            return None
