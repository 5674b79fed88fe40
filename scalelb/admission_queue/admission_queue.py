"""The door: in which order waiting requests meet the decisions, how much may wait, and when to come back.

The host asks `arrive` for each request and does what it says; tells `sent` and `finished` of what it passed
on; and calls `release` and `overdue` once a turn, and at `wakes_at` at the latest.  A request is answered
once: what the door holds it either releases or gives up, never both.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush
from math import inf
from typing import Any, NamedTuple

from scalelb.admission_queue.fair_queue import MAX_STALE_ENTRIES, FairQueue, QueueEntry
from scalelb.admission_queue.gradient_limit import GradientLimit
from scalelb.admission_queue.rate_meter import DecayingMean, RateMeter
from scalelb.admission_queue.retry_after_reservations import RetryAfterReservations
from scalelb.admission_queue.settings import AdmissionQueueSettings, FlowKey

STRANGERS = "\0strangers"  # the flow of all that were not seen lately; no customer is named so
CLAIMED = -1e9  # the rank of what comes back as promised: before all others of its flow
PROMISED = 0.9  # of what a flow may expect that is promised to it: estimates are late
RATE_MS, RATES_MOST = 5000.0, 256  # memory of rates; flows of which one is remembered
LATENCY_WEIGHT = 0.05  # of the newest answer
SPARSE = 2.0  # times the limit that may be out where a flow asks that had less than its share


class QueueDecision(Enum):
    """What becomes of a request that arrives."""

    FORWARD = "pass"  # hand it to the decisions now
    QUEUE = "hold"  # it waits here
    REJECT = "refuse"  # answer it now


class AdmissionRequest(NamedTuple):
    """One request.  `latest`: when it is to be sent at the latest, to be in time."""

    ident: int
    customer: str
    plan: int
    units: float
    latest: float
    worth: float = 1.0
    retry: bool = False
    client: str = ""
    known: bool = True  # whether its customer was seen lately
    free: bool = False  # it takes nothing from the quota: another door has counted it


class QuotaBalance(NamedTuple):
    """A customer's quota as the decisions see it here: units on hand less what waits, units a second."""

    hand: float
    rate: float


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits at the door, or behind it."""

    ask: AdmissionRequest
    since: float
    flow: str
    item: Any = None
    entry: QueueEntry[QueuedRequest] | None = None
    sent: bool = False


class AdmissionResult(NamedTuple):
    """What `arrive` decided; the advice in milliseconds, with a refusal."""

    step: QueueDecision
    retry_after_ms: float = 0.0
    displaced: QueuedRequest | None = None  # it held this one's place, and is to be refused in its stead


class AdmissionQueue:
    """One limiter's door."""

    def __init__(self, settings: AdmissionQueueSettings, most_retry_after_ms: float = inf) -> None:
        self.settings, self.most_retry_after_ms = settings, most_retry_after_ms or inf
        self.queue: FairQueue[QueuedRequest] = FairQueue()
        self.ledger = RetryAfterReservations(settings.promises_most, settings.early_ms, settings.grace_ms)
        self.limit = GradientLimit(
            settings.start_requests, settings.least_requests, settings.most_requests, settings.tolerance
        )
        self.held: dict[int, QueuedRequest] = {}  # at the door
        self.inside: dict[int, QueuedRequest] = {}  # passed on, not finished
        self.waiting: dict[str, int] = {}  # by flow: passed on, not sent
        self.latest: list[tuple[float, int]] = []  # a heap over `held`
        self.lent: list[float] = []  # a heap: when admitted requests count as back
        self.out = 0  # requests sent and not finished
        self.latency_ms = 0.0
        self.now = -inf
        self.flow_rates: dict[str, RateMeter] = {}  # units passed on, by flow
        self.all_rates: RateMeter | None = None
        self.units = DecayingMean(RATE_MS)  # of a request
        self.capacity = DecayingMean(RATE_MS)  # units a second that the fleet can do for us
        self.tally = {"passed": 0, "held": 0, "late": 0, "crowded": 0, "reserved": 0, "overdue": 0}

    # What comes in

    def arrive(
        self, now: float, ask: AdmissionRequest, credit: QuotaBalance | None = None, item: Any = None
    ) -> AdmissionResult:
        """Pass, hold or refuse one request.  O(log n), whatever waits."""
        now = self._tick(now)
        self.ledger.expire(now)
        flow = self._flow(ask)
        promise = None
        if ask.retry:
            promise = self.ledger.redeem(ask.customer, now, ask.units)
        if promise is None and self._kept(now, ask, credit):
            self.tally["reserved"] += 1
            return AdmissionResult(QueueDecision.REJECT, self._come_back(now, ask, flow, credit))
        held = QueuedRequest(ask, now, flow, item)
        weight = self._weight(flow, ask)
        sparse = flow not in self.queue.flows and self.queue.is_sparse(flow)
        if (sparse or not self.queue) and not self._waits(flow) and self._room(sparse):
            self.queue.charge_unqueued(flow, weight, ask.units)
            self._pass(held, now)
            return AdmissionResult(QueueDecision.FORWARD)
        promised = self.ledger.units_due_before(ask.customer, ask.latest)
        if promise is None and now + self._wait_ms(flow, ask.units + promised, weight) > ask.latest:
            self.tally["late"] += 1
            return AdmissionResult(QueueDecision.REJECT, self._come_back(now, ask, flow, credit))
        displaced = None
        if len(self.queue) >= self.settings.held_most:
            self.tally["crowded"] += 1
            displaced = self._crowded(flow, ask.units, weight)
            if displaced is None:
                return AdmissionResult(QueueDecision.REJECT, self._come_back(now, ask, flow, credit))
        rank, tag = (-ask.worth, None) if promise is None else (CLAIMED - ask.worth, promise.start_tag)
        held.entry = self.queue.push(flow, weight, ask.units, held, rank, tag)
        if self._waits(flow):
            self.queue.pause(flow)
        self.held[ask.ident] = held
        heappush(self.latest, (ask.latest, ask.ident))
        if len(self.latest) > 2 * len(self.held) + MAX_STALE_ENTRIES:
            self.latest = [(h.ask.latest, ident) for ident, h in self.held.items()]
            heapify(self.latest)
        self.tally["held"] += 1
        if displaced is not None:
            return AdmissionResult(
                QueueDecision.QUEUE, self._come_back(now, displaced.ask, displaced.flow, None), displaced
            )
        return AdmissionResult(QueueDecision.QUEUE)

    def refused(self, now: float, ident: int, credit: QuotaBalance | None, advice_ms: float) -> float:
        """The decisions refused what was passed on; what they advise is made a promise where it can be."""
        held = self.inside.get(ident)
        if held is None or credit is None or credit.rate <= 0:
            return advice_ms
        now = self._tick(now)
        short = -credit.hand
        if short + held.ask.units <= 0:  # not for the quota: the servers had no room
            return max(advice_ms, self._come_back(now, held.ask, held.flow, None))
        return self._come_back(now, held.ask, held.flow, credit)

    def sent(self, ident: int) -> None:
        """The first attempt of what was passed on is out."""
        held = self.inside.get(ident)
        if held is not None and not held.sent:
            held.sent = True
            self.out += 1
            self._less_waiting(held.flow)

    def admitted(self, now: float, ident: int, usual_ms: float) -> None:
        """The asker sends it itself; it counts as out for the usual time, as nobody tells when it ends."""
        held = self.inside.get(ident)
        if held is not None:
            self.out += 1
            heappush(self.lent, now + usual_ms)

    def answered(
        self, now: float, server: str, latency_ms: float, size: float, load: float, good: bool
    ) -> None:
        """An attempt at a server ended after so long; `size` scales it to a mean request, `load` is what the
        server had of this limiter when it was sent."""
        now = self._tick(now)
        if good:
            weight = LATENCY_WEIGHT if self.latency_ms else 1.0
            self.latency_ms += weight * (latency_ms - self.latency_ms)
        if self.latency_ms and self.queue:  # Little's law, while the fleet has as much as it may have
            self.capacity.add(now, 1000.0 * self.out * (self.units.value or 1.0) / self.latency_ms)
        self.limit.attempt_ended(now, server, latency_ms / max(size, 1e-6), load, self.out, good)

    def finished(self, ident: int) -> None:
        """What was passed on has its final answer, or its client left."""
        held = self.inside.pop(ident, None)
        if held is None:
            return
        if held.sent:
            self.out -= 1
        else:
            self._less_waiting(held.flow)

    def gone(self, ident: int) -> bool:
        """The client of a request left; whether it waited here."""
        held = self.held.get(ident)
        if held is not None:
            self._drop(held)
        return held is not None

    # Once a turn

    def release(self, now: float, blocked: bool = False) -> list[QueuedRequest]:
        """What is to be handed to the decisions now, in order.  `blocked`: no server has room."""
        now = self._tick(now)
        while self.lent and self.lent[0] <= now:
            heappop(self.lent)
            self.out -= 1
        self.ledger.expire(now)
        released: list[QueuedRequest] = []
        out = self.out
        while self.queue and not (blocked and out > 0):
            if out > 0 and out >= self.limit.limit:
                break
            entry = self.queue.pop()
            if entry is None:
                break
            held = entry.item
            del self.held[held.ask.ident]
            held.entry = None
            self._pass(held, now)
            out += 1
            released.append(held)
            if self._waits(held.flow):
                self.queue.pause(held.flow)
        return released

    def overdue(self, now: float) -> list[tuple[QueuedRequest, float]]:
        """What can't be in time any more, each with its advice.  It is no longer held."""
        now = self._tick(now)
        found = []
        while self.latest and self.latest[0][0] < now:
            _, ident = heappop(self.latest)
            held = self.held.get(ident)
            if held is not None and held.ask.latest < now:
                self._drop(held)
                self.tally["overdue"] += 1
                found.append((held, self._come_back(now, held.ask, held.flow, None)))
        return found

    def wakes_at(self) -> float:
        """When the door is to be looked at again, unless something comes in before."""
        while self.latest and self.latest[0][1] not in self.held:
            heappop(self.latest)
        due = self.latest[0][0] + 1.0 if self.latest else inf
        back = self.lent[0] if self.lent and self.queue else inf
        return min(due, back)

    def told(self) -> dict[str, object]:
        """For the log: what waits and what is promised now, and counts since the last time."""
        ledger = self.ledger
        found: dict[str, object] = {
            "door": {
                "held": len(self.queue),
                "flows": len(self.queue.flows),
                "out": self.out,
                "limit": round(self.limit.limit, 1),
                "stretch": round(self.limit.latency_ratio, 2),
                "promised": ledger.count,
                **{name: count for name, count in self.tally.items() if count},
            },
            "promises": {name: count for name, count in ledger.counts.items() if count},
        }
        self.tally = dict.fromkeys(self.tally, 0)
        ledger.counts = dict.fromkeys(ledger.counts, 0)
        return found

    # Inside

    def _tick(self, now: float) -> float:
        """Guards all that is reckoned by time against a clock that steps back."""
        self.now = max(self.now, now)
        return self.now

    def _flow(self, ask: AdmissionRequest) -> str:
        if self.settings.flows is FlowKey.CLIENT and ask.client:
            return ask.client
        # Guards the others against whoever changes its name: all that are new share one flow.
        return ask.customer if ask.known else STRANGERS

    def _weight(self, flow: str, ask: AdmissionRequest) -> float:
        return self.settings.stranger_weight if flow == STRANGERS else self.settings.plan_weight(ask.plan)

    def _room(self, sparse: bool) -> bool:
        return self.out < self.limit.limit * (SPARSE if sparse else 1.0)

    def _waits(self, flow: str) -> bool:
        return self.waiting.get(flow, 0) >= self.settings.waiting_most

    def _kept(self, now: float, ask: AdmissionRequest, credit: QuotaBalance | None) -> bool:
        """Whether what a newcomer asks for is promised to others of its center."""
        if credit is None or credit.rate <= 0 or ask.free or not self.settings.reserve:
            return False
        due, units, last = self.ledger.held(ask.customer, now)
        if not units:
            return False
        later = credit.hand + credit.rate * max(0.0, last - now) / 1000.0 - units
        return min(credit.hand - due, later) < ask.units

    def _wait_ms(self, flow: str, units: float, weight: float) -> float:
        """How long a request of the flow will wait: its backlog at its share of what the fleet does, at most
        all that waits at the whole."""
        rate = self._capacity() / 1000.0  # units a millisecond
        mine = self.queue.flows.get(flow)
        backlog, weights = units, self.queue.total_weight
        if mine is not None:
            backlog, weight = backlog + mine.queued_units, mine.weight
        else:
            weights += weight
        return min(backlog * weights / weight, self.queue.queued_units + units) / rate

    def _come_back(self, now: float, ask: AdmissionRequest, flow: str, credit: QuotaBalance | None) -> float:
        """When to come back: once the quota covers it, and the door's queue is through."""
        rate, short = inf, -ask.units
        if self.queue:
            # What the fleet does for the flow; what waits of it, and what it was promised, comes before.
            mine = self.queue.flows.get(flow)
            rate, short = self._rate(flow, self._weight(flow, ask), now), mine.queued_units if mine else 0.0
        if credit is not None and credit.rate > 0 and (credit.rate < rate or -credit.hand > short):
            rate, short = min(rate, credit.rate), max(short, -credit.hand)
        if rate == inf:  # nothing is known that stands in the way: the servers had no room just now
            rate = self._rate(flow, self._weight(flow, ask), now)
        tag = self.queue.virtual_time
        told, _ = self.ledger.reserve(
            ask.customer, now, ask.units, short, rate, self.most_retry_after_ms, tag
        )
        return told

    def _crowded(self, flow: str, units: float, weight: float) -> QueuedRequest | None:
        """Who gives way where the door is full: the last of the longest flow, if that is longer than this
        one's would be."""
        longest, mine = self.queue.longest_flow(), self.queue.flows.get(flow)
        backlog = ((mine.queued_units if mine else 0.0) + units) / weight
        if longest is None or longest is mine or longest.queued_units / longest.weight <= backlog:
            return None
        held = self.queue.newest_entry(longest).item
        self._drop(held)
        return held

    def _rate(self, flow: str, weight: float, now: float) -> float:
        """Units a second that a flow may expect: what the others leave of what the fleet can do, and its
        share among all at the least.  What it was served itself would say less and less: a flow that is
        promised less takes less."""
        weights = weight + max(self.queue.total_weight, len(self.flow_rates))
        mine = self.flow_rates[flow].rate_per_s(now) if flow in self.flow_rates else 0.0
        others = max(0.0, self.all_rates.rate_per_s(now) - mine) if self.all_rates else 0.0
        capacity = self._capacity()
        return PROMISED * max(capacity * weight / weights, capacity - others)

    def _capacity(self) -> float:
        """Units a second that the fleet does for us."""
        guess = 1000.0 * self.limit.limit * (self.units.value or 1.0) / max(1.0, self.latency_ms)
        return max(1e-3, self.capacity.value or guess)

    def _meter(self, held: QueuedRequest, now: float) -> None:
        """Something of a flow goes on."""
        meter = self.flow_rates.pop(held.flow, None) or RateMeter(RATE_MS, now)
        if len(self.flow_rates) >= RATES_MOST:  # guards the memory
            del self.flow_rates[next(iter(self.flow_rates))]
        self.flow_rates[held.flow] = meter  # the one that went on last stands last
        self.units.add(now, held.ask.units)
        self.all_rates = self.all_rates or RateMeter(RATE_MS, now)
        meter.add(now, held.ask.units)
        self.all_rates.add(now, held.ask.units)

    def _pass(self, held: QueuedRequest, now: float) -> None:
        self._meter(held, now)
        self.inside[held.ask.ident] = held
        self.waiting[held.flow] = self.waiting.get(held.flow, 0) + 1
        self.tally["passed"] += 1

    def _less_waiting(self, flow: str) -> None:
        left = self.waiting.get(flow, 0) - 1
        if left > 0:
            self.waiting[flow] = left
        else:
            self.waiting.pop(flow, None)
        self.queue.resume(flow)

    def _drop(self, held: QueuedRequest) -> None:
        del self.held[held.ask.ident]
        if held.entry is not None:
            self.queue.remove(held.entry)
            held.entry = None
