"""Streams on real sockets: when bytes count as sent, and what the peer sees when a connection ends."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from twisted.internet.testing import StringTransport

from scalelb.transport.stream import Stream, host_port


class Wire(StringTransport):
    """A transport over a socket pair that writes and closes later, as Twisted's does."""

    def __init__(self, own_end: socket.socket) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.socket = own_end
        self.aborted = False
        self.producer: Any = None

    def setTcpNoDelay(self, enabled: bool) -> None: ...  # noqa: N802

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        self.producer = None


@pytest.fixture
def stream_and_peer() -> Any:
    own_end, peer = socket.socketpair()
    own_end.setblocking(False)
    peer.settimeout(60)
    stream = Stream()
    make_connection: Any = stream.makeConnection
    make_connection(Wire(own_end))
    yield stream, peer
    own_end.close()
    peer.close()


def test_send_writes_to_the_kernel_before_it_returns(stream_and_peer: Any) -> None:
    stream, peer = stream_and_peer
    stream.send(memoryview(b"xhellox")[1:-1])
    assert stream.is_flushed
    assert peer.recv(100) == b"hello"


def test_bytes_that_the_kernel_does_not_take_at_once_follow_in_order(stream_and_peer: Any) -> None:
    stream, peer = stream_and_peer
    data = bytes(range(256)) * 20_000
    stream.send(data)
    stream.send(b"end")
    assert not stream.is_flushed  # an attempt whose connection is lost now counts as never executed
    rest = stream.transport.value()
    received = b""
    while len(received) < len(data) + 3 - len(rest):
        received += peer.recv(1 << 20)
    assert received + rest == data + b"end"
    stream.transport.producer.resumeProducing()
    assert stream.is_flushed
    stream.send(b"direct again")
    assert peer.recv(100) == b"direct again"


def test_abort_half_closes_the_connection_before_it_returns(stream_and_peer: Any) -> None:
    # The next attempt was written in the same turn, before the reactor closed the old connection, so two
    # attempts of a request were in flight for a moment.
    stream, peer = stream_and_peer
    stream.abort()
    assert peer.recv(100) == b""
    assert stream.transport.aborted


def test_bytes_sent_on_a_broken_connection_are_not_flushed(stream_and_peer: Any) -> None:
    stream, peer = stream_and_peer
    peer.close()
    stream.send(b"first")
    assert not stream.is_flushed


@pytest.mark.parametrize(
    ("text", "parts"), [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:8080", ("::1", 8080)), ("h:0", ("h", 0))]
)
def test_address_is_split_into_host_and_port(text: str, parts: tuple[str, int]) -> None:
    assert host_port(text) == parts


@pytest.mark.parametrize("text", ["", "host", ":80", "host:", "host:x", "host:65536"])
def test_malformed_address_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="host:port"):
        host_port(text)
