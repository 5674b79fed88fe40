"""A relay between two limiters: passes their messages on, or does to them what a bad network does.

One relay stands before each limiter for each peer that dials it, so that each direction of each link can be
dealt with by itself. It reads the messages only to count them and to cut between them.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.protocol import ServerFactory

from scalelb.protocol import resp
from scalelb.transport.stream import Stream, StreamFactory


class Way(Enum):
    """What happens to what comes in one direction."""

    CARRY = "carry"
    CUT = "cut"  # it vanishes, and so does all that follows on that connection
    HOLD = "hold"  # it waits until it is released
    DELAY = "delay"  # it comes late, by a drawn time
    HALF = "half"  # half of the next message, then the connection is reset


class Side(Stream):
    """One end of a relayed connection."""

    def __init__(self, relay: Relay, forth: bool) -> None:
        self.relay, self.forth = relay, forth
        self.other: Side | None = None
        self.reader = resp.CommandReader()
        self.early: list[bytes] = []  # before the other side is up
        self.held: deque[bytes] = deque()
        self.deaf = False  # what has vanished once can't be told apart from what follows

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        if self.other is not None:
            for data in self.other.early:
                self.send(data)
            self.other.early.clear()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes of one limiter for the other."""
        for command in self.reader.feed(data):
            self.pass_on(command.buffer[command.start : command.end])

    def pass_on(self, message: bytes) -> None:
        """One whole message: the stage sees it first, and may kill or cut before it goes on."""
        relay = self.relay
        relay.seen(self.forth, message)
        way = relay.ways[self.forth]
        if way is Way.CUT or self.deaf:
            self.deaf = True
        elif way is Way.HOLD:
            self.held.append(message)
        elif way is Way.HALF:
            self.deliver(message[: len(message) // 2])
            self.abort()
        elif way is Way.DELAY:
            # In order: what is drawn to come earlier than the one before it comes with it.
            late = relay.random.uniform(*relay.delay_ms) / 1000
            relay.last[self.forth] = max(relay.last[self.forth], relay.reactor.seconds() + late)
            wait = relay.last[self.forth] - relay.reactor.seconds()
            relay.reactor.callLater(wait, self.deliver, message)
        else:
            self.deliver(message)

    def deliver(self, message: bytes) -> None:
        """To the other side."""
        if self.other is None or self.other.is_closed or self.is_closed:
            return
        if self.other.transport is None:
            self.early.append(message)
        else:
            self.other.send(message)

    def release(self) -> None:
        """What was held goes on."""
        while self.held:
            self.deliver(self.held.popleft())

    def lost(self) -> None:
        """One side has ended: so does the other."""
        self.relay.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.abort()


class Relay(ServerFactory):
    """Listens where one limiter dials another."""

    noisy = False

    def __init__(self, reactor: Any, name: tuple[str, str], seen: Callable[[str, str, bytes], None]) -> None:
        self.reactor, self.name, self.told = reactor, name, seen
        self.target: tuple[str, int] | None = None  # where the other limiter listens, while it runs
        self.ways = {True: Way.CARRY, False: Way.CARRY}  # from who dials; to it
        self.delay_ms = (0.0, 0.0)
        self.last = {True: 0.0, False: 0.0}
        self.random = random.Random(repr(name))
        self.sides: set[Side] = set()
        self.port = reactor.listenTCP(0, self, 16, "127.0.0.1").getHost().port

    def seen(self, forth: bool, message: bytes) -> None:
        """A message goes by."""
        a, b = self.name
        self.told(*((a, b) if forth else (b, a)), message)

    def buildProtocol(self, addr: Any) -> Side | None:  # noqa: N802
        """A limiter dials."""
        if self.target is None:
            return None
        near, far = Side(self, True), Side(self, False)
        near.other, far.other = far, near
        self.sides |= {near, far}
        if all(way is not Way.CUT for way in self.ways.values()):
            self.reactor.connectTCP(*self.target, StreamFactory(far, near.abort), timeout=2)
        return near

    def set(self, forth: bool, way: Way, delay_ms: tuple[float, float] = (0.0, 0.0)) -> None:
        """What happens from now on in one direction."""
        before, self.ways[forth] = self.ways[forth], way
        self.delay_ms = delay_ms
        for side in [s for s in self.sides if s.forth is forth]:
            if before is Way.HOLD and way is not Way.HOLD:
                side.release()

    def reset(self) -> None:
        """All connections end."""
        for side in list(self.sides):
            if side.transport is not None:
                side.abort()
