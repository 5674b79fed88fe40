"""Slow start: how much one limiter sends to endpoints that have just started.

An endpoint that is warming up fails when all limiters together send it more than `overload_multiple` times
what it can do within `overload_window_ms`. It can do what warm endpoints of its size carry, times its
capacity ratio. The work that a limiter saw finished at warm endpoints is its part of that, and the parts of
all limiters add up; so each limiter sends its part without asking the others.
"""

from __future__ import annotations

import random
from itertools import accumulate
from math import exp

from scalelb.policy.outlier_detection import TrackedEndpoint
from scalelb.policy.settings import Settings

BUDGET_RATIO = 0.4  # of what endpoints that warm up can take; the rest is for chance, requests larger than
# told, slow spells, and attempts sent before the endpoint list tells of a start
SAVED_WINDOW_RATIO = 0.5  # of the overload window that an idle limiter may save up
WORK_MEMORY_MS = 10_000.0  # time constant in which work done by warm endpoints is forgotten


def capacity_ratio(endpoint_started_at: float, now: float, settings: Settings) -> float:
    """Return the part of its capacity that an endpoint has at least: it rises linearly from
    `slow_start_initial_ratio` to 1 during `slow_start_ms`."""
    if not endpoint_started_at:
        return 1.0
    elapsed_ratio = max(0.0, now - endpoint_started_at) / settings.slow_start_ms
    initial = settings.slow_start_initial_ratio
    return min(1.0, initial + (1 - initial) * elapsed_ratio)


class SlowStartBudget:
    """The units that one limiter may send to endpoints that are warming up."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.random = rng
        self.warming_up: list[TrackedEndpoint] = []
        self.warm_capacity = 0.0  # relative capacity of all warm endpoints
        self.has_warm_endpoints = False
        self.work_units = 0.0  # that warm endpoints did for this limiter lately
        self.capacity_time = 0.0  # their relative capacity times the time (ms) that this took
        self.measured_at = 0.0
        self.saved_units = 0.0  # that were earned and not spent
        self.allowed_at = 0.0
        self._cumulative_capacity: list[float] = []  # of those that are warming up

    def record_work(self, now: float, units: float = 0.0) -> None:
        """Add units that a warm endpoint has done.  While no endpoint is warm, what was measured is kept."""
        fade = exp((self.measured_at - now) / WORK_MEMORY_MS) if self.has_warm_endpoints else 1.0
        self.measured_at = now
        self.work_units = self.work_units * fade + units
        self.capacity_time = self.capacity_time * fade + (1 - fade) * WORK_MEMORY_MS * self.warm_capacity

    def on_endpoints(self, now: float, endpoints: list[TrackedEndpoint], warm_capacity: float) -> None:
        """Take over the serving endpoints, with the relative capacity of all warm ones."""
        if not self.warming_up:
            self.saved_units = 0.0
            self.allowed_at = now
        self.warming_up = [endpoint for endpoint in endpoints if not endpoint.is_warm()]
        self.has_warm_endpoints = len(self.warming_up) < len(endpoints)
        self.warm_capacity = warm_capacity
        shares = (e.endpoint.relative_capacity * e.capacity_ratio for e in self.warming_up)
        self._cumulative_capacity = list(accumulate(shares))

    def assume_work(self, mean_capacity: float, mean_units: float, shortest_objective_ms: float) -> None:
        """Before anything was measured, assume the least: an endpoint does one mean request within the
        latency objective, for all limiters together."""
        if self.capacity_time:
            return
        self.capacity_time = WORK_MEMORY_MS * mean_capacity
        self.work_units = WORK_MEMORY_MS * mean_units / shortest_objective_ms / self.settings.limiter_count

    def draw(self, now: float, units: float) -> list[TrackedEndpoint]:
        """Return the one endpoint in slow start that this attempt may go to, if any.

        No attempt goes to such an endpoint without this. Each attempt, first or retry, draws once, as the
        limiter's part is often less than one request: it may go with a probability of the allowed units over
        its own, and these are spent even if it may not. With what an idle limiter saves, the budget is
        `BUDGET_RATIO` x (1 + `SAVED_WINDOW_RATIO`) at most, on average; a restarted limiter has saved none.
        """
        if not self.warming_up:
            return []
        self.record_work(now)
        measured_rate = BUDGET_RATIO * self.settings.overload_multiple * self.work_units / self.capacity_time
        rate = measured_rate * self._cumulative_capacity[-1]
        earned = self.saved_units + rate * (now - self.allowed_at)
        allowed = min(earned, rate * SAVED_WINDOW_RATIO * self.settings.overload_window_ms)
        self.saved_units = max(0.0, allowed - units)
        self.allowed_at = now
        if self.random.random() * units >= allowed:
            return []
        return self.random.choices(self.warming_up, cum_weights=self._cumulative_capacity)
