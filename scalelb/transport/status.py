"""Status listeners for other load balancers: HAProxy's agent check, and health checks over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import orjson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.protocol import MalformedError, http
from scalelb.protocol.agentcheck import Status, agent_check_line
from scalelb.transport.stream import Log, Reactor, Stream

GetStatus = Callable[[], tuple[Status, float]]  # status and admission probability
MAX_CLIENTS = 16  # connections of each listener
CONNECTION_TIMEOUT_S = 10.0


class StatusConnection(Stream):
    """A connection of a status listener."""

    max_read_bytes = 1024

    def __init__(self, factory: StatusFactory) -> None:
        self.factory = factory
        self.reader = http.RequestReader(self.on_request)

    def connectionMade(self) -> None:  # noqa: N802
        """Answer an agent check at once, without reading any input; otherwise wait for a request."""
        super().connectionMade()
        factory = self.factory
        factory.clients.add(self)
        if factory.is_agent_check or len(factory.clients) > MAX_CLIENTS:
            if factory.is_agent_check:
                self.send(agent_check_line(*factory.get_status()))
            self.close()
        else:
            factory.reactor.callLater(CONNECTION_TIMEOUT_S, self.abort)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the client."""
        if self.factory.is_agent_check:
            return
        try:
            self.reader.feed(data)
        except MalformedError as error:
            peer = str(self.transport.getPeer())
            self.factory.log("malformed", level="warning", what=str(error), peer=peer)
            self.send(http.response(400, "Bad Request", b"{}"))
            self.close()
        if not self.is_flushed and not self.is_closed:  # the client does not read its answers
            self.pause()

    def on_flushed(self) -> None:
        """Read on once the client has taken its answers."""
        if self.paused and not self.is_closed:
            self.resume()

    def on_request(self, method: str, path: str, keep_alive: bool) -> None:
        """Answer a request: `/health` and `/ready` report readiness, `/live` that the process runs."""
        status, weight = self.factory.get_status()
        body = orjson.dumps({"status": status.value, "weight": round(weight, 3)})
        if method not in ("GET", "HEAD"):
            code, reason = 405, "Method Not Allowed"
        elif path == "/live" or (path in ("/health", "/ready") and status is Status.READY):
            code, reason = 200, "OK"
        elif path in ("/health", "/ready"):
            code, reason = 503, "Service Unavailable"
        else:
            code, reason = 404, "Not Found"
        answer = http.response(code, reason, body)
        self.send(answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" if method == "HEAD" else answer)
        if not keep_alive:
            self.close()

    def lost(self) -> None:
        """Remove the connection."""
        self.factory.clients.discard(self)


class StatusFactory(ServerFactory):
    """A status listener."""

    noisy = False

    def __init__(self, reactor: Reactor, get_status: GetStatus, log: Log, is_agent_check: bool) -> None:
        self.reactor, self.get_status, self.log, self.is_agent_check = (
            reactor,
            get_status,
            log,
            is_agent_check,
        )
        self.clients: set[StatusConnection] = set()

    def buildProtocol(self, addr: IAddress | None) -> StatusConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return StatusConnection(self)
