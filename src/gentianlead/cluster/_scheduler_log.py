"""Log lines and metrics for what the scheduler of a group has decided."""

from gentianlead import dispatch
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _metrics


def report_run_ends(scheduler: dispatch.GroupScheduler,
                    log: _decision_log.DecisionLog,
                    metrics: _metrics.ClusterMetrics) -> None:
    """Logs and counts the ends of runs since the last call."""
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
