"""Builds the JSON documents of responses and parses those of requests."""

import json
from typing import Any

import msgspec

from gentianlead import errors
from gentianlead import gateway
from gentianlead import model
from gentianlead import state
from gentianlead.daemon import _jobs

Document = dict[str, Any]


def build_error_document(error: errors.RequestError) -> Document:
    """Returns the JSON body of an error response."""
    return {
        "error": {
            "code": error.code.value,
            "message": str(error),
            "verdict": error.verdict.value,
        }
    }


def parse_body(body: bytes) -> Document:
    """Parses a request body that must be a JSON object.

    Raises:
        RequestError: The body is not a JSON object.
    """
    try:
        # Given bytes, `json.loads` accepts encoded surrogates and UTF-16.
        text = body.decode("utf-8")
        document = json.loads(text)
        if "\\u" in text:
            # JSON permits a lone surrogate as an escape, but log records hold
            # text as UTF-8, which cannot encode it.
            json.dumps(document, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as error:
        raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                  f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                  "the body must be a JSON object")
    return document


def get_field(document: Document,
              name: str,
              field_type: Any,
              default: object = None) -> Any:
    """Returns a field of a JSON object after checking its type.

    Args:
        document: The JSON object.
        name: Key of the field.
        field_type: Required type, in a form that msgspec accepts.
        default: Value when the key is missing; None makes it required.

    Raises:
        RequestError: The field is missing or has another type.
    """
    if name not in document:
        if default is None:
            raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                      f"field {name!r} is missing")
        return default
    try:
        return msgspec.convert(document[name], field_type)
    except msgspec.ValidationError as error:
        raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                  f"field {name!r}: {error}") from error


def parse_job_spec(document: Document, job_id: str) -> model.JobSpec:
    """Parses the specification of a job.

    Args:
        document: Body of `POST /v1/jobs`.
        job_id: Identifier to use when the body has none.

    Raises:
        RequestError: A field is missing, unknown or malformed.
    """
    known_fields = {
        "job_id", "team", "kind", "tasks", "resources", "run_time_ms", "urgent",
        "payload"
    }
    unknown_fields = sorted(set(document) - known_fields)
    if unknown_fields:
        raise errors.RequestError(
            errors.ErrorCode.BAD_REQUEST,
            f"unknown field {unknown_fields[0]!r}; known: "
            f"{', '.join(sorted(known_fields))}")
    try:
        resources = model.parse_resources(
            document.get("resources", {
                "cpu_millis": 100,
                "memory_mib": 64
            }))
    except errors.ConfigurationError as error:
        raise errors.RequestError(errors.ErrorCode.BAD_REQUEST,
                                  f"field 'resources': {error}") from error
    payload = get_field(document, "payload", str, "")
    return model.JobSpec(get_field(document, "job_id", str, job_id),
                         get_field(document, "team", str, ""),
                         get_field(document, "kind", str, "batch"),
                         get_field(document, "tasks", int, 1), resources,
                         get_field(document, "run_time_ms", int, 0),
                         get_field(document, "urgent", bool, False),
                         payload.encode("utf-8"))


def parse_operations(document: Document) -> tuple[model.Operation, ...]:
    """Parses the operations of a configuration patch.

    Args:
        document: Body of `POST /v1/config/patches`.

    Raises:
        RequestError: An operation is malformed; the message contains its index
            in the patch.
    """
    operation_documents = get_field(document, "operations", list)
    try:
        return tuple(
            model.parse_operation(entry, position)
            for position, entry in enumerate(operation_documents))
    except errors.ConfigurationError as error:
        raise errors.RequestError(errors.ErrorCode.PATCH_INVALID,
                                  str(error)) from error


def describe_configuration(configuration: model.Configuration) -> Document:
    """Returns the body of `GET /v1/config`."""
    return {
        "version": configuration.version,
        "domains": [
            domain._asdict() for domain in configuration.domains.values()
        ],
        "services": [{
            "name": service.name,
            "targets": list(service.targets),
            "reserve": service.reserve._asdict(),
            "timeout_ms": service.timeout_ms,
        } for service in configuration.services.values()],
        "teams": [{
            "name": team.name,
            "quota": team.quota._asdict()
        } for team in configuration.teams.values()],
        "leaving_targets": sorted(configuration.leaving_targets),
    }


def describe_patch_verdict(entry: state.PatchEntry) -> Document:
    """Returns the body of `GET /v1/config/patches/{id}`."""
    return {
        "patch_id": entry.patch.patch_id,
        "accepted": entry.is_accepted,
        "version": entry.version,
        "reason": entry.reason,
    }


def describe_patch(entry: state.PatchEntry) -> Document:
    """Returns one entry of `GET /v1/config/history`."""
    operations = []
    for name, fields in entry.patch.operations:
        operation = model.decode_operation(name, fields)
        operation_fields = msgspec.to_builtins(operation._asdict())
        operations.append({"op": name, **operation_fields})
    return {
        "patch_id": entry.patch.patch_id,
        "version": entry.version,
        "author": entry.patch.author,
        "comment": entry.patch.comment,
        "time_ms": entry.patch.time_ms,
        "operations": operations,
    }


def describe_job(entry: state.JobEntry,
                 progress: _jobs.JobProgress | None) -> Document:
    """Returns the body of `GET /v1/jobs/{id}`."""
    spec = entry.spec
    if progress is None:
        done = spec.tasks if entry.outcome == "done" else len(entry.done)
        waiting = 0 if entry.outcome else spec.tasks - done
        progress = _jobs.JobProgress(done, 0, waiting, "")
    return {
        "job_id": spec.job_id,
        "kind": spec.kind,
        "team": spec.team,
        "domain": entry.domain,
        "epoch": entry.epoch,
        "state": _get_job_state(entry, progress),
        "tasks": spec.tasks,
        "done": progress.done,
        "running": progress.running,
        "waiting": progress.waiting,
        "urgent": spec.is_urgent,
        "reason": progress.reason,
        "detail": entry.detail,
    }


def _get_job_state(entry: state.JobEntry, progress: _jobs.JobProgress) -> str:
    if entry.outcome:
        return entry.outcome
    if progress.running:
        return "running"
    return "stopped" if entry.spec.is_watcher else "queued"


def describe_request_trace(trace: gateway.RequestTrace) -> Document:
    """Returns the body of `GET /v1/explain/requests/{id}`."""
    return {
        "request_id":
            trace.request_id,
        "service":
            trace.service,
        "summary":
            trace.summary,
        "attempts": [{
            "kind": attempt.kind.value,
            "target": attempt.destination,
            "verdict": attempt.verdict.value,
            "elapsed_ms": round(attempt.elapsed.total_seconds() * 1000, 3),
            "outcome": attempt.outcome,
        } for attempt in trace.attempts],
    }
