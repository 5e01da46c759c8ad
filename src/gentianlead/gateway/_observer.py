"""Hooks of the gateway for logs, metrics and spans."""

import contextlib
import datetime
from typing import ContextManager, MutableMapping

from gentianlead import errors
from gentianlead import ports
from gentianlead import routing
from gentianlead.gateway import _messages


class GatewayObserver:
    """Told of requests and attempts; the default does nothing."""

    def on_request(self, request: _messages.CallerRequest,
                   elapsed: datetime.timedelta,
                   error: errors.RequestError | None) -> None:
        """A request got its answer or its refusal."""

    def on_attempt(self, request: _messages.CallerRequest,
                   trace: _messages.AttemptTrace) -> None:
        """An attempt ended."""

    def start_span(self, request: _messages.CallerRequest,
                   step: routing.StartAttempt,
                   headers: MutableMapping[str, str]) -> ContextManager[object]:
        """Opens the span of an attempt and puts its context into headers."""
        del request, step, headers
        return contextlib.nullcontext()

    def on_late_answer(self, request: _messages.CallerRequest,
                       answer: ports.HttpResponse) -> None:
        """An abandoned attempt was answered; the answer is dropped."""
