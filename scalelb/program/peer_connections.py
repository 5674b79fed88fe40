"""Joins a limiter's mesh to its sockets: loaded only where there are links."""

from __future__ import annotations

import time
from random import SystemRandom
from typing import TYPE_CHECKING, Any

from scalelb.peers import Mesh, MeshSettings
from scalelb.peers.mesh import MalformedMessageError
from scalelb.program.config import PeerSettings
from scalelb.program.peering import Peering, Whose
from scalelb.transport.peerlink import PeerLinks
from scalelb.transport.stream import host_port

if TYPE_CHECKING:
    from scalelb.program.__main__ import Program

BACKLOG = 64
SWEEPS = 10  # ticks between two looks for silent links


class PeerConnections:
    """One limiter's links, mesh and peering."""

    def __init__(self, program: Program, settings: PeerSettings) -> None:
        self.program, self.settings, self.reactor = program, settings, program.reactor
        config = program.config
        self.random = SystemRandom()  # a life's nonce must differ from any other's, whatever the seeds are
        mesh = MeshSettings(
            name=config.name,
            members=tuple(settings.members),
            tick_ms=settings.tick_ms,
            beat_ms=settings.beat_ms,
            suspect_ms=settings.suspect_ms,
            alone_ms=settings.alone_ms,
        )
        self.mesh = Mesh(mesh, self.random.getrandbits(31), self.now(), program.log)
        loop, whose = program.loop, Whose.FLEET if settings.fleet_bans else Whose.OWN
        self.peering = Peering(
            self.mesh, loop.core, loop.overrides, loop.clock, loop.overrides_changed, program.log, whose,
            self.flush,
        )  # fmt: skip
        others = {name: at for name, at in settings.members.items() if name != config.name}
        self.links = PeerLinks(
            self.reactor, config.name, others, program.log, self.joined, self.left, self.message
        )  # fmt: skip
        self.ticks = 0
        self.digest = self.told_digest = ""
        self.cpu = 0.0  # seconds that the links have taken

    def now(self) -> float:
        """The mesh's clock: it only goes on."""
        return 1000.0 * float(self.reactor.seconds())

    def listen(self) -> Any:
        """Let peers come, and begin."""
        host, port = host_port(self.settings.listen)
        bound = self.reactor.listenTCP(port, self.links, BACKLOG, host)
        self.tick()
        return bound

    def tick(self) -> None:
        """Say what is to be said, again and again."""
        if self.links.closing:
            return
        began = time.thread_time()
        self.ticks += 1
        if self.ticks % SWEEPS == 0:
            self.links.sweep()
            self.tell_quiet()
        for name in self.mesh.wanted(self.random.choice):
            self.links.dial(name)
        for name, message in self.peering.tick(self.now(), self.links.ready):
            self.links.send(name, message)
        self.cpu += time.thread_time() - began
        self.reactor.callLater(self.mesh.settings.push_ms / 1000, self.tick)

    def flush(self) -> None:
        """Send own writes now."""
        for name, message in self.mesh.push(self.links.ready):
            self.links.send(name, message)

    def tell_quiet(self) -> None:
        """One line once nothing has changed for a while: what is held here, to compare with the others."""
        digest = self.peering.digest()
        if digest == self.digest and digest != self.told_digest:
            self.told_digest = digest
            self.program.log("quiet", digest=digest)
        self.digest = digest

    def joined(self, name: str) -> None:
        """A link is up."""
        self.mesh.joined(name, self.now())

    def left(self, name: str) -> None:
        """A link has ended."""
        self.mesh.left(name, self.now())

    def message(self, name: str, message: Any) -> None:
        """A peer's message; one that can't be ends its link."""
        began = time.thread_time()
        try:
            answers = self.mesh.received(name, message, self.now())
        except MalformedMessageError:
            self.mesh.dropped += 1
            raise
        for to, answer in answers:
            self.links.send(to, answer)
        self.cpu += time.thread_time() - began

    def say(self, server: str) -> None:
        """Staff's word on a backend has changed."""
        self.peering.say(server, self.now())

    def told(self) -> dict[str, Any]:
        """For the log."""
        told = {"sent": self.links.sent, "received": self.links.received, "cpu_ms": round(1000 * self.cpu, 1)}
        return {"peers": {**self.peering.told(self.now()), **told}}

    def stop(self) -> None:
        """End all links."""
        self.links.stop()
