"""Time limits of queued requests: the latest time to send one, and when to check it again."""

from __future__ import annotations

from scalelb.policy.admission import QuotaCheck
from scalelb.policy.counter_lease import MAX_QUEUE_WAIT_RATIO, CounterLeases
from scalelb.policy.request import Request
from scalelb.policy.running_estimates import RunningEstimates
from scalelb.policy.scheduler import SCHEDULING_CYCLE_MS
from scalelb.policy.settings import RequestClass
from scalelb.policy.tenant import Tenant
from scalelb.policy.token_bucket import UNITS_TOLERANCE

# A request is sent only while at least this many usual latencies of its latency objective are left.
TIME_LEFT_LATENCY_FACTOR = 1.5
# Upper bound of that time, as a ratio of the latency objective.
MAX_TIME_LEFT_RATIO = 0.6
# Wait after which a request may use spare units of other tenants, as a ratio of the latency objective.
SPARE_WAIT_RATIO = 0.1


class QueueTimes:
    """Computes the time limits of the requests of one limiter, in ms."""

    def __init__(self, estimates: RunningEstimates, leases: CounterLeases, quota: QuotaCheck) -> None:
        self.estimates = estimates
        self.leases = leases
        self.quota = quota

    def needed_time_ms(self, request_class: RequestClass) -> float:
        """Return how much of the latency objective must be left when a request is sent."""
        usual_ms = TIME_LEFT_LATENCY_FACTOR * self.estimates.latency_ms
        return min(usual_ms, MAX_TIME_LEFT_RATIO * request_class.latency_objective_ms)

    def latest_send_at(self, request: Request) -> float:
        """Return the latest time at which an attempt would still end in time and may still begin."""
        needed_ms = self.needed_time_ms(request.request_class)
        return min(request.due_at - needed_ms, request.must_retry_before)

    def has_waited_for_spare_units(self, request: Request, now: float) -> bool:
        """Whether a request has waited long enough to use the spare units of other tenants."""
        return now - request.arrived_at > SPARE_WAIT_RATIO * request.request_class.latency_objective_ms

    def overdue_requests(self, tenant: Tenant, now: float) -> list[Request]:
        """Return the queued requests that can't be sent in time, given the requests queued ahead of them.

        Either the balance or the tenant's concurrency limit delays them too long. Retries are never included.
        """
        bucket = tenant.bucket
        units_ahead = 0.0
        if not bucket.is_stored_on_counter:
            available = bucket.available_here(now, self.leases.is_counter_available())
            units_ahead = -bucket.balance - max(bucket.leased, available)
        attempts_ahead = tenant.attempts_in_flight
        overdue = []
        for request in tenant.queue.requests:
            if request.attempts_sent:
                attempts_ahead += 1
            elif self._is_overdue(request, now, units_ahead, attempts_ahead):
                overdue.append(request)
            else:
                attempts_ahead += 1
                units_ahead += request.units
        return overdue

    def _is_overdue(self, request: Request, now: float, units_ahead: float, attempts_ahead: int) -> bool:
        wait_ms = self._concurrency_wait_ms(request.tenant, attempts_ahead)
        if now + wait_ms > self.latest_send_at(request):
            return True
        if request.tenant.bucket.plan.rate_per_s <= 0 or units_ahead <= self._max_units_ahead(request, now):
            return False
        return not self.quota.is_charged_elsewhere(request, now)

    def _max_units_ahead(self, request: Request, now: float) -> float:
        """Return how many units may be used ahead of a request that can still be sent in time.

        For a bucket that limiters lease from, this is the refill at its full rate during the longest wait,
        even while the counter is unavailable. For a bucket kept on the counter, it is what the last answer of
        the counter leaves, or this limiter's share of the rate after a long outage of the counter.
        """
        bucket = request.tenant.bucket
        if not bucket.is_stored_on_counter:
            max_wait_ms = MAX_QUEUE_WAIT_RATIO * request.request_class.latency_objective_ms
            return max(bucket.plan.rate_per_s * max_wait_ms / 1000, bucket.mean_units)
        latest_at = self.latest_send_at(request)
        if self.leases.contention.is_backoff_at_max:
            return bucket.obtainable_without_counter(now, latest_at) + UNITS_TOLERANCE
        return bucket.obtainable_until(latest_at) - request.units + UNITS_TOLERANCE

    def _concurrency_wait_ms(self, tenant: Tenant, attempts_ahead: int) -> float:
        """Return how long the tenant's concurrency limit delays a request behind so many attempts."""
        limit = tenant.max_concurrent_attempts
        if not limit:
            return 0.0
        return self.estimates.latency_ms * (attempts_ahead + 1 - limit) / limit

    def next_check_at(self, request: Request, now: float) -> float:
        """Return when to check a queued request again, unless an answer arrives earlier."""
        missing = self.quota.missing_units(request, now)
        if missing <= 0:
            return now
        tenant = request.tenant
        bucket = tenant.bucket
        rate_per_ms = max(bucket.plan.rate_per_s / 1000, 1e-9)  # a plan may have only a concurrency limit
        times = [
            self.latest_send_at(request),
            self.leases.next_call_due_at(tenant, now, missing, SCHEDULING_CYCLE_MS),
        ]
        if self.leases.refills_itself():
            times.append(now + missing / rate_per_ms * bucket.sharing_limiters)
        if bucket.leased >= missing:
            times.append(max(bucket.lease_credited_from, now) + missing / rate_per_ms)
        if bucket.plan.gains_beyond_quota:
            times.append(now + SPARE_WAIT_RATIO * request.request_class.latency_objective_ms)
        if tenant.admitted_end_at:
            times.append(tenant.admitted_end_at[0])
        return min(times)
