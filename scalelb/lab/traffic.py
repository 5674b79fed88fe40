"""Who asks for what and when: drawn ahead from a seed, or read from a recorded evening.

Load is open: when a request comes never depends on how earlier ones fared, but for clients that come back
when told.
"""

from __future__ import annotations

import csv
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf
from pathlib import Path

import numpy as np

CUSTOMER_MOST = 2**33


@dataclass(frozen=True)
class TenantGroup:
    """Some centers of one plan that ask alike: how many requests a second each, and what they are."""

    name: str
    per_s: float
    plan: int = 0
    count: int = 1
    units: Sequence[float] = (1.0, 2.0, 3.0)
    kinds: Sequence[int] = (0,)
    from_ms: float = 0.0
    until_ms: float = inf
    renames: bool = False  # asks under a new name each time


@dataclass(frozen=True)
class Clients:
    """How clients behave."""

    obey: bool = True  # come back when told, marked as a retry
    tries: int = 2
    stray: float = 0.0  # part of the retries that come through another limiter of the set
    jitter_ms: float = 2.0  # later than told


@dataclass(frozen=True, slots=True)
class Arrival:
    """One first try."""

    at_ms: float  # from the start
    group: str
    customer: int
    plan: int
    kind: int
    units: float
    limiter: int


def draw(tenants: Iterable[TenantGroup], ms: float, limiters: int, seed: int) -> list[Arrival]:
    """All first tries of so much time, in order.  Each group of centers has a random stream of its own, so
    that leaving one out changes nothing for the others."""
    found: list[Arrival] = []
    number = 1
    for tenant in tenants:
        named = np.frombuffer(tenant.name.encode().ljust(32, b"\0")[:32], dtype=np.uint32)
        stream = np.random.default_rng([seed, *(int(word) for word in named)])
        for _ in range(tenant.count):
            number += 1
            begin, end = tenant.from_ms, min(ms, tenant.until_ms)
            count = int(stream.poisson(tenant.per_s * max(0.0, end - begin) / 1000.0))
            times = np.sort(stream.uniform(begin, end, count))
            units = stream.choice(np.asarray(tenant.units, dtype=float), count)
            kinds = stream.choice(np.asarray(tenant.kinds, dtype=int), count)
            through = stream.integers(0, limiters, count)
            for place in range(count):
                name = number if not tenant.renames else 2**32 + number * 100_000 + place
                found.append(
                    Arrival(
                        float(times[place]), tenant.name, name, tenant.plan, int(kinds[place]),
                        float(units[place]), int(through[place]),
                    )
                )  # fmt: skip
    return sorted(found, key=lambda a: a.at_ms)


class RecordedDayError(ValueError):
    """A recorded evening that can't be read; the message names the line."""


def read_recorded_day(
    path: Path, plans: Sequence[str], kinds: Sequence[str], limiters: int, speed: float = 1.0
) -> list[Arrival]:
    """A recorded evening: a table with the columns at_ms, customer (hex), plan, class, units."""
    found = []
    with path.open(newline="") as file:
        for line, row in enumerate(csv.DictReader(file), 2):
            try:
                customer, units, at = int(row["customer"], 16), float(row["units"]), float(row["at_ms"])
                plan, kind = plans.index(row["plan"]), kinds.index(row["class"])
            except (KeyError, ValueError, TypeError) as error:
                raise RecordedDayError(f"{path.name}, line {line}: {error}") from None
            if not (0 < customer < CUSTOMER_MOST and 0 < units < 1e6 and 0 <= at < 1e9):
                raise RecordedDayError(f"{path.name}, line {line}: a figure is out of range")
            through = line % limiters
            found.append(Arrival(at / speed, row["plan"], customer, plan, kind, units, through))
    return sorted(found, key=lambda a: a.at_ms)
