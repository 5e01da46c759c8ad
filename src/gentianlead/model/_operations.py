"""Operations of a configuration patch: types, visitor, parsing and application.

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
    """Adds a failure domain or changes its region.

    Attributes:
        name: Name of the domain.
        region: Region that contains the domain.
    """

    name: str
    region: str


class DomainOut(NamedTuple):
    """Takes a failure domain out of service.

    Attributes:
        name: Name of the domain.
    """

    name: str


class DomainIn(NamedTuple):
    """Returns a failure domain to service.

    Attributes:
        name: Name of the domain.
    """

    name: str


class PutService(NamedTuple):
    """Adds or replaces a service.

    Attributes:
        name: Name of the service.
        targets: Names of the workers that serve requests of the service, or
            `("*",)` for all workers.
        reserve: Resources reserved for the service on each of its workers.
        timeout_ms: Timeout of one attempt at a target in milliseconds.
    """

    name: str
    targets: tuple[str, ...] = (_configuration.ALL_WORKERS,)
    reserve: _resources.Resources = _resources.Resources()
    timeout_ms: int = 5000


class RemoveService(NamedTuple):
    """Removes a service.

    Attributes:
        name: Name of the service.
    """

    name: str


class PutTeam(NamedTuple):
    """Adds a team or replaces its quota.

    Attributes:
        name: Name of the team.
        quota: Resources that the team may use without borrowing.
    """

    name: str
    quota: _resources.Resources


class RemoveTeam(NamedTuple):
    """Removes a team.

    Attributes:
        name: Name of the team.
    """

    name: str


class TargetLeaving(NamedTuple):
    """Marks a target as leaving, so that it gets no new work.

    Attributes:
        name: Name of the worker that runs the target.
    """

    name: str


class TargetReturned(NamedTuple):
    """Removes the mark that `TargetLeaving` set.

    Attributes:
        name: Name of the worker that runs the target.
    """

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
_OPERATION_NAMES_BY_TYPE = {
    operation_type: name
    for name, operation_type in OPERATION_TYPES_BY_NAME.items()
}


def get_operation_name(operation: Operation) -> str:
    """Returns the name of the operation in patch documents."""
    return _OPERATION_NAMES_BY_TYPE[type(operation)]


def parse_operation(document: object, position: int) -> Operation:
    """Parses one operation of a patch document.

    Args:
        document: A mapping with the key `op` and the fields of the operation.
        position: Index of the operation in the patch, for error messages.

    Returns:
        The typed operation.

    Raises:
        ConfigurationError: The document is malformed; the message names the
            position, the field and the allowed values.
    """
    location = f"operation {position}"
    if not isinstance(document, dict):
        raise errors.ConfigurationError(
            f"{location}: expected an object with the key 'op'")
    name = document.get("op")
    operation_type = OPERATION_TYPES_BY_NAME.get(name) if isinstance(
        name, str) else None
    if operation_type is None:
        known_names = ", ".join(sorted(OPERATION_TYPES_BY_NAME))
        raise errors.ConfigurationError(
            f"{location}: unknown op {name!r}; known: {known_names}")
    values = {key: value for key, value in document.items() if key != "op"}
    unknown_fields = sorted(set(values) - set(operation_type._fields))
    if unknown_fields:
        raise errors.ConfigurationError(
            f"{location} ({name}): unknown field {unknown_fields[0]!r}; known: "
            f"{', '.join(operation_type._fields)}")
    fields = []
    for field in operation_type._fields:
        if field not in values and field not in operation_type._field_defaults:
            raise errors.ConfigurationError(
                f"{location} ({name}): field {field!r} is missing")
        value = values.get(field, operation_type._field_defaults.get(field))
        fields.append(
            _parse_field(operation_type, field, value, f"{location} ({name})"))
    return operation_type(*fields)


def _parse_field(operation_type: type, field: str, value: object,
                 location: str) -> object:
    field_type = operation_type.__annotations__[field]
    try:
        if field_type is _resources.Resources:
            return parse_resources(value)
        return msgspec.convert(value, field_type)
    except (msgspec.ValidationError, errors.ConfigurationError) as error:
        raise errors.ConfigurationError(
            f"{location}: field {field!r}: {error}") from error


def parse_resources(value: object) -> _resources.Resources:
    """Parses resources from a mapping or a sequence.

    Args:
        value: `{"cpu_millis": 1000, "memory_mib": 512}` or `[1000, 512, 0]`.

    Returns:
        The resources; missing fields of a mapping are zero.

    Raises:
        ConfigurationError: A field is unknown, not an integer or negative.
    """
    if isinstance(value, dict):
        unknown_fields = sorted(set(value) - set(_resources.Resources._fields))
        if unknown_fields:
            raise errors.ConfigurationError(
                f"unknown resource {unknown_fields[0]!r}; known: "
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
    """Returns the name and the field values that a record stores."""
    return get_operation_name(operation), tuple(operation)


def decode_operation(name: str, fields: object) -> Operation:
    """Builds an operation from the name and the field values in a record.

    Raises:
        ConfigurationError: The name is unknown or a field is missing or has a
            wrong type.
    """
    operation_type = OPERATION_TYPES_BY_NAME.get(name)
    if operation_type is None:
        raise errors.ConfigurationError(f"unknown operation {name!r}")
    try:
        return msgspec.convert(fields, operation_type)
    except msgspec.ValidationError as error:
        raise errors.ConfigurationError(f"{name}: {error}") from error


class OperationVisitor(abc.ABC):
    """Calls the method for the type of an operation.

    Subclasses implement one method for each type.
    """

    def visit(self, operation: Operation) -> None:
        """Calls the method `visit_<name of the operation>`."""
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
    """Applies operations to a configuration and rejects those that do not fit.

    Attributes:
        configuration: The base with all visited operations applied; its
            version number stays that of the base.
    """

    def __init__(self, base: _configuration.Configuration):
        self.configuration = base

    def _replace(self, **changes: object) -> None:
        self.configuration = self.configuration._replace(**changes)

    def visit_put_domain(self, operation: PutDomain) -> None:
        _check_name(operation.name)
        existing = self.configuration.domains.get(operation.name)
        domain = _configuration.Domain(
            operation.name, operation.region,
            existing.is_in_service if existing else True)
        self._replace(domains={
            **self.configuration.domains, operation.name: domain
        })

    def _set_domain_in_service(self, name: str, is_in_service: bool) -> None:
        domain = self.configuration.domains.get(name)
        if domain is None:
            known_names = ", ".join(sorted(
                self.configuration.domains)) or "none"
            raise errors.ConfigurationError(
                f"unknown domain {name!r}; known: {known_names}")
        domain = domain._replace(is_in_service=is_in_service)
        self._replace(domains={**self.configuration.domains, name: domain})

    def visit_domain_out(self, operation: DomainOut) -> None:
        self._set_domain_in_service(operation.name, False)

    def visit_domain_in(self, operation: DomainIn) -> None:
        self._set_domain_in_service(operation.name, True)

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
        self._replace(services=_remove_entry(self.configuration.services,
                                             operation.name, "service"))

    def visit_put_team(self, operation: PutTeam) -> None:
        _check_name(operation.name)
        _check_resources(operation.quota)
        team = _configuration.Team(operation.name, operation.quota)
        self._replace(teams={**self.configuration.teams, operation.name: team})

    def visit_remove_team(self, operation: RemoveTeam) -> None:
        self._replace(teams=_remove_entry(self.configuration.teams,
                                          operation.name, "team"))

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
    """Applies the operations of a patch to a configuration.

    Args:
        base: The configuration version that the patch was made for.
        operations: Operations in the order of the patch.

    Returns:
        The resulting configuration, with its version raised by one.

    Raises:
        ConfigurationError: An operation does not fit the configuration; none
            is applied.
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


def _remove_entry(entries: dict, name: str, entry_kind: str) -> dict:
    if name not in entries:
        known_names = ", ".join(sorted(entries)) or "none"
        raise errors.ConfigurationError(
            f"unknown {entry_kind} {name!r}; known: {known_names}")
    return {key: value for key, value in entries.items() if key != name}
