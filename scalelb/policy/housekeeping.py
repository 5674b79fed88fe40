"""Housekeeping of all tenants, once a second.  It runs in slices so that it does not delay other events."""

from __future__ import annotations

import random

from scalelb.policy.counter_lease import CounterLeases
from scalelb.policy.outbox import Outbox
from scalelb.policy.scheduler import SCHEDULING_CYCLE_MS, Scheduler
from scalelb.policy.tenant import Tenant
from scalelb.policy.tenant_table import TenantTable

HOUSEKEEPING_MS = 1000.0  # time between two rounds
VISITED_TENANTS = 256  # tenants visited in one slice
SWEPT_RECORDS = 16 * VISITED_TENANTS  # records checked in one slice
IDLE_MS = 3000.0  # time without requests after which a tenant's balance is returned
EVICTION_IDLE_MS = 20_000.0  # time without requests after which a tenant is evicted


class Housekeeper:
    """Visits the tenants of one limiter in rounds: reports and returns units, and evicts idle tenants."""

    def __init__(
        self,
        outbox: Outbox,
        tenants: TenantTable,
        leases: CounterLeases,
        scheduler: Scheduler,
        rng: random.Random,
        faults: list[Exception],
    ) -> None:
        """`faults`: collects an exception that one tenant causes, so that the others are still visited."""
        self.faults = faults
        self.outbox = outbox
        self.tenants = tenants
        self.leases = leases
        self.scheduler = scheduler
        self.random = rng
        self.is_timer_set = False
        self.unvisited: list[Tenant] = []  # tenants left in this round
        self.spare_units = 0.0  # balances of the tenants without queued requests, found in this round

    def timer_delay_ms(self) -> float | None:
        """Return the delay of the timer to set; `None` if one is set or there are no tenants and records."""
        records = self.tenants.records
        if self.is_timer_set or not (self.tenants.tenants or records.tables or records.inherited):
            return None
        self.is_timer_set = True
        return SCHEDULING_CYCLE_MS if self.unvisited else HOUSEKEEPING_MS

    def is_round_over(self) -> bool:
        """Whether all tenants of the last round have been visited."""
        return not self.unvisited

    def begin_round(self) -> None:
        """Begin a new round over all tenants."""
        self.spare_units = 0.0
        self.unvisited = list(self.tenants.tenants.values())

    def visit_slice(self, now: float) -> None:
        """Visit the next tenants and drop records of buckets that are full again."""
        visited = self.unvisited[:VISITED_TENANTS]
        self.unvisited = self.unvisited[VISITED_TENANTS:]
        self.tenants.records.sweep(now, SWEPT_RECORDS)
        for tenant in visited:
            if self.tenants.tenants.get(tenant.name) is not tenant:
                continue
            try:
                self._visit(tenant, now)
            except Exception as error:
                self.faults.append(error)

    def _visit(self, tenant: Tenant, now: float) -> None:
        """Report and return a tenant's units, and evict the tenant if it has been idle for long."""
        bucket = tenant.bucket
        if tenant.admitted_end_at:
            tenant.credit(now, self.leases.refills_itself())
        if not tenant.queue.requests:
            self.spare_units += max(0.0, bucket.balance)
        # Under contention reports are sampled as well: unreported units can wait.
        sampling_rate = self.leases.contention.sampling_rate
        if sampling_rate >= 1 or self.random.random() < sampling_rate:
            self.outbox.add(self.leases.renew(tenant, now, has_demand=False))
        idle_ms = now - tenant.last_request_at
        if idle_ms > IDLE_MS and bucket.balance > bucket.mean_units and bucket.counter_window >= 0:
            self.outbox.add(self.leases.call(tenant, now, -bucket.balance))
        if idle_ms > EVICTION_IDLE_MS:
            self.evict(tenant, now)

    def evict(self, tenant: Tenant, now: float) -> None:
        """Evict a tenant unless it has requests, attempts or a counter call in progress."""
        if tenant.is_busy():
            return
        tenant.credit(now, self.leases.refills_itself())
        self.tenants.evict(tenant, now, self.leases.is_counter_available())
        self.scheduler.forget(tenant)
