"""Silence of a peer, and heartbeats that keep this side from being silent."""

from gentianlead.peers import _handler
from gentianlead.peers import _outgoing

CHECKS_PER_HEARTBEAT = 2
"""Checks of the peer per heartbeat interval. With 2 checks, silence is detected
at most half an interval late."""


class LivenessMonitor:
    """Measures for how long a peer has been silent or has not read.

    A peer does not read while bytes wait to be sent and the operating system
    takes none of them.

    The connection calls `add_elapsed_time` at regular checks. After a pause of
    this daemon, the time since the last check is long, although the peer may
    have sent data during the pause. A check therefore adds at most the time
    between two checks, doubled.
    """

    def __init__(self, started_at: float, settings: _handler.LinkSettings,
                 outgoing_buffer: _outgoing.OutgoingBuffer) -> None:
        self._outgoing_buffer = outgoing_buffer
        self._suspect_limit_seconds = settings.suspect_limit.total_seconds()
        self._silence_limit_seconds = settings.silence_limit.total_seconds()
        self._max_counted_seconds = (
            2 * settings.heartbeat_interval.total_seconds() /
            CHECKS_PER_HEARTBEAT)
        self._last_check_at = started_at
        self._last_unsent_position = outgoing_buffer.unsent_position
        self._has_received_data = False
        self._silent_seconds = 0.0
        self._stalled_write_seconds = 0.0

    def record_received_data(self) -> None:
        """Records that data was received since the last check."""
        self._has_received_data = True

    def add_elapsed_time(self, now: float) -> None:
        """Adds the time since the last check to the time of silence.

        The silence ends when data was received since the last check, and a
        stalled write ends when the operating system has taken bytes.

        Args:
            now: Monotonic time in seconds.
        """
        elapsed_seconds = min(now - self._last_check_at,
                              self._max_counted_seconds)
        self._last_check_at = now
        if self._has_received_data:
            self._silent_seconds = 0.0
        else:
            self._silent_seconds += elapsed_seconds
        self._has_received_data = False
        unsent_position = self._outgoing_buffer.unsent_position
        if (self._outgoing_buffer.unsent_bytes > 0 and
                unsent_position == self._last_unsent_position):
            self._stalled_write_seconds += elapsed_seconds
        else:
            self._stalled_write_seconds = 0.0
        self._last_unsent_position = unsent_position

    @property
    def is_suspect(self) -> bool:
        """Whether the peer sent or read nothing for `suspect_limit`."""
        longest_seconds = max(self._silent_seconds, self._stalled_write_seconds)
        return longest_seconds >= self._suspect_limit_seconds

    @property
    def failure_reason(self) -> str:
        """Why the connection must be closed; empty if it need not be."""
        if self._stalled_write_seconds >= self._silence_limit_seconds:
            return f"stopped reading for {self._silence_limit_seconds} s"
        if self._silent_seconds >= self._silence_limit_seconds:
            return f"was silent for {self._silence_limit_seconds} s"
        return ""


class HeartbeatSchedule:
    """Decides at each check whether a heartbeat has to be sent.

    Any bytes that the operating system takes show the peer that this side runs.
    A heartbeat is sent only when it has taken none for the heartbeat interval,
    measured from the check that found the last ones. The peer thus receives
    something at least once in the interval and the time between two checks.
    """

    def __init__(self, started_at: float, settings: _handler.LinkSettings,
                 outgoing_buffer: _outgoing.OutgoingBuffer) -> None:
        interval_seconds = settings.heartbeat_interval.total_seconds()
        # Half a check less, so that a timer that fires slightly early does not
        # delay the heartbeat by a whole check.
        self._due_seconds = interval_seconds * (1 - 0.5 / CHECKS_PER_HEARTBEAT)
        self._outgoing_buffer = outgoing_buffer
        self._sent_position = 0
        self._sent_at = started_at

    def is_due(self, now: float) -> bool:
        """Returns whether to send a heartbeat; to be called at each check.

        Args:
            now: Monotonic time in seconds.
        """
        unsent_position = self._outgoing_buffer.unsent_position
        if unsent_position > self._sent_position:
            self._sent_position = unsent_position
            self._sent_at = now
        return now - self._sent_at >= self._due_seconds

    def record_heartbeat(self, now: float) -> None:
        """Records that a heartbeat was written at a check.

        The next check does not take its bytes for other data.
        """
        self._sent_position = self._outgoing_buffer.written_bytes
        self._sent_at = now
