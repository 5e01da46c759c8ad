"""HTTP client of worker agents."""

import asyncio
import base64
import urllib.parse

import aiohttp
import yarl

from gentianlead import errors
from gentianlead import model
from gentianlead import ports

REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=2.0, sock_connect=1.0)


class HttpWorkerAgent(ports.WorkerAgent):
    """Calls worker agents; see `docs/design.md`, section 5.3.

    Args:
        session: HTTP session, which the caller closes.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def start(self, address: str,
                    order: ports.StartOrder) -> ports.WorkerReply:
        body = {
            "boot_id": order.boot_id,
            "expires_at_ms": order.expires_at_ms,
            "start_by_ms": order.start_by_ms,
            "fence": order.fence_token,
            "resources": order.resources._asdict(),
            "payload": base64.b64encode(order.payload).decode("ascii"),
            "checkpoint": order.checkpoint,
        }
        document = await self._post_run_action(address, order.key, "start",
                                               body)
        return _parse_reply(document, order.key)

    async def renew(self, address: str, boot_id: str,
                    renewals: list[ports.LeaseRenewal]) -> ports.WorkerReply:
        body = {
            "boot_id":
                boot_id,
            "renewals": [{
                "job": renewal.key.job_id,
                "task": renewal.key.task,
                "run": renewal.key.run,
                "expires_at_ms": renewal.expires_at_ms,
                "fence": renewal.fence_token,
            } for renewal in renewals],
        }
        document = await self._call("POST", f"http://{address}/renewals", body)
        return _parse_reply(document, None)

    async def checkpoint(self, address: str,
                         key: ports.RunKey) -> ports.WorkerReply:
        return _parse_reply(
            await self._post_run_action(address, key, "checkpoint", {}), key)

    async def throttle(self, address: str, key: ports.RunKey,
                       fraction: float) -> ports.WorkerReply:
        document = await self._post_run_action(address, key, "throttle",
                                               {"fraction": fraction})
        return _parse_reply(document, key)

    async def stop(self, address: str, key: ports.RunKey) -> ports.WorkerReply:
        return _parse_reply(
            await self._post_run_action(address, key, "stop", {}), key)

    async def forget(self, address: str,
                     key: ports.RunKey) -> ports.WorkerReply:
        return _parse_reply(
            await self._post_run_action(address, key, "forget", {}), key)

    async def list_runs(self, address: str) -> ports.WorkerReply:
        document = await self._call("GET", f"http://{address}/tasks", None)
        return _parse_reply(document, None)

    async def read_usage(
            self,
            address: str) -> tuple[ports.WorkerReply, list[ports.UsageReport]]:
        document = await self._call("GET", f"http://{address}/usage", None)
        try:
            reports = [
                _parse_usage_report(entry) for entry in document["reports"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise errors.WorkerError(
                f"worker {address}: malformed usage reports",
                errors.Verdict.MAY_HAVE_RUN) from error
        return _parse_reply(document, None), reports

    async def _post_run_action(self, address: str, key: ports.RunKey,
                               action: str, body: dict) -> dict:
        quoted_job_id = urllib.parse.quote(key.job_id, safe="")
        run_url = f"http://{address}/tasks/{quoted_job_id}/{key.task}/{key.run}"
        return await self._call("POST", f"{run_url}/{action}", body)

    async def _call(self, method: str, url: str, body: dict | None) -> dict:
        try:
            async with self._session.request(
                    method,
                    yarl.URL(url, encoded=True),
                    json=body,
                    timeout=REQUEST_TIMEOUT) as response:
                document = await response.json(content_type=None)
                if response.status in (404, 409):
                    raise errors.WorkerError(
                        f"{method} {url}: refused: {document}",
                        errors.Verdict.DID_NOT_RUN)
                if response.status >= 300:
                    raise errors.WorkerError(
                        f"{method} {url}: status {response.status}",
                        errors.Verdict.MAY_HAVE_RUN)
                return document
        except (aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError) as error:
            raise errors.WorkerError(f"{method} {url}: {error}",
                                     errors.Verdict.DID_NOT_RUN) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError,
                ValueError) as error:
            raise errors.WorkerError(
                f"{method} {url}: {type(error).__name__}: {error}",
                errors.Verdict.MAY_HAVE_RUN) from error


def _parse_reply(document: dict, key: ports.RunKey | None) -> ports.WorkerReply:
    try:
        if key is None:
            entries = document.get("tasks", [])
        else:
            entries = [document] if "state" in document else []
        runs = tuple(_parse_run_report(entry, key) for entry in entries)
        return ports.WorkerReply(str(document["boot_id"]),
                                 int(document["worker_time_ms"]), runs)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.WorkerError(
            f"malformed reply of a worker agent: {error!r}",
            errors.Verdict.MAY_HAVE_RUN) from error


def _parse_run_report(entry: dict, key: ports.RunKey | None) -> ports.RunReport:
    if key is None:
        key = ports.RunKey(str(entry["job"]), int(entry["task"]),
                           int(entry["run"]))
    return ports.RunReport(key, ports.RunState(entry["state"]),
                           int(entry.get("expires_at_ms", 0)),
                           str(entry.get("checkpoint") or ""))


def _parse_usage_report(entry: dict) -> ports.UsageReport:
    used_resources = entry["resources"]
    return ports.UsageReport(
        ports.RunKey(str(entry["job"]), int(entry["task"]), int(entry["run"])),
        int(entry["as_of_ms"]),
        model.Resources(int(used_resources["cpu_millis"]),
                        int(used_resources["memory_mib"]),
                        int(used_resources.get("accelerators", 0))),
        float(entry.get("slowdown", 1.0)))
