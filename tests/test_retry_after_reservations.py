"""Retry-After reservations: times, redeeming, expiry, bounds."""

from __future__ import annotations

from itertools import pairwise
from math import inf

import pytest

from scalelb.admission_queue.retry_after_reservations import RetryAfterReservations


def test_thousand_rejections_at_once_get_times_spaced_by_the_rate() -> None:
    reservations = RetryAfterReservations(4096, 25.0, 400.0)
    told = [reservations.reserve("a", 0.0, 2.0, 0.0, 4.0, inf, 0.0)[0] for _ in range(1000)]
    gaps = [after - before for before, after in pairwise(told)]
    assert told[0] == pytest.approx(500.0)
    assert min(gaps) == pytest.approx(500.0) == max(gaps)


def test_reservations_do_not_bunch_when_the_rate_improves() -> None:
    # Seen in the virtual replay: 396 dues in one second, each reckoned from a rate that had just risen.
    reservations = RetryAfterReservations(4096, 25.0, 400.0)
    rates = [100.0] * 50 + [400.0] * 50 + [50.0] * 20 + [400.0] * 50
    dues = [reservations.reserve("a", 0.0, 2.0, 0.0, rate, inf, 0.0)[0] for rate in rates]
    gaps = [after - before for before, after in pairwise(dues)]
    assert all(gap >= 2000.0 / rate - 1e-6 for gap, rate in zip(gaps, rates[1:], strict=False))


def test_retry_after_the_longest_wait_takes_no_other_reservation() -> None:
    reservations = RetryAfterReservations(4096, 25.0, 400.0)
    wait, kept = reservations.reserve("a", 0.0, 1.0, 0.0, 1.0, 1000.0, 0.0)
    assert kept and wait == 1000.0
    wait, kept = reservations.reserve("a", 0.0, 1.0, 0.0, 1.0, 1000.0, 0.0)
    assert not kept and wait == 1000.0  # the honest time, 2 s, is longer than allowed
    assert reservations.counts["beyond"] == 1
    first, second = (reservations.redeem("a", 1000.0, 1.0) for _ in range(2))
    assert first is not None and second is None and reservations.count == 0


@pytest.mark.parametrize(("at", "has"), [(974.0, False), (976.0, True), (1390.0, True), (1401.0, False)])
def test_reservation_is_redeemable_from_early_until_the_end_of_its_grace(at: float, has: bool) -> None:
    reservations = RetryAfterReservations(16, 25.0, 400.0)
    reservations.reserve("a", 0.0, 1.0, 0.0, 1.0, inf, 0.0)
    reservations.expire(at)
    assert (reservations.redeem("a", at, 1.0) is not None) == has
    reservations.expire(1e6)
    assert not reservations.by_tenant and not reservations.count and not reservations.expiries


def test_reservations_are_bounded() -> None:
    reservations = RetryAfterReservations(100, 25.0, 400.0)
    for number in range(1000):
        reservations.reserve(f"n{number % 300}", float(number), 1.0, 0.0, 1.0, inf, 0.0)
    assert reservations.count == 100 == len(reservations.expiries) and reservations.counts["full"] == 900
