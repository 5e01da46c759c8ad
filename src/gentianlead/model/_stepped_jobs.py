"""Jobs that consist of steps of parallel tasks, and their queues."""

import enum
from typing import NamedTuple


class Step(NamedTuple):
    """Equal tasks of a job, which may run in parallel.

    Attributes:
        count: Number of tasks.
        cpu_millis: Processors of each task in thousandths of a core.
        memory_mib: Memory of each task in MiB.
        accelerators: Number of accelerators of each task.
        estimate_ms: Estimated duration of a task in milliseconds.
        depends_on: Indexes of the steps whose tasks must be done first.
        has_checkpoints: Whether a task can resume from a checkpoint.
        is_gang: Whether the tasks make progress only while all of them run.
        prefers_same_rack: Whether the tasks are slower if they run on more
            than one rack.
        required_label: Label that the worker must have, or empty.
        preferred_rack: Rack that stores the input data of the tasks, or empty.
        max_tasks_per_worker: Maximum number of tasks of the step on one
            worker; 0 for no limit.
        allows_speculative_copies: Whether copies of a task may run in
            parallel.
        is_long_running: Whether the tasks run until the job is cancelled.
        image: Name of the program image that the tasks run.
        tail_latency_limit_ms: Limit on the tail latency of a latency-critical
            task in milliseconds; 0 for other tasks.
        is_best_effort: Whether the tasks use only processors that other tasks
            leave unused.
        max_unavailable: Maximum number of tasks that planned actions may make
            unavailable at the same time; None for no limit.
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
    """Identity of a task.

    Attributes:
        job_id: Identifier of the job.
        occurrence: Number of the job's occurrence, from 0.
        step: Index of the step in the job.
        index: Index of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


class Queue(NamedTuple):
    """A URL path to which callers submit jobs, with the policy for these jobs.

    Attributes:
        host: Host name that callers use.
        path_prefix: Prefix of the URL path, including the slash at its end.
        service: Name of the service whose workers run the tasks.
        priority: Rank of the jobs; 0 is the highest priority.
        max_attempts: Number of failed runs of a task after which the job
            fails.
        objective_factor: Factor on the job's ideal duration in the objective
            for its completion time.
        objective_slack_ms: Time in milliseconds that the objective adds to
            the product of factor and ideal duration.
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
    """One version of the configuration that operators set for stepped jobs.

    Attributes:
        version: Version number; a higher one is newer.
        queues: All queues.
        capacity_enforcing_services: Names of the services whose workers refuse
            tasks that exceed their capacity.
        services: Names of all services.
        max_body_bytes: Maximum size of the body of a caller's request in
            bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    capacity_enforcing_services: frozenset[str]
    services: frozenset[str]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of `host` with the longest prefix of `path`."""
        matching_queues = [
            queue for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching_queues,
                   key=lambda queue: len(queue.path_prefix),
                   default=None)


class SteppedJob(NamedTuple):
    """A job of one or more steps, as it was accepted.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: The queue as it was configured when the job was accepted.
        payload: Opaque text that each task receives.
        steps: Steps of the job; a `TaskKey` names them by index.
        assignment: Names of the worker groups that run the job first: one for
            the whole job, or one for each task by `compute_task_number`.
        accepted_at_ms: Time of acceptance in milliseconds since 1970.
        first_run_ms: Start time of the first occurrence in milliseconds since
            1970; 0 to start at once.
        interval_ms: Time between the starts of occurrences in milliseconds.
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
        """Whether the occurrences start at given times."""
        return self.first_run_ms > 0

    @property
    def task_count(self) -> int:
        """Number of tasks of all steps in one occurrence."""
        return sum(step.count for step in self.steps)

    def compute_task_number(self, step_index: int, task_index: int) -> int:
        """Returns the number of a task among those of all steps, from 0."""
        return sum(step.count for step in self.steps[:step_index]) + task_index


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that its state never changes again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})
