"""The concurrency limit: growth, shrinking, baselines."""

from __future__ import annotations

from typing import Any

import pytest

from scalelb.admission_queue.gradient_limit import GradientLimit


def respond(
    limit: GradientLimit, latency_ratio: float, count: int, started_at: float = 0.0, **fields: Any
) -> float:
    now = started_at
    for number in range(count):
        now += 10.0
        values: dict[str, Any] = {"endpoint_load": 3.0, "in_flight": limit.limit, "succeeded": True} | fields
        limit.attempt_ended(now, f"s{number % 4}", 100.0 * latency_ratio, **values)
    return now


def test_limit_grows_while_unloaded_and_shrinks_as_latency_rises() -> None:
    limit = GradientLimit(64.0, 12.0, 4096.0, 1.05)
    now = respond(limit, 1.0, 100, endpoint_load=0.0)  # unloaded: sets the baselines
    assert limit.baseline_ms("s0") == pytest.approx(100.0)
    shrunk_at = respond(limit, 3.0, 600, now)
    assert limit.limit == 12.0
    respond(limit, 0.95, 3000, shrunk_at)
    assert limit.limit > 40.0


def test_baseline_is_not_updated_under_load_and_includes_that_of_the_fleet() -> None:
    limit = GradientLimit(64.0, 12.0, 4096.0, 1.05)
    now = respond(limit, 1.0, 100, endpoint_load=0.0)
    respond(limit, 5.0, 1000, now)
    assert limit.baseline_ms("s0") == pytest.approx(100.0)  # not affected by the overload
    limit.attempt_ended(0.0, "new", 500.0, 0.0, 64.0, True)  # the first response of an endpoint
    assert 100.0 < limit.baseline_ms("new") < 250.0


def test_unused_limit_does_not_grow() -> None:
    limit = GradientLimit(64.0, 12.0, 4096.0, 1.05)
    respond(limit, 0.8, 1000, endpoint_load=0.0, in_flight=4.0)
    assert limit.limit == 64.0


def test_failures_reduce_the_limit_and_baselines_are_bounded() -> None:
    limit = GradientLimit(64.0, 12.0, 4096.0, 1.05)
    now = respond(limit, 1.0, 100, endpoint_load=0.0, in_flight=4.0)
    respond(limit, 1.0, 50, now, succeeded=False, in_flight=64.0)
    assert limit.limit < 64.0
    for number in range(3000):
        limit.attempt_ended(0.0, f"x{number}", 100.0, 0.0, 1.0, True)
    assert len(limit.baselines) <= 1024
