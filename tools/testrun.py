"""Runs all tests with nose2 and prints a closing summary line.

Without arguments the suite runs in shards, several processes at once. With
arguments nose2 runs just the named tests in this process.

Tests that `KNOWN-RED.txt` lists may fail: they are printed and counted apart,
so that CI passes over exactly these. The exit status is 1 when another test
fails, when a shard ends without a result and when no test ran.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import NamedTuple

import nose2

from tools import outcomes
from tools import sharding

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PLUGINS = ("nose2.plugins.loader.loadtests",)
_KNOWN_RED_PATH = _ROOT / "KNOWN-RED.txt"
_RESULT_PREFIX = "shard-result: "

_MAX_SHARDS_AT_ONCE = 6
"""A deployment of processes loads about one core."""

_SHARD_TIMEOUT_SECONDS = 900.0
"""Several times the longest class of tests on one idle core."""


class Result(NamedTuple):
    """Outcome of some tests.

    Attributes:
        passed: Number of tests that passed.
        skipped: Number of tests that were skipped.
        failed: Identifiers of tests that failed.
    """

    passed: int
    skipped: int
    failed: tuple[str, ...]


def read_known_red(path: pathlib.Path) -> set[str]:
    """Returns the test identifiers listed as `test: <identifier>` lines."""
    if not path.exists():
        return set()
    prefix = "test:"
    return {
        line[len(prefix):].strip()
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.startswith(prefix)
    }


def run_here(arguments: list[str]) -> Result:
    """Runs the named tests in this process.

    They are looked up from `src`: with the package's own folder on the path,
    its `platform` package would hide the standard library's module.
    """
    if "-s" not in arguments:
        source = str(_ROOT / "src")
        arguments = ["-s", source, "-t", source, *arguments]
    nose2.discover(
        argv=["nose2", "--config",
              str(_ROOT / "unittest.cfg"), *arguments],
        plugins=[*_PLUGINS, outcomes.__name__],
        exit=False)
    counts = outcomes.OutcomeRecorder.counts
    return Result(counts["passed"], counts["skipped"],
                  tuple(sorted(outcomes.OutcomeRecorder.failed)))


def run_shard(shard: sharding.Shard) -> Result:
    """Runs a shard in a process of its own and prints its report."""
    environment = dict(os.environ)
    environment["PYTHONPATH"] = os.pathsep.join(
        [str(_ROOT / "src"), str(_ROOT)])
    began = time.monotonic()
    try:
        done = subprocess.run([
            sys.executable, "-m", "tools.testrun", "--shard", "-s",
            str(_ROOT / shard.top_level), "-t",
            str(_ROOT / shard.top_level), shard.name
        ],
                              cwd=_ROOT,
                              env=environment,
                              capture_output=True,
                              text=True,
                              check=False,
                              timeout=_SHARD_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        print(f"{shard.name}: no result after {_SHARD_TIMEOUT_SECONDS} s")
        return Result(0, 0, (shard.name,))
    lines = done.stdout.splitlines()
    results = [line for line in lines if line.startswith(_RESULT_PREFIX)]
    if not results:
        print(f"{shard.name}: ended with status {done.returncode}\n"
              f"{done.stdout}{done.stderr}")
        return Result(0, 0, (shard.name,))
    passed, skipped, failed = json.loads(results[-1][len(_RESULT_PREFIX):])
    print(
        f"{shard.name}: {passed} passed, {len(failed)} failed, "
        f"{skipped} skipped in {time.monotonic() - began:.1f} s",
        flush=True)
    if failed:
        print(done.stdout + done.stderr, flush=True)
    return Result(passed, skipped, tuple(failed))


def run_all() -> Result:
    """Runs all shards, a bounded number at once."""
    shards = sharding.list_shards()
    workers = max(1, min(_MAX_SHARDS_AT_ONCE, os.cpu_count() or 1))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        results = list(pool.map(run_shard, shards))
    return Result(
        sum(result.passed for result in results),
        sum(result.skipped for result in results),
        tuple(sorted(name for result in results for name in result.failed)))


def main() -> int:
    """Runs the tests.

    Returns:
        The exit status of the process.
    """
    arguments = sys.argv[1:]
    if arguments[:1] == ["--shard"]:
        result = run_here(arguments[1:])
        sys.stderr.flush()
        print(_RESULT_PREFIX + json.dumps(result), flush=True)
        return 0
    result = run_here(arguments) if arguments else run_all()
    listed = read_known_red(_KNOWN_RED_PATH)
    unexpected = [name for name in result.failed if name not in listed]
    for name in result.failed:
        print(f"{'known red' if name in listed else 'failed'}: {name}")
    did_run = bool(result.failed or result.passed)
    if not did_run:
        print("no test ran")
    sys.stderr.flush()
    print(f"{result.passed} passed, {len(unexpected)} failed, "
          f"{result.skipped} skipped")
    return 1 if unexpected or not did_run else 0


if __name__ == "__main__":
    sys.exit(main())
