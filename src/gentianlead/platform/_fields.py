"""Reads fields of decoded JSON and checks their types."""

from typing import Any

from gentianlead import errors


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
        raise errors.ProtocolError(f"field {name!r} is {value!r:.60}, "
                                   "expected a string")
    return value


def read_int(document: dict[str, Any],
             name: str,
             default: int | None = None,
             minimum: int = 0) -> int:
    """Returns an integer field, or the default if the field is missing.

    A number with a fraction of zero, such as 2.0, counts as an integer.

    Raises:
        ProtocolError: The field is missing without default, not an integer,
            or below `minimum`.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise errors.ProtocolError(
            f"field {name!r} is {value!r:.60}, expected an integer of at "
            f"least {minimum}")
    return value


def read_number(document: dict[str, Any], name: str, default: float) -> float:
    """Returns a number field, or the default if the field is missing.

    Raises:
        ProtocolError: The field is not a number.
    """
    value = document.get(name, default)
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise errors.ProtocolError(f"field {name!r} is {value!r:.60}, "
                                   "expected a number")
    return float(value)


def read_bool(document: dict[str, Any], name: str) -> bool:
    """Returns a boolean field, or False if the field is missing.

    Raises:
        ProtocolError: The field is not a boolean.
    """
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise errors.ProtocolError(f"field {name!r} is {value!r:.60}, "
                                   "expected true or false")
    return value
