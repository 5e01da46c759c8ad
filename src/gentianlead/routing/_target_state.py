"""Description of a target and what this daemon has observed of it."""

from typing import NamedTuple

from gentianlead.routing import _estimates

_SLOWDOWN_TIME_CONSTANT_S = 2.0
_SUCCESS_TIME_CONSTANT_S = 10.0
_PRIOR_WEIGHT = 1.0
_SLOWDOWN_MAX_WEIGHT = 12.0
_SUCCESS_MAX_WEIGHT = 20.0


class TargetSpec(NamedTuple):
    """Description of a target of the daemon's own domain.

    Attributes:
        name: Name of the target.
        slots: Number of slots, for all seats of the domain together.
        connections: Largest number of connections, for all seats of the domain
            together.
        is_leaving: Whether it gets no new requests because it will be removed.
    """

    name: str
    slots: int = 8
    connections: int = 64
    is_leaving: bool = False


class TargetState:
    """Attempts in flight, estimates and ejection state of one target.

    Attributes:
        spec: Newest description of the target.
        attempt_start_times: Start times of the attempts in flight in monotonic
            seconds, by attempt identifier, oldest first.
        slowdown: Latency relative to the mean latency of the service.
        success_rate: Fraction of attempts that succeeded.
        consecutive_failures: Failures since the last success.
        last_success_at: Monotonic seconds of the last success.
        next_probe_at: Monotonic seconds of the next probe; None while the
            target is not ejected.
        consecutive_ejections: Ejections without a completed slow start in
            between. Each one doubles the time until the next probe.
        is_probing: Whether a probe is in flight.
        probe_successes: Successful probes since the ejection.
        slow_start_began_at: Start of the slow start in monotonic seconds; None
            when the target gets its normal load.
    """

    def __init__(self, spec: TargetSpec):
        self.spec = spec
        self.attempt_start_times: dict[int, float] = {}
        self.slowdown = _estimates.DecayingMean(_SLOWDOWN_TIME_CONSTANT_S, 1.0,
                                                _PRIOR_WEIGHT,
                                                _SLOWDOWN_MAX_WEIGHT)
        self.success_rate = _estimates.DecayingMean(_SUCCESS_TIME_CONSTANT_S,
                                                    1.0, _PRIOR_WEIGHT,
                                                    _SUCCESS_MAX_WEIGHT)
        self.consecutive_failures = 0
        self.last_success_at = float("-inf")
        self.next_probe_at: float | None = None
        self.consecutive_ejections = 0
        self.is_probing = False
        self.probe_successes = 0
        self.slow_start_began_at: float | None = None

    @property
    def is_ejected(self) -> bool:
        """Whether the target is ejected and gets probes only."""
        return self.next_probe_at is not None

    def get_oldest_start_time(self, now: float) -> float:
        """Returns when the oldest attempt in flight started.

        Without attempts in flight it returns `now`.
        """
        return next(iter(self.attempt_start_times.values()), now)

    def record_success(self, slowdown: float, now: float) -> None:
        """Records a successful attempt and its slowdown."""
        self.slowdown.add(slowdown, now)
        self.success_rate.add(1.0, now)
        self.consecutive_failures = 0
        self.last_success_at = now

    def record_failure(self, now: float) -> None:
        """Records a failed attempt.

        Its latency is ignored, because it says nothing about the service time.
        """
        self.success_rate.add(0.0, now)
        self.consecutive_failures += 1
