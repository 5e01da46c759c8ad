"""Test fixture with the state and the scheduler of one domain."""

from gentianlead import model
from gentianlead import scheduling
from gentianlead import state

HOLDER = "entry-1"
"""Name of the daemon that claims and holds the runs of the fixture."""


class DomainFixture:
    """Applies records to a domain's state and runs its scheduler.

    Time is a simulated clock.

    Attributes:
        now: Simulated clock reading in monotonic seconds; tests set it.
        state_machine: State of the domain.
        scheduler: Scheduler under test.
    """

    def __init__(self,
                 configuration: model.Configuration = model.Configuration(),
                 placement: scheduling.PlacementPolicy | None = None,
                 **options: object):
        self.now = 0.0
        self.state_machine = state.DomainStateMachine()
        self._offset = 0
        self.scheduler = scheduling.DomainScheduler(self.state_machine,
                                                    configuration,
                                                    "domain-1",
                                                    lambda: self.now,
                                                    placement=placement,
                                                    **options)

    def append_record(self, record: model.Record) -> state.RecordVerdict:
        """Applies a record to the domain state at the next stream offset."""
        self._offset += 1
        return self.state_machine.apply(self._offset, record)

    def put_workers(self,
                    worker_count: int,
                    capacity: model.Resources = model.Resources(4000, 4000),
                    rack_count: int = 4) -> None:
        """Adds `worker-0`, `worker-1` and so on, round robin over racks."""
        for index in range(worker_count):
            self.append_record(
                model.WorkerPut(f"worker-{index}", f"rack-{index % rack_count}",
                                capacity))

    def open_job(self, spec: model.JobSpec) -> None:
        """Opens a job in the domain, in epoch 1."""
        self.append_record(model.JobOpened(spec, 1, (), {}))

    def plan_starts(self,
                    max_starts: int = 1000) -> list[scheduling.PlannedStart]:
        """Returns the starts that the scheduler plans now.

        Their claims are not applied to the domain state.
        """
        return self.scheduler.plan_starts(self.now, max_starts)

    def start_tasks(self,
                    max_starts: int = 1000) -> list[scheduling.PlannedStart]:
        """Plans starts and applies their claims, which must be accepted."""
        starts = self.plan_starts(max_starts)
        for start in starts:
            verdict = self.append_record(start.build_claim(HOLDER))
            if not verdict.is_accepted:
                raise AssertionError(f"{start}: {verdict.reason}")
        return starts

    def finish_run(self, start: scheduling.PlannedStart) -> None:
        """Records that the run of an applied start succeeded."""
        self.append_record(
            model.TaskFinished(start.job_id, start.task, start.run, HOLDER))

    def release_run(self,
                    start: scheduling.PlannedStart,
                    reason: str,
                    checkpoint: str = "") -> None:
        """Records that the run of an applied start ended without success."""
        self.append_record(
            model.TaskReleased(start.job_id, start.task, start.run, reason,
                               checkpoint, HOLDER))

    def plan_evictions(self) -> list[scheduling.Eviction]:
        """Returns the orders that the scheduler plans now.

        The runs are not changed.
        """
        return self.scheduler.plan_evictions(self.now)
