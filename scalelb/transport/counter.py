"""The client of the shared counter: one call at a time per connection, so that none waits for a slow one."""

from __future__ import annotations

from collections.abc import Callable

from scalelb.policy.events import Outcome
from scalelb.protocol import MalformedError, http
from scalelb.transport.stream import DelayedCall, Log, Reactor, Stream, dial, host_port

MAX_CONNECTIONS = 24  # the counter accepts 32 from a limiter and resets any more
IDLE_TIMEOUT_MS = 4000.0  # the counter closes connections that have been idle for longer
LATE_RESPONSE_TIMEOUT_MS = 1000.0  # how long the connection of an abandoned call stays open for its response

# Receives the counter key, the outcome of a call, the total, and how long the call took (ms).
OnReply = Callable[[int, Outcome, float, float], None]


class CounterCall:
    """One call, which adds an amount to a number of the counter."""

    __slots__ = ("amount", "counter_key", "is_abandoned", "request", "retention_ms", "started_at", "timer")

    def __init__(
        self, counter_key: int, amount: float, retention_ms: float, request: bytes, started_at: float
    ) -> None:
        self.counter_key, self.amount, self.retention_ms = counter_key, amount, retention_ms
        self.request, self.started_at = request, started_at
        self.is_abandoned = False  # its response will be dropped
        self.timer: DelayedCall | None = None


class CounterConnection(Stream):
    """One connection to the counter."""

    def __init__(self, client: CounterClient, call: CounterCall) -> None:
        self.client, self.address = client, client.address
        self.call: CounterCall | None = call
        self.reader = http.ResponseReader()
        self.is_connected = self.is_written = False
        self.released_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Write the call for which the connection was opened, or release the connection if the call was
        abandoned meanwhile."""
        super().connectionMade()
        self.is_connected = True
        if self.call is not None and not self.call.is_abandoned:
            self.write_call(self.call)
        else:
            self.call = None
            self.client.release(self)

    def write_call(self, call: CounterCall) -> None:
        """Write a call on the connection."""
        self.call, self.is_written = call, True
        self.send(call.request)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the counter."""
        try:
            for response in self.reader.feed(data):
                call, self.call = self.call, None
                if call is None:
                    raise MalformedError("an answer that nothing asked for")
                outcome, total = Outcome.REJECTED, 0.0  # with status 400, 404 or 503 nothing was added
                if response.status == 200:
                    try:
                        outcome, total = Outcome.OK, http.read_total(response.body)
                    except MalformedError as error:
                        self.abort_malformed(call, error)
                        return
                self.is_written = False
                if response.keep_alive:
                    self.client.release(self)
                else:
                    self.close()
                self.client.finish(call, outcome, total)
        except MalformedError as error:
            call, self.call = self.call, None
            self.abort_malformed(call, error)

    def abort_malformed(self, call: CounterCall | None, error: MalformedError) -> None:
        """Close the connection after a response without a valid total; the amount was added all the same.

        The call ends at once, and not as a timeout: the counter is available, so there is no reason to call
        it less often."""
        self.client.log("malformed", level="warning", what=str(error), counter=self.address)
        self.client.remove_idle(self)
        self.abort()
        if call is not None:
            self.client.finish(call, Outcome.ERROR, 0.0)

    def lost(self) -> None:
        """End the call. Its amount was not added unless all of it was written; else it may have been."""
        self.client.remove(self)
        if (call := self.call) is not None:
            self.call = None
            is_sent = self.is_written and self.is_flushed
            self.client.finish(call, Outcome.TIMEOUT if is_sent else Outcome.CONNECT_FAILED, 0.0)


class CounterClient:
    """Calls the shared counter."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Callable[[], float],
        address: str,
        timeout_ms: float,
        on_reply: OnReply,
        log: Log,
    ) -> None:
        self.reactor, self.clock, self.address, self.log = reactor, clock, address, log
        self.socket_address = host_port(address)
        self.timeout_ms, self.on_reply = timeout_ms, on_reply
        self.idle: list[CounterConnection] = []
        self.connections: set[CounterConnection] = set()
        self.calls_in_flight: dict[CounterCall, CounterConnection] = {}

    def add(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Add an amount to a number of the counter; `on_reply` is called with the result in any case."""
        request = http.counter_request(self.address, counter_key, amount, retention_ms)
        call = CounterCall(counter_key, amount, retention_ms, request, self.clock())
        # After unexpected data or the end of the stream, the call would be lost.
        while self.idle and self.idle[-1].has_unread_data():
            self.idle.pop().abort()
        if self.idle:
            connection = self.idle.pop()
            self.calls_in_flight[call] = connection
            connection.write_call(call)
        elif len(self.connections) < MAX_CONNECTIONS:
            self.dial(call)
        else:  # the counter's limit must not be exceeded; nothing was written
            self.on_reply(counter_key, Outcome.REJECTED, 0.0, 0.0)
            return
        call.timer = self.reactor.callLater(self.timeout_ms / 1000, self.on_timeout, call)

    def dial(self, call: CounterCall) -> None:
        """Open a connection for a call."""
        connection = CounterConnection(self, call)
        self.connections.add(connection)
        self.calls_in_flight[call] = connection
        dial(self.reactor, self.socket_address, connection, connection.lost, 2 * LATE_RESPONSE_TIMEOUT_MS)

    def move(self, address: str) -> None:
        """Call the counter at another address from now on.

        Written calls end on their connections, as they may have been added. Those that wait for a connection
        are sent to the new address, as the old one may refuse connections."""
        if address == self.address:
            return
        self.address, self.socket_address = address, host_port(address)
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()
        for call, connection in list(self.calls_in_flight.items()):
            if not connection.is_connected:
                connection.call = None
                call.request = http.counter_request(address, call.counter_key, call.amount, call.retention_ms)
                self.dial(call)

    def finish(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Report the result of a call, unless it was abandoned."""
        if self.calls_in_flight.pop(call, None) is not None and not call.is_abandoned:
            if call.timer is not None and call.timer.active():
                call.timer.cancel()
            self.on_reply(call.counter_key, outcome, total, self.clock() - call.started_at)

    def on_timeout(self, call: CounterCall) -> None:
        """Abandon a call without a response in time.

        If it was written, its amount may have been added, and its connection takes no other call until the
        late response has been received; the connection is closed if that takes too long."""
        connection = self.calls_in_flight.pop(call, None)
        if connection is None:
            return
        call.is_abandoned = True
        is_written = connection.is_written
        if is_written:
            self.reactor.callLater(LATE_RESPONSE_TIMEOUT_MS / 1000, self._abort_unanswered, connection, call)
        else:  # the connection is still being opened; the next call can use it
            connection.call = None
        outcome = Outcome.TIMEOUT if is_written else Outcome.CONNECT_FAILED
        self.on_reply(call.counter_key, outcome, 0.0, self.clock() - call.started_at)

    def _abort_unanswered(self, connection: CounterConnection, call: CounterCall) -> None:
        if connection.call is call:
            connection.abort()

    def release(self, connection: CounterConnection) -> None:
        """Make a connection available to other calls; close it if the counter has moved."""
        if connection.address != self.address:
            connection.close()
            return
        connection.released_at = self.clock()
        self.idle.append(connection)

    def remove(self, connection: CounterConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self.remove_idle(connection)

    def remove_idle(self, connection: CounterConnection) -> None:
        """Remove a connection from the idle ones, if it is one of them."""
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self) -> None:
        """Close connections that have been idle for too long, before the counter closes one during a call."""
        released_before = self.clock() - IDLE_TIMEOUT_MS
        for connection in [c for c in self.idle if c.released_at < released_before]:
            self.idle.remove(connection)
            connection.close()
