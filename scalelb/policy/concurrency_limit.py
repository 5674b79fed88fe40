"""Adaptive concurrency limit on one limiter's upstream attempts in flight, learnt from its own answers.

Where a third of the backends' capacity is lost for a while, the attempts of all limiters queue at the
backends until most answers come after their requests' deadlines: the backends are as busy as before, their
goodput is close to zero, and retries keep it there. Admission control at the front end is too slow against
this: each of 200 limiters receives one answer a second, and the reduction with each late one let all
limiters together keep 12 attempts in flight at a backend of 3 cores. A concurrency limit acts at once: it
stays close to the number now in flight, and the next attempt is sent when one has ended, however long that
takes.

The limit decreases with a late answer and increases with a good one, both multiplicatively, so that it
decreases where more than one answer in four is late, whatever its value. A limiter that receives many
answers takes smaller steps and leaves more room above the number in flight: the steps of all answers within
`FULL_STEP_GAP_MS` add up to one. So does a limiter of a small fleet, where admission control is fast
enough.
"""

from __future__ import annotations

DECREASE_FACTOR = 0.5  # of the limit, after a late answer
INCREASE_FACTOR = 1.25  # of the limit, after a good answer
FULL_STEP_LIMITERS = 50.0  # limiters: fewer take smaller steps, as each sees more of the fleet
FULL_STEP_GAP_MS = 200.0  # between answers: answers that come further apart take a full step
MIN_LIMIT = 1.0  # attempts in flight
MAX_LIMIT = 1024.0  # attempts in flight


class ConcurrencyLimit:
    """The concurrency limit of one of `limiters`, in attempts in flight."""

    def __init__(self, limiters: int = 1) -> None:
        self.limit = MAX_LIMIT
        self.limiters = limiters

    def on_answer(self, late: bool, in_flight: int, answer_interval_ms: float) -> None:
        """Adjust the limit to an answer that was `late` or good, while `in_flight` other attempts are out;
        `answer_interval_ms`: mean time between answers."""
        step = min(1.0, max(1.0, answer_interval_ms) / FULL_STEP_GAP_MS) * min(
            1.0, self.limiters / FULL_STEP_LIMITERS
        )
        if late:
            self.limit = max(MIN_LIMIT, min(self.limit, in_flight + 1.0 / step) * DECREASE_FACTOR**step)
        else:
            self.limit = min(MAX_LIMIT, self.limit * INCREASE_FACTOR**step)
