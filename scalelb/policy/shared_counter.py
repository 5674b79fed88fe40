"""A token bucket that many limiters keep on the shared counter.  Pure arithmetic.

Where a tenant comes through so many limiters that each sees less than one request of a burst, no limiter can
hold a lease without stranding it, and none can tell from its own calls what the bucket holds: between two of
them the others have used it and the rate has refilled it. So the bucket is the counter's own number. A key of
the counter is a tenant's window of time; its total is what was taken since the window began, and `burst +
rate x time - total` is what is left, the same at every limiter. What has overflowed in the meantime is added
to the number by whichever limiter sees it.
"""

from __future__ import annotations

from hashlib import blake2b
from zlib import crc32

from scalelb.policy.settings import Plan, Settings
from scalelb.policy.token_bucket import UNITS_TOLERANCE, TokenBucket

WINDOW_MS = 30_000.0  # of one key
KEY_RETENTION_MS = 60_000.0  # how long the counter remembers a key
OVERFLOW_RATIO = 1.0  # of the burst: an overflow is taken off once it is so much
MAX_UNGRANTED_UNITS = 0.5  # units never granted: they cover what is sent just before the rate has covered it
MAX_UNGRANTED_RATIO = 0.25  # of the burst


def initial_mean_units(settings: Settings) -> float:
    """Return the units to expect of a request before any answer has told."""
    return max(1.0, settings.max_units / 2)


def is_kept_on_counter(plan: Plan, sharing_limiters: int, settings: Settings) -> bool:
    """Whether the limiters of a tenant keep one bucket: a mean request at each would empty it.

    Follows from the settings and the tenant's number of limiters alone, so that all of them agree.
    """
    if not settings.has_counter or plan.rate_per_s <= 0:
        return False
    return sharing_limiters * initial_mean_units(settings) > plan.burst > 0


def window_at(tenant: str, now: float) -> tuple[int, float]:
    """Return the number of the tenant's window at `now` (ms) and when it began.

    Each tenant's windows have their own phase: else all would turn at once and overload the counter.
    """
    number = int((now + _phase_ms(tenant)) // WINDOW_MS)
    return number, window_start(tenant, number)


def window_start(tenant: str, number: int) -> float:
    """Return when a tenant's window began (ms)."""
    return number * WINDOW_MS - _phase_ms(tenant)


def _phase_ms(tenant: str) -> int:
    return crc32(tenant.encode()) % int(WINDOW_MS)


def counter_key(tenant: str, window: int) -> int:
    """Return the counter's key for a tenant's window."""
    return int.from_bytes(blake2b(f"{tenant} {window}".encode(), digest_size=7).digest(), "big")


def grantable_burst(plan: Plan) -> float:
    """Return the units that a full bucket grants."""
    return plan.burst - min(MAX_UNGRANTED_UNITS, plan.burst * MAX_UNGRANTED_RATIO)


def units_left(plan: Plan, window_began_at: float, now: float, total: float) -> float:
    """Return the units in the bucket at `now` when `total` was taken since the window began; above
    `grantable_burst` it has overflowed."""
    elapsed_ms = max(0.0, now - window_began_at)
    return grantable_burst(plan) + plan.rate_per_s * elapsed_ms / 1000 - total


def must_read_previous_window(bucket: TokenBucket, total: float) -> bool:
    """Whether nobody has counted in this window before, so that what the one before left has to be read."""
    is_unread = bucket.is_window_unread
    bucket.is_window_unread = False
    if is_unread and bucket.is_kept_on_counter and total <= bucket.call_amount + UNITS_TOLERANCE:
        bucket.is_reading_previous_window = True
        bucket.counter_total = total
        return True
    return False


def carry_over(bucket: TokenBucket, previous_total: float) -> float:
    """Return the new window's total with what the bucket lacked when the window before ended.

    What it lacked is owed to the new window, as though it had been taken there; else each new window would
    hand out the burst anew.
    """
    bucket.is_reading_previous_window = False
    began_at = window_start(bucket.tenant, bucket.counter_window)
    left = units_left(bucket.plan, began_at - WINDOW_MS, began_at, previous_total)
    missing = max(0.0, grantable_burst(bucket.plan) - left)
    bucket.unreported += missing
    return bucket.counter_total + missing


def counter_balance_at_answer(bucket: TokenBucket, now: float, total: float) -> float:
    """Return the units in the bucket before what the call asked for; take off what has overflowed.

    What was returned, taken off or granted unasked stays added; only what is asked for is new.
    """
    began_at = window_start(bucket.tenant, bucket.counter_window)
    balance = units_left(bucket.plan, began_at, now, total) + bucket.requested
    burst = grantable_burst(bucket.plan)
    overflow = bucket.overflow
    bucket.overflow = 0.0
    # Two limiters that saw the same overflow have both taken it off, at the start of a window all that the
    # rate has brought since.  Whichever finds the bucket lower than it left it undoes its own part; else the
    # tenant would lose these units.
    if overflow and burst - balance > overflow / 2:
        bucket.unreported -= overflow
        return burst
    if balance - burst > OVERFLOW_RATIO * bucket.plan.burst:
        bucket.overflow = balance - burst
        bucket.unreported += bucket.overflow
    return balance
