"""Connects a limiter's replicator to its peers; imported only if peer connections are configured."""

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

BACKLOG = 64  # Connections that the kernel queues for the listener.
TICKS_PER_SWEEP = 10  # Ticks between two checks for unresponsive links.


class PeerConnections:
    """The links, the replicator and the peering of one limiter."""

    def __init__(
        self, reactor: Any, loop: Loop, name: str, settings: PeerSettings, log: Callable[..., None]
    ) -> None:
        """`name` is this limiter's name among the members."""
        self.reactor = reactor
        self.settings = settings
        self.log = log
        self.random = SystemRandom()  # Nonces of incarnations must differ, whatever the seed.
        replication = ReplicationSettings(
            name=name,
            members=tuple(settings.members),
            tick_ms=settings.tick_ms,
            heartbeat_ms=settings.heartbeat_ms,
            suspect_after_ms=settings.suspect_after_ms,
            settle_alone_after_ms=settings.settle_alone_after_ms,
        )
        self.replicator = Replicator(replication, self.random.getrandbits(31), self.now(), log)
        scope = OverrideScope.FLEET if settings.has_fleet_overrides else OverrideScope.LIMITER
        self.peering = Peering(
            self.replicator, loop.core, loop.overrides, loop.clock, loop.overrides_changed, log,
            scope, self.flush,
        )  # fmt: skip
        other_members = {member: address for member, address in settings.members.items() if member != name}
        self.links = PeerLinks(
            self.reactor, name, other_members, log, self.on_link_up, self.on_link_down, self.on_message
        )  # fmt: skip
        self.port: Any = None
        self.ticks = 0
        self.digest = ""  # at the latest check
        self.logged_digest = ""
        self.cpu_s = 0.0  # CPU time spent on peers

    def now(self) -> float:
        """Return the time of the replicator's monotonic clock, in ms."""
        return 1000.0 * float(self.reactor.seconds())

    def listen(self) -> Any:
        """Listen for peers, and start the ticks."""
        host, port = host_port(self.settings.listen)
        self.port = self.reactor.listenTCP(port, self.links, BACKLOG, host)
        self.tick()
        return self.port

    def tick(self) -> None:
        """Dial the links and send the frames that are due, and schedule the next tick."""
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
        for name, frame in self.peering.tick(self.now(), self.links.is_ready):
            self.links.send(name, frame)
        self.cpu_s += time.thread_time() - started_s

    def flush(self) -> None:
        """Send this limiter's writes now."""
        for name, frame in self.replicator.push(self.links.is_ready):
            self.links.send(name, frame)

    def log_digest_once_stable(self) -> None:
        """Log the digest of the replicated data once it has stayed the same between two checks.

        Operators compare it with the digests of the other limiters."""
        digest = self.peering.digest()
        if digest == self.digest and digest != self.logged_digest:
            self.logged_digest = digest
            self.log("quiet", digest=digest)
        self.digest = digest

    def on_link_up(self, name: str) -> None:
        """Record that a link has come up."""
        self.replicator.link_up(name, self.now())

    def on_link_down(self, name: str) -> None:
        """Record that a link has ended."""
        self.replicator.link_down(name, self.now())

    def on_message(self, name: str, frame: Any) -> None:
        """Process a peer's frame. A malformed one raises `MalformedFrameError`, which ends the link."""
        started_s = time.thread_time()
        try:
            replies = self.replicator.receive(name, frame, self.now())
        except MalformedFrameError:
            self.replicator.rejected_frames += 1
            raise
        for recipient, reply in replies:
            self.links.send(recipient, reply)
        self.cpu_s += time.thread_time() - started_s

    def publish_override(self, endpoint: str) -> None:
        """Publish an operator's override of an endpoint."""
        self.peering.publish_override(endpoint, self.now())

    def log_fields(self) -> dict[str, Any]:
        """Return the fields for the tally log line."""
        traffic = {
            "sent": self.links.bytes_sent,
            "received": self.links.bytes_received,
            "cpu_ms": round(1000 * self.cpu_s, 1),
        }
        return {"peers": {**self.peering.status(self.now()), **traffic}}

    def stop(self) -> None:
        """Close all links, and release the listening address."""
        self.links.stop()
        if self.port is not None:
            self.port.stopListening()
            self.port = None
