"""What a limiter learns of servers from little traffic, alone and over a fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from driver import METERED, SETTINGS, Driver
from fleet import Fleet

from scalelb.policy import outlier_detection
from scalelb.policy.events import EndpointsListed, Outcome

OPEN = replace(METERED, rate_per_s=0.0, burst=0.0)


def night(backends: int, took: object, seconds: float = 30.0, rate: float = 440.0) -> Fleet:
    """40 gateways, 11 requests a second each."""
    fleet = Fleet(40, backends=backends, plans=(OPEN,), max_attempts=4)
    fleet.attempt_duration_ms = took  # type: ignore[assignment]

    def next_one() -> None:
        fleet.send_request("c", fleet.random.randrange(40), 2.0)
        fleet.schedule(1000 * fleet.random.expovariate(rate), next_one)

    next_one()
    fleet.run(1000 * seconds)
    return fleet


def test_the_fleet_leaves_unreachable_servers_out() -> None:
    # Seen at a release: 40% of all attempts went to 20 servers that were gone but still listed, each limiter
    # trying each of them again within seconds, and the further attempts' budget was spent on them.
    gone = {f"s{n}" for n in range(20)}
    seen = night(60, lambda server: -1.0 if server in gone else 200.0).counts
    assert seen["rejected"] < 0.002 * seen["requests"]  # four attempts that all met one, at the start
    assert (seen["attempts"] - seen["requests"]) / seen["requests"] < 0.075


def test_one_silence_is_remembered_until_the_next_look() -> None:
    # Seen with 40 limiters: an answer in 5 s, marks that fade in 5 s and weigh a fifth; the bad were found
    # out by each of them, without end.
    server = next(iter(Driver(count=1).limiter.selector.endpoints.values()))
    lasts = outlier_detection.fault_memory_ms(90.0, 60)
    server.record_outcome(0.0, Outcome.TIMEOUT, 1500.0, 170.0, lasts)
    assert server.perceived_latency_ms(5500.0, 170.0, lasts, "") > 5 * 170.0
    assert server.perceived_latency_ms(60_000.0, 170.0, lasts, "") < 1.2 * 170.0


def test_a_server_that_can_not_be_reached_is_tried_again_at_growing_intervals() -> None:
    d = Driver(count=1)
    server = next(iter(d.limiter.selector.endpoints.values()))
    pauses = []
    for _ in range(8):
        server.record_outcome(d.now, Outcome.CONNECT_FAILED, 1000.0, 100.0, 5000.0)
        pauses.append(server.ejected_until - d.now)
    assert pauses[0] == outlier_detection.MIN_EJECTION_MS
    assert pauses[-1] == outlier_detection.MAX_EJECTION_MS
    assert pauses == sorted(pauses)
    server.record_outcome(d.now, Outcome.OK, 100.0, 100.0, 5000.0)
    assert server.ejected_until == 0.0
    server.record_outcome(d.now, Outcome.CONNECT_FAILED, 1000.0, 100.0, 5000.0)
    d.give(EndpointsListed((replace(server.endpoint, started_at=d.now),), is_complete=True))
    assert server.ejected_until == 0.0
    assert server.latency_ms == d.limiter.estimates.latency_ms


def test_a_failed_connect_spends_no_further_attempt() -> None:
    # Nothing reached a server, so there is no jam that a further attempt could keep up.
    d = Driver(replace(SETTINGS, max_attempts=4), count=3)
    d.limiter.retries.budget.retries = 0.0
    d.ask(plan_index=1)
    d.end(d.sends()[0], Outcome.CONNECT_FAILED)
    assert len(d.sends()) == 2
    d.end(d.sends()[1], Outcome.TIMEOUT)
    assert len(d.sends()) == 2


def test_many_answers_keep_a_short_memory() -> None:
    # Guards small fleets, which pay nothing for what thin traffic needs.
    assert outlier_detection.fault_memory_ms(10.0, 12) == outlier_detection.FAULT_MEMORY_MS
    assert outlier_detection.fault_memory_ms(90.0, 60) > 2 * outlier_detection.FAULT_MEMORY_MS


def test_a_new_connection_costs_what_the_settings_say_and_nothing_where_they_say_nothing() -> None:
    # Guards both ways: a server whose free connection was used up, closed or has rested too long is not taken
    # for one that has another, and a fleet without a price chooses as before.
    server = next(iter(Driver(count=1).limiter.selector.endpoints.values()))

    def look(at: float, opening: float = 100.0) -> float:
        return server.perceived_latency_ms(at, 100.0, 5000.0, "", 1000.0, opening)

    server.latency_ms = 100.0
    assert look(0.0) == 200.0
    assert look(0.0, opening=0.0) == 100.0
    for outcome, kept in ((Outcome.OK, True), (Outcome.RESET, False), (Outcome.TIMEOUT, False)):
        server.reset(100.0)
        server.record_outcome(10.0, outcome, 100.0, 100.0, 5000.0)
        assert (look(20.0) == look(20.0, opening=0.0)) is kept
    server.reset(100.0)
    server.record_outcome(10.0, Outcome.REJECTED, 100.0, 100.0, 5000.0)
    assert look(1009.0) == look(1009.0, opening=0.0)
    assert look(1011.0) > look(1011.0, opening=0.0)
    server.record_send(20.0, 1000.0)
    assert server.idle_connections == 0
    assert look(21.0) > look(21.0, opening=0.0)


@pytest.mark.parametrize("price", [0.0, 0.08])
def test_hundreds_of_limiters_do_not_open_a_connection_to_every_server_each(price: float) -> None:
    # Seen with 214 limiters before 112 backends: a new connection for every second try, 60 open at a limiter,
    # 0.046 of the worth.
    count, settings = 60, replace(SETTINGS, limiter_count=40, handshake_cost=price, idle_timeout_ms=30_000.0)
    opened = tries = 0
    load: Counter[str] = Counter()
    for index in range(40):
        d, free = Driver(replace(settings, limiter_index=index), count=count, seed=index), Counter[str]()
        for _ in range(100):
            d.ask(plan_index=1)
            server = d.sends()[-1].endpoint
            opened, tries = opened + (not free[server]), tries + 1
            free[server], load[server] = 1, load[server] + 1
            d.wait(100.0)
            d.end(d.sends()[-1])
    assert opened / tries < (0.2 if price else 0.35), opened / tries
    assert len(load) == count
    assert max(load.values()) < 5 * tries / count
