"""Fault rules of an endpoint."""

import enum
from typing import Any, NamedTuple


class FaultKind(enum.Enum):
    """What an endpoint does wrong."""

    DOWN = "down"
    SLOW = "slow"
    LATE = "late"
    LOSE_REPLY = "lose_reply"
    FREEZE = "freeze"
    SILENT = "silent"
    CUT_SHORT = "cut_short"
    CLOSE = "close"
    WRONG_ID = "wrong_id"


class FaultRule:
    """One fault that is switched on.

    Attributes:
        kind: What goes wrong.
        milliseconds: Delay of `slow` and `late`.
        remaining: Number of requests it still applies to; None for all.
        method: HTTP method it applies to; empty for all.
        path: Text that the path must contain.
        is_silent: Whether a lost reply leaves the connection open.
    """

    def __init__(self, kind: FaultKind, command: dict[str, Any]):
        self.kind = kind
        self.milliseconds = float(command.get("ms", 0))
        count = command.get("count")
        self.remaining = None if count is None else int(count)
        self.method = str(command.get("method", ""))
        self.path = str(command.get("path", ""))
        self.is_silent = command.get("mode", "close") == "silent"

    def matches(self, method: str, path: str) -> bool:
        """Returns whether the rule applies to a request."""
        return (self.remaining != 0 and self.method in ("", method) and
                self.path in path)


class FaultPlan(NamedTuple):
    """Faults of one request, by kind."""

    rules: dict[FaultKind, FaultRule]

    def get_delay(self, kind: FaultKind) -> float:
        """Returns the delay of a kind in seconds; 0 when it is off."""
        rule = self.rules.get(kind)
        return rule.milliseconds / 1000 if rule else 0.0


_NO_FAULTS = FaultPlan({})


class FaultRules:
    """The faults that are switched on at one endpoint."""

    def __init__(self) -> None:
        self._rules: list[FaultRule] = []

    def add(self, rule: FaultRule) -> None:
        """Switches a fault on."""
        self._rules.append(rule)

    def clear(self, kind: FaultKind | None) -> None:
        """Switches the faults of a kind off, or all of them."""
        self._rules = [
            rule for rule in self._rules
            if kind is not None and rule.kind is not kind
        ]

    def has(self, kind: FaultKind) -> bool:
        """Returns whether a fault of the kind is on."""
        return any(
            rule.kind is kind and rule.remaining != 0 for rule in self._rules)

    def plan(self, method: str, path: str) -> FaultPlan:
        """Chooses and counts the faults of one request."""
        if not self._rules:
            return _NO_FAULTS
        chosen = {}
        for rule in self._rules:
            if rule.kind not in chosen and rule.matches(method, path):
                chosen[rule.kind] = rule
                if rule.remaining is not None:
                    rule.remaining -= 1
        return FaultPlan(chosen)
