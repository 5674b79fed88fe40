"""Retry budget: bounds the retries of the whole fleet without communication between limiters.

A limiter earns retries with good answers and can save only a few of them. In a total outage the fleet
therefore sends no more retries than it has saved: `FLEET_RETRY_BUDGET` over all limiters, and at least
`MIN_RETRY_BUDGET` at each.
"""

from __future__ import annotations

FLEET_RETRY_BUDGET = 30.0  # retries of all limiters together
MIN_RETRY_BUDGET = 1.0  # retries per limiter
RETRIES_PER_GOOD_ANSWER = 0.2


class RetryBudget:
    """The retry budget of one of `limiters`."""

    def __init__(self, limiters: int) -> None:
        self.capacity = max(MIN_RETRY_BUDGET, FLEET_RETRY_BUDGET / limiters)
        self.retries = 1.0  # available

    def on_answer(self, is_good: bool) -> None:
        """Earn a fraction of a retry with a good answer, up to the capacity."""
        if is_good:
            self.retries += RETRIES_PER_GOOD_ANSWER
        self.retries = min(self.capacity, self.retries)

    def is_exhausted(self) -> bool:
        """Whether less than one retry is available."""
        return self.retries < 1

    def spend(self) -> None:
        """Spend one retry."""
        self.retries -= 1
