"""Outlier detection: what one limiter concludes from an endpoint's answers.

A limiter among many sends an endpoint little: it sees an answer every few seconds. One answer counts as one,
and what it tells lasts until the next may come; else each of 40 limiters would find the same bad endpoint
anew. Where answers are many, both become a running average with a short memory. An endpoint that is late or
fails looks slower (`perceived_latency_ms`); one that can't be connected to is ejected for a backoff.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import Outcome

INITIAL_CONCURRENCY_LIMIT = 2.0  # mean requests in flight at an endpoint, before its answers tell more
MIN_CONCURRENCY_LIMIT = 0.2  # mean requests in flight
MIN_ANSWER_GAIN = 0.2  # weight of the newest answer, at least
PRIOR_ANSWERS = 1.5  # answers that the usual latency counts for
FAULT_MEMORY_MS = 5000.0  # time constant in which faults are forgotten, at least
FAULT_MEMORY_ANSWERS = 2.0  # or the time in which so many answers of each endpoint arrive
FAILURE_LATENCY_FACTOR = 8.0  # an endpoint that always fails looks slower by this factor
EJECTED_LATENCY_FACTOR = 1000.0  # an ejected endpoint is chosen only where no other is left
MIN_EJECTION_MS = 500.0  # after the first failed connect; doubled with each further one
MAX_EJECTION_MS = 8000.0
MAX_CONNECT_FAILURES = 8  # that are counted
FAST_ANSWER_RATIO = 0.2  # of the latency objective: a good answer within it raises the concurrency limit
SLOW_ANSWER_RATIO = 0.3  # of the latency objective: a slower answer lowers the concurrency limit
LIMIT_DECREASE_FACTOR = 0.7
MIN_DECREASE_INTERVAL_RATIO = 0.25  # of the latency objective, between two decreases
KEEPS_CONNECTION = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)  # outcomes that leave the connection open


def fault_memory_ms(answer_interval_ms: float, endpoints: int) -> float:
    """Return the time constant (ms) of faults, where a limiter's answers come `answer_interval_ms` apart."""
    return max(FAULT_MEMORY_MS, FAULT_MEMORY_ANSWERS * answer_interval_ms * endpoints)


@dataclass(slots=True, eq=False)
class TrackedEndpoint:
    """An endpoint as this limiter sees it."""

    endpoint: Endpoint
    latency_ms: float  # running average, of a request of mean units
    concurrency_limit: float  # mean requests in flight
    updated_at: float  # when latency and failure ratio were last updated
    is_serving: bool = True
    capacity_ratio: float = 1.0  # of its capacity that it has at least; below 1 while it warms up
    failure_ratio: float = 0.0
    load_in_flight: float = 0.0  # estimate, in mean requests
    limit_decreased_at: float = 0.0
    answer_weight: float = 0.0  # answers that still count
    consecutive_successes: int = 0
    connect_failures: int = 0  # in a row
    ejected_until: float = 0.0
    idle_connections: int = 0
    connection_used_at: float = 0.0  # when the newest idle connection was used

    def is_warm(self) -> bool:
        """Whether its slow start is over."""
        return self.capacity_ratio >= 1

    def current_failure_ratio(self, now: float, memory_ms: float) -> float:
        """Return the failure ratio, decayed to `now` (ms)."""
        return self.failure_ratio * exp((self.updated_at - now) / memory_ms)

    def record_outcome(
        self, now: float, outcome: Outcome, latency_ms: float, usual_latency_ms: float, memory_ms: float
    ) -> None:
        """Update latency, failure ratio and ejection with one outcome; times in ms."""
        fade = exp((self.updated_at - now) / memory_ms)
        is_success = outcome is Outcome.OK
        self.updated_at = now
        self.answer_weight = self.answer_weight * fade + 1
        gain = max(MIN_ANSWER_GAIN, 1 / (self.answer_weight + PRIOR_ANSWERS))
        old_latency_ms = usual_latency_ms + (self.latency_ms - usual_latency_ms) * fade
        self.latency_ms = old_latency_ms + gain * (latency_ms - old_latency_ms)
        self.failure_ratio = self.failure_ratio * fade * (1 - gain) + (0.0 if is_success else gain)
        self.consecutive_successes = self.consecutive_successes + 1 if is_success else 0
        if outcome in KEEPS_CONNECTION:
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
        """Return how many idle connections should still be open; the endpoint closes those that were idle
        for `idle_timeout_ms`."""
        if now - self.connection_used_at < idle_timeout_ms:
            return self.idle_connections
        return 0

    def record_send(self, now: float, idle_timeout_ms: float) -> None:
        """Record that an attempt takes an idle connection, if one is left, else a new one."""
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
        """Return the latency (ms) to expect of it, faults included.

        `last_endpoint`: where the attempt before went, which counts as a failure of that endpoint.
        `handshake_ms`: cost of a new connection, as time.
        """
        fade = exp((self.updated_at - now) / memory_ms)
        failures = self.failure_ratio * fade
        if self.endpoint.name == last_endpoint:
            failures += 1
        latency_ms = usual_latency_ms + (self.latency_ms - usual_latency_ms) * fade
        latency_ms *= 1 + FAILURE_LATENCY_FACTOR * failures
        if not self.usable_connections(now, idle_timeout_ms):
            latency_ms += handshake_ms
        if now < self.ejected_until:
            return latency_ms * EJECTED_LATENCY_FACTOR
        return latency_ms

    def adapt_concurrency_limit(
        self, now: float, is_success: bool, elapsed_ms: float, objective_ms: float
    ) -> None:
        """Adapt the concurrency limit to one answer: additive increase while fast answers use at least half
        of it, multiplicative decrease after a failure or a slow answer (AIMD)."""
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
        """Forget all that was learnt: the endpoint has been restarted."""
        self.clear_faults(usual_latency_ms)
        self.latency_ms = usual_latency_ms
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.idle_connections = 0
        self.consecutive_successes = 0

    def clear_faults(self, usual_latency_ms: float) -> None:
        """Forget the faults: another limiter has found the endpoint healthy again."""
        self.latency_ms = min(self.latency_ms, usual_latency_ms)
        self.failure_ratio = 0.0
        self.answer_weight = 0.0
        self.connect_failures = 0
        self.ejected_until = 0.0
