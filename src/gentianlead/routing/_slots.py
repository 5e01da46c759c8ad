"""Allocation of target slots to the attempts of one daemon, with slot loans.

A slot is the right to run one attempt at a target at a time. The entry VMs of a
domain are numbered from 0; one daemon at a time runs on each. The number of the
VM is the seat of its daemon. The slots of a target are divided among the seats.
Each daemon uses the share of its seat, minus the slots that it has lent, plus
the slots that it has borrowed from other daemons of the domain. The slots in
use therefore never exceed the slots of the target, even while daemons are
paused or cut off from the network.
"""

import datetime
import heapq
from typing import NamedTuple

import xxhash

LOAN_DURATION = datetime.timedelta(seconds=8)
MAX_ATTEMPT_TIMEOUT = datetime.timedelta(seconds=5)
CLOCK_MARGIN = datetime.timedelta(seconds=2)


class LoanRequest(NamedTuple):
    """Request to borrow slots of a target from a daemon of the same domain.

    Attributes:
        loan_id: Identifier of the loan, unique across daemons.
        target: Name of the target.
        slots: Largest number of slots to borrow.
    """

    loan_id: str
    target: str
    slots: int


class LoanGrant(NamedTuple):
    """Reply of the lender to a `LoanRequest`.

    Attributes:
        loan_id: Identifier of the loan, copied from the request.
        target: Name of the target.
        slots: Number of slots lent; 0 if the lender refuses.
    """

    loan_id: str
    target: str
    slots: int


class LoanReturn(NamedTuple):
    """Notice to the lender that the borrower no longer uses a loan.

    Attributes:
        loan_id: Identifier of the loan.
        target: Name of the target.
    """

    loan_id: str
    target: str


class AcquiredSlot(NamedTuple):
    """A slot that an attempt occupies until the slot is released.

    Attributes:
        target: Name of the target.
        loan_id: Identifier of the loan by which the slot was borrowed; empty
            for a slot of the daemon's own share.
    """

    target: str
    loan_id: str = ""


class LoanDurations(NamedTuple):
    """Durations that determine when a loan expires.

    The lender lets it expire later than the borrower, so that they never use a
    slot at the same time. Both daemons must use the same values.

    Attributes:
        duration: Time for which the borrower may use a loan, counted from
            before it sends its request.
        max_attempt_timeout: Longest attempt timeout of any service.
        clock_margin: Additional time for the lender, because the clocks of the
            two daemons may run at different rates.
    """

    duration: datetime.timedelta = LOAN_DURATION
    max_attempt_timeout: datetime.timedelta = MAX_ATTEMPT_TIMEOUT
    clock_margin: datetime.timedelta = CLOCK_MARGIN

    @property
    def lender_reservation_duration(self) -> datetime.timedelta:
        """Time after the grant for which the lender must not use the slots."""
        return self.duration + self.max_attempt_timeout + self.clock_margin


class _BorrowedLoan:
    """A loan of slots that this daemon has requested or received.

    Attributes:
        target: Name of the target.
        requested_at: Monotonic seconds before the request was sent.
        expires_at: Monotonic seconds by which attempts that use its slots must
            end.
        granted_slots: Number of slots lent; 0 until the grant arrives.
        slots_in_use: Number of these slots that attempts occupy.
        last_used_at: Monotonic seconds of the last acquisition or release of
            one of its slots, or of the grant; before the grant, `requested_at`.
    """

    def __init__(self, target: str, requested_at: float, expires_at: float):
        self.target = target
        self.requested_at = requested_at
        self.expires_at = expires_at
        self.granted_slots = 0
        self.slots_in_use = 0
        self.last_used_at = requested_at


class _SlotUsage:
    """Slots of one target that this daemon owns, uses, lends and borrows.

    Attributes:
        seat_share: Number of slots that belong to the seat of this daemon.
        connection_limit: Number of connections that the daemon may have open.
        own_slots_in_use: Number of slots of the share that attempts occupy.
        granted_loans: Number of slots and expiry time in monotonic seconds of
            each loan to another daemon, by loan identifier.
        lent_slots: Sum of the slots of these loans.
        borrowed_loans: Requested and received loans, by loan identifier.
    """

    def __init__(self) -> None:
        self.seat_share = 0
        self.connection_limit = 0
        self.own_slots_in_use = 0
        self.granted_loans: dict[str, tuple[int, float]] = {}
        self.lent_slots = 0
        self.borrowed_loans: dict[str, _BorrowedLoan] = {}

    @property
    def is_unused(self) -> bool:
        """Whether no own slot is in use and no loan is listed."""
        return not (self.own_slots_in_use or self.granted_loans or
                    self.borrowed_loans)


def compute_seat_share(target: str, slots: int, seat: int, seats: int) -> int:
    """Returns how many slots of a target belong to the seat of an entry VM.

    Each seat gets `slots` // `seats`. The slots that remain go, one each, to
    the seats with the highest rendezvous hashes of target and seat, so that the
    remaining slots of many targets spread evenly.

    Args:
        target: Name of the target.
        slots: Total slots of the target.
        seat: Number of the entry VM in its domain, from 0.
        seats: Number of entry VMs of the domain.
    """
    base_share, remainder = divmod(slots, seats)
    if not remainder:
        return base_share
    ranked_seats = sorted(range(seats),
                          key=lambda other_seat: xxhash.xxh64_intdigest(
                              f"{target}\0{other_seat}".encode()),
                          reverse=True)
    return base_share + (1 if seat in ranked_seats[:remainder] else 0)


class SlotAllocator:
    """Allocates the slots of targets to attempts, and lends and borrows slots.

    A daemon that replaced another one on the same entry VM does not know the
    loans that its predecessor granted. Until all of those must have expired, it
    lends nothing. It also leaves one slot of its share of each target unused,
    or none if the share has fewer than 2 slots, because that is how many its
    predecessor may have lent.
    """

    def __init__(self,
                 seat: int,
                 seats: int,
                 now: float,
                 durations: LoanDurations = LoanDurations()):
        """Creates an allocator without targets for a daemon that starts now.

        Args:
            seat: Number of the daemon's entry VM in its domain, from 0.
            seats: Number of entry VMs of the domain. With only one, there are
                no loans of a predecessor.
            now: Monotonic seconds.
            durations: Durations that determine when a loan expires.

        Raises:
            ValueError: `seat` is not in the range 0 to `seats` - 1.
        """
        if not 0 <= seat < seats:
            raise ValueError(f"seat {seat} is not in 0..{seats - 1}")
        self._seat = seat
        self._seats = seats
        self._durations = durations
        self._borrower_duration_s = durations.duration.total_seconds()
        self._lender_reservation_s = (
            durations.lender_reservation_duration.total_seconds())
        self._predecessor_loans_expire_at = (now + self._lender_reservation_s
                                             if seats > 1 else now)
        self._usage_by_target: dict[str, _SlotUsage] = {}
        self._delayed_releases: list[tuple[float, AcquiredSlot]] = []
        self._loans_checked_at = now

    def set_target(self, target: str, slots: int, max_connections: int) -> None:
        """Adds a target or updates an existing one.

        Args:
            target: Name of the target.
            slots: Total slots of the target, for all seats.
            max_connections: Largest number of connections to the target, for
                all seats together.
        """
        usage = self._usage_by_target.setdefault(target, _SlotUsage())
        usage.seat_share = compute_seat_share(target, slots, self._seat,
                                              self._seats)
        usage.connection_limit = max_connections // self._seats

    def remove_target(self, target: str) -> None:
        """Removes a target, so that no slots of its share can be acquired.

        Its slots in use and its loans are still tracked until they end.
        """
        usage = self._usage_by_target.get(target)
        if usage is None:
            return
        usage.seat_share = 0
        usage.connection_limit = 0
        if usage.is_unused:
            del self._usage_by_target[target]

    def get_connection_limit(self, target: str) -> int:
        """Returns how many connections this daemon may have open to a target.

        Idle connections count as well. It is 0 for an unknown target.
        """
        usage = self._usage_by_target.get(target)
        return usage.connection_limit if usage else 0

    def get_slots_in_use(self, target: str) -> int:
        """Returns how many own and borrowed slots of a target are in use."""
        usage = self._usage_by_target.get(target)
        if usage is None:
            return 0
        return usage.own_slots_in_use + sum(
            loan.slots_in_use for loan in usage.borrowed_loans.values())

    def get_unlent_slots(self, target: str, now: float) -> int:
        """Returns how many slots of its own share this daemon may use.

        These are the slots, free or in use, that are neither lent nor possibly
        lent by a predecessor.
        """
        usage = self._usage_by_target.get(target)
        return self._compute_unlent_slots(usage, now) if usage else 0

    def get_free_slots(self, target: str, now: float, latest_end: float) -> int:
        """Returns how many own and borrowed slots `acquire` could allocate.

        Args:
            target: Name of the target.
            now: Monotonic seconds.
            latest_end: Monotonic seconds at which the attempt ends at the
                latest. Slots of loans that expire earlier are not counted.
        """
        usage = self._usage_by_target.get(target)
        if usage is None:
            return 0
        unlent_slots = usage.seat_share - usage.lent_slots
        if now < self._predecessor_loans_expire_at:
            unlent_slots -= _get_lending_limit(usage.seat_share)
        free_slots = (unlent_slots - usage.own_slots_in_use
                      if unlent_slots > usage.own_slots_in_use else 0)
        if usage.borrowed_loans:
            free_slots += sum(loan.granted_slots - loan.slots_in_use
                              for loan in usage.borrowed_loans.values()
                              if loan.expires_at >= latest_end)
        return free_slots

    def acquire(self, target: str, now: float,
                latest_end: float) -> AcquiredSlot | None:
        """Acquires a slot, of the own share if possible, else of a loan.

        Args:
            target: Name of the target.
            now: Monotonic seconds.
            latest_end: Monotonic seconds at which the attempt ends at the
                latest. Slots of loans that expire earlier are not used.

        Returns:
            The slot to pass to `release`, or None when no slot is free or the
            target is unknown.
        """
        usage = self._usage_by_target.get(target)
        if usage is None:
            return None
        if usage.own_slots_in_use < self._compute_unlent_slots(usage, now):
            usage.own_slots_in_use += 1
            return AcquiredSlot(target)
        for loan_id, loan in usage.borrowed_loans.items():
            if (loan.slots_in_use < loan.granted_slots and
                    loan.expires_at >= latest_end):
                loan.slots_in_use += 1
                loan.last_used_at = now
                return AcquiredSlot(target, loan_id)
        return None

    def release(self,
                slot: AcquiredSlot,
                now: float,
                occupied_until: float | None = None) -> None:
        """Releases an acquired slot, at once or later.

        Args:
            slot: Slot that `acquire` returned.
            now: Monotonic seconds.
            occupied_until: Monotonic seconds until which the target may still
                run the attempt. The slot stays in use until the first call of
                `process_expirations` after that time. None to release the slot
                at once.
        """
        if occupied_until is not None and occupied_until > now:
            heapq.heappush(self._delayed_releases, (occupied_until, slot))
            return
        usage = self._usage_by_target[slot.target]
        if not slot.loan_id:
            usage.own_slots_in_use -= 1
        else:
            loan = usage.borrowed_loans[slot.loan_id]
            loan.slots_in_use -= 1
            loan.last_used_at = now

    def process_expirations(self, now: float) -> None:
        """Completes delayed releases that are due and removes expired loans.

        An expired borrowed loan is removed only when none of its slots is in
        use. Loans are checked at most every 50 ms, to save CPU time. A borrowed
        loan that has expired but is still listed is harmless, because `acquire`
        checks the expiry of each loan itself. A granted loan that is still
        listed only keeps the slots from use a little longer.
        """
        while self._delayed_releases and self._delayed_releases[0][0] <= now:
            self.release(heapq.heappop(self._delayed_releases)[1], now)
        if now < self._loans_checked_at + _LOAN_CHECK_INTERVAL_S:
            return
        self._loans_checked_at = now
        for target, usage in list(self._usage_by_target.items()):
            if (usage.seat_share and not usage.granted_loans and
                    not usage.borrowed_loans):
                continue
            for loan_id, (slots,
                          expires_at) in list(usage.granted_loans.items()):
                if expires_at <= now:
                    del usage.granted_loans[loan_id]
                    usage.lent_slots -= slots
            for loan_id, loan in list(usage.borrowed_loans.items()):
                if loan.expires_at <= now and not loan.slots_in_use:
                    del usage.borrowed_loans[loan_id]
            if not usage.seat_share and usage.is_unused:
                del self._usage_by_target[target]

    def get_next_release_time(self) -> float | None:
        """Returns when the next delayed release is due, in monotonic seconds.

        None if no release is delayed.
        """
        return self._delayed_releases[0][0] if self._delayed_releases else None

    def lend(self,
             request: LoanRequest,
             now: float,
             reserved_slots: int = 0) -> LoanGrant:
        """Lends a free slot to another daemon of the domain.

        At most one slot of a target is lent at a time. The lender leaves it
        unused for `LoanDurations.lender_reservation_duration` from `now` on.
        The borrower may use it for the shorter `LoanDurations.duration`,
        counted from before its request. Call this method just before the grant
        is sent.

        Args:
            request: Request of the borrower.
            now: Monotonic seconds.
            reserved_slots: Number of free slots that must not be lent.

        Returns:
            The grant with the number of slots lent. It is 0 if too few slots
            are free, a slot of the target is lent already, the share of this
            daemon has fewer than 2 slots, the target is unknown, or loans that
            a predecessor granted may still be open.
        """
        usage = self._usage_by_target.get(request.target)
        if usage is None or request.loan_id in usage.granted_loans:
            return LoanGrant(request.loan_id, request.target, 0)
        free_slots = self._compute_unlent_slots(
            usage, now) - usage.own_slots_in_use - reserved_slots
        lendable_slots = _get_lending_limit(usage.seat_share) - usage.lent_slots
        if now < self._predecessor_loans_expire_at:
            lendable_slots = 0
        granted_slots = max(0, min(request.slots, free_slots, lendable_slots))
        if granted_slots:
            usage.granted_loans[request.loan_id] = (granted_slots, now +
                                                    self._lender_reservation_s)
            usage.lent_slots += granted_slots
        return LoanGrant(request.loan_id, request.target, granted_slots)

    def apply_loan_return(self, loan_return: LoanReturn) -> None:
        """Ends a loan that this daemon granted and the borrower returned.

        An unknown loan, such as one that was returned before, is ignored.
        """
        usage = self._usage_by_target.get(loan_return.target)
        if usage is not None and loan_return.loan_id in usage.granted_loans:
            usage.lent_slots -= usage.granted_loans.pop(loan_return.loan_id)[0]

    def record_loan_request(self, request: LoanRequest, now: float) -> None:
        """Records that a loan is requested; its duration counts from `now`.

        Call it before the request is sent. An unknown target is ignored.
        """
        usage = self._usage_by_target.get(request.target)
        if usage is not None:
            usage.borrowed_loans[request.loan_id] = _BorrowedLoan(
                request.target, now, now + self._borrower_duration_s)

    def apply_loan_grant(self, grant: LoanGrant, now: float) -> None:
        """Makes the granted slots of a requested loan available to `acquire`.

        A grant of 0 slots removes the loan. A grant for a loan that is unknown
        or has expired is ignored.
        """
        usage = self._usage_by_target.get(grant.target)
        loan = usage.borrowed_loans.get(grant.loan_id) if usage else None
        if loan is None or loan.expires_at <= now:
            return
        if not grant.slots and not loan.slots_in_use:
            del usage.borrowed_loans[grant.loan_id]
        else:
            loan.granted_slots = grant.slots
            loan.last_used_at = now

    def get_borrowed_slots(self, target: str) -> int:
        """Returns how many slots of a target this daemon has borrowed.

        Slots of an expired loan count until `process_expirations` removes it.
        """
        usage = self._usage_by_target.get(target)
        if usage is None or not usage.borrowed_loans:
            return 0
        return sum(loan.granted_slots for loan in usage.borrowed_loans.values())

    def has_open_loan(self, target: str) -> bool:
        """Returns whether a loan to this daemon is requested or granted.

        Args:
            target: Name of the target to which the lent slots belong.
        """
        usage = self._usage_by_target.get(target)
        return usage is not None and bool(usage.borrowed_loans)

    def end_idle_loans(self, now: float,
                       idle_time: datetime.timedelta) -> list[LoanReturn]:
        """Ends the borrowed loans of which no slot was used for some time.

        Args:
            now: Monotonic seconds.
            idle_time: Time since the grant or the last use of a slot after
                which a loan without slots in use is ended.

        Returns:
            One notice per ended loan, to be sent to its lender.
        """
        loan_returns = []
        for target, usage in self._usage_by_target.items():
            for loan_id, loan in list(usage.borrowed_loans.items()):
                is_idle = now - loan.last_used_at >= idle_time.total_seconds()
                if loan.granted_slots and not loan.slots_in_use and is_idle:
                    del usage.borrowed_loans[loan_id]
                    loan_returns.append(LoanReturn(loan_id, target))
        return loan_returns

    def _compute_unlent_slots(self, usage: _SlotUsage, now: float) -> int:
        unusable_slots = usage.lent_slots
        if now < self._predecessor_loans_expire_at:
            unusable_slots += _get_lending_limit(usage.seat_share)
        return max(0, usage.seat_share - unusable_slots)


def _get_lending_limit(seat_share: int) -> int:
    """Returns how many slots of a daemon's share may be lent at a time.

    It is 1, or 0 for a share of less than 2 slots. The limit is low because a
    daemon leaves this number of slots of each target unused after its start,
    until the loans of its predecessor have expired.
    """
    return min(_MAX_LENT_SLOTS, seat_share // 2)


_MAX_LENT_SLOTS = 1
_LOAN_CHECK_INTERVAL_S = 0.05
