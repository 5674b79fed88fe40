"""Deterministic subsetting: which backends one limiter of many sends to, decided without communication.

Of `limiters` that each see a small share of the traffic none can measure the health of many backends, and
each has to discover anew that one is bad. Each limiter therefore draws among as many backends as it
receives answers from often enough: a subset of consecutive places on one ring of all backends, which all
limiters order alike. The numbers of subsets that any two backends belong to differ by one at most, and a
subset that grows keeps its members.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar
from zlib import crc32

BACKEND_ANSWER_INTERVAL_MS = 1000.0  # between two answers of each backend of a subset, on average
MIN_SUBSET_SIZE = 6  # backends

T = TypeVar("T")


def subset_size(answer_interval_ms: float, count: int) -> int:
    """Return how many of `count` backends a limiter draws among.

    `answer_interval_ms`: mean time between its answers.
    """
    if answer_interval_ms <= 0:
        return count
    return min(count, max(MIN_SUBSET_SIZE, int(BACKEND_ANSWER_INTERVAL_MS / answer_interval_ms)))


def subset(
    backends: Sequence[T], name: Callable[[T], str], index: int, limiters: int, answer_interval_ms: float
) -> list[list[T]]:
    """Return what limiter `index` of `limiters` draws among, in order of preference: its subset of the ring,
    then all backends; all backends alone where the subset would hold as many."""
    count = len(backends)
    size = subset_size(answer_interval_ms, count)
    if size >= count:
        return [list(backends)]
    ring = sorted(backends, key=lambda backend: crc32(name(backend).encode()))
    first = index * count // limiters
    return [[ring[(first + step) % count] for step in range(size)], list(backends)]
