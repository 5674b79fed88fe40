"""A tenant's token bucket at one limiter: what it may grant now, and what the counter last said.

The bucket belongs to all limiters that share the tenant. Each holds a local balance that it may grant without
asking, takes leases of further units from the shared counter (`counter_lease`), and reports to the counter
what it granted unasked. A second bucket, the ceiling, is split evenly and never exceeded.
"""

from __future__ import annotations

from dataclasses import dataclass

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.policy.settings import Plan

OVERDRAFT_RESERVE_REQUESTS = (
    1.0  # mean requests of each limiter that are never leased: they cover its overdraft
)
MAX_OVERDRAFT_RESERVE_RATIO = 0.5  # of the burst
UNITS_TOLERANCE = 1e-6  # rounding errors of sums of units


@dataclass(slots=True, eq=False)
class TokenBucket:
    """The bucket of one tenant.  Units throughout; times in ms."""

    tenant: str
    plan: Plan
    sharing_limiters: int
    mean_units: float  # of a request of this tenant, running average of the true cost
    created_at: float
    ceiling_balance: float  # this limiter's share of the ceiling
    is_kept_on_counter: bool = False  # nothing is held here: see `shared_counter`

    # What this limiter may grant.
    balance: float = 0.0
    leased: float = 0.0  # leased, not yet credited to the balance
    lease_credited_from: float = 0.0  # when the lease begins to be credited
    credited_at: float = 0.0
    ceiling_credited_at: float = 0.0

    # What the counter does not know yet.
    unreported: float = 0.0  # granted here, not yet added to the counter
    self_credited: float = 0.0  # the part of it that was credited while the counter was unavailable
    units_since_reply: float = 0.0  # asked for here since the counter's last answer

    # What the counter said.
    counter_balance: float = 0.0  # left for all limiters at `counter_balance_at`
    counter_balance_at: float = 0.0
    counter_total: float = 0.0
    counter_window: int = -1  # of the last call; -1: none
    was_empty: bool = False  # at the last answer
    is_window_unread: bool = False  # no answer in this window yet
    is_reading_previous_window: bool = False
    overflow: float = 0.0  # taken off with the call in flight, as the bucket has overflowed

    # The counter call in flight.
    has_call_in_flight: bool = False
    last_call_at: float = 0.0
    call_amount: float = 0.0
    requested: float = 0.0  # the part of `call_amount` that is to be granted

    def __post_init__(self) -> None:
        self.credited_at = self.created_at
        self.ceiling_credited_at = self.created_at
        self.counter_balance_at = self.created_at

    def on_hand(self) -> float:
        """Return the units that are granted to this limiter and not used."""
        return self.balance + self.leased

    def capacity(self) -> float:
        """Return what of the burst may be leased; the rest covers the overdrafts of all limiters.  There are
        none where each request waits for the counter's answer."""
        burst = self.plan.burst
        if self.is_kept_on_counter:
            return burst
        reserve = OVERDRAFT_RESERVE_REQUESTS * (self.sharing_limiters + 1) * self.mean_units
        return burst - min(reserve, MAX_OVERDRAFT_RESERVE_RATIO * burst)

    # Refill

    def credit(self, now: float, refills_itself: bool) -> None:
        """Credit what the rate brought since the last call: from the lease, and this limiter's share of the
        rate where it `refills_itself`, as there is no counter or none that answers."""
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

    def return_on_hand(self) -> None:
        """Return what is on hand to the shared bucket, with the next call."""
        on_hand = self.on_hand()
        self.balance = 0.0
        self.leased = 0.0
        self.unreported -= on_hand
        self.counter_balance += on_hand

    # What the counter's last answer tells

    def projected_counter_balance(self, at: float) -> float:
        """Return the units in the bucket at `at`, by the counter's last answer and without a bound."""
        elapsed_ms = max(0.0, at - self.counter_balance_at)
        return self.counter_balance + self.plan.rate_per_s * elapsed_ms / 1000

    def available_to_all(self, now: float) -> float:
        """Return what the counter's last answer leaves for all limiters; 0 before the first."""
        if self.counter_window < 0:
            return 0.0
        return max(0.0, min(self.capacity(), self.projected_counter_balance(now)))

    def available_here(self, now: float, is_counter_available: bool) -> float:
        """Return this limiter's part of it; 0 while the counter is unavailable."""
        if not is_counter_available:
            return 0.0
        return self.available_to_all(now) / (1 if self.is_kept_on_counter else self.sharing_limiters)

    def obtainable_until(self, at: float) -> float:
        """Return the most units that a shared bucket can have for this limiter until `at`."""
        return self.on_hand() + min(self.plan.burst, self.projected_counter_balance(at))

    def obtainable_without_counter(self, now: float, at: float) -> float:
        """Return the same while the counter is unavailable: this limiter's share of the rate is all."""
        return self.on_hand() + self.plan.rate_per_s * (at - now) / 1000 / self.sharing_limiters

    def leased_balance_at_answer(self, at: float, used_by_others: float, self_credited: float) -> float:
        """Return the units in a bucket that limiters lease from, when the counter answers (ms) and before
        what this call asks for.

        `used_by_others`: units that the other limiters have taken since the last answer, at times it does not
        tell. `self_credited`: units credited here while the counter was unavailable; each of the others has
        credited as many.

        As many of those units as came here, for each limiter, count as spread over the time. The rest was
        taken just now, from a bucket that was full where it may have overflowed: a tenant that comes back
        comes to all its limiters at once. For that alone the bucket is never taken to be overdrawn, as a full
        bucket gives no more than it holds. Without this a burst would be handed out by each limiter.
        """
        units_here = max(self_credited, self.units_since_reply)
        spread = min(used_by_others, units_here * (self.sharing_limiters - 1))
        self.units_since_reply = 0.0
        refilled = self.projected_counter_balance(at) - self_credited - spread
        recent = used_by_others - spread
        full = min(self.capacity(), refilled)
        return min(refilled - recent, max(full - recent, min(0.0, full)))

    def begin_window(self, window: int, began_at: float) -> None:
        """Go on in the counter's current window; a new one begins at a total of 0, with the units that the
        bucket held by the last answer."""
        if window == self.counter_window:
            return
        self.counter_balance = min(self.capacity(), self.projected_counter_balance(began_at))
        self.counter_window = window
        self.counter_total = 0.0
        self.counter_balance_at = began_at
        self.is_window_unread = True
        self.is_reading_previous_window = False

    # Records

    def to_record(self, now: float, is_counter_available: bool) -> TenantRecord:
        """Return what is kept of the bucket after its tenant is evicted.

        It is full again once the rate has covered what is missing, by the counter's last answer and by what
        is on hand here. While the counter is unavailable only that counts, as what was credited since is in
        no answer of it.
        """
        plan = self.plan
        capacity = self.capacity()
        left = min(capacity, self.projected_counter_balance(now)) - max(0.0, self.unreported)
        on_hand_everywhere = self.on_hand() * self.sharing_limiters
        known = left if self.is_kept_on_counter and is_counter_available else min(left, on_hand_everywhere)
        missing = capacity - known
        full_at = now + 1000 * max(0.0, missing) / plan.rate_per_s if plan.rate_per_s else now
        if plan.ceiling_rate_per_s:
            missing_ceiling = plan.ceiling_burst - self.ceiling_balance * self.sharing_limiters
            full_at = max(full_at, now + 1000 * max(0.0, missing_ceiling) / plan.ceiling_rate_per_s)
        return TenantRecord(
            self.on_hand(), self.unreported, left, self.counter_total, self.counter_window, now, full_at
        )

    def restore(self, record: TenantRecord) -> None:
        """Go on where a record ends.  It may be another limiter's copy, and no bucket holds more than its
        burst."""
        self.balance = min(record.balance, self.plan.burst) if self.plan.rate_per_s else record.balance
        self.unreported = record.unreported_units
        self.counter_balance = record.shared_balance
        self.counter_total = record.counter_total
        self.counter_window = record.counter_window
        self.counter_balance_at = record.evicted_at
        self.credited_at = record.evicted_at
        self.ceiling_credited_at = record.evicted_at
        self.ceiling_balance = 0.0
