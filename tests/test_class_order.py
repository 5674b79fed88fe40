"""The order of a tenant's queued requests when its balance is low, and the rejection of late retries."""

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
TWO_CLASSES = replace(SETTINGS, request_classes=(LOOKUP, BOOKING), objective=BALANCED, sends_retry_after=True)


def arrival(expires_in_ms: float, is_retry: bool = False, queued_ms: float = 0.0) -> RequestArrived:
    return RequestArrived(1, "ada", 0, 0, expires_in_ms, 1.0, 2, is_retry=is_retry, queued_ms=queued_ms)


def test_age_of_a_retry_follows_from_its_shortened_deadline() -> None:
    ages = RetryAgeEstimator()
    assert ages.age_ms(arrival(1200.0), LOOKUP) == 0.0
    assert ages.age_ms(arrival(1000.0, is_retry=True), LOOKUP) == 500.0
    assert ages.age_ms(arrival(900.0, is_retry=True, queued_ms=100.0), LOOKUP) == 500.0


def test_retry_with_an_unchanged_deadline_gets_the_mean_of_its_possible_ages() -> None:
    # Its age is between 0 and the 300 ms by which the deadline is longer than the client's timeout.
    ages = RetryAgeEstimator()
    ages.age_ms(arrival(1200.0), LOOKUP)
    assert ages.age_ms(arrival(1199.0, is_retry=True), LOOKUP) == 150.0


def test_retry_before_any_first_request_has_an_unknown_age() -> None:
    assert RetryAgeEstimator().age_ms(arrival(1000.0, is_retry=True), LOOKUP) == 0.0


def test_age_is_ignored_if_late_answers_have_value() -> None:
    ages, request_class = RetryAgeEstimator(), replace(LOOKUP, late_value_ratio=0.2)
    ages.age_ms(arrival(1200.0), request_class)
    assert ages.age_ms(arrival(700.0, is_retry=True), request_class) == 0.0


def test_retry_that_would_be_late_is_rejected_and_charges_no_units() -> None:
    # Failure on a day of low load: 1,081 of 8,700 units within the quotas went to retries that were answered
    # too late.
    driver = Driver(TWO_CLASSES)
    driver.send_request(expires_in_ms=1200.0)
    balance = driver.limiter.tenants.tenants["ada"].bucket.balance
    late = driver.send_request(expires_in_ms=1000.0, is_retry=True)
    assert [a.request_id for a in actions_of_type(RejectRequest, driver.actions)] == [late]
    assert driver.limiter.tenants.tenants["ada"].bucket.balance == balance
    driver.send_request(expires_in_ms=1400.0, is_retry=True)
    assert len(actions_of_type(SendAttempt, driver.actions)) == 2


def queued_units(driver: Driver, *requests: tuple[float, int]) -> list[float]:
    """Send requests of (units, class) without a balance; return the units of the queued ones, in order."""
    tenants = driver.limiter.tenants.tenants
    driver.send_request(units=1.0, expires_in_ms=1500.0)
    tenant = tenants["ada"]
    tenant.bucket.balance = -1.0
    tenant.bucket.leased = 0.0
    tenant.bucket.counter_balance = 16.0
    tenant.bucket.counter_window = 0
    for units, class_index in requests:
        driver.send_request(units=units, class_index=class_index, expires_in_ms=1500.0)
    return [request.units for request in tenant.queue.requests]


def test_requests_with_fewest_units_go_first_if_the_worst_class_has_weight() -> None:
    assert queued_units(Driver(TWO_CLASSES), (3.0, 1), (1.0, 0), (2.0, 1), (1.5, 0)) == [1.0, 1.5, 2.0, 3.0]


def test_requests_of_highest_priority_weight_go_first_if_the_worst_class_has_no_weight() -> None:
    driver = Driver(replace(TWO_CLASSES, objective=Objective()))
    assert queued_units(driver, (3.0, 1), (1.0, 0), (2.0, 1), (1.5, 0)) == [2.0, 3.0, 1.0, 1.5]


@pytest.mark.parametrize(
    ("objective", "precedences"),
    [
        (Objective(), (1.0, 3.0)),
        (Objective(overall_weight=0.5, worst_class_weight=0.1), (1.0, 3.0)),
        (Objective(overall_weight=0.45, worst_class_weight=0.3), (1.0, 1.0)),
    ],
)
def test_the_objective_decides_the_precedence(objective: Objective, precedences: tuple[float, ...]) -> None:
    assert replace(TWO_CLASSES, objective=objective).class_precedences() == precedences


def test_classes_without_priority_weight_have_equal_precedence() -> None:
    weightless = replace(LOOKUP, priority_weight=0.0)
    assert replace(TWO_CLASSES, request_classes=(weightless, weightless)).class_precedences() == (1.0, 1.0)


def test_the_objective_is_read_from_the_settings() -> None:
    options = limiter_options({"whole": 0.45, "worst-class": 0.3})
    assert read_settings(options).objective == BALANCED
    with pytest.raises(ConfigError, match=r"objective-mix.worst-class: must be at least 0"):
        read_settings(limiter_options({"worst-class": -1}))


def limiter_options(objective_mix: dict[str, Any]) -> dict[str, Any]:
    """Return settings of one limiter in the format of the configuration."""
    request_class = {"aim-ms": 400.0, "effect": "safe", "group": "all", "hard-limit-ms": 1500.0}
    request_class |= {"late-value": 0.0, "window-ms": 0.0, "worth": 1.0}
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
        "classes": [request_class],
        "tariffs": [plan],
        "discovery": "pushed",
        "limits": limits,
        "rules": {"cold-from": 0.24, "cold-ms": 15000.0, "fall-ms": 3000.0, "fall-multiple": 3.0},
        "extra": {"count-limit-ms": 80.0, "most-units": 8, "shared-counter": True},
        "objective-mix": objective_mix,
    }


def test_requests_of_a_bucket_on_the_counter_go_in_order_of_arrival() -> None:
    # Failure with quotas that many limiters share: with fewest units first only 85 of 96 units were used.
    driver = Driver(TWO_CLASSES)
    driver.send_request(units=1.0, expires_in_ms=1500.0)
    driver.limiter.tenants.tenants["ada"].bucket.is_stored_on_counter = True
    assert queued_units(driver, (3.0, 1), (1.0, 0), (2.0, 1)) == [3.0, 1.0, 2.0]
