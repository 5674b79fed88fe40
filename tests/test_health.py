"""What a limiter learns of servers from little traffic, alone and over a fleet."""

from __future__ import annotations

from dataclasses import replace

from driver import METERED, SETTINGS, Driver
from fleet import Fleet

from scalelb.routing import health
from scalelb.routing import interface as io

OPEN = replace(METERED, rate=0.0, burst=0.0)


def night(backends: int, took: object, seconds: float = 30.0, rate: float = 440.0) -> Fleet:
    """40 gateways, 11 requests a second each."""
    fleet = Fleet(40, backends=backends, plans=(OPEN,), attempt_limit=4)
    fleet.took = took  # type: ignore[assignment]

    def next_one() -> None:
        fleet.ask("c", fleet.random.randrange(40), 2.0)
        fleet.at(1000 * fleet.random.expovariate(rate), next_one)

    next_one()
    fleet.run(1000 * seconds)
    return fleet


def test_the_fleet_leaves_unreachable_servers_out() -> None:
    # Seen at a release: 40% of all attempts went to 20 servers that were gone but still listed, each limiter
    # trying each of them again within seconds, and the further attempts' budget was spent on them.
    gone = {f"s{n}" for n in range(20)}
    seen = night(60, lambda server: -1.0 if server in gone else 200.0).seen
    assert seen["refused"] < 0.002 * seen["asked"]  # four attempts that all met one, at the start
    assert (seen["sends"] - seen["asked"]) / seen["asked"] < 0.075


def test_one_silence_is_remembered_until_the_next_look() -> None:
    # Seen with 40 limiters: an answer in 5 s, marks that fade in 5 s and weigh a fifth; the bad were found
    # out by each of them, without end.
    server = next(iter(Driver(count=1).gateway.servers.values()))
    lasts = health.memory(90.0, 60)
    health.judge(server, 0.0, io.Outcome.TIMEOUT, 1500.0, 170.0, lasts)
    assert health.looks(server, 5500.0, 170.0, lasts, "") > 5 * 170.0
    assert health.looks(server, 60_000.0, 170.0, lasts, "") < 1.2 * 170.0


def test_a_server_that_can_not_be_reached_is_tried_again_at_growing_intervals() -> None:
    d = Driver(count=1)
    server = next(iter(d.gateway.servers.values()))
    pauses = []
    for _ in range(8):
        health.judge(server, d.now, io.Outcome.CONNECT_FAILED, 1000.0, 100.0, 5000.0)
        pauses.append(server.down - d.now)
    assert pauses[0] == health.DOWN_MS[0] and pauses[-1] == health.DOWN_MS[1]
    assert pauses == sorted(pauses)
    health.judge(server, d.now, io.Outcome.OK, 100.0, 100.0, 5000.0)
    assert server.down == 0.0
    health.judge(server, d.now, io.Outcome.CONNECT_FAILED, 1000.0, 100.0, 5000.0)
    d.give(io.ServersListed((replace(server.info, started_ms=d.now),), full=True))
    assert server.down == 0.0 and server.latency == d.gateway.usual  # another process: nothing is known of it


def test_a_failed_connect_spends_no_further_attempt() -> None:
    # Nothing reached a server, so there is no jam that a further attempt could keep up.
    d = Driver(replace(SETTINGS, attempt_limit=4), count=3)
    d.gateway.retries = 0.0
    d.ask(plan=1)
    d.end(d.sends()[0], io.Outcome.CONNECT_FAILED)
    assert len(d.sends()) == 2
    d.end(d.sends()[1], io.Outcome.TIMEOUT)
    assert len(d.sends()) == 2


def test_many_answers_keep_a_short_memory() -> None:
    # Guards small fleets, which pay nothing for what thin traffic needs.
    assert health.memory(10.0, 12) == health.RECOVER_MS
    assert health.memory(90.0, 60) > 2 * health.RECOVER_MS
