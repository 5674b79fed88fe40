"""Until when a queued request can be sent in time, and when to look at it again."""

from __future__ import annotations

from scalelb.policy.admission import QuotaCheck
from scalelb.policy.counter_lease import MAX_QUEUE_WAIT_RATIO, CounterLeases
from scalelb.policy.request import Request
from scalelb.policy.running_estimates import RunningEstimates
from scalelb.policy.scheduler import SCHEDULING_CYCLE_MS
from scalelb.policy.settings import RequestClass
from scalelb.policy.tenant import Tenant
from scalelb.policy.token_bucket import UNITS_TOLERANCE

TIME_LEFT_LATENCY_FACTOR = 1.5  # usual latencies that must be left of the objective when a request is sent,
MAX_TIME_LEFT_RATIO = 0.6  # but at most this part of the objective
SPARE_WAIT_RATIO = 0.1  # of the objective: a wait after which spare units of other tenants may be used


class QueueTimes:
    """The times that the requests of one limiter have, in ms."""

    def __init__(self, estimates: RunningEstimates, leases: CounterLeases, quota: QuotaCheck) -> None:
        self.estimates = estimates
        self.leases = leases
        self.quota = quota

    def needed_time_ms(self, request_class: RequestClass) -> float:
        """Return the time of the latency objective that must be left when a request is sent."""
        usual_ms = TIME_LEFT_LATENCY_FACTOR * self.estimates.latency_ms
        return min(usual_ms, MAX_TIME_LEFT_RATIO * request_class.latency_objective_ms)

    def latest_send_at(self, request: Request) -> float:
        """Return the time after which an attempt would come too late or must not begin any more."""
        needed_ms = self.needed_time_ms(request.request_class)
        return min(request.due_at - needed_ms, request.must_retry_before)

    def has_waited_for_spare_units(self, request: Request, now: float) -> bool:
        """Whether a request has waited for long enough to use the spare units of other tenants."""
        return now - request.arrived_at > SPARE_WAIT_RATIO * request.request_class.latency_objective_ms

    def overdue_requests(self, tenant: Tenant, now: float) -> list[Request]:
        """Return the queued requests that neither the balance nor the concurrency limit lets be sent in time,
        with what is queued ahead of them.  Retries are never among them."""
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
        if request.tenant.bucket.plan.rate_per_s <= 0 or units_ahead <= self._units_in_time(request, now):
            return False
        return not self.quota.is_charged_elsewhere(request, now)

    def _units_in_time(self, request: Request, now: float) -> float:
        """Return the units that may be used ahead of a request, so that it can still be sent in time.

        Of a bucket that is leased from: what its whole rate brings in the longest wait, also while the
        counter is unavailable. Of one kept on the counter: what its last answer leaves, or this limiter's
        share of the rate once the counter has been unavailable for long.
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
        """Return how long a request waits for the tenant's concurrency limit, with so many ahead of it."""
        limit = tenant.max_concurrent_attempts
        if not limit:
            return 0.0
        return self.estimates.latency_ms * (attempts_ahead + 1 - limit) / limit

    def next_look_at(self, request: Request, now: float) -> float:
        """Return when a queued request is to be looked at again, unless an answer comes first."""
        missing = self.quota.missing_units(request, now)
        if missing <= 0:
            return now
        tenant = request.tenant
        bucket = tenant.bucket
        rate_per_ms = max(bucket.plan.rate_per_s / 1000, 1e-9)  # a plan may have a concurrency limit only
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
