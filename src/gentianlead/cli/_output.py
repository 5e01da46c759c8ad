"""Display of results as tables or JSON."""

import datetime
import enum
import json
from typing import Any, Iterable, Sequence

import click

from gentianlead import model


class OutputFormat(enum.Enum):
    """Format of the results on standard output."""

    TABLE = "table"
    JSON = "json"


def print_json(document: Any) -> None:
    """Prints a document as indented JSON."""
    click.echo(json.dumps(document, indent=2))


def print_table(headings: Sequence[str],
                rows: Iterable[Sequence[object]]) -> None:
    """Prints aligned columns under their headings."""
    lines = [list(headings)]
    lines.extend([to_printable_text(cell) for cell in row] for row in rows)
    widths = [max(len(cell) for cell in column) for column in zip(*lines)]
    for line in lines:
        cells = (f"{cell:{width}}" for cell, width in zip(line, widths))
        click.echo("  ".join(cells).rstrip())


def print_section(title: str, headings: Sequence[str],
                  rows: Iterable[Sequence[object]]) -> None:
    """Prints a titled table, or that there is nothing to list."""
    row_list = list(rows)
    click.echo(f"\n{title}")
    if row_list:
        print_table(headings, row_list)
    else:
        click.echo("(none)")


def print_fields(fields: Iterable[tuple[str, object]]) -> None:
    """Prints one `name: value` line per field, aligned."""
    printable_fields = [
        (name, to_printable_text(value)) for name, value in fields
    ]
    width = max(len(name) for name, _ in printable_fields) + 1
    for name, value in printable_fields:
        click.echo(f"{name + ':':{width}} {value}".rstrip())


def to_printable_text(value: object) -> str:
    """Returns a value as text, with `?` for each control character.

    Control characters in replies could otherwise change the terminal.
    """
    if isinstance(value, dict) and set(value) == set(model.Resources._fields):
        value = format_resources(model.Resources(**value))
    if isinstance(value, (dict, list)):
        value = json.dumps(value)
    text = str(value)
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else "?" for character in text)


def format_resources(resources: model.Resources) -> str:
    """Returns resources as text such as `2 cores, 512 MiB`."""
    parts = [f"{resources.cpu_millis / 1000:g} cores"]
    parts.append(f"{resources.memory_mib} MiB")
    if resources.accelerators:
        parts.append(f"{resources.accelerators} accelerators")
    return ", ".join(parts)


def format_time(time_ms: int) -> str:
    """Returns a time as UTC text, or `-` when it is not known."""
    if not time_ms:
        return "-"
    time = datetime.datetime.fromtimestamp(time_ms / 1000,
                                           datetime.timezone.utc)
    return time.strftime("%Y-%m-%d %H:%M:%SZ")


def format_age(age_ms: float | None) -> str:
    """Returns an age in seconds, or `never` when there is none."""
    return "never" if age_ms is None else f"{age_ms / 1000:.1f} s"
