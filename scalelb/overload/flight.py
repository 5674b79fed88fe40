"""How many attempts one limiter of many may have out, learnt from its own answers.

Where a third of what the backends can do is gone for a while, the attempts of all limiters line up there
until most answers come after nobody waits for them: the backends are as busy as before and serve next to
nothing, and repeats keep it so. Shedding at the door is too slow for it: of 200 limiters each hears an answer
a second, and what it cut its door by with each late one let all of them together have 12 attempts out at a
backend of 3 cores. A bound on what is out follows at once: it is never far above what is out now, and the
next attempt goes when one has come back, however long that takes.

The bound shrinks with a late answer and grows with a good one, both in proportion, so that it shrinks where
more than one in four is late, whatever its size. A limiter that hears many takes smaller steps, and leaves
more room above what is out: those of `THIN_MS` together come to one; likewise one of few limiters, whose door
sheds in time. (With the same steps at any number, brink days of six limiters, a third of whose backends hang,
scored 0.46 instead of 0.57 on one site, 0.35 instead of 0.54 on another.)
"""

from __future__ import annotations

CUT, GROW = 0.5, 1.25  # of the bound: after a late answer, a good one
MANY = 50.0  # limiters: fewer take smaller steps, as each sees more of the fleet and its door follows
THIN_MS = 200.0  # answers that come further apart than this count whole
LEAST, MOST = 1.0, 1024.0  # attempts out


class Flight:
    """The bound of one of so many `limiters`."""

    def __init__(self, limiters: int = 1) -> None:
        self.most, self.limiters = MOST, limiters  # attempts that may be out

    def heard(self, late: bool, out: int, gap_ms: float) -> None:
        """An answer has come, `late` or good, while `out` others are out; answers come `gap_ms` apart."""
        part = min(1.0, max(1.0, gap_ms) / THIN_MS) * min(1.0, self.limiters / MANY)
        if late:
            self.most = max(LEAST, min(self.most, out + 1.0 / part) * CUT**part)
        else:
            self.most = min(MOST, self.most * GROW**part)
