"""Listeners that tell other balancers how this limiter is: HAProxy's agent check, and health over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import orjson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.protocol import MalformedError, http
from scalelb.protocol.agentcheck import Status, agent_check_line
from scalelb.transport.stream import Log, Reactor, Stream

Tell = Callable[[], tuple[Status, float]]
CLIENTS_MOST = 16  # of each listener at once
CLIENT_S = 10.0  # that a client may stay


class StatusConnection(Stream):
    """One client of a status listener."""

    def __init__(self, factory: StatusFactory) -> None:
        self.factory = factory
        self.reader = http.RequestReader(self.asked)

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up.  An agent check is answered at once; whatever comes in is skipped."""
        super().connectionMade()
        factory = self.factory
        factory.clients.add(self)
        if factory.agent or len(factory.clients) > CLIENTS_MOST:
            if factory.agent:
                self.send(agent_check_line(*factory.tell()))
            self.close()
        else:
            factory.reactor.callLater(CLIENT_S, self.abort)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes from the client."""
        if self.factory.agent:
            return
        try:
            self.reader.feed(data)
        except MalformedError as error:
            peer = str(self.transport.getPeer())
            self.factory.log("malformed", level="warning", what=str(error), peer=peer)
            self.send(http.response(400, "Bad Request", b"{}"))
            self.close()

    def asked(self, method: str, path: str, keep: bool) -> None:
        """One request: `/health` and `/ready` tell whether requests are taken, `/live` that it runs."""
        status, weight = self.factory.tell()
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
        if not keep:
            self.close()

    def lost(self) -> None:
        """The client has left."""
        self.factory.clients.discard(self)


class StatusFactory(ServerFactory):
    """A status listener."""

    noisy = False

    def __init__(self, reactor: Reactor, tell: Tell, log: Log, agent: bool) -> None:
        self.reactor, self.tell, self.log, self.agent = reactor, tell, log, agent
        self.clients: set[StatusConnection] = set()

    def buildProtocol(self, addr: IAddress | None) -> StatusConnection:  # noqa: N802
        """A client connects."""
        return StatusConnection(self)
