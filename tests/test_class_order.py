"""Which of a customer's requests goes first where its credit is short, and which retries come too late."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from driver import SETTINGS, Driver, actions_of_type

from scalelb.policy.actions import RejectRequest, SendAttempt
from scalelb.policy.events import RequestArrived
from scalelb.policy.retry_age import RetryAgeEstimator
from scalelb.policy.settings import Idempotency, Objective, RequestClass
from scalelb.program.config import ConfigError, read_settings

LOOKUP = RequestClass(latency_objective_ms=400.0, deadline_ms=1500.0, priority_weight=1.0)
BOOKING = RequestClass(
    latency_objective_ms=1000.0,
    deadline_ms=4000.0,
    idempotency=Idempotency.NOT_IDEMPOTENT,
    priority_weight=3.0,
)
BALANCED = Objective(overall_weight=0.45, worst_class_weight=0.3)
SITE = replace(SETTINGS, request_classes=(LOOKUP, BOOKING), objective=BALANCED, sends_retry_after=True)


def arrival(expires_ms: float, retry: bool = False, held_ms: float = 0.0) -> RequestArrived:
    return RequestArrived(1, "ada", 0, 0, expires_ms, 1.0, 2, is_retry=retry, queued_ms=held_ms)


def test_a_retry_is_as_old_as_the_deadline_has_lost() -> None:
    ages = RetryAgeEstimator()
    assert ages.age_ms(arrival(1200.0), LOOKUP) == 0.0
    assert ages.age_ms(arrival(1000.0, retry=True), LOOKUP) == 500.0
    assert ages.age_ms(arrival(900.0, retry=True, held_ms=100.0), LOOKUP) == 500.0


def test_a_retry_with_the_whole_patience_left_has_the_middle_of_its_possible_ages() -> None:
    # It came after at least nothing and at most the 300 ms by which the deadline is longer.
    ages = RetryAgeEstimator()
    ages.age_ms(arrival(1200.0), LOOKUP)
    assert ages.age_ms(arrival(1199.0, retry=True), LOOKUP) == 150.0


def test_a_retry_before_any_first_attempt_has_no_known_age() -> None:
    assert RetryAgeEstimator().age_ms(arrival(1000.0, retry=True), LOOKUP) == 0.0


def test_a_late_answer_of_some_worth_leaves_the_age_out() -> None:
    ages, kind = RetryAgeEstimator(), replace(LOOKUP, late_value_ratio=0.2)
    ages.age_ms(arrival(1200.0), kind)
    assert ages.age_ms(arrival(700.0, retry=True), kind) == 0.0


def test_a_retry_that_would_be_late_is_refused_and_takes_no_units() -> None:
    # Seen on a quiet day: 1,081 of 8,700 units inside the quotas went to retries that were answered too late.
    drive = Driver(SITE)
    drive.send_request(expires_in_ms=1200.0)
    balance = drive.limiter.tenants.tenants["ada"].bucket.balance
    late = drive.send_request(expires_in_ms=1000.0, is_retry=True)
    assert [a.request_id for a in actions_of_type(RejectRequest, drive.actions)] == [late]
    assert drive.limiter.tenants.tenants["ada"].bucket.balance == balance
    drive.send_request(expires_in_ms=1400.0, is_retry=True)
    assert len(actions_of_type(SendAttempt, drive.actions)) == 2


def queue_after(drive: Driver, *asked: tuple[float, int]) -> list[float]:
    """Units of the requests that wait, in order, where (units, class) are asked for with no credit left."""
    customer_of = drive.limiter.tenants.tenants
    drive.send_request(units=1.0, expires_in_ms=1500.0)
    customer = customer_of["ada"]
    customer.bucket.balance = -1.0
    customer.bucket.leased = 0.0
    customer.bucket.counter_balance = 16.0
    customer.bucket.counter_window = 0
    for units, request_class in asked:
        drive.send_request(units=units, class_index=request_class, expires_in_ms=1500.0)
    return [request.units for request in customer.queue.requests]


def test_fewest_units_go_first_where_the_worst_class_counts() -> None:
    assert queue_after(Driver(SITE), (3.0, 1), (1.0, 0), (2.0, 1), (1.5, 0)) == [1.0, 1.5, 2.0, 3.0]


def test_what_is_worth_more_goes_first_where_the_worst_class_does_not_count() -> None:
    drive = Driver(replace(SITE, objective=Objective()))
    assert queue_after(drive, (3.0, 1), (1.0, 0), (2.0, 1), (1.5, 0)) == [2.0, 3.0, 1.0, 1.5]


@pytest.mark.parametrize(
    ("objective", "precedences"),
    [
        (Objective(), (1.0, 3.0)),
        (Objective(overall_weight=0.5, worst_class_weight=0.1), (1.0, 3.0)),
        (Objective(overall_weight=0.45, worst_class_weight=0.3), (1.0, 1.0)),
    ],
)
def test_the_objective_decides_the_precedence(objective: Objective, precedences: tuple[float, ...]) -> None:
    assert replace(SITE, objective=objective).class_precedences() == precedences


def test_classes_of_no_worth_have_equal_precedence() -> None:
    free = replace(LOOKUP, priority_weight=0.0)
    assert replace(SITE, request_classes=(free, free)).class_precedences() == (1.0, 1.0)


def test_the_objective_is_read_from_the_settings() -> None:
    options = site_options({"whole": 0.45, "worst-class": 0.3})
    assert read_settings(options).objective == BALANCED
    with pytest.raises(ConfigError, match=r"objective-mix.worst-class: must be at least 0"):
        read_settings(site_options({"worst-class": -1}))


def site_options(mix: dict[str, Any]) -> dict[str, Any]:
    """A limiter's settings as the platform words them."""
    kind = {"aim-ms": 400.0, "effect": "safe", "group": "all", "hard-limit-ms": 1500.0}
    kind |= {"late-value": 0.0, "window-ms": 0.0, "worth": 1.0}
    plan = {"at-once": 0, "cap-rate": 0.0, "hard-burst": 0.0, "hard-slack": 0.0, "most-at-once": 16.0}
    plan |= {"over-cost": 1.2, "over-worth": 0.0, "pays": 0.8, "units-per-s": 1.7}
    limits = {
        "cancel": True,
        "max-retry-after-ms": 500.0,
        "probing": True,
        "retry-after": True,
        "try-limit": 3,
    }
    return {
        "index": 0,
        "balancers": 2,
        "zone": 0,
        "classes": [kind],
        "tariffs": [plan],
        "discovery": "pushed",
        "limits": limits,
        "rules": {"cold-from": 0.24, "cold-ms": 15000.0, "fall-ms": 3000.0, "fall-multiple": 3.0},
        "extra": {"count-limit-ms": 80.0, "most-units": 8, "shared-counter": True},
        "objective-mix": mix,
    }


def test_requests_of_a_shared_bucket_go_in_the_order_of_arrival() -> None:
    # Guards quotas that many limiters share: with fewest units first 85 of 96 units were used, not 96.
    drive = Driver(SITE)
    drive.send_request(units=1.0, expires_in_ms=1500.0)
    drive.limiter.tenants.tenants["ada"].bucket.is_kept_on_counter = True
    assert queue_after(drive, (3.0, 1), (1.0, 0), (2.0, 1)) == [3.0, 1.0, 2.0]
