"""Traffic: the requests of all clients with their times, drawn in advance from a seed or read from a file.

The load is open: the time of a request does not depend on how earlier ones fared, except for retries of
clients that obey Retry-After.
"""

from __future__ import annotations

import csv
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf
from pathlib import Path

import numpy as np

CUSTOMER_LIMIT = 2**33  # ids of tenants are below


@dataclass(frozen=True)
class TenantGroup:
    """Tenants of one plan with the same behaviour: the rate of each, and the requests they send."""

    name: str
    per_s: float  # requests per second of each tenant
    plan: int = 0
    count: int = 1
    units: Sequence[float] = (1.0, 2.0, 3.0)
    kinds: Sequence[int] = (0,)  # request classes
    from_ms: float = 0.0
    until_ms: float = inf
    renames: bool = False  # whether each request comes from a new tenant id


@dataclass(frozen=True)
class Clients:
    """How clients behave."""

    obey: bool = True  # whether clients retry after the time in Retry-After, and mark the request as a retry
    tries: int = 2  # requests at most, including the first
    stray: float = 0.0  # ratio of the retries that go to a random limiter
    jitter_ms: float = 2.0  # longest delay of a retry after the time in Retry-After


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that is not a retry."""

    at_ms: float  # from the start
    group: str
    customer: int
    plan: int
    kind: int
    units: float
    limiter: int


def draw(groups: Iterable[TenantGroup], ms: float, limiters: int, seed: int) -> list[Arrival]:
    """Draw all requests of a period, in the order of time.

    Each group of tenants has a random stream of its own, so that leaving one out changes nothing for the
    others.
    """
    arrivals: list[Arrival] = []
    number = 1
    for group in groups:
        name_words = np.frombuffer(group.name.encode().ljust(32, b"\0")[:32], dtype=np.uint32)
        stream = np.random.default_rng([seed, *(int(word) for word in name_words)])
        for _ in range(group.count):
            number += 1
            begin, end = group.from_ms, min(ms, group.until_ms)
            count = int(stream.poisson(group.per_s * max(0.0, end - begin) / 1000.0))
            times = np.sort(stream.uniform(begin, end, count))
            units = stream.choice(np.asarray(group.units, dtype=float), count)
            kinds = stream.choice(np.asarray(group.kinds, dtype=int), count)
            chosen_limiters = stream.integers(0, limiters, count)
            for index in range(count):
                customer = number if not group.renames else 2**32 + number * 100_000 + index
                arrivals.append(
                    Arrival(
                        float(times[index]), group.name, customer, group.plan, int(kinds[index]),
                        float(units[index]), int(chosen_limiters[index]),
                    )
                )  # fmt: skip
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


class RecordedDayError(ValueError):
    """A recorded day that can't be read; the message names the line."""


def read_recorded_day(
    path: Path, plans: Sequence[str], kinds: Sequence[str], limiters: int, speed: float = 1.0
) -> list[Arrival]:
    """Read a recorded day: a CSV table with the columns at_ms, customer (hex), plan, class and units."""
    arrivals = []
    with path.open(newline="") as file:
        for line, row in enumerate(csv.DictReader(file), 2):
            try:
                customer, units, at_ms = int(row["customer"], 16), float(row["units"]), float(row["at_ms"])
                plan, kind = plans.index(row["plan"]), kinds.index(row["class"])
            except (KeyError, ValueError, TypeError) as error:
                raise RecordedDayError(f"{path.name}, line {line}: {error}") from None
            if not (0 < customer < CUSTOMER_LIMIT and 0 < units < 1e6 and 0 <= at_ms < 1e9):
                raise RecordedDayError(f"{path.name}, line {line}: customer, units or at_ms is out of range")
            limiter = line % limiters
            arrivals.append(Arrival(at_ms / speed, row["plan"], customer, plan, kind, units, limiter))
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)
