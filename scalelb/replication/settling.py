"""When an incarnation may begin to write: once it holds what the others held, or nobody is there to ask."""

from __future__ import annotations

from enum import Enum

from scalelb.replication.gossip import Link
from scalelb.replication.replicated_log import Incarnation, Replica
from scalelb.replication.settings import ReplicationSettings
from scalelb.replication.topology import Topology

MAX_SETTLING_RATIO = 10  # of `settle_alone_after_ms`: no peer can hold an incarnation up for longer


class SettlingState(Enum):
    """How far an incarnation has come."""

    COPYING = "copying"
    COPIED = "copied"  # all is here that each settled peer held when they met
    ALONE = "alone"  # no settled peer is there, or they have held it up for too long


class Settling:
    """The start of one incarnation.  Times are ms of its own monotonic clock."""

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
        self.last_copied_at = started_at  # when entries last came

    def state(self, now: float) -> SettlingState:
        """How far it has come."""
        met = [link for link in self.links.values() if link.initial_versions is not None and link.is_settled]
        if self._is_alone(met, now):
            return SettlingState.ALONE
        return SettlingState.COPIED if self._has_copied_all(met, now) else SettlingState.COPYING

    def _is_alone(self, met: list[Link], now: float) -> bool:
        alone_ms = self.settings.settle_alone_after_ms
        # Entries that came last put it off: a link that broke in the middle of a copy comes back.
        has_nobody = now - self.last_copied_at > alone_ms and not met
        return has_nobody or now - self.started_at > MAX_SETTLING_RATIO * alone_ms

    def _has_copied_all(self, met: list[Link], now: float) -> bool:
        has_all_links = len(self.links) >= len(self.topology.neighbours)
        if not has_all_links and now - self.started_at < self.settings.wait_for_links_ms:
            return False
        return bool(met) and all(map(self._has_copied_from, met))

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
