"""Choice of a peer daemon in another domain to forward a request to."""

import datetime
from typing import Collection, NamedTuple

from gentianlead import errors
from gentianlead import ports
from gentianlead.routing import _messages


class PeerStatus(NamedTuple):
    """Load of a peer daemon in another domain, as it last reported.

    Attributes:
        address: Address of the peer, which also identifies it.
        domain: Failure domain of the peer.
        one_way_delay: Network delay from this daemon to the peer.
        free_slots: Number of forwarded requests that the peer could start at
            once.
        queue_delay: Expected time that a new request waits at the peer for a
            slot.
    """

    address: str
    domain: str
    one_way_delay: datetime.timedelta
    free_slots: int
    queue_delay: datetime.timedelta = datetime.timedelta(0)


class ForwardingSettings(NamedTuple):
    """Settings for the forwarding of requests to peers.

    Attributes:
        is_enabled: Whether requests are forwarded at all.
        min_delay_saving: Time by which the queue delay of this daemon must
            exceed the network delay there and back plus the queue delay of the
            peer. It prevents forwarding for every small difference in load.
        failure_pause: Time for which no requests are forwarded to a peer after
            an attempt there failed and may have run.
    """

    is_enabled: bool = True
    min_delay_saving: datetime.timedelta = datetime.timedelta(milliseconds=5)
    failure_pause: datetime.timedelta = datetime.timedelta(seconds=1)


class _PeerState:
    """Last status of a peer, its free slots left and its pause if it failed.

    Attributes:
        status: Status that the peer reported last.
        remaining_free_slots: Free slots in that status minus the requests
            forwarded since then; below 0 if there were more requests. A request
            that did not run at the peer sets it to 0.
        paused_until: Monotonic seconds until which no request is forwarded to
            the peer because an attempt there failed and may have run.
    """

    def __init__(self, status: PeerStatus):
        self.status = status
        self.remaining_free_slots = status.free_slots
        self.paused_until = float("-inf")


class ForwardingPolicy:
    """Chooses the peer that a request is forwarded to, if any.

    Among the peers that may be chosen, it prefers the shortest sum of network
    and queue delay. The free slots of a peer are known from its last status
    only. Each forwarded request therefore lowers their number until the next
    status arrives. A peer without free slots is chosen only for requests that
    cannot be served in the own domain or while the own domain is failing.
    """

    def __init__(self,
                 random: ports.RandomSource,
                 settings: ForwardingSettings = ForwardingSettings()):
        self._random = random
        self._settings = settings
        self._min_delay_saving_s = settings.min_delay_saving.total_seconds()
        self._failure_pause_s = settings.failure_pause.total_seconds()
        self._peer_states: dict[str, _PeerState] = {}

    def set_peers(self, statuses: Collection[PeerStatus]) -> None:
        """Replaces the list of peers and their statuses.

        A peer that is listed again keeps its pause after a failure.
        """
        previous_states = self._peer_states
        self._peer_states = {
            status.address: _PeerState(status) for status in statuses
        }
        for address, peer_state in self._peer_states.items():
            if address in previous_states:
                peer_state.paused_until = previous_states[address].paused_until

    def has_available_peer(self, now: float) -> bool:
        """Returns whether forwarding is enabled and any peer is not paused."""
        return self._settings.is_enabled and any(
            peer_state.paused_until <= now
            for peer_state in self._peer_states.values())

    def get_one_way_delay_s(self, peer: str) -> float:
        """Returns the network delay to a peer in seconds; 0 if not known."""
        peer_state = self._peer_states.get(peer)
        return (peer_state.status.one_way_delay.total_seconds()
                if peer_state else 0.0)

    def choose_peer(self, own_queue_delay_s: float | None,
                    now: float) -> str | None:
        """Chooses a peer to forward a request to.

        Args:
            own_queue_delay_s: Expected seconds that the request would wait in
                the queue of this daemon. None if no target of the own domain
                may serve it or the own domain is failing; then any peer that is
                not paused may be chosen, even without free slots or a saving of
                time.
            now: Monotonic seconds.

        Returns:
            The address of the peer. None if forwarding is disabled or no peer
            may be chosen: each is paused or, with a known `own_queue_delay_s`,
            has no free slot or would not save enough time.
        """
        if not self._settings.is_enabled:
            return None
        eligible_peers = [
            peer_state for peer_state in self._peer_states.values()
            if self._is_eligible(peer_state, own_queue_delay_s, now)
        ]
        if not eligible_peers:
            return None
        if own_queue_delay_s is None and len(eligible_peers) > 2:
            # All daemons have the same outdated statuses. If each chose the
            # peer with the shortest delay, all would forward to the same one
            # until the next status. Each therefore chooses among two random
            # peers only.
            eligible_peers = self._random.sample(eligible_peers, 2)
        chosen_peer = min(eligible_peers,
                          key=lambda peer:
                          (self._estimate_forwarding_delay_s(peer), -peer.
                           remaining_free_slots, self._random.random()))
        chosen_peer.remaining_free_slots -= 1
        return chosen_peer.status.address

    def _is_eligible(self, peer_state: _PeerState,
                     own_queue_delay_s: float | None, now: float) -> bool:
        if peer_state.paused_until > now:
            return False
        if own_queue_delay_s is None:
            return True
        return (peer_state.remaining_free_slots > 0 and
                self._estimate_forwarding_delay_s(peer_state) +
                self._min_delay_saving_s < own_queue_delay_s)

    def _estimate_forwarding_delay_s(self, peer_state: _PeerState) -> float:
        """Returns the expected delay of a request by forwarding, in seconds.

        It is the network delay there and back, the queue delay that the peer
        reported, and 5 ms for each request that was forwarded beyond the free
        slots in its last status, because those requests wait in its queue.
        """
        excess_requests = max(0, -peer_state.remaining_free_slots)
        return (2.0 * peer_state.status.one_way_delay.total_seconds() +
                peer_state.status.queue_delay.total_seconds() +
                excess_requests * _DELAY_PER_QUEUED_REQUEST_S)

    def record_failure(self, peer: str, outcome: _messages.AttemptOutcome,
                       now: float) -> None:
        """Limits forwarding to a peer after a failed attempt there.

        If the request did not run, the peer counts as having no free slots
        until its next status. After any other failure nothing is forwarded to
        the peer for `ForwardingSettings.failure_pause`.
        """
        peer_state = self._peer_states.get(peer)
        if peer_state is None:
            return
        if outcome.verdict is errors.Verdict.DID_NOT_RUN:
            peer_state.remaining_free_slots = 0
        else:
            peer_state.paused_until = now + self._failure_pause_s


_DELAY_PER_QUEUED_REQUEST_S = 0.005
