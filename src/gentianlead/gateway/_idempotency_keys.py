"""Claims of idempotency keys, so that a one-time request runs at most once.

A one-time request is not idempotent and has an idempotency key. The key is
claimed in the log before the request is sent to a target. The request therefore
runs at most once, however often the caller sends it. Only the 100,000 newest
claimed keys are kept; a request with an older key can be sent again.
"""

import datetime

from gentianlead import errors
from gentianlead import model
from gentianlead import state
from gentianlead import streams
from gentianlead.gateway import _messages

RECORD_TIMEOUT = datetime.timedelta(seconds=60)
"""Longest time to try to record a response status or a released key."""


class IdempotencyKeyGuard:
    """Ensures that per service and idempotency key at most one request runs.

    The claims of keys are recorded in the `once` stream of the log, so that all
    daemons know them.

    Args:
        stream_client: Client of the `once` stream.
    """

    def __init__(self, stream_client: streams.StreamClient):
        self._stream_client = stream_client

    @property
    def _state_machine(self) -> state.OneTimeRequestStateMachine:
        state_machine = self._stream_client.replica.state_machine
        assert isinstance(state_machine, state.OneTimeRequestStateMachine)
        return state_machine

    @staticmethod
    def build_stream_key(request: _messages.CallerRequest) -> str:
        """Returns the key of a request in the records of the stream.

        It consists of the service and the idempotency key, because requests to
        different services may use the same idempotency key.
        """
        return (f"{len(request.service)}:{request.service}:"
                f"{request.idempotency_key}")

    async def claim_key(self, request: _messages.CallerRequest,
                        claim_id: str) -> None:
        """Claims the idempotency key of a request before the request is sent.

        Args:
            request: The request.
            claim_id: Identifier of this claim, unique among all daemons.
                `CallerRequest.request_id` must not be used, because a repeated
                request may have the same one. If the log does not confirm a
                claim in time, the caller of this method releases the claim by
                its identifier. If the claims of two requests had the same
                identifier, this would release the claim of the first request,
                which may still be running.

        Raises:
            RequestError: The request must not be sent. Its code is
                `ONE_TIME_ALREADY_BEGUN` if another request has claimed the key,
                `LOG_UNAVAILABLE` if the log did not confirm the claim in time,
                or `NOT_READY` if this daemon does not know all claims yet.
        """
        if not self._stream_client.is_ready():
            raise errors.RequestError(
                errors.ErrorCode.NOT_READY,
                "the record of one-time requests is not complete yet")
        stream_key = self.build_stream_key(request)
        existing_claim = self._state_machine.get(stream_key)
        if existing_claim is not None:
            raise self._build_refusal(existing_claim)
        record = model.OnceBegun(stream_key, request.service, claim_id)
        try:
            applied_record = await self._stream_client.submit(
                record, request.timeout)
        except errors.LogUnavailableError as error:
            raise errors.RequestError(
                errors.ErrorCode.LOG_UNAVAILABLE,
                "the log did not confirm the record of the request, so it "
                "was not sent") from error
        if not applied_record.verdict.is_accepted:
            existing_claim = self._state_machine.get(stream_key)
            raise self._build_refusal(existing_claim or
                                      state.OneTimeRequestEntry("", ""))

    @staticmethod
    def _build_refusal(claim: state.OneTimeRequestEntry) -> errors.RequestError:
        verdict = errors.Verdict.MAY_HAVE_RUN
        message = "a request with this idempotency key has begun"
        if claim.status:
            verdict = errors.Verdict.RAN
            message = (f"a request with this idempotency key was answered "
                       f"with status {claim.status}")
        return errors.RequestError(errors.ErrorCode.ONE_TIME_ALREADY_BEGUN,
                                   message, verdict)

    async def record_response(self, request: _messages.CallerRequest,
                              claim_id: str, status: int) -> None:
        """Records the HTTP status of the response to a request.

        If the log is unavailable for `RECORD_TIMEOUT`, the key stays claimed
        without a status.

        Args:
            request: The request.
            claim_id: Identifier of its claim.
            status: HTTP status of the response.
        """
        record = model.OnceEnded(self.build_stream_key(request), claim_id,
                                 status)
        await self._submit_ignoring_outage(record)

    async def release_key(self, request: _messages.CallerRequest,
                          claim_id: str) -> None:
        """Releases the key of a request that certainly did not run.

        If the log is unavailable for `RECORD_TIMEOUT`, the key may stay
        claimed.

        Args:
            request: The request.
            claim_id: Identifier of its claim. A claim of the same key with
                another identifier is not released.
        """
        record = model.OnceReleased(self.build_stream_key(request), claim_id)
        await self._submit_ignoring_outage(record)

    async def _submit_ignoring_outage(self, record: model.Record) -> None:
        try:
            await self._stream_client.submit(record, RECORD_TIMEOUT)
        except errors.LogUnavailableError:
            pass  # The key stays claimed, so no request with it can run twice.
