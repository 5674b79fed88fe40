"""Admission: load shedding, and whether the balance of a tenant covers a request.

Load is shed with an admission probability that follows the endpoints' answers. A request that is not shed
waits until the balance of its tenant is not negative (Gage), or rather until it covers what the request costs
beyond a mean one.
"""

from __future__ import annotations

import random
from math import inf

from scalelb.policy.counter_lease import CounterLeases
from scalelb.policy.idempotency_keys import ChargedKeys
from scalelb.policy.request import Request
from scalelb.policy.token_bucket import UNITS_TOLERANCE

LATE_ANSWER_RATIO = 0.5  # of the latency objective: a slower answer is late
LATE_ANSWER_FACTOR = 0.85  # of the admission probability, after a late answer
GOOD_ANSWER_STEP = 0.05  # of the admission probability, after an answer in time
RECOVERY_FACTOR = 1.05  # of the admission probability, each second
MIN_ADMISSION_PROBABILITY = 0.005
PRECEDENCE_GAIN = 0.05  # weight of the newest request in the mean precedence


class LoadShedder:
    """The admission probability of one limiter: additive increase, multiplicative decrease."""

    def __init__(self, initial_precedence: float, rng: random.Random) -> None:
        self.admission_probability = 1.0
        self.mean_precedence = initial_precedence  # of the requests that arrive
        self.random = rng

    def sheds(self, precedence: float) -> bool:
        """Decide whether a request of this class precedence is shed.

        Sheds low-priority requests first: the admission probability is raised to the mean precedence over the
        request's own.
        """
        self.mean_precedence += PRECEDENCE_GAIN * (precedence - self.mean_precedence)
        relative_precedence = self.mean_precedence / max(precedence, 1e-9)
        threshold: float = self.admission_probability**relative_precedence
        return self.random.random() > threshold

    def on_answer(self, is_late: bool) -> None:
        """Adapt the admission probability to an answer of an endpoint."""
        if is_late:
            lowered = self.admission_probability * LATE_ANSWER_FACTOR
            self.admission_probability = max(MIN_ADMISSION_PROBABILITY, lowered)
        else:
            self.admission_probability = min(1.0, self.admission_probability + GOOD_ANSWER_STEP)

    def recover(self) -> None:
        """Raise the admission probability a little, once a second: without answers it would stay low."""
        self.admission_probability = min(1.0, self.admission_probability * RECOVERY_FACTOR)


class QuotaCheck:
    """Whether the balance of a tenant covers a request, and whether the counter is asked for it."""

    def __init__(self, leases: CounterLeases, charged_keys: ChargedKeys, rng: random.Random) -> None:
        self.leases = leases
        self.contention = leases.contention
        self.charged_keys = charged_keys
        self.random = rng

    def is_charged_elsewhere(self, request: Request, now: float) -> bool:
        """Whether another front end has charged an attempt with the request's key, so that it costs nothing
        here."""
        return self.charged_keys.is_charged_elsewhere(
            request.tenant.name, request.idempotency_key, request.listener_bit, now
        )

    def missing_units(self, request: Request, now: float) -> float:
        """Return the units that the balance lacks before the request may be sent; at most 0: it may be sent
        now; `inf`: its tenant has as many attempts in flight as it may.

        A request that must wait for the counter needs all of its units, any other its excess over a mean one.
        Once the counter has been unavailable for long (`is_backoff_at_max`) a balance that is not negative is
        enough: this limiter's share of the rate would take minutes to cover an expensive class.
        """
        tenant = request.tenant
        bucket = tenant.bucket
        if tenant.is_at_concurrency_limit():
            return inf
        if not bucket.plan.rate_per_s or request.attempts_sent:
            return 0.0
        if request.must_wait_for_counter:
            needed = request.units - UNITS_TOLERANCE
        elif self.contention.is_backoff_at_max and not bucket.was_empty:
            needed = 0.0
        else:
            needed = max(0.0, request.units - bucket.mean_units)
        missing = needed - bucket.balance
        if missing > 0 and self.is_charged_elsewhere(request, now):
            return 0.0
        return missing

    def sample_for_counter(self, request: Request, now: float, latest_send_at: float) -> bool:
        """Decide whether the counter is asked for a new request; changes the request and its bucket.

        One of a bucket on the counter waits for the answer. Under contention the counter is asked for a
        sample of the requests, with as much more for each; of the others as many are admitted unasked as the
        counter lately granted.
        """
        bucket = request.tenant.bucket
        if not bucket.is_kept_on_counter or bucket.balance >= request.units:
            return True
        if self.is_charged_elsewhere(request, now):
            return True
        over_quota_cost = bucket.plan.over_quota_cost_ratio
        is_sampled = self.random.random() < self.contention.sampling_rate
        is_counter_available = self.leases.is_counter_available()
        request.must_wait_for_counter = is_counter_available
        is_empty = bucket.was_empty or bucket.obtainable_until(latest_send_at) < request.units
        may_admit_unasked = not is_sampled and is_counter_available and not is_empty
        if may_admit_unasked and self.random.random() < self.contention.admission_rate(over_quota_cost):
            bucket.balance = request.units
        if is_sampled and not bucket.was_empty and not bucket.has_call_in_flight:
            bucket.unreported += request.units * self.contention.extra_weight(over_quota_cost)
        return is_sampled

    def is_rejected_unsampled(self, request: Request, is_sampled: bool) -> bool:
        """Whether a request is rejected that needs the counter's answer, as the counter is not asked."""
        if is_sampled or not request.must_wait_for_counter:
            return False
        return request.tenant.bucket.balance < request.units
