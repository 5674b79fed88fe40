"""Adaptive concurrency limit on one limiter's upstream attempts in flight, adjusted with its own answers.

When a third of the backends' capacity is lost for a while, the attempts of all limiters queue at the
backends until most answers arrive after their requests' deadlines. The backends are as busy as before, but
their goodput is close to zero, and retries keep it there. Load shedding alone is too slow against this: each
of 200 limiters receives one answer a second, and the reduction with each late answer still let all limiters
together keep 12 attempts in flight at a backend of 3 cores. A concurrency limit takes effect at once: it
stays close to the current number in flight, and the next attempt is sent only after one has ended.

The limit decreases with a late answer and increases with a good one, both multiplicatively, so that it
decreases if more than one answer in four is late, whatever its value. A limiter that receives many answers
takes smaller steps and leaves more capacity above the number in flight: the steps of all answers within
`FULL_STEP_GAP_MS` add up to one full step. A limiter of a small fleet also takes smaller steps, as load
shedding is fast enough there.
"""

from __future__ import annotations

DECREASE_FACTOR = 0.5  # multiplies the limit after a late answer
INCREASE_FACTOR = 1.25  # multiplies the limit after a good answer
FULL_STEP_LIMITERS = 50.0  # fewer limiters take smaller steps, as each one receives more of the answers
FULL_STEP_GAP_MS = 200.0  # mean time between answers from which each answer makes a full step
MIN_LIMIT = 1.0  # attempts in flight
MAX_LIMIT = 1024.0  # attempts in flight


class ConcurrencyLimit:
    """The concurrency limit of one of `limiters` limiters, in attempts in flight."""

    def __init__(self, limiters: int = 1) -> None:
        self.limit = MAX_LIMIT
        self.limiters = limiters

    def on_answer(self, late: bool, in_flight: int, answer_interval_ms: float) -> None:
        """Adjust the limit to a `late` or a good answer.

        `in_flight`: number of other attempts in flight. `answer_interval_ms`: mean time between answers.
        """
        step = min(1.0, max(1.0, answer_interval_ms) / FULL_STEP_GAP_MS) * min(
            1.0, self.limiters / FULL_STEP_LIMITERS
        )
        if late:
            self.limit = max(MIN_LIMIT, min(self.limit, in_flight + 1.0 / step) * DECREASE_FACTOR**step)
        else:
            self.limit = min(MAX_LIMIT, self.limit * INCREASE_FACTOR**step)
