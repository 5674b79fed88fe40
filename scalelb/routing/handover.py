"""What one life of a limiter leaves to the next, in the middle of its work.  No I/O.

The life that leaves takes nothing new from here on. Of each customer it keeps what its queue needs and gives
the rest away: what stands in the account below is no longer its own, so that the units on hand are spent by
one of the two and never by both. What it has learnt of the backends it gives as well, and the budget for cold
ones whole.

An account is read as a stranger's would be: each number within its range, a faulty entry left out.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf, isfinite
from typing import Any

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.routing.control import HOT_MOST, Gateway
from scalelb.routing.keys import KEYS_MOST
from scalelb.routing.state import Customer

OUT = 2.0  # usual latencies after which what was left out is taken to be back
UNITS, AGE_MS, WINDOWS = 1e9, 120_000.0, 2**31 - 1  # what an account may say at most
SERVERS_MOST = 4096
FILL_MS = 600_000.0  # that a store may take to be full again
# The gateway's own figures, with their ranges.
FIGURES = {
    "usual": (0.01, 1e6), "mean": (0.01, UNITS), "worth": (0.0, UNITS), "open": (0.0, 1.0), "ask": (0.0, 1.0),
    "gap": (0.0, 1e6), "retries": (0.0, 1e3), "work": (0.0, 1e12), "filled": (0.0, 1e12),
    "allowed": (0.0, UNITS),
}  # fmt: skip
# Of a server: latency, failing, limit, marked, heard, misses, down.
MARKS = ((0.0, 1e7), (0.0, 1.0), (0.01, 1e6), (0.0, 1e15), (0.0, 1e9), (0.0, 8.0), (0.0, 1e15))


def take_out(gateway: Gateway, now: float) -> dict[str, Any]:
    """The account; what it says is given away."""
    gateway.now = now
    customers = {c.name: _leave(gateway, c, now) for c in gateway.customers.values()}
    servers = {
        s.info.name: [s.info.started_at, s.latency, s.failing, s.limit, s.marked, s.heard, s.misses, s.down]
        for s in gateway.servers.values()
    }
    figures = {name: getattr(gateway, name) for name in FIGURES}
    plans = [plan for plan in gateway.settings.plans if plan.rate_per_s]
    fill_ms = max((1000 * plan.burst / plan.rate_per_s for plan in plans), default=0.0)
    account = {
        "at": now,
        # Those let go have compact records, which name nobody: until all of them are full again, whoever is
        # not in the account begins with an empty store.
        "given_way_until": now + fill_ms if gateway.records.count else 0.0,
        "figures": figures,
        "customers": {n: list(r) for n, r in customers.items() if max(r.full_at, r.in_flight_until) > now},
        "servers": servers,
        "keys": [[*name, until, doors] for name, (until, doors) in gateway.keys.known.items() if until > now],
    }
    gateway.work = gateway.allowed = 0.0  # nothing more to cold servers from here
    gateway.records.unknown_start_empty_until = inf  # and no share to who comes to this life from here on
    return account


def _leave(gateway: Gateway, c: Customer, now: float) -> TenantRecord:
    gateway._credit(c, now)
    # What the queue needs is its own, come or still to come; a shared store's queue asks the counter for it.
    queued = 0.0 if c.shared else c.queued
    keep = min(c.balance, queued)
    under_way = c.amount - c.asked if c.calling and not c.reading else 0.0
    c.balance, c.block, c.unreported = c.balance + c.block - queued, 0.0, c.unreported - under_way
    record = c.record(now, gateway.backoff > 0)
    c.balance, c.block, c.ready, c.unreported = keep, queued - keep, now, under_way
    # Guards the quota while the counter is silent: both lives would else credit the rate.
    c.plan = c.plan if c.shared else replace(c.plan, burst=0.0)
    out = c.out + len(c.queue)
    return record._replace(in_flight=out, in_flight_until=now + OUT * gateway.usual * (out > 0))


def take_in(gateway: Gateway, account: dict[str, Any], now: float) -> tuple[int, int]:
    """Go on where the life before has ended.  Customers and servers that were taken over, entries that could
    not be read.  Whoever is known here by now has its own account already."""
    taken = faulty = 0
    at = account.get("at")
    if not _within(at, now - AGE_MS, now + 1000.0):
        return 0, 1
    figures = account.get("figures")
    if isinstance(figures, dict) and all(_within(figures.get(n), *r) for n, r in FIGURES.items()):
        for name in FIGURES:
            setattr(gateway, name, float(figures[name]))
        gateway.measured = gateway.allowed_at = now
        taken += 1
    else:
        faulty += 1
    until: Any = account.get("given_way_until")
    if _within(until, now, now + FILL_MS):
        gateway.records.unknown_start_empty_until = float(until)
    customers = account.get("customers")
    for name, entry in list(customers.items())[:HOT_MOST] if isinstance(customers, dict) else []:
        record = _record(entry, now)
        if record is None or not 0 < len(name) <= 256:
            faulty += 1
        elif name not in gateway.customers:
            gateway.records.inherited[name] = record
            taken += 1
    servers = account.get("servers")
    for name, entry in list(servers.items())[:SERVERS_MOST] if isinstance(servers, dict) else []:
        if not _all_within(entry, ((-inf, inf), *MARKS)):
            faulty += 1
        elif (s := gateway.servers.get(name)) is not None and s.info.started_at <= entry[0]:
            s.latency, s.failing, s.limit, s.marked, s.heard = map(float, entry[1:6])
            s.marked, s.misses, s.down = min(s.marked, now), int(entry[6]), min(float(entry[7]), now + 8000.0)
            taken += 1
    keys = account.get("keys")
    for entry in keys[:KEYS_MOST] if isinstance(keys, list) else []:
        match entry:
            case [str(customer), str(key), until, int(doors)] if _within(until, now, now + AGE_MS):
                gateway.keys.known.setdefault((customer, key), (float(until), doors))
                taken += 1
            case _:
                faulty += 1
    return taken, faulty


def _record(entry: Any, now: float) -> TenantRecord | None:
    bounds = (
        (-UNITS, UNITS), (-UNITS, UNITS), (-UNITS, UNITS), (-1e15, 1e15), (-1, WINDOWS * 1e3),
        (now - AGE_MS, now + 1000.0), (0.0, now + 1e9), (0, 4096), (0.0, now + 1e6),
    )  # fmt: skip
    if not _all_within(entry, bounds):
        return None
    balance, unreported, store, total, window, at, full_at, out, until = entry
    return TenantRecord(
        float(balance), float(unreported), float(store), float(total), int(window), min(float(at), now),
        float(full_at), int(out), float(until),
    )  # fmt: skip


def _all_within(entry: Any, bounds: tuple[tuple[float, float], ...]) -> bool:
    whole = isinstance(entry, list) and len(entry) == len(bounds)
    return whole and all(_within(value, *bound) for value, bound in zip(entry, bounds, strict=True))


def _within(value: Any, least: float, most: float) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isfinite(value) and least <= value <= most
