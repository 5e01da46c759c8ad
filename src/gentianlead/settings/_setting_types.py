"""Types of settings: how values are parsed, checked and displayed.

Each type is a click parameter type. Its error messages contain the value and
the allowed range; click adds the name of the flag.
"""

import abc
import datetime
import enum
import ipaddress
import pathlib
import re
from typing import Any, NamedTuple
import urllib.parse

import click

MAX_NAME_LENGTH = 200
MAX_SECRET_LENGTH = 1024

_DURATION_UNITS = {
    "ms": datetime.timedelta(milliseconds=1),
    "s": datetime.timedelta(seconds=1),
    "min": datetime.timedelta(minutes=1),
    "h": datetime.timedelta(hours=1),
    "d": datetime.timedelta(days=1),
}
_DURATION_PATTERN = re.compile(r"(\d{1,9}(?:\.\d{1,3})?) ?(ms|s|min|h|d)?")
_SIZE_UNITS = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
_SIZE_PATTERN = re.compile(r"(\d{1,12}) ?(B|KiB|MiB)?")


class Address(NamedTuple):
    """IP address and port of a TCP endpoint.

    Attributes:
        host: IPv4 or IPv6 address, without brackets.
        port: Port number.
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @property
    def is_loopback(self) -> bool:
        """Whether only processes on this VM can connect to the address."""
        return ipaddress.ip_address(self.host).is_loopback

    @property
    def is_unspecified(self) -> bool:
        """Whether the host is 0.0.0.0 or ::, that is, all interfaces."""
        return ipaddress.ip_address(self.host).is_unspecified


class Secret:
    """Wraps a secret text so that formatting it does not disclose it.

    The class is not a `str`, so that log lines and tracebacks that format the
    settings do not contain the text. `reveal` returns it.
    """

    __slots__ = ("_value",)

    def __init__(self, value: str = "") -> None:
        self._value = value

    def reveal(self) -> str:
        """Returns the secret text."""
        return self._value

    def __bool__(self) -> bool:
        return bool(self._value)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and other.reveal() == self._value

    def __hash__(self) -> int:
        return hash(self._value)

    def __repr__(self) -> str:
        return "Secret(set)" if self._value else "Secret(not set)"


class SettingType(click.ParamType, abc.ABC):
    """Base class of the types of settings.

    Attributes:
        unit: Unit of the values, shown in the documentation; empty if none.
    """

    unit = ""

    @abc.abstractmethod
    def parse(self, text: str) -> Any:
        """Parses the text of a flag or environment variable.

        Raises:
            ValueError: The text is malformed or outside the allowed range.
        """

    @abc.abstractmethod
    def describe_range(self) -> str:
        """Returns the allowed values as text for help, errors and the docs."""

    def format(self, value: Any) -> str:
        """Returns the value as text, as `--check` and the help show it."""
        return str(value)

    def format_refused_text(self, text: str) -> str:
        """Returns a refused text in the form that errors show.

        Long texts are cut. Subclasses remove secrets.
        """
        return repr(text[:80])

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> Any:
        if not isinstance(value, str):
            return value
        try:
            return self.parse(value)
        except ValueError:
            self.fail(
                f"{self.format_refused_text(value)} is not allowed; "
                f"allowed: {self.describe_range()}", param, ctx)


class NameType(SettingType):
    """A name, used as it is: any printable text of limited length."""

    name = "name"

    def parse(self, text: str) -> str:
        if not 1 <= len(text) <= MAX_NAME_LENGTH or not text.isprintable():
            raise ValueError(text)
        return text

    def describe_range(self) -> str:
        return f"1 to {MAX_NAME_LENGTH} printable characters"


class IntegerType(SettingType):
    """An integer between a minimum and a maximum, both allowed."""

    name = "integer"

    def __init__(self, minimum: int, maximum: int, unit: str = "") -> None:
        self._minimum = minimum
        self._maximum = maximum
        self.unit = unit

    def parse(self, text: str) -> int:
        value = int(text)
        if not self._minimum <= value <= self._maximum:
            raise ValueError(text)
        return value

    def describe_range(self) -> str:
        return f"{self._minimum} to {self._maximum}"


class DurationType(SettingType):
    """A duration such as `500ms`, `2s`, `15min` or `24h`.

    A number without a unit means seconds.
    """

    name = "duration"
    unit = "duration"

    def __init__(self, minimum: datetime.timedelta,
                 maximum: datetime.timedelta) -> None:
        self._minimum = minimum
        self._maximum = maximum

    def parse(self, text: str) -> datetime.timedelta:
        match = _DURATION_PATTERN.fullmatch(text.strip())
        if match is None:
            raise ValueError(text)
        value = float(match[1]) * _DURATION_UNITS[match[2] or "s"]
        if not self._minimum <= value <= self._maximum:
            raise ValueError(text)
        return value

    def describe_range(self) -> str:
        return f"{self.format(self._minimum)} to {self.format(self._maximum)}"

    def format(self, value: datetime.timedelta) -> str:
        if not value:
            return "0 s"
        for unit, length in reversed(_DURATION_UNITS.items()):
            if not value % length:
                return f"{value // length} {unit}"
        return f"{value / _DURATION_UNITS['ms']:g} ms"


class SizeType(SettingType):
    """A size such as `512KiB` or `8MiB`; without a unit, in bytes."""

    name = "size"
    unit = "bytes"

    def __init__(self, minimum: int, maximum: int) -> None:
        self._minimum = minimum
        self._maximum = maximum

    def parse(self, text: str) -> int:
        match = _SIZE_PATTERN.fullmatch(text.strip())
        if match is None:
            raise ValueError(text)
        value = int(match[1]) * _SIZE_UNITS[match[2] or "B"]
        if not self._minimum <= value <= self._maximum:
            raise ValueError(text)
        return value

    def describe_range(self) -> str:
        return f"{self.format(self._minimum)} to {self.format(self._maximum)}"

    def format(self, value: int) -> str:
        for unit, size in reversed(_SIZE_UNITS.items()):
            if not value % size:
                return f"{value // size} {unit}"
        raise AssertionError("every integer is a multiple of one byte")


class AddressType(SettingType):
    """An IP address with a port, such as `10.0.0.5:8081`."""

    name = "host:port"

    def parse(self, text: str) -> Address:
        host, separator, port = text.rpartition(":")
        if not separator or not port.isascii() or not port.isdigit():
            raise ValueError(text)
        if host.startswith("[") and host.endswith("]"):
            host = str(ipaddress.IPv6Address(host[1:-1]))
        else:
            host = str(ipaddress.IPv4Address(host))
        if not 1 <= int(port) <= 65535:
            raise ValueError(text)
        return Address(host, int(port))

    def describe_range(self) -> str:
        return "IPv4:PORT or [IPv6]:PORT, port 1 to 65535"


class URLType(SettingType):
    """A base URL without credentials, query or fragment."""

    name = "url"

    def parse(self, text: str) -> str:
        parts = urllib.parse.urlsplit(text)
        if (parts.scheme not in ("http", "https") or not parts.hostname or
                parts.query or parts.fragment or "@" in parts.netloc):
            raise ValueError(text)
        if parts.port == 0:
            raise ValueError(text)
        return text.rstrip("/")

    def describe_range(self) -> str:
        return ("http or https URL with a host, without user name, query or "
                "fragment")

    def format_refused_text(self, text: str) -> str:
        # The text before `@` may contain a password and is not shown.
        return super().format_refused_text(text.rpartition("@")[2])


class ChoiceType(SettingType):
    """One member of an enumeration, written as its value."""

    name = "choice"

    def __init__(self, enum_type: type[enum.Enum]) -> None:
        self._enum_type = enum_type

    def parse(self, text: str) -> enum.Enum:
        return self._enum_type(text)

    def describe_range(self) -> str:
        return ", ".join(member.value for member in self._enum_type)

    def format(self, value: enum.Enum) -> str:
        return value.value


class FileType(SettingType):
    """The path of a readable file; the default may be None."""

    name = "path"

    def parse(self, text: str) -> pathlib.Path:
        path = pathlib.Path(text)
        try:
            with path.open("rb"):
                return path
        except OSError as error:
            raise ValueError(text) from error

    def describe_range(self) -> str:
        return "path of a readable file"

    def format(self, value: pathlib.Path | None) -> str:
        return "(none)" if value is None else str(value)


class SecretType(SettingType):
    """A secret of visible ASCII characters, which is never displayed."""

    name = "secret"

    def parse(self, text: str) -> Secret:
        if not 8 <= len(text) <= MAX_SECRET_LENGTH:
            raise ValueError("length")
        if not all("!" <= character <= "~" for character in text):
            raise ValueError("characters")
        return Secret(text)

    def describe_range(self) -> str:
        return f"8 to {MAX_SECRET_LENGTH} visible ASCII characters, no spaces"

    def format(self, value: Secret) -> str:
        return "(set, not displayed)" if value else "(not set)"

    def format_refused_text(self, text: str) -> str:
        return "the value (not displayed)"
