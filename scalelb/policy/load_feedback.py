"""Feedback from attempts: updates endpoint health, load control and latency estimates with each outcome."""

from __future__ import annotations

from math import inf

from scalelb.policy.admission import LATE_ANSWER_RATIO, LoadShedder
from scalelb.policy.concurrency_limit import ConcurrencyLimit
from scalelb.policy.endpoint_selection import EndpointSelector
from scalelb.policy.events import LOAD_SIGNALS, AttemptEnded, Outcome
from scalelb.policy.outlier_detection import fault_memory_ms
from scalelb.policy.request import Attempt, Request
from scalelb.policy.retry_budget import RetryBudget
from scalelb.policy.running_estimates import RunningEstimates

TENANT_UNITS_GAIN = 0.1  # weight of the newest true units in a tenant's mean units


class LoadFeedback:
    """Passes each outcome to all components that adapt to it."""

    def __init__(
        self,
        estimates: RunningEstimates,
        shedder: LoadShedder,
        concurrency: ConcurrencyLimit,
        budget: RetryBudget,
        selector: EndpointSelector,
    ) -> None:
        self.estimates = estimates
        self.shedder = shedder
        self.concurrency = concurrency
        self.budget = budget
        self.selector = selector
        self.last_rejection_at = -inf  # ms; when an endpoint last rejected an attempt

    def record(self, attempt: Attempt, event: AttemptEnded, now: float, in_flight: int) -> None:
        """Record the outcome of an attempt at `now` (ms), while `in_flight` other attempts are in flight."""
        outcome = event.outcome
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        tracked = attempt.endpoint
        objective_ms = attempt.request.request_class.latency_objective_ms
        is_good = outcome is Outcome.OK
        units = event.true_units or attempt.request.units
        is_warm_work = is_good and tracked.is_serving and tracked.is_warm()
        self.budget.on_answer(is_good)
        self.selector.slow_start.record_work(now, units if is_warm_work else 0.0)
        latency_ms = max(objective_ms, event.elapsed_ms)
        if is_good:
            latency_ms = event.elapsed_ms / self.estimates.relative_size(units)
        self.estimates.record_answer_time(now)
        memory_ms = fault_memory_ms(self.estimates.answer_interval_ms, len(self.selector.endpoints))
        tracked.record_outcome(now, outcome, latency_ms, self.estimates.latency_ms, memory_ms)
        # An endpoint in slow start is slow even without load, so its answers are no signal of the load.
        if outcome in LOAD_SIGNALS and tracked.is_warm():
            is_late = outcome is Outcome.REJECTED or event.elapsed_ms >= LATE_ANSWER_RATIO * objective_ms
            self.shedder.on_answer(is_late)
            self.concurrency.on_answer(is_late, in_flight, self.estimates.answer_interval_ms)
        if is_good:
            self.estimates.record_latency(latency_ms)
        if outcome is Outcome.REJECTED:
            self.last_rejection_at = now
        tracked.adapt_concurrency_limit(now, is_good, event.elapsed_ms, objective_ms)

    def settle(self, request: Request, true_units: float) -> None:
        """Replace the estimated units of a request by its true units."""
        bucket = request.tenant.bucket
        bucket.mean_units += TENANT_UNITS_GAIN * (true_units - bucket.mean_units)
        self.estimates.record_units(true_units)
        if request.charged_units:
            bucket.balance += request.charged_units - true_units
