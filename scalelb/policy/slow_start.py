"""Slow start: limits the traffic that one limiter sends to recently started endpoints.

An endpoint that is warming up fails if all limiters together send it more than `overload_multiple` times its
throughput within `overload_window_ms`. Its throughput is that of a warm endpoint of its size times its
capacity ratio. Each limiter measures the work that warm endpoints complete for it, which is its share of the
total throughput. As the shares of all limiters add up to the total, each one can send its share without
communicating with the others.
"""

from __future__ import annotations

import random
from itertools import accumulate
from math import exp

from scalelb.policy.outlier_detection import TrackedEndpoint
from scalelb.policy.settings import Settings

# Ratio of the overload limit of warming endpoints that is used. The rest is a margin for random variation,
# requests larger than declared, slow periods, and attempts sent before the endpoint list reports a start.
BUDGET_RATIO = 0.4
SAVED_WINDOW_RATIO = 0.5  # ratio of the overload window for which an idle limiter saves its budget
WORK_MEMORY_MS = 10_000.0  # time constant in which work done by warm endpoints is forgotten


def capacity_ratio(endpoint_started_at: float, now: float, settings: Settings) -> float:
    """Return the minimum share of its capacity that an endpoint has at `now` (ms).

    It rises linearly from `slow_start_initial_ratio` to 1 during `slow_start_ms`.
    """
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
        self.work_units = 0.0  # units that warm endpoints completed for this limiter, decayed
        self.capacity_time = 0.0  # relative capacity of warm endpoints times elapsed ms, decayed alike
        self.measured_at = 0.0
        self.saved_units = 0.0  # earned but unspent budget
        self.allowed_at = 0.0
        self._cumulative_capacity: list[float] = []  # of the endpoints in `warming_up`

    def record_work(self, now: float, units: float = 0.0) -> None:
        """Add units that a warm endpoint has completed.  Without warm endpoints, the sums do not decay."""
        decay = exp((self.measured_at - now) / WORK_MEMORY_MS) if self.has_warm_endpoints else 1.0
        self.measured_at = now
        self.work_units = self.work_units * decay + units
        self.capacity_time = self.capacity_time * decay + (1 - decay) * WORK_MEMORY_MS * self.warm_capacity

    def on_endpoints(self, now: float, endpoints: list[TrackedEndpoint], warm_capacity: float) -> None:
        """Update the serving endpoints and the relative capacity of all warm ones."""
        if not self.warming_up:
            self.saved_units = 0.0
            self.allowed_at = now
        self.warming_up = [endpoint for endpoint in endpoints if not endpoint.is_warm()]
        self.has_warm_endpoints = len(self.warming_up) < len(endpoints)
        self.warm_capacity = warm_capacity
        shares = (e.endpoint.relative_capacity * e.capacity_ratio for e in self.warming_up)
        self._cumulative_capacity = list(accumulate(shares))

    def assume_work(self, mean_capacity: float, mean_units: float, shortest_objective_ms: float) -> None:
        """Assume a minimum throughput until there is a measurement: one mean request per endpoint within the
        latency objective, for all limiters together.
        """
        if self.capacity_time:
            return
        self.capacity_time = WORK_MEMORY_MS * mean_capacity
        self.work_units = WORK_MEMORY_MS * mean_units / shortest_objective_ms / self.settings.limiter_count

    def draw(self, now: float, units: float) -> list[TrackedEndpoint]:
        """Return a list of the one endpoint in slow start that this attempt may use, or an empty list.

        Attempts reach endpoints in slow start only through this method. Each attempt, first or retry, draws
        once: as the limiter's share is often less than one request, the attempt is allowed with a probability
        of the allowed units over its own units, and the allowed units are spent even if the draw fails. With
        the savings of an idle limiter, the budget is on average at most `BUDGET_RATIO` x (1 +
        `SAVED_WINDOW_RATIO`); a restarted limiter has no savings.
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
