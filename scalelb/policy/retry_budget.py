"""Retry budget: bounds the retries of all limiters together, decided without communication.

A limiter earns retries with good answers and may hold few of them, so that in a total outage the fleet
retries what it held and no more: `FLEET_RETRY_BUDGET` over all limiters, and at least `MIN_RETRY_BUDGET` at
each.
"""

from __future__ import annotations

FLEET_RETRY_BUDGET = 30.0  # retries, over all limiters
MIN_RETRY_BUDGET = 1.0  # retries, at one limiter
RETRIES_PER_GOOD_ANSWER = 0.2


class RetryBudget:
    """The retry budget of one of `limiters`."""

    def __init__(self, limiters: int) -> None:
        self.capacity = max(MIN_RETRY_BUDGET, FLEET_RETRY_BUDGET / limiters)
        self.retries = 1.0  # left

    def on_answer(self, is_good: bool) -> None:
        """Earn a part of a retry with a good answer, up to the capacity."""
        if is_good:
            self.retries += RETRIES_PER_GOOD_ANSWER
        self.retries = min(self.capacity, self.retries)

    def is_exhausted(self) -> bool:
        """Whether no whole retry is left."""
        return self.retries < 1

    def spend(self) -> None:
        """Take one retry."""
        self.retries -= 1
