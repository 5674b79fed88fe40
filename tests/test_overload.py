"""Behaviour under overload of all limiters together, for small and large fleets."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from typing import Any

import pytest
from driver import SETTINGS, Driver
from fleet import Fleet
from hypothesis import given
from hypothesis import strategies as st

from scalelb.lab.probe_load import fail_all_backends, fail_one_backend
from scalelb.policy import subsetting
from scalelb.policy.actions import Action, FailRequest, RejectRequest, SendAttempt
from scalelb.policy.concurrency_limit import MAX_LIMIT, MIN_LIMIT, ConcurrencyLimit
from scalelb.policy.counter_contention import CounterContention
from scalelb.policy.events import AttemptEnded, Outcome
from scalelb.policy.retry_budget import RetryBudget
from scalelb.policy.settings import Plan, RequestClass, Settings


@given(st.integers(1, 60), st.integers(1, 300), st.floats(1.0, 2000.0))
def test_every_backend_is_in_as_many_subsets_as_any_other(
    count: int, limiters: int, answer_interval_ms: float
) -> None:
    names = [f"deck-{n}" for n in range(count)]
    size = subsetting.subset_size(answer_interval_ms, count)
    memberships: Counter[str] = Counter()
    for index in range(limiters):
        subset, *all_backends = subsetting.subset(names, str, index, limiters, answer_interval_ms)
        assert len(set(subset)) == len(subset) == size
        assert [sorted(backends) for backends in all_backends] == ([sorted(names)] if size < count else [])
        memberships.update(subset)
    if size < count and limiters % count == 0:
        assert set(memberships.values()) == {limiters * size // count}


@given(st.integers(10, 60), st.integers(0, 39), st.floats(10.0, 90.0))
def test_growing_subset_keeps_its_members(count: int, index: int, answer_interval_ms: float) -> None:
    names = [f"deck-{n}" for n in range(count)]
    small, large = (
        subsetting.subset(names, str, index, 40, interval_ms)[0]
        for interval_ms in (2 * answer_interval_ms, answer_interval_ms)
    )
    assert set(small) <= set(large)


def test_retry_budget_of_all_limiters_together_is_small() -> None:
    for limiters in (1, 3, 12, 48, 200):
        assert limiters * RetryBudget(limiters).capacity <= max(30.0, limiters)


@pytest.mark.parametrize("limiters", [3, 48, 200])
def test_retries_add_little_load_in_a_total_outage(limiters: int) -> None:
    # When first attempts earned retries, each request made 1.21 attempts with 3 limiters and 1.33 with 200.
    result = fail_all_backends(limiters, outage_s=10.0)
    assert result["attempts a request"] <= 1.10
    assert result["served afterwards"] > 0.95


def test_counter_calls_settle_at_the_capacity_of_the_counter() -> None:
    # 200 limiters with at most one call in 400 ms each offer twice the 250 calls per second that the counter
    # can serve.
    limiters, rng = [CounterContention(30.0) for _ in range(200)], random.Random(1)
    now, queue_ms, late, calls = 0.0, 0.0, 0, 0
    for step in range(60_000):
        now += 1.0
        queue_ms = max(0.0, queue_ms - 1.0)
        for limiter in rng.sample(limiters, 1 if step % 2 else 0):
            if now >= limiter.next_call_at and rng.random() < limiter.sampling_rate:
                queue_ms += 4.0
                limiter.on_answer(now, 2.0 + queue_ms)
                calls, late = calls + (step > 30_000), late + (step > 30_000 and 2.0 + queue_ms > 150.0)
    assert calls > 5000
    assert late < 0.03 * calls
    contention = CounterContention(30.0)
    for _ in range(3):
        contention.on_failure(now)
    # Calls that fail together decrease the sampling rate only once.
    assert (contention.backoff_ms, contention.sampling_rate) == (200.0, 0.6)
    contention.on_answer(now, 2.0)
    assert contention.backoff_ms == 0.0


def test_only_good_answers_earn_retries() -> None:
    driver = Driver(SETTINGS)
    initial = driver.limiter.retries.budget.retries
    for _ in range(20):
        driver.send_request(plan_index=1)
        driver.end_attempt(driver.sent_attempts()[-1], outcome=Outcome.ERROR)
    assert driver.limiter.retries.budget.retries <= initial
    before = driver.limiter.retries.budget.retries
    driver.send_request(plan_index=1)
    driver.end_attempt(driver.sent_attempts()[-1])
    assert driver.limiter.retries.budget.retries == pytest.approx(before + 0.2)


def test_probes_of_a_failing_backend_grow_little_with_the_number_of_limiters() -> None:
    # 0.15 attempts per second with 3 limiters; with 200 limiters 1.18 before each limiter used a subset.
    few, many = fail_one_backend(3), fail_one_backend(200)
    assert many["a second"] <= 4 * few["a second"]
    assert many["failed"] + many["refused"] == 0


def test_other_backends_are_selected_if_the_own_subset_fails() -> None:
    settings = Settings(
        **{**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__}, "limiter_count": 200}
    )
    driver = Driver(settings, count=40)
    driver.limiter.estimates.answer_interval_ms = 1000.0
    driver.limiter.selector.update_pools(driver.now)
    subset, all_backends = (pool.endpoints for pool in driver.limiter.selector.pools)
    assert (len(subset), len(all_backends)) == (subsetting.MIN_SUBSET_SIZE, 40)
    for tracked in subset:
        tracked.failure_ratio, tracked.updated_at = 0.9, driver.now
    driver.send_request(plan_index=1)
    assert driver.sent_attempts()[-1].endpoint not in {tracked.endpoint.name for tracked in subset}


class OverloadedFleet(Fleet):
    """A fleet whose backends process all attempts in order, even those that have timed out.

    Clients retry requests that were rejected or failed.
    """

    def __init__(self, count: int) -> None:
        request_class = RequestClass(latency_objective_ms=1000.0, deadline_ms=3000.0)
        super().__init__(
            count, backends=40, plans=(Plan(),), request_classes=(request_class,), has_counter=False
        )
        self.service_time_factor, self.idle_at = 1.0, defaultdict[str, float](float)
        self.served_at: list[float] = []

    def execute(self, limiter: Any, action: Action) -> None:
        if isinstance(action, SendAttempt):
            starts_at = max(self.now, self.idle_at[action.endpoint])
            self.idle_at[action.endpoint] = starts_at + 100.0 * self.service_time_factor
            elapsed_ms, attempt_number = (
                self.idle_at[action.endpoint] - self.now,
                limiter.requests[action.request_id].attempts_sent - 1,
            )
            is_late = elapsed_ms > (timeout_ms := action.timeout_ms or 1000.0)
            outcome, ends_after_ms = (Outcome.TIMEOUT, timeout_ms) if is_late else (Outcome.OK, elapsed_ms)
            self.served_at += [] if is_late else [self.now + elapsed_ms]
            event_fields = (
                action.request_id,
                attempt_number,
                action.endpoint,
                outcome,
                ends_after_ms,
                not is_late,
            )
            self.handle_later(limiter, ends_after_ms, AttemptEnded(*event_fields))
        elif isinstance(action, RejectRequest | FailRequest):
            if self.random.random() < 0.7:
                self.schedule(200.0, self.send_random_request)
        else:
            super().execute(limiter, action)

    def send_random_request(self) -> None:
        self.send_request(f"c{self.random.randrange(1000)}", self.random.randrange(len(self.limiters)), 2.0)


def served_ratio_after_overload() -> float:
    """Return the ratio of requests that are served in the last 4 s of a run, after an overload.

    Clients send 250 requests per second. The backends can serve 400 per second, except for an earlier period
    of 4 s in which they can serve 100.
    """
    fleet, measured_from = OverloadedFleet(100), 0.0
    for second in range(14):
        fleet.service_time_factor = 4.0 if 2 <= second < 6 else 1.0
        for _ in range(250):
            fleet.send_random_request()
            fleet.run(4.0)
        measured_from = fleet.now if second == 9 else measured_from
    return sum(measured_from < served_at <= fleet.now for served_at in fleet.served_at) / 1000


def test_fleet_recovers_from_an_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    # Failure in the fault scenario "join+mass" (seed 11): 960 attempts per second, of which 70% timed out,
    # with backends that could serve 600.
    assert served_ratio_after_overload() > 0.6
    monkeypatch.setattr(ConcurrencyLimit, "on_answer", lambda *_: None)
    assert served_ratio_after_overload() < 0.1


@pytest.mark.parametrize("answer_interval_ms", [7.0, 800.0])
def test_concurrency_limit_binds_if_many_answers_are_late(answer_interval_ms: float) -> None:
    def limited_ratio(late_ratio: float) -> float:
        """Return the ratio of the answers after which the limit is below 8 attempts in flight."""
        limit, rng, limited = ConcurrencyLimit(200), random.Random(1), 0
        for _ in range(4000):
            limit.on_answer(rng.random() < late_ratio, 8, answer_interval_ms)
            assert MIN_LIMIT <= limit.limit <= MAX_LIMIT
            limited += limit.limit < 8
        return limited / 4000

    assert limited_ratio(0.0) == 0
    assert limited_ratio(0.05) < 0.2
    assert limited_ratio(0.6) > 0.8
