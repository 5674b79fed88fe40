"""External authorization over gRPC on loopback, on a clock that the tests advance."""

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

TENANT_ID = "00000000000000ad"
HEADERS = {"x-customer": TENANT_ID, "x-priority-class": "record-answer", "x-plan": "basic"}


def check_request(**extra_headers: str) -> pb.CheckRequest:
    headers = HEADERS | {name.replace("_", "-"): value for name, value in extra_headers.items()}
    http = pb.AttributeContext.HttpRequest(headers=headers)
    return pb.CheckRequest(attributes=pb.AttributeContext(request=pb.AttributeContext.Request(http=http)))


class Gateway:
    """A gateway: a channel to a gRPC front end with a core of its own."""

    def __init__(self, harness: CoreHarness) -> None:
        self.harness, self.logged = harness, []  # type: tuple[CoreHarness, list[dict[str, Any]]]
        check = Authorization(harness.core, CLASS_NAMES, PLAN_NAMES, lambda: True, self.log)
        self.front_end = GrpcFront(check, "127.0.0.1:0", "", self.log)

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append({"event": event, **fields})

    async def __aenter__(self) -> Gateway:
        await self.front_end.start()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.front_end.ports['127.0.0.1:0']}")
        self.call = self.channel.unary_unary(
            "/envoy.service.auth.v3.Authorization/Check",
            request_serializer=pb.CheckRequest.SerializeToString,
            response_deserializer=pb.CheckResponse.FromString,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.channel.close()
        await self.front_end.stop(None)

    async def wait_for_requests(self, count: int) -> None:
        """Wait until so many requests have reached the core."""
        while self.harness.core.open_requests.last_id < count:
            await asyncio.sleep(0.001)

    async def check(self, duration_ms: float = 0.0, **extra_headers: str) -> pb.CheckResponse:
        """Call `Check`, and advance the limiter's clock until the response is due."""
        last_id = self.harness.core.open_requests.last_id
        call = self.call(check_request(**extra_headers), timeout=60)
        await self.wait_for_requests(last_id + 1)
        self.harness.run(duration_ms)
        response: pb.CheckResponse = await call
        return response


def run_scenario(scenario: Callable[[Gateway], Awaitable[None]], harness: CoreHarness | None = None) -> None:
    async def run() -> None:
        async with Gateway(harness or CoreHarness()) as gateway:
            await asyncio.wait_for(scenario(gateway), 60)

    asyncio.run(run())


def test_admission_is_charged_and_no_attempt_is_sent() -> None:
    async def scenario(gateway: Gateway) -> None:
        response = await gateway.check(x_quota="units=3")
        assert response.status.code == code_pb2.OK
        assert response.HasField("ok_response")
        assert not gateway.harness.sent_attempts
        assert gateway.harness.core.limiter.tenants.tenants[TENANT_ID].bucket.balance < 16.0 - 3.0

    run_scenario(scenario)


def test_rejection_is_429_with_a_retry_after_time() -> None:
    async def scenario(gateway: Gateway) -> None:
        responses = [await gateway.check(x_quota="units=6") for _ in range(2)]
        responses += [await gateway.check(1000.0, x_quota="units=6") for _ in range(3)]
        assert responses[0].status.code == code_pb2.OK
        denied = [response for response in responses if response.HasField("denied_response")]
        assert denied
        assert {response.status.code for response in denied} == {code_pb2.RESOURCE_EXHAUSTED}
        assert {response.denied_response.status.code for response in denied} == {429}
        headers = {option.header.key: option.header.value for option in denied[0].denied_response.headers}
        assert int(headers["retry-after"]) >= 1
        assert 0 < int(headers["x-retry-after-ms"]) <= 1000

    run_scenario(scenario, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False)))


@pytest.mark.parametrize(
    ("faulty_headers", "message"),
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
def test_malformed_attributes_are_an_invalid_argument(faulty_headers: dict[str, str], message: str) -> None:
    async def scenario(gateway: Gateway) -> None:
        with pytest.raises(grpc.aio.AioRpcError) as error:
            await gateway.call(check_request(**faulty_headers), timeout=60)
        assert error.value.code() is grpc.StatusCode.INVALID_ARGUMENT
        assert message in (error.value.details() or "")
        assert not gateway.harness.core.open_requests.last_id
        assert (await gateway.check()).status.code == code_pb2.OK  # the front end still serves

    run_scenario(scenario)


def test_missing_attributes_are_an_invalid_argument() -> None:
    async def scenario(gateway: Gateway) -> None:
        with pytest.raises(grpc.aio.AioRpcError) as error:
            await gateway.call(pb.CheckRequest(), timeout=60)
        assert error.value.code() is grpc.StatusCode.INVALID_ARGUMENT

    run_scenario(scenario)


def test_attributes_set_by_the_gateway_override_the_headers_of_the_client() -> None:
    async def scenario(gateway: Gateway) -> None:
        request = check_request(x_plan="forged")
        request.attributes.context_extensions["scalelb.x-plan"] = "basic"
        call = gateway.call(request, timeout=60)
        await gateway.wait_for_requests(1)
        gateway.harness.run()
        assert (await call).status.code == code_pb2.OK

    run_scenario(scenario)


def queued_count(gateway: Gateway) -> int:
    return sum(len(tenant.queue.requests) for tenant in gateway.harness.core.limiter.tenants.tenants.values())


async def use_up_quota(gateway: Gateway) -> None:
    """Send requests until one is queued; its call stays open as `gateway.queued_call`."""
    for _ in range(40):
        last_id = gateway.harness.core.open_requests.last_id
        gateway.queued_call = gateway.call(check_request(x_quota="units=3", x_timeout="4"), timeout=60)  # type: ignore[attr-defined]
        await gateway.wait_for_requests(last_id + 1)
        gateway.harness.run()
        if queued_count(gateway):
            return
        await gateway.queued_call  # type: ignore[attr-defined]
    raise AssertionError("no request was queued")


async def wait_for_cancellation(gateway: Gateway) -> None:
    """Wait until the core has counted a cancelled request."""
    while not gateway.harness.core.counts.get("gone"):
        await asyncio.sleep(0.001)
    gateway.harness.run()


@pytest.mark.parametrize("is_unresponsive", [False, True], ids=["counter answers", "counter unresponsive"])
def test_call_cancelled_while_queued_is_charged_nothing(is_unresponsive: bool) -> None:
    async def scenario(gateway: Gateway) -> None:
        gateway.harness.counter.is_unresponsive = is_unresponsive
        await use_up_quota(gateway)
        tenant = gateway.harness.core.limiter.tenants.tenants[TENANT_ID]
        counter_calls, balances = (
            gateway.harness.counter.calls,
            (tenant.bucket.balance, tenant.bucket.leased, tenant.bucket.unreported, tenant.queue.units),
        )
        gateway.queued_call.cancel()  # type: ignore[attr-defined]
        await wait_for_cancellation(gateway)
        assert (tenant.bucket.balance, tenant.bucket.leased, tenant.bucket.unreported) == balances[:3]
        assert not tenant.queue.requests
        assert gateway.harness.counter.calls == counter_calls
        gateway.harness.run(5000.0)
        assert not gateway.harness.core.open_requests

    run_scenario(scenario, CoreHarness(replace(LIMITER_SETTINGS, limiter_count=3), InMemoryCounter()))


def test_call_cancelled_after_the_decision_is_charged_in_full() -> None:
    async def scenario(gateway: Gateway) -> None:
        call = gateway.call(check_request(x_quota="units=3"), timeout=60)
        await gateway.wait_for_requests(1)
        gateway.harness.run()  # admitted; the response has not arrived yet
        balance = gateway.harness.core.limiter.tenants.tenants[TENANT_ID].bucket.balance
        call.cancel()
        await asyncio.sleep(0.02)
        gateway.harness.run()
        assert gateway.harness.core.limiter.tenants.tenants[TENANT_ID].bucket.balance == balance
        assert gateway.harness.core.counts["admitted"] == 1

    run_scenario(scenario)


def test_timeout_of_the_caller_applies_if_it_is_shorter_than_that_of_the_class() -> None:
    async def scenario(gateway: Gateway) -> None:
        await use_up_quota(gateway)
        last_id = gateway.harness.core.open_requests.last_id
        request = check_request(x_quota="units=6", x_priority_class="fetch-cards", x_timeout="0.3")
        call = gateway.call(request, timeout=60)
        await gateway.wait_for_requests(last_id + 1)
        gateway.harness.run()
        # The timeout expires on the limiter's clock; the class would have allowed 7.5 s.
        gateway.harness.run(300.0)
        response = await call
        assert response.denied_response.status.code == 429
        gateway.harness.run(5000.0)
        assert await gateway.queued_call  # type: ignore[attr-defined]
        assert not gateway.harness.core.open_requests

    run_scenario(scenario, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, limiter_count=3)))


def test_grpc_deadline_ends_a_queued_call() -> None:
    async def scenario(gateway: Gateway) -> None:
        await use_up_quota(gateway)
        with pytest.raises(grpc.aio.AioRpcError) as error:
            # The limiter's clock does not advance meanwhile.
            await gateway.call(check_request(x_quota="units=6"), timeout=0.2)
        assert error.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        await wait_for_cancellation(gateway)
        gateway.harness.run(5000.0)
        assert await gateway.queued_call  # type: ignore[attr-defined]
        assert not gateway.harness.core.open_requests

    run_scenario(scenario, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, limiter_count=3)))


def test_requests_are_admitted_while_the_counter_is_unresponsive() -> None:
    async def scenario(gateway: Gateway) -> None:
        gateway.harness.counter.is_unresponsive = True
        for _ in range(12):
            await gateway.check(1000.0, x_quota="units=6")
        counts = gateway.harness.core.counts
        assert counts["counter timeout"] > 0
        assert counts["admitted"] >= 4

    run_scenario(scenario)


def test_limiter_restarted_without_state_admits_requests() -> None:
    counter = InMemoryCounter()
    for started_at in (1e6, 1e6 + 500.0):
        harness = CoreHarness(LIMITER_SETTINGS, counter, started_at)

        async def scenario(gateway: Gateway) -> None:
            assert (await gateway.check()).status.code == code_pb2.OK
            gateway.harness.run(100.0)

        run_scenario(scenario, harness)
    assert sum(counter.totals.values()) <= 2 * 16.0


def test_graceful_shutdown_shows_in_health_checks_and_finishes_open_calls() -> None:
    async def scenario(gateway: Gateway) -> None:
        stub = health_pb2_grpc.HealthStub(gateway.channel)
        await gateway.front_end.set_status(Status.READY)
        health_request = health_pb2.HealthCheckRequest(service="envoy.service.auth.v3.Authorization")
        assert (await stub.Check(health_request)).status == health_pb2.HealthCheckResponse.SERVING
        await use_up_quota(gateway)
        await gateway.front_end.set_status(Status.DRAINING)
        assert (await stub.Check(health_request)).status == health_pb2.HealthCheckResponse.NOT_SERVING
        stopping = asyncio.ensure_future(gateway.front_end.stop(30.0))
        await asyncio.sleep(0.01)
        gateway.harness.run(4000.0)
        response = await gateway.queued_call  # type: ignore[attr-defined]
        assert response.WhichOneof("http_response")
        await stopping

    run_scenario(scenario, CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, limiter_count=3)))


@pytest.mark.parametrize(
    ("first", "second", "charged_requests"), [(0, 1, 1), (1, 0, 1), (0, 0, 2), (1, 1, 2)]
)
def test_duplicate_through_the_other_listener_is_charged_once(
    first: int, second: int, charged_requests: int
) -> None:
    async def scenario(gateway: Gateway) -> None:
        for listener in (first, second):
            if listener:
                response = await gateway.check(x_quota="units=2", idempotency_key="k1")
                assert response.status.code == code_pb2.OK
            else:
                submit_through_platform_listener(gateway.harness, "k1")
        tenant = gateway.harness.core.limiter.tenants.tenants[TENANT_ID]
        # The clock does not advance, so that there is no refill.
        charged = tenant.bucket.capacity() / tenant.bucket.sharing_limiters - tenant.bucket.balance
        assert charged == 2.0 * charged_requests

    run_scenario(scenario, CoreHarness(replace(LIMITER_SETTINGS, plans=(Plan(rate_per_s=4.0, burst=100.0),))))


def submit_through_platform_listener(harness: CoreHarness, key: str) -> None:
    class Client:
        def on_answer(self, *_: Any) -> None: ...

    incoming = IncomingRequest(
        tenant=TENANT_ID, plan_index=0, class_index=1, expires_in_ms=4000.0, units=2.0, idempotency_key=key
    )
    harness.core.submit(Client(), None, incoming)
    harness.run()
