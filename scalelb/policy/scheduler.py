"""Schedules the tenants that the scheduling cycle has to process."""

from __future__ import annotations

from math import inf

from scalelb.policy.tenant import Tenant

SCHEDULING_CYCLE_MS = 10.0  # the value that Gage uses


class Scheduler:
    """The tenants with pending work, in round-robin order."""

    def __init__(self) -> None:
        self.active: dict[str, Tenant] = {}
        self.wake_at = inf  # ms; the earliest `wake_at` of the active tenants
        self.cycle_at = inf  # ms; due time of the timer for the next cycle

    def schedule(self, tenant: Tenant, at: float) -> None:
        """Schedule a tenant for `at` (ms), unless it is already scheduled for an earlier time."""
        self.active[tenant.name] = tenant
        tenant.wake_at = min(tenant.wake_at, at)
        self.wake_at = min(self.wake_at, at)

    def forget(self, tenant: Tenant) -> None:
        """Remove a tenant from the schedule."""
        self.active.pop(tenant.name, None)

    def timer_delay_ms(self, now: float) -> float | None:
        """Return the delay of the timer to set, or `None` if none is needed.

        Most limiters are idle, so a timer runs only while a request waits.
        """
        due_at = max(now + SCHEDULING_CYCLE_MS, self.wake_at)
        if due_at >= self.cycle_at:
            return None
        self.cycle_at = due_at
        return due_at - now

    def is_cycle_due(self, now: float) -> bool:
        """Whether a timer that fires now starts the next cycle.

        A timer may be stale: it was set for a later time before an earlier cycle was scheduled.
        """
        return now >= self.cycle_at - 1.0

    def begin_cycle(self) -> list[Tenant]:
        """Return the tenants to process; the caller reschedules each one with its new `wake_at`."""
        self.cycle_at = inf
        self.wake_at = inf
        return list(self.active.values())

    def reschedule(self, tenant: Tenant) -> None:
        """Keep a tenant whose `wake_at` was updated, or remove it if it has no more pending work."""
        if tenant.wake_at == inf:
            del self.active[tenant.name]
        self.wake_at = min(self.wake_at, tenant.wake_at)

    def rotate(self) -> None:
        """Move the first tenant to the end, so that another tenant is first in the next cycle."""
        if first := next(iter(self.active), ""):
            self.active[first] = self.active.pop(first)
