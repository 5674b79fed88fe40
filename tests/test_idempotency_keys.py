"""Idempotency keys whose duplicates only one zone drops: preferred groups, and records shared by limiters."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from scalelb.core.incoming_request import IncomingRequest
from scalelb.lab.idempotency import BEGIN_MS, CLASS, Case, Run
from scalelb.lab.model import START_MS
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.idempotency_keys import preferred_groups
from scalelb.program.idempotency_records import MAX_OWN_KEYS, MAX_PEER_KEYS, IdempotencyRecords
from scalelb.replication import Incarnation

SMALL = Case(requests=1500, per_s=300.0, kills_per_s=4.0)


@given(st.text(min_size=1), st.sets(st.integers(0, 9), min_size=1), st.integers(0, 9))
def test_removed_group_moves_only_its_own_keys(key: str, groups: set[int], removed: int) -> None:
    before, after = preferred_groups(key, groups), preferred_groups(key, groups - {removed})
    assert set(before) == groups
    assert len(before) == len(groups)
    assert after == [group for group in before if group != removed]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_retry_through_another_limiter_goes_to_the_preferred_group_of_its_key(seed: int) -> None:
    # Guards against executions in two zones: without preferred groups, 0.6% of 10,000 requests ran in two.
    with_groups = Run(replace(SMALL, seed=seed, linked=False)).play()
    without_groups = Run(replace(SMALL, seed=seed, linked=False, keys=False)).play()
    assert with_groups["twice"] == 0 < without_groups["twice"]
    assert with_groups["served"] == SMALL.requests == without_groups["served"]


def test_peer_records_prevent_duplicates_while_endpoint_lists_change() -> None:
    lost_zones = replace(SMALL, requests=4000, lost_zones=True, retry_delay_ms=(900.0, 1500.0))
    linked = [Run(replace(lost_zones, seed=seed)).play() for seed in (1, 2)]
    unlinked = [Run(replace(lost_zones, seed=seed, linked=False)).play() for seed in (1, 2)]
    assert sum(run["twice"] for run in linked) == 0 < sum(run["twice"] for run in unlinked)
    assert all(run["served"] + run.get("failed", 0) == lost_zones.requests for run in linked)


def submit(run: Run, limiter_index: int, key: str, **fields: Any) -> Any:
    """Submit a request to a limiter; return the list that receives its verdict."""
    limiter: Any = run.limiters[limiter_index]
    verdicts: list[str] = []

    class Caller:
        def on_answer(self, request: Any, verdict: Any, value: Any, retry_after_ms: float) -> None:
            verdicts.append(verdict.value)

    incoming = IncomingRequest(
        tenant="c", plan_index=0, class_index=0, expires_in_ms=900.0, units=1.0, sharing_limiters=8,
        idempotency_key=key, **fields,
    )  # fmt: skip
    limiter.timed(limiter.core.submit, Caller(), (None, 50.0, key), incoming)
    return verdicts


def test_retry_fails_if_the_zone_that_may_have_executed_it_is_gone() -> None:
    run = Run(Case(requests=0))
    run.run(BEGIN_MS)
    submit(run, 1, "k1")
    run.run(run.now + 20.0)  # the request executes; then its limiter is killed, and its zone is removed
    (zone,) = run.zones_by_key["k1"]
    run.kill(1, 1e9)
    run.run(run.now + 600.0)
    for limiter in run.limiters:
        run.update_endpoints(limiter, zone, EndpointState.REMOVED)
    retry = submit(run, 4, "k1")
    run.run(run.now + 1500.0)
    assert retry == ["failed"]
    assert run.zones_by_key["k1"] == {zone}
    other_key = submit(run, 4, "k2")  # goes to a remaining zone
    run.run(run.now + 1500.0)
    assert other_key == ["served"]


class RecordLog:
    """An `IdempotencyRecords` on an empty core, and the entries that it has written."""

    def __init__(self) -> None:
        self.written: dict[str, Any] = {}
        self.now = START_MS
        core: Any = type("Core", (), {"replicas": None})()
        self.records = IdempotencyRecords(core, lambda: self.now, self.write, lambda: None)

    def write(self, key: str, value: Any) -> None:
        self.written[key] = value
        if value is None:
            del self.written[key]


INCARNATION, OTHER_INCARNATION = Incarnation("n1", 1, 7), Incarnation("n2", 1, 9)


@pytest.mark.parametrize(
    "value",
    [
        7, [], [0, 0, START_MS], [0, 0, "x", 1], [True, 0, START_MS, START_MS + 9],
        [0, 0, START_MS, START_MS], [0, 0, float("nan"), START_MS + 9], [0, 0, START_MS, START_MS + 1e9],
        [0, 0, START_MS - 1e9, START_MS + 9], [0, 0, START_MS + 9, START_MS + 5],
        [0.5, 0, START_MS, START_MS + 9],
    ],
)  # fmt: skip
def test_malformed_entry_is_ignored(value: Any) -> None:
    log = RecordLog()
    log.records.on_entry(INCARNATION, "c k", value)
    assert log.records.find_execution("c", "k") is None


def test_older_of_two_entries_is_valid_until_its_window_ends() -> None:
    log = RecordLog()
    log.records.on_entry(INCARNATION, "c k", [2, 0, START_MS - 100, START_MS + 3900])
    log.records.on_entry(OTHER_INCARNATION, "c k", [1, 0, START_MS - 50, START_MS + 3950])
    log.records.on_entry(OTHER_INCARNATION, "c k", None)
    execution = log.records.find_execution("c", "k")
    assert execution is not None
    assert (execution[0].zone, execution[1]) == (2, START_MS - 100)
    log.now += 4000.0
    assert log.records.find_execution("c", "k") is None
    log.records.tick(log.now)
    assert not log.records.peer_attempts


def test_numbers_of_own_keys_and_peer_keys_are_bounded() -> None:
    log = RecordLog()
    attempts: dict[Any, Any] = {}
    endpoint = type("TrackedEndpoint", (), {"endpoint": Endpoint("s", EndpointState.SERVING, zone=1)})()
    attempts[1, 0] = type("Attempt", (), {"endpoint": endpoint})()
    limiter: Any = type("Limiter", (), {"attempts": attempts})()
    log.records.core.limiter = limiter
    tenant = type("Tenant", (), {"name": "c"})()
    for number in range(MAX_OWN_KEYS + 100):
        fields: Any = {
            "request_class": CLASS,
            "idempotency_key": str(number),
            "tenant": tenant,
            "request_id": 1,
            "attempts_sent": 1,
        }
        request: Any = type("Request", (), fields)()
        log.records.record_attempt(request)
    assert len(log.records.own_ends_at) == len(log.written) == MAX_OWN_KEYS
    assert "k:c 0" not in log.written
    for number in range(MAX_PEER_KEYS + 100):
        log.records.on_entry(INCARNATION, f"c {number}", [0, 0, START_MS, START_MS + 4000])
    assert len(log.records.peer_attempts) == MAX_PEER_KEYS
    log.now += 5000.0
    for _ in range(MAX_PEER_KEYS):
        log.records.tick(log.now)
        if not log.records.peer_attempts and not log.records.own_ends_at:
            break
    assert not log.records.peer_attempts
    assert not log.written
