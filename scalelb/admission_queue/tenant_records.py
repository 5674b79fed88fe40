"""Compact records of evicted tenants: the state of each one's token bucket, in a fixed number of bytes.

The records are stored in hash tables made of plain arrays, 36 bytes per slot, with a bounded neighbourhood of
slots for each name.  Names are hashed with keyed BLAKE2b and a random key, so that clients can't choose names
that collide.  A record is normally dropped only when its token bucket is full again.  If in every table the
neighbourhood of a name is occupied by buckets that are not full, the record that will be full first is
evicted; until the time when it would have been full, tenants without a record start with an empty bucket, so
that eviction does not give any tenant a fresh burst.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from hashlib import blake2b
from itertools import islice
from math import ceil
from typing import Any, NamedTuple

SLOTS_PER_NAME = 8  # slots in each table that may hold a certain name
TABLE_BITS = 13  # a table has 2 ** TABLE_BITS slots
MAX_TABLES = 16  # 131,072 records in total
SLOT_BYTES = 36  # 8 for the name hash, 4 for each of two times, the counter window and four amounts
TICK_MS = 10.0  # resolution of stored times; 32 bits cover more than a year
MAX_AMOUNT = 1e30  # units; fits into a 32-bit float


class TenantRecord(NamedTuple):
    """The stored state of an evicted tenant.  Amounts are in units, times in milliseconds."""

    balance: float  # units available at this limiter
    unreported_units: float  # units granted by this limiter and not yet added to the shared counter
    shared_balance: float  # units left for all limiters according to the counter's last answer
    counter_total: float  # the counter's last answer in `counter_window`
    counter_window: int  # -1: none
    evicted_at: float
    full_at: float  # when the token bucket will be full again
    in_flight: int = 0  # attempts that another incarnation of this limiter still has in flight
    in_flight_until: float = 0.0  # when those attempts are assumed to have ended


class RecordTable:
    """A hash table of `2 ** bits` slots, and a few more at the end so that no neighbourhood wraps around."""

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
        """The size of all columns, whether their slots are occupied or not."""
        columns: list[array[Any]] = [
            self.name_hashes,
            self.evicted_ticks,
            self.full_ticks,
            self.counter_windows,
            *self.amounts,
        ]
        return sum(column.itemsize * len(column) for column in columns)

    def find(self, name_hash: int) -> int:
        """Return the slot that holds a name, or -1."""
        first = name_hash & self.mask
        neighbourhood = self.name_hashes[first : first + SLOTS_PER_NAME]
        if name_hash not in neighbourhood:
            return -1
        return first + neighbourhood.index(name_hash)

    def find_free(self, name_hash: int, ticks: int) -> int:
        """Return a free slot for a name, or -1.  Clears and uses a slot whose bucket is full at `ticks`."""
        first = name_hash & self.mask
        for slot in range(first, first + SLOTS_PER_NAME):
            if not self.name_hashes[slot]:
                return slot
            if self.full_ticks[slot] <= ticks:
                self.clear(slot)
                return slot
        return -1

    def soonest_full_slot(self, name_hash: int) -> int:
        """Return the slot in the neighbourhood of a name whose bucket will be full first."""
        first = name_hash & self.mask
        return min(range(first, first + SLOTS_PER_NAME), key=self.full_ticks.__getitem__)

    def clear(self, slot: int) -> None:
        """Clear an occupied slot."""
        self.name_hashes[slot] = 0
        self.count -= 1


class TenantRecords:
    """The records of one limiter.  Tables are added as needed and removed when they are empty.

    `hash_key` (at most 64 bytes) is the key of the name hash; `bits` and `max_tables` bound the memory.
    """

    def __init__(self, hash_key: bytes, bits: int = TABLE_BITS, max_tables: int = MAX_TABLES) -> None:
        self.hash_key = hash_key
        self.bits = bits
        self.max_tables = max_tables
        self.tables: list[RecordTable] = []
        self.epoch_at = 0.0  # ticks are counted from this time
        self.unknown_start_empty_until = 0.0  # tenants without a record start with an empty bucket until then
        self.inherited: dict[str, TenantRecord] = {}  # complete records from this limiter's predecessor
        self.sweep_ticks = 0  # the current sweep clears slots whose bucket is full at this time
        self.sweeping: Iterator[None] = iter(())

    @property
    def count(self) -> int:
        """The number of records in the tables."""
        return sum(table.count for table in self.tables)

    @property
    def size_bytes(self) -> int:
        """The current size of all tables."""
        return sum(table.size_bytes for table in self.tables)

    @property
    def max_size_bytes(self) -> int:
        """The maximum size of all tables."""
        return self.max_tables * ((1 << self.bits) + SLOTS_PER_NAME) * SLOT_BYTES

    def put(self, name: str, record: TenantRecord, now: float) -> None:
        """Store a record, unless its bucket is already full."""
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
        """Remove and return a record; None if there is none or its bucket is full again."""
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
        """Return whether there is a record of a tenant."""
        if name in self.inherited:
            return True
        if not self.tables:
            return False
        name_hash = self._hash(name)
        return any(table.find(name_hash) >= 0 for table in self.tables)

    def sweep(self, now: float, max_slots: int) -> None:
        """Drop the records with full buckets among the next `max_slots` slots, and the last empty tables."""
        first_inherited = islice(self.inherited.items(), max_slots)
        expired = [
            name for name, record in first_inherited if max(record.full_at, record.in_flight_until) <= now
        ]
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
        """Clear the slot for this name whose bucket will be full first; return its table and the slot."""
        table = min(self.tables, key=lambda t: t.full_ticks[t.soonest_full_slot(name_hash)])
        slot = table.soonest_full_slot(name_hash)
        full_at = self.epoch_at + TICK_MS * table.full_ticks[slot]
        self.unknown_start_empty_until = max(self.unknown_start_empty_until, full_at)
        table.clear(slot)
        return table, slot

    def _sweep_all(self) -> Iterator[None]:
        """Sweep all tables once, one slot per step."""
        for table in list(self.tables):
            for slot in range(table.size):
                if table.name_hashes[slot] and table.full_ticks[slot] <= self.sweep_ticks:
                    table.clear(slot)
                yield
        while self.tables and not self.tables[-1].count:
            self.tables.pop()

    def _hash(self, name: str) -> int:
        """Return a 64-bit hash; never 0, which marks an empty slot."""
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=8, key=self.hash_key).digest()
        return int.from_bytes(digest, "big") or 1

    def _ticks(self, at: float) -> int:
        """Return a time in ticks, rounded up to the tenant's disadvantage: less is credited for the time
        since the eviction, and the bucket is full later."""
        return max(0, min(2**32 - 1, ceil((at - self.epoch_at) / TICK_MS)))
