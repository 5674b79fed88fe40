"""The fair queue: order, work conservation, bounds."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from scalelb.admission_queue.fair_queue import MAX_FINISH_TAGS, FairQueue

NAMES = st.sampled_from("abcd")
UNITS = st.sampled_from([1.0, 2.0, 6.0])
WEIGHTS = {"a": 1.0, "b": 1.0, "c": 2.0, "d": 0.5}
OPERATIONS = st.one_of(
    st.tuples(st.just("push"), NAMES, UNITS),
    st.tuples(st.just("pop"), st.none(), st.none()),
    st.tuples(st.just("remove"), st.integers(0, 50), st.none()),
    st.tuples(st.sampled_from(["pause", "resume"]), NAMES, st.none()),
)


@given(st.lists(OPERATIONS, max_size=120))
def test_fair_queue_returns_all_pushed_entries_and_is_work_conserving(
    operations: list[tuple[str, Any, Any]],
) -> None:
    queue: FairQueue[int] = FairQueue()
    queued: dict[int, Any] = {}
    paused: set[str] = set()
    for number, (operation, argument, units) in enumerate(operations):
        if operation == "push":
            queued[number] = queue.push(argument, WEIGHTS[argument], units, number)
        elif operation == "remove" and queued:
            removed = list(queued)[argument % len(queued)]
            queue.remove(queued.pop(removed))
        elif operation in ("pause", "resume") and argument in queue.flows:
            (queue.pause if operation == "pause" else queue.resume)(argument)
        elif operation == "pop":
            entry = queue.pop()
            eligible_flows = {e.flow.name for e in queued.values()} - paused
            assert (entry is None) == (not eligible_flows), "work conservation"
            if entry is not None:
                assert queued.pop(entry.item) is entry
        paused = {name for name, flow in queue.flows.items() if flow.is_paused}
        assert len(queue) == len(queued)
        assert queue.queued_units == pytest.approx(sum(e.units for e in queued.values()))
        assert queue.total_weight == pytest.approx(sum(WEIGHTS[name] for name in queue.flows))
        assert {e.item for e in queue} == set(queued)


@given(
    st.lists(UNITS, min_size=60, max_size=60),
    st.lists(UNITS, min_size=60, max_size=60),
    st.sampled_from([0.5, 1.0, 3.0]),
    st.integers(0, 40),
)
def test_service_of_two_backlogged_flows_differs_by_at_most_one_request_each(
    first_units: list[float], second_units: list[float], weight: float, idle_count: int
) -> None:
    # The bound of start-time fair queuing is the sum, over both flows, of the largest request over the
    # weight.  The second flow starts later: it gets neither credit nor charge for the time in which it was
    # idle.
    queue: FairQueue[int] = FairQueue()
    for number, units in enumerate(first_units):
        queue.push("a", 1.0, units, number)
    for _ in range(idle_count):
        queue.pop()
    for number, units in enumerate(second_units):
        queue.push("b", weight, units, number)
    served = {"a": 0.0, "b": 0.0}
    while len(queue.flows) == 2:
        entry = queue.pop()
        assert entry is not None
        served[entry.flow.name] += entry.units
        assert abs(served["a"] - served["b"] / weight) <= 6.0 + 6.0 / weight + 1e-6


def test_flows_of_small_and_large_requests_get_equal_units() -> None:
    queue: FairQueue[int] = FairQueue()
    for number in range(600):
        queue.push("small", 1.0, 1.0, number)
        if number < 100:
            queue.push("large", 1.0, 6.0, number)
    served = {"small": 0.0, "large": 0.0}
    for _ in range(350):
        entry = queue.pop()
        assert entry is not None
        served[entry.flow.name] += entry.units
    assert served["large"] == pytest.approx(served["small"], abs=6.0)


def test_lower_rank_is_served_first_within_a_flow_and_newest_entry_is_the_last_pushed() -> None:
    queue: FairQueue[str] = FairQueue()
    for name, rank in (("medium", -2.0), ("important", -6.0), ("minor", -1.0)):
        queue.push("a", 1.0, 1.0, name, rank)
    longest_flow = queue.longest_flow()
    assert longest_flow is not None
    assert queue.newest_entry(longest_flow).item == "minor"
    assert [queue.pop().item for _ in range(3)] == ["important", "medium", "minor"]  # type: ignore[union-attr]


def test_memory_of_cancelled_and_served_flows_is_released() -> None:
    queue: FairQueue[int] = FairQueue()
    for number in range(20_000):  # each request has a flow of its own and is cancelled or served
        entry = queue.push(f"n{number}", 1.0, 6.0, number)
        if number % 2:
            queue.remove(entry)
        else:
            queue.pop()
        queue.charge_unqueued(f"m{number}", 1.0, 6.0)
    assert not queue.flows
    assert not queue.queued_units
    sizes = (
        len(queue.flows_by_start_tag),
        len(queue.flows_by_backlog),
        len(queue.finish_tag_heap),
        len(queue.finish_tags),
    )
    assert max(sizes) <= 2 * MAX_FINISH_TAGS + 64
