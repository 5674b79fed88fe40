"""Replicated state: one log for each incarnation of each limiter, written only by that incarnation.

A log has the properties that scuttlebutt reconciliation needs (van Renesse, Dumitriu, Gough, Thomas, 2008):
every write takes the log's next version, an entry keeps only its newest value, and "all up to version v"
describes exactly what a copy holds. Two copies of one log are merged by taking the newer value of each entry.
The merge is therefore commutative, associative and idempotent, and never decreases the version of a copy.
Clocks are not used to order writes: an entry has one writer, and its versions are in the writer's own order.

Deletions are writes too. A deleted entry leaves a tombstone. When the tombstone is `TOMBSTONE_MS` old it is
dropped, and the log's floor rises to the tombstone's version. A copy whose version is below the floor may
hold entries whose deletion it can no longer receive. It is therefore sent the log in full, and drops every
entry that is not in the full copy.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

TOMBSTONE_MS = 60_000.0  # a copy that was not updated for longer has to be sent in full
MAX_ENTRIES = 131_072  # per log
COMPACTION_SLACK = 256  # overwritten writes that may remain in the write order before it is compacted
CLOSED_KEY = "!closed"  # its presence closes the logs of all earlier incarnations of the writer


class Incarnation(NamedTuple):
    """One run of a limiter's process.

    Of the incarnations of one name, the greatest is the newest. The nonce distinguishes two incarnations that
    took the same number because neither knew of the other.
    """

    name: str
    number: int
    nonce: int


class Entry(NamedTuple):
    """A value and the version of its write. The value None is a tombstone."""

    version: int
    value: Any


class LogState(NamedTuple):
    """The extent of a copy of a log: all writes up to `version`, without the tombstones up to `floor`."""

    version: int
    floor: int


EMPTY_LOG_STATE = LogState(0, 0)


@dataclass
class ReplicatedLog:
    """The entries of an incarnation, or a copy of them.

    Times are in milliseconds of the monotonic clock of the limiter that holds the log.
    """

    entries: dict[str, Entry] = field(default_factory=dict)
    # The versions of all writes in ascending order, and the keys of the same writes. Readers skip writes that
    # were overwritten.
    written_versions: list[int] = field(default_factory=list)
    written_keys: list[str] = field(default_factory=list)
    version: int = 0
    floor: int = 0
    tombstoned_at: dict[str, float] = field(default_factory=dict)  # time of each tombstone, oldest first

    @property
    def state(self) -> LogState:
        """The extent of this log or copy."""
        return LogState(self.version, self.floor)

    def write(self, key: str, value: Any, now: float) -> None:
        """Writes an entry as the owner of the log. The value None deletes the entry."""
        if value is None and key not in self.entries:
            return
        self.version += 1
        self._set(key, Entry(self.version, value), now)

    def _set(self, key: str, entry: Entry, now: float) -> None:
        self.entries[key] = entry
        self.written_versions.append(entry.version)
        self.written_keys.append(key)
        if len(self.written_versions) > 2 * len(self.entries) + COMPACTION_SLACK:
            self._compact_write_order()
        self.tombstoned_at.pop(key, None)
        if entry.value is None:
            self.tombstoned_at[key] = now

    def _compact_write_order(self) -> None:
        """Removes overwritten writes from the write order, which would otherwise grow with every write."""
        newest = sorted((entry.version, key) for key, entry in self.entries.items())
        self.written_versions = [version for version, _ in newest]
        self.written_keys = [key for _, key in newest]

    def entries_after(self, version: int) -> Iterator[tuple[str, Entry]]:
        """Yields the entries that a copy at `version` lacks, in the order of the writes."""
        for index in range(bisect_right(self.written_versions, version), len(self.written_versions)):
            key = self.written_keys[index]
            entry = self.entries.get(key)
            if entry is not None and entry.version == self.written_versions[index]:
                yield key, entry

    def begin_full_copy(self, floor: int) -> None:
        """Clears this copy, because a full copy of the log follows."""
        self.entries.clear()
        self.written_versions.clear()
        self.written_keys.clear()
        self.tombstoned_at.clear()
        self.version = 0
        self.floor = floor

    def merge(
        self, after: int, up_to: int, floor: int, entries: Iterable[tuple[str, Entry]], now: float
    ) -> list[tuple[str, Any]] | None:
        """Merges the entries of another copy that were written after version `after`, up to `up_to`.

        The entries are in the order of the writes. Tombstones up to `floor` are dropped.

        Returns the keys and values that are new in this copy, or None if this copy lacks writes before
        `after`; in that case nothing is merged.
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
        """Drops expired tombstones and raises the floor. Only the owner does this; copies adopt its floor."""
        for key, tombstoned_at in list(self.tombstoned_at.items()):
            if now - tombstoned_at <= TOMBSTONE_MS:
                break
            self.floor = max(self.floor, self.entries.pop(key).version)
            del self.tombstoned_at[key]

    def live_entries(self) -> Iterator[tuple[str, Any]]:
        """Yields the keys and values of the entries that are not deleted."""
        return ((key, entry.value) for key, entry in self.entries.items() if entry.value is not None)


class Replica:
    """All logs that one limiter holds: its own, and copies of the other members' logs."""

    def __init__(self, max_logs: int) -> None:
        self.logs: dict[Incarnation, ReplicatedLog] = {}
        self.max_logs = max_logs  # bounds the memory, as peers may send any number of incarnations

    def find_or_create_log(self, incarnation: Incarnation) -> ReplicatedLog | None:
        """Returns the log of an incarnation, created if needed, or None if `max_logs` is reached."""
        log = self.logs.get(incarnation)
        if log is None and len(self.logs) < self.max_logs:
            log = self.logs[incarnation] = ReplicatedLog()
        return log

    def newest_incarnation(self, name: str) -> Incarnation | None:
        """Returns the newest known incarnation of a name."""
        return max((incarnation for incarnation in self.logs if incarnation.name == name), default=None)

    def incarnations(self, name: str) -> list[Incarnation]:
        """Returns all known incarnations of a name, oldest first."""
        return sorted(incarnation for incarnation in self.logs if incarnation.name == name)

    def is_closed(self, incarnation: Incarnation) -> bool:
        """Whether a newer incarnation of the same name has closed this one's log."""
        for other in reversed(self.incarnations(incarnation.name)):
            if other <= incarnation:
                return False
            if CLOSED_KEY in self.logs[other].entries:
                return True
        return False

    def versions(self) -> dict[Incarnation, int]:
        """Returns the version of each log."""
        return {incarnation: log.version for incarnation, log in self.logs.items()}

    def drop(self, incarnation: Incarnation) -> None:
        """Removes the log of an incarnation, if there is one."""
        self.logs.pop(incarnation, None)

    def has_same_entries(self, other: Replica) -> bool:
        """Whether both replicas hold the same live entries. Logs without live entries are ignored."""
        return self._live_entries() == other._live_entries()

    def _live_entries(self) -> dict[Incarnation, dict[str, Any]]:
        live = {incarnation: dict(log.live_entries()) for incarnation, log in self.logs.items()}
        return {incarnation: entries for incarnation, entries in live.items() if entries}
