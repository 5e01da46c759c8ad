"""Tests of the choice of a peer to forward a request to."""

import datetime
import unittest

from gentianlead import errors
from gentianlead import routing
from gentianlead.routing.tests import seeded


def _make_status(name: str, delay_ms: float, free_slots: int,
                 queue_ms: float) -> routing.PeerStatus:
    return routing.PeerStatus(name, "other",
                              datetime.timedelta(milliseconds=delay_ms),
                              free_slots,
                              datetime.timedelta(milliseconds=queue_ms))


class ForwardingPolicyTest(unittest.TestCase):
    """Choice of a peer by its delays, free slots and recent failures."""

    def test_chosen_peer_has_shortest_delay(self) -> None:
        """Guards against the choice of a peer that makes a request slower.

        The peer with the shortest delay must be chosen. If a target of the own
        domain may serve the request, a peer without a free slot and one that
        saves too little time must not be chosen.
        """
        near, far = (0.5, 9, 0.0), (1.4, 9, 0.0)
        for case, own_queue_delay_s, peers, expected in (
            ("no own target", None, {
                "a": far,
                "b": near
            }, "b"),
            ("no queue delay", 0.0, {
                "a": near
            }, None),
            ("saving below the minimum", 0.005, {
                "a": near
            }, None),
            ("long queue delay", 0.1, {
                "a": far,
                "b": near
            }, "b"),
            ("peer is full", 0.1, {
                "a": (0.5, 0, 20.0)
            }, None),
            ("all peers full, no own target", None, {
                "a": (0.5, 0, 20.0),
                "b": (1.4, 0, 10.0)
            }, "b"),
            ("no peers", None, {}, None),
        ):
            policy = routing.ForwardingPolicy(seeded.SeededRandom())
            policy.set_peers(
                [_make_status(name, *values) for name, values in peers.items()])
            self.assertEqual(policy.choose_peer(own_queue_delay_s, 0.0),
                             expected, case)

    def test_peer_gets_no_more_than_its_free_slots(self) -> None:
        """Guards against more requests to a peer than its free slots.

        They are the free slots that it reported last.
        """
        policy = routing.ForwardingPolicy(seeded.SeededRandom())
        policy.set_peers([_make_status("a", 0.5, 3, 0.0)])
        chosen_peers = [policy.choose_peer(0.1, 0.0) for _ in range(5)]
        self.assertEqual(chosen_peers, ["a"] * 3 + [None] * 2)

    def test_failed_peer_is_paused(self) -> None:
        """Guards against forwarding to a peer within 1 s after its failure.

        A new status of the peer must not end the pause. After the pause the
        peer must be chosen again.
        """
        policy = routing.ForwardingPolicy(seeded.SeededRandom())
        policy.set_peers([_make_status("a", 0.5, 9, 0.0)])
        policy.record_failure(
            "a",
            routing.AttemptOutcome(errors.Verdict.MAY_HAVE_RUN, False,
                                   errors.ErrorCode.PEER_FAILED), 0.0)
        policy.set_peers([_make_status("a", 0.5, 9, 0.0)])
        self.assertEqual(
            (policy.choose_peer(None, 0.9), policy.choose_peer(None, 1.1)),
            (None, "a"))
