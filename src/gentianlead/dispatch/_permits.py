"""Permits of a step: which workers may run its tasks."""

import datetime
from typing import Iterable, NamedTuple

from gentianlead import ports

PERMIT_EXPIRY_MARGIN = datetime.timedelta(milliseconds=200)
"""Time before its expiry from which a permit is not used any more: the time
that a start order takes to reach a worker in another domain."""

PERMIT_RETRY_DELAY = datetime.timedelta(milliseconds=300)
"""Pause after a request that got no reply."""


class _Permit(NamedTuple):
    """Reply of the advisory service about one worker.

    Attributes:
        text: The permit; empty when the worker may not run the step.
        expires_at: Monotonic time in seconds at which the permit expires.
    """

    text: str
    expires_at: float


class PermitCache:
    """Keeps the permits of one step for each instance of a worker.

    A refusal never changes. A permit has to be requested again when it expires
    and when the worker is replaced by a new instance.
    """

    def __init__(self) -> None:
        self._permits: dict[tuple[str, int], _Permit] = {}
        self._has_pending_request = False
        self._retry_at = 0.0

    def find(self, worker_id: str, born_ms: int, now: float) -> str:
        """Returns the valid permit for a worker, or an empty string."""
        permit = self._permits.get((worker_id, born_ms))
        if permit is None or now >= permit.expires_at:
            return ""
        return permit.text

    def begin_request(self, workers: Iterable[tuple[str, int]],
                      now: float) -> tuple[str, ...]:
        """Returns the workers to request permits for, and marks the request.

        Returns none while another request awaits its reply.

        Args:
            workers: Identifier of each worker with free capacity and the start
                time of its instance in milliseconds since 1970.
            now: Monotonic time in seconds.
        """
        if self._has_pending_request or now < self._retry_at:
            return ()
        workers_to_request = []
        for worker_id, born_ms in workers:
            permit = self._permits.get((worker_id, born_ms))
            if permit is None or (permit.text and now >= permit.expires_at):
                workers_to_request.append(worker_id)
        self._has_pending_request = bool(workers_to_request)
        return tuple(workers_to_request[:ports.MAX_PERMIT_WORKERS])

    def apply_reply(self, requested_workers: dict[str, int],
                    reply: ports.PermitReply | None, sent_at: float,
                    now: float) -> None:
        """Applies the reply to a request.

        Args:
            requested_workers: Start time of the instance of each worker in the
                request, in milliseconds since 1970.
            reply: The reply; None when there was none.
            sent_at: Monotonic time in seconds at which the request was sent.
            now: Monotonic time in seconds.
        """
        self._has_pending_request = False
        if reply is None:
            self._retry_at = now + PERMIT_RETRY_DELAY.total_seconds()
            return
        expires_at = sent_at + (reply.valid_for -
                                PERMIT_EXPIRY_MARGIN).total_seconds()
        for worker_id, born_ms in requested_workers.items():
            self._permits[worker_id,
                          born_ms] = _Permit(reply.permits.get(worker_id, ""),
                                             expires_at)

    def discard(self, worker_id: str, born_ms: int) -> None:
        """Deletes a permit that a worker has refused."""
        self._permits.pop((worker_id, born_ms), None)
