"""Tests of the reports that leaders send to the other daemons."""

import asyncio
import unittest
from unittest import mock

from gentianlead import adapters
from gentianlead import dispatch
from gentianlead import errors
from gentianlead import model
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _daemon
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _peering
from gentianlead.cluster import _report_pacer
from gentianlead.cluster import _report_sender
from gentianlead.cluster.tests import fakes
from gentianlead.platform.tests import test_formats


class SlowPeering:
    """Connections to two peers that reply when the test lets them.

    Attributes:
        handlers: Call handlers that the daemon registers; unused.
        calls: Peer, message and reply of each call so far. The test completes
            the reply.
        payloads: Encoded messages of the calls.
        reachable_names: Names of the reachable peers.
    """

    def __init__(self) -> None:
        self.handlers: dict = {}
        self.calls: list[tuple[str, object, asyncio.Future]] = []
        self.payloads: list[bytes] = []
        self.reachable_names = frozenset({"entry-2", "entry-3"})

    def list_reachable_daemons(self) -> frozenset[str]:
        """Returns the names of the reachable peers."""
        return self.reachable_names

    async def call(self, daemon_name: str, subject: str,
                   request: _peering.SharedRequest, *_: object) -> object:
        """Records a call and returns its reply once the test has set it."""
        del subject
        reply = asyncio.get_running_loop().create_future()
        report = dispatch.decode_value(request.payload,
                                       _peer_messages.LeaderReport)
        self.calls.append((daemon_name, report, reply))
        self.payloads.append(request.payload)
        return await reply

    def list_calls(self, daemon_name: str) -> list[tuple]:
        """Returns the message and the reply of the calls to one peer."""
        return [call[1:] for call in self.calls if call[0] == daemon_name]


class ReportTest(unittest.IsolatedAsyncioTestCase):
    """Tests the reports that a daemon sends while a peer is slow."""

    async def asyncSetUp(self) -> None:
        self.peering = SlowPeering()
        with mock.patch("gentianlead.cluster._peering.Peering",
                        return_value=self.peering):
            clock = adapters.SystemClock()
            daemon = _daemon.ClusterDaemon(
                platform.parse_settings(test_formats.SETTINGS_TEXT),
                fakes.FakeStore(), None, None, clock, adapters.SystemRandom(),
                fakes.build_log(), adapters.LoopDelayMeter(clock))
        # pylint: disable=protected-access
        self.publish = daemon._publish_leader_report
        self.serve_report = daemon._serve_leader_report
        self.start_leading = daemon._start_leading
        self.leaders = daemon._leaders
        self.reported_losses = daemon._reported_losses

    def build_report(self,
                     number: int,
                     group: str = "north-1") -> _peer_messages.LeaderReport:
        """Returns a report with a load, one job and one pair by a number."""
        load = dispatch.GroupLoad(True, 10_000, 0, number, 0)
        estimate = dispatch.InterferenceEstimate("previews", f"b{number % 2}",
                                                 0.5, float(number))
        return _peer_messages.LeaderReport(
            group, 64, load, (_peer_messages.JobStateNotice(
                f"{number % 3}", model.JobState.RUNNING),), (estimate,))

    async def wait_for_calls(self) -> None:
        """Lets the tasks run that send reports."""
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_peer_gets_one_report_at_a_time(self):
        """Checks the reports to a peer that has not replied to the first one.

        After its reply, it must get one report with the newest load and all
        states and estimates. Guards against reports that queue up behind a slow
        link and reach the peers late, with everything else behind them.
        """
        for number in range(100):
            self.publish(self.build_report(number))
            await self.wait_for_calls()
        self.assertEqual(len(self.peering.calls), 2)
        ((first_report, reply),) = self.peering.list_calls("entry-2")
        self.assertEqual(first_report, self.build_report(0))
        reply.set_result(True)
        await self.wait_for_calls()
        merged_report = self.peering.list_calls("entry-2")[1][0]
        self.assertEqual(merged_report.load, self.build_report(99).load)
        self.assertEqual({notice.job_id for notice in merged_report.states},
                         {"0", "1", "2"})
        self.assertEqual(
            {(estimate.best_effort_image, estimate.observed_s)
             for estimate in merged_report.interference_pairs}, {("b0", 98.0),
                                                                 ("b1", 99.0)})
        self.assertEqual(len(self.peering.list_calls("entry-3")), 1)

    async def test_report_is_encoded_once_for_all_peers(self):
        """Guards against work of a leader for each peer of a large fleet.

        The second payload is that of a merged report.
        """
        for number in range(4):
            self.publish(self.build_report(number))
            await self.wait_for_calls()
        for _, _, reply in self.peering.calls[:2]:
            reply.set_result(True)
        await self.wait_for_calls()
        first, same_first, second, same_second = self.peering.payloads
        self.assertIs(first, same_first)
        self.assertIs(second, same_second)
        self.assertEqual(self.peering.calls[2][1].load.short_backlog_ms, 3)

    async def test_reports_of_two_groups_are_kept_apart(self):
        """Guards against the load of one group in the report of another."""
        for number, group in enumerate(("north-1", "north-1", "north-2")):
            self.publish(self.build_report(number, group))
            await self.wait_for_calls()
        for index in range(3):
            calls = self.peering.list_calls("entry-2")
            self.assertEqual(len(calls), index + 1)
            calls[-1][1].set_result(True)
            await self.wait_for_calls()
        self.assertEqual([(report.group, report.load.short_backlog_ms)
                          for report, _ in self.peering.list_calls("entry-2")],
                         [("north-1", 0), ("north-1", 1), ("north-2", 2)])

    async def test_reports_carry_losses(self):
        """Checks that a daemon keeps the losses in its own and peers' reports.

        Guards against a leader that cannot compare the losses of other groups.
        """
        for group, is_peer in (("north-1", False), ("north-2", True)):
            with self.subTest(group=group):
                report = self.build_report(0, group)._replace(
                    losses=(dispatch.LossReport(f"{group}-w1", 7, 50, 20),))
                if is_peer:
                    await self.serve_report(dispatch.encode_value(report))
                else:
                    self.publish(report)
                now = adapters.SystemClock().monotonic()
                other_groups = {"north-1", "north-2"} - {group}
                self.assertTrue(
                    self.reported_losses.has_loss_between(
                        now - 0.1, now, other_groups.pop()))

    async def test_leader_compares_the_losses_of_its_daemon(self):
        """Checks that a leader reports its losses, and sees those of the peers.

        Guards against leaders that compare the losses of their group only.
        """
        self.start_leading("north-1", 64, 0, "test")
        leader = self.leaders["north-1"]
        self.addAsyncCleanup(leader.stop)
        crashes = leader.scheduler.crashes
        self.assertIs(crashes.reported_losses, self.reported_losses)
        now = adapters.SystemClock().monotonic()
        entry = ports.WorkerEntry("w1", "service", "10.0.0.1:80", "north-1",
                                  False, 1000, 1000, 0, frozenset())
        leader.scheduler.put_worker(entry)
        leader.scheduler.workers["w1"].is_reachable = True
        leader.scheduler.mark_unreachable("w1", now)
        async with asyncio.timeout(10):
            while not any(report.losses for _, report, _ in self.peering.calls):
                for _, _, reply in self.peering.calls:
                    if not reply.done():
                        reply.set_result(True)
                await asyncio.sleep(0.05)
        self.assertTrue(
            self.reported_losses.has_loss_between(now - 0.1, now + 0.1,
                                                  "north-2"))

    async def test_reports_go_on_after_a_failure(self):
        """Guards against a peer that gets no reports after a failed one."""
        self.publish(self.build_report(0))
        await self.wait_for_calls()
        self.peering.list_calls("entry-2")[0][1].set_exception(
            errors.RequestError(errors.ErrorCode.PEER_FAILED, "no reply"))
        await self.wait_for_calls()
        self.publish(self.build_report(1))
        await self.wait_for_calls()
        self.assertEqual(
            [report for report, _ in self.peering.list_calls("entry-2")],
            [self.build_report(0), self.build_report(1)])

    async def test_nothing_is_kept_for_an_unreachable_peer(self):
        """Guards against old reports that a peer gets after it was away."""
        self.publish(self.build_report(0))
        await self.wait_for_calls()
        self.publish(self.build_report(1))
        self.peering.reachable_names = frozenset()
        self.publish(self.build_report(2))
        for _, _, reply in self.peering.calls:
            reply.set_result(True)
        await self.wait_for_calls()
        self.assertEqual(len(self.peering.calls), 2)


class PacedReportTest(unittest.IsolatedAsyncioTestCase):
    """Tests the share of the link that reports to many peers take."""

    async def test_reports_leave_a_slow_link_to_calls(self):
        """Guards against reports that fill the link, so that calls time out.

        All peers get the newest load all the same.
        """
        labels = tuple(f"label-{number}" for number in range(200))
        peering = SlowPeering()
        peering.reachable_names = frozenset(map(str, range(40)))
        clock = adapters.SystemClock()
        sender = _report_sender.ReportSender(
            peering, _report_pacer.ReportPacer(8.0, clock), fakes.build_log(),
            _metrics.ClusterMetrics())
        started_at = clock.monotonic()

        async def reply_to_all() -> None:
            await asyncio.sleep(0.01)
            for _, _, reply in peering.calls:
                if not reply.done():
                    reply.set_result(True)

        for number in range(10):
            load = dispatch.GroupLoad(True, 1, 0, number, 0)
            sender.publish(
                _peer_messages.LeaderReport("north-1", 64,
                                            load._replace(labels=labels), ()))
            await reply_to_all()
        # Half of the link, the credit, and one report more.
        max_bytes = 500_000 * (clock.monotonic() - started_at) + 29_000
        self.assertLessEqual(sum(map(len, peering.payloads)), max_bytes)
        informed_names: set[str] = set()
        async with asyncio.timeout(5):
            while informed_names != peering.reachable_names:
                await reply_to_all()
                informed_names = {
                    name for name, report, _ in peering.calls
                    if report.load.short_backlog_ms == 9
                }
        sender.close()
