"""The counter's client: one call at a time on a connection, so that none waits behind a slow one."""

from __future__ import annotations

from collections.abc import Callable

from scalelb.policy.events import Outcome
from scalelb.protocol import MalformedError, http
from scalelb.transport.stream import Delay, Log, Reactor, Stream, dial, host_port

CONNECTIONS_MOST = 24  # the counter holds 32 of a limiter and resets any more
IDLE_MS = 4000.0  # the counter closes what has stood idle for longer
LATE_MS = 1000.0  # how long a late answer is waited for before its connection is given up

Counted = Callable[[int, Outcome, float, float], None]


class Add:
    """One call."""

    __slots__ = ("amount", "began", "keep_ms", "late", "name", "timer", "wire")

    def __init__(self, name: int, amount: float, keep_ms: float, wire: bytes, began: float) -> None:
        self.name, self.amount, self.keep_ms = name, amount, keep_ms
        self.wire, self.began = wire, began
        self.late = False  # given up; its answer is dropped
        self.timer: Delay | None = None


class CounterConnection(Stream):
    """One connection to the counter."""

    def __init__(self, client: CounterClient, add: Add) -> None:
        self.client, self.address = client, client.address
        self.add: Add | None = add
        self.reader = http.ResponseReader()
        self.up = self.written = False
        self.idle_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up; its call goes out unless it was given up meanwhile."""
        super().connectionMade()
        self.up = True
        if self.add is not None and not self.add.late:
            self.begin(self.add)
        else:
            self.add = None
            self.client.rest(self)

    def begin(self, add: Add) -> None:
        """Write a call."""
        self.add, self.written = add, True
        self.send(add.wire)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes from the counter."""
        try:
            for response in self.reader.feed(data):
                add, self.add = self.add, None
                if add is None:
                    raise MalformedError("an answer that nothing asked for")
                outcome, total = Outcome.REJECTED, 0.0  # 503, 400, 404: nothing was added
                if response.status == 200:
                    try:
                        outcome, total = Outcome.OK, http.read_total(response.body)
                    except MalformedError as error:
                        self.spoilt(add, error)
                        return
                self.written = False
                if response.keep:
                    self.client.rest(self)
                else:
                    self.close()
                self.client.end(add, outcome, total)
        except MalformedError as error:
            add, self.add = self.add, None
            self.spoilt(add, error)

    def spoilt(self, add: Add | None, error: MalformedError) -> None:
        """An answer without a number: the amount was added, and the connection is of no further use.  Told at
        once and apart from silence, as the counter lives: nothing has to be asked of it less often."""
        self.client.log("malformed", level="warning", what=str(error), counter=self.address)
        self.client.unrest(self)
        self.abort()
        if add is not None:
            self.client.end(add, Outcome.ERROR, 0.0)

    def lost(self) -> None:
        """The connection has ended: a call not written whole was not added, another may have been."""
        self.client.forget(self)
        if (add := self.add) is not None:
            self.add = None
            sent = self.written and self.flushed
            self.client.end(add, Outcome.TIMEOUT if sent else Outcome.CONNECT_FAILED, 0.0)


class CounterClient:
    """Calls to the shared counter."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Callable[[], float],
        address: str,
        timeout_ms: float,
        counted: Counted,
        log: Log,
    ) -> None:
        self.reactor, self.clock, self.address, self.log = reactor, clock, address, log
        self.at = host_port(address)
        self.timeout_ms, self.counted = timeout_ms, counted
        self.idle: list[CounterConnection] = []
        self.connections: set[CounterConnection] = set()
        self.calls_in_flight: dict[Add, CounterConnection] = {}

    def add(self, name: int, amount: float, keep_ms: float) -> None:
        """Add to a number; `counted` is told what became of it, in the end."""
        wire = http.counter_request(self.address, name, amount, keep_ms)
        add = Add(name, amount, keep_ms, wire, self.clock())
        while self.idle and self.idle[-1].unread():  # guards the call: something came that nothing asked for
            self.idle.pop().abort()
        if self.idle:
            connection = self.idle.pop()
            self.calls_in_flight[add] = connection
            connection.begin(add)
        elif len(self.connections) < CONNECTIONS_MOST:
            self.dial(add)
        else:  # guards the counter's table: nothing was written
            self.counted(name, Outcome.REJECTED, 0.0, 0.0)
            return
        add.timer = self.reactor.callLater(self.timeout_ms / 1000, self.give_up, add)

    def dial(self, add: Add) -> None:
        """Open a connection for a call."""
        connection = CounterConnection(self, add)
        self.connections.add(connection)
        self.calls_in_flight[add] = connection
        dial(self.reactor, self.at, connection, connection.lost, 2 * LATE_MS)

    def move(self, address: str) -> None:
        """The counter has moved.  Calls that are written end where they are, as they may have been added;
        those that wait for their connection begin anew at the new address, as the old one may refuse them."""
        if address == self.address:
            return
        self.address, self.at = address, host_port(address)
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()
        for add, connection in list(self.calls_in_flight.items()):
            if not connection.up:
                connection.add = None
                add.wire = http.counter_request(address, add.name, add.amount, add.keep_ms)
                self.dial(add)

    def end(self, add: Add, outcome: Outcome, total: float) -> None:
        """A call has ended."""
        if self.calls_in_flight.pop(add, None) is not None and not add.late:
            if add.timer is not None and add.timer.active():
                add.timer.cancel()
            self.counted(add.name, outcome, total, self.clock() - add.began)

    def give_up(self, add: Add) -> None:
        """No answer in time.  One that was written may have been added; its connection carries nothing new
        until the late answer has come, and is closed if that takes too long."""
        connection = self.calls_in_flight.pop(add, None)
        if connection is None:
            return
        add.late = True
        written = connection.written
        if written:
            self.reactor.callLater(LATE_MS / 1000, self._late, connection, add)
        else:  # it is still coming up, and will be there for the next call
            connection.add = None
        outcome = Outcome.TIMEOUT if written else Outcome.CONNECT_FAILED
        self.counted(add.name, outcome, 0.0, self.clock() - add.began)

    def _late(self, connection: CounterConnection, add: Add) -> None:
        if connection.add is add:
            connection.abort()

    def rest(self, connection: CounterConnection) -> None:
        """A connection is free."""
        if connection.address != self.address:
            connection.close()
            return
        connection.idle_at = self.clock()
        self.idle.append(connection)

    def forget(self, connection: CounterConnection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        self.unrest(connection)

    def unrest(self, connection: CounterConnection) -> None:
        """A connection is not free after all."""
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self) -> None:
        """Close what has been idle for long, before the counter does so under a call."""
        before = self.clock() - IDLE_MS
        for connection in [c for c in self.idle if c.idle_at < before]:
            self.idle.remove(connection)
            connection.close()
