"""Tests of the settings and of the daemon's command line."""

import contextlib
import datetime
import pathlib
import tempfile
import unittest

from click import testing

from gentianlead import errors
from gentianlead import settings

_REQUIRED_VARIABLES = {
    "GENTIANLEAD_NAME": "entry-1",
    "GENTIANLEAD_DOMAIN": "north-1",
    "GENTIANLEAD_REGION": "north",
    "GENTIANLEAD_SEAT": "0",
    "GENTIANLEAD_SEATS": "2",
    "GENTIANLEAD_LOG_URL": "http://127.0.0.1:9000",
    "GENTIANLEAD_VM_LIST_URL": "http://127.0.0.1:9001",
    "GENTIANLEAD_CALLER_ADDRESS": "127.0.0.1:8080",
    "GENTIANLEAD_OPERATOR_ADDRESS": "127.0.0.1:8081",
    "GENTIANLEAD_PEER_ADDRESS": "127.0.0.1:8082",
}
_CONFIGURATION_PAGE = pathlib.Path(
    __file__).resolve().parents[4] / "docs/configuration.md"
_TOKEN = "a-token-of-the-operators"


class SettingsTableTest(unittest.TestCase):
    """Compares the table of settings with `Settings` and its page."""

    def test_every_setting_has_one_field(self) -> None:
        """Guards against a setting without an entry in the table."""
        self.assertEqual([field.name for field in settings.SETTING_FIELDS],
                         list(settings.Settings._fields))

    def test_defaults_are_within_their_range(self) -> None:
        """Guards against a default that its own type would refuse."""
        for field in settings.SETTING_FIELDS:
            if field.default is None or not field.has_flag:
                continue
            text = field.value_type.format(field.default)
            self.assertEqual(field.value_type.parse(text), field.default,
                             field.name)

    def test_page_equals_table(self) -> None:
        """Guards against a page with other ranges, defaults or help."""
        expected = []
        for field in settings.SETTING_FIELDS:
            flag = f"`{field.flag}`" if field.has_flag else "none"
            default = ("required" if field.is_required else
                       field.value_type.format(field.default))
            expected.append(f"| {flag} | `{field.environment_variable}` | "
                            f"{field.value_type.unit or 'none'} | "
                            f"{field.value_type.describe_range()} "
                            f"| {default} | {field.help} |")
        page = _CONFIGURATION_PAGE.read_text(encoding="utf-8")
        rows = [
            line for line in page.splitlines()
            if line.startswith(("| `--", "| none"))
        ]
        self.assertEqual(rows, expected)


class DaemonCommandTest(unittest.TestCase):
    """Tests how the command reads, displays and refuses settings."""

    def setUp(self) -> None:
        self.received_settings: list[settings.Settings] = []

    def _run_daemon_command(self, *flags: str,
                            **variables: str) -> testing.Result:

        def run(values: settings.Settings) -> int:
            self.received_settings.append(values)
            return 7

        return testing.CliRunner().invoke(settings.build_daemon_command(run),
                                          flags,
                                          env={
                                              **_REQUIRED_VARIABLES,
                                              **variables
                                          })

    def test_flag_takes_precedence_over_environment(self) -> None:
        """Guards against a flag that an environment variable overrides."""
        result = self._run_daemon_command("--lease-length",
                                          "12s",
                                          GENTIANLEAD_LEASE_LENGTH="20s",
                                          GENTIANLEAD_WEIGHTS="throughput")
        self.assertEqual(result.exit_code, 7, result.output)
        self.assertEqual(self.received_settings[0].lease_length,
                         datetime.timedelta(seconds=12))
        self.assertIs(self.received_settings[0].weights,
                      settings.PlacementGoal.THROUGHPUT)

    def test_check_shows_values_and_sources(self) -> None:
        """Guards against `--check` starting the daemon or omitting a source."""
        result = self._run_daemon_command("--check",
                                          "--body-limit=2MiB",
                                          GENTIANLEAD_LEASE_LENGHT="9s")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(self.received_settings, [])
        rows = [line.split() for line in result.stdout.splitlines()]
        for row in (["body-limit", "2", "MiB",
                     "flag"], ["name", "entry-1", "environment"],
                    ["holding-limit", "15", "min", "default"]):
            self.assertIn(row, rows)
        self.assertIn("GENTIANLEAD_LEASE_LENGHT is not a setting",
                      result.stderr)

    def test_invalid_value_is_refused_with_name_value_and_range(self) -> None:
        """Guards against starting the daemon with a value out of range."""
        cases = (
            ("lease-length", "90s", "1 s to 1 min"),
            ("seats", "seven", "1 to 16"),
            ("seat", "2", "0 to 1"),
            ("weights", "fast", "tail-latency, throughput"),
            ("log-url", "ftp://h", "http or https"),
            ("caller-address", "localhost:80", "IPv4:PORT"),
            ("caller-address", "127.0.0.1:0", "port 1 to 65535"),
            ("peer-address", "0.0.0.0:8082", "an address of this VM"),
            ("operator-address", "127.0.0.1:8080", "a separate port"),
            ("log-read-wait", "1 s", "less than half of start-freshness"),
            ("lease-renew-interval", "8 s", "at most half of lease-length"),
            ("member-timeout", "3 s", "at least twice heartbeat-interval"),
            ("drain-limit", "20 s", "at least maximum-deadline"),
            ("body-limit", "1GiB", "1 KiB to 64 MiB"),
            ("operator-tls-key", "/nonexistent", "readable file"),
        )
        for name, value, allowed in cases:
            result = self._run_daemon_command(f"--{name}={value}")
            self.assertEqual(result.exit_code, 2, (name, result.output))
            self.assertEqual(self.received_settings, [])
            self.assertIn(name, result.stderr)
            self.assertIn(value, result.stderr)
            self.assertIn(allowed, result.stderr)

    def test_missing_setting_is_refused(self) -> None:
        """Guards against an empty variable that counts as a value."""
        result = self._run_daemon_command(GENTIANLEAD_DOMAIN="")
        self.assertEqual(result.exit_code, 2, result.output)
        self.assertIn("GENTIANLEAD_DOMAIN", result.stderr)

    def test_remote_operator_port_requires_token(self) -> None:
        """Guards against an operator port open to other VMs without a token."""
        remote_variables = {"GENTIANLEAD_OPERATOR_ADDRESS": "0.0.0.0:8081"}
        refused = self._run_daemon_command(**remote_variables)
        self.assertEqual(refused.exit_code, 2, refused.output)
        allowed = self._run_daemon_command(GENTIANLEAD_OPERATOR_TOKEN=_TOKEN,
                                           **remote_variables)
        self.assertEqual(allowed.exit_code, 7, allowed.output)
        self.assertEqual(self.received_settings[0].operator_token.reveal(),
                         _TOKEN)

    def test_token_is_read_from_a_file(self) -> None:
        """Guards against a line break that becomes part of the token."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "token")
            path.write_text(f"{_TOKEN}\n", encoding="utf-8")
            self._run_daemon_command("--operator-token-file", str(path))
            check = self._run_daemon_command("--operator-token-file", str(path),
                                             "--check")
        self.assertEqual(self.received_settings[0].operator_token.reveal(),
                         _TOKEN)
        self.assertIn("(set, not displayed)", check.stdout)
        self.assertRegex(check.stdout, r"operator-token .* file\n")

    def test_token_is_never_displayed(self) -> None:
        """Guards against the token in output, errors and logged settings."""
        outputs = [
            self._run_daemon_command("--check",
                                     GENTIANLEAD_OPERATOR_TOKEN=_TOKEN).output,
            self._run_daemon_command(
                GENTIANLEAD_OPERATOR_TOKEN=f"{_TOKEN} é").output,
            self._run_daemon_command("--log-url",
                                     f"http://u:{_TOKEN}@h").output,
        ]
        self._run_daemon_command(GENTIANLEAD_OPERATOR_TOKEN=_TOKEN)
        outputs.append(repr(self.received_settings))
        for text in outputs:
            self.assertNotIn(_TOKEN, text)


class CheckSettingsTest(unittest.TestCase):
    """Tests the rules that relate several settings to each other."""

    def test_all_violated_rules_are_reported(self) -> None:
        """Guards against a message that names only the first violated rule."""
        address = settings.Address("127.0.0.1", 80)
        values = settings.Settings("n", "d", "r", 3, 2, "http://h", "http://h",
                                   address, address._replace(port=81),
                                   address._replace(port=82))
        with contextlib.closing(
                tempfile.NamedTemporaryFile()) as file:  # A readable file.
            values = values._replace(
                caller_tls_key=pathlib.Path(file.name),
                default_deadline=datetime.timedelta(seconds=31))
            with self.assertRaises(errors.SettingsError) as caught:
                settings.check_settings(values)
        lines = str(caught.exception).splitlines()
        self.assertEqual([line.partition(":")[0] for line in lines],
                         ["seat", "default-deadline", "caller-tls-certificate"])
