"""Exception classes of the project, each with a stable error code."""

from gentianlead.errors import _codes
from gentianlead.errors import _verdict


class GentianleadError(Exception):
    """Base class of the exceptions that carry an error code.

    Attributes:
        code: Error code of the exception.
    """

    code = _codes.ErrorCode.INTERNAL


class RequestError(GentianleadError):
    """A request of a caller, or one attempt to serve it, failed.

    Attributes:
        code: Error code for the response.
        verdict: Whether the request may have run.
    """

    def __init__(self,
                 code: _codes.ErrorCode,
                 message: str,
                 verdict: _verdict.Verdict = _verdict.Verdict.DID_NOT_RUN):
        super().__init__(message)
        self.code = code
        self.verdict = verdict


class ConfigurationError(GentianleadError):
    """A patch operation is malformed or does not apply to its base version."""

    code = _codes.ErrorCode.PATCH_INVALID


class LogUnavailableError(GentianleadError):
    """The log service gave no usable reply; an append may have taken effect."""

    code = _codes.ErrorCode.LOG_UNAVAILABLE


class LogReadExpiredError(GentianleadError):
    """A read starts at an offset that the log no longer retains.

    Attributes:
        earliest_offset: Earliest retained offset of the stream.
        next_offset: Offset that the next appended record will get.
    """

    code = _codes.ErrorCode.LOG_RECORD_EXPIRED

    def __init__(self, stream: str, requested_offset: int, earliest_offset: int,
                 next_offset: int):
        super().__init__(
            f"stream {stream!r}: offset {requested_offset} has expired, "
            f"earliest retained offset is {earliest_offset}")
        self.earliest_offset = earliest_offset
        self.next_offset = next_offset


class ProtocolError(GentianleadError):
    """Input from outside the process is malformed, too large or unknown."""

    code = _codes.ErrorCode.PROTOCOL_ERROR


class SettingsError(GentianleadError):
    """A setting is missing, malformed or outside its allowed range."""

    code = _codes.ErrorCode.SETTINGS_INVALID


class WorkerError(GentianleadError):
    """A call to a worker failed.

    Attributes:
        verdict: Whether the call may have taken effect at the worker.
    """

    code = _codes.ErrorCode.WORKER_FAILED

    def __init__(self, message: str, verdict: _verdict.Verdict):
        super().__init__(message)
        self.verdict = verdict
