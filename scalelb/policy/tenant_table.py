"""The tenants that a limiter knows in full, and compact records of those that were evicted."""

from __future__ import annotations

from itertools import islice

from scalelb.admission_queue.tenant_records import TenantRecords
from scalelb.policy import shared_counter
from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import Settings
from scalelb.policy.tenant import Tenant

MAX_TENANTS = 2048  # known in full
EVICTED_AT_ONCE = 8  # that are tried for each new one beyond the most


class TenantTable:
    """Tenants by name; the one that was seen last stands last."""

    def __init__(self, settings: Settings, records: TenantRecords) -> None:
        self.settings = settings
        self.records = records
        self.tenants: dict[str, Tenant] = {}

    def find(self, name: str) -> Tenant | None:
        """Return a tenant that is known in full, and note that it was seen; `None` for any other."""
        tenant = self.tenants.pop(name, None)
        if tenant is not None:
            self.tenants[name] = tenant
        return tenant

    def create(self, event: RequestArrived, now: float, uptime_ms: float, mean_units: float) -> Tenant:
        """Add the tenant of a request, restored from its record if there is one.

        A tenant without a record has a full bucket, unless records had to give way lately: then its record
        may be among those, and a full bucket would be a second burst.
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
        """Return the tenants to evict first, where more are known than may be."""
        if len(self.tenants) <= MAX_TENANTS:
            return []
        return list(islice(self.tenants.values(), EVICTED_AT_ONCE))

    def evict(self, tenant: Tenant, now: float, is_counter_available: bool) -> None:
        """Replace a tenant by a compact record of its bucket, which is kept until that is full again."""
        record = tenant.bucket.to_record(now, is_counter_available)
        self.records.put(tenant.name, record, now)
        del self.tenants[tenant.name]

    def knows(self, name: str) -> bool:
        """Whether a tenant was seen lately."""
        return name in self.tenants or self.records.has_record(name)
