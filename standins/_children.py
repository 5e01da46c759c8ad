"""Child processes and reserved ports of a deployment."""

import http.client
import json
import os
import pathlib
import selectors
import signal
import socket
import subprocess
import sys
import time
from typing import Any, Mapping, Self, Sequence

from standins import _endpoint
from standins import _journal
from standins import _ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
_READY_SECONDS = 30.0
_HTTP_SECONDS = 30.0
_POLL_SECONDS = 0.02


class DeploymentError(Exception):
    """A part of a deployment that did not start or does not answer."""


class PortReservations:
    """Loopback ports that no other process takes."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Returns a free port and keeps it until `close`."""
        holder = _ports.hold_port()
        self._sockets.append(holder)
        return holder.getsockname()[1]

    def close(self) -> None:
        """Gives all ports back."""
        for holder in self._sockets:
            holder.close()
        self._sockets.clear()


def build_environment() -> dict[str, str]:
    """Returns the environment with the source tree first on the path."""
    paths = [str(ROOT / "src"), str(ROOT)]
    if os.environ.get("PYTHONPATH"):
        paths.append(os.environ["PYTHONPATH"])
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


class Child:
    """A child process whose output goes to a file.

    Attributes:
        name: Name of the part.
        process: The process.
        output_path: File with its standard error, and its standard output.
    """

    def __init__(self,
                 name: str,
                 command: Sequence[str],
                 directory: pathlib.Path,
                 does_pipe_output: bool = False,
                 variables: Mapping[str, str] | None = None):
        self.name = name
        self.output_path = directory / f"{name}.log"
        with self.output_path.open("ab") as output:
            self.process = subprocess.Popen(  # pylint: disable=consider-using-with
                command,
                cwd=ROOT,
                env={
                    **build_environment(),
                    **(variables or {})
                },
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if does_pipe_output else output,
                stderr=output,
                start_new_session=True)

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal; nothing happens when the process has ended."""
        if self.is_running:
            self.process.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Waits for the end.

        Returns:
            The exit status, or None when the process still runs.
        """
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def read_output(self) -> str:
        """Returns what the process wrote."""
        return self.output_path.read_text(encoding="utf-8", errors="replace")


class StandIn(Child):
    """A stand-in process with a control port.

    Attributes:
        ports: Ports by name of the endpoint or link.
        control_port: Its control port.
    """

    def __init__(self, name: str, module: str, arguments: Sequence[str],
                 directory: pathlib.Path):
        super().__init__(
            name,
            [sys.executable, "-m", module, *arguments, "--exit-with-parent"],
            directory,
            does_pipe_output=True)
        self.ports: dict[str, int] = {}
        self.control_port = 0

    def wait_ready(self) -> Self:
        """Waits for the line with the ports.

        Raises:
            DeploymentError: The process ended or wrote nothing.
        """
        stdout = self.process.stdout
        assert stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(stdout, selectors.EVENT_READ)
            line = stdout.readline() if selector.select(_READY_SECONDS) else b""
        if not line:
            raise DeploymentError(
                f"{self.name} did not start: {self.read_output()[-2000:]}")
        status = json.loads(line)
        self.ports = status["ports"]
        self.control_port = status["control"]
        return self

    def control(self, action: str, **fields: Any) -> Any:
        """Sends a control command and returns its result.

        Raises:
            DeploymentError: The command was refused.
        """
        status, reply = call_json("POST", self.control_port, "/control", {
            "action": action,
            **fields
        })
        if status != 200:
            raise DeploymentError(f"{self.name}: {action}: {reply['error']}")
        return reply["result"]

    def read_journal(self, since: int = 0) -> list[_journal.Entry]:
        """Returns the journal from a sequence number on."""
        return call_json("GET", self.control_port, f"/journal?since={since}")[1]


def call_json(method: str,
              port: int,
              path: str,
              value: object = None,
              seconds: float = _HTTP_SECONDS) -> tuple[int, Any]:
    """Sends a JSON request to a loopback port.

    Returns:
        Status and decoded reply; the reply is text when it is not JSON.

    Raises:
        OSError: No connection or no reply.
    """
    connection = http.client.HTTPConnection(_endpoint.HOST,
                                            port,
                                            timeout=seconds)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body,
                           {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


def stop_all(children: Sequence[Child], seconds: float) -> None:
    """Stops processes with SIGTERM, and with SIGKILL after a time."""
    for child in children:
        child.send(signal.SIGCONT)
        child.send(signal.SIGTERM)
    deadline = time.monotonic() + seconds
    for child in children:
        if child.wait(max(deadline - time.monotonic(), _POLL_SECONDS)) is None:
            child.kill()
