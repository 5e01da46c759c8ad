"""Observers that write events and metrics for the other packages."""

import contextlib
import datetime
from typing import ContextManager, Iterator, MutableMapping

from gentianlead import control
from gentianlead import errors
from gentianlead import execution
from gentianlead import gateway
from gentianlead import model
from gentianlead import peers
from gentianlead import ports
from gentianlead import routing
from gentianlead import scheduling
from gentianlead import state
from gentianlead import streams
from gentianlead import telemetry

_Event = telemetry.Event
MS_PER_S = 1000


class StreamTelemetry(streams.StreamObserver):
    """Writes the events of one stream client to the event log."""

    def __init__(self, stream: str, clock: ports.Clock):
        self._stream = stream
        self._clock = clock
        self._unavailable_since_s = 0.0

    def on_records_applied(self, applied: list[state.AppliedRecord]) -> None:
        for record in applied:
            if record.envelope is None:
                telemetry.emit(_Event.RECORD_UNREADABLE,
                               offset=record.offset,
                               stream=self._stream,
                               reason=record.verdict.reason)
            elif not record.verdict.is_accepted:
                telemetry.emit(_Event.RECORD_REJECTED,
                               kind=type(record.envelope.record).__name__,
                               offset=record.offset,
                               stream=self._stream,
                               reason=record.verdict.reason)

    def on_records_expired(self, stream: str, earliest: int) -> None:
        telemetry.emit(_Event.STREAM_INCOMPLETE,
                       stream=stream,
                       earliest=earliest)

    def on_state_restored(self, stream: str, position: int) -> None:
        telemetry.emit(_Event.STREAM_RESTORED,
                       stream=stream,
                       through=position - 1)

    def on_log_unavailable(self, stream: str,
                           error: errors.GentianleadError) -> None:
        self._unavailable_since_s = self._clock.monotonic()
        telemetry.emit(_Event.LOG_UNAVAILABLE, stream=stream, error=str(error))

    def on_log_available(self, stream: str) -> None:
        outage_s = self._clock.monotonic() - self._unavailable_since_s
        telemetry.emit(_Event.LOG_AVAILABLE,
                       stream=stream,
                       outage_ms=int(outage_s * MS_PER_S))


class ConfigurationTelemetry(streams.StreamObserver):
    """Writes an event when a new configuration version is in force."""

    def __init__(self, state_machine: state.ConfigurationStateMachine,
                 metrics: telemetry.DaemonMetrics):
        self._state_machine = state_machine
        self._metrics = metrics
        self._last_configuration = state_machine.configuration

    def on_records_applied(self, applied: list[state.AppliedRecord]) -> None:
        current = self._state_machine.configuration
        if current.version == self._last_configuration.version:
            return
        previous, self._last_configuration = self._last_configuration, current
        self._metrics.set_config_version(current.version)
        telemetry.emit(_Event.CONFIGURATION_IN_FORCE, version=current.version)
        for name, domain in current.domains.items():
            if domain.is_in_service == previous.is_domain_in_service(name):
                continue
            event = (_Event.DOMAIN_IN
                     if domain.is_in_service else _Event.DOMAIN_OUT)
            telemetry.emit(event, domain=name, version=current.version)


class ExecutionTelemetry(execution.ExecutionObserver):
    """Writes the events and metrics of the runs that this daemon holds.

    It also passes the usage that workers report to the scheduler.
    """

    def __init__(self, metrics: telemetry.DaemonMetrics, clock: ports.Clock,
                 scheduler: scheduling.DomainScheduler):
        self._metrics = metrics
        self._clock = clock
        self._scheduler = scheduler

    def on_run_started(self, run_key: ports.RunKey, worker: str) -> None:
        self._metrics.count_task_start("task", "ok")
        telemetry.emit(_Event.TASK_STARTED,
                       job=run_key.job_id,
                       task=run_key.task,
                       run=run_key.run,
                       worker=worker)

    def on_run_end_recorded(self, run_key: ports.RunKey, worker: str,
                            end_reason: model.ReleaseReason | None) -> None:
        fields = {
            "job": run_key.job_id,
            "task": run_key.task,
            "run": run_key.run,
            "worker": worker
        }
        if end_reason is None:
            telemetry.emit(_Event.TASK_FINISHED, **fields)
            return
        self._metrics.count_released_run(end_reason.value)
        telemetry.emit(_Event.TASK_RELEASED, reason=end_reason.value, **fields)
        if end_reason.value in model.CRASH_REASONS:
            self._metrics.count_worker_crash(end_reason.value)
            telemetry.emit(_Event.WORKER_CRASHED,
                           reason=end_reason.value,
                           **fields)

    def on_worker_unreachable(self, worker: str,
                              error: errors.WorkerError) -> None:
        telemetry.emit(_Event.WORKER_UNREACHABLE,
                       worker=worker,
                       error=str(error))

    def on_worker_reachable(self, worker: str) -> None:
        telemetry.emit(_Event.WORKER_REACHABLE, worker=worker)

    def on_usage_reported(self, worker: str, reply: ports.WorkerReply,
                          usage_reports: list[ports.UsageReport]) -> None:
        now_s = self._clock.monotonic()
        for report in usage_reports:
            age_s = (reply.worker_time_ms - report.as_of_ms) / MS_PER_S
            self._scheduler.observe_usage(worker, report,
                                          now_s - max(0.0, age_s))


class ControlTelemetry(control.ControlObserver):
    """Writes the events and metrics of the control loop of a domain."""

    def __init__(self, member: str, domain: str,
                 metrics: telemetry.DaemonMetrics):
        self._member = member
        self._domain = domain
        self._metrics = metrics

    def on_preferred_changed(self, is_preferred: bool) -> None:
        if is_preferred:
            telemetry.emit(_Event.PREFERRED_SCHEDULER,
                           member=self._member,
                           domain=self._domain)

    def on_claim_decided(self, planned_start: scheduling.PlannedStart,
                         is_accepted: bool, rejection_reason: str) -> None:
        if planned_start.is_suspect and is_accepted:
            self._metrics.count_suspect_start()
            telemetry.emit(_Event.SUSPECT_STARTED,
                           job=planned_start.job_id,
                           task=planned_start.task,
                           run=planned_start.run,
                           worker=planned_start.worker)

    def on_eviction(self, eviction: scheduling.Eviction) -> None:
        self._metrics.count_evicted_run(eviction.reason.value)
        telemetry.emit(_Event.TASK_EVICTED,
                       job=eviction.job_id,
                       task=eviction.task,
                       run=eviction.run,
                       worker=eviction.worker,
                       reason=eviction.reason.value,
                       action=eviction.action.value)

    def on_run_taken_over(self, job_id: str, task: int,
                          old_holder: str) -> None:
        telemetry.emit(_Event.RUNS_TAKEN_OVER,
                       runs=1,
                       daemon=old_holder,
                       job=job_id,
                       task=task)

    def on_snapshot_written(self, stream: str, through_offset: int,
                            n_parts: int, size: int) -> None:
        telemetry.emit(_Event.SNAPSHOT_WRITTEN,
                       stream=stream,
                       through=through_offset,
                       parts=n_parts,
                       size=size)

    def on_snapshot_overdue(self, stream: str, age: datetime.timedelta) -> None:
        telemetry.emit(_Event.SNAPSHOT_OVERDUE,
                       stream=stream,
                       age_ms=int(age.total_seconds() * MS_PER_S))

    def on_job_ended(self, job_id: str, outcome: str) -> None:
        telemetry.emit(_Event.JOB_ENDED, job=job_id, outcome=outcome)

    def on_job_given_up(self, job_id: str, reason: str) -> None:
        self._metrics.count_job_given_up()
        telemetry.emit(_Event.TASK_GIVEN_UP, job=job_id, reason=reason)

    def on_job_moved(self, job_id: str, domain: str) -> None:
        telemetry.emit(_Event.JOB_MOVED,
                       job=job_id,
                       source=self._domain,
                       destination=domain)

    def on_error(self, error: BaseException) -> None:
        telemetry.emit(_Event.INTERNAL_ERROR,
                       place="control loop",
                       error=repr(error))


class GatewayTelemetry(gateway.GatewayObserver):
    """Writes the events, metrics and trace spans of requests to services."""

    def __init__(self, metrics: telemetry.DaemonMetrics,
                 tracing: telemetry.Tracing):
        self._metrics = metrics
        self._tracing = tracing

    def on_request_ended(self, request: gateway.CallerRequest,
                         elapsed: datetime.timedelta,
                         error: errors.RequestError | None) -> None:
        if error is None:
            self._metrics.count_request(request.service, "OK",
                                        errors.Verdict.RAN.value, elapsed)
            return
        is_unknown = error.code is errors.ErrorCode.UNKNOWN_SERVICE
        service = "" if is_unknown else request.service
        self._metrics.count_request(service, error.code.value,
                                    error.verdict.value, elapsed)
        telemetry.emit(_Event.REQUEST_FAILED,
                       request=request.request_id,
                       service=request.service,
                       code=error.code.value,
                       verdict=error.verdict.value)

    def on_attempt_ended(self, request: gateway.CallerRequest,
                         trace: gateway.AttemptTrace) -> None:
        self._metrics.count_attempt(request.service, trace.verdict.value,
                                    trace.elapsed)
        if trace.kind is not routing.AttemptKind.FIRST:
            self._metrics.count_retry(request.service, trace.kind.value)

    def start_span(self, request: gateway.CallerRequest,
                   step: routing.StartAttempt,
                   headers: MutableMapping[str, str]) -> ContextManager[object]:
        if not self._tracing.is_recording:
            return contextlib.nullcontext()
        return self._open_span(request, step, headers)

    @contextlib.contextmanager
    def _open_span(self, request: gateway.CallerRequest,
                   step: routing.StartAttempt,
                   headers: MutableMapping[str, str]) -> Iterator[None]:
        parent = telemetry.TraceContext.from_headers(headers)
        is_target = isinstance(step.destination, routing.TargetDestination)
        name = "attempt at target" if is_target else "forward to peer"
        with self._tracing.open_span(name, telemetry.SpanKind.CLIENT, parent, {
                "service": request.service,
                "kind": step.kind.value
        }) as context:
            headers.update(context.to_headers())
            yield


def emit_peer_event(event: peers.PeerEvent) -> None:
    """Writes the event of a connection between daemons to the event log."""
    name = event.peer or event.address
    event_kinds = peers.PeerEventKind
    if event.kind is event_kinds.CONNECTED:
        telemetry.emit(_Event.PEER_CONNECTED, peer=name)
    elif event.kind is event_kinds.HANDLER_FAILED:
        telemetry.emit(_Event.INTERNAL_ERROR,
                       place=f"request of peer {name}",
                       error=repr(event.error))
    elif isinstance(event.error, errors.ProtocolError):
        telemetry.emit(_Event.PEER_MALFORMED,
                       peer=name,
                       reason=str(event.error))
    elif event.kind is not event_kinds.DIAL_FAILED:
        telemetry.emit(_Event.PEER_LOST,
                       peer=name,
                       reason=str(event.error or "closed"))
