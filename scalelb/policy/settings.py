"""The settings of one limiter: request classes, quota plans and limits.  Types only; times in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

# A connection is reused only if it has been idle for less than this ratio of the endpoint's idle timeout.
# The connection pool and the endpoint selection, which counts pooled connections, both use it.
IDLE_REUSE_RATIO = 0.5
# Minimum time to wait for an answer of the counter, as a ratio of the shortest latency objective.
COUNTER_WAIT_RATIO = 0.15


class Idempotency(Enum):
    """The effect of executing a request more than once."""

    IDEMPOTENT = "safe"  # repeated execution is harmless
    IDEMPOTENCY_KEY = "keyed"  # endpoints of one scope drop duplicates within a window
    NOT_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """Which endpoints drop the duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The properties of one class of requests."""

    latency_objective_ms: float  # an answer within this time has its full value
    deadline_ms: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # time for which a scope stores an idempotency key
    priority_weight: float = 1.0
    late_value_ratio: float = 0.0  # ratio of the value that remains after the latency objective

    @property
    def is_retriable_anywhere(self) -> bool:
        """Whether a retry is harmless at any endpoint."""
        if self.idempotency is Idempotency.IDEMPOTENT:
            return True
        has_key = self.idempotency is Idempotency.IDEMPOTENCY_KEY
        return has_key and self.deduplication_scope is DeduplicationScope.ALL


@dataclass(frozen=True, slots=True)
class Plan:
    """The quota of each tenant on this plan, over all limiters together; 0 means no limit."""

    rate_per_s: float = 0.0  # units per second, refill rate of the token bucket
    burst: float = 0.0  # units, size of the token bucket
    max_concurrent_attempts: int = 0
    ceiling_rate_per_s: float = 0.0  # units per second, never exceeded
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units
    price: float = 1.0
    over_quota_value_ratio: float = 0.0  # ratio of the value that is earned beyond the quota
    over_quota_cost_ratio: float = 0.0  # ratio of the value that forwarding beyond the quota costs

    @property
    def gains_beyond_quota(self) -> bool:
        """Whether forwarding beyond the quota earns more than it costs."""
        return self.over_quota_value_ratio > self.over_quota_cost_ratio


@dataclass(frozen=True, slots=True)
class Objective:
    """The operator's weights of two ratios: the value within quotas that is answered in time, over all
    requests and in the worst class."""

    overall_weight: float = 1.0
    worst_class_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one limiter.  Raises `ValueError` if a value is out of its range."""

    limiter_index: int
    limiter_count: int
    zone: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int  # attempts of one request
    slow_start_initial_ratio: float  # ratio of its capacity that an endpoint has when it starts
    slow_start_ms: float  # time after which a started endpoint has its full capacity
    overload_multiple: float  # an endpoint that is warming up fails at this multiple of its capacity
    overload_window_ms: float  # time within which the multiple is measured
    max_units: float  # units of one request
    settles_true_units: bool = False  # whether units are estimates until the first good answer reports them
    has_counter: bool = False
    counter_late_after_ms: float = 0.0  # an answer of the counter that takes longer is late
    cancels_attempts: bool = False
    has_health_checks: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    subscribes_to_endpoints: bool = False  # whether the limiter must subscribe to the endpoint list
    handshake_cost: float = 0.0  # cost of a new connection, in requests of mean value
    idle_timeout_ms: float = 0.0  # idle time after which an endpoint closes a connection
    discovery_silence_ms: float = 10_000.0  # a limiter that has not polled for this time counts as notified
    objective: Objective = Objective()

    @property
    def counter_wait_ms(self) -> float:
        """The time to wait for an answer of the counter.

        An answer after `counter_late_after_ms` is late, which signals contention, but it still counts.
        """
        shortest_objective_ms = min(kind.latency_objective_ms for kind in self.request_classes)
        return max(self.counter_late_after_ms, COUNTER_WAIT_RATIO * shortest_objective_ms)

    def class_precedences(self) -> tuple[float, ...]:
        """The precedence of each class when units or endpoints are scarce: its weight, or 1 for all classes.

        A unit spent on the class of highest weight rather than the lowest gains `overall_weight` times the
        difference in weights, relative to the mean weight. While the class of lowest weight is the worst
        class, it costs `worst_class_weight` times the number of classes. Demand is assumed to be equal in all
        classes, as the settings do not specify it.
        """
        weights = tuple(kind.priority_weight for kind in self.request_classes)
        mean = max(sum(weights) / len(weights), 1e-9)
        gain = self.objective.overall_weight * (max(weights) - min(weights)) / mean
        loss = self.objective.worst_class_weight * len(weights)
        return weights if gain >= loss else (1.0,) * len(weights)

    def __post_init__(self) -> None:
        if not self.request_classes or not self.plans or self.limiter_count < 1 or self.max_attempts < 1:
            raise ValueError("settings must have at least one request class, plan, limiter and attempt")
        positive = {
            "slow_start_initial_ratio": self.slow_start_initial_ratio,
            "slow_start_ms": self.slow_start_ms,
            "overload_multiple": self.overload_multiple,
            "overload_window_ms": self.overload_window_ms,
        }
        for name, value in positive.items():
            if not 0 < value < inf:
                raise ValueError(f"{name} must be above 0")
