"""The operating days on sockets in memory: large values that flow, staff's door, bans, and what moves on."""

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
    "a long value is passed on while it comes": """
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
    "no deadline cuts off what still comes": """
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
    "one that breaks in the middle ends the client's connection and is not sent anew": """
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
    "one that stands still is given up": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$300000\\nabc
        wait 4500
        backend closed
        client closed
        """,
    "one longer than it says is never ended as though it were whole": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$300000\\n{'d' * 300001}
        client expect dddd
        client closed
        backend closed
        """,
    "one behind another answer waits, and its backend is read no further": """
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
    "one behind another answer that breaks is sent anew, as nothing of it has left": """
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
    "a client that leaves in the middle has its fetch given up": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$300000\\nabc
        client close
        backend closed
        """,
    "a value beyond all measure is hung up on": """
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$3000000000\\nabc
        backend closed
        """,
}


@pytest.mark.parametrize("name", FLOWS)
def test_flow(name: str) -> None:
    Harness(cancels_attempts=True).run(FLOWS[name])


def test_a_client_may_spend_two_seconds_on_a_head() -> None:
    stage = Harness()
    stage.run("""
        client send {call(1)[:20]}
        wait 2000
        client send {call(1)[20:]}
        backend expect CALL.GET
        """)


def test_the_figures_are_those_of_the_answers_that_went_out() -> None:
    stage = Harness(cancels_attempts=True)
    stage.run("""
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$2\\nok\\n$-1\\n$-1\\n
        client send {call(2)}
        backend expect CALL.GET
        client2 send {call(3, 'record-answer', wait=400, key='a')}
        backend2 expect CALL.POST
        """)
    stats = stage.program.stats()
    assert (stats["active"], stats["pool_size"], stats["pool_ejected"]) == (2, 1, 0)
    stage.run("wait 400\n client2 expect -BUSY")
    told = stage.program.stats()["responses"]
    assert told["fetch-cards"] == {"ok": 1, "shed": 0, "errors": 0, "tries": 2}
    assert told["record-answer"] == {"ok": 0, "shed": 1, "errors": 0, "tries": 1}
    stage.run("backend send *3\\n$300000\\nabc\n backend close\n client closed")
    assert stage.program.stats()["responses"]["fetch-cards"]["errors"] == 1
    assert stage.program.stats()["active"] == 0


def test_a_backend_out_by_hand_gets_nothing_whatever_the_list_says_and_comes_back_cold() -> None:
    stage = Harness(backends=2)
    assert stage.program.override_endpoint("s1", True) == 200
    assert stage.program.override_endpoint("s1", True) == 200
    assert stage.program.override_endpoint("nobody", True) == 404
    stage.run("director expect GET\n director send {listing(2, entry(0), entry(1))}")
    for ident in range(1, 9):
        stage.run(f"client send {{call({ident}, swap=('0000ad', '0000a{ident}'))}}")
    assert "backend1" not in stage.net.wires
    assert stage.program.override_endpoint("s1", False) == 200
    stage.wait(0)
    assert [s.endpoint.name for s in stage.loop.core.limiter.selector.slow_start.warming_up] == ["s1"]
    assert stage.program.stats()["pool_ejected"] == 0


class Caller:
    """A call at the operators' door, in memory."""

    def __init__(self, stage: Harness, door: AdminListener, text: bytes = b"") -> None:
        self.wire: Any = stage.net.connect("admin", door)
        if text:
            self.wire.protocol.dataReceived(text)

    @property
    def status(self) -> int:
        return int(self.wire.value().split()[1]) if self.wire.value() else 0


def calls(method: str, path: str, more: bytes = b"") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n".encode() + more + b"\r\n"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (calls("GET", "/healthcheck"), 200),
        (calls("GET", "/stats"), 200),
        (calls("POST", "/deck-servers/s0/maint", b"Content-Length: 0\r\n"), 200),
        (calls("POST", "/deck-servers/s0/maint", b"Content-Length: 3\r\n") + b"abc", 200),
        (calls("POST", "/deck-servers/s7/maint"), 404),
        (calls("POST", "/deck-servers//maint"), 404),
        (calls("POST", "/deck-servers/" + "s" * 300 + "/maint"), 404),
        (calls("POST", "/deck-servers/s0/rest"), 404),
        (calls("GET", "/deck-servers/s0/maint"), 405),
        (calls("POST", "/stats"), 405),
        (calls("GET", "/"), 404),
        (calls("GET", "/" + "x" * 2000), 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /stats HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n", 400),
        (b"GET /stats HTTP/1.1\r\n" + b"X: " + b"y" * 9000, 400),
        (b"GET /stats HTTP/1.1\r\nHost: x\r\n", 0),
    ],
    ids=lambda value: str(value)[:60],
)
def test_the_door_answers_each_call_once_and_ends_it(text: bytes, status: int) -> None:
    stage = Harness()
    door = AdminListener(stage.net, stage.program, stage.log)
    caller = Caller(stage, door, text)
    assert caller.status == status
    assert caller.wire.value().count(b"HTTP/1.1") == (status > 0)
    assert caller.wire.ended is (status > 0)
    stage.wait(5100)
    assert caller.wire.ended
    assert not door.clients
    assert door.answer_counts == {status: 1}  # counted, for the log
    stage.run("client send {call(1)}")
    assert ("backend" in stage.net.wires) is (b"/s0/maint" not in text or status != 200)


def test_callers_that_say_nothing_make_room_for_one_who_asks() -> None:
    stage = Harness()
    door = AdminListener(stage.net, stage.program, stage.log)
    silent = [Caller(stage, door) for _ in range(3 * MAX_CLIENTS)]
    assert len(door.clients) == MAX_CLIENTS
    assert Caller(stage, door, calls("GET", "/healthcheck")).status == 200
    assert sum(not caller.wire.ended for caller in silent) == MAX_CLIENTS - 1


words = st.dictionaries(
    st.sampled_from("abcd"), st.builds(Override, st.integers(0, 3).map(float), st.booleans())
)


@given(words, words, words)
def test_bans_join_in_any_order_and_more_than_once(a: Any, b: Any, c: Any) -> None:
    def joined(*copies: Any) -> dict[str, Override]:
        bans = EndpointOverrides()
        for copy in copies:
            bans.merge(copy.items())
        return bans.by_endpoint

    assert joined(a, b, c) == joined(c, b, a, b, a)


def test_bans_are_bounded_and_the_one_that_bans_nobody_gives_way() -> None:
    bans = EndpointOverrides()
    bans.on_endpoints(serving_endpoints(MAX_OVERRIDES + 2), True)
    names = list(bans.listed)
    assert all(bans.set_by_operator(name, True, 1.0) for name in names[:MAX_OVERRIDES])
    assert not bans.set_by_operator(names[MAX_OVERRIDES], True, 2.0)
    assert bans.set_by_operator(names[0], False, 3.0)
    assert bans.set_by_operator(names[MAX_OVERRIDES], True, 4.0)
    assert len(bans.by_endpoint) == MAX_OVERRIDES
    assert bans.is_ejected(names[MAX_OVERRIDES])
    assert not bans.is_ejected(names[0])


def test_what_a_life_leaves_is_spent_by_one_of_the_two() -> None:
    # Guards the quotas through upgrades: ten in a row, at full demand, give no more than rate and burst do.
    fleet = Fleet(1, has_counter=False, plans=(Plan(rate_per_s=10.0, burst=20.0),), max_units=1.0)
    random = Random(3)
    for _ in range(10):
        for _ in range(100):
            fleet.ask(f"c{random.randrange(3)}", 0, 1.0, sharing_limiters=1)
            fleet.run(20)
        limiter = fleet.limiters[0]
        fresh = Fleet(1, has_counter=False, max_units=1.0, plans=fleet.settings.plans).limiters[0]
        account = orjson.loads(orjson.dumps(export_handover(limiter, fleet.now)))
        assert apply_handover(fresh, account, fleet.now)[1] == 0
        fleet.limiters[0] = fresh
        fleet.give(fresh, EndpointsListed(serving_endpoints(60), is_complete=True))
    assert fleet.seen["units beyond"] == 0
    assert fleet.seen["units inside"] > 0.8 * 3 * (20 + 10 * 20)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda a: a.update(at="now"), lambda a: a.update(at=0), lambda a: a["figures"].update(usual=-1),
        lambda a: a["customers"].update(c0=[1e99] * 9), lambda a: a["customers"].update(c0="x"),
        lambda a: a["servers"].update({next(iter(a["servers"])): [0.0] * 3}),
        lambda a: a.update(customers=[]),
        lambda a: a["customers"].update(c0=[True, 1, 1, 1, 1, 1, 1, 1, 1]),
    ],
)  # fmt: skip
def test_an_account_that_can_not_be_is_left_out_entry_by_entry(spoil: Any) -> None:
    fleet = Fleet(2, has_counter=False)
    fleet.ask("c0", 0, 1.0, sharing_limiters=1)
    account = orjson.loads(orjson.dumps(export_handover(fleet.limiters[0], fleet.now)))
    spoil(account)
    limiter = fleet.limiters[1]
    usual = limiter.estimates.latency_ms
    apply_handover(limiter, account, fleet.now)
    assert limiter.estimates.latency_ms == usual
    assert "c0" not in limiter.tenants.records.inherited or account["customers"]["c0"][0] < 1e9


def test_a_limiter_without_door_or_socket_reads_no_folder_and_writes_none() -> None:
    stage = Harness()
    assert stage.program.incarnation is None
    assert stage.program.admin is None


def test_what_is_read_ahead_of_slow_clients_is_bounded_over_all_of_them() -> None:
    # Guards the memory: many large values at once to clients that take nothing.
    stage = Harness(backends=3)
    door = stage.program.door
    door.max_read_ahead_bytes = 1_000_000
    for number in range(1, 13):
        stage.run(f"client{number} send {{call({number}, swap=('0000ad', '00{number:02}ad'))}}")
        stage.wire(f"client{number}").protocol.is_flushed = False  # the kernel takes no more
    fed = [wire for name, wires in stage.net.wires.items() if name.startswith("backend") for wire in wires]
    for wire in fed:
        wire.protocol.dataReceived(b"*3\r\n$4000000\r\n")
    for _ in range(100):
        for wire in fed:
            if wire.producerState != "paused":
                wire.protocol.dataReceived(b"v" * 40_000)
    assert len(fed) == 12
    assert 1_000_000 <= door.read_ahead_bytes <= 1_000_000 + 12 * 40_000
    assert all(wire.producerState == "paused" for wire in fed)
    for session in list(door.sessions):
        session.is_flushed = True
        session.on_flushed()
    assert door.read_ahead_bytes == 0
    assert all(wire.producerState != "paused" for wire in fed)


def test_who_comes_to_a_life_that_has_left_gets_no_share_and_none_is_forgotten_by_the_next() -> None:
    old, new = Fleet(2, has_counter=False), Fleet(2, has_counter=False)
    limiter = old.limiters[0]
    limiter.tenants.records.put(
        "c9", TenantRecord(0.0, 0.0, 0.0, 0.0, -1, old.now, old.now + 5000.0), old.now
    )
    account = orjson.loads(orjson.dumps(export_handover(limiter, old.now)))
    old.ask("stranger", 0, 1.0, sharing_limiters=1)
    assert limiter.tenants.tenants["stranger"].bucket.balance <= 0.0
    apply_handover(new.limiters[0], account, new.now)
    new.ask("c9", 0, 1.0, sharing_limiters=1)
    assert new.limiters[0].tenants.tenants["c9"].bucket.balance <= 0.0


def test_keys_that_one_door_has_counted_move_on_too() -> None:
    old, new = Fleet(1).limiters[0], Fleet(1).limiters[0]
    now = 1_000_000.0
    old.charged_keys.record("c1", "k1", 1, now, 4000.0)
    old.charged_keys.record("c1", "k0", 1, now - 9000.0, 4000.0)
    account = orjson.loads(orjson.dumps(export_handover(old, now)))
    account["keys"].append(["c1", 7, now, 1])
    assert apply_handover(new, account, now)[1] == 1
    assert new.charged_keys.is_charged_elsewhere("c1", "k1", 2, now)
    assert not new.charged_keys.is_charged_elsewhere("c1", "k1", 1, now)
    assert not new.charged_keys.is_charged_elsewhere("c1", "k0", 2, now)
