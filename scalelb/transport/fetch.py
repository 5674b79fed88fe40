"""Upstream attempts and health checks, on pooled connections to the backends."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from scalelb.core.ports import NO_LOAD_REPORT
from scalelb.policy.events import Outcome
from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Log, Reactor, Stream, dial, host_port

# Called when the last byte of a command is with the kernel.
OnSent = Callable[[], None]
# Called when a connection is ready; returns the command, or None if it must not be sent any more.
EncodeCommand = Callable[[], bytes | None]
# Called with each piece of a streamed value.
OnPiece = Callable[[bytes | memoryview], None]


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt or a health check ended, and what the reply reported.

    `value` is valid only until the callback that receives the result returns."""

    outcome: Outcome
    value: memoryview | None = None
    report: Mapping[str, float] = field(default_factory=dict)
    usage: resp.UsageFigures = resp.NO_USAGE


OnResult = Callable[[AttemptResult], None]
HEALTH_CHECK_TIMEOUT_MS = 250.0
STALL_TIMEOUT_MS = 4000.0  # longest pause that a backend may make within a streamed value
MIN_IDLE_MS = 5.0  # connections that have been idle for less are used last


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a connection pool."""

    max_connections: int = 400  # to all backends together
    max_connections_per_backend: int = 100
    connect_timeout_ms: float = 250.0
    idle_timeout_ms: float = 15_000.0  # has to be shorter than the idle timeout of the backends


# Called when a long value begins to arrive on a connection; returns the callback for its pieces.
OnValueStarted = Callable[["BackendConnection"], OnPiece]


class UpstreamAttempt:
    """One attempt or health check: what to write, and the callbacks for its progress and its result."""

    __slots__ = (
        "connection",
        "encode_command",
        "is_done",
        "is_health_check",
        "on_result",
        "on_sent",
        "on_value_started",
    )

    def __init__(
        self,
        encode_command: EncodeCommand,
        on_result: OnResult,
        is_health_check: bool = False,
        on_sent: OnSent | None = None,
        on_value_started: OnValueStarted | None = None,
    ) -> None:
        self.encode_command, self.on_result, self.is_health_check, self.on_sent, self.on_value_started = (
            encode_command,
            on_result,
            is_health_check,
            on_sent,
            on_value_started,
        )
        self.connection: BackendConnection | None = None
        self.is_done = False

    def report_sent(self) -> None:
        """Call `on_sent`, at the first call only."""
        on_sent, self.on_sent = self.on_sent, None
        if on_sent is not None:
            on_sent()

    def finish(self, result: AttemptResult) -> None:
        """Report the result, unless the attempt is already finished or abandoned."""
        if not self.is_done:
            self.is_done = True
            self.on_result(result)


class BackendConnection(Stream):
    """A connection to a backend.

    It carries one attempt at a time. Replies come in the order of the commands, so an attempt that is written
    after another would have to wait for the other's reply."""

    def __init__(self, backend: Backend, attempt: UpstreamAttempt | None) -> None:
        self.backend, self.attempt = backend, attempt
        self.reader = resp.ReplyReader()
        self.is_connected = self.is_written = False
        self.released_at = 0.0
        self.on_piece: OnPiece | None = None  # for the value that is being streamed
        self.last_piece_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Write the attempt for which the connection was opened, or release the connection if the attempt no
        longer waits for it."""
        super().connectionMade()
        self.is_connected = True
        self.backend.opening -= 1
        if self.attempt is None:
            self.backend.release(self)
        else:
            self.write_attempt(self.attempt)

    def write_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write an attempt if it may still be sent, else end it as `NOT_SENT`.

        While it waited for its connection, the client may have disconnected, the attempt may have timed out,
        the backend may have started draining, or the deduplication window of a retry may have ended."""
        command = attempt.encode_command() if self.backend.is_serving else None
        if command is None:
            self.attempt = attempt.connection = None
            self.backend.release(self)
            attempt.finish(AttemptResult(Outcome.NOT_SENT))
            return
        self.attempt, attempt.connection, self.is_written = attempt, self, True
        self.send(command)
        self.on_flushed()

    def on_flushed(self) -> None:
        """Report the attempt as sent: the kernel has taken all of its bytes."""
        if self.attempt is not None and self.is_written and self.is_flushed and not self.is_closed:
            self.attempt.report_sent()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the backend."""
        try:
            if (attempt := self.attempt) is None:
                raise MalformedError("bytes that nothing asked for")
            if self.on_piece is not None and self.reader.streamed_bytes_left:
                piece, data = self.reader.split_streamed(data)
                self.forward_piece(piece)
            reply = self.reader.read(data)
            if reply is None and self.start_streaming(attempt):
                reply = self.reader.read(b"")
            if reply is None:
                return
            result = read_outcome(reply, attempt.is_health_check)
        except MalformedError as error:
            self.abort_malformed(str(error))
            return
        self.attempt = attempt.connection = self.on_piece = None
        self.is_written = False
        # The connection is released before the result is reported, as handling the result may start another
        # attempt on it. Any bytes after the reply would be read as part of the reply to that attempt.
        if self.reader.has_extra_bytes:
            self.abort_malformed("unexpected data after the reply")
        else:
            self.backend.release(self)
        attempt.finish(result)

    def start_streaming(self, attempt: UpstreamAttempt) -> bool:
        """Start to stream a value if the beginning of a long one has been received; return whether it has."""
        if (
            self.on_piece is not None
            or attempt.on_value_started is None
            or (head := self.reader.begin_streaming()) is None
        ):
            return False
        self.on_piece = attempt.on_value_started(self)
        self.forward_piece(head)
        return True

    def forward_piece(self, piece: bytes | memoryview) -> None:
        """Pass on a piece of the streamed value."""
        self.last_piece_at = self.backend.pool.clock()
        if self.on_piece is not None:
            self.on_piece(piece)

    def has_stalled(self, now: float) -> bool:
        """Whether a value is being streamed and the backend has sent nothing for too long.

        Time during which reading is paused does not count."""
        return self.on_piece is not None and not self.paused and now - self.last_piece_at > STALL_TIMEOUT_MS

    def resume_if_paused(self) -> None:
        """Resume reading: the client has taken the pieces sent so far."""
        if self.paused and not self.is_closed:
            self.last_piece_at = self.backend.pool.clock()
            self.resume()

    def abort_malformed(self, what: str) -> None:
        """Log what was malformed and close the connection, as the start of the next reply can't be found.

        An attempt on it was written and may have been executed."""
        self.backend.pool.log("malformed", level="warning", what=what, backend=self.backend.name)
        self.backend.remove_idle(self)
        self.abort()

    def lost(self) -> None:
        """End the attempt. Unless its last byte was written, it was not executed; else it may have been."""
        self.backend.remove(self)
        if (attempt := self.attempt) is not None:
            self.attempt = attempt.connection = None
            is_sent = self.is_written and self.is_flushed
            attempt.finish(AttemptResult(Outcome.RESET if is_sent else Outcome.CONNECT_FAILED))


def read_outcome(reply: resp.Reply, is_health_check: bool) -> AttemptResult:
    """Return the result that a backend's reply reports.

    Only the reply to a health check may be a bulk string or a status line; raises `MalformedError` if the
    reply to an attempt is a status line."""
    line, usage, report = reply.line, reply.usage, reply.report
    if not line:
        outcome = Outcome.OK
    elif not line.startswith(b"-"):
        if not is_health_check:
            raise MalformedError(f"a request is not answered with {line[:20]!r}")
        outcome = Outcome.OK
    else:
        outcome = Outcome.REJECTED if line.split(b" ", 1)[0] == b"-BUSY" else Outcome.ERROR
        usage, report = resp.read_error_line(line)
    return AttemptResult(
        outcome,
        reply.value,
        resp.read_report(report) if report else NO_LOAD_REPORT,
        resp.read_usage(usage) if usage else resp.NO_USAGE,
    )


class Backend:
    """The connections to one backend."""

    def __init__(self, pool: ConnectionPool, name: str, address: str, started_at: float = -inf) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.started_at = started_at  # ms, as discovery gives it
        self.socket_address = host_port(address)
        # In the order of release. The last one is reused first, so that surplus connections time out.
        self.idle: list[BackendConnection] = []
        self.connections: set[BackendConnection] = set()  # all of them, including those being opened
        self.opening = 0
        self.is_listed = self.is_serving = True

    def start(self, attempt: UpstreamAttempt) -> None:
        """Write an attempt on an idle connection, or open one for it."""
        while self.idle:
            connection = self.idle.pop(self.next_idle_index())
            if not connection.has_unread_data():
                connection.write_attempt(attempt)
                return
            connection.abort_malformed("unexpected data or end of stream on an idle connection")
        if (
            not self.is_serving
            or len(self.connections) >= self.pool.limits.max_connections_per_backend
            or not self.pool.ensure_capacity()
        ):
            # A draining backend gets no new connections, and descriptors are limited. The attempt was not
            # written, so this outcome is not held against the backend.
            attempt.finish(AttemptResult(Outcome.NOT_SENT))
        else:
            self.dial(attempt)

    def next_idle_index(self) -> int:
        """Return the index of the idle connection to use next.

        It is the last used one that has been idle for `MIN_IDLE_MS`, so that data which a backend sends right
        after its reply is noticed before another attempt is written; if there is none, the first one."""
        released_before = self.pool.clock() - MIN_IDLE_MS
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].released_at <= released_before:
                return index
        return 0

    def dial(self, attempt: UpstreamAttempt | None) -> None:
        """Open a connection."""
        connection = BackendConnection(self, attempt)
        if attempt is not None:
            attempt.connection = connection
        self.connections.add(connection)
        self.opening += 1
        self.pool.total_connections += 1
        timeout_ms = self.pool.limits.connect_timeout_ms
        dial(
            self.pool.reactor,
            self.socket_address,
            connection,
            lambda: self.on_connect_failed(connection),
            timeout_ms,
        )

    def on_connect_failed(self, connection: BackendConnection) -> None:
        """Remove a connection that could not be established, and end its attempt."""
        self.opening -= 1
        connection.lost()

    def release(self, connection: BackendConnection) -> None:
        """Make a connection available to other attempts; close it if the backend is no longer listed."""
        if connection.is_closed:
            return
        if not self.is_listed:
            connection.close()
            return
        connection.released_at = self.pool.clock()
        self.idle.append(connection)

    def remove_idle(self, connection: BackendConnection) -> None:
        """Remove a connection from the idle ones, if it is one of them."""
        if connection in self.idle:
            self.idle.remove(connection)

    def remove(self, connection: BackendConnection) -> None:
        """Remove a connection that has ended."""
        self.remove_idle(connection)
        if connection in self.connections:
            self.connections.remove(connection)
            self.pool.total_connections -= 1

    def drain(self) -> None:
        """Start no further attempts on the backend.

        Attempts that wait for a connection end as `NOT_SENT`, so that they can be sent elsewhere at once."""
        self.is_serving = False
        for connection in [c for c in self.connections if not c.is_connected]:
            attempt, connection.attempt = connection.attempt, None
            if attempt is not None:
                attempt.connection = None
                attempt.finish(AttemptResult(Outcome.NOT_SENT))

    def retire(self) -> None:
        """Close the idle connections now and the others when they are released.

        The backend is no longer listed, and another machine may already use its address."""
        self.is_listed = False
        self.drain()
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class ConnectionPool:
    """The connections to all backends in the endpoint list."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Callable[[], float],
        log: Log,
        limits: PoolLimits = PoolLimits(),
    ) -> None:
        self.reactor, self.clock, self.log, self.limits = reactor, clock, log, limits
        self.backends: dict[str, Backend] = {}
        self.total_connections = 0  # including those being opened

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened; close the longest idle one first if necessary."""
        if self.total_connections < self.limits.max_connections:
            return True
        oldest = [b.idle[0] for b in self.backends.values() if b.idle]
        if oldest:
            longest_idle = min(oldest, key=lambda c: c.released_at)
            # It is no longer counted from now on; its descriptor is closed in the reactor's next iteration.
            longest_idle.backend.remove(longest_idle)
            longest_idle.abort()
        return self.total_connections < self.limits.max_connections

    def close_idle_connections(self) -> None:
        """Close all idle connections: another incarnation of this limiter needs the capacity, here and at the
        backends."""
        for backend in self.backends.values():
            idle, backend.idle = backend.idle, []
            for connection in idle:
                connection.close()

    def busy_connections(self) -> int:
        """Return the number of connections that carry an attempt or health check or are opened for one."""
        return sum(c.attempt is not None for backend in self.backends.values() for c in backend.connections)

    def update_backend(
        self, name: str, address: str, is_serving: bool = True, started_at: float = -inf
    ) -> None:
        """Add a backend of the endpoint list; drain it unless `is_serving`.

        A process that started later, or has another address, replaces it with its connections."""
        backend = self.backends.get(name)
        if backend is None or backend.address != address or started_at > backend.started_at:
            if backend is not None:
                backend.retire()
            backend = self.backends[name] = Backend(self, name, address, started_at)
        if is_serving:
            backend.is_serving = True
        else:
            backend.drain()

    def retain_backends(self, names: Iterable[str]) -> None:
        """Remove all backends but these."""
        for name in self.backends.keys() - set(names):
            self.backends.pop(name).retire()

    def start_attempt(
        self,
        backend_name: str,
        encode_command: EncodeCommand,
        on_result: OnResult,
        is_health_check: bool = False,
        on_sent: OnSent | None = None,
        on_value_started: OnValueStarted | None = None,
    ) -> UpstreamAttempt:
        """Start an attempt.

        `encode_command` is called when a connection is ready. If it returns None, the attempt ends as
        `NOT_SENT`. `on_sent` is called once, when the last byte is with the kernel. `on_value_started` is
        called when a long value begins to arrive; it returns the callback for the pieces."""
        attempt = UpstreamAttempt(encode_command, on_result, is_health_check, on_sent, on_value_started)
        if (backend := self.backends.get(backend_name)) is None:
            attempt.finish(AttemptResult(Outcome.CONNECT_FAILED))
        else:
            backend.start(attempt)
        return attempt

    def abandon(self, attempt: UpstreamAttempt) -> None:
        """Abandon an attempt without reporting a result.

        Its connection is closed, as a late reply on it could be taken for that to another attempt. If the
        connection is still being opened, the next attempt can use it."""
        connection, attempt.is_done = attempt.connection, True
        if connection is None:
            return
        attempt.connection = connection.attempt = None
        if connection.is_connected:
            connection.backend.remove_idle(connection)
            connection.abort()

    def check_health(
        self, backend_name: str, on_health_checked: Callable[[Outcome, Mapping[str, float]], None]
    ) -> None:
        """Request a backend's load report."""

        def on_result(result: AttemptResult) -> None:
            value = result.value
            text = bytes(value).partition(b"\r\n")[2].strip() if value is not None else b""
            on_health_checked(result.outcome, resp.read_report(text) if text else NO_LOAD_REPORT)

        def on_timeout() -> None:
            if not attempt.is_done:
                self.abandon(attempt)
                on_health_checked(Outcome.TIMEOUT, NO_LOAD_REPORT)

        attempt = self.start_attempt(backend_name, lambda: resp.INFO_LOAD, on_result, is_health_check=True)
        if not attempt.is_done:
            self.reactor.callLater(HEALTH_CHECK_TIMEOUT_MS / 1000, on_timeout)

    def sweep(self) -> None:
        """Close connections that have been idle for too long, or on which a value has stalled.

        The backend would otherwise close an idle connection, perhaps just as an attempt is written on it. A
        request has no running timer any more once its value has begun, so nothing else would end it."""
        now = self.clock()
        released_before = now - self.limits.idle_timeout_ms
        for backend in self.backends.values():
            for connection in [c for c in backend.connections if c.has_stalled(now)]:
                connection.abort_malformed("the backend sends no more of a value that is being streamed")
            expired = [c for c in backend.idle if c.released_at < released_before]
            if expired:
                backend.idle = [c for c in backend.idle if c.released_at >= released_before]
                for connection in expired:
                    connection.close()
