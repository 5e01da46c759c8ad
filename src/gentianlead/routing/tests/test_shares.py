"""Tests of the books of slots."""

import datetime
import unittest

from gentianlead import routing
from gentianlead.routing.tests import seeded

_TERMS = routing.LoanTerms(length=datetime.timedelta(seconds=8),
                           longest_request=datetime.timedelta(seconds=5),
                           margin=datetime.timedelta(seconds=2))
_LATER = 100.0


def _make_shares(seat: int, seats: int = 2) -> routing.SlotShares:
    shares = routing.SlotShares(seat, seats, 0.0, _TERMS)
    shares.put_target("worker-1", 8, 64)
    return shares


class SlotSharesTest(unittest.TestCase):
    """Shares and loans of slots."""

    def test_base_shares_add_up(self) -> None:
        """Guards against a target that gets more work than it has slots."""
        for seats in (1, 2, 3, 5, 9):
            for i in range(20):
                shares = [
                    routing.compute_base_share(f"worker-{i}", 8, seat, seats)
                    for seat in range(seats)
                ]
                self.assertEqual(sum(shares), 8)
                self.assertLessEqual(max(shares) - min(shares), 1)

    def test_connections_are_divided(self) -> None:
        """Guards against more connections than a target accepts."""
        for seats, expected in ((2, 32), (3, 21)):
            self.assertEqual(
                _make_shares(0, seats).get_connections("worker-1"), expected)

    def test_held_slot_stays_in_use(self) -> None:
        """Guards against a slot that is used while its request still runs."""
        shares = _make_shares(0)
        ticket = shares.acquire("worker-1", _LATER, _LATER + 5)
        shares.release(ticket, _LATER, hold_until=_LATER + 4)
        shares.expire(_LATER + 3.9)
        self.assertEqual(shares.get_in_use("worker-1"), 1)
        shares.expire(_LATER + 4)
        self.assertEqual(shares.get_in_use("worker-1"), 0)

    def test_loan_ends_later_for_the_lender(self) -> None:
        """Guards against a slot that lender and borrower use at once."""
        lender, borrower = _make_shares(0), _make_shares(1)
        ask = routing.LoanRequest("loan-1", "worker-1", 3)
        borrower.note_ask(ask, _LATER)
        grant = lender.lend(ask, _LATER + 1.0)
        self.assertEqual(grant.count, 1)
        borrower.note_grant(grant, _LATER + 2.0)
        self.assertEqual(borrower.get_free("worker-1", _LATER + 2, _LATER + 8),
                         5)
        self.assertEqual(
            borrower.get_free("worker-1", _LATER + 2, _LATER + 8.1), 4)
        for time, own in ((15.9, 3), (16.1, 4)):
            lender.expire(_LATER + time)
            self.assertEqual(lender.get_own_share("worker-1", _LATER + time),
                             own)

    def test_returned_loan_frees_the_slot_once(self) -> None:
        """Guards against a repeated return that frees two slots."""
        lender = _make_shares(0)
        lender.lend(routing.LoanRequest("loan-1", "worker-1", 1), _LATER)
        for _ in range(2):
            lender.take_back(routing.LoanReturn("loan-1", "worker-1"))
            self.assertEqual(lender.get_own_share("worker-1", _LATER), 4)

    def test_late_grant_is_not_used(self) -> None:
        """Guards against work on a loan that the lender has ended."""
        borrower = _make_shares(1)
        borrower.note_ask(routing.LoanRequest("loan-1", "worker-1", 1), _LATER)
        borrower.note_grant(routing.LoanGrant("loan-1", "worker-1", 1),
                            _LATER + 9)
        self.assertEqual(borrower.get_free("worker-1", _LATER + 9, 0.0), 4)

    def test_new_daemon_holds_back_what_may_be_lent(self) -> None:
        """Guards against loans of the daemon that had the seat before."""
        shares = _make_shares(0)
        for time, own in ((14.9, 3), (15.1, 4)):
            self.assertEqual(shares.get_own_share("worker-1", time), own)

    def test_random_use_never_overruns(self) -> None:
        """Guards against any order of events that overruns the slots."""
        source = seeded.SeededRandom(7)
        seats = [_make_shares(seat, 3) for seat in range(3)]
        tickets: list[list[tuple[float, routing.SlotTicket]]] = [[], [], []]
        now = _LATER
        loans = 0
        for _ in range(20_000):
            now += 0.05 * source.random()
            index = int(3 * source.random())
            shares, action = seats[index], source.random()
            shares.expire(now)
            for ticket in [t for t in tickets[index] if t[0] <= now]:
                tickets[index].remove(ticket)
                shares.release(ticket[1], now)
            if action < 0.6:
                ends_by = now + 5 * source.random()
                ticket = shares.acquire("worker-1", now, ends_by)
                if ticket is not None:
                    tickets[index].append((ends_by, ticket))
            elif action < 0.8:
                loans += 1
                ask = routing.LoanRequest(f"loan-{loans}", "worker-1", 2)
                shares.note_ask(ask, now)
                grant = seats[index - 1].lend(ask, now)
                # One grant in five is lost.
                if source.random() < 0.8:
                    shares.note_grant(grant, now)
            else:
                idle = datetime.timedelta(seconds=1)
                for message in shares.collect_returns(now, idle):
                    seats[index - 1].take_back(message)
            running = sum(
                1 for held in tickets for ends_by, _ in held if ends_by > now)
            self.assertLessEqual(running, 8)
        self.assertGreater(loans, 0)
