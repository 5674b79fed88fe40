"""The admission queue before the limiter: through the listeners, at stop and reload; its settings."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from driver import SETTINGS, Driver
from scenario import Stage
from standin import KINDS, PLANS, SITE, Backside
from test_core import Client, ask
from test_middleware import HEADERS

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.core.request_table import Verdict
from scalelb.middleware import Host, LimiterMiddleware
from scalelb.policy.housekeeping import VISITED_TENANTS
from scalelb.policy.tenant_table import MAX_TENANTS
from scalelb.program.config import ConfigError, read_admission_queue

ONE = AdmissionQueueSettings(start_requests=1.0, least_requests=1.0, most_requests=1.0)
TWO = AdmissionQueueSettings(start_requests=2.0, least_requests=2.0, most_requests=2.0)
SITE_ONE = replace(SITE, has_counter=False)

STORIES = {
    "queued request is sent once there is capacity": """
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
        backend silent
        backend2 silent
        """,
}


def queue_third_request(stage: Stage, wait: int = 7000) -> None:
    stage.play("client1 send {call(1)}\nbackend expect 0000000000000001")
    stage.play("client2 send {call(2)}\nbackend2 expect 0000000000000002")
    stage.play(f"client3 send {{call(3, wait={wait})}}\nwait 20\nclient3 silent")
    adapter = stage.loop.core.queue_adapter
    assert adapter is not None
    assert list(adapter.queue.queued.by_id) == [3]


@pytest.mark.parametrize("story", STORIES.values(), ids=STORIES.keys())
def test_queued_request_is_forwarded_once_or_never(story: str) -> None:
    stage = Stage(fairness=TWO, has_counter=False)
    queue_third_request(stage)
    stage.play(story)
    adapter = stage.loop.core.queue_adapter
    assert adapter is not None
    assert not adapter.queue.queued.by_id
    assert not adapter.queue.fair_queue.flows


def test_overdue_request_is_rejected_and_never_sent() -> None:
    stage = Stage(fairness=TWO, has_counter=False)
    queue_third_request(stage, wait=400)
    stage.play("wait 300\nclient3 expect -BUSY\nbackend send {SERVED}\nwait 20\nbackend silent")


def test_sigterm_finishes_queued_requests() -> None:
    stage = Stage(fairness=TWO, has_counter=False)
    queue_third_request(stage)
    stage.program.stop()
    stage.wait(750)
    stage.play("backend send {SERVED}\nwait 20\nbackend expect 0000000000000003\nbackend send {SERVED}")
    stage.play("client3 expect $2\\nok\\n\nbackend2 send {SERVED}")
    for number in (1, 2, 3):
        stage.play(f"client{number} close")
    stage.wait(100)
    assert stage.net.stopped


def test_sighup_leaves_queued_requests() -> None:
    stage = Stage(fairness=TWO, has_counter=False)
    queue_third_request(stage)
    stage.reload(director="127.0.0.1:7001", fairness=AdmissionQueueSettings(held_most=1))
    assert [e["at_next_start"] for e in stage.logged if e["event"] == "reloaded"] == [["SCALELB_FAIRNESS"]]
    stage.play(STORIES["queued request is sent once there is capacity"])


def test_full_core_answers_each_request_once() -> None:
    back = Backside(SITE_ONE, door=replace(ONE, held_most=5))
    clients = [ask(back, tenant=f"c{n % 7}")[0] for n in range(300)]
    back.run(10_000.0)
    assert all(len(client.answers) == 1 for client in clients)
    assert back.core.queue_adapter is not None
    door = back.core.queue_adapter.queue
    assert not (door.queued.by_id)
    assert not (door.forwarded.by_id)
    assert not (door.forwarded.unsent_by_flow)
    assert not (door.forwarded.in_flight)
    assert not back.core.open_requests


@pytest.mark.parametrize("through", [1, 2])
def test_keyed_request_queued_through_one_listener_is_charged_once_through_another(through: int) -> None:
    back = Backside(SITE_ONE, door=ONE)
    for _ in range(2):
        ask(back)
        back.run()
    keyed: dict[str, Any] = {"class_index": 1, "idempotency_key": "k1", "units": 2.0, "expires_in_ms": 4000.0}
    first, request = ask(back, listener=0, **keyed)
    back.run()
    adapter = back.core.queue_adapter
    assert adapter is not None
    assert request.request_id in adapter.queue.queued.by_id
    before = back.core.limiter.tenants.tenants["ad"].bucket.balance
    second, _ = ask(back, listener=through - 1, is_retry=True, **keyed)
    back.run()
    spent = before - back.core.limiter.tenants.tenants["ad"].bucket.balance
    assert spent == 0.0  # both wait: nothing is charged before it goes on
    door = adapter.queue
    charged: list[float] = []
    charge = back.core.limiter.sender._charge

    def counted(request: Any, now: float, whole: bool) -> None:
        charge(request, now, whole)
        charged.append(request.charged_units if request.idempotency_key else 0.0)

    back.core.limiter.sender._charge = counted  # type: ignore
    back.run(3000.0)
    assert first.answers
    assert second.answers
    assert not door.queued.by_id
    assert sum(charged) == (2.0 if through == 2 else 4.0)


def test_admissions_are_queued_and_count_as_in_flight_for_the_usual_latency() -> None:
    back = Backside(SITE_ONE, door=ONE)
    clients = [ask(back, admission_only=True)[0] for _ in range(4)]
    back.run()
    answered = [len(client.answers) for client in clients]
    assert sum(answered) < 4
    back.run(1000.0)
    assert [client.answers[0][0] for client in clients] == [Verdict.ADMITTED] * 4


def test_request_cancelled_while_queued_spends_nothing() -> None:
    back = Backside(SITE_ONE, door=ONE)
    for _ in range(2):
        ask(back)
        back.run()
    client, request = ask(back, units=3.0)
    back.run()
    balance = back.core.limiter.tenants.tenants["ad"].bucket.balance
    back.core.cancel(request)
    back.run(20.0)
    assert not client.answers
    assert back.core.limiter.tenants.tenants["ad"].bucket.balance >= balance
    assert not any(ident == str(request.request_id) for ident, _ in back.sent_attempts)


def test_middleware_uses_the_same_admission_queue() -> None:
    async def story() -> None:
        now = [1e6]
        host = Host(replace(SITE_ONE, limiter_count=3), 1, None, lambda: now[0], door=ONE)
        seen: list[int] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            seen.append(1)
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        async def one() -> None:
            headers = [(name.encode(), value.encode()) for name, value in HEADERS.items()]
            scope = {"type": "http", "headers": headers, "client": ("127.0.0.9", 1)}

            async def receive() -> Any:
                await asyncio.Event().wait()

            async def send(message: Any) -> None: ...

            await LimiterMiddleware(app, host, KINDS, PLANS)(scope, receive, send)

        asked = [asyncio.ensure_future(one()) for _ in range(4)]
        for _ in range(20):
            await asyncio.sleep(0)
        adapter = host.core.queue_adapter
        assert adapter is not None
        assert adapter.queue.queued.by_id
        assert len(seen) < 4
        for _ in range(100):
            now[0] += 10.0
            host.core.turn()
            await asyncio.sleep(0)
        await asyncio.gather(*asked)
        assert len(seen) == 4

    asyncio.run(asyncio.wait_for(story(), 30))


def test_rejections_for_quota_get_one_retry_after_time_after_another() -> None:
    back = Backside(
        replace(SITE_ONE, max_retry_after_ms=60_000.0), door=AdmissionQueueSettings(plan_rates=(4.0,))
    )
    clients: list[Client] = [ask(back, units=2.0)[0] for _ in range(40)]
    back.run()
    answers = [answer for client in clients for answer in client.answers]
    told = sorted(wait for verdict, wait in answers if verdict is Verdict.REJECTED)
    assert len(told) > 10
    gaps = [after - before for before, after in pairwise(told)]
    assert min(gaps) >= 499.0  # 2 units at 4 a second


# What the limiter remembers


def test_evicted_tenants_leave_a_record_and_get_no_fresh_burst() -> None:
    d = Driver(replace(SETTINGS, has_counter=False, limiter_count=1))
    for _ in range(6):  # ada uses all that she has
        d.send_request(sharing_limiters=1)
        d.handle(io_ended(d.sent_attempts()[-1]))
    left = d.limiter.tenants.tenants["ada"].bucket.balance
    assert left <= 0.0
    for number in range(MAX_TENANTS + 500):
        ident = d.send_request(f"c{number}", units=0.5, sharing_limiters=1)
        sent = [s for s in d.sent_attempts()[-1:] if s.request_id == ident]
        if sent:
            d.handle(io_ended(sent[0]))
    assert len(d.limiter.tenants.tenants) <= MAX_TENANTS + 8
    assert "ada" not in d.limiter.tenants.tenants
    assert d.limiter.tenants.knows("ada")
    d.send_request("ada", sharing_limiters=1)
    assert d.limiter.tenants.tenants["ada"].bucket.balance < 2.0  # what the rate brought meanwhile, no burst
    for send in d.sent_attempts()[-1:]:
        d.handle(io_ended(send))
    d.advance(30_000.0)
    assert not d.limiter.tenants.tenants
    assert not d.limiter.tenants.records.tables


def io_ended(send: Any) -> Any:
    from scalelb.policy.events import AttemptEnded, Outcome

    return AttemptEnded(send.request_id, 0, send.endpoint, Outcome.OK, 100.0, True)


def test_housekeeping_visits_are_bounded_per_turn() -> None:
    d = Driver(replace(SETTINGS, has_counter=False, limiter_count=1))
    for number in range(3 * VISITED_TENANTS):
        d.send_request(f"c{number}", units=0.5, sharing_limiters=1)
    visited: list[int] = []
    part = d.limiter._keep_house
    d.limiter._keep_house = lambda now: (part(now), visited.append(len(d.limiter.housekeeper.unvisited)))[0]  # type: ignore
    d.advance(1100.0)
    assert visited[:3] == [2 * VISITED_TENANTS, VISITED_TENANTS, 0]


# Settings


@pytest.mark.parametrize(
    ("options", "words"),
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
def test_faulty_settings_are_named_by_their_key(options: dict[str, Any], words: str) -> None:
    with pytest.raises(ConfigError, match=words):
        read_admission_queue(options, SITE, ("basic",))


def test_admission_queue_is_off_unless_turned_on() -> None:
    assert read_admission_queue({}, SITE, ("basic",)) is None
    door = read_admission_queue({"door": {"on": True}, "weights": {"basic": 2.0}}, SITE, ("basic",))
    assert door is not None
    assert door.weights == (2.0,)
    assert door.reserve
