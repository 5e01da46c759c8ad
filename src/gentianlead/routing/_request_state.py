"""State of the requests and attempts of the router."""

from gentianlead import errors
from gentianlead.routing import _messages
from gentianlead.routing import _target_pool

MAX_FORWARDS = 2
# One retry or hedge, so that a single slow or broken target does not make a
# forwarded request fail. The daemon of the caller counts as many attempts for
# each forward, so that the attempts of several daemons do not multiply.
MAX_ATTEMPTS_OF_FORWARDED = 2
_VERDICT_ORDER = (errors.Verdict.DID_NOT_RUN, errors.Verdict.MAY_HAVE_RUN,
                  errors.Verdict.RAN)


class RequestState:
    """State of a request from its admission to its end."""

    def __init__(self, request: _messages.Request):
        self.request = request
        self.verdict = errors.Verdict.DID_NOT_RUN
        self.error_code = errors.ErrorCode.DEADLINE_EXCEEDED
        self.in_flight_ids: list[int] = []
        self.tried_targets: list[str] = []
        self.attempts_started = 0
        self.next_attempt_kind = _messages.AttemptKind.FIRST
        self.has_funded_retry_budget = False
        self.remaining_forwards = 0 if request.is_forwarded else MAX_FORWARDS

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self.request.request_id

    def update_verdict(self, verdict: errors.Verdict) -> None:
        """Keeps the highest verdict: DID_NOT_RUN < MAY_HAVE_RUN < RAN."""
        if _VERDICT_ORDER.index(verdict) > _VERDICT_ORDER.index(self.verdict):
            self.verdict = verdict


class Attempt:
    """An attempt at a target (`peer` empty) or peer (`assignment` None)."""

    def __init__(self, state: RequestState, kind: _messages.AttemptKind,
                 assignment: _target_pool.TargetAssignment | None, peer: str,
                 latest_end: float):
        self.request_state = state
        self.kind = kind
        self.assignment = assignment
        self.peer = peer
        self.latest_end = latest_end

    @property
    def max_attempts_at_targets(self) -> int:
        """Maximum number of attempts at targets that this attempt causes."""
        return MAX_ATTEMPTS_OF_FORWARDED if self.peer else 1
