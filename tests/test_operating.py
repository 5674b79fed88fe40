"""Streaming of large values, the operator API, manual overrides and handovers, on sockets in memory."""

from __future__ import annotations

from random import Random
from typing import Any

import orjson
import pytest
from driver import serving_endpoints
from fleet import Fleet
from hypothesis import given
from hypothesis import strategies as st
from scenario import Harness

from scalelb.admission_queue.tenant_records import TenantRecord
from scalelb.core.endpoint_overrides import MAX_OVERRIDES, EndpointOverrides, Override
from scalelb.policy.events import EndpointsListed
from scalelb.policy.handover import apply_handover, export_handover
from scalelb.policy.settings import Plan
from scalelb.transport.admin import MAX_CLIENTS, AdminListener

FLOWS = {
    "a long value is forwarded while it is received": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$300000\\nabc
        client expect $300000\\nabc
        backend send {'d' * 200000}
        client expect dddd
        backend send {'e' * 99997}
        client expect eeee
        client expect-nothing
        backend send \\n$-1\\n$-1\\n
        client expect \\n
        client send {call(2)}
        backend expect 0000000000000002
        """,
    "no deadline cuts off a value that is being streamed": """
        client send {call(1, wait=600)}
        backend expect CALL.GET
        backend send *3\\n$300000\\nabc
        wait 3000
        backend send {'d' * 150000}
        wait 3000
        backend send {'d' * 149997}
        backend send \\n$-1\\n$-1\\n
        client expect dddd
        client send {call(2)}
        backend expect 0000000000000002
        """,
    "a value that breaks off ends the client's connection and is not retried": """
        client send {call(1)}
        client2 send {call(2)}
        backend expect CALL.GET
        backend2 expect CALL.GET
        backend send *3\\n$300000\\nabc
        client expect abc
        backend close
        client closed
        backend2 expect-nothing
        backend2 send *3\\n$2\\nok\\n$-1\\n$-1\\n
        client2 expect ok
        """,
    "a stalled value is abandoned": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$300000\\nabc
        wait 4500
        backend closed
        client closed
        """,
    "a value longer than announced does not end like a complete one": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$300000\\n{'d' * 300001}
        client expect dddd
        client closed
        backend closed
        """,
    "a value behind another answer waits, and reading from its backend is paused": """
        client send {call(1) + call(2)}
        backend expect 0000000000000001
        backend2 expect 0000000000000002
        backend2 send *3\\n$300000\\nabc
        backend2 paused
        client expect-nothing
        backend send *3\\n$2\\nok\\n$-1\\n$-1\\n
        client expect $2\\nok\\n$300000\\nabc
        backend2 send {'d' * 299997}
        backend2 send \\n$-1\\n$-1\\n
        client expect dddd
        """,
    "a value that breaks off behind another answer is retried, as the client has received nothing of it": """
        client send {call(1) + call(2)}
        backend expect 0000000000000001
        backend2 expect 0000000000000002
        backend2 send *3\\n$300000\\nabc
        backend2 close
        backend3 expect 0000000000000002
        backend3 send *3\\n$2\\nno\\n$-1\\n$-1\\n
        backend send *3\\n$2\\nok\\n$-1\\n$-1\\n
        client expect $2\\nok\\n$2\\nno\\n
        """,
    "the attempt is abandoned when its client disconnects": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$300000\\nabc
        client close
        backend closed
        """,
    "the connection is closed on a value that is too long": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$3000000000\\nabc
        backend closed
        """,
}


@pytest.mark.parametrize("name", FLOWS)
def test_streamed_value(name: str) -> None:
    Harness(cancels_attempts=True).run(FLOWS[name])


def test_client_may_take_two_seconds_to_send_a_request_head() -> None:
    harness = Harness()
    harness.run("""
        client send {call(1)[:20]}
        wait 2000
        client send {call(1)[20:]}
        backend expect CALL.GET
        """)


def test_stats_count_the_answers_that_were_sent() -> None:
    harness = Harness(cancels_attempts=True)
    harness.run("""
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$2\\nok\\n$-1\\n$-1\\n
        client send {call(2)}
        backend expect CALL.GET
        client2 send {call(3, 'record-answer', wait=400, key='a')}
        backend2 expect CALL.POST
        """)
    stats = harness.program.stats()
    assert (stats["active"], stats["pool_size"], stats["pool_ejected"]) == (2, 1, 0)
    harness.run("wait 400\n client2 expect -BUSY")
    responses = harness.program.stats()["responses"]
    assert responses["fetch-cards"] == {"ok": 1, "shed": 0, "errors": 0, "tries": 2}
    assert responses["record-answer"] == {"ok": 0, "shed": 1, "errors": 0, "tries": 1}
    harness.run("backend send *3\\n$300000\\nabc\n backend close\n client closed")
    assert harness.program.stats()["responses"]["fetch-cards"]["errors"] == 1
    assert harness.program.stats()["active"] == 0


def test_ejected_backend_gets_no_requests_and_is_readmitted_with_slow_start() -> None:
    harness = Harness(backends=2)
    assert harness.program.override_endpoint("s1", True) == 200
    assert harness.program.override_endpoint("s1", True) == 200
    assert harness.program.override_endpoint("unknown", True) == 404
    harness.run("director expect GET\n director send {listing(2, entry(0), entry(1))}")
    for number in range(1, 9):
        harness.run(f"client send {{call({number}, swap=('0000ad', '0000a{number}'))}}")
    assert "backend1" not in harness.net.wires
    assert harness.program.override_endpoint("s1", False) == 200
    harness.wait(0)
    assert [
        tracked.endpoint.name for tracked in harness.loop.core.limiter.selector.slow_start.warming_up
    ] == ["s1"]
    assert harness.program.stats()["pool_ejected"] == 0


class OperatorCall:
    """A call of the operator API, in memory."""

    def __init__(self, harness: Harness, operator_api: AdminListener, data: bytes = b"") -> None:
        self.wire: Any = harness.net.connect("admin", operator_api)
        if data:
            self.wire.protocol.dataReceived(data)

    @property
    def status(self) -> int:
        return int(self.wire.value().split()[1]) if self.wire.value() else 0


def http_request(method: str, path: str, headers: bytes = b"") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n".encode() + headers + b"\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (http_request("GET", "/healthcheck"), 200),
        (http_request("GET", "/stats"), 200),
        (http_request("POST", "/deck-servers/s0/maint", b"Content-Length: 0\r\n"), 200),
        (http_request("POST", "/deck-servers/s0/maint", b"Content-Length: 3\r\n") + b"abc", 200),
        (http_request("POST", "/deck-servers/s7/maint"), 404),
        (http_request("POST", "/deck-servers//maint"), 404),
        (http_request("POST", "/deck-servers/" + "s" * 300 + "/maint"), 404),
        (http_request("POST", "/deck-servers/s0/rest"), 404),
        (http_request("GET", "/deck-servers/s0/maint"), 405),
        (http_request("POST", "/stats"), 405),
        (http_request("GET", "/"), 404),
        (http_request("GET", "/" + "x" * 2000), 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /stats HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n", 400),
        (b"GET /stats HTTP/1.1\r\n" + b"X: " + b"y" * 9000, 400),
        (b"GET /stats HTTP/1.1\r\nHost: x\r\n", 0),
    ],
    ids=lambda value: str(value)[:60],
)
def test_operator_api_answers_each_call_once_and_closes_the_connection(data: bytes, status: int) -> None:
    harness = Harness()
    operator_api = AdminListener(harness.net, harness.program, harness.log)
    call = OperatorCall(harness, operator_api, data)
    assert call.status == status
    assert call.wire.value().count(b"HTTP/1.1") == (status > 0)
    assert call.wire.ended is (status > 0)
    harness.wait(5100)
    assert call.wire.ended
    assert not operator_api.clients
    assert operator_api.answer_counts == {status: 1}  # for the tally log line
    harness.run("client send {call(1)}")
    assert ("backend" in harness.net.wires) is (b"/s0/maint" not in data or status != 200)


def test_idle_operator_connections_are_closed_for_a_caller_that_sends_a_request() -> None:
    harness = Harness()
    operator_api = AdminListener(harness.net, harness.program, harness.log)
    idle_calls = [OperatorCall(harness, operator_api) for _ in range(3 * MAX_CLIENTS)]
    assert len(operator_api.clients) == MAX_CLIENTS
    assert OperatorCall(harness, operator_api, http_request("GET", "/healthcheck")).status == 200
    assert sum(not call.wire.ended for call in idle_calls) == MAX_CLIENTS - 1


override_copies = st.dictionaries(
    st.sampled_from("abcd"), st.builds(Override, st.integers(0, 3).map(float), st.booleans())
)


@given(override_copies, override_copies, override_copies)
def test_overrides_can_be_merged_in_any_order_and_repeatedly(first: Any, second: Any, third: Any) -> None:
    def merged(*copies: Any) -> dict[str, Override]:
        overrides = EndpointOverrides()
        for copy in copies:
            overrides.merge(copy.items())
        return overrides.by_endpoint

    assert merged(first, second, third) == merged(third, second, first, second, first)


def test_overrides_are_bounded_and_one_without_an_ejection_is_evicted_first() -> None:
    overrides = EndpointOverrides()
    overrides.on_endpoints(serving_endpoints(MAX_OVERRIDES + 2), True)
    names = list(overrides.listed)
    assert all(overrides.set_by_operator(name, True, 1.0) for name in names[:MAX_OVERRIDES])
    assert not overrides.set_by_operator(names[MAX_OVERRIDES], True, 2.0)
    assert overrides.set_by_operator(names[0], False, 3.0)
    assert overrides.set_by_operator(names[MAX_OVERRIDES], True, 4.0)
    assert len(overrides.by_endpoint) == MAX_OVERRIDES
    assert overrides.is_ejected(names[MAX_OVERRIDES])
    assert not overrides.is_ejected(names[0])


def test_handed_over_units_are_spent_by_one_incarnation_only() -> None:
    # Ten upgrades in a row, at full demand, must not grant more than rate and burst.
    fleet = Fleet(1, has_counter=False, plans=(Plan(rate_per_s=10.0, burst=20.0),), max_units=1.0)
    random = Random(3)
    for _ in range(10):
        for _ in range(100):
            fleet.send_request(f"c{random.randrange(3)}", 0, 1.0, sharing_limiters=1)
            fleet.run(20)
        limiter = fleet.limiters[0]
        successor = Fleet(1, has_counter=False, max_units=1.0, plans=fleet.settings.plans).limiters[0]
        handover = orjson.loads(orjson.dumps(export_handover(limiter, fleet.now)))
        assert apply_handover(successor, handover, fleet.now)[1] == 0
        fleet.limiters[0] = successor
        fleet.handle(successor, EndpointsListed(serving_endpoints(60), is_complete=True))
    assert fleet.counts["units over quota"] == 0
    assert fleet.counts["units within quota"] > 0.8 * 3 * (20 + 10 * 20)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda content: content.update(at="now"), lambda content: content.update(at=0),
        lambda content: content["figures"].update(usual=-1),
        lambda content: content["customers"].update(c0=[1e99] * 9),
        lambda content: content["customers"].update(c0="x"),
        lambda content: content["servers"].update({next(iter(content["servers"])): [0.0] * 3}),
        lambda content: content.update(customers=[]),
        lambda content: content["customers"].update(c0=[True, 1, 1, 1, 1, 1, 1, 1, 1]),
    ],
)  # fmt: skip
def test_malformed_entries_of_a_handover_are_left_out_one_by_one(corrupt: Any) -> None:
    fleet = Fleet(2, has_counter=False)
    fleet.send_request("c0", 0, 1.0, sharing_limiters=1)
    handover = orjson.loads(orjson.dumps(export_handover(fleet.limiters[0], fleet.now)))
    corrupt(handover)
    limiter = fleet.limiters[1]
    latency_ms = limiter.estimates.latency_ms
    apply_handover(limiter, handover, fleet.now)
    assert limiter.estimates.latency_ms == latency_ms
    assert "c0" not in limiter.tenants.records.inherited or handover["customers"]["c0"][0] < 1e9


def test_limiter_without_operator_api_or_inherited_socket_uses_no_shared_folder() -> None:
    harness = Harness()
    assert harness.program.incarnation is None
    assert harness.program.admin is None


def test_memory_of_values_read_ahead_of_slow_clients_is_bounded_in_total() -> None:
    # Many large values at once, for clients that read nothing, must not exhaust the memory.
    harness = Harness(backends=3)
    listener = harness.program.listener
    listener.max_read_ahead_bytes = 1_000_000
    for number in range(1, 13):
        harness.run(f"client{number} send {{call({number}, swap=('0000ad', '00{number:02}ad'))}}")
        harness.wire(f"client{number}").protocol.is_flushed = False  # The kernel's send buffer is full.
    backend_wires = [
        wire for name, wires in harness.net.wires.items() if name.startswith("backend") for wire in wires
    ]
    for wire in backend_wires:
        wire.protocol.dataReceived(b"*3\r\n$4000000\r\n")
    for _ in range(100):
        for wire in backend_wires:
            if wire.producerState != "paused":
                wire.protocol.dataReceived(b"v" * 40_000)
    assert len(backend_wires) == 12
    assert 1_000_000 <= listener.read_ahead_bytes <= 1_000_000 + 12 * 40_000
    assert all(wire.producerState == "paused" for wire in backend_wires)
    for session in list(listener.sessions):
        session.is_flushed = True
        session.on_flushed()
    assert listener.read_ahead_bytes == 0
    assert all(wire.producerState != "paused" for wire in backend_wires)


def test_new_tenant_after_a_handover_starts_empty_and_the_successor_knows_all_tenants() -> None:
    old, new = Fleet(2, has_counter=False), Fleet(2, has_counter=False)
    limiter = old.limiters[0]
    limiter.tenants.records.put(
        "c9", TenantRecord(0.0, 0.0, 0.0, 0.0, -1, old.now, old.now + 5000.0), old.now
    )
    handover = orjson.loads(orjson.dumps(export_handover(limiter, old.now)))
    old.send_request("new", 0, 1.0, sharing_limiters=1)
    assert limiter.tenants.tenants["new"].bucket.balance <= 0.0
    apply_handover(new.limiters[0], handover, new.now)
    new.send_request("c9", 0, 1.0, sharing_limiters=1)
    assert new.limiters[0].tenants.tenants["c9"].bucket.balance <= 0.0


def test_handover_includes_the_charged_idempotency_keys() -> None:
    old, new = Fleet(1).limiters[0], Fleet(1).limiters[0]
    now = 1_000_000.0
    old.charged_keys.record("c1", "k1", 1, now, 4000.0)
    old.charged_keys.record("c1", "k0", 1, now - 9000.0, 4000.0)
    handover = orjson.loads(orjson.dumps(export_handover(old, now)))
    handover["keys"].append(["c1", 7, now, 1])
    assert apply_handover(new, handover, now)[1] == 1
    assert new.charged_keys.is_charged_elsewhere("c1", "k1", 2, now)
    assert not new.charged_keys.is_charged_elsewhere("c1", "k1", 1, now)
    assert not new.charged_keys.is_charged_elsewhere("c1", "k0", 2, now)
