"""Sends the reports of leaders to the other daemons."""

import asyncio
import datetime

from gentianlead import errors
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _peering
from gentianlead.cluster import _report_pacer

REPORT_TIMEOUT = datetime.timedelta(seconds=5)
"""Longest wait for the reply to a report. The connection to a peer that is
silent is closed earlier, so only a slow link lets a report wait this long."""


class ReportSender:
    """Sends reports to all reachable peers, to each peer one at a time.

    Reports that are published while a peer has not replied to the previous one,
    or waits for its turn, are merged and sent after that. A link that is too
    slow for all reports thus gets fewer of them, instead of a growing queue. A
    report, also a merged one, is encoded once for all peers that get it.
    """

    def __init__(self, peering: _peering.Peering,
                 pacer: _report_pacer.ReportPacer,
                 log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._peering = peering
        self._pacer = pacer
        self._log = log
        self._metrics = metrics
        self._unsent_reports: dict[str, dict[str, _peering.SharedRequest]] = {}
        self._send_tasks: dict[str, asyncio.Task] = {}
        self._failure_counts: dict[str, int] = {}

    def publish(self, report: _peer_messages.LeaderReport) -> None:
        """Sends a report to all peers that are reachable now."""
        peer_names = self._peering.list_reachable_daemons()
        for peer_name in set(self._unsent_reports) - peer_names:
            del self._unsent_reports[peer_name]
        # Peers that wait with the same older report share the merged one.
        requests_by_older: dict[_peering.SharedRequest | None,
                                _peering.SharedRequest] = {
                                    None: _peering.SharedRequest(report)
                                }
        for peer_name in peer_names:
            unsent_by_group = self._unsent_reports.setdefault(peer_name, {})
            older_request = unsent_by_group.get(report.group)
            if older_request is not None:
                self._metrics.leader_reports.inc({"outcome": "merged"})
            if older_request not in requests_by_older:
                requests_by_older[older_request] = _peering.SharedRequest(
                    merge_reports(older_request.value, report))
            unsent_by_group[report.group] = requests_by_older[older_request]
            if peer_name not in self._send_tasks:
                self._send_tasks[peer_name] = asyncio.get_running_loop(
                ).create_task(self._send_all(peer_name))

    def close(self) -> None:
        """Abandons all reports that have no reply yet."""
        for task in self._send_tasks.values():
            task.cancel()

    async def _send_all(self, peer_name: str) -> None:
        try:
            while self._unsent_reports.get(peer_name):
                async with self._pacer.turn:
                    await self._pacer.wait()
                    # The peer may have become unreachable meanwhile.
                    unsent_by_group = self._unsent_reports.get(peer_name)
                    if not unsent_by_group:
                        break
                    request = unsent_by_group.pop(next(iter(unsent_by_group)))
                    self._pacer.add_bytes(len(request.payload))
                await self._send(peer_name, request)
        finally:
            del self._send_tasks[peer_name]

    async def _send(self, peer_name: str,
                    request: _peering.SharedRequest) -> None:
        try:
            await self._peering.call(peer_name, _peer_messages.NOTICE_REPORT,
                                     request, bool, REPORT_TIMEOUT)
        except errors.RequestError as error:
            self._metrics.leader_reports.inc({"outcome": "failed"})
            failure_count = self._failure_counts.get(peer_name, 0) + 1
            self._failure_counts[peer_name] = failure_count
            # Logs the first, second, fourth and so on failure in a row.
            if not failure_count & (failure_count - 1):
                self._log.write("notice-failed",
                                peer=peer_name,
                                subject=_peer_messages.NOTICE_REPORT,
                                failures=failure_count,
                                error=str(error))
            return
        self._metrics.leader_reports.inc({"outcome": "ok"})
        self._failure_counts.pop(peer_name, None)


def merge_reports(
        older_report: _peer_messages.LeaderReport,
        newer_report: _peer_messages.LeaderReport
) -> _peer_messages.LeaderReport:
    """Returns one report that has the content of two reports of a group.

    The load is that of the newer report, and so are the states of jobs and the
    estimates of pairs that both reports contain.
    """
    states = {
        notice.job_id: notice
        for notice in (*older_report.states, *newer_report.states)
    }
    estimates = {
        (estimate.latency_critical_image, estimate.best_effort_image): estimate
        for estimate in (*older_report.interference_pairs,
                         *newer_report.interference_pairs)
    }
    return newer_report._replace(states=tuple(states.values()),
                                 interference_pairs=tuple(estimates.values()))
