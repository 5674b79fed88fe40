"""Selects the endpoint of an attempt: the lowest expected latency among a few candidates drawn by capacity.

Follows the node scheduler of Gage: least outstanding load relative to capacity, corrected by the endpoint's
faults and by the cost of a new connection. Only a few candidates are drawn (the power of several choices);
otherwise hundreds of limiters would all choose the same endpoint.
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

CANDIDATES_PER_ATTEMPT = 8  # endpoints that are compared for one attempt
OTHER_ZONE_FACTOR = 1.02  # multiplies the expected latency of an endpoint in another zone
JITTER_RATIO = 0.1  # maximum random addition for each candidate, as a ratio of its expected latency
# If the best candidate of the subset fails at least this often, candidates are drawn from all endpoints.
MAX_PREFERRED_FAILURE_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of endpoints from which candidates are drawn with a probability proportional to capacity."""

    endpoints: list[TrackedEndpoint]
    cumulative_capacity: list[float]

    @classmethod
    def of(cls, endpoints: list[TrackedEndpoint]) -> Pool:
        """Return a pool of these endpoints."""
        return cls(endpoints, list(accumulate(e.endpoint.relative_capacity for e in endpoints)))


class EndpointSelector:
    """The serving endpoints of one limiter and the selection among them."""

    def __init__(self, settings: Settings, estimates: RunningEstimates, rng: random.Random) -> None:
        self.settings = settings
        self.estimates = estimates
        self.random = rng
        self.slow_start = slow_start.SlowStartBudget(settings, rng)
        self.endpoints: dict[str, TrackedEndpoint] = {}  # serving endpoints by name
        self.pools: list[Pool] = []  # in order of preference; the last contains all warm endpoints
        self.mean_capacity = 1.0  # mean relative capacity of the serving endpoints
        self.idle_timeout_ms = IDLE_REUSE_RATIO * settings.idle_timeout_ms  # for pooled connections

    def on_endpoints_listed(self, now: float, event: EndpointsListed) -> None:
        """Apply the endpoint list or a change to it; endpoints that no longer serve are dropped."""
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
        """Add endpoints that completed their slow start to the warm ones and update this limiter's subset."""
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
        """Return the endpoint for an attempt; `None` if no endpoint has capacity available.

        `group`: the only deduplication group that is allowed; `None`: any endpoint is allowed.
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
                    pool.endpoints, cum_weights=weights, k=CANDIDATES_PER_ATTEMPT
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
        """Return the candidate of lowest cost, and its cost: expected latency (ms) times relative load."""
        load = request.units / self.estimates.units
        usual_ms = self.estimates.latency_ms
        memory_ms = fault_memory_ms(self.estimates.answer_interval_ms, len(self.endpoints))
        # The cost of a handshake as a time: a request loses its full value over its latency objective.
        handshake_ms = self.settings.handshake_cost * request.request_class.latency_objective_ms
        best: TrackedEndpoint | None = None
        lowest_cost = inf
        for tracked in candidates:
            endpoint = tracked.endpoint
            cost = tracked.perceived_latency_ms(
                now, usual_ms, memory_ms, request.last_endpoint, self.idle_timeout_ms, handshake_ms
            )
            outstanding = tracked.load_in_flight * self.mean_capacity / endpoint.relative_capacity
            # An endpoint in slow start was drawn within its budget, so it is preferred to other candidates.
            cost *= (load + outstanding) / (1 if tracked.is_warm() else CANDIDATES_PER_ATTEMPT)
            zone_factor = 1.0 if endpoint.zone == self.settings.zone else OTHER_ZONE_FACTOR
            cost *= zone_factor + JITTER_RATIO * self.random.random()
            if tracked.load_in_flight and tracked.load_in_flight + load > tracked.concurrency_limit:
                continue
            if cost < lowest_cost:
                best = tracked
                lowest_cost = cost
        return best, lowest_cost
