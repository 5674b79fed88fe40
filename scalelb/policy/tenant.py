"""A tenant at one limiter: its bucket, its queue, its attempts in flight and its demand."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, inf

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import Settings
from scalelb.policy.tenant_queue import TenantQueue
from scalelb.policy.token_bucket import TokenBucket

DEMAND_MEMORY_S = 2.0  # time constant of the decaying demand rate


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant whose requests were seen lately.  Times in ms."""

    name: str
    bucket: TokenBucket
    max_concurrent_attempts: int  # this limiter's share; 0: no limit
    last_request_at: float
    queue: TenantQueue = field(default_factory=TenantQueue)
    attempts_in_flight: int = 0
    admitted_end_at: list[float] = field(default_factory=list)  # of admitted requests, which nobody reports
    demand_per_s: float = 0.0  # units a second
    wake_at: float = inf  # when the scheduling cycle has to look at it

    @classmethod
    def create(
        cls, event: RequestArrived, settings: Settings, now: float, uptime_ms: float, mean_units: float
    ) -> Tenant:
        """Return a tenant that this limiter has not seen; `mean_units`: of a request, by all tenants.

        Its share of the ceiling has been refilled since the limiter started and no longer: else each restart
        would hand out the ceiling anew.
        """
        plan = settings.plans[event.plan_index]
        sharing_limiters = max(1, event.sharing_limiters)
        place = (settings.limiter_index - event.first_limiter) % settings.limiter_count
        refilled = plan.ceiling_slack + plan.ceiling_rate_per_s * uptime_ms / 1000
        ceiling = min(plan.ceiling_burst, refilled)
        bucket = TokenBucket(
            event.tenant, plan, sharing_limiters, mean_units, now, ceiling / sharing_limiters
        )
        concurrency = concurrency_share(plan.max_concurrent_attempts, sharing_limiters, place)
        return cls(event.tenant, bucket, concurrency, now)

    def record_demand(self, now: float, units: float) -> None:
        """Add units to the exponentially decaying demand rate; a request was seen at `now`."""
        fade = exp((self.last_request_at - now) / (1000 * DEMAND_MEMORY_S))
        self.demand_per_s = self.demand_per_s * fade + units / DEMAND_MEMORY_S
        self.bucket.units_since_reply += units
        self.last_request_at = now

    def is_at_concurrency_limit(self) -> bool:
        """Whether no further attempt may be in flight."""
        return self.max_concurrent_attempts > 0 and self.attempts_in_flight >= self.max_concurrent_attempts

    def release_admitted(self, now: float) -> None:
        """Count admitted requests as ended once their usual time is over: nobody reports their ends."""
        while self.admitted_end_at and self.admitted_end_at[0] <= now:
            self.attempts_in_flight -= 1
            self.admitted_end_at.pop(0)

    def credit(self, now: float, refills_itself: bool) -> None:
        """Credit its bucket (`TokenBucket.credit`), and count admitted requests as ended."""
        self.release_admitted(now)
        self.bucket.credit(now, refills_itself)

    def record_admitted(self, ends_at: float) -> None:
        """Count an admitted request as in flight until `ends_at` (ms), or until the one before it ends."""
        self.attempts_in_flight += 1
        if self.admitted_end_at:
            ends_at = max(ends_at, self.admitted_end_at[-1])
        self.admitted_end_at.append(ends_at)

    def is_busy(self) -> bool:
        """Whether something of it is in progress, so that it can't be evicted."""
        return bool(self.queue.requests or self.attempts_in_flight or self.bucket.has_call_in_flight)

    def restore(self, record: TenantRecord) -> None:
        """Go on where the record of its bucket ends."""
        self.bucket.restore(record)
        self.attempts_in_flight = record.in_flight
        self.admitted_end_at = [record.in_flight_until] * record.in_flight

    def stop_waiting_for_counter(self) -> None:
        """The counter is unavailable: its answer is not to be waited for."""
        for request in self.queue.requests:
            request.must_wait_for_counter = False
        self.bucket.is_reading_previous_window = False
        self.bucket.overflow = 0.0


def concurrency_share(max_attempts: int, limiters: int, place: int) -> int:
    """Return the part of `max_attempts` that the limiter at `place` among `limiters` may have in flight: an
    even split, at least 1; 0 stands for no limit."""
    if not max_attempts:
        return 0
    has_remainder = place < max_attempts % limiters
    return max(1, max_attempts // limiters + has_remainder)
