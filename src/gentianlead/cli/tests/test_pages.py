"""Compares the pages for users in `docs/` with the code."""

import json
import pathlib
import re
import unittest

from gentianlead import errors
from gentianlead import model
from gentianlead import telemetry
from gentianlead.cluster import _metrics

_DOCS = pathlib.Path(__file__).resolve().parents[4] / "docs"


def _read_blocks(page: str, language: str) -> list[str]:
    text = (_DOCS / page).read_text(encoding="utf-8")
    return re.findall(rf"```{language}\n(.*?)```", text, re.DOTALL)


class PagesTest(unittest.TestCase):
    """Tests the examples and tables of the pages."""

    def test_error_codes_are_documented(self) -> None:
        """Guards against a code or status that callers cannot look up."""
        text = (_DOCS / "interfaces.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| `([A-Z_]+)` \| (\d+) \|", text, re.MULTILINE)
        self.assertEqual(
            rows,
            [(code.value, str(code.http_status)) for code in errors.ErrorCode])

    def test_patch_examples_are_valid(self) -> None:
        """Guards against examples that the daemon would refuse."""
        base = model.apply_operations(model.Configuration(),
                                      (model.PutDomain("north-2", "north"),))
        bodies = re.findall(r"-d '(\{.*?\})'",
                            "".join(_read_blocks("interfaces.md",
                                                 "sh")), re.DOTALL)
        patches = [json.loads(text) for text in _read_blocks("cli.md", "json")]
        patches.extend(json.loads(body) for body in bodies)
        operations = [
            operation for patch in patches
            for operation in patch.get("operations", ())
        ]
        self.assertEqual(len(operations), 4)
        model.apply_operations(
            base,
            tuple(
                model.parse_operation(operation, position)
                for position, operation in enumerate(operations)))

    def test_examples_can_be_read(self) -> None:
        """Guards against JSON or Python examples with a syntax error."""
        blocks = _read_blocks("interfaces.md", "json")
        self.assertGreater(len(blocks), 4)
        for block in blocks:
            json.loads(block)
        for block in _read_blocks("interfaces.md", "python"):
            compile(block, "interfaces.md", "exec")

    def test_alert_rules_name_known_metrics(self) -> None:
        """Guards against alert rules that can never fire."""
        rules = _read_blocks("OPERATIONS.md", "yaml")[0]
        names = set(re.findall(r"gentianlead_\w+", rules))
        known = {spec.name for spec in telemetry.METRIC_SPECS} | set(
            re.findall(r"gentianlead_\w+",
                       _metrics.ClusterMetrics().render().decode()))
        self.assertEqual({name.removesuffix("_bucket") for name in names} -
                         known, set())
