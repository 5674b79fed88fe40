"""Backoff of a fleet that calls one overloaded discovery service: delays, answers and numbers of calls."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

import pytest

from scalelb.transport.pace import PollBackoff


def simulate_release(
    limiters: int, calls_per_s: float, seed: int = 1, fixed_delay_ms: float = 0.0
) -> tuple[list[float], int]:
    """Start all limiters together, with a discovery service of limited throughput.

    The service rejects calls beyond its throughput. A rejection costs as much as half a call, and the backlog
    is at most five calls. Return when each limiter was answered (ms, -1: never), and the number of calls.
    `fixed_delay_ms`: replaces the backoff.
    """
    backoffs = [PollBackoff(limiters, Random(seed * 1000 + index), 10_000.0) for index in range(limiters)]
    due = sorted(
        (0.01 * index if fixed_delay_ms else backoffs[index].initial_delay_ms(), index)
        for index in range(limiters)
    )
    capacity, updated_at, answered_at, calls = 1.0, 0.0, [-1.0] * limiters, 0
    while due and due[0][0] < 30_000.0:
        now, index = heappop(due)
        capacity, updated_at = min(2.0, capacity + (now - updated_at) * calls_per_s / 1000), now
        calls += 1
        if capacity >= 1.0:
            capacity -= 1.0
            answered_at[index] = now
            backoffs[index].reset()
            continue
        capacity = max(-5.0, capacity - 0.5)
        backoffs[index].on_rejected()
        heappush(due, (now + (fixed_delay_ms or backoffs[index].next_delay_ms()), index))
    return answered_at, calls


@pytest.mark.parametrize("limiters", [100, 200])
def test_more_limiters_than_discovery_can_answer_do_not_keep_it_overloaded(limiters: int) -> None:
    # With delays of less than 3 s, one of 100 and one of 200 limiters got an answer in 30 s, 15 calls each.
    answered_at, calls = simulate_release(limiters, calls_per_s=15.0)
    assert limiters - answered_at.count(-1.0) > 90
    assert calls < 6 * limiters


@pytest.mark.parametrize("limiters", [3, 12, 40])
def test_overloaded_discovery_answers_all_limiters_soon(limiters: int) -> None:
    # During a release of 40 limiters, each called every 100 ms. Discovery answered 503 for 25 s, and all
    # limiters continued to send requests to 27 removed backends.
    answered_at, calls = simulate_release(limiters, calls_per_s=15.0)
    assert min(answered_at) >= 0
    assert max(answered_at) < 15_000.0
    assert sorted(answered_at)[limiters // 2] < 5000.0
    assert calls < 6 * limiters


def test_fixed_delay_keeps_discovery_overloaded() -> None:
    # Shows that the simulation reproduces the failure that the backoff prevents.
    answered_at, calls = simulate_release(40, calls_per_s=15.0, fixed_delay_ms=100.0)
    assert answered_at.count(-1.0) > 20
    assert calls > 5000


def test_delay_after_a_lost_connection_is_short_for_any_number_of_limiters() -> None:
    # A watch is continued only within 200 ms of its last answer. Later, the limiter would count as notified
    # of draining backends that it does not know.
    backoff = PollBackoff(40, Random(1), 10_000.0)
    assert [backoff.next_delay_ms() for _ in range(5)] == [20.0, 40.0, 80.0, 100.0, 100.0]
    backoff.reset()
    assert backoff.next_delay_ms() == 20.0


def test_delays_of_few_limiters_are_short() -> None:
    backoff = PollBackoff(3, Random(1), 10_000.0)
    for _ in range(20):
        backoff.on_rejected()
        assert backoff.next_delay_ms() < 1400.0
        assert backoff.initial_delay_ms() < 300.0


def test_number_of_limiters_must_be_positive() -> None:
    with pytest.raises(ValueError, match="limiters"):
        PollBackoff(0, Random(1), 10_000.0)


def test_local_agent_is_called_without_delay_for_any_number_of_limiters() -> None:
    # With 214 limiters the first call was delayed by up to 21 s, while they counted as notified: 143 to 596
    # attempts per day were sent to draining or removed backends.
    backoff = PollBackoff(214, Random(1), 0.0)
    assert max(backoff.initial_delay_ms() for _ in range(100)) == 0.0
    backoff.on_rejected()
    assert backoff.next_delay_ms() == 20.0


@pytest.mark.parametrize("limiters", [3, 40, 214, 5000])
def test_delays_are_bounded_for_any_number_of_limiters(limiters: int) -> None:
    # A limiter counts as notified 6 s after discovery has received a change, even if its calls were rejected.
    # Its first call is made within a third of that, and the one after a rejection within half of it (it was
    # 5 s, and up to 13 s with 200 limiters). A failed call allows four times as long as a start.
    backoff = PollBackoff(limiters, Random(1), 10_000.0)
    assert max(backoff.initial_delay_ms() for _ in range(100)) <= 2000.0
    backoff.on_rejected()
    assert max(backoff.next_delay_ms() for _ in range(100)) <= 3000.0
    for _ in range(40):
        backoff.on_rejected()
    assert max(backoff.next_delay_ms() for _ in range(100)) <= 20_000.0
