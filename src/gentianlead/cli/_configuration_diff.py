"""Differences between two versions of the configuration."""

from typing import Any, Iterator, NamedTuple

from gentianlead import model
from gentianlead.cli import _output


class ConfigurationChange(NamedTuple):
    """One difference between two versions of the configuration.

    Attributes:
        sign: `+` for added, `-` for removed, `~` for changed.
        kind: `domain`, `service`, `team` or `leaving target`.
        name: Name of the entry.
        detail: Fields of the added entry, or old and new values of the changed
            fields; empty for removed entries and for leaving targets.
    """

    sign: str
    kind: str
    name: str
    detail: str = ""

    def __str__(self) -> str:
        detail = f": {self.detail}" if self.detail else ""
        return _output.to_printable_text(
            f"{self.sign} {self.kind} {self.name}{detail}")


def compare_configurations(
        old: model.Configuration,
        new: model.Configuration) -> list[ConfigurationChange]:
    """Returns the differences from `old` to `new`, by kind, then by name."""
    changes: list[ConfigurationChange] = []
    changes.extend(_compare_entries("domain", old.domains, new.domains))
    changes.extend(_compare_entries("service", old.services, new.services))
    changes.extend(_compare_entries("team", old.teams, new.teams))
    for name in sorted(old.leaving_targets ^ new.leaving_targets):
        sign = "+" if name in new.leaving_targets else "-"
        changes.append(ConfigurationChange(sign, "leaving target", name))
    return changes


def _compare_entries(kind: str, old: dict[str, Any],
                     new: dict[str, Any]) -> Iterator[ConfigurationChange]:
    for name in sorted(old.keys() | new.keys()):
        old_entry, new_entry = old.get(name), new.get(name)
        if old_entry is None:
            details = (f"{field} {_format_value(getattr(new_entry, field))}"
                       for field in new_entry._fields[1:])
            yield ConfigurationChange("+", kind, name, ", ".join(details))
        elif new_entry is None:
            yield ConfigurationChange("-", kind, name)
        elif old_entry != new_entry:
            details = (
                f"{field} {_format_value(getattr(old_entry, field))} -> "
                f"{_format_value(getattr(new_entry, field))}"
                for field in new_entry._fields[1:]
                if getattr(old_entry, field) != getattr(new_entry, field))
            yield ConfigurationChange("~", kind, name, ", ".join(details))


def _format_value(value: object) -> str:
    if isinstance(value, model.Resources):
        return f"[{_output.format_resources(value)}]"
    if isinstance(value, tuple):
        return f"[{', '.join(map(str, value))}]"
    return str(value).lower() if isinstance(value, bool) else str(value)
