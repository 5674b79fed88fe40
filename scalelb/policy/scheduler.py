"""Which tenants the scheduling cycle has to look at, and when."""

from __future__ import annotations

from math import inf

from scalelb.policy.tenant import Tenant

SCHEDULING_CYCLE_MS = 10.0  # as in Gage


class Scheduler:
    """The tenants with something to do, in the order in which they take turns."""

    def __init__(self) -> None:
        self.active: dict[str, Tenant] = {}
        self.wake_at = inf  # ms; when the first of them has to be looked at
        self.cycle_at = inf  # ms; when the timer of the next cycle is due

    def schedule(self, tenant: Tenant, at: float) -> None:
        """Look at a tenant at `at` (ms), or earlier if that was asked for."""
        self.active[tenant.name] = tenant
        tenant.wake_at = min(tenant.wake_at, at)
        self.wake_at = min(self.wake_at, at)

    def forget(self, tenant: Tenant) -> None:
        """Look at a tenant no more."""
        self.active.pop(tenant.name, None)

    def timer_delay_ms(self, now: float) -> float | None:
        """Return the delay of the timer to set; `None` where none is needed.  Most limiters are idle: their
        timers run only while something waits."""
        due_at = max(now + SCHEDULING_CYCLE_MS, self.wake_at)
        if due_at >= self.cycle_at:
            return None
        self.cycle_at = due_at
        return due_at - now

    def is_cycle_due(self, now: float) -> bool:
        """Whether a timer that fires now is that of the next cycle: it may be of one that was set for later,
        before something else came up."""
        return now >= self.cycle_at - 1.0

    def begin_cycle(self) -> list[Tenant]:
        """Return the tenants to look at; those that have something to do later are to be scheduled anew."""
        self.cycle_at = inf
        self.wake_at = inf
        return list(self.active.values())

    def reschedule(self, tenant: Tenant) -> None:
        """Keep a tenant whose `wake_at` was set anew, or forget it where nothing is left to do."""
        if tenant.wake_at == inf:
            del self.active[tenant.name]
        self.wake_at = min(self.wake_at, tenant.wake_at)

    def rotate(self) -> None:
        """Let another tenant be the first in the next cycle."""
        if first := next(iter(self.active), ""):
            self.active[first] = self.active.pop(first)
