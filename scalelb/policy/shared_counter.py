"""A token bucket whose balance is stored on the shared counter.  Pure arithmetic, no I/O.

A tenant's requests may come through so many limiters that each limiter receives less than one request of a
burst. Then units leased by one limiter are lost to the others, and no limiter can derive the balance from its
own calls: between two of them the other limiters have taken units and the rate has refilled the bucket. The
balance is therefore derived from a number of the counter. Each key of the counter belongs to one tenant and
one time window. Its total is the number of units taken since the window started, and `burst + rate x time -
total` is the balance, which is the same at every limiter. When the bucket has overflowed, the limiter that
detects it adds the overflow to the total.
"""

from __future__ import annotations

from hashlib import blake2b
from zlib import crc32

from scalelb.policy.settings import Plan, Settings
from scalelb.policy.token_bucket import UNITS_TOLERANCE, TokenBucket

WINDOW_MS = 30_000.0  # time window of one key
KEY_RETENTION_MS = 60_000.0  # time for which the counter stores a key
MAX_OVERFLOW_RATIO = 1.0  # ratio of the burst; an overflow is removed when it is larger
# Units of a bucket that are never granted: they cover requests that are sent just before the rate has
# refilled their units.
MAX_UNGRANTED_UNITS = 0.5
MAX_UNGRANTED_RATIO = 0.25  # maximum of these units as a ratio of the burst


def initial_mean_units(settings: Settings) -> float:
    """Return the expected units of a request before the first answer reports true units."""
    return max(1.0, settings.max_units / 2)


def is_stored_on_counter(plan: Plan, sharing_limiters: int, settings: Settings) -> bool:
    """Whether the tenant's bucket is stored on the counter: one mean request at each limiter would empty it.

    Depends only on the settings and the number of sharing limiters, so that all limiters decide the same.
    """
    if not settings.has_counter or plan.rate_per_s <= 0:
        return False
    return sharing_limiters * initial_mean_units(settings) > plan.burst > 0


def window_at(tenant: str, now: float) -> tuple[int, float]:
    """Return the number of the tenant's window at `now` (ms) and the time (ms) at which it started.

    Each tenant's windows have their own phase: otherwise all windows would change at the same time and
    overload the counter.
    """
    number = int((now + _phase_ms(tenant)) // WINDOW_MS)
    return number, window_start(tenant, number)


def window_start(tenant: str, number: int) -> float:
    """Return the time (ms) at which a tenant's window starts."""
    return number * WINDOW_MS - _phase_ms(tenant)


def _phase_ms(tenant: str) -> int:
    return crc32(tenant.encode()) % int(WINDOW_MS)


def counter_key(tenant: str, window: int) -> int:
    """Return the counter's key for a tenant's window."""
    return int.from_bytes(blake2b(f"{tenant} {window}".encode(), digest_size=7).digest(), "big")


def grantable_burst(plan: Plan) -> float:
    """Return the units that a full bucket grants."""
    return plan.burst - min(MAX_UNGRANTED_UNITS, plan.burst * MAX_UNGRANTED_RATIO)


def remaining_units(plan: Plan, window_started_at: float, now: float, total: float) -> float:
    """Return the units in the bucket at `now` if `total` units were taken since the window started.

    A result above `grantable_burst` means that the bucket has overflowed.
    """
    elapsed_ms = max(0.0, now - window_started_at)
    return grantable_burst(plan) + plan.rate_per_s * elapsed_ms / 1000 - total


def must_read_previous_window(bucket: TokenBucket, total: float) -> bool:
    """Whether no other limiter has added to this window yet, so that the previous one must be read first."""
    is_unread = bucket.is_window_unread
    bucket.is_window_unread = False
    if is_unread and bucket.is_stored_on_counter and total <= bucket.call_amount + UNITS_TOLERANCE:
        bucket.is_reading_previous_window = True
        bucket.counter_total = total
        return True
    return False


def carry_over(bucket: TokenBucket, previous_total: float) -> float:
    """Return the new window's total plus the units that the bucket lacked when the previous window ended.

    The missing units are added to the new window as if they had been taken there; otherwise each new window
    would grant another burst.
    """
    bucket.is_reading_previous_window = False
    started_at = window_start(bucket.tenant, bucket.counter_window)
    remaining = remaining_units(bucket.plan, started_at - WINDOW_MS, started_at, previous_total)
    missing = max(0.0, grantable_burst(bucket.plan) - remaining)
    bucket.unreported += missing
    return bucket.counter_total + missing


def counter_balance_at_answer(bucket: TokenBucket, now: float, total: float) -> float:
    """Return the units in the bucket before the call's request is granted, and remove an overflow.

    The units of the same call that report grants, return units or remove an overflow are included; only the
    requested units are not.
    """
    started_at = window_start(bucket.tenant, bucket.counter_window)
    balance = remaining_units(bucket.plan, started_at, now, total) + bucket.requested
    burst = grantable_burst(bucket.plan)
    overflow = bucket.overflow
    bucket.overflow = 0.0
    # Two limiters that detect the same overflow both remove it; early in a window it is all that the rate has
    # added since the window started.  A limiter that then finds the balance too low restores its own part;
    # otherwise the tenant would lose these units.
    if overflow and burst - balance > overflow / 2:
        bucket.unreported -= overflow
        return burst
    if balance - burst > MAX_OVERFLOW_RATIO * bucket.plan.burst:
        bucket.overflow = balance - burst
        bucket.unreported += bucket.overflow
    return balance
