"""Log lines and metrics for what the scheduler of a group has decided."""

from gentianlead import dispatch
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics


def report_run_ends(scheduler: dispatch.GroupScheduler,
                    log: _decision_log.DecisionLog,
                    metrics: _metrics.ClusterMetrics) -> None:
    """Logs and counts the ends of runs since the last call.

    Ends of done runs that the leader did not track have lines of their own.
    """
    ended_runs = scheduler.ended_runs
    scheduler.ended_runs = []
    for ended_run in ended_runs:
        metrics.run_ends.inc({"cause": ended_run.cause})
        log.write("run-ended",
                  job=ended_run.task.job_id,
                  task=tuple(ended_run.task[1:]),
                  run=ended_run.run,
                  worker=ended_run.worker_id,
                  cause=ended_run.cause,
                  seconds=round(ended_run.seconds, 3))
    late_ends, scheduler.late_ends = scheduler.late_ends, []
    for late_end in late_ends:
        metrics.late_ends.inc({
            "outcome": "withheld" if late_end.is_superseded else "acknowledged"
        })
        log.write("late-end",
                  group=scheduler.group,
                  epoch=scheduler.epoch,
                  job=late_end.task.job_id,
                  task=tuple(late_end.task[1:]),
                  run=late_end.run,
                  worker=late_end.worker_id,
                  number=late_end.number,
                  state=late_end.task_state.value,
                  last_run=late_end.last_run,
                  superseded=late_end.is_superseded,
                  rule=late_end.rule.value,
                  kept=late_end.is_kept)
    untracked_ends = scheduler.untracked_ends
    released_ends, untracked_ends.released_ends = (untracked_ends.released_ends,
                                                   [])
    for released_end in released_ends:
        log.write("withheld-ends-released",
                  group=scheduler.group,
                  worker=released_end.worker_id,
                  number=released_end.number,
                  cause=released_end.cause.value)


def report_job_end(record: dispatch.ProgressRecord,
                   log: _decision_log.DecisionLog) -> None:
    """Logs the final state of a job that a group has stored."""
    log.write("job-ended",
              job=record.job_id,
              group=record.group,
              state=record.state.value)


def report_crash_events(scheduler: dispatch.GroupScheduler,
                        log: _decision_log.DecisionLog,
                        metrics: _metrics.ClusterMetrics) -> None:
    """Logs and counts the decisions on tasks that may crash their workers."""
    events = scheduler.crashes.events
    scheduler.crashes.events = []
    for event in events:
        metrics.crash_events.inc({"event": event.type.value})
        log.write(event.type.value,
                  group=scheduler.group,
                  job=event.task.job_id,
                  task=tuple(event.task[1:]),
                  run=event.run,
                  worker=event.worker_id,
                  detail=event.detail,
                  crashes=event.crashes)


def report_throttles(worker: dispatch.WorkerState, group: str,
                     interference: dispatch.InterferenceModel,
                     log: _decision_log.DecisionLog) -> None:
    """Logs the throttles of a worker after a change, and their causes."""
    log.write("pace-changed",
              group=group,
              worker=worker.worker_id,
              tails={
                  image: round(latency_ratio, 2)
                  for image, latency_ratio in worker.latency_ratios.items()
              },
              paces=worker.throttles,
              causes={
                  image: cause._asdict()
                  for image, cause in dispatch.explain_throttles(
                      worker, interference).items()
              })
