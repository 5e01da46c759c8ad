"""Requests from the peer that are in progress."""

import asyncio
from typing import Awaitable, Callable

from gentianlead import errors
from gentianlead.peers import _handler
from gentianlead.peers import _messages

ReplySender = Callable[[int, _messages.Reply], Awaitable[None]]


class IncomingRequests:
    """Runs the handler of each request from the peer and sends its reply.

    It limits how many requests are in progress and cancels those that the peer
    abandoned.
    """

    def __init__(self, handler: _handler.PeerHandler, max_requests: int,
                 send_reply: ReplySender, report_error: Callable[[Exception],
                                                                 None]) -> None:
        self._max_requests = max_requests
        self._send_reply = send_reply
        self._report_error = report_error
        self._last_correlation_id = 0
        self._handler_tasks: dict[int, asyncio.Task] = {}
        self._handlers_by_type = {
            _messages.ForwardRequest: handler.handle_forward,
            _messages.LoanRequest: handler.handle_loan_request,
            _messages.StatusQuery: handler.handle_status_query,
            _messages.GroupCall: handler.handle_group_call,
        }

    def __len__(self) -> int:
        return len(self._handler_tasks)

    def start_handler(self, peer: _messages.Hello, correlation_id: int,
                      message: _messages.Request,
                      is_send_buffer_full: bool) -> _messages.Refusal | None:
        """Starts the handler of a request, or refuses the request.

        Args:
            peer: Hello of the peer.
            correlation_id: Identifier of the request within the connection.
            message: The request.
            is_send_buffer_full: Whether too many bytes wait to be sent to the
                peer for its request to be started.

        Returns:
            A refusal when the request was not started, else None.

        Raises:
            ProtocolError: The correlation id is not higher than that of the
                previous request.
        """
        if correlation_id <= self._last_correlation_id:
            raise errors.ProtocolError(
                f"request {correlation_id} does not follow "
                f"{self._last_correlation_id}")
        self._last_correlation_id = correlation_id
        if (is_send_buffer_full or
                len(self._handler_tasks) >= self._max_requests):
            return _messages.Refusal(
                errors.ErrorCode.OVERLOADED.value,
                f"{len(self._handler_tasks)} requests from the peer are in "
                f"progress, limit {self._max_requests}, or it has not read "
                f"its replies", errors.Verdict.DID_NOT_RUN)
        task = asyncio.get_running_loop().create_task(
            self._handle_request(peer, correlation_id, message))
        self._handler_tasks[correlation_id] = task
        task.add_done_callback(
            lambda _: self._handler_tasks.pop(correlation_id, None))
        return None

    async def _handle_request(self, peer: _messages.Hello, correlation_id: int,
                              message: _messages.Request) -> None:
        try:
            reply = await self._handlers_by_type[type(message)](peer, message)
        except errors.RequestError as error:
            reply = _messages.build_refusal(error)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # A bug in a handler must not affect other requests.
            self._report_error(error)
            reply = _messages.Refusal(errors.ErrorCode.INTERNAL.value,
                                      f"handler failed: {error!r:.200}",
                                      errors.Verdict.MAY_HAVE_RUN)
        await self._send_reply(correlation_id, reply)

    def cancel(self, correlation_id: int) -> None:
        """Cancels a request that the peer abandoned, unless it has ended.

        Raises:
            ProtocolError: The peer never sent the request.
        """
        if correlation_id > self._last_correlation_id:
            raise errors.ProtocolError(
                f"cancel of request {correlation_id}, which was never sent")
        task = self._handler_tasks.get(correlation_id)
        if task is not None:
            task.cancel()

    def cancel_all(self) -> None:
        """Cancels the handlers of all requests in progress."""
        for task in list(self._handler_tasks.values()):
            task.cancel()

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        while self._handler_tasks:
            await asyncio.wait(list(self._handler_tasks.values()))
