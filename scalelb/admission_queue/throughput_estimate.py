"""Estimates of the units per second that the fleet serves for this limiter and that a flow may expect."""

from __future__ import annotations

from scalelb.admission_queue.rate_meter import DecayingMean, RateMeter

RATE_MEMORY_MS = 5000.0
MAX_FLOW_RATES = 256  # flows whose rate is remembered
LATEST_LATENCY_WEIGHT = 0.05  # weight of the latest response in the mean latency
RESERVABLE_RATIO = 0.9  # part of a flow's expected rate that is used, as estimates lag behind
MIN_CAPACITY_PER_S = 1e-3  # units per second; avoids a division by zero in waits


class ThroughputEstimate:
    """Estimates from forwarded requests and their responses."""

    def __init__(self) -> None:
        self.mean_latency_ms = 0.0
        # Units forwarded, by flow.  The flow whose request was forwarded last is at the end.
        self.flow_rates: dict[str, RateMeter] = {}
        self.total_rate: RateMeter | None = None
        self.mean_units = DecayingMean(RATE_MEMORY_MS)  # units of a request
        self.measured_capacity = DecayingMean(RATE_MEMORY_MS)  # units per second

    def record_forwarded(self, now: float, flow: str, units: float) -> None:
        """Record a forwarded request of a flow."""
        flow_rate = self.flow_rates.pop(flow, None) or RateMeter(RATE_MEMORY_MS, now)
        if len(self.flow_rates) >= MAX_FLOW_RATES:  # flows are replaced: memory would grow without bound
            del self.flow_rates[next(iter(self.flow_rates))]
        self.flow_rates[flow] = flow_rate
        self.mean_units.add(now, units)
        self.total_rate = self.total_rate or RateMeter(RATE_MEMORY_MS, now)
        flow_rate.add(now, units)
        self.total_rate.add(now, units)

    def record_response(
        self, now: float, latency_ms: float, succeeded: bool, in_flight: int, is_saturated: bool
    ) -> None:
        """Record the end of an attempt.

        `is_saturated`: requests are queued, so that the fleet has as many in flight as the limit allows."""
        if succeeded:
            weight = LATEST_LATENCY_WEIGHT if self.mean_latency_ms else 1.0
            self.mean_latency_ms += weight * (latency_ms - self.mean_latency_ms)
        if self.mean_latency_ms and is_saturated:  # Little's law holds while the fleet is saturated
            mean_units = self.mean_units.value or 1.0
            self.measured_capacity.add(now, 1000.0 * in_flight * mean_units / self.mean_latency_ms)

    def capacity_per_s(self, concurrency_limit: float) -> float:
        """Return the units per second that the fleet serves: measured, or else estimated by Little's law."""
        capacity = self.measured_capacity.value
        if not capacity:
            mean_units = self.mean_units.value or 1.0
            capacity = 1000.0 * concurrency_limit * mean_units / max(1.0, self.mean_latency_ms)
        return max(MIN_CAPACITY_PER_S, capacity)

    def flow_rate_per_s(
        self, now: float, flow: str, weight: float, backlogged_weight: float, concurrency_limit: float
    ) -> float:
        """Return the units per second that a flow may expect: the capacity that the other flows leave unused,
        but at least its share by weight.

        The past rate of the flow itself is left out on purpose: reservations based on it would be due later
        and later, as a flow that is offered less uses less.
        """
        total_weight = weight + max(backlogged_weight, len(self.flow_rates))
        own_rate = self.flow_rates[flow].rate_per_s(now) if flow in self.flow_rates else 0.0
        other_rates = max(0.0, self.total_rate.rate_per_s(now) - own_rate) if self.total_rate else 0.0
        capacity = self.capacity_per_s(concurrency_limit)
        return RESERVABLE_RATIO * max(capacity * weight / total_weight, capacity - other_rates)
