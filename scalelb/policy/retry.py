"""Retry policy: whether a failed attempt is retried, on which endpoints, and until when."""

from __future__ import annotations

import random
from collections.abc import Iterable

from scalelb.policy.events import NEVER_EXECUTED, NEVER_REACHED_ENDPOINT, Outcome
from scalelb.policy.idempotency_keys import deduplication_group, preferred_groups
from scalelb.policy.outlier_detection import TrackedEndpoint
from scalelb.policy.request import Attempt, Request
from scalelb.policy.retry_budget import RetryBudget
from scalelb.policy.settings import DeduplicationScope, Idempotency, Settings

# Timeout of an attempt that can be retried, as a ratio of the latency objective.
TIMEOUT_OBJECTIVE_RATIO = 0.5
# Minimum of that timeout, in usual latencies.
TIMEOUT_LATENCY_FACTOR = 4.0


class RetryPolicy:
    """Decides about the retries of one limiter."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.max_attempts = settings.max_attempts
        self.random = rng
        self.budget = RetryBudget(settings.limiter_count)

    def attempt_timeout_ms(self, request: Request, now: float, usual_latency_ms: float) -> float:
        """Return the timeout (ms) of an attempt.

        0 means the client's deadline, as no further attempt is possible or could still end in time.
        """
        request_class = request.request_class
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return 0.0
        if request.attempts_sent + 1 >= self.max_attempts:
            return 0.0
        timeout_ms = max(
            TIMEOUT_OBJECTIVE_RATIO * request_class.latency_objective_ms,
            TIMEOUT_LATENCY_FACTOR * usual_latency_ms,
        )
        if now + timeout_ms + usual_latency_ms >= request.due_at:
            return 0.0
        return timeout_ms

    def may_retry(self, request: Request, outcome: Outcome, admission_probability: float) -> bool:
        """Whether attempt limit, retry budget and load allow another attempt.

        The caller checks idempotency and the remaining time (`QueueTimes.latest_send_at`, `allowed_groups`).

        A timeout is retried only with the admission probability, as under overload the endpoints are still
        busy with the first attempt. Retrying an attempt that never reached an endpoint costs no budget.
        """
        is_allowed = request.attempts_sent < self.max_attempts
        if self.budget.is_exhausted() and outcome not in NEVER_REACHED_ENDPOINT:
            is_allowed = False
        if outcome is Outcome.TIMEOUT and self.random.random() > admission_probability:
            is_allowed = False
        return is_allowed

    def spend(self, outcome: Outcome) -> None:
        """Charge the retry budget for the attempt that follows `outcome`."""
        if outcome not in NEVER_REACHED_ENDPOINT:
            self.budget.spend()


def record_execution(attempt: Attempt, outcome: Outcome) -> None:
    """Record where and when a request may first have been executed, which restricts its retries."""
    request = attempt.request
    if outcome in NEVER_EXECUTED or request.may_have_executed:
        return
    request.may_have_executed = True
    request.executed_at = attempt.sent_at
    request.executed_on = attempt.sent_to


def allowed_groups(request: Request, now: float, endpoints: Iterable[TrackedEndpoint]) -> list[int | None]:
    """Return the deduplication groups that an attempt may go to, most preferred first; `None`: any endpoint.

    After a possible execution, a request with an idempotency key may go only to the group that drops its
    duplicate, within the idempotency window, and a request that is not idempotent to none. The first attempt
    with a key goes to the key's preferred group, and so does a retry through another limiter.
    """
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return [None]
    scope = request_class.deduplication_scope
    if request.may_have_executed:
        if request.executed_on is None or now >= request.must_retry_before:
            return []
        return [deduplication_group(request.executed_on, scope)]
    if request.idempotency_key and scope is not DeduplicationScope.ALL:
        groups = {deduplication_group(tracked.endpoint, scope) for tracked in endpoints}
        return preferred_groups(request.idempotency_key, groups)
    return [None]
