"""Eviction orders whose runs have not ended yet."""

from typing import NamedTuple

from gentianlead import state
from gentianlead.scheduling import _decisions

ORDER_RETRY_INTERVAL = 15.0
"""Seconds after which a move or stop order is sent again if its run has not
ended. The interval leaves time for a checkpoint and for appending its record,
which takes a few seconds."""

URGENT_MOVE_TIMEOUT = 1.5
"""Seconds after which a run that should move for urgent work, but has not
ended, is stopped without a new checkpoint. Urgent work must start within 3.5 s.
"""

MOVE_TIMEOUT = 45.0
"""Seconds after which a run that should move, but has not ended, is stopped
without a new checkpoint. Moves for urgent work use `URGENT_MOVE_TIMEOUT`; moves
from a leaving worker or domain have no timeout."""

_REASONS_WITHOUT_TIMEOUT = (_decisions.EvictionReason.DOMAIN_OUT,
                            _decisions.EvictionReason.WORKER_LEAVING)


class _OpenOrder(NamedTuple):
    """A move or stop order whose run has not ended.

    Attributes:
        eviction: The order as it was last planned; a move that timed out is
            replaced by a stop.
        first_planned_at: Monotonic seconds at which the order was first
            planned; unchanged when a move becomes a stop because of its
            timeout.
        last_planned_at: Monotonic seconds at which the order was last planned,
            repeated or escalated; negative infinity if another daemon has
            become the holder of the run since.
        holder: Incarnation of the holder of the run.
    """

    eviction: _decisions.Eviction
    first_planned_at: float
    last_planned_at: float
    holder: str


class EvictionTracker(state.DomainObserver):
    """Tracks the open move and stop orders, and repeats or escalates them.

    Each run has at most one open order, which is dropped when the run ends. A
    move that takes too long becomes a stop, unless its reason is that the
    worker leaves or the domain is out of service: a checkpoint is then worth
    more than an early end of the run.

    Every daemon plans the same orders, but only the holder of a run carries
    them out. After a change of the holder the order is therefore due again at
    once, while the timeout of a move counts on.
    """

    def __init__(self, state_machine: state.DomainStateMachine):
        self._state_machine = state_machine
        self._open_orders: dict[_decisions.TaskKey, _OpenOrder] = {}
        state_machine.add_observer(self)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        del reason
        self._open_orders.pop((run.job_id, run.task), None)

    def on_run_changed(self, key: _decisions.TaskKey) -> None:
        open_order = self._open_orders.get(key)
        holder = self._get_holder(key)
        if open_order is not None and holder != open_order.holder:
            self._open_orders[key] = open_order._replace(
                last_planned_at=float("-inf"), holder=holder)

    def _get_holder(self, task_key: _decisions.TaskKey) -> str:
        run = self._state_machine.runs.get(task_key)
        return run.holder if run is not None else ""

    def on_reset(self) -> None:
        self._open_orders.clear()

    def has_open_order(self, task_key: _decisions.TaskKey) -> bool:
        """Returns whether the run of a task has an open move or stop order."""
        return task_key in self._open_orders

    def record_order(self, eviction: _decisions.Eviction, now: float) -> bool:
        """Records a move or stop order unless the run has an open order.

        A stop order nevertheless replaces an open move order. Throttle orders
        are never recorded.

        Returns:
            Whether the order should be sent. A stop order should be sent unless
            the run has an open stop order; any other order only if the run has
            no open order.
        """
        open_order = self._open_orders.get(eviction.task_key)
        if eviction.action is _decisions.EvictionAction.THROTTLE:
            return open_order is None
        if open_order is not None and (
                eviction.action is not _decisions.EvictionAction.STOP or
                open_order.eviction.action is _decisions.EvictionAction.STOP):
            return False
        self._open_orders[eviction.task_key] = _OpenOrder(
            eviction, now, now, self._get_holder(eviction.task_key))
        return True

    def escalate_and_repeat_orders(self,
                                   now: float) -> list[_decisions.Eviction]:
        """Returns the open orders to send again, and stops for late moves.

        An order is sent again every `ORDER_RETRY_INTERVAL`, and when the
        holder of its run has changed. A move whose
        timeout has passed becomes a stop, which is sent at once.
        """
        due_evictions = []
        for task_key, open_order in self._open_orders.items():
            if (open_order.eviction.action is _decisions.EvictionAction.MOVE and
                    now - open_order.first_planned_at >= _compute_move_timeout(
                        open_order.eviction)):
                eviction = open_order.eviction._replace(
                    action=_decisions.EvictionAction.STOP)
            elif now - open_order.last_planned_at >= ORDER_RETRY_INTERVAL:
                eviction = open_order.eviction
            else:
                continue
            due_evictions.append(eviction)
            self._open_orders[task_key] = open_order._replace(
                eviction=eviction, last_planned_at=now)
        return due_evictions


def _compute_move_timeout(eviction: _decisions.Eviction) -> float:
    if eviction.reason is _decisions.EvictionReason.URGENT_WORK:
        return URGENT_MOVE_TIMEOUT
    if eviction.reason in _REASONS_WITHOUT_TIMEOUT:
        return float("inf")
    return MOVE_TIMEOUT
