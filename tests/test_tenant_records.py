"""Compact records of evicted tenants."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scalelb.admission_queue.tenant_records import SLOTS_PER_NAME, TenantRecord, TenantRecords


def a_record(now: float = 0.0, full_at: float = 5000.0) -> TenantRecord:
    return TenantRecord(1.5, 0.25, 3.0, 7.0, 42, now, full_at)


def test_record_is_kept_until_its_bucket_is_full_again() -> None:
    records = TenantRecords(b"key")
    records.put("ada", a_record(), 0.0)
    assert records.has_record("ada") and not records.has_record("bob")
    found = records.take("ada", 100.0)
    assert found is not None
    assert found[:5] == pytest.approx((1.5, 0.25, 3.0, 7.0, 42))
    assert 0.0 <= found.evicted_at <= 10.0 and found.full_at >= 5000.0
    assert records.take("ada", 100.0) is None
    records.put("ada", a_record(), 0.0)
    assert records.take("ada", 6000.0) is None  # full again: as if never seen
    records.put("ada", a_record(full_at=0.0), 0.0)
    assert not records.count


@given(st.lists(st.tuples(st.integers(0, 400), st.booleans(), st.floats(1.0, 1e4)), max_size=300))
@settings(max_examples=50)
def test_records_agree_with_a_dictionary_unless_one_was_evicted(steps: list[tuple[int, bool, float]]) -> None:
    records, plain, now = TenantRecords(b"key", bits=4, max_tables=2), {}, 1e6
    for name, put, ms in steps:
        now += 10.0
        if put:
            records.put(f"n{name}", a_record(now, now + ms), now)
            plain[name] = now + ms
        else:
            found, until = records.take(f"n{name}", now), plain.pop(name, 0.0)
            if found is not None:
                assert until + 20.0 >= now  # nothing is made up
            elif until > now:  # forgotten too early: then nobody unknown has a fresh burst
                assert now < records.unknown_start_empty_until
    assert records.size_bytes <= records.max_size_bytes


def test_tables_are_added_as_needed_bounded_and_removed_once_empty() -> None:
    records = TenantRecords(b"key")
    assert records.size_bytes == 0
    for number in range(140_000):
        records.put(f"n{number}", a_record(0.0, 60_000.0), 0.0)
    assert records.size_bytes == records.max_size_bytes < 5 * 2**20
    assert records.unknown_start_empty_until >= 60_000.0  # some were evicted
    for _ in range(4):
        records.sweep(70_000.0, 140_000)
    assert records.size_bytes == 0


def test_chosen_names_do_not_collide_under_another_key() -> None:
    # Whoever knows one limiter's key could fill a neighbourhood; under another key the names are spread.
    known, other = TenantRecords(b"known"), TenantRecords(b"other")
    mask = (1 << 13) - 1
    chosen = [n for n in map(str, range(60_000)) if known._hash(n) & mask < SLOTS_PER_NAME][:64]
    places = {other._hash(name) & mask for name in chosen}
    assert len(chosen) > 40 and len(places) > len(chosen) - 5
