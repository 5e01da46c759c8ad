"""Decision whether to forward a request to a daemon of another domain."""

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
        one_way_delay: Network delay to the peer.
        free_slots: Number of free slots.
        queue_delay: Time that a new request waits in the queue of the peer.
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
        min_delay_saving: Forwarding must save at least this much waiting time after
            the network delay there and back. It prevents forwarding for every
            small difference in load.
        failure_pause: Time for which no requests are forwarded to a peer that
            failed.
    """

    is_enabled: bool = True
    min_delay_saving: datetime.timedelta = datetime.timedelta(milliseconds=5)
    failure_pause: datetime.timedelta = datetime.timedelta(seconds=1)


class _PeerState:
    """Last status of a peer, updated for requests forwarded since then."""

    def __init__(self, status: PeerStatus):
        self.status = status
        self.free_slots = status.free_slots
        self.paused_until = float("-inf")


class ForwardingPolicy:
    """Chooses the peer that a request is forwarded to, if any.

    The peer with the shortest delay in network and queue is chosen. The free
    slots of a peer are known from its last status only. Each forwarded request
    therefore lowers that number until the next status arrives, so that a peer
    does not get more requests than it has free slots.
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
        """Replaces the peers; a pause after a failure stays in force."""
        previous_states = self._peer_states
        self._peer_states = {
            status.address: _PeerState(status) for status in statuses
        }
        for address, peer_state in self._peer_states.items():
            if address in previous_states:
                peer_state.paused_until = previous_states[address].paused_until

    def has_available_peer(self, now: float) -> bool:
        """Returns whether requests may be forwarded to any peer now."""
        return self._settings.is_enabled and any(
            peer_state.paused_until <= now
            for peer_state in self._peer_states.values())

    def get_one_way_delay_s(self, peer: str) -> float:
        """Returns the network delay to a peer in seconds, 0 if unknown."""
        peer_state = self._peer_states.get(peer)
        return (peer_state.status.one_way_delay.total_seconds()
                if peer_state else 0.0)

    def choose(self, own_queue_delay_s: float | None, now: float) -> str | None:
        """Returns the peer to forward a request to, or None to keep it.

        Args:
            own_queue_delay_s: Seconds that the request would wait in the queue of
                this daemon; None when the own domain has no usable target.
            now: Monotonic seconds.
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
            # All daemons have the same outdated statuses. If each took the best
            # peer, all would forward to the same one until the next status, so
            # each picks the better one of two random peers.
            eligible_peers = self._random.sample(eligible_peers, 2)
        chosen_peer = min(eligible_peers,
                          key=lambda peer:
                          (self._estimate_total_delay_s(peer), -peer.free_slots,
                           self._random.random()))
        chosen_peer.free_slots -= 1
        return chosen_peer.status.address

    def _is_eligible(self, peer_state: _PeerState,
                     own_queue_delay_s: float | None, now: float) -> bool:
        if peer_state.paused_until > now:
            return False
        if own_queue_delay_s is None:
            return True
        return (peer_state.free_slots > 0 and
                self._estimate_total_delay_s(peer_state) +
                self._min_delay_saving_s < own_queue_delay_s)

    def _estimate_total_delay_s(self, peer_state: _PeerState) -> float:
        """Returns the delay of network and queue for a request, in seconds.

        Requests that were forwarded to a peer beyond its free slots since its
        last status are expected to wait in its queue.
        """
        excess_requests = max(0, -peer_state.free_slots)
        return (2.0 * peer_state.status.one_way_delay.total_seconds() +
                peer_state.status.queue_delay.total_seconds() +
                excess_requests * _DELAY_PER_QUEUED_REQUEST_S)

    def record_failure(self, peer: str, outcome: _messages.AttemptOutcome,
                       now: float) -> None:
        """Stops forwarding to a peer after a failed attempt.

        A peer that refused the request before it ran has no free slots until
        its next status. After any other failure nothing is forwarded to the
        peer for a fixed pause.
        """
        peer_state = self._peer_states.get(peer)
        if peer_state is None:
            return
        if outcome.verdict is errors.Verdict.DID_NOT_RUN:
            peer_state.free_slots = 0
        else:
            peer_state.paused_until = now + self._failure_pause_s


_DELAY_PER_QUEUED_REQUEST_S = 0.005
