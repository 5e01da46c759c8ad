"""HTTP client of the platform's list of VMs."""

import asyncio

import aiohttp

from gentianlead import errors
from gentianlead import model
from gentianlead import ports


def build_timeout(limit_s: float) -> aiohttp.ClientTimeout:
    """Limits the connection and each pause in the reply, in seconds.

    The whole transfer has no limit, because the list grows with the site and a
    request that is sent again would transfer all of it again.
    """
    return aiohttp.ClientTimeout(total=None,
                                 connect=limit_s,
                                 sock_connect=limit_s / 2,
                                 sock_read=limit_s)


REQUEST_TIMEOUT = build_timeout(2.0)


class HttpVMList(ports.VMList):
    """Reads the list of VMs; see `docs/design.md`, section 5.2.

    Args:
        base_url: `http://host:port` of the service that lists the VMs.
        session: HTTP session, which the caller closes.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession):
        self._vms_url = base_url.rstrip("/") + "/vms"
        self._session = session

    async def list_vms(self) -> list[model.VM]:
        try:
            async with self._session.get(self._vms_url,
                                         timeout=REQUEST_TIMEOUT) as response:
                document = await response.json(content_type=None)
                if response.status != 200:
                    raise errors.LogUnavailableError(
                        f"list of VMs: status {response.status}")
            return [parse_vm(entry) for entry in document["vms"]]
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError,
                KeyError, TypeError) as error:
            raise errors.LogUnavailableError(
                f"list of VMs: {type(error).__name__}: {error}") from error


def parse_vm(entry: dict) -> model.VM:
    """Parses one entry of the list of VMs from its JSON object.

    Raises:
        KeyError: The name or the domain is missing.
        ValueError: A number is malformed.
    """
    return model.VM(name=str(entry["name"]),
                    domain=str(entry["domain"]),
                    rack=str(entry.get("rack", "")),
                    region=str(entry.get("region", "")),
                    state=str(entry.get("state", model.VMState.LIVE.value)),
                    roles=tuple(entry.get("roles", ())),
                    address=str(entry.get("address", "")),
                    agent_address=str(entry.get("agent_address", "")),
                    capacity=model.Resources(int(entry.get("cpu_millis", 0)),
                                             int(entry.get("memory_mib", 0)),
                                             int(entry.get("accelerators", 0))),
                    slots=int(entry.get("slots", 0)),
                    connections=int(entry.get("connections", 0)))
