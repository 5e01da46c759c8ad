"""Idempotency keys: one-time requests are recorded before they are sent.

A one-time request is not idempotent and has an idempotency key. It must run at
most once, however often the caller sends it.
"""

import datetime

from gentianlead import errors
from gentianlead import model
from gentianlead import state
from gentianlead import streams
from gentianlead.gateway import _messages

RECORD_TIMEOUT = datetime.timedelta(seconds=60)
"""How long to try to record a response or a released key in the log."""


class IdempotencyKeyGuard:
    """Ensures that only one request with a given idempotency key is run.

    The keys in use are recorded in the `once` stream of the log, so that all
    daemons know them. Requests to different services may use the same key.

    Args:
        client: Client of the `once` stream.
    """

    def __init__(self, stream_client: streams.StreamClient):
        self._stream_client = stream_client

    @property
    def _fold(self) -> state.OnceFold:
        fold = self._stream_client.replica.fold
        assert isinstance(fold, state.OnceFold)
        return fold

    @staticmethod
    def build_stream_key(request: _messages.CallerRequest) -> str:
        """Returns the key that a request has in the stream.

        It contains the service, as each service has its own keys.
        """
        return (f"{len(request.service)}:{request.service}:"
                f"{request.idempotency_key}")

    async def claim_key(self, request: _messages.CallerRequest,
                        claim_id: str) -> None:
        """Claims the idempotency key of a request before the request is sent.

        Args:
            request: The request.
            claim_id: Identifier of the claim, unique among all daemons. The
                caller's request identifier is not suitable: a repeated request
                has the same one, and the release of a refused copy would free
                the key of the copy that runs.

        Raises:
            RequestError: Another request has claimed the key, or the log did
                not confirm the claim. The request must not be sent.
        """
        if not self._stream_client.is_ready():
            raise errors.RequestError(
                errors.ErrorCode.NOT_READY,
                "the record of one-time requests is not complete yet")
        stream_key = self.build_stream_key(request)
        existing_entry = self._fold.get(stream_key)
        if existing_entry is not None:
            raise self._build_refusal(existing_entry)
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
            existing_entry = self._fold.get(stream_key)
            raise self._build_refusal(existing_entry or state.OnceEntry("", ""))

    @staticmethod
    def _build_refusal(entry: state.OnceEntry) -> errors.RequestError:
        verdict = errors.Verdict.MAY_HAVE_RUN
        message = "a request with this idempotency key has begun"
        if entry.status:
            verdict = errors.Verdict.RAN
            message = (f"a request with this idempotency key was answered "
                       f"with status {entry.status}")
        return errors.RequestError(errors.ErrorCode.ONE_TIME_ALREADY_BEGUN,
                                   message, verdict)

    async def record_response(self, request: _messages.CallerRequest,
                              claim_id: str, status: int) -> None:
        """Records the status of the response.

        A failure is ignored: the key stays claimed, only the status is missing.
        """
        record = model.OnceEnded(self.build_stream_key(request), claim_id,
                                 status)
        await self._submit_ignoring_outage(record)

    async def release_key(self, request: _messages.CallerRequest,
                          claim_id: str) -> None:
        """Releases the key of a request that certainly did not run."""
        record = model.OnceReleased(self.build_stream_key(request), claim_id)
        await self._submit_ignoring_outage(record)

    async def _submit_ignoring_outage(self, record: model.Record) -> None:
        try:
            await self._stream_client.submit(record, RECORD_TIMEOUT)
        except errors.LogUnavailableError:
            pass  # The key stays claimed, so no request with it can run twice.
