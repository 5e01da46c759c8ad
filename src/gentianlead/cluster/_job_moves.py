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
                 spawn: Callable[[Coroutine], None]):
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._get_load = get_load
        self._get_load_reports = get_load_reports
        self._store_records = store_records
        self._spawn = spawn

    def start_moves(self) -> None:
        """Starts moves to other groups; the start permission must be valid."""
        now = self._clock.monotonic()
        for move in dispatch.plan_moves(self._scheduler,
                                        lambda: self._get_load(now),
                                        self._get_load_reports(), now):
            self._spawn(self._store_move(move))

    async def _store_move(self, move: dispatch.PlannedMove) -> None:
        job_id = move.job.job.job_id
        group = self._scheduler.group
        await self._store_records([
            move.job.build_progress(group, self._scheduler.epoch),
            dispatch.MovedRecord(job_id, group, move.indexes, move.group,
                                 move.number)
        ])
        self._log.write("tasks-moved",
                        job=job_id,
                        group=group,
                        indexes=move.indexes,
                        to=move.group)
