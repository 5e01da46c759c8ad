"""Seeded mutations of valid documents, for tests of decoders."""

import copy
import json
import random
from typing import Any, NamedTuple


class _RawText(str):
    """JSON text that replaces a value although no JSON encoder writes it."""


_ODD_VALUES = (None, True, False, 0, 1, -1, 1.5, 2.0, -0.0, 1e15, 1e16, 1e308,
               2**31 - 1, 2**31, 2**53 - 1, 2**53, 2**63, 2**64, 10**30,
               10**400, -10**30, "", "5", " ", "a", "\0", "a\r\nb: c", "\ud800",
               "\udfff\ud800", "\u2028", "x" * 5000, [], {}, [[]], [None],
               [1, 2, 3, 4, 5], ["a", "b", "c", "d", "e"], {
                   "a": 1
               }, {
                   "": []
               }, _RawText("1e400"), _RawText("-1e400"), _RawText("NaN"),
               _RawText("Infinity"), _RawText("9" * 5000),
               _RawText("1" + "0" * 300), _RawText("[" * 500 + "]" * 500),
               _RawText('{"a":' * 500 + "1" + "}" * 500),
               _RawText("[" * 100_000 + "]" * 100_000))


class _Place(NamedTuple):
    """A value in a document.

    Attributes:
        container: The object or array that holds the value.
        key: Name or index of the value.
    """

    container: dict[str, Any] | list[Any]
    key: str | int


def _list_places(value: Any) -> list[_Place]:
    keys: Any = ()
    if isinstance(value, dict):
        keys = value
    elif isinstance(value, list):
        keys = range(len(value))
    places = [_Place(value, key) for key in keys]
    for place in list(places):
        places += _list_places(place.container[place.key])
    return places


def mutate_document(document: Any, random_source: random.Random) -> bytes:
    """Returns a document as JSON after one to three changes of its values.

    A change replaces a value by an odd one, removes it, repeats it or adds an
    unknown field. In one of ten cases some bytes of the text change as well.
    """
    document = copy.deepcopy(document)
    raw_texts: dict[str, str] = {}
    for _ in range(random_source.randint(1, 3)):
        places = _list_places(document)
        if not places:
            break
        container, key = random_source.choice(places)
        odd_value = copy.deepcopy(random_source.choice(_ODD_VALUES))
        if isinstance(odd_value, _RawText):
            marker = f"@raw{len(raw_texts)}@"
            raw_texts[f'"{marker}"'] = odd_value
            odd_value = marker
        kind = random_source.random()
        if kind < 0.7:
            container[key] = odd_value
        elif kind < 0.8:
            del container[key]
        elif isinstance(container, list):
            container.append(copy.deepcopy(container[key]))
        else:
            container["other"] = odd_value
    text = json.dumps(document, ensure_ascii=random_source.random() < 0.7)
    for marker, raw_text in raw_texts.items():
        text = text.replace(marker, raw_text)
    encoded = text.encode(errors="surrogatepass")
    if random_source.random() < 0.1:
        encoded = mutate_bytes(encoded, random_source)
    return encoded


def mutate_bytes(data: bytes, random_source: random.Random) -> bytes:
    """Returns data after a cut, a changed byte or some inserted bytes."""
    kind = random_source.randrange(3)
    position = random_source.randrange(len(data) + 1)
    if kind == 0:
        return data[:position]
    odd_bytes = random_source.choice(
        (b"\xff", b"\x00", b"\xed\xa0\x80", b"[", b'"', b"\xc1",
         random_source.randbytes(1)))
    return data[:position] + odd_bytes + data[position + kind - 1:]
