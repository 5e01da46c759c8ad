"""Checks of the rules that relate several settings to each other."""

from gentianlead import errors
from gentianlead.settings import _settings


def check_settings(settings: _settings.Settings) -> None:
    """Checks the rules that involve more than one setting.

    Args:
        settings: Settings, each of which is within its own range.

    Raises:
        SettingsError: At least one rule is violated; the message has one line
            per violation with the setting, its value and what is allowed.
    """
    violations = [
        *_list_seat_and_address_violations(settings),
        *_list_timing_violations(settings),
        *_list_security_violations(settings),
    ]
    if violations:
        raise errors.SettingsError("\n".join(violations))


def _list_seat_and_address_violations(
        settings: _settings.Settings) -> list[str]:
    violations = []
    if settings.seat >= settings.seats:
        violations.append(
            f"seat: {settings.seat} is not allowed with seats "
            f"{settings.seats}; allowed: 0 to {settings.seats - 1}")
    if settings.peer_address.is_unspecified:
        violations.append(
            f"peer-address: {settings.peer_address} is not allowed, because "
            "other daemons could not reach it; allowed: an address of this VM")
    addresses = [("caller-address", settings.caller_address),
                 ("operator-address", settings.operator_address),
                 ("peer-address", settings.peer_address)]
    for index, (name, address) in enumerate(addresses):
        for other_name, other in addresses[:index]:
            if address == other:
                violations.append(f"{name}: {address} is already used by "
                                  f"{other_name}; allowed: a separate port")
    return violations


def _list_timing_violations(settings: _settings.Settings) -> list[str]:
    # While a stream has no new records, the age of its state can reach twice
    # log-read-wait: the age counts from the time at which the last completed
    # read was sent, and the next read may wait as long again.
    rules = [
        (2 * settings.log_read_wait
         < settings.start_freshness_limit, "log-read-wait",
         settings.log_read_wait, "less than half of start-freshness-limit",
         settings.start_freshness_limit),
        (2 * settings.lease_renew_interval <= settings.lease_length,
         "lease-renew-interval", settings.lease_renew_interval,
         "at most half of lease-length", settings.lease_length),
        (settings.lease_length
         < settings.holding_limit, "holding-limit", settings.holding_limit,
         "more than lease-length", settings.lease_length),
        (2 * settings.heartbeat_interval
         <= settings.member_timeout, "member-timeout", settings.member_timeout,
         "at least twice heartbeat-interval", settings.heartbeat_interval),
        (settings.default_deadline <= settings.maximum_deadline,
         "default-deadline", settings.default_deadline,
         "at most maximum-deadline", settings.maximum_deadline),
        (settings.drain_limit
         >= settings.maximum_deadline, "drain-limit", settings.drain_limit,
         "at least maximum-deadline", settings.maximum_deadline),
    ]
    return [
        f"{name}: {value.total_seconds():g} s is not allowed; allowed: "
        f"{requirement} ({reference_value.total_seconds():g} s)"
        for is_satisfied, name, value, requirement, reference_value in rules
        if not is_satisfied
    ]


def _list_security_violations(settings: _settings.Settings) -> list[str]:
    violations = []
    for port in ("caller", "operator"):
        certificate = getattr(settings, f"{port}_tls_certificate")
        key = getattr(settings, f"{port}_tls_key")
        if (certificate is None) != (key is None):
            missing = "certificate" if certificate is None else "key"
            violations.append(
                f"{port}-tls-{missing}: not set; allowed: both of "
                f"{port}-tls-certificate and {port}-tls-key, or neither")
    if not settings.operator_token and not (
            settings.operator_address.is_loopback):
        violations.append(
            "operator-token: not set, but required because operator-address "
            f"{settings.operator_address} is not a loopback address; set "
            "GENTIANLEAD_OPERATOR_TOKEN or --operator-token-file")
    return violations
