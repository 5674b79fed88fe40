"""The links between limiters on sockets in memory: who is let in, who is not, and how much is taken."""

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


def words(message: Any) -> bytes:
    data = message if isinstance(message, bytes) else orjson.dumps(message)
    return b"*2\r\n$5\r\nPEERS\r\n$%d\r\n%s\r\n" % (len(data), data)


HELLO = {"hello": "n1", "form": 1}


class Ends:
    """One limiter's links, and what it was told."""

    def __init__(self) -> None:
        net: Any = MemoryNetwork()
        self.net = net
        self.told: list[tuple[Any, ...]] = []
        self.logged: list[dict[str, Any]] = []
        peers = {"n1": "127.0.0.1:7201", "n2": "127.0.0.1:7202"}
        self.links = PeerLinks(
            self.net, "n0", peers, lambda event, **f: self.logged.append({"event": event, **f}),
            lambda name: self.told.append(("joined", name)), lambda name: self.told.append(("left", name)),
            self.message,
        )  # fmt: skip

    def message(self, name: str, message: Any) -> None:
        if message == "wrong":
            raise MalformedFrameError("wrong")
        self.told.append((name, message))

    def come(self, *messages: Any) -> Any:
        wire = self.net.connect("peer", self.links)
        for message in messages:
            if not wire.ended:
                wire.protocol.dataReceived(words(message))
        return wire


def test_a_peer_on_the_list_is_let_in_and_heard() -> None:
    ends = Ends()
    wire = ends.come(HELLO, {"k": 1})
    assert ends.told == [("joined", "n1"), ("n1", {"k": 1})]
    assert b'{"hello":"n0","form":1}' in wire.value()
    assert ends.links.is_ready("n1")
    newer = ends.come(HELLO)
    assert wire.ended  # the older may be cut: the newer takes its place
    assert ends.told[2:] == [("left", "n1"), ("joined", "n1")]
    assert not newer.ended


@pytest.mark.parametrize(
    "first",
    [
        {"hello": "n9", "form": 1}, {"hello": "n0", "form": 1}, {"hello": "n1", "form": 2}, {"hello": 7},
        [], b"{",
    ],
    ids=str,
)  # fmt: skip
def test_whoever_is_not_one_of_ours_is_hung_up_on(first: Any) -> None:
    ends = Ends()
    assert ends.come(first).ended
    assert ends.told == []
    assert ends.logged[0]["event"] == "malformed"


def test_a_caller_that_does_not_name_itself_is_closed_and_places_are_bounded() -> None:
    ends = Ends()
    wires = [ends.come() for _ in range(40)]
    assert sum(not wire.ended for wire in wires) == 2 * 2 + 4
    ends.net.advance(HELLO_TIMEOUT_S + 0.1)
    assert all(wire.ended for wire in wires)
    assert not ends.links.connections


def test_a_peer_that_talks_nonsense_again_and_again_is_shunned_for_a_while() -> None:
    ends = Ends()
    for _ in range(MAX_MALFORMED_MESSAGES):
        assert ends.come(HELLO, "wrong").ended
    assert ends.come(HELLO).ended
    ends.links.dial("n1")
    assert not ends.links.dialling
    ends.net.advance(BLOCK_S + 0.1)
    assert not ends.come(HELLO).ended


def test_a_peer_that_sends_too_much_or_nothing_is_hung_up_on() -> None:
    ends = Ends()
    loud, quiet = ends.come(HELLO), ends.come({"hello": "n2", "form": 1})
    for _ in range(1 + MAX_BYTES_PER_S // 60_000):
        if not loud.ended:
            loud.protocol.dataReceived(words({"k": "x" * 60_000}))
    assert loud.ended
    ends.net.advance(RECEIVE_TIMEOUT_S + 0.1)
    ends.links.sweep()
    assert quiet.ended
    assert ("left", "n2") in ends.told


def test_one_that_answers_for_another_is_no_peer() -> None:
    ends = Ends()
    ends.links.dial("n2")
    ends.links.dial("n2")
    ends.net.advance(0)
    [wire] = ends.net.wires["backend2"]
    wire.protocol.dataReceived(words(HELLO))
    assert wire.ended
    assert ends.told == []
