"""Clients of the soak: they keep using their connections until the limiter's end."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from scalelb.lab.soak_plan import ClientKind
from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Stream, StreamFactory

PIPELINED_REQUESTS = 4
THINK_S = (0.02, 0.2)  # between an answer and the next request
PIECE_S = (0.001, 0.03)  # between two writes of one command
STAY_S = (0.0, 0.3)  # that a leaving client waits for its answer
RECONNECT_S = 0.1
CONNECT_TIMEOUT_S = 2.0


class Recorder(Protocol):
    """The stage, as its clients see it."""

    def port_of(self, limiter: str) -> int | None:
        """Where a limiter listens, while it runs."""

    def life_of(self, limiter: str) -> int:
        """Which of its lives runs."""

    def new_request(self, limiter: str) -> tuple[str, bytes]:
        """The next request: its id and its command."""

    def note(self, what: str, **fields: Any) -> None:
        """Keep an event."""


class SoakConnection(Stream):
    """One connection of a client."""

    def __init__(self, client: SoakClient, life: int) -> None:
        self.client = client
        self.life = life
        self.waiting: deque[str] = deque()  # ids, in the order of their commands
        self.buffer = b""

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        self.client.connected(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answers, whole or in part."""
        self.buffer += data
        at = 0
        try:
            while at < len(self.buffer) and (reply := resp.read_reply(self.buffer, at)) is not None:
                at = reply.end
                self._answered(reply)
        except MalformedError as error:
            self.client.stage.note("garbled", bytes=str(error))
            self.abort()
        self.buffer = self.buffer[at:]

    def _answered(self, reply: resp.Reply) -> None:
        if not self.waiting:
            self.client.stage.note("garbled", bytes=f"an answer to nothing: {reply.line!r}")
            return
        ident = self.waiting.popleft()
        verdict, made_for = "failed", ""
        if reply.value is not None:
            verdict = "served"
            made_for = bytes(reply.value).split(b"\r\n")[1].rpartition(b" ")[2].decode("ascii", "replace")
        elif reply.line.startswith(b"-BUSY"):
            verdict = "refused"
        self.client.answered(self, ident, verdict, made_for)

    def lost(self) -> None:
        """The connection has ended."""
        self.client.disconnected(self)


class SoakClient:
    """One client of one limiter; it connects anew whenever its connection ends."""

    def __init__(
        self, reactor: Any, stage: Recorder, limiter: str, kind: ClientKind, rng: random.Random
    ) -> None:
        self.reactor = reactor
        self.stage = stage
        self.limiter = limiter
        self.kind = kind
        self.random = rng
        self.connection: SoakConnection | None = None
        self.has_left = False
        self.is_stopped = False
        self.resend: deque[tuple[str, bytes]] = deque()  # whose connection ended without an answer
        self.commands: dict[str, bytes] = {}
        self.resent: set[str] = set()

    def connect(self) -> None:
        """Dial the limiter, now or once it runs again."""
        port = self.stage.port_of(self.limiter)
        if self.is_stopped:
            return
        if port is None:
            self._later(RECONNECT_S, self.connect)
            return
        connection = SoakConnection(self, self.stage.life_of(self.limiter))
        dial = StreamFactory(connection, lambda: self._later(RECONNECT_S, self.connect))
        self.reactor.connectTCP("127.0.0.1", port, dial, timeout=CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        """Send nothing more; what is owed is still taken."""
        self.is_stopped = True

    def connected(self, connection: SoakConnection) -> None:
        """The connection is up: send as many requests as this kind of client keeps outstanding."""
        self.connection = connection
        self.has_left = False
        count = PIPELINED_REQUESTS if self.kind is ClientKind.PIPELINED else 1
        for _ in range(count):
            self._ask(connection)

    def _ask(self, connection: SoakConnection) -> None:
        if connection.is_closed or self.is_stopped or connection is not self.connection:
            return
        ident, command = self.resend.popleft() if self.resend else self.stage.new_request(self.limiter)
        self.commands[ident] = command
        connection.waiting.append(ident)
        if self.kind is ClientKind.PIECES:
            self._send_piece(connection, ident, command)
        else:
            connection.send(command)
            self._sent(connection, ident)
        if self.kind is ClientKind.LEAVING:
            self._later(self.random.uniform(*STAY_S), lambda: self._leave(connection))

    def _send_piece(self, connection: SoakConnection, ident: str, rest: bytes) -> None:
        if connection.is_closed:
            return
        size = self.random.randint(1, max(1, len(rest) // 2))
        connection.send(rest[:size])
        if len(rest) == size:
            self._sent(connection, ident)
        else:
            wait_s = self.random.uniform(*PIECE_S)
            self._later(wait_s, lambda: self._send_piece(connection, ident, rest[size:]))

    def _sent(self, connection: SoakConnection, ident: str) -> None:
        self.stage.note("ask", ident=ident, limiter=self.limiter, life=connection.life)

    def _leave(self, connection: SoakConnection) -> None:
        if connection.is_closed or not connection.waiting:
            return
        self.has_left = True
        for ident in connection.waiting:
            self.stage.note("left", ident=ident)
        connection.abort()

    def answered(self, connection: SoakConnection, ident: str, verdict: str, made_for: str) -> None:
        """One answer: the next request follows after a while."""
        self.commands.pop(ident, None)
        self.stage.note("answer", ident=ident, verdict=verdict, made_for=made_for)
        # Who pipelines leaves its connection no moment without an open request.
        wait_s = 0.0 if self.kind is ClientKind.PIPELINED else self.random.uniform(*THINK_S)
        self._later(wait_s, lambda: self._ask(connection))

    def disconnected(self, connection: SoakConnection) -> None:
        """The connection has ended: what was unanswered is sent once more, as the protocol has it."""
        for ident in connection.waiting:
            if not self.has_left:
                self.stage.note("lost", ident=ident, limiter=self.limiter, life=connection.life)
                self._keep_for_resending(ident)
        if connection is self.connection:
            self.connection = None
            self._later(RECONNECT_S, self.connect)

    def _keep_for_resending(self, ident: str) -> None:
        if ident in self.resent:
            return
        self.resent.add(ident)
        self.resend.append((ident, self.commands[ident]))

    def _later(self, seconds: float, call: Callable[[], None]) -> None:
        self.reactor.callLater(seconds, call)
