"""A relay between two limiters: forwards their messages, or delays, holds, cuts or drops them.

There is one relay in front of each limiter for each peer that dials it, so that each direction of each link
can be controlled separately. The relay parses the messages only to count them and to cut between them.
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
    """How messages in one direction are treated."""

    CARRY = "carry"  # forwarded
    CUT = "cut"  # dropped, and so are all later messages on that connection
    HOLD = "hold"  # held until they are released
    DELAY = "delay"  # forwarded after a random delay
    HALF = "half"  # half of the next message is forwarded, then the connection is reset


class Side(Stream):
    """One end of a relayed connection."""

    def __init__(self, relay: Relay, from_dialer: bool) -> None:
        self.relay, self.from_dialer = relay, from_dialer
        self.other: Side | None = None
        self.reader = resp.CommandReader()
        self.unsent: list[bytes] = []  # messages from before the other end was connected
        self.held: deque[bytes] = deque()
        self.is_cut = False  # stays so: without the dropped message, later ones could not be interpreted

    def connectionMade(self) -> None:  # noqa: N802
        """Send the messages that arrived before this end was connected."""
        super().connectionMade()
        if self.other is not None:
            for data in self.other.unsent:
                self.send(data)
            self.other.unsent.clear()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process messages of one limiter for the other."""
        for command in self.reader.feed(data):
            self.process(command.buffer[command.start : command.end])

    def process(self, message: bytes) -> None:
        """Report a complete message to the harness, which may kill or cut first, and then forward it."""
        relay = self.relay
        relay.report(self.from_dialer, message)
        way = relay.ways[self.from_dialer]
        if way is Way.CUT or self.is_cut:
            self.is_cut = True
        elif way is Way.HOLD:
            self.held.append(message)
        elif way is Way.HALF:
            self.deliver(message[: len(message) // 2])
            self.abort()
        elif way is Way.DELAY:
            # The order is preserved: a message is never delivered before the one that precedes it.
            delay_s = relay.random.uniform(*relay.delay_ms) / 1000
            relay.last_due_at[self.from_dialer] = max(
                relay.last_due_at[self.from_dialer], relay.reactor.seconds() + delay_s
            )
            wait_s = relay.last_due_at[self.from_dialer] - relay.reactor.seconds()
            relay.reactor.callLater(wait_s, self.deliver, message)
        else:
            self.deliver(message)

    def deliver(self, message: bytes) -> None:
        """Send a message to the other end."""
        if self.other is None or self.other.is_closed or self.is_closed:
            return
        if self.other.transport is None:
            self.unsent.append(message)
        else:
            self.other.send(message)

    def release(self) -> None:
        """Forward the messages that were held."""
        while self.held:
            self.deliver(self.held.popleft())

    def lost(self) -> None:
        """End the other connection too."""
        self.relay.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.abort()


class Relay(ServerFactory):
    """Listens at the address where one limiter dials another.  `name` holds the two names, dialer first."""

    noisy = False

    def __init__(
        self, reactor: Any, name: tuple[str, str], on_message: Callable[[str, str, bytes], None]
    ) -> None:
        self.reactor, self.name, self.on_message = reactor, name, on_message
        self.target: tuple[str, int] | None = None  # where the other limiter listens, while it runs
        self.ways = {True: Way.CARRY, False: Way.CARRY}  # True: messages from the dialer; False: to it
        self.delay_ms = (0.0, 0.0)
        self.last_due_at = {True: 0.0, False: 0.0}
        self.random = random.Random(repr(name))
        self.sides: set[Side] = set()
        self.port = reactor.listenTCP(0, self, 16, "127.0.0.1").getHost().port

    def report(self, from_dialer: bool, message: bytes) -> None:
        """Report a message with its source and target."""
        dialer, listener = self.name
        self.on_message(*((dialer, listener) if from_dialer else (listener, dialer)), message)

    def buildProtocol(self, addr: Any) -> Side | None:  # noqa: N802
        """Accept a connection and dial the target; no connection is dialled while one direction is cut."""
        if self.target is None:
            return None
        near, far = Side(self, True), Side(self, False)
        near.other, far.other = far, near
        self.sides |= {near, far}
        if all(way is not Way.CUT for way in self.ways.values()):
            self.reactor.connectTCP(*self.target, StreamFactory(far, near.abort), timeout=2)
        return near

    def set(self, from_dialer: bool, way: Way, delay_ms: tuple[float, float] = (0.0, 0.0)) -> None:
        """Change how messages in one direction are treated from now on."""
        before, self.ways[from_dialer] = self.ways[from_dialer], way
        self.delay_ms = delay_ms
        for side in [s for s in self.sides if s.from_dialer is from_dialer]:
            if before is Way.HOLD and way is not Way.HOLD:
                side.release()

    def reset(self) -> None:
        """Abort all connections."""
        for side in list(self.sides):
            if side.transport is not None:
                side.abort()
