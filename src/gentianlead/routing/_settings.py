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
        seat: Number of the daemon's seat in its domain, from 0. Each entry VM
            of a domain has a seat of its own.
        seats: Number of seats of the domain.
        interactive_queue_limit: Maximum number of waiting interactive requests.
        bulk_queue_limit: Maximum number of waiting bulk requests.
        is_shedding_enabled: Whether requests are refused once they can no
            longer meet their deadline.
        retry_budget_fraction: Retries and hedges per first attempt; infinite
            for no limit.
        max_attempts: Maximum number of attempts of one request.
        initial_backoff: Upper bound of the random delay before the first retry.
        max_backoff: Upper bound of the random delay before any retry.
        is_hedging_enabled: Whether a second attempt is sent for an idempotent
            request that takes long.
        hedge_quantile: Level of the latency quantile, from 0 to 1, after which
            the second attempt is sent.
        is_concurrency_limit_enabled: Whether the number of attempts in flight
            is limited adaptively under overload.
        initial_latency: Latency assumed before the first observation.
        ejection: Settings for the ejection of failing targets.
        forwarding: Settings for the forwarding of requests to peers.
        loan_durations: Durations that determine when a loan of slots expires.
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
    """Returns settings without retry budget, shedding, hedging or ejection.

    Requests are only forwarded when no target of the own domain is usable.
    These settings are kept for comparisons, together with the baseline
    policies.

    Args:
        seat: Number of the daemon's seat in its domain, from 0.
        seats: Number of seats of the domain.
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
