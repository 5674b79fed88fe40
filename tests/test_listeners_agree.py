"""Both listeners admit the same value of requests for each tenant, on a recorded evening over loopback.

The value of a request is the weight of its class times the price of its plan times its units.
"""

from __future__ import annotations

import asyncio
import csv
from collections import Counter as Tally
from dataclasses import replace
from pathlib import Path
from typing import Any

import grpc
import pytest
from google.rpc import code_pb2
from standin import IDEMPOTENT_CLASS, KEYED_CLASS, LIMITER_SETTINGS, CoreHarness
from twisted.internet import asyncioreactor

from scalelb.policy.settings import Plan
from scalelb.transport.authz import external_auth_pb2 as pb
from scalelb.transport.authz.front import Authorization, GrpcFront
from scalelb.transport.listener import RespListener

RECORDED_EVENING = Path(__file__).parent / "evening.csv"
CLASS_WEIGHTS = {
    "fetch-cards": IDEMPOTENT_CLASS.priority_weight,
    "record-answer": KEYED_CLASS.priority_weight,
}
PLANS = {
    "basic": Plan(rate_per_s=1.8, burst=12.0, price=0.72),
    "standard": Plan(rate_per_s=4.7, burst=19.0, price=1.3),
    "campus": Plan(rate_per_s=17.0, burst=36.0, max_concurrent_attempts=7, price=1.6),
}
SITE_SETTINGS = replace(LIMITER_SETTINGS, plans=tuple(PLANS.values()), max_units=6.0)
Row = dict[str, str]


def read_rows() -> list[Row]:
    with RECORDED_EVENING.open() as file:
        return list(csv.DictReader(file))


async def wait_for_requests(harness: CoreHarness, count: int) -> None:
    while harness.core.open_requests.last_id < count:
        await asyncio.sleep(0)


async def replay_over_resp(harness: CoreHarness, rows: list[Row]) -> list[bool]:
    """Replay the rows with a connection for each request, as if each came from another client."""
    reactor: Any = asyncioreactor.AsyncioSelectorReactor(asyncio.get_running_loop())
    reactor.startRunning(installSignalHandlers=False)
    listener = RespListener(
        harness.core,
        list(CLASS_WEIGHTS),
        list(PLANS),
        lambda: True,
        lambda *_, **__: None,
        lambda function: reactor.callLater(0, function),
        10_000,
    )
    port = reactor.listenTCP(0, listener, interface="127.0.0.1")

    async def send_request(number: int, row: Row) -> bool:
        reader, writer = await asyncio.open_connection("127.0.0.1", port.getHost().port)
        command = "CALL.GET" if row["class"] == "fetch-cards" else "CALL.POST"
        timeout_ms = "7000" if command == "CALL.GET" else "3900"
        quota = f"units={row['units']},spread=1,first=0"
        values = f"c={row['class']},t={row['plan']},d={timeout_ms},k={row['key']},{quota}"
        parts = [command, row["customer"], f"{number:016x}", values]
        text = f"*{len(parts)}\r\n" + "".join(f"${len(part)}\r\n{part}\r\n" for part in parts)
        writer.write(text.encode())
        line = await reader.readline()
        writer.close()
        assert line.startswith((b"$", b"-BUSY")), line
        return line.startswith(b"$")

    verdicts = await replay(harness, rows, send_request)
    port.stopListening()
    return verdicts


async def replay_over_grpc(harness: CoreHarness, rows: list[Row]) -> list[bool]:
    """Replay the rows on one channel, as a gateway uses it."""
    front_end = GrpcFront(
        Authorization(harness.core, CLASS_WEIGHTS, PLANS, lambda: True, print),
        "127.0.0.1:0",
        "",
        lambda *_, **__: None,
    )
    await front_end.start()
    channel = grpc.aio.insecure_channel(f"127.0.0.1:{front_end.ports['127.0.0.1:0']}")
    check = channel.unary_unary(
        "/envoy.service.auth.v3.Authorization/Check",
        request_serializer=pb.CheckRequest.SerializeToString,
        response_deserializer=pb.CheckResponse.FromString,
    )

    async def send_request(number: int, row: Row) -> bool:
        headers = {
            "x-customer": row["customer"],
            "x-plan": row["plan"],
            "x-priority-class": row["class"],
            "x-quota": f"units={row['units']},spread=1,first=0",
            "idempotency-key": row["key"],
            "x-timeout": "7" if row["class"] == "fetch-cards" else "3.9",
        }
        http = pb.AttributeContext.HttpRequest(headers=headers)
        attributes = pb.AttributeContext(request=pb.AttributeContext.Request(http=http))
        response = await check(pb.CheckRequest(attributes=attributes), timeout=120)
        assert response.status.code in (code_pb2.OK, code_pb2.RESOURCE_EXHAUSTED)
        return bool(response.status.code == code_pb2.OK)

    verdicts = await replay(harness, rows, send_request)
    await channel.close()
    await front_end.stop(None)
    return verdicts


async def replay(harness: CoreHarness, rows: list[Row], send_request: Any) -> list[bool]:
    """Send each request at its time on the limiter's clock, in order; return whether each was admitted."""
    started_at, requests = harness.now, []
    for number, row in enumerate(rows, 1):
        harness.run(started_at + float(row["at_ms"]) - harness.now)
        requests.append(asyncio.ensure_future(send_request(number, row)))
        await wait_for_requests(harness, number)
        harness.run()
    harness.run(10_000.0)
    return list(await asyncio.wait_for(asyncio.gather(*requests), 60))


@pytest.mark.parametrize("has_counter", [True, False], ids=["with the counter", "without"])
def test_both_listeners_admit_the_same_value_for_each_tenant(has_counter: bool) -> None:
    rows, admitted_values = read_rows(), []
    for replay_rows in (replay_over_resp, replay_over_grpc):
        harness = CoreHarness(replace(SITE_SETTINGS, has_counter=has_counter))
        admitted: Tally[str] = Tally()
        for row, is_admitted in zip(rows, asyncio.run(replay_rows(harness, rows)), strict=True):
            admitted[row["customer"]] += (
                is_admitted * CLASS_WEIGHTS[row["class"]] * PLANS[row["plan"]].price * int(row["units"])  # type: ignore[assignment]
            )
        admitted_values.append(admitted)
    request_counts: Tally[str] = Tally(row["customer"] for row in rows)
    assert len(request_counts) == 20
    assert any(
        admitted_values[0][tenant] < 0.8 * requested_value(rows, tenant) for tenant in request_counts
    ), "no tenant exceeded its quota"
    for tenant_id in request_counts:
        assert admitted_values[0][tenant_id] == pytest.approx(admitted_values[1][tenant_id], rel=0.01), (
            tenant_id
        )


def requested_value(rows: list[Row], tenant: str) -> float:
    return sum(
        CLASS_WEIGHTS[row["class"]] * PLANS[row["plan"]].price * int(row["units"])
        for row in rows
        if row["customer"] == tenant
    )
