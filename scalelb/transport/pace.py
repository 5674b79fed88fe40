"""When to call the director again.  No I/O: time and chance are passed in.

The director is one service for all limiters. It takes calls in turn, answers one that has waited too long,
or finds no room, with 503, and works on it all the same. A limiter that calls again at once is harmless; 40
that do keep the service full with their repetitions, and none of them is told anything. So the pause after
a refusal grows with the number of limiters, which each is told, and is spread. A change counts as told 6 s
after the director had it, whatever calls were refused: so the first call and the one after a refusal are made
within 5 s of that by however many limiters. Further refusals double the pause up to what the number asks for:
a director that bears 15 calls a second can't tell 200 limiters in 6 s, and pauses of 1.5 s kept it full of
refusals for good (at 100 limiters one was told anything in 30 s).

Where the list is pushed, what a limiter calls is an agent on its own machine, which answers at once and at no
cost: there is nobody to spare, and every moment without its word is one in which it counts as told.
"""

from __future__ import annotations

from random import Random

SOON_MS, OFTEN_MS = 20.0, 100.0  # after a lost connection, as a watch goes on only within 200 ms; and at most
FIRST_PER_S, AGAIN_PER_S = 10.0, 5.0  # calls of all limiters together: at a start of all, and after refusals
LONGEST = 1.5  # times the mean pause that the number of limiters asks for
TOLD_MS = 6000.0  # a change counts as told so long after the director had it and could be reached
FIRST, PAUSE, FAILED = 1 / 3, 1 / 3, 4.0  # of that time: the first call, the mean first pause; see `most`


class Pace:
    """One limiter's pauses between calls, in milliseconds."""

    def __init__(self, limiters: int, random: Random, must_ask_ms: float) -> None:
        """`limiters`: how many call the same director, at least 1. `must_ask_ms`: who has not asked it for so
        long counts as told; 0: nobody shares it, it is an agent of this machine."""
        if limiters < 1:
            raise ValueError(f"limiters: must be at least 1, not {limiters}")
        self.shared = must_ask_ms > 0
        self.random = random
        told = min(TOLD_MS, must_ask_ms)
        self.spread = min(1000 * limiters / FIRST_PER_S, FIRST * told)
        # The longest pause is 1.5 x this, and it follows a failed call: that gives four times as much.
        self.most = min(LONGEST * 1000 * limiters / AGAIN_PER_S, FAILED * must_ask_ms / 2 / 1.5)
        self.again = min(self.most / LONGEST, PAUSE * told)
        self.soon, self.times = SOON_MS, 0

    def first(self) -> float:
        """Before the first call of one that has a list to begin with: it may not be the only one to start."""
        return self.spread * self.random.random()

    def answered(self) -> None:
        """A call was answered."""
        self.soon, self.times = SOON_MS, 0

    def refused(self) -> None:
        """The director had no room for a call."""
        self.times = min(self.times + 1, 16) * self.shared

    def pause(self) -> float:
        """Until the next call, as one was refused or its connection has ended."""
        if self.times:
            return min(self.most, self.again * 2.0 ** (self.times - 1)) * (0.5 + self.random.random())
        pause, self.soon = self.soon, min(OFTEN_MS, 2 * self.soon)
        return pause
