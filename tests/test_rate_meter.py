"""Decaying rates and means."""

from __future__ import annotations

from math import inf

import pytest

from scalelb.admission_queue.rate_meter import DecayingMean, RateMeter


def test_rate_meter_is_accurate_from_its_first_events_on_and_decays() -> None:
    meter, mean = RateMeter(5000.0, 0.0), DecayingMean(5000.0)
    for step in range(1, 201):
        meter.add(step * 10.0, 1.0)
        mean.add(step * 10.0, 7.0 if step > 100 else 5.0)
        if step > 50:
            assert meter.rate_per_s(step * 10.0) == pytest.approx(100.0, rel=0.03)
    assert 5.0 < mean.value < 7.0
    assert meter.rate_per_s(60_000.0) < 1.0
    meter.add(100.0, 1.0)  # a clock that steps back
    assert 0.0 < meter.rate_per_s(100.0) < inf
