"""The lifecycle of requests around the decisions: attempts, outcomes and timers.  It knows no wire or socket.

Fronts submit requests and get the one final answer of each; the back side (`Ports`) carries out what was
decided and reports what became of it.  All input is gathered; `turn` hands it to the decisions in one go and
then carries out the actions they return.
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
    ENDING,
    POLICY,
    QUEUE_CHECK,
    REQUEST_DEADLINE,
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
    """Log a fault that was contained."""
    logging.getLogger(__name__).error("a fault was contained", exc_info=error)


class Core:
    """One limiter: its decisions, its open requests and their attempts.  Times in ms of `clock`."""

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
        self.queue_adapter: QueueAdapter | None = None  # none: every request goes straight to the decisions
        if queue_settings is not None:
            self.queue_adapter = QueueAdapter(
                queue_settings, settings, self.limiter, self.open_requests, self
            )
        self.replicas: Replicas | None = None  # none: no links to other limiters
        self.latest_answer_at = inf  # see `answer_all_by`
        self.inbox: list[Event] = [Started()]
        self.wakes_at = inf  # what was asked of `Ports.wake_at`; 0: as soon as possible
        self.counts: dict[str, int] = {}  # since whoever logs them took them

    # Input

    def submit(
        self, caller: Caller, payload: Any, incoming: IncomingRequest, admission_only: bool = False
    ) -> OpenRequest:
        """Take a request; its caller gets the answer later, never during this call.

        With `admission_only` the caller forwards it itself: the good answer is `ADMITTED`, and no attempt is
        sent.  Raises `OutOfRangeError`."""
        check_request(incoming, self.settings, self.limits.max_deadline_multiple)
        now = self.clock()
        time_left_ms = incoming.expires_in_ms - self.limits.client_transit_ms - self.limits.answer_margin_ms
        time_left_ms = max(0.0, time_left_ms)
        expires_at = min(now + time_left_ms, self.latest_answer_at)
        request = self.open_requests.open(caller, payload, expires_at, incoming.client_address)
        self.timers.add(request.expires_at, REQUEST_DEADLINE, request.request_id)
        if len(self.open_requests) > self.limits.max_open_requests:
            # Bounds the memory.  Rejected in the next turn, as no answer is given during this call.
            self.timers.add(now, TABLE_FULL, request.request_id)
        elif now >= self.latest_answer_at:
            self.timers.add(now, ENDING, request.request_id)
        else:
            execution = None
            if incoming.idempotency_key and self.replicas is not None:
                execution = self.replicas.find_execution(incoming.tenant, incoming.idempotency_key)
            self.inbox.append(incoming.arrival(request.request_id, time_left_ms, admission_only, execution))
        self._wake_soon()
        return request

    def answer_all_by(self, latest_answer_at: float) -> None:
        """Answer every request by this time, whatever its own deadline is: the process ends soon after.

        This holds for those that are open as well, as answers on a connection come in the order of its
        requests.  Only a response that is being streamed goes on."""
        self.latest_answer_at = latest_answer_at
        for request in self.open_requests.values():
            if request.expires_at > latest_answer_at:
                request.expires_at = latest_answer_at
                self.timers.add(latest_answer_at, REQUEST_DEADLINE, request.request_id)
        self._wake_soon()

    def cancel(self, request: OpenRequest) -> None:
        """The client has left; no answer is owed."""
        if not request.is_finished:
            self._finish(request)
            self._count("gone")
            self._withdraw(request)
            self._wake_soon()

    def may_begin(self, request: OpenRequest) -> bool:
        """Whether the attempt in flight may begin now.  To be asked when its first byte is about to be
        written, which may be long after the decision, as it may have waited for a connection."""
        if not request.in_flight or request.is_finished:
            return False
        return self.clock() < min(request.expires_at, request.begin_before)

    def first_byte_forwarded(self, request: OpenRequest) -> None:
        """A streamed response has begun to reach the client: no timeout and no deadline cuts it off now."""
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
        """How the attempt in flight has ended.  A good answer goes to the client at once.

        `true_units`: where the response told them, else 0.  `quota_used_percent`: by the tenant in the last
        finished metering period, over all limiters."""
        if not request.in_flight:
            return
        request.in_flight = False
        self._count(outcome.value)
        if outcome is Outcome.OK and not request.is_finished:
            self._answer(request, Verdict.SERVED, value)
        elif request.first_byte_at and not request.is_finished:
            # The stream broke before anything of it left: the deadline, dropped meanwhile, holds again.
            self.timers.add(request.expires_at, REQUEST_DEADLINE, request.request_id)
        settled_units = self._settled_units(outcome, true_units)
        self._report_attempt(request, outcome, load_report, settled_units, quota_used_percent)

    def _settled_units(self, outcome: Outcome, true_units: float) -> float:
        """The units that settle a request; 0: none.  Ignores those of a response that tells units where none
        are settled, or more than a request can have: they would stay in the tenant's balance."""
        if not self.settings.settles_true_units or outcome is not Outcome.OK:
            return 0.0
        is_in_range = 0 < true_units <= (self.settings.max_units or true_units)
        return true_units if is_in_range else 0.0

    def counter_replied(self, counter_key: int, outcome: Outcome, total: float, elapsed_ms: float) -> None:
        """What became of a call to the counter."""
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
        """What a health check found."""
        self.inbox.append(HealthCheckEnded(endpoint, outcome, elapsed_ms, load_report))
        self._wake_soon()

    def on_endpoints(self, endpoints: tuple[Endpoint, ...], is_complete: bool) -> None:
        """The endpoint list, or its entries that changed."""
        # The decisions first: an attempt that the back side abandons for this may be retried at once, and
        # would be sent to the same endpoint again.
        self.inbox.append(EndpointsListed(endpoints, is_complete))
        self.ports.on_endpoints(endpoints, is_complete)
        self._wake_soon()

    # One turn

    def turn(self) -> None:
        """Hand all input to the decisions in one go; carry out the actions they return."""
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
        """Act on the timers that have come due; return the requests whose deadline has passed."""
        expired: list[OpenRequest] = []
        while (timer := self.timers.pop_due(now)) is not None:
            try:
                self._fire(timer, expired)
            except Exception as error:  # the timers behind it have come due as well
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
        elif kind in (TABLE_FULL, ENDING):
            sends_retry_after = self.settings.sends_retry_after
            retry_after_ms = self.settings.max_retry_after_ms if sends_retry_after else 0.0
            self._answer(request, Verdict.REJECTED, None, retry_after_ms)
            self._count("overfull" if kind == TABLE_FULL else "ending")
        elif request.first_byte_at:
            return  # its response is being streamed to the client
        elif kind == REQUEST_DEADLINE:
            expired.append(request)
            if request.in_flight:
                self._abandon_attempt(request, Outcome.TIMEOUT)
        elif request.in_flight and request.attempt_number == attempt_number:
            self._abandon_attempt(request, Outcome.TIMEOUT)

    def _fail_unanswered(self, expired: list[OpenRequest]) -> None:
        """Every request gets a final answer, even where the decisions gave none by its deadline."""
        for request in expired:
            if not request.is_finished and not request.in_flight:
                self._answer(request, Verdict.FAILED)
                self._withdraw(request)
                self._count("overdue")

    def decide(self, events: list[Event], now: float) -> None:
        """Hand events to the decisions and carry out the actions they return."""
        for action in self._actions_for(events, now):
            try:
                self._carry_out(action, now)
            except Exception as error:  # it must not cost the other actions
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
        """Report a fault that costs only what it concerns: the timers and all other requests go on."""
        self._count("fault")
        self.on_fault(error)

    def fail_after_fault(self, request_id: int) -> None:
        """Answer a request with which something failed.  An attempt in flight may have been executed."""
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
        if request is None or request.in_flight:  # ended while the decisions were made: it is not sent
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
            decided = self.limiter.requests.get(request.request_id)
            if decided is not None:
                # Before it is sent: a process that dies in between sent nothing.
                self.replicas.record_attempt(decided)
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
        """Tell the decisions, and the admission queue, how an attempt ended."""
        # Of a streamed response the first byte tells how fast the endpoint is; the rest tells of the client.
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
        except Exception as error:  # a caller that fails must not keep the decisions from what follows
            self.contain(error)

    def _answer_by_id(self, request_id: int, verdict: Verdict, retry_after_ms: float = 0.0) -> None:
        request = self.open_requests.get(request_id)
        if request and not request.is_finished:
            self._answer(request, verdict, None, retry_after_ms)

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Reject a request that has not reached the decisions: nothing was charged or sent."""
        self._count("turned away")
        if not self.settings.sends_retry_after:
            retry_after_ms = 0.0
        self._answer_by_id(request_id, Verdict.REJECTED, retry_after_ms)

    def _finish(self, request: OpenRequest) -> None:
        """No answer is owed any more; the record stays while an attempt is in flight."""
        request.is_finished = True
        if self.queue_adapter is not None:
            self.queue_adapter.finished(request.request_id)
        if not request.in_flight:
            self.open_requests.pop(request.request_id, None)

    def _withdraw(self, request: OpenRequest) -> None:
        """Take an ended request out of the queue, or tell the decisions if they have it."""
        if self.queue_adapter is None or not self.queue_adapter.cancel(request.request_id):
            self.inbox.append(RequestCancelled(request.request_id))

    # Helpers

    def _wake_soon(self) -> None:
        if self.wakes_at > 0:
            self.wakes_at = 0.0
            self.ports.wake_at(0.0)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
