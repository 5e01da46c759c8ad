"""Permits of a step: which workers may run its tasks."""

import datetime
from typing import Iterable, NamedTuple

from gentianlead import ports
from gentianlead.dispatch import _order_retries

PERMIT_EXPIRY_MARGIN = datetime.timedelta(milliseconds=200)
"""A permit that expires within this time is not used any more: a start order
needs that time to reach a worker in another domain."""

PERMIT_RETRY_DELAY = datetime.timedelta(milliseconds=300)
"""Pause after a permit request that got no reply, or a reply whose permits had
expired on arrival, before the next request."""


class _CachedDecision(NamedTuple):
    """Decision of the advisory service on one worker.

    Attributes:
        permit: The permit; empty when the worker may not run the step.
        expires_at: Monotonic time in seconds from which the permit is not used
            any more; without meaning for a refusal.
    """

    permit: str
    expires_at: float


class PermitCache:
    """Keeps the permits and refusals of one step for each worker instance.

    A refusal by the advisory service stays valid for the whole life of the
    instance. A permit has to be requested again when it expires, when the
    worker does not accept it, and when a new instance replaces the worker. From
    the second permit in a row that a worker does not accept, a pause precedes
    the next request for it, see `OrderRetry`.

    If a worker demands a permit although none was to be requested, the step
    has such a pause before its next starts. Its queue may need permits since a
    moment ago.
    """

    def __init__(self) -> None:
        self._decisions: dict[tuple[str, int], _CachedDecision] = {}
        self._unaccepted_permits: dict[tuple[str, int],
                                       _order_retries.OrderRetry] = {}
        self._demand_retry = _order_retries.OrderRetry()
        self._has_pending_request = False
        self._retry_at = 0.0

    def find_permit(self, worker_id: str, born_ms: int, now: float) -> str:
        """Returns a worker's permit, or an empty string if none is valid."""
        decision = self._decisions.get((worker_id, born_ms))
        if decision is None or now >= decision.expires_at:
            return ""
        return decision.permit

    def begin_request(self, workers: Iterable[tuple[str, int]],
                      now: float) -> tuple[str, ...]:
        """Returns the workers for which the caller should now request permits.

        These are workers with neither a valid permit nor a refusal, without
        those whose pause lasts, at most `ports.MAX_PERMIT_WORKERS` of them. If
        there are any, the request counts as pending until `apply_reply`.
        Returns no workers while a request is pending, and for
        `PERMIT_RETRY_DELAY` after one that got no usable reply.

        Args:
            workers: Workers that may receive starts of the step: identifier,
                and start time of the instance in milliseconds since 1970.
            now: Monotonic time in seconds.
        """
        if self._has_pending_request or now < self._retry_at:
            return ()
        workers_to_request = []
        for worker_id, born_ms in workers:
            decision = self._decisions.get((worker_id, born_ms))
            if decision is not None and (not decision.permit or
                                         now < decision.expires_at):
                continue
            retry = self._unaccepted_permits.get((worker_id, born_ms))
            if retry is None or retry.is_due(now):
                workers_to_request.append(worker_id)
        self._has_pending_request = bool(workers_to_request)
        return tuple(workers_to_request[:ports.MAX_PERMIT_WORKERS])

    def apply_reply(self, requested_workers: dict[str, int],
                    reply: ports.PermitReply | None, sent_at: float,
                    now: float) -> None:
        """Ends the pending request; stores the permits and refusals of a reply.

        Each requested worker without a permit in the reply counts as refused.

        Args:
            requested_workers: Start time of the instance of each worker in the
                request, in milliseconds since 1970.
            reply: The reply; None when the request got none, which stores no
                permit or refusal.
            sent_at: Monotonic time in seconds at which the request was sent.
            now: Monotonic time in seconds.
        """
        self._has_pending_request = False
        if reply is None:
            self._retry_at = now + PERMIT_RETRY_DELAY.total_seconds()
            return
        expires_at = sent_at + (reply.valid_for -
                                PERMIT_EXPIRY_MARGIN).total_seconds()
        if reply.permits and now >= expires_at:
            self._retry_at = now + PERMIT_RETRY_DELAY.total_seconds()
        for worker_id, born_ms in requested_workers.items():
            self._decisions[worker_id, born_ms] = _CachedDecision(
                reply.permits.get(worker_id, ""), expires_at)

    def discard_permit(self, worker_id: str, born_ms: int, now: float) -> None:
        """Deletes a permit that a worker did not accept.

        The next request asks for a new one. Several starts with one permit may
        be refused at once; this counts as one refusal.
        """
        if self._decisions.pop((worker_id, born_ms), None) is None:
            return
        retry = self._unaccepted_permits.get((worker_id, born_ms))
        if retry is not None:
            retry.record_result(False, now)
        else:
            # A single refusal shows no more than that the permit had expired.
            retry = _order_retries.OrderRetry()
            self._unaccepted_permits[worker_id, born_ms] = retry

    def record_demand(self, now: float) -> None:
        """Begins a pause after a worker refused a start without a permit.

        Several starts may be refused at once; this counts as one refusal.
        """
        if self._demand_retry.is_due(now):
            self._demand_retry.record_result(False, now)

    def is_start_due(self, now: float) -> bool:
        """Returns whether no such pause keeps the step from starting tasks."""
        return self._demand_retry.is_due(now)

    def mark_accepted(self, worker_id: str, born_ms: int, now: float) -> None:
        """Ends the pauses after a worker accepted a start of the step."""
        self._unaccepted_permits.pop((worker_id, born_ms), None)
        self._demand_retry.record_result(True, now)
