"""The lifecycle of requests around the decision module: attempts, outcomes and timers.  No protocols or I/O.

Front ends submit requests and get one final answer for each.  The upstream side (`Ports`) sends attempts,
calls the counter and reports the results.  All input is collected as events; `Core.turn` passes them to the
decision module in one call and carries out the actions that it returns.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from math import inf
from typing import Any

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.limits import DEFAULT_LIMITS, CoreLimits
from scalelb.core.ports import NO_LOAD_REPORT, Ports, Replicas
from scalelb.core.queue_adapter import QueueAdapter
from scalelb.core.request_table import Caller, OpenRequest, RequestTable, Verdict
from scalelb.core.timers import (
    ATTEMPT_TIMEOUT,
    POLICY,
    QUEUE_CHECK,
    REQUEST_DEADLINE,
    SHUTDOWN,
    TABLE_FULL,
    Timer,
    TimerHeap,
)
from scalelb.core.validation import check_request
from scalelb.policy.actions import (
    Action,
    AddToCounter,
    AdmitRequest,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import (
    LOAD_SIGNALS,
    AttemptEnded,
    CounterReplied,
    EndpointsListed,
    Event,
    HealthCheckEnded,
    Outcome,
    RequestCancelled,
    Started,
    TimerFired,
)
from scalelb.policy.exceptions import DecisionFaultError
from scalelb.policy.limiter import Limiter
from scalelb.policy.settings import Settings


def log_fault(error: Exception) -> None:
    """Log an exception that was contained, with its traceback."""
    logging.getLogger(__name__).error("a fault was contained", exc_info=error)


class Core:
    """One limiter: its decision module, its open requests and their attempts.

    All times are in milliseconds of `clock`.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        ports: Ports,
        clock: Callable[[], float],
        limits: CoreLimits = DEFAULT_LIMITS,
        on_fault: Callable[[Exception], None] = log_fault,
        queue_settings: AdmissionQueueSettings | None = None,
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.clock = clock
        self.limits = limits
        self.on_fault = on_fault
        self.limiter = Limiter(settings, seed)
        self.open_requests = RequestTable()
        self.timers = TimerHeap(self.open_requests)
        self.queue_adapter: QueueAdapter | None = None  # None: there is no admission queue
        if queue_settings is not None:
            self.queue_adapter = QueueAdapter(
                queue_settings, settings, self.limiter, self.open_requests, self
            )
        self.replicas: Replicas | None = None  # None: there are no links to other limiters
        self.latest_answer_at = inf  # set by `answer_all_by`
        self.inbox: list[Event] = [Started()]
        self.wakes_at = inf  # the time requested from `Ports.wake_at`; 0: as soon as possible
        self.counts: dict[str, int] = {}  # events by name; the periodic log line resets them

    # Input

    def submit(
        self,
        caller: Caller,
        payload: Any,
        incoming: IncomingRequest,
        admission_only: bool = False,
        waited_ms: float = 0.0,
    ) -> OpenRequest:
        """Accept a request; its caller gets the answer later, never during this call.

        With `admission_only` the caller forwards the request itself: the positive answer is `ADMITTED`, and
        no attempt is sent.  `waited_ms` has passed since the request was received.

        Raises `OutOfRangeError`."""
        check_request(incoming, self.settings, self.limits.max_deadline_multiple)
        now = self.clock()
        margin_ms = self.limits.client_transit_ms + self.limits.answer_margin_ms
        time_left_ms = max(0.0, incoming.expires_in_ms - waited_ms - margin_ms)
        expires_at = min(now + time_left_ms, self.latest_answer_at)
        request = self.open_requests.open(caller, payload, expires_at, incoming.client_address)
        self.timers.add(request.expires_at, REQUEST_DEADLINE, request.request_id)
        if len(self.open_requests) > self.limits.max_open_requests:
            # The limit bounds memory.  The request is rejected in the next turn, as no answer may be given
            # during this call.
            self.timers.add(now, TABLE_FULL, request.request_id)
        elif now >= self.latest_answer_at:
            self.timers.add(now, SHUTDOWN, request.request_id)
        else:
            execution = None
            if incoming.idempotency_key and self.replicas is not None:
                execution = self.replicas.find_execution(incoming.tenant, incoming.idempotency_key)
            self.inbox.append(incoming.arrival(request.request_id, time_left_ms, admission_only, execution))
        self._wake_soon()
        return request

    def answer_all_by(self, latest_answer_at: float) -> None:
        """Answer every request by this time, whatever its own deadline, as the process ends soon after.

        Requests that are already open are included, because the answers on a connection are sent in the order
        of its requests.  Only a response that is being streamed continues."""
        self.latest_answer_at = latest_answer_at
        for request in self.open_requests.values():
            if request.expires_at > latest_answer_at:
                request.expires_at = latest_answer_at
                self.timers.add(latest_answer_at, REQUEST_DEADLINE, request.request_id)
        self._wake_soon()

    def cancel(self, request: OpenRequest) -> None:
        """Cancel a request whose client has disconnected; it gets no answer."""
        if not request.is_finished:
            self._finish(request)
            self._count("gone")
            self._withdraw(request)
            self._wake_soon()

    def may_begin(self, request: OpenRequest) -> bool:
        """Return whether the attempt that was assigned to a connection may still be written.

        Call this just before its first byte is written: the attempt may have waited for a long time for its
        connection since the limiter chose the endpoint."""
        if not request.in_flight or request.is_finished:
            return False
        return self.clock() < min(request.expires_at, request.begin_before)

    def first_byte_forwarded(self, request: OpenRequest) -> None:
        """Record that a streamed response has begun to reach the client.

        From then on neither its timeout nor its deadline cuts the response off."""
        request.first_byte_at = self.clock()

    def attempt_ended(
        self,
        request: OpenRequest,
        outcome: Outcome,
        value: memoryview | None = None,
        load_report: Mapping[str, float] = NO_LOAD_REPORT,
        true_units: float = 0.0,
        quota_used_percent: float | None = None,
    ) -> None:
        """Record the end of the attempt in flight.  A successful response is passed to the caller at once.

        `true_units`: the units that the response reports, 0 if it reports none.  `quota_used_percent`: how
        much of its quota the tenant used in the last finished metering period, over all limiters."""
        if not request.in_flight:
            return
        request.in_flight = False
        self._count(outcome.value)
        if outcome is Outcome.OK and not request.is_finished:
            self._answer(request, Verdict.SERVED, value)
        elif request.first_byte_at and not request.is_finished:
            # The stream failed before the client got any of it: the deadline, which was not enforced
            # meanwhile, applies again.
            self.timers.add(request.expires_at, REQUEST_DEADLINE, request.request_id)
        settled_units = self._settled_units(outcome, true_units)
        self._report_attempt(request, outcome, load_report, settled_units, quota_used_percent)

    def _settled_units(self, outcome: Outcome, true_units: float) -> float:
        """Return the true units that settle the charge of a request; 0 if none do.

        Units reported by a response are ignored where the settings settle none and where they exceed what a
        request can have, as they would remain in the tenant's balance."""
        if not self.settings.settles_true_units or outcome is not Outcome.OK:
            return 0.0
        is_in_range = 0 < true_units <= (self.settings.max_units or true_units)
        return true_units if is_in_range else 0.0

    def counter_replied(self, counter_key: int, outcome: Outcome, total: float, elapsed_ms: float) -> None:
        """Record the end of a call to the counter."""
        self._count("counter " + outcome.value)
        self.inbox.append(CounterReplied(counter_key, outcome, total, elapsed_ms))
        self._wake_soon()

    def health_check_ended(
        self,
        endpoint: str,
        outcome: Outcome,
        elapsed_ms: float,
        load_report: Mapping[str, float] = NO_LOAD_REPORT,
    ) -> None:
        """Record the result of a health check."""
        self.inbox.append(HealthCheckEnded(endpoint, outcome, elapsed_ms, load_report))
        self._wake_soon()

    def on_endpoints(self, endpoints: tuple[Endpoint, ...], is_complete: bool) -> None:
        """Process the endpoint list (`is_complete`), or only the entries that changed."""
        # The event is queued before the ports are called: they may abandon an attempt because of the change,
        # and a decision module without the new list would retry it at once at the same endpoint.
        self.inbox.append(EndpointsListed(endpoints, is_complete))
        self.ports.on_endpoints(endpoints, is_complete)
        self._wake_soon()

    # One turn of the event loop

    def turn(self) -> None:
        """Pass all collected input to the decision module and carry out the actions that it returns."""
        self.wakes_at = inf
        now = self.clock()
        expired = self._fire_timers(now)
        events = self.inbox
        self.inbox = []
        if self.queue_adapter is None:
            self.decide(events, now)
        else:
            check_at = self.queue_adapter.process(events, now)
            if check_at is not None:
                self.timers.add(check_at, QUEUE_CHECK)
        if expired:
            self._fail_unanswered(expired)
        if self.inbox:
            self._wake_soon()
            return
        next_due_at = self.timers.next_due_at()
        if next_due_at < self.wakes_at:
            self.wakes_at = next_due_at
            self.ports.wake_at(next_due_at)

    def _fire_timers(self, now: float) -> list[OpenRequest]:
        """Process all timers that are due; return the requests whose deadline has passed."""
        expired: list[OpenRequest] = []
        while (timer := self.timers.pop_due(now)) is not None:
            try:
                self._fire(timer, expired)
            except Exception as error:  # a fault must not hold up the other timers that are due
                self.contain(error)
        return expired

    def _fire(self, timer: Timer, expired: list[OpenRequest]) -> None:
        _, _, kind, subject_id, attempt_number = timer
        if kind == POLICY:
            self.inbox.append(TimerFired(subject_id))
        elif kind == QUEUE_CHECK:
            if self.queue_adapter is not None:
                self.queue_adapter.check_came_due()
        elif (request := self.open_requests.get(subject_id)) is None:
            return
        elif kind in (TABLE_FULL, SHUTDOWN):
            sends_retry_after = self.settings.sends_retry_after
            retry_after_ms = self.settings.max_retry_after_ms if sends_retry_after else 0.0
            self._answer(request, Verdict.REJECTED, None, retry_after_ms)
            self._count("overfull" if kind == TABLE_FULL else "ending")
        elif request.first_byte_at:
            return  # the response is being streamed to the client
        elif kind == REQUEST_DEADLINE:
            expired.append(request)
            if request.in_flight:
                self._abandon_attempt(request, Outcome.TIMEOUT)
        elif request.in_flight and request.attempt_number == attempt_number:
            self._abandon_attempt(request, Outcome.TIMEOUT)

    def _fail_unanswered(self, expired: list[OpenRequest]) -> None:
        """Fail the expired requests that have no answer yet.

        Every request gets a final answer, even if the decision module gives none by its deadline."""
        for request in expired:
            if not request.is_finished and not request.in_flight:
                self._answer(request, Verdict.FAILED)
                self._withdraw(request)
                self._count("overdue")

    def decide(self, events: list[Event], now: float) -> None:
        """Pass events to the decision module and carry out the actions that it returns."""
        for action in self._actions_for(events, now):
            try:
                self._carry_out(action, now)
            except Exception as error:  # the other actions must still be carried out
                self.contain(error)
                if isinstance(action, SendAttempt | AdmitRequest | RejectRequest | FailRequest):
                    self.fail_after_fault(action.request_id)

    def _actions_for(self, events: list[Event], now: float) -> list[Action]:
        try:
            return self.limiter.handle_all(now, events)
        except DecisionFaultError as fault:
            for error in fault.errors:
                self.contain(error)
            return fault.actions
        except Exception as error:
            self.contain(error)
            return []

    def contain(self, error: Exception) -> None:
        """Count and report a fault without interrupting the timers and the other requests."""
        self._count("fault")
        self.on_fault(error)

    def fail_after_fault(self, request_id: int) -> None:
        """Fail a request whose processing raised an exception.

        Its attempt in flight, if there is one, is reported as reset, as it may have been executed."""
        request = self.open_requests.get(request_id)
        if request is None:
            return
        was_in_flight = request.in_flight
        if not request.is_finished:
            self._answer(request, Verdict.FAILED)
            if not was_in_flight:
                self._withdraw(request)
        if was_in_flight:
            request.in_flight = False
            self._report_attempt(request, Outcome.RESET)

    # Actions

    def _carry_out(self, action: Action, now: float) -> None:
        if isinstance(action, SetTimer):
            self.timers.add(now + action.delay_ms, POLICY, action.tag)
        elif isinstance(action, SendAttempt):
            self._send_attempt(action, now)
        elif isinstance(action, AdmitRequest):
            if self.queue_adapter is not None:
                self.queue_adapter.admitted(action.request_id, now)
            self._answer_by_id(action.request_id, Verdict.ADMITTED)
        elif isinstance(action, RejectRequest):
            retry_after_ms = action.retry_after_ms
            if self.queue_adapter is not None:
                retry_after_ms = self.queue_adapter.retry_after_ms(action, now)
            self._answer_by_id(action.request_id, Verdict.REJECTED, retry_after_ms)
        elif isinstance(action, FailRequest):
            self._answer_by_id(action.request_id, Verdict.FAILED)
        elif isinstance(action, AddToCounter):
            self.ports.add_to_counter(action.counter_key, action.amount, action.retention_ms)
        elif isinstance(action, CancelAttempt):
            request = self.open_requests.get(action.request_id)
            if request and request.in_flight and request.attempt_number == action.attempt_number:
                self._abandon_attempt(request, Outcome.CANCELLED)
        elif isinstance(action, CheckHealth):
            self.ports.check_health(action.endpoint)

    def _send_attempt(self, action: SendAttempt, now: float) -> None:
        request = self.open_requests.get(action.request_id)
        if request is None or request.in_flight:  # ended, or an attempt is still in flight
            number = action.attempt_number
            not_sent = AttemptEnded(action.request_id, number, action.endpoint, Outcome.NOT_SENT, 0.0, True)
            self.inbox.append(not_sent)
            return
        request.attempt_number = action.attempt_number
        request.endpoint = action.endpoint
        request.sent_at = now
        request.begin_before = now + action.must_begin_within_ms
        timeout_ms = request.expires_at - now
        if request.is_finished or timeout_ms <= 0:
            self._report_attempt(request, Outcome.NOT_SENT)
            return
        if 0 < action.timeout_ms < timeout_ms:
            timeout_ms = action.timeout_ms
            timeout_at = now + timeout_ms
            self.timers.add(timeout_at, ATTEMPT_TIMEOUT, request.request_id, request.attempt_number)
        request.in_flight = True
        self._count("fetches")
        if self.replicas is not None:
            policy_request = self.limiter.requests.get(request.request_id)
            if policy_request is not None:
                # Recorded before it is sent, so that none is sent unrecorded if the process dies in between.
                self.replicas.record_attempt(policy_request)
        if self.queue_adapter is not None:
            self.queue_adapter.attempt_sent(request)
        self.ports.send_attempt(request, action.endpoint, timeout_ms)

    def _abandon_attempt(self, request: OpenRequest, outcome: Outcome) -> None:
        self.ports.abandon_attempt(request)
        request.in_flight = False
        self._count(outcome.value)
        self._report_attempt(request, outcome)

    def _report_attempt(
        self,
        request: OpenRequest,
        outcome: Outcome,
        load_report: Mapping[str, float] = NO_LOAD_REPORT,
        settled_units: float = 0.0,
        quota_used_percent: float | None = None,
    ) -> None:
        """Report the end of an attempt to the decision module and the admission queue."""
        # The latency of a streamed response ends at its first byte: that time depends on the endpoint, while
        # the time of the rest depends on the client.
        ended_at = request.first_byte_at or self.clock()
        elapsed_ms = ended_at - request.sent_at
        request.first_byte_at = 0.0
        if self.queue_adapter is not None and outcome in LOAD_SIGNALS:
            self.queue_adapter.attempt_ended(request, self.clock(), elapsed_ms, outcome is Outcome.OK)
        event = AttemptEnded(
            request.request_id,
            request.attempt_number,
            request.endpoint,
            outcome,
            elapsed_ms,
            request.is_finished,
            settled_units,
            load_report,
            quota_used_percent,
        )
        self.inbox.append(event)
        if request.is_finished:
            self.open_requests.pop(request.request_id, None)
        self._wake_soon()

    # Final answers

    def _answer(
        self,
        request: OpenRequest,
        verdict: Verdict,
        value: memoryview | None = None,
        retry_after_ms: float = 0.0,
    ) -> None:
        self._finish(request)
        self._count(verdict.value)
        try:
            request.caller.on_answer(request, verdict, value, retry_after_ms)
        except Exception as error:  # the decision module must still get the events that follow
            self.contain(error)

    def _answer_by_id(self, request_id: int, verdict: Verdict, retry_after_ms: float = 0.0) -> None:
        request = self.open_requests.get(request_id)
        if request and not request.is_finished:
            self._answer(request, verdict, None, retry_after_ms)

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Reject a request that has not reached the decision module: nothing was charged or sent."""
        self._count("turned away")
        if not self.settings.sends_retry_after:
            retry_after_ms = 0.0
        self._answer_by_id(request_id, Verdict.REJECTED, retry_after_ms)

    def _finish(self, request: OpenRequest) -> None:
        """Mark a request as answered or cancelled.  It stays in the table while an attempt is in flight."""
        request.is_finished = True
        if self.queue_adapter is not None:
            self.queue_adapter.request_finished(request.request_id)
        if not request.in_flight:
            self.open_requests.pop(request.request_id, None)

    def _withdraw(self, request: OpenRequest) -> None:
        """Cancel a finished request in the admission queue, or else in the decision module."""
        if self.queue_adapter is None or not self.queue_adapter.cancel(request.request_id):
            self.inbox.append(RequestCancelled(request.request_id))

    # Helpers

    def _wake_soon(self) -> None:
        if self.wakes_at > 0:
            self.wakes_at = 0.0
            self.ports.wake_at(0.0)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
