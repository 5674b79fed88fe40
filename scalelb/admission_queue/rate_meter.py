"""A rate and a mean of events, both with exponential decay."""

from __future__ import annotations

from math import exp

MIN_AGE_RATIO = 0.05  # smallest age, as a part of the memory: a new meter would divide by almost 0
MAX_STEP_RATIO = 0.1  # longest time that one value represents, as a part of the memory


class RateMeter:
    """An exponentially decaying rate over about the last `memory_ms`.

    The decayed sum is divided by the part of the memory that has passed since the start, so that the rate is
    correct from the first events on.  Times are in milliseconds; a time before the previous one is taken as
    the previous one.
    """

    __slots__ = ("decayed_units", "memory_ms", "started_at", "updated_at")

    def __init__(self, memory_ms: float, now: float) -> None:
        self.memory_ms = memory_ms
        self.started_at = now
        self.updated_at = now
        self.decayed_units = 0.0

    def add(self, now: float, units: float) -> None:
        """Add units at the time `now`."""
        decay = exp(min(0.0, self.updated_at - now) / self.memory_ms)
        self.decayed_units = self.decayed_units * decay + units
        self.updated_at = max(now, self.updated_at)

    def rate_per_s(self, now: float) -> float:
        """Return the rate in units per second."""
        units = self.decayed_units * exp(min(0.0, self.updated_at - now) / self.memory_ms)
        age_ms = max(now - self.started_at, MIN_AGE_RATIO * self.memory_ms)
        filled_ratio = 1.0 - exp(-age_ms / self.memory_ms)
        return 1000.0 * units / (self.memory_ms * filled_ratio)


class DecayingMean:
    """A mean over about the last `memory_ms`, in which each value is weighted by the time it represents."""

    __slots__ = ("covered_ms", "memory_ms", "updated_at", "value")

    def __init__(self, memory_ms: float) -> None:
        self.memory_ms = memory_ms
        self.value = 0.0
        self.updated_at = 0.0
        self.covered_ms = 0.0  # time that the values so far represent, up to the memory

    def add(self, now: float, value: float) -> None:
        """Add a value, which represents the time since the previous one."""
        if self.value:
            elapsed_ms = min(max(0.0, now - self.updated_at), MAX_STEP_RATIO * self.memory_ms)
        else:
            elapsed_ms = 1.0
        self.covered_ms = min(self.memory_ms, self.covered_ms + elapsed_ms)
        value_weight = elapsed_ms / self.covered_ms if self.covered_ms else 1.0
        self.value += value_weight * (value - self.value)
        self.updated_at = max(now, self.updated_at)
