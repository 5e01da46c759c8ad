"""Permits of a step: which workers may run its tasks."""

import datetime
from typing import Iterable, NamedTuple

from gentianlead import ports

EXPIRY_MARGIN = datetime.timedelta(milliseconds=200)
"""Time before its end from which a permit is not used any more: the way of a
start order to a worker in another domain."""

RETRY_PAUSE = datetime.timedelta(milliseconds=300)
"""Pause after a request without an answer."""


class _Permit(NamedTuple):
    """What the service said of a worker.

    Attributes:
        text: The permit; empty when the worker may not run the step.
        until: Monotonic time in seconds at which it ends.
    """

    text: str
    until: float


class PermitBook:
    """Permits of one step, by lifetime of a worker.

    A refusal never changes; a permit has to be asked for again when it ends
    and when the worker is born again.
    """

    def __init__(self) -> None:
        self._permits: dict[tuple[str, int], _Permit] = {}
        self._is_asking = False
        self._pause_until = 0.0

    def find(self, worker_id: str, born_ms: int, now: float) -> str:
        """Returns the permit for a worker, or an empty string."""
        permit = self._permits.get((worker_id, born_ms))
        if permit is None or now >= permit.until:
            return ""
        return permit.text

    def begin_request(self, workers: Iterable[tuple[str, int]],
                      now: float) -> tuple[str, ...]:
        """Returns the workers to ask for now, and notes the request.

        Args:
            workers: Identifier and lifetime of the workers with room.
            now: Monotonic time in seconds.
        """
        if self._is_asking or now < self._pause_until:
            return ()
        unknown = []
        for worker_id, born_ms in workers:
            permit = self._permits.get((worker_id, born_ms))
            if permit is None or (permit.text and now >= permit.until):
                unknown.append(worker_id)
        self._is_asking = bool(unknown)
        return tuple(unknown[:ports.MAX_PERMIT_WORKERS])

    def apply_answer(self, asked: dict[str,
                                       int], answer: ports.PermitReply | None,
                     sent_at: float, now: float) -> None:
        """Applies an answer.

        Args:
            asked: Lifetime of each worker that was asked for.
            answer: The answer; None when there was none.
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time in seconds.
        """
        self._is_asking = False
        if answer is None:
            self._pause_until = now + RETRY_PAUSE.total_seconds()
            return
        until = sent_at + (answer.valid_for - EXPIRY_MARGIN).total_seconds()
        for worker_id, born_ms in asked.items():
            self._permits[worker_id,
                          born_ms] = _Permit(answer.permits.get(worker_id, ""),
                                             until)

    def drop(self, worker_id: str, born_ms: int) -> None:
        """Forgets a permit that a worker has refused."""
        self._permits.pop((worker_id, born_ms), None)
