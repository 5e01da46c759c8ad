"""Requests of the peer that are in progress."""

import asyncio
from typing import Awaitable, Callable

from gentianlead import errors
from gentianlead.peers import _handler
from gentianlead.peers import _messages

ReplySender = Callable[[int, _messages.Reply], Awaitable[None]]


class IncomingRequests:
    """Runs a handler for each request and sends its reply."""

    def __init__(self, handler: _handler.PeerHandler, limit: int,
                 send_reply: ReplySender, report: Callable[[Exception],
                                                           None]) -> None:
        self._limit = limit
        self._send_reply = send_reply
        self._report = report
        self._last_id = 0
        self._tasks: dict[int, asyncio.Task] = {}
        self._handlers = {
            _messages.ForwardRequest: handler.handle_forward,
            _messages.LoanRequest: handler.handle_loan_request,
            _messages.StatusQuery: handler.handle_status_query,
            _messages.GroupCall: handler.handle_group_call,
        }

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, peer: _messages.Hello, correlation_id: int,
              message: _messages.Request,
              is_full: bool) -> _messages.Refusal | None:
        """Starts a request.

        Args:
            peer: Hello of the peer.
            correlation_id: Number of the request.
            message: The request.
            is_full: Whether too much waits to be sent to the peer.

        Returns:
            A refusal when the request was not started, else None.

        Raises:
            ProtocolError: The peer used a correlation id again.
        """
        if correlation_id <= self._last_id:
            raise errors.ProtocolError(
                f"request {correlation_id} does not follow {self._last_id}")
        self._last_id = correlation_id
        if is_full or len(self._tasks) >= self._limit:
            return _messages.Refusal(
                errors.ErrorCode.OVERLOADED.value,
                f"{len(self._tasks)} requests of the peer are in progress, "
                f"limit {self._limit}, or its answers wait to be read",
                errors.Verdict.DID_NOT_RUN)
        task = asyncio.get_running_loop().create_task(
            self._run(peer, correlation_id, message))
        self._tasks[correlation_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(correlation_id, None))
        return None

    async def _run(self, peer: _messages.Hello, correlation_id: int,
                   message: _messages.Request) -> None:
        try:
            reply = await self._handlers[type(message)](peer, message)
        except errors.RequestError as error:
            reply = _messages.build_refusal(error)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # A fault in a handler must not break the requests of others.
            self._report(error)
            reply = _messages.Refusal(errors.ErrorCode.INTERNAL.value,
                                      f"handler failed: {error!r:.200}",
                                      errors.Verdict.MAY_HAVE_RUN)
        await self._send_reply(correlation_id, reply)

    def cancel(self, correlation_id: int) -> None:
        """Cancels a request that the peer abandoned; late cancels are ignored.

        Raises:
            ProtocolError: The peer never sent the request.
        """
        if correlation_id > self._last_id:
            raise errors.ProtocolError(
                f"cancel of request {correlation_id}, which was never sent")
        task = self._tasks.get(correlation_id)
        if task is not None:
            task.cancel()

    def cancel_all(self) -> None:
        """Cancels all requests."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        while self._tasks:
            await asyncio.wait(list(self._tasks.values()))
