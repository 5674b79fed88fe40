"""Drives one limiter by hand: settings, events in order, actions by type."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from scalelb import Limiter
from scalelb.policy.actions import Action, AddToCounter, RejectRequest, SendAttempt, SetTimer
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import (
    AttemptEnded,
    EndpointsListed,
    Event,
    Outcome,
    RequestArrived,
    Started,
    TimerFired,
)
from scalelb.policy.settings import Idempotency, Plan, RequestClass, Settings

A = TypeVar("A")

SAFE = RequestClass(latency_objective_ms=1000.0, deadline_ms=3000.0)
UNSAFE = replace(SAFE, idempotency=Idempotency.NOT_IDEMPOTENT)
METERED = Plan(rate_per_s=4.0, burst=16.0)
OPEN = Plan()
SETTINGS = Settings(
    limiter_index=0,
    limiter_count=2,
    zone=0,
    request_classes=(SAFE, UNSAFE),
    plans=(METERED, OPEN),
    max_attempts=3,
    slow_start_initial_ratio=0.25,
    slow_start_ms=10_000.0,
    overload_multiple=2.5,
    overload_window_ms=3000.0,
    max_units=4.0,
    has_counter=True,
    counter_late_after_ms=50.0,
    cancels_attempts=True,
)


def servers(count: int, **fields: Any) -> tuple[Endpoint, ...]:
    """Some equal servers."""
    return tuple(Endpoint(f"s{n}", EndpointState.SERVING, **fields) for n in range(count))


class Driver:
    """One limiter, its clock and what it did last."""

    def __init__(
        self, settings: Settings = SETTINGS, count: int = 3, now: float = 1000.0, seed: int = 7
    ) -> None:
        self.limiter = Limiter(settings, seed)
        self.now = now
        self.ids = 0
        self.did: list[Action] = []
        self.timers: list[tuple[float, int]] = []
        self.give(Started())
        self.give(EndpointsListed(servers(count), is_complete=True))

    def give(self, event: Event) -> list[Action]:
        """Hand over one event."""
        actions = self.limiter.handle(self.now, event)
        self.did.extend(actions)
        self.timers += [(self.now + a.delay_ms, a.tag) for a in of(SetTimer, actions)]
        return actions

    def ask(self, customer: str = "ada", units: float = 2.0, **fields: Any) -> int:
        """A request arrives; return its id."""
        self.ids += 1
        given: dict[str, Any] = {
            "plan_index": 0,
            "class_index": 0,
            "expires_in_ms": 3000.0,
            "sharing_limiters": 2,
        } | fields
        self.give(RequestArrived(request_id=self.ids, tenant=customer, units=units, **given))
        return self.ids

    def end(self, send: SendAttempt, outcome: Outcome = Outcome.OK, **fields: Any) -> list[Action]:
        """An attempt ends."""
        attempt = sum(1 for a in self.sends() if a.request_id == send.request_id) - 1
        given: dict[str, Any] = {"elapsed_ms": 100.0, "request_finished": outcome is Outcome.OK} | fields
        return self.give(AttemptEnded(send.request_id, attempt, send.endpoint, outcome, **given))

    def wait(self, ms: float) -> None:
        """Let time pass; timers fire as they come due."""
        end = self.now + ms
        while self.now + 10.0 <= end:
            self.now += 10.0
            due = [tag for at, tag in self.timers if at <= self.now]
            self.timers = [(at, tag) for at, tag in self.timers if at > self.now]
            for tag in due:
                self.give(TimerFired(tag))

    def sends(self) -> list[SendAttempt]:
        """All attempts sent so far."""
        return of(SendAttempt, self.did)

    def refused(self) -> list[RejectRequest]:
        """All refusals so far."""
        return of(RejectRequest, self.did)

    def calls(self) -> list[AddToCounter]:
        """All counter calls so far."""
        return of(AddToCounter, self.did)


def of(kind: type[A], actions: Iterable[Action]) -> list[A]:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]
