"""Randomized model of leaders that are late although nothing is impaired.

It extends the model in `fleets`: leaders read replies of some workers late and
so time out, and daemons read the topic late. Calls take effect in time, and
workers go on. Impairments are rare, and no call is lost without one.
"""

from gentianlead.dispatch.tests import fleets

MAX_REPORTED_ENDS = 500
"""Number of ends that the workers of the platform report at a time."""

MAX_RUN_S = 2.5
"""Longest run of some workers, longer than a lease."""

PROLONGED_TIMEOUT_S = 1.0
"""Time after which a call of a late leader has failed. Daemons prolong calls by
the delay of their event loop, up to about 3 times the timeout."""

LATE_SHARE = 0.7
"""Share of the workers of a group whose replies a late leader reads late."""


class LateSite(fleets.SiteModel):
    """Models groups whose leaders and daemons are late for seconds.

    Attributes:
        late_rate: Probability that a leader or a daemon becomes late in a tick.
        min_late_reply_s: Shortest time until a late leader reads a reply.
    """

    has_random_losses = False
    impairment_rate = 0.3
    max_jobs = 24
    late_rate = 0.008
    min_late_reply_s = 0.9 * fleets.ORDER_TIMEOUT_S

    def __init__(self, seed: int):
        self._late_until: dict[str, float] = {}
        super().__init__(seed, MAX_REPORTED_ENDS)
        self.impairments.end_all(self.now)
        for worker in self.workers.values():
            worker.max_run_s = self.rng.choice((worker.max_run_s, MAX_RUN_S))

    def delay_replies(self, worker_id: str, duration_s: float) -> None:
        """Lets the leader read the replies of a worker late."""
        self._late_until[worker_id] = self.now + duration_s

    def delay_read(self, group: str, duration_s: float) -> None:
        """Lets the daemons that lead a group read the topic late."""
        for daemon in self._daemons:
            if group in daemon.leaders:
                daemon.next_read_at = self.now + duration_s

    def draw_read_delay(self) -> float:
        """Draws the time until the next read of the topic, in seconds."""
        return self.rng.uniform(0.02, 0.2)

    def _get_timeout_s(self, worker_id: str) -> float:
        if self.now < self._late_until.get(worker_id, 0.0):
            return PROLONGED_TIMEOUT_S
        return super()._get_timeout_s(worker_id)

    def _draw_reply_delay(self, worker_id: str) -> float:
        if self.now < self._late_until.get(worker_id, 0.0):
            return self.rng.uniform(self.min_late_reply_s, 0.9)
        return super()._draw_reply_delay(worker_id)

    def _draw_troubles(self) -> None:
        super()._draw_troubles()
        if self.rng.random() < self.late_rate:
            group = self.rng.choice(fleets.GROUPS)
            duration_s = self.rng.uniform(0.5, 4.0)
            for worker in self.workers.values():
                if (worker.group == group and self.rng.random() < LATE_SHARE):
                    self.delay_replies(worker.worker_id, duration_s)
        if self.rng.random() < self.late_rate:
            self.delay_read(self.rng.choice(fleets.GROUPS),
                            self.rng.uniform(0.3, 3.0))

    def _end_troubles(self) -> None:
        super()._end_troubles()
        self._late_until.clear()
