"""Settings of the daemon, which click reads from flags and the environment.

A setting such as `lease_length` has the flag `--lease-length` and the
environment variable `GENTIANLEAD_LEASE_LENGTH`; the flag takes precedence. The
table `SETTING_FIELDS` defines the flags, their help and allowed ranges and the
rows that `--check` prints, and a test compares `docs/configuration.md` with it.

Example:
    The entry point of the daemon is one statement::

        main = settings.build_daemon_command(run)

    where `run(settings: Settings) -> int` runs the daemon and returns the exit
    status of the process.
"""

from gentianlead.settings._check import check_settings
from gentianlead.settings._command import build_daemon_command
from gentianlead.settings._command import SettingSource
from gentianlead.settings._fields import SettingField
from gentianlead.settings._fields import SETTING_FIELDS
from gentianlead.settings._setting_types import Address
from gentianlead.settings._setting_types import Secret
from gentianlead.settings._settings import LogLevel
from gentianlead.settings._settings import Settings
from gentianlead.settings._settings import TraceExporter
from gentianlead.settings._settings import PlacementGoal

__all__ = [
    "Address",
    "build_daemon_command",
    "check_settings",
    "SettingField",
    "SETTING_FIELDS",
    "LogLevel",
    "Secret",
    "Settings",
    "SettingSource",
    "TraceExporter",
    "PlacementGoal",
]
