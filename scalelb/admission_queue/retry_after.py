"""When a request would be served: how long it would be queued, and the Retry-After of a rejected one."""

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
    """Waits and reservations, by the backlog, the quota, earlier reservations and the fleet's throughput.

    It reads the parts of the admission queue that it is given; of them it changes the reservations alone.
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
        """Whether the quota that a request without a reservation needs is held for its tenant's others."""
        if quota is None or quota.rate_per_s <= 0 or request.is_already_charged or not self.settings.reserve:
            return False
        due_units, held_units, last_due_at = self.reservations.held(request.tenant, now)
        if not held_units:
            return False
        refill = quota.rate_per_s * max(0.0, last_due_at - now) / 1000.0
        left_now = quota.available_units - due_units
        left_at_last = quota.available_units + refill - held_units
        return min(left_now, left_at_last) < request.units

    def queue_wait_ms(self, request: AdmissionRequest, flow: str, weight: float) -> float:
        """How long a request would be queued: its flow's backlog at the flow's share of the capacity, but no
        longer than the whole queue at the whole capacity.  Reservations that are due before count too."""
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
        """Reserve for a rejected request: once the quota covers it and what is queued before it is served.
        Returns its Retry-After in milliseconds."""
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
        if rate_per_s == inf:  # neither queue nor quota is in the way: no endpoint had capacity just now
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
        """Units a second that a request's flow may expect."""
        return self.throughput.flow_rate_per_s(
            now,
            flow,
            flow_weight(self.settings, flow, request),
            self.fair_queue.total_weight,
            self.concurrency_limit.limit,
        )
