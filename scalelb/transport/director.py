"""The client of discovery: polls for the endpoint list, one after the other.

Each poll waits for a change (long polling). The next one is sent right after the response, so that a change
in between is reported without delay."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from scalelb.protocol import MalformedError, http
from scalelb.transport.pace import PollBackoff
from scalelb.transport.stream import DelayedCall, Log, Reactor, Stream, dial, host_port

# A change counts as known to a limiter 6 s after discovery had it and was reachable, even if polls failed or
# got no response meanwhile. A connection without a response is therefore closed early enough to poll again.
HOLD_MS, HOLD_AFTER_FAILURE_MS = 3000, 1  # how long discovery may wait for a change before it responds
RESPONSE_GRACE_MS = 2500.0  # beyond the hold time; an overloaded discovery responds up to 2 s late
AGENT_GRACE_MS = 1000.0  # the same for a discovery agent on this machine, which serves the list at once
# Between two parts of a response. The timeout is doubled each time it is exceeded, up to the maximum.
PROGRESS_TIMEOUT_MS, MAX_PROGRESS_TIMEOUT_MS = 200.0, 3200.0
CONNECT_TIMEOUT_MS = 1000.0

# Receives the generation of a list, whether the list is complete, and its entries.
OnEndpointList = Callable[[int, bool, list[dict[str, Any]]], None]


class DiscoveryConnection(Stream):
    """One connection to discovery."""

    def __init__(self, client: DiscoveryClient) -> None:
        self.client = client
        self.reader = http.ResponseReader()

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first poll."""
        super().connectionMade()
        if self is self.client.connection:
            self.client.poll(self)
        else:  # the address of discovery has changed since this connection was opened
            self.abort()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from discovery."""
        try:
            responses = self.reader.feed(data)
            for response in responses:
                self.client.on_response(self, response)
            if not responses:
                self.client.on_partial_response(self)
        except MalformedError as error:
            self.client.log("malformed", level="warning", what=str(error), director=self.client.address)
            self.abort()

    def lost(self) -> None:
        """Have the client reconnect."""
        self.client.schedule_reconnect(self)


class DiscoveryClient:
    """Polls discovery for the endpoint list until the program stops, whatever fails in between."""

    def __init__(
        self,
        reactor: Reactor,
        address: str,
        generation: int | None,
        on_endpoint_list: OnEndpointList,
        log: Log,
        pace: PollBackoff,
    ) -> None:
        self.reactor, self.address, self.on_endpoint_list, self.log = reactor, address, on_endpoint_list, log
        self.socket_address = host_port(address)
        self.generation = generation  # of the last list; None: the next poll requests the complete list
        self.connection: DiscoveryConnection | None = None
        self.response_timeout: DelayedCall | None = None
        self.next_connect: DelayedCall | None = None
        self.pace = pace
        self.is_stopped = self.has_partial_response = False
        self.last_poll_failed = False  # it returned no list, so the next one does not wait for a change
        self.progress_timeout_ms = PROGRESS_TIMEOUT_MS

    def start(self) -> None:
        """Start polling: at once if no list is known, else after a random delay, as all limiters may have
        been started together."""
        wait_ms = self.pace.initial_delay_ms() if self.generation is not None else 0.0
        self.next_connect = self.reactor.callLater(wait_ms / 1000, self.connect)

    def connect(self) -> None:
        """Open a connection, which polls as soon as it is established."""
        if self.is_stopped:
            return
        self.connection = connection = DiscoveryConnection(self)
        dial(
            self.reactor,
            self.socket_address,
            connection,
            lambda: self.schedule_reconnect(connection),
            CONNECT_TIMEOUT_MS,
        )

    def poll(self, connection: DiscoveryConnection) -> None:
        """Send the next poll."""
        hold_ms = HOLD_AFTER_FAILURE_MS if self.last_poll_failed or self.generation is None else HOLD_MS
        connection.send(http.watch_request(self.address, self.generation, hold_ms))
        grace_ms = RESPONSE_GRACE_MS if self.pace.is_shared else AGENT_GRACE_MS
        self.response_timeout = self.reactor.callLater(
            (hold_ms + grace_ms) / 1000, self.on_response_timeout, connection
        )

    def on_response(self, connection: DiscoveryConnection, response: http.Response) -> None:
        """Send the next poll at once, and report what has changed."""
        if connection is not self.connection:  # it has been replaced, so its list may be outdated
            return
        self._cancel_response_timeout()
        self.last_poll_failed = response.status != 200
        if self.last_poll_failed:
            self.log("director", level="warning", status=response.status)
            if response.status == 503:
                self.pace.on_rejected()
            if response.status in (400, 404, 410):  # discovery may not know this generation any more
                self.generation = None
            connection.close()
            return
        generation, is_complete, entries = http.read_endpoint_list(response.body)
        self.pace.reset()
        self.progress_timeout_ms = PROGRESS_TIMEOUT_MS
        if not response.keep_alive:
            connection.close()
        has_changed = is_complete or entries or generation != self.generation
        self.generation = generation
        if response.keep_alive:
            self.poll(connection)
        if has_changed:
            self.on_endpoint_list(generation, is_complete, entries)

    def on_partial_response(self, connection: DiscoveryConnection) -> None:
        """Wait for the next part of a response for a short time only, then poll anew.

        A draining backend may count as known to the limiter once discovery begins to write its entry."""
        if connection is self.connection:
            self._cancel_response_timeout()
            self.has_partial_response = True
            self.response_timeout = self.reactor.callLater(
                self.progress_timeout_ms / 1000, self.on_response_timeout, connection
            )

    def on_response_timeout(self, connection: DiscoveryConnection) -> None:
        """Close an open connection on which discovery does not respond.

        If only the next part of a response was late, the parts of later responses get more time: otherwise
        no response of a slow discovery would ever be received completely."""
        self.log("director", level="warning", what="silent")
        if self.has_partial_response:
            self.progress_timeout_ms = min(MAX_PROGRESS_TIMEOUT_MS, 2 * self.progress_timeout_ms)
        connection.abort()

    def schedule_reconnect(self, connection: DiscoveryConnection) -> None:
        """Reconnect after a pause, unless the connection that ended has already been replaced."""
        if connection is self.connection:
            self._cancel_response_timeout()
            self.last_poll_failed = True
            self.connection = None
            self.next_connect = self.reactor.callLater(self.pace.next_delay_ms() / 1000, self.connect)

    def move(self, address: str) -> None:
        """Poll another address from now on.

        Its generations may differ, so the complete list is requested; the current one is used until then."""
        self.address, self.socket_address = address, host_port(address)
        self.generation = None
        self.pace.reset()
        self._cancel_response_timeout()
        if self.next_connect is not None and self.next_connect.active():
            self.next_connect.cancel()  # a backoff at the old address does not apply to the new one
            self.connect()
        elif (old := self.connection) is not None:
            self.connect()
            old.abort()

    def stop(self) -> None:
        """Stop polling and close the connection."""
        self.is_stopped = True
        self._cancel_response_timeout()
        if self.connection is not None:
            self.connection.abort()

    def _cancel_response_timeout(self) -> None:
        if self.response_timeout is not None and self.response_timeout.active():
            self.response_timeout.cancel()
        self.response_timeout, self.has_partial_response = None, False
