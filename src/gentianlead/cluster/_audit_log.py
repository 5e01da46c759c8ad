"""Log lines and metrics for differences that last in the state of a group."""

from typing import Callable

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _metrics

MAX_LINES = 4
"""Differences that are logged in one call of `AuditLog.write`, which is made
about once a second. The counter includes all of them."""


class AuditLog:
    """Compares the state of a leader with the topic and the workers.

    Jobs and tasks that differ from the topic are repaired, see
    `dispatch.repair_from_topic`.

    Attributes:
        topic_reader: Reader of the job topic; None without one, so that nothing
            is compared.
    """

    def __init__(self, scheduler: dispatch.GroupScheduler, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics,
                 get_load_reports: Callable[[], dict[str,
                                                     dispatch.GroupReport]]):
        self.topic_reader: _job_topic.JobTopicReader | None = None
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._get_load_reports = get_load_reports
        self._auditor = dispatch.GroupAuditor()
        self._gauged_kinds: set[dispatch.DifferenceKind] = set()
        self._error_count = 0

    def write(self, now: float) -> None:
        """Updates the metrics and logs the differences that are due."""
        if self.topic_reader is None or not self.topic_reader.is_loaded:
            return
        try:
            self._audit(self.topic_reader, now)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # The group needs its leader more than the audit.
            self._write_error(error)

    def _write_error(self, error: Exception) -> None:
        """Logs the first, second, fourth, eighth and so on error."""
        self._error_count += 1
        if not self._error_count & (self._error_count - 1):
            self._log.write("internal-error",
                            group=self._scheduler.group,
                            error=_decision_log.format_error(error),
                            errors=self._error_count)

    def _audit(self, topic_reader: _job_topic.JobTopicReader,
               now: float) -> None:
        topic = dispatch.TopicView(topic_reader.job_table.jobs,
                                   topic_reader.fresh_as_of)
        differences = self._auditor.audit(
            self._scheduler, topic, self._get_load_reports(), now,
            int(self._clock.now().timestamp() * 1000))
        for difference in differences:
            if difference.is_new:
                self._metrics.state_differences.inc(
                    {"kind": difference.kind.value})
        is_leader = not topic_reader.job_table.is_superseded(
            self._scheduler.group, self._scheduler.epoch)
        for number, difference in enumerate(differences):
            outcome = dispatch.RepairOutcome.NOT_REPAIRED
            if is_leader:
                outcome = dispatch.repair_from_topic(self._scheduler, topic,
                                                     difference)
            if number < MAX_LINES:
                self._write_line(difference, outcome)
        self._set_gauges(self._auditor.compute_longest_s(now))

    def _write_line(self, difference: dispatch.Difference,
                    outcome: dispatch.RepairOutcome) -> None:
        is_stuck = difference.kind is dispatch.DifferenceKind.TASKS_STUCK
        self._log.write("tasks-stuck" if is_stuck else "state-differs",
                        kind=difference.kind.value,
                        job=difference.job_id,
                        task=difference.task,
                        group=self._scheduler.group,
                        epoch=self._scheduler.epoch,
                        age_s=round(difference.age_s, 1),
                        repair=outcome.value,
                        topic=difference.topic,
                        held=difference.held)

    def close(self) -> None:
        """Resets the gauge: the group has another leader now."""
        self._set_gauges({})

    def _set_gauges(self, longest_s: dict[dispatch.DifferenceKind,
                                          float]) -> None:
        for kind in self._gauged_kinds | longest_s.keys():
            self._metrics.longest_difference_seconds.set(
                {
                    "group": self._scheduler.group,
                    "kind": kind.value
                }, longest_s.get(kind, 0.0))
        self._gauged_kinds |= longest_s.keys()
