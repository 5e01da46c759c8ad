"""Tests that only the package `platform` knows the platform's protocols."""

import ast
import pathlib
import re
import unittest

from gentianlead.tests import test_imports

_SOURCE_FOLDER = pathlib.Path(__file__).resolve().parent.parent.parent
_WIRE_NAMES = ("anti_affinity", "cloud_api", "cold_remaining_ms", "data_rack",
               "deadline_factor", "depends_on_key", "expires_ms",
               "fencing_token", "hold_max_ms", "last_seen", "log-append",
               "log-newest", "long_running", "miss_allowed", "run-start",
               "run-stop", "same_rack", "target_ms", "miss_allowed", "run_id",
               "keyed\\.servers", "keyed\\.op")
_ALLOWED_PACKAGES = {"errors", "model", "ports", "platform"}


class BoundaryTest(unittest.TestCase):
    """Tests of the names and imports inside and outside the package."""

    def test_wire_names_stay_in_this_package(self):
        """Guards against wire names of the platform in other packages."""
        pattern = re.compile(r"\b(" + "|".join(_WIRE_NAMES) + r")\b")
        for path in sorted(_SOURCE_FOLDER.rglob("*.py")):
            if "platform" in path.relative_to(_SOURCE_FOLDER).parts:
                continue
            with self.subTest(path=str(path.relative_to(_SOURCE_FOLDER))):
                found_names = pattern.findall(path.read_text(encoding="utf-8"))
                self.assertEqual(found_names, [])

    def test_package_imports_only_allowed_packages(self):
        """Guards against scheduling logic in the package `platform`."""
        for path in test_imports.list_modules("platform"):
            imported_packages = {
                name.split(".")[1]
                for name in test_imports.list_imports(path)
                if name.startswith("gentianlead.")
            }
            with self.subTest(path=path.name):
                self.assertLessEqual(imported_packages, _ALLOWED_PACKAGES)

    def test_no_module_shadows_the_standard_library(self):
        """Guards against a folder that hides the standard module `platform`."""
        roots = [_SOURCE_FOLDER.parent, _SOURCE_FOLDER.parent.parent]
        for root in roots:
            self.assertFalse((root / "platform").exists(), root)

    def test_only_cluster_imports_this_package(self):
        """Guards against other packages that import `platform`."""
        importing_packages = set()
        for path in sorted(_SOURCE_FOLDER.rglob("*.py")):
            package = path.relative_to(_SOURCE_FOLDER).parts[0]
            tree = ast.parse(path.read_text(encoding="utf-8"))
            for node in ast.walk(tree):
                if (isinstance(node, ast.ImportFrom) and
                        node.module == "gentianlead" and
                        any(alias.name == "platform" for alias in node.names)):
                    importing_packages.add(package)
        self.assertLessEqual(importing_packages, {"platform", "cluster"})
