"""The load that many limiters together put on one failing backend, and on all of them, in virtual time.

`python -m scalelb.lab.probe_load` prints the table of `docs/overload.md`: the same load through 3 to 200
limiters.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from scalelb.lab.experiment import Fleet
from scalelb.lab.simulated_cluster import SimulatedCluster
from scalelb.lab.traffic import Arrival, Clients
from scalelb.policy.settings import Plan, RequestClass, Settings

REQUESTS_PER_S, BACKENDS = 240.0, 24
LIMITER_SETTINGS = Settings(
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
# A single backend fails from `FAILS_AT_S` to `RECOVERS_AT_S`.  Its attempts are counted from
# `MEASURED_FROM_S` on, and its recovery is observed until `END_S`.
FAILS_AT_S, MEASURED_FROM_S, RECOVERS_AT_S, END_S = 10.0, 20.0, 60.0, 100.0
FLEET = Fleet(servers=BACKENDS, cores=8, room=60, work_ms=(60.0, 40.0))


def create_cluster(
    limiters: int, seed: int, duration_s: float, linked: bool, requests_per_s: float = REQUESTS_PER_S
) -> SimulatedCluster:
    """Create limiters with an even load of requests of one unit."""
    settings = replace(LIMITER_SETTINGS, limiter_count=limiters)
    cluster = SimulatedCluster(settings, seed=seed, linked=linked, fleet=FLEET, clients=Clients(obey=False))
    rng, arrives_at, arrivals = random.Random(f"trials {seed}"), 0.0, list[Arrival]()
    while arrives_at < 1000.0 * duration_s:
        arrives_at += rng.expovariate(requests_per_s) * 1000.0
        arrivals.append(Arrival(arrives_at, "x", rng.randrange(10_000), 0, 0, 1.0, rng.randrange(limiters)))
    cluster.load(arrivals)
    return cluster


def fail_one_backend(limiters: int, seed: int = 1, linked: bool = False) -> dict[str, float]:
    """Let one backend fail all requests for 50 s; measure the attempts it gets meanwhile and afterwards."""
    cluster = create_cluster(limiters, seed, END_S, linked)
    server = cluster.servers["deck-0"]
    cluster.run(1000.0 * FAILS_AT_S)
    received_before, server.is_failing = server.received, True
    cluster.run(1000.0 * MEASURED_FROM_S)
    received_at_start = server.received
    cluster.run(1000.0 * RECOVERS_AT_S)
    attempts, server.is_failing = server.received - received_at_start, False
    usual_per_s, half_load_at_s = received_before / FAILS_AT_S, RECOVERS_AT_S
    for step in range(int(10 * (END_S - RECOVERS_AT_S))):
        received = server.received
        cluster.run(1000.0 * RECOVERS_AT_S + 100.0 * (step + 1) + 0.0)
        if step % 20 == 0:
            window_start = received
        # The load has returned when the backend gets half of its usual attempts in a window of 2 s.
        if server.received - window_start >= usual_per_s / 2 * 2.0 and half_load_at_s == RECOVERS_AT_S:
            half_load_at_s = cluster.now / 1000.0
    return {
        "a second": round(attempts / (RECOVERS_AT_S - MEASURED_FROM_S), 2),
        "first 10 s": received_at_start - received_before,
        "half back after": (
            round(half_load_at_s - RECOVERS_AT_S, 1) if half_load_at_s > RECOVERS_AT_S else -1.0
        ),
        "failed": sum(row.verdict == "failed" for row in cluster.rows),
        "refused": sum(row.verdict == "refused" for row in cluster.rows),
    }


def fail_all_backends(
    limiters: int, seed: int = 1, linked: bool = False, outage_s: float = 20.0
) -> dict[str, Any]:
    """Let all backends fail all requests; measure attempts per request, and the answers afterwards."""
    cluster = create_cluster(limiters, seed, FAILS_AT_S + outage_s + 20.0, linked)
    cluster.run(1000.0 * FAILS_AT_S)
    received_before = sum(server.received for server in cluster.servers.values())
    for server in cluster.servers.values():
        server.is_failing = True
    cluster.run(1000.0 * (FAILS_AT_S + outage_s))
    attempts = sum(server.received for server in cluster.servers.values()) - received_before
    for server in cluster.servers.values():
        server.is_failing = False
    cluster.run(1000.0 * (FAILS_AT_S + outage_s + 22.0))
    during = [row for row in cluster.rows if 1000.0 * FAILS_AT_S <= row.at < 1000.0 * (FAILS_AT_S + outage_s)]
    forwarded = sum(row.sent >= 0 for row in during)
    after = [row for row in cluster.rows if row.at >= 1000.0 * (FAILS_AT_S + outage_s)]
    served = [row.at / 1000.0 - FAILS_AT_S - outage_s for row in after if row.verdict == "served"]
    not_served = [row.at / 1000.0 - FAILS_AT_S - outage_s for row in after if row.verdict != "served"]
    return {
        "attempts a request sent": round(attempts / max(1, forwarded), 3),
        "attempts a request": round(attempts / max(1, len(during)), 3),
        "sent of asked": round(forwarded / max(1, len(during)), 3),
        "served afterwards": round(len(served) / max(1, len(after)), 3),
        "last refused": round(max(not_served, default=0.0), 1),
    }


def main() -> None:
    """Print the table."""
    for count in (3, 12, 48, 200):
        for seed in (1, 2):
            print(count, seed, fail_one_backend(count, seed), fail_all_backends(count, seed), flush=True)


if __name__ == "__main__":
    main()
