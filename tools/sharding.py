"""Splits the test suite into shards that can run side by side.

A shard is one test module, or one test class of a module whose tests start
processes. Each shard runs in a process of its own; ports are reserved by the
kernel, so that shards cannot clash.
"""

import ast
import pathlib
from typing import NamedTuple

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SOURCE_ROOTS = {"src/gentianlead": "src", "standins": "."}
_CLASS_SHARDED = ("daemon", "standins")
"""Parts of paths of modules whose classes run for many seconds each."""


class Shard(NamedTuple):
    """A part of the suite.

    Attributes:
        name: Dotted name of the module, or of a class in it.
        top_level: Folder that the name starts from.
        is_slow: Whether its tests start processes.
    """

    name: str
    top_level: str
    is_slow: bool


def _list_test_classes(path: pathlib.Path) -> list[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [
        node.name
        for node in tree.body
        if isinstance(node, ast.ClassDef) and any(
            isinstance(item, (ast.FunctionDef, ast.AsyncFunctionDef)) and
            item.name.startswith("test") for item in node.body)
    ]


def list_shards() -> list[Shard]:
    """Returns all shards, those that start processes first."""
    shards = []
    for folder, top_level in _SOURCE_ROOTS.items():
        for path in sorted((_ROOT / folder).rglob("test_*.py")):
            relative = path.relative_to(_ROOT / top_level).with_suffix("")
            module = ".".join(relative.parts)
            is_slow = any(part in _CLASS_SHARDED for part in relative.parts)
            classes = _list_test_classes(path) if is_slow else []
            shards.extend(
                Shard(f"{module}.{name}", top_level, True) for name in classes)
            if not classes:
                shards.append(Shard(module, top_level, is_slow))
    return sorted(shards, key=lambda shard: not shard.is_slow)
