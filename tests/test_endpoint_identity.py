"""A new process at a known address, or under a known id, is not taken for the one that has gone."""

from __future__ import annotations

from typing import Any

from scenario import SERVED, Harness, entry
from standin import IDEMPOTENT_CLASS

from scalelb.policy.settings import DeduplicationScope, Idempotency, RequestClass

RESTARTED_AT = 1e6  # ms, before the time of the harness
SUCCESSOR = {**entry(0, started=RESTARTED_AT), "instanceId": "s9"}  # at the address of s0


def listed(harness: Harness) -> list[str]:
    harness.wait(0)
    limiter = harness.loop.core.limiter
    assert sorted(limiter.selector.endpoints) == sorted(harness.loop.pool.backends)
    return sorted(limiter.selector.endpoints)


def test_late_news_of_the_old_endpoint_does_not_remove_its_successor() -> None:
    # A change of the old entry, told after the new one at its address, removed the process that is there.
    for late_entry in (entry(0), entry(0, "draining"), entry(0, "gone")):
        harness = Harness(backends=2)
        harness.loop.apply_endpoint_list(2, False, [SUCCESSOR])
        assert listed(harness) == ["s1", "s9"]
        harness.loop.apply_endpoint_list(3, False, [late_entry])
        assert listed(harness) == ["s1", "s9"]
        assert harness.loop.addresses["s9"] == "127.0.0.1:7200"


def test_serving_endpoint_is_preferred_at_an_address_if_start_times_are_equal() -> None:
    # Both started "long ago" (0): the order of the list decided, and the one that drains could win.
    draining, serving = entry(0, "draining"), {**entry(0), "instanceId": "s9"}
    for entries in ([draining, serving], [serving, draining]):
        harness = Harness(backends=2)
        harness.loop.apply_endpoint_list(2, True, [*entries, entry(1)])
        assert listed(harness) == ["s1", "s9"]


def test_connections_to_a_process_that_was_restarted_under_its_id_are_not_reused() -> None:
    # Only a new address gave up the old connections; work on one is for the process that has gone.
    harness = Harness(backends=1)
    harness.run("client send {call(1)}\n backend expect CALL.GET\n backend send {SERVED}\n client expect ok")
    harness.loop.apply_endpoint_list(2, False, [entry(0, started=RESTARTED_AT)])
    harness.run("backend closed")


def test_attempt_waiting_for_a_connection_to_a_restarted_process_is_decided_anew() -> None:
    # It was chosen as a warm endpoint; the process that answers at the address now has to warm up.
    harness = Harness(backends=1)
    harness.run("hold backend\n client send {call(1)}")
    harness.loop.apply_endpoint_list(2, False, [entry(0, started=RESTARTED_AT)])
    harness.wait(0)
    assert harness.loop.core.counts.get("moot") == 1


def test_retry_goes_to_the_group_in_which_the_attempt_ran() -> None:
    # The group was read when the attempt ended: a new process under the id, in another cell, stood for it.
    keyed_class = RequestClass(1000.0, 4000.0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 4000.0)
    harness = Harness(backends=3, known=False, request_classes=(IDEMPOTENT_CLASS, keyed_class))

    def in_cell(number: int, cell: int, started: float = 0.0) -> dict[str, Any]:
        return {**entry(number, started=started), "cell": cell}

    harness.loop.apply_endpoint_list(2, True, [in_cell(0, 1), in_cell(1, 2), in_cell(2, 2)])
    harness.program.set_ready()
    peers = ("backend", "backend1", "backend2")
    for ident in range(1, 20):  # until the key's preferred cell is that of s0
        harness.run(f"client send {{call({ident}, 'record-answer', key='{ident}')}}")
        [used] = [
            name for name in peers if harness.net.wires.get(name) and harness.net.wires[name][-1].value()
        ]
        if used == "backend":
            break
        harness.net.wires[used][-1].protocol.dataReceived(SERVED.replace("\n", "\r\n").encode())
        harness.net.wires[used][-1].clear()
        harness.wait(20)
    else:
        raise AssertionError("no key prefers the cell of s0")
    harness.loop.apply_endpoint_list(3, False, [in_cell(0, 2, started=RESTARTED_AT)])
    harness.run("backend close\n wait 500")
    other = [wire for name in ("backend1", "backend2") for wire in harness.net.wires.get(name, [])]
    assert not any(b"CALL.POST" in wire.value() for wire in other)
