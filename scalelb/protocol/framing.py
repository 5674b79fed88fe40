"""Framing that RESP2 commands and replies share: lengths, limits, and a buffer for split messages."""

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


class Buffer:
    """Collects received bytes until a message may be complete; joins pieces only if a message was split."""

    __slots__ = ("need", "pieces", "size")

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.size = 0
        self.need = 0  # number of bytes below which no message can be complete

    def append(self, data: bytes) -> bytes | None:
        """Return all bytes, `data` included; None while no message can be complete."""
        self.size += len(data)
        if self.size < self.need:
            self.pieces.append(data)
            return None
        if self.pieces:
            self.pieces.append(data)
            data = b"".join(self.pieces)
            self.pieces.clear()
        return data

    def put_back(self, data: bytes, start: int, need: int) -> None:
        """Store what was not consumed, from `start`, and the number of bytes that a message needs."""
        self.size, self.need = len(data) - start, need
        if self.size:
            self.pieces.append(data[start:] if start else data)
