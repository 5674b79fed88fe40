"""The director watch: one call after the other, so that what changes in between counts as told at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from scalelb.protocol import MalformedError, http
from scalelb.transport.pace import Pace
from scalelb.transport.stream import Delay, Log, Reactor, Stream, dial, host_port

# A change counts as told 6 s after the director had it and could be reached, whatever calls were silent or
# failed meanwhile.  So a watch that has fallen silent is found so early that further calls fit in.
HOLD_MS, AT_ONCE_MS = 3000, 1  # how long the director may wait with an answer; after a call that failed
SILENT_MS = 2500.0  # beyond that the connection is given up; a director that is full lets a call wait for 2 s
AGENT_MS = 1000.0  # likewise of an agent, which answers at once
REST_MS, REST_MOST_MS = 200.0, 3200.0  # between two parts of an answer; doubled where the last was given up
DIAL_MS = 1000.0  # for a connection to come up

Listed = Callable[[int, bool, list[dict[str, Any]]], None]


class DirectorConnection(Stream):
    """One connection to the director."""

    def __init__(self, watch: DiscoveryClient) -> None:
        self.watch = watch
        self.reader = http.ResponseReader()

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        if self is self.watch.connection:
            self.watch.ask(self)
        else:  # the director has moved while this one was coming up
            self.abort()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes from the director."""
        try:
            responses = self.reader.feed(data)
            for response in responses:
                self.watch.told(self, response)
            if not responses:
                self.watch.begun(self)
        except MalformedError as error:
            self.watch.log("malformed", level="warning", what=str(error), director=self.watch.address)
            self.abort()

    def lost(self) -> None:
        """The connection has ended."""
        self.watch.again(self)


class DiscoveryClient:
    """Watches the list for as long as the program runs, whatever the director does."""

    def __init__(
        self,
        reactor: Reactor,
        address: str,
        generation: int | None,
        listed: Listed,
        log: Log,
        pace: Pace,
    ) -> None:
        self.reactor, self.address, self.listed, self.log = reactor, address, listed, log
        self.at = host_port(address)
        self.generation = generation  # of the list that is known; nothing: the whole list is asked for
        self.connection: DirectorConnection | None = None
        self.silent: Delay | None = None
        self.due: Delay | None = None  # the next call
        self.pace = pace
        self.stopped = self.partial = False
        self.failed = False  # the last call brought no list: the next does not wait for a change
        self.rest_ms = REST_MS

    def start(self) -> None:
        """Connect and ask: at once for a first list, else when this one's turn has come."""
        wait = self.pace.first() if self.generation is not None else 0.0
        self.due = self.reactor.callLater(wait / 1000, self.connect)

    def connect(self) -> None:
        """Connect, and ask."""
        if self.stopped:
            return
        self.connection = connection = DirectorConnection(self)
        dial(self.reactor, self.at, connection, lambda: self.again(connection), DIAL_MS)

    def ask(self, connection: DirectorConnection) -> None:
        """Send the next call of the watch."""
        hold = AT_ONCE_MS if self.failed or self.generation is None else HOLD_MS
        connection.send(http.watch_request(self.address, self.generation, hold))
        grace = SILENT_MS if self.pace.shared else AGENT_MS
        self.silent = self.reactor.callLater((hold + grace) / 1000, self.give_up, connection)

    def told(self, connection: DirectorConnection, response: http.Response) -> None:
        """An answer: tell what changed and ask again at once."""
        if connection is not self.connection:  # guards the list against one that was left: its word is old
            return
        self._heard()
        self.failed = response.status != 200
        if self.failed:
            self.log("director", level="warning", status=response.status)
            if response.status == 503:
                self.pace.refused()
            if response.status in (400, 404, 410):  # guards a version that it no longer knows
                self.generation = None
            connection.close()
            return
        generation, full, entries = http.read_endpoint_list(response.body)
        self.pace.answered()
        self.rest_ms = REST_MS
        if not response.keep:
            connection.close()
        changed = full or entries or generation != self.generation
        self.generation = generation
        if response.keep:
            self.ask(connection)
        if changed:
            self.listed(generation, full, entries)

    def begun(self, connection: DirectorConnection) -> None:
        """A part of an answer has come.  Guards the rule on drains: what the director has begun to write may
        count as told, so the next part has to come soon, or all is asked for again."""
        if connection is self.connection:
            self._heard()
            self.partial = True
            self.silent = self.reactor.callLater(self.rest_ms / 1000, self.give_up, connection)

    def give_up(self, connection: DirectorConnection) -> None:
        """Guards against a director that is silent on an open connection.  One that is slow with the parts of
        its answers gets more time with each that was given up: else it would never be heard."""
        self.log("director", level="warning", what="silent")
        if self.partial:
            self.rest_ms = min(REST_MOST_MS, 2 * self.rest_ms)
        connection.abort()

    def again(self, connection: DirectorConnection) -> None:
        """Connect anew, soon."""
        if connection is self.connection:
            self._heard()
            self.failed = True
            self.connection = None
            self.due = self.reactor.callLater(self.pace.pause() / 1000, self.connect)

    def move(self, address: str) -> None:
        """Watch at another address from now on.  Its versions may be others: the whole list is asked for, and
        until it comes the old one serves."""
        self.address, self.at = address, host_port(address)
        self.generation = None
        self.pace.answered()
        self._heard()
        if self.due is not None and self.due.active():  # guards the new one against a pause from the old
            self.due.cancel()
            self.connect()
        elif (old := self.connection) is not None:
            self.connect()
            old.abort()

    def stop(self) -> None:
        """Watch no longer."""
        self.stopped = True
        self._heard()
        if self.connection is not None:
            self.connection.abort()

    def _heard(self) -> None:
        if self.silent is not None and self.silent.active():
            self.silent.cancel()
        self.silent, self.partial = None, False
