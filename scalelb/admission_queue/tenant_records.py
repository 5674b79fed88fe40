"""Compact records of customers that were let go: what is left of each one's store, in a fixed number of
bytes.

Tables of plain arrays, 36 bytes a place, keyed by a keyed hash of the name (BLAKE2b under a random key, so
that nobody can choose names that meet).  A record is dropped only once its store is full again.  Where
every table has a name's neighbourhood taken by records that are not, the one soonest full gives way, and
until it would have been full, whoever is not known begins with an empty store: nobody gets a fresh burst by
being forgotten.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from hashlib import blake2b
from itertools import islice
from math import ceil
from typing import Any, NamedTuple

PLACES = 8  # looked at for one name, in each table
BITS, TABLES = 13, 16  # places of a table; tables at most: 131,072 records
TICK_MS = 10.0  # in which times are kept: over a year fits, rounded to the customer's loss


class TenantRecord(NamedTuple):
    """What is kept of a customer."""

    balance: float  # units on hand here
    unreported: float  # granted here, not yet added to the counter
    store: float  # units left for all limiters, as last told
    total: float  # the counter's last word in `window`
    window: int  # -1: none
    at: float  # when it was let go
    full_at: float  # when its store is full again
    out: int = 0  # attempts of it that another life of this limiter still has out
    out_until: float = 0.0  # and when they are taken to be back


class RecordTable:
    """`2 ** bits` places, and some behind the last so that no neighbourhood wraps round."""

    def __init__(self, bits: int) -> None:
        size = (1 << bits) + PLACES
        self.mask, self.size, self.count = (1 << bits) - 1, size, 0
        self.names = array("Q", bytes(8 * size))
        self.at, self.full_at = array("I", bytes(4 * size)), array("I", bytes(4 * size))
        self.windows = array("i", bytes(4 * size))
        self.numbers = [array("f", bytes(4 * size)) for _ in range(4)]

    @property
    def bytes(self) -> int:
        """All that it takes, whatever it holds."""
        columns: list[array[Any]] = [self.names, self.at, self.full_at, self.windows, *self.numbers]
        return sum(column.itemsize * len(column) for column in columns)

    def find(self, marked: int) -> int:
        """The place of a name, or -1."""
        first = marked & self.mask
        some = self.names[first : first + PLACES]
        return first + some.index(marked) if marked in some else -1

    def free(self, marked: int, ticks: int) -> int:
        """A place for a name that is empty or whose store is full again, or -1."""
        first = marked & self.mask
        for place in range(first, first + PLACES):
            if not self.names[place]:
                return place
            if self.full_at[place] <= ticks:
                self.drop(place)
                return place
        return -1

    def soonest(self, marked: int) -> int:
        """The place among a name's that is full again first."""
        first = marked & self.mask
        return min(range(first, first + PLACES), key=self.full_at.__getitem__)

    def drop(self, place: int) -> None:
        """Empty a place."""
        self.names[place] = 0
        self.count -= 1


class TenantRecords:
    """The records of one limiter.  Tables come as they are needed and go once they are empty."""

    def __init__(self, key: bytes, bits: int = BITS, tables: int = TABLES) -> None:
        self.key, self.bits, self.most = key, bits, tables
        self.tables: list[RecordTable] = []
        self.base = 0.0
        self.given_way_until = 0.0  # whoever is not known before then has an empty store
        self.left: dict[str, TenantRecord] = {}  # whole, from the life of this limiter that went before
        self.swept = 0  # ticks, of the sweep under way
        self.sweeping: Iterator[None] = iter(())

    @property
    def count(self) -> int:
        """Records that are kept."""
        return sum(table.count for table in self.tables)

    @property
    def bytes(self) -> int:
        """What all tables take."""
        return sum(table.bytes for table in self.tables)

    @property
    def bytes_most(self) -> int:
        """What they can come to."""
        return self.most * ((1 << self.bits) + PLACES) * 36

    def put(self, name: str, record: TenantRecord, now: float) -> None:
        """Keep a record; none where the store is full already."""
        if record.full_at <= now:
            return
        if not self.tables:
            self.base = now - 1000.0
        marked, ticks = self._hash(name), self._ticks(now)
        place, into = -1, None
        for table in self.tables:
            if (found := table.find(marked)) >= 0:
                table.drop(found)
            if into is None and (place := table.free(marked, ticks)) >= 0:
                into = table
        if into is None and len(self.tables) < self.most:
            into = RecordTable(self.bits)
            self.tables.append(into)
            place = into.free(marked, ticks)
        if into is None:
            into = min(self.tables, key=lambda t: t.full_at[t.soonest(marked)])
            place = into.soonest(marked)
            until = self.base + TICK_MS * into.full_at[place]
            self.given_way_until = max(self.given_way_until, until)
            into.drop(place)
        into.count += 1
        into.names[place] = marked
        for column, value in zip(into.numbers, record, strict=False):
            column[place] = max(-1e30, min(1e30, value))
        into.windows[place] = max(-1, min(2**31 - 1, record.window))
        into.at[place], into.full_at[place] = self._ticks(record.at), self._ticks(record.full_at)

    def take(self, name: str, now: float) -> TenantRecord | None:
        """Take a record out; nothing where there is none, or its store is full again."""
        if self.left and (whole := self.left.pop(name, None)) is not None:
            return whole if max(whole.full_at, whole.out_until) > now else None
        marked = self._hash(name) if self.tables else 0
        for table in self.tables:
            if (place := table.find(marked)) >= 0:
                table.drop(place)
                full_at = self.base + TICK_MS * table.full_at[place]
                if full_at <= now:
                    return None
                balance, unreported, store, total = (column[place] for column in table.numbers)
                at = min(now, self.base + TICK_MS * table.at[place])
                return TenantRecord(balance, unreported, store, total, table.windows[place], at, full_at)
        return None

    def knows(self, name: str) -> bool:
        """Whether there is a record of it."""
        if name in self.left:
            return True
        if not self.tables:
            return False
        marked = self._hash(name)
        return any(table.find(marked) >= 0 for table in self.tables)

    def sweep(self, now: float, places: int) -> None:
        """Drop what is full again among the next places, and the last table once it is empty."""
        for name in [n for n, r in islice(self.left.items(), places) if max(r.full_at, r.out_until) <= now]:
            del self.left[name]
        if not self.tables:
            return
        if next(self.sweeping, self) is self:
            self.sweeping = self._round()
        self.swept = self._ticks(now)
        for _ in islice(self.sweeping, places):
            pass

    def _round(self) -> Iterator[None]:
        for table in list(self.tables):
            for place in range(table.size):
                if table.names[place] and table.full_at[place] <= self.swept:
                    table.drop(place)
                yield
        while self.tables and not self.tables[-1].count:
            self.tables.pop()

    def _hash(self, name: str) -> int:
        """64 bits, never 0."""
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=8, key=self.key).digest()
        return int.from_bytes(digest, "big") or 1

    def _ticks(self, at: float) -> int:
        """Rounded up: less is credited since, and it is full later."""
        return max(0, min(2**32 - 1, ceil((at - self.base) / TICK_MS)))
