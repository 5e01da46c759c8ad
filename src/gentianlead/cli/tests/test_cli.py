"""Tests of the commands against a fake operator port."""

import asyncio
import json
import pathlib
import re
import unittest

import click
from click import testing

from gentianlead import cli
from gentianlead.cli.tests import fake_daemon

_DOCS = pathlib.Path(__file__).resolve().parents[4] / "docs"
_DOMAIN_OUT_OPERATIONS = [{"op": "domain_out", "name": "north-1"}]
_UNREACHABLE_URL = "http://127.0.0.1:1"


class CommandTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class with two fake daemons; commands run in a thread."""

    async def asyncSetUp(self) -> None:
        self.cluster = fake_daemon.FakeCluster()
        self.first = fake_daemon.FakeDaemon(self.cluster)
        self.second = fake_daemon.FakeDaemon(self.cluster)
        for daemon in (self.first, self.second):
            await daemon.start()
            self.addAsyncCleanup(daemon.stop)
        self.servers = [self.first.url, self.second.url]

    async def invoke(self,
                     *arguments: str,
                     stdin: str = "",
                     **variables: str) -> testing.Result:
        """Runs a command and returns its result."""
        variables.setdefault("GENTIANLEAD_SERVERS", ",".join(self.servers))
        result = await asyncio.to_thread(testing.CliRunner().invoke,
                                         cli.main,
                                         arguments,
                                         input=stdin,
                                         env=variables)
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        return result

    def check_exit(self, result: testing.Result, code: cli.ExitCode) -> None:
        """Fails unless the command ended with the exit code."""
        self.assertEqual(result.exit_code, code, result.output)


class PatchTest(CommandTestCase):
    """Tests of `config patch`, `config diff` and `zone`."""

    async def patch(self,
                    *arguments: str,
                    base_version: int = 7,
                    name: str = "north-1") -> testing.Result:
        """Sends a patch that takes a domain out."""
        text = json.dumps({
            "base_version": base_version,
            "operations": [{
                **_DOMAIN_OUT_OPERATIONS[0], "name": name
            }],
        })
        return await self.invoke("config",
                                 "patch",
                                 "-",
                                 "--patch-id=p-1",
                                 "--timeout=6",
                                 *arguments,
                                 stdin=text)

    async def test_accepted_patch(self) -> None:
        """Guards against output without the version of the accepted patch."""
        result = await self.patch("--output=json")
        self.check_exit(result, cli.ExitCode.SUCCESS)
        self.assertEqual(json.loads(result.stdout), {
            "patch_id": "p-1",
            "result": "accepted",
            "version": 8,
            "reason": ""
        })

    async def test_lost_reply_is_resolved(self) -> None:
        """Guards against a patch that is applied twice or reported wrongly."""
        for fault in (fake_daemon.CLOSE_AFTER_CHANGE,
                      fake_daemon.CLOSE_BEFORE_CHANGE, fake_daemon.NO_REPLY):
            for checks_version_first in (False, True):
                await self.asyncSetUp()
                self.first.faults_by_method["POST"] = [fault, ""]
                self.first.checks_version_first = checks_version_first
                self.second.checks_version_first = checks_version_first
                result = await self.patch("--timeout=3")
                self.check_exit(result, cli.ExitCode.SUCCESS)
                self.assertIn("p-1 accepted as version 8", result.output)
                self.assertEqual(self.cluster.accepted_patch_ids, ["p-1"],
                                 fault)

    async def test_refusal_after_lost_reply_is_not_rejection(self) -> None:
        """Guards against reporting an accepted patch as rejected.

        The reply is lost, and the server refuses the patch when it is sent
        again.
        """
        self.servers = [self.first.url]
        self.first.checks_version_first = True
        self.first.faults_by_method["POST"] = [
            fake_daemon.CLOSE_AFTER_CHANGE, ""
        ]
        # The first query of the outcome fails, so that the patch is sent again.
        # There are two faults because aiohttp repeats a GET once.
        self.first.faults_by_method["GET"] = [fake_daemon.CLOSE_BEFORE_CHANGE
                                             ] * 2 + [""]
        result = await self.patch()
        self.check_exit(result, cli.ExitCode.SUCCESS)
        posts = [line for line in self.first.requests if line[:4] == "POST"]
        self.assertEqual(len(posts), 2)

    async def test_conflict_at_a_server_that_is_behind_is_not_final(
            self) -> None:
        """Guards against reporting a rejection while the outcome is unknown."""
        self.first.faults_by_method["POST"] = [fake_daemon.CLOSE_BEFORE_CHANGE]
        self.second.version_lag = 1
        result = await self.patch("--timeout=1")
        self.check_exit(result, cli.ExitCode.UNKNOWN_RESULT)

    async def test_rejected_patch(self) -> None:
        """Guards against one exit code for version conflict and refusal."""
        result = await self.patch(base_version=3)
        self.check_exit(result, cli.ExitCode.VERSION_CONFLICT)
        self.assertIn("rejected, current version is 7", result.stderr)
        result = await self.patch(name="invalid")
        self.check_exit(result, cli.ExitCode.REFUSED)

    async def test_earlier_verdict_is_read_by_identifier(self) -> None:
        """Guards against reporting a rejected patch as unknown."""
        self.cluster.patches["p-1"] = {
            "patch_id": "p-1",
            "accepted": False,
            "version": 9,
            "reason": "patch names version 7"
        }
        self.first.faults_by_method["POST"] = [fake_daemon.CLOSE_BEFORE_CHANGE]
        result = await self.patch()
        self.check_exit(result, cli.ExitCode.VERSION_CONFLICT)
        self.assertIn("current version is 9", result.stderr)

    async def test_unknown_outcome_names_the_identifier(self) -> None:
        """Guards against reporting an outcome that no server confirmed."""
        for daemon in (self.first, self.second):
            daemon.faults_by_method["POST"] = [fake_daemon.CLOSE_AFTER_CHANGE]
            daemon.faults_by_method["GET"] = [fake_daemon.CLOSE_BEFORE_CHANGE]
        result = await self.patch("--output=json", "--timeout=1")
        self.check_exit(result, cli.ExitCode.UNKNOWN_RESULT)
        self.assertIn("--patch-id p-1", result.stderr)
        self.assertEqual(json.loads(result.stdout)["result"], "unknown")

    async def test_unreachable_servers(self) -> None:
        """Guards against an unknown outcome for a patch that was not sent."""
        self.servers = [_UNREACHABLE_URL]
        result = await self.patch()
        self.check_exit(result, cli.ExitCode.UNREACHABLE)
        self.servers.append(self.second.url)
        result = await self.patch()
        self.check_exit(result, cli.ExitCode.SUCCESS)

    async def test_malformed_patch_is_not_sent(self) -> None:
        """Guards against sending a patch file with a syntax or key error."""
        for text in ("{", "[]", '{"base_version": 7}',
                     '{"base_version": 7, "operations": []}',
                     '{"base_version": true, "operations": []}',
                     json.dumps({
                         "base_version": 7,
                         "operations": _DOMAIN_OUT_OPERATIONS,
                         "coment": ""
                     }),
                     json.dumps({
                         "base_version": 7,
                         "operations": [{
                             "op": "domain_off"
                         }]
                     })):
            result = await self.invoke("config", "patch", "-", stdin=text)
            self.check_exit(result, cli.ExitCode.USAGE)
        self.assertEqual(self.first.requests, [])

    async def test_zone_reads_the_version_unless_given(self) -> None:
        """Guards against a zone change that ignores the operator's version."""
        result = await self.invoke("zone", "out", "north-1")
        self.check_exit(result, cli.ExitCode.SUCCESS)
        result = await self.invoke("zone", "in", "north-1", "--base-version=7")
        self.check_exit(result, cli.ExitCode.VERSION_CONFLICT)

    async def test_diff_changes_nothing(self) -> None:
        """Guards against a wrong preview, or one that sends the patch."""
        cases = ((7, "north-1", cli.ExitCode.SUCCESS),
                 (6, "north-1", cli.ExitCode.VERSION_CONFLICT),
                 (7, "north-9", cli.ExitCode.REFUSED))
        for version, name, code in cases:
            text = json.dumps({
                "base_version": version,
                "operations": [{
                    **_DOMAIN_OUT_OPERATIONS[0], "name": name
                }]
            })
            result = await self.invoke("config", "diff", "-", stdin=text)
            self.check_exit(result, code)
            if name == "north-1":
                self.assertIn("~ domain north-1: is_in_service true -> false",
                              result.stdout)
        self.assertEqual(self.cluster.accepted_patch_ids, [])


class JobTest(CommandTestCase):
    """Tests of the commands that change jobs and watchers."""

    async def test_lost_reply_is_resolved(self) -> None:
        """Guards against submitting a job twice after a lost reply."""
        for fault in (fake_daemon.CLOSE_AFTER_CHANGE,
                      fake_daemon.CLOSE_BEFORE_CHANGE):
            for arguments in ((), ("--id=j-1",)):
                await self.asyncSetUp()
                self.first.faults_by_method["POST"] = [fault, ""]
                result = await self.invoke("job", "submit", "--tasks=3",
                                           "--run-time=2min", *arguments)
                self.check_exit(result, cli.ExitCode.SUCCESS)
                self.assertEqual(len(self.cluster.jobs), 1)
        self.assertEqual(self.cluster.jobs["j-1"]["run_time_ms"], 120_000)

    async def test_identifier_of_another_job_is_refused(self) -> None:
        """Guards against success when the id belongs to a different job."""
        for fault in ("", fake_daemon.CLOSE_BEFORE_CHANGE):
            await self.asyncSetUp()
            await self.invoke("job", "submit", "--id=j-1", "--payload=a")
            self.first.faults_by_method["POST"] = [fault, ""]
            result = await self.invoke("job", "submit", "--id=j-1",
                                       "--payload=b")
            self.check_exit(result, cli.ExitCode.REFUSED)
            self.assertIn("JOB_ID_CONFLICT", result.stderr)

    async def test_refusal_after_lost_reply_leaves_outcome_unknown(
            self) -> None:
        """Guards against reporting a job as refused that may be submitted."""
        self.first.faults_by_method["POST"] = [fake_daemon.CLOSE_AFTER_CHANGE]
        self.first.faults_by_method["GET"] = [fake_daemon.CLOSE_BEFORE_CHANGE]
        self.second.token = "another-token"
        result = await self.invoke("job", "submit", "--timeout=1")
        self.check_exit(result, cli.ExitCode.UNKNOWN_RESULT)

    async def test_cancel_with_lost_reply(self) -> None:
        """Guards against a failure reported for a cancelled job."""
        await self.invoke("watcher", "create", "--id=w-1")
        self.first.faults_by_method["POST"] = [
            fake_daemon.CLOSE_AFTER_CHANGE, ""
        ]
        result = await self.invoke("job", "cancel", "w-1")
        self.check_exit(result, cli.ExitCode.SUCCESS)
        result = await self.invoke("watcher", "status", "w-1")
        self.assertRegex(result.stdout, r"state: +cancelled")

    async def test_unknown_job(self) -> None:
        """Guards against a wrong exit code or path for an unknown job id."""
        result = await self.invoke("job", "status", "a/b c")
        self.check_exit(result, cli.ExitCode.NOT_FOUND)
        self.assertEqual(self.first.requests, ["GET /v1/jobs/a/b c"])

    async def test_invalid_job_is_not_sent(self) -> None:
        """Guards against a request that the server must refuse."""
        for argument in ("--id=a/b", "--tasks=100001", "--run-time=5",
                         "--payload=" + "x" * 65_537):
            result = await self.invoke("job", "submit", argument)
            self.check_exit(result, cli.ExitCode.USAGE)
        self.assertEqual(self.first.requests, [])


class ReadTest(CommandTestCase):
    """Tests of the commands that only read."""

    async def test_next_server_is_tried(self) -> None:
        """Guards against a tool that fails while one daemon restarts."""
        self.first.faults_by_method["GET"] = [fake_daemon.CLOSE_BEFORE_CHANGE]
        for servers in ([_UNREACHABLE_URL, self.second.url], self.servers):
            self.servers = servers
            result = await self.invoke("config", "show")
            self.check_exit(result, cli.ExitCode.SUCCESS)
            self.assertRegex(result.stdout, r"north-1 +north +in service")

    async def test_token(self) -> None:
        """Guards against reporting a missing token as an unreachable server."""
        self.first.token = "secret-token"
        result = await self.invoke("config", "show")
        self.check_exit(result, cli.ExitCode.REFUSED)
        result = await self.invoke("config",
                                   "show",
                                   GENTIANLEAD_TOKEN="secret-token")
        self.check_exit(result, cli.ExitCode.SUCCESS)

    async def test_request_is_searched_at_all_servers(self) -> None:
        """Guards against not finding a request that another daemon handled."""
        self.second.replies_by_path["/v1/explain/requests/r-1"] = {
            "request_id":
                "r-1",
            "summary":
                "answered\x1b[2J",
            "attempts": [{
                "target": "worker-1",
                "verdict": "ran",
                "elapsed_ms": 12.5,
                "outcome": "200"
            }]
        }
        result = await self.invoke("explain", "request", "r-1")
        self.check_exit(result, cli.ExitCode.SUCCESS)
        self.assertIn("answered?[2J", result.stdout)
        self.assertRegex(result.stdout, r"worker-1 +ran +12.5 +200")
        result = await self.invoke("explain", "request", "r-2")
        self.check_exit(result, cli.ExitCode.NOT_FOUND)
        self.servers.append(_UNREACHABLE_URL)
        result = await self.invoke("explain", "request", "r-2")
        self.check_exit(result, cli.ExitCode.UNREACHABLE)

    async def test_views(self) -> None:
        """Guards against commands that cannot print the documented replies."""
        job = {
            "job_id": "j-1",
            "kind": "batch",
            "team": "",
            "domain": "north-1",
            "epoch": 1,
            "state": "queued",
            "tasks": 4,
            "done": 1,
            "running": 0,
            "waiting": 3,
            "reason": "no capacity",
            "detail": ""
        }
        patch = {
            "patch_id": "p-1",
            "version": 8,
            "author": "ops",
            "comment": "maintenance",
            "time_ms": 1_700_000_000_000,
            "operations": _DOMAIN_OUT_OPERATIONS
        }
        target = {
            "name": "worker-1",
            "domain": "north-1",
            "address": "10.0.0.9:80",
            "state": "live",
            "in_flight": 2,
            "share": 4
        }
        status = {
            "name": "entry-1",
            "domain": "north-1",
            "ready": False,
            "ready_reason": "starting",
            "streams": [{
                "stream": "config",
                "position": 9,
                "age_ms": None,
                "complete": False
            }],
            "members": ["entry-1#ab"],
            "workers": [{
                "name": "worker-1",
                "rack": "r-1"
            }],
            "config_version": 8
        }
        cases = (
            ("job list --state queued", "/v1/jobs", {
                "jobs": [job]
            }, r"j-1 +batch +north-1 +queued +1 +4 +no capacity"),
            ("job list --state done", "/v1/jobs", {
                "jobs": [job]
            }, r"job +kind .*\n$"),
            ("config history", "/v1/config/history", {
                "patches": [patch]
            }, r"8 +2023-11-14 22:13:20Z +ops +domain_out north-1 +mainten"),
            ("service list", "/v1/services", {
                "services": [{
                    "name": "previews",
                    "targets": [target]
                }]
            }, r"previews +worker-1 +north-1 +10.0.0.9:80 +live +2 +4"),
            ("status", "/v1/status", status,
             r"(?s)no \(starting\).*config +9 +never +no.*entry-1#ab.*r-1"),
            ("explain job j-1", "/v1/explain/jobs/j-1", {
                "job_id": "j-1",
                "summary": "waiting",
                "reasons": ["no worker has 9 cores"]
            }, r"waiting\n- no worker has 9 cores"),
        )
        for command, path, document, pattern in cases:
            self.first.replies_by_path = {path: document}
            result = await self.invoke(*command.split())
            self.check_exit(result, cli.ExitCode.SUCCESS)
            self.assertRegex(result.stdout, pattern)
            result = await self.invoke("--output=json", *command.split())
            self.assertEqual(json.loads(result.stdout).keys(), document.keys())
            self.first.replies_by_path = {path: {"unexpected": 1}}
            result = await self.invoke(*command.split())
            self.check_exit(result, cli.ExitCode.FAILURE)


class HelpTest(unittest.TestCase):
    """Compares the tool with its help and with `docs/cli.md`."""

    def test_every_command_and_option_has_help(self) -> None:
        """Guards against commands that a new user cannot understand."""
        page = (_DOCS / "cli.md").read_text(encoding="utf-8")

        def check(command: click.Command, path: str) -> None:
            self.assertTrue(command.help, path)
            for option in command.params:
                if isinstance(option, click.Option):
                    self.assertTrue(option.help, (path, option.name))
            if isinstance(command, click.Group):
                for name, child in command.commands.items():
                    check(child, f"{path} {name}")
            else:
                self.assertIn(f"`{path}", page)

        check(cli.main, "gentianlead")

    def test_exit_codes_are_documented(self) -> None:
        """Guards against a page that lists other exit codes."""
        page = (_DOCS / "cli.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| (\d+) \| `(\w+)` \|", page, re.MULTILINE)
        self.assertEqual(rows,
                         [(str(int(code)), code.name) for code in cli.ExitCode])

    def test_no_server_is_a_usage_error(self) -> None:
        """Guards against a default server of another deployment."""
        result = testing.CliRunner().invoke(cli.main, ["status"],
                                            env={"GENTIANLEAD_SERVERS": ""})
        self.assertEqual(result.exit_code, cli.ExitCode.USAGE)
        self.assertIn("GENTIANLEAD_SERVERS", result.stderr)

    def test_completion_names_the_commands(self) -> None:
        """Guards against a script that does not complete for this tool."""
        runner = testing.CliRunner()
        for shell in ("bash", "zsh", "fish"):
            result = runner.invoke(cli.main, ["completion", shell])
            self.assertIn("_GENTIANLEAD_COMPLETE", result.stdout)
