"""Adapter between the core and the admission queue, which forwards, queues or rejects requests."""

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
    """The methods of the core that the adapter uses."""

    def decide(self, events: list[Event], now: float) -> None:
        """Pass events to the decision module and carry out the actions that it returns."""

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Reject a request that has not reached the decision module."""

    def contain(self, error: Exception) -> None:
        """Report a fault without interrupting anything else."""

    def fail_after_fault(self, request_id: int) -> None:
        """Fail a request whose processing raised an exception."""


class QueueAdapter:
    """The admission queue in front of the decision module.  Times are in milliseconds."""

    def __init__(
        self,
        queue_settings: AdmissionQueueSettings,
        settings: Settings,
        limiter: Limiter,
        open_requests: RequestTable,
        core: Lifecycle,
    ) -> None:
        max_retry_after_ms = settings.max_retry_after_ms if settings.sends_retry_after else 1.0
        self.queue = AdmissionQueue(queue_settings, max_retry_after_ms)
        self.settings = settings
        self.limiter = limiter
        self.open_requests = open_requests
        self.core = core
        self.check_at = inf  # the time for which a check is scheduled

    def process(self, events: list[Event], now: float) -> float | None:
        """Pass the events to the queue and the decision module.

        Ended attempts free capacity, so other events come first, then queued requests, then new ones.
        Returns when to check the queue next; None if no new check has to be scheduled."""
        arrivals = [event for event in events if isinstance(event, RequestArrived)]
        self.core.decide([event for event in events if not isinstance(event, RequestArrived)], now)
        self._run_step(lambda: self._reject_overdue(now))
        self._run_step(lambda: self._release(now))
        for event in arrivals:
            if not self._run_step(lambda event=event: self._enqueue(event, now)):  # type: ignore[misc]
                self.core.fail_after_fault(event.request_id)
        self._run_step(lambda: self._release(now))
        check_at = self.queue.next_wakeup_at()
        if check_at == inf or now < self.check_at <= check_at:
            return None
        self.check_at = check_at
        return check_at

    def _run_step(self, step: Callable[[], None]) -> bool:
        """Run one step; return False after a fault in it, which must not prevent the steps that follow."""
        try:
            step()
        except Exception as error:
            self.core.contain(error)
            return False
        return True

    def _reject_overdue(self, now: float) -> None:
        for queued, retry_after_ms in self.queue.remove_overdue(now):
            self.core.reject(queued.request.request_id, retry_after_ms)

    def check_came_due(self) -> None:
        """Note that the scheduled check is due."""
        self.check_at = inf

    def _release(self, now: float) -> None:
        """Forward the requests that the queue releases, until it releases no more."""
        while released := self.queue.release(now, self.limiter.sender.has_no_capacity):
            events: list[Event] = []
            for queued in released:
                queued_ms = now - queued.arrived_at
                event: RequestArrived = queued.payload
                expires_in_ms = event.expires_in_ms - queued_ms
                events.append(replace(event, queued_ms=queued_ms, expires_in_ms=expires_in_ms))
            self.core.decide(events, now)

    def _enqueue(self, event: RequestArrived, now: float) -> None:
        """Forward, queue or reject a new request; it may displace a queued one."""
        request = self.open_requests.get(event.request_id)
        if request is None or request.is_finished:
            return
        quota = self._quota_balance(event.tenant, now)
        admission_request = self._admission_request(event, request, now)
        request.relative_cost = self.limiter.estimates.relative_size(event.units)
        decision, retry_after_ms, displaced = self.queue.request_arrived(now, admission_request, quota, event)
        if displaced is not None:
            self.core.reject(displaced.request.request_id, retry_after_ms)
        if decision is QueueDecision.FORWARD:
            self.core.decide([event], now)
        elif decision is QueueDecision.REJECT:
            self.core.reject(event.request_id, retry_after_ms)

    def _admission_request(self, event: RequestArrived, request: OpenRequest, now: float) -> AdmissionRequest:
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

    def _quota_balance(self, tenant: str, now: float) -> QuotaBalance | None:
        balance_and_rate = self.limiter.available_units(tenant, now)
        return QuotaBalance(*balance_and_rate) if balance_and_rate is not None else None

    # Later events of a request

    def cancel(self, request_id: int) -> bool:
        """Cancel a request; return whether it was queued."""
        return self.queue.request_cancelled(request_id)

    def admitted(self, request_id: int, now: float) -> None:
        """Record an admitted request, which its caller forwards.

        It counts as in flight for the usual latency, as its end is not reported."""
        self.queue.request_admitted(now, request_id, self.limiter.estimates.latency_ms)

    def retry_after_ms(self, action: RejectRequest, now: float) -> float:
        """Return the Retry-After of a rejected request, based on the one that the decision module advises;
        the queue makes a reservation for it."""
        forwarded = self.queue.forwarded.by_id.get(action.request_id)
        if not self.settings.sends_retry_after or forwarded is None:
            return action.retry_after_ms
        quota = self._quota_balance(forwarded.request.tenant, now)
        return self.queue.request_rejected(now, action.request_id, quota, action.retry_after_ms)

    def attempt_sent(self, request: OpenRequest) -> None:
        """Record an attempt that is about to be sent, and the load of its endpoint."""
        self.queue.attempt_sent(request.request_id)
        endpoint = self.limiter.selector.endpoints.get(request.endpoint)
        if endpoint is None:
            request.endpoint_load = 0.0
            return
        own_load = 2.0 * request.relative_cost - 1.0
        request.endpoint_load = endpoint.load_in_flight - own_load

    def attempt_ended(self, request: OpenRequest, now: float, elapsed_ms: float, is_ok: bool) -> None:
        """Record the end of an attempt whose outcome reflects the load of its endpoint."""
        self.queue.attempt_ended(
            now, request.endpoint, elapsed_ms, request.relative_cost, request.endpoint_load, is_ok
        )

    def request_finished(self, request_id: int) -> None:
        """Record that a request was answered or cancelled."""
        self.queue.request_finished(request_id)
