"""Fixture with the state and the scheduler of one domain."""

from gentianlead import model
from gentianlead import scheduling
from gentianlead import state

HOLDER = "entry-1"
"""Daemon that claims and holds all runs."""


class DomainFixture:
    """Drives the state and the scheduler of a domain with a simulated clock.

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

    def append(self, record: model.Record) -> state.RecordVerdict:
        """Applies a record to the domain state at the next offset."""
        self._offset += 1
        return self.state_machine.apply(self._offset, record)

    def put_workers(self,
                    count: int,
                    capacity: model.Resources = model.Resources(4000, 4000),
                    racks: int = 4) -> None:
        """Adds `worker-0`, `worker-1` and so on, round robin over racks."""
        for index in range(count):
            self.append(
                model.WorkerPut(f"worker-{index}", f"rack-{index % racks}",
                                capacity))

    def open_job(self, spec: model.JobSpec) -> None:
        """Opens a job in epoch 1."""
        self.append(model.JobOpened(spec, 1, (), {}))

    def plan(self, limit: int = 1000) -> list[scheduling.PlannedStart]:
        """Returns the starts that the scheduler plans now."""
        return self.scheduler.plan_starts(self.now, limit)

    def start(self, limit: int = 1000) -> list[scheduling.PlannedStart]:
        """Plans starts and applies their claims, which must be accepted."""
        starts = self.plan(limit)
        for start in starts:
            verdict = self.append(start.build_claim(HOLDER))
            if not verdict.is_accepted:
                raise AssertionError(f"{start}: {verdict.reason}")
        return starts

    def finish(self, start: scheduling.PlannedStart) -> None:
        """Ends a run as successful."""
        self.append(
            model.TaskFinished(start.job_id, start.task, start.run, HOLDER))

    def release(self,
                start: scheduling.PlannedStart,
                reason: str,
                checkpoint: str = "") -> None:
        """Ends a run whose task is not done."""
        self.append(
            model.TaskReleased(start.job_id, start.task, start.run, reason,
                               checkpoint, HOLDER))

    def evict(self) -> list[scheduling.Eviction]:
        """Returns the orders that the scheduler plans now."""
        return self.scheduler.plan_evictions(self.now)
