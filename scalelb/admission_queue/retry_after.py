"""Estimates of how long a request would be queued, and the Retry-After of rejected requests."""

from __future__ import annotations

from math import inf

from scalelb.admission_queue.admission_request import AdmissionRequest, QueuedRequest, QuotaBalance
from scalelb.admission_queue.fair_queue import FairQueue
from scalelb.admission_queue.flow_classification import flow_weight
from scalelb.admission_queue.gradient_limit import GradientLimit
from scalelb.admission_queue.retry_after_reservations import RetryAfterReservations
from scalelb.admission_queue.settings import AdmissionQueueSettings
from scalelb.admission_queue.throughput_estimate import ThroughputEstimate


class RetryAfter:
    """Waits and reservations, from the backlog, the quota, earlier reservations and the fleet's throughput.

    Of the components of the admission queue that are passed in, it changes only the reservations.
    """

    def __init__(
        self,
        settings: AdmissionQueueSettings,
        max_retry_after_ms: float,
        fair_queue: FairQueue[QueuedRequest],
        reservations: RetryAfterReservations,
        concurrency_limit: GradientLimit,
        throughput: ThroughputEstimate,
    ) -> None:
        self.settings = settings
        self.max_retry_after_ms = max_retry_after_ms
        self.fair_queue = fair_queue
        self.reservations = reservations
        self.concurrency_limit = concurrency_limit
        self.throughput = throughput

    def is_quota_reserved(self, now: float, request: AdmissionRequest, quota: QuotaBalance | None) -> bool:
        """Return whether the quota that a request without a reservation needs is reserved for other requests
        of its tenant."""
        if quota is None or quota.rate_per_s <= 0 or request.is_already_charged or not self.settings.reserve:
            return False
        due_units, reserved_units, last_due_at = self.reservations.reserved(request.tenant, now)
        if not reserved_units:
            return False
        refilled_units = quota.rate_per_s * max(0.0, last_due_at - now) / 1000.0
        available_now = quota.available_units - due_units
        available_at_last_due = quota.available_units + refilled_units - reserved_units
        return min(available_now, available_at_last_due) < request.units

    def queue_wait_ms(self, request: AdmissionRequest, flow: str, weight: float) -> float:
        """Return how long a request would be queued.

        That is the backlog of its flow at the flow's share of the capacity, but no longer than the entire
        queue at the entire capacity.  Reservations that are due before its latest send time count as well."""
        reserved_units = self.reservations.units_due_before(request.tenant, request.latest_send_at)
        units = request.units + reserved_units
        rate_per_ms = self.throughput.capacity_per_s(self.concurrency_limit.limit) / 1000.0
        own_flow = self.fair_queue.flows.get(flow)
        backlog_units = units
        total_weight = self.fair_queue.total_weight
        if own_flow is not None:
            backlog_units += own_flow.queued_units
            weight = own_flow.weight
        else:
            total_weight += weight
        queue_units = self.fair_queue.queued_units + units
        return min(backlog_units * total_weight / weight, queue_units) / rate_per_ms

    def reserve(self, now: float, request: AdmissionRequest, flow: str, quota: QuotaBalance | None) -> float:
        """Make a reservation for a rejected request.

        It is due when the quota covers the request and the requests queued before it have been served.
        Returns the Retry-After in milliseconds."""
        rate_per_s = inf
        missing_units = -request.units
        if self.fair_queue:
            own_flow = self.fair_queue.flows.get(flow)
            rate_per_s = self._flow_rate_per_s(now, request, flow)
            missing_units = own_flow.queued_units if own_flow else 0.0
        if quota is not None and quota.rate_per_s > 0:
            is_quota_slower = quota.rate_per_s < rate_per_s
            if is_quota_slower or -quota.available_units > missing_units:
                rate_per_s = min(rate_per_s, quota.rate_per_s)
                missing_units = max(missing_units, -quota.available_units)
        if rate_per_s == inf:  # neither queue nor quota limits it: no endpoint had capacity
            rate_per_s = self._flow_rate_per_s(now, request, flow)
        retry_after_ms, _ = self.reservations.reserve(
            request.tenant,
            now,
            request.units,
            missing_units,
            rate_per_s,
            self.max_retry_after_ms,
            self.fair_queue.virtual_time,
        )
        return retry_after_ms

    def _flow_rate_per_s(self, now: float, request: AdmissionRequest, flow: str) -> float:
        """Return the units per second that the flow of a request may expect."""
        return self.throughput.flow_rate_per_s(
            now,
            flow,
            flow_weight(self.settings, flow, request),
            self.fair_queue.total_weight,
            self.concurrency_limit.limit,
        )
