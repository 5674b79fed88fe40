"""One limiter: maps events (`scalelb/policy/events.py`) to actions (`scalelb/policy/actions.py`).

`_on_request_arrived` rejects, queues or sends a request; the scheduling cycle sends queued requests;
`_on_attempt_ended` settles the charge, and retries the request or answers it; `_on_counter_replied` grants
leases. Each rule has its own module: `admission`, `queue_times`, `counter_lease`, `attempt_sender`,
`endpoint_selection`, `slow_start`, `retry`, `retry_after`, `load_feedback`, `housekeeping`. The design
follows Gage; `docs/design.md` describes the differences and the reasons for them.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from scalelb.admission_queue.tenant_records import TenantRecords
from scalelb.policy import retry, shared_counter
from scalelb.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    WatchEndpoints,
)
from scalelb.policy.admission import LoadShedder, QuotaCheck
from scalelb.policy.attempt_sender import AttemptSender
from scalelb.policy.concurrency_limit import ConcurrencyLimit
from scalelb.policy.counter_lease import CounterLeases
from scalelb.policy.endpoint_selection import EndpointSelector
from scalelb.policy.events import (
    AttemptEnded,
    CounterReplied,
    EndpointListLost,
    EndpointsListed,
    Event,
    Outcome,
    RequestArrived,
    RequestCancelled,
    Started,
    TimerFired,
)
from scalelb.policy.exceptions import DecisionFaultError
from scalelb.policy.housekeeping import HOUSEKEEPING_MS, IDLE_MS, Housekeeper
from scalelb.policy.idempotency_keys import ChargedKeys
from scalelb.policy.load_feedback import LoadFeedback
from scalelb.policy.outbox import Outbox
from scalelb.policy.queue_times import QueueTimes
from scalelb.policy.request import Request
from scalelb.policy.retry import RetryPolicy
from scalelb.policy.retry_after import retry_after_ms
from scalelb.policy.retry_age import RetryAgeEstimator
from scalelb.policy.running_estimates import RunningEstimates
from scalelb.policy.scheduler import Scheduler
from scalelb.policy.settings import Settings
from scalelb.policy.tenant import Tenant
from scalelb.policy.tenant_table import TenantTable

SCHEDULING_TIMER = 1
HOUSEKEEPING_TIMER = 2
# Endpoints have spare capacity while the usual latency is below this ratio of the shortest latency objective.
LOW_LATENCY_RATIO = 0.15


class Limiter:
    """Makes the decisions of one limiter: `handle` takes an event and returns the resulting actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        rng = random.Random(seed)
        self.settings = settings
        self.shortest_objective_ms = min(kind.latency_objective_ms for kind in settings.request_classes)
        self.class_precedences = settings.class_precedences()
        self.started_at = -1.0  # ms; negative before the first event
        self.outbox = Outbox()
        self.faults: list[Exception] = []  # raised while the current event is handled

        mean_units = shared_counter.initial_mean_units(settings)
        self.estimates = RunningEstimates(self.shortest_objective_ms, mean_units)
        self.retry_ages = RetryAgeEstimator()
        self.shedder = LoadShedder(self.class_precedences[0], rng)
        self.charged_keys = ChargedKeys()
        self.leases = CounterLeases(settings, self.shortest_objective_ms)
        self.contention = self.leases.contention
        self.quota = QuotaCheck(self.leases, self.charged_keys, rng)
        self.queue_times = QueueTimes(self.estimates, self.leases, self.quota)
        self.selector = EndpointSelector(settings, self.estimates, rng)
        self.retries = RetryPolicy(settings, rng)
        concurrency = ConcurrencyLimit(settings.limiter_count)
        self.sender = AttemptSender(
            self.outbox, self.estimates, self.quota, self.retries, concurrency, self.selector
        )
        self.requests = self.sender.requests
        self.attempts = self.sender.attempts
        self.feedback = LoadFeedback(
            self.estimates, self.shedder, concurrency, self.retries.budget, self.selector
        )
        self.scheduler = Scheduler()
        records = TenantRecords(random.Random(f"records {seed}").randbytes(16))
        self.tenants = TenantTable(settings, records)
        self.housekeeper = Housekeeper(
            self.outbox, self.tenants, self.leases, self.scheduler, rng, self.faults
        )
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self._on_request_arrived,
            AttemptEnded: self._on_attempt_ended,
            CounterReplied: self._on_counter_replied,
            RequestCancelled: self._on_request_cancelled,
            EndpointsListed: self.selector.on_endpoints_listed,
            TimerFired: self._on_timer_fired,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event at `now` (ms) and return the resulting actions in order.

        Raises `DecisionFaultError` if part of the handling failed; it holds the actions to carry out.
        """
        self.outbox.clear()
        self.faults.clear()
        if self.started_at < 0:
            self.started_at = now
        handler = self.handlers.get(type(event))
        try:
            if handler is not None:
                handler(now, event)
        except Exception as error:  # one fault must not lose the timers or other events
            self.faults.append(error)
            if isinstance(event, RequestArrived | AttemptEnded | RequestCancelled):
                self._fail_after_fault(event.request_id)
        if self.settings.subscribes_to_endpoints and isinstance(event, Started | EndpointListLost):
            self.outbox.add(WatchEndpoints())
        self._set_timer(SCHEDULING_TIMER, self.scheduler.timer_delay_ms(now))
        self._set_timer(HOUSEKEEPING_TIMER, self.housekeeper.timer_delay_ms())
        if self.faults:
            raise DecisionFaultError(self.outbox.actions, list(self.faults)) from self.faults[0]
        return self.outbox.actions

    def handle_all(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Handle all events received by `now` (ms) and return their actions in the order of the events.

        Raises `DecisionFaultError` like `handle`, but only after all events have been handled.
        """
        actions: list[Action] = []
        errors: list[Exception] = []
        for event in events:
            try:
                actions += self.handle(now, event)
            except DecisionFaultError as fault:
                actions += fault.actions
                errors += fault.errors
        if errors:
            raise DecisionFaultError(actions, errors) from errors[0]
        return actions

    def _fail_after_fault(self, request_id: int) -> None:
        """Fail a request whose state may be only partly updated, ahead of all other actions."""
        request = self.requests.pop(request_id, None)
        if request is not None:
            request.tenant.queue.remove(request)
        self.outbox.add_first(FailRequest(request_id))

    def _set_timer(self, tag: int, delay_ms: float | None) -> None:
        if delay_ms is not None:
            self.outbox.add(SetTimer(tag, delay_ms))

    def available_units(self, tenant_name: str, now: float) -> tuple[float, float] | None:
        """Return the units available to a tenant and this limiter's share of its rate (units/s), for the
        admission queue.

        The available units are the balance and the greater of the lease and this limiter's share of what the
        counter last reported, minus the queued units. Returns `None` for an unknown tenant or one without a
        quota.
        """
        tenant = self.tenants.tenants.get(tenant_name)
        if tenant is None or not tenant.bucket.plan.rate_per_s:
            return None
        bucket = tenant.bucket
        available = bucket.available_here(now, self.leases.is_counter_available())
        units = bucket.balance + max(bucket.leased, available) - tenant.queue.units
        return units, bucket.plan.rate_per_s / bucket.sharing_limiters

    # Request arrival and queueing

    def _on_request_arrived(self, now: float, event: RequestArrived) -> None:
        request_class = self.settings.request_classes[event.class_index]
        precedence = self.class_precedences[event.class_index]
        tenant = self._find_or_create_tenant(now, event)
        age_ms = self.retry_ages.age_ms(event, request_class)
        request = Request.from_event(event, tenant, request_class, now, age_ms, precedence)
        self.requests[event.request_id] = request
        left_ms = event.expires_in_ms + event.queued_ms
        is_retry = event.is_retry or left_ms < request_class.latency_objective_ms
        # Retries do not count as demand, otherwise client retries would inflate the leases.
        tenant.record_demand(now, 0.0 if is_retry else request.units)
        self._credit(tenant, now)
        latest_send_at = self.queue_times.latest_send_at(request)
        if self.shedder.sheds(precedence) or now > latest_send_at:
            self._reject_or_fail(request)
            return
        is_sampled = self.quota.sample_for_counter(request, now, latest_send_at)
        if self.quota.is_rejected_unsampled(request, is_sampled):
            self._reject_or_fail(request)
            return
        if not self._try_send_at_once(request, now):
            self._enqueue(request, now)
            self._reject_overdue(tenant, now)
        self._renew_lease(tenant, now, is_sampled)

    def _find_or_create_tenant(self, now: float, event: RequestArrived) -> Tenant:
        tenant = self.tenants.find(event.tenant)
        if tenant is None:
            uptime_ms = now - self.started_at
            tenant = self.tenants.create(event, now, uptime_ms, self.estimates.units)
            for candidate in self.tenants.eviction_candidates():
                self.housekeeper.evict(candidate, now)
        return tenant

    def _try_send_at_once(self, request: Request, now: float) -> bool:
        if not request.tenant.queue.is_next(request) or self.quota.missing_units(request, now) > 0:
            return False
        return self.sender.send(request, now)

    def _enqueue(self, request: Request, now: float) -> None:
        tenant = request.tenant
        tenant.queue.insert(request)
        self.scheduler.schedule(tenant, self.queue_times.next_check_at(request, now))

    def _reject_overdue(self, tenant: Tenant, now: float) -> None:
        for request in self.queue_times.overdue_requests(tenant, now):
            self._reject_or_fail(request)

    def _credit(self, tenant: Tenant, now: float) -> None:
        tenant.credit(now, self.leases.refills_itself())

    def _renew_lease(self, tenant: Tenant, now: float, has_demand: bool) -> None:
        self.outbox.add(self.leases.renew(tenant, now, has_demand))

    # Scheduling cycle and housekeeping

    def _on_timer_fired(self, now: float, event: TimerFired) -> None:
        if event.tag == HOUSEKEEPING_TIMER:
            self._housekeep(now)
        if event.tag == SCHEDULING_TIMER and self.scheduler.is_cycle_due(now):
            self._run_cycle(now)

    def _run_cycle(self, now: float) -> None:
        self.sender.has_no_capacity = False
        for tenant in self.scheduler.begin_cycle():
            if tenant.wake_at <= now:
                self._process_tenant_safely(tenant, now)
            self.scheduler.reschedule(tenant)
        self.scheduler.rotate()
        self._lend_spare_units(now)

    def _process_tenant_safely(self, tenant: Tenant, now: float) -> None:
        """Process a tenant; if that raises, fail its queued requests and go on with the other tenants."""
        try:
            self._process_tenant(tenant, now)
        except Exception as error:
            self.faults.append(error)
            for request in list(tenant.queue.requests):
                self._fail_after_fault(request.request_id)
            tenant.wake_at = inf

    def _process_tenant(self, tenant: Tenant, now: float) -> None:
        """Credit a tenant, reject its late requests, send the covered ones, and set its next `wake_at`."""
        self._credit(tenant, now)
        for request in [r for r in tenant.queue.requests if now > self.queue_times.latest_send_at(r)]:
            self._reject_or_fail(request)
        self._send_covered_requests(tenant, now)
        self._renew_lease(tenant, now, now - tenant.last_request_at <= IDLE_MS)
        times = (self.queue_times.next_check_at(request, now) for request in tenant.queue.requests)
        tenant.wake_at = min(times, default=inf)

    def _send_covered_requests(self, tenant: Tenant, now: float) -> None:
        """Send queued requests in order, as long as the balance covers them."""
        queue = tenant.queue
        while queue.requests:
            request = queue.requests[0]
            if self.quota.missing_units(request, now) > 0 or not self.sender.send(request, now):
                return
            queue.remove(request)

    def _lend_spare_units(self, now: float) -> None:
        """Let queued requests use the spare units of other tenants, if their plan gains from use beyond its
        quota and the endpoints have spare capacity.
        """
        if self.housekeeper.spare_units <= 0 or now - self.feedback.last_rejection_at < HOUSEKEEPING_MS:
            return
        if self.estimates.latency_ms > LOW_LATENCY_RATIO * self.shortest_objective_ms:
            return
        borrowers = [t for t in self.scheduler.active.values() if t.bucket.plan.gains_beyond_quota]
        for tenant in borrowers:
            eligible = [
                r for r in tenant.queue.requests if self.queue_times.has_waited_for_spare_units(r, now)
            ]
            if eligible and self.sender.send(eligible[0], now, is_charged=False):
                self.housekeeper.spare_units -= eligible[0].units
                tenant.queue.remove(eligible[0])

    def _housekeep(self, now: float) -> None:
        self.housekeeper.is_timer_set = False
        if self.housekeeper.is_round_over():
            try:
                self._update_each_round(now)
            except Exception as error:  # housekeeping still visits the tenants
                self.faults.append(error)
            self.housekeeper.begin_round()
        self.housekeeper.visit_slice(now)

    def _update_each_round(self, now: float) -> None:
        self.shedder.recover()
        self.selector.update_pools(now)
        for timeout in self.leases.abandoned_calls(now):
            self._on_counter_replied(now, timeout)

    # End of an attempt or a request

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return
        request = attempt.request
        tenant = request.tenant
        tenant.attempts_in_flight -= 1
        attempt.endpoint.load_in_flight = max(0.0, attempt.endpoint.load_in_flight - attempt.load)
        if tenant.queue.requests:
            self.scheduler.schedule(tenant, now)
        self.sender.has_no_capacity = False
        self.feedback.record(attempt, event, now, len(self.attempts))
        if event.true_units:
            self.feedback.settle(request, event.true_units)
        if event.request_finished or event.request_id not in self.requests:
            self.requests.pop(event.request_id, None)
            return
        retry.record_execution(attempt, event.outcome)
        may_retry = self.retries.may_retry(request, event.outcome, self.shedder.admission_probability)
        if not may_retry or now > self.queue_times.latest_send_at(request):
            self._reject_or_fail(request)
            return
        self.retries.spend(event.outcome)
        if not self.sender.send(request, now):
            self._enqueue(request, now)

    def _reject_or_fail(self, request: Request) -> None:
        """Give the final answer: rejected if a retry by the client is harmless, otherwise failed."""
        request.tenant.queue.remove(request)
        self.requests.pop(request.request_id, None)
        if not request.can_be_retried_by_client():
            self.outbox.add(FailRequest(request.request_id))
            return
        wait_ms = 0.0
        if self.settings.sends_retry_after:
            wait_ms = retry_after_ms(
                request,
                self.estimates.latency_ms,
                self.shedder.admission_probability,
                self.settings.max_retry_after_ms,
            )
        self.outbox.add(RejectRequest(request.request_id, wait_ms))

    def _on_request_cancelled(self, now: float, event: RequestCancelled) -> None:
        request = self.requests.pop(event.request_id, None)
        if request is None:
            return
        request.tenant.queue.remove(request)
        attempt_number = request.attempts_sent - 1
        if self.settings.cancels_attempts and (event.request_id, attempt_number) in self.attempts:
            self.outbox.add(CancelAttempt(event.request_id, attempt_number))

    # Counter replies

    def _on_counter_replied(self, now: float, event: CounterReplied) -> None:
        tenant = self.leases.end_call(event.counter_key)
        if tenant is None:
            return
        self.scheduler.schedule(tenant, now)
        self._credit(tenant, now)
        if event.outcome not in (Outcome.OK, Outcome.ERROR):
            self.leases.on_failure(tenant, now, event.outcome)
            return
        next_call = self.leases.on_total(tenant, now, event)
        if next_call is not None:
            self.outbox.add(next_call)
            return
        if tenant.bucket.is_stored_on_counter:
            self._send_covered_requests(tenant, now)
            self._reject_overdue(tenant, now)
            self._renew_lease(tenant, now, has_demand=False)
