"""Log lines and metrics for stop orders and throttle orders."""

from gentianlead import dispatch
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics


class OrderLog:
    """Logs the results of orders, and counts the orders that are repeated.

    Of the failures of one order, the first, second, fourth, eighth and so on
    are logged, so that a worker that is cut off does not fill the log.
    """

    def __init__(self, log: _decision_log.DecisionLog,
                 metrics: _metrics.ClusterMetrics):
        self._log = log
        self._metrics = metrics

    def count_sending(
            self, order: dispatch.StopOrder | dispatch.ThrottleOrder) -> None:
        """Counts an order that is about to be sent if it is a repetition."""
        if order.failure_count:
            self._metrics.order_retries.inc({"order": _get_kind(order)})

    def write_failure(self, order: dispatch.StopOrder | dispatch.ThrottleOrder,
                      error: str) -> None:
        """Logs the error of an order that failed."""
        if _is_failure_logged(order):
            self._log.write("order-failed",
                            order=_get_kind(order),
                            worker=order.worker_id,
                            job=order.task.job_id,
                            run=order.run,
                            failures=order.failure_count + 1,
                            error=error)

    def write_stop(self, order: dispatch.StopOrder, is_delivered: bool) -> None:
        """Logs the result of a stop order."""
        if is_delivered or _is_failure_logged(order):
            self._log.write("run-stopped",
                            job=order.task.job_id,
                            task=tuple(order.task[1:]),
                            run=order.run,
                            worker=order.worker_id,
                            reason=order.reason,
                            done=is_delivered)


def _get_kind(order: dispatch.StopOrder | dispatch.ThrottleOrder) -> str:
    return "stop" if isinstance(order, dispatch.StopOrder) else "throttle"


def _is_failure_logged(
        order: dispatch.StopOrder | dispatch.ThrottleOrder) -> bool:
    failure_number = order.failure_count + 1
    return not failure_number & (failure_number - 1)
