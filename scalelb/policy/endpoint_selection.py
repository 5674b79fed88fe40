"""Which endpoint an attempt goes to: the one of least expected latency among a few drawn by capacity.

After the node scheduler of Gage: least outstanding load against capacity, corrected by the endpoint's faults
and by what a new connection costs. Only a few endpoints are drawn (the power of several choices), as hundreds
of limiters would else all choose the same one.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import accumulate
from math import inf

from scalelb.policy import slow_start, subsetting
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import EndpointsListed
from scalelb.policy.idempotency_keys import deduplication_group
from scalelb.policy.outlier_detection import INITIAL_CONCURRENCY_LIMIT, TrackedEndpoint, fault_memory_ms
from scalelb.policy.request import Request
from scalelb.policy.running_estimates import RunningEstimates
from scalelb.policy.settings import IDLE_REUSE_RATIO, Settings

DRAWN_ENDPOINTS = 8  # that are compared for one attempt
OTHER_ZONE_FACTOR = 1.02  # an endpoint of another zone looks slower
JITTER = 0.1  # of the expected latency, drawn for each candidate
MAX_PREFERRED_FAILURE_RATIO = 0.5  # an endpoint of the subset that fails more often: all are drawn from


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints to draw from, by capacity."""

    endpoints: list[TrackedEndpoint]
    cumulative_capacity: list[float]

    @classmethod
    def of(cls, endpoints: list[TrackedEndpoint]) -> Pool:
        """Return a pool of these endpoints."""
        return cls(endpoints, list(accumulate(e.endpoint.relative_capacity for e in endpoints)))


class EndpointSelector:
    """The endpoints of one limiter and the choice among them."""

    def __init__(self, settings: Settings, estimates: RunningEstimates, rng: random.Random) -> None:
        self.settings = settings
        self.estimates = estimates
        self.random = rng
        self.slow_start = slow_start.SlowStartBudget(settings, rng)
        self.endpoints: dict[str, TrackedEndpoint] = {}  # that serve, by name
        self.pools: list[Pool] = []  # drawn from first to last; the last holds all warm endpoints
        self.mean_capacity = 1.0  # relative capacity, of all that serve
        self.idle_timeout_ms = IDLE_REUSE_RATIO * settings.idle_timeout_ms  # of pooled connections

    def on_endpoints_listed(self, now: float, event: EndpointsListed) -> None:
        """Take over the endpoint list or a change of it; endpoints that do not serve are forgotten."""
        if event.is_complete:
            for tracked in self.endpoints.values():
                tracked.is_serving = False
        for endpoint in event.endpoints:
            self._update(now, endpoint)
        self.endpoints = {name: tracked for name, tracked in self.endpoints.items() if tracked.is_serving}
        self.update_pools(now)

    def _update(self, now: float, endpoint: Endpoint) -> None:
        tracked = self.endpoints.get(endpoint.name)
        if tracked is None:
            tracked = TrackedEndpoint(endpoint, self.estimates.latency_ms, INITIAL_CONCURRENCY_LIMIT, now)
            self.endpoints[endpoint.name] = tracked
        if endpoint.started_at > tracked.endpoint.started_at:
            tracked.reset(self.estimates.latency_ms)
        tracked.endpoint = endpoint
        tracked.is_serving = endpoint.state is EndpointState.SERVING

    def update_pools(self, now: float) -> None:
        """Move endpoints whose slow start is over to the warm ones, and draw this limiter's subset anew."""
        self.slow_start.record_work(now)
        serving = list(self.endpoints.values())
        for tracked in serving:
            tracked.capacity_ratio = slow_start.capacity_ratio(
                tracked.endpoint.started_at, now, self.settings
            )
        warm = [tracked for tracked in serving if tracked.is_warm()]
        subsets = subsetting.subset(
            warm,
            lambda tracked: tracked.endpoint.name,
            self.settings.limiter_index,
            self.settings.limiter_count,
            self.estimates.answer_interval_ms,
        )
        self.pools = [Pool.of(endpoints) for endpoints in subsets]
        warm_capacity = self.pools[-1].cumulative_capacity[-1] if warm else 0.0
        self.slow_start.on_endpoints(now, serving, warm_capacity)
        total_capacity = sum(tracked.endpoint.relative_capacity for tracked in serving)
        self.mean_capacity = total_capacity / max(1, len(serving))
        if serving:
            shortest_ms = min(kind.latency_objective_ms for kind in self.settings.request_classes)
            self.slow_start.assume_work(self.mean_capacity, self.estimates.units, shortest_ms)

    def select(self, request: Request, now: float, group: int | None) -> TrackedEndpoint | None:
        """Return the endpoint for an attempt; `None` where none has capacity available.

        `group`: the only deduplication group that it may go to; `None`: any endpoint.
        """
        in_slow_start = self.slow_start.draw(now, request.units)
        best: TrackedEndpoint | None = None
        lowest_cost = inf
        for pool in self.pools:
            if group is not None:
                scope = request.request_class.deduplication_scope
                pool = Pool.of([e for e in pool.endpoints if deduplication_group(e.endpoint, scope) == group])
                in_slow_start = [e for e in in_slow_start if deduplication_group(e.endpoint, scope) == group]
            candidates = in_slow_start
            if pool.endpoints:
                weights = pool.cumulative_capacity
                candidates = candidates + self.random.choices(
                    pool.endpoints, cum_weights=weights, k=DRAWN_ENDPOINTS
                )
            cheapest, cost = self._cheapest(candidates, request, now)
            if cost < lowest_cost:
                best = cheapest
                lowest_cost = cost
            if best is not None and best.failure_ratio < MAX_PREFERRED_FAILURE_RATIO:
                break
            in_slow_start = []
        return best

    def _cheapest(
        self, candidates: list[TrackedEndpoint], request: Request, now: float
    ) -> tuple[TrackedEndpoint | None, float]:
        """Return the candidate of least cost, and its cost: expected latency (ms) times its relative load."""
        load = request.units / self.estimates.units
        usual_ms = self.estimates.latency_ms
        memory_ms = fault_memory_ms(self.estimates.answer_interval_ms, len(self.endpoints))
        # The value of a request is lost over its latency objective; so the cost of a handshake is a time.
        handshake_ms = self.settings.handshake_cost * request.request_class.latency_objective_ms
        best: TrackedEndpoint | None = None
        lowest_cost = inf
        for tracked in candidates:
            endpoint = tracked.endpoint
            cost = tracked.perceived_latency_ms(
                now, usual_ms, memory_ms, request.last_endpoint, self.idle_timeout_ms, handshake_ms
            )
            outstanding = tracked.load_in_flight * self.mean_capacity / endpoint.relative_capacity
            # One in slow start was drawn within its budget: it is preferred to the other candidates.
            cost *= (load + outstanding) / (1 if tracked.is_warm() else DRAWN_ENDPOINTS)
            zone_factor = 1.0 if endpoint.zone == self.settings.zone else OTHER_ZONE_FACTOR
            cost *= zone_factor + JITTER * self.random.random()
            if tracked.load_in_flight and tracked.load_in_flight + load > tracked.concurrency_limit:
                continue
            if cost < lowest_cost:
                best = tracked
                lowest_cost = cost
        return best, lowest_cost
