"""Links between limiters on in-memory connections: which peers are accepted, and limits on what they send."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from scenario import MemoryNetwork

from scalelb.replication import MalformedFrameError
from scalelb.transport.peerlink import (
    BLOCK_S,
    HELLO_TIMEOUT_S,
    MAX_BYTES_PER_S,
    MAX_MALFORMED_MESSAGES,
    RECEIVE_TIMEOUT_S,
    PeerLinks,
)


def encode_message(message: Any) -> bytes:
    data = message if isinstance(message, bytes) else orjson.dumps(message)
    return b"*2\r\n$5\r\nPEERS\r\n$%d\r\n%s\r\n" % (len(data), data)


HELLO = {"hello": "n1", "form": 1}


class LinksHarness:
    """The links of one limiter, and the calls of their callbacks."""

    def __init__(self) -> None:
        net: Any = MemoryNetwork()
        self.net = net
        self.events: list[tuple[Any, ...]] = []
        self.logged: list[dict[str, Any]] = []
        peers = {"n1": "127.0.0.1:7201", "n2": "127.0.0.1:7202"}
        self.links = PeerLinks(
            self.net, "n0", peers, lambda event, **fields: self.logged.append({"event": event, **fields}),
            lambda name: self.events.append(("up", name)), lambda name: self.events.append(("down", name)),
            self.on_message,
        )  # fmt: skip

    def on_message(self, name: str, message: Any) -> None:
        if message == "invalid":
            raise MalformedFrameError("invalid")
        self.events.append((name, message))

    def accept(self, *messages: Any) -> Any:
        """Return a connection that a peer has opened and on which it has sent these messages."""
        wire = self.net.connect("peer", self.links)
        for message in messages:
            if not wire.ended:
                wire.protocol.dataReceived(encode_message(message))
        return wire


def test_configured_peer_is_accepted_and_its_newer_connection_replaces_the_older() -> None:
    harness = LinksHarness()
    wire = harness.accept(HELLO, {"k": 1})
    assert harness.events == [("up", "n1"), ("n1", {"k": 1})]
    assert b'{"hello":"n0","form":1}' in wire.value()
    assert harness.links.is_ready("n1")
    newer = harness.accept(HELLO)
    assert wire.ended  # the older connection may be cut, so the newer one replaces it
    assert harness.events[2:] == [("down", "n1"), ("up", "n1")]
    assert not newer.ended


@pytest.mark.parametrize(
    "first_message",
    [
        {"hello": "n9", "form": 1}, {"hello": "n0", "form": 1}, {"hello": "n1", "form": 2}, {"hello": 7},
        [], b"{",
    ],
    ids=str,
)  # fmt: skip
def test_connection_with_an_invalid_first_message_is_closed(first_message: Any) -> None:
    harness = LinksHarness()
    assert harness.accept(first_message).ended
    assert harness.events == []
    assert harness.logged[0]["event"] == "malformed"


def test_connections_are_limited_and_closed_without_a_first_message_in_time() -> None:
    harness = LinksHarness()
    wires = [harness.accept() for _ in range(40)]
    assert sum(not wire.ended for wire in wires) == 2 * 2 + 4
    harness.net.advance(HELLO_TIMEOUT_S + 0.1)
    assert all(wire.ended for wire in wires)
    assert not harness.links.connections


def test_peer_is_blocked_for_some_time_after_repeated_malformed_messages() -> None:
    harness = LinksHarness()
    for _ in range(MAX_MALFORMED_MESSAGES):
        assert harness.accept(HELLO, "invalid").ended
    assert harness.accept(HELLO).ended
    harness.links.dial("n1")
    assert not harness.links.dialling
    harness.net.advance(BLOCK_S + 0.1)
    assert not harness.accept(HELLO).ended


def test_peer_that_sends_too_much_or_nothing_is_disconnected() -> None:
    harness = LinksHarness()
    excessive, unresponsive = harness.accept(HELLO), harness.accept({"hello": "n2", "form": 1})
    for _ in range(1 + MAX_BYTES_PER_S // 60_000):
        if not excessive.ended:
            excessive.protocol.dataReceived(encode_message({"k": "x" * 60_000}))
    assert excessive.ended
    harness.net.advance(RECEIVE_TIMEOUT_S + 0.1)
    harness.links.sweep()
    assert unresponsive.ended
    assert ("down", "n2") in harness.events


def test_connection_is_closed_if_another_peer_answers() -> None:
    harness = LinksHarness()
    harness.links.dial("n2")
    harness.links.dial("n2")
    harness.net.advance(0)
    [wire] = harness.net.wires["backend2"]
    wire.protocol.dataReceived(encode_message(HELLO))
    assert wire.ended
    assert harness.events == []
