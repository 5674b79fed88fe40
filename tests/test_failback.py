"""Slow start in a fleet: all limiters together do not overload an endpoint that is warming up."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import accumulate
from math import inf, sqrt
from random import Random

import pytest
from driver import SETTINGS, Driver, actions_of_type, serving_endpoints

from scalelb.policy import slow_start
from scalelb.policy.actions import SendAttempt
from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import AttemptEnded, EndpointsListed, Outcome

SITE = replace(SETTINGS, limiter_count=100, has_counter=False, max_attempts=6)
ENDPOINTS, WARM_UNITS_PER_S, STEP_MS = 10, 50.0, 20.0  # WARM_UNITS_PER_S: of each warm endpoint
REQUESTS_PER_S = 1.0  # at each limiter; half of what the warm endpoints can process


class Fleet:
    """Many limiters in front of a few endpoints that answer after 100 ms under any load."""

    def __init__(self, seed: int, limiters: int = SITE.limiter_count) -> None:
        self.limiter_count = limiters
        self.rng, self.now, self.outcome = Random(seed), 1000.0, Outcome.OK
        self.endpoints = serving_endpoints(ENDPOINTS)
        self.drivers: list[Driver] = []
        self.units: dict[int, float] = {}  # by request id
        self.unit_choices: tuple[float, ...] = (1.0, 2.0, 3.0, 4.0)
        self.request_count, self.requests_per_s = 0, REQUESTS_PER_S * SITE.limiter_count / limiters
        self.sends: list[tuple[float, str, float]] = []  # time, endpoint, units
        self.ends: deque[tuple[float, int, AttemptEnded]] = deque()  # time, limiter, event
        self.started_at = 0.0  # of the endpoint in slow start
        for index in range(limiters):
            self.drivers.append(self.create_driver(index))
        self.run(15_000.0)

    def create_driver(self, index: int) -> Driver:
        settings = replace(SITE, limiter_index=index, limiter_count=self.limiter_count)
        driver = Driver(settings, 0, self.now, self.rng.randrange(2**30))
        driver.handle(EndpointsListed(self.endpoints, is_complete=True))
        return driver

    def restart_limiters(self, step: int) -> None:
        """Restart each `step`-th limiter without its state; its attempts in flight continue unobserved."""
        for index in range(0, self.limiter_count, step):
            self.drivers[index] = self.create_driver(index)
            self.ends = deque(end for end in self.ends if end[1] != index)

    def publish(self, *endpoints: Endpoint) -> None:
        self.endpoints = endpoints
        for driver in self.drivers:
            driver.handle(EndpointsListed(endpoints, is_complete=True))

    def start_endpoint(self, is_alone: bool) -> None:
        """Restart the first endpoint; the other endpoints remain, unless it `is_alone`."""
        self.started_at = self.now
        starting = replace(serving_endpoints(1)[0], started_at=self.now)
        self.publish(starting, *([] if is_alone else serving_endpoints(ENDPOINTS)[1:]))

    def run(self, duration_ms: float) -> None:
        end = self.now + duration_ms
        while self.now < end:
            self.now += STEP_MS
            for driver in self.drivers:
                driver.advance(STEP_MS)
            for index, driver in enumerate(self.drivers):
                if self.rng.random() < self.requests_per_s * STEP_MS / 1000:
                    self.submit_request(index)
                self.collect_sends(index, driver)
            while self.ends and self.ends[0][0] <= self.now:
                _, index, ended = self.ends.popleft()
                self.drivers[index].handle(ended)
                self.collect_sends(index, self.drivers[index])

    def submit_request(self, index: int) -> None:
        driver, units = self.drivers[index], self.rng.choice(self.unit_choices)
        self.request_count += 1
        driver.last_request_id = self.request_count
        self.units[driver.last_request_id + 1] = units
        driver.send_request(f"c{self.rng.randrange(5)}", units, plan_index=1)

    def collect_sends(self, index: int, driver: Driver) -> None:
        for action in actions_of_type(SendAttempt, driver.actions):
            self.sends.append((self.now, action.endpoint, self.units[action.request_id]))
            is_starting = self.started_at > 0 and action.endpoint == "s0"
            outcome = self.outcome if is_starting else Outcome.OK
            request = driver.limiter.requests[action.request_id]
            ended = AttemptEnded(
                action.request_id,
                request.attempts_sent - 1,
                action.endpoint,
                outcome,
                100.0,
                outcome is Outcome.OK,
            )
            self.ends.append((self.now + 100.0, index, ended))
        driver.actions.clear()

    def capacity_ratio(self, at: float) -> float:
        return min(
            1.0,
            SITE.slow_start_initial_ratio
            + (1 - SITE.slow_start_initial_ratio) * (at - self.started_at) / SITE.slow_start_ms,
        )

    def sends_to_starting_endpoint(self, after_ms: float = 0.0) -> list[tuple[float, float]]:
        """Return time and units of each send, from `after_ms` after the endpoint's start on."""
        return [
            (at, units) for at, name, units in self.sends if name == "s0" and at >= self.started_at + after_ms
        ]

    def max_excess(self) -> float:
        """Return by how many mean requests the fullest overload window exceeds its limit; negative if below.

        The limit is N plus a tolerance for random variation of 2 x root of N + 2, where N is what the
        settings allow all limiters together at that time.
        """
        sends, mean_units = self.sends_to_starting_endpoint(), sum(self.unit_choices) / len(self.unit_choices)
        assert sends, "nothing was sent, so nothing was checked"
        times, sums = [at for at, _ in sends], [0.0, *accumulate(units / mean_units for _, units in sends)]
        max_requests = SITE.overload_multiple * WARM_UNITS_PER_S / mean_units * SITE.overload_window_ms / 1000
        max_excess = -inf
        for position, at in enumerate(times):
            allowed = max_requests * self.capacity_ratio(at)
            received = sums[position + 1] - sums[bisect_right(times, at - SITE.overload_window_ms)]
            max_excess = max(max_excess, received - allowed - 2 * sqrt(allowed) - 2)
        return max_excess

    def max_window_ratio(self) -> float:
        """Return the units of the fullest overload window, relative to the units that are allowed in it."""
        sends = self.sends_to_starting_endpoint()
        times, sums = [at for at, _ in sends], [0.0, *accumulate(units for _, units in sends)]
        max_units = SITE.overload_multiple * WARM_UNITS_PER_S * SITE.overload_window_ms / 1000
        ratios = (
            (sums[position + 1] - sums[bisect_right(times, at - SITE.overload_window_ms)])
            / (max_units * self.capacity_ratio(at))
            for position, at in enumerate(times)
        )
        return max(ratios, default=0.0)


def with_other_endpoints(fleet: Fleet) -> None:
    fleet.start_endpoint(is_alone=False)
    fleet.run(6000.0)


def without_other_endpoints(fleet: Fleet) -> None:
    fleet.start_endpoint(is_alone=True)
    fleet.run(6000.0)


def with_queued_requests(fleet: Fleet) -> None:
    fleet.publish()
    fleet.run(1000.0)
    without_other_endpoints(fleet)


def with_retries_of_rejected_attempts(fleet: Fleet) -> None:
    fleet.outcome = Outcome.REJECTED
    without_other_endpoints(fleet)


def with_restarts_of_all_limiters(fleet: Fleet) -> None:
    fleet.start_endpoint(is_alone=True)
    for _ in range(6):
        fleet.restart_limiters(1)
        fleet.run(1000.0)


def with_restarts_of_some_limiters(fleet: Fleet) -> None:
    fleet.start_endpoint(is_alone=True)
    for step in (2, 3, 2, 3, 2, 3):
        fleet.restart_limiters(step)
        fleet.run(1000.0)


def with_an_endpoint_list_that_flaps(fleet: Fleet) -> None:
    fleet.start_endpoint(is_alone=True)
    [starting] = fleet.endpoints
    for _ in range(15):
        fleet.publish()
        fleet.run(60.0)
        fleet.publish(starting)
        fleet.run(340.0)


def with_a_burst_after_idle_time(fleet: Fleet) -> None:
    requests_per_s, fleet.requests_per_s = fleet.requests_per_s, 0.0
    fleet.start_endpoint(is_alone=True)
    fleet.run(4000.0)
    for index in range(fleet.limiter_count):
        fleet.submit_request(index)
    fleet.requests_per_s = requests_per_s
    fleet.run(2000.0)


def with_expensive_requests(fleet: Fleet) -> None:
    fleet.unit_choices = (4.0,)
    without_other_endpoints(fleet)


SCENARIOS = [
    with_other_endpoints,
    without_other_endpoints,
    with_queued_requests,
    with_retries_of_rejected_attempts,
    with_restarts_of_all_limiters,
    with_restarts_of_some_limiters,
    with_an_endpoint_list_that_flaps,
    with_a_burst_after_idle_time,
    with_expensive_requests,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_warming_endpoint_is_not_overloaded(scenario: Callable[[Fleet], None]) -> None:
    # Guards against the overload of a started endpoint in a failback: 400 to 600 limiters overloaded it when
    # each could send its first request freely, or drew repeatedly among the few remaining endpoints.
    fleet = Fleet(seed=11)
    scenario(fleet)
    assert fleet.max_window_ratio() <= 1.0


@pytest.mark.parametrize("limiters", [20, 30, 200])
@pytest.mark.parametrize(
    "scenario",
    [with_restarts_of_some_limiters, with_a_burst_after_idle_time],
    ids=lambda scenario: scenario.__name__,
)
def test_budget_of_a_warming_endpoint_holds_for_any_number_of_limiters(
    scenario: Callable[[Fleet], None], limiters: int
) -> None:
    # A warming endpoint fails under the sum of what all limiters send, including restarted ones.
    fleet = Fleet(seed=21, limiters=limiters)
    scenario(fleet)
    assert fleet.max_excess() <= 0.0


def test_check_of_the_sum_detects_limiters_that_each_use_the_whole_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Planted fault: each limiter uses the whole budget instead of its share.
    monkeypatch.setattr(slow_start, "BUDGET_RATIO", 20 * slow_start.BUDGET_RATIO)
    fleet = Fleet(seed=21, limiters=20)
    without_other_endpoints(fleet)
    assert fleet.max_excess() > 0.0


def test_warming_endpoint_gets_an_increasing_share_of_the_work() -> None:
    # Guards against too small a budget: an endpoint that warms up only through work would never become warm.
    # The mean of four seeds is checked, as an endpoint's share in a single one varies by a third.
    units_received = [0.0, 0.0, 0.0]
    for seed in (12, 13, 14, 15):
        fleet = Fleet(seed=seed)
        fleet.start_endpoint(is_alone=False)
        fleet.run(14_000.0)
        for position, after_ms in enumerate((0.0, 7000.0, 11_000.0)):
            end = fleet.started_at + after_ms + 3000.0
            units_received[position] += (
                sum(units for at, units in fleet.sends_to_starting_endpoint(after_ms) if at < end) / 4
            )
    # Units that each of the other endpoints receives in 3 s.
    warm_units = REQUESTS_PER_S * SITE.limiter_count * 2.5 / ENDPOINTS * 3.0
    early, late, warm = units_received
    assert early > 0.1 * warm_units
    assert late > 0.4 * warm_units
    assert warm > 0.7 * warm_units


def test_warming_endpoint_is_used_if_there_is_no_other() -> None:
    fleet = Fleet(seed=13)
    fleet.start_endpoint(is_alone=True)
    fleet.run(4000.0)
    possible_units = (
        WARM_UNITS_PER_S * sum(fleet.capacity_ratio(fleet.started_at + ms) for ms in range(0, 4000, 100)) / 10
    )
    assert sum(units for _, units in fleet.sends_to_starting_endpoint()) > 0.25 * possible_units


def test_answers_of_removed_endpoints_do_not_count_as_work_of_the_others() -> None:
    # Guards against attributing answers that arrive after an endpoint's removal to the remaining endpoints.
    driver = Driver(count=2)
    driver.send_request(plan_index=1)
    [send] = driver.sent_attempts()
    driver.handle(
        EndpointsListed(tuple(s for s in serving_endpoints(2) if s.name != send.endpoint), is_complete=True)
    )
    work_units = driver.limiter.selector.slow_start.work_units
    driver.end_attempt(send, true_units=3.0)
    assert driver.limiter.selector.slow_start.work_units == work_units
