"""Base of all connections: a line receiver in raw mode, whose subclasses pass the bytes to a codec."""

from __future__ import annotations

import fcntl
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import MSG_PEEK, SHUT_WR, SO_RCVBUF, SOL_SOCKET
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress, IPullProducer
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

Log = Callable[..., None]


class DelayedCall(Protocol):
    """The part of Twisted's `IDelayedCall` that is used here."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class Reactor(Protocol):
    """The part of a Twisted reactor that is used here."""

    def seconds(self) -> float:
        """Return the time (s) of a monotonic clock."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall:  # noqa: N802
        """Schedule a call after `delay` seconds."""

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: ClientFactory, timeout: float = 30
    ) -> Any:
        """Open a connection; return its connector."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Listen for connections; return the port."""


@implementer(IPullProducer)
class FlushNotifier:
    """A producer through which the transport reports that the kernel has taken all bytes written."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.is_registered = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Ignore the first call, made on registration; the second is made when the buffer is empty."""
        if self.is_registered:
            self.stream.transport.unregisterProducer()
            self.stream.is_flushed = True
            self.stream.on_flushed()
        self.is_registered = True

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the stream learns of a lost connection by `connectionLost`."""


class Stream(LineReceiver):
    """A connection. `is_flushed` is true while the kernel has taken all bytes sent so far.

    As long as no earlier bytes wait, `send` writes directly to the socket: a write through the reactor costs
    two more system calls and a round of its loop, and does not report when the last byte was written.
    """

    transport: Any = None
    is_flushed = True
    is_closed = False
    max_read_bytes = 64 * 1024  # of one read, all of which is handled before other connections are read
    socket: Any = None
    connector: Any = None  # of an outgoing connection until it is established

    def connectionMade(self) -> None:  # noqa: N802
        """Set up an established connection."""
        self.connector, self.line_mode = None, 0  # raw mode, as set by setRawMode()
        self.socket = getattr(self.transport, "socket", None)
        if self.socket is not None:
            self.transport.setTcpNoDelay(True)
            self.transport.bufferSize = self.max_read_bytes

    def send(self, data: bytes | memoryview) -> None:
        """Write bytes; those that the kernel does not take at once are copied and written later."""
        if self.is_closed:
            return
        sent = 0
        if self.is_flushed and self.socket is not None:
            try:
                sent = self.socket.send(data)
            except OSError:  # the buffer is full, or the connection is broken: the transport finds out which
                sent = 0
            if sent == len(data):
                return
        self.transport.write(bytes(data[sent:] if sent else data))
        if self.is_flushed and self.socket is not None:
            self.is_flushed = False
            self.transport.registerProducer(FlushNotifier(self), False)

    def has_unread_data(self) -> bool:
        """Return whether the kernel holds unread bytes of the peer, or the end of its input or an error."""
        if self.socket is None:
            return False
        try:
            self.socket.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:  # the connection is broken
            return True
        return True

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed its side, even if unread bytes precede that.

        A paused connection is not read, so the reactor does not report that its peer has closed.
        """
        if self.socket is None:
            return self.is_closed
        poller = poll()
        poller.register(self.socket, POLLRDHUP)
        return any(event & (POLLRDHUP | POLLHUP | POLLERR) for _, event in poller.poll(0))

    def may_hide_close(self) -> bool:
        """Return whether the kernel holds so many unread bytes that the peer's close may wait behind them.

        The kernel takes no more once its receive buffer is full, which its bookkeeping makes it at about half
        of its size; the end of the stream then stays with the peer.
        """
        if self.socket is None:
            return False
        try:
            unread = struct.unpack("i", fcntl.ioctl(self.socket, termios.FIONREAD, b"\0" * 4))[0]
            return bool(2 * unread >= self.socket.getsockopt(SOL_SOCKET, SO_RCVBUF))
        except OSError:  # the connection is broken, which `has_peer_closed` reports
            return False

    def on_flushed(self) -> None:
        """Called when the kernel has taken all bytes written."""

    def pause(self) -> None:
        """Stop reading."""
        self.paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Start reading again."""
        self.paused = False
        self.transport.resumeProducing()

    def close(self) -> None:
        """Close the connection when all bytes are written."""
        if not self.is_closed:
            self.transport.loseConnection()

    def close_immediately(self) -> None:
        """Close a connection that has no bytes left to write; the peer sees this at once.

        The transport alone would close the socket only in a later round of the reactor.
        """
        self.shutdown_write()
        self.close()

    def shutdown_write(self) -> None:
        """Half-close a connection that has no bytes left to write, before this returns.

        `half_close` does so in a later round of the reactor, when all bytes are written.
        """
        if self.socket is not None:
            with suppress(OSError):  # the connection may have been reset
                self.socket.shutdown(SHUT_WR)

    def half_close(self) -> None:
        """Half-close the connection when all bytes are written; the peer closes the other half.

        Closing a connection while bytes of the peer are unread resets it, and the peer may lose the bytes
        that were just sent.
        """
        if not self.is_closed:
            self.transport.loseWriteConnection()

    def abort(self) -> None:
        """End the connection without writing the remaining bytes, or stop connecting.

        The sending side is shut down before this returns. The transport closes the socket only in a later
        round of the reactor, while the next attempt of a request may be written in the current one: two
        attempts would be in flight at the same time.
        """
        if self.is_closed:
            return
        if self.transport is None:  # not connected yet
            if self.connector is not None:
                self.connector.stopConnecting()
            return
        self.shutdown_write()
        self.transport.abortConnection()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Never called in raw mode."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Mark the stream as closed and call `lost`."""
        self.is_closed, self.socket = True, None
        self.lost()

    def lost(self) -> None:
        """Called when the connection has ended."""


class StreamFactory(ClientFactory):
    """Connects one given stream."""

    noisy = False

    def __init__(self, stream: Stream, on_failure: Callable[[], None]) -> None:
        self.stream, self.on_failure = stream, on_failure

    def buildProtocol(self, addr: IAddress | None) -> Stream:  # noqa: N802
        """Return the stream for the established connection."""
        return self.stream

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Report that the connection could not be established."""
        self.stream.is_closed, self.stream.connector = True, None
        self.on_failure()


def dial(
    reactor: Reactor,
    address: tuple[str, int],
    stream: Stream,
    on_failure: Callable[[], None],
    timeout_ms: float,
) -> None:
    """Open a connection for a stream; `on_failure` is also called if `Stream.abort` stops the connecting."""
    stream.connector = reactor.connectTCP(
        *address, StreamFactory(stream, on_failure), timeout=timeout_ms / 1000
    )


def host_port(address: str) -> tuple[str, int]:
    """Split an address, `host:port` or `[v6]:port`, into host and port."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) < 65536 or not host:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)
