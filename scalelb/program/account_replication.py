"""Publishes the balances of tenants' token buckets, so that the next incarnation of this limiter continues
with them.

    u:TENANT   [balance, unreported, store, total, window, at, full_at]

Only the next incarnation of the same limiter reads it: units that were granted stay granted, and the balance
never exceeds a burst. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from math import inf, isfinite
from typing import Any

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.core.lifecycle import Core
from scalelb.policy.tenant import Tenant

ACCOUNT_PREFIX = "u:"
MAX_PUBLISHED_ACCOUNTS = 100_000
EXPIRY_CHECKS_PER_TICK = 64  # Published accounts that each tick checks for a full bucket.
EARLIER_INCARNATIONS_MS = 120_000.0  # After this time, all that earlier incarnations granted has expired.
MAX_UNITS = 1e9  # Largest valid balance or debt.
MAX_TOTAL_UNITS = 1e15  # Largest valid total of the counter.
MAX_WINDOW = 2**40  # Numbers of the counter's windows are below this.
MAX_CLOCK_LEAD_MS = 60_000.0  # An account may be newer than the local time by this much.
MAX_FILL_MS = 600_000.0  # A bucket counts as full after at most this time.


class AccountReplication:
    """The accounts of one limiter's tenants."""

    def __init__(self, core: Core, write: Callable[[str, Any], None]) -> None:
        """`write` takes the key and the value of an entry of this limiter; the value None deletes it."""
        self.core = core
        self.write = write
        self.published_at = -inf  # tenants with requests since then are published next
        self.full_at: dict[str, float] = {}  # when the bucket of each published account is full again

    def publish(self, now: float) -> None:
        """Publish the accounts that have changed, and withdraw some of those whose buckets are full."""
        limiter = self.core.limiter
        since = self.published_at
        self.published_at = now
        for tenant in reversed(limiter.tenants.tenants.values()):
            if tenant.last_request_at < since:
                break  # The tenants are ordered by the time of their last request.
            self._publish(tenant, now)
        for tenant in list(limiter.scheduler.active.values()):
            if tenant.last_request_at < since:
                self._publish(tenant, now)
        checked = islice(self.full_at.items(), EXPIRY_CHECKS_PER_TICK)
        for name in [name for name, full_at in checked if full_at <= now]:
            del self.full_at[name]
            self.write(ACCOUNT_PREFIX + name, None)

    def _publish(self, tenant: Tenant, now: float) -> None:
        plan = tenant.bucket.plan
        if not plan.rate_per_s and not plan.ceiling_rate_per_s:
            return
        is_published = tenant.name in self.full_at
        record = tenant.bucket.to_record(now, self.core.limiter.leases.is_counter_available())
        if record.full_at <= now and not is_published:
            return
        if len(self.full_at) >= MAX_PUBLISHED_ACCOUNTS and not is_published:
            return
        self.full_at.pop(tenant.name, None)
        self.full_at[tenant.name] = record.full_at
        self.write(ACCOUNT_PREFIX + tenant.name, encode_account(record))

    def recover(self, name: str, record: TenantRecord) -> bool:
        """Restore a tenant's account from an earlier incarnation; False if a newer one is known here."""
        tenants = self.core.limiter.tenants
        known = tenants.records.inherited.get(name)
        is_older = known is not None and known.evicted_at > record.evicted_at
        if name in tenants.tenants or is_older:
            return False
        tenants.records.inherited[name] = record
        return True


def encode_account(record: TenantRecord) -> list[float]:
    """Encode an account as the value of its entry."""
    amounts = [record.balance, record.unreported_units, record.shared_balance, record.counter_total]
    rounded = [round(amount, 3) for amount in amounts]
    return [*rounded, record.counter_window, round(record.evicted_at), round(record.full_at)]


def decode_account(value: Any, now: float) -> TenantRecord | None:
    """Decode an account that an earlier incarnation published; None if it is invalid.

    No value lets more be granted than a bucket holds, as the account is bounded by the plan when it is
    used."""
    if not isinstance(value, list) or len(value) != 7:
        return None
    if not all(not isinstance(v, bool) and isinstance(v, int | float) and isfinite(v) for v in value):
        return None
    balance, unreported, shared_balance, total, window, evicted_at, full_at = value
    if not all(-MAX_UNITS <= units <= MAX_UNITS for units in (balance, unreported, shared_balance)):
        return None
    if not -1 <= window < MAX_WINDOW or not abs(total) <= MAX_TOTAL_UNITS:
        return None
    if not 0 <= evicted_at <= now + MAX_CLOCK_LEAD_MS or full_at <= now:
        return None
    return TenantRecord(
        balance=float(balance),
        unreported_units=float(unreported),
        shared_balance=float(shared_balance),
        counter_total=float(total),
        counter_window=int(window),
        evicted_at=min(float(evicted_at), now),
        full_at=min(float(full_at), now + MAX_FILL_MS),
    )
