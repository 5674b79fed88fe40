"""What all connections share: a line receiver in raw mode whose bytes go to a codec."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import MSG_PEEK, SHUT_WR
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress, IPullProducer
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

Log = Callable[..., None]


class Delay(Protocol):
    """A call that is to be made later."""

    def cancel(self) -> None:
        """Do not make it."""

    def active(self) -> bool:
        """Whether it is still to be made."""


class Reactor(Protocol):
    """What is used of a Twisted reactor."""

    def seconds(self) -> float:
        """The time, on a clock that only goes on."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Delay:  # noqa: N802
        """Call after so many seconds."""

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: ClientFactory, timeout: float = 30
    ) -> Any:
        """Open a connection."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Accept connections."""


@implementer(IPullProducer)
class Drain:
    """Told by the transport when all that was written is with the kernel."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.asked = False

    def resumeProducing(self) -> None:  # noqa: N802
        """The first call comes at the registration, the second when the buffer is empty."""
        if self.asked:
            self.stream.transport.unregisterProducer()
            self.stream.flushed = True
            self.stream.drained()
        self.asked = True

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost."""


class Stream(LineReceiver):
    """A connection.  `flushed` tells whether all bytes sent so far are with the kernel.

    Sends go straight to the socket while nothing waits before them: a write through the reactor costs two
    more system calls and a round of its loop, and does not tell when the last byte has left.
    """

    transport: Any = None
    flushed = True
    gone = False
    socket: Any = None
    connector: Any = None  # of one that we open, until it is up

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        self.connector, self.line_mode = None, 0  # raw; as setRawMode() does
        self.socket = getattr(self.transport, "socket", None)
        if self.socket is not None:
            self.transport.setTcpNoDelay(True)

    def send(self, data: bytes | memoryview) -> None:
        """Write; what the kernel does not take at once is copied and follows."""
        if self.gone:
            return
        sent = 0
        if self.flushed and self.socket is not None:
            try:
                sent = self.socket.send(data)
            except OSError:  # full or broken: the transport finds out which
                sent = 0
            if sent == len(data):
                return
        self.transport.write(bytes(data[sent:] if sent else data))
        if self.flushed and self.socket is not None:
            self.flushed = False
            self.transport.registerProducer(Drain(self), False)

    def unread(self) -> bool:
        """Whether the kernel holds something of the peer, or its end, that was not read yet."""
        if self.socket is None:
            return False
        try:
            self.socket.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:  # it has broken
            return True
        return True

    def hung_up(self) -> bool:
        """Whether the peer has ended its side, also behind bytes that are not read yet: a connection that is
        paused is not read, so the loop does not tell."""
        if self.socket is None:
            return self.gone
        watch = poll()
        watch.register(self.socket, POLLRDHUP)
        return any(event & (POLLRDHUP | POLLHUP | POLLERR) for _, event in watch.poll(0))

    def drained(self) -> None:
        """All that was written has left."""

    def pause(self) -> None:
        """Read no further for now."""
        self.paused = True
        self.transport.pauseProducing()

    def read_on(self) -> None:
        """Read again."""
        self.paused = False
        self.transport.resumeProducing()

    def close(self) -> None:
        """End the connection once all is written."""
        if not self.gone:
            self.transport.loseConnection()

    def close_now(self) -> None:
        """End the connection; nothing waits to be written.  The transport would close its socket only in a
        later round of the loop."""
        self.end_writing()
        self.close()

    def end_writing(self) -> None:
        """End our sending at once; nothing waits to be written."""
        if self.socket is not None:
            with suppress(OSError):  # it may have been reset meanwhile
                self.socket.shutdown(SHUT_WR)

    def close_writing(self) -> None:
        """End our sending once all is written; the rest is the peer's.  A connection that is closed while
        bytes of the peer are unread is reset, and the peer may lose what it was just sent."""
        if not self.gone:
            self.transport.loseWriteConnection()

    def abort(self) -> None:
        """End the connection now.

        Guards the rule of one attempt at a time: the transport closes its socket only in a later round of the
        loop, and the next attempt may be written in this one.  Our sending ends before this returns.
        """
        if self.gone:
            return
        if self.transport is None:  # it is still dialled: there is no connection yet
            if self.connector is not None:
                self.connector.stopConnecting()
            return
        self.end_writing()
        self.transport.abortConnection()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Never called in raw mode."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """The connection has ended."""
        self.gone, self.socket = True, None
        self.lost()

    def lost(self) -> None:
        """The connection has ended."""


class Dial(ClientFactory):
    """Opens one connection for a given stream."""

    noisy = False

    def __init__(self, stream: Stream, failed: Callable[[], None]) -> None:
        self.stream, self.failed = stream, failed

    def buildProtocol(self, addr: IAddress | None) -> Stream:  # noqa: N802
        """The connection is up."""
        return self.stream

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """It never came up."""
        self.stream.gone, self.stream.connector = True, None
        self.failed()


def dial(
    reactor: Reactor, address: tuple[str, int], stream: Stream, failed: Callable[[], None], timeout_ms: float
) -> None:
    """Open a connection for a stream, whose `abort` may end it before it is up; `failed` is told then too."""
    stream.connector = reactor.connectTCP(*address, Dial(stream, failed), timeout=timeout_ms / 1000)


def host_port(address: str) -> tuple[str, int]:
    """`host:port`, also `[v6]:port`, to its parts."""
    host, mark, port = address.rpartition(":")
    if not mark or not port.isdigit() or not 0 <= int(port) < 65536 or not host:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)
