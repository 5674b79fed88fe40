"""A tenant at one limiter: its token bucket, its queue, its attempts in flight and its demand."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, inf

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import Settings
from scalelb.policy.tenant_queue import TenantQueue
from scalelb.policy.token_bucket import TokenBucket

DEMAND_MEMORY_S = 2.0  # time constant of the exponentially decaying demand rate


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant with recent requests.  Times in ms."""

    name: str
    bucket: TokenBucket
    max_concurrent_attempts: int  # this limiter's share; 0 means no limit
    last_request_at: float
    queue: TenantQueue = field(default_factory=TenantQueue)
    attempts_in_flight: int = 0
    # Assumed end times of admitted requests, whose actual ends are not reported.
    admitted_end_at: list[float] = field(default_factory=list)
    demand_per_s: float = 0.0  # units per second
    wake_at: float = inf  # when the scheduling cycle has to process it

    @classmethod
    def create(
        cls, event: RequestArrived, settings: Settings, now: float, uptime_ms: float, mean_units: float
    ) -> Tenant:
        """Return a tenant that is new to this limiter; `mean_units`: mean of a request over all tenants.

        Its share of the ceiling has been refilling only since the limiter started. Otherwise each restart
        would grant the full ceiling again.
        """
        plan = settings.plans[event.plan_index]
        sharing_limiters = max(1, event.sharing_limiters)
        position = (settings.limiter_index - event.first_limiter) % settings.limiter_count
        refilled = plan.ceiling_slack + plan.ceiling_rate_per_s * uptime_ms / 1000
        ceiling = min(plan.ceiling_burst, refilled)
        bucket = TokenBucket(
            event.tenant, plan, sharing_limiters, mean_units, now, ceiling / sharing_limiters
        )
        concurrency = concurrency_share(plan.max_concurrent_attempts, sharing_limiters, position)
        return cls(event.tenant, bucket, concurrency, now)

    def record_demand(self, now: float, units: float) -> None:
        """Add the units of a request that arrived at `now` (ms) to the exponentially decaying demand rate."""
        decay = exp((self.last_request_at - now) / (1000 * DEMAND_MEMORY_S))
        self.demand_per_s = self.demand_per_s * decay + units / DEMAND_MEMORY_S
        self.bucket.units_since_reply += units
        self.last_request_at = now

    def is_at_concurrency_limit(self) -> bool:
        """Whether no further attempt may be sent until one ends."""
        return self.max_concurrent_attempts > 0 and self.attempts_in_flight >= self.max_concurrent_attempts

    def release_admitted(self, now: float) -> None:
        """Count admitted requests as ended after their usual duration, as their ends are not reported."""
        while self.admitted_end_at and self.admitted_end_at[0] <= now:
            self.attempts_in_flight -= 1
            self.admitted_end_at.pop(0)

    def credit(self, now: float, refills_itself: bool) -> None:
        """Credit the bucket (`TokenBucket.credit`), and count admitted requests as ended."""
        self.release_admitted(now)
        self.bucket.credit(now, refills_itself)

    def record_admitted(self, ends_at: float) -> None:
        """Count an admitted request as in flight until `ends_at` (ms) or the previous one's end if later."""
        self.attempts_in_flight += 1
        if self.admitted_end_at:
            ends_at = max(ends_at, self.admitted_end_at[-1])
        self.admitted_end_at.append(ends_at)

    def is_busy(self) -> bool:
        """Whether it has queued requests, attempts or a counter call in flight, and can't be evicted."""
        return bool(self.queue.requests or self.attempts_in_flight or self.bucket.has_call_in_flight)

    def restore(self, record: TenantRecord) -> None:
        """Restore the state from the tenant's record."""
        self.bucket.restore(record)
        self.attempts_in_flight = record.in_flight
        self.admitted_end_at = [record.in_flight_until] * record.in_flight

    def stop_waiting_for_counter(self) -> None:
        """Stop waiting for an answer of the counter, as it is unavailable."""
        for request in self.queue.requests:
            request.must_wait_for_counter = False
        self.bucket.is_reading_previous_window = False
        self.bucket.overflow = 0.0


def concurrency_share(max_attempts: int, limiters: int, position: int) -> int:
    """Return how many of `max_attempts` the limiter at `position` among `limiters` may have in flight.

    The split is even, with at least 1 for each limiter; 0 means no limit.
    """
    if not max_attempts:
        return 0
    has_remainder = position < max_attempts % limiters
    return max(1, max_attempts // limiters + has_remainder)
