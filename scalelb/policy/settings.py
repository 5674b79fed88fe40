"""The settings of one limiter: request classes, quota plans and limits.  Types only; times in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

# A connection is reused only while it has been idle for less than this part of the time after which the
# endpoint closes it.  The decisions count the connections that the pool keeps, so both use it.
IDLE_REUSE_RATIO = 0.5
# Part of the shortest latency objective for which an answer of the counter is waited for.
COUNTER_WAIT_RATIO = 0.15


class Idempotency(Enum):
    """What a second execution of a request does."""

    IDEMPOTENT = "safe"  # any number of executions does no harm
    IDEMPOTENCY_KEY = "keyed"  # endpoints of one scope drop duplicates within a window
    NOT_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """Which endpoints drop the duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    latency_objective_ms: float  # an answer within this time has its full value
    deadline_ms: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # how long a scope remembers an idempotency key
    priority_weight: float = 1.0
    late_value_ratio: float = 0.0  # part of the value that is left after the latency objective

    @property
    def is_retriable_anywhere(self) -> bool:
        """Whether a retry does no harm, whichever endpoint it goes to."""
        if self.idempotency is Idempotency.IDEMPOTENT:
            return True
        has_key = self.idempotency is Idempotency.IDEMPOTENCY_KEY
        return has_key and self.deduplication_scope is DeduplicationScope.ALL


@dataclass(frozen=True, slots=True)
class Plan:
    """What a tenant of a plan may use, over all limiters together; 0 stands for no such limit."""

    rate_per_s: float = 0.0  # units a second, refill rate of the token bucket
    burst: float = 0.0  # units, size of the token bucket
    max_concurrent_attempts: int = 0
    ceiling_rate_per_s: float = 0.0  # units a second, never to be exceeded
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units
    price: float = 1.0
    over_quota_value_ratio: float = 0.0  # part of the value earned beyond the quota
    over_quota_cost_ratio: float = 0.0  # part of the value paid for forwarding beyond the quota

    @property
    def gains_beyond_quota(self) -> bool:
        """Whether forwarding beyond the quota earns more than it costs."""
        return self.over_quota_value_ratio > self.over_quota_cost_ratio


@dataclass(frozen=True, slots=True)
class Objective:
    """How the operators weigh two ratios: the value within quotas that is answered in time, of all requests
    and of the class that fares worst."""

    overall_weight: float = 1.0
    worst_class_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a limiter is told at its start.  Raises `ValueError` where a value is out of its range."""

    limiter_index: int
    limiter_count: int
    zone: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int  # of one request
    slow_start_initial_ratio: float  # a started endpoint has at least this part of its capacity
    slow_start_ms: float  # and all of it after this time
    overload_multiple: float  # an endpoint that is warming up fails under so many times its capacity
    overload_window_ms: float  # within this time
    max_units: float  # of one request
    settles_true_units: bool = False  # units are an estimate; the first good answer tells the true ones
    has_counter: bool = False
    counter_late_after_ms: float = 0.0  # an answer of the counter that takes longer is late
    cancels_attempts: bool = False
    has_health_checks: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    subscribes_to_endpoints: bool = False  # the endpoint list has to be asked for
    handshake_cost: float = 0.0  # of a new connection, in requests of mean value
    idle_timeout_ms: float = 0.0  # an endpoint closes a connection that was idle for so long
    discovery_silence_ms: float = 10_000.0  # a limiter that has not polled for so long counts as notified
    objective: Objective = Objective()

    @property
    def counter_wait_ms(self) -> float:
        """How long an answer of the counter is waited for; one that takes longer than `counter_late_after_ms`
        is late, which tells of contention, and still counts."""
        shortest_objective_ms = min(kind.latency_objective_ms for kind in self.request_classes)
        return max(self.counter_late_after_ms, COUNTER_WAIT_RATIO * shortest_objective_ms)

    def class_precedences(self) -> tuple[float, ...]:
        """The precedence of each class where units or endpoints are short: its weight, or 1 for all.

        A unit spent on the class of highest weight instead of the lowest gains `overall_weight` times the
        difference in mean weights. It costs `worst_class_weight` times the number of classes while the class
        of lowest weight fares worst, with the classes taken to be asked for equally, as the settings do not
        tell."""
        weights = tuple(kind.priority_weight for kind in self.request_classes)
        mean = max(sum(weights) / len(weights), 1e-9)
        gain = self.objective.overall_weight * (max(weights) - min(weights)) / mean
        loss = self.objective.worst_class_weight * len(weights)
        return weights if gain >= loss else (1.0,) * len(weights)

    def __post_init__(self) -> None:
        if not self.request_classes or not self.plans or self.limiter_count < 1 or self.max_attempts < 1:
            raise ValueError("settings need a request class, a plan, a limiter and an attempt")
        positive = {
            "slow_start_initial_ratio": self.slow_start_initial_ratio,
            "slow_start_ms": self.slow_start_ms,
            "overload_multiple": self.overload_multiple,
            "overload_window_ms": self.overload_window_ms,
        }
        for name, value in positive.items():
            if not 0 < value < inf:
                raise ValueError(f"{name} must be above 0")
