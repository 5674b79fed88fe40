"""Many limiters in one process and in virtual time, with one counter, equal backends and an exact meter of
each tenant's quota."""

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

MESSAGE_DELAY_MS = 2.0  # One-way delay between a limiter and the counter.


class Fleet:
    """`count` limiters, and counts of what they did together."""

    def __init__(self, count: int, seed: int = 1, backends: int = 60, **fields: Any) -> None:
        self.settings = replace(SETTINGS, limiter_count=count, **({"max_units": 6.0} | fields))
        self.now, self.event_number, self.event_heap = 1_000_000.0, 0, list[Any]()
        self.random = random.Random(seed)
        self.limiters = [
            Limiter(replace(self.settings, limiter_index=index), seed + index) for index in range(count)
        ]
        self.counter_totals: dict[int, float] = defaultdict(float)
        self.balances: dict[str, tuple[float, float]] = {}  # exact balance and when it was updated, by tenant
        self.requests: dict[int, tuple[str, int, float, int]] = {}  # tenant, plan, units, attempts
        self.counts: Counter[str] = Counter()
        self.is_counter_unreachable = False
        # Duration of an attempt at an endpoint; a negative one means a failure to connect.
        self.attempt_duration_ms: Callable[[str], float] = lambda endpoint: 200.0
        for limiter in self.limiters:
            self.handle(limiter, Started())
            self.handle(limiter, EndpointsListed(serving_endpoints(backends), is_complete=True))

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.event_number += 1
        heappush(self.event_heap, (self.now + delay_ms, self.event_number, callback))

    def run(self, duration_ms: float) -> None:
        end = self.now + duration_ms
        while self.event_heap and self.event_heap[0][0] <= end:
            self.now, _, callback = heappop(self.event_heap)
            callback()
        self.now = end

    def handle(self, limiter: Limiter, event: Event) -> None:
        for action in limiter.handle(self.now, event):
            self.execute(limiter, action)

    def handle_later(self, limiter: Limiter, delay_ms: float, event: Event) -> None:
        self.schedule(delay_ms, lambda: self.handle(limiter, event))

    def send_request(self, tenant: str, limiter_index: int, units: float, **fields: Any) -> None:
        request_id = len(self.requests) + 1
        request: dict[str, Any] = {
            "plan_index": 0,
            "class_index": 0,
            "expires_in_ms": 3000.0,
            "sharing_limiters": 30,
        } | fields
        self.requests[request_id] = (tenant, request["plan_index"], units, 0)
        self.counts["requests"] += 1
        self.handle(self.limiters[limiter_index], RequestArrived(request_id, tenant, units=units, **request))

    def exact_balance(self, tenant: str, plan: Plan) -> float:
        balance, updated_at = self.balances.get(tenant, (plan.burst, self.now))
        return min(plan.burst, balance + plan.rate_per_s * (self.now - updated_at) / 1000)

    def execute(self, limiter: Limiter, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.handle_later(limiter, action.delay_ms, TimerFired(action.tag))
        elif isinstance(action, AddToCounter):
            self.counts["counter calls"] += 1
            self.schedule(MESSAGE_DELAY_MS, lambda: self.add_to_counter(limiter, action))
        elif isinstance(action, SendAttempt):
            tenant, plan_index, units, attempts = self.requests[action.request_id]
            self.requests[action.request_id] = (tenant, plan_index, units, attempts + 1)
            plan = self.settings.plans[plan_index]
            self.counts["attempts"] += 1
            if not attempts:
                balance = self.exact_balance(tenant, plan)
                is_within_quota = balance >= units - 1e-6 or not plan.rate_per_s
                self.balances[tenant] = balance - units * is_within_quota, self.now
                self.counts["units within quota" if is_within_quota else "units over quota"] += round(units)
            elapsed_ms = self.attempt_duration_ms(action.endpoint)
            outcome = Outcome.OK if elapsed_ms > 0 else Outcome.CONNECT_FAILED
            ended = AttemptEnded(
                action.request_id, attempts, action.endpoint, outcome, abs(elapsed_ms), outcome is Outcome.OK
            )
            self.handle_later(limiter, abs(elapsed_ms), ended)
        elif isinstance(action, RejectRequest | FailRequest):
            tenant, plan_index, units, _ = self.requests[action.request_id]
            plan = self.settings.plans[plan_index]
            self.counts["rejected"] += 1
            self.counts["rejected within quota"] += self.exact_balance(tenant, plan) >= max(
                units, plan.burst / 2
            )

    def add_to_counter(self, limiter: Limiter, call: AddToCounter) -> None:
        if self.is_counter_unreachable:
            failed = CounterReplied(call.counter_key, Outcome.CONNECT_FAILED, 0.0, 2 * MESSAGE_DELAY_MS)
            self.handle_later(limiter, MESSAGE_DELAY_MS, failed)
            return
        self.counter_totals[call.counter_key] += call.amount
        total = self.counter_totals[call.counter_key]
        self.handle_later(
            limiter,
            MESSAGE_DELAY_MS,
            CounterReplied(call.counter_key, Outcome.OK, total, 2 * MESSAGE_DELAY_MS),
        )
