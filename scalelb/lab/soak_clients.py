"""Clients of the soak test: they keep using their connections until the limiter closes them."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from scalelb.lab.soak_plan import ClientKind
from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Stream, StreamFactory

PIPELINED_REQUESTS = 4
THINK_TIME_S = (0.02, 0.2)  # Between an answer and the next request.
PIECE_INTERVAL_S = (0.001, 0.03)  # Between two writes of one command.
LEAVE_AFTER_S = (0.0, 0.3)  # A leaving client waits for its answer for this time.
RECONNECT_S = 0.1
CONNECT_TIMEOUT_S = 2.0


class Harness(Protocol):
    """The part of the test harness that the clients use."""

    def port_of(self, limiter: str) -> int | None:
        """Return the port of a limiter, or None while it does not run."""

    def incarnation_of(self, limiter: str) -> int:
        """Return the number of the current incarnation of a limiter."""

    def new_request(self, limiter: str) -> tuple[str, bytes]:
        """Return the id and the command of a new request."""

    def note(self, what: str, **fields: Any) -> None:
        """Add an event to the history."""


class SoakConnection(Stream):
    """One connection of a client."""

    def __init__(self, client: SoakClient, incarnation: int) -> None:
        self.client = client
        self.incarnation = incarnation
        self.unanswered: deque[str] = deque()  # request ids, in the order of their commands
        self.buffer = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Notify the client that the connection is open."""
        super().connectionMade()
        self.client.on_connected(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process all complete replies and keep the rest."""
        self.buffer += data
        start = 0
        try:
            while start < len(self.buffer) and (reply := resp.read_reply(self.buffer, start)) is not None:
                start = reply.end
                self._on_reply(reply)
        except MalformedError as error:
            self.client.harness.note("garbled", bytes=str(error))
            self.abort()
        self.buffer = self.buffer[start:]

    def _on_reply(self, reply: resp.Reply) -> None:
        if not self.unanswered:
            self.client.harness.note("garbled", bytes=f"reply without a request: {reply.line!r}")
            return
        ident = self.unanswered.popleft()
        verdict, made_for = "failed", ""
        if reply.value is not None:
            verdict = "served"
            made_for = bytes(reply.value).split(b"\r\n")[1].rpartition(b" ")[2].decode("ascii", "replace")
        elif reply.line.startswith(b"-BUSY"):
            verdict = "refused"
        self.client.on_answer(self, ident, verdict, made_for)

    def lost(self) -> None:
        """Notify the client that the connection is closed."""
        self.client.on_disconnected(self)


class SoakClient:
    """One client of one limiter; it reconnects whenever its connection is closed."""

    def __init__(
        self, reactor: Any, harness: Harness, limiter: str, kind: ClientKind, rng: random.Random
    ) -> None:
        self.reactor = reactor
        self.harness = harness
        self.limiter = limiter
        self.kind = kind
        self.random = rng
        self.connection: SoakConnection | None = None
        self.has_left = False
        self.is_stopped = False
        # Requests to send again, as their connections were closed without an answer.
        self.resends: deque[tuple[str, bytes]] = deque()
        self.commands: dict[str, bytes] = {}
        self.resent: set[str] = set()

    def connect(self) -> None:
        """Connect to the limiter, or try again later if it is not running."""
        port = self.harness.port_of(self.limiter)
        if self.is_stopped:
            return
        if port is None:
            self._later(RECONNECT_S, self.connect)
            return
        connection = SoakConnection(self, self.harness.incarnation_of(self.limiter))
        dial = StreamFactory(connection, lambda: self._later(RECONNECT_S, self.connect))
        self.reactor.connectTCP("127.0.0.1", port, dial, timeout=CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        """Send no more requests; answers to earlier ones are still processed."""
        self.is_stopped = True

    def on_connected(self, connection: SoakConnection) -> None:
        """Send as many requests as this kind of client keeps outstanding."""
        self.connection = connection
        self.has_left = False
        count = PIPELINED_REQUESTS if self.kind is ClientKind.PIPELINED else 1
        for _ in range(count):
            self._send_request(connection)

    def _send_request(self, connection: SoakConnection) -> None:
        if connection.is_closed or self.is_stopped or connection is not self.connection:
            return
        ident, command = self.resends.popleft() if self.resends else self.harness.new_request(self.limiter)
        self.commands[ident] = command
        connection.unanswered.append(ident)
        if self.kind is ClientKind.PIECES:
            self._send_piece(connection, ident, command)
        else:
            connection.send(command)
            self._record_request(connection, ident)
        if self.kind is ClientKind.LEAVING:
            self._later(self.random.uniform(*LEAVE_AFTER_S), lambda: self._leave(connection))

    def _send_piece(self, connection: SoakConnection, ident: str, rest: bytes) -> None:
        if connection.is_closed:
            return
        size = self.random.randint(1, max(1, len(rest) // 2))
        connection.send(rest[:size])
        if len(rest) == size:
            self._record_request(connection, ident)
        else:
            wait_s = self.random.uniform(*PIECE_INTERVAL_S)
            self._later(wait_s, lambda: self._send_piece(connection, ident, rest[size:]))

    def _record_request(self, connection: SoakConnection, ident: str) -> None:
        self.harness.note("ask", ident=ident, limiter=self.limiter, life=connection.incarnation)

    def _leave(self, connection: SoakConnection) -> None:
        if connection.is_closed or not connection.unanswered:
            return
        self.has_left = True
        for ident in connection.unanswered:
            self.harness.note("left", ident=ident)
        connection.abort()

    def on_answer(self, connection: SoakConnection, ident: str, verdict: str, made_for: str) -> None:
        """Record an answer and schedule the next request."""
        self.commands.pop(ident, None)
        self.harness.note("answer", ident=ident, verdict=verdict, made_for=made_for)
        # A pipelined client does not pause, so that its connection always has an open request.
        wait_s = 0.0 if self.kind is ClientKind.PIPELINED else self.random.uniform(*THINK_TIME_S)
        self._later(wait_s, lambda: self._send_request(connection))

    def on_disconnected(self, connection: SoakConnection) -> None:
        """Queue the unanswered requests for one resend, as the protocol requires, and reconnect."""
        for ident in connection.unanswered:
            if not self.has_left:
                self.harness.note("lost", ident=ident, limiter=self.limiter, life=connection.incarnation)
                self._queue_for_resend(ident)
        if connection is self.connection:
            self.connection = None
            self._later(RECONNECT_S, self.connect)

    def _queue_for_resend(self, ident: str) -> None:
        if ident in self.resent:
            return
        self.resent.add(ident)
        self.resends.append((ident, self.commands[ident]))

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self.reactor.callLater(delay_s, call)
