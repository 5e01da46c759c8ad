"""Error codes, verdicts and exception classes shared by all packages.

Each error response to a caller carries a stable code and a verdict, which says
whether the request may have run. From these the caller can decide on a retry
without knowing which component failed.
"""

from gentianlead.errors._codes import ErrorCode
from gentianlead.errors._exceptions import ConfigurationError
from gentianlead.errors._exceptions import GentianleadError
from gentianlead.errors._exceptions import LogReadExpiredError
from gentianlead.errors._exceptions import LogUnavailableError
from gentianlead.errors._exceptions import ProtocolError
from gentianlead.errors._exceptions import RequestError
from gentianlead.errors._exceptions import SettingsError
from gentianlead.errors._exceptions import WorkerError
from gentianlead.errors._verdict import Verdict

__all__ = [
    "ConfigurationError",
    "ErrorCode",
    "GentianleadError",
    "LogReadExpiredError",
    "LogUnavailableError",
    "ProtocolError",
    "RequestError",
    "SettingsError",
    "Verdict",
    "WorkerError",
]
