"""The links between limiters: one TCP connection for a pair, on the codec and streams of the clients' side.

A message is a command of two words, `PEERS` and a JSON value. The first of each side names it; one whose name
is not on the list, or is our own, is hung up on. For a private network: nobody signs in here, and what a peer
may do to us is bounded by what is made of its words (`program/peering.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Delay, Log, Reactor, Stream, dial, host_port

WORD = b"PEERS"
HELLO_TIMEOUT_S = 2.0  # in which a peer has to name itself
DIAL_MS = 1000.0  # for a connection to come up
RECEIVE_TIMEOUT_S = 3.0  # of silence after which a link is given up: it may be cut
MAX_BYTES_PER_S = 2 * 1024 * 1024  # that one peer may send in a second
MAX_MALFORMED_MESSAGES, BLOCK_S = 3, 10.0  # messages that can't be read before a peer is shunned, for so long
FORM = 1


class PeerConnection(Stream):
    """One connection; `name` is the peer's once it is known."""

    def __init__(self, links: PeerLinks, name: str = "") -> None:
        self.links, self.name, self.dialled = links, name, bool(name)
        self.reader = resp.CommandReader()
        self.greeted = False  # its first message has come
        self.came, self.second, self.heard = 0, 0.0, 0.0
        self.late: Delay | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up: say who is here."""
        super().connectionMade()
        self.heard = self.links.reactor.seconds()
        self.late = self.links.reactor.callLater(HELLO_TIMEOUT_S, self.unnamed)
        self.say({"hello": self.links.me, "form": FORM})

    def unnamed(self) -> None:
        """Nobody has said who it is in time."""
        if not self.greeted:
            self.abort()

    def say(self, message: Any) -> None:
        """Send one message."""
        data = orjson.dumps(message)
        self.links.bytes_sent += len(data)
        self.send(b"*2\r\n$5\r\n%s\r\n$%d\r\n%s\r\n" % (WORD, len(data), data))

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes of a peer.  Guards the processor: one that sends too much is hung up on."""
        now = self.links.reactor.seconds()
        if now - self.second >= 1.0:
            self.second, self.came = now, 0
        self.came += len(data)
        self.links.bytes_received += len(data)
        self.heard = now
        try:
            if self.came > MAX_BYTES_PER_S:
                raise MalformedError("too much in one second")
            for command in self.reader.feed(data):
                if command.name != WORD or len(command) != 2:
                    raise MalformedError("not a peer's message")
                try:
                    message = orjson.loads(command.part(1))
                except orjson.JSONDecodeError as error:
                    raise MalformedError(f"not JSON: {error}") from None
                if self.greeted:
                    self.links.heard(self, message)
                else:
                    self.links.greet(self, message)
                if self.gone or self.links.is_closing:
                    return
        except (MalformedError, ValueError) as error:
            self.links.wrong(self, str(error))

    def lost(self) -> None:
        """The connection has ended."""
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.links.ended(self)


class PeerLinks(ServerFactory):
    """All links of one limiter.  `heard` and the rest call the owner back; it never waits for a peer."""

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        me: str,
        peers: dict[str, str],
        log: Log,
        joined: Callable[[str], None],
        left: Callable[[str], None],
        message: Callable[[str, Any], None],
    ) -> None:
        """`peers`: the others' names and addresses."""
        self.reactor, self.me, self.log = reactor, me, log
        self.peers = {name: host_port(address) for name, address in peers.items()}
        self.joined, self.left, self.message = joined, left, message
        self.up: dict[str, PeerConnection] = {}
        self.dialling: set[str] = set()
        self.connections: set[PeerConnection] = set()
        self.wrongs: dict[str, int] = {}
        self.shunned: dict[str, float] = {}
        self.bytes_sent = self.bytes_received = 0  # bytes
        self.is_closing = False

    def buildProtocol(self, addr: IAddress | None) -> PeerConnection | None:  # noqa: N802
        """A peer connects.  Guards the descriptors: two for each peer at most."""
        if self.is_closing or len(self.connections) >= 2 * len(self.peers) + 4:
            return None
        connection = PeerConnection(self)
        self.connections.add(connection)
        return connection

    def dial(self, name: str) -> None:
        """Open a link, unless there is one or one is coming up."""
        shunned = self.reactor.seconds() < self.shunned.get(name, 0.0)
        if name in self.up or name in self.dialling or shunned or name not in self.peers or self.is_closing:
            return
        self.dialling.add(name)
        connection = PeerConnection(self, name)
        self.connections.add(connection)
        dial(self.reactor, self.peers[name], connection, lambda: self.ended(connection), DIAL_MS)

    def greet(self, connection: PeerConnection, message: Any) -> None:
        """A peer's first message.  A newer connection takes the older one's place, which may be cut."""
        name = message.get("hello") if isinstance(message, dict) else None
        if not isinstance(name, str) or name not in self.peers or message.get("form") != FORM:
            raise MalformedError("not one of ours")
        if connection.dialled and connection.name != name:
            raise MalformedError(f"{name} answers for {connection.name}")
        if self.reactor.seconds() < self.shunned.get(name, 0.0):
            raise MalformedError("shunned")
        connection.name, connection.greeted = name, True
        if (old := self.up.pop(name, None)) is not None:
            old.abort()
            self.left(name)
        self.up[name] = connection
        self.joined(name)

    def heard(self, connection: PeerConnection, message: Any) -> None:
        """A message of a peer that has named itself."""
        if self.up.get(connection.name) is connection:
            self.message(connection.name, message)

    def wrong(self, connection: PeerConnection, what: str) -> None:
        """Something that can't be: the link ends; a peer that goes on like that is shunned for a while."""
        name = connection.name
        self.log("malformed", level="warning", what=what, peer=name or "unnamed")
        if name:
            count = self.wrongs[name] = self.wrongs.get(name, 0) + 1
            if count >= MAX_MALFORMED_MESSAGES:
                self.wrongs[name] = 0
                self.shunned[name] = self.reactor.seconds() + BLOCK_S
        connection.abort()

    def ended(self, connection: PeerConnection) -> None:
        """A connection has ended, or never came up."""
        self.connections.discard(connection)
        if connection.dialled:
            self.dialling.discard(connection.name)
        if connection.name and self.up.get(connection.name) is connection:
            del self.up[connection.name]
            self.left(connection.name)

    def is_ready(self, name: str) -> bool:
        """Whether a peer takes more now: what is newest waits for it here, and nothing lines up."""
        connection = self.up.get(name)
        return connection is not None and connection.flushed

    def send(self, name: str, message: Any) -> None:
        """One message, if there is a link."""
        if (connection := self.up.get(name)) is not None:
            connection.say(message)

    def sweep(self) -> None:
        """Give up links on which nothing is heard: a cut one would stay open for good."""
        before = self.reactor.seconds() - RECEIVE_TIMEOUT_S
        for connection in [c for c in self.up.values() if c.heard < before]:
            connection.abort()

    def stop(self) -> None:
        """End all links."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.abort()
