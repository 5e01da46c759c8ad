"""Stand-in for the platform's lagging list of VMs.

Usage:
    python -m standins.vmlist --port 9003 --file vms.json --lag-ms 2000
"""

import collections
import copy
import json
import pathlib
import time
from typing import Any, NamedTuple

from aiohttp import web
import click

from standins import _control
from standins import _endpoint
from standins import _journal

# An entry is kept as the JSON object of the protocol.
VMEntry = dict[str, Any]


class View(NamedTuple):
    """The list as one reader sees it, with some addresses replaced.

    Views put a relay between one daemon and the workers and peers.

    Attributes:
        name: Name of the view.
        port: Port of the view; 0 for any.
        addresses: Shown addresses by real address.
    """

    name: str
    port: int
    addresses: dict[str, str]


class VMListStandIn:
    """The list of VMs, shown as it was some time ago.

    Attributes:
        endpoint: Its port.
        lag_seconds: Age of what readers see.
    """

    def __init__(self, journal: _journal.Journal, entries: list[VMEntry],
                 lag_seconds: float):
        self.endpoint = self.build_endpoint("vmlist", {}, journal)
        self.lag_seconds = lag_seconds
        self._journal = journal
        self._entries = {entry["name"]: entry for entry in entries}
        # The entries of the start are visible at once, whatever the lag.
        self._versions = collections.deque([(-float("inf"),
                                             copy.deepcopy(self._entries))])

    def put(self, command: _control.Command) -> object:
        """Adds or replaces entries (`vms`)."""
        for entry in command["vms"]:
            self._entries[entry["name"]] = entry
        return self._publish()

    def update(self, command: _control.Command) -> object:
        """Changes fields of an entry (`name`, `set`)."""
        self._entries[command["name"]].update(command["set"])
        return self._publish()

    def remove(self, command: _control.Command) -> object:
        """Removes an entry (`name`)."""
        del self._entries[command["name"]]
        return self._publish()

    def set_lag(self, command: _control.Command) -> object:
        """Changes the lag (`ms`)."""
        self.lag_seconds = float(command["ms"]) / 1000
        return self.lag_seconds

    def _publish(self) -> int:
        self._versions.append((time.monotonic(), copy.deepcopy(self._entries)))
        self._journal.add("vms_changed",
                          states={
                              name: entry.get("state", "live")
                              for name, entry in self._entries.items()
                          })
        return len(self._entries)

    def list_visible(self, now: float) -> list[VMEntry]:
        """Returns the entries as of `lag_seconds` ago."""
        visible = now - self.lag_seconds
        while len(self._versions) > 1 and self._versions[1][0] <= visible:
            self._versions.popleft()
        return list(self._versions[0][1].values())

    def build_endpoint(self, name: str, addresses: dict[str, str],
                       journal: _journal.Journal) -> _endpoint.Endpoint:
        """Returns an endpoint that shows some addresses replaced."""

        async def handle(request: web.BaseRequest) -> web.Response:
            if request.path != "/vms":
                return _endpoint.respond_json({"error": "unknown path"}, 404)
            entries = self.list_visible(time.monotonic())
            if addresses:
                entries = [_replace(entry, addresses) for entry in entries]
            return _endpoint.respond_json({"vms": entries})

        return _endpoint.Endpoint(name, handle, journal)


def _replace(entry: VMEntry, addresses: dict[str, str]) -> VMEntry:
    shown = dict(entry)
    for field in ("address", "agent_address"):
        if field in entry:
            shown[field] = addresses.get(entry[field], entry[field])
    return shown


def load_entries(path: str | None, text: str | None) -> list[VMEntry]:
    """Reads entries from a file or from text.

    Either holds a JSON list, or an object with the key `vms`.
    """
    if path is not None:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    document = json.loads(text or "[]")
    return document["vms"] if isinstance(document, dict) else document


def load_views(path: str | None) -> list[View]:
    """Reads views from a JSON list of objects."""
    if path is None:
        return []
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return [View(**view) for view in json.loads(text)]


@click.command()
@click.option("--port", default=0, help="Port of the list; 0 for any.")
@click.option("--control-port", default=0, help="Control port; 0 for any.")
@click.option("--file", "path", help="JSON file with the entries.")
@click.option("--vms", "text", help="The entries as JSON.")
@click.option("--views", "view_path", help="JSON file with a list of views.")
@click.option("--lag-ms", default=0.0, help="Age of what readers see.")
@click.option("--exit-with-parent", is_flag=True)
def main(port: int, control_port: int, path: str | None, text: str | None,
         view_path: str | None, lag_ms: float, exit_with_parent: bool) -> None:
    """Runs a list of VMs."""

    async def start() -> _control.Control:
        journal = _journal.Journal("vmlist")
        vms = VMListStandIn(journal, load_entries(path, text), lag_ms / 1000)
        endpoints = [vms.endpoint]
        for view in load_views(view_path):
            endpoint = vms.build_endpoint(f"view/{view.name}", view.addresses,
                                          journal)
            await endpoint.open(view.port)
            endpoints.append(endpoint)
        control = _control.Control(journal, endpoints)
        control.actions["put"] = vms.put
        control.actions["update"] = vms.update
        control.actions["remove"] = vms.remove
        control.actions["lag"] = vms.set_lag
        await vms.endpoint.open(port)
        await control.endpoint.open(control_port)
        return control

    _control.run(start, exit_with_parent)


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter
