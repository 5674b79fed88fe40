"""How much is let in at once, learnt from the fleet's answers, so that the queue forms at the door.

The gradient of latency decides (after "gradient2" of adaptive concurrency limiters): while answers take as
long as they usually do when little is out, the limit grows by the root of itself; as they take longer it
shrinks in proportion.  AIMD and Vegas were weighed beside it (`docs/fairness.md`, `scalelb/lab/rivals.py`).
"""

from __future__ import annotations

from math import exp, sqrt

TOLERANCE = 1.3  # latency over the base that is still at ease
FAST_MS, SLOW_MS = 250.0, 20_000.0  # memories of the latency now and of the base
SMOOTH = 0.1  # of each new reckoning
FAILED_CUT, CUT_EVERY_MS = 0.95, 50.0  # of the limit at a time-out or a full server
RISE_MS = 30_000.0  # in which a base that is too low comes up to what is seen


class GradientLimit:
    """A limit in units on what is out at once."""

    def __init__(self, start: float, least: float, most: float) -> None:
        self.limit, self.least, self.most = start, least, most
        self.now_ms = self.base_ms = 0.0  # latency of a mean request lately, and at ease
        self.at = self.cut_at = 0.0

    def ended(self, now: float, latency_ms: float, out: float, good: bool) -> None:
        """One answer.  `latency_ms` is scaled to a mean request, `out` the units that were out with it."""
        if not good:
            if now - self.cut_at >= CUT_EVERY_MS:
                self.limit, self.cut_at = max(self.least, self.limit * FAILED_CUT), now
            return
        passed, self.at = max(0.0, now - self.at), now
        if not self.base_ms:
            self.now_ms = self.base_ms = latency_ms
            return
        weight = 1.0 - exp(-max(passed, 1.0) / FAST_MS)
        self.now_ms += weight * (latency_ms - self.now_ms)
        # The base follows what is quick at once, what is slow over half a minute.
        if self.now_ms < self.base_ms:
            self.base_ms += (1.0 - exp(-max(passed, 1.0) / 1000.0)) * (self.now_ms - self.base_ms)
        else:
            self.base_ms += (1.0 - exp(-passed / RISE_MS)) * (self.now_ms - self.base_ms)
        gradient = max(0.5, min(1.0, TOLERANCE * self.base_ms / max(self.now_ms, 1e-9)))
        if gradient >= 1.0 and out < self.limit / 2:  # guards the limit: nothing was learnt about more
            return
        wanted = self.limit * gradient + sqrt(self.limit)
        self.limit += SMOOTH * (wanted - self.limit)
        self.limit = max(self.least, min(self.most, self.limit))
