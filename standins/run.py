"""Runs a deployment until interrupted and prints its addresses.

Usage: `python -m standins.run sadaqa-drive`
"""

import signal
import threading

import click

from standins import deployment

READY_SECONDS = 60.0
_SHAPES = {
    shape.name: shape
    for shape in (deployment.SADAQA_DRIVE, deployment.REPRINT_LAGOON)
}


@click.command()
@click.argument("shape", type=click.Choice(sorted(_SHAPES)))
def main(shape: str) -> None:
    """Starts the deployment SHAPE and stops it at Ctrl-C."""
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    with deployment.Deployment(_SHAPES[shape]) as running:
        running.wait_ready(READY_SECONDS)
        for seat in running.seats.values():
            click.echo(f"{seat.name}  {seat.domain}  "
                       f"callers http://127.0.0.1:{seat.caller_port}  "
                       f"operators http://127.0.0.1:{seat.operator_port}")
        click.echo("ready; stop with Ctrl-C")
        try:
            stopped.wait()
        except KeyboardInterrupt:
            click.echo("stopping")


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
