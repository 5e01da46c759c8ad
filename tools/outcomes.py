"""nose2 plugin that records the outcome of each test."""

import collections

from nose2 import events

_ALWAYS_ON = True


class OutcomeRecorder(events.Plugin):
    """Counts tests by outcome and remembers the failed ones.

    Attributes:
        counts: Number of tests by nose2 outcome name.
        failed: Identifiers of tests that did not behave as expected.
    """

    alwaysOn = _ALWAYS_ON
    configSection = "outcome-recorder"
    counts: collections.Counter[str] = collections.Counter()
    failed: list[str] = []

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # pylint: disable=invalid-name
        """Records an outcome; called by nose2."""
        name = event.test.id().split()[0]
        if event.outcome == "subtest":
            # The enclosing test is counted by an event of its own.
            if event.exc_info is not None and name not in self.failed:
                self.failed.append(name)
        elif event.outcome == "skipped":
            self.counts["skipped"] += 1
        elif event.outcome == "passed" and event.expected:
            self.counts["passed"] += 1
        elif name not in self.failed:
            self.failed.append(name)
