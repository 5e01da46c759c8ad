"""Options and error handling that all commands share."""

import asyncio
import functools
import getpass
import pathlib
import re
import ssl
from typing import Any, Awaitable, Callable
import urllib.parse
import uuid

import click
from click import core

from gentianlead import errors
from gentianlead.cli import _client
from gentianlead.cli import _exit_codes
from gentianlead.cli import _output

_OPTION_KEY_PREFIX = "gentianlead."
_DEFAULT_TIMEOUT_SECONDS = 15.0
_RUN_TIME_PATTERN = re.compile(r"(\d{1,9}(?:\.\d{1,3})?) ?(ms|s|min|h|d)")
_RUN_TIME_UNITS_MS = {
    "ms": 1,
    "s": 1000,
    "min": 60_000,
    "h": 3_600_000,
    "d": 86_400_000
}

CommandBody = Callable[[_client.OperatorClient], Awaitable[None]]


class CommandFailedError(click.ClickException):
    """An error with one of the documented exit codes."""

    def __init__(self, code: _exit_codes.ExitCode, message: str):
        super().__init__(_output.to_printable_text(message))
        self.exit_code = int(code)


class ServerURLType(click.ParamType):
    """Base URL of an operator port."""

    name = "url"

    def split_envvar_value(self, rv: str) -> list[str]:
        return [part for part in re.split(r"[,\s]+", rv) if part]

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> str:
        try:
            parts = urllib.parse.urlsplit(value)
            is_valid = (parts.scheme in ("http", "https") and parts.hostname and
                        "@" not in parts.netloc and not parts.query and
                        parts.port != 0)
        except ValueError:
            is_valid = False
        if not is_valid:
            self.fail(
                f"{value.rpartition('@')[2]!r} is not allowed; allowed: http "
                "or https URL without user name, such as "
                "http://10.0.0.5:8081", param, ctx)
        return value.rstrip("/")


class RunTimeType(click.ParamType):
    """A duration with its unit, converted to milliseconds."""

    name = "duration"

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> int:
        if isinstance(value, int):
            return value
        match = _RUN_TIME_PATTERN.fullmatch(value.strip())
        if match is None:
            self.fail(
                f"{value!r} is not allowed; allowed: a number with one of "
                "the units ms, s, min, h, d, such as 30s or 2h", param, ctx)
        return round(float(match[1]) * _RUN_TIME_UNITS_MS[match[2]])


def _store_shared_option(ctx: click.Context, param: click.Parameter,
                         value: Any) -> None:
    # The options can be given before or after the name of a command. After the
    # name only flags are stored, so that an environment variable does not
    # override a flag before it.
    source = ctx.get_parameter_source(param.name)
    if ctx.parent is None or source is core.ParameterSource.COMMANDLINE:
        ctx.meta[_OPTION_KEY_PREFIX + param.name] = value


def build_shared_options() -> list[click.Parameter]:
    """Returns the options that the tool and each of its commands accept."""
    common_arguments: dict[str, Any] = {
        "expose_value": False,
        "callback": _store_shared_option
    }
    return [
        click.Option(
            ["--server"],
            type=ServerURLType(),
            multiple=True,
            envvar="GENTIANLEAD_SERVERS",
            show_envvar=True,
            metavar="URL",
            help="Operator port of a daemon, such as http://10.0.0.5:8081. "
            "Can be given several times: when a daemon cannot be reached, the "
            "next one is tried. In the environment variable, separate the URLs "
            "by commas or spaces.",
            **common_arguments),
        click.Option(
            ["--token"],
            envvar="GENTIANLEAD_TOKEN",
            show_envvar=True,
            metavar="TOKEN",
            help="Token of the operator port. Prefer the environment variable: "
            "other users of the machine can see flags.",
            **common_arguments),
        click.Option(
            ["--ca-file"],
            type=click.Path(exists=True, dir_okay=False,
                            path_type=pathlib.Path),
            envvar="GENTIANLEAD_CA_FILE",
            show_envvar=True,
            help="Certificates (PEM) to trust for https servers, in place of "
            "those of the system.",
            **common_arguments),
        click.Option(["--timeout"],
                     type=click.FloatRange(0.1, 600),
                     default=_DEFAULT_TIMEOUT_SECONDS,
                     show_default=True,
                     metavar="SECONDS",
                     help="Longest time for the whole command.",
                     **common_arguments),
        click.Option(["--output"],
                     type=click.Choice(
                         [member.value for member in _output.OutputFormat]),
                     default=_output.OutputFormat.TABLE.value,
                     show_default=True,
                     help="Form of the output. JSON is stable for scripts.",
                     **common_arguments),
    ]


class SharedOptionsCommand(click.Command):
    """A command with the shared options."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.params.extend(build_shared_options())


class SharedOptionsGroup(click.Group):
    """A group whose commands have the shared options."""

    command_class = SharedOptionsCommand
    group_class = type


def get_shared_option(ctx: click.Context, name: str) -> Any:
    """Returns the value of a shared option."""
    return ctx.meta.get(_OPTION_KEY_PREFIX + name)


def is_json(ctx: click.Context) -> bool:
    """Returns whether `--output=json` was given."""
    return get_shared_option(ctx, "output") == _output.OutputFormat.JSON.value


def generate_unique_id(prefix: str) -> str:
    """Returns the prefix followed by a random unique identifier."""
    return f"{prefix}-{uuid.uuid4().hex}"


def get_user_name() -> str:
    """Returns the name of the user who runs the tool, or `unknown`."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def read_text(file: click.utils.LazyFile) -> str:
    """Returns the content of a file argument.

    Raises:
        UsageError: The file is not text in UTF-8.
    """
    try:
        return file.read()
    except UnicodeDecodeError as error:
        raise click.UsageError(
            f"{file.name}: not text in UTF-8 ({error.reason} at byte "
            f"{error.start})") from error


def run_with_client(ctx: click.Context, command_body: CommandBody) -> None:
    """Runs the body of a command and converts errors to exit codes.

    Raises:
        CommandFailedError: The command failed.
        UsageError: No server is given.
    """
    connection = _build_connection(ctx)

    async def run() -> None:
        async with _client.OperatorClient(connection) as client:
            await command_body(client)

    try:
        asyncio.run(run())
    except _client.ReplyError as error:
        raise CommandFailedError(get_exit_code(error), str(error)) from error
    except _client.UnreachableError as error:
        raise CommandFailedError(_exit_codes.ExitCode.UNREACHABLE,
                                 f"no server answered: {error}") from error
    except errors.GentianleadError as error:
        raise CommandFailedError(_exit_codes.ExitCode.FAILURE,
                                 str(error)) from error


def _build_connection(ctx: click.Context) -> _client.ConnectionSettings:
    servers = tuple(get_shared_option(ctx, "server") or ())
    if not servers:
        raise click.UsageError(
            "no server given; use --server URL or set GENTIANLEAD_SERVERS to "
            "the operator ports of the daemons", ctx)
    ca_file = get_shared_option(ctx, "ca_file")
    try:
        tls = ca_file and ssl.create_default_context(cafile=ca_file)
    except ssl.SSLError as error:
        raise click.UsageError(f"--ca-file: {ca_file}: not a PEM file",
                               ctx) from error
    return _client.ConnectionSettings(servers,
                                      get_shared_option(ctx, "token") or "",
                                      get_shared_option(ctx, "timeout"), tls)


def get_exit_code(error: _client.ReplyError) -> _exit_codes.ExitCode:
    """Returns the exit code for an error reply of a server."""
    if error.is_not_found:
        return _exit_codes.ExitCode.NOT_FOUND
    if error.is_conflict:
        return _exit_codes.ExitCode.VERSION_CONFLICT
    if error.verdict is errors.Verdict.MAY_HAVE_RUN:
        return _exit_codes.ExitCode.UNKNOWN_RESULT
    return _exit_codes.ExitCode.REFUSED


def pass_client(
        function: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Makes an asynchronous function usable as the body of a command.

    The function receives the context and a client before the values of the
    command's own options.
    """

    @click.pass_context
    @functools.wraps(function)
    def execute(ctx: click.Context, **values: Any) -> None:
        run_with_client(ctx, lambda client: function(ctx, client, **values))

    return execute
