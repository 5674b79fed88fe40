"""The admission queue: its decisions, bounds and settings."""

from __future__ import annotations

import random
from math import inf, nan
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scalelb.admission_queue import (
    AdmissionQueue,
    AdmissionQueueSettings,
    AdmissionRequest,
    FlowKey,
    QueueDecision,
    QuotaBalance,
)


def a_request(request_id: int, tenant: str = "a", units: float = 1.0, **more: Any) -> AdmissionRequest:
    return AdmissionRequest(
        request_id, tenant, more.pop("plan_index", 0), units, more.pop("latest_send_at", 1e9), **more
    )


def an_admission_queue(**more: Any) -> AdmissionQueue:
    given: dict[str, Any] = {
        "start_requests": 12.0,
        "least_requests": 6.0,
        "max_unsent_per_flow": 1000,
    } | more
    most = given.pop("max_retry_after_ms", inf)
    return AdmissionQueue(AdmissionQueueSettings(**given), most)


def arrive(
    queue: AdmissionQueue, request: AdmissionRequest, now: float = 0.0, credit: QuotaBalance | None = None
) -> Any:
    """A request arrives; if it is forwarded, it is sent at once."""
    outcome = queue.request_arrived(now, request, credit)
    if outcome.decision is QueueDecision.FORWARD:
        queue.attempt_sent(request.request_id)
    return outcome


def serve(queue: AdmissionQueue, count: int) -> list[str]:
    """The tenants whose requests are released, as those before them end."""
    found: list[str] = []
    for _ in range(count):
        for ident in list(queue.forwarded.by_id):
            queue.attempt_sent(ident)
            queue.request_finished(ident)
        found += [queued.request.tenant for queued in queue.release(0.0)]
    return found[:count]


def test_requests_within_the_limit_are_forwarded_and_the_rest_is_served_fairly() -> None:
    queue = an_admission_queue()
    for number in range(40):
        arrive(queue, a_request(number, "hog"))
    assert len(queue.forwarded.by_id) == 12 == queue.forwarded.in_flight
    assert len(queue.queued.by_id) == 28
    assert not queue.release(0.0)
    assert (
        arrive(queue, a_request(100, "quiet")).decision is QueueDecision.FORWARD
    )  # has had less than its share
    for number in range(101, 130):
        arrive(queue, a_request(number, "quiet"))
    served = serve(queue, 40)
    assert abs(served.count("hog") - served.count("quiet")) <= 2, served


def test_client_that_changes_its_tenant_name_shares_the_flow_of_unknown_tenants() -> None:
    queue = an_admission_queue(unknown_tenants_weight=1.0)
    for number in range(500):
        arrive(queue, a_request(number, f"name-{number}", is_known_tenant=False))
    for number in range(500, 540):
        arrive(queue, a_request(number, "usual"))
    assert serve(queue, 40).count("usual") >= 18


def test_flows_by_client_ignore_the_tenant_name() -> None:
    queue = an_admission_queue(flows=FlowKey.CLIENT)
    for number in range(100):
        arrive(queue, a_request(number, f"name-{number}", client="10.0.0.1"))
    for number in range(100, 140):
        arrive(queue, a_request(number, "usual", client="10.0.0.2"))
    assert set(queue.fair_queue.flows) <= {"10.0.0.1", "10.0.0.2"}
    assert serve(queue, 40).count("usual") >= 18


def test_all_tenants_in_the_same_millisecond() -> None:
    queue = an_admission_queue(max_queued=500)
    steps = [arrive(queue, a_request(n, f"t{n}", latest_send_at=2000.0)).decision for n in range(5000)]
    assert steps.count(QueueDecision.FORWARD) >= 12
    assert len(queue.queued.by_id) <= 500
    assert queue.fair_queue.queued_units == len(queue.queued.by_id)
    assert steps.count(QueueDecision.REJECT) >= 5000 - 500 - 24
    late = queue.remove_overdue(2001.0)
    assert len(late) == len({queued.request.request_id for queued, _ in late})
    assert not queue.queued.by_id


def test_full_queue_displaces_from_the_longest_flow() -> None:
    queue = an_admission_queue(max_queued=50)
    for number in range(80):
        arrive(queue, a_request(number, "hog"))
    assert len(queue.queued.by_id) == 50
    outcomes = [arrive(queue, a_request(number, "quiet")) for number in range(100, 130)]
    displaced = [o.displaced for o in outcomes if o.displaced is not None]
    assert displaced
    assert all(queued.request.tenant == "hog" for queued in displaced)
    assert all(queued.request.request_id not in queue.queued.by_id for queued in displaced)
    assert len(queue.queued.by_id) == 50
    # It is the longest itself.
    assert queue.request_arrived(0.0, a_request(200, "hog")).decision is QueueDecision.REJECT


def test_request_that_can_not_be_in_time_is_rejected_on_arrival() -> None:
    queue = an_admission_queue()
    for number in range(13):
        arrive(queue, a_request(number))
    for _ in range(100):  # each took 100 ms: 120 units a second
        queue.attempt_ended(0.0, "s", 100.0, 1.0, 3.0, True)
    steps = [
        queue.request_arrived(0.0, a_request(number, latest_send_at=500.0)).decision
        for number in range(100, 300)
    ]
    assert steps[0] is QueueDecision.QUEUE
    assert steps[-1] is QueueDecision.REJECT
    assert 40 <= steps.count(QueueDecision.QUEUE) <= 80  # half a second's worth


def test_request_without_reservation_does_not_take_reserved_quota() -> None:
    queue = an_admission_queue()
    empty = QuotaBalance(0.0, 4.0)
    queue.request_arrived(0.0, a_request(1), QuotaBalance(1.0, 4.0))
    told = queue.request_rejected(0.0, 1, empty, 10.0)
    assert told == pytest.approx(250.0)
    queue.request_finished(1)
    have = QuotaBalance(1.0, 4.0)  # at the reserved time there is enough for one
    assert queue.request_arrived(250.0, a_request(2), have).decision is QueueDecision.REJECT
    assert queue.request_arrived(250.0, a_request(3, is_retry=True), have).decision is QueueDecision.FORWARD
    spent = QuotaBalance(0.0, 4.0)
    # Only once: 2's is not due.
    assert queue.request_arrived(250.0, a_request(4, is_retry=True), spent).decision is QueueDecision.REJECT
    # Not redeemed: it has expired.
    assert queue.request_arrived(2000.0, a_request(5), have).decision is QueueDecision.FORWARD
    assert (
        an_admission_queue(reserve=False).request_arrived(250.0, a_request(2), have).decision
        is QueueDecision.FORWARD
    )


def test_request_charged_through_another_listener_needs_no_reserved_quota() -> None:
    queue = an_admission_queue()
    queue.request_arrived(0.0, a_request(1), QuotaBalance(0.0, 4.0))
    queue.request_rejected(0.0, 1, QuotaBalance(0.0, 4.0), 10.0)
    assert (
        queue.request_arrived(250.0, a_request(2, is_already_charged=True), QuotaBalance(0.0, 4.0)).decision
        is QueueDecision.FORWARD
    )


def test_waits_beyond_the_longest_retry_after_are_counted_apart() -> None:
    queue = an_admission_queue(max_retry_after_ms=1000.0)
    for number in range(10):
        queue.request_arrived(0.0, a_request(number), QuotaBalance(0.0, 4.0))
        assert queue.request_rejected(0.0, number, QuotaBalance(0.0, 4.0), 10.0) <= 1000.0
    assert queue.reservations.counts["beyond"] == 6
    assert queue.reservations.counts["made"] == 4


@pytest.mark.parametrize("step", [-3_600_000.0, 3_600_000.0])
def test_clock_step_leaves_nothing_behind(step: float) -> None:
    queue = an_admission_queue()
    for number in range(30):
        arrive(queue, a_request(number, latest_send_at=1e7 + 2000.0), 1e7)
    for ident in list(queue.forwarded.by_id):
        queue.attempt_ended(1e7 + step, "s", 100.0, 1.0, 0.0, True)
        queue.request_finished(ident)
    ended = [queued.request.request_id for queued, _ in queue.remove_overdue(1e7 + step)]
    released = [queued.request.request_id for queued in queue.release(1e7 + step)]
    assert not set(ended) & set(released)
    assert bool(ended) == (step > 0)
    for ident in released:
        queue.request_finished(ident)
    queue.remove_overdue(1e7 + abs(step) + 2001.0)
    assert not queue.queued.by_id
    assert not queue.forwarded.by_id
    assert not queue.forwarded.unsent_by_flow
    assert not queue.forwarded.in_flight


@given(st.integers(0, 10_000))
@settings(max_examples=30, deadline=None)
def test_random_events_keep_the_bounds_and_end_each_request_once(seed: int) -> None:
    drawn, now = random.Random(seed), 0.0
    queue = an_admission_queue(max_queued=20, max_reservations=30, max_unsent_per_flow=3)
    ended: set[int] = set()
    for ident in range(400):
        now += drawn.expovariate(0.2)
        request = a_request(
            ident, f"c{drawn.randrange(6)}", drawn.choice([1.0, 3.0, 6.0]),
            latest_send_at=now + drawn.choice([5.0, 300.0]), is_retry=drawn.random() < 0.3,
            is_known_tenant=drawn.random() < 0.8, priority_weight=drawn.choice([2.0, 6.0]),
        )  # fmt: skip
        outcome = queue.request_arrived(
            now, request, drawn.choice([None, QuotaBalance(drawn.uniform(-5, 5), 4.0)])
        )
        gone = {ident} if outcome.decision is QueueDecision.REJECT else set()
        gone |= {outcome.displaced.request.request_id} if outcome.displaced else set()
        gone |= {queued.request.request_id for queued, _ in queue.remove_overdue(now)}
        for queued in queue.release(now, drawn.random() < 0.1):
            assert queued.request.latest_send_at >= now
        for other in [i for i in list(queue.forwarded.by_id) if drawn.random() < 0.4]:
            queue.attempt_sent(other)
            queue.attempt_ended(
                now, f"s{other % 3}", drawn.uniform(5, 200), 1.0, drawn.choice([0.0, 2.0]), True
            )
            queue.request_finished(other)
            gone.add(other)
        if queue.queued.by_id and drawn.random() < 0.1:
            left = drawn.choice(list(queue.queued.by_id))
            assert queue.request_cancelled(left)
            assert not queue.request_cancelled(left)
            gone.add(left)
        assert not gone & ended
        ended |= gone
        assert not set(queue.queued.by_id) & set(queue.forwarded.by_id)
        assert len(queue.queued.by_id) <= 20
        assert queue.reservations.count <= 30
        assert len(queue.queued.deadlines) <= 2 * len(queue.queued.by_id) + 64
        assert sum(queue.forwarded.unsent_by_flow.values()) == sum(
            not queued.is_sent for queued in queue.forwarded.by_id.values()
        )
    for left in list(queue.forwarded.by_id):
        queue.request_finished(left)
    queue.remove_overdue(now + 1e6)
    queue.reservations.expire(now + 1e6)
    assert not queue.queued.by_id
    assert not queue.forwarded.unsent_by_flow
    assert not queue.forwarded.in_flight
    assert not queue.reservations.by_tenant


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("weights", (1.0, 0.0)), ("weights", (nan,)), ("weights", (inf,)), ("unknown_tenants_weight", -1.0),
        ("max_queued", 0), ("start_requests", 1.0), ("tolerance", nan), ("grace_ms", -1.0),
    ],
)  # fmt: skip
def test_settings_out_of_range_are_rejected_by_name(name: str, value: Any) -> None:
    with pytest.raises(ValueError, match=name):
        AdmissionQueueSettings(**{name: value})


def test_weights_follow_the_plan_rates_unless_set() -> None:
    usual = AdmissionQueueSettings(plan_rates=(2.0, 6.0, 0.0))
    assert [usual.plan_weight(plan) for plan in range(4)] == [0.5, 1.5, 1.0, 1.0]
    assert AdmissionQueueSettings(weights=(3.0,), plan_rates=(2.0,)).plan_weight(0) == 3.0
