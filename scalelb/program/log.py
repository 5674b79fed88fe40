"""The log: one JSON line an event, on standard error."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

import orjson

FD = 2
MOST = 20  # lines of one event in a second


def log(event: str, level: str = "info", **fields: Any) -> None:
    """Write one event."""
    line = {"at": round(time.time(), 3), "level": level, "event": event, **fields}
    try:
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:  # guards the program: a value that JSON has no form for is logged as text
        data = orjson.dumps({name: _as_utf8(value) for name, value in line.items()}) + b"\n"
    try:
        os.write(FD, data)
    except OSError:  # guards the program against a log that is full or closed
        return


def _as_utf8(value: Any) -> str:
    """A value as text, with an escape for whatever UTF-8 has no form for, as in a path of other bytes."""
    return str(value).encode("utf-8", "backslashreplace").decode()


class Bounded:
    """A log that others cannot fill: at most so many lines of one event in a second.  The next line of it
    says how many were left out."""

    def __init__(
        self, write: Callable[..., None] = log, clock: Callable[[], float] = time.monotonic, most: int = MOST
    ) -> None:
        self.write, self.clock, self.most = write, clock, most
        self.second = 0
        self.written: dict[str, int] = {}
        self.left_out: dict[str, int] = {}

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one event, unless there were too many of its kind."""
        if (second := int(self.clock())) != self.second:
            self.second = second
            self.written.clear()
        count = self.written[event] = self.written.get(event, 0) + 1
        if count > self.most:
            self.left_out[event] = self.left_out.get(event, 0) + 1
            return
        if left_out := self.left_out.pop(event, 0):
            fields["left_out"] = left_out
        self.write(event, level, **fields)
