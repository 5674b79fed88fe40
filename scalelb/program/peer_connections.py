"""Joins a limiter's replicator to its sockets: loaded only where there are links."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import SystemRandom
from typing import Any

from scalelb.program.config import PeerSettings
from scalelb.program.loop import Loop
from scalelb.program.peering import OverrideScope, Peering
from scalelb.replication import MalformedFrameError, ReplicationSettings, Replicator
from scalelb.transport.peerlink import PeerLinks
from scalelb.transport.stream import host_port

BACKLOG = 64
TICKS_PER_SWEEP = 10  # between two looks for silent links


class PeerConnections:
    """One limiter's links, replicator and peering."""

    def __init__(
        self, reactor: Any, loop: Loop, name: str, settings: PeerSettings, log: Callable[..., None]
    ) -> None:
        """`name`: of this limiter, one of the members."""
        self.reactor = reactor
        self.settings = settings
        self.log = log
        self.random = SystemRandom()  # incarnations' nonces must differ, whatever the seeds are
        replication = ReplicationSettings(
            name=name,
            members=tuple(settings.members),
            tick_ms=settings.tick_ms,
            heartbeat_ms=settings.beat_ms,
            suspect_after_ms=settings.suspect_ms,
            settle_alone_after_ms=settings.alone_ms,
        )
        self.replicator = Replicator(replication, self.random.getrandbits(31), self.now(), log)
        scope = OverrideScope.FLEET if settings.fleet_bans else OverrideScope.LIMITER
        self.peering = Peering(
            self.replicator, loop.core, loop.overrides, loop.clock, loop.overrides_changed, log,
            scope, self.flush,
        )  # fmt: skip
        others = {member: at for member, at in settings.members.items() if member != name}
        self.links = PeerLinks(
            self.reactor, name, others, log, self.joined, self.left, self.message
        )  # fmt: skip
        self.port: Any = None
        self.ticks = 0
        self.digest = ""  # at the newest look
        self.logged_digest = ""
        self.cpu_s = 0.0  # that the links have taken

    def now(self) -> float:
        """The replicator's clock: it only goes on."""
        return 1000.0 * float(self.reactor.seconds())

    def listen(self) -> Any:
        """Let peers come, and begin."""
        host, port = host_port(self.settings.listen)
        self.port = self.reactor.listenTCP(port, self.links, BACKLOG, host)
        self.tick()
        return self.port

    def tick(self) -> None:
        """Dial the links that are due and send what is due, again and again."""
        if self.links.is_closing:
            return
        self.reactor.callLater(self.replicator.settings.push_ms / 1000, self.tick)
        started_s = time.thread_time()
        self.ticks += 1
        if self.ticks % TICKS_PER_SWEEP == 0:
            self.links.sweep()
            self.log_digest_once_stable()
        for name in self.replicator.links_to_dial(self.random.choice):
            self.links.dial(name)
        for name, message in self.peering.tick(self.now(), self.links.is_ready):
            self.links.send(name, message)
        self.cpu_s += time.thread_time() - started_s

    def flush(self) -> None:
        """Send own writes now."""
        for name, message in self.replicator.push(self.links.is_ready):
            self.links.send(name, message)

    def log_digest_once_stable(self) -> None:
        """One line once nothing has changed for a while: what is held here, to compare with the others."""
        digest = self.peering.digest()
        if digest == self.digest and digest != self.logged_digest:
            self.logged_digest = digest
            self.log("quiet", digest=digest)
        self.digest = digest

    def joined(self, name: str) -> None:
        """A link is up."""
        self.replicator.link_up(name, self.now())

    def left(self, name: str) -> None:
        """A link has ended."""
        self.replicator.link_down(name, self.now())

    def message(self, name: str, message: Any) -> None:
        """A peer's frame.  Raises `MalformedFrameError` for one that can't be: its link ends."""
        started_s = time.thread_time()
        try:
            answers = self.replicator.receive(name, message, self.now())
        except MalformedFrameError:
            self.replicator.rejected_frames += 1
            raise
        for to, answer in answers:
            self.links.send(to, answer)
        self.cpu_s += time.thread_time() - started_s

    def say(self, server: str) -> None:
        """An operator has ejected an endpoint, or called it back."""
        self.peering.publish_override(server, self.now())

    def told(self) -> dict[str, Any]:
        """For the log."""
        told = {
            "sent": self.links.bytes_sent,
            "received": self.links.bytes_received,
            "cpu_ms": round(1000 * self.cpu_s, 1),
        }
        return {"peers": {**self.peering.status(self.now()), **told}}

    def stop(self) -> None:
        """End all links, and leave the address to others."""
        self.links.stop()
        if self.port is not None:
            self.port.stopListening()
            self.port = None
