"""Interface through which the gateway feeds logs, metrics and tracing spans."""

import contextlib
import datetime
from typing import ContextManager, MutableMapping

from gentianlead import errors
from gentianlead import ports
from gentianlead import routing
from gentianlead.gateway import _messages


class GatewayObserver:
    """Receives the events of requests and attempts; ignores them by default.

    Subclasses override the methods whose events they log, count or trace.
    """

    def on_request_ended(self, request: _messages.CallerRequest,
                         elapsed: datetime.timedelta,
                         error: errors.RequestError | None) -> None:
        """Called when a request has ended.

        Args:
            request: The request.
            elapsed: Time since the gateway began to serve it.
            error: Error that the caller gets. None if it gets a response or if
                the serving of the request was cancelled.
        """

    def on_attempt_ended(self, request: _messages.CallerRequest,
                         trace: _messages.AttemptTrace) -> None:
        """Called when an attempt of a request has ended.

        Args:
            request: The request.
            trace: Destination, verdict, duration and outcome of the attempt.
        """

    def start_span(self, request: _messages.CallerRequest,
                   step: routing.StartAttempt,
                   headers: MutableMapping[str, str]) -> ContextManager[object]:
        """Opens a tracing span for an attempt; adds its context to `headers`.

        Args:
            request: The request.
            step: Instruction of the router to start the attempt.
            headers: HTTP headers that are sent with the attempt.

        Returns:
            Context manager that closes the span.
        """
        del request, step, headers
        return contextlib.nullcontext()

    def on_late_response(self, request: _messages.CallerRequest,
                         response: ports.HttpResponse) -> None:
        """Called when an attempt got a response after its request had ended.

        The caller does not get this response.
        """
