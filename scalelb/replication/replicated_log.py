"""Replicated state: one log of entries for each incarnation of each limiter, written by that incarnation
alone.

A log is what scuttlebutt reconciliation needs (van Renesse, Dumitriu, Gough, Thomas, 2008): every write takes
the log's next version, an entry keeps only its newest value, and "all up to version v" says exactly what a
copy holds. Two copies of one log are merged by taking the newer value of each entry, so that the merge is
commutative, associative and idempotent, and a copy only ever grows in versions. No clock decides anything: an
entry has one writer, and its versions are the writer's own order.

Deletions are writes too. An entry that is deleted leaves a tombstone; once that is `TOMBSTONE_MS` old it is
dropped and the log's floor rises to its version. A copy that stands below the floor may hold entries whose
deletion it can't learn any more: it is given the log in full, and what is not in there goes.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

TOMBSTONE_MS = 60_000.0  # how long a deletion can be learnt; a copy that was away for longer is sent in full
MAX_ENTRIES = 131_072  # of one log
COMPACTION_SLACK = 256  # overwritten writes that stay in the write order before it is made anew
CLOSED_KEY = "!closed"  # an incarnation has taken account of all earlier ones' logs


class Incarnation(NamedTuple):
    """One life of a limiter's process.  Of one name the greatest is the newest; `nonce` tells two apart that
    began without hearing of each other."""

    name: str
    number: int
    nonce: int


class Entry(NamedTuple):
    """A value and the version of its write; the value None is a tombstone."""

    version: int
    value: Any


class LogState(NamedTuple):
    """What a copy of a log holds: all writes up to `version`, without the tombstones up to `floor`."""

    version: int
    floor: int


EMPTY_LOG_STATE = LogState(0, 0)


@dataclass
class ReplicatedLog:
    """An incarnation's entries, or a copy of them.  Times are ms of the holder's monotonic clock."""

    entries: dict[str, Entry] = field(default_factory=dict)
    # All writes here in their order, and the keys of the same writes; readers skip overwritten ones.
    write_versions: list[int] = field(default_factory=list)
    write_keys: list[str] = field(default_factory=list)
    version: int = 0
    floor: int = 0
    tombstoned_at: dict[str, float] = field(default_factory=dict)  # when tombstones came here, oldest first

    @property
    def state(self) -> LogState:
        """What is held here."""
        return LogState(self.version, self.floor)

    def write(self, key: str, value: Any, now: float) -> None:
        """The owner's next write; the value None deletes the entry."""
        if value is None and key not in self.entries:
            return
        self.version += 1
        self._set(key, Entry(self.version, value), now)

    def _set(self, key: str, entry: Entry, now: float) -> None:
        self.entries[key] = entry
        self.write_versions.append(entry.version)
        self.write_keys.append(key)
        if len(self.write_versions) > 2 * len(self.entries) + COMPACTION_SLACK:
            self._compact_write_order()
        self.tombstoned_at.pop(key, None)
        if entry.value is None:
            self.tombstoned_at[key] = now

    def _compact_write_order(self) -> None:
        """Bounds the memory: each write would leave one item for good."""
        newest = sorted((entry.version, key) for key, entry in self.entries.items())
        self.write_versions = [version for version, _ in newest]
        self.write_keys = [key for _, key in newest]

    def entries_after(self, version: int) -> Iterator[tuple[str, Entry]]:
        """What a copy that holds all up to `version` lacks, in the order of the writes."""
        for place in range(bisect_right(self.write_versions, version), len(self.write_versions)):
            key = self.write_keys[place]
            entry = self.entries.get(key)
            if entry is not None and entry.version == self.write_versions[place]:
                yield key, entry

    def begin_full_copy(self, floor: int) -> None:
        """A full copy begins: nothing that stands here counts any more."""
        self.entries.clear()
        self.write_versions.clear()
        self.write_keys.clear()
        self.tombstoned_at.clear()
        self.version = 0
        self.floor = floor

    def merge(
        self, after: int, up_to: int, floor: int, entries: Iterable[tuple[str, Entry]], now: float
    ) -> list[tuple[str, Any]] | None:
        """Merge what another copy holds after the version `after`, all up to `up_to` in the order of the
        writes; tombstones up to its `floor` need not be kept.

        Returns the keys and values that are new here; None where something before `after` is missing here,
        and nothing was taken.
        """
        if after > self.version:
            return None
        merged = []
        for key, entry in entries:
            if entry.version > self.version:
                self.version = entry.version
                self._set(key, entry, now)
                merged.append((key, entry.value))
        self.version = max(self.version, up_to)
        if floor > self.floor and self.version >= floor:
            self.floor = floor
            for key in [key for key in self.tombstoned_at if self.entries[key].version <= floor]:
                del self.entries[key]
                del self.tombstoned_at[key]
        return merged

    def drop_old_tombstones(self, now: float) -> None:
        """For the owner's log only: the floors of the copies follow."""
        for key, tombstoned_at in list(self.tombstoned_at.items()):
            if now - tombstoned_at <= TOMBSTONE_MS:
                break
            self.floor = max(self.floor, self.entries.pop(key).version)
            del self.tombstoned_at[key]

    def live_entries(self) -> Iterator[tuple[str, Any]]:
        """Keys and values of the entries that are not deleted."""
        return ((key, entry.value) for key, entry in self.entries.items() if entry.value is not None)


class Replica:
    """All logs that one limiter holds: its own, and copies of the others'."""

    def __init__(self, max_logs: int) -> None:
        self.logs: dict[Incarnation, ReplicatedLog] = {}
        self.max_logs = max_logs  # bounds the memory against incarnations that come and go

    def log_of(self, incarnation: Incarnation) -> ReplicatedLog | None:
        """The log of an incarnation, made where there is none; None where there is no room for one more."""
        log = self.logs.get(incarnation)
        if log is None and len(self.logs) < self.max_logs:
            log = self.logs[incarnation] = ReplicatedLog()
        return log

    def newest_incarnation(self, name: str) -> Incarnation | None:
        """The newest known incarnation of a name."""
        return max((incarnation for incarnation in self.logs if incarnation.name == name), default=None)

    def incarnations(self, name: str) -> list[Incarnation]:
        """All known incarnations of a name, the newest last."""
        return sorted(incarnation for incarnation in self.logs if incarnation.name == name)

    def is_closed(self, incarnation: Incarnation) -> bool:
        """Whether a newer incarnation of the name has taken account of this one's log."""
        for other in reversed(self.incarnations(incarnation.name)):
            if other <= incarnation:
                return False
            if CLOSED_KEY in self.logs[other].entries:
                return True
        return False

    def versions(self) -> dict[Incarnation, int]:
        """Up to which version each log is held."""
        return {incarnation: log.version for incarnation, log in self.logs.items()}

    def drop(self, incarnation: Incarnation) -> None:
        """Drop a log."""
        self.logs.pop(incarnation, None)

    def has_same_entries(self, other: Replica) -> bool:
        """Whether two replicas hold the same entries, logs without entries aside."""
        return self._live_entries() == other._live_entries()

    def _live_entries(self) -> dict[Incarnation, dict[str, Any]]:
        live = {incarnation: dict(log.live_entries()) for incarnation, log in self.logs.items()}
        return {incarnation: entries for incarnation, entries in live.items() if entries}
