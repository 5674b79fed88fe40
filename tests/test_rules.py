"""The invariants of a limiter under random events: ceilings, single execution, exactly one final answer."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random

from driver import SETTINGS, Driver
from hypothesis import given, settings
from hypothesis import strategies as st

from scalelb.policy.actions import AddToCounter, FailRequest, RejectRequest, SendAttempt
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import AttemptEnded, CounterReplied, EndpointsListed, Outcome
from scalelb.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass

PLAN = Plan(
    rate_per_s=6.0,
    burst=20.0,
    ceiling_rate_per_s=10.0,
    ceiling_burst=24.0,
    ceiling_slack=4.0,
    over_quota_value_ratio=0.2,
)
KEYED_CLASS = RequestClass(1000.0, 3000.0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 2000.0)
RANDOM_SETTINGS = replace(SETTINGS, plans=(PLAN,), request_classes=(*SETTINGS.request_classes, KEYED_CLASS))
OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.NOT_SENT]
NEVER_EXECUTED = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


class CheckedLimiter:
    """A limiter with a record of its requests, attempts and answers that checks each of its actions."""

    def __init__(self, index: int, now: float) -> None:
        self.driver = Driver(replace(RANDOM_SETTINGS, limiter_index=index), count=5, now=now)
        self.driver.last_request_id = index * 1_000_000 + int(now) * 1000
        self.checked_actions = len(self.driver.actions)
        self.requests: dict[int, tuple[int, float]] = {}
        self.in_flight: dict[int, SendAttempt] = {}
        self.attempts: Counter[int] = Counter()
        self.may_have_executed: set[int] = set()
        self.final_answers: Counter[int] = Counter()
        self.not_serving: set[str] = set()
        self.open_calls: list[AddToCounter] = []

    def check_actions(self) -> None:
        """Check the actions since the last check."""
        for action in self.driver.actions[self.checked_actions :]:
            match action:
                case SendAttempt():
                    idempotency = RANDOM_SETTINGS.request_classes[
                        self.requests[action.request_id][0]
                    ].idempotency
                    assert action.request_id not in self.in_flight, "two attempts in flight"
                    assert not self.final_answers[action.request_id], "attempt sent after the final answer"
                    assert action.endpoint not in self.not_serving, (
                        "attempt sent to an endpoint that does not serve"
                    )
                    assert (
                        idempotency is not Idempotency.NOT_IDEMPOTENT
                        or action.request_id not in self.may_have_executed
                    ), "non-idempotent request executed twice"
                    self.in_flight[action.request_id] = action
                    self.attempts[action.request_id] += 1
                case RejectRequest() | FailRequest():
                    self.final_answers[action.request_id] += 1
                    assert action.request_id not in self.in_flight, "final answer with an attempt in flight"
                    is_idempotent = (
                        RANDOM_SETTINGS.request_classes[self.requests[action.request_id][0]].idempotency
                        is Idempotency.IDEMPOTENT
                    )
                    assert (
                        isinstance(action, FailRequest)
                        or is_idempotent
                        or action.request_id not in self.may_have_executed
                    )
                case AddToCounter():
                    self.open_calls.append(action)
        self.checked_actions = len(self.driver.actions)

    def send_request(self, rng: Random) -> None:
        class_index, units = rng.randrange(3), float(rng.randint(1, 4))
        self.requests[self.driver.last_request_id + 1] = (class_index, units)
        expires_in_ms = rng.choice([4.0, 300.0, 3000.0])
        self.driver.send_request(
            rng.choice("ab"), units, class_index=class_index, expires_in_ms=expires_in_ms
        )

    def update_endpoint(self, endpoint: Endpoint) -> None:
        self.not_serving = (
            self.not_serving - {endpoint.name}
            if endpoint.state is EndpointState.SERVING
            else self.not_serving | {endpoint.name}
        )
        self.driver.handle(EndpointsListed((endpoint,), is_complete=False))

    def end_attempt(self, rng: Random) -> None:
        if not self.in_flight:
            return
        send = self.in_flight.pop(rng.choice(list(self.in_flight)))
        outcome = rng.choice(OUTCOMES)
        is_final = outcome is Outcome.OK
        if is_final:
            self.final_answers[send.request_id] += 1
        if outcome not in NEVER_EXECUTED:
            self.may_have_executed.add(send.request_id)
        attempt_number = self.attempts[send.request_id] - 1
        event = AttemptEnded(
            send.request_id, attempt_number, send.endpoint, outcome, 50.0, is_final, 2.0 * is_final
        )
        self.driver.handle(event)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_invariants_hold_under_random_events(seed: int) -> None:
    rng, now = Random(seed), 1000.0
    limiters = [CheckedLimiter(0, now), CheckedLimiter(1, now)]
    ceilings = {"a": PLAN.ceiling_burst, "b": PLAN.ceiling_burst}
    for _ in range(300):
        now += 10.0
        for name in ceilings:
            ceilings[name] = min(PLAN.ceiling_burst, ceilings[name] + PLAN.ceiling_rate_per_s / 100)
        for index, limiter in enumerate(limiters):
            limiter.driver.now = now - 10.0
            steps: list[Callable[[], object]] = [partial(limiter.driver.advance, 10.0)]
            steps += [partial(limiter.send_request, rng)] * rng.randint(0, 3)
            steps += [partial(limiter.end_attempt, rng)] * rng.randint(0, 2)
            if limiter.open_calls and rng.random() < 0.5:
                call, outcome = limiter.open_calls.pop(0), rng.choice(OUTCOMES)
                total = rng.choice([0.0, 5.0, 50.0])
                steps.append(
                    partial(limiter.driver.handle, CounterReplied(call.counter_key, outcome, total, 2.0))
                )
            if rng.random() < 0.02:
                name, state = f"s{rng.randrange(5)}", rng.choice(list(EndpointState))
                steps.append(partial(limiter.update_endpoint, Endpoint(name, state)))
            for step in steps:
                before = Counter(limiter.attempts)
                step()
                limiter.check_actions()
                for request_id in limiter.attempts - before:
                    if limiter.attempts[request_id] == 1:
                        name = tenant_of(limiter, request_id)
                        ceilings[name] -= limiter.requests[request_id][1]
                        assert ceilings[name] >= -PLAN.ceiling_slack, "ceiling exceeded"
            if rng.random() < 0.002:
                limiters[index] = CheckedLimiter(index, now)  # killed and restarted without state
    for limiter in limiters:
        limiter.driver.advance(3000.0)
        limiter.check_actions()
        unanswered = set(limiter.requests) - set(limiter.final_answers) - set(limiter.in_flight)
        assert not unanswered, "no final answer in time"
        assert all(count == 1 for count in limiter.final_answers.values())


def tenant_of(limiter: CheckedLimiter, request_id: int) -> str:
    attempts = limiter.driver.limiter.attempts
    return attempts[request_id, limiter.attempts[request_id] - 1].request.tenant.name
