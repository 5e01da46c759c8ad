"""What a leader stores so that its successor knows the runs of the group."""

from gentianlead.dispatch import _interference
from gentianlead.dispatch import _order_replies
from gentianlead.dispatch import _orders
from gentianlead.dispatch import _records
from gentianlead.dispatch import _workers


class StoredGroupState(_order_replies.RepliedGroupState):
    """Builds the records by which a successor finds the runs of this leader."""

    def __init__(self, group: str, epoch: int, timings: _orders.GroupTimings,
                 now: float, leadership_offset: int,
                 interference: _interference.InterferenceModel):
        super().__init__(group, epoch, timings, now, leadership_offset,
                         interference)
        self._recorded_workers: set[str] = set()

    def build_workers_record(self) -> _records.WorkersRecord | None:
        """Returns a record of the workers with runs, which the caller stores.

        It lists all workers on which runs may exist or start. The others get no
        start from now on, until they are recorded anew.

        Returns None if the record that this leader stored last lists the same
        workers, or if it stored none and there are no workers. A worker that
        was dropped and listed again since then has to be recorded anew.
        """
        listed_workers = []
        for worker in self.workers.values():
            if self._may_have_runs(worker):
                listed_workers.append(worker)
            else:
                worker.is_recorded = False
        if self._recorded_workers == {
                worker.worker_id for worker in listed_workers
        } and all(worker.is_recorded for worker in listed_workers):
            return None
        return _records.WorkersRecord(
            self.group, self.epoch,
            tuple(worker.entry for worker in listed_workers))

    def _may_have_runs(self, worker: _workers.WorkerState) -> bool:
        """Returns whether runs may exist on a worker, or start there.

        A successor waits for such a worker if it does not reply, but not for
        one that leaves or has left and whose runs have all ended.
        """
        is_open = worker.is_registered and not worker.entry.is_draining
        return bool(is_open or worker.runs or worker.unknown_runs or
                    (not self.is_reconciled and worker.may_have_former_runs and
                     worker.first_status_at is None))

    def mark_workers_recorded(self, record: _records.WorkersRecord) -> None:
        """Marks the workers in `record` as recorded after it was stored.

        Only recorded workers may receive start orders.
        """
        self._recorded_workers = {entry.worker_id for entry in record.workers}
        for worker_id in self._recorded_workers & set(self.workers):
            self.workers[worker_id].is_recorded = True
