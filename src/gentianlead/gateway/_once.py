"""One-time requests: recorded in the log before they are sent."""

import datetime

from gentianlead import errors
from gentianlead import model
from gentianlead import state
from gentianlead import streams
from gentianlead.gateway import _messages

RELEASE_TIMEOUT = datetime.timedelta(seconds=60)
"""How long the release of a key is tried while the log is down."""


class OnceGuard:
    """Lets each idempotency key of a service run once.

    Args:
        client: Client of the `once` stream.
    """

    def __init__(self, client: streams.StreamClient):
        self._client = client

    @property
    def _state_machine(self) -> state.OneTimeRequestStateMachine:
        state_machine = self._client.replica.state_machine
        assert isinstance(state_machine, state.OneTimeRequestStateMachine)
        return state_machine

    @staticmethod
    def build_key(request: _messages.CallerRequest) -> str:
        """Returns the key in the stream; services do not share keys."""
        return (f"{len(request.service)}:{request.service}:"
                f"{request.idempotency_key}")

    async def begin(self, request: _messages.CallerRequest,
                    hold_id: str) -> None:
        """Records the request.

        Args:
            request: The request.
            hold_id: Identifier that no other copy of the request has, at any
                daemon. The caller's identifier does not do: a repeated request
                carries the same one, and the release of a refused copy would
                free the key of the copy that runs.

        Raises:
            RequestError: Another request with the key has begun, or the log
                did not confirm the record; the request was not sent.
        """
        if not self._client.is_ready():
            raise errors.RequestError(
                errors.ErrorCode.NOT_READY,
                "the record of one-time requests is not complete yet")
        key = self.build_key(request)
        known = self._state_machine.get(key)
        if known is not None:
            raise self._build_refusal(known)
        record = model.OnceBegun(key, request.service, hold_id)
        try:
            applied = await self._client.submit(record, request.timeout)
        except errors.LogUnavailableError as error:
            raise errors.RequestError(
                errors.ErrorCode.LOG_UNAVAILABLE,
                "the log did not confirm the record of the request, so it "
                "was not sent") from error
        if not applied.verdict.is_accepted:
            known = self._state_machine.get(key)
            raise self._build_refusal(known or state.OneTimeRequestEntry("", ""))

    @staticmethod
    def _build_refusal(entry: state.OneTimeRequestEntry) -> errors.RequestError:
        verdict = errors.Verdict.MAY_HAVE_RUN
        message = "a request with this idempotency key has begun"
        if entry.status:
            verdict = errors.Verdict.RAN
            message = (f"a request with this idempotency key was answered "
                       f"with status {entry.status}")
        return errors.RequestError(errors.ErrorCode.ONE_TIME_ALREADY_BEGUN,
                                   message, verdict)

    async def end(self, request: _messages.CallerRequest, hold_id: str,
                  status: int) -> None:
        """Records the status of the answer; a failure to do so is harmless."""
        record = model.OnceEnded(self.build_key(request), hold_id, status)
        await self._submit_quietly(record)

    async def release(self, request: _messages.CallerRequest,
                      hold_id: str) -> None:
        """Frees the key of a request that certainly never ran."""
        record = model.OnceReleased(self.build_key(request), hold_id)
        await self._submit_quietly(record)

    async def _submit_quietly(self, record: model.Record) -> None:
        try:
            await self._client.submit(record, RELEASE_TIMEOUT)
        except errors.LogUnavailableError:
            pass  # The key stays taken, which never repeats a request.
