"""Jobs that consist of steps of parallel tasks, and the queues they come by."""

import enum
from typing import NamedTuple


class Step(NamedTuple):
    """Parallel tasks of one shape.

    Attributes:
        count: Number of tasks.
        cpu_millis: Processors of a task in thousandths of a core.
        memory_mib: Memory of a task.
        accelerators: Accelerators of a task.
        estimate_ms: Rough duration of a task in milliseconds.
        depends_on: Indexes of steps whose tasks must be done first.
        has_checkpoints: Whether a task can resume from a checkpoint.
        is_gang: Whether the tasks work only together.
        prefers_same_rack: Whether the tasks are slow on more than one rack.
        required_label: Label that the worker must have, or empty.
        preferred_rack: Rack that holds the data, or empty.
        max_tasks_per_worker: Most tasks of the step on one worker; 0 for no limit.
        allows_speculative_copies: Whether copies of a task may run in parallel.
        is_long_running: Whether the tasks run until the job is cancelled.
        image: Name of what the tasks run.
        tail_latency_limit_ms: Bound on the tail latency of a serving task; 0 for none.
        is_best_effort: Whether the tasks use only processors left over by others.
        max_unavailable: Tasks that planned actions may take away at once;
            None where the step sets no limit.
    """

    count: int
    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    prefers_same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_tasks_per_worker: int = 0
    allows_speculative_copies: bool = False
    is_long_running: bool = False
    image: str = ""
    tail_latency_limit_ms: int = 0
    is_best_effort: bool = False
    max_unavailable: int | None = None


class TaskKey(NamedTuple):
    """Names a task.

    Attributes:
        job_id: Identifier of the job.
        occurrence: Number of the repetition, from 0.
        step: Index of the step.
        index: Index of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


class Queue(NamedTuple):
    """A path that jobs are submitted to.

    Attributes:
        host: Host name that callers use.
        path_prefix: Prefix of the path, with the slash at its end.
        service: Service whose workers run the tasks.
        priority: Rank of its jobs; 0 comes first.
        max_attempts: Failed runs after which a task is given up.
        objective_factor: Multiple of the ideal duration in the objective.
        objective_slack_ms: Time added to that multiple.
        needs_permit: Whether starts need a permit of the advisory service.
    """

    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 2.0
    objective_slack_ms: int = 1000
    needs_permit: bool = False


class FleetConfiguration(NamedTuple):
    """Configuration that the operators have put in force.

    Attributes:
        version: Number of the version; a higher one is newer.
        queues: All queues.
        capacity_enforcing_services: Services whose workers refuse what does not fit.
        services: Names of all services.
        max_body_bytes: Longest body of a caller's request.
    """

    version: int
    queues: tuple[Queue, ...]
    capacity_enforcing_services: frozenset[str]
    services: frozenset[str]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix."""
        matching = [
            queue for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching,
                   key=lambda queue: len(queue.path_prefix),
                   default=None)


class SteppedJob(NamedTuple):
    """A job as it was accepted.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: The queue as it was at acceptance.
        payload: Opaque text that each task gets.
        steps: The steps.
        assignment: Groups whose workers run the job first: one for the whole
            job, or one for each task of a job with a lasting step.
        accepted_at_ms: Time of acceptance in milliseconds since 1970.
        first_run_ms: Time of the first occurrence; 0 for at once.
        interval_ms: Time between occurrences.
        occurrences: Number of occurrences, at least 1.
    """

    job_id: str
    queue: Queue
    payload: str
    steps: tuple[Step, ...]
    assignment: tuple[str, ...]
    accepted_at_ms: int
    first_run_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 1

    @property
    def is_long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.is_long_running for step in self.steps)

    @property
    def has_start_time(self) -> bool:
        """Whether occurrences have a time."""
        return self.first_run_ms > 0


class JobState(enum.Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})
