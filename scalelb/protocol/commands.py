"""Parses the bytes of a client to RESP2 commands, which are arrays of bulk strings."""

from __future__ import annotations

from collections.abc import Iterator

from scalelb.protocol import MalformedError
from scalelb.protocol.framing import MAX_COMMAND_BYTES, MAX_LENGTH_HEADER_BYTES, MAX_PARTS, read_length

MIN_PART_BYTES = len(b"$0\r\n\r\n")
MAX_PIECES = 64  # received pieces of a command that are stored one by one: each costs memory of its own


class Command:
    """An array of bulk strings, with the positions of the command and of its parts in the buffer."""

    __slots__ = ("buffer", "end", "spans", "start")

    def __init__(self, buffer: bytes, start: int, end: int, spans: list[tuple[int, int]]) -> None:
        self.buffer, self.start, self.end, self.spans = buffer, start, end, spans

    def __len__(self) -> int:
        return len(self.spans)

    def part(self, index: int) -> memoryview:
        """Return one part as a slice of the buffer."""
        start, end = self.spans[index]
        return memoryview(self.buffer)[start:end]

    @property
    def name(self) -> bytes:
        """The command's name, in upper case."""
        start, end = self.spans[0]
        return self.buffer[start:end].upper()


class CommandReader:
    """Parses the bytes of a client to commands, one at a time.

    `append` adds received bytes and `next_command` takes the next command, so that the caller decides how
    many commands of a chunk it handles at once. An incomplete command can be discarded: its remaining bytes
    are skipped as they arrive.
    """

    __slots__ = ("_data", "_need", "_pieces", "_skipper", "_start", "size")

    def __init__(self) -> None:
        self._data = b""  # what follows `_start` has not been consumed
        self._start = 0
        self._pieces: list[bytes] = []  # received after `_data`
        self._need = 0  # number of bytes below which the next command can't be complete
        self._skipper: CommandSkipper | None = None
        self.size = 0  # bytes that are stored and not consumed

    def feed(self, data: bytes) -> Iterator[Command]:
        """Yield the commands that `data` completes; then raises `MalformedError` if what follows is none."""
        self.append(data)
        while (command := self.next_command()) is not None:
            yield command

    def append(self, data: bytes) -> bool:
        """Add received bytes; return whether they end a command that was discarded.

        Raises `MalformedError` if the rest of a discarded command is malformed."""
        is_end = False
        if self._skipper is not None:
            end = self._skipper.skip(data)
            if end < 0:
                return False
            self._skipper, data, is_end = None, data[end:], True
        if data:
            self._pieces.append(data)
            self.size += len(data)
            if len(self._pieces) > MAX_PIECES:
                self._pieces = [b"".join(self._pieces)]
        return is_end

    def next_command(self) -> Command | None:
        """Return the next command; None if it is not complete. Raises `MalformedError`."""
        if not self.has_next():
            return None
        if self._pieces:
            rest = self._data[self._start :]
            self._data = b"".join((rest, *self._pieces)) if rest or len(self._pieces) > 1 else self._pieces[0]
            self._start = 0
            self._pieces.clear()
        command = read_command(self._data, self._start)
        if isinstance(command, int):
            self._need = command - self._start
            return None
        self.size -= command.end - self._start
        self._start = command.end
        self._need = 0
        if not self.size:
            self._data, self._start = b"", 0
        return command

    def has_next(self) -> bool:
        """Return whether a complete command may be stored."""
        return self.size > 0 and self.size >= self._need

    def is_in_command(self) -> bool:
        """Return whether a part of a command has arrived, and not all of it has been taken."""
        return self.size > 0 or self._skipper is not None

    def discard_command(self) -> int:
        """Discard the incomplete command and return how many bytes of it were stored.

        What is still to come of it is skipped by `append`."""
        data, size = b"".join((self._data[self._start :], *self._pieces)), self.size
        self._skipper = CommandSkipper()
        self._skipper.skip(data)
        self._data, self._start, self._need, self.size = b"", 0, 0, 0
        self._pieces.clear()
        return size


class CommandSkipper:
    """Finds the end of one command without storing its parts."""

    __slots__ = ("_header", "_part_bytes_left", "_parts_left", "_size")

    def __init__(self) -> None:
        self._header = b""  # the part of a length that has arrived
        self._parts_left = -1  # -1: the length of the array has not been read
        self._part_bytes_left = 0
        self._size = 0  # of the parts whose length has been read

    def skip(self, data: bytes) -> int:
        """Return the position behind the command in `data`, or -1 if it does not end there.

        Raises `MalformedError`."""
        position = 0
        while self._parts_left or self._part_bytes_left:
            if self._part_bytes_left:
                step = min(self._part_bytes_left, len(data) - position)
                self._part_bytes_left -= step
                position += step
                if self._part_bytes_left:
                    return -1
                continue
            line_end = data.find(b"\n", position)
            self._header += data[position : line_end + 1 if line_end >= 0 else len(data)]
            if len(self._header) > MAX_LENGTH_HEADER_BYTES:
                raise MalformedError("a length does not end")
            if line_end < 0:
                return -1
            position = line_end + 1
            self._read_header()
        return position

    def _read_header(self) -> None:
        header, self._header = self._header, b""
        expected_type = b"*" if self._parts_left < 0 else b"$"
        if header[:1] != expected_type or header[-2:] != b"\r\n":
            raise MalformedError(f"a length begins with {expected_type!r}, not {header[:1]!r}")
        length = read_length(header, 0, len(header) - 2)
        if self._parts_left < 0:
            if not 1 <= length <= MAX_PARTS:
                raise MalformedError(f"{length} parts in a command")
            self._parts_left = length
            return
        self._size += length
        if self._size > MAX_COMMAND_BYTES:
            raise MalformedError("the command is too long")
        self._parts_left -= 1
        self._part_bytes_left = length + len(b"\r\n")


def read_command(buffer: bytes, start: int) -> Command | int:
    """Return the command at `start`; if it is incomplete, a buffer size below which it can't be complete.

    Raises `MalformedError`."""
    size = len(buffer)
    line_end = _find_length_end(buffer, start, b"*")
    if line_end < 0:
        return size + 1
    count = read_length(buffer, start, line_end)
    if not 1 <= count <= MAX_PARTS:
        raise MalformedError(f"{count} parts in a command")
    spans, offset = [], line_end + 2
    for parts_after in range(count - 1, -1, -1):
        line_end = _find_length_end(buffer, offset, b"$")
        if line_end < 0:
            return max(size + 1, offset + MIN_PART_BYTES * (parts_after + 1))
        part_end = line_end + 2 + read_length(buffer, offset, line_end)
        if part_end - start > MAX_COMMAND_BYTES:
            raise MalformedError("the command is too long")
        if size < part_end + 2:
            return part_end + 2 + MIN_PART_BYTES * parts_after
        if buffer[part_end : part_end + 2] != b"\r\n":
            raise MalformedError("a part is longer than its length says")
        spans.append((line_end + 2, part_end))
        offset = part_end + 2
    return Command(buffer, start, offset, spans)


def _find_length_end(buffer: bytes, start: int, type_byte: bytes) -> int:
    """Return the position of the line end of a length, -1 if it has not arrived."""
    owner = "a command" if type_byte == b"*" else "a part"
    if buffer[start : start + 1] not in (type_byte, b""):
        raise MalformedError(f"{owner} begins with '{type_byte.decode()}', not {buffer[start : start + 1]!r}")
    line_end = buffer.find(b"\r\n", start, start + MAX_LENGTH_HEADER_BYTES)
    if line_end < 0 and len(buffer) - start >= MAX_LENGTH_HEADER_BYTES:
        owner = "the array" if type_byte == b"*" else owner
        raise MalformedError(f"{owner}'s length does not end")
    return line_end
