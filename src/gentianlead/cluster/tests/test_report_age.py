"""Tests how old the loads in paced reports get."""

import asyncio
import datetime
import itertools
import time
import unittest

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _report_pacer
from gentianlead.cluster import _report_sender
from gentianlead.cluster.tests import fakes
from gentianlead.dispatch import _admission
from gentianlead.dispatch import _crashes
from gentianlead.dispatch import _moves

PEER_COUNT = 96
LINK_MBIT_S = 10.0
TEST_S = 7.0
TIMER_DELAY = datetime.timedelta(milliseconds=25)


class ReceivingPeering:
    """Peers that reply at once.

    Attributes:
        received_at: Times of the reports, by peer and group.
        load_ages_s: Age of the load in each report when it is sent, in
            seconds. The test puts the time of the load into its backlog.
    """

    def __init__(self) -> None:
        self.received_at: dict[tuple[str, str], list[float]] = {}
        self.load_ages_s: list[float] = []
        self._names = frozenset(map(str, range(PEER_COUNT)))

    def list_reachable_daemons(self) -> frozenset[str]:
        """Returns the names of all peers."""
        return self._names

    async def call(self, name: str, subject: str, request, *_) -> bool:
        """Records a report."""
        del subject
        self.received_at.setdefault((name, request.value.group),
                                    []).append(time.monotonic())
        self.load_ages_s.append(time.monotonic() -
                                request.value.load.short_backlog_ms / 1000)
        return True


class LateClock(adapters.SystemClock):
    """A clock whose timers fire late, as the event loop is busy."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        await super().sleep(duration + TIMER_DELAY)


class ReportAgeTest(unittest.IsolatedAsyncioTestCase):
    """Tests the time between reports of a leader on a slow link."""

    async def measure(self,
                      groups: tuple[str, ...],
                      label_count: int,
                      jobs_per_report: int,
                      job_count: int,
                      link_mbit_s: float = LINK_MBIT_S,
                      clock: ports.Clock | None = None) -> tuple[float, float]:
        """Returns the longest time between two reports of a group to a peer.

        The second value is the highest age of a load in s.
        """
        peering = ReceivingPeering()
        clock = clock or adapters.SystemClock()
        sender = _report_sender.ReportSender(
            peering, _report_pacer.ReportPacer(link_mbit_s, clock),
            fakes.build_log(), _metrics.ClusterMetrics())
        load = dispatch.GroupLoad(True, 1, 0, 0, 0)._replace(labels=tuple(
            f"label-{i}" for i in range(label_count)))
        numbers = itertools.count()
        ends_at = time.monotonic() + TEST_S
        while time.monotonic() < ends_at:
            load = load._replace(short_backlog_ms=int(time.monotonic() * 1000))
            for group in groups:
                sender.publish(
                    _peer_messages.LeaderReport(
                        group, 64, load,
                        tuple(
                            _peer_messages.JobStateNotice(
                                f"{next(numbers) % job_count:016x}",
                                model.JobState.RUNNING)
                            for _ in range(jobs_per_report))))
            await asyncio.sleep(_group_leader.REPORT_INTERVAL.total_seconds())
        sender.close()
        gap_s = max(later - earlier
                    for times in peering.received_at.values()
                    for earlier, later in itertools.pairwise(
                        [*times, time.monotonic()]))
        return gap_s, max(peering.load_ages_s)

    async def test_loads_of_all_groups_stay_recent(self):
        """Guards against groups that count as unusable as their report is old.

        A daemon leads one or two groups. Some of 150 jobs change their state
        between two reports.
        """
        limit_s = _admission.MAX_REPORT_AGE.total_seconds()
        for groups, label_count, jobs in ((("a",), 80, 20), (("a",), 80, 40),
                                          (("a", "b"), 80, 20)):
            with self.subTest(groups=groups, jobs=jobs):
                gap_s, _ = await self.measure(groups, label_count, jobs, 150)
                self.assertLessEqual(gap_s, limit_s)

    async def test_load_includes_moves_that_began_long_before(self):
        """Guards against moves into room that earlier moves have taken.

        A leader takes a report that arrives `MOVE_REPORT_DELAY` after a move
        to include it.
        """
        limit_s = _moves.MOVE_REPORT_DELAY.total_seconds()
        for link_mbit_s in (100.0, 10.0):
            with self.subTest(link_mbit_s):
                _, age_s = await self.measure(("a",), 80, 40, 150, link_mbit_s)
                self.assertLess(age_s, limit_s)

    async def test_losses_are_known_when_crashes_are_counted(self):
        """Guards against a loss of power that counts as crashes of tasks.

        A loss becomes strong evidence after `LOSS_REPORT_DELAY`, unless other
        groups have reported losses by then.
        """
        limit_s = _crashes.LOSS_REPORT_DELAY.total_seconds()
        gap_s, _ = await self.measure(("a",), 80, 40, 150)
        self.assertLess(gap_s, limit_s)

    async def test_late_timers_take_nothing_from_the_share(self):
        """Guards against a late leader whose pauses all last longer.

        Its timers are as late as those of leaders on small VMs. The first VM
        has a slow link, the second a link of 100 Mbit/s.
        """
        limit_s = _admission.MAX_REPORT_AGE.total_seconds()
        for link_mbit_s in (LINK_MBIT_S, 100.0):
            with self.subTest(link_mbit_s):
                gap_s, _ = await self.measure(("a",), 80, 20, 150, link_mbit_s,
                                              LateClock())
                self.assertLessEqual(gap_s, limit_s)
