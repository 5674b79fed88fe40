"""How much is let in at once, learnt from the fleet's answers, so that the queue forms at the door.

The gradient of latency decides (after "gradient2" of adaptive concurrency limiters): each answer's latency
is held against what that same server takes at ease, with next to nothing else there.  Against one base for
the whole fleet a limit is strangled as soon as slower servers come into use (`docs/fairness.md` has the
figures, and those of AIMD and Vegas).  While answers take little longer than at ease, the limit grows by a
part of its root; as they take longer it shrinks in proportion.  It is reckoned anew once in the time that
an answer takes: what is let in now tells only then.
"""

from __future__ import annotations

from math import sqrt

ROUND_MS = 50.0  # the least time, and
ROUND = 8  # the least answers, between two reckonings
AT_EASE = 0.05  # load of a server, beside the request, up to which it is at ease: of all sizes alike
MEMORY, SHARED = 20, 4  # answers at ease that a base remembers; what the fleet's counts for in each
GROWTH = 0.25  # times the root of the limit: what it grows by in one
CLEAR = 1.3  # stretch at which a limit shrinks though little is out: others load the fleet too
DOWN = 0.5  # of the way down in one reckoning
FAILED_CUT = 0.9  # of the limit, in a round with a time-out or a full server
SERVERS_MOST = 1024  # whose base is remembered


class GradientLimit:
    """A limit on the requests that are out at once.  Requests, not units: a core serves one at a time."""

    def __init__(self, start: float, least: float, most: float, tolerance: float) -> None:
        self.limit, self.least, self.most = start, least, most
        self.tolerance = tolerance  # times what it takes at ease: up to there the limit grows
        self.bases: dict[str, tuple[float, int]] = {}  # by server: latency at ease, and answers; newest last
        self.fleet: tuple[float, int] = (0.0, 0)  # the same of all
        self.stretch = 1.0  # how much longer answers took than at ease, in the last round
        self.began = 0.0  # when this round did
        self.count = self.failed = 0
        self.stretches = self.latencies = self.out_most = 0.0

    def ended(self, now: float, server: str, latency_ms: float, load: float, out: float, good: bool) -> None:
        """One answer.  `latency_ms` is scaled to a mean request; `load` is what the server had of us beside
        it when it was sent, in mean requests; `out` the requests out now."""
        if good and load <= AT_EASE:
            self.bases[server] = _mean(self.bases.pop(server, (0.0, 0)), latency_ms)
            self.fleet = _mean(self.fleet, latency_ms)
            if len(self.bases) > SERVERS_MOST:  # guards the memory: servers come and go
                del self.bases[next(iter(self.bases))]
        self.out_most = max(self.out_most, out)
        self.failed += not good
        if good and self.fleet[1]:
            self.count += 1
            self.stretches += latency_ms / max(self.base(server), 1e-9)
            self.latencies += latency_ms
        enough = self.count >= ROUND or (self.failed and not self.count)
        usual = self.latencies / self.count if self.count else 0.0
        if enough and now - self.began >= max(ROUND_MS, usual):
            self._reckon()
            self.began, self.count, self.failed = now, 0, 0
            self.stretches = self.latencies = self.out_most = 0.0

    def base(self, server: str) -> float:
        """Latency of a mean request at ease.  Guards a base against the few answers it may rest on: under
        load there are no more of them."""
        base, count = self.bases.get(server, (0.0, 0))
        return (count * base + SHARED * self.fleet[0]) / (count + SHARED)

    def _reckon(self) -> None:
        if self.count:
            self.stretch = self.stretches / self.count
        gradient = max(0.5, min(1.0, self.tolerance / max(self.stretch, 1e-9)))
        wanted = self.limit * gradient * (FAILED_CUT if self.failed else 1.0) + GROWTH * sqrt(self.limit)
        if self.out_most < self.limit / 2 and (wanted > self.limit or self.stretch < CLEAR):
            return  # nothing was learnt about more, and nothing speaks for less
        self.limit = wanted if wanted > self.limit else self.limit + DOWN * (wanted - self.limit)
        self.limit = max(self.least, min(self.most, self.limit))


def _mean(known: tuple[float, int], value: float) -> tuple[float, int]:
    mean, count = known
    count = min(MEMORY, count + 1)
    return mean + (value - mean) / count, count
