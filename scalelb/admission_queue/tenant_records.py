"""Compact records of evicted tenants: what is left of each one's token bucket, in a fixed number of bytes.

Hash tables of plain arrays, 36 bytes a slot, with a bounded neighbourhood of slots for each name.  Names are
hashed by keyed BLAKE2b under a random key, so that nobody can choose names that collide.  A record is dropped
only once its token bucket is full again.  Where every table has a name's neighbourhood taken by buckets that
are not, the record that is soonest full is evicted, and until it would have been full, tenants without a
record start with an empty bucket: nobody gets a fresh burst by being forgotten.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from hashlib import blake2b
from itertools import islice
from math import ceil
from typing import Any, NamedTuple

SLOTS_PER_NAME = 8  # looked at for one name, in each table
TABLE_BITS = 13  # a table has 2 ** TABLE_BITS slots
MAX_TABLES = 16  # 131,072 records in all
SLOT_BYTES = 36  # name hash 8, two times of 4, counter window 4, four amounts of 4
TICK_MS = 10.0  # resolution of the times kept; over a year fits, and rounding is to the tenant's loss
MAX_AMOUNT = 1e30  # units; a 32-bit float holds it


class TenantRecord(NamedTuple):
    """What is kept of an evicted tenant.  Amounts are in units, times in milliseconds."""

    balance: float  # units on hand at this limiter
    unreported_units: float  # granted here, not yet added to the shared counter
    shared_balance: float  # units left for all limiters, by the counter's last answer
    counter_total: float  # the counter's last answer in `counter_window`
    counter_window: int  # -1: none
    evicted_at: float
    full_at: float  # when its token bucket is full again
    in_flight: int = 0  # attempts that another incarnation of this limiter still has in flight
    in_flight_until: float = 0.0  # when those are taken to have ended


class RecordTable:
    """A hash table of `2 ** bits` slots, and some behind the last so that no neighbourhood wraps round."""

    def __init__(self, bits: int) -> None:
        size = (1 << bits) + SLOTS_PER_NAME
        self.mask = (1 << bits) - 1
        self.size = size
        self.count = 0
        self.name_hashes = array("Q", bytes(8 * size))  # 0: the slot is empty
        self.evicted_ticks = array("I", bytes(4 * size))
        self.full_ticks = array("I", bytes(4 * size))
        self.counter_windows = array("i", bytes(4 * size))
        self.amounts = [array("f", bytes(4 * size)) for _ in range(4)]  # the record's first four fields

    @property
    def size_bytes(self) -> int:
        """The size of all columns, however many slots are taken."""
        columns: list[array[Any]] = [
            self.name_hashes,
            self.evicted_ticks,
            self.full_ticks,
            self.counter_windows,
            *self.amounts,
        ]
        return sum(column.itemsize * len(column) for column in columns)

    def find(self, name_hash: int) -> int:
        """The slot that holds a name, or -1."""
        first = name_hash & self.mask
        neighbourhood = self.name_hashes[first : first + SLOTS_PER_NAME]
        if name_hash not in neighbourhood:
            return -1
        return first + neighbourhood.index(name_hash)

    def find_free(self, name_hash: int, ticks: int) -> int:
        """A slot for a name that is empty, or whose bucket is full again at `ticks` (then cleared), or -1."""
        first = name_hash & self.mask
        for slot in range(first, first + SLOTS_PER_NAME):
            if not self.name_hashes[slot]:
                return slot
            if self.full_ticks[slot] <= ticks:
                self.clear(slot)
                return slot
        return -1

    def soonest_full(self, name_hash: int) -> int:
        """The slot in a name's neighbourhood whose bucket is full again first."""
        first = name_hash & self.mask
        return min(range(first, first + SLOTS_PER_NAME), key=self.full_ticks.__getitem__)

    def clear(self, slot: int) -> None:
        """Empty a slot that is taken."""
        self.name_hashes[slot] = 0
        self.count -= 1


class TenantRecords:
    """The records of one limiter.  Tables are added as they are needed and removed once they are empty.

    `hash_key` keys the hash of the names (at most 64 bytes); `bits` and `max_tables` bound the memory.
    """

    def __init__(self, hash_key: bytes, bits: int = TABLE_BITS, max_tables: int = MAX_TABLES) -> None:
        self.hash_key = hash_key
        self.bits = bits
        self.max_tables = max_tables
        self.tables: list[RecordTable] = []
        self.epoch_at = 0.0  # ticks count from here
        self.unknown_start_empty_until = 0.0  # tenants without a record start with an empty bucket until then
        self.inherited: dict[str, TenantRecord] = {}  # in full, from this limiter's previous incarnation
        self.sweep_ticks = 0  # the time up to which the sweep under way clears slots
        self.sweeping: Iterator[None] = iter(())

    @property
    def count(self) -> int:
        """Records that are kept."""
        return sum(table.count for table in self.tables)

    @property
    def size_bytes(self) -> int:
        """The size of all tables."""
        return sum(table.size_bytes for table in self.tables)

    @property
    def max_size_bytes(self) -> int:
        """The size that all tables can come to."""
        return self.max_tables * ((1 << self.bits) + SLOTS_PER_NAME) * SLOT_BYTES

    def put(self, name: str, record: TenantRecord, now: float) -> None:
        """Keep a record; none where the bucket is full already."""
        if record.full_at <= now:
            return
        if not self.tables:
            self.epoch_at = now - 1000.0
        name_hash = self._hash(name)
        ticks = self._ticks(now)
        slot = -1
        target = None
        for table in self.tables:
            if (old_slot := table.find(name_hash)) >= 0:
                table.clear(old_slot)
            if target is None and (slot := table.find_free(name_hash, ticks)) >= 0:
                target = table
        if target is None and len(self.tables) < self.max_tables:
            target = RecordTable(self.bits)
            self.tables.append(target)
            slot = target.find_free(name_hash, ticks)
        if target is None:
            target, slot = self._evict_soonest_full(name_hash)
        target.count += 1
        target.name_hashes[slot] = name_hash
        for column, value in zip(target.amounts, record, strict=False):
            column[slot] = max(-MAX_AMOUNT, min(MAX_AMOUNT, value))
        target.counter_windows[slot] = max(-1, min(2**31 - 1, record.counter_window))
        target.evicted_ticks[slot] = self._ticks(record.evicted_at)
        target.full_ticks[slot] = self._ticks(record.full_at)

    def take(self, name: str, now: float) -> TenantRecord | None:
        """Remove a record and return it; nothing where there is none, or its bucket is full again."""
        if self.inherited and (inherited := self.inherited.pop(name, None)) is not None:
            return inherited if max(inherited.full_at, inherited.in_flight_until) > now else None
        name_hash = self._hash(name) if self.tables else 0
        for table in self.tables:
            if (slot := table.find(name_hash)) >= 0:
                table.clear(slot)
                full_at = self.epoch_at + TICK_MS * table.full_ticks[slot]
                if full_at <= now:
                    return None
                balance, unreported, shared, total = (column[slot] for column in table.amounts)
                evicted_at = min(now, self.epoch_at + TICK_MS * table.evicted_ticks[slot])
                window = table.counter_windows[slot]
                return TenantRecord(balance, unreported, shared, total, window, evicted_at, full_at)
        return None

    def has_record(self, name: str) -> bool:
        """Whether there is a record of a tenant."""
        if name in self.inherited:
            return True
        if not self.tables:
            return False
        name_hash = self._hash(name)
        return any(table.find(name_hash) >= 0 for table in self.tables)

    def sweep(self, now: float, max_slots: int) -> None:
        """Drop what is full again among the next slots, and the last tables once they are empty."""
        first_inherited = islice(self.inherited.items(), max_slots)
        expired = [name for name, r in first_inherited if max(r.full_at, r.in_flight_until) <= now]
        for name in expired:
            del self.inherited[name]
        if not self.tables:
            return
        if next(self.sweeping, self) is self:
            self.sweeping = self._sweep_all()
        self.sweep_ticks = self._ticks(now)
        for _ in islice(self.sweeping, max_slots):
            pass

    def _evict_soonest_full(self, name_hash: int) -> tuple[RecordTable, int]:
        """Clear, of all tables, the slot for this name that is soonest full; the table and the slot."""
        table = min(self.tables, key=lambda t: t.full_ticks[t.soonest_full(name_hash)])
        slot = table.soonest_full(name_hash)
        full_at = self.epoch_at + TICK_MS * table.full_ticks[slot]
        self.unknown_start_empty_until = max(self.unknown_start_empty_until, full_at)
        table.clear(slot)
        return table, slot

    def _sweep_all(self) -> Iterator[None]:
        """One sweep over all tables, a slot a step."""
        for table in list(self.tables):
            for slot in range(table.size):
                if table.name_hashes[slot] and table.full_ticks[slot] <= self.sweep_ticks:
                    table.clear(slot)
                yield
        while self.tables and not self.tables[-1].count:
            self.tables.pop()

    def _hash(self, name: str) -> int:
        """64 bits, never 0, which marks an empty slot."""
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=8, key=self.hash_key).digest()
        return int.from_bytes(digest, "big") or 1

    def _ticks(self, at: float) -> int:
        """A time in ticks, rounded up: less is credited since the eviction, and the bucket is full later."""
        return max(0, min(2**32 - 1, ceil((at - self.epoch_at) / TICK_MS)))
