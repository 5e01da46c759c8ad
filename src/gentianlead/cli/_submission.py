"""Sends patches, jobs and cancellations until their outcome is known."""

import abc
import asyncio
import enum
from typing import Any, NamedTuple

from gentianlead import errors
from gentianlead.cli import _client

_FIRST_RETRY_DELAY_SECONDS = 0.1
_MAX_RETRY_DELAY_SECONDS = 1.0


class SubmissionOutcome(enum.Enum):
    """What is known about a change when the tool stops sending it."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    NOT_SENT = "not-sent"


class SubmissionResult(NamedTuple):
    """Outcome of a change, with the reply or error that shows it.

    Attributes:
        outcome: Whether the change was accepted, as far as is known.
        reply: Reply of the server that knew the outcome; empty if none did.
        reason: Why the change was rejected, or why the outcome is unknown.
        error: Error reply that rejected the change, if there was one.
    """

    outcome: SubmissionOutcome
    reply: dict[str, Any]
    reason: str = ""
    error: _client.ReplyError | None = None


class Submission(abc.ABC):
    """A change that servers recognize by its identifier.

    Sending a change again with the same identifier has no second effect.
    Therefore it is sent again whenever no server knows its identifier.

    Attributes:
        final_refusal_codes: Error codes which show that the change did not take
            effect, even if it was sent before and the reply was lost. After
            any other error code its outcome is still unknown.
    """

    final_refusal_codes: frozenset[errors.ErrorCode] = frozenset()

    def __init__(self, client: _client.OperatorClient, path: str,
                 body: dict[str, Any]):
        self._client = client
        self._path = path
        self._body = body
        self._may_have_run = False
        self._last_failure = ""

    @abc.abstractmethod
    async def query_outcome(self, server: str = "") -> SubmissionResult | None:
        """Queries the outcome of a change that was sent before.

        Args:
            server: Base URL of the only server to query; empty for any server.

        Returns:
            The outcome, or None when the server does not know it.

        Raises:
            UnreachableError: No server replied.
            ReplyError: A server refused the query.
        """

    def parse_outcome(self, reply: dict[str, Any]) -> SubmissionResult | None:
        """Returns the outcome in a successful reply, or None without one."""
        return SubmissionResult(SubmissionOutcome.ACCEPTED, reply)

    def is_final_refusal(self, error: _client.ReplyError) -> bool:
        """Returns whether an error rules out that the change took effect."""
        return error.code in self.final_refusal_codes

    async def send_until_resolved(self) -> SubmissionResult:
        """Sends the change and returns its outcome.

        A change that certainly reached no server is not sent again, and its
        outcome is `NOT_SENT`. An interruption by the user gives
        `UNKNOWN`, so that the identifier is displayed.
        """
        try:
            return await self._submit_until_resolved()
        except asyncio.CancelledError:
            return SubmissionResult(SubmissionOutcome.UNKNOWN, {},
                                    "interrupted")

    async def _submit_until_resolved(self) -> SubmissionResult:
        delay = _FIRST_RETRY_DELAY_SECONDS
        while True:
            resolution = await self._send_change(
            ) or await self._query_outcome_if_sent()
            if resolution is not None:
                return resolution
            if not self._may_have_run:
                return SubmissionResult(SubmissionOutcome.NOT_SENT, {},
                                        self._last_failure)
            if self._client.remaining_seconds <= delay:
                return SubmissionResult(SubmissionOutcome.UNKNOWN, {},
                                        self._last_failure)
            await asyncio.sleep(delay)
            delay = min(2 * delay, _MAX_RETRY_DELAY_SECONDS)

    async def _send_change(self) -> SubmissionResult | None:
        try:
            reply = await self._client.post(self._path, self._body)
            # A reply without the outcome is handled like a lost reply.
            self._may_have_run = True
            self._last_failure = "the reply does not tell the outcome"
            return self.parse_outcome(reply)
        except _client.LostReplyError as error:
            self._may_have_run = True
            self._last_failure = str(error)
        except _client.UnreachableError as error:
            self._last_failure = str(error)
        except _client.ReplyError as error:
            if error.verdict is errors.Verdict.MAY_HAVE_RUN:
                self._may_have_run = True
                self._last_failure = str(error)
                return None
            return await self._check_refusal(error)
        return None

    async def _check_refusal(
            self, error: _client.ReplyError) -> SubmissionResult | None:
        """Returns the outcome after a server refused the change.

        A server may refuse a change that is sent again just because it took
        effect the first time, for example with a version conflict. The same
        server is queried, because others may not have read the change yet.
        """
        if self._may_have_run:
            try:
                earlier = await self.query_outcome(error.server)
            except (_client.UnreachableError, _client.ReplyError) as failure:
                self._last_failure = str(failure)
                return None
            if earlier is not None or not self.is_final_refusal(error):
                self._last_failure = str(error)
                return earlier
        return SubmissionResult(SubmissionOutcome.REJECTED, error.document,
                                str(error), error)

    async def _query_outcome_if_sent(self) -> SubmissionResult | None:
        if not self._may_have_run:
            return None
        try:
            return await self.query_outcome()
        except (_client.UnreachableError, _client.ReplyError) as error:
            self._last_failure = str(error)
            return None


class PatchSubmission(Submission):
    """A configuration patch; the body is that of `POST /v1/config/patches`."""

    final_refusal_codes = frozenset({errors.ErrorCode.PATCH_INVALID})

    def __init__(self, client: _client.OperatorClient, body: dict[str, Any]):
        super().__init__(client, "/v1/config/patches", body)
        self._patch_path = f"{self._path}/{_client.quote(body['patch_id'])}"

    async def query_outcome(self, server: str = "") -> SubmissionResult | None:
        try:
            reply = await self._client.get(self._patch_path, server)
        except _client.ReplyError as error:
            if error.is_not_found:
                return None
            raise
        return self.parse_outcome(reply)

    def parse_outcome(self, reply: dict[str, Any]) -> SubmissionResult | None:
        if not isinstance(reply.get("version"), int):
            return None
        if reply.get("accepted") is True:
            return SubmissionResult(SubmissionOutcome.ACCEPTED, reply)
        if reply.get("accepted") is False:
            return SubmissionResult(SubmissionOutcome.REJECTED, reply,
                                    str(reply.get("reason", "")))
        return None

    def is_final_refusal(self, error: _client.ReplyError) -> bool:
        if not error.is_conflict:
            return super().is_final_refusal(error)
        # A server that has not yet read the base version refuses the patch,
        # although the patch as sent before may still be accepted.
        current = error.document.get("current_version")
        return isinstance(current, int) and current > self._body["base_version"]


class JobSubmission(Submission):
    """A job; the body is that of `POST /v1/jobs`."""

    final_refusal_codes = frozenset({errors.ErrorCode.JOB_ID_CONFLICT})

    def __init__(self, client: _client.OperatorClient, body: dict[str, Any],
                 has_generated_id: bool):
        super().__init__(client, "/v1/jobs", body)
        self._has_generated_id = has_generated_id

    async def query_outcome(self, server: str = "") -> SubmissionResult | None:
        path = f"{self._path}/{_client.quote(self._body['job_id'])}"
        try:
            reply = await self._client.get(path, server)
        except _client.ReplyError as error:
            if error.is_not_found:
                return None
            raise
        if self._has_generated_id:
            return SubmissionResult(SubmissionOutcome.ACCEPTED, reply)
        # Another job with the same id may exist. Sending the job again shows
        # whether the content is the same.
        return None


class CancelSubmission(Submission):
    """The cancellation of a job; it may be sent any number of times."""

    final_refusal_codes = frozenset({errors.ErrorCode.JOB_ENDED})

    def __init__(self, client: _client.OperatorClient, job_id: str):
        self._job_path = f"/v1/jobs/{_client.quote(job_id)}"
        super().__init__(client, f"{self._job_path}/cancel", {})

    async def query_outcome(self, server: str = "") -> SubmissionResult | None:
        reply = await self._client.get(self._job_path, server)
        if reply.get("state") == "cancelled":
            return SubmissionResult(SubmissionOutcome.ACCEPTED, reply)
        return None
