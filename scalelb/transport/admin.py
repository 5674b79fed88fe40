"""The operator API: HTTP/1.1, with one request per connection.

To protect the limiter, the number of connections, the size of a request and the time for it are bounded. A
new connection above the limit closes the oldest one, so that idle connections can't lock operators out.
"""

from __future__ import annotations

from typing import Any, Protocol

import orjson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.protocol import MalformedError, http
from scalelb.transport.stream import Log, Reactor, Stream

MAX_CLIENTS = 16
REQUEST_TIMEOUT_S = 5.0  # from connecting
MAX_REQUEST_BYTES = 8 * 1024
MAX_ENDPOINT_NAME_LENGTH = 256  # characters
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable",
}  # fmt: skip
PREFIX = "/deck-servers/"


class LimiterControl(Protocol):
    """The operations of a limiter that the operator API offers."""

    def ready(self) -> bool:
        """Return whether this process accepts requests."""

    def stats(self) -> dict[str, Any]:
        """Return the current statistics."""

    def override_endpoint(self, endpoint: str, is_ejected: bool) -> int:
        """Eject an endpoint by manual override, or remove the override; return an HTTP status."""


class AdminConnection(Stream):
    """A connection of an operator."""

    def __init__(self, listener: AdminListener) -> None:
        self.listener = listener
        self.reader = http.RequestReader(self.on_request)
        self.received_bytes, self.is_answered = 0, False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and start its timeout."""
        super().connectionMade()
        self.listener.on_connect(self)
        self.timer = self.listener.reactor.callLater(REQUEST_TIMEOUT_S, self.on_timeout)

    def on_timeout(self) -> None:
        """Close the connection at its timeout; count it unless a request was answered."""
        self.listener.answer_counts[0] = self.listener.answer_counts.get(0, 0) + (not self.is_answered)
        self.abort()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the operator; those after the first request are discarded."""
        if self.is_answered:
            return
        self.received_bytes += len(data)
        try:
            if self.received_bytes > MAX_REQUEST_BYTES:
                raise MalformedError("the call is too long")
            self.reader.feed(data)
        except MalformedError as error:
            if not self.is_answered:
                self.listener.log("malformed", level="warning", what=str(error), door="admin")
                self.answer(400, {"error": str(error)})

    def on_request(self, method: str, path: str, keep_alive: bool) -> None:
        """Answer a complete request."""
        if not self.is_answered:
            try:
                status, body = handle_request(self.listener.control, method, path)
            except Exception as error:  # the operator gets an answer even if computing it fails
                self.listener.log("fault", level="error", what=f"{type(error).__name__}: {error}")
                status, body = 503, {"error": "fault"}
            self.answer(status, body)

    def answer(self, status: int, body: dict[str, Any]) -> None:
        """Send the answer and half-close the connection."""
        self.is_answered = True
        self.listener.answer_counts[status] = self.listener.answer_counts.get(status, 0) + 1
        self.send(http.response(status, REASONS[status], orjson.dumps(body), close=True))
        self.half_close()

    def lost(self) -> None:
        """Remove the connection."""
        self.listener.clients.pop(self, None)
        if self.timer.active():
            self.timer.cancel()


def handle_request(control: LimiterControl, method: str, path: str) -> tuple[int, dict[str, Any]]:
    """Carry out a request; return the HTTP status and the body of its answer."""
    endpoint, _, verb = path.removeprefix(PREFIX).rpartition("/")
    is_override = path.startswith(PREFIX) and verb in ("maint", "ready")
    if path not in ("/healthcheck", "/stats") and not is_override:
        return 404, {"error": "no such call"}
    if method != ("POST" if is_override else "GET"):
        return 405, {"error": "not by this method"}
    if path == "/healthcheck":
        is_ready = control.ready()
        return (200 if is_ready else 503), {"ready": is_ready}
    if path == "/stats":
        return 200, control.stats()
    if not 0 < len(endpoint) <= MAX_ENDPOINT_NAME_LENGTH or "/" in endpoint:
        return 404, {"error": "no such deck server"}
    status = control.override_endpoint(endpoint, verb == "maint")
    return status, {"server": endpoint, "out": verb == "maint", "done": status == 200}


class AdminListener(ServerFactory):
    """The listener of the operator API."""

    noisy = False

    def __init__(self, reactor: Reactor, control: LimiterControl, log: Log) -> None:
        self.reactor, self.control, self.log = reactor, control, log
        self.clients: dict[AdminConnection, None] = {}  # oldest first
        # By HTTP status, since the start; 0: closed without a request.
        self.answer_counts: dict[int, int] = {}

    def on_connect(self, client: AdminConnection) -> None:
        """Add a connection; above the limit, close the oldest, which bounds the number of descriptors."""
        self.clients[client] = None
        if len(self.clients) > MAX_CLIENTS:
            oldest = next(iter(self.clients))
            del self.clients[oldest]
            self.answer_counts[0] = self.answer_counts.get(0, 0) + (not oldest.is_answered)
            oldest.abort()

    def buildProtocol(self, addr: IAddress | None) -> AdminConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return AdminConnection(self)
