"""Every decision of a gateway.  Its events: `scalelb/policy/events.py`; its actions: `actions.py` there.

`_arrive` meets queue and balance; `_turn` credits and releases; `_send` and `_pick` choose a server; `_ended`
settles; `_lease` and `_replied` take blocks of credit.  After Gage; changes and reasons: `docs/design.md`."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from itertools import accumulate, islice
from math import exp, inf
from typing import Any

from scalelb.admission_queue.tenant_records import TenantRecords
from scalelb.overload import retry_budget, subsetting
from scalelb.overload.counter_contention import CounterContention
from scalelb.policy.actions import (
    Action,
    AddToCounter,
    AdmitRequest,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from scalelb.policy.endpoints import EndpointState
from scalelb.policy.events import (
    LOAD_SIGNALS,
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
from scalelb.policy.settings import IDLE_REUSE_RATIO, DeduplicationScope, Idempotency, RequestClass, Settings
from scalelb.routing import health, ledger
from scalelb.routing.keys import group, homes
from scalelb.routing.state import Attempt, Customer, Memory, Request, Server

TURN, TURN_MS, HOUSE, HOUSE_MS = 1, 10.0, 2, 1000.0  # timers: scheduling cycle, as in the paper; ageing
COST_WEIGHT, FLEET_WEIGHT = 0.1, 0.05  # of the newest answer in running averages
AHEAD_S, AHEAD = 1.0, 3.0  # a block covers so much demand, or requests
OWED = 1.0  # units of a shared store that are told at once
HOLD, EASE, SPARE_WAIT = 0.5, 0.15, 0.1  # of the aim: longest wait for credit; latency at ease; soft wait
NEED, NEED_MOST = 1.5, 0.6  # usual latencies, parts of the aim, that must be left when a request is sent
CALLS_OUT, CALL_AGE = 16, 4.0  # calls out; time-outs for one
ASK_MS = 100.0  # between two calls for a customer that found the store empty
IDLE_MS, FORGET_MS = 3000.0, 20_000.0  # the idle hand back, are forgotten
PATIENCE = (0.5, 4.0)  # a repeatable attempt is given up after this part of the aim, or these usual latencies
START_LIMIT = 2.0  # mean requests out at a server, before its answers tell more
LATE, SHUT, OPEN, REOPEN, LEAST = 0.5, 0.85, 0.05, 1.05, 0.005  # of the aim: late; steps of the door
CHOICES, FAR, JITTER = 8, 1.02, 0.1  # servers drawn; another zone looks slower; chance
WIDEN = 0.5  # one that fails so often is taken only where all servers were drawn from
KEEP, SAVED, CARRIED_MS = 0.4, 0.5, 10_000.0  # of a cold server's budget; of its window; memory
RETRY_EARN = 0.2  # further attempts for each good answer
HOT_MOST, VISITS = 2048, 256  # customers known in full; visited in one turn of house-keeping
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Gateway(Memory):
    """Decides for one front door: `handle` takes each event and returns what to do about it, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(records=TenantRecords(random.Random(f"records {seed}").randbytes(16)))
        self.settings, self.aim = (
            settings,
            min(kind.latency_objective_ms for kind in settings.request_classes),
        )
        self.usual, self.mean = 0.1 * self.aim, ledger.mean_units(settings)  # latency, units
        self.random, self.retries = random.Random(seed), 1.0  # further attempts kept
        self.flight.limiters, self.crowd = (
            settings.limiter_count,
            CounterContention(settings.counter_timeout_ms),
        )
        self.precedences = settings.class_precedences()
        self.worth, self.open = self.precedences[0], 1.0
        self.deciders: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self._arrive,
            AttemptEnded: self._ended,
            CounterReplied: self._replied,
            RequestCancelled: self._gone,
            EndpointsListed: self._listed,
            TimerFired: self._turn,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; return the actions that it calls for."""
        self.actions, self.began = [], now if self.began < 0 else self.began
        self.now = now
        if (decide := self.deciders.get(type(event))) is not None:
            decide(now, event)
        if self.settings.subscribes_to_endpoints and isinstance(event, Started | EndpointListLost):
            self.actions.append(WatchEndpoints())
        # Guards the processor: timers run only while something waits, as most gateways are idle.
        if max(now + TURN_MS, self.wake) < self.turn_at:
            self.turn_at = max(now + TURN_MS, self.wake)
            self.actions.append(SetTimer(TURN, self.turn_at - now))
        if not self.housed and (self.customers or self.records.tables or self.records.inherited):
            self.housed = True
            self.actions.append(SetTimer(HOUSE, TURN_MS if self.unvisited else HOUSE_MS))
        return self.actions

    def take(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take all that has come in by now; return the actions in the order of the events."""
        return [action for event in events for action in self.handle(now, event)]

    def _arrive(self, now: float, e: RequestArrived) -> None:
        kind, c = self.settings.request_classes[e.class_index], self._customer(now, e)
        precedence = self.precedences[e.class_index]
        request = Request.of(e, c, kind, now, self.ages.of(e, kind), precedence)
        self.requests[e.request_id], units = request, request.units
        repeat = e.is_retry or e.expires_in_ms + e.queued_ms < kind.latency_objective_ms
        c.note_demand(now, 0.0 if repeat else units)  # guards the blocks against clients that repeat
        self._credit(c, now)
        self.worth += FLEET_WEIGHT * (precedence - self.worth)
        # Guards a fleet that no single gateway's limits relieve; what is worth more gives way less.
        shed = self.random.random() > self.open ** (self.worth / max(precedence, 1e-9))
        lost = shed or now > self._latest(request)  # or it is not asked for, as the counter is crowded
        if lost or (not (chance := self._chance(request, repeat)) and request.barred and c.balance < units):
            self._end(request)
            return
        first = not c.queue or request.rank > c.queue[0].rank
        if not first or self._lacks(request) > 0 or not self._send(request, now):
            self._enqueue(request, now)
            self._trim(c, now)
        self._lease(c, now, chance)

    def _enqueue(self, request: Request, now: float) -> None:
        c = request.customer
        # A further attempt goes first; then the rank decides, and then the order of arrival.
        ahead = sum(r.sends > 0 or r.rank >= request.rank for r in c.queue)
        c.queue.insert(0 if request.sends else ahead, request)
        c.queued += 0.0 if request.sends else request.units
        self._rouse(c, self._waits(c, request, now))

    def _trim(self, c: Customer, now: float) -> None:
        """Give up at once what neither the credit nor the cap on attempts lets go in time."""
        ahead = 0.0 if c.shared else -c.balance - max(c.block, c.told_here(now, self.backoff))
        place, blind = c.out, self.crowd.silent
        for request in list(c.queue):
            most = c.reach(self._latest(request), blind * now) - request.units * (not blind) + 1e-6
            most = (
                most
                if c.shared
                else max(c.plan.rate_per_s * HOLD * request.kind.latency_objective_ms / 1000, c.estimate)
            )
            short = c.plan.rate_per_s > 0 and ahead > most and not self._counted(request)
            wait = self.usual * (place + 1 - c.at_once) / c.at_once if c.at_once else 0.0
            if not request.sends and (short or now + wait > self._latest(request)):
                self._end(request)
            else:
                ahead, place = ahead + request.units * (not request.sends), place + 1

    def _rouse(self, c: Customer, at: float) -> None:
        self.active[c.name], c.wake, self.wake = c, min(c.wake, at), min(self.wake, at)

    def _customer(self, now: float, e: RequestArrived) -> Customer:
        if c := self.customers.pop(e.tenant, None):
            self.customers[e.tenant] = c  # the one that was seen last stands last
            return c
        c = Customer.fresh(e, self.settings, now, now - self.began, self.mean)
        c.shared, self.customers[e.tenant] = ledger.shared(c.plan, c.doors, self.settings), c
        c.store = 0.0 if now < self.records.unknown_start_empty_until else c.room()
        c.balance = c.unreported = 0.0 if c.shared else c.store / c.doors
        c.recall(self.records.take(e.tenant, now))
        if len(self.customers) > HOT_MOST:  # guards the memory: of one that has nothing under way, a record
            for old in list(islice(self.customers.values(), 8)):
                self._part(old, now)
        return c

    def _part(self, c: Customer, now: float) -> None:
        """Let a customer go; a compact record of its store stays until that is full again."""
        if not c.busy():
            self._credit(c, now)
            self.records.put(c.name, c.record(now, self.backoff > 0), now)
            del self.customers[c.name]
            self.active.pop(c.name, None)

    def credit(self, customer: str, now: float) -> tuple[float, float] | None:
        """Units on hand here less what waits, with this door's share of what the counter told is left, and
        this door's share of the rate, units/s; nothing of one that is not known or has no quota."""
        if (c := self.customers.get(customer)) is None or not c.plan.rate_per_s:
            return None
        return c.balance + max(
            c.block, c.told_here(now, self.backoff)
        ) - c.queued, c.plan.rate_per_s / c.doors

    def need(self, kind: RequestClass) -> float:
        """Milliseconds of the aim that must be left when a request is sent."""
        return min(NEED * self.usual, NEED_MOST * kind.latency_objective_ms)

    def _credit(self, c: Customer, now: float) -> None:
        """Credit rate times cycle from the block; this door's share of it while the counter is silent."""
        plan, elapsed, c.credited = c.plan, now - c.credited, now
        while c.lent and c.lent[0] <= now:  # nobody tells when an admitted request has ended
            c.out, _ = c.out - 1, c.lent.pop(0)
        part = min(c.block, plan.rate_per_s * max(0.0, min(elapsed, now - c.ready)) / 1000)
        c.block, c.balance = c.block - part, c.balance + part
        if self.backoff or not self.settings.has_counter:
            share = max(0.0, min(plan.rate_per_s * elapsed / 1000, c.room() - c.balance * c.doors) / c.doors)
            c.balance, c.unreported, c.blind = c.balance + share, c.unreported + share, c.blind + share
        filled = c.ceiling + plan.ceiling_rate_per_s * (now - c.ceiling_at) / 1000 / c.doors
        c.ceiling, c.ceiling_at = min(plan.ceiling_burst / c.doors, filled), now

    def _chance(self, request: Request, repeat: bool) -> bool:
        """Whether the counter is asked.  A request on a shared store waits for its word; a crowded counter is
        asked for some of them, as much more for each, and fewer others go where few of them get in."""
        c, cost = request.customer, request.customer.plan.over_quota_cost_ratio
        if not c.shared or c.balance >= request.units or self._counted(request):
            return True
        drawn, request.barred = self.random.random() < self.crowd.sampling_rate, not self.backoff
        known = c.broke or c.reach(self._latest(request)) < request.units  # to be empty
        if not (drawn or self.backoff or known) and self.random.random() < self.crowd.admission_rate(cost):
            c.balance = request.units
        c.unreported += request.units * self.crowd.extra_weight(cost) * (drawn and not (c.broke or c.calling))
        return drawn

    def _lacks(self, request: Request) -> float:
        """Nothing while the balance is not negative (Gage); a dear request needs its excess over the mean,
        but not blind: a door's share of the rate brings that in minutes, and no dear class got in at all."""
        c, blind = request.customer, self.crowd.silent and not request.customer.broke
        least = request.units - 1e-6 if request.barred else max(0.0, request.units - c.estimate) * (not blind)
        lacks = least - c.balance if c.plan.rate_per_s and not request.sends else 0.0
        lacks = 0.0 if lacks > 0 and self._counted(request) else lacks
        return inf if c.at_once and c.out >= c.at_once else lacks

    def _turn(self, now: float, e: TimerFired) -> None:
        if e.tag == HOUSE:
            self._keep_house(now)
        if e.tag != TURN or now < self.turn_at - 1.0:  # or set for later, before something came up
            return
        self.turn_at, self.blocked, self.wake = inf, False, inf
        for c in list(self.active.values()):
            if c.wake <= now:
                self._credit(c, now)
                for request in [r for r in c.queue if now > self._latest(r)]:
                    self._end(request)
                self._release(c, now)
                self._lease(c, now, now - c.seen <= IDLE_MS)
                c.wake = min((self._waits(c, r, now) for r in c.queue), default=inf)
            if c.wake == inf:
                del self.active[c.name]
            self.wake = min(self.wake, c.wake)
        if name := next(iter(self.active), ""):  # another customer is first next time
            self.active[name] = self.active.pop(name)
        self._lend(now)

    def _release(self, c: Customer, now: float) -> None:
        while c.queue and self._lacks(head := c.queue[0]) <= 0 and self._send(head, now):
            head.customer.unqueue(head)

    def _waits(self, c: Customer, request: Request, now: float) -> float:
        """When the request is to be looked at again, unless a reply or an answer comes first."""
        if (lacks := self._lacks(request)) <= 0:
            return now
        back = c.lent[0] if c.lent else inf
        credit = max(c.plan.rate_per_s / 1000, 1e-9)  # guards a plan that has a cap on attempts only
        blind = now + lacks / credit * c.doors if self.backoff or not self.settings.has_counter else inf
        leased = max(c.ready, now) + lacks / credit if c.block >= lacks else inf
        # Guards a queue behind an empty store: nothing else asks the counter anew before it is too late.
        refill = c.store_at + 1000 * (min(lacks, c.estimate) - c.store) / credit
        silent = self.backoff or c.calling or c.window < 0
        ask = inf if silent else max(now + TURN_MS, refill, c.called + ASK_MS)
        soft = (
            now + SPARE_WAIT * request.kind.latency_objective_ms
            if c.plan.over_quota_value_ratio > c.plan.over_quota_cost_ratio
            else inf
        )
        return min(blind, leased, ask, soft, back, self._latest(request))

    def _latest(self, request: Request) -> float:
        return min(request.due - self.need(request.kind), request.repeat_by)

    def _lend(self, now: float) -> None:
        """Quiet customers' unspent units go to soft plans' backlogs while the back end is at ease."""
        ease = self.spare > 0 and now - self.full_at >= HOUSE_MS and self.usual <= EASE * self.aim
        for c in [
            c
            for c in self.active.values()
            if ease and c.plan.over_quota_value_ratio > c.plan.over_quota_cost_ratio
        ]:
            for request in [r for r in c.queue if now - r.arrived > SPARE_WAIT * r.kind.latency_objective_ms][
                :1
            ]:
                if self._send(request, now, charge=False):
                    self.spare -= request.units
                    request.customer.unqueue(request)

    def _keep_house(self, now: float) -> None:
        self.housed = False
        if not self.unvisited:
            self.spare, self.open = 0.0, min(1.0, self.open * REOPEN)
            self._rank(now)
            for name, c in list(self.calls.items()):
                if now - c.called > CALL_AGE * self.settings.counter_wait_ms + HOUSE_MS:  # none comes
                    self._replied(now, CounterReplied(name, Outcome.TIMEOUT, 0.0, now - c.called))
            self.unvisited = list(self.customers.values())
        some, self.unvisited = self.unvisited[:VISITS], self.unvisited[VISITS:]  # guards the others' turn
        self.records.sweep(now, 16 * VISITS)
        for c in (c for c in some if self.customers.get(c.name) is c):
            if c.lent:
                self._credit(c, now)
            idle = now - c.seen
            self.spare += max(0.0, c.balance) * (not c.queue)
            part = self.crowd.sampling_rate  # guards the counter: what is owed can wait
            if part >= 1 or self.random.random() < part:
                self._lease(c, now, False)
            if idle > IDLE_MS and c.balance > c.estimate and c.window >= 0:
                self._call(c, now, -c.balance)
            if idle > FORGET_MS:
                self._part(c, now)

    def _send(self, request: Request, now: float, charge: bool = True) -> bool:
        """Send to the best server; False where none has room or the ceiling is reached."""
        c, kind, first = request.customer, request.kind, request.sends == 0
        full = first and c.plan.ceiling_rate_per_s > 0 and c.ceiling < request.units
        if request.admission and not full:
            return self._admitted(request, now, charge)
        full |= len(self.attempts) >= self.flight.limit  # guards the backends against what all have out
        places = self._homes(request, now) if not full and (request.ran or not self.blocked) else []
        server = next((s for home in places if (s := self._pick(request, now, home))), None)
        if server is None:
            self.blocked |= not request.ran and not full
            return False
        patience = max(PATIENCE[0] * kind.latency_objective_ms, PATIENCE[1] * self.usual)
        repeat = (
            kind.idempotency is not Idempotency.NOT_IDEMPOTENT
            and request.sends + 1 < self.settings.max_attempts
        )
        timed, begin = repeat and now + patience + self.usual < request.due, request.repeat_by - now
        self.actions.append(SendAttempt(request.ident, server.info.name, patience * timed, begin))
        attempt = Attempt(request, server, request.units / self.mean, now)
        self.attempts[request.ident, request.sends] = attempt
        request.sends, request.tried = request.sends + 1, server.info.name
        server.load, c.out = server.load + attempt.load, c.out + 1
        health.sent(server, now, IDLE_REUSE_RATIO * self.settings.idle_timeout_ms)
        if first:
            self._charge(request, now, charge)
        return True

    def _charge(self, request: Request, now: float, charge: bool) -> None:
        """Take a try's units, whole; a keyed one that another door has counted takes none."""
        c, counted = request.customer, self._counted(request)
        if request.key:
            self.keys.count(c.name, request.key, request.door, now, request.kind.idempotency_window_ms)
        c.ceiling -= 0.0 if counted else request.units
        request.charged = 0.0 if counted else request.units * charge
        c.balance -= request.charged

    def _counted(self, request: Request) -> bool:
        """Whether another door has counted a try with this key, and this door none since."""
        return self.keys.counted(request.customer.name, request.key, request.door, self.now)

    def _admitted(self, request: Request, now: float, charge: bool) -> bool:
        """Let the asker send it: charged like any other, and taken to be out for the usual time."""
        c = request.customer
        self._charge(request, now, charge)
        c.out += 1
        c.lent.append(max(now + self.usual, c.lent[-1] if c.lent else 0.0))
        self.requests.pop(request.ident, None)
        self.actions.append(AdmitRequest(request.ident))
        return True

    def _pick(self, request: Request, now: float, home: int | None) -> Server | None:
        """Gage's node scheduler among a few servers of one group drawn by size, as hundreds choose alike:
        least outstanding load against capacity, corrected by health and by what a new connection costs."""
        best, lowest, load = None, inf, request.units / self.mean
        lasts, idle = (
            health.memory(self.gap, len(self.servers)),
            IDLE_REUSE_RATIO * self.settings.idle_timeout_ms,
        )
        opening = (
            self.settings.handshake_cost * request.kind.latency_objective_ms
        )  # its worth is lost over that time
        cold, kind = self._admit(request, now) if self.cold else [], request.kind.deduplication_scope
        for pool, sizes in self.pools:
            if home is not None:
                pool, cold = ([s for s in some if group(s.info, kind) == home] for some in (pool, cold))
                sizes = list(accumulate(s.info.relative_capacity for s in pool))
            for s in cold + (self.random.choices(pool, cum_weights=sizes, k=CHOICES) if pool else []):
                cost = inf if s.load and s.load + load > s.limit else 1.0
                cost *= health.looks(s, now, self.usual, lasts, request.tried, idle, opening)
                cost *= (load + s.load * self.size / s.info.relative_capacity) / (
                    1 if s.warm >= 1 else CHOICES
                )
                cost *= (1.0 if s.info.zone == self.settings.zone else FAR) + JITTER * self.random.random()
                best, lowest = (s, cost) if cost < lowest else (best, lowest)
            if best is not None and best.failing < WIDEN:
                break
            cold = []
        return best

    def _admit(self, request: Request, now: float) -> list[Server]:
        """The one cold server that this send may go to, if any.  No send passes this guard by.

        A started server falls when all gateways send it over `fall_multiple` x what it can do x `fall_ms`.
        It can do what warm ones of its size carry, times its warm share.  Work that a gateway saw finished
        is its part of that; the parts add up: `fall_multiple` x the part keeps the budget, however few others
        serve.  A part is often under one request: each send draws, with the chance of what came due since the
        last draw over its units, and spends it either way.  Held requests and repeats get no more; an idle
        gateway saves SAVED of a window, a restarted one none: KEEP x (1 + SAVED) = 0.6 at most, on average.
        The rest is for chance, dear requests not told, slow spells, and sends before the list tells."""
        self._measure(now)
        rate = KEEP * self.settings.overload_multiple * self.work / self.filled * self.shares[-1]
        allowed = min(
            self.allowed + rate * (now - self.allowed_at), rate * SAVED * self.settings.overload_window_ms
        )
        self.allowed, self.allowed_at = max(0.0, allowed - request.units), now
        passes = self.random.random() * request.units < allowed
        return self.random.choices(self.cold, cum_weights=self.shares) if passes else []

    def _measure(self, now: float, units: float = 0.0) -> None:
        """Work done by warm servers for this gateway, over their size and time; kept while none serves."""
        fade = exp((self.measured - now) / CARRIED_MS) if self.serving else 1.0
        self.work, self.measured = self.work * fade + units, now
        sizes = self.pools[-1][1][-1] if self.serving else 0.0
        self.filled = self.filled * fade + (1 - fade) * CARRIED_MS * sizes

    def _homes(self, request: Request, now: float) -> list[int | None]:
        """Groups of servers that it may go to, in order; None: any.  What may have run goes only where its
        repeat is dropped.  A key's first try goes to its home, as a retry through another limiter will."""
        kind, on = request.kind, request.ran_on
        keyed = request.ran or (request.key and kind.deduplication_scope is not DeduplicationScope.ALL)
        if kind.idempotency is Idempotency.IDEMPOTENT or not keyed:
            return [None]
        if not request.ran:
            return homes(
                request.key, {group(s.info, kind.deduplication_scope) for s in self.servers.values()}
            )
        return [] if on is None or now >= request.repeat_by else [group(on, kind.deduplication_scope)]

    def _ended(self, now: float, e: AttemptEnded) -> None:
        if (attempt := self.attempts.pop((e.request_id, e.attempt_number), None)) is None:
            return
        request, server, c = attempt.request, attempt.server, attempt.request.customer
        c.out, server.load = c.out - 1, max(0.0, server.load - attempt.load)
        if c.queue:
            self._rouse(c, now)
        self._judge(now, server, e, request)
        if e.true_units:  # settle
            c.estimate += COST_WEIGHT * (e.true_units - c.estimate)
            self.mean += FLEET_WEIGHT * (e.true_units - self.mean)
            c.balance += request.charged - e.true_units if request.charged else 0.0
        if e.request_finished or e.request_id not in self.requests:
            self.requests.pop(e.request_id, None)
            return
        if e.outcome not in NEVER_RAN and not request.ran:
            request.ran, request.ran_at, request.ran_on = True, attempt.sent, server.info
        free = e.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # nothing reached a server
        spent = request.sends >= self.settings.max_attempts or (self.retries < 1 and not free)
        spent |= e.outcome is Outcome.TIMEOUT and self.random.random() > self.open  # guards a jam
        if spent or now > self._latest(request):
            self._end(request)
        else:
            self.retries -= not free
            if not self._send(request, now):
                self._enqueue(request, now)

    def _judge(self, now: float, s: Server, e: AttemptEnded, request: Request) -> None:
        self.blocked = False
        if e.outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        aim, good = request.kind.latency_objective_ms, e.outcome is Outcome.OK
        self.retries = min(
            retry_budget.capacity(self.settings.limiter_count), self.retries + RETRY_EARN * good
        )
        units = e.true_units or request.units
        self._measure(now, units * (good and s.serving and s.warm >= 1))
        size = 0.5 + 0.5 * units / self.mean
        latency = e.elapsed_ms / size if good else max(aim, e.elapsed_ms)
        self.gap += FLEET_WEIGHT * (min(now - self.judged, HOUSE_MS) - self.gap)
        lasts, self.judged = health.memory(self.gap, len(self.servers)), now
        health.judge(s, now, e.outcome, latency, self.usual, lasts)
        if e.outcome in LOAD_SIGNALS and s.warm >= 1:  # a cold server is slow with nothing in line
            late = e.outcome is Outcome.REJECTED or e.elapsed_ms >= LATE * aim
            self.open = max(LEAST, self.open * SHUT) if late else min(1.0, self.open + OPEN)
            self.flight.on_answer(late, len(self.attempts), self.gap)
        self.usual += good * FLEET_WEIGHT * (latency - self.usual)
        self.full_at = now if e.outcome is Outcome.REJECTED else self.full_at
        health.adapt_limit(s, now, good, e.elapsed_ms, aim)

    def _end(self, request: Request) -> None:
        """Final answer: refused where a further try is provably harmless, else failed."""
        request.customer.unqueue(request)
        harmless = not request.ran or request.kind.is_retriable_anywhere
        self.requests.pop(request.ident, None)
        advice = self._advice(request) if harmless and self.settings.sends_retry_after else 0.0
        self.actions.append(RejectRequest(request.ident, advice) if harmless else FailRequest(request.ident))

    def _advice(self, request: Request) -> float:
        """When to come back: once the rate covers queue and request, or the servers may be at ease."""
        c = request.customer
        short = (
            max(0.0, c.queued + request.units - c.balance) / c.plan.rate_per_s if c.plan.rate_per_s else 0.0
        )
        wait = max(1000 * short, self.usual / self.open)
        return min(self.settings.max_retry_after_ms, max(1.0, wait))

    def _gone(self, now: float, e: RequestCancelled) -> None:
        if request := self.requests.pop(e.request_id, None):
            request.customer.unqueue(request)
            if self.settings.cancels_attempts and (e.request_id, request.sends - 1) in self.attempts:
                self.actions.append(CancelAttempt(e.request_id, request.sends - 1))

    def _lease(self, c: Customer, now: float, wanted: bool) -> None:
        """Take a block ahead when what is on hand covers less than the queue and one more request.  From a
        shared store: what the queue needs; what nobody waits for goes back at once."""
        if c.shared and not (c.queue or self.backoff):
            c.give_back()
        hand, rate, owed = c.balance + c.block, c.plan.rate_per_s, OWED if c.shared else c.estimate
        covered = not wanted or hand - c.queued >= (0.0 if c.shared else c.estimate)
        if not rate or (covered and abs(c.unreported) < owed):
            return
        ahead = 0.0 if c.shared else max(AHEAD * c.estimate, c.demand * AHEAD_S)
        ask = max(0.0, c.queued + min(ahead, max(c.room() / c.doors, c.estimate)) - hand) * (not covered)
        if c.window >= 0:
            ask = max(0.0, min(ask, min(c.room(), c.filled(now)) + rate * HOLD * self.aim / 1000))
            if ask < min(c.estimate, c.queued - hand if c.shared else inf) and abs(c.unreported) < owed:
                return
        self._call(c, now, ask)

    def _call(self, c: Customer, now: float, ask: float) -> None:
        """Add to the customer's count what it was granted unseen and what is asked for now."""
        most, (window, began) = 1 if self.backoff else CALLS_OUT, ledger.window(c.name * c.shared, now)
        if c.calling or now < self.crowd.next_call_at or len(self.calls) >= most * self.settings.has_counter:
            return
        c.turn(window, began)
        c.amount, c.asked, c.balance = c.unreported + ask, ask, c.balance + min(0.0, ask)
        self._count(c, now, ledger.name(c.name, window), c.amount)

    def _count(self, c: Customer, now: float, name: int, amount: float) -> None:
        c.calling, c.called, self.calls[name] = True, now, c
        self.actions.append(AddToCounter(name, amount, ledger.LIFE_MS))

    def _replied(self, now: float, e: CounterReplied) -> None:
        if (c := self.calls.pop(e.counter_key, None)) is None:
            return
        c.calling = False
        self._rouse(c, now)
        self._credit(c, now)
        # A spoilt answer: surely added, by a counter that lives; the next total tells what the others used.
        total = c.total + c.amount if e.outcome is Outcome.ERROR else e.total
        if e.outcome not in (Outcome.OK, Outcome.ERROR):
            # Perhaps added: no grant, no repeat.  Surely not added: what was owed to the counter stays owed.
            c.unreported = (c.unreported + min(0.0, c.asked)) * (e.outcome is not Outcome.TIMEOUT)
            self.crowd.on_failure(now)
            c.free()
            return
        self.crowd.on_answer(now, e.elapsed_ms)
        c.unreported -= 0.0 if c.reading else c.amount - c.asked
        if ledger.first(c, total):
            self._count(c, now, ledger.name(c.name, c.window - 1), 0.0)
            return
        total = ledger.carried(c, total) if c.reading else total
        # Guards against lost counts: a total below what was added here says nothing of the others' use.
        others = max(0.0, total - c.total - c.amount)
        # Guards the store after a silence: what was credited blind came out of what the rate brought in
        # meanwhile.  Taken from a store that is full again instead, seconds of good credit were refused.
        blind, c.blind = max(0.0, min(c.blind, c.amount - c.asked)), 0.0
        filled = c.level(now, others, blind)
        kept, amount = c.room(), c.amount - blind
        if c.shared:
            filled, amount = ledger.fill(c, now, total), c.asked
        c.store, c.store_at, c.total = min(kept, filled) - amount, now, total
        # Kept: what rate times window plus burst covers, or will cover in time; the rest goes back.
        c.broke, asked = c.store < 0, max(0.0, c.asked)
        self.crowd.record_grant(not c.broke, asked > 0)
        short = min(asked, max(0.0, -c.store))
        back = min(short, max(0.0, -c.store - c.plan.rate_per_s * HOLD * self.aim / 1000))
        c.balance += asked - short
        c.block, c.unreported = c.block + short - back, c.unreported - back
        c.ready = now + 1000 * max(0.0, -c.store - back - c.block) / c.plan.rate_per_s
        if c.shared:
            c.store += back
            self._release(c, now)
            self._trim(c, now)
            self._lease(c, now, False)

    def _listed(self, now: float, e: EndpointsListed) -> None:
        for s in self.servers.values():
            s.serving = not e.is_complete
        for info in e.endpoints:
            s = self.servers.setdefault(info.name, Server(info, self.usual, START_LIMIT, now))
            if info.started_at > s.info.started_at:
                health.renew(s, self.usual, START_LIMIT)
            s.info, s.serving = info, info.state is EndpointState.SERVING
        self.servers = {name: s for name, s in self.servers.items() if s.serving}
        self._rank(now)

    def _rank(self, now: float) -> None:
        """Warm servers are drawn by size, cold ones by what they can do at least."""
        self._measure(now)
        self.allowed, self.allowed_at = (self.allowed, self.allowed_at) if self.cold else (0.0, now)
        serving, told = list(self.servers.values()), self.settings
        for s in serving:
            age = max(0.0, now - s.info.started_at) / told.slow_start_ms if s.info.started_at else 1.0
            s.warm = min(1.0, told.slow_start_initial_ratio + (1 - told.slow_start_initial_ratio) * age)
        self.serving, self.cold = [s for s in serving if s.warm >= 1], [s for s in serving if s.warm < 1]
        drawn = subsetting.subset(
            self.serving, lambda s: s.info.name, told.limiter_index, told.limiter_count, self.gap
        )
        self.pools = [(some, list(accumulate(s.info.relative_capacity for s in some))) for some in drawn]
        self.shares = list(accumulate(s.info.relative_capacity * s.warm for s in self.cold))
        self.size = sum(s.info.relative_capacity for s in serving) / max(1, len(serving))
        if serving and not self.filled:  # at first the least: a server does one mean request within the aim
            self.filled = CARRIED_MS * self.size
            self.work = CARRIED_MS * self.mean / self.aim / self.settings.limiter_count
