"""The queue of a customer: who goes first, who is given up, when the counter is asked again."""

from __future__ import annotations

from dataclasses import replace

import pytest
from driver import IDEMPOTENT_CLASS, METERED_PLAN, SETTINGS, Driver, actions_of_type

from scalelb.policy.actions import RejectRequest
from scalelb.policy.events import CounterReplied, Outcome
from scalelb.policy.settings import Plan

DEAR = replace(IDEMPOTENT_CLASS, priority_weight=6.0)
CAPPED = Plan(rate_per_s=100.0, burst=400.0, max_concurrent_attempts=2)


def refused(d: Driver) -> list[int]:
    return [a.request_id for a in actions_of_type(RejectRequest, d.actions)]


def test_the_dearer_class_goes_first() -> None:
    # Seen on fleet days: record-answer was served to 60% and fetch-cards, a third of its worth, to 95%.
    d = Driver(
        replace(
            SETTINGS,
            request_classes=(IDEMPOTENT_CLASS, DEAR),
            has_counter=False,
            plans=(replace(METERED_PLAN, rate_per_s=8.0),),
        )
    )
    asked = [d.send_request(class_index=n % 2) for n in range(10)]
    before = {a.request_id for a in d.sent_attempts()}
    d.advance(900.0)
    later = [a.request_id for a in d.sent_attempts() if a.request_id not in before]
    dear = [r for r in later if (r - asked[0]) % 2]
    assert dear
    assert later[: len(dear)] == dear


def test_a_queue_behind_an_empty_store_asks_the_counter_again() -> None:
    # Seen on a fleet day: the store was full again, and for four seconds nobody asked.
    d = Driver()
    d.send_request()
    d.handle(CounterReplied(d.counter_calls()[-1].counter_key, Outcome.OK, 500.0, 2.0))  # others used it up
    for _ in range(4):
        d.send_request(units=3.0)
    calls, ada = len(d.counter_calls()), d.limiter.tenants.tenants["ada"]
    assert ada.queue.requests
    if ada.bucket.has_call_in_flight:
        d.handle(CounterReplied(d.counter_calls()[-1].counter_key, Outcome.OK, 502.0, 2.0))
    ada.bucket.counter_balance, ada.bucket.counter_balance_at = 4.0, d.now  # it has filled since
    d.advance(300.0)
    assert len(d.counter_calls()) > calls


def test_what_can_not_go_in_time_is_refused_at_once() -> None:
    # Seen on a fleet day: requests behind a cap on attempts waited 1.6 s for their refusal.
    d = Driver(replace(SETTINGS, plans=(CAPPED,)))
    d.limiter.estimates.latency_ms = 300.0
    asked = [d.send_request() for _ in range(12)]
    assert len(d.sent_attempts()) == 1  # this door's half of the two
    assert 0 < len(refused(d)) < 11
    assert set(refused(d)) == set(asked[-len(refused(d)) :])


@pytest.mark.parametrize("most", [0.0, 200.0, 1000.0])
def test_a_refusal_says_when_to_come_back(most: float) -> None:
    # The module used to refuse without a word, and clients came back by their own clocks.
    d = Driver(replace(SETTINGS, has_counter=False, sends_retry_after=most > 0, max_retry_after_ms=most))
    for _ in range(40):
        d.send_request(units=3.0)
    advice = [a.retry_after_ms for a in actions_of_type(RejectRequest, d.actions)]
    assert advice
    assert all(0 < a <= most for a in advice) or most == 0.0
    assert most or not any(advice)


def test_a_silence_of_the_counter_is_not_charged_twice() -> None:
    # Seen on a fleet day: for ten seconds after the counter's return half of the tries were refused with half
    # of their quota unused, as all that was credited blind was taken from a store capped at its room.
    d = Driver()
    counts: dict[int, float] = {}
    answered: set[int] = set()

    def phase(ms: float, silent: bool) -> float:
        """The part that is sent on of what six customers ask, each a quarter of a request a 250 ms."""
        asked, before = 0, len(d.sent_attempts())
        for _ in range(int(ms / 250)):
            for name in ("ada", "bob", "cat", "dan", "eve", "fay"):
                d.send_request(name, units=1.0)
                asked += 1
            for _ in range(10):
                d.advance(25.0)
                for place, one in enumerate(d.counter_calls()):
                    if place not in answered and one.counter_key in d.limiter.leases.calls:
                        answered.add(place)
                        counts[one.counter_key] = counts.get(one.counter_key, 0.0) + one.amount * (not silent)
                        outcome = Outcome.TIMEOUT if silent else Outcome.OK
                        d.handle(CounterReplied(one.counter_key, outcome, counts[one.counter_key], 2.0))
            for send in [s for s in d.sent_attempts() if s.request_id in d.limiter.requests]:
                d.end_attempt(send, true_units=1.0)
        return (len(d.sent_attempts()) - before) / asked

    assert phase(5000.0, silent=False) == 1.0
    assert 0.3 < phase(12_000.0, silent=True) < 0.8
    counts.clear()  # it comes back empty
    phase(500.0, silent=False)
    assert phase(3000.0, silent=False) > 0.9


@pytest.mark.parametrize("sharing_limiters", [2, 4, 8])
def test_while_the_counter_is_unavailable_only_what_the_share_covers_in_time_is_queued(
    sharing_limiters: int,
) -> None:
    # Guards clients against a wait that ends in a refusal which could have come at once.
    d = Driver(replace(SETTINGS, plans=(replace(METERED_PLAN, rate_per_s=4.0, burst=8.0),)))

    def wait_without_counter(ms: float) -> None:
        before = len(d.counter_calls())
        d.advance(ms)
        for call in d.counter_calls()[before:]:
            d.handle(CounterReplied(call.counter_key, Outcome.CONNECT_FAILED, 0.0, 2.0))

    d.send_request(sharing_limiters=sharing_limiters)
    for _ in range(60):
        wait_without_counter(50.0)
    for send in d.sent_attempts():
        d.end_attempt(send)
    assert not d.limiter.leases.is_counter_available()
    asked = {d.send_request(sharing_limiters=sharing_limiters) for _ in range(8)}
    at_once = {a.request_id for a in d.rejections()}
    for _ in range(40):
        wait_without_counter(50.0)
    assert set(refused(d)) & asked == at_once
