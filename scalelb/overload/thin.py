"""What one limiter of many may do without talk, so that the sum over all does not grow with their number.

Repeats. A limiter earns them with good answers and keeps few, so that in a total outage the fleet repeats
what was kept and no more: `KEPT_FLEET` over all, and one for each limiter at least.  Earned with first tries
instead, whatever became of them, 200 limiters made 1.33 attempts a request in an outage of 20 s, 3 made 1.21.

Who sends where. Of `limiters` that each see a thin part of the traffic none can tell how each of many
backends fares, and each has to find out anew that one is bad. So each draws among as many backends as it
hears of often enough, a stretch of one ring that all agree on: a backend is in as many stretches as any
other, give or take one, and a stretch that grows keeps what it had.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar
from zlib import crc32

KEPT_FLEET, KEPT_LEAST = 30.0, 1.0  # repeats kept over all limiters; by one
HEARD_MS, FEWEST = 1000.0, 6  # each backend of a stretch is heard of so often; backends in it at least

T = TypeVar("T")


def kept(limiters: int) -> float:
    """Repeats that one limiter keeps at most, in attempts."""
    return max(KEPT_LEAST, KEPT_FLEET / limiters)


def width(gap_ms: float, count: int) -> int:
    """How many of `count` backends a limiter draws among, where its answers come `gap_ms` apart."""
    return count if gap_ms <= 0 else min(count, max(FEWEST, int(HEARD_MS / gap_ms)))


def stretches(
    backends: Sequence[T], name: Callable[[T], str], index: int, limiters: int, gap_ms: float
) -> list[list[T]]:
    """What limiter `index` draws among: its stretch of the ring, and then all; all alone where that is as
    much."""
    wide, count = width(gap_ms, len(backends)), len(backends)
    if wide >= count:
        return [list(backends)]
    ring = sorted(backends, key=lambda backend: crc32(name(backend).encode()))
    first = index * count // limiters
    return [[ring[(first + step) % count] for step in range(wide)], list(backends)]
