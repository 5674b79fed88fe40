"""Between the core and the admission queue: who waits, who is passed on, who is rejected."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Protocol

from scalelb.admission_queue import (
    AdmissionQueue,
    AdmissionQueueSettings,
    AdmissionRequest,
    QueueDecision,
    QuotaBalance,
)
from scalelb.core.request_table import OpenRequest, RequestTable
from scalelb.policy.actions import RejectRequest
from scalelb.policy.events import Event, RequestArrived
from scalelb.policy.limiter import Limiter
from scalelb.policy.settings import Settings


class Lifecycle(Protocol):
    """What the adapter needs of the core."""

    def decide(self, events: list[Event], now: float) -> None:
        """Hand events to the decisions and carry out the actions they return."""

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Reject a request that has not reached the decisions."""

    def contain(self, error: Exception) -> None:
        """Report a fault that costs only what it concerns."""

    def fail_after_fault(self, request_id: int) -> None:
        """Answer a request with which something failed."""


class QueueAdapter:
    """The admission queue in front of the decisions.  Times in ms."""

    def __init__(
        self,
        queue_settings: AdmissionQueueSettings,
        settings: Settings,
        limiter: Limiter,
        open_requests: RequestTable,
        lifecycle: Lifecycle,
    ) -> None:
        max_retry_after_ms = settings.max_retry_after_ms if settings.sends_retry_after else 1.0
        self.queue = AdmissionQueue(queue_settings, max_retry_after_ms)
        self.settings = settings
        self.limiter = limiter
        self.open_requests = open_requests
        self.lifecycle = lifecycle
        self.check_at = inf  # for when a check is scheduled

    def process(self, events: list[Event], now: float) -> float | None:
        """Hand the events to the queue and the decisions; return when to check the queue next, if that is to
        be scheduled.  What ended frees capacity and comes first, then who waits, then who arrives."""
        arrivals = [event for event in events if isinstance(event, RequestArrived)]
        self.lifecycle.decide([event for event in events if not isinstance(event, RequestArrived)], now)
        self._is_done(lambda: self._reject_overdue(now))
        self._is_done(lambda: self._release(now))
        for event in arrivals:
            if not self._is_done(lambda event=event: self._enqueue(event, now)):  # type: ignore[misc]
                self.lifecycle.fail_after_fault(event.request_id)
        self._is_done(lambda: self._release(now))
        check_at = self.queue.next_wakeup_at()
        if check_at == inf or now < self.check_at <= check_at:
            return None
        self.check_at = check_at
        return check_at

    def _is_done(self, step: Callable[[], None]) -> bool:
        """Take one step; a fault in it must not cost the steps after it."""
        try:
            step()
        except Exception as error:
            self.lifecycle.contain(error)
            return False
        return True

    def _reject_overdue(self, now: float) -> None:
        for queued, retry_after_ms in self.queue.remove_overdue(now):
            self.lifecycle.reject(queued.request.request_id, retry_after_ms)

    def check_came_due(self) -> None:
        """The scheduled check has come due."""
        self.check_at = inf

    def _release(self, now: float) -> None:
        """Pass on what the queue releases, until it releases nothing more."""
        while released := self.queue.release(now, self.limiter.sender.has_no_capacity):
            events: list[Event] = []
            for queued in released:
                queued_ms = now - queued.arrived_at
                event: RequestArrived = queued.payload
                expires_in_ms = event.expires_in_ms - queued_ms
                events.append(replace(event, queued_ms=queued_ms, expires_in_ms=expires_in_ms))
            self.lifecycle.decide(events, now)

    def _enqueue(self, event: RequestArrived, now: float) -> None:
        """Pass a new request on, let it wait or reject it; it may displace another that waits."""
        request = self.open_requests.get(event.request_id)
        if request is None or request.is_finished:
            return
        credit = self._credit(event.tenant, now)
        ask = self._ask(event, request, now)
        request.relative_cost = self.limiter.estimates.relative_size(event.units)
        decision, retry_after_ms, displaced = self.queue.request_arrived(now, ask, credit, event)
        if displaced is not None:
            self.lifecycle.reject(displaced.request.request_id, retry_after_ms)
        if decision is QueueDecision.FORWARD:
            self.lifecycle.decide([event], now)
        elif decision is QueueDecision.REJECT:
            self.lifecycle.reject(event.request_id, retry_after_ms)

    def _ask(self, event: RequestArrived, request: OpenRequest, now: float) -> AdmissionRequest:
        request_class = self.settings.request_classes[event.class_index]
        answer_by = now + min(request_class.latency_objective_ms, event.expires_in_ms)
        listener_bit = 1 << event.listener
        return AdmissionRequest(
            request_id=event.request_id,
            tenant=event.tenant,
            plan_index=event.plan_index,
            units=event.units,
            latest_send_at=answer_by - self.limiter.queue_times.needed_time_ms(request_class),
            priority_weight=request_class.priority_weight,
            is_retry=event.is_retry,
            client=request.client_address,
            is_known_tenant=self.limiter.tenants.knows(event.tenant),
            is_already_charged=self.limiter.charged_keys.is_charged_elsewhere(
                event.tenant, event.idempotency_key, listener_bit, now
            ),
        )

    def _credit(self, tenant: str, now: float) -> QuotaBalance | None:
        balance_and_rate = self.limiter.available_units(tenant, now)
        return QuotaBalance(*balance_and_rate) if balance_and_rate is not None else None

    # What becomes of a request

    def cancel(self, request_id: int) -> bool:
        """The request has ended without an answer; whether it waited in the queue."""
        return self.queue.request_cancelled(request_id)

    def admitted(self, request_id: int, now: float) -> None:
        """The caller forwards it; it counts as in flight for the usual time, as nobody tells when it ends."""
        self.queue.request_admitted(now, request_id, self.limiter.estimates.latency_ms)

    def retry_after_ms(self, action: RejectRequest, now: float) -> float:
        """When a rejected client may come back: the queue reserves what the decisions advise."""
        forwarded = self.queue.forwarded.by_id.get(action.request_id)
        if not self.settings.sends_retry_after or forwarded is None:
            return action.retry_after_ms
        credit = self._credit(forwarded.request.tenant, now)
        return self.queue.request_rejected(now, action.request_id, credit, action.retry_after_ms)

    def attempt_sent(self, request: OpenRequest) -> None:
        """An attempt is about to be sent."""
        self.queue.attempt_sent(request.request_id)
        endpoint = self.limiter.selector.endpoints.get(request.endpoint)
        if endpoint is None:
            request.endpoint_load = 0.0
            return
        own_load = 2.0 * request.relative_cost - 1.0
        request.endpoint_load = endpoint.load_in_flight - own_load

    def attempt_ended(self, request: OpenRequest, now: float, elapsed_ms: float, is_ok: bool) -> None:
        """An attempt ended in a way that tells of the endpoint's load."""
        self.queue.attempt_ended(
            now, request.endpoint, elapsed_ms, request.relative_cost, request.endpoint_load, is_ok
        )

    def finished(self, request_id: int) -> None:
        """The request was answered or cancelled."""
        self.queue.request_finished(request_id)
