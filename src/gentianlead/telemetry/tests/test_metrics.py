"""Tests of the metrics and of the page that lists them."""

import datetime
import pathlib
import unittest

from gentianlead import telemetry

_DOCS = pathlib.Path(__file__).resolve().parents[4] / "docs"
_ELAPSED = datetime.timedelta(milliseconds=20)


class DaemonMetricsTest(unittest.TestCase):
    """Tests the rendered metrics."""

    def setUp(self) -> None:
        self.metrics = telemetry.DaemonMetrics()

    def render_lines(self) -> list[str]:
        return self.metrics.render().decode().splitlines()

    def test_page_equals_code(self) -> None:
        """Guards against a page that differs from the metrics in the code."""
        expected = [
            f"| `{spec.name}` | {spec.kind.value} | "
            f"{', '.join(spec.labels) or 'none'} | {spec.help} |"
            for spec in telemetry.METRIC_SPECS
        ]
        page = (_DOCS / "metrics.md").read_text(encoding="utf-8")
        rows = [
            line for line in page.splitlines()
            if line.startswith("| `gentianlead_")
        ]
        self.assertEqual(rows, expected)

    def test_counters_add_and_gauges_replace(self) -> None:
        """Guards against counters that are reset when metrics are rendered."""
        for _ in range(2):
            self.metrics.count_request("previews", "OK", "ran", _ELAPSED)
            self.metrics.set_requests_in_flight("previews", 3)
            lines = self.render_lines()
        label_text = 'code="OK",service="previews",verdict="ran"'
        self.assertIn(f"gentianlead_requests_total{{{label_text}}} 2", lines)
        self.assertIn('gentianlead_requests_in_flight{service="previews"} 3',
                      lines)
        bucket_prefix = 'gentianlead_request_seconds_bucket{le="0.025",'
        self.assertIn(f'{bucket_prefix}service="previews"}} 2.0', lines)

    def test_every_method_writes_its_metrics(self) -> None:
        """Guards against a documented metric that is never exported."""
        metrics = self.metrics
        metrics.count_request("s", "OK", "ran", _ELAPSED)
        metrics.set_requests_in_flight("s", 1)
        metrics.count_attempt("s", "ok", _ELAPSED)
        metrics.count_retry("s", "refused")
        metrics.count_shed_request("s", "queue_full")
        metrics.count_forwarded_request("s", "north-2")
        metrics.count_log_append("config", "ok", 5, _ELAPSED)
        metrics.set_stream("config", 9, datetime.timedelta.max, True)
        metrics.set_config_version(4)
        metrics.count_task_start("batch", "ok")
        metrics.count_evicted_run("urgent")
        metrics.count_released_run("lapsed")
        metrics.count_worker_crash("lone-crash")
        metrics.count_suspect_start()
        metrics.count_job_given_up()
        metrics.set_tasks(1, 2, 3)
        metrics.set_member_count(2)
        metrics.set_peer_stream_count(1)
        metrics.set_ready(True)
        lines = self.render_lines()
        for spec in telemetry.METRIC_SPECS:
            self.assertTrue(
                any(
                    line.startswith((f"{spec.name}{{", f"{spec.name} ",
                                     f"{spec.name}_count{{"))
                    for line in lines), spec.name)
        self.assertIn('gentianlead_log_records_total{stream="config"} 5', lines)

    def test_label_values_are_escaped(self) -> None:
        """Guards against a name that breaks the format of the whole page."""
        self.metrics.count_shed_request('a"b\\c\n', "queue_full")
        self.assertIn(
            'gentianlead_sheds_total{reason="queue_full",'
            'service="a\\"b\\\\c\\n"} 1', self.render_lines())
