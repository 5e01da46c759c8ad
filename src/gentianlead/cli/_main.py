"""The root command and shell completion."""

import click
from click import shell_completion

import gentianlead
from gentianlead.cli import _commands
from gentianlead.cli import _config_commands
from gentianlead.cli import _job_commands
from gentianlead.cli import _view_commands

_PROGRAM = "gentianlead"
_COMPLETE_VARIABLE = "_GENTIANLEAD_COMPLETE"


@click.group(_PROGRAM,
             context_settings={
                 "help_option_names": ["-h", "--help"],
                 "max_content_width": 100,
             })
@click.version_option(gentianlead.__version__, prog_name=_PROGRAM)
def main() -> None:
    """Operate gentianlead: configuration, zones, jobs and watchers.

    The tool talks to the operator port of any daemon. Tell it where they are:

    \b
      export GENTIANLEAD_SERVERS=http://10.0.0.5:8081,http://10.0.0.6:8081
      export GENTIANLEAD_TOKEN=...
      gentianlead status

    \b
    Exit codes:
      0  success
      1  unexpected failure
      2  wrong usage; nothing was sent
      3  refused by the server; nothing was changed
      4  rejected, because the patch names a version that is not current
      5  no server could be reached or was ready; nothing was changed
      6  the outcome is unknown; repeat the command as the message says
      7  the job, patch or request is not known
    """


@click.command("completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print a script that completes commands and options in SHELL.

    \b
    For bash, add this line to ~/.bashrc:
      eval "$(gentianlead completion bash)"
    For zsh, add this line to ~/.zshrc:
      eval "$(gentianlead completion zsh)"
    For fish, run once:
      gentianlead completion fish > ~/.config/fish/completions/gentianlead.fish
    """
    kind = shell_completion.get_completion_class(shell)
    assert kind is not None
    script = kind(main, {}, _PROGRAM, _COMPLETE_VARIABLE)
    # The class for bash starts a shell to check its version; the base class
    # only fills in the template.
    click.echo(shell_completion.ShellComplete.source(script))


main.params.extend(_commands.build_shared_options())
for _command in (_config_commands.config, _config_commands.zone,
                 _job_commands.job, _job_commands.watcher,
                 _view_commands.service, _view_commands.status,
                 _view_commands.explain, completion):
    main.add_command(_command)
