"""Rates that are learnt from events, with a memory that fades."""

from __future__ import annotations

from math import exp


class RateMeter:
    """Units a second over about the last `memory_ms`; right from its first events on, as it knows its age."""

    __slots__ = ("at", "began", "memory_ms", "units")

    def __init__(self, memory_ms: float, now: float) -> None:
        self.memory_ms, self.began, self.at, self.units = memory_ms, now, now, 0.0

    def add(self, now: float, units: float) -> None:
        """So many units, now."""
        self.units = self.units * exp(min(0.0, self.at - now) / self.memory_ms) + units
        self.at = max(now, self.at)

    def rate(self, now: float) -> float:
        """Units a second."""
        faded = self.units * exp(min(0.0, self.at - now) / self.memory_ms)
        seen = 1.0 - exp(-max(now - self.began, 0.05 * self.memory_ms) / self.memory_ms)
        return 1000.0 * faded / (self.memory_ms * seen)


class DecayingMean:
    """A mean whose memory fades by time, not by the number of its values."""

    __slots__ = ("at", "memory_ms", "seen_ms", "value")

    def __init__(self, memory_ms: float) -> None:
        self.memory_ms, self.value, self.at, self.seen_ms = memory_ms, 0.0, 0.0, 0.0

    def add(self, now: float, value: float) -> None:
        """One value; it stands for the time since the one before, up to a tenth of the memory."""
        passed = min(max(0.0, now - self.at), 0.1 * self.memory_ms) if self.value else 1.0
        self.seen_ms = min(self.memory_ms, self.seen_ms + passed)
        self.value += (passed / self.seen_ms if self.seen_ms else 1.0) * (value - self.value)
        self.at = max(now, self.at)
