"""Admission: load shedding, and the check whether a tenant's balance covers a request.

Load is shed with an admission probability that follows the endpoints' answers. A request that is not shed
waits until the balance of its tenant covers the units by which the request exceeds a mean one. This refines
the rule of Gage, where the balance only must not be negative.
"""

from __future__ import annotations

import random
from math import inf

from scalelb.policy.counter_lease import CounterLeases
from scalelb.policy.idempotency_keys import ChargedKeys
from scalelb.policy.request import Request
from scalelb.policy.token_bucket import UNITS_TOLERANCE

LATE_ANSWER_RATIO = 0.5  # ratio of the latency objective from which an answer counts as late
LATE_ANSWER_FACTOR = 0.85  # multiplies the admission probability after a late answer
GOOD_ANSWER_STEP = 0.05  # added to the admission probability after an answer in time
RECOVERY_FACTOR = 1.05  # multiplies the admission probability once a second
MIN_ADMISSION_PROBABILITY = 0.005
PRECEDENCE_GAIN = 0.05  # weight of the newest request in the mean precedence


class LoadShedder:
    """The admission probability of one limiter: additive increase, multiplicative decrease."""

    def __init__(self, initial_precedence: float, rng: random.Random) -> None:
        self.admission_probability = 1.0
        self.mean_precedence = initial_precedence  # running average over all requests that arrive
        self.random = rng

    def sheds(self, precedence: float) -> bool:
        """Decide whether a request of this class precedence is shed.

        Requests of low precedence are shed first: the admission probability is raised to the power of the
        mean precedence divided by the request's own.
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
        """Raise the admission probability once a second; otherwise it would stay low without answers."""
        self.admission_probability = min(1.0, self.admission_probability * RECOVERY_FACTOR)


class QuotaCheck:
    """Decides whether a tenant's balance covers a request and whether to call the counter for it."""

    def __init__(self, leases: CounterLeases, charged_keys: ChargedKeys, rng: random.Random) -> None:
        self.leases = leases
        self.contention = leases.contention
        self.charged_keys = charged_keys
        self.random = rng

    def is_charged_elsewhere(self, request: Request, now: float) -> bool:
        """Whether another front end has charged an attempt with the request's key: then it is free here."""
        return self.charged_keys.is_charged_elsewhere(
            request.tenant.name, request.idempotency_key, request.listener_bit, now
        )

    def missing_units(self, request: Request, now: float) -> float:
        """Return the units that the balance lacks before the request may be sent.

        At 0 or below the request may be sent now. `inf` means that its tenant has reached its maximum of
        attempts in flight.

        A request that must wait for the counter needs all of its units, any other only its excess over a mean
        request. After the counter has been unavailable for long (`is_backoff_at_max`) a balance that is not
        negative is enough: this limiter's share of the rate would take minutes to cover an expensive class.
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
        """Decide whether the counter is called for a new request; updates the request and its bucket.

        A request of a bucket on the counter waits for the answer. Under contention the counter is called only
        for a sample of the requests, and each sampled request also charges the units of the unsampled ones
        that it represents. Unsampled requests are admitted at a rate that follows the counter's recent
        grants.
        """
        bucket = request.tenant.bucket
        if not bucket.is_stored_on_counter or bucket.balance >= request.units:
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
        """Whether to reject a request that needs the counter's answer but for which no call is made."""
        if is_sampled or not request.must_wait_for_counter:
            return False
        return request.tenant.bucket.balance < request.units
