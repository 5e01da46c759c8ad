"""Tests of the rule that decision logic imports no I/O."""

import ast
import pathlib
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DECISIONS = ("dispatch", "errors", "leases", "membership", "model", "routing",
              "scheduling", "state")
_IO_MODULES = frozenset({
    "aiohttp", "aiomisc", "asyncio", "http", "logbook", "os", "pathlib",
    "select", "selectors", "socket", "ssl", "subprocess", "threading", "time",
    "urllib", "uvloop"
})
_ALLOWED_PACKAGES = {
    "errors": set(),
    "model": {"errors"},
    "state": {"errors", "model"},
    "leases": {"errors", "model"},
    "membership": {"model", "state"},
    "ports": {"errors", "model"},
    "routing": {"errors", "model", "ports"},
    "scheduling": {"errors", "model", "ports", "state"},
    "streams": {"errors", "leases", "model", "ports", "state"},
    "peers": {"errors", "ports"},
    "adapters": {"errors", "model", "ports"},
    "settings": {"errors"},
    "telemetry": set(),
    "dispatch": {"errors", "model", "ports"},
    "platform": {"errors", "model", "ports"},
    "cluster": {
        "adapters", "dispatch", "errors", "model", "peers", "platform", "ports"
    },
    "cli": {"errors", "model"},
}


def list_imports(path: pathlib.Path) -> set[str]:
    """Returns the dotted names of all modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


def list_modules(package: str) -> list[pathlib.Path]:
    """Returns the modules of a package without its tests."""
    return [
        path for path in sorted((_ROOT / package).rglob("*.py"))
        if "tests" not in path.parts
    ]


class ImportRuleTest(unittest.TestCase):
    """Imports of all packages."""

    def test_decisions_import_no_io(self) -> None:
        """Guards against decisions that cannot run on an injected clock."""
        for package in _DECISIONS:
            for path in list_modules(package):
                used = {name.split(".")[0] for name in list_imports(path)}
                self.assertEqual(used & _IO_MODULES, set(), path)

    def test_packages_import_what_the_design_allows(self) -> None:
        """Guards against a dependency that the design does not have."""
        for package, allowed in _ALLOWED_PACKAGES.items():
            for path in list_modules(package):
                used = {
                    name.split(".")[1]
                    for name in list_imports(path)
                    if name.startswith("gentianlead.")
                }
                self.assertLessEqual(used, allowed | {package}, path)
