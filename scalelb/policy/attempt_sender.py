"""Sends attempts: the last checks before an attempt, the selection of its endpoint, and the charge."""

from __future__ import annotations

from scalelb.policy import retry
from scalelb.policy.actions import AdmitRequest, SendAttempt
from scalelb.policy.admission import QuotaCheck
from scalelb.policy.concurrency_limit import ConcurrencyLimit
from scalelb.policy.endpoint_selection import EndpointSelector
from scalelb.policy.outbox import Outbox
from scalelb.policy.outlier_detection import TrackedEndpoint
from scalelb.policy.request import Attempt, Request
from scalelb.policy.retry import RetryPolicy
from scalelb.policy.running_estimates import RunningEstimates


class AttemptSender:
    """Sends the attempts of one limiter."""

    def __init__(
        self,
        outbox: Outbox,
        estimates: RunningEstimates,
        quota: QuotaCheck,
        retries: RetryPolicy,
        concurrency: ConcurrencyLimit,
        selector: EndpointSelector,
    ) -> None:
        self.outbox = outbox
        self.estimates = estimates
        self.quota = quota
        self.retries = retries
        self.concurrency = concurrency
        self.selector = selector
        self.requests: dict[int, Request] = {}  # requests without a final answer, by request id
        self.attempts: dict[tuple[int, int], Attempt] = {}  # in flight, by request id and attempt number
        self.has_no_capacity = False  # no endpoint had capacity for the last request

    def send(self, request: Request, now: float, is_charged: bool = True) -> bool:
        """Send an attempt to the best endpoint, or admit a request that only asks for admission.

        Returns False if the tenant's ceiling or this limiter's concurrency limit is reached or no endpoint
        has capacity available.
        """
        if self._exceeds_ceiling(request):
            return False
        if request.is_admission_only:
            self._admit(request, now, is_charged)
            return True
        if len(self.attempts) >= self.concurrency.limit:
            return False
        if self.has_no_capacity and not request.may_have_executed:
            return False
        tracked = self._select_endpoint(request, now)
        if tracked is None:
            # A request that may have been executed is limited to few endpoints: the others may have capacity.
            if not request.may_have_executed:
                self.has_no_capacity = True
            return False
        self._send_to(tracked, request, now)
        if request.attempts_sent == 1:
            self._charge(request, now, is_charged)
        return True

    @staticmethod
    def _exceeds_ceiling(request: Request) -> bool:
        bucket = request.tenant.bucket
        if request.attempts_sent or bucket.plan.ceiling_rate_per_s <= 0:
            return False
        return bucket.ceiling_balance < request.units

    def _select_endpoint(self, request: Request, now: float) -> TrackedEndpoint | None:
        for group in retry.allowed_groups(request, now, self.selector.endpoints.values()):
            tracked = self.selector.select(request, now, group)
            if tracked is not None:
                return tracked
        return None

    def _send_to(self, tracked: TrackedEndpoint, request: Request, now: float) -> None:
        name = tracked.endpoint.name
        timeout_ms = self.retries.attempt_timeout_ms(request, now, self.estimates.latency_ms)
        must_begin_within_ms = request.must_retry_before - now
        number = request.attempts_sent
        self.outbox.add(SendAttempt(request.request_id, number, name, timeout_ms, must_begin_within_ms))
        attempt = Attempt(request, tracked, tracked.endpoint, request.units / self.estimates.units, now)
        self.attempts[request.request_id, number] = attempt
        request.attempts_sent += 1
        request.last_endpoint = name
        request.tenant.attempts_in_flight += 1
        tracked.load_in_flight += attempt.load
        tracked.record_send(now, self.selector.idle_timeout_ms)

    def _admit(self, request: Request, now: float, is_charged: bool) -> None:
        """Admit a request that the caller forwards itself.

        It is charged like any other request and counts as in flight for the mean latency.
        """
        self._charge(request, now, is_charged)
        request.tenant.record_admitted(now + self.estimates.latency_ms)
        self.requests.pop(request.request_id, None)
        self.outbox.add(AdmitRequest(request.request_id))

    def _charge(self, request: Request, now: float, is_charged: bool) -> None:
        """Charge all units of a request; a request whose key another front end has charged is free."""
        bucket = request.tenant.bucket
        is_charged_elsewhere = self.quota.is_charged_elsewhere(request, now)
        if request.idempotency_key:
            window_ms = request.request_class.idempotency_window_ms
            self.quota.charged_keys.record(
                bucket.tenant, request.idempotency_key, request.listener_bit, now, window_ms
            )
        request.charged_units = 0.0
        if is_charged_elsewhere:
            return
        bucket.ceiling_balance -= request.units
        if is_charged:
            request.charged_units = request.units
            bucket.balance -= request.units
