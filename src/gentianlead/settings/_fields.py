"""Table of the daemon's settings with the type, range and help of each."""

import datetime
from typing import Any, NamedTuple

from gentianlead.settings import _setting_types
from gentianlead.settings import _settings

ENVIRONMENT_PREFIX = "GENTIANLEAD_"

# pylint does not find `_field_defaults` of a NamedTuple of another module.
_DEFAULT_VALUES: dict[str, Any] = _settings.Settings._field_defaults  # pylint: disable=no-member


class SettingField(NamedTuple):
    """Name, type and help text of one setting.

    Attributes:
        name: Name of the field of `Settings`.
        value_type: How its value is parsed, checked and displayed.
        help: One sentence about the setting for `--help` and the documentation.
        has_flag: Whether a command-line flag exists. Secrets have none,
            because other users can see the arguments of a process.
    """

    name: str
    value_type: _setting_types.SettingType
    help: str
    has_flag: bool = True

    @property
    def flag(self) -> str:
        """Command-line flag of the setting, with its leading hyphens."""
        return "--" + self.name.replace("_", "-")

    @property
    def environment_variable(self) -> str:
        """Name of the setting's environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def is_required(self) -> bool:
        """Whether the setting has no default and must be given."""
        return self.name not in _DEFAULT_VALUES

    @property
    def default(self) -> Any:
        """Default value, or None if the setting is required."""
        return _DEFAULT_VALUES.get(self.name)


def _build_duration_type(
        minimum: datetime.timedelta,
        maximum: datetime.timedelta) -> _setting_types.DurationType:
    return _setting_types.DurationType(minimum, maximum)


_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_MINUTE = datetime.timedelta(minutes=1)
_HOUR = datetime.timedelta(hours=1)

SETTING_FIELDS: tuple[SettingField, ...] = (
    SettingField("name", _setting_types.NameType(),
                 "Name of this daemon, unique in the deployment."),
    SettingField("domain", _setting_types.NameType(),
                 "Failure domain that this daemon runs in."),
    SettingField("region", _setting_types.NameType(),
                 "Region of the failure domain."),
    SettingField(
        "seat", _setting_types.IntegerType(0, 15),
        "Place of this daemon in its domain, counted from 0; each daemon of a "
        "domain has another one."),
    SettingField(
        "seats", _setting_types.IntegerType(1, 16),
        "Number of daemons in the domain; the slots of each target are "
        "divided among them."),
    SettingField("log_url", _setting_types.URLType(),
                 "Base URL of the log service."),
    SettingField("vm_list_url", _setting_types.URLType(),
                 "Base URL of the VM list."),
    SettingField("caller_address", _setting_types.AddressType(),
                 "Address on which callers are served."),
    SettingField("operator_address", _setting_types.AddressType(),
                 "Address on which operators are served."),
    SettingField(
        "peer_address", _setting_types.AddressType(),
        "Address on which other daemons connect; it is announced to them, so "
        "it must be reachable."),
    SettingField(
        "log_read_wait", _build_duration_type(10 * _MILLISECOND, 1 * _SECOND),
        "Longest wait of one log read for new records; less than half of "
        "start-freshness-limit."),
    SettingField(
        "append_timeout", _build_duration_type(100 * _MILLISECOND,
                                               30 * _SECOND),
        "Longest wait for the reply to one append, and 1 s more for each "
        "64 KiB of records, before the stream is read to learn the outcome."),
    SettingField(
        "start_freshness_limit",
        _build_duration_type(100 * _MILLISECOND, 2 * _SECOND),
        "Oldest knowledge of the log with which tasks may be started."),
    SettingField(
        "holding_limit", _build_duration_type(1 * _SECOND, 24 * _HOUR),
        "Oldest knowledge of the log with which leases may be renewed; longer "
        "than the outages of the log."),
    SettingField("lease_length", _build_duration_type(1 * _SECOND,
                                                      60 * _SECOND),
                 "Length of a task lease."),
    SettingField(
        "lease_renew_interval",
        _build_duration_type(100 * _MILLISECOND, 30 * _SECOND),
        "Time between two renewals of a lease; at most half of "
        "lease-length."),
    SettingField("heartbeat_interval",
                 _build_duration_type(100 * _MILLISECOND, 30 * _SECOND),
                 "Time between two heartbeats in the domain's stream."),
    SettingField(
        "member_timeout", _build_duration_type(500 * _MILLISECOND,
                                               120 * _SECOND),
        "Silence after which another daemon is considered gone; at least "
        "twice heartbeat-interval."),
    SettingField(
        "drain_wait", _build_duration_type(0 * _SECOND, 5 * _MINUTE),
        "Time between becoming unready and closing the ports, so that the "
        "load balancer can react."),
    SettingField(
        "drain_limit", _build_duration_type(1 * _SECOND, 10 * _MINUTE),
        "Longest time that requests in progress may take after drain-wait; at "
        "least maximum-deadline."),
    SettingField(
        "log_retention", _build_duration_type(10 * _SECOND, 720 * _HOUR),
        "Time for which the log service keeps records; a snapshot is due "
        "after a quarter of it."),
    SettingField("snapshot_records",
                 _setting_types.IntegerType(10, 1_000_000, "records"),
                 "Number of records after which a stream gets a new snapshot."),
    SettingField("weights", _setting_types.ChoiceType(_settings.PlacementGoal),
                 "Measure that takes precedence when tasks are placed."),
    SettingField("caller_tls_certificate", _setting_types.FileType(),
                 "Certificate chain (PEM) for TLS on the caller port."),
    SettingField("caller_tls_key", _setting_types.FileType(),
                 "Private key (PEM) for TLS on the caller port."),
    SettingField("operator_tls_certificate", _setting_types.FileType(),
                 "Certificate chain (PEM) for TLS on the operator port."),
    SettingField("operator_tls_key", _setting_types.FileType(),
                 "Private key (PEM) for TLS on the operator port."),
    SettingField("operator_token",
                 _setting_types.SecretType(),
                 "Bearer token that operators must present; required unless "
                 "operator-address is a loopback address.",
                 has_flag=False),
    SettingField("trace_exporter",
                 _setting_types.ChoiceType(_settings.TraceExporter),
                 "Where finished trace spans go."),
    SettingField("log_level", _setting_types.ChoiceType(_settings.LogLevel),
                 "Lowest level of the events that are written."),
    SettingField("body_limit", _setting_types.SizeType(1024, 64 * 1024 * 1024),
                 "Largest body of a request or an answer."),
    SettingField("connection_limit",
                 _setting_types.IntegerType(1, 65536, "connections"),
                 "Most connections that the caller port holds at one time."),
    SettingField(
        "default_deadline",
        _build_duration_type(100 * _MILLISECOND, 30 * _SECOND),
        "Deadline of a request that names none; at most maximum-deadline."),
    SettingField("maximum_deadline",
                 _build_duration_type(100 * _MILLISECOND, 30 * _SECOND),
                 "Longest deadline that a request may name."),
)
