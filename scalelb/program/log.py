"""Structured logging: each event is one line of JSON on standard error."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

import orjson

STDERR_FD = 2
MAX_LINES_PER_SECOND = 20  # Limit for lines of the same event.


def log(event: str, level: str = "info", **fields: Any) -> None:
    """Write one event."""
    line = {"at": round(time.time(), 3), "level": level, "event": event, **fields}
    try:
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:  # A value that JSON can't represent is logged as text instead of raising.
        data = orjson.dumps({name: _as_utf8(value) for name, value in line.items()}) + b"\n"
    try:
        os.write(STDERR_FD, data)
    except OSError:  # A log that is full or closed must not stop the program.
        return


def _as_utf8(value: Any) -> str:
    """Convert a value to text, with escapes for what UTF-8 can't encode, such as a path of other bytes."""
    return str(value).encode("utf-8", "backslashreplace").decode()


class RateLimitedLog:
    """A log with a limit on the lines of each event per second, so that clients and peers cannot fill it.

    The next line of an event reports how many were dropped."""

    def __init__(
        self,
        write: Callable[..., None] = log,
        clock: Callable[[], float] = time.monotonic,
        max_lines: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self.write, self.clock, self.max_lines = write, clock, max_lines
        self.current_second = 0
        self.written_counts: dict[str, int] = {}
        self.dropped_counts: dict[str, int] = {}

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one event, unless the limit for it is reached."""
        if (current_second := int(self.clock())) != self.current_second:
            self.current_second = current_second
            self.written_counts.clear()
        count = self.written_counts[event] = self.written_counts.get(event, 0) + 1
        if count > self.max_lines:
            self.dropped_counts[event] = self.dropped_counts.get(event, 0) + 1
            return
        if dropped_count := self.dropped_counts.pop(event, 0):
            fields["left_out"] = dropped_count
        self.write(event, level, **fields)
