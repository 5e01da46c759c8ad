"""Commands `job` and `watcher`: batch jobs and watchers."""

from typing import Any

import click

from gentianlead import errors
from gentianlead import model
from gentianlead.cli import _client
from gentianlead.cli import _commands
from gentianlead.cli import _exit_codes
from gentianlead.cli import _operator_documents
from gentianlead.cli import _output
from gentianlead.cli import _submission

_job_id_argument = click.argument("job_id", metavar="ID")


def _resource_options(command: Any) -> Any:
    default = model.JobSpec("").resources
    for option in (
            click.option("--payload-file",
                         type=click.File(encoding="utf-8"),
                         help="File whose text is handed to the worker; \"-\" "
                         "reads standard input."),
            click.option("--payload",
                         metavar="TEXT",
                         help="Text that is handed to the worker."),
            click.option("--urgent",
                         is_flag=True,
                         help="Start within seconds, if necessary on "
                         "resources that another team has borrowed."),
            click.option("--accelerators",
                         type=click.IntRange(0),
                         default=default.accelerators,
                         show_default=True,
                         help="Accelerators of each task."),
            click.option("--memory-mib",
                         type=click.IntRange(0),
                         default=default.memory_mib,
                         show_default=True,
                         help="Memory of each task in MiB."),
            click.option("--cpu-millis",
                         type=click.IntRange(0),
                         default=default.cpu_millis,
                         show_default=True,
                         help="Processor time of each task in thousandths of "
                         "a core."),
            click.option("--team",
                         default="",
                         metavar="NAME",
                         help="Team whose quota is used; none unless given."),
            click.option("--id",
                         "job_id",
                         metavar="ID",
                         help="Identifier; generated unless given. Submitting "
                         "the same content with the same identifier again "
                         "has no second effect."),
    ):
        command = option(command)
    return command


@click.group("job", cls=_commands.SharedOptionsGroup)
def job() -> None:
    """Submit batch jobs and follow them."""


@job.command("submit")
@_resource_options
@click.option("--tasks",
              type=click.IntRange(1),
              default=1,
              show_default=True,
              help="Number of tasks.")
@click.option("--run-time",
              "run_time_ms",
              type=_commands.RunTimeType(),
              default=0,
              metavar="DURATION",
              help="Expected run time of a task, such as 90s or 2h; unknown "
              "unless given.")
@_commands.pass_client
async def submit(ctx: click.Context, client: _client.OperatorClient,
                 **options: Any) -> None:
    """Submit a batch job.

    Each task runs until it succeeds once. When the reply is lost, the tool
    asks for the job by its identifier until the outcome is known or the time
    is up, and submits it again if no server knows it; this has no second
    effect.

    \b
    Example:
      gentianlead job submit --id receipts-2026-03 --tasks 40 \\
          --cpu-millis 500 --memory-mib 1024 --payload '{"month": "2026-03"}'
    """
    await _submit(ctx, client, model.JobKind.BATCH, options)


@click.group("watcher", cls=_commands.SharedOptionsGroup)
def watcher() -> None:
    """Create long-running watchers and follow them."""


@watcher.command("create")
@_resource_options
@_commands.pass_client
async def create(ctx: click.Context, client: _client.OperatorClient,
                 **options: Any) -> None:
    """Create a watcher.

    A watcher is one task that never ends: it is started again whenever its
    run ends. While it does not run, its status shows it as stopped, with the
    reason. End it with "gentianlead job cancel".
    """
    options.update(tasks=1, run_time_ms=0)
    await _submit(ctx, client, model.JobKind.WATCHER, options)


async def _submit(ctx: click.Context, client: _client.OperatorClient,
                  kind: model.JobKind, options: dict[str, Any]) -> None:
    spec = _build_job_spec(kind, options)
    body = {
        "job_id": spec.job_id,
        "team": spec.team,
        "kind": spec.kind,
        "tasks": spec.tasks,
        "resources": spec.resources._asdict(),
        "run_time_ms": spec.run_time_ms,
        "urgent": spec.is_urgent,
        "payload": spec.payload.decode(),
    }
    submission = _submission.JobSubmission(client,
                                           body,
                                           has_generated_id=options["job_id"]
                                           is None)
    submission_result = await submission.send_until_resolved()
    domain = submission_result.reply.get("domain", "")
    _report_result(
        ctx, submission_result, spec.job_id, f"{spec.kind} job {spec.job_id} "
        f"submitted to failure domain {domain}",
        f"Repeat the command with --id {spec.job_id} and the same content to "
        "learn the outcome; this has no second effect.")


def _build_job_spec(kind: model.JobKind, options: dict[str,
                                                       Any]) -> model.JobSpec:
    if options["payload"] is not None and options["payload_file"] is not None:
        raise click.UsageError(
            "--payload and --payload-file exclude each other")
    payload = options["payload"] or ""
    if options["payload_file"] is not None:
        payload = _commands.read_text(options["payload_file"])
    job_id = options["job_id"]
    if job_id is None:
        job_id = _commands.generate_unique_id(kind.value)
    spec = model.JobSpec(
        job_id, options["team"], kind.value, options["tasks"],
        model.Resources(options["cpu_millis"], options["memory_mib"],
                        options["accelerators"]), options["run_time_ms"],
        options["urgent"], payload.encode())
    try:
        model.check_job_spec(spec)
    except errors.ConfigurationError as error:
        raise click.UsageError(str(error)) from error
    return spec


def _report_result(ctx: click.Context,
                   submission_result: _submission.SubmissionResult, job_id: str,
                   success_message: str, next_step: str) -> None:
    if _commands.is_json(ctx):
        _output.print_json({
            "job_id": job_id,
            "result": submission_result.outcome.value,
            "domain": submission_result.reply.get("domain"),
            "state": submission_result.reply.get("state"),
            "reason": submission_result.reason,
        })
    if submission_result.outcome is _submission.SubmissionOutcome.ACCEPTED:
        if not _commands.is_json(ctx):
            click.echo(_output.to_printable_text(success_message))
        return
    if submission_result.outcome is _submission.SubmissionOutcome.NOT_SENT:
        raise _commands.CommandFailedError(
            _exit_codes.ExitCode.UNREACHABLE, f"job {job_id}: nothing was "
            f"sent: no server took the request: {submission_result.reason}")
    if submission_result.error is None:
        raise _commands.CommandFailedError(
            _exit_codes.ExitCode.UNKNOWN_RESULT,
            f"job {job_id}: the outcome is unknown. Last answer: "
            f"{submission_result.reason}. {next_step}")
    raise _commands.CommandFailedError(
        _commands.get_exit_code(submission_result.error),
        f"job {job_id} refused: {submission_result.reason}")


@job.command("status")
@_job_id_argument
@_commands.pass_client
async def status(ctx: click.Context, client: _client.OperatorClient,
                 job_id: str) -> None:
    """Show the state and progress of a job."""
    await _print_job(ctx, client, job_id)


@watcher.command("status")
@_job_id_argument
@_commands.pass_client
async def watcher_status(ctx: click.Context, client: _client.OperatorClient,
                         job_id: str) -> None:
    """Show whether a watcher runs, and if not, why."""
    await _print_job(ctx, client, job_id)


async def _print_job(ctx: click.Context, client: _client.OperatorClient,
                     job_id: str) -> None:
    document = await client.get(f"/v1/jobs/{_client.quote(job_id)}")
    if _commands.is_json(ctx):
        _output.print_json(document)
        return
    entry = _operator_documents.parse_document(document,
                                               _operator_documents.JobDocument)
    _output.print_fields((
        ("job", entry["job_id"]),
        ("kind", entry["kind"]),
        ("team", entry["team"] or "-"),
        ("failure domain", entry["domain"] or "-"),
        ("state", entry["state"]),
        ("tasks", f"{entry['tasks']} ({entry['done']} done, "
         f"{entry['running']} running, {entry['waiting']} waiting)"),
        ("reason", entry.get("reason") or "-"),
        ("detail", entry.get("detail") or "-"),
    ))


@job.command("cancel")
@_job_id_argument
@_commands.pass_client
async def cancel(ctx: click.Context, client: _client.OperatorClient,
                 job_id: str) -> None:
    """Cancel a job or a watcher.

    Running tasks are stopped and no further task starts. Cancelling twice has
    no second effect.
    """
    submission = _submission.CancelSubmission(client, job_id)
    _report_result(
        ctx, await submission.send_until_resolved(), job_id,
        f"cancellation of job {job_id} accepted",
        "Repeat the command; cancelling twice has no second effect.")


@job.command("list")
@click.option("--state",
              "states",
              multiple=True,
              type=click.Choice([
                  "queued", "running", "done", "cancelled", "failed", "stopped"
              ]),
              help="Show only jobs in this state. Can be given several times.")
@click.option("--kind",
              type=click.Choice([kind.value for kind in model.JobKind]),
              help="Show only jobs of this kind.")
@_commands.pass_client
async def list_jobs(ctx: click.Context, client: _client.OperatorClient,
                    states: tuple[str, ...], kind: str | None) -> None:
    """List jobs and watchers."""
    document = await client.get("/v1/jobs")
    jobs = [
        entry for entry in _operator_documents.parse_document(
            document, _operator_documents.JobListDocument)["jobs"]
        if (not states or entry["state"] in states) and
        (kind is None or entry["kind"] == kind)
    ]
    if _commands.is_json(ctx):
        _output.print_json({"jobs": jobs})
        return
    _output.print_table(
        ("job", "kind", "team", "failure domain", "state", "done", "tasks",
         "reason"),
        ((entry["job_id"], entry["kind"], entry["team"], entry["domain"],
          entry["state"], entry["done"], entry["tasks"], entry.get("reason") or
          "") for entry in jobs))
