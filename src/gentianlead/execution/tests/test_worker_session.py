"""Tests of when a worker session marks a run as ended."""

import datetime
import unittest
from unittest import mock

from gentianlead import errors
from gentianlead import execution
from gentianlead import leases
from gentianlead import model
from gentianlead import ports
from gentianlead import state

_LEASE_LENGTH = datetime.timedelta(seconds=15)
_JOB_SPEC = model.JobSpec("job")
_LIVE_RUN = state.LiveRun("job", 0, 1, "w1", _JOB_SPEC.resources, "new", 2, 7)


class TakenOverRunTest(unittest.IsolatedAsyncioTestCase):
    """Tests of when a run taken over from another holder is marked as ended."""

    def setUp(self) -> None:
        self.clock = mock.create_autospec(ports.Clock, instance=True)
        self.clock.monotonic.return_value = 100.0
        self.worker_agent_client = mock.create_autospec(ports.WorkerAgent,
                                                        instance=True)
        self.held_run = execution.HeldRun(_LIVE_RUN, _JOB_SPEC, "",
                                          execution.RunPhase.TAKEN_OVER, 100.0)
        self.held_run.former_lease_expiry_bound = 1000.0
        self.session = execution.WorkerSession("w1", "127.0.0.1:1",
                                               self.worker_agent_client,
                                               self.clock, _LEASE_LENGTH,
                                               lambda run: True, lambda: True,
                                               execution.ExecutionObserver())
        self.session.runs["job", 0] = self.held_run

    async def test_run_is_marked_ended_only_after_expiry_bound(self) -> None:
        """Checks that the run is marked as ended only after the expiry bound.

        The bound is `former_lease_expiry_bound`. The worker lists the run as
        running, and every renewal by this daemon fails. Listing does not raise
        the fencing token at the worker, so the former holder can still renew
        the lease until the bound. Guards against marking the run as ended while
        its former holder still renews it.
        """
        report = ports.RunReport(self.held_run.run_key, ports.RunState.RUNNING,
                                 5000)
        self.worker_agent_client.list_runs.return_value = ports.WorkerReply(
            "boot", 1000, (report,))
        self.worker_agent_client.renew.side_effect = errors.WorkerError(
            "no reply", errors.Verdict.MAY_HAVE_RUN)
        for now in (100.0, 101.0, 200.0, 999.0):
            self.clock.monotonic.return_value = now
            await self.session.run_round()
            self.assertIsNot(self.held_run.phase, execution.RunPhase.ENDED, now)
        self.clock.monotonic.return_value = 1001.0
        await self.session.run_round()
        self.assertIs(self.held_run.phase, execution.RunPhase.ENDED)


class EndedRenewalsTest(unittest.IsolatedAsyncioTestCase):
    """Tests the leases that a holder tells before it hands over a run."""

    def setUp(self) -> None:
        self.clock = mock.create_autospec(ports.Clock, instance=True)
        self.clock.monotonic.return_value = 100.0
        self.agent = mock.create_autospec(ports.WorkerAgent, instance=True)
        self.agent.list_runs.return_value = ports.WorkerReply("boot", 1000, ())
        self.session = execution.WorkerSession("w1", "127.0.0.1:1", self.agent,
                                               self.clock, _LEASE_LENGTH,
                                               lambda run: True, lambda: True,
                                               execution.ExecutionObserver())

    def add_run(self, phase: execution.RunPhase) -> execution.HeldRun:
        """Adds a held run in a phase to the session."""
        run = execution.HeldRun(_LIVE_RUN, _JOB_SPEC, "", phase, 100.0)
        self.session.runs["job", 0] = run
        return run

    async def test_last_renewal_counts(self) -> None:
        """Guards against a lease that a later or unanswered renewal extends."""
        run = self.add_run(execution.RunPhase.RUNNING)
        run.boot_id = "boot"
        self.agent.renew.side_effect = errors.WorkerError(
            "no reply", errors.Verdict.MAY_HAVE_RUN)
        await self.session.run_round()
        self.clock.monotonic.return_value = 104.0
        lease = self.session.end_renewals(run)
        self.assertGreaterEqual(lease, datetime.timedelta(seconds=11))
        self.assertLess(lease, datetime.timedelta(seconds=11.1))
        self.agent.renew.side_effect = None
        self.agent.renew.return_value = ports.WorkerReply("boot", 5000, ())
        await self.session.run_round()
        await self.session.run_round()
        _, _, renewals = self.agent.renew.call_args.args
        self.assertEqual([renewal.expires_at_ms for renewal in renewals], [0])

    async def test_start_order_in_flight(self) -> None:
        """Guards against a handover that forgets an unanswered start order."""
        run = self.add_run(execution.RunPhase.CLAIMED)
        self.agent.start.side_effect = errors.WorkerError(
            "no reply", errors.Verdict.MAY_HAVE_RUN)
        await self.session.run_round()
        self.assertGreaterEqual(self.session.end_renewals(run), _LEASE_LENGTH)

    async def test_worker_never_reached(self) -> None:
        """Guards against a wait that is forgotten or begins anew.

        The holder took the run over and has not confirmed it at the worker, so
        that the lease of the holder before it counts on.
        """
        run = self.add_run(execution.RunPhase.TAKEN_OVER)
        run.former_lease_expiry_bound = 915.0
        self.clock.monotonic.return_value = 200.0
        self.assertEqual(self.session.end_renewals(run),
                         datetime.timedelta(seconds=715) - leases.EXPIRY_MARGIN)
