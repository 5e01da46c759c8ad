"""Commands `service`, `status` and `explain`, which only read."""

from typing import Any

import click

from gentianlead.cli import _client
from gentianlead.cli import _commands
from gentianlead.cli import _operator_documents
from gentianlead.cli import _output


@click.group("service", cls=_commands.SharedOptionsGroup)
def service() -> None:
    """Look at services and their targets."""


@service.command("list")
@_commands.pass_client
async def list_services(ctx: click.Context,
                        client: _client.OperatorClient) -> None:
    """List services with their targets, as the answering daemon sees them.

    "share" is the number of slots of the target that this daemon may use.
    """
    document = await client.get("/v1/services")
    if _commands.is_json(ctx):
        _output.print_json(document)
        return
    document_list = _operator_documents.parse_document(
        document, _operator_documents.ServiceListDocument)
    rows: list[tuple[object, ...]] = []
    for entry in document_list["services"]:
        rows.extend(
            (entry["name"], target["name"], target["domain"], target["address"],
             target["state"], target["in_flight"], f"{target['share']:g}")
            for target in entry["targets"])
        if not entry["targets"]:
            rows.append((entry["name"], "(none)", "", "", "", "", ""))
    _output.print_table(("service", "target", "failure domain", "address",
                         "state", "in flight", "share"), rows)


@click.command("status", cls=_commands.SharedOptionsCommand)
@_commands.pass_client
async def status(ctx: click.Context, client: _client.OperatorClient) -> None:
    """Show the state of one daemon: the first server that answers."""
    document = await client.get("/v1/status")
    if _commands.is_json(ctx):
        _output.print_json(document)
        return
    daemon = _operator_documents.parse_document(
        document, _operator_documents.StatusDocument)
    ready = "yes" if daemon["ready"] else "no"
    if daemon["ready_reason"]:
        ready = f"{ready} ({daemon['ready_reason']})"
    _output.print_fields((
        ("daemon", daemon["name"]),
        ("failure domain", daemon["domain"]),
        ("ready", ready),
        ("configuration", f"version {daemon['config_version']}"),
    ))
    _output.print_section("log streams",
                          ("stream", "position", "age", "complete"),
                          ((stream["stream"], stream["position"],
                            _output.format_age(stream["age_ms"]),
                            "yes" if stream["complete"] else "no")
                           for stream in daemon["streams"]))
    _print_name_or_object_table("members", daemon["members"])
    _print_name_or_object_table("workers", daemon["workers"])


def _print_name_or_object_table(title: str, entries: list[Any]) -> None:
    """Prints a table of objects, or of plain names under one heading.

    The keys of the first object are the headings.
    """
    headings: list[str] = ["name"]
    if entries and isinstance(entries[0], dict):
        headings = list(entries[0])
    _output.print_section(
        title, headings,
        ([entry.get(heading, "")
          for heading in headings] if isinstance(entry, dict) else [entry] +
         [""] * (len(headings) - 1)
         for entry in entries))


@click.group("explain", cls=_commands.SharedOptionsGroup)
def explain() -> None:
    """Ask why a job waits or what happened to a request."""


@explain.command("job")
@click.argument("job_id", metavar="ID")
@_commands.pass_client
async def explain_job(ctx: click.Context, client: _client.OperatorClient,
                      job_id: str) -> None:
    """Explain why a job or watcher is in its state."""
    document = await client.get(f"/v1/explain/jobs/{_client.quote(job_id)}")
    if _commands.is_json(ctx):
        _output.print_json(document)
        return
    explanation = _operator_documents.parse_document(
        document, _operator_documents.JobExplanation)
    click.echo(_output.to_printable_text(explanation["summary"]))
    for reason in explanation["reasons"]:
        click.echo(f"- {_output.to_printable_text(reason)}")


@explain.command("request")
@click.argument("request_id", metavar="ID")
@_commands.pass_client
async def explain_request(ctx: click.Context, client: _client.OperatorClient,
                          request_id: str) -> None:
    """Explain what happened to a request.

    ID is the value of the header Gentianlead-Request-Id. Each daemon knows
    only its own latest requests, so all given servers are asked.
    """
    document = await client.search_servers(
        f"/v1/explain/requests/{_client.quote(request_id)}")
    if _commands.is_json(ctx):
        _output.print_json(document)
        return
    explanation = _operator_documents.parse_document(
        document, _operator_documents.RequestExplanation)
    click.echo(_output.to_printable_text(explanation["summary"]))
    _output.print_section("attempts",
                          ("target", "verdict", "elapsed ms", "outcome"),
                          ((attempt["target"], attempt["verdict"],
                            f"{attempt['elapsed_ms']:g}", attempt["outcome"])
                           for attempt in explanation["attempts"]))
