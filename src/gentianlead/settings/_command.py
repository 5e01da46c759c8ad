"""Command line of `gentianleadd`, built from the table of settings."""

import enum
import os
import pathlib
from typing import Any, Callable, NamedTuple

import click
from click import core

import gentianlead
from gentianlead import errors
from gentianlead.settings import _check
from gentianlead.settings import _fields
from gentianlead.settings import _setting_types
from gentianlead.settings import _settings

TOKEN_FILE_PARAMETER = "operator_token_file"
TOKEN_FILE_VARIABLE = "GENTIANLEAD_OPERATOR_TOKEN_FILE"
CLI_ONLY_VARIABLES = frozenset(
    {"GENTIANLEAD_CA_FILE", "GENTIANLEAD_SERVERS", "GENTIANLEAD_TOKEN"})
"""Variables of the command-line tool `gentianlead`, with the same prefix."""

_MAX_TOKEN_FILE_BYTES = 4096

_COMMAND_HELP = """Run one gentianlead daemon on this entry VM.

Every setting has a flag and an environment variable; the flag takes
precedence. Durations are written like 500ms, 2s, 15min or 24h (a number alone
is in seconds) and sizes like 512KiB or 8MiB (a number alone is in bytes).

Run with --check first: it displays each setting as the daemon understands it,
with its source, and starts nothing.
"""


class SettingSource(enum.Enum):
    """Where the value of a setting was read from."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    FILE = "file"
    DEFAULT = "default"


class _ResolvedSettings(NamedTuple):
    settings: _settings.Settings
    sources: dict[str, SettingSource]


def build_daemon_command(
        run: Callable[[_settings.Settings], int]) -> click.Command:
    """Returns the command that reads the settings and calls `run`.

    Args:
        run: Runs the daemon and returns the exit status of the process.

    Returns:
        Click command that exits with status 2 if a setting is missing or not
        allowed, with status 0 after `--check`, else with the status of `run`.
    """

    @click.pass_context
    def execute(ctx: click.Context, check: bool, **option_values: Any) -> None:
        resolved = _resolve_settings(ctx, option_values)
        if check:
            _print_settings(resolved)
            ctx.exit(0)
        ctx.exit(run(resolved.settings))

    options: list[click.Parameter] = [
        _build_option(field)
        for field in _fields.SETTING_FIELDS
        if field.has_flag
    ]
    options.append(
        click.Option(
            ["--operator-token-file"],
            envvar=TOKEN_FILE_VARIABLE,
            type=_setting_types.FileType(),
            show_envvar=True,
            metavar="PATH",
            help="File with the operator token on its first line. The token "
            "itself has no flag; it can also be set in the environment "
            "variable GENTIANLEAD_OPERATOR_TOKEN."))
    options.append(
        click.Option(["--check"],
                     is_flag=True,
                     help="Display the settings with their sources and exit."))
    command = click.Command("gentianleadd",
                            params=options,
                            callback=execute,
                            help=_COMMAND_HELP,
                            context_settings={
                                "help_option_names": ["-h", "--help"],
                                "max_content_width": 100,
                            })
    return click.version_option(gentianlead.__version__,
                                prog_name="gentianleadd")(command)


def _build_option(field: _fields.SettingField) -> click.Option:
    help_text = f"{field.help} Allowed: {field.value_type.describe_range()}."
    # click treats an explicit default of None as a value for a required option,
    # so required settings are built without `default`.
    option_arguments: dict[str, Any] = {"required": True}
    if not field.is_required:
        help_text += f" Default: {field.value_type.format(field.default)}."
        option_arguments = {"default": field.default}
    return click.Option([field.flag],
                        envvar=field.environment_variable,
                        type=field.value_type,
                        show_envvar=True,
                        metavar=field.value_type.name.upper(),
                        help=help_text,
                        **option_arguments)


def _resolve_settings(ctx: click.Context,
                      option_values: dict[str, Any]) -> _ResolvedSettings:
    token_file = option_values.pop(TOKEN_FILE_PARAMETER)
    sources = {name: _get_setting_source(ctx, name) for name in option_values}
    token, sources["operator_token"] = _read_token(ctx, token_file)
    settings = _settings.Settings(operator_token=token, **option_values)
    try:
        _check.check_settings(settings)
    except errors.SettingsError as error:
        raise click.UsageError(str(error), ctx) from error
    return _ResolvedSettings(settings, sources)


def _get_setting_source(ctx: click.Context, name: str) -> SettingSource:
    source = ctx.get_parameter_source(name)
    if source is core.ParameterSource.COMMANDLINE:
        return SettingSource.FLAG
    if source is core.ParameterSource.ENVIRONMENT:
        return SettingSource.ENVIRONMENT
    return SettingSource.DEFAULT


def _read_token(
        ctx: click.Context, path: pathlib.Path | None
) -> tuple[_setting_types.Secret, SettingSource]:
    field = next(field for field in _fields.SETTING_FIELDS
                 if field.name == "operator_token")
    text = os.environ.get(field.environment_variable, "")
    if text and path is not None:
        raise click.UsageError(
            f"operator-token: both {field.environment_variable} and "
            f"{TOKEN_FILE_VARIABLE} (or its flag) are set; allowed: one of "
            "them", ctx)
    if path is not None:
        return _parse_token(ctx, field, _read_first_line(ctx, path),
                            "--operator-token-file"), SettingSource.FILE
    if not text:
        return field.default, SettingSource.DEFAULT
    return _parse_token(ctx, field, text,
                        field.environment_variable), SettingSource.ENVIRONMENT


def _read_first_line(ctx: click.Context, path: pathlib.Path) -> str:
    try:
        with path.open(encoding="utf-8") as file:
            return file.read(_MAX_TOKEN_FILE_BYTES).partition("\n")[0].strip()
    except (OSError, UnicodeDecodeError) as error:
        raise click.UsageError(
            f"operator-token-file: {path} is not readable as text",
            ctx) from error


def _parse_token(ctx: click.Context, field: _fields.SettingField, text: str,
                 source_name: str) -> _setting_types.Secret:
    try:
        return field.value_type.convert(text, None, ctx)
    except click.BadParameter as error:
        raise click.BadParameter(error.message,
                                 ctx,
                                 param_hint=f"'{source_name}'") from None


def _print_settings(resolved: _ResolvedSettings) -> None:
    rows = [(field.name.replace("_", "-"),
             field.value_type.format(getattr(resolved.settings, field.name)),
             resolved.sources[field.name].value)
            for field in _fields.SETTING_FIELDS]
    rows.insert(0, ("setting", "value", "source"))
    widths = [max(len(row[column]) for row in rows) for column in (0, 1)]
    for name, value, source in rows:
        click.echo(f"{name:{widths[0]}}  {value:{widths[1]}}  {source}")
    for name in _find_unknown_variables():
        click.echo(
            f"warning: environment variable {name} is not a setting and has "
            "no effect",
            err=True)


def _find_unknown_variables() -> list[str]:
    known = {field.environment_variable for field in _fields.SETTING_FIELDS}
    known |= CLI_ONLY_VARIABLES | {TOKEN_FILE_VARIABLE}
    return sorted(
        name for name in os.environ
        if name.startswith(_fields.ENVIRONMENT_PREFIX) and name not in known)
