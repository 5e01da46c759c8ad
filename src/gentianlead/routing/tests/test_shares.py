"""Tests of the allocation and the loans of target slots."""

import datetime
import unittest

from gentianlead import routing
from gentianlead.routing.tests import seeded

_DURATIONS = routing.LoanDurations(
    duration=datetime.timedelta(seconds=8),
    max_attempt_timeout=datetime.timedelta(seconds=5),
    clock_margin=datetime.timedelta(seconds=2))
# Monotonic seconds, long after the daemons started at 0.0. Loans that their
# predecessors may have granted have expired by then.
_AFTER_STARTUP = 100.0


def _make_allocator(seat: int, seats: int = 2) -> routing.SlotAllocator:
    allocator = routing.SlotAllocator(seat, seats, 0.0, _DURATIONS)
    allocator.set_target("worker-1", 8, 64)
    return allocator


class SlotAllocatorTest(unittest.TestCase):
    """Shares of slots and connections, delayed release of slots, and loans."""

    def test_seat_shares_add_up_to_slots(self) -> None:
        """Checks that the shares of all seats add up to a target's slots.

        A seat is the number of a daemon in its domain. The shares of a target
        must also differ by at most one slot.
        """
        for seats in (1, 2, 3, 5, 9):
            for i in range(20):
                shares = [
                    routing.compute_seat_share(f"worker-{i}", 8, seat, seats)
                    for seat in range(seats)
                ]
                self.assertEqual(sum(shares), 8)
                self.assertLessEqual(max(shares) - min(shares), 1)

    def test_connections_are_divided_among_seats(self) -> None:
        """Checks that each daemon may open an equal part of the connections.

        The part is the connections of a target divided by the number of seats.
        It is rounded down, so that the daemons together never open more
        connections than the target permits.
        """
        for seats, expected in ((2, 32), (3, 21)):
            self.assertEqual(
                _make_allocator(0, seats).get_connection_limit("worker-1"),
                expected)

    def test_slot_stays_in_use_until_delayed_release(self) -> None:
        """Guards against a slot freed while its attempt may still run.

        The slot must stay in use until `occupied_until`.
        """
        allocator = _make_allocator(0)
        slot = allocator.acquire("worker-1", _AFTER_STARTUP, _AFTER_STARTUP + 5)
        allocator.release(slot,
                          _AFTER_STARTUP,
                          occupied_until=_AFTER_STARTUP + 4)
        allocator.process_expirations(_AFTER_STARTUP + 3.9)
        self.assertEqual(allocator.get_slots_in_use("worker-1"), 1)
        allocator.process_expirations(_AFTER_STARTUP + 4)
        self.assertEqual(allocator.get_slots_in_use("worker-1"), 0)

    def test_loan_expires_later_for_lender(self) -> None:
        """Guards against a slot used by lender and borrower at the same time.

        The borrower may use it for attempts that end within 8 s of its request.
        The lender may use it again 15 s after its grant.
        """
        lender, borrower = _make_allocator(0), _make_allocator(1)
        loan_request = routing.LoanRequest("loan-1", "worker-1", 3)
        borrower.record_loan_request(loan_request, _AFTER_STARTUP)
        grant = lender.lend(loan_request, _AFTER_STARTUP + 1.0)
        self.assertEqual(grant.slots, 1)
        borrower.apply_loan_grant(grant, _AFTER_STARTUP + 2.0)
        self.assertEqual(
            borrower.get_free_slots("worker-1", _AFTER_STARTUP + 2,
                                    _AFTER_STARTUP + 8), 5)
        self.assertEqual(
            borrower.get_free_slots("worker-1", _AFTER_STARTUP + 2,
                                    _AFTER_STARTUP + 8.1), 4)
        for elapsed_s, unlent_slots in ((15.9, 3), (16.1, 4)):
            lender.process_expirations(_AFTER_STARTUP + elapsed_s)
            self.assertEqual(
                lender.get_unlent_slots("worker-1", _AFTER_STARTUP + elapsed_s),
                unlent_slots)

    def test_returned_loan_frees_the_slot_once(self) -> None:
        """Guards against a slot freed twice when the return is repeated."""
        lender = _make_allocator(0)
        lender.lend(routing.LoanRequest("loan-1", "worker-1", 1),
                    _AFTER_STARTUP)
        for _ in range(2):
            lender.apply_loan_return(routing.LoanReturn("loan-1", "worker-1"))
            self.assertEqual(
                lender.get_unlent_slots("worker-1", _AFTER_STARTUP), 4)

    def test_late_grant_is_not_used(self) -> None:
        """Guards against use of a grant that arrives after the loan expired."""
        borrower = _make_allocator(1)
        borrower.record_loan_request(
            routing.LoanRequest("loan-1", "worker-1", 1), _AFTER_STARTUP)
        borrower.apply_loan_grant(routing.LoanGrant("loan-1", "worker-1", 1),
                                  _AFTER_STARTUP + 9)
        self.assertEqual(
            borrower.get_free_slots("worker-1", _AFTER_STARTUP + 9, 0.0), 4)

    def test_new_daemon_reserves_slots_for_old_loans(self) -> None:
        """Guards against use of slots that the predecessor may have lent.

        The predecessor is the daemon that ran on the same entry VM before. The
        new daemon must leave one slot unused until 15 s after its start.
        """
        allocator = _make_allocator(0)
        for elapsed_s, unlent_slots in ((14.9, 3), (15.1, 4)):
            self.assertEqual(allocator.get_unlent_slots("worker-1", elapsed_s),
                             unlent_slots)

    def test_attempts_never_exceed_slots(self) -> None:
        """Guards against more attempts at a target than it has slots.

        Three daemons acquire and release slots, request loans and return idle
        ones in random order; one grant in five is lost.
        """
        random_source = seeded.SeededRandom(7)
        allocators = [_make_allocator(seat, 3) for seat in range(3)]
        slot_uses_by_seat: list[list[tuple[float, routing.AcquiredSlot]]] = [[],
                                                                             [],
                                                                             []]
        now = _AFTER_STARTUP
        loan_request_count = 0
        for _ in range(20_000):
            now += 0.05 * random_source.random()
            seat_index = int(3 * random_source.random())
            allocator, action_selector = allocators[
                seat_index], random_source.random()
            allocator.process_expirations(now)
            for ended_use in [
                    slot_use for slot_use in slot_uses_by_seat[seat_index]
                    if slot_use[0] <= now
            ]:
                slot_uses_by_seat[seat_index].remove(ended_use)
                allocator.release(ended_use[1], now)
            if action_selector < 0.6:
                latest_end = now + 5 * random_source.random()
                slot = allocator.acquire("worker-1", now, latest_end)
                if slot is not None:
                    slot_uses_by_seat[seat_index].append((latest_end, slot))
            elif action_selector < 0.8:
                loan_request_count += 1
                loan_request = routing.LoanRequest(f"loan-{loan_request_count}",
                                                   "worker-1", 2)
                allocator.record_loan_request(loan_request, now)
                grant = allocators[seat_index - 1].lend(loan_request, now)
                # One grant in five is not applied, as if it were lost.
                if random_source.random() < 0.8:
                    allocator.apply_loan_grant(grant, now)
            else:
                idle_time = datetime.timedelta(seconds=1)
                for loan_return in allocator.end_idle_loans(now, idle_time):
                    allocators[seat_index - 1].apply_loan_return(loan_return)
            slots_in_use = sum(1 for slot_uses in slot_uses_by_seat
                               for latest_end, _ in slot_uses
                               if latest_end > now)
            self.assertLessEqual(slots_in_use, 8)
        self.assertGreater(loan_request_count, 0)
