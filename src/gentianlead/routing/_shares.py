"""Slots of targets that one seat of a domain may use, with loans.

A target has a fixed number of slots for all entry VMs of its domain. Each seat
uses its own share and what it has borrowed, so that the sum over all seats
never exceeds the slots, whichever daemons are paused or cut off.
"""

import datetime
import heapq
from typing import NamedTuple

import xxhash

LOAN_LENGTH = datetime.timedelta(seconds=8)
LONGEST_REQUEST = datetime.timedelta(seconds=5)
LOAN_MARGIN = datetime.timedelta(seconds=2)


class LoanRequest(NamedTuple):
    """A borrower asks a peer of its domain for slots.

    Attributes:
        loan_id: Identity of the loan, unique across daemons.
        target: Name of the target.
        count: Slots wanted.
    """

    loan_id: str
    target: str
    count: int


class LoanGrant(NamedTuple):
    """Answer of a lender.

    Attributes:
        loan_id: Identity from the ask.
        target: Name of the target.
        count: Slots lent; 0 when none are free.
    """

    loan_id: str
    target: str
    count: int


class LoanReturn(NamedTuple):
    """A borrower no longer uses a loan.

    Attributes:
        loan_id: Identity of the loan.
        target: Name of the target.
    """

    loan_id: str
    target: str


class SlotTicket(NamedTuple):
    """Permission to use one slot.

    Attributes:
        target: Name of the target.
        loan_id: Loan that the slot belongs to; empty for the own share.
    """

    target: str
    loan_id: str = ""


class LoanTerms(NamedTuple):
    """Durations that lender and borrower agree on.

    Attributes:
        length: Time for which a borrower may use a loan, from before its ask.
        longest_request: Longest timeout of an attempt of any service.
        margin: Allowance for differences between the clocks of two daemons.
    """

    length: datetime.timedelta = LOAN_LENGTH
    longest_request: datetime.timedelta = LONGEST_REQUEST
    margin: datetime.timedelta = LOAN_MARGIN

    @property
    def lender_length(self) -> datetime.timedelta:
        """Time after which a loan has certainly ended, from its sending."""
        return self.length + self.longest_request + self.margin


class _Borrowed:
    """One loan in the borrower's book."""

    def __init__(self, target: str, asked_at: float, ends_at: float):
        self.target = target
        self.asked_at = asked_at
        self.ends_at = ends_at
        self.count = 0
        self.in_use = 0
        self.used_at = asked_at


class _TargetShare:
    """Books of one target."""

    def __init__(self) -> None:
        self.base = 0
        self.connections = 0
        self.in_use = 0
        self.lent: dict[str, tuple[int, float]] = {}
        self.lent_count = 0
        self.borrowed: dict[str, _Borrowed] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no slot is used, lent or borrowed."""
        return not (self.in_use or self.lent or self.borrowed)


def compute_base_share(target: str, slots: int, seat: int, seats: int) -> int:
    """Returns the slots of a target that belong to one seat.

    The remainder of slots // seats goes to the seats with the highest
    rendezvous hashes, so that the remainders of many targets spread evenly.

    Args:
        target: Name of the target.
        slots: Slots of the target.
        seat: Number of the seat, from 0.
        seats: Number of seats of the domain.
    """
    base, remainder = divmod(slots, seats)
    if not remainder:
        return base
    ranked = sorted(
        range(seats),
        key=lambda other: xxhash.xxh64_intdigest(f"{target}\0{other}".encode()),
        reverse=True)
    return base + (1 if seat in ranked[:remainder] else 0)


class SlotShares:
    """Counts the slots that this daemon uses, lends and borrows.

    A daemon that replaced another on its seat does not know the loans of its
    predecessor. It therefore holds back as many slots as a seat may lend
    until such loans have certainly ended.
    """

    def __init__(self,
                 seat: int,
                 seats: int,
                 now: float,
                 terms: LoanTerms = LoanTerms()):
        """Creates the books of a daemon that starts now.

        Args:
            seat: The daemon's seat, from 0.
            seats: Number of seats of the domain.
            now: Monotonic seconds.
            terms: Durations of loans.

        Raises:
            ValueError: The seat is not one of the seats.
        """
        if not 0 <= seat < seats:
            raise ValueError(f"seat {seat} is not in 0..{seats - 1}")
        self._seat = seat
        self._seats = seats
        self._terms = terms
        self._length = terms.length.total_seconds()
        self._lender_length = terms.lender_length.total_seconds()
        self._holds_back_until = (now +
                                  self._lender_length if seats > 1 else now)
        self._shares: dict[str, _TargetShare] = {}
        self._held: list[tuple[float, SlotTicket]] = []
        self._scanned_at = now

    def put_target(self, target: str, slots: int, connections: int) -> None:
        """Adds a target or changes its size."""
        share = self._shares.setdefault(target, _TargetShare())
        share.base = compute_base_share(target, slots, self._seat, self._seats)
        share.connections = connections // self._seats

    def remove_target(self, target: str) -> None:
        """Removes a target; its used and lent slots stay counted."""
        share = self._shares.get(target)
        if share is None:
            return
        share.base = 0
        share.connections = 0
        if share.is_empty:
            del self._shares[target]

    def get_connections(self, target: str) -> int:
        """Returns the connections, idle ones included, that may be open."""
        share = self._shares.get(target)
        return share.connections if share else 0

    def get_in_use(self, target: str) -> int:
        """Returns the slots in use, own and borrowed."""
        share = self._shares.get(target)
        if share is None:
            return 0
        return share.in_use + sum(
            loan.in_use for loan in share.borrowed.values())

    def get_own_share(self, target: str, now: float) -> int:
        """Returns the slots of the own share that are not lent."""
        share = self._shares.get(target)
        return self._get_own(share, now) if share else 0

    def get_free(self, target: str, now: float, ends_by: float) -> int:
        """Returns the slots that a request ending by `ends_by` may take."""
        share = self._shares.get(target)
        if share is None:
            return 0
        own = share.base - share.lent_count
        if now < self._holds_back_until:
            own -= _get_most_lent(share.base)
        free = own - share.in_use if own > share.in_use else 0
        if share.borrowed:
            free += sum(loan.count - loan.in_use
                        for loan in share.borrowed.values()
                        if loan.ends_at >= ends_by)
        return free

    def acquire(self, target: str, now: float,
                ends_by: float) -> SlotTicket | None:
        """Takes a slot, of the own share if possible.

        Args:
            target: Name of the target.
            now: Monotonic seconds.
            ends_by: Monotonic seconds at which the request ends at the latest.

        Returns:
            The ticket to release, or None when no slot is free.
        """
        share = self._shares.get(target)
        if share is None:
            return None
        if share.in_use < self._get_own(share, now):
            share.in_use += 1
            return SlotTicket(target)
        for loan_id, loan in share.borrowed.items():
            if loan.in_use < loan.count and loan.ends_at >= ends_by:
                loan.in_use += 1
                loan.used_at = now
                return SlotTicket(target, loan_id)
        return None

    def release(self,
                ticket: SlotTicket,
                now: float,
                hold_until: float | None = None) -> None:
        """Gives a slot back.

        Args:
            ticket: Ticket of the slot.
            now: Monotonic seconds.
            hold_until: Monotonic seconds until which the target may still run
                the request; the slot stays in use until then.
        """
        if hold_until is not None and hold_until > now:
            heapq.heappush(self._held, (hold_until, ticket))
            return
        share = self._shares[ticket.target]
        if not ticket.loan_id:
            share.in_use -= 1
        else:
            loan = share.borrowed[ticket.loan_id]
            loan.in_use -= 1
            loan.used_at = now

    def expire(self, now: float) -> None:
        """Frees held slots and ends loans whose time has passed.

        Loans are looked at every 50 ms to save time. A loan that ends late in
        a book is safe: `acquire` looks at the end of each loan by itself.
        """
        while self._held and self._held[0][0] <= now:
            self.release(heapq.heappop(self._held)[1], now)
        if now < self._scanned_at + _SCAN_INTERVAL_S:
            return
        self._scanned_at = now
        for target, share in list(self._shares.items()):
            if share.base and not share.lent and not share.borrowed:
                continue
            for loan_id, (count, ends_at) in list(share.lent.items()):
                if ends_at <= now:
                    del share.lent[loan_id]
                    share.lent_count -= count
            for loan_id, loan in list(share.borrowed.items()):
                if loan.ends_at <= now and not loan.in_use:
                    del share.borrowed[loan_id]
            if not share.base and share.is_empty:
                del self._shares[target]

    def get_next_release(self) -> float | None:
        """Returns when the next held slot becomes free."""
        return self._held[0][0] if self._held else None

    def lend(self, ask: LoanRequest, now: float, reserve: int = 0) -> LoanGrant:
        """Lends free slots to a peer; called when the grant is sent.

        Args:
            ask: The peer's ask.
            now: Monotonic seconds.
            reserve: Free slots to keep.
        """
        share = self._shares.get(ask.target)
        if share is None or ask.loan_id in share.lent:
            return LoanGrant(ask.loan_id, ask.target, 0)
        free = self._get_own(share, now) - share.in_use - reserve
        lendable = _get_most_lent(share.base) - share.lent_count
        if now < self._holds_back_until:
            lendable = 0
        count = max(0, min(ask.count, free, lendable))
        if count:
            share.lent[ask.loan_id] = (count, now + self._lender_length)
            share.lent_count += count
        return LoanGrant(ask.loan_id, ask.target, count)

    def take_back(self, message: LoanReturn) -> None:
        """Ends a loan that the borrower returned; unknown loans are ignored."""
        share = self._shares.get(message.target)
        if share is not None and message.loan_id in share.lent:
            share.lent_count -= share.lent.pop(message.loan_id)[0]

    def note_ask(self, ask: LoanRequest, now: float) -> None:
        """Enters a loan; called before the ask is sent."""
        share = self._shares.get(ask.target)
        if share is not None:
            share.borrowed[ask.loan_id] = _Borrowed(ask.target, now,
                                                    now + self._length)

    def note_grant(self, grant: LoanGrant, now: float) -> None:
        """Enters the slots of a grant; late and repeated grants add none."""
        share = self._shares.get(grant.target)
        loan = share.borrowed.get(grant.loan_id) if share else None
        if loan is None or loan.ends_at <= now:
            return
        if not grant.count and not loan.in_use:
            del share.borrowed[grant.loan_id]
        else:
            loan.count = grant.count
            loan.used_at = now

    def get_borrowed(self, target: str) -> int:
        """Returns the slots borrowed of a target."""
        share = self._shares.get(target)
        if share is None or not share.borrowed:
            return 0
        return sum(loan.count for loan in share.borrowed.values())

    def has_asked(self, target: str) -> bool:
        """Returns whether slots of a target are borrowed or asked for."""
        share = self._shares.get(target)
        return share is not None and bool(share.borrowed)

    def collect_returns(self, now: float,
                        idle: datetime.timedelta) -> list[LoanReturn]:
        """Ends loans without use for `idle` and returns what to send."""
        returns = []
        for target, share in self._shares.items():
            for loan_id, loan in list(share.borrowed.items()):
                is_idle = now - loan.used_at >= idle.total_seconds()
                if loan.count and not loan.in_use and is_idle:
                    del share.borrowed[loan_id]
                    returns.append(LoanReturn(loan_id, target))
        return returns

    def _get_own(self, share: _TargetShare, now: float) -> int:
        lent = share.lent_count
        if now < self._holds_back_until:
            lent += _get_most_lent(share.base)
        return max(0, share.base - lent)


def _get_most_lent(base: int) -> int:
    """Returns the most slots of a share that may be lent at a time.

    The limit is low because a daemon holds this number back after each start.
    """
    return min(_MOST_LENT, base // 2)


_MOST_LENT = 1
_SCAN_INTERVAL_S = 0.05
