"""The queue of a tenant: sending order, rejections, and when the counter is called again."""

from __future__ import annotations

from dataclasses import replace

import pytest
from driver import IDEMPOTENT_CLASS, METERED_PLAN, SETTINGS, Driver, actions_of_type

from scalelb.policy.actions import RejectRequest
from scalelb.policy.events import CounterReplied, Outcome
from scalelb.policy.settings import Plan

HIGH_PRIORITY = replace(IDEMPOTENT_CLASS, priority_weight=6.0)
CONCURRENCY_LIMITED = Plan(rate_per_s=100.0, burst=400.0, max_concurrent_attempts=2)


def rejected_ids(driver: Driver) -> list[int]:
    return [a.request_id for a in actions_of_type(RejectRequest, driver.actions)]


def test_class_of_higher_priority_weight_is_sent_first() -> None:
    # Guards against serving a class of lower priority first: in load tests, 60% of the record-answer requests
    # were served, but 95% of fetch-cards, which have a third of their priority weight.
    driver = Driver(
        replace(
            SETTINGS,
            request_classes=(IDEMPOTENT_CLASS, HIGH_PRIORITY),
            has_counter=False,
            plans=(replace(METERED_PLAN, rate_per_s=8.0),),
        )
    )
    request_ids = [driver.send_request(class_index=n % 2) for n in range(10)]
    sent_at_once = {a.request_id for a in driver.sent_attempts()}
    driver.advance(900.0)
    sent_later = [a.request_id for a in driver.sent_attempts() if a.request_id not in sent_at_once]
    high_priority = [r for r in sent_later if (r - request_ids[0]) % 2]
    assert high_priority
    assert sent_later[: len(high_priority)] == high_priority


def test_queue_behind_an_empty_bucket_calls_the_counter_again() -> None:
    # Guards against a queue that does not notice a refill: in a load test the bucket was full again, but the
    # limiter did not call the counter for four seconds.
    driver = Driver()
    driver.send_request()
    # Other limiters have used the bucket up.
    driver.handle(CounterReplied(driver.counter_calls()[-1].counter_key, Outcome.OK, 500.0, 2.0))
    for _ in range(4):
        driver.send_request(units=3.0)
    calls, tenant = len(driver.counter_calls()), driver.limiter.tenants.tenants["ada"]
    assert tenant.queue.requests
    if tenant.bucket.has_call_in_flight:
        driver.handle(CounterReplied(driver.counter_calls()[-1].counter_key, Outcome.OK, 502.0, 2.0))
    tenant.bucket.counter_balance, tenant.bucket.counter_balance_at = 4.0, driver.now  # refilled since
    driver.advance(300.0)
    assert len(driver.counter_calls()) > calls


def test_request_that_can_not_be_sent_in_time_is_rejected_at_once() -> None:
    # Guards against useless waits: in a load test, requests behind a concurrency limit were rejected only
    # after 1.6 s.
    driver = Driver(replace(SETTINGS, plans=(CONCURRENCY_LIMITED,)))
    driver.limiter.estimates.latency_ms = 300.0
    request_ids = [driver.send_request() for _ in range(12)]
    assert len(driver.sent_attempts()) == 1  # this limiter's half of the two attempts
    assert 0 < len(rejected_ids(driver)) < 11
    assert set(rejected_ids(driver)) == set(request_ids[-len(rejected_ids(driver)) :])


@pytest.mark.parametrize("max_retry_after_ms", [0.0, 200.0, 1000.0])
def test_rejection_has_a_retry_after_delay_if_enabled(max_retry_after_ms: float) -> None:
    # Guards against rejections without `Retry-After`, after which clients retry by their own timers.
    driver = Driver(
        replace(
            SETTINGS,
            has_counter=False,
            sends_retry_after=max_retry_after_ms > 0,
            max_retry_after_ms=max_retry_after_ms,
        )
    )
    for _ in range(40):
        driver.send_request(units=3.0)
    delays_ms = [a.retry_after_ms for a in actions_of_type(RejectRequest, driver.actions)]
    assert delays_ms
    assert all(0 < a <= max_retry_after_ms for a in delays_ms) or max_retry_after_ms == 0.0
    assert max_retry_after_ms or not any(delays_ms)


def test_units_credited_during_a_counter_outage_are_not_charged_twice() -> None:
    # Guards against rejections after an outage of the counter: for ten seconds after its return, half of the
    # attempts were rejected although half of their quota was unused, as all units that were credited during
    # the outage were taken from a bucket that is capped at its capacity.
    driver = Driver()
    counts: dict[int, float] = {}
    answered: set[int] = set()

    def sent_ratio(duration_ms: float, has_outage: bool) -> float:
        """Return the ratio of requests sent, while six tenants send one request of 1 unit per 250 ms each."""
        requests, sends_before = 0, len(driver.sent_attempts())
        for _ in range(int(duration_ms / 250)):
            for name in ("ada", "bob", "cat", "dan", "eve", "fay"):
                driver.send_request(name, units=1.0)
                requests += 1
            for _ in range(10):
                driver.advance(25.0)
                for index, call in enumerate(driver.counter_calls()):
                    if index not in answered and call.counter_key in driver.limiter.leases.calls:
                        answered.add(index)
                        counts[call.counter_key] = counts.get(call.counter_key, 0.0) + call.amount * (
                            not has_outage
                        )
                        outcome = Outcome.TIMEOUT if has_outage else Outcome.OK
                        driver.handle(
                            CounterReplied(call.counter_key, outcome, counts[call.counter_key], 2.0)
                        )
            for send in [s for s in driver.sent_attempts() if s.request_id in driver.limiter.requests]:
                driver.end_attempt(send, true_units=1.0)
        return (len(driver.sent_attempts()) - sends_before) / requests

    assert sent_ratio(5000.0, has_outage=False) == 1.0
    assert 0.3 < sent_ratio(12_000.0, has_outage=True) < 0.8
    counts.clear()  # the counter restarts empty
    sent_ratio(500.0, has_outage=False)
    assert sent_ratio(3000.0, has_outage=False) > 0.9


@pytest.mark.parametrize("sharing_limiters", [2, 4, 8])
def test_while_the_counter_is_unavailable_only_requests_covered_in_time_are_queued(
    sharing_limiters: int,
) -> None:
    # Guards against queueing requests that are rejected after the wait and could be rejected at once.
    driver = Driver(replace(SETTINGS, plans=(replace(METERED_PLAN, rate_per_s=4.0, burst=8.0),)))

    def wait_without_counter(duration_ms: float) -> None:
        calls_before = len(driver.counter_calls())
        driver.advance(duration_ms)
        for call in driver.counter_calls()[calls_before:]:
            driver.handle(CounterReplied(call.counter_key, Outcome.CONNECT_FAILED, 0.0, 2.0))

    driver.send_request(sharing_limiters=sharing_limiters)
    for _ in range(60):
        wait_without_counter(50.0)
    for send in driver.sent_attempts():
        driver.end_attempt(send)
    assert not driver.limiter.leases.is_counter_available()
    request_ids = {driver.send_request(sharing_limiters=sharing_limiters) for _ in range(8)}
    rejected_at_once = {a.request_id for a in driver.rejections()}
    for _ in range(40):
        wait_without_counter(50.0)
    assert set(rejected_ids(driver)) & request_ids == rejected_at_once
