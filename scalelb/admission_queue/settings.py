"""What a fair door is told.  `scalelb.program.config.read_door` reads and checks it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite


class FlowKey(Enum):
    """What makes a flow."""

    CUSTOMER = "customer"  # a review center
    CLIENT = "client"  # whoever holds the connection, under whatever names it asks


@dataclass(frozen=True, slots=True)
class AdmissionQueueSettings:
    """All that a door is told; units are the quotas' units, times milliseconds."""

    flows: FlowKey = FlowKey.CUSTOMER
    weights: tuple[float, ...] = ()  # by plan; empty: rates over their mean, 1 where there is none
    stranger_weight: float = 8.0  # of all together that were not seen lately
    held_most: int = 2048  # requests that wait at the door
    waiting_most: int = 8  # of one flow that wait for credit or a server behind the door
    grace_ms: float = 400.0  # that a promise is kept for after its time
    early_ms: float = 25.0  # before its time at which a promise may be claimed: clocks and links differ
    promises_most: int = 4096
    reserve: bool = True  # whether promises hold back what they promise; needs clients that mark retries
    start_requests: float = 32.0  # let in at once before any answer was seen
    least_requests: float = 6.0
    most_requests: float = 2048.0
    tolerance: float = 1.05  # latency over what it is at ease at which the limit stops growing
    plan_rates: tuple[float, ...] = field(default=(), compare=False)

    def __post_init__(self) -> None:
        for name in ("stranger_weight", "grace_ms", "early_ms", "start_requests", "least_requests"):
            value = getattr(self, name)
            if not (isfinite(value) and (value > 0 or (value == 0 and name.endswith("_ms")))):
                raise ValueError(f"{name} must be a finite number above 0, not {value!r}")
        for name in ("held_most", "waiting_most", "promises_most"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be at least 1, not {getattr(self, name)!r}")
        if not 0.5 <= self.tolerance < 10.0:
            raise ValueError(f"tolerance must be at least 0.5 and under 10, not {self.tolerance!r}")
        if not self.least_requests <= self.start_requests <= self.most_requests < 1e6:
            raise ValueError("start_requests must lie between least_requests and most_requests")
        for place, weight in enumerate(self.weights):
            if not (isfinite(weight) and weight > 0):
                raise ValueError(f"weights[{place}] must be a finite number above 0, not {weight!r}")

    def weight(self, plan: int) -> float:
        """The weight of a plan's customers; without weights of its own, its rate over the mean rate."""
        if self.weights:
            return self.weights[plan] if plan < len(self.weights) else 1.0
        rates = [rate for rate in self.plan_rates if rate > 0]
        if plan >= len(self.plan_rates) or not self.plan_rates[plan]:
            return 1.0
        return self.plan_rates[plan] * len(rates) / sum(rates)
