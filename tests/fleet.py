"""Many gateways in one process and in virtual time: one counter, one exact meter, equal servers."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from driver import SETTINGS, servers

from scalelb import Gateway
from scalelb.routing import interface as io

TOLD_MS = 2.0  # a message, one way


class Fleet:
    """`count` gateways; what all of them did, counted together."""

    def __init__(self, count: int, seed: int = 1, backends: int = 60, **fields: Any) -> None:
        self.settings = replace(SETTINGS, gateways=count, **({"most_units": 6.0} | fields))
        self.now, self.order, self.due = 1_000_000.0, 0, list[Any]()
        self.random = random.Random(seed)
        self.gateways = [Gateway(replace(self.settings, index=n), seed + n) for n in range(count)]
        self.counted: dict[int, float] = defaultdict(float)
        self.stores: dict[str, tuple[float, float]] = {}
        self.asked: dict[int, tuple[str, int, float, int]] = {}  # customer, plan, units, sends
        self.seen: Counter[str] = Counter()
        self.silent = False  # the counter: no connection to it comes up
        self.took: Callable[[str], float] = lambda server: 200.0
        for gateway in self.gateways:
            self.give(gateway, io.Started())
            self.give(gateway, io.ServersListed(servers(backends), full=True))

    def at(self, delay_ms: float, do: Callable[[], None]) -> None:
        self.order += 1
        heappush(self.due, (self.now + delay_ms, self.order, do))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.due and self.due[0][0] <= end:
            self.now, _, do = heappop(self.due)
            do()
        self.now = end

    def give(self, gateway: Gateway, event: io.Event) -> None:
        for action in gateway.handle(self.now, event):
            self.carry_out(gateway, action)

    def later(self, gateway: Gateway, delay_ms: float, event: io.Event) -> None:
        self.at(delay_ms, lambda: self.give(gateway, event))

    def ask(self, customer: str, door: int, units: float, **fields: Any) -> None:
        ident = len(self.asked) + 1
        given: dict[str, Any] = {"plan": 0, "request_class": 0, "expires_in_ms": 3000.0, "doors": 30} | fields
        self.asked[ident] = (customer, given["plan"], units, 0)
        self.seen["asked"] += 1
        self.give(self.gateways[door], io.RequestArrived(ident, customer, units=units, **given))

    def store(self, customer: str, plan: io.Plan) -> float:
        held, at = self.stores.get(customer, (plan.burst, self.now))
        return min(plan.burst, held + plan.rate * (self.now - at) / 1000)

    def carry_out(self, gateway: Gateway, action: io.Action) -> None:
        if isinstance(action, io.SetTimer):
            self.later(gateway, action.delay_ms, io.TimerFired(action.tag))
        elif isinstance(action, io.AddToCounter):
            self.seen["calls"] += 1
            self.at(TOLD_MS, lambda: self.count(gateway, action))
        elif isinstance(action, io.SendAttempt):
            customer, place, units, sends = self.asked[action.request]
            self.asked[action.request] = (customer, place, units, sends + 1)
            plan = self.settings.plans[place]
            self.seen["sends"] += 1
            if not sends:
                held = self.store(customer, plan)
                inside = held >= units - 1e-6 or not plan.rate
                self.stores[customer] = held - units * inside, self.now
                self.seen["units inside" if inside else "units beyond"] += round(units)
            elapsed = self.took(action.server)
            outcome = io.Outcome.OK if elapsed > 0 else io.Outcome.CONNECT_FAILED
            ended = io.AttemptEnded(
                action.request, sends, action.server, outcome, abs(elapsed), outcome is io.Outcome.OK
            )
            self.later(gateway, abs(elapsed), ended)
        elif isinstance(action, io.Refuse | io.Fail):
            customer, place, units, _ = self.asked[action.request]
            plan = self.settings.plans[place]
            self.seen["refused"] += 1
            self.seen["refused with room"] += self.store(customer, plan) >= max(units, plan.burst / 2)

    def count(self, gateway: Gateway, call: io.AddToCounter) -> None:
        if self.silent:
            failed = io.CounterReplied(call.name, io.Outcome.CONNECT_FAILED, 0.0, 2 * TOLD_MS)
            self.later(gateway, TOLD_MS, failed)
            return
        self.counted[call.name] += call.amount
        total = self.counted[call.name]
        self.later(gateway, TOLD_MS, io.CounterReplied(call.name, io.Outcome.OK, total, 2 * TOLD_MS))
