"""A tenant's token bucket at one limiter: its local balance and the shared counter's last answer.

The bucket is shared by all limiters that serve the tenant. Each limiter has a local balance that it may grant
without a call to the counter, leases further units from the shared counter (`counter_lease`), and reports the
units that it granted without a call. A second bucket, the ceiling, is split evenly between the limiters and
is never exceeded.
"""

from __future__ import annotations

from dataclasses import dataclass

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.policy.settings import Plan

# Units that are never leased, in mean requests for each limiter: they cover the limiter's overdraft.
OVERDRAFT_RESERVE_REQUESTS = 1.0
MAX_OVERDRAFT_RESERVE_RATIO = 0.5  # maximum reserve as a ratio of the burst
UNITS_TOLERANCE = 1e-6  # tolerance for rounding errors in sums of units


@dataclass(slots=True, eq=False)
class TokenBucket:
    """The token bucket of one tenant at this limiter.  Amounts are in units, times in ms."""

    tenant: str
    plan: Plan
    sharing_limiters: int
    mean_units: float  # running average of the true cost of this tenant's requests
    created_at: float
    ceiling_balance: float  # this limiter's share of the ceiling
    is_stored_on_counter: bool = False  # whether the counter stores the balance: see `shared_counter`

    # Units that this limiter may grant.
    balance: float = 0.0
    leased: float = 0.0  # units leased and not yet credited to the balance
    lease_credited_from: float = 0.0  # time from which the lease is credited
    credited_at: float = 0.0
    ceiling_credited_at: float = 0.0

    # Units that the counter does not include yet.
    unreported: float = 0.0  # units granted here and not yet added to the counter
    self_credited: float = 0.0  # part of `unreported` that was credited while the counter was unavailable
    units_since_reply: float = 0.0  # units requested by clients here since the counter's last answer

    # State from the counter's last answer.
    counter_balance: float = 0.0  # units left for all limiters at `counter_balance_at`
    counter_balance_at: float = 0.0
    counter_total: float = 0.0
    counter_window: int = -1  # window of the last call; -1: no call yet
    was_empty: bool = False  # whether the bucket was empty at the last answer
    is_window_unread: bool = False  # whether no answer has arrived in this window yet
    is_reading_previous_window: bool = False
    overflow: float = 0.0  # units removed by the call in flight because the bucket had overflowed

    # The counter call in flight.
    has_call_in_flight: bool = False
    last_call_at: float = 0.0
    call_amount: float = 0.0
    requested: float = 0.0  # part of `call_amount` that the counter is asked to grant

    def __post_init__(self) -> None:
        self.credited_at = self.created_at
        self.ceiling_credited_at = self.created_at
        self.counter_balance_at = self.created_at

    def local_units(self) -> float:
        """Return the units that are granted to this limiter and not yet used, as balance or as lease."""
        return self.balance + self.leased

    def capacity(self) -> float:
        """Return the part of the burst that may be leased; the rest covers the overdrafts of all limiters.

        A bucket on the counter has no overdrafts, because each request waits for the counter's answer.
        """
        burst = self.plan.burst
        if self.is_stored_on_counter:
            return burst
        reserve = OVERDRAFT_RESERVE_REQUESTS * (self.sharing_limiters + 1) * self.mean_units
        return burst - min(reserve, MAX_OVERDRAFT_RESERVE_RATIO * burst)

    # Refill

    def credit(self, now: float, refills_itself: bool) -> None:
        """Credit the units that the rate has added since the last call.

        They come from the lease and, with `refills_itself`, from this limiter's share of the rate. A limiter
        refills its buckets itself while there is no counter or the counter is unavailable.
        """
        plan = self.plan
        elapsed_ms = now - self.credited_at
        self.credited_at = now
        leased_for_ms = max(0.0, min(elapsed_ms, now - self.lease_credited_from))
        from_lease = min(self.leased, plan.rate_per_s * leased_for_ms / 1000)
        self.leased -= from_lease
        self.balance += from_lease
        if refills_itself:
            missing = self.capacity() - self.balance * self.sharing_limiters
            share = max(0.0, min(plan.rate_per_s * elapsed_ms / 1000, missing) / self.sharing_limiters)
            self.balance += share
            self.unreported += share
            self.self_credited += share
        ceiling_elapsed_ms = now - self.ceiling_credited_at
        refill = plan.ceiling_rate_per_s * ceiling_elapsed_ms / 1000 / self.sharing_limiters
        self.ceiling_balance = min(plan.ceiling_burst / self.sharing_limiters, self.ceiling_balance + refill)
        self.ceiling_credited_at = now

    def return_local_units(self) -> None:
        """Return the local units to the shared bucket with the next call."""
        local_units = self.local_units()
        self.balance = 0.0
        self.leased = 0.0
        self.unreported -= local_units
        self.counter_balance += local_units

    # Estimates from the counter's last answer

    def projected_counter_balance(self, at: float) -> float:
        """Return the units in the bucket at `at`, projected from the counter's last answer, unbounded."""
        elapsed_ms = max(0.0, at - self.counter_balance_at)
        return self.counter_balance + self.plan.rate_per_s * elapsed_ms / 1000

    def available_to_all(self, now: float) -> float:
        """Return the units left for all limiters by the counter's last answer; 0 before the first answer."""
        if self.counter_window < 0:
            return 0.0
        return max(0.0, min(self.capacity(), self.projected_counter_balance(now)))

    def available_here(self, now: float, is_counter_available: bool) -> float:
        """Return this limiter's part of `available_to_all`; 0 while the counter is unavailable."""
        if not is_counter_available:
            return 0.0
        return self.available_to_all(now) / (1 if self.is_stored_on_counter else self.sharing_limiters)

    def obtainable_until(self, at: float) -> float:
        """Return the maximum units that this limiter can obtain from the shared bucket until `at`."""
        return self.local_units() + min(self.plan.burst, self.projected_counter_balance(at))

    def obtainable_without_counter(self, now: float, at: float) -> float:
        """Return the same maximum while the counter is unavailable: only this limiter's share of the rate is
        added."""
        return self.local_units() + self.plan.rate_per_s * (at - now) / 1000 / self.sharing_limiters

    def leased_balance_at_answer(self, at: float, used_by_others: float, self_credited: float) -> float:
        """Return the units in a leased bucket at the time (ms) of the counter's answer, before this call's
        request is granted.

        `used_by_others`: units that the other limiters have taken since the last answer, at unknown times.
        `self_credited`: units credited here while the counter was unavailable; each of the other limiters is
        assumed to have credited as many.

        Of these units as many as were requested or self-credited here, for each other limiter, count as taken
        evenly over the time. The rest counts as taken just now, from a bucket that was full if it may have
        overflowed: a tenant that becomes active again sends requests to all its limiters at once. The units
        taken just now never make the balance negative by themselves, because a full bucket grants no more
        than it contains. Without this rule each limiter would grant a full burst.
        """
        units_here = max(self_credited, self.units_since_reply)
        spread = min(used_by_others, units_here * (self.sharing_limiters - 1))
        self.units_since_reply = 0.0
        refilled = self.projected_counter_balance(at) - self_credited - spread
        recent = used_by_others - spread
        full = min(self.capacity(), refilled)
        return min(refilled - recent, max(full - recent, min(0.0, full)))

    def begin_window(self, window: int, started_at: float) -> None:
        """Switch to the counter's current window.

        A new window begins with a total of 0 and with the units that the bucket had by the last answer.
        """
        if window == self.counter_window:
            return
        self.counter_balance = min(self.capacity(), self.projected_counter_balance(started_at))
        self.counter_window = window
        self.counter_total = 0.0
        self.counter_balance_at = started_at
        self.is_window_unread = True
        self.is_reading_previous_window = False

    # Records

    def to_record(self, now: float, is_counter_available: bool) -> TenantRecord:
        """Return the record that is stored after the bucket's tenant is evicted.

        The bucket is full again when the rate has refilled the missing units. Its balance counts as the lower
        of two estimates: the units left by the counter's last answer, and the local units times the number
        of limiters. For a bucket on the counter only the first counts, except while the counter is
        unavailable: its last answer does not include the units credited since.
        """
        plan = self.plan
        capacity = self.capacity()
        remaining = min(capacity, self.projected_counter_balance(now)) - max(0.0, self.unreported)
        units_of_all_limiters = self.local_units() * self.sharing_limiters
        balance = (
            remaining
            if self.is_stored_on_counter and is_counter_available
            else min(remaining, units_of_all_limiters)
        )
        missing = capacity - balance
        full_at = now + 1000 * max(0.0, missing) / plan.rate_per_s if plan.rate_per_s else now
        if plan.ceiling_rate_per_s:
            missing_ceiling = plan.ceiling_burst - self.ceiling_balance * self.sharing_limiters
            full_at = max(full_at, now + 1000 * max(0.0, missing_ceiling) / plan.ceiling_rate_per_s)
        return TenantRecord(
            self.local_units(),
            self.unreported,
            remaining,
            self.counter_total,
            self.counter_window,
            now,
            full_at,
        )

    def restore(self, record: TenantRecord) -> None:
        """Restore the bucket from a record.

        The record may be another limiter's copy, so its balance is limited to the burst.
        """
        self.balance = min(record.balance, self.plan.burst) if self.plan.rate_per_s else record.balance
        self.unreported = record.unreported_units
        self.counter_balance = record.shared_balance
        self.counter_total = record.counter_total
        self.counter_window = record.counter_window
        self.counter_balance_at = record.evicted_at
        self.credited_at = record.evicted_at
        self.ceiling_credited_at = record.evicted_at
        self.ceiling_balance = 0.0
