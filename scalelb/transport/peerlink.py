"""Links between limiters: one TCP connection per pair, with the codec and the streams of the client side.

A message is a command of two parts, `PEERS` and a JSON value. The first message of each side names it. A
connection is closed if that name is not in the configuration or is the limiter's own. Links are meant for a
private network: peers are not authenticated, and `program/peering.py` bounds what their messages can cause.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import DelayedCall, Log, Reactor, Stream, dial, host_port

COMMAND_NAME = b"PEERS"
HELLO_TIMEOUT_S = 2.0  # for the first message of a peer
CONNECT_TIMEOUT_MS = 1000.0
RECEIVE_TIMEOUT_S = 3.0  # a link on which nothing arrives for longer may be cut and is closed
MAX_BYTES_PER_S = 2 * 1024 * 1024  # from one peer
MAX_MALFORMED_MESSAGES, BLOCK_S = 3, 10.0  # a peer that reaches this number is blocked for so long
PROTOCOL_VERSION = 1


class PeerConnection(Stream):
    """One connection. `name` is that of the peer, or empty until it is known.

    Times are in seconds of the reactor's clock."""

    def __init__(self, links: PeerLinks, name: str = "") -> None:
        self.links, self.name, self.is_outgoing = links, name, bool(name)
        self.reader = resp.CommandReader()
        self.has_hello = False  # the peer's first message has been received
        self.bytes_in_window, self.window_started_at, self.last_received_at = 0, 0.0, 0.0
        self.hello_timeout: DelayedCall | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first message, and wait for that of the peer."""
        super().connectionMade()
        self.last_received_at = self.links.reactor.seconds()
        self.hello_timeout = self.links.reactor.callLater(HELLO_TIMEOUT_S, self.on_hello_timeout)
        self.send_message({"hello": self.links.own_name, "form": PROTOCOL_VERSION})

    def on_hello_timeout(self) -> None:
        """Close the connection if the peer has not named itself in time."""
        if not self.has_hello:
            self.abort()

    def send_message(self, message: Any) -> None:
        """Send one message."""
        data = orjson.dumps(message)
        self.links.bytes_sent += len(data)
        self.send(b"*2\r\n$5\r\n%s\r\n$%d\r\n%s\r\n" % (COMMAND_NAME, len(data), data))

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the peer; close the connection if they are malformed.

        It is also closed if the peer sends more than `MAX_BYTES_PER_S`, as parsing takes processor time."""
        now = self.links.reactor.seconds()
        if now - self.window_started_at >= 1.0:
            self.window_started_at, self.bytes_in_window = now, 0
        self.bytes_in_window += len(data)
        self.links.bytes_received += len(data)
        self.last_received_at = now
        try:
            if self.bytes_in_window > MAX_BYTES_PER_S:
                raise MalformedError("too much in one second")
            for command in self.reader.feed(data):
                if command.name != COMMAND_NAME or len(command) != 2:
                    raise MalformedError("not a peer's message")
                try:
                    message = orjson.loads(command.part(1))
                except orjson.JSONDecodeError as error:
                    raise MalformedError(f"not JSON: {error}") from None
                if self.has_hello:
                    self.links.on_peer_message(self, message)
                else:
                    self.links.on_hello(self, message)
                if self.is_closed or self.links.is_closing:
                    return
        except (MalformedError, ValueError) as error:
            self.links.on_malformed(self, str(error))

    def lost(self) -> None:
        """Report the end of the connection."""
        if self.hello_timeout is not None and self.hello_timeout.active():
            self.hello_timeout.cancel()
        self.links.on_connection_end(self)


class PeerLinks(ServerFactory):
    """All links of one limiter.

    Callbacks are notified of links that come up or go down, and of messages. No call waits for a peer."""

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        own_name: str,
        peers: dict[str, str],
        log: Log,
        on_link_up: Callable[[str], None],
        on_link_down: Callable[[str], None],
        on_message: Callable[[str, Any], None],
    ) -> None:
        """`own_name` is that of this limiter; `peers` holds the addresses of the others by name."""
        self.reactor, self.own_name, self.log = reactor, own_name, log
        self.peers = {name: host_port(address) for name, address in peers.items()}
        self.on_link_up, self.on_link_down, self.on_message = on_link_up, on_link_down, on_message
        self.established: dict[str, PeerConnection] = {}  # by name of the peer
        self.dialling: set[str] = set()
        self.connections: set[PeerConnection] = set()  # all of them, including those of unknown peers
        self.malformed_counts: dict[str, int] = {}
        self.blocked_until: dict[str, float] = {}
        self.bytes_sent = self.bytes_received = 0
        self.is_closing = False

    def buildProtocol(self, addr: IAddress | None) -> PeerConnection | None:  # noqa: N802
        """Accept a connection. The limit of about two per peer protects the file descriptors."""
        if self.is_closing or len(self.connections) >= 2 * len(self.peers) + 4:
            return None
        connection = PeerConnection(self)
        self.connections.add(connection)
        return connection

    def dial(self, name: str) -> None:
        """Open a link, unless there is one already, one is being opened, or the peer is blocked."""
        is_blocked = self.reactor.seconds() < self.blocked_until.get(name, 0.0)
        if (
            name in self.established
            or name in self.dialling
            or is_blocked
            or name not in self.peers
            or self.is_closing
        ):
            return
        self.dialling.add(name)
        connection = PeerConnection(self, name)
        self.connections.add(connection)
        dial(
            self.reactor,
            self.peers[name],
            connection,
            lambda: self.on_connection_end(connection),
            CONNECT_TIMEOUT_MS,
        )

    def on_hello(self, connection: PeerConnection, message: Any) -> None:
        """Process a peer's first message.

        The connection replaces an older one with the same peer, as that one may be cut. Raises
        `MalformedError` if the message names no peer, or not the one that was dialled."""
        name = message.get("hello") if isinstance(message, dict) else None
        if not isinstance(name, str) or name not in self.peers or message.get("form") != PROTOCOL_VERSION:
            raise MalformedError("not one of ours")
        if connection.is_outgoing and connection.name != name:
            raise MalformedError(f"{name} answers for {connection.name}")
        if self.reactor.seconds() < self.blocked_until.get(name, 0.0):
            raise MalformedError("shunned")
        connection.name, connection.has_hello = name, True
        if (old := self.established.pop(name, None)) is not None:
            old.abort()
            self.on_link_down(name)
        self.established[name] = connection
        self.on_link_up(name)

    def on_peer_message(self, connection: PeerConnection, message: Any) -> None:
        """Pass on a message, unless its connection has been replaced."""
        if self.established.get(connection.name) is connection:
            self.on_message(connection.name, message)

    def on_malformed(self, connection: PeerConnection, what: str) -> None:
        """Log what was malformed and close the connection; block the peer if this has happened too often."""
        name = connection.name
        self.log("malformed", level="warning", what=what, peer=name or "unnamed")
        if name:
            count = self.malformed_counts[name] = self.malformed_counts.get(name, 0) + 1
            if count >= MAX_MALFORMED_MESSAGES:
                self.malformed_counts[name] = 0
                self.blocked_until[name] = self.reactor.seconds() + BLOCK_S
        connection.abort()

    def on_connection_end(self, connection: PeerConnection) -> None:
        """Remove a connection that has ended or could not be established."""
        self.connections.discard(connection)
        if connection.is_outgoing:
            self.dialling.discard(connection.name)
        if connection.name and self.established.get(connection.name) is connection:
            del self.established[connection.name]
            self.on_link_down(connection.name)

    def is_ready(self, name: str) -> bool:
        """Whether a link to the peer is up and all that was sent on it is with the kernel.

        Until then the caller keeps its newest data, so that no queue of outdated messages builds up."""
        connection = self.established.get(name)
        return connection is not None and connection.is_flushed

    def send(self, name: str, message: Any) -> None:
        """Send a message if a link to the peer is up."""
        if (connection := self.established.get(name)) is not None:
            connection.send_message(message)

    def sweep(self) -> None:
        """Close links on which nothing was received for too long: a cut one would stay open indefinitely."""
        received_before = self.reactor.seconds() - RECEIVE_TIMEOUT_S
        for connection in [c for c in self.established.values() if c.last_received_at < received_before]:
            connection.abort()

    def stop(self) -> None:
        """Close all connections."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.abort()
