"""Two things that cross, on the program as it is run and real sockets; the order is forced, not hoped for.

A backend or director whose backlog is full keeps a connection under way until the test lets it up.  A limiter
that is stopped (SIGSTOP) reads nothing: what is written meanwhile is all there in its next round, in order.
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
    encode_lines,
    eventually,
    read_to_end,
    read_until,
    tcp_states,
)
from scenario import SERVED, call

Run = Callable[..., LimiterProcess]
LONG = 60_000
SITE: dict[str, Any] = json.loads(json.dumps(SETTINGS))
SITE["limits"] |= {"connect-timeout-ms": 50_000.0, "cancel": False}


def entry(peer: Peer, name: str = "s0", state: str = "ready") -> dict[str, Any]:
    return {"instanceId": name, "hostPort": f"127.0.0.1:{peer.port}", "lifecycle": state}


def tell(director: socket.socket, generation: int, *entries: dict[str, Any], full: bool = True) -> None:
    """Answer the director's next call."""
    read_until(director, b"\r\n\r\n")
    body = json.dumps({"generation": generation, "reset": full, "instances": entries}).encode()
    director.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def ask(limiter: LimiterProcess, number: int) -> socket.socket:
    client = limiter.connect()
    client.sendall(encode_lines(call(number, wait=LONG)))
    return client


def ident(number: int) -> bytes:
    return f"{number:016x}".encode()


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Run]:
    running: list[LimiterProcess] = []

    def begin(director: Peer, *known: dict[str, Any], **more: Any) -> LimiterProcess:
        running.append(LimiterProcess(tmp_path, director.port, settings=SITE, known=known, **more))
        return running[-1]

    yield begin
    for limiter in running:
        limiter.process.kill()
        limiter.process.communicate()


def test_a_client_that_leaves_while_its_connection_comes_up_has_nothing_sent(run: Run) -> None:
    director, backend = Peer(), Peer(has_full_backlog=True)
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    client = ask(limiter, 1)
    backend.wait_until_dialled()
    client.close()
    left(limiter)
    second = ask(limiter, 2)
    both = [backend.accept(), backend.accept()]  # the one that came up for the first request rests
    came = b""
    for _ in eventually():
        came += serve(backend, both, answer=True)
        if ident(2) in came:
            break
    assert read_until(second, b"ok\r\n")
    second.close()
    limiter.process.send_signal(signal.SIGTERM)
    for connection in both:
        connection.settimeout(TIMEOUT_S)
        came += read_to_end(connection)
    assert came.count(b"CALL.GET") == 1


def left(limiter: LimiterProcess, but: int = 0) -> None:
    """Wait until the limiter has closed its side too, to all `but` so many: it has seen who left."""
    for _ in eventually():
        if sum(state in ("01", "08") for state in tcp_states(limiter.started["port"])) == but:
            return


def test_a_backend_that_drains_while_its_connection_comes_up_gets_nothing(run: Run) -> None:
    director, backend, other = Peer(), Peer(has_full_backlog=True), Peer()
    limiter = run(director, entry(backend))
    calls = director.accept()
    tell(calls, 3, entry(backend))
    limiter.wait_for_event("list", generation=3)
    client = ask(limiter, 1)
    backend.wait_until_dialled()
    tell(calls, 4, entry(backend, state="draining"), entry(other, "s1"), full=False)
    at_other = other.accept()  # it goes elsewhere at once, and does not wait for the connection
    assert ident(1) in read_until(at_other, b"first=0\r\n")
    assert "timeout" not in limiter.wait_for_event("tally")["counts"]
    at_backend = backend.accept()
    at_other.sendall(encode_lines(SERVED))
    assert read_until(client, b"ok\r\n")
    client.close()
    limiter.process.send_signal(signal.SIGTERM)
    assert read_to_end(at_backend) == b""
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_a_paused_session_whose_client_left_has_nothing_further_sent(run: Run) -> None:
    # 200 requests at once: the session is read no further, so its end is not seen; some are out, others wait.
    # As soon as a place was free the next was sent, for a client that had gone.
    director, backend = Peer(), Peer()
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    client, other = limiter.connect(), limiter.connect()
    client.sendall(b"".join(encode_lines(call(n, wait=LONG)) for n in range(1, 201)))
    first = backend.accept()
    for _ in range(3):  # three rounds of the loop: what is to be sent now is with the kernel
        other.sendall(encode_lines("*1\n$4\nPING\n"))
        read_until(other, b"PONG\r\n")
    at_backend = [first]
    out = serve(backend, at_backend, answer=False).count(b"CALL.GET")
    client.close()
    for _ in eventually():
        if "08" in tcp_states(limiter.started["port"]):  # the client's end is there; nobody has read that far
            break
    first.sendall(encode_lines(SERVED))  # frees a place: the next that waits would be sent
    left(limiter, but=1)
    other.sendall(encode_lines(call(999, wait=LONG, swap=("00000000000000ad", "00000000000000ae"))))
    came = b""
    for _ in eventually():
        came += serve(backend, at_backend, answer=True)
        if ident(999) in came:
            break
    assert out > 0
    assert came.count(b"CALL.GET") == 1


def serve(backend: Peer, accepted: list[socket.socket], answer: bool) -> bytes:
    """Accept and read what is there."""
    backend.server.setblocking(False)
    came = b""
    with suppress(BlockingIOError):
        while True:
            accepted.append(backend.server.accept()[0])
    for connection in accepted:
        connection.setblocking(False)
        with suppress(OSError):  # nothing there, or reset as the client has gone
            came += (more := connection.recv(65536))
            if answer and more:
                connection.sendall(encode_lines(SERVED))
    return came


def test_a_request_that_crosses_the_last_answer_of_a_closing_session_is_served(run: Run) -> None:
    # The session closed with its last answer; what had come meanwhile was read in the same round, taken, sent
    # on, and lost with the connection.
    director, backend = Peer(), Peer()
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    client = ask(limiter, 1)
    at_backend = backend.accept()
    read_until(at_backend, b"first=0\r\n")
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    closed(limiter)
    limiter.process.send_signal(signal.SIGSTOP)
    at_backend.sendall(encode_lines(SERVED))  # this is seen first,
    client.sendall(encode_lines(call(2, wait=LONG)))  # and this in the same round
    limiter.process.send_signal(signal.SIGCONT)
    assert read_until(client, b"ok\r\n").endswith(b"$2\r\nok\r\n")
    assert ident(2) in read_until(at_backend, b"first=0\r\n")
    time.sleep(0.2)  # a connection that is about to close has closed: the answer must not win a race
    at_backend.sendall(encode_lines(SERVED))
    assert read_to_end(client) == b"$2\r\nok\r\n"
    client.close()
    assert limiter.process.wait(TIMEOUT_S) == 0


def closed(limiter: LimiterProcess) -> None:
    """Wait until nobody new is let in."""
    for _ in eventually():
        try:
            limiter.connect().close()
        except ConnectionRefusedError:
            return


def test_what_waits_in_the_backlog_as_the_port_closes_is_served(run: Run) -> None:
    # The port was closed before the loop had accepted them: they were reset.
    director, backend = Peer(), Peer()
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    with limiter.connect() as first:  # Twisted accepts as many in a round as the last one brought, then more
        first.sendall(encode_lines("*1\n$4\nPING\n"))
        read_until(first, b"PONG\r\n")
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    limiter.process.send_signal(signal.SIGSTOP)
    # More than the loop accepts in one round, each of another customer; the kernel has accepted them.
    clients = [limiter.connect() for _ in range(40)]
    for number, client in enumerate(clients):
        client.sendall(encode_lines(call(number, wait=LONG, swap=("00000000000000ad", f"{number:016x}"))))
    time.sleep(1.0)  # the end is due by now: it comes after the loop's first round
    limiter.process.send_signal(signal.SIGCONT)
    at_backend: list[socket.socket] = []
    answers = [b""] * len(clients)
    for _ in eventually():
        serve(backend, at_backend, answer=True)
        for place, client in enumerate(clients):
            client.setblocking(False)
            with suppress(BlockingIOError):
                answers[place] += client.recv(100)
        if all(answers):
            break
    assert set(answers) == {b"$2\r\nok\r\n"}
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_what_is_half_there_at_the_end_is_finished(run: Run) -> None:
    # A head of which half has come, a long value of which half is out, and answers owed in another order.
    director, backend = Peer(), Peer()
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    long = b"*3\r\n$200000\r\n" + b"v" * 200_000 + b"\r\n$-1\r\n$-1\r\n"
    streaming = ask(limiter, 1)
    at_first = backend.accept()
    read_until(at_first, b"first=0\r\n")
    at_first.sendall(long[:100_000])
    came = read_until(streaming, b"v" * 1000)
    half, text = limiter.connect(), encode_lines(call(2, wait=LONG))
    half.sendall(text[:40])
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    closed(limiter)
    half.sendall(text[40:])
    at_second = backend.accept()
    assert ident(2) in read_until(at_second, b"first=0\r\n")
    at_second.sendall(encode_lines(SERVED))
    assert read_to_end(half) == b"$2\r\nok\r\n"
    at_first.sendall(long[100_000:])
    assert came + read_to_end(streaming) == b"$200000\r\n" + b"v" * 200_000 + b"\r\n"
    half.close()
    streaming.close()
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_answers_owed_in_order_at_the_end_come_in_order(run: Run) -> None:
    director, backend = Peer(), Peer()
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    client = limiter.connect()
    client.sendall(encode_lines(call(1, wait=LONG) + call(2, wait=LONG)))
    both = [backend.accept(), backend.accept()]
    asked = {ident(1) in read_until(at, b"first=0\r\n"): at for at in both}  # whether it is the first
    limiter.process.send_signal(signal.SIGTERM)
    limiter.wait_for_event("stopping")
    closed(limiter)
    asked[False].sendall(encode_lines("*3\n$3\ntwo\n$-1\n$-1\n"))
    asked[True].sendall(encode_lines("*3\n$3\none\n$-1\n$-1\n"))
    assert read_to_end(client) == b"$3\r\none\r\n$3\r\ntwo\r\n"
    client.close()
    assert limiter.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("first", ["client", "backend"])
def test_a_client_that_leaves_as_its_attempt_breaks_has_no_further_one(run: Run, first: str) -> None:
    director, backend, other = Peer(), Peer(), Peer()
    limiter = run(director, entry(backend), entry(other, "s1"))
    limiter.wait_for_event("ready")
    client, staying = ask(limiter, 1), limiter.connect()
    served = [backend, other]
    at_one = next_of(served)
    read_until(at_one, b"first=0\r\n")
    limiter.process.send_signal(signal.SIGSTOP)
    for end in (client, at_one) if first == "client" else (at_one, client):
        end.close()  # both are there in the next round, in this order
    limiter.process.send_signal(signal.SIGCONT)
    left(limiter, but=1)
    staying.sendall(encode_lines(call(2, wait=LONG)))
    at_two = next_of(served)
    assert ident(2) in read_until(at_two, b"first=0\r\n")  # the first that comes after it
    at_two.sendall(encode_lines(SERVED))
    assert read_until(staying, b"ok\r\n")
    staying.close()


def next_of(peers: list[Peer]) -> socket.socket:
    """The next connection to any of them."""
    ready, _, _ = select([peer.server for peer in peers], [], [], TIMEOUT_S)
    return next(peer.accept() for peer in peers if peer.server in ready)


def test_sigterm_while_the_director_can_not_be_reached_ends_the_program(run: Run) -> None:
    director, backend = Peer(has_full_backlog=True), Peer()
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    director.wait_until_dialled()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):  # and again while it drains
        limiter.process.send_signal(number)
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_a_client_that_rests_until_the_end_has_its_answer_and_an_end_that_is_no_reset(run: Run) -> None:
    director, backend = Peer(), Peer()
    limiter = run(director, entry(backend))
    limiter.wait_for_event("ready")
    resting, silent = ask(limiter, 1), limiter.connect()
    at_backend = backend.accept()
    read_until(at_backend, b"first=0\r\n")
    at_backend.sendall(encode_lines(SERVED))
    for _ in eventually():
        if len(resting.recv(100, socket.MSG_PEEK)) == 8:
            break
    limiter.process.send_signal(signal.SIGTERM)
    assert read_to_end(resting) == b"$2\r\nok\r\n"
    assert read_to_end(silent) == b""
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_the_director_is_heard_again_though_idle_clients_hold_all_descriptors(run: Run) -> None:
    # 300 clients that say nothing or rest, at a limit of 256 descriptors, come while the director is away.
    director, backend, other = Peer(has_full_backlog=True), Peer(), Peer()
    limiter = run(director, entry(backend), sockets=256)
    limiter.wait_for_event("ready")
    director.wait_until_dialled()
    clients = [limiter.connect() for _ in range(300)]
    for client in clients[::2]:
        client.sendall(encode_lines("*1\n$4\nPING\n"))
    for _ in eventually():  # it holds as many as it ever will
        if len(os.listdir(f"/proc/{limiter.process.pid}/fd")) > 150:
            break
    calls = director.accept()
    tell(calls, 3, entry(backend, state="draining"), entry(other, "s1"))
    limiter.wait_for_event("list", generation=3)
    asking = ask(limiter, 1)
    assert ident(1) in read_until(other.accept(), b"first=0\r\n")
    asking.close()
