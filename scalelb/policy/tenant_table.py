"""The table of a limiter's active tenants, with compact records of evicted ones."""

from __future__ import annotations

from itertools import islice

from scalelb.admission_queue.tenant_records import TenantRecords
from scalelb.policy import shared_counter
from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import Settings
from scalelb.policy.tenant import Tenant

MAX_TENANTS = 2048  # active tenants; others have at most a compact record
EVICTION_CANDIDATES = 8  # tenants considered for eviction per new tenant above `MAX_TENANTS`


class TenantTable:
    """Active tenants by name, least recently used first."""

    def __init__(self, settings: Settings, records: TenantRecords) -> None:
        self.settings = settings
        self.records = records
        self.tenants: dict[str, Tenant] = {}

    def find(self, name: str) -> Tenant | None:
        """Return an active tenant and mark it as most recently used; `None` if it is not active."""
        tenant = self.tenants.pop(name, None)
        if tenant is not None:
            self.tenants[name] = tenant
        return tenant

    def create(self, event: RequestArrived, now: float, uptime_ms: float, mean_units: float) -> Tenant:
        """Add the tenant of a request, restored from its record if there is one.

        A tenant without a record starts with a full bucket, unless records were dropped recently for lack of
        space. Its record may be among those, and a full bucket would grant a second burst.
        """
        tenant = Tenant.create(event, self.settings, now, uptime_ms, mean_units)
        bucket = tenant.bucket
        bucket.is_stored_on_counter = shared_counter.is_stored_on_counter(
            bucket.plan, bucket.sharing_limiters, self.settings
        )
        self.tenants[event.tenant] = tenant
        if now >= self.records.unknown_start_empty_until:
            bucket.counter_balance = bucket.capacity()
        if not bucket.is_stored_on_counter:
            bucket.balance = bucket.counter_balance / bucket.sharing_limiters
            bucket.unreported = bucket.balance
        record = self.records.take(event.tenant, now)
        if record is not None:
            tenant.restore(record)
        return tenant

    def eviction_candidates(self) -> list[Tenant]:
        """Return the least recently used tenants if there are more than `MAX_TENANTS`."""
        if len(self.tenants) <= MAX_TENANTS:
            return []
        return list(islice(self.tenants.values(), EVICTION_CANDIDATES))

    def evict(self, tenant: Tenant, now: float, is_counter_available: bool) -> None:
        """Replace a tenant by a compact record, which is stored until the tenant's bucket is full again."""
        record = tenant.bucket.to_record(now, is_counter_available)
        self.records.put(tenant.name, record, now)
        del self.tenants[tenant.name]

    def knows(self, name: str) -> bool:
        """Whether a tenant is active or has a record."""
        return name in self.tenants or self.records.has_record(name)
