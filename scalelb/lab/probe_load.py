"""What many limiters do together to a backend that fails, and to all of them, in virtual time.

`python -m scalelb.lab.probe_load` prints the table of `docs/overload.md`: one demand through 3 to 200
limiters.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from scalelb.lab.experiment import Fleet
from scalelb.lab.flock import Flock
from scalelb.lab.traffic import Arrival, Clients
from scalelb.policy.settings import Plan, RequestClass, Settings

PER_S, BACKENDS = 240.0, 24
SITE = Settings(
    limiter_index=0,
    limiter_count=3,
    zone=0,
    request_classes=(RequestClass(2000.0, 4000.0),),
    plans=(Plan(),),
    max_attempts=4,
    slow_start_initial_ratio=0.15,
    slow_start_ms=18_000.0,
    overload_multiple=3.0,
    overload_window_ms=1500.0,
    max_units=6.0,
    sends_retry_after=True,
    max_retry_after_ms=1000.0,
)
START_S, AFTER_S, UNTIL_S, BACK_S = 10.0, 20.0, 60.0, 100.0  # fails; counted from, to; back until
FLEET = Fleet(servers=BACKENDS, cores=8, room=60, work_ms=(60.0, 40.0))


def world(limiters: int, seed: int, seconds: float, linked: bool, per_s: float = PER_S) -> Flock:
    """Limiters with an even load of single units."""
    settings = replace(SITE, limiter_count=limiters)
    found = Flock(settings, seed=seed, linked=linked, fleet=FLEET, clients=Clients(obey=False))
    drawn, at, arrivals = random.Random(f"trials {seed}"), 0.0, list[Arrival]()
    while at < 1000.0 * seconds:
        at += drawn.expovariate(per_s) * 1000.0
        arrivals.append(Arrival(at, "x", drawn.randrange(10_000), 0, 0, 1.0, drawn.randrange(limiters)))
    found.load(arrivals)
    return found


def one_bad(limiters: int, seed: int = 1, linked: bool = False) -> dict[str, float]:
    """One backend fails everything for 50 s; what it is sent meanwhile and afterwards."""
    run = world(limiters, seed, BACK_S, linked)
    server = run.servers["deck-0"]
    run.run(1000.0 * START_S)
    before, server.fails = server.taken, True
    run.run(1000.0 * AFTER_S)
    first = server.taken
    run.run(1000.0 * UNTIL_S)
    tried, server.fails = server.taken - first, False
    usual, back = before / START_S, UNTIL_S
    for step in range(int(10 * (BACK_S - UNTIL_S))):
        count = server.taken
        run.run(1000.0 * UNTIL_S + 100.0 * (step + 1) + 0.0)
        if step % 20 == 0:
            mark = count
        if server.taken - mark >= usual / 2 * 2.0 and back == UNTIL_S:  # in 2 s, half of its usual share
            back = run.now / 1000.0
    return {
        "a second": round(tried / (UNTIL_S - AFTER_S), 2),
        "first 10 s": first - before,
        "half back after": round(back - UNTIL_S, 1) if back > UNTIL_S else -1.0,
        "failed": sum(row.verdict == "failed" for row in run.rows),
        "refused": sum(row.verdict == "refused" for row in run.rows),
    }


def all_bad(limiters: int, seed: int = 1, linked: bool = False, seconds: float = 20.0) -> dict[str, Any]:
    """Every backend fails for so long; attempts for each request then, and what is answered afterwards."""
    run = world(limiters, seed, START_S + seconds + 20.0, linked)
    run.run(1000.0 * START_S)
    before = sum(server.taken for server in run.servers.values())
    for server in run.servers.values():
        server.fails = True
    run.run(1000.0 * (START_S + seconds))
    taken = sum(server.taken for server in run.servers.values()) - before
    for server in run.servers.values():
        server.fails = False
    run.run(1000.0 * (START_S + seconds + 22.0))
    rows = [row for row in run.rows if 1000.0 * START_S <= row.at < 1000.0 * (START_S + seconds)]
    sent = sum(row.sent >= 0 for row in rows)
    late = [row for row in run.rows if row.at >= 1000.0 * (START_S + seconds)]
    good = [row.at / 1000.0 - START_S - seconds for row in late if row.verdict == "served"]
    bad = [row.at / 1000.0 - START_S - seconds for row in late if row.verdict != "served"]
    return {
        "attempts a request sent": round(taken / max(1, sent), 3),
        "attempts a request": round(taken / max(1, len(rows)), 3),
        "sent of asked": round(sent / max(1, len(rows)), 3),
        "served afterwards": round(len(good) / max(1, len(late)), 3),
        "last refused": round(max(bad, default=0.0), 1),
    }


def main() -> None:
    """The table."""
    for limiters in (3, 12, 48, 200):
        for seed in (1, 2):
            print(limiters, seed, one_bad(limiters, seed), all_bad(limiters, seed), flush=True)


if __name__ == "__main__":
    main()
