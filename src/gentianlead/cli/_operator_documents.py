"""Types of the JSON documents that the operator port sends and receives.

A reply may have more fields than are listed here, so that daemons of a newer
version can be used.
"""

from typing import Any, NotRequired, TypedDict, TypeVar

import msgspec

from gentianlead import errors
from gentianlead import model


class ResourcesDocument(TypedDict):
    """A resource vector."""

    cpu_millis: int
    memory_mib: int
    accelerators: int


class DomainDocument(TypedDict):
    """A failure domain."""

    name: str
    region: str
    is_in_service: bool


class ServiceDocument(TypedDict):
    """A service."""

    name: str
    targets: list[str]
    reserve: ResourcesDocument
    timeout_ms: int


class TeamDocument(TypedDict):
    """A team."""

    name: str
    quota: ResourcesDocument


class ConfigurationDocument(TypedDict):
    """`GET /v1/config`."""

    version: int
    domains: list[DomainDocument]
    services: list[ServiceDocument]
    teams: list[TeamDocument]
    leaving_targets: list[str]


class PatchDocument(TypedDict):
    """A patch file, or the body of `POST /v1/config/patches`."""

    base_version: int
    operations: list[dict[str, Any]]
    comment: NotRequired[str]


class HistoryEntry(TypedDict):
    """One accepted patch of `GET /v1/config/history`."""

    patch_id: str
    version: int
    author: str
    comment: str
    time_ms: int
    operations: list[dict[str, Any]]


class HistoryDocument(TypedDict):
    """`GET /v1/config/history`."""

    patches: list[HistoryEntry]


class JobDocument(TypedDict):
    """`GET /v1/jobs/{id}`."""

    job_id: str
    kind: str
    team: str
    domain: str
    state: str
    tasks: int
    done: int
    running: int
    waiting: int
    reason: NotRequired[str]
    detail: NotRequired[str]


class JobListDocument(TypedDict):
    """`GET /v1/jobs`."""

    jobs: list[JobDocument]


class TargetDocument(TypedDict):
    """A target of a service."""

    name: str
    domain: str
    address: str
    state: str
    in_flight: int
    share: float


class ServiceTargetsDocument(TypedDict):
    """A service with its targets."""

    name: str
    targets: list[TargetDocument]


class ServiceListDocument(TypedDict):
    """`GET /v1/services`."""

    services: list[ServiceTargetsDocument]


class StreamDocument(TypedDict):
    """State of a log stream at one daemon."""

    stream: str
    position: int
    age_ms: float | None
    complete: bool


class StatusDocument(TypedDict):
    """`GET /v1/status`."""

    name: str
    domain: str
    ready: bool
    ready_reason: str
    streams: list[StreamDocument]
    members: list[Any]
    workers: list[Any]
    config_version: int


class JobExplanation(TypedDict):
    """`GET /v1/explain/jobs/{id}`."""

    job_id: str
    summary: str
    reasons: list[Any]


class AttemptDocument(TypedDict):
    """One attempt of a request."""

    target: str
    verdict: str
    elapsed_ms: float
    outcome: str


class RequestExplanation(TypedDict):
    """`GET /v1/explain/requests/{id}`."""

    request_id: str
    summary: str
    attempts: list[AttemptDocument]


_Document = TypeVar("_Document")


def parse_document(document: Any,
                   document_type: type[_Document],
                   origin: str = "the reply of the server") -> _Document:
    """Checks a document and returns it with its type.

    Args:
        document: Decoded JSON value.
        document_type: The expected type.
        origin: Where the document comes from, for the error message.

    Returns:
        The document without unknown fields.

    Raises:
        ProtocolError: A field is missing or of a wrong type.
    """
    try:
        return msgspec.convert(document, document_type)
    except msgspec.ValidationError as error:
        raise errors.ProtocolError(
            f"{origin} is not as expected: {error}") from error


def parse_configuration(document: dict[str, Any]) -> model.Configuration:
    """Returns the configuration that `GET /v1/config` describes.

    Raises:
        ProtocolError: A field is missing or of a wrong type.
    """
    fields = parse_document(document, ConfigurationDocument)
    return model.Configuration(
        fields["version"],
        {
            entry["name"]:
                model.Domain(entry["name"], entry["region"],
                             entry["is_in_service"])
            for entry in fields["domains"]
        },
        {
            entry["name"]:
                model.Service(entry["name"], tuple(entry["targets"]),
                              model.Resources(**entry["reserve"]),
                              entry["timeout_ms"])
            for entry in fields["services"]
        },
        {
            entry["name"]:
                model.Team(entry["name"], model.Resources(**entry["quota"]))
            for entry in fields["teams"]
        },
        frozenset(fields["leaving_targets"]),
    )
