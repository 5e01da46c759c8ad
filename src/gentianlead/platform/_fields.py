"""Checked access to decoded JSON from outside."""

from typing import Any

from gentianlead import errors


def require_object(value: Any, what: str) -> dict[str, Any]:
    """Returns a JSON object.

    Raises:
        ProtocolError: The value is of another type.
    """
    if not isinstance(value, dict):
        raise errors.ProtocolError(
            f"{what} is a {type(value).__name__}, expected an object")
    return value


def read_text(document: dict[str, Any],
              name: str,
              default: str | None = None) -> str:
    """Returns a string field.

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
             least: int = 0) -> int:
    """Returns a whole number.

    Raises:
        ProtocolError: The field is missing without default, not a whole
            number, or below `least`.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise errors.ProtocolError(
            f"field {name!r} is {value!r:.60}, expected a whole number of at "
            f"least {least}")
    return value


def read_number(document: dict[str, Any], name: str, default: float) -> float:
    """Returns a number.

    Raises:
        ProtocolError: The field is not a number.
    """
    value = document.get(name, default)
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise errors.ProtocolError(f"field {name!r} is {value!r:.60}, "
                                   "expected a number")
    return float(value)


def read_flag(document: dict[str, Any], name: str) -> bool:
    """Returns a flag; a missing one is False.

    Raises:
        ProtocolError: The field is not a flag.
    """
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise errors.ProtocolError(f"field {name!r} is {value!r:.60}, "
                                   "expected true or false")
    return value
