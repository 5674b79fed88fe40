"""Races between two events, with the program as a subprocess and real sockets; the tests force their order.

A connection to a backend or to discovery with a full backlog stays pending until the test accepts it. While
the limiter is stopped (SIGSTOP) it reads nothing, and finds all that was written meanwhile, in order, in its
next loop iteration.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from select import select
from typing import Any

import pytest
from processes import (
    SETTINGS,
    TIMEOUT_S,
    LimiterProcess,
    Peer,
    ProcessLimits,
    encode_lines,
    eventually,
    read_to_end,
    read_until,
    tcp_states,
)
from scenario import SERVED, call

RunLimiter = Callable[..., LimiterProcess]
LONG_DEADLINE_MS = 60_000
LIMITER_SETTINGS: dict[str, Any] = json.loads(json.dumps(SETTINGS))
LIMITER_SETTINGS["limits"] |= {"connect-timeout-ms": 50_000.0, "cancel": False}


def entry(peer: Peer, name: str = "s0", state: str = "ready") -> dict[str, Any]:
    return {"instanceId": name, "hostPort": f"127.0.0.1:{peer.port}", "lifecycle": state}


def send_list(
    discovery: socket.socket, generation: int, *entries: dict[str, Any], is_complete: bool = True
) -> None:
    """Answer the next poll of discovery."""
    read_until(discovery, b"\r\n\r\n")
    body = json.dumps({"generation": generation, "reset": is_complete, "instances": entries}).encode()
    discovery.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def send_request(limiter: LimiterProcess, number: int) -> socket.socket:
    """Send a request on a new connection, which is returned."""
    client = limiter.connect()
    client.sendall(encode_lines(call(number, wait=LONG_DEADLINE_MS)))
    return client


def request_id(number: int) -> bytes:
    return f"{number:016x}".encode()


@pytest.fixture
def run_limiter(tmp_path: Path) -> Iterator[RunLimiter]:
    running: list[LimiterProcess] = []

    def start(discovery: Peer, *known: dict[str, Any], **options: Any) -> LimiterProcess:
        running.append(
            LimiterProcess(tmp_path, discovery.port, settings=LIMITER_SETTINGS, known=known, **options)
        )
        return running[-1]

    yield start
    for limiter in running:
        limiter.process.kill()
        limiter.process.communicate()


def test_request_is_not_forwarded_if_its_client_disconnects_while_the_connection_is_opened(
    run_limiter: RunLimiter,
) -> None:
    discovery, backend = Peer(), Peer(has_full_backlog=True)
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    client = send_request(limiter, 1)
    backend.wait_until_dialled()
    client.close()
    wait_for_closed_sessions(limiter)
    second = send_request(limiter, 2)
    connections = [backend.accept(), backend.accept()]  # the one opened for the first request becomes idle
    received = b""
    for _ in eventually():
        received += accept_and_read(backend, connections, answers=True)
        if request_id(2) in received:
            break
    assert read_until(second, b"ok\r\n")
    second.close()
    limiter.process.send_signal(signal.SIGTERM)
    for connection in connections:
        connection.settimeout(TIMEOUT_S)
        received += read_to_end(connection)
    assert received.count(b"CALL.GET") == 1


def wait_for_closed_sessions(limiter: LimiterProcess, remaining: int = 0) -> None:
    """Wait until the limiter has closed all client connections but `remaining`: it has noticed which clients
    disconnected."""
    for _ in eventually():
        if sum(state in ("01", "08") for state in tcp_states(limiter.started["port"])) == remaining:
            return


def test_attempt_that_waits_for_a_connection_is_sent_elsewhere_when_the_backend_drains(
    run_limiter: RunLimiter,
) -> None:
    discovery, backend, other = Peer(), Peer(has_full_backlog=True), Peer()
    limiter = run_limiter(discovery, entry(backend))
    polls = discovery.accept()
    send_list(polls, 3, entry(backend))
    limiter.wait_for_event("list", generation=3)
    client = send_request(limiter, 1)
    backend.wait_until_dialled()
    send_list(polls, 4, entry(backend, state="draining"), entry(other, "s1"), is_complete=False)
    at_other = other.accept()  # the attempt is sent here at once, although the first connection is pending
    assert request_id(1) in read_until(at_other, b"first=0\r\n")
    assert "timeout" not in limiter.wait_for_event("tally")["counts"]
    at_backend = backend.accept()
    at_other.sendall(encode_lines(SERVED))
    assert read_until(client, b"ok\r\n")
    client.close()
    limiter.process.send_signal(signal.SIGTERM)
    assert read_to_end(at_backend) == b""
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_no_further_attempts_are_sent_for_a_paused_session_after_its_client_disconnected(
    run_limiter: RunLimiter,
) -> None:
    # With 200 pipelined requests the limiter pauses reading from the session, so it does not see that the
    # client disconnects. Some attempts are in flight, the other requests wait. Whenever an attempt ended, the
    # next request was forwarded for a client that was no longer there.
    discovery, backend = Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    client, other = limiter.connect(), limiter.connect()
    client.sendall(b"".join(encode_lines(call(n, wait=LONG_DEADLINE_MS)) for n in range(1, 201)))
    first = backend.accept()
    for _ in range(3):  # three loop iterations: all attempts that can be sent now are with the kernel
        other.sendall(encode_lines("*1\n$4\nPING\n"))
        read_until(other, b"PONG\r\n")
    at_backend = [first]
    attempts = accept_and_read(backend, at_backend, answers=False).count(b"CALL.GET")
    client.close()
    for _ in eventually():
        # The kernel has the client's FIN; the limiter has not read it.
        if "08" in tcp_states(limiter.started["port"]):
            break
    first.sendall(encode_lines(SERVED))  # ends an attempt, so that the next request could be forwarded
    wait_for_closed_sessions(limiter, remaining=1)
    other.sendall(
        encode_lines(call(999, wait=LONG_DEADLINE_MS, swap=("00000000000000ad", "00000000000000ae")))
    )
    received = b""
    for _ in eventually():
        received += accept_and_read(backend, at_backend, answers=True)
        if request_id(999) in received:
            break
    assert attempts > 0
    assert received.count(b"CALL.GET") == 1


def accept_and_read(backend: Peer, accepted: list[socket.socket], answers: bool) -> bytes:
    """Accept all pending connections and return what can be read from all of them at once.

    With `answers`, each connection on which something was read gets a reply."""
    backend.server.setblocking(False)
    received = b""
    with suppress(BlockingIOError):
        while True:
            accepted.append(backend.server.accept()[0])
    for connection in accepted:
        connection.setblocking(False)
        with suppress(OSError):  # nothing to read, or reset because the client has disconnected
            received += (more := connection.recv(65536))
            if answers and more:
                connection.sendall(encode_lines(SERVED))
    return received


def test_request_received_together_with_the_last_answer_of_a_closing_session_is_served(
    run_limiter: RunLimiter,
) -> None:
    # The session was closed after its last answer. A request that was read in the same loop iteration was
    # forwarded, and its answer was lost with the connection.
    discovery, backend = Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    client = send_request(limiter, 1)
    at_backend = backend.accept()
    read_until(at_backend, b"first=0\r\n")
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    wait_until_refused(limiter)
    limiter.process.send_signal(signal.SIGSTOP)
    at_backend.sendall(encode_lines(SERVED))  # the limiter reads this first,
    client.sendall(encode_lines(call(2, wait=LONG_DEADLINE_MS)))  # and this in the same loop iteration
    limiter.process.send_signal(signal.SIGCONT)
    assert read_until(client, b"ok\r\n").endswith(b"$2\r\nok\r\n")
    assert request_id(2) in read_until(at_backend, b"first=0\r\n")
    time.sleep(0.2)  # gives a faulty limiter time to close the connection before the answer is there
    at_backend.sendall(encode_lines(SERVED))
    assert read_to_end(client) == b"$2\r\nok\r\n"
    client.close()
    assert limiter.process.wait(TIMEOUT_S) == 0


def wait_until_refused(limiter: LimiterProcess) -> None:
    """Wait until the limiter refuses new connections."""
    for _ in eventually():
        try:
            limiter.connect().close()
        except ConnectionRefusedError:
            return


def test_connections_in_the_backlog_are_served_when_the_port_is_closed(run_limiter: RunLimiter) -> None:
    # The port was closed before the loop had accepted them, and they were reset.
    discovery, backend = Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    # Twisted accepts as many per iteration as in the previous one, then more.
    with limiter.connect() as first:
        first.sendall(encode_lines("*1\n$4\nPING\n"))
        read_until(first, b"PONG\r\n")
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    limiter.process.send_signal(signal.SIGSTOP)
    # More than the loop accepts in one iteration, each of another tenant; the kernel has accepted them all.
    clients = [limiter.connect() for _ in range(40)]
    for number, client in enumerate(clients):
        client.sendall(
            encode_lines(call(number, wait=LONG_DEADLINE_MS, swap=("00000000000000ad", f"{number:016x}")))
        )
    time.sleep(1.0)  # the end of the grace period is due now: it is processed after the first loop iteration
    limiter.process.send_signal(signal.SIGCONT)
    at_backend: list[socket.socket] = []
    answers = [b""] * len(clients)
    for _ in eventually():
        accept_and_read(backend, at_backend, answers=True)
        for index, client in enumerate(clients):
            client.setblocking(False)
            with suppress(BlockingIOError):
                answers[index] += client.recv(100)
        if all(answers):
            break
    assert set(answers) == {b"$2\r\nok\r\n"}
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_partly_received_request_and_value_are_completed_during_shutdown(run_limiter: RunLimiter) -> None:
    # At shutdown one half of a request has been received, and one half of a long value has been forwarded.
    discovery, backend = Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    long_reply = b"*3\r\n$200000\r\n" + b"v" * 200_000 + b"\r\n$-1\r\n$-1\r\n"
    streaming = send_request(limiter, 1)
    at_first = backend.accept()
    read_until(at_first, b"first=0\r\n")
    at_first.sendall(long_reply[:100_000])
    received = read_until(streaming, b"v" * 1000)
    partial, command = limiter.connect(), encode_lines(call(2, wait=LONG_DEADLINE_MS))
    partial.sendall(command[:40])
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    wait_until_refused(limiter)
    partial.sendall(command[40:])
    at_second = backend.accept()
    assert request_id(2) in read_until(at_second, b"first=0\r\n")
    at_second.sendall(encode_lines(SERVED))
    assert read_to_end(partial) == b"$2\r\nok\r\n"
    at_first.sendall(long_reply[100_000:])
    assert received + read_to_end(streaming) == b"$200000\r\n" + b"v" * 200_000 + b"\r\n"
    partial.close()
    streaming.close()
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_answers_during_shutdown_are_in_the_order_of_the_requests(run_limiter: RunLimiter) -> None:
    discovery, backend = Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    client = limiter.connect()
    client.sendall(encode_lines(call(1, wait=LONG_DEADLINE_MS) + call(2, wait=LONG_DEADLINE_MS)))
    connections = [backend.accept(), backend.accept()]
    # By whether the attempt is that of the first request.
    attempts = {
        request_id(1) in read_until(connection, b"first=0\r\n"): connection for connection in connections
    }
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    wait_until_refused(limiter)
    attempts[False].sendall(encode_lines("*3\n$3\ntwo\n$-1\n$-1\n"))
    attempts[True].sendall(encode_lines("*3\n$3\none\n$-1\n$-1\n"))
    assert read_to_end(client) == b"$3\r\none\r\n$3\r\ntwo\r\n"
    client.close()
    assert limiter.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("first", ["client", "backend"])
def test_attempt_is_not_retried_if_its_client_disconnects_while_it_fails(
    run_limiter: RunLimiter, first: str
) -> None:
    discovery, backend, other = Peer(), Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend), entry(other, "s1"))
    limiter.wait_for_event("ready")
    client, other_client = send_request(limiter, 1), limiter.connect()
    backends = [backend, other]
    first_attempt = accept_from_any(backends)
    read_until(first_attempt, b"first=0\r\n")
    limiter.process.send_signal(signal.SIGSTOP)
    for connection in (client, first_attempt) if first == "client" else (first_attempt, client):
        connection.close()  # the limiter sees both ends in its next loop iteration, in this order
    limiter.process.send_signal(signal.SIGCONT)
    wait_for_closed_sessions(limiter, remaining=1)
    other_client.sendall(encode_lines(call(2, wait=LONG_DEADLINE_MS)))
    next_attempt = accept_from_any(backends)
    assert request_id(2) in read_until(next_attempt, b"first=0\r\n")  # there was no attempt in between
    next_attempt.sendall(encode_lines(SERVED))
    assert read_until(other_client, b"ok\r\n")
    other_client.close()


def accept_from_any(peers: list[Peer]) -> socket.socket:
    """Return the next connection to any of the peers."""
    ready, _, _ = select([peer.server for peer in peers], [], [], TIMEOUT_S)
    return next(peer.accept() for peer in peers if peer.server in ready)


def test_program_stops_on_sigterm_while_its_connection_to_discovery_is_pending(
    run_limiter: RunLimiter,
) -> None:
    discovery, backend = Peer(has_full_backlog=True), Peer()
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    discovery.wait_until_dialled()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):  # further signals while it is draining
        limiter.process.send_signal(number)
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_idle_clients_are_not_reset_at_shutdown_and_unread_answers_are_not_lost(
    run_limiter: RunLimiter,
) -> None:
    discovery, backend = Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend))
    limiter.wait_for_event("ready")
    answered, unused = send_request(limiter, 1), limiter.connect()
    at_backend = backend.accept()
    read_until(at_backend, b"first=0\r\n")
    at_backend.sendall(encode_lines(SERVED))
    for _ in eventually():
        if len(answered.recv(100, socket.MSG_PEEK)) == 8:
            break
    limiter.process.send_signal(signal.SIGTERM)
    assert read_to_end(answered) == b"$2\r\nok\r\n"
    assert read_to_end(unused) == b""
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_limiter_reconnects_to_discovery_although_idle_clients_use_up_its_descriptors(
    run_limiter: RunLimiter,
) -> None:
    # 300 clients that send nothing or are idle connect while discovery is unreachable; the limit is 256
    # descriptors.
    discovery, backend, other = Peer(has_full_backlog=True), Peer(), Peer()
    limiter = run_limiter(discovery, entry(backend), limits=ProcessLimits(sockets=256))
    limiter.wait_for_event("ready")
    discovery.wait_until_dialled()
    clients = [limiter.connect() for _ in range(300)]
    for client in clients[::2]:
        client.sendall(encode_lines("*1\n$4\nPING\n"))
    for _ in eventually():  # until the limiter has accepted about as many as it can
        if len(os.listdir(f"/proc/{limiter.process.pid}/fd")) > 150:
            break
    polls = discovery.accept()
    send_list(polls, 3, entry(backend, state="draining"), entry(other, "s1"))
    limiter.wait_for_event("list", generation=3)
    requesting = send_request(limiter, 1)
    assert request_id(1) in read_until(other.accept(), b"first=0\r\n")
    requesting.close()
