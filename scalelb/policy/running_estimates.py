"""Exponentially weighted moving averages over all answers that one limiter receives."""

from __future__ import annotations

ANSWER_GAIN = 0.05  # weight of the newest answer
MAX_INTERVAL_SAMPLE_MS = 1000.0  # longer intervals between answers count as this
INITIAL_LATENCY_RATIO = 0.1  # initial latency, as a ratio of the shortest objective


class RunningEstimates:
    """Mean latency and mean units of a request, and the mean interval between answers."""

    def __init__(self, shortest_objective_ms: float, mean_units: float) -> None:
        # Latency of a request of mean units.
        self.latency_ms = INITIAL_LATENCY_RATIO * shortest_objective_ms
        self.units = mean_units
        self.answer_interval_ms = 0.0
        self.last_answer_at = 0.0  # ms

    def relative_size(self, units: float) -> float:
        """Return the latency of a request relative to a mean one: half of it grows with the units."""
        return 0.5 + 0.5 * units / self.units

    def record_answer_time(self, now: float) -> None:
        """Record that an answer arrived at `now` (ms)."""
        interval_ms = min(now - self.last_answer_at, MAX_INTERVAL_SAMPLE_MS)
        self.answer_interval_ms += ANSWER_GAIN * (interval_ms - self.answer_interval_ms)
        self.last_answer_at = now

    def record_latency(self, latency_ms: float) -> None:
        """Record the latency of a good answer, scaled to a request of mean units."""
        self.latency_ms += ANSWER_GAIN * (latency_ms - self.latency_ms)

    def record_units(self, units: float) -> None:
        """Record the true units of a request."""
        self.units += ANSWER_GAIN * (units - self.units)
