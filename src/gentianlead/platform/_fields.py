"""Reads fields of decoded JSON and checks their types."""

import re
import reprlib
from typing import Any

from gentianlead import errors

MAX_INTEGER = 2**53 - 1
"""Highest integer that is accepted. All JSON decoders represent it exactly, and
sums of a thousand such numbers have less than 64 bits, as msgpack requires."""

MAX_AMOUNT = 2**31 - 1
"""Highest amount of a resource, and highest duration that is multiplied by one:
two million cores, or 24 days. Such products have less than 64 bits."""

_ADDRESS_PATTERN = re.compile(
    r"(?:[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
_MAX_PORT = 65_535


def describe(value: Any) -> str:
    """Returns a short text of a value of any size and nesting."""
    return f"{reprlib.repr(value):.60}"


def require_object(value: Any, description: str) -> dict[str, Any]:
    """Returns a decoded JSON value after checking that it is an object.

    Args:
        value: The decoded JSON value.
        description: What the value is, for the error message.

    Raises:
        ProtocolError: The value is not an object.
    """
    if not isinstance(value, dict):
        raise errors.ProtocolError(
            f"{description} is a {type(value).__name__}, expected an object")
    return value


def read_list(document: dict[str, Any], name: str) -> list[Any]:
    """Returns an array field, or an empty list if the field is missing.

    Raises:
        ProtocolError: The field is not an array.
    """
    value = document.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise errors.ProtocolError(
            f"field {name!r} is {describe(value)}, expected an array")
    return value


def read_rows(document: dict[str, Any], name: str,
              min_length: int) -> list[list[Any]]:
    """Returns a field with an array of rows, or an empty list without it.

    Raises:
        ProtocolError: The field is not an array, or one of its items is not an
            array of at least `min_length` items.
    """
    rows = read_list(document, name)
    for row in rows:
        if not isinstance(row, list) or len(row) < min_length:
            raise errors.ProtocolError(
                f"row of {name!r} is {describe(row)}, expected an array of at "
                f"least {min_length} items")
    return rows


def read_string(document: dict[str, Any],
                name: str,
                default: str | None = None) -> str:
    """Returns a string field, or the default if the field is missing.

    Raises:
        ProtocolError: The field is missing without default, or not a string.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, str):
        raise errors.ProtocolError(f"field {name!r} is {describe(value)}, "
                                   "expected a string")
    return value


def read_int(document: dict[str, Any],
             name: str,
             default: int | None = None,
             minimum: int = 0,
             maximum: int = MAX_INTEGER) -> int:
    """Returns an integer field, or the default if the field is missing.

    A number with a fraction of zero, such as 2.0, counts as an integer.

    Raises:
        ProtocolError: The field is missing without default, not an integer,
            or out of range.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    return check_int(value, f"field {name!r}", minimum, maximum)


def read_amount(document: dict[str, Any], name: str) -> int:
    """Returns a field with an amount of a resource; 0 if it is missing.

    Raises:
        ProtocolError: The field is not an integer from 0 to `MAX_AMOUNT`.
    """
    return read_int(document, name, 0, maximum=MAX_AMOUNT)


def check_int(value: Any,
              description: str,
              minimum: int = 0,
              maximum: int = MAX_INTEGER) -> int:
    """Returns a decoded JSON value after checking that it is an integer.

    A number with a fraction of zero, such as 2.0, counts as an integer.

    Args:
        value: The decoded JSON value.
        description: What the value is, for the error message.
        minimum: Lowest value that is accepted.
        maximum: Highest value that is accepted.

    Raises:
        ProtocolError: The value is not an integer, or out of range.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if (not isinstance(value, int) or isinstance(value, bool) or
            not minimum <= value <= maximum):
        raise errors.ProtocolError(
            f"{description} is {describe(value)}, expected an integer from "
            f"{minimum} to {maximum}")
    return value


def truncate_number(value: Any, description: str) -> int:
    """Returns a decoded JSON number without its fraction.

    Raises:
        ProtocolError: The value is not a number, or out of range.
    """
    if (not isinstance(value, (int, float)) or isinstance(value, bool) or
            not -MAX_INTEGER <= value <= MAX_INTEGER):
        raise errors.ProtocolError(
            f"{description} is {describe(value)}, expected a number")
    return int(value)


def read_number(document: dict[str, Any], name: str, default: float) -> float:
    """Returns a number field, or the default if the field is missing.

    Raises:
        ProtocolError: The field is not a number, or out of range.
    """
    value = document.get(name, default)
    if (not isinstance(value, (int, float)) or isinstance(value, bool) or
            not -MAX_INTEGER <= value <= MAX_INTEGER):
        raise errors.ProtocolError(
            f"field {name!r} is {describe(value)}, expected a number of at "
            f"most {MAX_INTEGER}")
    return float(value)


def read_address(document: dict[str, Any], name: str) -> str:
    """Returns a field with the `host:port` of a server.

    Raises:
        ProtocolError: The field is missing or not an address.
    """
    address = read_string(document, name)
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match is None or not 1 <= int(match[1]) <= _MAX_PORT:
        raise errors.ProtocolError(
            f"field {name!r} is {describe(address)}, expected host:port")
    return address


def read_bool(document: dict[str, Any], name: str) -> bool:
    """Returns a boolean field, or False if the field is missing.

    Raises:
        ProtocolError: The field is not a boolean.
    """
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise errors.ProtocolError(f"field {name!r} is {describe(value)}, "
                                   "expected true or false")
    return value
