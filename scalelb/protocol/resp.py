"""RESP2: commands of clients, replies of backends.

What is read stays where it is: a message is a slice of the buffer it came in.  Whoever keeps one for later
copies it (`Call.read` does, once).
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from scalelb.protocol import MalformedError
from scalelb.protocol.headers import KEY_MOST, read_customer

HEX16 = re.compile(rb"[0-9a-fA-F]{16}")
WHOLE = re.compile(rb"[0-9]{1,9}")
FIGURE = re.compile(rb"([A-Za-z_]{1,32})=([0-9]{1,12}(?:\.[0-9]{1,18})?(?:[eE][-+]?[0-9]{1,2})?)")
FIGURE_MOST = 1e9  # of a report
USAGE_NAME = re.compile(rb"(?:^|,)(?:used|cost)=")
USAGE_BYTES_MOST = 256  # of the figures on use
PLAIN_DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
LINE = re.compile(rb"-[A-Z]+(?: [ -~]*)?")  # an error line as backends write them
LIST_MOST = 1024  # of a call's values
MAX_BUFFERED_VALUE_BYTES = 64 * 1024  # that is read whole
MAX_STREAMED_VALUE_BYTES = 4 * 1024 * 1024  # that is passed on while it comes
FLOW_HEAD = re.compile(rb"\*3\r\n\$([0-9]{1,9})\r\n")  # of a reply, up to its value
PARTS_MOST = 16
COMMAND_MOST = MAX_BUFFERED_VALUE_BYTES + 4096
REPLY_MOST = MAX_BUFFERED_VALUE_BYTES + 16 * 1024
HEADER_MOST = 16  # digits of a length, with its mark
DEPTH_MOST = 2
REPLY_PARTS = 3  # value, figures on use, report
LINE_MOST = 1024

PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"
INFO_LOAD = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"
CALL_GET, CALL_POST = b"CALL.GET", b"CALL.POST"


def error(words: str) -> bytes:
    """An error line; never more than one line."""
    return b"-ERR " + words.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ") + b"\r\n"


def busy(retry_after_ms: float = 0.0) -> bytes:
    """The refusal, with the advice when to come again if there is any."""
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms >= 1 else b"-BUSY\r\n"


def _length(buffer: bytes, at: int, end: int) -> int:
    """The number between the mark at `at` and `end`."""
    digits = buffer[at + 1 : end]
    if not digits.isdigit() or len(digits) > HEADER_MOST:
        raise MalformedError(f"length {digits[:20]!r} is not a number")
    return int(digits)


class Buffer:
    """Collects what has come until a whole message is there; joins pieces only when one was cut in two."""

    __slots__ = ("need", "pieces", "size")

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.size = 0
        self.need = 0  # bytes without which no message is whole

    def take(self, data: bytes) -> bytes | None:
        """All that is there, or nothing while a message can't be whole."""
        self.size += len(data)
        if self.size < self.need:
            self.pieces.append(data)
            return None
        if self.pieces:
            self.pieces.append(data)
            data = b"".join(self.pieces)
            self.pieces.clear()
        return data

    def keep(self, data: bytes, at: int, need: int) -> None:
        """Put back what has not been used."""
        self.size, self.need = len(data) - at, need
        if self.size:
            self.pieces.append(data[at:] if at else data)


class Command:
    """An array of bulk strings: the buffer, where the message lies in it, and where its parts lie."""

    __slots__ = ("buffer", "end", "spans", "start")

    def __init__(self, buffer: bytes, start: int, end: int, spans: list[tuple[int, int]]) -> None:
        self.buffer, self.start, self.end, self.spans = buffer, start, end, spans

    def __len__(self) -> int:
        return len(self.spans)

    def part(self, number: int) -> memoryview:
        """One part, as a slice."""
        start, end = self.spans[number]
        return memoryview(self.buffer)[start:end]

    @property
    def name(self) -> bytes:
        """The command's name, in capitals."""
        start, end = self.spans[0]
        return self.buffer[start:end].upper()


class CommandReader:
    """Bytes of a client to commands."""

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = Buffer()

    def feed(self, data: bytes) -> Iterator[Command]:
        """The commands that are whole now.  Raises `MalformedError` after the good ones before it."""
        buffer = self.buffer.take(data)
        if buffer is None:
            return
        at, size = 0, len(buffer)
        need = 0
        while at < size:
            command = read_command(buffer, at)
            if isinstance(command, int):
                need = command - at
                break
            at = command.end
            yield command
        self.buffer.keep(buffer, at, need)


def read_command(buffer: bytes, start: int) -> Command | int:
    """The command at `start`, or how far the buffer must reach at least before there can be one."""
    if buffer[start] != 42:  # *
        raise MalformedError(f"a command begins with '*', not {buffer[start : start + 1]!r}")
    size = len(buffer)
    end = buffer.find(b"\r\n", start, start + HEADER_MOST)
    if end < 0:
        if size - start >= HEADER_MOST:
            raise MalformedError("the array's length does not end")
        return size + 1
    count = _length(buffer, start, end)
    if not 1 <= count <= PARTS_MOST:
        raise MalformedError(f"{count} parts in a command")
    spans, at = [], end + 2
    for left in range(count - 1, -1, -1):
        end = buffer.find(b"\r\n", at, at + HEADER_MOST)
        if end < 0:
            if size - at >= HEADER_MOST:
                raise MalformedError("a part's length does not end")
            return max(size + 1, at + 6 * (left + 1))
        if buffer[at] != 36:  # $
            raise MalformedError(f"a part begins with '$', not {buffer[at : at + 1]!r}")
        stop = end + 2 + _length(buffer, at, end)
        if stop - start > COMMAND_MOST:
            raise MalformedError("the command is too long")
        if size < stop + 2:
            return stop + 2 + 6 * left
        if buffer[stop] != 13 or buffer[stop + 1] != 10:
            raise MalformedError("a part is longer than its length says")
        spans.append((end + 2, stop))
        at = stop + 2
    return Command(buffer, start, at, spans)


def _whole(values: dict[bytes, bytes], name: bytes) -> int:
    """A whole number, in plain digits (`read_whole` of the headers tells why)."""
    if WHOLE.fullmatch(value := values[name]) is None:
        raise ValueError(name)
    return int(value)


@dataclass(slots=True)
class Call:
    """A client's request, copied out of the buffer once, ready to be passed on."""

    request_id: bytes
    tenant: str
    class_name: str
    plan_name: str
    expires_in_ms: float
    units: float
    sharing_limiters: int
    first_limiter: int
    idempotency_key: str
    is_retry: bool
    raw: bytes
    mark: int  # where the length of the list of values begins in `raw`
    begins: int  # where that list begins
    ends: int  # and ends
    wait_at: int  # where the figure of `d` begins
    wait_end: int  # and ends

    @classmethod
    def read(cls, command: Command) -> Call:
        """Check a `CALL.GET` or `CALL.POST` and keep it."""
        if not 4 <= len(command) <= 5:
            raise MalformedError(f"a call of {len(command)} parts")
        customer = read_customer(str(command.part(1), "latin-1"))
        ident = bytes(command.part(2))
        if HEX16.fullmatch(ident) is None:
            raise MalformedError("the id is not 16 hex digits")
        start, (begins, ends) = command.start, command.spans[3]
        if ends - begins > LIST_MOST:
            raise MalformedError("the list of values is too long")
        values: dict[bytes, bytes] = {}
        wait_at, at = 0, begins
        for item in command.buffer[begins:ends].split(b","):
            name, mark, value = item.partition(b"=")
            if not mark or name in values:
                raise MalformedError(f"value {item[:40]!r} has no name or comes twice")
            values[name] = value
            if name == b"d":
                wait_at = at + 2
            at += len(item) + 1
        try:
            expires = _whole(values, b"d")
            call = cls(
                request_id=ident.lower(),
                tenant=customer,
                class_name=values[b"c"].decode(),
                plan_name=values[b"t"].decode(),
                expires_in_ms=float(expires),
                units=float(_whole(values, b"units")),
                sharing_limiters=_whole(values, b"spread"),
                first_limiter=_whole(values, b"first"),
                idempotency_key=values.get(b"k", b"").decode(),
                is_retry=values.get(b"r") == b"1",
                raw=command.buffer[start : command.end],
                mark=command.spans[2][1] + 2 - start,
                begins=begins - start,
                ends=ends - start,
                wait_at=wait_at - start,
                wait_end=wait_at + len(values[b"d"]) - start,
            )
        except KeyError as missing:
            raise MalformedError(f"value {missing.args[0].decode()!r} is missing") from None
        except ValueError:
            raise MalformedError("a value is not of its kind") from None
        if expires < 1 or values.get(b"r", b"0") not in (b"0", b"1") or len(call.idempotency_key) > KEY_MOST:
            raise MalformedError("a value is out of range")
        return call

    def forwarded_command(self, wait_ms: int) -> bytes:
        """The command for a backend: as the client sent it, but for how long the limiter will wait."""
        raw, wait = self.raw, b"%d" % max(1, wait_ms)
        size = self.ends - self.begins + len(wait) - (self.wait_end - self.wait_at)
        before, after = raw[self.begins : self.wait_at], raw[self.wait_end :]
        return b"".join((raw[: self.mark], b"$%d\r\n" % size, before, wait, after))


@dataclass(frozen=True, slots=True)
class UsageFigures:
    """Figures on use that came with a backend's answer."""

    used_percent: float | None = None  # of the customer's quota, by all limiters, in the last finished period
    true_units: float = 0.0  # that take the place of the guess; 0: not told


NO_USAGE = UsageFigures()


class Reply:
    """A backend's reply.  `value` is the bulk string with its length, as it lies in the buffer; `usage` and
    `report` are the texts of the figures on use and of the load report, empty where there is none."""

    __slots__ = ("end", "line", "report", "usage", "value")

    def __init__(
        self, end: int, value: memoryview | None, line: bytes, report: bytes = b"", usage: bytes = b""
    ) -> None:
        self.end, self.value, self.line, self.report, self.usage = end, value, line, report, usage


class ReplyReader:
    """Bytes of a backend to the one reply that it owes.

    A value above `MAX_BUFFERED_VALUE_BYTES` is never held whole: once `begin_streaming` has given its first
    bytes, `split_streamed` tells which of the next ones belong to it, and `read` gives what is left, the
    value's end, as the reply's value.
    """

    __slots__ = ("behind", "buffer", "extra", "left")

    def __init__(self) -> None:
        self.buffer = Buffer()
        self.extra = False  # more has come than the reply that was owed
        self.left = 0  # bytes of a value that are still to flow
        self.behind = False  # such a value has been told: its end and what stands beside it are still owed

    def begin_streaming(self) -> bytes | None:
        """The beginning of a long value, with its length, as far as it has come; nothing where none began."""
        head = b"".join(self.buffer.pieces)
        if self.behind or (begins := _flows(head)) is None:
            return None
        ends = begins.end() + int(begins[1])
        self.buffer, self.left, self.behind = Buffer(), max(0, ends - len(head)), True
        self.buffer.keep(head, min(ends, len(head)), 0)
        return head[begins.start(1) - 1 : ends]

    def split_streamed(self, data: bytes) -> tuple[memoryview, bytes]:
        """What of these bytes belongs to the value that flows, and what lies behind it."""
        piece = memoryview(data)[: self.left]
        rest = data[self.left :]
        self.left -= len(piece)
        return piece, rest

    def read(self, data: bytes) -> Reply | None:
        """The reply, once it is whole.  What lies behind it is never read: it belongs to no request."""
        buffer = self.buffer.take(data)
        if not buffer:
            return None
        reply = read_behind(buffer) if self.behind else read_reply(buffer, 0)
        if reply is not None:
            self.behind = False
        else:
            if len(buffer) > REPLY_MOST and (self.behind or _flows(buffer) is None):
                raise MalformedError("the reply is too long")
            self.buffer.keep(buffer, 0, 0)
            return None
        self.extra = reply.end < len(buffer)
        self.buffer.keep(buffer, len(buffer), 0)
        return reply


def _flows(head: bytes) -> re.Match[bytes] | None:
    """The head of a reply whose value is not to be held whole, if it is one."""
    match = FLOW_HEAD.match(head)
    return (
        match
        if match is not None and MAX_BUFFERED_VALUE_BYTES < int(match[1]) <= MAX_STREAMED_VALUE_BYTES
        else None
    )


def _bulk(buffer: bytes, at: int) -> tuple[int, int, int] | None:
    """Where a bulk string's content begins and ends (begin -1: null), and where the next element is; nothing
    while it is not whole.  Whatever can't become one is told at once, not waited for."""
    if at >= len(buffer):
        return None
    if buffer[at] not in b"$_":
        raise MalformedError(f"a reply holds {buffer[at : at + 1]!r}")
    end = buffer.find(b"\r\n", at, at + HEADER_MOST)
    if end < 0:
        if len(buffer) - at >= HEADER_MOST:
            raise MalformedError("a length in a reply does not end")
        return None
    after = end + 2
    if buffer[at:end] in (b"_", b"$-1"):
        return -1, -1, after
    count = _length(buffer, at, end)
    if count > MAX_STREAMED_VALUE_BYTES:
        raise MalformedError("the value is too long")
    if len(buffer) < after + count + 2:
        return None
    if buffer[after + count : after + count + 2] != b"\r\n":
        raise MalformedError("a value is longer than its length says")
    return after, after + count, after + count + 2


def _beside(buffer: bytes, at: int, depth: int = 0) -> tuple[int, int, int] | None:
    """An element beside the value, of any kind: one that says nothing to us does not spoil the value."""
    if at >= len(buffer) or buffer[at] not in b":+,#*":
        return _bulk(buffer, at)
    end = buffer.find(b"\r\n", at, at + LINE_MOST)
    if end < 0:
        if len(buffer) - at >= LINE_MOST:
            raise MalformedError("a line of a reply does not end")
        return None
    place = end + 2
    if buffer[at] == 42 and buffer[at:end] != b"*-1":
        if (count := _length(buffer, at, end)) > PARTS_MOST or depth >= DEPTH_MOST:
            raise MalformedError(f"{count} elements in a reply")
        for _ in range(count):
            if (inner := _beside(buffer, place, depth + 1)) is None:
                return None
            place = inner[2]
    return -1, -1, place


def read_reply(buffer: bytes, at: int) -> Reply | None:
    """The reply at `at`, if it is whole: an array of value, figures on use and report; an error line; or, to
    a probe, a bulk string or a status line."""
    mark = buffer[at]
    if mark in b"-+":
        end = buffer.find(b"\r\n", at, at + LINE_MOST)
        if end < 0:
            if len(buffer) - at >= LINE_MOST:
                raise MalformedError("a line of a reply does not end")
            return None
        if mark == 45 and LINE.fullmatch(buffer, at, end) is None:
            raise MalformedError("an error line can't be read")
        return Reply(end + 2, None, buffer[at:end])
    if mark != 42:  # *
        element = _bulk(buffer, at)
        if element is None:
            return None
        begin, _, after = element
        return Reply(after, memoryview(buffer)[at:after] if begin >= 0 else None, b"$")
    end = buffer.find(b"\r\n", at, at + HEADER_MOST)
    if end < 0:
        if len(buffer) - at >= HEADER_MOST:
            raise MalformedError("the reply's length does not end")
        return None
    if (count := _length(buffer, at, end)) != REPLY_PARTS:
        raise MalformedError(f"{count} elements in a reply")
    place, value, usage, report = end + 2, None, b"", b""
    for number in range(count):
        if (element := (_beside if number else _bulk)(buffer, place)) is None:
            return None
        begin, end, after = element
        if number == 0:
            if begin < 0:
                raise MalformedError("a reply without a value")
            value = memoryview(buffer)[place:after]
        elif begin >= 0 and number == 1:
            usage = buffer[begin:end]
        elif begin >= 0:
            report = buffer[begin:end]
        place = after
    return Reply(place, value, b"", report, usage)


def read_behind(buffer: bytes) -> Reply | None:
    """What stands behind a value that has flowed: its line end, which is the value of this reply, figures on
    use and report."""
    if buffer[:2] != b"\r\n"[: len(buffer)]:
        raise MalformedError("a value is longer than its length says")
    place, texts = 2, [b"", b""]
    for number in range(REPLY_PARTS - 1):
        if (element := _beside(buffer, place)) is None:
            return None
        begin, end, place = element
        if begin >= 0:
            texts[number] = buffer[begin:end]
    usage, report = texts
    return Reply(place, memoryview(buffer)[:2], b"", report, usage)


def read_usage(text: bytes) -> UsageFigures:
    """Figures on use, `used=37,cost=4`.  Unknown names are skipped; a figure that is no plain decimal number,
    or that is told twice, counts as not told."""
    if len(text) > USAGE_BYTES_MOST:
        return NO_USAGE
    told: dict[bytes, float | None] = {}
    for item in text.split(b","):
        name, _, figure = item.partition(b"=")
        if name == b"used" or name == b"cost":
            good = name not in told and PLAIN_DECIMAL.fullmatch(figure) is not None
            told[name] = float(figure) if good else None
    return UsageFigures(told.get(b"used"), told.get(b"cost") or 0.0)


def read_error_line(line: bytes) -> tuple[bytes, bytes]:
    """The texts of figures on use and load report in an error line, empty where there is none.  Each is one
    word; they are told apart by the names of the figures, and a report stands last."""
    words = line.split(b" ")[1:] if b"=" in line else []
    usage = [word for word in words if USAGE_NAME.search(word) is not None]
    report = words[-1] if words and words[-1] not in usage else b""
    return usage[0] if len(usage) == 1 else b"", report


def read_report(text: bytes) -> dict[str, float]:
    """A load report, `inflight=7,queue=2`.  One that can't be read whole is none: what is known stays."""
    report = {}
    for item in text.split(b",") if len(text) <= LINE_MOST else [text]:
        match = FIGURE.fullmatch(item)
        if match is None or not (figure := float(match[2])) <= FIGURE_MOST:
            return {}
        report[match[1].decode("ascii")] = figure
    return report
