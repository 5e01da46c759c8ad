"""Replies to the orders and requests of a group leader."""

from gentianlead import ports
from gentianlead.dispatch import _group_state
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _task_runs
from gentianlead.dispatch import _workers


class RepliedGroupState(_group_state.GroupState):
    """Applies replies of workers and of the advisory service to the state."""

    def apply_start_reply(self, order: _orders.StartOrder,
                          reply: ports.StartReply, now: float) -> None:
        """Applies the outcome of a start order, also if no usable reply came.
        """
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if run is None:
            return
        run.has_pending_order = False
        if reply.clock_ms is not None:
            worker.update_clock(reply.clock_ms, now)
        outcome = reply.outcome
        if outcome is ports.StartOutcome.STARTED:
            worker.capacity_refusals = 0
            self.refused_starts.pop(order.task, None)
            worker.refusals = 0
            if run.phase in (_task_runs.RunPhase.STARTING,
                             _task_runs.RunPhase.UNKNOWN):
                run.phase = _task_runs.RunPhase.RUNNING
                run.start_attempts = 0
                run.confirmed_at = now
                run.progressed_at = now
            job = self.jobs.get(order.task.job_id)
            if job is not None:
                job.mark_started()
                step_run = job.get_step(order.task)
                step_run.mark_confirmed(run)
                step_run.permits.mark_accepted(worker.worker_id, worker.born_ms,
                                               now)
            return
        if run.phase is _task_runs.RunPhase.RUNNING:
            return  # A status report has confirmed the run meanwhile.
        if outcome is ports.StartOutcome.UNKNOWN:
            run.phase = _task_runs.RunPhase.UNKNOWN
            run.unanswered_at = now
            worker.is_reachable = False
            return
        if (run.start_attempts > 1 and
                outcome is not ports.StartOutcome.WORKER_REPLACED):
            # The worker may execute the run because of an earlier start order,
            # although it refused this one.
            run.phase = _task_runs.RunPhase.UNKNOWN
            run.unanswered_at = now
            run.start_attempts = max(run.start_attempts,
                                     _orders.MAX_START_ATTEMPTS)
            return
        if run.start_attempts > 1:
            # The replaced worker may have executed the earlier order.
            self.end_run(worker, run,
                         self.crashes.assess_loss(worker, True, now), now)
            return
        self._apply_refusal(worker, run, outcome, order.permit, now)

    def _apply_refusal(self, worker: _workers.WorkerState, run: _task_runs.Run,
                       outcome: ports.StartOutcome, permit: str,
                       now: float) -> None:
        backoffs = {
            ports.StartOutcome.OUTDATED_RUN:
                _workers.SHORT_REFUSAL_BACKOFF,
            ports.StartOutcome.LEASE_ALREADY_EXPIRED:
                _workers.SHORT_REFUSAL_BACKOFF,
            ports.StartOutcome.WORKER_REPLACED:
                _workers.LONG_REFUSAL_BACKOFF,
            ports.StartOutcome.UNHEALTHY:
                _workers.LONG_REFUSAL_BACKOFF,
            ports.StartOutcome.INVALID:
                _workers.LONG_REFUSAL_BACKOFF,
            ports.StartOutcome.FENCED:
                _workers.LONG_REFUSAL_BACKOFF,
        }
        if outcome not in (ports.StartOutcome.NO_PERMIT,
                           ports.StartOutcome.OUTDATED_RUN,
                           ports.StartOutcome.LEASE_ALREADY_EXPIRED,
                           ports.StartOutcome.FENCED):
            worker.record_refusal(now)
        if outcome in backoffs:
            worker.pause(backoffs[outcome], now)
        elif outcome is ports.StartOutcome.NO_FREE_CAPACITY:
            worker.record_capacity_refusal(now)
        worker.runs.pop((run.task, run.number), None)
        if run.step.is_long_running:
            refused = self.refused_starts.get(run.task)
            self.refused_starts[run.task] = _orders.RefusedStarts(
                1 + (refused.count if refused else 0), outcome.value,
                worker.worker_id)
        job = self.jobs.get(run.task.job_id)
        if job is not None:
            if outcome is ports.StartOutcome.NO_PERMIT:
                permits = job.get_step(run.task).permits
                if permit:
                    permits.discard_permit(worker.worker_id, worker.born_ms,
                                           now)
                else:
                    permits.record_demand(now)
            job.apply_end(run, ports.EndCause.STOPPED, run.checkpoint)
            # A new permit ends the other refusals.
            if outcome is not ports.StartOutcome.NO_PERMIT:
                job.get_step(run.task).avoid_worker(run, now)
            self.crashes.apply_end(run, ports.EndCause.STOPPED, None, now)
            if outcome is ports.StartOutcome.OUTDATED_RUN:
                job.last_run_number += _orders.RUN_NUMBERS_PER_EPOCH

    def apply_stop_reply(self, order: _orders.StopOrder, has_succeeded: bool,
                         now: float) -> None:
        """Applies the result of a stop order to its run.

        If the order for a known run failed, its worker counts as unreachable.
        """
        worker = self.workers.get(order.worker_id)
        if worker is None:
            return
        unknown_run = worker.unknown_runs.get((order.task, order.run))
        if unknown_run is not None:
            unknown_run.has_pending_order = False
            unknown_run.stop_retry.record_result(has_succeeded, now)
            if has_succeeded:
                unknown_run.stop_accepted_at = now
        run = worker.runs.get((order.task, order.run))
        if run is None:
            return
        run.has_pending_order = False
        run.stop_retry.record_result(has_succeeded, now)
        if has_succeeded:
            # The reply to a status call sent from now on lists the run or its
            # end; if it lists neither, the run has ended.
            run.phase = _task_runs.RunPhase.STOPPING
            run.confirmed_at = now
        else:
            worker.is_reachable = False

    def apply_throttle_reply(self, order: _orders.ThrottleOrder,
                             has_succeeded: bool, now: float) -> None:
        """Applies the result of a throttle order to its run.

        If the order failed, the throttle of the run counts as unknown.
        """
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if run is not None:
            run.has_pending_order = False
            run.throttle_retry.record_result(has_succeeded, now)
            run.throttle_percent = (order.throttle_percent
                                    if has_succeeded else -1)

    def apply_permits(self, request: _orders.PermitRequest,
                      reply: ports.PermitReply | None, sent_at: float,
                      now: float) -> None:
        """Applies the reply to a permit request; None stands for no reply."""
        job = self.jobs.get(request.job_id)
        if job is not None:
            step_run = job.steps[request.occurrence, request.step]
            step_run.permits.apply_reply(request.workers, reply, sent_at, now)
