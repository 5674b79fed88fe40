"""Drives one `Limiter` step by step: takes events, collects the actions, and fires timers in virtual time."""

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

ActionT = TypeVar("ActionT")

IDEMPOTENT_CLASS = RequestClass(latency_objective_ms=1000.0, deadline_ms=3000.0)
NON_IDEMPOTENT_CLASS = replace(IDEMPOTENT_CLASS, idempotency=Idempotency.NOT_IDEMPOTENT)
METERED_PLAN = Plan(rate_per_s=4.0, burst=16.0)
UNLIMITED_PLAN = Plan()
SETTINGS = Settings(
    limiter_index=0,
    limiter_count=2,
    zone=0,
    request_classes=(IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS),
    plans=(METERED_PLAN, UNLIMITED_PLAN),
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


def serving_endpoints(count: int, **fields: Any) -> tuple[Endpoint, ...]:
    """Return `count` equal endpoints that serve, named `s0`, `s1` and so on."""
    return tuple(Endpoint(f"s{n}", EndpointState.SERVING, **fields) for n in range(count))


class Driver:
    """One limiter with `count` serving endpoints, its virtual clock, its timers and its actions so far.

    Times are in ms.
    """

    def __init__(
        self, settings: Settings = SETTINGS, count: int = 3, now: float = 1000.0, seed: int = 7
    ) -> None:
        self.limiter = Limiter(settings, seed)
        self.now = now
        self.last_request_id = 0
        self.actions: list[Action] = []
        self.timers: list[tuple[float, int]] = []
        self.handle(Started())
        self.handle(EndpointsListed(serving_endpoints(count), is_complete=True))

    def handle(self, event: Event) -> list[Action]:
        """Let the limiter handle one event; return the actions."""
        actions = self.limiter.handle(self.now, event)
        self.actions.extend(actions)
        self.timers += [
            (self.now + timer.delay_ms, timer.tag) for timer in actions_of_type(SetTimer, actions)
        ]
        return actions

    def send_request(self, tenant: str = "ada", units: float = 2.0, **fields: Any) -> int:
        """Let a client's request arrive; return its id.  `fields` are fields of `RequestArrived`."""
        self.last_request_id += 1
        event_fields: dict[str, Any] = {
            "plan_index": 0,
            "class_index": 0,
            "expires_in_ms": 3000.0,
            "sharing_limiters": 2,
        } | fields
        self.handle(
            RequestArrived(request_id=self.last_request_id, tenant=tenant, units=units, **event_fields)
        )
        return self.last_request_id

    def end_attempt(self, send: SendAttempt, outcome: Outcome = Outcome.OK, **fields: Any) -> list[Action]:
        """End the latest attempt of a request; return the actions.  `fields` are fields of `AttemptEnded`."""
        attempt_number = sum(1 for a in self.sent_attempts() if a.request_id == send.request_id) - 1
        event_fields: dict[str, Any] = {
            "elapsed_ms": 100.0,
            "request_finished": outcome is Outcome.OK,
        } | fields
        return self.handle(
            AttemptEnded(send.request_id, attempt_number, send.endpoint, outcome, **event_fields)
        )

    def advance(self, duration_ms: float) -> None:
        """Advance the clock in steps of 10 ms and fire the timers that are due."""
        ends_at = self.now + duration_ms
        while self.now + 10.0 <= ends_at:
            self.now += 10.0
            due_tags = [tag for due_at, tag in self.timers if due_at <= self.now]
            self.timers = [(due_at, tag) for due_at, tag in self.timers if due_at > self.now]
            for tag in due_tags:
                self.handle(TimerFired(tag))

    def sent_attempts(self) -> list[SendAttempt]:
        """Return all attempts sent so far."""
        return actions_of_type(SendAttempt, self.actions)

    def rejections(self) -> list[RejectRequest]:
        """Return all rejections so far."""
        return actions_of_type(RejectRequest, self.actions)

    def counter_calls(self) -> list[AddToCounter]:
        """Return all calls to the shared counter so far."""
        return actions_of_type(AddToCounter, self.actions)


def actions_of_type(action_type: type[ActionT], actions: Iterable[Action]) -> list[ActionT]:
    """Return the actions of one type, in order."""
    return [action for action in actions if isinstance(action, action_type)]
