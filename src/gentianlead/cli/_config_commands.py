"""Commands `config` and `zone`: reading and changing the configuration."""

import json
from typing import Any

import click

from gentianlead import errors
from gentianlead import model
from gentianlead.cli import _client
from gentianlead.cli import _commands
from gentianlead.cli import _configuration_diff
from gentianlead.cli import _exit_codes
from gentianlead.cli import _operator_documents
from gentianlead.cli import _output
from gentianlead.cli import _submission

_patch_file_argument = click.argument("file", type=click.File(encoding="utf-8"))
_PATCH_KEYS = frozenset(_operator_documents.PatchDocument.__annotations__)
_RESOURCE_COLUMNS = ("cores", "memory MiB", "accelerators")


def _patch_options(command: Any) -> Any:
    for option in (
            click.option("--patch-id",
                         metavar="ID",
                         help="Identifier of the patch; generated unless "
                         "given. Give the identifier of an earlier attempt "
                         "to repeat that attempt safely."),
            click.option("--comment",
                         metavar="TEXT",
                         help="Reason for the change, kept in the history."),
            click.option("--author",
                         metavar="NAME",
                         help="Author kept in the history; your user name "
                         "unless given."),
    ):
        command = option(command)
    return command


@click.group("config", cls=_commands.SharedOptionsGroup)
def config() -> None:
    """Read and change the configuration.

    The configuration has a version number. A patch names the version that it
    was written for and is accepted only while that version is current.
    """


@config.command("show")
@_commands.pass_client
async def show(ctx: click.Context, client: _client.OperatorClient) -> None:
    """Show the configuration in force."""
    document = await client.get("/v1/config")
    if _commands.is_json(ctx):
        _output.print_json(document)
        return
    current = _operator_documents.parse_configuration(document)
    click.echo(f"version {current.version}")
    _output.print_section(
        "failure domains", ("name", "region", "state"),
        ((domain.name, domain.region,
          "in service" if domain.is_in_service else "out of service")
         for _, domain in sorted(current.domains.items())))
    _output.print_section(
        "services", ("name", "targets", "reserve per target", "timeout ms"),
        ((service.name, ", ".join(service.targets),
          _output.format_resources(service.reserve), service.timeout_ms)
         for _, service in sorted(current.services.items())))
    _output.print_section("teams", ("name", *_RESOURCE_COLUMNS),
                          ((team.name, f"{team.quota.cpu_millis / 1000:g}",
                            team.quota.memory_mib, team.quota.accelerators)
                           for _, team in sorted(current.teams.items())))
    _output.print_section("leaving targets", ("name",),
                          ((name,) for name in sorted(current.leaving_targets)))


@config.command("diff")
@_patch_file_argument
@_commands.pass_client
async def diff(ctx: click.Context, client: _client.OperatorClient,
               file: click.utils.LazyFile) -> None:
    """Show what the patch in FILE would change, without sending it.

    FILE has the form described at "gentianlead config patch --help"; "-"
    reads standard input. The exit code is 0 when the patch would be accepted
    now, 3 when an operation is not valid and 4 when the patch names a version
    that is not the current one.
    """
    patch, operations = _read_patch(file)
    current = _operator_documents.parse_configuration(await
                                                      client.get("/v1/config"))
    try:
        patched = model.apply_operations(current, operations)
    except errors.ConfigurationError as error:
        raise _commands.CommandFailedError(
            _exit_codes.ExitCode.REFUSED,
            f"the patch is not valid for version {current.version}: "
            f"{error}") from error
    changes = _configuration_diff.compare_configurations(current, patched)
    if _commands.is_json(ctx):
        _output.print_json({
            "base_version": patch["base_version"],
            "current_version": current.version,
            "changes": [change._asdict() for change in changes],
        })
    else:
        click.echo(f"version {current.version} -> {patched.version}")
        for change in changes:
            click.echo(str(change))
        if not changes:
            click.echo("(no change)")
    if patch["base_version"] != current.version:
        raise _commands.CommandFailedError(
            _exit_codes.ExitCode.VERSION_CONFLICT,
            f"the patch names version {patch['base_version']}, but the "
            f"current version is {current.version}: it would be rejected")


@config.command("patch")
@_patch_file_argument
@_patch_options
@_commands.pass_client
async def patch_command(ctx: click.Context, client: _client.OperatorClient,
                        file: click.utils.LazyFile,
                        **options: str | None) -> None:
    """Change the configuration by the patch in FILE.

    FILE is JSON; "-" reads standard input. For example:

    \b
      {"base_version": 7,
       "comment": "more memory for previews",
       "operations": [
         {"op": "put_service", "name": "previews",
          "reserve": {"cpu_millis": 2000, "memory_mib": 4096}},
         {"op": "domain_out", "name": "north-2"}]}

    \b
    Operations and their fields:
      put_service      name, targets, reserve, timeout_ms
      remove_service   name
      put_team         name, quota
      remove_team      name
      put_domain       name, region
      domain_out       name
      domain_in        name
      target_leaving   name
      target_returned  name

    All operations take effect together as the next version, or none does.
    When the reply is lost, the tool asks for the outcome until it is known or
    the time is up, and sends the patch again if no server knows it; a second
    copy has no effect. Use "gentianlead config diff" first to see the effect.
    """
    patch, _ = _read_patch(file)
    await _submit(ctx, client, patch, options)


def _read_patch(
    file: click.utils.LazyFile
) -> tuple[_operator_documents.PatchDocument, tuple[model.Operation, ...]]:
    text = _commands.read_text(file)
    try:
        document = json.loads(text)
    except json.JSONDecodeError as error:
        raise click.UsageError(
            f"{file.name}: not JSON: {error.msg} at line {error.lineno}, "
            f"column {error.colno}") from error
    try:
        patch = _operator_documents.parse_document(
            document, _operator_documents.PatchDocument, "the patch")
        operations = tuple(
            model.parse_operation(operation, position)
            for position, operation in enumerate(patch["operations"]))
    except (errors.ProtocolError, errors.ConfigurationError) as error:
        raise click.UsageError(f"{file.name}: {error}") from error
    if not operations:
        raise click.UsageError(f"{file.name}: the patch has no operations")
    unknown = sorted(set(document) - _PATCH_KEYS)
    if unknown:
        raise click.UsageError(f"{file.name}: unknown key {unknown[0]!r}; "
                               f"known: {', '.join(sorted(_PATCH_KEYS))}")
    return patch, operations


async def _submit(ctx: click.Context, client: _client.OperatorClient,
                  patch: _operator_documents.PatchDocument,
                  options: dict[str, str | None]) -> None:
    patch_id = options["patch_id"] or _commands.generate_unique_id("patch")
    body = {
        "patch_id": patch_id,
        "base_version": patch["base_version"],
        "operations": patch["operations"],
        "author": options["author"] or _commands.get_user_name(),
        "comment": options["comment"] or patch.get("comment", ""),
    }
    submission_result = await _submission.PatchSubmission(
        client, body).send_until_resolved()
    version = _get_reply_version(submission_result)
    if _commands.is_json(ctx):
        _output.print_json({
            "patch_id": patch_id,
            "result": submission_result.outcome.value,
            "version": version,
            "reason": submission_result.reason,
        })
    if submission_result.outcome is _submission.SubmissionOutcome.ACCEPTED:
        if not _commands.is_json(ctx):
            click.echo(f"patch {patch_id} accepted as version {version}")
        return
    raise _build_failure_error(submission_result, body, version)


def _get_reply_version(
        submission_result: _submission.SubmissionResult) -> int | None:
    version = submission_result.reply.get(
        "version", submission_result.reply.get("current_version"))
    return version if isinstance(version, int) else None


def _build_failure_error(submission_result: _submission.SubmissionResult,
                         body: dict[str, Any],
                         version: int | None) -> _commands.CommandFailedError:
    patch_id = body["patch_id"]
    if submission_result.outcome is _submission.SubmissionOutcome.NOT_SENT:
        return _commands.CommandFailedError(
            _exit_codes.ExitCode.UNREACHABLE,
            f"patch {patch_id} was not sent: no server took it: "
            f"{submission_result.reason}")
    if submission_result.outcome is _submission.SubmissionOutcome.UNKNOWN:
        return _commands.CommandFailedError(
            _exit_codes.ExitCode.UNKNOWN_RESULT,
            f"the outcome of patch {patch_id} is unknown: it may have been "
            f"accepted or may still be. Last answer: "
            f"{submission_result.reason}. "
            f"Repeat the command with --patch-id {patch_id} and the same "
            "content to learn the outcome; this has no second effect.")
    current = "" if version is None else f", current version is {version}"
    if submission_result.error is not None:
        code = _commands.get_exit_code(submission_result.error)
    elif version != body["base_version"]:
        code = _exit_codes.ExitCode.VERSION_CONFLICT
    else:
        code = _exit_codes.ExitCode.REFUSED
    return _commands.CommandFailedError(
        code, f"patch {patch_id} rejected{current}: {submission_result.reason}")


@config.command("history")
@click.option("--limit",
              type=click.IntRange(1),
              default=20,
              show_default=True,
              help="Most patches to show.")
@_commands.pass_client
async def history(ctx: click.Context, client: _client.OperatorClient,
                  limit: int) -> None:
    """Show the last accepted patches, newest first."""
    document = await client.get("/v1/config/history")
    patches = _operator_documents.parse_document(
        document, _operator_documents.HistoryDocument)["patches"]
    patches = sorted(patches, key=lambda patch: patch["version"], reverse=True)
    if _commands.is_json(ctx):
        _output.print_json({"patches": patches[:limit]})
        return
    _output.print_table(
        ("version", "time", "author", "operations", "comment", "patch"),
        ((patch["version"], _output.format_time(
            patch["time_ms"]), patch["author"], ", ".join(
                f"{operation.get('op')} {operation.get('name', '')}".strip()
                for operation in patch["operations"]), patch["comment"],
          patch["patch_id"])
         for patch in patches[:limit]))


@click.group("zone", cls=_commands.SharedOptionsGroup)
def zone() -> None:
    """Take a failure domain out of service and bring it back."""


def _zone_options(command: Any) -> Any:
    command = _patch_options(command)
    return click.option(
        "--base-version",
        type=click.IntRange(0),
        metavar="N",
        help="Version that the change is meant for. Without it, the current "
        "version is read first.")(command)


@zone.command("out")
@click.argument("name")
@_zone_options
@_commands.pass_client
async def zone_out(ctx: click.Context, client: _client.OperatorClient,
                   name: str, base_version: int | None,
                   **options: str | None) -> None:
    """Take the failure domain NAME out of service.

    A few seconds after the change is accepted, no task starts there any more.
    Requests go to other failure domains, and running tasks save a checkpoint
    and continue elsewhere.
    """
    await _submit_domain_patch(ctx, client, "domain_out", name, base_version,
                               options)


@zone.command("in")
@click.argument("name")
@_zone_options
@_commands.pass_client
async def zone_in(ctx: click.Context, client: _client.OperatorClient, name: str,
                  base_version: int | None, **options: str | None) -> None:
    """Bring the failure domain NAME back into service."""
    await _submit_domain_patch(ctx, client, "domain_in", name, base_version,
                               options)


async def _submit_domain_patch(ctx: click.Context,
                               client: _client.OperatorClient, operation: str,
                               name: str, base_version: int | None,
                               options: dict[str, str | None]) -> None:
    if base_version is None:
        document = await client.get("/v1/config")
        base_version = _operator_documents.parse_configuration(document).version
    patch: _operator_documents.PatchDocument = {
        "base_version": base_version,
        "operations": [{
            "op": operation,
            "name": name
        }],
    }
    await _submit(ctx, client, patch, options)
