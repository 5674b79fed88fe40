"""The core round the decisions: requests, attempts, outcomes and timers.  It knows no wire and no socket.

Fronts hand in requests (`arrive`, `gone`) and are told the one final answer of each; the back side (`Ports`)
carries out what was decided and reports what became of it.  All that comes in is gathered; `turn` hands it to
the decisions in one go and then carries out what they returned.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from heapq import heapify, heappop, heappush
from math import inf, isfinite
from typing import Any, Protocol

from scalelb.admission_queue import (
    AdmissionQueue,
    AdmissionQueueSettings,
    AdmissionRequest,
    QueueDecision,
    QuotaBalance,
)
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
    RequestArrived,
    RequestCancelled,
    Started,
    TimerFired,
)
from scalelb.policy.limiter import Limiter
from scalelb.policy.request import Request
from scalelb.policy.settings import Settings

TIMER, EXPIRY, OVERFULL, LOOK = -1, -2, -3, -4  # marks of timers; from 0 on: an attempt's patience
TIMERS_LEAST = 256  # that are kept however few requests are open
NO_REPORT: Mapping[str, float] = {}


class OutOfRangeError(ValueError):
    """A request says something that cannot be; nothing of it was charged or sent."""


class Verdict(Enum):
    """The final answer to a request."""

    SERVED = "served"
    ADMITTED = "admitted"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Limits:
    """What the core holds at most, and how early it answers."""

    requests: int = 4096  # open at once
    margin_ms: float = 12.0  # before the client gives up, so that the answer is there in time
    transit_ms: float = 1.0  # what a request is taken to have been under way
    patience: float = 2.0  # times the deadline of its class: longer than that no client waits


class Caller(Protocol):
    """The front's side of a request: it is told the final answer, once."""

    def answered(
        self, ticket: Ticket, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Pass the answer on.  `value` is a slice that is good during this call only."""


class Ticket:
    """A request that a front has taken."""

    __slots__ = (
        "attempt", "begin_by", "caller", "client", "done", "expires", "first", "handle", "ident", "load",
        "out", "payload", "sent", "server", "size",
    )  # fmt: skip

    def __init__(self, ident: int, caller: Caller, payload: Any, expires: float) -> None:
        self.ident, self.caller, self.payload, self.expires = ident, caller, payload, expires
        self.client = ""  # whose connection it came by
        self.size = 1.0  # how long it takes, against a mean request
        self.load = 0.0  # what else its server had of us when it was sent
        self.attempt = -1  # the newest
        self.begin_by = inf  # its first byte is written before this time, or never
        self.out = False  # whether it is out
        self.sent = 0.0  # when it began
        self.first = 0.0  # when its answer began to reach the client, while it does; else 0
        self.server = ""  # where it went
        self.handle: Any = None  # the back side's own, while the attempt is out
        self.done = False


class Ports(Protocol):
    """The back side: what the core has carried out."""

    def fetch(self, ticket: Ticket, server: str, patience_ms: float) -> None:
        """Begin an attempt; `Core.fetched` is due, unless `drop` comes first."""

    def drop(self, ticket: Ticket) -> None:
        """Give up the attempt that is out."""

    def count(self, name: int, amount: float, keep_ms: float) -> None:
        """Call the counter; `Core.counted` is due."""

    def probe(self, server: str) -> None:
        """Probe a server; `Core.probed` is due."""

    def listed(self, servers: Iterable[Endpoint], full: bool) -> None:
        """The list has changed."""

    def wake(self, at: float) -> None:
        """Call `turn` at this time; if it has passed, once all that is ready has been gathered."""


class Replicas(Protocol):
    """What other limiters know, where there are links to them (`program/peering.py`)."""

    def ran(self, customer: str, key: str) -> tuple[Endpoint, float] | None:
        """Where a try with this key may have run, and when it was sent there."""

    def sends(self, request: Request) -> None:
        """A first or further try of a request with a key goes out."""


class Core:
    """One limiter: its decisions, what it has taken, and what is out."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        ports: Ports,
        clock: Callable[[], float],
        limits: Limits = Limits(),
        fault: Callable[[Exception], None] = lambda error: None,
        door: AdmissionQueueSettings | None = None,
    ) -> None:
        self.fault = fault
        self.settings, self.ports, self.clock, self.limits = settings, ports, clock, limits
        self.limiter = Limiter(settings, seed)
        most = settings.max_retry_after_ms if settings.sends_retry_after else 1.0
        self.door = AdmissionQueue(door, most) if door is not None else None
        self.replicas: Replicas | None = None  # none: no links to other limiters
        self.looks_at = inf  # when the door is looked at next
        self.inbox: list[Event] = [Started()]
        self.tickets: dict[int, Ticket] = {}
        self.timers: list[tuple[float, int, int, int]] = []  # when, order, tag or ident, attempt or a mark
        self.order = self.idents = 0
        self.woken = inf
        self.tally: dict[str, int] = {}

    # What comes in

    def arrive(
        self,
        caller: Caller,
        payload: Any,
        *,
        customer: str,
        plan: int,
        kind: int,
        expires_ms: float,
        units: float,
        doors: int = 1,
        first_door: int = 0,
        retry: bool = False,
        door: int = 0,
        key: str = "",
        admission: bool = False,
        client: str = "",
    ) -> Ticket:
        """Take a request; its caller is told the answer later, never during this call.

        With `admission` the caller does the sending itself: a good answer is `ADMITTED`, and nothing is
        fetched.  `key` is needed where the same request may come through another `door`, or where only some
        backends drop its repeats.  `client` names
        whoever holds the connection, for a door that is fair by client.
        """
        self._check(plan, kind, expires_ms, units, doors, first_door)
        now = self.clock()
        self.idents += 1
        left = max(0.0, expires_ms - self.limits.transit_ms - self.limits.margin_ms)
        ticket = Ticket(self.idents, caller, payload, now + left)
        ticket.client = client
        self.tickets[ticket.ident] = ticket
        self._timer(ticket.expires, ticket.ident, EXPIRY)
        if len(self.tickets) > self.limits.requests:  # guards the memory; nothing of it was looked at
            self._timer(now, ticket.ident, OVERFULL)
            self._soon()
            return ticket
        order = (ticket.ident, customer, plan, kind, left, units, doors, first_door, retry)
        event = RequestArrived(*order, door, key, admission)
        if key and self.replicas is not None and (ran := self.replicas.ran(customer, key)) is not None:
            event = replace(event, executed_on=ran[0], executed_at=ran[1])
        self.inbox.append(event)
        self._soon()
        return ticket

    def _check(
        self, plan: int, kind: int, expires_ms: float, units: float, doors: int, first_door: int
    ) -> None:
        """Guards the quotas, at every door: a set or units out of range would stay with the customer, whoever
        sent them, and a deadline without end would keep a request for good."""
        settings = self.settings
        if not (0 <= kind < len(settings.request_classes) and 0 <= plan < len(settings.plans)):
            raise OutOfRangeError("class or plan is not known")
        if not (isfinite(units) and 0 < units <= (settings.max_units or units)):
            raise OutOfRangeError(f"units: {units:g} is not above 0 and at most {settings.max_units:g}")
        if not 1 <= doors <= settings.limiter_count:
            raise OutOfRangeError(f"spread: {doors} is not one of 1 to {settings.limiter_count}")
        if not 0 <= first_door < settings.limiter_count:
            raise OutOfRangeError(f"first: {first_door} is not one of 0 to {settings.limiter_count - 1}")
        most = self.limits.patience * settings.request_classes[kind].deadline_ms
        if not (isfinite(expires_ms) and expires_ms <= most):
            raise OutOfRangeError(f"deadline: {expires_ms:g} ms is not at most {most:g}")

    def gone(self, ticket: Ticket) -> None:
        """The client has left."""
        if not ticket.done:
            self._close(ticket)
            self._note("gone")
            self._left(ticket)
            self._soon()

    def wanted(self, ticket: Ticket) -> bool:
        """Whether the attempt that is out may begin now.  Asked when its first byte is about to be written,
        which may be long after the decision: it was to wait for its connection."""
        return ticket.out and not ticket.done and self.clock() < min(ticket.expires, ticket.begin_by)

    def begun(self, ticket: Ticket) -> None:
        """The answer has begun to reach the client while it still comes: it is the client's now, and no
        patience and no deadline cuts it off any more."""
        ticket.first = self.clock()

    def fetched(
        self,
        ticket: Ticket,
        outcome: Outcome,
        value: memoryview | None = None,
        report: Mapping[str, float] = NO_REPORT,
        units: float = 0.0,
        used_percent: float | None = None,
    ) -> None:
        """How the attempt that is out has ended.  A good answer goes to the client at once.

        `units` are the true ones, where the answer told them; `used_percent` is the customer's use of its
        quota in the last finished metering period, by all limiters.
        """
        if not ticket.out:
            return
        ticket.out = False
        self._note(outcome.value)
        if outcome is Outcome.OK and not ticket.done:
            self._answer(ticket, Verdict.SERVED, value)
        elif ticket.first and not ticket.done:  # it broke and nothing of it has left: its time runs again
            self._timer(ticket.expires, ticket.ident, EXPIRY)
        self._ended(ticket, outcome, report, self._true_units(outcome, units), used_percent)

    def _true_units(self, outcome: Outcome, units: float) -> float:
        """The units that settle a request, 0 where none were told.  Guards the quotas against an answer that
        tells units where none are settled, or more than a request can have."""
        settles = self.settings.settles_true_units and outcome is Outcome.OK
        return units if settles and 0 < units <= (self.settings.max_units or units) else 0.0

    def counted(self, name: int, outcome: Outcome, total: float, elapsed_ms: float) -> None:
        """What became of a call to the counter."""
        self._note("counter " + outcome.value)
        self.inbox.append(CounterReplied(name, outcome, total, elapsed_ms))
        self._soon()

    def probed(
        self, server: str, outcome: Outcome, elapsed_ms: float, report: Mapping[str, float] = NO_REPORT
    ) -> None:
        """What a probe found."""
        self.inbox.append(HealthCheckEnded(server, outcome, elapsed_ms, report))
        self._soon()

    def listed(self, servers: tuple[Endpoint, ...], full: bool) -> None:
        """The server list, or the entries that changed."""
        # The decisions first: what the back side gives up for it may not be sent to the same backend again.
        self.inbox.append(EndpointsListed(servers, full))
        self.ports.listed(servers, full)
        self._soon()

    # One turn

    def turn(self) -> None:
        """Hand all that has come in to the decisions in one go; carry out what they return."""
        self.woken = inf
        now = self.clock()
        expired = self._due(now)
        events, self.inbox = self.inbox, []
        if self.door is None:
            self._decide(events, now)
        else:
            self._decide_fairly(self.door, events, now)
        for ticket in expired:
            # Guards the rule of one final answer, should the decisions have left a request unanswered.
            if not ticket.done and not ticket.out:
                self._answer(ticket, Verdict.FAILED)
                self._left(ticket)
                self._note("overdue")
        if self.inbox:
            self._soon()
            return
        # Guards the processor: most requests end before their timers, which need not wake anybody then.
        while self.timers and self._moot(self.timers[0]):
            heappop(self.timers)
        self._sweep()
        if self.timers and self.timers[0][0] < self.woken:
            self.woken = self.timers[0][0]
            self.ports.wake(self.woken)

    def _decide(self, events: list[Event], now: float) -> None:
        """Hand events to the decisions and carry out what they return."""
        try:
            for action in self.limiter.handle_all(now, events):
                self._carry_out(action, now)
        except Exception as error:  # guards all other requests, and the timers, against a fault with one
            self._note("fault")
            self.fault(error)

    def _decide_fairly(self, door: AdmissionQueue, events: list[Event], now: float) -> None:
        """What ended comes first, then who waits, in the door's order, then who arrives."""
        arrivals = [event for event in events if isinstance(event, RequestArrived)]
        self._decide([event for event in events if not isinstance(event, RequestArrived)], now)
        for held, advice in door.remove_overdue(now):
            self._turn_away(held.request.request_id, advice)
        self._release(door, now)
        for event in arrivals:
            self._let_in(door, event, now)
        self._release(door, now)
        if (at := door.next_wakeup_at()) < inf and not now < self.looks_at <= at:
            self.looks_at = at
            self._timer(at, 0, LOOK)

    def _release(self, door: AdmissionQueue, now: float) -> None:
        while released := door.release(now, self.limiter.sender.has_no_capacity):  # ends: the door empties
            events: list[Event] = []
            for held in released:
                waited = now - held.arrived_at
                event: RequestArrived = held.payload
                left = event.expires_in_ms - waited
                events.append(replace(event, queued_ms=waited, expires_in_ms=left))
            self._decide(events, now)

    def _let_in(self, door: AdmissionQueue, event: RequestArrived, now: float) -> None:
        """Ask the door about one that arrives; it may give another's place to it."""
        kind, limiter = self.settings.request_classes[event.class_index], self.limiter
        ticket = self.tickets.get(event.request_id)
        if ticket is None or ticket.done:
            return
        due = now + min(kind.latency_objective_ms, event.expires_in_ms)
        credit = self._credit(event.tenant, now)
        ask = AdmissionRequest(
            request_id=event.request_id,
            tenant=event.tenant,
            plan_index=event.plan_index,
            units=event.units,
            latest_send_at=due - limiter.queue_times.needed_time_ms(kind),
            priority_weight=kind.priority_weight,
            is_retry=event.is_retry,
            client=ticket.client,
            is_known_tenant=limiter.tenants.knows(event.tenant),
            is_already_charged=limiter.charged_keys.is_charged_elsewhere(
                event.tenant, event.idempotency_key, 1 << event.listener, now
            ),
        )
        ticket.size = limiter.estimates.relative_size(event.units)
        step, advice, displaced = door.request_arrived(now, ask, credit, event)
        if displaced is not None:
            self._turn_away(displaced.request.request_id, advice)
        if step is QueueDecision.FORWARD:
            self._decide([event], now)
        elif step is QueueDecision.REJECT:
            self._turn_away(event.request_id, advice)

    def _credit(self, customer: str, now: float) -> QuotaBalance | None:
        told = self.limiter.available_units(customer, now)
        return QuotaBalance(*told) if told is not None else None

    def _left(self, ticket: Ticket) -> None:
        """Whoever has the request, door or decisions, lets go of it."""
        if self.door is None or not self.door.request_cancelled(ticket.ident):
            self.inbox.append(RequestCancelled(ticket.ident))

    def _turn_away(self, ident: int, advice: float) -> None:
        """Refuse what never met the decisions: nothing of it was charged or sent."""
        self._note("turned away")
        self._final(ident, Verdict.REFUSED, advice if self.settings.sends_retry_after else 0.0)

    def _sweep(self) -> None:
        """Guards the memory: where most timers are of requests long answered, those go."""
        live = 3 * len(self.tickets) + TIMERS_LEAST
        if len(self.timers) > 2 * live:
            self.timers = [timer for timer in self.timers if not self._moot(timer)]
            heapify(self.timers)

    def _moot(self, timer: tuple[float, int, int, int]) -> bool:
        _, _, name, mark = timer
        if mark in (TIMER, LOOK):
            return False
        ticket = self.tickets.get(name)
        return ticket is None or (mark >= 0 and not (ticket.out and ticket.attempt == mark))

    def _due(self, now: float) -> list[Ticket]:
        """Timers that have come due, as events; the tickets whose time is up."""
        expired = []
        while self.timers and self.timers[0][0] <= now:
            _, _, name, mark = heappop(self.timers)
            if mark == TIMER:
                self.inbox.append(TimerFired(name))
            elif mark == LOOK:
                self.looks_at = inf
            elif (ticket := self.tickets.get(name)) is None:
                continue
            elif mark == OVERFULL:
                advice = self.settings.max_retry_after_ms if self.settings.sends_retry_after else 0.0
                self._answer(ticket, Verdict.REFUSED, None, advice)
                self._note("overfull")
            elif mark == EXPIRY:
                if ticket.first:
                    continue
                expired.append(ticket)
                if ticket.out:
                    self._give_up(ticket, Outcome.TIMEOUT)
            elif ticket.out and ticket.attempt == mark and not ticket.first:
                self._give_up(ticket, Outcome.TIMEOUT)
        return expired

    def _carry_out(self, action: Action, now: float) -> None:
        if isinstance(action, SetTimer):
            self._timer(now + action.delay_ms, action.tag, TIMER)
        elif isinstance(action, SendAttempt):
            self._send(action, now)
        elif isinstance(action, AdmitRequest):
            if self.door is not None:
                self.door.request_admitted(now, action.request_id, self.limiter.estimates.latency_ms)
            self._final(action.request_id, Verdict.ADMITTED)
        elif isinstance(action, RejectRequest):
            self._final(action.request_id, Verdict.REFUSED, self._advice(action, now))
        elif isinstance(action, FailRequest):
            self._final(action.request_id, Verdict.FAILED)
        elif isinstance(action, AddToCounter):
            self.ports.count(action.counter_key, action.amount, action.retention_ms)
        elif isinstance(action, CancelAttempt):
            ticket = self.tickets.get(action.request_id)
            if ticket and ticket.out and ticket.attempt == action.attempt_number:
                self._give_up(ticket, Outcome.CANCELLED)
        elif isinstance(action, CheckHealth):
            self.ports.probe(action.endpoint)

    def _advice(self, action: RejectRequest, now: float) -> float:
        """When to come back: where there is a door, it makes a promise of what the decisions advise."""
        if (
            self.door is None
            or not self.settings.sends_retry_after
            or action.request_id not in self.door.forwarded.by_id
        ):
            return action.retry_after_ms
        credit = self._credit(self.door.forwarded.by_id[action.request_id].request.tenant, now)
        return self.door.request_rejected(now, action.request_id, credit, action.retry_after_ms)

    def _send(self, action: SendAttempt, now: float) -> None:
        ticket = self.tickets.get(action.request_id)
        if ticket is None or ticket.out:  # ended while the decisions were made: never sent
            self.inbox.append(
                AttemptEnded(action.request_id, 0, action.endpoint, Outcome.NOT_SENT, 0.0, True)
            )
            return
        ticket.attempt, ticket.server, ticket.sent = ticket.attempt + 1, action.endpoint, now
        ticket.begin_by = now + action.must_begin_within_ms
        patience = ticket.expires - now
        if ticket.done or patience <= 0:
            self._ended(ticket, Outcome.NOT_SENT)
            return
        if 0 < action.timeout_ms < patience:
            patience = action.timeout_ms
            self._timer(now + patience, ticket.ident, ticket.attempt)
        ticket.out = True
        self._note("fetches")
        if self.replicas is not None and (request := self.limiter.requests.get(ticket.ident)) is not None:
            self.replicas.sends(request)  # before it is sent: whoever dies in between has sent nothing
        if self.door is not None:
            self.door.attempt_sent(ticket.ident)
            server = self.limiter.selector.endpoints.get(action.endpoint)
            own = 2.0 * ticket.size - 1.0
            ticket.load = server.load_in_flight - own if server is not None else 0.0
        self.ports.fetch(ticket, action.endpoint, patience)

    def _give_up(self, ticket: Ticket, outcome: Outcome) -> None:
        self.ports.drop(ticket)
        ticket.out = False
        self._note(outcome.value)
        self._ended(ticket, outcome)

    def _ended(
        self,
        ticket: Ticket,
        outcome: Outcome,
        report: Mapping[str, float] = NO_REPORT,
        units: float = 0.0,
        used_percent: float | None = None,
    ) -> None:
        # Of an answer that flowed, the first bytes tell how fast the server is, not the client.
        elapsed, ticket.first = (ticket.first or self.clock()) - ticket.sent, 0.0
        if self.door is not None and outcome in LOAD_SIGNALS:
            good = outcome is Outcome.OK
            self.door.attempt_ended(self.clock(), ticket.server, elapsed, ticket.size, ticket.load, good)
        self.inbox.append(
            AttemptEnded(
                ticket.ident,
                ticket.attempt,
                ticket.server,
                outcome,
                elapsed,
                ticket.done,
                units,
                report,
                used_percent,
            )
        )
        if ticket.done:
            self.tickets.pop(ticket.ident, None)
        self._soon()

    def _final(self, ident: int, verdict: Verdict, retry_after_ms: float = 0.0) -> None:
        ticket = self.tickets.get(ident)
        if ticket and not ticket.done:
            self._answer(ticket, verdict, None, retry_after_ms)

    def _answer(
        self, ticket: Ticket, verdict: Verdict, value: memoryview | None = None, retry_after_ms: float = 0.0
    ) -> None:
        self._close(ticket)
        self._note(verdict.value)
        ticket.caller.answered(ticket, verdict, value, retry_after_ms)

    def _close(self, ticket: Ticket) -> None:
        """The request is finished; its ticket stays while an attempt is out."""
        ticket.done = True
        if self.door is not None:
            self.door.request_finished(ticket.ident)
        if not ticket.out:
            self.tickets.pop(ticket.ident, None)

    def _timer(self, at: float, name: int, mark: int) -> None:
        self.order += 1
        heappush(self.timers, (at, self.order, name, mark))

    def _soon(self) -> None:
        if self.woken > 0:
            self.woken = 0.0
            self.ports.wake(0.0)

    def _note(self, what: str) -> None:
        self.tally[what] = self.tally.get(what, 0) + 1
