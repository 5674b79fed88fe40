"""The decisions of one limiter: quotas and leases, endpoint selection, retries and load shedding."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest
from driver import IDEMPOTENT_CLASS, METERED_PLAN, SETTINGS, Driver, actions_of_type, serving_endpoints

from scalelb import Limiter
from scalelb.policy import shared_counter
from scalelb.policy.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from scalelb.policy.concurrency_limit import ConcurrencyLimit
from scalelb.policy.endpoint_selection import Pool
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import (
    AttemptEnded,
    CounterReplied,
    EndpointsListed,
    HealthCheckEnded,
    Outcome,
    RequestCancelled,
    TimerFired,
)
from scalelb.policy.outlier_detection import TrackedEndpoint
from scalelb.policy.settings import DeduplicationScope, Idempotency, Plan

MAY_HAVE_EXECUTED = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]


def reply_to_last_call(driver: Driver, total: float, outcome: Outcome = Outcome.OK) -> None:
    driver.handle(CounterReplied(driver.counter_calls()[-1].counter_key, outcome, total, 2.0))


def test_settings_out_of_range_are_rejected() -> None:
    with pytest.raises(ValueError, match="settings"):
        Limiter(replace(SETTINGS, request_classes=()), 1)
    for name in (
        "slow_start_initial_ratio",
        "slow_start_ms",
        "overload_multiple",
        "overload_window_ms",
    ):
        for value in (0.0, -1.0, float("nan"), float("inf")):
            with pytest.raises(ValueError, match=name):
                Limiter(replace(SETTINGS, **{name: value}), 1)  # type: ignore[arg-type]


def test_request_covered_by_the_balance_is_sent_at_once() -> None:
    driver = Driver()
    request_id = driver.send_request()
    assert [a.request_id for a in driver.sent_attempts()] == [request_id]


def test_requests_beyond_the_balance_are_queued_until_the_scheduling_cycle_sends_them() -> None:
    driver = Driver(replace(SETTINGS, has_counter=False))
    for _ in range(6):
        driver.send_request()
    sent = len(driver.sent_attempts())
    assert 0 < sent < 6
    driver.advance(800.0)
    assert len(driver.sent_attempts()) > sent  # sent with this limiter's share of the rate


def test_requests_that_cannot_meet_the_latency_objective_are_rejected_within_it() -> None:
    driver = Driver(replace(SETTINGS, has_counter=False))
    for _ in range(40):
        driver.send_request()
    driver.advance(1000.0)
    answered = {a.request_id for a in driver.sent_attempts()} | {
        a.request_id for a in actions_of_type(RejectRequest, driver.actions)
    }
    assert answered == set(range(1, 41))


def test_request_about_to_expire_is_answered_before_the_next_scheduling_cycle() -> None:
    # Failure found by a search over settings: a retry that arrived 5 ms before its client's deadline waited
    # for the scheduling cycle.
    driver = Driver(count=0)
    request_id = driver.send_request(expires_in_ms=5.0)
    assert RejectRequest(request_id) in driver.actions


def test_true_units_refund_units_charged_in_excess() -> None:
    driver = Driver(replace(SETTINGS, has_counter=False))
    driver.send_request(units=4.0)
    tenant = driver.limiter.tenants.tenants["ada"]
    before = tenant.bucket.balance
    driver.end_attempt(driver.sent_attempts()[0], true_units=1.0)
    assert tenant.bucket.balance == before + 3.0


def test_lease_is_requested_without_delaying_the_request() -> None:
    driver = Driver()
    driver.send_request(units=2.0)
    assert len(driver.sent_attempts()) == 1  # sent before the counter answered
    assert driver.counter_calls()[0].amount > 2.0


def test_units_that_the_total_does_not_cover_are_returned() -> None:
    driver = Driver()
    driver.send_request()
    reply_to_last_call(driver, total=5.0)
    driver.send_request()
    driver.send_request()
    reply_to_last_call(driver, total=500.0)  # the others have used far more than the plan allows
    tenant = driver.limiter.tenants.tenants["ada"]
    assert (
        tenant.bucket.leased <= METERED_PLAN.rate_per_s * 0.5 * IDEMPOTENT_CLASS.latency_objective_ms / 1000
    )
    driver.send_request()
    assert tenant.bucket.unreported < 0 or tenant.bucket.call_amount < 0  # the rest is returned


def test_timed_out_counter_call_grants_nothing_and_is_not_repeated() -> None:
    driver = Driver()
    driver.send_request()
    balance = driver.limiter.tenants.tenants["ada"].bucket.balance
    reply_to_last_call(driver, 0.0, Outcome.TIMEOUT)
    tenant = driver.limiter.tenants.tenants["ada"]
    assert tenant.bucket.balance == balance
    assert tenant.bucket.unreported == 0.0
    driver.send_request()
    assert len(driver.counter_calls()) == 1  # backs off


def test_amount_of_a_call_with_a_malformed_answer_counts_as_added() -> None:
    # Failure in a trace of malformed answers: they were handled like missing ones, so that the requested
    # lease was lost and the limiter backed off.
    driver = Driver()
    driver.send_request("ada", units=4.0)
    tenant = driver.limiter.tenants.tenants["ada"]
    added, requested, local_units = (
        driver.counter_calls()[-1].amount,
        tenant.bucket.requested,
        tenant.bucket.balance + tenant.bucket.leased,
    )
    reply_to_last_call(driver, 0.0, Outcome.ERROR)
    assert (
        tenant.bucket.counter_total,
        driver.limiter.contention.backoff_ms,
        driver.limiter.contention.next_call_at,
    ) == (
        added,
        0.0,
        0.0,
    )
    assert 0 < tenant.bucket.balance + tenant.bucket.leased <= local_units + requested
    before = tenant.bucket.counter_balance
    tenant.last_request_at = driver.now
    driver.limiter.leases.call(tenant, driver.now, 2.0)
    reply_to_last_call(driver, added + 2.0 + 5.0)  # other limiters have used 5 units
    assert tenant.bucket.counter_total == added + 7.0
    assert tenant.bucket.counter_balance <= before - 5.0


def test_every_tenant_gets_its_share_of_the_rate_while_the_counter_is_unavailable() -> None:
    # Failure on a day when the counter refused connections: only the tenant whose own call had failed got its
    # share.
    driver = Driver()
    driver.send_request("ada")
    driver.send_request("bob")
    bob, ada = driver.counter_calls()[-1].counter_key, driver.counter_calls()[0].counter_key
    driver.handle(CounterReplied(bob, Outcome.OK, 8.0, 2.0))
    for _ in range(4):
        driver.send_request("bob")
    driver.handle(CounterReplied(ada, Outcome.CONNECT_FAILED, 0.0, 1.0))
    sent = len(driver.sent_attempts())
    for _ in range(40):
        driver.advance(50.0)
        driver.send_request("bob")
        for send in [s for s in driver.sent_attempts() if s.request_id in driver.limiter.requests]:
            driver.end_attempt(send, true_units=2.0)
        for call in driver.counter_calls()[2:]:
            driver.handle(CounterReplied(call.counter_key, Outcome.CONNECT_FAILED, 0.0, 1.0))
    share = (len(driver.sent_attempts()) - sent) * 2.0
    assert share >= 0.7 * METERED_PLAN.rate_per_s / 2 * 2.0
    assert len(driver.counter_calls()) < 15


def test_counter_that_loses_its_totals_does_not_grant_another_burst() -> None:
    driver = Driver()
    driver.send_request()
    reply_to_last_call(driver, total=16.0)
    tenant = driver.limiter.tenants.tenants["ada"]
    for _ in range(5):
        driver.send_request()
    remaining = tenant.bucket.counter_balance
    reply_to_last_call(driver, total=0.0)  # the counter has lost its totals
    assert tenant.bucket.counter_balance <= remaining + METERED_PLAN.rate_per_s * 0.1


def test_balance_of_an_idle_tenant_is_returned() -> None:
    driver = Driver()
    driver.send_request()
    reply_to_last_call(driver, total=8.0)
    driver.end_attempt(driver.sent_attempts()[0], true_units=2.0)
    driver.advance(5000.0)
    assert driver.counter_calls()[-1].amount < 0


PLAN_WITH_CEILING = replace(
    METERED_PLAN, rate_per_s=100.0, burst=400.0, ceiling_rate_per_s=4.0, ceiling_burst=16.0, ceiling_slack=4.0
)


def test_restart_does_not_grant_another_share_of_the_ceiling() -> None:
    driver = Driver(replace(SETTINGS, plans=(PLAN_WITH_CEILING,)))
    for _ in range(20):
        driver.send_request(units=2.0)
    assert len(driver.sent_attempts()) * 2.0 <= PLAN_WITH_CEILING.ceiling_slack / 2
    driver.advance(60_000.0)
    sent = len(driver.sent_attempts())
    for _ in range(20):
        driver.send_request(units=2.0)
    assert len(driver.sent_attempts()) - sent <= PLAN_WITH_CEILING.ceiling_burst / 2 / 2.0


@pytest.mark.parametrize("outcome", MAY_HAVE_EXECUTED)
def test_non_idempotent_request_that_may_have_been_executed_fails(outcome: Outcome) -> None:
    driver = Driver()
    request_id = driver.send_request(plan_index=1, class_index=1)
    assert driver.end_attempt(driver.sent_attempts()[0], outcome) == [FailRequest(request_id)]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_non_idempotent_request_that_was_never_executed_is_retried_at_another_endpoint(
    outcome: Outcome,
) -> None:
    driver = Driver()
    driver.send_request(plan_index=1, class_index=1)
    [retry] = actions_of_type(SendAttempt, driver.end_attempt(driver.sent_attempts()[0], outcome))
    assert retry.endpoint != driver.sent_attempts()[0].endpoint


def test_request_with_idempotency_key_is_retried_in_its_deduplication_group() -> None:
    keyed_class = replace(
        IDEMPOTENT_CLASS,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        idempotency_window_ms=5000.0,
    )
    driver = Driver(replace(SETTINGS, request_classes=(keyed_class,)), count=0)
    driver.handle(
        EndpointsListed(
            (*serving_endpoints(1), Endpoint("far", EndpointState.SERVING, cell=9)), is_complete=True
        )
    )
    request_id = driver.send_request(plan_index=1)
    first_attempt = driver.sent_attempts()[0]
    assert all(
        a.endpoint == first_attempt.endpoint
        for a in actions_of_type(SendAttempt, driver.end_attempt(first_attempt, Outcome.ERROR))
    )
    assert RejectRequest(request_id) not in driver.actions


def test_draining_or_removed_endpoints_get_no_attempts() -> None:
    driver = Driver(count=2)
    driver.handle(EndpointsListed((Endpoint("s0", EndpointState.DRAINING),), is_complete=False))
    driver.handle(EndpointsListed((Endpoint("s1", EndpointState.REMOVED),), is_complete=False))
    driver.send_request(plan_index=1)
    driver.advance(100.0)
    assert not driver.sent_attempts()


def test_endpoint_that_fails_fast_gets_few_attempts_but_is_probed() -> None:
    driver = Driver(count=4)
    chosen: list[str] = []
    for number in range(200):
        driver.send_request(f"c{number}", plan_index=1)
        while (send := driver.sent_attempts()[-1]).request_id in driver.limiter.requests:
            chosen.append(send.endpoint)
            is_faulty = send.endpoint == "s0"
            driver.end_attempt(
                send, Outcome.ERROR if is_faulty else Outcome.OK, elapsed_ms=5.0 if is_faulty else 100.0
            )
        driver.advance(50.0)
    assert 0 < chosen.count("s0") < len(chosen) / 10


def test_limiter_keeps_less_than_one_attempt_for_each_endpoint_in_flight_when_all_are_slow() -> None:
    # Failure with six limiters and 50 backends: one attempt of each limiter at each backend was an overload.
    driver = Driver(count=20)
    for number in range(300):
        driver.send_request(f"c{number}", plan_index=1)
        driver.advance(50.0)
        for send in [s for s in driver.sent_attempts()[-3:] if (s.request_id, 0) in driver.limiter.attempts]:
            driver.end_attempt(send, elapsed_ms=900.0)
    for number in range(60):
        driver.send_request(f"d{number}", plan_index=1)
    assert len(driver.limiter.attempts) < 20


def test_endpoint_in_slow_start_gets_a_reduced_load() -> None:
    driver = Driver(count=0)
    driver.handle(EndpointsListed(serving_endpoints(3), is_complete=True))
    starting = Endpoint("cold", EndpointState.SERVING, started_at=driver.now)
    driver.handle(EndpointsListed((starting,), is_complete=False))
    for number in range(100):
        driver.send_request(f"c{number}", plan_index=1)
        if driver.sent_attempts()[-1].request_id in driver.limiter.requests:
            driver.end_attempt(driver.sent_attempts()[-1])
        driver.advance(20.0)
    chosen = [a.endpoint for a in driver.sent_attempts()]
    assert chosen.count("cold") <= len(chosen) / 4 * 0.6


def test_state_of_idle_tenants_is_evicted() -> None:
    driver = Driver()
    for number in range(50):
        driver.send_request(f"c{number}")
    for _ in range(70):
        driver.advance(1000.0)
        for send in [s for s in driver.sent_attempts() if s.request_id in driver.limiter.requests]:
            driver.end_attempt(send, true_units=2.0)
        for call in [c for c in driver.counter_calls() if c.counter_key in driver.limiter.leases.calls]:
            driver.handle(CounterReplied(call.counter_key, Outcome.OK, 0.0, 2.0))
    assert not driver.limiter.tenants.tenants
    assert not driver.limiter.scheduler.active
    assert not driver.limiter.requests
    assert not driver.limiter.attempts


def test_events_with_unknown_ids_are_ignored() -> None:
    driver = Driver()
    assert driver.handle(RequestCancelled(99)) == []
    assert driver.handle(AttemptEnded(99, 0, "s0", Outcome.OK, 1.0, True)) == []
    assert driver.handle(CounterReplied(99, Outcome.OK, 1.0, 1.0)) == []
    assert driver.handle(TimerFired(99)) == []
    assert driver.handle(HealthCheckEnded("s9", Outcome.OK, 1.0)) == []


def test_attempt_of_a_cancelled_request_is_cancelled() -> None:
    driver = Driver()
    request_id = driver.send_request(plan_index=1)
    assert driver.handle(RequestCancelled(request_id)) == [CancelAttempt(request_id, 0)]
    assert driver.end_attempt(driver.sent_attempts()[0], Outcome.CANCELLED) == []


def limiter_of_many(limiters: int = 200, **fields: object) -> Driver:
    """Return one limiter of 300, with 60 endpoints, whose tenants may send requests through many limiters."""
    return Driver(replace(SETTINGS, limiter_count=300, **fields), count=60)  # type: ignore[arg-type]


def test_idle_limiter_sets_no_scheduling_timer() -> None:
    # Failure with 300 limiters and 60 backends: every limiter woke up every 10 ms, and simulated days did not
    # finish in time.
    driver = limiter_of_many()
    assert not driver.timers
    driver.send_request(plan_index=1)
    driver.end_attempt(driver.sent_attempts()[0])
    driver.advance(500.0)
    timers_before = len(actions_of_type(SetTimer, driver.actions))
    driver.advance(500.0)
    assert len(actions_of_type(SetTimer, driver.actions)) - timers_before <= 1


def test_selection_examines_few_endpoints_of_a_large_fleet() -> None:
    class CountingList(list[TrackedEndpoint]):
        examined = 0

        def __getitem__(self, index):  # type: ignore[no-untyped-def]
            CountingList.examined += 1
            return super().__getitem__(index)

        def __iter__(self) -> Iterator[TrackedEndpoint]:
            for endpoint in super().__iter__():
                CountingList.examined += 1
                yield endpoint

    for has_slow_start in (False, True):
        driver = Driver(count=500)
        if has_slow_start:
            started = serving_endpoints(500, started_at=driver.now - 9000.0)
            driver.handle(EndpointsListed(started[:250], is_complete=False))
        driver.limiter.selector.pools = [
            Pool(CountingList(pool.endpoints), pool.cumulative_capacity)
            for pool in driver.limiter.selector.pools
        ]
        driver.limiter.selector.slow_start.warming_up = CountingList(
            driver.limiter.selector.slow_start.warming_up
        )
        driver.send_request(plan_index=1)
        assert len(driver.sent_attempts()) == 1
        assert 0 < CountingList.examined <= 10
        CountingList.examined = 0


def test_limiters_do_not_all_choose_the_largest_endpoints() -> None:
    # Failure in large fleets: every limiter sent to the larger backends, as it had no attempts in flight at
    # any of them.
    driver = Driver(count=0)
    large = tuple(Endpoint(f"l{number}", EndpointState.SERVING, relative_capacity=2.0) for number in range(5))
    driver.handle(EndpointsListed((*serving_endpoints(5), *large), is_complete=True))
    for number in range(300):
        driver.send_request(f"c{number}", plan_index=1)
        driver.end_attempt(driver.sent_attempts()[-1])
    sent_to_large = sum(1 for a in driver.sent_attempts() if a.endpoint.startswith("l"))
    assert 0.5 < sent_to_large / len(driver.sent_attempts()) < 0.85


def test_request_of_a_bucket_on_the_counter_waits_for_the_answer() -> None:
    # Failure with 40 limiters: each sent requests by its own estimate, and a fifth of the units were beyond
    # quotas.
    driver = limiter_of_many()
    driver.send_request("ada", sharing_limiters=200)
    assert not driver.sent_attempts()
    assert driver.counter_calls()[-1].amount == 2.0
    reply_to_last_call(driver, 2.0)  # the window is new, so the previous one is read
    assert driver.counter_calls()[-1].amount == 0.0
    reply_to_last_call(driver, 0.0)
    driver.advance(20.0)
    assert len(driver.sent_attempts()) == 1


def test_request_of_an_empty_bucket_on_the_counter_is_rejected_at_once_and_its_units_are_returned() -> None:
    # Failure with 40 limiters: units of a partial grant stayed at one limiter, and the others rejected
    # requests.
    driver = limiter_of_many()
    driver.send_request("ada", sharing_limiters=200)
    reply_to_last_call(driver, 1e4)
    assert len(driver.rejections()) == 1
    assert not driver.sent_attempts()
    assert driver.counter_calls()[-1].amount == -2.0
    driver.send_request("ada", sharing_limiters=200)  # no call: the bucket can't have refilled yet
    assert len(driver.rejections()) == 2
    assert len(driver.counter_calls()) == 2


def test_counter_that_rejects_calls_is_called_less_often() -> None:
    def calls_made(outcome: Outcome) -> int:
        driver = limiter_of_many()
        for number in range(300):
            driver.send_request(f"c{number}", sharing_limiters=200)
            if (
                len(driver.counter_calls())
                and driver.counter_calls()[-1].counter_key in driver.limiter.leases.calls
            ):
                reply_to_last_call(driver, 2.0, outcome)
            driver.now += 2000.0
        return len(driver.counter_calls())

    assert calls_made(Outcome.REJECTED) < calls_made(Outcome.OK) / 2


def test_retry_does_not_overdraw_the_bucket_of_an_unknown_tenant() -> None:
    # Failure with clients that retry at once: each retry reached another limiter and used its overdraft.
    driver = limiter_of_many()
    for number in range(100):
        driver.send_request(f"c{number}", sharing_limiters=200, is_retry=True)
    assert not driver.sent_attempts()


def test_counter_call_without_an_answer_is_abandoned() -> None:
    driver = Driver()
    driver.send_request()
    assert driver.limiter.tenants.tenants["ada"].bucket.has_call_in_flight
    driver.advance(2500.0)
    assert not driver.limiter.tenants.tenants["ada"].bucket.has_call_in_flight


def test_late_answers_lower_the_admission_probability_and_good_ones_raise_it() -> None:
    # Failure in large fleets: the limits of single limiters alone do not relieve overloaded backends.
    driver = limiter_of_many()
    for number in range(40):
        driver.send_request(f"c{number}", plan_index=1)
        for send in [s for s in driver.sent_attempts() if s.request_id in driver.limiter.requests]:
            driver.end_attempt(send, elapsed_ms=800.0)
    before = len(driver.sent_attempts())
    for number in range(40):
        driver.send_request(f"d{number}", plan_index=1)
    assert len(driver.sent_attempts()) - before < 20
    for send in [s for s in driver.sent_attempts() if s.request_id in driver.limiter.requests]:
        driver.end_attempt(send, elapsed_ms=50.0)
    for number in range(100):
        driver.send_request(f"e{number}", plan_index=1)
        for send in [s for s in driver.sent_attempts() if s.request_id in driver.limiter.requests]:
            driver.end_attempt(send, elapsed_ms=50.0)
    assert driver.limiter.shedder.admission_probability == 1.0


def test_retries_do_not_enlarge_the_leases() -> None:
    # Failure with clients that retry at once: retries counted as demand, and limiters leased far too many
    # units.
    driver = Driver()
    for _ in range(20):
        driver.send_request(is_retry=True)
        driver.send_request(expires_in_ms=400.0)
    assert driver.limiter.tenants.tenants["ada"].demand_per_s == 0.0


def test_busy_tenant_leases_in_the_scheduling_cycle() -> None:
    # Failure next to a tenant that floods the fleet: a request that arrived during a counter call left its
    # tenant without units.
    driver = Driver()
    driver.send_request()
    driver.send_request()
    assert len(driver.counter_calls()) == 1
    reply_to_last_call(driver, 5.0)
    driver.advance(20.0)
    assert len(driver.counter_calls()) == 2
    assert driver.counter_calls()[1].amount > 2.0


def test_timeouts_under_overload_are_not_retried() -> None:
    # Failure in incident ia8ca48: further attempts kept an overloaded fleet overloaded.
    def attempts_at(admission_probability: float) -> int:
        driver = limiter_of_many()
        for number in range(60):
            driver.limiter.shedder.admission_probability = 1.0
            driver.limiter.retries.budget.retries = 5.0
            concurrency = ConcurrencyLimit(1)
            driver.limiter.sender.concurrency = concurrency
            driver.limiter.feedback.concurrency = concurrency
            driver.send_request(f"c{number}", plan_index=1)
            driver.limiter.shedder.admission_probability = admission_probability
            driver.end_attempt(driver.sent_attempts()[-1], Outcome.TIMEOUT, elapsed_ms=500.0)
        return len(driver.sent_attempts())

    assert attempts_at(0.01) < 70
    assert attempts_at(1.0) > 100


def test_plan_with_only_a_concurrency_limit_is_enforced() -> None:
    # Failure in a fault exercise with other settings: the wait for the concurrency limit was computed with a
    # division by a rate of 0.
    driver = Driver(replace(SETTINGS, plans=(Plan(max_concurrent_attempts=2),)))
    for _ in range(3):
        driver.send_request(sharing_limiters=1)
    assert len(driver.sent_attempts()) == 2
    driver.end_attempt(driver.sent_attempts()[0])
    driver.advance(20.0)
    assert len(driver.sent_attempts()) == 3


def test_load_shedding_rejects_requests_of_high_priority_weight_less_often() -> None:
    # Failure with 40 limiters and backends in slow start: a fifth of all requests was shed, those of high
    # weight as often as those of low weight.
    high_priority = replace(IDEMPOTENT_CLASS, priority_weight=6.0)
    driver = Driver(
        replace(SETTINGS, request_classes=(replace(IDEMPOTENT_CLASS, priority_weight=2.0), high_priority))
    )
    sent = [0, 0]
    for number in range(600):
        driver.limiter.shedder.admission_probability = 0.6
        before = len(driver.sent_attempts())
        driver.send_request(f"c{number}", plan_index=1, class_index=number % 2)
        sent[number % 2] += len(driver.sent_attempts()) - before
        for send in driver.sent_attempts()[before:]:
            driver.end_attempt(send)
    assert sent[1] > 1.4 * sent[0]
    assert 0.5 < sum(sent) / 600 < 0.7


def test_unsampled_request_of_an_empty_bucket_is_rejected() -> None:
    # Failure with an overloaded counter: requests of tenants far beyond their quotas were sent without calls.
    driver = limiter_of_many()
    driver.send_request("ada", sharing_limiters=200)
    reply_to_last_call(driver, 2.0)
    reply_to_last_call(driver, 0.0)
    tenant = driver.limiter.tenants.tenants["ada"]
    full = shared_counter.remaining_units(
        METERED_PLAN, shared_counter.window_start("ada", tenant.bucket.counter_window), driver.now, 0.0
    )
    driver.send_request("ada", sharing_limiters=200)
    reply_to_last_call(driver, full + 9.0)
    while tenant.bucket.has_call_in_flight:  # the units that it could not use are returned
        reply_to_last_call(driver, full + 7.0)
    assert tenant.bucket.was_empty
    assert not tenant.queue.requests
    driver.advance(4000.0)  # by its own estimate this limiter would grant units again
    before = len(driver.sent_attempts())
    calls = len(driver.counter_calls())
    driver.limiter.contention.sampling_rate = 1e-9
    driver.send_request("ada", sharing_limiters=200)
    assert (len(driver.sent_attempts()), len(driver.counter_calls())) == (before, calls)
    driver.limiter.contention.sampling_rate = 1.0
    driver.send_request("ada", sharing_limiters=200)
    assert len(driver.sent_attempts()) == before
    assert tenant.bucket.has_call_in_flight
