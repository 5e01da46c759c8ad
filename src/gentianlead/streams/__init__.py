"""Clients that read the streams of a `LogService` and append to them.

Example:
    >>> client = StreamClient("config", state_machine, log, clock, "entry-1#ab")
    >>> result = await client.submit(record, datetime.timedelta(seconds=5))
    >>> result.verdict.is_accepted
    True
"""

from gentianlead.streams._appender import AppendUnresolvedError
from gentianlead.streams._appender import StreamAppender
from gentianlead.streams._client import StreamClient
from gentianlead.streams._client import StreamObserver
from gentianlead.streams._snapshots import SnapshotPolicy

__all__ = [
    "AppendUnresolvedError",
    "SnapshotPolicy",
    "StreamAppender",
    "StreamClient",
    "StreamObserver",
]
