"""The admission queue's settings, as `scalelb.program.config.read_admission_queue` reads them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite

MIN_TOLERANCE = 0.5
MAX_TOLERANCE = 10.0
MAX_REQUESTS = 1e6


class FlowKey(Enum):
    """What a request's flow is keyed by.  The values are those of the deploy file."""

    TENANT = "customer"
    CLIENT = "client"  # whoever holds the connection, under whatever tenants it sends


@dataclass(frozen=True, slots=True)
class AdmissionQueueSettings:
    """All settings of one admission queue.  Raises `ValueError`, which names the setting, out of range."""

    flows: FlowKey = FlowKey.TENANT
    weights: tuple[float, ...] = ()  # by plan; empty: the plan's rate over the mean rate, 1 without a rate
    stranger_weight: float = 8.0  # of the flow that all tenants share that were not seen lately
    held_most: int = 2048  # queued requests, at most
    waiting_most: int = 8  # forwarded requests of one flow that wait for quota or an endpoint, at most
    grace_ms: float = 400.0  # after its time, that a reservation may be redeemed
    early_ms: float = 25.0  # before its time, that a reservation may be redeemed: clocks and links differ
    promises_most: int = 4096  # reservations, at most
    reserve: bool = True  # whether reservations hold back their units; needs clients that mark retries
    start_requests: float = 32.0  # the concurrency limit before any response
    least_requests: float = 6.0  # the concurrency limit's range
    most_requests: float = 2048.0
    tolerance: float = 1.05  # latency over the unloaded latency up to which the concurrency limit grows
    plan_rates: tuple[float, ...] = field(default=(), compare=False)  # units a second

    def __post_init__(self) -> None:
        for name in ("stranger_weight", "grace_ms", "early_ms", "start_requests", "least_requests"):
            value = getattr(self, name)
            is_allowed_zero = value == 0 and name.endswith("_ms")
            if not (isfinite(value) and (value > 0 or is_allowed_zero)):
                raise ValueError(f"{name} must be a finite number above 0, not {value!r}")
        for name in ("held_most", "waiting_most", "promises_most"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be at least 1, not {getattr(self, name)!r}")
        if not MIN_TOLERANCE <= self.tolerance < MAX_TOLERANCE:
            raise ValueError(f"tolerance must be at least 0.5 and under 10, not {self.tolerance!r}")
        if not self.least_requests <= self.start_requests <= self.most_requests < MAX_REQUESTS:
            raise ValueError("start_requests must lie between least_requests and most_requests")
        for plan_index, weight in enumerate(self.weights):
            if not (isfinite(weight) and weight > 0):
                raise ValueError(f"weights[{plan_index}] must be a finite number above 0, not {weight!r}")

    def plan_weight(self, plan_index: int) -> float:
        """The weight of a plan's tenants: the setting, or else the plan's rate over the mean rate."""
        if self.weights:
            return self.weights[plan_index] if plan_index < len(self.weights) else 1.0
        rates = [rate for rate in self.plan_rates if rate > 0]
        if plan_index >= len(self.plan_rates) or not self.plan_rates[plan_index]:
            return 1.0
        return self.plan_rates[plan_index] * len(rates) / sum(rates)
