"""Tests that the platform's names and calls stay in one folder."""

import ast
import pathlib
import re
import unittest

from gentianlead.tests import test_imports

_SOURCE = pathlib.Path(__file__).resolve().parent.parent.parent
_MISLEADING_NAMES = ("anti_affinity", "cloud_api", "cold_remaining_ms",
                     "data_rack", "deadline_factor", "depends_on_key",
                     "expires_ms", "fencing_token", "hold_max_ms", "last_seen",
                     "log-append", "log-newest", "long_running", "miss_allowed",
                     "run-start", "run-stop", "same_rack", "target_ms",
                     "miss_allowed", "run_id", "keyed\\.servers", "keyed\\.op")
_ALLOWED_IMPORTS = {"errors", "model", "ports", "platform"}


class BoundaryTest(unittest.TestCase):
    """The folder that speaks to the platform."""

    def test_names_of_the_platform_stay_inside(self):
        """Guards against wire names that spread through the project."""
        pattern = re.compile(r"\b(" + "|".join(_MISLEADING_NAMES) + r")\b")
        for path in sorted(_SOURCE.rglob("*.py")):
            if "platform" in path.relative_to(_SOURCE).parts:
                continue
            with self.subTest(path=str(path.relative_to(_SOURCE))):
                found = pattern.findall(path.read_text(encoding="utf-8"))
                self.assertEqual(found, [])

    def test_folder_imports_nothing_that_decides(self):
        """Guards against decisions that creep into the translation."""
        for path in test_imports.list_modules("platform"):
            used = {
                name.split(".")[1]
                for name in test_imports.list_imports(path)
                if name.startswith("gentianlead.")
            }
            with self.subTest(path=path.name):
                self.assertLessEqual(used, _ALLOWED_IMPORTS)

    def test_no_module_shadows_the_standard_library(self):
        """Guards against a top-level package named like a standard module."""
        roots = [_SOURCE.parent, _SOURCE.parent.parent]
        for root in roots:
            self.assertFalse((root / "platform").exists(), root)

    def test_platform_is_wired_in_one_package(self):
        """Guards against a second place that depends on the platform."""
        users = set()
        for path in sorted(_SOURCE.rglob("*.py")):
            package = path.relative_to(_SOURCE).parts[0]
            tree = ast.parse(path.read_text(encoding="utf-8"))
            for node in ast.walk(tree):
                if (isinstance(node, ast.ImportFrom) and
                        node.module == "gentianlead" and
                        any(alias.name == "platform" for alias in node.names)):
                    users.add(package)
        self.assertLessEqual(users, {"platform", "cluster"})
