"""Storing of moves of jobs and tasks out of the group of a leader."""

from typing import Callable, Coroutine

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.cluster import _decision_log


class JobMover:
    """Stores the moves that the scheduler of a group plans."""

    def __init__(self, scheduler: dispatch.GroupScheduler, clock: ports.Clock,
                 log: _decision_log.DecisionLog,
                 get_load: Callable[[float], dispatch.GroupLoad],
                 get_load_reports: Callable[[], dict[str,
                                                     dispatch.GroupReport]],
                 store_records: Callable[[list[dispatch.Record]], Coroutine],
                 spawn: Callable[[Coroutine], object]):
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._get_load = get_load
        self._get_load_reports = get_load_reports
        self._store_records = store_records
        self._spawn = spawn

    def start_moves(self) -> bool:
        """Starts moves to other groups; the start permission must be valid.

        Returns:
            Whether any move has begun, which changes the load of the group.
        """
        now = self._clock.monotonic()
        moves = self._scheduler.plan_moves(lambda: self._get_load(now),
                                           self._get_load_reports(), now)
        for move in moves:
            self._spawn(self._store_move(move))
        return bool(moves)

    async def _store_move(self, move: dispatch.PlannedMove) -> None:
        group = self._scheduler.group
        record = move.record
        epoch = self._scheduler.epoch
        await self._store_records([
            *dispatch.build_run_limits(move.job, group, epoch),
            move.job.build_progress(group, epoch), record
        ])
        self._log.write("tasks-moved",
                        job=record.job_id,
                        group=group,
                        indexes=record.task_indexes,
                        to=record.destination_group,
                        reason=move.choice.reason.value,
                        waited_ms=record.waited_ms,
                        moves_without_start=record.moves_without_start,
                        own_score=round(move.choice.own_score, 3),
                        new_score=round(move.choice.new_score, 3),
                        report_age_ms=int(1000 * move.report_age_s))
