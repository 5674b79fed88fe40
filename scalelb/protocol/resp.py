"""RESP2 codec: commands of clients, replies of backends.

Parsed messages are not copied: they are slices of the buffer in which they arrived. Code that keeps one for
later has to copy it, as `Call.read` does once.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from scalelb.protocol import MalformedError
from scalelb.protocol.commands import Command as Command
from scalelb.protocol.commands import CommandReader as CommandReader
from scalelb.protocol.commands import read_command as read_command
from scalelb.protocol.framing import MAX_BUFFERED_VALUE_BYTES as MAX_BUFFERED_VALUE_BYTES
from scalelb.protocol.framing import MAX_COMMAND_BYTES as MAX_COMMAND_BYTES
from scalelb.protocol.framing import MAX_LENGTH_HEADER_BYTES, MAX_PARTS, read_length
from scalelb.protocol.headers import MAX_IDEMPOTENCY_KEY_LENGTH, read_tenant

HEX16 = re.compile(rb"[0-9a-fA-F]{16}")
INTEGER = re.compile(rb"[0-9]{1,9}")
LOAD_REPORT_ITEM = re.compile(rb"([A-Za-z_]{1,32})=([0-9]{1,12}(?:\.[0-9]{1,18})?(?:[eE][-+]?[0-9]{1,2})?)")
MAX_LOAD_REPORT_VALUE = 1e9
USAGE_NAME = re.compile(rb"(?:^|,)(?:used|cost)=")
MAX_USAGE_BYTES = 256
PLAIN_DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
ERROR_LINE = re.compile(rb"-[A-Z]+(?: [ -~]*)?")  # as backends write it
MAX_VALUE_LIST_BYTES = 1024  # of the list of values in a call
MAX_STREAMED_VALUE_BYTES = 4 * 1024 * 1024
STREAMED_REPLY_HEAD = re.compile(rb"\*3\r\n\$([0-9]{1,9})\r\n")  # start of a reply, up to its value
MAX_REPLY_BYTES = MAX_BUFFERED_VALUE_BYTES + 16 * 1024  # of a reply; a streamed value does not count
MAX_NESTING_DEPTH = 2
REPLY_ELEMENTS = 3  # value, usage figures, load report
MAX_LINE_BYTES = 1024

PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"
INFO_LOAD = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"
CALL_GET, CALL_POST = b"CALL.GET", b"CALL.POST"


def error(message: str) -> bytes:
    """Return an error line; line breaks in the message become spaces, so that it stays one line."""
    return b"-ERR " + message.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ") + b"\r\n"


def busy(retry_after_ms: float = 0.0) -> bytes:
    """Return a rejection, with the Retry-After time if that is at least 1 ms."""
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms >= 1 else b"-BUSY\r\n"


def _read_integer(values: dict[bytes, bytes], name: bytes) -> int:
    """Return a value as an integer of ASCII digits, for the reason given at `headers.read_integer`."""
    if INTEGER.fullmatch(value := values[name]) is None:
        raise ValueError(name)
    return int(value)


@dataclass(slots=True)
class Call:
    """A client's request, copied out of the buffer so that it can be forwarded later."""

    request_id: bytes
    tenant: str
    class_name: str
    plan_name: str
    expires_in_ms: float  # time until the client gives up
    units: float
    sharing_limiters: int  # number of limiters that share the tenant's requests
    first_limiter: int  # index of the first of these
    idempotency_key: str  # empty: none
    is_retry: bool
    raw: bytes  # the command as received; the fields below are positions in it
    list_header_start: int  # where the length of the list of values starts
    list_start: int  # where the list itself starts
    list_end: int
    timeout_start: int  # where the digits of `d` start in the list
    timeout_end: int

    @classmethod
    def read(cls, command: Command) -> Call:
        """Check a `CALL.GET` or `CALL.POST` and copy it; raises `MalformedError`."""
        if not 4 <= len(command) <= 5:
            raise MalformedError(f"a call of {len(command)} parts")
        tenant = read_tenant(str(command.part(1), "latin-1"))
        request_id = bytes(command.part(2))
        if HEX16.fullmatch(request_id) is None:
            raise MalformedError("the id is not 16 hex digits")
        start, (list_start, list_end) = command.start, command.spans[3]
        if list_end - list_start > MAX_VALUE_LIST_BYTES:
            raise MalformedError("the list of values is too long")
        values: dict[bytes, bytes] = {}
        timeout_start, item_start = 0, list_start
        for item in command.buffer[list_start:list_end].split(b","):
            name, separator, value = item.partition(b"=")
            if not separator or name in values:
                raise MalformedError(f"value {item[:40]!r} has no name or comes twice")
            values[name] = value
            if name == b"d":
                timeout_start = item_start + 2
            item_start += len(item) + 1
        try:
            expires_in_ms = _read_integer(values, b"d")
            call = cls(
                request_id=request_id.lower(),
                tenant=tenant,
                class_name=values[b"c"].decode(),
                plan_name=values[b"t"].decode(),
                expires_in_ms=float(expires_in_ms),
                units=float(_read_integer(values, b"units")),
                sharing_limiters=_read_integer(values, b"spread"),
                first_limiter=_read_integer(values, b"first"),
                idempotency_key=values.get(b"k", b"").decode(),
                is_retry=values.get(b"r") == b"1",
                raw=command.buffer[start : command.end],
                list_header_start=command.spans[2][1] + 2 - start,
                list_start=list_start - start,
                list_end=list_end - start,
                timeout_start=timeout_start - start,
                timeout_end=timeout_start + len(values[b"d"]) - start,
            )
        except KeyError as missing:
            raise MalformedError(f"value {missing.args[0].decode()!r} is missing") from None
        except ValueError:
            raise MalformedError("a value is not of its kind") from None
        if (
            expires_in_ms < 1
            or values.get(b"r", b"0") not in (b"0", b"1")
            or len(call.idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH
        ):
            raise MalformedError("a value is out of range")
        return call

    def forwarded_command(self, timeout_ms: int) -> bytes:
        """Return the command for a backend: as received, but with the timeout of this attempt as `d`."""
        raw, timeout = self.raw, b"%d" % max(1, timeout_ms)
        list_size = self.list_end - self.list_start + len(timeout) - (self.timeout_end - self.timeout_start)
        before, after = raw[self.list_start : self.timeout_start], raw[self.timeout_end :]
        return b"".join((raw[: self.list_header_start], b"$%d\r\n" % list_size, before, timeout, after))


@dataclass(frozen=True, slots=True)
class UsageFigures:
    """Usage figures that a backend reported in its reply."""

    used_percent: float | None = None  # of the tenant's quota, by all limiters, in the last complete period
    true_units: float = 0.0  # replace the estimated units; 0: not reported


NO_USAGE = UsageFigures()


class Reply:
    """A backend's reply.

    `value` is the bulk string with its length, as a slice of the buffer; `usage` and `report` are the texts
    of the usage figures and of the load report, empty if there is none."""

    __slots__ = ("end", "line", "report", "usage", "value")

    def __init__(
        self, end: int, value: memoryview | None, line: bytes, report: bytes = b"", usage: bytes = b""
    ) -> None:
        self.end, self.value, self.line, self.report, self.usage = end, value, line, report, usage


class ReplyReader:
    """Parses the bytes of a backend up to the end of the one outstanding reply.

    A value above `MAX_BUFFERED_VALUE_BYTES` is streamed and never buffered in full: `begin_streaming` returns
    its first bytes, `split_streamed` separates its next bytes from those after it, and `read` returns a reply
    whose value is only the line end of the streamed one.
    """

    __slots__ = ("has_extra_bytes", "reads_streamed_end", "received", "streamed_bytes_left")

    def __init__(self) -> None:
        self.received = b""  # what is not part of a message that was returned
        self.has_extra_bytes = False  # whether bytes after the outstanding reply have arrived
        self.streamed_bytes_left = 0  # bytes of the streamed value that have not arrived yet
        # True from the start of a streamed value until the end of its reply has been read.
        self.reads_streamed_end = False

    def begin_streaming(self) -> bytes | None:
        """Return the received bytes of a long value, its length included; None if no such value has begun."""
        received = self.received
        if self.reads_streamed_end or (match := _match_streamed_reply(received)) is None:
            return None
        value_end = match.end() + int(match[1])
        self.received = received[value_end:]
        self.streamed_bytes_left = max(0, value_end - len(received))
        self.reads_streamed_end = True
        return received[match.start(1) - 1 : value_end]

    def split_streamed(self, data: bytes) -> tuple[memoryview, bytes]:
        """Return the bytes of `data` that belong to the streamed value, and those after it."""
        piece = memoryview(data)[: self.streamed_bytes_left]
        rest = data[self.streamed_bytes_left :]
        self.streamed_bytes_left -= len(piece)
        return piece, rest

    def read(self, data: bytes) -> Reply | None:
        """Return the reply if it is complete.

        Bytes after it are not parsed: they belong to no request. Raises `MalformedError`."""
        buffer = self.received + data if self.received else data
        if not buffer:
            return None
        reply = read_streamed_reply_end(buffer) if self.reads_streamed_end else read_reply(buffer, 0)
        if reply is not None:
            self.reads_streamed_end = False
        else:
            if len(buffer) > MAX_REPLY_BYTES and (
                self.reads_streamed_end or _match_streamed_reply(buffer) is None
            ):
                raise MalformedError("the reply is too long")
            self.received = buffer
            return None
        self.has_extra_bytes = reply.end < len(buffer)
        self.received = b""
        return reply


def _match_streamed_reply(received: bytes) -> re.Match[bytes] | None:
    """Match the head of a reply whose value has to be streamed; None if there is no such head."""
    match = STREAMED_REPLY_HEAD.match(received)
    return (
        match
        if match is not None and MAX_BUFFERED_VALUE_BYTES < int(match[1]) <= MAX_STREAMED_VALUE_BYTES
        else None
    )


def _read_bulk_string(buffer: bytes, start: int) -> tuple[int, int, int] | None:
    """Return where a bulk string's content starts (-1: null) and ends, and where the next element starts.

    Returns None while the string is incomplete. Raises `MalformedError` at the first invalid byte, so that
    nothing waits for the rest of a reply that can't become valid."""
    if start >= len(buffer):
        return None
    if buffer[start] not in b"$_":
        raise MalformedError(f"a reply holds {buffer[start : start + 1]!r}")
    line_end = buffer.find(b"\r\n", start, start + MAX_LENGTH_HEADER_BYTES)
    if line_end < 0:
        if len(buffer) - start >= MAX_LENGTH_HEADER_BYTES:
            raise MalformedError("a length in a reply does not end")
        return None
    content = line_end + 2
    if buffer[start:line_end] in (b"_", b"$-1"):
        return -1, -1, content
    length = read_length(buffer, start, line_end)
    if length > MAX_STREAMED_VALUE_BYTES:
        raise MalformedError("the value is too long")
    if len(buffer) < content + length + 2:
        return None
    if buffer[content + length : content + length + 2] != b"\r\n":
        raise MalformedError("a value is longer than its length says")
    return content, content + length, content + length + 2


def _read_extra_element(buffer: bytes, start: int, depth: int = 0) -> tuple[int, int, int] | None:
    """Read an element after the value, with the result of `_read_bulk_string`.

    An element of another type counts as null, so that the value of the reply remains usable."""
    if start >= len(buffer) or buffer[start] not in b":+,#*":
        return _read_bulk_string(buffer, start)
    line_end = buffer.find(b"\r\n", start, start + MAX_LINE_BYTES)
    if line_end < 0:
        if len(buffer) - start >= MAX_LINE_BYTES:
            raise MalformedError("a line of a reply does not end")
        return None
    offset = line_end + 2
    if buffer[start] == 42 and buffer[start:line_end] != b"*-1":
        if (count := read_length(buffer, start, line_end)) > MAX_PARTS or depth >= MAX_NESTING_DEPTH:
            raise MalformedError(f"{count} elements in a reply")
        for _ in range(count):
            if (inner := _read_extra_element(buffer, offset, depth + 1)) is None:
                return None
            offset = inner[2]
    return -1, -1, offset


def read_reply(buffer: bytes, start: int) -> Reply | None:
    """Return the reply at `start`; None if it is incomplete.

    It is an array of value, usage figures and load report, or an error line; the reply to a health check is
    a bulk string or a status line. Raises `MalformedError`."""
    type_byte = buffer[start]
    if type_byte in b"-+":
        end = buffer.find(b"\r\n", start, start + MAX_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= MAX_LINE_BYTES:
                raise MalformedError("a line of a reply does not end")
            return None
        if type_byte == 45 and ERROR_LINE.fullmatch(buffer, start, end) is None:
            raise MalformedError("an error line can't be read")
        return Reply(end + 2, None, buffer[start:end])
    if type_byte != 42:  # *
        element = _read_bulk_string(buffer, start)
        if element is None:
            return None
        begin, _, after = element
        return Reply(after, memoryview(buffer)[start:after] if begin >= 0 else None, b"$")
    end = buffer.find(b"\r\n", start, start + MAX_LENGTH_HEADER_BYTES)
    if end < 0:
        if len(buffer) - start >= MAX_LENGTH_HEADER_BYTES:
            raise MalformedError("the reply's length does not end")
        return None
    if (count := read_length(buffer, start, end)) != REPLY_ELEMENTS:
        raise MalformedError(f"{count} elements in a reply")
    offset, value, usage, report = end + 2, None, b"", b""
    for index in range(count):
        if (element := (_read_extra_element if index else _read_bulk_string)(buffer, offset)) is None:
            return None
        begin, end, after = element
        if index == 0:
            if begin < 0:
                raise MalformedError("a reply without a value")
            value = memoryview(buffer)[offset:after]
        elif begin >= 0 and index == 1:
            usage = buffer[begin:end]
        elif begin >= 0:
            report = buffer[begin:end]
        offset = after
    return Reply(offset, value, b"", report, usage)


def read_streamed_reply_end(buffer: bytes) -> Reply | None:
    """Return what follows a streamed value: its line end, as the value of this reply, usage figures and load
    report; None if that is incomplete. Raises `MalformedError`."""
    if buffer[:2] != b"\r\n"[: len(buffer)]:
        raise MalformedError("a value is longer than its length says")
    offset, texts = 2, [b"", b""]
    for index in range(REPLY_ELEMENTS - 1):
        if (element := _read_extra_element(buffer, offset)) is None:
            return None
        begin, end, offset = element
        if begin >= 0:
            texts[index] = buffer[begin:end]
    usage, report = texts
    return Reply(offset, memoryview(buffer)[:2], b"", report, usage)


def read_usage(text: bytes) -> UsageFigures:
    """Parse usage figures such as `used=37,cost=4`.

    Unknown names are skipped. A figure that is not a plain decimal number, or that occurs twice, counts as
    not reported."""
    if len(text) > MAX_USAGE_BYTES:
        return NO_USAGE
    figures: dict[bytes, float | None] = {}
    for item in text.split(b","):
        name, _, figure = item.partition(b"=")
        if name == b"used" or name == b"cost":
            is_valid = name not in figures and PLAIN_DECIMAL.fullmatch(figure) is not None
            figures[name] = float(figure) if is_valid else None
    return UsageFigures(figures.get(b"used"), figures.get(b"cost") or 0.0)


def read_error_line(line: bytes) -> tuple[bytes, bytes]:
    """Return the texts of the usage figures and of the load report in an error line, empty if there is none.

    Each is one word. Usage figures are recognised by their names; the load report is the last word."""
    words = line.split(b" ")[1:] if b"=" in line else []
    usage = [word for word in words if USAGE_NAME.search(word) is not None]
    report = words[-1] if words and words[-1] not in usage else b""
    return usage[0] if len(usage) == 1 else b"", report


def read_report(text: bytes) -> dict[str, float]:
    """Parse a load report such as `inflight=7,queue=2`.

    A report with a fault in any item counts as empty, so that the earlier load stays valid."""
    report = {}
    for item in text.split(b",") if len(text) <= MAX_LINE_BYTES else [text]:
        match = LOAD_REPORT_ITEM.fullmatch(item)
        if match is None or not (value := float(match[2])) <= MAX_LOAD_REPORT_VALUE:
            return {}
        report[match[1].decode("ascii")] = value
    return report
