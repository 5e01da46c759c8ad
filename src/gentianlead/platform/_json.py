"""Decodes JSON documents that other systems sent or stored."""

import json
from typing import Any, NoReturn

from gentianlead import errors


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON value")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


def _replace_surrogates(document: Any) -> Any:
    text = json.dumps(document, ensure_ascii=False)
    return _DECODER.decode(
        text.encode("utf-16", "surrogatepass").decode("utf-16", "replace"))


def decode_object(encoded: bytes,
                  description: str,
                  replaces_invalid_text: bool = False) -> dict[str, Any]:
    """Decodes a JSON object whose content may be anything.

    All strings in the result can be encoded as UTF-8.

    Args:
        encoded: The object as UTF-8.
        description: What the object is, for the error message.
        replaces_invalid_text: Whether bytes that are not UTF-8 and lone
            surrogates become replacement characters instead of errors.

    Raises:
        ProtocolError: The bytes are not a JSON object, or it is nested too
            deeply or contains a lone surrogate.
    """
    try:
        text = encoded.decode(
            errors="replace" if replaces_invalid_text else "strict")
        document = _DECODER.decode(text)
        # JSON permits a lone surrogate as an escape, but records and requests
        # hold text as UTF-8, which cannot encode it.
        if "\\u" in text:
            if replaces_invalid_text:
                document = _replace_surrogates(document)
            else:
                json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise errors.ProtocolError(
            f"{description} is not JSON: {error!s:.200}") from error
    if not isinstance(document, dict):
        raise errors.ProtocolError(
            f"{description} is a {type(document).__name__}, expected an object")
    return document
