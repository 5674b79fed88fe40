"""Compact records of evicted tenants."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scalelb.admission_queue.tenant_records import SLOTS_PER_NAME, TenantRecord, TenantRecords


def make_record(now: float = 0.0, full_at: float = 5000.0) -> TenantRecord:
    return TenantRecord(1.5, 0.25, 3.0, 7.0, 42, now, full_at)


def test_record_exists_until_its_bucket_is_full_again() -> None:
    records = TenantRecords(b"key")
    records.put("ada", make_record(), 0.0)
    assert records.has_record("ada")
    assert not records.has_record("bob")
    record = records.take("ada", 100.0)
    assert record is not None
    assert record[:5] == pytest.approx((1.5, 0.25, 3.0, 7.0, 42))
    assert 0.0 <= record.evicted_at <= 10.0
    assert record.full_at >= 5000.0
    assert records.take("ada", 100.0) is None
    records.put("ada", make_record(), 0.0)
    assert records.take("ada", 6000.0) is None  # full again: same as no record
    records.put("ada", make_record(full_at=0.0), 0.0)
    assert not records.count


@given(st.lists(st.tuples(st.integers(0, 400), st.booleans(), st.floats(1.0, 1e4)), max_size=300))
@settings(max_examples=50)
def test_records_match_a_dictionary_unless_one_was_evicted(steps: list[tuple[int, bool, float]]) -> None:
    records, full_times, now = TenantRecords(b"key", bits=4, max_tables=2), {}, 1e6
    for number, is_put, duration_ms in steps:
        now += 10.0
        if is_put:
            records.put(f"n{number}", make_record(now, now + duration_ms), now)
            full_times[number] = now + duration_ms
        else:
            record, full_at = records.take(f"n{number}", now), full_times.pop(number, 0.0)
            if record is not None:
                assert full_at + 20.0 >= now  # the record was put before and is not outdated
            elif full_at > now:  # evicted early: until then unknown tenants start with an empty bucket
                assert now < records.unknown_start_empty_until
    assert records.size_bytes <= records.max_size_bytes


def test_tables_are_added_as_needed_bounded_and_removed_when_empty() -> None:
    records = TenantRecords(b"key")
    assert records.size_bytes == 0
    for number in range(140_000):
        records.put(f"n{number}", make_record(0.0, 60_000.0), 0.0)
    assert records.size_bytes == records.max_size_bytes < 5 * 2**20
    assert records.unknown_start_empty_until >= 60_000.0  # some were evicted
    for _ in range(4):
        records.sweep(70_000.0, 140_000)
    assert records.size_bytes == 0


def test_names_that_collide_under_one_key_do_not_collide_under_another() -> None:
    # A client that knew the key of a limiter could fill one neighbourhood there, but not at other limiters.
    known_key_records, other_key_records = TenantRecords(b"known"), TenantRecords(b"other")
    mask = (1 << 13) - 1
    colliding_names = [
        n for n in map(str, range(60_000)) if known_key_records._hash(n) & mask < SLOTS_PER_NAME
    ][:64]
    other_slots = {other_key_records._hash(name) & mask for name in colliding_names}
    assert len(colliding_names) > 40
    assert len(other_slots) > len(colliding_names) - 5
