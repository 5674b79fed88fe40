"""How much one limiter of many may ask of the shared counter, learnt from its own calls.

The counter serves all limiters in one line. Where they ask more of it than it bears, the line grows until
answers are late, whoever asked too much; so each asks for a part of its tries only (`part`). It follows the
time that answers stand in line, what they take beyond the quickest seen lately: a limiter of 200 makes a call
or two in a second, and a sign that only the late ones give would come too seldom to be both quick and mild.
Line below `LINE` of what counts as late: the part grows, by `STEP` of itself at most with each answer; above:
it shrinks, by up to four times that. So the line settles at `LINE`, whatever the number of limiters.

Those that are not asked for are within their quotas as often as those that are, and which, no limiter of many
knows: a customer comes to it once in minutes, and what it was told of the store then says nothing of what the
others let in since. So where few of the asked ones get in (`granted`), fewer of the others go too: as few,
where one beyond its quota costs as much as one within brings; else all, from half of the asked ones on.

A late answer is no silence: it is waited for five times longer than what counts as late. Where none comes
then, the counter is taken for silent, and asked again after a pause that doubles, so that one that comes back
meets no crowd. (Two such calls before it is silent were tried: new lives then each let more through, 1.24 of
the quota instead of 1.0 at a kill a second.)
"""

from __future__ import annotations

from math import inf

LINE, STEP, WORST, LEAST = 0.5, 0.1, 4.0, 0.05  # of the limit; of the part; steps down at once; part at least
CUT, APART_MS = 0.6, 300.0  # of the part where no answer comes; between two such cuts
FORGET = 0.02  # of the quickest answer, with each that is slower
PAUSE_MS = 50.0, 1000.0  # the first and the longest
PLENTY = 0.5  # of the asked: where so many are granted at least, all others go too
SAMPLE = 2.0  # tries that one which is asked for may stand for beside itself
GRANTED = 0.2  # of the newest answer in the running average of what was granted


class Crowd:
    """One limiter's view of the counter."""

    def __init__(self, limit_ms: float) -> None:
        """`limit_ms`: an answer that takes longer is late."""
        self.limit_ms = limit_ms
        self.part = 1.0  # of the tries that are asked for
        self.pause = 0.0  # ms; above 0: it is silent
        self.call_at = 0.0  # no call before
        self.quickest = limit_ms  # ms
        self.cut_at = -inf
        self.granted = 1.0  # of the tries that were asked for lately

    @property
    def silent(self) -> bool:
        """Whether no answer has come for so long that none is to be waited for."""
        return self.pause >= PAUSE_MS[1]

    def beside(self, over_cost: float) -> float:
        """How many that are not asked for get in for each that is, as one of them may stand for."""
        return min(SAMPLE, (1 / self.part - 1) * self.passing(over_cost))

    def answered(self, granted: bool, asked: bool) -> None:
        """Whether the store had the units, and whether the call `asked` for any."""
        self.granted += GRANTED * (granted - self.granted) * asked

    def passing(self, over_cost: float) -> float:
        """The part of the tries that are not asked for which go all the same; `over_cost`: the part of its
        worth that one beyond its quota costs."""
        return min(1.0, self.granted / min(1.0, max(PLENTY, over_cost)))

    def heard(self, now: float, elapsed_ms: float) -> None:
        """An answer has come, after so long."""
        self.pause = 0.0
        self.quickest = min(elapsed_ms, self.quickest + FORGET * (elapsed_ms - self.quickest))
        line = (elapsed_ms - self.quickest) / max(1e-9, LINE * self.limit_ms)
        self.part = min(1.0, max(LEAST, self.part * (1.0 + STEP * max(-WORST, 1.0 - line))))

    def miss(self, now: float) -> None:
        """None came, or it was turned away."""
        if now - self.cut_at >= APART_MS:  # once for all that were late together
            self.part, self.cut_at = max(LEAST, self.part * CUT), now
        self.pause = min(PAUSE_MS[1], max(PAUSE_MS[0], 2 * self.pause))
        self.call_at = now + self.pause
