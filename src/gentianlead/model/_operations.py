"""Operations of a configuration patch, as immutable nodes with a visitor.

Example:
    >>> editor = ConfigurationEditor(Configuration())
    >>> editor.visit(PutDomain("north-1", "north"))
    >>> editor.configuration.domains["north-1"].is_in_service
    True
"""

import abc
from typing import NamedTuple, Union

import msgspec

from gentianlead import errors
from gentianlead.model import _configuration
from gentianlead.model import _resources

MAX_NAME_LENGTH = 200
MAX_TIMEOUT_MS = 30_000


class PutDomain(NamedTuple):
    """Adds a failure domain or changes its region."""

    name: str
    region: str


class DomainOut(NamedTuple):
    """Takes a failure domain out of service."""

    name: str


class DomainIn(NamedTuple):
    """Brings a failure domain back into service."""

    name: str


class PutService(NamedTuple):
    """Adds or replaces a service."""

    name: str
    targets: tuple[str, ...] = (_configuration.ALL_WORKERS,)
    reserve: _resources.Resources = _resources.Resources()
    timeout_ms: int = 5000


class RemoveService(NamedTuple):
    """Removes a service."""

    name: str


class PutTeam(NamedTuple):
    """Adds or replaces a team's quota."""

    name: str
    quota: _resources.Resources


class RemoveTeam(NamedTuple):
    """Removes a team."""

    name: str


class TargetLeaving(NamedTuple):
    """Marks a target as leaving: it gets no new work."""

    name: str


class TargetReturned(NamedTuple):
    """Removes the mark of `TargetLeaving`."""

    name: str


Operation = Union[PutDomain, DomainOut, DomainIn, PutService, RemoveService,
                  PutTeam, RemoveTeam, TargetLeaving, TargetReturned]

OPERATION_TYPES_BY_NAME: dict[str, type] = {
    "put_domain": PutDomain,
    "domain_out": DomainOut,
    "domain_in": DomainIn,
    "put_service": PutService,
    "remove_service": RemoveService,
    "put_team": PutTeam,
    "remove_team": RemoveTeam,
    "target_leaving": TargetLeaving,
    "target_returned": TargetReturned,
}
_NAMES_BY_TYPE = {cls: name for name, cls in OPERATION_TYPES_BY_NAME.items()}


def get_operation_name(operation: Operation) -> str:
    """Returns the name of the operation as patches write it."""
    return _NAMES_BY_TYPE[type(operation)]


def parse_operation(document: object, position: int) -> Operation:
    """Builds an operation from a patch document.

    Args:
        document: A mapping with the key `op` and the fields of the operation.
        position: Index in the patch, for the error message.

    Returns:
        The typed operation.

    Raises:
        ConfigurationError: The document is malformed; the message names the
            position, the field and what is allowed.
    """
    where = f"operation {position}"
    if not isinstance(document, dict):
        raise errors.ConfigurationError(
            f"{where}: expected an object with the key 'op'")
    name = document.get("op")
    cls = OPERATION_TYPES_BY_NAME.get(name) if isinstance(name, str) else None
    if cls is None:
        known = ", ".join(sorted(OPERATION_TYPES_BY_NAME))
        raise errors.ConfigurationError(
            f"{where}: unknown op {name!r}; known: {known}")
    values = {key: value for key, value in document.items() if key != "op"}
    unknown = sorted(set(values) - set(cls._fields))
    if unknown:
        raise errors.ConfigurationError(
            f"{where} ({name}): unknown field {unknown[0]!r}; known: "
            f"{', '.join(cls._fields)}")
    fields = []
    for field in cls._fields:
        if field not in values and field not in cls._field_defaults:
            raise errors.ConfigurationError(
                f"{where} ({name}): field {field!r} is missing")
        value = values.get(field, cls._field_defaults.get(field))
        fields.append(_parse_field(cls, field, value, f"{where} ({name})"))
    return cls(*fields)


def _parse_field(cls: type, field: str, value: object, where: str) -> object:
    kind = cls.__annotations__[field]
    try:
        if kind is _resources.Resources:
            return parse_resources(value)
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, errors.ConfigurationError) as error:
        raise errors.ConfigurationError(
            f"{where}: field {field!r}: {error}") from error


def parse_resources(value: object) -> _resources.Resources:
    """Builds a resource vector from a mapping or a sequence.

    Args:
        value: `{"cpu_millis": 1000, "memory_mib": 512}` or `[1000, 512, 0]`.

    Returns:
        The vector; fields that are left out are zero.

    Raises:
        ConfigurationError: A field is unknown, not an integer or negative.
    """
    if isinstance(value, dict):
        unknown = sorted(set(value) - set(_resources.Resources._fields))
        if unknown:
            raise errors.ConfigurationError(
                f"unknown resource {unknown[0]!r}; known: "
                f"{', '.join(_resources.Resources._fields)}")
        value = [value.get(name, 0) for name in _resources.Resources._fields]
    try:
        resources = msgspec.convert(value, _resources.Resources)
    except msgspec.ValidationError as error:
        raise errors.ConfigurationError(str(error)) from error
    if not resources.is_valid():
        raise errors.ConfigurationError(
            f"resources must not be negative: {resources}")
    return resources


def encode_operation(operation: Operation) -> tuple[str, tuple]:
    """Returns the operation as it is stored in a record."""
    return get_operation_name(operation), tuple(operation)


def decode_operation(name: str, fields: object) -> Operation:
    """Builds an operation from its stored form.

    Raises:
        ConfigurationError: The name is unknown or a field has a wrong type.
    """
    cls = OPERATION_TYPES_BY_NAME.get(name)
    if cls is None:
        raise errors.ConfigurationError(f"unknown operation {name!r}")
    try:
        return msgspec.convert(fields, cls)
    except msgspec.ValidationError as error:
        raise errors.ConfigurationError(f"{name}: {error}") from error


class OperationVisitor(abc.ABC):
    """Dispatches on the type of an operation."""

    def visit(self, operation: Operation) -> None:
        """Calls `visit_<name>` for the operation."""
        getattr(self, f"visit_{get_operation_name(operation)}")(operation)

    @abc.abstractmethod
    def visit_put_domain(self, operation: PutDomain) -> None:
        """Handles `PutDomain`."""

    @abc.abstractmethod
    def visit_domain_out(self, operation: DomainOut) -> None:
        """Handles `DomainOut`."""

    @abc.abstractmethod
    def visit_domain_in(self, operation: DomainIn) -> None:
        """Handles `DomainIn`."""

    @abc.abstractmethod
    def visit_put_service(self, operation: PutService) -> None:
        """Handles `PutService`."""

    @abc.abstractmethod
    def visit_remove_service(self, operation: RemoveService) -> None:
        """Handles `RemoveService`."""

    @abc.abstractmethod
    def visit_put_team(self, operation: PutTeam) -> None:
        """Handles `PutTeam`."""

    @abc.abstractmethod
    def visit_remove_team(self, operation: RemoveTeam) -> None:
        """Handles `RemoveTeam`."""

    @abc.abstractmethod
    def visit_target_leaving(self, operation: TargetLeaving) -> None:
        """Handles `TargetLeaving`."""

    @abc.abstractmethod
    def visit_target_returned(self, operation: TargetReturned) -> None:
        """Handles `TargetReturned`."""


class ConfigurationEditor(OperationVisitor):
    """Applies operations to a configuration and checks each of them.

    Attributes:
        configuration: The result so far; the version number is not changed.
    """

    def __init__(self, base: _configuration.Configuration):
        self.configuration = base

    def _replace(self, **changes: object) -> None:
        self.configuration = self.configuration._replace(**changes)

    def visit_put_domain(self, operation: PutDomain) -> None:
        _check_name(operation.name)
        old = self.configuration.domains.get(operation.name)
        domain = _configuration.Domain(operation.name, operation.region,
                                       old.is_in_service if old else True)
        self._replace(domains={
            **self.configuration.domains, operation.name: domain
        })

    def _set_in_service(self, name: str, is_in_service: bool) -> None:
        domain = self.configuration.domains.get(name)
        if domain is None:
            known = ", ".join(sorted(self.configuration.domains)) or "none"
            raise errors.ConfigurationError(
                f"unknown domain {name!r}; known: {known}")
        domain = domain._replace(is_in_service=is_in_service)
        self._replace(domains={**self.configuration.domains, name: domain})

    def visit_domain_out(self, operation: DomainOut) -> None:
        self._set_in_service(operation.name, False)

    def visit_domain_in(self, operation: DomainIn) -> None:
        self._set_in_service(operation.name, True)

    def visit_put_service(self, operation: PutService) -> None:
        _check_name(operation.name)
        _check_resources(operation.reserve)
        if not 1 <= operation.timeout_ms <= MAX_TIMEOUT_MS:
            raise errors.ConfigurationError(
                f"service {operation.name!r}: timeout_ms "
                f"{operation.timeout_ms} is outside 1 to {MAX_TIMEOUT_MS}")
        service = _configuration.Service(*operation)
        self._replace(services={
            **self.configuration.services, operation.name: service
        })

    def visit_remove_service(self, operation: RemoveService) -> None:
        self._replace(services=_remove(self.configuration.services,
                                       operation.name, "service"))

    def visit_put_team(self, operation: PutTeam) -> None:
        _check_name(operation.name)
        _check_resources(operation.quota)
        team = _configuration.Team(operation.name, operation.quota)
        self._replace(teams={**self.configuration.teams, operation.name: team})

    def visit_remove_team(self, operation: RemoveTeam) -> None:
        self._replace(
            teams=_remove(self.configuration.teams, operation.name, "team"))

    def visit_target_leaving(self, operation: TargetLeaving) -> None:
        _check_name(operation.name)
        self._replace(leaving_targets=self.configuration.leaving_targets |
                      {operation.name})

    def visit_target_returned(self, operation: TargetReturned) -> None:
        if operation.name not in self.configuration.leaving_targets:
            raise errors.ConfigurationError(
                f"target {operation.name!r} is not marked as leaving")
        self._replace(leaving_targets=self.configuration.leaving_targets -
                      {operation.name})


def apply_operations(
        base: _configuration.Configuration,
        operations: tuple[Operation, ...]) -> (_configuration.Configuration):
    """Returns the next version of the configuration.

    Args:
        base: The version that the patch names.
        operations: Operations in order.

    Returns:
        The configuration with the version raised by one.

    Raises:
        ConfigurationError: An operation does not fit; nothing is applied.
    """
    editor = ConfigurationEditor(base)
    for position, operation in enumerate(operations):
        try:
            editor.visit(operation)
        except errors.ConfigurationError as error:
            raise errors.ConfigurationError(
                f"operation {position} ({get_operation_name(operation)}): "
                f"{error}") from error
    return editor.configuration._replace(version=base.version + 1)


def _check_name(name: str) -> None:
    if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable():
        raise errors.ConfigurationError(
            f"name {name[:40]!r} must have 1 to {MAX_NAME_LENGTH} printable "
            f"characters")


def _check_resources(resources: _resources.Resources) -> None:
    if not resources.is_valid():
        raise errors.ConfigurationError(
            f"resources must not be negative: {resources}")


def _remove(entries: dict, name: str, what: str) -> dict:
    if name not in entries:
        known = ", ".join(sorted(entries)) or "none"
        raise errors.ConfigurationError(
            f"unknown {what} {name!r}; known: {known}")
    return {key: value for key, value in entries.items() if key != name}
