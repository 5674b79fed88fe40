"""The admission queue: which requests are forwarded, queued or rejected, and when rejected ones may retry.

The caller reports events: `request_arrived` for each request, and `attempt_sent`, `attempt_ended`,
`request_finished` and others for forwarded ones.  It calls `remove_overdue` and `release` once per turn of
the event loop, and at `next_wakeup_at` at the latest.  Each queued request leaves the queue exactly once:
released, overdue, displaced or cancelled.  No I/O; times are passed in, in milliseconds.
"""

from __future__ import annotations

from math import inf
from typing import Any

from scalelb.admission_queue.admission_request import (
    AdmissionRequest,
    AdmissionResult,
    QueueDecision,
    QueuedRequest,
    QuotaBalance,
)
from scalelb.admission_queue.fair_queue import FairQueue
from scalelb.admission_queue.flow_classification import flow_of, flow_weight
from scalelb.admission_queue.forwarded_requests import ForwardedRequests
from scalelb.admission_queue.gradient_limit import GradientLimit
from scalelb.admission_queue.queued_requests import QueuedRequests
from scalelb.admission_queue.retry_after import RetryAfter
from scalelb.admission_queue.retry_after_reservations import RetryAfterReservations
from scalelb.admission_queue.settings import AdmissionQueueSettings
from scalelb.admission_queue.throughput_estimate import ThroughputEstimate

REDEEMED_RANK = -1e9  # a request that redeems a reservation is served before all others of its flow
SPARSE_LIMIT_RATIO = 2.0  # multiple of the concurrency limit that applies to a request of a sparse flow
MIN_RELATIVE_SIZE = 1e-6  # avoids a division by zero, as latencies are divided by the relative size


class AdmissionQueue:
    """The admission queue of one limiter.  `max_retry_after_ms`: the longest Retry-After; 0: no bound."""

    def __init__(self, settings: AdmissionQueueSettings, max_retry_after_ms: float = inf) -> None:
        self.settings = settings
        self.fair_queue: FairQueue[QueuedRequest] = FairQueue()
        self.queued = QueuedRequests()
        self.forwarded = ForwardedRequests(settings.max_unsent_per_flow)
        self.reservations = RetryAfterReservations(
            settings.max_reservations, settings.early_ms, settings.grace_ms
        )
        self.concurrency_limit = GradientLimit(
            settings.start_requests, settings.least_requests, settings.most_requests, settings.tolerance
        )
        self.throughput = ThroughputEstimate()
        self.retry_after = RetryAfter(
            settings,
            max_retry_after_ms or inf,
            self.fair_queue,
            self.reservations,
            self.concurrency_limit,
            self.throughput,
        )
        self.now = -inf
        # Event counts; the keys are the names in the log.
        self.counts = {"passed": 0, "held": 0, "late": 0, "crowded": 0, "reserved": 0, "overdue": 0}

    # Events of requests

    def request_arrived(
        self, now: float, request: AdmissionRequest, quota: QuotaBalance | None = None, payload: Any = None
    ) -> AdmissionResult:
        """Forward, queue or reject one request, in O(log n).  `quota`: None if its tenant has no quota."""
        now = self._advance_clock(now)
        self.reservations.expire(now)
        flow = flow_of(self.settings, request)
        redeemed = None
        if request.is_retry:
            redeemed = self.reservations.redeem(request.tenant, now, request.units)
        if redeemed is None and self.retry_after.is_quota_reserved(now, request, quota):
            self.counts["reserved"] += 1
            return self._reject(now, request, flow, quota)
        arrived = QueuedRequest(request, now, flow, payload)
        weight = flow_weight(self.settings, flow, request)
        is_sparse = flow not in self.fair_queue.flows and self.fair_queue.is_sparse(flow)
        must_pause = self.forwarded.has_too_many_unsent(flow)
        if (is_sparse or not self.fair_queue) and not must_pause and self._has_capacity(is_sparse):
            self.fair_queue.charge_unqueued(flow, weight, request.units)
            self._forward(arrived, now)
            return AdmissionResult(QueueDecision.FORWARD)
        if (
            redeemed is None
            and now + self.retry_after.queue_wait_ms(request, flow, weight) > request.latest_send_at
        ):
            self.counts["late"] += 1
            return self._reject(now, request, flow, quota)
        displaced = None
        if len(self.fair_queue) >= self.settings.max_queued:
            self.counts["crowded"] += 1
            displaced_entry = self.fair_queue.entry_to_displace(flow, weight, request.units)
            if displaced_entry is None:
                return self._reject(now, request, flow, quota)
            displaced = displaced_entry.item
            self._remove(displaced)
        rank = -request.priority_weight
        max_start_tag = None
        if redeemed is not None:
            rank = REDEEMED_RANK - request.priority_weight
            max_start_tag = redeemed.start_tag
        arrived.entry = self.fair_queue.push(flow, weight, request.units, arrived, rank, max_start_tag)
        if must_pause:
            self.fair_queue.pause(flow)
        self.queued.add(arrived)
        self.counts["held"] += 1
        if displaced is not None:
            retry_after_ms = self.retry_after.reserve(now, displaced.request, displaced.flow, None)
            return AdmissionResult(QueueDecision.QUEUE, retry_after_ms, displaced)
        return AdmissionResult(QueueDecision.QUEUE)

    def request_rejected(
        self, now: float, request_id: int, quota: QuotaBalance | None, retry_after_ms: float
    ) -> float:
        """Record that the limiter rejected a forwarded request and advises `retry_after_ms`.

        Makes a reservation for the request if possible.  Returns the Retry-After for its client, in
        milliseconds."""
        rejected = self.forwarded.by_id.get(request_id)
        if rejected is None or quota is None or quota.rate_per_s <= 0:
            return retry_after_ms
        now = self._advance_clock(now)
        missing_units = -quota.available_units
        if missing_units + rejected.request.units <= 0:  # the quota covers it: no endpoint had capacity
            return max(retry_after_ms, self.retry_after.reserve(now, rejected.request, rejected.flow, None))
        return self.retry_after.reserve(now, rejected.request, rejected.flow, quota)

    def attempt_sent(self, request_id: int) -> None:
        """Record that an attempt of a forwarded request was sent; only the first attempt has an effect."""
        forwarded = self.forwarded.by_id.get(request_id)
        if forwarded is not None and not forwarded.is_sent:
            forwarded.is_sent = True
            self.forwarded.in_flight += 1
            self.forwarded.remove_unsent(forwarded.flow)
            self.fair_queue.resume(forwarded.flow)

    def request_admitted(self, now: float, request_id: int, usual_latency_ms: float) -> None:
        """Record that the caller of a forwarded request sends it itself.

        The request counts as in flight for the usual latency, as its end is not reported."""
        if request_id in self.forwarded.by_id:
            self.forwarded.count_in_flight_until(now + usual_latency_ms)

    def attempt_ended(
        self,
        now: float,
        endpoint: str,
        latency_ms: float,
        relative_size: float,
        endpoint_load: float,
        succeeded: bool,
    ) -> None:
        """Record the end of an attempt.

        `relative_size`: its expected latency, as a multiple of that of a request of mean size.
        `endpoint_load`: this limiter's other load on the endpoint when the attempt was sent, in requests of
        mean size."""
        now = self._advance_clock(now)
        in_flight = self.forwarded.in_flight
        is_saturated = len(self.fair_queue) > 0
        self.throughput.record_response(now, latency_ms, succeeded, in_flight, is_saturated)
        mean_size_latency_ms = latency_ms / max(relative_size, MIN_RELATIVE_SIZE)
        self.concurrency_limit.attempt_ended(
            now, endpoint, mean_size_latency_ms, endpoint_load, in_flight, succeeded
        )

    def request_finished(self, request_id: int) -> None:
        """Record that a forwarded request was answered or cancelled.  No effect for other requests."""
        finished = self.forwarded.by_id.pop(request_id, None)
        if finished is None:
            return
        if finished.is_sent:
            self.forwarded.in_flight -= 1
        else:
            self.forwarded.remove_unsent(finished.flow)
            self.fair_queue.resume(finished.flow)

    def request_cancelled(self, request_id: int) -> bool:
        """Remove a queued request whose client has disconnected.  Returns whether it was queued."""
        cancelled = self.queued.by_id.get(request_id)
        if cancelled is not None:
            self._remove(cancelled)
        return cancelled is not None

    # Once per turn

    def release(self, now: float, is_blocked: bool = False) -> list[QueuedRequest]:
        """Remove and return the requests to be forwarded now, in order.

        `is_blocked`: whether no endpoint has capacity."""
        now = self._advance_clock(now)
        self.forwarded.remove_ended(now)
        self.reservations.expire(now)
        released: list[QueuedRequest] = []
        in_flight = self.forwarded.in_flight
        while self.fair_queue and not (is_blocked and in_flight > 0):
            if in_flight > 0 and in_flight >= self.concurrency_limit.limit:
                break
            entry = self.fair_queue.pop()
            if entry is None:
                break
            queued = entry.item
            del self.queued.by_id[queued.request.request_id]
            queued.entry = None
            self._forward(queued, now)
            in_flight += 1
            released.append(queued)
            if self.forwarded.has_too_many_unsent(queued.flow):
                self.fair_queue.pause(queued.flow)
        return released

    def remove_overdue(self, now: float) -> list[tuple[QueuedRequest, float]]:
        """Remove and return the requests that can't be sent in time any more, with their Retry-After (ms)."""
        now = self._advance_clock(now)
        overdue = []
        while (queued := self.queued.find_overdue(now)) is not None:
            self._remove(queued)
            self.counts["overdue"] += 1
            overdue.append((queued, self.retry_after.reserve(now, queued.request, queued.flow, None)))
        return overdue

    def next_wakeup_at(self) -> float:
        """Return when `remove_overdue` and `release` are due if no event arrives before; may be infinite."""
        next_overdue_at = self.queued.next_overdue_at()
        if self.forwarded.expected_ends and self.fair_queue:
            return min(next_overdue_at, self.forwarded.expected_ends[0])
        return next_overdue_at

    def log_fields(self) -> dict[str, object]:
        """Return fields for the log: the current state, and the event counts since the last call."""
        fields: dict[str, object] = {
            "door": {
                "held": len(self.fair_queue),
                "flows": len(self.fair_queue.flows),
                "out": self.forwarded.in_flight,
                "limit": round(self.concurrency_limit.limit, 1),
                "stretch": round(self.concurrency_limit.latency_ratio, 2),
                "promised": self.reservations.count,
                **{name: count for name, count in self.counts.items() if count},
            },
            "promises": {name: count for name, count in self.reservations.counts.items() if count},
        }
        self.counts = dict.fromkeys(self.counts, 0)
        self.reservations.counts = dict.fromkeys(self.reservations.counts, 0)
        return fields

    # Helpers

    def _advance_clock(self, now: float) -> float:
        """Return the latest time seen, as a clock that steps back would make waits and rates negative."""
        self.now = max(self.now, now)
        return self.now

    def _has_capacity(self, is_sparse: bool) -> bool:
        limit = self.concurrency_limit.limit
        if is_sparse:
            limit *= SPARSE_LIMIT_RATIO
        return self.forwarded.in_flight < limit

    def _forward(self, queued: QueuedRequest, now: float) -> None:
        self.throughput.record_forwarded(now, queued.flow, queued.request.units)
        self.forwarded.add(queued)
        self.counts["passed"] += 1

    def _remove(self, queued: QueuedRequest) -> None:
        del self.queued.by_id[queued.request.request_id]
        if queued.entry is not None:
            self.fair_queue.remove(queued.entry)
            queued.entry = None

    def _reject(
        self, now: float, request: AdmissionRequest, flow: str, quota: QuotaBalance | None
    ) -> AdmissionResult:
        return AdmissionResult(QueueDecision.REJECT, self.retry_after.reserve(now, request, flow, quota))
