"""Settings of the admission queue; `scalelb.program.config.read_admission_queue` reads them from the file."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite

MIN_TOLERANCE = 0.5
MAX_TOLERANCE = 10.0  # exclusive
MAX_REQUESTS = 1e6  # exclusive bound of `most_requests`


class SettingRangeError(ValueError):
    """A setting is out of range.  `setting`: the name of the field; `reason`: the range and the value."""

    def __init__(self, setting: str, reason: str) -> None:
        super().__init__(f"{setting} {reason}")
        self.setting = setting
        self.reason = reason


class FlowKey(Enum):
    """The property of requests that assigns them to flows.  The values are those of the deploy file."""

    TENANT = "customer"
    CLIENT = "client"  # the peer of the connection, whatever tenants its requests name


@dataclass(frozen=True, slots=True)
class AdmissionQueueSettings:
    """All settings of one admission queue.  Raises `SettingRangeError` if one is out of range."""

    flows: FlowKey = FlowKey.TENANT
    weights: tuple[float, ...] = ()  # by plan; empty: the plan's rate over the mean rate, 1 without a rate
    unknown_tenants_weight: float = 8.0  # weight of the flow shared by all tenants not seen recently
    max_queued: int = 2048  # queued requests
    max_unsent_per_flow: int = 8  # forwarded requests of one flow that wait for quota or an endpoint
    grace_ms: float = 400.0  # time after its due time for which a reservation may be redeemed
    early_ms: float = 25.0  # time before its due time from which it may be: clocks and links differ
    max_reservations: int = 4096  # Retry-After reservations
    reserve: bool = True  # whether reserved units are withheld from others; needs clients that mark retries
    start_requests: float = 32.0  # the concurrency limit before the first response
    least_requests: float = 6.0  # lower bound of the concurrency limit
    most_requests: float = 2048.0  # upper bound of the concurrency limit
    tolerance: float = 1.05  # latency over the unloaded latency up to which the concurrency limit grows
    plan_rates: tuple[float, ...] = field(default=(), compare=False)  # units per second

    def __post_init__(self) -> None:
        for name in ("unknown_tenants_weight", "grace_ms", "early_ms", "start_requests", "least_requests"):
            value = getattr(self, name)
            is_allowed_zero = value == 0 and name.endswith("_ms")
            if not (isfinite(value) and (value > 0 or is_allowed_zero)):
                raise SettingRangeError(name, f"must be a finite number above 0, not {value!r}")
        for name in ("max_queued", "max_unsent_per_flow", "max_reservations"):
            if getattr(self, name) < 1:
                raise SettingRangeError(name, f"must be at least 1, not {getattr(self, name)!r}")
        for weight in self.weights:
            if not (isfinite(weight) and weight > 0):
                raise SettingRangeError("weights", f"must be finite numbers above 0, not {weight!r}")
        self._check_concurrency_limit()

    def _check_concurrency_limit(self) -> None:
        if not self.tolerance >= MIN_TOLERANCE:
            reason = f"must be at least {MIN_TOLERANCE:g}, not {self.tolerance!r}"
            raise SettingRangeError("tolerance", reason)
        if not self.tolerance < MAX_TOLERANCE:
            raise SettingRangeError("tolerance", f"must be under {MAX_TOLERANCE:g}, not {self.tolerance!r}")
        if not self.most_requests < MAX_REQUESTS:
            reason = f"must be under {MAX_REQUESTS:g}, not {self.most_requests!r}"
            raise SettingRangeError("most_requests", reason)
        if not self.least_requests <= self.start_requests <= self.most_requests:
            reason = f"must lie between least_requests and most_requests, not {self.start_requests!r}"
            raise SettingRangeError("start_requests", reason)

    def plan_weight(self, plan_index: int) -> float:
        """Return the weight of a plan's tenants: the setting, or else the plan's rate over the mean rate."""
        if self.weights:
            return self.weights[plan_index] if plan_index < len(self.weights) else 1.0
        rates = [rate for rate in self.plan_rates if rate > 0]
        if plan_index >= len(self.plan_rates) or not self.plan_rates[plan_index]:
            return 1.0
        return self.plan_rates[plan_index] * len(rates) / sum(rates)
