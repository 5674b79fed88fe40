"""Outlier detection with little traffic per endpoint, at one limiter and over a fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from driver import METERED_PLAN, SETTINGS, Driver
from fleet import Fleet

from scalelb.policy import outlier_detection
from scalelb.policy.events import EndpointsListed, Outcome

UNLIMITED_PLAN = replace(METERED_PLAN, rate_per_s=0.0, burst=0.0)


def run_fleet(
    backends: int, latency_ms: object, duration_s: float = 30.0, requests_per_s: float = 440.0
) -> Fleet:
    """Run 40 limiters that receive 11 requests per second each."""
    fleet = Fleet(40, backends=backends, plans=(UNLIMITED_PLAN,), max_attempts=4)
    fleet.attempt_duration_ms = latency_ms  # type: ignore[assignment]

    def submit_next() -> None:
        fleet.send_request("c", fleet.random.randrange(40), 2.0)
        fleet.schedule(1000 * fleet.random.expovariate(requests_per_s), submit_next)

    submit_next()
    fleet.run(1000 * duration_s)
    return fleet


def test_fleet_avoids_unreachable_endpoints() -> None:
    # Guards against repeated attempts at endpoints that no longer exist but are still listed: during a
    # release, 40% of all attempts went to 20 such endpoints, as each limiter tried each of them again within
    # seconds, and these attempts used up the retry budget.
    unreachable = {f"s{n}" for n in range(20)}
    counts = run_fleet(60, lambda endpoint: -1.0 if endpoint in unreachable else 200.0).counts
    # At the start, all four attempts of a request may go to unreachable endpoints.
    assert counts["rejected"] < 0.002 * counts["requests"]
    assert (counts["attempts"] - counts["requests"]) / counts["requests"] < 0.075


def test_single_timeout_is_remembered_until_the_next_answer_is_likely() -> None:
    # Guards against rediscovering bad endpoints endlessly: each of 40 limiters received an answer of an
    # endpoint every 5 s, but its weight was only a fifth and decayed within 5 s.
    endpoint = next(iter(Driver(count=1).limiter.selector.endpoints.values()))
    memory_ms = outlier_detection.fault_memory_ms(90.0, 60)
    endpoint.record_outcome(0.0, Outcome.TIMEOUT, 1500.0, 170.0, memory_ms)
    assert endpoint.perceived_latency_ms(5500.0, 170.0, memory_ms, "") > 5 * 170.0
    assert endpoint.perceived_latency_ms(60_000.0, 170.0, memory_ms, "") < 1.2 * 170.0


def test_unreachable_endpoint_is_ejected_for_increasing_intervals() -> None:
    driver = Driver(count=1)
    endpoint = next(iter(driver.limiter.selector.endpoints.values()))
    ejections_ms = []
    for _ in range(8):
        endpoint.record_outcome(driver.now, Outcome.CONNECT_FAILED, 1000.0, 100.0, 5000.0)
        ejections_ms.append(endpoint.ejected_until - driver.now)
    assert ejections_ms[0] == outlier_detection.MIN_EJECTION_MS
    assert ejections_ms[-1] == outlier_detection.MAX_EJECTION_MS
    assert ejections_ms == sorted(ejections_ms)
    endpoint.record_outcome(driver.now, Outcome.OK, 100.0, 100.0, 5000.0)
    assert endpoint.ejected_until == 0.0
    endpoint.record_outcome(driver.now, Outcome.CONNECT_FAILED, 1000.0, 100.0, 5000.0)
    driver.handle(EndpointsListed((replace(endpoint.endpoint, started_at=driver.now),), is_complete=True))
    assert endpoint.ejected_until == 0.0
    assert endpoint.latency_ms == driver.limiter.estimates.latency_ms


def test_retry_after_a_failed_connect_needs_no_retry_budget() -> None:
    # No endpoint was reached, so the retry can't prolong an overload.
    driver = Driver(replace(SETTINGS, max_attempts=4), count=3)
    driver.limiter.retries.budget.retries = 0.0
    driver.send_request(plan_index=1)
    driver.end_attempt(driver.sent_attempts()[0], Outcome.CONNECT_FAILED)
    assert len(driver.sent_attempts()) == 2
    driver.end_attempt(driver.sent_attempts()[1], Outcome.TIMEOUT)
    assert len(driver.sent_attempts()) == 2


def test_fault_memory_is_short_if_answers_are_frequent() -> None:
    # Guards small fleets against the long memory that only little traffic per endpoint needs.
    assert outlier_detection.fault_memory_ms(10.0, 12) == outlier_detection.FAULT_MEMORY_MS
    assert outlier_detection.fault_memory_ms(90.0, 60) > 2 * outlier_detection.FAULT_MEMORY_MS


def test_new_connection_adds_the_configured_handshake_cost() -> None:
    # Guards both cases: an endpoint whose idle connection is in use, closed or expired must not be treated
    # like one with an idle connection, and without a configured cost the choice must not change.
    endpoint = next(iter(Driver(count=1).limiter.selector.endpoints.values()))

    def perceived_ms(at: float, handshake_ms: float = 100.0) -> float:
        return endpoint.perceived_latency_ms(at, 100.0, 5000.0, "", 1000.0, handshake_ms)

    endpoint.latency_ms = 100.0
    assert perceived_ms(0.0) == 200.0
    assert perceived_ms(0.0, handshake_ms=0.0) == 100.0
    for outcome, is_reusable in ((Outcome.OK, True), (Outcome.RESET, False), (Outcome.TIMEOUT, False)):
        endpoint.reset(100.0)
        endpoint.record_outcome(10.0, outcome, 100.0, 100.0, 5000.0)
        assert (perceived_ms(20.0) == perceived_ms(20.0, handshake_ms=0.0)) is is_reusable
    endpoint.reset(100.0)
    endpoint.record_outcome(10.0, Outcome.REJECTED, 100.0, 100.0, 5000.0)
    assert perceived_ms(1009.0) == perceived_ms(1009.0, handshake_ms=0.0)
    assert perceived_ms(1011.0) > perceived_ms(1011.0, handshake_ms=0.0)
    endpoint.record_send(20.0, 1000.0)
    assert endpoint.idle_connections == 0
    assert perceived_ms(21.0) > perceived_ms(21.0, handshake_ms=0.0)


@pytest.mark.parametrize("handshake_cost", [0.0, 0.08])
def test_limiters_of_a_large_fleet_reuse_connections_to_few_endpoints(handshake_cost: float) -> None:
    # Guards against handshakes for most attempts: with 214 limiters and 112 backends, every second attempt
    # needed a new connection and a limiter had 60 open ones, which cost 0.046 of the value earned.
    count, settings = (
        60,
        replace(SETTINGS, limiter_count=40, handshake_cost=handshake_cost, idle_timeout_ms=30_000.0),
    )
    opened = attempts = 0
    load: Counter[str] = Counter()
    for index in range(40):
        driver, idle = Driver(replace(settings, limiter_index=index), count=count, seed=index), Counter[str]()
        for _ in range(100):
            driver.send_request(plan_index=1)
            endpoint = driver.sent_attempts()[-1].endpoint
            opened, attempts = opened + (not idle[endpoint]), attempts + 1
            idle[endpoint], load[endpoint] = 1, load[endpoint] + 1
            driver.advance(100.0)
            driver.end_attempt(driver.sent_attempts()[-1])
    assert opened / attempts < (0.2 if handshake_cost else 0.35), opened / attempts
    assert len(load) == count
    assert max(load.values()) < 5 * attempts / count
