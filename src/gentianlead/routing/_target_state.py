"""Description of a target and its state as observed by this daemon."""

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
        slots: Number of attempts that it can run at a time, for all daemons of
            the domain together.
        connections: Largest number of open connections to it, for all daemons
            of the domain together.
        is_leaving: Whether it gets no new attempts because it will be removed.
    """

    name: str
    slots: int = 8
    connections: int = 64
    is_leaving: bool = False


class TargetState:
    """Attempts in flight, estimates and ejection state of one target.

    Attributes:
        spec: Description of the target from the last update of the list.
        attempt_start_times: Start times of the attempts in flight in monotonic
            seconds, by attempt identifier, oldest first.
        slowdown: Decaying mean of the latencies of successful attempts, each
            divided by the mean latency of its service.
        success_rate: Decaying mean of the fraction of attempts that succeeded.
        consecutive_failures: Number of failed attempts since the last success.
        last_success_at: Monotonic seconds of the last success; minus infinity
            before the first one.
        next_probe_at: Monotonic seconds of the next probe; None while the
            target is not ejected.
        consecutive_ejections: Number of ejections, and of failures during them,
            since the last completed slow start; at most 10. Each one doubles
            the time until the next probe.
        is_probing: Whether a probe is in flight.
        successful_probe_count: Number of successful probes since the ejection
            or the last failed probe.
        slow_start_began_at: Start of the slow start in monotonic seconds; None
            when the target is not in slow start.
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
        self.successful_probe_count = 0
        self.slow_start_began_at: float | None = None

    @property
    def is_ejected(self) -> bool:
        """Whether the target is ejected, so that it gets only probes."""
        return self.next_probe_at is not None

    def get_oldest_start_time(self, now: float) -> float:
        """Returns the start time of the oldest attempt in flight.

        The time is in monotonic seconds. Returns `now` if no attempt is in
        flight.
        """
        return next(iter(self.attempt_start_times.values()), now)

    def record_success(self, slowdown: float, now: float) -> None:
        """Records a successful attempt.

        Args:
            slowdown: Latency of the attempt divided by the mean latency of its
                service.
            now: Monotonic seconds.
        """
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
