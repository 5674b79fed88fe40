"""Leases of units from the shared counter: when it is called, how much is asked for, what an answer means.

The counter adds an amount to a number and tells the total. A call reports what was granted here unasked and
asks for a lease; the total tells what the other limiters have taken, and so how much of the lease the bucket
covers. What is not covered soon is returned with the next call.
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

LEASE_DEMAND_S = 1.0  # a lease covers the demand of so long,
LEASE_REQUESTS = 3.0  # or so many mean requests
MAX_UNREPORTED_UNITS = 1.0  # of a bucket on the counter; more is reported at once
MAX_QUEUE_WAIT_RATIO = 0.5  # of the latency objective: the longest wait for units
MIN_CALL_INTERVAL_MS = 100.0  # between two calls for a tenant whose bucket was empty
MAX_CALLS_IN_FLIGHT = 16
MAX_CALLS_WHILE_UNAVAILABLE = 1
CALL_ABANDONED_RATIO = 4.0  # of the counter's timeout: a call without an answer is given up then,
CALL_ABANDONED_MS = 1000.0  # and this much later


class CounterLeases:
    """The counter calls of one limiter."""

    def __init__(self, settings: Settings, shortest_objective_ms: float) -> None:
        self.settings = settings
        self.contention = CounterContention(settings.counter_late_after_ms)
        self.max_wait_ms = MAX_QUEUE_WAIT_RATIO * shortest_objective_ms
        self.calls: dict[int, Tenant] = {}  # in flight, by counter key

    def is_counter_available(self) -> bool:
        """Whether the counter answered the last call."""
        return not self.contention.backoff_ms > 0

    def refills_itself(self) -> bool:
        """Whether buckets are refilled without the counter, each limiter with its share of the rate."""
        return self.contention.backoff_ms > 0 or not self.settings.has_counter

    def renew(self, tenant: Tenant, now: float, has_demand: bool) -> AddToCounter | None:
        """Return the call for a lease where what is on hand covers less than the queue and one more request,
        or for a report of what was granted unasked; `None` where no call is due.

        Of a bucket kept on the counter only what the queue needs is leased: while nothing is queued, what is
        on hand is returned first, also where no call follows.
        """
        bucket = tenant.bucket
        if bucket.is_kept_on_counter and not tenant.queue.requests and self.is_counter_available():
            bucket.return_on_hand()
        spare = bucket.on_hand() - tenant.queue.units
        is_covered = not has_demand or spare >= (0.0 if bucket.is_kept_on_counter else bucket.mean_units)
        if not bucket.plan.rate_per_s or (is_covered and not self._is_report_due(bucket)):
            return None
        wanted = 0.0 if is_covered else self._wanted_units(tenant)
        if bucket.counter_window >= 0:
            obtainable = min(bucket.capacity(), bucket.projected_counter_balance(now))
            obtainable += bucket.plan.rate_per_s * self.max_wait_ms / 1000
            wanted = max(0.0, min(wanted, obtainable))
            smallest = bucket.mean_units
            if bucket.is_kept_on_counter:
                smallest = min(smallest, tenant.queue.units - bucket.on_hand())
            if wanted < smallest and not self._is_report_due(bucket):
                return None
        return self.call(tenant, now, wanted)

    def _is_report_due(self, bucket: TokenBucket) -> bool:
        limit = MAX_UNREPORTED_UNITS if bucket.is_kept_on_counter else bucket.mean_units
        return abs(bucket.unreported) >= limit

    def _wanted_units(self, tenant: Tenant) -> float:
        """Return the units that the queue lacks, and some for the demand to come."""
        bucket = tenant.bucket
        ahead = 0.0
        if not bucket.is_kept_on_counter:
            ahead = max(LEASE_REQUESTS * bucket.mean_units, tenant.demand_per_s * LEASE_DEMAND_S)
        share_of_capacity = bucket.capacity() / bucket.sharing_limiters
        ahead = min(ahead, max(share_of_capacity, bucket.mean_units))
        return max(0.0, tenant.queue.units + ahead - bucket.on_hand())

    def call(self, tenant: Tenant, now: float, units: float) -> AddToCounter | None:
        """Return the call that reports what was granted unasked and asks for `units`, or returns them where
        they are negative; `None` where no call may be made now."""
        bucket = tenant.bucket
        max_calls = MAX_CALLS_IN_FLIGHT if self.is_counter_available() else MAX_CALLS_WHILE_UNAVAILABLE
        if not self.settings.has_counter or len(self.calls) >= max_calls:
            return None
        if bucket.has_call_in_flight or now < self.contention.next_call_at:
            return None
        # Only limiters that share a bucket on the counter have to agree on the phase of its windows.
        window, began_at = shared_counter.window_at(bucket.tenant if bucket.is_kept_on_counter else "", now)
        bucket.begin_window(window, began_at)
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
        """Return the tenant whose call has ended; `None` where no such call is in flight."""
        tenant = self.calls.pop(counter_key, None)
        if tenant is not None:
            tenant.bucket.has_call_in_flight = False
        return tenant

    def abandoned_calls(self, now: float) -> list[CounterReplied]:
        """Return a timeout for each call whose answer does not come any more."""
        limit_ms = CALL_ABANDONED_RATIO * self.settings.counter_wait_ms + CALL_ABANDONED_MS
        ages_ms = {key: now - tenant.bucket.last_call_at for key, tenant in self.calls.items()}
        abandoned = {key: age_ms for key, age_ms in ages_ms.items() if age_ms > limit_ms}
        return [CounterReplied(key, Outcome.TIMEOUT, 0.0, age_ms) for key, age_ms in abandoned.items()]

    def on_failure(self, tenant: Tenant, now: float, outcome: Outcome) -> None:
        """A call had no answer.  Perhaps it was added: then nothing is granted and nothing is added again.
        Where it surely was not, what is owed to the counter stays owed."""
        bucket = tenant.bucket
        if outcome is Outcome.TIMEOUT:
            bucket.unreported = 0.0
        else:
            bucket.unreported += min(0.0, bucket.requested)
        self.contention.on_failure(now)
        tenant.stop_waiting_for_counter()

    def on_total(self, tenant: Tenant, now: float, event: CounterReplied) -> AddToCounter | None:
        """Grant what the total leaves of the lease; return the call that reads the window before, where the
        answer has to wait for that."""
        bucket = tenant.bucket
        total = event.total
        if event.outcome is Outcome.ERROR:
            # Malformed, but surely added: the next total tells what the others have used.
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
        """Take over what the total says of the bucket, less what this call was granted."""
        # A total below what was added here is of a counter that has lost some: it tells nothing of others.
        used_by_others = max(0.0, total - bucket.counter_total - bucket.call_amount)
        # What was credited while the counter was unavailable came out of what the rate brought meanwhile.
        # Taken from a bucket that is full again instead, a tenant within its quota would be rejected.
        self_credited = max(0.0, min(bucket.self_credited, bucket.call_amount - bucket.requested))
        bucket.self_credited = 0.0
        balance = bucket.leased_balance_at_answer(now, used_by_others, self_credited)
        taken = bucket.call_amount - self_credited
        capacity = bucket.capacity()
        if bucket.is_kept_on_counter:
            balance = shared_counter.counter_balance_at_answer(bucket, now, total)
            taken = bucket.requested
        bucket.counter_balance = min(capacity, balance) - taken
        bucket.counter_balance_at = now
        bucket.counter_total = total

    def _grant(self, bucket: TokenBucket, now: float) -> None:
        """Credit what the bucket covers now, keep as a lease what the rate covers within the longest wait,
        and return the rest."""
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
        if bucket.is_kept_on_counter:
            bucket.counter_balance += returned

    def next_call_due_at(self, tenant: Tenant, now: float, missing_units: float, cycle_ms: float) -> float:
        """Return when the counter should be asked again for a queue that lacks units; `inf` while a call is
        in flight or the counter is unavailable.  Nothing else asks it behind an empty bucket."""
        bucket = tenant.bucket
        if not self.is_counter_available() or bucket.has_call_in_flight or bucket.counter_window < 0:
            return inf
        rate_per_ms = max(bucket.plan.rate_per_s / 1000, 1e-9)
        lacking = min(missing_units, bucket.mean_units) - bucket.counter_balance
        refilled_at = bucket.counter_balance_at + 1000 * lacking / rate_per_ms
        return max(now + cycle_ms, refilled_at, bucket.last_call_at + MIN_CALL_INTERVAL_MS)
