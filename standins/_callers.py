"""Callers of a deployment: steady load and what became of each request."""

import asyncio
import itertools
import json
import random
import time
from typing import NamedTuple, Sequence

import aiohttp

from gentianlead import errors
from standins import _endpoint

_TOTAL_SECONDS = 15.0
_DEADLINE_MS = 10_000


class Mix(NamedTuple):
    """What callers ask for.

    Attributes:
        service: Name of the service.
        per_second: Requests per second to the whole deployment.
        one_time_share: Share of requests that must run at most once.
        work_ms: Work time of a request at the target.
    """

    service: str
    per_second: float
    one_time_share: float
    work_ms: float


class Outcome(NamedTuple):
    """What became of one request.

    Attributes:
        caller_id: The caller's own name for it.
        status: HTTP status; 0 when there was no answer.
        verdict: Verdict of a refusal, or empty.
        is_right: Whether the answer is whole and belongs to the request.
        seconds: Time until the answer.
        detail: Error code or the text of the failure.
    """

    caller_id: str
    status: int
    verdict: str
    is_right: bool
    seconds: float
    detail: str

    @property
    def is_answered(self) -> bool:
        """Whether a target answered."""
        return self.status == 200

    @property
    def is_refused(self) -> bool:
        """Whether the request was refused as not run."""
        return self.verdict == errors.Verdict.DID_NOT_RUN.value


class Callers:
    """Sends requests at a steady rate, whatever the answers.

    Args:
        ports: Caller ports; each request takes one at random.
        mix: What to ask for.
        prefix: Beginning of all request names.
        seed: Seed of the choices.

    Attributes:
        outcomes: Outcomes so far.
    """

    def __init__(self, ports: Sequence[int], mix: Mix, prefix: str, seed: int):
        self.outcomes: list[Outcome] = []
        self._ports = ports
        self._mix = mix
        self._prefix = prefix
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, stopped: asyncio.Event) -> None:
        """Sends requests until told to stop, then waits for the answers."""
        timeout = aiohttp.ClientTimeout(total=_TOTAL_SECONDS)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout,
                                         connector=connector) as session:
            # A request that aiohttp repeats by itself would hide a broken
            # connection.
            session._retry_connection = False  # pylint: disable=protected-access
            due = time.monotonic()
            while not stopped.is_set():
                due += self._random.expovariate(self._mix.per_second)
                await asyncio.sleep(max(due - time.monotonic(), 0))
                task = asyncio.create_task(self._send(session))
                self._open.add(task)
                task.add_done_callback(self._open.discard)
            await asyncio.gather(*self._open)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        caller_id = f"{self._prefix}-{next(self._numbers)}"
        port = self._random.choice(self._ports)
        query = f"id={caller_id}&work_ms={self._mix.work_ms}"
        method = "GET"
        headers = {"Gentianlead-Deadline-Ms": str(_DEADLINE_MS)}
        if self._random.random() < self._mix.one_time_share:
            method = "POST"
            headers["Gentianlead-Idempotency-Key"] = caller_id
            query += f"&key={caller_id}"
        url = (f"http://{_endpoint.HOST}:{port}/s/{self._mix.service}/item?"
               f"{query}")
        begun = time.monotonic()
        try:
            async with session.request(method, url,
                                       headers=headers) as response:
                body = await response.read()
                outcome = Outcome(
                    caller_id, response.status,
                    response.headers.get("Gentianlead-Verdict", ""), True, 0.0,
                    response.headers.get("Gentianlead-Error", ""))
                if outcome.is_answered:
                    outcome = outcome._replace(
                        is_right=_is_right(body, caller_id))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            outcome = Outcome(caller_id, 0, "", True, 0.0, repr(error))
        self.outcomes.append(outcome._replace(seconds=time.monotonic() - begun))


def _is_right(body: bytes, caller_id: str) -> bool:
    try:
        return json.loads(body)["caller_id"] == caller_id
    except (ValueError, KeyError, TypeError):
        return False


def find_percentile(values: Sequence[float], fraction: float) -> float:
    """Returns the smallest value that a fraction of all does not exceed."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
