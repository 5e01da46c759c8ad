"""Tests of changes that are sent until their outcome is known."""

import asyncio
import unittest

from gentianlead.cli import _client
from gentianlead.cli import _submission
from gentianlead.cli.tests import fake_daemon


class InterruptionTest(unittest.IsolatedAsyncioTestCase):
    """Tests what happens if a user stops the tool during a submission."""

    async def test_interruption_leaves_the_outcome_open(self) -> None:
        """Guards against Ctrl-C that hides the identifier of a change."""
        daemon = fake_daemon.FakeDaemon(fake_daemon.FakeCluster())
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        daemon.faults_by_method["POST"] = [fake_daemon.NO_REPLY]
        connection = _client.ConnectionSettings((daemon.url,), "", 30.0)
        async with _client.OperatorClient(connection) as client:
            submission = _submission.CancelSubmission(client, "j-1")
            task = asyncio.create_task(submission.send_until_resolved())
            while not daemon.requests:
                await asyncio.sleep(0.01)
            task.cancel()
            resolution = await task
        self.assertIs(resolution.outcome, _submission.SubmissionOutcome.UNKNOWN)
        self.assertEqual(resolution.reason, "interrupted")
