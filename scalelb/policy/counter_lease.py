"""Leases of units from the shared counter: when to call it, how many units to request, how to read an answer.

The counter adds an amount to a number and returns the total. A call reports the units that were granted here
without a call and requests a lease. From the total follows how many units the other limiters have taken, and
so how much of the lease the bucket covers. The part that the bucket does not cover soon is returned with the
next call.
"""

from __future__ import annotations

from math import inf

from scalelb.policy import shared_counter
from scalelb.policy.actions import AddToCounter
from scalelb.policy.counter_contention import CounterContention
from scalelb.policy.events import CounterReplied, Outcome
from scalelb.policy.settings import Settings
from scalelb.policy.tenant import Tenant
from scalelb.policy.token_bucket import TokenBucket

LEASE_DEMAND_S = 1.0  # seconds of demand that a lease covers beyond the queue
LEASE_REQUESTS = 3.0  # minimum of that part, in mean requests
MAX_UNREPORTED_UNITS = 1.0  # limit for a bucket on the counter; from it on a report is sent at once
MAX_QUEUE_WAIT_RATIO = 0.5  # longest wait for units, as a ratio of the latency objective
MIN_CALL_INTERVAL_MS = 100.0  # time between two calls for a tenant whose bucket was empty
MAX_CALLS_IN_FLIGHT = 16
MAX_CALLS_WHILE_UNAVAILABLE = 1
# A call without an answer is abandoned after this multiple of the counter's timeout plus the constant below.
CALL_ABANDONED_RATIO = 4.0
CALL_ABANDONED_MS = 1000.0


class CounterLeases:
    """The calls of one limiter to the shared counter."""

    def __init__(self, settings: Settings, shortest_objective_ms: float) -> None:
        self.settings = settings
        self.contention = CounterContention(settings.counter_late_after_ms)
        self.max_wait_ms = MAX_QUEUE_WAIT_RATIO * shortest_objective_ms
        self.calls: dict[int, Tenant] = {}  # calls in flight by counter key

    def is_counter_available(self) -> bool:
        """Whether the counter answered the last call."""
        return not self.contention.backoff_ms > 0

    def refills_itself(self) -> bool:
        """Whether this limiter refills buckets without the counter, each with its share of the rate."""
        return self.contention.backoff_ms > 0 or not self.settings.has_counter

    def renew(self, tenant: Tenant, now: float, has_demand: bool) -> AddToCounter | None:
        """Return a counter call for a lease or a report; `None` if no call is due.

        A lease is due when the local units cover less than the queue and one more request. A report is due
        when enough units were granted without a call. For a bucket on the counter only the units that the
        queue needs are leased: while nothing is queued, the local units are marked for return first, even if
        no call follows.
        """
        bucket = tenant.bucket
        if bucket.is_stored_on_counter and not tenant.queue.requests and self.is_counter_available():
            bucket.return_local_units()
        spare = bucket.local_units() - tenant.queue.units
        is_covered = not has_demand or spare >= (0.0 if bucket.is_stored_on_counter else bucket.mean_units)
        if not bucket.plan.rate_per_s or (is_covered and not self._is_report_due(bucket)):
            return None
        requested = 0.0 if is_covered else self._units_to_lease(tenant)
        if bucket.counter_window >= 0:
            obtainable = min(bucket.capacity(), bucket.projected_counter_balance(now))
            obtainable += bucket.plan.rate_per_s * self.max_wait_ms / 1000
            requested = max(0.0, min(requested, obtainable))
            min_units = bucket.mean_units
            if bucket.is_stored_on_counter:
                min_units = min(min_units, tenant.queue.units - bucket.local_units())
            if requested < min_units and not self._is_report_due(bucket):
                return None
        return self.call(tenant, now, requested)

    def _is_report_due(self, bucket: TokenBucket) -> bool:
        limit = MAX_UNREPORTED_UNITS if bucket.is_stored_on_counter else bucket.mean_units
        return abs(bucket.unreported) >= limit

    def _units_to_lease(self, tenant: Tenant) -> float:
        """Return the units that the queue lacks, plus some for expected demand."""
        bucket = tenant.bucket
        extra = 0.0
        if not bucket.is_stored_on_counter:
            extra = max(LEASE_REQUESTS * bucket.mean_units, tenant.demand_per_s * LEASE_DEMAND_S)
        share_of_capacity = bucket.capacity() / bucket.sharing_limiters
        extra = min(extra, max(share_of_capacity, bucket.mean_units))
        return max(0.0, tenant.queue.units + extra - bucket.local_units())

    def call(self, tenant: Tenant, now: float, units: float) -> AddToCounter | None:
        """Return a call that reports the unreported units and requests `units`; `None` if no call is allowed.

        Negative `units` are returned to the shared bucket.
        """
        bucket = tenant.bucket
        max_calls = MAX_CALLS_IN_FLIGHT if self.is_counter_available() else MAX_CALLS_WHILE_UNAVAILABLE
        if not self.settings.has_counter or len(self.calls) >= max_calls:
            return None
        if bucket.has_call_in_flight or now < self.contention.next_call_at:
            return None
        # Only the limiters that share a bucket on the counter have to agree on the phase of its windows.
        window, started_at = shared_counter.window_at(
            bucket.tenant if bucket.is_stored_on_counter else "", now
        )
        bucket.begin_window(window, started_at)
        bucket.call_amount = bucket.unreported + units
        bucket.requested = units
        bucket.balance += min(0.0, units)
        return self._add(tenant, now, window, bucket.call_amount)

    def _add(self, tenant: Tenant, now: float, window: int, amount: float) -> AddToCounter:
        key = shared_counter.counter_key(tenant.name, window)
        tenant.bucket.has_call_in_flight = True
        tenant.bucket.last_call_at = now
        self.calls[key] = tenant
        return AddToCounter(key, amount, shared_counter.KEY_RETENTION_MS)

    def end_call(self, counter_key: int) -> Tenant | None:
        """Return the tenant whose call has ended; `None` if no such call is in flight."""
        tenant = self.calls.pop(counter_key, None)
        if tenant is not None:
            tenant.bucket.has_call_in_flight = False
        return tenant

    def abandoned_calls(self, now: float) -> list[CounterReplied]:
        """Return a timeout for each call that has waited too long for an answer."""
        limit_ms = CALL_ABANDONED_RATIO * self.settings.counter_wait_ms + CALL_ABANDONED_MS
        ages_ms = {key: now - tenant.bucket.last_call_at for key, tenant in self.calls.items()}
        abandoned = {key: age_ms for key, age_ms in ages_ms.items() if age_ms > limit_ms}
        return [CounterReplied(key, Outcome.TIMEOUT, 0.0, age_ms) for key, age_ms in abandoned.items()]

    def on_failure(self, tenant: Tenant, now: float, outcome: Outcome) -> None:
        """Handle a call without an answer.

        After a timeout the counter may have added the amount: nothing is granted and nothing is reported
        again. After any other failure the amount was not added, and the unreported units stay unreported.
        """
        bucket = tenant.bucket
        if outcome is Outcome.TIMEOUT:
            bucket.unreported = 0.0
        else:
            bucket.unreported += min(0.0, bucket.requested)
        self.contention.on_failure(now)
        tenant.stop_waiting_for_counter()

    def on_total(self, tenant: Tenant, now: float, event: CounterReplied) -> AddToCounter | None:
        """Grant the part of the lease that the total allows.

        Returns the call that reads the previous window if the grant must wait for it.
        """
        bucket = tenant.bucket
        total = event.total
        if event.outcome is Outcome.ERROR:
            # The answer is malformed, but the amount was added: the next total includes the others' usage.
            total = bucket.counter_total + bucket.call_amount
        self.contention.on_answer(now, event.elapsed_ms)
        if not bucket.is_reading_previous_window:
            bucket.unreported -= bucket.call_amount - bucket.requested
        if shared_counter.must_read_previous_window(bucket, total):
            return self._add(tenant, now, bucket.counter_window - 1, 0.0)
        if bucket.is_reading_previous_window:
            total = shared_counter.carry_over(bucket, total)
        self._update_balance(bucket, now, total)
        self._grant(bucket, now)
        return None

    def _update_balance(self, bucket: TokenBucket, now: float, total: float) -> None:
        """Update the counter balance from the total, less the units that this call took."""
        # If a total grew by less than this call's amount, the counter has lost updates, and the total does
        # not show the others' usage.
        used_by_others = max(0.0, total - bucket.counter_total - bucket.call_amount)
        # Units credited while the counter was unavailable are charged to what the rate added in that time.
        # If they were taken from a bucket that is full again, a tenant within its quota would be rejected.
        self_credited = max(0.0, min(bucket.self_credited, bucket.call_amount - bucket.requested))
        bucket.self_credited = 0.0
        balance = bucket.leased_balance_at_answer(now, used_by_others, self_credited)
        taken = bucket.call_amount - self_credited
        capacity = bucket.capacity()
        if bucket.is_stored_on_counter:
            balance = shared_counter.counter_balance_at_answer(bucket, now, total)
            taken = bucket.requested
        bucket.counter_balance = min(capacity, balance) - taken
        bucket.counter_balance_at = now
        bucket.counter_total = total

    def _grant(self, bucket: TokenBucket, now: float) -> None:
        """Credit the units that the bucket covers now, lease those that the rate covers within the longest
        wait, and return the rest."""
        overdrawn = max(0.0, -bucket.counter_balance)
        bucket.was_empty = bucket.counter_balance < 0
        requested = max(0.0, bucket.requested)
        if requested > 0:
            self.contention.record_grant(not bucket.was_empty)
        uncovered = min(requested, overdrawn)
        covered_soon = bucket.plan.rate_per_s * self.max_wait_ms / 1000
        returned = min(uncovered, max(0.0, -bucket.counter_balance - covered_soon))
        bucket.balance += requested - uncovered
        bucket.leased = bucket.leased + uncovered - returned
        bucket.unreported -= returned
        wait = max(0.0, -bucket.counter_balance - returned - bucket.leased)
        bucket.lease_credited_from = now + 1000 * wait / bucket.plan.rate_per_s
        if bucket.is_stored_on_counter:
            bucket.counter_balance += returned

    def next_call_due_at(self, tenant: Tenant, now: float, missing_units: float, cycle_ms: float) -> float:
        """Return when the counter should be called again for a queue that lacks units.

        Returns `inf` while a call is in flight or the counter is unavailable. For an empty bucket nothing
        else triggers a call.
        """
        bucket = tenant.bucket
        if not self.is_counter_available() or bucket.has_call_in_flight or bucket.counter_window < 0:
            return inf
        rate_per_ms = max(bucket.plan.rate_per_s / 1000, 1e-9)
        lacking = min(missing_units, bucket.mean_units) - bucket.counter_balance
        refilled_at = bucket.counter_balance_at + 1000 * lacking / rate_per_ms
        return max(now + cycle_ms, refilled_at, bucket.last_call_at + MIN_CALL_INTERVAL_MS)
