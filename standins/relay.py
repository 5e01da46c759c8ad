"""TCP relay that can cut, hold, reset or delay what it forwards.

One process relays any number of links; each link listens on one port and
forwards to another. A connection that lost bytes never works again, as the
rest of its stream would make no sense. A new connection during a cut is
accepted and stays silent.

Usage:
    python -m standins.relay --link log=9001 --link vmlist=9003:9203
"""

import asyncio
import collections
import enum
import fnmatch
import time
from typing import Any, cast, NamedTuple, Self

import click

from standins import _control
from standins import _endpoint
from standins import _journal

_BACKLOG = 512

# Delayed bytes with their due time; None is the end of the stream.
_Delayed = tuple[float, bytes | None]


class Mode(enum.Enum):
    """What a link does with the bytes of its connections."""

    PASS = "pass"
    DROP = "drop"
    HOLD = "hold"
    RESET = "reset"


class Direction(enum.Enum):
    """Which bytes a mode applies to."""

    BOTH = "both"
    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"


class LinkState(NamedTuple):
    """What a link does now.

    Attributes:
        mode: What it does with bytes.
        direction: Which bytes `mode` applies to.
        delay_seconds: Delay of each direction.
    """

    mode: Mode = Mode.PASS
    direction: Direction = Direction.BOTH
    delay_seconds: float = 0.0

    def applies(self, mode: Mode, direction: Direction) -> bool:
        """Returns whether bytes of a direction are treated by a mode."""
        return self.mode is mode and self.direction in (Direction.BOTH,
                                                        direction)


class _Side(asyncio.Protocol):
    """One side of a relayed connection.

    Attributes:
        direction: Direction of the bytes that this side receives.
        other: The side that they are written to.
        has_lost: Whether bytes of this direction were dropped.
    """

    def __init__(self, connection: "_Connection", direction: Direction):
        self.direction = direction
        self.other: Self | None = None
        self.has_lost = False
        self._connection = connection
        self._transport: asyncio.Transport | None = None
        self._queue: collections.deque[_Delayed] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        # The client may write before the relay has reached the target;
        # uvloop ignores a pause of reading in connection_made.
        self._unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._connection.on_side_open()
        for data in self._unsent:
            self.write(data)
        self._unsent.clear()

    def data_received(self, data: bytes) -> None:
        state = self._connection.state
        if self.has_lost or state.applies(Mode.DROP, self.direction):
            self.has_lost = True
            return
        if state.delay_seconds <= 0 and not self._queue:
            self._forward(data)
            return
        self._enqueue(data, state.delay_seconds)

    def _enqueue(self, data: bytes | None, delay_seconds: float) -> None:
        due = time.monotonic() + delay_seconds
        if self._queue:
            due = max(due, self._queue[-1][0])
        self._queue.append((due, data))
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._queue:
            delay = max(self._queue[0][0] - time.monotonic(), 0)
            self._timer = asyncio.get_running_loop().call_later(
                delay, self._send_due)

    def _send_due(self) -> None:
        self._timer = None
        now = time.monotonic()
        while self._queue and self._queue[0][0] <= now:
            _, data = self._queue.popleft()
            state = self._connection.state
            if self.has_lost or state.applies(Mode.DROP, self.direction):
                self.has_lost = True
                continue
            self._forward(data)
        self._schedule()

    def _forward(self, data: bytes | None) -> None:
        if self.other is None:
            return
        if data is None:
            self.other.close()
        else:
            self.other.write(data)

    def write(self, data: bytes) -> None:
        """Writes bytes of the other side, once this side is connected."""
        if self._transport is None:
            self._unsent.append(data)
        elif not self._transport.is_closing():
            self._transport.write(data)

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other.set_reading(False)

    def resume_writing(self) -> None:
        if self.other is not None:
            self.other.set_reading(True)

    def set_reading(self, is_reading: bool) -> None:
        """Reads on, unless the link holds this direction."""
        if self._transport is None or self._transport.is_closing():
            return
        held = self._connection.state.applies(Mode.HOLD, self.direction)
        if is_reading and not held:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._connection.on_side_closed()
        if self.other is None or self._is_end_hidden():
            return
        if exc is not None:
            self.other.abort()
        elif self._queue:
            self._enqueue(None, 0)
        else:
            self.other.close()

    def _is_end_hidden(self) -> bool:
        return self.has_lost or self._connection.state.applies(
            Mode.DROP, self.direction)

    def close(self) -> None:
        """Closes the connection of this side after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection of this side."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_open(self) -> bool:
        """Whether this side is connected."""
        return self._transport is not None


class _Connection:
    """Both sides of a relayed connection.

    Attributes:
        client: The side that connected to the relay.
        target: The side that the relay connected.
        is_cut: Whether this connection alone drops all bytes for good.
    """

    def __init__(self, link: "Link"):
        self._link = link
        self.is_cut = link.state.mode is Mode.DROP
        self._is_connected = False
        self.client = _Side(self, Direction.TO_TARGET)
        self.target = _Side(self, Direction.FROM_TARGET)
        self.client.other = self.target
        self.target.other = self.client

    @property
    def state(self) -> LinkState:
        """What the link does, or a cut of this connection alone."""
        return LinkState(Mode.DROP) if self.is_cut else self._link.state

    def on_side_open(self) -> None:
        """Connects to the target once the client is connected."""
        self._link.connections.add(self)
        if self._link.state.mode is Mode.RESET:
            self.abort()
        elif self.target.is_open:
            self._is_connected = True
            if self.client.is_open:
                self.apply_state()
            else:
                self.target.abort()
        elif not self.is_cut:
            self._link.connect(self)

    def on_side_closed(self) -> None:
        """Forgets the connection once both sides are closed."""
        if not self.client.is_open and not self.target.is_open:
            self._link.connections.discard(self)

    def apply_state(self) -> None:
        """Starts or stops reading after a change of the link."""
        self.client.set_reading(True)
        self.target.set_reading(True)

    def abort_orphan(self) -> None:
        """Resets a side whose other side was closed unseen during a cut."""
        if self._is_connected and self.client.is_open != self.target.is_open:
            self.abort()

    def abort(self) -> None:
        """Resets both sides."""
        self.client.abort()
        self.target.abort()


class Link:
    """One relayed port.

    Attributes:
        name: Name of the link.
        state: What it does now.
        connections: Its open connections.
        port: Port that it listens on.
    """

    def __init__(self, name: str, target_port: int):
        self.name = name
        self.state = LinkState()
        self.connections: set[_Connection] = set()
        self.port = 0
        self._target_port = target_port
        self._connecting: set[asyncio.Task[None]] = set()
        self._server: asyncio.AbstractServer | None = None

    async def open(self, port: int) -> None:
        """Listens on a port; 0 takes any free one."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self).client,
            _endpoint.HOST,
            port,
            backlog=_BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def connect(self, connection: _Connection) -> None:
        """Connects a connection to the target."""
        task = asyncio.create_task(self._connect(connection))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, connection: _Connection) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: connection.target, _endpoint.HOST, self._target_port)
        except OSError:
            connection.client.abort()

    def change(self, state: LinkState) -> None:
        """Treats the bytes of all connections in another way."""
        self.state = state
        for connection in list(self.connections):
            if state.mode is Mode.RESET:
                connection.abort()
                continue
            if state.mode is not Mode.DROP:
                connection.abort_orphan()
            connection.apply_state()

    def cut_existing(self) -> None:
        """Silences the open connections for good; new ones work."""
        for connection in self.connections:
            connection.is_cut = True


class Relay:
    """All links of the process.

    Attributes:
        links: Links by name.
    """

    def __init__(self, links: list[Link], journal: _journal.Journal):
        self.links = {link.name: link for link in links}
        self._journal = journal

    def _select(self, command: _control.Command) -> list[Link]:
        pattern = command.get("link", "*")
        chosen = [
            link for name, link in self.links.items()
            if fnmatch.fnmatchcase(name, pattern)
        ]
        if not chosen:
            raise _control.CommandError(f"no link matches {pattern!r}; known: "
                                        f"{', '.join(self.links)}")
        return chosen

    def set_link(self, command: _control.Command) -> object:
        """Changes links.

        Keys: `link` (pattern), `mode`, `direction`, `delay_ms`, and `scope`,
        which is `all` or, for `drop`, `existing` to silence only the open
        connections.
        """
        state = LinkState(Mode(command.get("mode", "pass")),
                          Direction(command.get("direction", "both")),
                          float(command.get("delay_ms", 0)) / 1000)
        is_existing_only = command.get("scope", "all") == "existing"
        if is_existing_only and state.mode is not Mode.DROP:
            raise _control.CommandError("scope 'existing' needs mode 'drop'")
        chosen = self._select(command)
        for link in chosen:
            if is_existing_only:
                link.cut_existing()
            else:
                link.change(state)
        names = [link.name for link in chosen]
        self._journal.add("links_changed",
                          links=names,
                          mode=state.mode.value,
                          direction=state.direction.value,
                          delay_ms=state.delay_seconds * 1000,
                          scope=command.get("scope", "all"))
        return names

    async def add_link(self, command: _control.Command) -> object:
        """Opens another link (`name`, `target_port`, `port`)."""
        link = Link(command["name"], int(command["target_port"]))
        if link.name in self.links:
            raise _control.CommandError(f"link {link.name!r} exists")
        await link.open(int(command.get("port", 0)))
        self.links[link.name] = link
        return link.port

    def describe(self, command: _control.Command) -> Any:
        """Returns ports, modes and numbers of connections."""
        return {
            link.name: {
                "port": link.port,
                "mode": link.state.mode.value,
                "connections": len(link.connections),
            } for link in self._select(command)
        }


class _RelayControl(_control.Control):
    """Control port that also reports the ports of the links."""

    def __init__(self, journal: _journal.Journal, relay: Relay):
        super().__init__(journal, [])
        self._relay = relay
        self.actions.update({
            "link": relay.set_link,
            "add_link": relay.add_link,
            "links": relay.describe,
        })

    def get_status(self) -> dict[str, Any]:
        return {
            **super().get_status(), "ports": {
                name: link.port for name, link in self._relay.links.items()
            }
        }


def parse_link(text: str) -> tuple[str, int, int]:
    """Reads `name=target_port` or `name=target_port:listen_port`."""
    name, _, ports = text.rpartition("=")
    target, _, port = ports.partition(":")
    if not name or not target.isdigit():
        raise click.BadParameter(
            f"{text!r} is not NAME=TARGET_PORT or NAME=TARGET_PORT:PORT")
    return name, int(target), int(port or 0)


@click.command()
@click.option("--link", "texts", multiple=True, help="NAME=TARGET[:PORT]")
@click.option("--name", default="relay", help="Name in journal entries.")
@click.option("--control-port", default=0, help="Control port; 0 for any.")
@click.option("--exit-with-parent", is_flag=True)
def main(texts: tuple[str, ...], name: str, control_port: int,
         exit_with_parent: bool) -> None:
    """Runs a relay."""

    async def start() -> _control.Control:
        journal = _journal.Journal(name)
        links = []
        for link_name, target_port, port in map(parse_link, texts):
            link = Link(link_name, target_port)
            await link.open(port)
            links.append(link)
        control = _RelayControl(journal, Relay(links, journal))
        await control.endpoint.open(control_port)
        return control

    _control.run(start, exit_with_parent)


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
