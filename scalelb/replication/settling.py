"""Determines when a new incarnation has settled and may write.

An incarnation has settled when it has copied what its settled peers held, or when no settled peer is linked.
"""

from __future__ import annotations

from enum import Enum

from scalelb.replication.gossip import Link
from scalelb.replication.replicated_log import Incarnation, Replica
from scalelb.replication.settings import ReplicationSettings
from scalelb.replication.topology import Topology

MAX_SETTLING_RATIO = 10  # times `settle_alone_after_ms`; peers can't delay an incarnation for longer


class SettlingState(Enum):
    """The progress of an incarnation towards being settled."""

    COPYING = "copying"
    COPIED = "copied"  # everything that each settled peer held at the start of its link has been copied
    ALONE = "alone"  # no settled peer is linked, or copying has taken too long


class Settling:
    """The initial synchronization of one incarnation.

    Times are in milliseconds of the limiter's own monotonic clock.
    """

    def __init__(
        self,
        settings: ReplicationSettings,
        topology: Topology,
        replica: Replica,
        links: dict[str, Link],
        started_at: float,
    ) -> None:
        self.settings = settings
        self.topology = topology
        self.replica = replica
        self.links = links
        self.started_at = started_at
        self.last_copied_at = started_at  # when entries were last received

    def state(self, now: float) -> SettlingState:
        """Returns the current state of the synchronization."""
        settled_links = [
            link for link in self.links.values() if link.initial_versions is not None and link.is_settled
        ]
        if self._is_alone(settled_links, now):
            return SettlingState.ALONE
        return SettlingState.COPIED if self._has_copied_all(settled_links, now) else SettlingState.COPYING

    def _is_alone(self, settled_links: list[Link], now: float) -> bool:
        alone_ms = self.settings.settle_alone_after_ms
        # The wait restarts with each entry received: a link that broke during a copy is expected to return.
        has_no_settled_peer = now - self.last_copied_at > alone_ms and not settled_links
        return has_no_settled_peer or now - self.started_at > MAX_SETTLING_RATIO * alone_ms

    def _has_copied_all(self, settled_links: list[Link], now: float) -> bool:
        has_all_links = len(self.links) >= len(self.topology.neighbours)
        if not has_all_links and now - self.started_at < self.settings.wait_for_links_ms:
            return False
        return bool(settled_links) and all(map(self._has_copied_from, settled_links))

    def _has_copied_from(self, link: Link) -> bool:
        if not link.is_settled or link.initial_versions is None or link.has_more_initial:
            return False
        return all(
            self._has_copied(incarnation, version) for incarnation, version in link.initial_versions.items()
        )

    def _has_copied(self, incarnation: Incarnation, version: int) -> bool:
        if not version or self.replica.is_closed(incarnation):
            return True
        log = self.replica.logs.get(incarnation)
        return log is not None and log.version >= version
