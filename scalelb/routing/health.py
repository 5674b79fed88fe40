"""What one limiter makes of a server's answers.  Pure arithmetic on its record; `control.py` decides.

A limiter among many sends a server little: an answer in several seconds. What it learns must weigh as much
as it is worth, one answer of one, and must last until the next could come; else each of 40 limiters finds
the same bad server out anew, again and again. Where answers are many both fall back to a running average
with a short memory.
"""

from __future__ import annotations

from math import exp

from scalelb.policy.events import Outcome
from scalelb.routing.state import Server

WEIGHT, PRIOR = 0.2, 1.5  # of the newest answer at least; answers that the usual latency counts for
RECOVER_MS, LOOKS = 5000.0, 2.0  # marks fade in this time, or in that in which so many answers come
FAIL_COST, DOWN_COST = 8.0, 1000.0  # a server that always fails, or can't be reached, looks so much slower
KEPT = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)  # outcomes that leave the connection open
DOWN_MS = 500.0, 8000.0  # that one which can't be reached is left out: at first, doubled each time, at most
LEAST_LIMIT = 0.2  # mean requests out at a server, at least
GROW_BELOW = 0.2  # of the aim: a good answer within it lets the concurrency limit grow
CUT_ABOVE = 0.3  # of the aim: a slower answer cuts the limit
LIMIT_CUT = 0.7  # factor of one cut
CUT_APART = 0.25  # of the aim: the least time between two cuts


def memory(gap_ms: float, servers: int) -> float:
    """How long (ms) a mark lasts where answers of all servers come `gap_ms` apart."""
    return max(RECOVER_MS, LOOKS * gap_ms * servers)


def judge(s: Server, now: float, outcome: Outcome, latency: float, usual: float, lasts: float) -> None:
    """One account for every trouble: late, failing and silent look slow; unreachable ones are left out."""
    fade, s.marked = exp((s.marked - now) / lasts), now
    s.heard = s.heard * fade + 1
    weight = max(WEIGHT, 1 / (s.heard + PRIOR))
    old = usual + (s.latency - usual) * fade
    s.latency = old + weight * (latency - old)
    s.failing = s.failing * fade * (1 - weight) + weight * (outcome is not Outcome.OK)
    s.goods = s.goods + 1 if outcome is Outcome.OK else 0
    s.misses = min(s.misses + 1, 8) if outcome is Outcome.CONNECT_FAILED else 0
    if outcome in KEPT:
        s.ready, s.used = s.ready + 1, now
    s.down = now + min(DOWN_MS[1], DOWN_MS[0] * 2 ** (s.misses - 1)) if s.misses else 0.0


def free(s: Server, now: float, idle_ms: float) -> int:
    """How many connections to it should be open and free; those that have rested for `idle_ms` are closed."""
    return s.ready if now - s.used < idle_ms else 0


def sent(s: Server, now: float, idle_ms: float) -> None:
    """An attempt goes to it: on a free connection, if one is left, else on a new one."""
    s.ready = max(0, free(s, now, idle_ms) - 1)


def looks(
    s: Server, now: float, usual: float, lasts: float, tried: str, idle_ms: float = 0.0, opening: float = 0.0
) -> float:
    """How slow (ms) it is to be taken for; `opening`: what a new connection costs, as time."""
    fade = exp((s.marked - now) / lasts)
    failing = s.failing * fade + (s.info.name == tried)
    slow = (usual + (s.latency - usual) * fade) * (1 + FAIL_COST * failing)
    slow += 0.0 if free(s, now, idle_ms) else opening
    return slow * (DOWN_COST if now < s.down else 1.0)


def adapt_limit(s: Server, now: float, good: bool, elapsed_ms: float, aim_ms: float) -> None:
    """Adapt the concurrency limit of a server (mean requests) to one answer: additive increase while quick
    answers use at least half of it, multiplicative decrease after a failure or a slow answer."""
    if good and elapsed_ms < GROW_BELOW * aim_ms:
        if s.load + 1 > s.limit / 2:
            s.limit += 1 / max(1.0, s.limit)
    elif (not good or elapsed_ms > CUT_ABOVE * aim_ms) and now - s.cut > CUT_APART * aim_ms:
        s.limit, s.cut = max(LEAST_LIMIT, s.limit * LIMIT_CUT), now


def renew(s: Server, usual: float, limit: float) -> None:
    """It has started anew: nothing of it is known."""
    s.latency, s.failing, s.limit, s.heard, s.misses, s.down, s.ready = usual, 0.0, limit, 0.0, 0, 0.0, 0
    s.goods = 0


def trust(s: Server, usual: float) -> None:
    """Another limiter has found it good again: what was held against it here is over."""
    s.latency, s.failing, s.heard, s.misses, s.down = min(s.latency, usual), 0.0, 0.0, 0, 0.0
