"""Tests of how long a task has no run when daemons stop as planned."""

import asyncio
import unittest

from gentianlead import control
from gentianlead import leases
from gentianlead import model
from gentianlead.control.tests import simulated_domains

_TIMINGS = control.ControlTimings()
_LIMITS = leases.FreshnessLimits()
_LEASE_SECONDS = leases.compute_expiry_bound(
    simulated_domains.LEASE_LENGTH).total_seconds()
_ROUND_SECONDS = simulated_domains.SimulatedDomains.step_seconds
_DRAIN_ROUNDS = 20
# Rounds for the steps that need no waiting: the stop of a run, the record of
# its end, the handover, the claim of the next run and its start.
_HANDOVER_SECONDS = 8 * _ROUND_SECONDS
_ENDLESS = simulated_domains.TaskScript(1e6)


class _Daemon(simulated_domains.Daemon):
    """Daemon with the default timings of the control loop and of leases."""

    timings = _TIMINGS
    start_limits = _LIMITS
    run_limits = _LIMITS


class _Domains(simulated_domains.SimulatedDomains):
    """Domains that measure how long a watcher has no run.

    Attributes:
        gap_seconds: Length of the current or last time without a run.
        longest_gap_seconds: Longest time without a run.
    """

    daemon_type = _Daemon

    def __init__(self, worker_count: int):
        super().__init__(worker_count)
        self.gap_seconds = 0.0
        self.longest_gap_seconds = 0.0

    async def _settle(self) -> None:
        # Twice, because the run managers poll the workers in real time.
        await super()._settle()
        await super()._settle()
        n_running = len(self.workers.list_running("watcher"))
        assert n_running <= 1, "two runs of a task at once"
        self.gap_seconds = 0.0 if n_running else (self.gap_seconds +
                                                  self.step_seconds)
        self.longest_gap_seconds = max(self.longest_gap_seconds,
                                       self.gap_seconds)

    def begin_stop(self, name: str) -> None:
        """Sends a daemon SIGTERM; it then drains its requests."""
        self.daemons[name].controller.start_draining()

    async def replace(self, name: str, successor: str) -> None:
        """Stops a daemon, which has requests to drain, and starts another."""
        self.begin_stop(name)
        await self.advance(_DRAIN_ROUNDS * self.step_seconds)
        await self.leave(name)
        self.start(successor)
        await self.advance(self.step_seconds)

    def find_watcher(self) -> str:
        """Returns the worker on which the watcher runs."""
        (worker,) = self.workers.list_running("watcher")
        return worker


class _PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """Starts three daemons in one domain with a running watcher."""

    def setUp(self) -> None:
        self.domains = _Domains(6)
        self.workers = self.domains.workers

    async def start_watcher(self, daemon_count: int = 3) -> None:
        """Starts daemons, `a` first, and a watcher that `a` holds."""
        self.addAsyncCleanup(self.domains.close)
        for name in "abc"[:daemon_count]:
            self.domains.start(name)
            await self.domains.advance(1)
        await self.domains.put_domains(*simulated_domains.DOMAINS)
        await self.domains.advance(1)
        await self.domains.submit("watcher",
                                  _ENDLESS,
                                  kind=model.JobKind.WATCHER)
        await self.domains.advance(4)
        self.domains.find_watcher()
        self.domains.longest_gap_seconds = 0.0

    def check_gap(self, max_seconds: float) -> None:
        """Checks that the watcher runs and never lacked a run for longer."""
        self.domains.find_watcher()
        self.assertLessEqual(self.domains.longest_gap_seconds, max_seconds)


class LeavingWorkerTest(_PlannedStopTest):
    """Stops daemons while workers leave in good order."""

    async def test_preferred_scheduler_stops(self) -> None:
        """Guards against a domain that starts nothing while a daemon drains.

        The other members must not wait until its heartbeats are overdue.
        """
        await self.start_watcher()
        self.domains.begin_stop("a")
        self.domains.mark_leaving(self.domains.find_watcher())
        await self.domains.advance(15)
        self.check_gap(_HANDOVER_SECONDS)

    async def test_worker_leaves_first(self) -> None:
        """Guards against an end of a run that waits for the next holder."""
        await self.start_watcher()
        self.domains.mark_leaving(self.domains.find_watcher())
        await self.domains.advance(_ROUND_SECONDS)
        self.domains.begin_stop("a")
        await self.domains.advance(15)
        self.check_gap(_HANDOVER_SECONDS)

    async def test_all_daemons_are_replaced(self) -> None:
        """Guards against waits that add up while daemons are replaced."""
        await self.start_watcher()
        for name in "abc":
            self.domains.mark_leaving(self.domains.find_watcher())
            await self.domains.replace(name, f"next-{name}")
        self.check_gap(_HANDOVER_SECONDS)

    async def test_reply_of_the_log_is_lost(self) -> None:
        """Guards against a handover that a lost reply of the log undoes."""
        await self.start_watcher()
        self.domains.log.loses_replies = True
        self.domains.mark_leaving(self.domains.find_watcher())
        self.domains.begin_stop("a")
        await self.domains.advance(15)
        self.check_gap(_HANDOVER_SECONDS)

    async def test_holder_stops_before_its_order(self) -> None:
        """Guards against an order that the next holder does not carry out.

        The other daemons have planned the order too, but did not hold the run.
        A worker that leaves may be gone before the order is repeated.
        """
        await self.start_watcher()
        worker = self.domains.find_watcher()
        self.domains.daemons["a"].gate.cut_off.add(worker)
        self.domains.mark_leaving(worker)
        await self.domains.advance(_ROUND_SECONDS)
        self.domains.begin_stop("a")
        await self.domains.advance(_HANDOVER_SECONDS)
        self.assertNotEqual(self.domains.find_watcher(), worker)
        self.check_gap(_HANDOVER_SECONDS)


class LostWorkerTest(_PlannedStopTest):
    """Stops daemons after a worker was lost."""

    async def test_holder_stops_after_the_loss(self) -> None:
        """Guards against a successor that waits as after a failed holder.

        Nobody knows how long a failed holder renewed its leases; one that
        stops knows when they end.
        """
        await self.start_watcher()
        self.workers.cut_off.add(self.domains.find_watcher())
        await self.domains.advance(2)
        self.domains.begin_stop("a")
        await self.domains.advance(_LEASE_SECONDS + 5)
        self.check_gap(_HANDOVER_SECONDS)

    async def test_all_daemons_are_replaced(self) -> None:
        """Guards against a wait that begins anew with each holder."""
        await self.start_watcher()
        self.workers.cut_power([self.domains.find_watcher()], 1e6)
        for name in "abc":
            await self.domains.replace(name, f"next-{name}")
        await self.domains.advance(_LEASE_SECONDS)
        self.check_gap(_LEASE_SECONDS + _HANDOVER_SECONDS)

    async def test_only_daemon_is_replaced(self) -> None:
        """Guards against leases of unknown length without a successor."""
        await self.start_watcher(1)
        self.workers.cut_power([self.domains.find_watcher()], 1e6)
        await self.domains.advance(2)
        self.domains.begin_stop("a")
        await self.domains.leave("a")
        self.domains.start("next-a")
        await self.domains.advance(2 * _LEASE_SECONDS)
        self.check_gap(2 * _LEASE_SECONDS)


class UnrecordedEndTest(_PlannedStopTest):
    """Stops daemons that hold runs which have ended or never started."""

    async def test_claim_of_a_stopping_daemon(self) -> None:
        """Guards against a claim that blocks its task although nobody starts.

        The task must not count as one that crashed its worker either.
        """
        await self.start_watcher()
        daemon = self.domains.daemons["a"]
        worker = self.domains.find_watcher()
        client = daemon.domain_client
        await client.submit(
            model.JobOpened(model.JobSpec("batch", payload=_ENDLESS.encode()),
                            1, (), {}))
        self.domains.begin_stop("a")
        await client.submit(
            model.TaskClaimed("batch", 0, 1, worker, model.Resources(100, 64),
                              "a#1"))
        await self.domains.advance(_HANDOVER_SECONDS)
        state_machine = client.replica.state_machine
        self.assertEqual(state_machine.runs["batch", 0].run, 2)
        self.assertEqual(state_machine.jobs["batch"].crashes, {})

    async def test_claims_in_flight(self) -> None:
        """Guards against a handover that misses claims of the last round."""
        await self.start_watcher()
        await self.domains.submit("batch", _ENDLESS, tasks=4)
        controller = self.domains.daemons["a"].controller
        state_machine = (
            self.domains.daemons["b"].domain_client.replica.state_machine)
        while "batch" not in state_machine.jobs:
            await self.domains.advance(_ROUND_SECONDS)
        self.assertNotIn(("batch", 0), state_machine.runs)
        controller.run_round()
        self.domains.begin_stop("a")
        await self.domains.advance(_HANDOVER_SECONDS)
        self.assertEqual(state_machine.jobs["batch"].crashes, {})
        for task in range(4):
            self.assertEqual(len(self.workers.list_running("batch", task)), 1)

    async def test_loss_that_is_not_classified(self) -> None:
        """Guards against a lost run whose end the next holder must find out.

        The holder knows that the run has ended, but waits for losses of other
        workers before it records why.
        """
        await self.start_watcher()
        self.workers.cut_power([self.domains.find_watcher()], 0.0)
        await self.domains.advance(_ROUND_SECONDS)
        self.domains.begin_stop("a")
        await self.domains.advance(5)
        self.check_gap(_HANDOVER_SECONDS)


class FormerHolderTest(_PlannedStopTest):
    """Hands over runs while the former holder can still reach the worker."""

    async def test_former_holder_does_not_read_the_log(self) -> None:
        """Guards against a second run while the former holder renews the first.

        The next holder does not reach the worker, so it cannot raise the
        fencing token there, and the former holder does not see the handover.
        """
        await self.start_watcher()
        self.domains.daemons["b"].gate.cut_off.add(self.domains.find_watcher())
        self.domains.daemons["a"].gate.held_methods.add("read")
        self.domains.begin_stop("a")
        await self.domains.advance(_LEASE_SECONDS + 5)
        self.check_gap(_HANDOVER_SECONDS)

    async def test_former_holder_is_paused(self) -> None:
        """Guards against late orders of a holder that is paused as it leaves.

        Its records are in the log, and it may not have read them. The pause is
        longer than the lease, so that the task runs again before the calls of
        the former holder arrive.
        """
        await self.start_watcher()
        daemon = self.domains.daemons["a"]
        self.workers.cut_off.add(self.domains.find_watcher())
        await self.domains.advance(_ROUND_SECONDS)
        self.domains.begin_stop("a")
        daemon.controller.run_round()
        members = self.domains.daemons[
            "b"].domain_client.replica.state_machine.members
        while "a#1" in members:
            await asyncio.sleep(0.001)
        daemon.gate.is_paused = True
        await self.domains.advance(_LEASE_SECONDS + 5)
        self.workers.cut_off.clear()
        daemon.gate.is_paused = False
        await self.domains.advance(5)
        self.check_gap(_HANDOVER_SECONDS)
