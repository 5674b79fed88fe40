"""Deterministic subsetting: selects the backends of each limiter without communication.

A limiter that handles a small share of the traffic can't measure the health of many backends, and each
limiter has to detect a bad backend on its own. Each limiter therefore uses only as many backends as answer it
often enough: a subset of consecutive positions on a ring of all backends, which all limiters order alike. The
numbers of subsets that any two backends belong to differ by at most one, and a subset that grows keeps its
members.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar
from zlib import crc32

BACKEND_ANSWER_INTERVAL_MS = 1000.0  # mean interval between answers of each backend of a subset
MIN_SUBSET_SIZE = 6  # backends

T = TypeVar("T")


def subset_size(answer_interval_ms: float, count: int) -> int:
    """Return how many of `count` backends are in a limiter's subset.

    `answer_interval_ms`: mean interval between all answers that the limiter receives.
    """
    if answer_interval_ms <= 0:
        return count
    return min(count, max(MIN_SUBSET_SIZE, int(BACKEND_ANSWER_INTERVAL_MS / answer_interval_ms)))


def subset(
    backends: Sequence[T], name: Callable[[T], str], index: int, limiters: int, answer_interval_ms: float
) -> list[list[T]]:
    """Return the lists of backends that limiter `index` of `limiters` chooses from, most preferred first.

    These are its subset of the ring and all backends, or only all backends if the subset would contain them
    all.
    """
    count = len(backends)
    size = subset_size(answer_interval_ms, count)
    if size >= count:
        return [list(backends)]
    ring = sorted(backends, key=lambda backend: crc32(name(backend).encode()))
    first = index * count // limiters
    return [[ring[(first + step) % count] for step in range(size)], list(backends)]
