"""Orders for running tasks that have not shown an effect yet."""

from typing import NamedTuple

from gentianlead import state
from gentianlead.scheduling import _decisions

ORDER_RETRY = 15.0
"""Seconds until an order is repeated; a checkpoint and its record take a few
seconds."""

URGENT_STOP = 1.5
"""Seconds that a run may take to give way to urgent work, which has 3.5 s to
start, before it is stopped without a new checkpoint."""

STOP_AFTER = 45.0
"""Seconds after which a run that does not move is stopped."""

_KEPT_UNTIL_DEADLINE = (_decisions.EvictionReason.DOMAIN_OUT,
                        _decisions.EvictionReason.WORKER_LEAVING)


class _Order(NamedTuple):
    eviction: _decisions.Eviction
    first_at: float
    last_at: float


class EvictionLog(state.DomainObserver):
    """Orders in progress by run; forgets a run when it ends.

    Each run has at most one order. Moves that take too long become stops,
    except when the worker or the domain leaves: a checkpoint that is still
    possible is then worth more than an early end.
    """

    def __init__(self, fold: state.DomainFold):
        self._orders: dict[_decisions.RunSlot, _Order] = {}
        fold.add_observer(self)

    def on_run_ended(self, run: state.LiveRun, reason: str) -> None:
        del reason
        self._orders.pop((run.job_id, run.task), None)

    def on_reset(self) -> None:
        self._orders.clear()

    def is_ordered(self, slot: _decisions.RunSlot) -> bool:
        """Returns whether the run of a task is to move or stop."""
        return slot in self._orders

    def add(self, eviction: _decisions.Eviction, now: float) -> bool:
        """Records an order.

        Returns:
            Whether it is new; False while a milder or equal one is open,
            unless the new one stops a run that was to move.
        """
        open_order = self._orders.get(eviction.task_key)
        if eviction.action is _decisions.EvictionAction.THROTTLE:
            return open_order is None
        if open_order is not None and (
                eviction.action is not _decisions.EvictionAction.STOP or
                open_order.eviction.action is _decisions.EvictionAction.STOP):
            return False
        self._orders[eviction.task_key] = _Order(eviction, now, now)
        return True

    def repeat(self, now: float) -> list[_decisions.Eviction]:
        """Returns the orders to give again, sterner where they are late."""
        due = []
        for slot, order in self._orders.items():
            if (order.eviction.action is _decisions.EvictionAction.MOVE and
                    now - order.first_at >= _compute_patience(order.eviction)):
                eviction = order.eviction._replace(
                    action=_decisions.EvictionAction.STOP)
            elif now - order.last_at >= ORDER_RETRY:
                eviction = order.eviction
            else:
                continue
            due.append(eviction)
            self._orders[slot] = order._replace(eviction=eviction, last_at=now)
        return due


def _compute_patience(eviction: _decisions.Eviction) -> float:
    if eviction.reason is _decisions.EvictionReason.URGENT_WORK:
        return URGENT_STOP
    if eviction.reason in _KEPT_UNTIL_DEADLINE:
        return float("inf")
    return STOP_AFTER
