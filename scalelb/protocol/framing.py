"""Framing that RESP2 commands and replies share: lengths and limits."""

from __future__ import annotations

from scalelb.protocol import MalformedError

MAX_BUFFERED_VALUE_BYTES = 64 * 1024  # a longer value of a reply is streamed
MAX_PARTS = 16  # parts of a command, elements of a nested array
MAX_COMMAND_BYTES = MAX_BUFFERED_VALUE_BYTES + 4096
MAX_LENGTH_HEADER_BYTES = 16  # type byte, digits and line end of a length


def read_length(buffer: bytes, start: int, end: int) -> int:
    """Return the number between the type byte at `start` and `end`."""
    digits = buffer[start + 1 : end]
    if not digits.isdigit() or len(digits) > MAX_LENGTH_HEADER_BYTES:
        raise MalformedError(f"length {digits[:20]!r} is not a number")
    return int(digits)
