"""Counts of why client sessions ended and of what the listener did with their input."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a client session ended."""

    CLIENT = "client left"
    IDLE = "idle"
    EVICTED = "evicted"
    MALFORMED = "malformed"
    INPUT_TIMEOUT = "input timeout"
    WRITE_TIMEOUT = "write timeout"
    VALUE_BROKEN = "value broken"
    QUIT = "quit"
    SHUTDOWN = "shutdown"
    FAULT = "fault"


# Reasons that operators want to see one by one; the others are only counted.
LOGGED_REASONS = frozenset(
    {CloseReason.WRITE_TIMEOUT, CloseReason.VALUE_BROKEN, CloseReason.INPUT_TIMEOUT, CloseReason.FAULT}
)


class SessionMetrics:
    """Counts since the last periodic log line."""

    def __init__(self) -> None:
        self.closed: dict[str, int] = {}
        self.cancelled_requests = 0  # whose client left before the answer
        self.discarded_commands = 0  # incomplete ones, for lack of memory
        self.dropped_answers = 0  # for lack of memory

    def on_close(self, reason: CloseReason, pending_requests: int) -> None:
        """Count the end of a session, and its requests without an answer."""
        self.closed[reason.value] = self.closed.get(reason.value, 0) + 1
        self.cancelled_requests += pending_requests

    def take(self) -> dict[str, int]:
        """Return the counts by name, without those that are zero, and start again from zero."""
        counts = dict(sorted(self.closed.items()))
        counts["requests cancelled"] = self.cancelled_requests
        counts["commands discarded"] = self.discarded_commands
        counts["answers dropped"] = self.dropped_answers
        self.closed = {}
        self.cancelled_requests = self.discarded_commands = self.dropped_answers = 0
        return {name: count for name, count in counts.items() if count}
