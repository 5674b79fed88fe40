"""Races between the end of a request, connection or process and work that is still pending.

The scenarios force a race with a connection that stays pending until the other event has been observed.
"""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import Mock

import pytest
from scenario import Harness
from standin import IDEMPOTENT_CLASS, LIMITER_SETTINGS

from scalelb.policy.settings import DeduplicationScope, Idempotency, RequestClass
from scalelb.transport.listener import SPARE_SESSIONS

# The client's timeout (ms) for a request, and what happens while its attempt waits for a connection.
EVENTS_WHILE_CONNECTING = {
    "client disconnects": (3000, "client close"),
    "client disconnects while its session is paused": (3000, ""),
    "backend drains": (3000, "director send {listing(2, entry(0, 'draining'), full=False)}"),
    "timeout expires": (180, "wait 200"),
}


@pytest.mark.parametrize("cancels_attempts", [True, False])
@pytest.mark.parametrize("event", EVENTS_WHILE_CONNECTING)
def test_attempt_waiting_for_its_connection_is_sent_only_if_still_needed(
    event: str, cancels_attempts: bool
) -> None:
    # Without the check in `BackendConnection.write_attempt` it was sent for a client that had disconnected
    # (if the settings do not allow cancelling attempts), or to a draining backend.
    harness = Harness(backends=1, cancels_attempts=cancels_attempts)
    timeout_ms, steps = EVENTS_WHILE_CONNECTING[event]
    harness.run(f"hold backend\n client send {{call(1, wait={timeout_ms})}}\n director expect GET")
    if not steps:
        session = harness.wire("client").protocol
        session.pause()
        session.has_peer_closed = lambda: True
    harness.run(f"{steps}\n release backend\n backend expect-nothing\n wait 3100")
    assert harness.loop.core.counts.get("connect failed", 0) == 0  # not a failure of the backend
    assert not harness.loop.core.open_requests
    assert not harness.loop.core.limiter.requests


def test_retry_is_not_sent_after_its_deduplication_window() -> None:
    # With a deduplication window of 1 s, a retry was decided 934 ms after the first attempt, and its
    # connection was established 138 ms later. The backends had forgotten the key by then, and the request was
    # executed twice.
    keyed_class = RequestClass(400.0, 4000.0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 300.0)
    harness = Harness(backends=2, request_classes=(IDEMPOTENT_CLASS, keyed_class))
    harness.run("client send {call(1, 'record-answer', wait=3900, key='a')}")
    [first] = [name for name in ("backend", "backend1") if name in harness.net.wires]
    [other] = {"backend", "backend1"} - {first}
    wire = harness.net.wires[first][0]
    assert b"CALL.POST" in wire.value()
    harness.net.held_peers.add(other)
    harness.wait(200)
    wire.end()
    harness.wait(20)
    # The retry has been decided, and waits for its connection.
    assert [connector.name for connector in harness.net.pending_connectors] == [other]
    harness.wait(120)
    harness.net.release(other)
    assert harness.net.wires[other][0].value() == b""
    harness.run("wait 50\n client expect -")


def test_remaining_time_is_computed_when_the_attempt_is_written() -> None:
    harness = Harness(backends=1)
    harness.run("hold backend\n client send {call(1, wait=5000)}\n wait 100\n release backend")
    harness.run("backend expect d=900,")  # of the attempt timeout of 1 s


def test_evicted_idle_connection_frees_its_slot_at_once() -> None:
    # The slot of an evicted idle connection was free only one round of the event loop later. The attempt that
    # needed it failed to connect in the meantime, and its backend was ejected.
    harness = Harness(backends=2)
    harness.run("client send {call(1)}")
    [used_peer] = [name for name in harness.net.wires if name.startswith("backend")]
    harness.run(f"{used_peer} send {{SERVED}}\n client expect ok")
    pool = harness.loop.pool
    pool.limits = replace(pool.limits, max_connections=1)
    harness.wire(used_peer).abortConnection = lambda: None  # the transport closes its socket in a later round
    [other] = {"s0", "s1"} - {name for name, backend in pool.backends.items() if backend.idle}
    outcomes: list[str] = []
    pool.start_attempt(other, lambda: b"next", lambda result: outcomes.append(result.outcome.value))
    harness.wait(0)
    assert not outcomes
    name = "backend" + other[1].replace("0", "")
    assert harness.net.wires[name][-1].value().endswith(b"next")


def test_attempt_without_a_free_connection_slot_does_not_eject_its_backend() -> None:
    harness = Harness(backends=1)
    harness.loop.pool.limits = replace(harness.loop.pool.limits, max_connections_per_backend=0)
    harness.run("client send {call(1)}")
    [endpoint] = harness.loop.core.limiter.selector.endpoints.values()
    assert (endpoint.connect_failures, endpoint.ejected_until) == (0, 0.0)


def test_non_idempotent_request_that_may_have_been_executed_fails_at_once() -> None:
    unsafe_class = replace(LIMITER_SETTINGS.request_classes[1], idempotency=Idempotency.NOT_IDEMPOTENT)
    harness = Harness(backends=2, request_classes=(IDEMPOTENT_CLASS, unsafe_class))
    harness.run("client send {call(1, 'record-answer', wait=3900)}")
    [used_peer] = [name for name in harness.net.wires if name.startswith("backend")]
    harness.run(f"{used_peer} expect CALL.POST\n {used_peer} close\n client expect -ERR failed")


def test_program_stops_while_it_connects_to_discovery() -> None:
    # The last step of the shutdown aborted a connection that was not established yet: it raised, and the
    # process did not end.
    harness = Harness()
    harness.run("hold director\n director close\n wait 50")
    assert [connector.name for connector in harness.net.pending_connectors] == ["director"]
    harness.program.stop()
    harness.wait(1000)
    assert harness.net.stopped
    assert not harness.net.pending_connectors[0].is_pending


def test_incarnation_stopped_before_its_takeover_does_not_listen() -> None:
    # It still polled for the handover record of its predecessor during its shutdown, and then listened again.
    harness = Harness()
    program = harness.program
    return_values = {
        "read_overrides": [],
        "has_successor": False,
        "predecessor_is_running": False,
        "read_handover": None,
    }
    program.incarnation = Mock(**{f"{name}.return_value": value for name, value in return_values.items()})
    program.listener.port = None
    program.stop()
    harness.wait(1000)
    program.take_over()
    assert program.listener.port is None


@pytest.mark.parametrize("is_shared", [False, True])
def test_connections_waiting_at_a_shared_socket_are_left_to_the_other_incarnation(is_shared: bool) -> None:
    # The old incarnation has handed over its quota balances: it would have to reject the requests of
    # connections that it accepts during its shutdown.
    harness = Harness()
    listener = harness.listener
    listener.port = Mock()
    listener.port.doRead = lambda: listener.buildProtocol(None) and harness.net.connect("client", listener)
    count_before = len(listener.sessions)
    listener.max_sessions = 20 - SPARE_SESSIONS + count_before
    listener.close(is_shared)
    assert (len(listener.sessions) > count_before) is not is_shared
    listener.port.stopListening.assert_called_once()


KILL_AFTER_MS = 3700.0  # after SIGTERM, at the earliest, if the longest deadline is over 3 s


@pytest.mark.parametrize("stall_ms", [0.0, 150.0], ids=["handled at once", "handled late"])
@pytest.mark.parametrize("sent_after_ms", [720, 1500, 3300, 3440])
def test_request_sent_late_on_an_open_connection_is_answered_before_the_kill(
    sent_after_ms: int, stall_ms: float
) -> None:
    # In a soak test on a busy machine, a request that arrived 0.708 s after SIGTERM was still open at the
    # kill. A session with a pending answer is still read, so requests may arrive on it until the kill.
    harness = Harness(backends=1)
    harness.run("client send {call(1, wait=7000)}")
    signalled_at = harness.loop.clock()
    harness.wait(stall_ms)
    harness.program.stop(signalled_at)
    harness.wait(sent_after_ms - stall_ms)
    harness.run("client send {call(2, wait=7000)}")
    harness.wait(KILL_AFTER_MS - sent_after_ms - 150.0)  # the limiter may stall for 150 ms before it writes
    answers = harness.wire("client").value()
    assert answers.count(b"\r\n") == 2, answers


def test_limiter_ends_before_the_kill_although_its_clients_keep_sending() -> None:
    harness = Harness(backends=1)
    harness.program.stop()
    sent = 0
    while not harness.net.stopped:
        assert sent < KILL_AFTER_MS / 100, "the limiter is still running at the kill"
        wire = harness.wire("client")
        if not wire.ended:
            sent += 1
            harness.run(f"client send {{call({sent}, wait=7000)}}")
        harness.wait(100)
    assert sent > 30
    assert harness.wire("client").value().count(b"\r\n") == sent


def test_kill_time_depends_on_the_longest_deadline() -> None:
    harness = Harness(
        request_classes=(replace(IDEMPOTENT_CLASS, deadline_ms=2000.0),), kind_names=("fetch-cards",)
    )
    assert harness.program.kill_after_s() == pytest.approx(2.7)
    assert Harness().program.kill_after_s() == pytest.approx(KILL_AFTER_MS / 1000)
