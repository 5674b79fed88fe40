"""The operators' door: HTTP/1.1, one call a connection.

Bounded for the limiter's sake: so many callers, so many bytes of a call, so long for it.  Where all places
are taken, the caller that has been silent for longest makes room, so that one who asks is always heard.
"""

from __future__ import annotations

from typing import Any, Protocol

import orjson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.protocol import MalformedError, http
from scalelb.transport.stream import Log, Reactor, Stream

CALLERS_MOST = 16  # at once
CALL_S = 5.0  # for a call, from connecting
HEAD_MOST = 8 * 1024  # bytes of a call
NAME_MOST = 256  # characters of a backend's id
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable",
}  # fmt: skip
PREFIX = "/deck-servers/"


class Desk(Protocol):
    """What the door asks of the program."""

    def ready(self) -> bool:
        """Whether this process can serve."""

    def stats(self) -> dict[str, Any]:
        """The figures, as they are now."""

    def override_endpoint(self, endpoint: str, is_ejected: bool) -> int:
        """Eject an endpoint by hand, or undo that: an HTTP status."""


class AdminConnection(Stream):
    """One caller."""

    def __init__(self, door: AdminDoor) -> None:
        self.door = door
        self.reader = http.RequestReader(self.asked)
        self.bytes, self.answered = 0, False

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        self.door.joined(self)
        self.timer = self.door.reactor.callLater(CALL_S, self.late)

    def late(self) -> None:
        """No call has come in time."""
        self.door.calls[0] = self.door.calls.get(0, 0) + (not self.answered)
        self.abort()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes from the caller; what comes behind its one call is skipped."""
        if self.answered:
            return
        self.bytes += len(data)
        try:
            if self.bytes > HEAD_MOST:
                raise MalformedError("the call is too long")
            self.reader.feed(data)
        except MalformedError as error:
            if not self.answered:
                self.door.log("malformed", level="warning", what=str(error), door="admin")
                self.answer(400, {"error": str(error)})

    def asked(self, method: str, path: str, keep: bool) -> None:
        """One call, whole."""
        if not self.answered:
            try:
                status, body = call(self.door.desk, method, path)
            except Exception as error:  # guards the caller: a no, where the figures have a fault
                self.door.log("fault", level="error", what=f"{type(error).__name__}: {error}")
                status, body = 503, {"error": "fault"}
            self.answer(status, body)

    def answer(self, status: int, body: dict[str, Any]) -> None:
        """The answer, and the end."""
        self.answered = True
        self.door.calls[status] = self.door.calls.get(status, 0) + 1
        self.send(http.response(status, REASONS[status], orjson.dumps(body), close=True))
        self.close_writing()

    def lost(self) -> None:
        """The caller has left."""
        self.door.callers.pop(self, None)
        if self.timer.active():
            self.timer.cancel()


def call(desk: Desk, method: str, path: str) -> tuple[int, dict[str, Any]]:
    """What a call is answered."""
    server, _, verb = path.removeprefix(PREFIX).rpartition("/")
    named = path.startswith(PREFIX) and verb in ("maint", "ready")
    if path not in ("/healthcheck", "/stats") and not named:
        return 404, {"error": "no such call"}
    if method != ("POST" if named else "GET"):
        return 405, {"error": "not by this method"}
    if path == "/healthcheck":
        ready = desk.ready()
        return (200 if ready else 503), {"ready": ready}
    if path == "/stats":
        return 200, desk.stats()
    if not 0 < len(server) <= NAME_MOST or "/" in server:
        return 404, {"error": "no such deck server"}
    status = desk.override_endpoint(server, verb == "maint")
    return status, {"server": server, "out": verb == "maint", "done": status == 200}


class AdminDoor(ServerFactory):
    """The operators' listener."""

    noisy = False

    def __init__(self, reactor: Reactor, desk: Desk, log: Log) -> None:
        self.reactor, self.desk, self.log = reactor, desk, log
        self.callers: dict[AdminConnection, None] = {}  # the first has been here for longest
        self.calls: dict[int, int] = {}  # by status, since the start; 0: closed without a call

    def joined(self, caller: AdminConnection) -> None:
        """Guards the descriptors, and those who ask against those who say nothing."""
        self.callers[caller] = None
        if len(self.callers) > CALLERS_MOST:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            self.calls[0] = self.calls.get(0, 0) + (not oldest.answered)
            oldest.abort()

    def buildProtocol(self, addr: IAddress | None) -> AdminConnection:  # noqa: N802
        """A caller connects."""
        return AdminConnection(self)
