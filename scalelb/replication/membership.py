"""Detects failed members by missing frames and by the reports of other members.

A member that receives nothing from a neighbour reports it in its own log, under `down:NAME`. One report makes
the neighbour suspect, two make it dead. A reported member refutes the reports by continuing to write to its
log. A member that receives nothing on any link suspects itself and reports no other member.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from math import inf

from scalelb.replication.gossip import Link
from scalelb.replication.replicated_log import Entry, Incarnation, Replica
from scalelb.replication.settings import ReplicationSettings
from scalelb.replication.topology import Topology

DOWN_KEY_PREFIX = "down:"
REPORTS_TO_DECLARE_DEAD = 2  # or the number of other members, if that is smaller


class MemberState(Enum):
    """The state of a member as seen by this limiter. The values appear in log lines."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "gone"


class Membership:
    """The states of all members as seen by one limiter.

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
        self.link_lost_at: dict[str, float] = {}  # by member: when the link that is now down was lost
        self.log_advanced_at: dict[str, float] = {}  # by member: when its log last advanced

    def unresponsive_neighbours(self, now: float) -> set[str]:
        """Returns the neighbours to report.

        The set is empty if no neighbour out of several responds: then this limiter itself is isolated.
        """
        neighbours = self.topology.neighbours
        unresponsive = {name for name in neighbours if self._is_unresponsive(name, now)}
        if len(unresponsive) == len(neighbours) > 1:
            return set()
        return unresponsive

    def report_on(self, name: str, is_unresponsive: bool) -> list[int] | None:
        """Returns the value of this limiter's own `down:NAME` entry on a neighbour.

        The value identifies the reported incarnation; None means that there is nothing to report.
        """
        incarnation = self.replica.newest_incarnation(name)
        if not is_unresponsive or incarnation is None:
            return None
        return _report_value(incarnation)

    def _is_unresponsive(self, name: str, now: float) -> bool:
        link = self.links.get(name)
        if link is not None:
            last_received_at = link.last_received_at
        else:
            last_received_at = self.link_lost_at.get(name, self.started_at)
        return now - last_received_at > self.settings.suspect_after_ms

    def reporters(self, name: str, incarnation: Incarnation | None) -> Iterator[str]:
        """Yields the members that currently report an incarnation of `name` as unresponsive."""
        if incarnation is None:
            return
        for other, log in self.replica.logs.items():
            entry: Entry | None = log.entries.get(DOWN_KEY_PREFIX + name)
            is_reported = entry is not None and entry.value == _report_value(incarnation)
            if not is_reported or other.name == name:
                continue
            if self.replica.newest_incarnation(other.name) == other:
                yield other.name

    def is_isolated(self, now: float) -> bool:
        """Whether no neighbour responds, so that this limiter rather than all others is disconnected."""
        has_others = len(self.topology.members) > 1
        return has_others and all(self._is_unresponsive(name, now) for name in self.topology.neighbours)

    def state(self, name: str, now: float) -> MemberState:
        """Returns the state of a member as seen by this limiter."""
        if name == self.settings.name:
            return MemberState.SUSPECT if self.is_isolated(now) else MemberState.ALIVE
        newest = self.replica.newest_incarnation(name)
        reporters = set(self.reporters(name, newest))
        if not reporters:
            return MemberState.ALIVE if newest is not None else MemberState.DEAD
        needed = min(REPORTS_TO_DECLARE_DEAD, len(self.topology.members) - 1)
        log_age_ms = now - self.log_advanced_at.get(name, -inf)
        has_refuted = log_age_ms <= 2 * self.settings.suspect_after_ms
        return MemberState.DEAD if len(reporters) >= needed and not has_refuted else MemberState.SUSPECT

    def present_members(self, now: float) -> list[str]:
        """Returns the members that are not dead, sorted by name."""
        return [name for name in self.topology.members if self.state(name, now) is not MemberState.DEAD]


def _report_value(incarnation: Incarnation) -> list[int]:
    return [incarnation.number, incarnation.nonce]
