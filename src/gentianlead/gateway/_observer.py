"""Callbacks of the gateway for logs, metrics and tracing spans."""

import contextlib
import datetime
from typing import ContextManager, MutableMapping

from gentianlead import errors
from gentianlead import ports
from gentianlead import routing
from gentianlead.gateway import _messages


class GatewayObserver:
    """Interface for logs, metrics and spans of requests; does nothing itself.

    Subclasses override the methods that they need.
    """

    def on_request_ended(self, request: _messages.CallerRequest,
                         elapsed: datetime.timedelta,
                         error: errors.RequestError | None) -> None:
        """Called when a request got its response or failed with `error`."""

    def on_attempt_ended(self, request: _messages.CallerRequest,
                         trace: _messages.AttemptTrace) -> None:
        """Called when an attempt ended, with its trace."""

    def start_span(self, request: _messages.CallerRequest,
                   step: routing.StartAttempt,
                   headers: MutableMapping[str, str]) -> ContextManager[object]:
        """Opens a tracing span for an attempt; adds its context to `headers`.

        Args:
            request: The request.
            step: The attempt.
            headers: Headers that are sent with the attempt.

        Returns:
            Context manager that closes the span.
        """
        del request, step, headers
        return contextlib.nullcontext()

    def on_late_response(self, request: _messages.CallerRequest,
                         response: ports.HttpResponse) -> None:
        """Called when an abandoned attempt got a response, which is dropped."""
