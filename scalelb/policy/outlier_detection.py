"""Outlier detection: tracks the health of each endpoint as seen by one limiter.

In a large fleet, a limiter receives an answer from each endpoint only every few seconds. A single answer
therefore has much weight, and it is remembered until the next one is likely to arrive; otherwise each of 40
limiters would rediscover the same bad endpoint again and again. With frequent answers, latency and failure
ratio become running averages with a short memory. A slow or failing endpoint gets a higher perceived latency
(`perceived_latency_ms`); an endpoint that can't be connected to is ejected with exponential backoff.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import Outcome

INITIAL_CONCURRENCY_LIMIT = 2.0  # mean requests in flight at an endpoint without answers so far
MIN_CONCURRENCY_LIMIT = 0.2  # mean requests in flight
MIN_ANSWER_GAIN = 0.2  # minimum weight of the newest answer
PRIOR_ANSWERS = 1.5  # weight of the usual latency as a prior, in answers
FAULT_MEMORY_MS = 5000.0  # minimum time constant in which faults are forgotten
FAULT_MEMORY_ANSWERS = 2.0  # minimum of the same time constant, in answer intervals of an endpoint
FAILURE_LATENCY_FACTOR = 8.0  # multiples of its latency added for an endpoint that always fails
EJECTED_LATENCY_FACTOR = 1000.0  # large enough that an ejected endpoint is chosen only as a last resort
MIN_EJECTION_MS = 500.0  # after the first failed connect; doubles with each further one
MAX_EJECTION_MS = 8000.0
MAX_CONNECT_FAILURES = 8  # further failures do not lengthen the ejection
# Good answers faster than this ratio of the latency objective raise the concurrency limit.
FAST_ANSWER_RATIO = 0.2
# Answers slower than this ratio of the latency objective lower the concurrency limit.
SLOW_ANSWER_RATIO = 0.3
LIMIT_DECREASE_FACTOR = 0.7
# Minimum time between two decreases, as a ratio of the latency objective.
MIN_DECREASE_INTERVAL_RATIO = 0.25
REUSABLE_CONNECTION_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)


def fault_memory_ms(answer_interval_ms: float, endpoints: int) -> float:
    """Return the time constant (ms) of fault memory; `answer_interval_ms`: mean, over all endpoints."""
    return max(FAULT_MEMORY_MS, FAULT_MEMORY_ANSWERS * answer_interval_ms * endpoints)


@dataclass(slots=True, eq=False)
class TrackedEndpoint:
    """An endpoint, with the state that this limiter tracks for it."""

    endpoint: Endpoint
    latency_ms: float  # running average, of a request of mean units
    concurrency_limit: float  # mean requests in flight
    updated_at: float  # when latency and failure ratio were last updated
    is_serving: bool = True
    capacity_ratio: float = 1.0  # minimum share of its capacity that is available; below 1 while warming up
    failure_ratio: float = 0.0
    load_in_flight: float = 0.0  # estimate, in mean requests
    limit_decreased_at: float = 0.0
    answer_weight: float = 0.0  # decayed number of answers
    consecutive_successes: int = 0
    connect_failures: int = 0  # consecutive
    ejected_until: float = 0.0
    idle_connections: int = 0
    connection_used_at: float = 0.0  # last use of the newest idle connection

    def is_warm(self) -> bool:
        """Whether its slow start has ended."""
        return self.capacity_ratio >= 1

    def current_failure_ratio(self, now: float, memory_ms: float) -> float:
        """Return the failure ratio, decayed until `now` (ms)."""
        return self.failure_ratio * exp((self.updated_at - now) / memory_ms)

    def record_outcome(
        self, now: float, outcome: Outcome, latency_ms: float, usual_latency_ms: float, memory_ms: float
    ) -> None:
        """Update latency, failure ratio and ejection with the outcome of one attempt."""
        decay = exp((self.updated_at - now) / memory_ms)
        is_success = outcome is Outcome.OK
        self.updated_at = now
        self.answer_weight = self.answer_weight * decay + 1
        gain = max(MIN_ANSWER_GAIN, 1 / (self.answer_weight + PRIOR_ANSWERS))
        old_latency_ms = usual_latency_ms + (self.latency_ms - usual_latency_ms) * decay
        self.latency_ms = old_latency_ms + gain * (latency_ms - old_latency_ms)
        self.failure_ratio = self.failure_ratio * decay * (1 - gain) + (0.0 if is_success else gain)
        self.consecutive_successes = self.consecutive_successes + 1 if is_success else 0
        if outcome in REUSABLE_CONNECTION_OUTCOMES:
            self.idle_connections += 1
            self.connection_used_at = now
        self._update_ejection(now, outcome)

    def _update_ejection(self, now: float, outcome: Outcome) -> None:
        if outcome is not Outcome.CONNECT_FAILED:
            self.connect_failures = 0
            self.ejected_until = 0.0
            return
        self.connect_failures = min(self.connect_failures + 1, MAX_CONNECT_FAILURES)
        backoff_ms = MIN_EJECTION_MS * 2 ** (self.connect_failures - 1)
        self.ejected_until = now + min(MAX_EJECTION_MS, backoff_ms)

    def usable_connections(self, now: float, idle_timeout_ms: float) -> int:
        """Return how many idle connections are probably still open: the endpoint closes a connection after
        `idle_timeout_ms` without use.
        """
        if now - self.connection_used_at < idle_timeout_ms:
            return self.idle_connections
        return 0

    def record_send(self, now: float, idle_timeout_ms: float) -> None:
        """Record that an attempt uses an idle connection if there is one, otherwise a new one."""
        self.idle_connections = max(0, self.usable_connections(now, idle_timeout_ms) - 1)

    def perceived_latency_ms(
        self,
        now: float,
        usual_latency_ms: float,
        memory_ms: float,
        last_endpoint: str,
        idle_timeout_ms: float = 0.0,
        handshake_ms: float = 0.0,
    ) -> float:
        """Return the expected latency (ms), increased by recent failures.

        `last_endpoint`: endpoint of the request's previous attempt, which counts as a failure of it.
        `handshake_ms`: cost of a new connection, expressed as time.
        """
        decay = exp((self.updated_at - now) / memory_ms)
        failures = self.failure_ratio * decay
        if self.endpoint.name == last_endpoint:
            failures += 1
        latency_ms = usual_latency_ms + (self.latency_ms - usual_latency_ms) * decay
        latency_ms *= 1 + FAILURE_LATENCY_FACTOR * failures
        if not self.usable_connections(now, idle_timeout_ms):
            latency_ms += handshake_ms
        if now < self.ejected_until:
            return latency_ms * EJECTED_LATENCY_FACTOR
        return latency_ms

    def adapt_concurrency_limit(
        self, now: float, is_success: bool, elapsed_ms: float, objective_ms: float
    ) -> None:
        """Adapt the concurrency limit to one answer (AIMD).

        Additive increase after a fast answer while at least half of the limit is in use; multiplicative
        decrease after a failure or a slow answer.
        """
        if is_success and elapsed_ms < FAST_ANSWER_RATIO * objective_ms:
            if self.load_in_flight + 1 > self.concurrency_limit / 2:
                self.concurrency_limit += 1 / max(1.0, self.concurrency_limit)
            return
        if is_success and elapsed_ms <= SLOW_ANSWER_RATIO * objective_ms:
            return
        if now - self.limit_decreased_at > MIN_DECREASE_INTERVAL_RATIO * objective_ms:
            self.concurrency_limit = max(
                MIN_CONCURRENCY_LIMIT, self.concurrency_limit * LIMIT_DECREASE_FACTOR
            )
            self.limit_decreased_at = now

    def reset(self, usual_latency_ms: float) -> None:
        """Reset all estimates, as the endpoint has been restarted."""
        self.clear_faults(usual_latency_ms)
        self.latency_ms = usual_latency_ms
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.idle_connections = 0
        self.consecutive_successes = 0

    def clear_faults(self, usual_latency_ms: float) -> None:
        """Clear the recorded faults, as another limiter has found the endpoint healthy again."""
        self.latency_ms = min(self.latency_ms, usual_latency_ms)
        self.failure_ratio = 0.0
        self.answer_weight = 0.0
        self.connect_failures = 0
        self.ejected_until = 0.0
