"""Overload handled as one fleet: what the sum over all limiters does, at any number of them."""

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
def test_every_backend_is_in_as_many_subsets_as_any_other(count: int, limiters: int, gap: float) -> None:
    names = [f"deck-{n}" for n in range(count)]
    size = subsetting.subset_size(gap, count)
    seen: Counter[str] = Counter()
    for index in range(limiters):
        near, *all_of_them = subsetting.subset(names, str, index, limiters, gap)
        assert len(set(near)) == len(near) == size
        assert [sorted(some) for some in all_of_them] == ([sorted(names)] if size < count else [])
        seen.update(near)
    if size < count and limiters % count == 0:
        assert set(seen.values()) == {limiters * size // count}


@given(st.integers(10, 60), st.integers(0, 39), st.floats(10.0, 90.0))
def test_a_subset_that_grows_keeps_its_members(count: int, index: int, gap: float) -> None:
    names = [f"deck-{n}" for n in range(count)]
    small, large = (subsetting.subset(names, str, index, 40, ms)[0] for ms in (2 * gap, gap))
    assert set(small) <= set(large)


def test_the_retry_budget_over_all_limiters_is_small() -> None:
    for limiters in (1, 3, 12, 48, 200):
        assert limiters * RetryBudget(limiters).capacity <= max(30.0, limiters)


@pytest.mark.parametrize("limiters", [3, 48, 200])
def test_a_total_outage_is_not_made_worse_by_repeats(limiters: int) -> None:
    # Guards the fleet: repeats earned by first tries made 1.21 attempts a request at 3, 1.33 at 200 limiters.
    found = fail_all_backends(limiters, outage_s=10.0)
    assert found["attempts a request"] <= 1.10
    assert found["served afterwards"] > 0.95


def test_what_is_asked_of_the_counter_settles_at_what_it_bears() -> None:
    # 200 limiters, each a call in 400 ms at most, and a line that bears 250 calls a second, half of them.
    limiters, rng = [CounterContention(30.0) for _ in range(200)], random.Random(1)
    now, line, late, calls = 0.0, 0.0, 0, 0
    for step in range(60_000):
        now += 1.0
        line = max(0.0, line - 1.0)
        for limiter in rng.sample(limiters, 1 if step % 2 else 0):
            if now >= limiter.next_call_at and rng.random() < limiter.sampling_rate:
                line += 4.0
                limiter.on_answer(now, 2.0 + line)
                calls, late = calls + (step > 30_000), late + (step > 30_000 and 2.0 + line > 150.0)
    assert calls > 5000
    assert late < 0.03 * calls
    one = CounterContention(30.0)
    for _ in range(3):
        one.on_failure(now)
    assert (one.backoff_ms, one.sampling_rate) == (200.0, 0.6)  # one cut for all that were late together
    one.on_answer(now, 2.0)
    assert one.backoff_ms == 0.0


def test_repeats_are_earned_by_good_answers_alone() -> None:
    d = Driver(SETTINGS)
    kept = d.limiter.retries.budget.retries
    for _ in range(20):
        d.ask(plan_index=1)
        d.end(d.sends()[-1], outcome=Outcome.ERROR)
    assert d.limiter.retries.budget.retries <= kept
    before = d.limiter.retries.budget.retries
    d.ask(plan_index=1)
    d.end(d.sends()[-1])
    assert d.limiter.retries.budget.retries == pytest.approx(before + 0.2)


def test_trials_of_a_bad_backend_grow_little_with_the_number_of_limiters() -> None:
    # 0.15 a second at 3 limiters; 1.18 at 200 before each drew among a subset alone.
    few, many = fail_one_backend(3), fail_one_backend(200)
    assert many["a second"] <= 4 * few["a second"]
    assert many["failed"] + many["refused"] == 0


def test_where_the_own_subset_fails_all_others_are_drawn_from() -> None:
    settings = Settings(**{**{f: getattr(SETTINGS, f) for f in SETTINGS.__slots__}, "limiter_count": 200})
    d = Driver(settings, count=40)
    d.limiter.estimates.answer_interval_ms = 1000.0
    d.limiter.selector.update_pools(d.now)
    near, rest = (pool.endpoints for pool in d.limiter.selector.pools)
    assert (len(near), len(rest)) == (subsetting.MIN_SUBSET_SIZE, 40)
    for server in near:
        server.failure_ratio, server.updated_at = 0.9, d.now
    d.ask(plan_index=1)
    assert d.sends()[-1].endpoint not in {server.endpoint.name for server in near}


class Jam(Fleet):
    """Backends that work off what they got in order, also what nobody waits for any more; clients whose
    requests are refused or fail come again."""

    def __init__(self, count: int) -> None:
        aim = RequestClass(latency_objective_ms=1000.0, deadline_ms=3000.0)
        super().__init__(count, backends=40, plans=(Plan(),), request_classes=(aim,), has_counter=False)
        self.slow, self.free_at = 1.0, defaultdict[str, float](float)
        self.served: list[float] = []

    def carry_out(self, limiter: Any, action: Action) -> None:
        if isinstance(action, SendAttempt):
            begins = max(self.now, self.free_at[action.endpoint])
            self.free_at[action.endpoint] = begins + 100.0 * self.slow
            took, sends = (
                self.free_at[action.endpoint] - self.now,
                limiter.requests[action.request_id].attempts_sent - 1,
            )
            late = took > (wait := action.timeout_ms or 1000.0)
            outcome, after = (Outcome.TIMEOUT, wait) if late else (Outcome.OK, took)
            self.served += [] if late else [self.now + took]
            told = (action.request_id, sends, action.endpoint, outcome, after, not late)
            self.later(limiter, after, AttemptEnded(*told))
        elif isinstance(action, RejectRequest | FailRequest):
            if self.random.random() < 0.7:
                self.at(200.0, self.come)
        else:
            super().carry_out(limiter, action)

    def come(self) -> None:
        self.ask(f"c{self.random.randrange(1000)}", self.random.randrange(len(self.limiters)), 2.0)


def served_after_a_jam() -> float:
    """Of what is asked in the last 4 s, 250 requests a second where the backends serve 400, the part that is
    served, after 4 s in which they served 100."""
    fleet, begun = Jam(100), 0.0
    for second in range(14):
        fleet.slow = 4.0 if 2 <= second < 6 else 1.0
        for _ in range(250):
            fleet.come()
            fleet.run(4.0)
        begun = fleet.now if second == 9 else begun
    return sum(begun < at <= fleet.now for at in fleet.served) / 1000


def test_a_fleet_comes_out_of_a_jam(monkeypatch: pytest.MonkeyPatch) -> None:
    # Seen on join+mass, seed 11: 960 attempts a second, of which 70% timed out, where 600 could be served.
    assert served_after_a_jam() > 0.6
    monkeypatch.setattr(ConcurrencyLimit, "on_answer", lambda *_: None)
    assert served_after_a_jam() < 0.1


@pytest.mark.parametrize("gap", [7.0, 800.0])
def test_the_bound_on_what_is_out_binds_where_many_are_late(gap: float) -> None:
    def bound(late: float) -> float:
        """The part of the time in which it keeps 8 from being out."""
        limit, rng, binds = ConcurrencyLimit(200), random.Random(1), 0
        for _ in range(4000):
            limit.on_answer(rng.random() < late, 8, gap)
            assert MIN_LIMIT <= limit.limit <= MAX_LIMIT
            binds += limit.limit < 8
        return binds / 4000

    assert bound(0.0) == 0
    assert bound(0.05) < 0.2
    assert bound(0.6) > 0.8
