"""Many gateways in one process and in virtual time: one counter, one exact meter, equal servers."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from driver import SETTINGS, serving_endpoints

from scalelb import Limiter
from scalelb.policy.actions import Action, AddToCounter, FailRequest, RejectRequest, SendAttempt, SetTimer
from scalelb.policy.events import (
    AttemptEnded,
    CounterReplied,
    EndpointsListed,
    Event,
    Outcome,
    RequestArrived,
    Started,
    TimerFired,
)
from scalelb.policy.settings import Plan

TOLD_MS = 2.0  # a message, one way


class Fleet:
    """`count` gateways; what all of them did, counted together."""

    def __init__(self, count: int, seed: int = 1, backends: int = 60, **fields: Any) -> None:
        self.settings = replace(SETTINGS, limiter_count=count, **({"max_units": 6.0} | fields))
        self.now, self.order, self.due = 1_000_000.0, 0, list[Any]()
        self.random = random.Random(seed)
        self.limiters = [Limiter(replace(self.settings, limiter_index=n), seed + n) for n in range(count)]
        self.counted: dict[int, float] = defaultdict(float)
        self.stores: dict[str, tuple[float, float]] = {}
        self.asked: dict[int, tuple[str, int, float, int]] = {}  # customer, plan, units, sends
        self.seen: Counter[str] = Counter()
        self.silent = False  # the counter: no connection to it comes up
        self.took: Callable[[str], float] = lambda server: 200.0
        for limiter in self.limiters:
            self.give(limiter, Started())
            self.give(limiter, EndpointsListed(serving_endpoints(backends), is_complete=True))

    def at(self, delay_ms: float, do: Callable[[], None]) -> None:
        self.order += 1
        heappush(self.due, (self.now + delay_ms, self.order, do))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.due and self.due[0][0] <= end:
            self.now, _, do = heappop(self.due)
            do()
        self.now = end

    def give(self, limiter: Limiter, event: Event) -> None:
        for action in limiter.handle(self.now, event):
            self.carry_out(limiter, action)

    def later(self, limiter: Limiter, delay_ms: float, event: Event) -> None:
        self.at(delay_ms, lambda: self.give(limiter, event))

    def ask(self, customer: str, door: int, units: float, **fields: Any) -> None:
        ident = len(self.asked) + 1
        given: dict[str, Any] = {
            "plan_index": 0,
            "class_index": 0,
            "expires_in_ms": 3000.0,
            "sharing_limiters": 30,
        } | fields
        self.asked[ident] = (customer, given["plan_index"], units, 0)
        self.seen["asked"] += 1
        self.give(self.limiters[door], RequestArrived(ident, customer, units=units, **given))

    def store(self, customer: str, plan: Plan) -> float:
        held, at = self.stores.get(customer, (plan.burst, self.now))
        return min(plan.burst, held + plan.rate_per_s * (self.now - at) / 1000)

    def carry_out(self, limiter: Limiter, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.later(limiter, action.delay_ms, TimerFired(action.tag))
        elif isinstance(action, AddToCounter):
            self.seen["calls"] += 1
            self.at(TOLD_MS, lambda: self.count(limiter, action))
        elif isinstance(action, SendAttempt):
            customer, place, units, sends = self.asked[action.request_id]
            self.asked[action.request_id] = (customer, place, units, sends + 1)
            plan = self.settings.plans[place]
            self.seen["sends"] += 1
            if not sends:
                held = self.store(customer, plan)
                inside = held >= units - 1e-6 or not plan.rate_per_s
                self.stores[customer] = held - units * inside, self.now
                self.seen["units inside" if inside else "units beyond"] += round(units)
            elapsed = self.took(action.endpoint)
            outcome = Outcome.OK if elapsed > 0 else Outcome.CONNECT_FAILED
            ended = AttemptEnded(
                action.request_id, sends, action.endpoint, outcome, abs(elapsed), outcome is Outcome.OK
            )
            self.later(limiter, abs(elapsed), ended)
        elif isinstance(action, RejectRequest | FailRequest):
            customer, place, units, _ = self.asked[action.request_id]
            plan = self.settings.plans[place]
            self.seen["refused"] += 1
            self.seen["refused with room"] += self.store(customer, plan) >= max(units, plan.burst / 2)

    def count(self, limiter: Limiter, call: AddToCounter) -> None:
        if self.silent:
            failed = CounterReplied(call.counter_key, Outcome.CONNECT_FAILED, 0.0, 2 * TOLD_MS)
            self.later(limiter, TOLD_MS, failed)
            return
        self.counted[call.counter_key] += call.amount
        total = self.counted[call.counter_key]
        self.later(limiter, TOLD_MS, CounterReplied(call.counter_key, Outcome.OK, total, 2 * TOLD_MS))
