"""Handover of state from one incarnation of a limiter to its successor while it serves requests.  No I/O.

After the export the predecessor accepts no new requests. For each tenant it keeps the units that its queue
needs and hands over the rest, so that each granted unit is spent by only one of the two incarnations. It also
hands over its endpoint statistics and the entire slow-start budget.

A handover is validated like untrusted input: each number must be within its range, and malformed entries are
skipped. Its keys are a stored format, which other versions read and write; this module maps them to the names
in the code.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from math import inf, isfinite
from typing import Any, NamedTuple

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.policy.idempotency_keys import MAX_KEYS, ChargedKey
from scalelb.policy.limiter import Limiter
from scalelb.policy.outlier_detection import MAX_CONNECT_FAILURES, MAX_EJECTION_MS, TrackedEndpoint
from scalelb.policy.tenant import Tenant
from scalelb.policy.tenant_table import MAX_TENANTS

ENDED_AFTER_LATENCIES = 2.0  # mean latencies after which attempts in flight count as ended
MAX_UNITS = 1e9
MAX_AGE_MS = 120_000.0
MAX_CLOCK_SKEW_MS = 1000.0
MAX_WINDOW = 2**31 - 1
MAX_TIME_MS = 1e15
MAX_ENDPOINTS = 4096
MAX_NAME_CHARACTERS = 256
MAX_REFILL_MS = 600_000.0  # maximum time until a bucket is full again


class Range(NamedTuple):
    """The allowed values of a number in a handover."""

    minimum: float
    maximum: float

    def contains(self, value: Any) -> bool:
        """Whether `value` is a number within the range."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        return isfinite(value) and self.minimum <= value <= self.maximum


@dataclass(frozen=True)
class StoredFigure:
    """A single number of the limiter's state: its stored key, its owner, the owner's attribute, its range."""

    key: str
    owner: Callable[[Limiter], object]
    attribute: str
    range: Range

    def read(self, limiter: Limiter) -> float:
        """Return the current value."""
        value: float = getattr(self.owner(limiter), self.attribute)
        return value

    def write(self, limiter: Limiter, value: float) -> None:
        """Set the value."""
        setattr(self.owner(limiter), self.attribute, value)


FIGURES = (
    StoredFigure("usual", lambda limiter: limiter.estimates, "latency_ms", Range(0.01, 1e6)),
    StoredFigure("mean", lambda limiter: limiter.estimates, "units", Range(0.01, MAX_UNITS)),
    StoredFigure("worth", lambda limiter: limiter.shedder, "mean_precedence", Range(0.0, MAX_UNITS)),
    StoredFigure("open", lambda limiter: limiter.shedder, "admission_probability", Range(0.0, 1.0)),
    StoredFigure("ask", lambda limiter: limiter.contention, "sampling_rate", Range(0.0, 1.0)),
    StoredFigure("gap", lambda limiter: limiter.estimates, "answer_interval_ms", Range(0.0, 1e6)),
    StoredFigure("retries", lambda limiter: limiter.retries.budget, "retries", Range(0.0, 1e3)),
    StoredFigure("work", lambda limiter: limiter.selector.slow_start, "work_units", Range(0.0, 1e12)),
    StoredFigure("filled", lambda limiter: limiter.selector.slow_start, "capacity_time", Range(0.0, 1e12)),
    StoredFigure(
        "allowed", lambda limiter: limiter.selector.slow_start, "saved_units", Range(0.0, MAX_UNITS)
    ),
)
ENDPOINT_RANGES = (
    Range(-inf, inf),  # started_at
    Range(0.0, 1e7),  # latency_ms
    Range(0.0, 1.0),  # failure_ratio
    Range(0.01, 1e6),  # concurrency_limit
    Range(0.0, MAX_TIME_MS),  # updated_at
    Range(0.0, 1e9),  # answer_weight
    Range(0.0, float(MAX_CONNECT_FAILURES)),  # connect_failures
    Range(0.0, MAX_TIME_MS),  # ejected_until
)


class HandoverResult(NamedTuple):
    """The number of entries of a handover that were applied, and of those that were malformed."""

    applied: int
    malformed: int


def export_handover(limiter: Limiter, now: float) -> dict[str, Any]:
    """Return the handover at `now` (ms) and give up the units that it contains."""
    records = limiter.tenants.records
    tenants = {
        tenant.name: _export_tenant(limiter, tenant, now) for tenant in limiter.tenants.tenants.values()
    }
    handover = {
        "at": now,
        # Evicted tenants have compact records without names.  Until all of their buckets are full again, a
        # tenant that is not in the handover starts with an empty bucket.
        "given_way_until": now + _longest_refill_ms(limiter) if records.count else 0.0,
        "figures": {figure.key: figure.read(limiter) for figure in FIGURES},
        "customers": {
            name: list(record)
            for name, record in tenants.items()
            if max(record.full_at, record.in_flight_until) > now
        },
        "servers": {name: _endpoint_entry(tracked) for name, tracked in limiter.selector.endpoints.items()},
        "keys": [
            [*name, entry.until, entry.listeners]
            for name, entry in limiter.charged_keys.charged.items()
            if entry.until > now
        ],
    }
    limiter.selector.slow_start.work_units = 0.0  # send no more attempts to endpoints in slow start
    limiter.selector.slow_start.saved_units = 0.0
    records.unknown_start_empty_until = inf  # new tenants of this incarnation start with an empty bucket
    return handover


def _longest_refill_ms(limiter: Limiter) -> float:
    plans = [plan for plan in limiter.settings.plans if plan.rate_per_s]
    return max((1000 * plan.burst / plan.rate_per_s for plan in plans), default=0.0)


def _endpoint_entry(tracked: TrackedEndpoint) -> list[float]:
    return [
        tracked.endpoint.started_at,
        tracked.latency_ms,
        tracked.failure_ratio,
        tracked.concurrency_limit,
        tracked.updated_at,
        tracked.answer_weight,
        tracked.connect_failures,
        tracked.ejected_until,
    ]


def _export_tenant(limiter: Limiter, tenant: Tenant, now: float) -> TenantRecord:
    """Return the record of a tenant and keep the units that its queue needs.

    They are retained as balance as far as it covers them, and as a lease for the rest. For a bucket on the
    counter none are retained: its queue requests them from the counter.
    """
    bucket = tenant.bucket
    tenant.credit(now, limiter.leases.refills_itself())
    needed = 0.0 if bucket.is_stored_on_counter else tenant.queue.units
    retained = min(bucket.balance, needed)
    reported = 0.0
    if bucket.has_call_in_flight and not bucket.is_reading_previous_window:
        reported = bucket.call_amount - bucket.requested
    bucket.balance = bucket.balance + bucket.leased - needed
    bucket.leased = 0.0
    bucket.unreported -= reported
    record = bucket.to_record(now, limiter.leases.is_counter_available())
    bucket.balance = retained
    bucket.leased = needed - retained
    bucket.lease_credited_from = now
    bucket.unreported = reported
    if not bucket.is_stored_on_counter:
        # Otherwise both incarnations would refill the bucket while the counter is unavailable.
        bucket.plan = replace(bucket.plan, burst=0.0)
    in_flight = tenant.attempts_in_flight + len(tenant.queue.requests)
    ended_at = now
    if in_flight > 0:
        ended_at += ENDED_AFTER_LATENCIES * limiter.estimates.latency_ms
    return record._replace(in_flight=in_flight, in_flight_until=ended_at)


def apply_handover(limiter: Limiter, handover: dict[str, Any], now: float) -> HandoverResult:
    """Apply the handover of the predecessor.

    Tenants that are already known here keep their own balance, and endpoints that have restarted since keep
    their own statistics.
    """
    if not Range(now - MAX_AGE_MS, now + MAX_CLOCK_SKEW_MS).contains(handover.get("at")):
        return HandoverResult(0, 1)
    given_way_until: Any = handover.get("given_way_until")
    results = [_apply_figures(limiter, handover.get("figures"), now)]
    if Range(now, now + MAX_REFILL_MS).contains(given_way_until):
        limiter.tenants.records.unknown_start_empty_until = float(given_way_until)
    results.append(_apply_tenants(limiter, handover.get("customers"), now))
    results.append(_apply_endpoints(limiter, handover.get("servers"), now))
    results.append(_apply_keys(limiter, handover.get("keys"), now))
    return HandoverResult(
        sum(result.applied for result in results), sum(result.malformed for result in results)
    )


def _apply_figures(limiter: Limiter, figures: Any, now: float) -> HandoverResult:
    if not isinstance(figures, dict):
        return HandoverResult(0, 1)
    if not all(figure.range.contains(figures.get(figure.key)) for figure in FIGURES):
        return HandoverResult(0, 1)
    for figure in FIGURES:
        figure.write(limiter, float(figures[figure.key]))
    limiter.selector.slow_start.measured_at = now
    limiter.selector.slow_start.allowed_at = now
    return HandoverResult(1, 0)


def _apply_tenants(limiter: Limiter, entries: Any, now: float) -> HandoverResult:
    applied = malformed = 0
    for name, entry in list(entries.items())[:MAX_TENANTS] if isinstance(entries, dict) else []:
        record = _read_record(entry, now)
        if record is None or not 0 < len(name) <= MAX_NAME_CHARACTERS:
            malformed += 1
        elif name not in limiter.tenants.tenants:
            limiter.tenants.records.inherited[name] = record
            applied += 1
    return HandoverResult(applied, malformed)


def _apply_endpoints(limiter: Limiter, entries: Any, now: float) -> HandoverResult:
    applied = malformed = 0
    for name, entry in list(entries.items())[:MAX_ENDPOINTS] if isinstance(entries, dict) else []:
        if not _are_within(entry, ENDPOINT_RANGES):
            malformed += 1
            continue
        tracked = limiter.selector.endpoints.get(name)
        if tracked is not None and tracked.endpoint.started_at <= entry[0]:
            _apply_endpoint(tracked, entry, now)
            applied += 1
    return HandoverResult(applied, malformed)


def _apply_endpoint(tracked: TrackedEndpoint, entry: list[float], now: float) -> None:
    _, latency_ms, failure_ratio, limit, updated_at, answer_weight, connect_failures, ejected_until = entry
    tracked.latency_ms = float(latency_ms)
    tracked.failure_ratio = float(failure_ratio)
    tracked.concurrency_limit = float(limit)
    tracked.updated_at = min(float(updated_at), now)
    tracked.answer_weight = float(answer_weight)
    tracked.connect_failures = int(connect_failures)
    tracked.ejected_until = min(float(ejected_until), now + MAX_EJECTION_MS)


def _apply_keys(limiter: Limiter, entries: Any, now: float) -> HandoverResult:
    applied = malformed = 0
    for entry in entries[:MAX_KEYS] if isinstance(entries, list) else []:
        match entry:
            case [str(tenant), str(key), until, int(listeners)] if Range(now, now + MAX_AGE_MS).contains(
                until
            ):
                charged = ChargedKey(float(until), listeners)
                limiter.charged_keys.charged.setdefault((tenant, key), charged)
                applied += 1
            case _:
                malformed += 1
    return HandoverResult(applied, malformed)


def _read_record(entry: Any, now: float) -> TenantRecord | None:
    ranges = (
        Range(-MAX_UNITS, MAX_UNITS),  # balance
        Range(-MAX_UNITS, MAX_UNITS),  # unreported_units
        Range(-MAX_UNITS, MAX_UNITS),  # shared_balance
        Range(-MAX_TIME_MS, MAX_TIME_MS),  # counter_total
        Range(-1, MAX_WINDOW * 1e3),  # counter_window
        Range(now - MAX_AGE_MS, now + MAX_CLOCK_SKEW_MS),  # evicted_at
        Range(0.0, now + 1e9),  # full_at
        Range(0, MAX_ENDPOINTS),  # in_flight
        Range(0.0, now + 1e6),  # in_flight_until
    )
    if not _are_within(entry, ranges):
        return None
    balance, unreported, counter_balance, total, window, at, full_at, in_flight, ended_at = entry
    return TenantRecord(
        float(balance),
        float(unreported),
        float(counter_balance),
        float(total),
        int(window),
        min(float(at), now),
        float(full_at),
        int(in_flight),
        float(ended_at),
    )


def _are_within(entry: Any, ranges: tuple[Range, ...]) -> bool:
    if not isinstance(entry, list) or len(entry) != len(ranges):
        return False
    return all(allowed.contains(value) for value, allowed in zip(entry, ranges, strict=True))
