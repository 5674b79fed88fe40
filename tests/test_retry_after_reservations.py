"""Retry-After reservations: times, redeeming, expiry, bounds."""

from __future__ import annotations

from itertools import pairwise
from math import inf

import pytest

from scalelb.admission_queue.retry_after_reservations import RetryAfterReservations


def test_thousand_rejections_at_once_get_due_times_spaced_by_the_rate() -> None:
    reservations = RetryAfterReservations(4096, 25.0, 400.0)
    waits_ms = [reservations.reserve("a", 0.0, 2.0, 0.0, 4.0, inf, 0.0)[0] for _ in range(1000)]
    gaps = [after - before for before, after in pairwise(waits_ms)]
    assert waits_ms[0] == pytest.approx(500.0)
    assert min(gaps) == pytest.approx(500.0) == max(gaps)


def test_reservations_stay_spaced_when_the_rate_improves() -> None:
    # In a simulation 396 reservations were due in one second: each was based on a rate that had just risen.
    reservations = RetryAfterReservations(4096, 25.0, 400.0)
    rates = [100.0] * 50 + [400.0] * 50 + [50.0] * 20 + [400.0] * 50
    waits_ms = [reservations.reserve("a", 0.0, 2.0, 0.0, rate, inf, 0.0)[0] for rate in rates]
    gaps = [after - before for before, after in pairwise(waits_ms)]
    assert all(gap >= 2000.0 / rate - 1e-6 for gap, rate in zip(gaps, rates[1:], strict=False))


def test_retry_after_the_longest_wait_redeems_no_other_reservation() -> None:
    reservations = RetryAfterReservations(4096, 25.0, 400.0)
    wait_ms, has_units = reservations.reserve("a", 0.0, 1.0, 0.0, 1.0, 1000.0, 0.0)
    assert has_units
    assert wait_ms == 1000.0
    wait_ms, has_units = reservations.reserve("a", 0.0, 1.0, 0.0, 1.0, 1000.0, 0.0)
    assert not has_units
    assert wait_ms == 1000.0
    assert reservations.counts["beyond"] == 1
    first, second = (reservations.redeem("a", 1000.0, 1.0) for _ in range(2))
    assert first is not None
    assert second is None
    assert reservations.count == 0


@pytest.mark.parametrize(
    ("now", "is_redeemable"), [(974.0, False), (976.0, True), (1390.0, True), (1401.0, False)]
)
def test_reservation_is_redeemable_from_early_until_the_end_of_its_grace_period(
    now: float, is_redeemable: bool
) -> None:
    reservations = RetryAfterReservations(16, 25.0, 400.0)
    reservations.reserve("a", 0.0, 1.0, 0.0, 1.0, inf, 0.0)
    reservations.expire(now)
    assert (reservations.redeem("a", now, 1.0) is not None) == is_redeemable
    reservations.expire(1e6)
    assert not reservations.by_tenant
    assert not reservations.count
    assert not reservations.expiries


def test_reservations_are_bounded() -> None:
    reservations = RetryAfterReservations(100, 25.0, 400.0)
    for number in range(1000):
        reservations.reserve(f"n{number % 300}", float(number), 1.0, 0.0, 1.0, inf, 0.0)
    assert reservations.count == 100 == len(reservations.expiries)
    assert reservations.counts["full"] == 900
