"""The admission queue: decisions, bounds and settings."""

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


def make_request(request_id: int, tenant: str = "a", units: float = 1.0, **fields: Any) -> AdmissionRequest:
    return AdmissionRequest(
        request_id, tenant, fields.pop("plan_index", 0), units, fields.pop("latest_send_at", 1e9), **fields
    )


def make_queue(**fields: Any) -> AdmissionQueue:
    values: dict[str, Any] = {
        "start_requests": 12.0,
        "least_requests": 6.0,
        "max_unsent_per_flow": 1000,
    } | fields
    max_retry_after_ms = values.pop("max_retry_after_ms", inf)
    return AdmissionQueue(AdmissionQueueSettings(**values), max_retry_after_ms)


def arrive(
    queue: AdmissionQueue, request: AdmissionRequest, now: float = 0.0, quota: QuotaBalance | None = None
) -> Any:
    """Let a request arrive; if it is forwarded, it is sent at once."""
    result = queue.request_arrived(now, request, quota)
    if result.decision is QueueDecision.FORWARD:
        queue.attempt_sent(request.request_id)
    return result


def serve(queue: AdmissionQueue, count: int) -> list[str]:
    """Release queued requests as those before them finish; return the tenants of the first `count`."""
    tenants: list[str] = []
    for _ in range(count):
        for request_id in list(queue.forwarded.by_id):
            queue.attempt_sent(request_id)
            queue.request_finished(request_id)
        tenants += [queued.request.tenant for queued in queue.release(0.0)]
    return tenants[:count]


def test_requests_beyond_the_concurrency_limit_are_queued_and_served_fairly() -> None:
    queue = make_queue()
    for number in range(40):
        arrive(queue, make_request(number, "hog"))
    assert len(queue.forwarded.by_id) == 12 == queue.forwarded.in_flight
    assert len(queue.queued.by_id) == 28
    assert not queue.release(0.0)
    # Its tenant has used less than its share.
    assert arrive(queue, make_request(100, "quiet")).decision is QueueDecision.FORWARD
    for number in range(101, 130):
        arrive(queue, make_request(number, "quiet"))
    served = serve(queue, 40)
    assert abs(served.count("hog") - served.count("quiet")) <= 2, served


def test_client_that_uses_many_tenant_names_gets_the_share_of_unknown_tenants_only() -> None:
    queue = make_queue(unknown_tenants_weight=1.0)
    for number in range(500):
        arrive(queue, make_request(number, f"name-{number}", is_known_tenant=False))
    for number in range(500, 540):
        arrive(queue, make_request(number, "usual"))
    assert serve(queue, 40).count("usual") >= 18


def test_flows_by_client_ignore_the_tenant_name() -> None:
    queue = make_queue(flows=FlowKey.CLIENT)
    for number in range(100):
        arrive(queue, make_request(number, f"name-{number}", client="10.0.0.1"))
    for number in range(100, 140):
        arrive(queue, make_request(number, "usual", client="10.0.0.2"))
    assert set(queue.fair_queue.flows) <= {"10.0.0.1", "10.0.0.2"}
    assert serve(queue, 40).count("usual") >= 18


def test_queue_is_bounded_when_thousands_of_tenants_arrive_at_once() -> None:
    queue = make_queue(max_queued=500)
    decisions = [arrive(queue, make_request(n, f"t{n}", latest_send_at=2000.0)).decision for n in range(5000)]
    assert decisions.count(QueueDecision.FORWARD) >= 12
    assert len(queue.queued.by_id) <= 500
    assert queue.fair_queue.queued_units == len(queue.queued.by_id)
    assert decisions.count(QueueDecision.REJECT) >= 5000 - 500 - 24
    overdue = queue.remove_overdue(2001.0)
    assert len(overdue) == len({queued.request.request_id for queued, _ in overdue})
    assert not queue.queued.by_id


def test_full_queue_displaces_from_the_longest_flow() -> None:
    queue = make_queue(max_queued=50)
    for number in range(80):
        arrive(queue, make_request(number, "hog"))
    assert len(queue.queued.by_id) == 50
    results = [arrive(queue, make_request(number, "quiet")) for number in range(100, 130)]
    displaced = [o.displaced for o in results if o.displaced is not None]
    assert displaced
    assert all(queued.request.tenant == "hog" for queued in displaced)
    assert all(queued.request.request_id not in queue.queued.by_id for queued in displaced)
    assert len(queue.queued.by_id) == 50
    # The flow of this request is the longest one itself.
    assert queue.request_arrived(0.0, make_request(200, "hog")).decision is QueueDecision.REJECT


def test_request_that_can_not_be_served_in_time_is_rejected_on_arrival() -> None:
    queue = make_queue()
    for number in range(13):
        arrive(queue, make_request(number))
    for _ in range(100):  # each takes 100 ms: 120 units per second
        queue.attempt_ended(0.0, "s", 100.0, 1.0, 3.0, True)
    decisions = [
        queue.request_arrived(0.0, make_request(number, latest_send_at=500.0)).decision
        for number in range(100, 300)
    ]
    assert decisions[0] is QueueDecision.QUEUE
    assert decisions[-1] is QueueDecision.REJECT
    assert 40 <= decisions.count(QueueDecision.QUEUE) <= 80  # the capacity of half a second


def test_request_without_reservation_does_not_take_reserved_quota() -> None:
    queue = make_queue()
    empty = QuotaBalance(0.0, 4.0)
    queue.request_arrived(0.0, make_request(1), QuotaBalance(1.0, 4.0))
    retry_after_ms = queue.request_rejected(0.0, 1, empty, 10.0)
    assert retry_after_ms == pytest.approx(250.0)
    queue.request_finished(1)
    one_unit = QuotaBalance(1.0, 4.0)  # the balance at the due time covers one request
    assert queue.request_arrived(250.0, make_request(2), one_unit).decision is QueueDecision.REJECT
    assert (
        queue.request_arrived(250.0, make_request(3, is_retry=True), one_unit).decision
        is QueueDecision.FORWARD
    )
    spent = QuotaBalance(0.0, 4.0)
    # The reservation was redeemed, and that of request 2 is not due.
    assert (
        queue.request_arrived(250.0, make_request(4, is_retry=True), spent).decision is QueueDecision.REJECT
    )
    # The reservation of request 2 has expired without being redeemed.
    assert queue.request_arrived(2000.0, make_request(5), one_unit).decision is QueueDecision.FORWARD
    assert (
        make_queue(reserve=False).request_arrived(250.0, make_request(2), one_unit).decision
        is QueueDecision.FORWARD
    )


def test_request_charged_through_another_listener_needs_no_reserved_quota() -> None:
    queue = make_queue()
    queue.request_arrived(0.0, make_request(1), QuotaBalance(0.0, 4.0))
    queue.request_rejected(0.0, 1, QuotaBalance(0.0, 4.0), 10.0)
    assert (
        queue.request_arrived(
            250.0, make_request(2, is_already_charged=True), QuotaBalance(0.0, 4.0)
        ).decision
        is QueueDecision.FORWARD
    )


def test_waits_beyond_the_longest_retry_after_are_counted_separately() -> None:
    queue = make_queue(max_retry_after_ms=1000.0)
    for number in range(10):
        queue.request_arrived(0.0, make_request(number), QuotaBalance(0.0, 4.0))
        assert queue.request_rejected(0.0, number, QuotaBalance(0.0, 4.0), 10.0) <= 1000.0
    assert queue.reservations.counts["beyond"] == 6
    assert queue.reservations.counts["made"] == 4


@pytest.mark.parametrize("step", [-3_600_000.0, 3_600_000.0])
def test_clock_step_leaves_no_requests_behind(step: float) -> None:
    queue = make_queue()
    for number in range(30):
        arrive(queue, make_request(number, latest_send_at=1e7 + 2000.0), 1e7)
    for request_id in list(queue.forwarded.by_id):
        queue.attempt_ended(1e7 + step, "s", 100.0, 1.0, 0.0, True)
        queue.request_finished(request_id)
    ended_ids = [queued.request.request_id for queued, _ in queue.remove_overdue(1e7 + step)]
    released = [queued.request.request_id for queued in queue.release(1e7 + step)]
    assert not set(ended_ids) & set(released)
    assert bool(ended_ids) == (step > 0)
    for request_id in released:
        queue.request_finished(request_id)
    queue.remove_overdue(1e7 + abs(step) + 2001.0)
    assert not queue.queued.by_id
    assert not queue.forwarded.by_id
    assert not queue.forwarded.unsent_by_flow
    assert not queue.forwarded.in_flight


@given(st.integers(0, 10_000))
@settings(max_examples=30, deadline=None)
def test_random_events_respect_the_bounds_and_end_each_request_once(seed: int) -> None:
    rng, now = random.Random(seed), 0.0
    queue = make_queue(max_queued=20, max_reservations=30, max_unsent_per_flow=3)
    ended_ids: set[int] = set()
    for request_id in range(400):
        now += rng.expovariate(0.2)
        request = make_request(
            request_id, f"c{rng.randrange(6)}", rng.choice([1.0, 3.0, 6.0]),
            latest_send_at=now + rng.choice([5.0, 300.0]), is_retry=rng.random() < 0.3,
            is_known_tenant=rng.random() < 0.8, priority_weight=rng.choice([2.0, 6.0]),
        )  # fmt: skip
        result = queue.request_arrived(
            now, request, rng.choice([None, QuotaBalance(rng.uniform(-5, 5), 4.0)])
        )
        ended_now = {request_id} if result.decision is QueueDecision.REJECT else set()
        ended_now |= {result.displaced.request.request_id} if result.displaced else set()
        ended_now |= {queued.request.request_id for queued, _ in queue.remove_overdue(now)}
        for queued in queue.release(now, rng.random() < 0.1):
            assert queued.request.latest_send_at >= now
        for forwarded_id in [i for i in list(queue.forwarded.by_id) if rng.random() < 0.4]:
            queue.attempt_sent(forwarded_id)
            queue.attempt_ended(
                now, f"s{forwarded_id % 3}", rng.uniform(5, 200), 1.0, rng.choice([0.0, 2.0]), True
            )
            queue.request_finished(forwarded_id)
            ended_now.add(forwarded_id)
        if queue.queued.by_id and rng.random() < 0.1:
            remaining_id = rng.choice(list(queue.queued.by_id))
            assert queue.request_cancelled(remaining_id)
            assert not queue.request_cancelled(remaining_id)
            ended_now.add(remaining_id)
        assert not ended_now & ended_ids
        ended_ids |= ended_now
        assert not set(queue.queued.by_id) & set(queue.forwarded.by_id)
        assert len(queue.queued.by_id) <= 20
        assert queue.reservations.count <= 30
        assert len(queue.queued.deadlines) <= 2 * len(queue.queued.by_id) + 64
        assert sum(queue.forwarded.unsent_by_flow.values()) == sum(
            not queued.is_sent for queued in queue.forwarded.by_id.values()
        )
    for remaining_id in list(queue.forwarded.by_id):
        queue.request_finished(remaining_id)
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
    default_weights = AdmissionQueueSettings(plan_rates=(2.0, 6.0, 0.0))
    assert [default_weights.plan_weight(plan) for plan in range(4)] == [0.5, 1.5, 1.0, 1.0]
    assert AdmissionQueueSettings(weights=(3.0,), plan_rates=(2.0,)).plan_weight(0) == 3.0
