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
OPS = st.one_of(
    st.tuples(st.just("push"), NAMES, UNITS),
    st.tuples(st.just("pop"), st.none(), st.none()),
    st.tuples(st.just("remove"), st.integers(0, 50), st.none()),
    st.tuples(st.sampled_from(["pause", "resume"]), NAMES, st.none()),
)


@given(st.lists(OPS, max_size=120))
def test_fair_queue_returns_what_was_pushed_and_is_work_conserving(ops: list[tuple[str, Any, Any]]) -> None:
    queue: FairQueue[int] = FairQueue()
    waiting: dict[int, Any] = {}
    paused: set[str] = set()
    for number, (what, one, units) in enumerate(ops):
        if what == "push":
            waiting[number] = queue.push(one, WEIGHTS[one], units, number)
        elif what == "remove" and waiting:
            found = list(waiting)[one % len(waiting)]
            queue.remove(waiting.pop(found))
        elif what in ("pause", "resume") and one in queue.flows:
            (queue.pause if what == "pause" else queue.resume)(one)
        elif what == "pop":
            entry = queue.pop()
            open_flows = {e.flow.name for e in waiting.values()} - paused
            assert (entry is None) == (not open_flows), "work conservation"
            if entry is not None:
                assert waiting.pop(entry.item) is entry
        paused = {name for name, flow in queue.flows.items() if flow.is_paused}
        assert len(queue) == len(waiting)
        assert queue.queued_units == pytest.approx(sum(e.units for e in waiting.values()))
        assert queue.total_weight == pytest.approx(sum(WEIGHTS[name] for name in queue.flows))
        assert {e.item for e in queue} == set(waiting)


@given(
    st.lists(UNITS, min_size=60, max_size=60),
    st.lists(UNITS, min_size=60, max_size=60),
    st.sampled_from([0.5, 1.0, 3.0]),
    st.integers(0, 40),
)
def test_two_backlogged_flows_differ_by_at_most_one_request_each(
    first: list[float], second: list[float], weight: float, idle: int
) -> None:
    # The bound of start-time fair queuing: largest request over weight, of both.  `second` comes late: what
    # it did not use before is neither saved for it nor queued against it.
    queue: FairQueue[int] = FairQueue()
    for number, units in enumerate(first):
        queue.push("a", 1.0, units, number)
    for _ in range(idle):
        queue.pop()
    for number, units in enumerate(second):
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


def test_lower_rank_goes_first_within_a_flow_and_the_newest_entry_is_last() -> None:
    queue: FairQueue[str] = FairQueue()
    for name, rank in (("cheap", -2.0), ("dear", -6.0), ("cheaper", -1.0)):
        queue.push("a", 1.0, 1.0, name, rank)
    longest = queue.longest_flow()
    assert longest is not None and queue.newest_entry(longest).item == "cheaper"
    assert [queue.pop().item for _ in range(3)] == ["dear", "cheap", "cheaper"]  # type: ignore[union-attr]


def test_fair_queue_keeps_nothing_of_cancelled_and_served_flows() -> None:
    queue: FairQueue[int] = FairQueue()
    for number in range(20_000):  # each under a name of its own, cancelled or served
        entry = queue.push(f"n{number}", 1.0, 6.0, number)
        if number % 2:
            queue.remove(entry)
        else:
            queue.pop()
        queue.charge_unqueued(f"m{number}", 1.0, 6.0)
    assert not queue.flows and not queue.queued_units
    kept = (
        len(queue.flows_by_start_tag),
        len(queue.flows_by_backlog),
        len(queue.finish_tag_heap),
        len(queue.finish_tags),
    )
    assert max(kept) <= 2 * MAX_FINISH_TAGS + 64
