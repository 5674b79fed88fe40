"""When to call the director again.  No I/O: time and chance are passed in.

The director is one service for all limiters. It takes calls in turn, answers one that has waited too long,
or finds no room, with 503, and works on it all the same. A limiter that calls again at once is harmless; 40
that do keep the service full with their repetitions, and none of them is told anything. So the pause after
a refusal grows with the number of limiters, which each is told, and is spread. It stays within the time
after which a limiter that did not ask counts as told all the same.

Where the list is pushed, what a limiter calls is an agent on its own machine, which answers at once and at no
cost: there is nobody to spare, and every moment without its word is one in which it counts as told.
"""

from __future__ import annotations

from random import Random

SOON_MS, OFTEN_MS = 20.0, 100.0  # after a lost connection, as a watch goes on only within 200 ms; and at most
FIRST_PER_S, AGAIN_PER_S = 10.0, 5.0  # calls of all limiters together: at a start of all, and after refusals
LONGEST = 1.5  # times the mean pause after a refusal, where one follows another
FIRST, FAILED = 0.5, 4.0  # of the time in which to ask: the first call at the latest; after a failed call


class Pace:
    """One limiter's pauses between calls, in milliseconds."""

    def __init__(self, limiters: int, random: Random, must_ask_ms: float) -> None:
        """`limiters`: how many call the same director, at least 1. `must_ask_ms`: who has not asked it for so
        long counts as told; 0: nobody shares it, it is an agent of this machine."""
        if limiters < 1:
            raise ValueError(f"limiters: must be at least 1, not {limiters}")
        self.shared = must_ask_ms > 0
        self.random = random
        self.spread = min(1000 * limiters / FIRST_PER_S, FIRST * must_ask_ms)
        # The longest pause is 1.5 x LONGEST x this, and it follows a failed call.
        self.again = min(1000 * limiters / AGAIN_PER_S, FAILED * must_ask_ms / 2 / (1.5 * LONGEST))
        self.soon, self.times = SOON_MS, 0

    def first(self) -> float:
        """Before the first call of one that has a list to begin with: it may not be the only one to start."""
        return self.spread * self.random.random()

    def answered(self) -> None:
        """A call was answered."""
        self.soon, self.times = SOON_MS, 0

    def refused(self) -> None:
        """The director had no room for a call."""
        self.times += self.shared

    def pause(self) -> float:
        """Until the next call, as one was refused or its connection has ended."""
        if self.times:
            return self.again * (LONGEST if self.times > 1 else 1.0) * (0.5 + self.random.random())
        pause, self.soon = self.soon, min(OFTEN_MS, 2 * self.soon)
        return pause
