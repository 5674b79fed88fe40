"""Fetches: one attempt each, on pooled connections to the backends; probes too."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from scalelb.core.ports import NO_LOAD_REPORT
from scalelb.policy.events import Outcome
from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Log, Reactor, Stream, dial, host_port

Left = Callable[[], None]
Write = Callable[[], bytes | None]  # the bytes of a fetch, made as they are written; none: it is not wanted
OnPiece = Callable[[bytes | memoryview], None]


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt or a probe ended, and what its answer told.  `value` is good until the call that hands
    it over returns."""

    outcome: Outcome
    value: memoryview | None = None
    report: Mapping[str, float] = field(default_factory=dict)
    usage: resp.UsageFigures = resp.NO_USAGE


Ended = Callable[[AttemptResult], None]
INFO_TIMEOUT_MS = 250.0
STALL_MS = 4000.0  # that a value which flows may stand still for the backend's part
SETTLE_MS = 5.0  # that a connection rests before it is preferred to one that has rested


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of the pool."""

    max_connections: int = 400  # in all
    max_connections_per_backend: int = 100  # to one backend
    connect_timeout_ms: float = 250.0
    idle_timeout_ms: float = 15_000.0  # before the backend would close it


Begun = Callable[["BackendConnection"], OnPiece]


class UpstreamAttempt:
    """One attempt: what is to be written, and who is told how it ended."""

    __slots__ = ("connection", "ended", "is_done", "on_sent", "on_value_started", "probe", "write")

    def __init__(
        self,
        write: Write,
        ended: Ended,
        probe: bool = False,
        on_sent: Left | None = None,
        on_value_started: Begun | None = None,
    ) -> None:
        self.write, self.ended, self.probe, self.on_sent, self.on_value_started = (
            write,
            ended,
            probe,
            on_sent,
            on_value_started,
        )
        self.connection: BackendConnection | None = None
        self.is_done = False

    def written(self) -> None:
        """Its last byte is with the kernel: told once."""
        left, self.on_sent = self.on_sent, None
        if left is not None:
            left()

    def end(self, result: AttemptResult) -> None:
        """Tell, once."""
        if not self.is_done:
            self.is_done = True
            self.ended(result)


class BackendConnection(Stream):
    """A connection to a backend.  It carries one fetch at a time: answers come in order, so a fetch written
    behind another would wait for it."""

    def __init__(self, backend: Backend, fetch: UpstreamAttempt | None) -> None:
        self.backend, self.fetch = backend, fetch
        self.reader = resp.ReplyReader()
        self.up = self.written = False
        self.idle_at = 0.0
        self.piece: OnPiece | None = None  # takes the value that flows
        self.heard_at = 0.0  # when the last of it came

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up; the fetch that it was opened for goes out, if it still waits."""
        super().connectionMade()
        self.up = True
        self.backend.opening -= 1
        if self.fetch is None:
            self.backend.rest(self)
        else:
            self.write_attempt(self.fetch)

    def write_attempt(self, fetch: UpstreamAttempt) -> None:
        """Write a fetch, if it is still wanted.  Guards the rules that hold for the first byte: where it
        waited for its connection, the client may have left meanwhile, the time run out, the backend begun to
        drain, or the window of a repeat closed."""
        wire = fetch.write() if self.backend.serving else None
        if wire is None:
            self.fetch = fetch.connection = None
            self.backend.rest(self)
            fetch.end(AttemptResult(Outcome.NOT_SENT))
            return
        self.fetch, fetch.connection, self.written = fetch, self, True
        self.send(wire)
        self.drained()

    def drained(self) -> None:
        """All that was written has left."""
        if self.fetch is not None and self.written and self.flushed and not self.gone:
            self.fetch.written()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes from the backend."""
        try:
            if (fetch := self.fetch) is None:
                raise MalformedError("bytes that nothing asked for")
            if self.piece is not None and self.reader.left:
                piece, data = self.reader.split_streamed(data)
                self.pass_on(piece)
            reply = self.reader.read(data)
            if reply is None and self.begin_value(fetch):
                reply = self.reader.read(b"")
            if reply is None:
                return
            result = read_outcome(reply, fetch.probe)
        except MalformedError as error:
            self.spoilt(str(error))
            return
        self.fetch = fetch.connection = self.piece = None
        self.written = False
        # The pool first: what the answer sets off may want this connection.  Guards the next fetch on it:
        # what lies behind this reply, whole or in part, would be taken for its answer.
        if self.reader.extra:
            self.spoilt("more than the reply that was owed")
        else:
            self.backend.rest(self)
        fetch.end(result)

    def begin_value(self, fetch: UpstreamAttempt) -> bool:
        """Pass a long value on from here, if one has begun."""
        if (
            self.piece is not None
            or fetch.on_value_started is None
            or (head := self.reader.begin_streaming()) is None
        ):
            return False
        self.piece = fetch.on_value_started(self)
        self.pass_on(head)
        return True

    def pass_on(self, piece: bytes | memoryview) -> None:
        """A part of a value that flows."""
        self.heard_at = self.backend.pool.clock()
        if self.piece is not None:
            self.piece(piece)

    def stalled(self, now: float) -> bool:
        """Whether a value has begun to flow and does not go on, for the backend's part."""
        return self.piece is not None and not self.paused and now - self.heard_at > STALL_MS

    def go_on(self) -> None:
        """The client has taken what there was."""
        if self.paused and not self.gone:
            self.heard_at = self.backend.pool.clock()
            self.read_on()

    def spoilt(self, what: str) -> None:
        """What has come can't be told apart from what is to come: the connection is given up.  A fetch on it
        was written and may have run."""
        self.backend.pool.log("malformed", level="warning", what=what, backend=self.backend.name)
        self.backend.unrest(self)
        self.abort()

    def lost(self) -> None:
        """The connection has ended.  One whose last byte was not written never ran; else it may have."""
        self.backend.forget(self)
        if (fetch := self.fetch) is not None:
            self.fetch = fetch.connection = None
            sent = self.written and self.flushed
            fetch.end(AttemptResult(Outcome.RESET if sent else Outcome.CONNECT_FAILED))


def read_outcome(reply: resp.Reply, is_health_check: bool) -> AttemptResult:
    """A backend's reply as a result.  Only a probe is answered with a bulk string or a status line."""
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
    """One backend's connections."""

    def __init__(self, pool: ConnectionPool, name: str, address: str) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.at = host_port(address)
        self.idle: list[BackendConnection] = []  # the one used last is used first; the others age
        self.open: set[BackendConnection] = set()
        self.opening = 0
        self.is_listed = self.serving = True

    def start(self, fetch: UpstreamAttempt) -> None:
        """Write it on an idle connection, or open one for it."""
        while self.idle:
            connection = self.idle.pop(self.settled())
            if not connection.unread():
                connection.write_attempt(fetch)
                return
            connection.spoilt("bytes that nothing asked for, or its end")
        if (
            not self.serving
            or len(self.open) >= self.pool.limits.max_connections_per_backend
            or not self.pool.room()
        ):
            # Guards a backend that drains, and the descriptors.  Never written, it tells nothing of it.
            fetch.end(AttemptResult(Outcome.NOT_SENT))
        else:
            self.dial(fetch)

    def settled(self) -> int:
        """Which idle connection is next: the one used last of those that have had a moment's rest, so that
        what a backend writes right behind its reply is seen before another fetch is written."""
        before = self.pool.clock() - SETTLE_MS
        for place in range(len(self.idle) - 1, -1, -1):
            if self.idle[place].idle_at <= before:
                return place
        return 0

    def dial(self, fetch: UpstreamAttempt | None) -> None:
        """Open a connection."""
        connection = BackendConnection(self, fetch)
        if fetch is not None:
            fetch.connection = connection
        self.open.add(connection)
        self.opening += 1
        self.pool.total_connections += 1
        most = self.pool.limits.connect_timeout_ms
        dial(self.pool.reactor, self.at, connection, lambda: self.refused(connection), most)

    def refused(self, connection: BackendConnection) -> None:
        """It never came up."""
        self.opening -= 1
        connection.lost()

    def rest(self, connection: BackendConnection) -> None:
        """A connection is free."""
        if connection.gone:
            return
        if not self.is_listed:
            connection.close()
            return
        connection.idle_at = self.pool.clock()
        self.idle.append(connection)

    def unrest(self, connection: BackendConnection) -> None:
        """A connection is not free after all."""
        if connection in self.idle:
            self.idle.remove(connection)

    def forget(self, connection: BackendConnection) -> None:
        """A connection has ended."""
        self.unrest(connection)
        if connection in self.open:
            self.open.remove(connection)
            self.pool.total_connections -= 1

    def drain(self) -> None:
        """The backend wants nothing new.  What waits for a connection to come up was never written, and is
        not: it may go elsewhere at once."""
        self.serving = False
        for connection in [c for c in self.open if not c.up]:
            fetch, connection.fetch = connection.fetch, None
            if fetch is not None:
                fetch.connection = None
                fetch.end(AttemptResult(Outcome.NOT_SENT))

    def retire(self) -> None:
        """The backend is gone: idle connections close, the others when they are free.  Another machine may
        answer there by now."""
        self.is_listed = False
        self.drain()
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class ConnectionPool:
    """All backends that the director has named."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Callable[[], float],
        log: Log,
        limits: PoolLimits = PoolLimits(),
    ) -> None:
        self.reactor, self.clock, self.log, self.limits = reactor, clock, log, limits
        self.backends: dict[str, Backend] = {}
        self.total_connections = 0

    def room(self) -> bool:
        """Whether one more connection may be opened; an idle one elsewhere makes room."""
        if self.total_connections < self.limits.max_connections:
            return True
        oldest = [b.idle[0] for b in self.backends.values() if b.idle]
        if oldest:
            spare = min(oldest, key=lambda c: c.idle_at)
            spare.backend.forget(spare)  # its place is free now, its descriptor in the loop's next round
            spare.abort()
        return self.total_connections < self.limits.max_connections

    def close_idle_connections(self) -> None:
        """Close what is idle: another life of this limiter needs the room, here and at the backends."""
        for backend in self.backends.values():
            idle, backend.idle = backend.idle, []
            for connection in idle:
                connection.close()

    def busy_connections(self) -> int:
        """Connections that carry a fetch, or are opened for one."""
        return sum(c.fetch is not None for backend in self.backends.values() for c in backend.open)

    def update_backend(self, server: str, address: str, serving: bool = True) -> None:
        """The director has named a backend, at an address; one that is not `serving` drains."""
        backend = self.backends.get(server)
        if backend is None or backend.address != address:
            if backend is not None:
                backend.retire()
            backend = self.backends[server] = Backend(self, server, address)
        if serving:
            backend.serving = True
        else:
            backend.drain()

    def retain_backends(self, servers: Iterable[str]) -> None:
        """Only these are left."""
        for server in self.backends.keys() - set(servers):
            self.backends.pop(server).retire()

    def start_attempt(
        self,
        server: str,
        write: Write,
        ended: Ended,
        probe: bool = False,
        on_sent: Left | None = None,
        on_value_started: Begun | None = None,
    ) -> UpstreamAttempt:
        """Begin an attempt.  `write` is called when a connection is there, and may find that it is wanted no
        longer: it ends as `MOOT` then.  `left` is told once its last byte is with the kernel, `begun` when a
        long value begins to come: it returns who takes the pieces."""
        fetch = UpstreamAttempt(write, ended, probe, on_sent, on_value_started)
        if (backend := self.backends.get(server)) is None:
            fetch.end(AttemptResult(Outcome.CONNECT_FAILED))
        else:
            backend.start(fetch)
        return fetch

    def abandon(self, fetch: UpstreamAttempt) -> None:
        """Give an attempt up.  Its connection closes, as a late answer on it could be taken for another's;
        one that has not come up yet is kept for the next fetch."""
        connection, fetch.is_done = fetch.connection, True
        if connection is None:
            return
        fetch.connection = connection.fetch = None
        if connection.up:
            connection.backend.unrest(connection)
            connection.abort()

    def check_health(self, server: str, ended: Callable[[Outcome, Mapping[str, float]], None]) -> None:
        """Ask a backend for its load."""

        def told(result: AttemptResult) -> None:
            value = result.value
            text = bytes(value).partition(b"\r\n")[2].strip() if value is not None else b""
            ended(result.outcome, resp.read_report(text) if text else NO_LOAD_REPORT)

        def late() -> None:
            if not fetch.is_done:
                self.abandon(fetch)
                ended(Outcome.TIMEOUT, NO_LOAD_REPORT)

        fetch = self.start_attempt(server, lambda: resp.INFO_LOAD, told, probe=True)
        if not fetch.is_done:
            self.reactor.callLater(INFO_TIMEOUT_MS / 1000, late)

    def sweep(self) -> None:
        """Close what has been idle for long, before the backend does so under a fetch; give up a value that
        has begun and does not go on, as no timer of its request runs any more."""
        now = self.clock()
        before = now - self.limits.idle_timeout_ms
        for backend in self.backends.values():
            for connection in [c for c in backend.open if c.stalled(now)]:
                connection.spoilt("the value does not go on")
            old = [c for c in backend.idle if c.idle_at < before]
            if old:
                backend.idle = [c for c in backend.idle if c.idle_at >= before]
                for connection in old:
                    connection.close()
