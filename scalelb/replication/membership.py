"""Detects failures of members, by their silence and by what the others say of them.

Whoever hears nothing from a neighbour reports it in its own log (`down:NAME`). One report makes a member
suspect, two make it dead, and a member that is reported refutes that by writing on. Whoever hears nothing on
any link suspects itself and reports nobody.
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
REPORTS_TO_DECLARE_DEAD = 2  # where there are so many others


class MemberState(Enum):
    """A member as this limiter sees it; the values stand in the log lines."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "gone"


class Membership:
    """Who is there, as one limiter sees it.  Times are ms of its own monotonic clock."""

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
        self.link_lost_at: dict[str, float] = {}  # when a link that should be up was last up, by member
        self.log_advanced_at: dict[str, float] = {}  # when a member's log last went on, by member

    def silent_neighbours(self, now: float) -> set[str]:
        """Neighbours to report; none if all are silent: then it is this limiter that is cut off."""
        neighbours = self.topology.neighbours
        silent = {name for name in neighbours if self._is_silent(name, now)}
        if len(silent) == len(neighbours) > 1:
            return set()
        return silent

    def report_on(self, name: str, is_silent: bool) -> list[int] | None:
        """The value of this limiter's own entry on a neighbour: the incarnation that it reports; None: no
        report."""
        incarnation = self.replica.newest_incarnation(name)
        if not is_silent or incarnation is None:
            return None
        return _report(incarnation)

    def _is_silent(self, name: str, now: float) -> bool:
        link = self.links.get(name)
        if link is not None:
            last_heard_at = link.last_heard_at
        else:
            last_heard_at = self.link_lost_at.get(name, self.started_at)
        return now - last_heard_at > self.settings.suspect_after_ms

    def reporters(self, name: str, incarnation: Incarnation | None) -> Iterator[str]:
        """Members that report an incarnation of `name` as silent now."""
        if incarnation is None:
            return
        for other, log in self.replica.logs.items():
            entry: Entry | None = log.entries.get(DOWN_KEY_PREFIX + name)
            is_reported = entry is not None and entry.value == _report(incarnation)
            if not is_reported or other.name == name:
                continue
            if self.replica.newest_incarnation(other.name) == other:
                yield other.name

    def is_isolated(self, now: float) -> bool:
        """Whether nothing is heard on any link: this limiter, rather than all others, is cut off."""
        has_others = len(self.topology.members) > 1
        return has_others and all(self._is_silent(name, now) for name in self.topology.neighbours)

    def state(self, name: str, now: float) -> MemberState:
        """A member as it is seen from here."""
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
        """Members that are not dead, in the order of their names."""
        return [name for name in self.topology.members if self.state(name, now) is not MemberState.DEAD]


def _report(incarnation: Incarnation) -> list[int]:
    return [incarnation.number, incarnation.nonce]
