"""The admission queue in front of the limiter: requests of all listeners, shutdown, reload, its settings."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from driver import SETTINGS, Driver
from scenario import Harness
from standin import CLASS_NAMES, LIMITER_SETTINGS, PLAN_NAMES, CoreHarness
from test_core import RecordingClient, submit
from test_middleware import HEADERS

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.core.request_table import Verdict
from scalelb.middleware import Host, LimiterMiddleware
from scalelb.policy.housekeeping import VISITED_TENANTS
from scalelb.policy.tenant_table import MAX_TENANTS
from scalelb.program.config import ConfigError, read_admission_queue

ONE_IN_FLIGHT = AdmissionQueueSettings(start_requests=1.0, least_requests=1.0, most_requests=1.0)
TWO_IN_FLIGHT = AdmissionQueueSettings(start_requests=2.0, least_requests=2.0, most_requests=2.0)
NO_COUNTER = replace(LIMITER_SETTINGS, has_counter=False)

SCENARIOS = {
    "queued request is sent when there is capacity": """
        backend send {SERVED}
        wait 20
        backend expect 0000000000000003
        backend send {SERVED}
        client3 expect $2\\nok\\n
        """,
    "request cancelled while queued is never sent": """
        client3 close
        backend send {SERVED}
        backend2 send {SERVED}
        wait 3000
        backend expect-nothing
        backend2 expect-nothing
        """,
}


def queue_third_request(harness: Harness, wait: int = 7000) -> None:
    harness.run("client1 send {call(1)}\nbackend expect 0000000000000001")
    harness.run("client2 send {call(2)}\nbackend2 expect 0000000000000002")
    harness.run(f"client3 send {{call(3, wait={wait})}}\nwait 20\nclient3 expect-nothing")
    adapter = harness.loop.core.queue_adapter
    assert adapter is not None
    assert list(adapter.queue.queued.by_id) == [3]


@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS.keys())
def test_queued_request_is_forwarded_at_most_once(scenario: str) -> None:
    harness = Harness(fairness=TWO_IN_FLIGHT, has_counter=False)
    queue_third_request(harness)
    harness.run(scenario)
    adapter = harness.loop.core.queue_adapter
    assert adapter is not None
    assert not adapter.queue.queued.by_id
    assert not adapter.queue.fair_queue.flows


def test_overdue_request_is_rejected_and_never_sent() -> None:
    harness = Harness(fairness=TWO_IN_FLIGHT, has_counter=False)
    queue_third_request(harness, wait=400)
    harness.run("wait 300\nclient3 expect -BUSY\nbackend send {SERVED}\nwait 20\nbackend expect-nothing")


def test_queued_requests_are_finished_after_sigterm() -> None:
    harness = Harness(fairness=TWO_IN_FLIGHT, has_counter=False)
    queue_third_request(harness)
    harness.program.stop()
    harness.wait(750)
    harness.run("backend send {SERVED}\nwait 20\nbackend expect 0000000000000003\nbackend send {SERVED}")
    harness.run("client3 expect $2\\nok\\n\nbackend2 send {SERVED}")
    for number in (1, 2, 3):
        harness.run(f"client{number} close")
    harness.wait(100)
    assert harness.net.stopped


def test_sighup_does_not_affect_queued_requests() -> None:
    harness = Harness(fairness=TWO_IN_FLIGHT, has_counter=False)
    queue_third_request(harness)
    harness.reload(director="127.0.0.1:7001", fairness=AdmissionQueueSettings(max_queued=1))
    assert [entry["at_next_start"] for entry in harness.logged if entry["event"] == "reloaded"] == [
        ["SCALELB_FAIRNESS"]
    ]
    harness.run(SCENARIOS["queued request is sent when there is capacity"])


def test_each_request_is_answered_once_when_the_queue_is_full() -> None:
    harness = CoreHarness(NO_COUNTER, queue_settings=replace(ONE_IN_FLIGHT, max_queued=5))
    clients = [submit(harness, tenant=f"c{n % 7}")[0] for n in range(300)]
    harness.run(10_000.0)
    assert all(len(client.answers) == 1 for client in clients)
    assert harness.core.queue_adapter is not None
    queue = harness.core.queue_adapter.queue
    assert not (queue.queued.by_id)
    assert not (queue.forwarded.by_id)
    assert not (queue.forwarded.unsent_by_flow)
    assert not (queue.forwarded.in_flight)
    assert not harness.core.open_requests


@pytest.mark.parametrize("second_listener", [1, 2])
def test_keyed_request_queued_through_one_listener_is_charged_once_through_another(
    second_listener: int,
) -> None:
    harness = CoreHarness(NO_COUNTER, queue_settings=ONE_IN_FLIGHT)
    for _ in range(2):
        submit(harness)
        harness.run()
    keyed: dict[str, Any] = {"class_index": 1, "idempotency_key": "k1", "units": 2.0, "expires_in_ms": 4000.0}
    first, request = submit(harness, listener=0, **keyed)
    harness.run()
    adapter = harness.core.queue_adapter
    assert adapter is not None
    assert request.request_id in adapter.queue.queued.by_id
    balance_before = harness.core.limiter.tenants.tenants["ad"].bucket.balance
    second, _ = submit(harness, listener=second_listener - 1, is_retry=True, **keyed)
    harness.run()
    spent_units = balance_before - harness.core.limiter.tenants.tenants["ad"].bucket.balance
    assert spent_units == 0.0  # both are queued: nothing is charged before a request is forwarded
    queue = adapter.queue
    charged: list[float] = []
    charge = harness.core.limiter.sender._charge

    def recording_charge(request: Any, now: float, is_charged: bool) -> None:
        charge(request, now, is_charged)
        charged.append(request.charged_units if request.idempotency_key else 0.0)

    harness.core.limiter.sender._charge = recording_charge  # type: ignore
    harness.run(3000.0)
    assert first.answers
    assert second.answers
    assert not queue.queued.by_id
    assert sum(charged) == (2.0 if second_listener == 2 else 4.0)


def test_admissions_are_queued_and_count_as_in_flight_for_the_usual_latency() -> None:
    harness = CoreHarness(NO_COUNTER, queue_settings=ONE_IN_FLIGHT)
    clients = [submit(harness, admission_only=True)[0] for _ in range(4)]
    harness.run()
    answered = [len(client.answers) for client in clients]
    assert sum(answered) < 4
    harness.run(1000.0)
    assert [client.answers[0][0] for client in clients] == [Verdict.ADMITTED] * 4


def test_request_cancelled_while_queued_spends_nothing() -> None:
    harness = CoreHarness(NO_COUNTER, queue_settings=ONE_IN_FLIGHT)
    for _ in range(2):
        submit(harness)
        harness.run()
    client, request = submit(harness, units=3.0)
    harness.run()
    balance = harness.core.limiter.tenants.tenants["ad"].bucket.balance
    harness.core.cancel(request)
    harness.run(20.0)
    assert not client.answers
    assert harness.core.limiter.tenants.tenants["ad"].bucket.balance >= balance
    assert not any(request_id == str(request.request_id) for request_id, _ in harness.sent_attempts)


def test_middleware_uses_the_same_admission_queue() -> None:
    async def scenario() -> None:
        clock_ms = [1e6]
        host = Host(replace(NO_COUNTER, limiter_count=3), 1, None, lambda: clock_ms[0], door=ONE_IN_FLIGHT)
        app_calls: list[int] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            app_calls.append(1)
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        async def send_request() -> None:
            headers = [(name.encode(), value.encode()) for name, value in HEADERS.items()]
            scope = {"type": "http", "headers": headers, "client": ("127.0.0.9", 1)}

            async def receive() -> Any:
                await asyncio.Event().wait()

            async def send(message: Any) -> None: ...

            await LimiterMiddleware(app, host, CLASS_NAMES, PLAN_NAMES)(scope, receive, send)

        tasks = [asyncio.ensure_future(send_request()) for _ in range(4)]
        for _ in range(20):
            await asyncio.sleep(0)
        adapter = host.core.queue_adapter
        assert adapter is not None
        assert adapter.queue.queued.by_id
        assert len(app_calls) < 4
        for _ in range(100):
            clock_ms[0] += 10.0
            host.core.turn()
            await asyncio.sleep(0)
        await asyncio.gather(*tasks)
        assert len(app_calls) == 4

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_rejections_because_of_the_quota_get_retry_after_times_spaced_by_its_rate() -> None:
    harness = CoreHarness(
        replace(NO_COUNTER, max_retry_after_ms=60_000.0),
        queue_settings=AdmissionQueueSettings(plan_rates=(4.0,)),
    )
    clients: list[RecordingClient] = [submit(harness, units=2.0)[0] for _ in range(40)]
    harness.run()
    answers = [answer for client in clients for answer in client.answers]
    waits_ms = sorted(wait for verdict, wait in answers if verdict is Verdict.REJECTED)
    assert len(waits_ms) > 10
    gaps = [after - before for before, after in pairwise(waits_ms)]
    assert min(gaps) >= 499.0  # 2 units at 4 per second


# State of tenants


def test_evicted_tenants_leave_a_record_and_get_no_fresh_burst() -> None:
    driver = Driver(replace(SETTINGS, has_counter=False, limiter_count=1))
    for _ in range(6):  # ada uses up its balance
        driver.send_request(sharing_limiters=1)
        driver.handle(attempt_succeeded(driver.sent_attempts()[-1]))
    balance = driver.limiter.tenants.tenants["ada"].bucket.balance
    assert balance <= 0.0
    for number in range(MAX_TENANTS + 500):
        request_id = driver.send_request(f"c{number}", units=0.5, sharing_limiters=1)
        sent = [s for s in driver.sent_attempts()[-1:] if s.request_id == request_id]
        if sent:
            driver.handle(attempt_succeeded(sent[0]))
    assert len(driver.limiter.tenants.tenants) <= MAX_TENANTS + 8
    assert "ada" not in driver.limiter.tenants.tenants
    assert driver.limiter.tenants.knows("ada")
    driver.send_request("ada", sharing_limiters=1)
    assert driver.limiter.tenants.tenants["ada"].bucket.balance < 2.0  # the refill since then, no burst
    for send in driver.sent_attempts()[-1:]:
        driver.handle(attempt_succeeded(send))
    driver.advance(30_000.0)
    assert not driver.limiter.tenants.tenants
    assert not driver.limiter.tenants.records.tables


def attempt_succeeded(send: Any) -> Any:
    from scalelb.policy.events import AttemptEnded, Outcome

    return AttemptEnded(send.request_id, 0, send.endpoint, Outcome.OK, 100.0, True)


def test_number_of_tenants_visited_by_housekeeping_is_bounded_per_turn() -> None:
    driver = Driver(replace(SETTINGS, has_counter=False, limiter_count=1))
    for number in range(3 * VISITED_TENANTS):
        driver.send_request(f"c{number}", units=0.5, sharing_limiters=1)
    visited: list[int] = []
    keep_house = driver.limiter._housekeep
    driver.limiter._housekeep = lambda now: (  # type: ignore
        keep_house(now),
        visited.append(len(driver.limiter.housekeeper.unvisited)),  # type: ignore
    )[0]
    driver.advance(1100.0)
    assert visited[:3] == [2 * VISITED_TENANTS, VISITED_TENANTS, 0]


# Settings


@pytest.mark.parametrize(
    ("options", "message"),
    [
        ({"weights": {"basic": 0.0}}, "weights.basic: must be above 0"),
        ({"weights": {"basic": float("nan")}}, "weights.basic: must be a number"),
        ({"weights": {"strangers": -1.0}}, "weights.strangers"),
        ({"weights": {"gold": 1.0}}, "weights.gold: not known"),
        ({"door": {"flows": "name"}}, "door.flows: must be one of customer, client"),
        ({"door": {"on": "yes"}}, "door.on: must be true or false"),
        ({"door": {"held": 0}}, "door.held: must be at least 1"),
        ({"promises": {"grace_ms": float("inf")}}, "promises.grace_ms: must be a number"),
        ({"limit": {"start_requests": 5000}}, "limit.start_requests: must lie between"),
        ({"limit": {"tolerance": 10}}, "limit.tolerance: must be under 10"),
        ({"queue": {}}, "queue: not known"),
        ({"door": 1}, "door: must be an object"),
    ],
)
def test_faulty_settings_are_reported_by_their_key(options: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        read_admission_queue(options, LIMITER_SETTINGS, ("basic",))


def test_admission_queue_is_off_unless_turned_on() -> None:
    assert read_admission_queue({}, LIMITER_SETTINGS, ("basic",)) is None
    queue_settings = read_admission_queue(
        {"door": {"on": True}, "weights": {"basic": 2.0}}, LIMITER_SETTINGS, ("basic",)
    )
    assert queue_settings is not None
    assert queue_settings.weights == (2.0,)
    assert queue_settings.reserve
