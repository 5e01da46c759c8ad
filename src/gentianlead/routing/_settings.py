"""Settings of the request router."""

import datetime
import math
from typing import NamedTuple

from gentianlead.routing import _ejection
from gentianlead.routing import _slots
from gentianlead.routing import _forwarding


class RouterSettings(NamedTuple):
    """Settings of the request router of one daemon.

    Attributes:
        seat: Number of this daemon's entry VM among the entry VMs of its
            domain, from 0. Each entry VM has a seat, and one daemon at a time
            uses the seat's share of the slots of each target.
        seats: Number of entry VMs of the domain.
        interactive_queue_limit: Number of waiting interactive requests at which
            a new one that cannot start at once is refused.
        bulk_queue_limit: Number of waiting bulk requests at which a new one
            that cannot start at once is refused.
        is_shedding_enabled: Whether requests are refused as soon as their
            expected waiting and service time reaches the time to the deadline.
            If not, they are refused at the deadline.
        retry_budget_fraction: Number of retries and hedges allowed per first
            attempt; infinite for no limit.
        max_attempts: Maximum number of attempts of one request. Retries and
            hedges count; attempts that a peer refused do not. A peer makes at
            most two attempts of a forwarded request, and each forward counts
            as two. If a single attempt is left, the request may still be
            forwarded, so that one more than the maximum is possible.
        initial_backoff: Upper bound of the random delay before a retry that
            follows the first attempt. It doubles with each further attempt. A
            retry of an attempt that did not run starts without a delay if a
            slot is free.
        max_backoff: Upper bound of the random delay before any retry.
        is_hedging_enabled: Whether an additional attempt is started for an
            idempotent request whose attempt at a target takes long.
        hedge_quantile: Fraction of the latencies of the service, from 0 to 1.
            The additional attempt is started when the attempt in flight has
            taken longer than this fraction of the latencies.
        is_concurrency_limit_enabled: Whether the number of attempts in flight
            at targets has a limit that is lowered under overload.
        initial_latency: Latency of a service that is assumed until the first
            response from it.
        ejection: Settings for the ejection of failing and unresponsive targets.
        forwarding: Settings for the forwarding of requests to peers.
        loan_durations: Durations that determine when a loan of slots expires
            for the lender and for the borrower.
    """

    seat: int = 0
    seats: int = 1
    interactive_queue_limit: int = 200
    bulk_queue_limit: int = 2000
    is_shedding_enabled: bool = True
    retry_budget_fraction: float = 0.1
    max_attempts: int = 3
    initial_backoff: datetime.timedelta = datetime.timedelta(milliseconds=20)
    max_backoff: datetime.timedelta = datetime.timedelta(seconds=1)
    is_hedging_enabled: bool = True
    hedge_quantile: float = 0.95
    is_concurrency_limit_enabled: bool = True
    initial_latency: datetime.timedelta = datetime.timedelta(milliseconds=50)
    ejection: _ejection.EjectionSettings = _ejection.EjectionSettings()
    forwarding: _forwarding.ForwardingSettings = _forwarding.ForwardingSettings(
    )
    loan_durations: _slots.LoanDurations = _slots.LoanDurations()


def make_baseline_settings(seat: int, seats: int) -> RouterSettings:
    """Returns settings for comparisons, to be used with the baseline policies.

    The queues are practically unbounded, and neither the retry budget nor the
    number of attempts in flight is limited. The attempts of one request are
    still limited to the default of `max_attempts`. There is no shedding, no
    hedging, no ejection and no delay before retries. Requests are only
    forwarded when no target of the own domain may serve them.

    Args:
        seat: Number of the daemon's entry VM in its domain, from 0.
        seats: Number of entry VMs of the domain.
    """
    return RouterSettings(seat=seat,
                          seats=seats,
                          interactive_queue_limit=_UNBOUNDED_QUEUE_LENGTH,
                          bulk_queue_limit=_UNBOUNDED_QUEUE_LENGTH,
                          is_shedding_enabled=False,
                          retry_budget_fraction=math.inf,
                          initial_backoff=datetime.timedelta(0),
                          max_backoff=datetime.timedelta(0),
                          is_hedging_enabled=False,
                          is_concurrency_limit_enabled=False,
                          ejection=_ejection.EjectionSettings(is_enabled=False),
                          forwarding=_forwarding.ForwardingSettings(
                              min_delay_saving=_UNREACHABLE_DELAY_SAVING))


_UNBOUNDED_QUEUE_LENGTH = 1_000_000_000
_UNREACHABLE_DELAY_SAVING = datetime.timedelta(days=1)
