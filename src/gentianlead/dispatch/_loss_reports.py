"""Losses of workers that the leaders of all groups report to each other.

A loss of power may take only one worker of each group. Its leader sees nothing
but a lone loss, so the losses of the other groups have to be compared.
"""

import datetime
from typing import Iterable, NamedTuple

REPORTED_LOSS_AGE = datetime.timedelta(seconds=3)
"""Age up to which a loss is part of the reports of its leader: about ten
reports, some of which may be lost or late."""

MAX_REPORTED_LOSSES = 16
"""Number of losses in a report. If more workers are lost between two reports,
the newest ones show the time of the others well enough."""

LOSS_RETENTION = datetime.timedelta(seconds=20)
"""Time for which losses are kept for comparison: longer than a lease."""


class LossReport(NamedTuple):
    """Loss of a worker in a report; ages need no common clock of the daemons.

    Attributes:
        worker_id: The worker.
        born_ms: Start time of its instance in milliseconds since 1970.
        lost_since_age_ms: Time since the earliest time of the loss, in
            milliseconds.
        lost_at_age_ms: Time since the latest time of the loss, in milliseconds.
    """

    worker_id: str
    born_ms: int
    lost_since_age_ms: int
    lost_at_age_ms: int


def build_loss_report(worker_id: str, born_ms: int, lost_since: float,
                      lost_at: float, now: float) -> LossReport:
    """Builds the report of a loss from monotonic times in seconds."""
    return LossReport(worker_id, born_ms, round((now - lost_since) * 1000),
                      round((now - lost_at) * 1000))


class _LossPeriod(NamedTuple):
    """Monotonic times in seconds between which a worker was lost."""

    lost_since: float
    lost_at: float


class ReportedLosses:
    """Keeps the losses of all groups; the leaders of a daemon share it."""

    def __init__(self) -> None:
        # By group, worker and start time of the worker's instance.
        self._periods: dict[tuple[str, str, int], _LossPeriod] = {}

    def add(self, group: str, reports: Iterable[LossReport],
            now: float) -> None:
        """Adds the losses of a group from a report that arrived `now`.

        A report can only make a loss look later than it was, so the earliest of
        the times in several reports is the most precise one.
        """
        for report in reports:
            key = (group, report.worker_id, report.born_ms)
            period = _LossPeriod(now - report.lost_since_age_ms / 1000,
                                 now - report.lost_at_age_ms / 1000)
            known_period = self._periods.get(key, period)
            self._periods[key] = _LossPeriod(
                min(period.lost_since, known_period.lost_since),
                min(period.lost_at, known_period.lost_at))
        self._periods = {
            key: period
            for key, period in self._periods.items()
            if now - period.lost_at <= LOSS_RETENTION.total_seconds()
        }

    def has_loss_between(self, start: float, end: float,
                         own_group: str) -> bool:
        """Returns whether another group may have lost a worker in a period.

        Args:
            start: Monotonic start of the period in seconds.
            end: Monotonic end of the period in seconds.
            own_group: Group whose losses are left out.
        """
        return any(group != own_group and period.lost_since <= end and
                   start <= period.lost_at
                   for (group, _, _), period in self._periods.items())
