"""The rules hold on the module alone, whatever comes: random events, reproducible."""

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
KEYED = RequestClass(1000.0, 3000.0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 2000.0)
SITE = replace(SETTINGS, plans=(PLAN,), request_classes=(*SETTINGS.request_classes, KEYED))
ANY = [o for o in Outcome if o is not Outcome.NOT_SENT]
NEVER_RAN = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


class Witness:
    """Watches one limiter: what is out, what is answered, what may have run."""

    def __init__(self, index: int, now: float) -> None:
        self.driver = Driver(replace(SITE, limiter_index=index), count=5, now=now)
        self.driver.last_request_id = index * 1_000_000 + int(now) * 1000
        self.seen = len(self.driver.actions)
        self.asked: dict[int, tuple[int, float]] = {}
        self.out: dict[int, SendAttempt] = {}
        self.tries: Counter[int] = Counter()
        self.ran: set[int] = set()
        self.answers: Counter[int] = Counter()
        self.shut: set[str] = set()
        self.calls: list[AddToCounter] = []

    def watch(self) -> None:
        """Check the newest actions."""
        for action in self.driver.actions[self.seen :]:
            match action:
                case SendAttempt():
                    effect = SITE.request_classes[self.asked[action.request_id][0]].idempotency
                    assert action.request_id not in self.out, "two attempts out"
                    assert not self.answers[action.request_id], "sent after its end"
                    assert action.endpoint not in self.shut, "sent to a drained server"
                    assert effect is not Idempotency.NOT_IDEMPOTENT or action.request_id not in self.ran, (
                        "ran twice"
                    )
                    self.out[action.request_id] = action
                    self.tries[action.request_id] += 1
                case RejectRequest() | FailRequest():
                    self.answers[action.request_id] += 1
                    assert action.request_id not in self.out, "ended with an attempt out"
                    safe = (
                        SITE.request_classes[self.asked[action.request_id][0]].idempotency
                        is Idempotency.IDEMPOTENT
                    )
                    assert isinstance(action, FailRequest) or safe or action.request_id not in self.ran
                case AddToCounter():
                    self.calls.append(action)
        self.seen = len(self.driver.actions)

    def ask(self, chance: Random) -> None:
        kind, units = chance.randrange(3), float(chance.randint(1, 4))
        self.asked[self.driver.last_request_id + 1] = (kind, units)
        expires = chance.choice([4.0, 300.0, 3000.0])
        self.driver.send_request(chance.choice("ab"), units, class_index=kind, expires_in_ms=expires)

    def list_server(self, info: Endpoint) -> None:
        self.shut = (
            self.shut - {info.name} if info.state is EndpointState.SERVING else self.shut | {info.name}
        )
        self.driver.handle(EndpointsListed((info,), is_complete=False))

    def end(self, chance: Random) -> None:
        if not self.out:
            return
        send = self.out.pop(chance.choice(list(self.out)))
        outcome = chance.choice(ANY)
        final = outcome is Outcome.OK
        if final:
            self.answers[send.request_id] += 1
        if outcome not in NEVER_RAN:
            self.ran.add(send.request_id)
        attempt = self.tries[send.request_id] - 1
        report = AttemptEnded(send.request_id, attempt, send.endpoint, outcome, 50.0, final, 2.0 * final)
        self.driver.handle(report)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_the_rules_hold_whatever_comes(seed: int) -> None:
    chance, now = Random(seed), 1000.0
    doors = [Witness(0, now), Witness(1, now)]
    stores = {"a": PLAN.ceiling_burst, "b": PLAN.ceiling_burst}
    for _ in range(300):
        now += 10.0
        for name in stores:
            stores[name] = min(PLAN.ceiling_burst, stores[name] + PLAN.ceiling_rate_per_s / 100)
        for place, door in enumerate(doors):
            door.driver.now = now - 10.0
            steps: list[Callable[[], object]] = [partial(door.driver.advance, 10.0)]
            steps += [partial(door.ask, chance)] * chance.randint(0, 3)
            steps += [partial(door.end, chance)] * chance.randint(0, 2)
            if door.calls and chance.random() < 0.5:
                call, outcome = door.calls.pop(0), chance.choice(ANY)
                total = chance.choice([0.0, 5.0, 50.0])
                steps.append(
                    partial(door.driver.handle, CounterReplied(call.counter_key, outcome, total, 2.0))
                )
            if chance.random() < 0.02:
                name, state = f"s{chance.randrange(5)}", chance.choice(list(EndpointState))
                steps.append(partial(door.list_server, Endpoint(name, state)))
            for step in steps:
                before = Counter(door.tries)
                step()
                door.watch()
                for request in door.tries - before:
                    if door.tries[request] == 1:
                        name = customer_of(door, request)
                        stores[name] -= door.asked[request][1]
                        assert stores[name] >= -PLAN.ceiling_slack, "ceiling passed"
            if chance.random() < 0.002:
                doors[place] = Witness(place, now)  # killed, and back with nothing
    for door in doors:
        door.driver.advance(3000.0)
        door.watch()
        owed = set(door.asked) - set(door.answers) - set(door.out)
        assert not owed, "no answer in time"
        assert all(count == 1 for count in door.answers.values())


def customer_of(door: Witness, request: int) -> str:
    attempts = door.driver.limiter.attempts
    return attempts[request, door.tries[request] - 1].request.tenant.name
