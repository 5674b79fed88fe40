"""External authorization: a stand-in gateway asks over gRPC on loopback; time is moved by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import grpc
import pytest
from google.rpc import code_pb2
from grpc_health.v1 import health_pb2, health_pb2_grpc
from standin import CLASS_NAMES, LIMITER_SETTINGS, PLAN_NAMES, CoreHarness, InMemoryCounter

from scalelb.core.incoming_request import IncomingRequest
from scalelb.policy.settings import Plan
from scalelb.protocol.agentcheck import Status
from scalelb.transport.authz import external_auth_pb2 as pb
from scalelb.transport.authz.front import Authorization, GrpcFront

ADA = "00000000000000ad"
HEADERS = {"x-customer": ADA, "x-priority-class": "record-answer", "x-plan": "basic"}


def question(**more: str) -> pb.CheckRequest:
    headers = HEADERS | {name.replace("_", "-"): value for name, value in more.items()}
    http = pb.AttributeContext.HttpRequest(headers=headers)
    return pb.CheckRequest(attributes=pb.AttributeContext(request=pb.AttributeContext.Request(http=http)))


class Gateway:
    """The stand-in gateway: a channel to a front of our own."""

    def __init__(self, back: CoreHarness) -> None:
        self.back, self.logged = back, []  # type: tuple[CoreHarness, list[dict[str, Any]]]
        check = Authorization(back.core, CLASS_NAMES, PLAN_NAMES, lambda: True, self.log)
        self.front = GrpcFront(check, "127.0.0.1:0", "", self.log)

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append({"event": event, **fields})

    async def __aenter__(self) -> Gateway:
        await self.front.start()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.front.ports['127.0.0.1:0']}")
        self.call = self.channel.unary_unary(
            "/envoy.service.auth.v3.Authorization/Check",
            request_serializer=pb.CheckRequest.SerializeToString,
            response_deserializer=pb.CheckResponse.FromString,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.channel.close()
        await self.front.stop(None)

    async def taken(self, count: int) -> None:
        """Until so many requests have reached the core."""
        while self.back.core.open_requests.last_id < count:
            await asyncio.sleep(0.001)

    async def ask(self, ms: float = 0.0, **more: str) -> pb.CheckResponse:
        """One question, while so much time passes on the limiter's clock."""
        before = self.back.core.open_requests.last_id
        call = self.call(question(**more), timeout=60)
        await self.taken(before + 1)
        self.back.run(ms)
        answer: pb.CheckResponse = await call
        return answer


def play(story: Callable[[Gateway], Awaitable[None]], back: CoreHarness | None = None) -> None:
    async def run() -> None:
        async with Gateway(back or CoreHarness()) as gateway:
            await asyncio.wait_for(story(gateway), 60)

    asyncio.run(run())


def test_an_admission_is_charged_and_nothing_is_fetched() -> None:
    async def story(g: Gateway) -> None:
        answer = await g.ask(x_quota="units=3")
        assert answer.status.code == code_pb2.OK
        assert answer.HasField("ok_response")
        assert not g.back.sent_attempts
        assert g.back.core.limiter.tenants.tenants[ADA].bucket.balance < 16.0 - 3.0

    play(story)


def test_a_refusal_is_429_and_says_when_to_come_back() -> None:
    async def story(g: Gateway) -> None:
        answers = [await g.ask(x_quota="units=6") for _ in range(2)]
        answers += [await g.ask(1000.0, x_quota="units=6") for _ in range(3)]
        assert answers[0].status.code == code_pb2.OK
        denied = [a for a in answers if a.HasField("denied_response")]
        assert denied
        assert {a.status.code for a in denied} == {code_pb2.RESOURCE_EXHAUSTED}
        assert {a.denied_response.status.code for a in denied} == {429}
        told = {o.header.key: o.header.value for o in denied[0].denied_response.headers}
        assert int(told["retry-after"]) >= 1
        assert 0 < int(told["x-retry-after-ms"]) <= 1000

    play(story, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False)))


@pytest.mark.parametrize(
    ("bad", "words"),
    [
        ({"x_customer": "ada"}, "customer"),
        ({"x_customer": "f" * 16}, "2^33"),
        ({"x_priority_class": "none-such"}, "x-priority-class"),
        ({"x_plan": ""}, "x-plan"),
        ({"x_quota": "units=many"}, "x-quota"),
        ({"x_quota": "units=0"}, "x-quota"),
        ({"x_quota": "units=+1"}, "x-quota"),
        ({"x_quota": "units=" + "9" * 400}, "x-quota"),
        ({"x_quota": "units=7"}, "units: 7 is not"),
        ({"x_quota": "units=1,spread=2"}, "spread: 2 is not"),
        ({"x_quota": "units=1,first=1"}, "first: 1 is not"),
        ({"x_timeout": "soon"}, "x-timeout"),
        ({"x_timeout": "nan"}, "x-timeout"),
        ({"idempotency_key": "k" * 1000}, "idempotency-key"),
    ],
)
def test_bad_attributes_are_an_invalid_argument(bad: dict[str, str], words: str) -> None:
    async def story(g: Gateway) -> None:
        with pytest.raises(grpc.aio.AioRpcError) as error:
            await g.call(question(**bad), timeout=60)
        assert error.value.code() is grpc.StatusCode.INVALID_ARGUMENT
        assert words in (error.value.details() or "")
        assert not g.back.core.open_requests.last_id
        assert (await g.ask()).status.code == code_pb2.OK  # the front lives on

    play(story)


def test_missing_attributes_are_an_invalid_argument() -> None:
    async def story(g: Gateway) -> None:
        with pytest.raises(grpc.aio.AioRpcError) as error:
            await g.call(pb.CheckRequest(), timeout=60)
        assert error.value.code() is grpc.StatusCode.INVALID_ARGUMENT

    play(story)


def test_the_word_of_the_gateway_goes_before_the_clients() -> None:
    async def story(g: Gateway) -> None:
        asked = question(x_plan="forged")
        asked.attributes.context_extensions["scalelb.x-plan"] = "basic"
        call = g.call(asked, timeout=60)
        await g.taken(1)
        g.back.run()
        assert (await call).status.code == code_pb2.OK

    play(story)


def held(g: Gateway) -> int:
    return sum(len(c.queue.requests) for c in g.back.core.limiter.tenants.tenants.values())


async def use_up(g: Gateway) -> None:
    """Ask until one is held; it is left waiting."""
    for _ in range(40):
        before = g.back.core.open_requests.last_id
        g.waiting = g.call(question(x_quota="units=3", x_timeout="4"), timeout=60)  # type: ignore[attr-defined]
        await g.taken(before + 1)
        g.back.run()
        if held(g):
            return
        await g.waiting  # type: ignore[attr-defined]
    raise AssertionError("nothing was held")


async def left(g: Gateway) -> None:
    """Until the core knows that the caller has gone."""
    while not g.back.core.counts.get("gone"):
        await asyncio.sleep(0.001)
    g.back.run()


@pytest.mark.parametrize("silent", [False, True], ids=["counter answers", "counter silent"])
def test_a_caller_that_cancels_while_held_spends_nothing(silent: bool) -> None:
    async def story(g: Gateway) -> None:
        g.back.counter.is_unresponsive = silent
        await use_up(g)
        ada = g.back.core.limiter.tenants.tenants[ADA]
        calls, before = (
            g.back.counter.calls,
            (ada.bucket.balance, ada.bucket.leased, ada.bucket.unreported, ada.queue.units),
        )
        g.waiting.cancel()  # type: ignore[attr-defined]
        await left(g)
        assert (ada.bucket.balance, ada.bucket.leased, ada.bucket.unreported) == before[:3]
        assert not ada.queue.requests
        assert g.back.counter.calls == calls
        g.back.run(5000.0)
        assert not g.back.core.open_requests

    play(story, CoreHarness(replace(LIMITER_SETTINGS, limiter_count=3), InMemoryCounter()))


def test_a_caller_that_cancels_after_the_decision_has_spent_all_of_it() -> None:
    async def story(g: Gateway) -> None:
        call = g.call(question(x_quota="units=3"), timeout=60)
        await g.taken(1)
        g.back.run()  # admitted; the answer is still on its way
        after = g.back.core.limiter.tenants.tenants[ADA].bucket.balance
        call.cancel()
        await asyncio.sleep(0.02)
        g.back.run()
        assert g.back.core.limiter.tenants.tenants[ADA].bucket.balance == after
        assert g.back.core.counts["admitted"] == 1

    play(story)


def test_the_callers_deadline_binds() -> None:
    async def story(g: Gateway) -> None:
        await use_up(g)
        asked = g.back.core.open_requests.last_id
        asking = question(x_quota="units=6", x_priority_class="fetch-cards", x_timeout="0.3")
        late = g.call(asking, timeout=60)
        await g.taken(asked + 1)
        g.back.run()
        g.back.run(300.0)  # its time is up on the limiter's clock; the class would have allowed 7.5 s
        answer = await late
        assert answer.denied_response.status.code == 429
        g.back.run(5000.0)
        assert await g.waiting  # type: ignore[attr-defined]
        assert not g.back.core.open_requests

    play(story, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, limiter_count=3)))


def test_a_grpc_deadline_ends_the_wait() -> None:
    async def story(g: Gateway) -> None:
        await use_up(g)
        with pytest.raises(grpc.aio.AioRpcError) as error:
            await g.call(question(x_quota="units=6"), timeout=0.2)  # the limiter's clock stands still
        assert error.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        await left(g)
        g.back.run(5000.0)
        assert await g.waiting  # type: ignore[attr-defined]
        assert not g.back.core.open_requests

    play(story, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, limiter_count=3)))


def test_a_silent_counter_does_not_stop_decisions() -> None:
    async def story(g: Gateway) -> None:
        g.back.counter.is_unresponsive = True
        for _ in range(12):
            await g.ask(1000.0, x_quota="units=6")
        tally = g.back.core.counts
        assert tally["counter timeout"] > 0
        assert tally["admitted"] >= 4

    play(story)


def test_a_restart_begins_with_nothing_and_serves() -> None:
    counter = InMemoryCounter()
    for start in (1e6, 1e6 + 500.0):
        back = CoreHarness(LIMITER_SETTINGS, counter, start)

        async def story(g: Gateway) -> None:
            assert (await g.ask()).status.code == code_pb2.OK
            g.back.run(100.0)

        play(story, back)
    assert sum(counter.totals.values()) <= 2 * 16.0


def test_a_stop_shows_and_what_was_taken_is_finished() -> None:
    async def story(g: Gateway) -> None:
        stub = health_pb2_grpc.HealthStub(g.channel)
        await g.front.set_status(Status.READY)
        ask = health_pb2.HealthCheckRequest(service="envoy.service.auth.v3.Authorization")
        assert (await stub.Check(ask)).status == health_pb2.HealthCheckResponse.SERVING
        await use_up(g)
        await g.front.set_status(Status.DRAINING)
        assert (await stub.Check(ask)).status == health_pb2.HealthCheckResponse.NOT_SERVING
        stopping = asyncio.ensure_future(g.front.stop(30.0))
        await asyncio.sleep(0.01)
        g.back.run(4000.0)
        answer = await g.waiting  # type: ignore[attr-defined]
        assert answer.WhichOneof("http_response")
        await stopping

    play(story, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, limiter_count=3)))


@pytest.mark.parametrize(("first", "second", "counted"), [(0, 1, 1), (1, 0, 1), (0, 0, 2), (1, 1, 2)])
def test_a_retry_through_the_other_door_counts_once(first: int, second: int, counted: int) -> None:
    async def story(g: Gateway) -> None:
        for door in (first, second):
            if door:
                answer = await g.ask(x_quota="units=2", idempotency_key="k1")
                assert answer.status.code == code_pb2.OK
            else:
                through_platform(g.back, "k1")
        ada = g.back.core.limiter.tenants.tenants[ADA]
        charged = (
            ada.bucket.capacity() / ada.bucket.sharing_limiters - ada.bucket.balance
        )  # time stands still: no credit came in
        assert charged == 2.0 * counted

    play(story, CoreHarness(replace(LIMITER_SETTINGS, plans=(Plan(rate_per_s=4.0, burst=100.0),))))


def through_platform(back: CoreHarness, key: str) -> None:
    class Client:
        def on_answer(self, *_: Any) -> None: ...

    incoming = IncomingRequest(
        tenant=ADA, plan_index=0, class_index=1, expires_in_ms=4000.0, units=2.0, idempotency_key=key
    )
    back.core.submit(Client(), None, incoming)
    back.run()
