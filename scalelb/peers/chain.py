"""Replicated state: one chain of entries for each life of each limiter, written by that life alone.

A chain is what scuttlebutt reconciliation needs (van Renesse, Dumitriu, Gough, Thomas, 2008): every write
takes the chain's next version, an entry keeps only its newest value, and "all up to version v" says exactly
what a copy holds. Two copies of one chain are joined by taking the newer value of each entry, so that the
join is commutative, associative and idempotent, and a copy only ever grows in versions. No clock decides
anything: an entry has one writer, and its versions are the writer's own order.

Ends are writes too. An entry that ends leaves a tombstone; once that is `TOMB_MS` old it is dropped and the
chain's floor rises to its version. A copy that stands below the floor may hold entries whose ends it can't
learn any more: it is given the chain whole, and what is not in there goes.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

TOMB_MS = 60_000.0  # that an end can be learnt by itself: whoever was away for longer gets a full copy
ENTRIES_MOST = 131_072  # of one chain
COMPACT = 256  # writes that are left standing before the list of them is made anew
KEY_MOST = 300  # characters
VERSION_MOST = 2**53


class Life(NamedTuple):
    """One life of a limiter.  Of one name the greatest is the newest; `nonce` tells two apart that began
    without hearing of each other."""

    name: str
    number: int
    nonce: int


class Entry(NamedTuple):
    """A value and the version of its write; no value: it has ended."""

    version: int
    value: Any


@dataclass
class Chain:
    """A life's entries, or a copy of them."""

    entries: dict[str, Entry] = field(default_factory=dict)
    versions: list[int] = field(default_factory=list)  # of all writes here, in their order, and their keys;
    keys: list[str] = field(default_factory=list)  # those that were written over are passed by
    version: int = 0  # all up to here is in it
    floor: int = 0  # up to here ends were dropped
    ended: dict[str, float] = field(default_factory=dict)  # when tombstones came here, oldest first

    def write(self, key: str, value: Any, now: float) -> None:
        """The owner's next write; None ends the entry."""
        if value is None and key not in self.entries:
            return
        self.version += 1
        self._set(key, Entry(self.version, value), now)

    def _set(self, key: str, entry: Entry, now: float) -> None:
        self.entries[key] = entry
        self.versions.append(entry.version)
        self.keys.append(key)
        if len(self.versions) > 2 * len(self.entries) + COMPACT:  # guards the memory: each write leaves one
            newest = sorted((entry.version, key) for key, entry in self.entries.items())
            self.versions, self.keys = [v for v, _ in newest], [k for _, k in newest]
        self.ended.pop(key, None)
        if entry.value is None:
            self.ended[key] = now

    def since(self, version: int) -> Iterator[tuple[str, Entry]]:
        """What a copy that holds all up to `version` lacks, in the order of the writes."""
        for place in range(bisect_right(self.versions, version), len(self.versions)):
            key = self.keys[place]
            if (entry := self.entries.get(key)) is not None and entry.version == self.versions[place]:
                yield key, entry

    def begin_copy(self, floor: int) -> None:
        """A full copy begins: nothing that stands here counts any more."""
        for some in (self.entries, self.versions, self.keys, self.ended):
            some.clear()
        self.version, self.floor = 0, floor

    def join(
        self, begins: int, upto: int, floor: int, some: Iterable[tuple[str, Entry]], now: float
    ) -> list[tuple[str, Any]] | None:
        """Join what another copy holds after `begins`, all up to `upto` in the order of the writes; the ends
        up to its `floor` need not be kept.  Returns the news; None where something before is missing here."""
        if begins > self.version:
            return None
        news = []
        for key, entry in some:
            if entry.version > self.version:
                self.version = entry.version
                self._set(key, entry, now)
                news.append((key, entry.value))
        self.version = max(self.version, upto)
        if floor > self.floor and self.version >= floor:
            self.floor = floor
            for key in [key for key in self.ended if self.entries[key].version <= floor]:
                del self.entries[key], self.ended[key]
        return news

    def sweep(self, now: float) -> None:
        """The owner's own: drop tombstones that are old enough; the copies' floors follow."""
        for key, at in list(self.ended.items()):
            if now - at <= TOMB_MS:
                break
            self.floor = max(self.floor, self.entries.pop(key).version)
            del self.ended[key]

    def live(self) -> Iterator[tuple[str, Any]]:
        """Entries that have not ended."""
        return ((key, entry.value) for key, entry in self.entries.items() if entry.value is not None)


class Replica:
    """All chains that one limiter holds: its own, and copies of the others'."""

    def __init__(self, lives_most: int) -> None:
        self.chains: dict[Life, Chain] = {}
        self.lives_most = lives_most  # copies kept; guards the memory against names that come and go

    def chain(self, life: Life) -> Chain | None:
        """The chain of a life; nothing where there is no room for a further one."""
        if (chain := self.chains.get(life)) is None and len(self.chains) < self.lives_most:
            chain = self.chains[life] = Chain()
        return chain

    def newest(self, name: str) -> Life | None:
        """The newest life of a name."""
        return max((life for life in self.chains if life.name == name), default=None)

    def lives(self, name: str) -> list[Life]:
        """All lives of a name that are known, the newest last."""
        return sorted(life for life in self.chains if life.name == name)

    def digest(self) -> dict[Life, int]:
        """What is held: of each life, up to which version."""
        return {life: chain.version for life, chain in self.chains.items()}

    def forget(self, life: Life) -> None:
        """Drop a copy."""
        self.chains.pop(life, None)

    def same(self, other: Replica) -> bool:
        """Whether two hold the same entries."""
        mine, theirs = ({n: dict(c.live()) for n, c in r.chains.items()} for r in (self, other))
        return {n: e for n, e in mine.items() if e} == {n: e for n, e in theirs.items() if e}
