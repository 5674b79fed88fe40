"""Upgrades of a limiter: two incarnations on a socket that the platform holds, killed at each step.

The incarnations are real processes. Whichever of them ends, and whenever, each request gets one complete
answer unless the process that had read it was killed, and no client is rejected while the other incarnation
runs.
"""

from __future__ import annotations

import json
import signal
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from processes import TIMEOUT_S, Backend, LimiterProcess, encode_lines
from scenario import call

from scalelb.program.predecessor import Incarnation

StartLimiter = Callable[..., LimiterProcess]
ANSWER = b"$2\r\nok\r\n"


@pytest.fixture
def inherited_socket() -> Iterator[socket.socket]:
    """The clients' listening socket, which the platform holds."""
    with socket.create_server(("127.0.0.1", 0), backlog=128) as server:
        yield server


def send_request(inherited_socket: socket.socket, request_id: int) -> socket.socket:
    client = socket.create_connection(inherited_socket.getsockname(), TIMEOUT_S)
    client.sendall(
        encode_lines(call(request_id, wait=60_000, swap=("00000000000000ad", f"{request_id:016x}")))
    )
    return client


def read_answer(client: socket.socket) -> bytes:
    """Read as many bytes as an answer has, or up to the end of the connection."""
    received = b""
    while len(received) < len(ANSWER) and (data := client.recv(100)):
        received += data
    return received


def call_operator_api(limiter: LimiterProcess, method: str, path: str) -> tuple[int, dict[str, Any]]:
    with limiter.connect(limiter.started["fronts"]["admin"]) as connection:
        connection.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        response = b""
        while data := connection.recv(65536):
            response += data
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


def start_incarnation(start_limiter: StartLimiter, inherited_socket: socket.socket) -> LimiterProcess:
    return start_limiter(inherited_socket=inherited_socket, admin="127.0.0.1:0")


def test_predecessor_finishes_its_requests_and_successor_accepts_new_ones(
    start_limiter: StartLimiter, inherited_socket: socket.socket, backend: Backend
) -> None:
    predecessor = start_incarnation(start_limiter, inherited_socket)
    predecessor.wait_for_event("ready")
    backend.may_answer.clear()
    in_flight = send_request(inherited_socket, 1)
    assert backend.request_received.wait(TIMEOUT_S)
    idle = socket.create_connection(inherited_socket.getsockname(), TIMEOUT_S)
    successor = start_incarnation(start_limiter, inherited_socket)
    successor.wait_for_event("ready")
    assert call_operator_api(successor, "GET", "/healthcheck") == (200, {"ready": True})
    predecessor.process.send_signal(signal.SIGTERM)
    predecessor.wait_for_event("relieved")
    assert successor.wait_for_event("taken over")["told"] is True
    assert idle.recv(10) == b""  # Closed at once, so that its client connects to the successor.
    later = send_request(inherited_socket, 2)
    backend.may_answer.set()
    assert [read_answer(in_flight), read_answer(later)] == [ANSWER, ANSWER]
    assert predecessor.process.wait(TIMEOUT_S) == 0
    assert successor.process.poll() is None
    assert call_operator_api(successor, "GET", "/stats")[1]["responses"]["fetch-cards"]["ok"] == 1


def test_successor_takes_over_the_peer_address_of_its_predecessor(
    start_limiter: StartLimiter,
    inherited_socket: socket.socket,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # In the soak test the successor could not bind the peers' address, which its predecessor still held, and
    # exited with status 2.
    with socket.create_server(("127.101.0.1", 0)) as probe:  # No other process dials from this address.
        address = f"127.101.0.1:{probe.getsockname()[1]}"
    peers = f'on = true\nlisten = "{address}"\n[members]\nn0 = "{address}"\nn1 = "127.101.0.2:9"\n'
    (tmp_path / "peers.toml").write_text(peers)
    monkeypatch.setenv("SCALELB_PEERS", str(tmp_path / "peers.toml"))
    predecessor = start_incarnation(start_limiter, inherited_socket)
    predecessor.wait_for_event("ready")
    successor = start_incarnation(start_limiter, inherited_socket)
    successor.wait_for_event("ready")
    predecessor.process.send_signal(signal.SIGTERM)
    assert successor.wait_for_event("taken over")["told"] is True
    successor.wait_for_event("recalled")  # Its links are up and it has settled.
    with send_request(inherited_socket, 1) as client:
        assert read_answer(client) == ANSWER
    assert predecessor.process.wait(TIMEOUT_S) == 0
    assert successor.process.poll() is None


def test_no_request_is_rejected_during_five_upgrades_under_load(
    start_limiter: StartLimiter, inherited_socket: socket.socket
) -> None:
    current, stop, wrong_answers, served = (
        start_incarnation(start_limiter, inherited_socket),
        threading.Event(),
        list[bytes](),
        list[int](),
    )
    current.wait_for_event("ready")

    def send_requests(first_id: int) -> None:
        request_id = first_id
        while not stop.is_set():
            with send_request(inherited_socket, request_id) as client:
                if (answer := read_answer(client)) != ANSWER:
                    wrong_answers.append(answer)
            served.append(request_id)
            request_id += 10

    clients = [threading.Thread(target=send_requests, args=(number,)) for number in range(10, 15)]
    for client in clients:
        client.start()
    try:
        for _ in range(5):
            successor = start_incarnation(start_limiter, inherited_socket)
            successor.wait_for_event("ready")
            current.process.send_signal(signal.SIGTERM)
            successor.wait_for_event("taken over", told=True)
            served_before = len(served)
            while len(served) < served_before + 20:
                assert not wrong_answers
            assert current.process.wait(TIMEOUT_S) == 0
            current = successor
    finally:
        stop.set()
        for client in clients:
            client.join(TIMEOUT_S)
    assert not wrong_answers
    assert len(served) >= 100


def test_successor_killed_before_it_is_ready_changes_nothing(
    start_limiter: StartLimiter, inherited_socket: socket.socket
) -> None:
    predecessor = start_incarnation(start_limiter, inherited_socket)
    predecessor.wait_for_event("ready")
    successor = start_incarnation(start_limiter, inherited_socket)
    successor.process.kill()
    successor.process.wait(TIMEOUT_S)
    assert read_answer(send_request(inherited_socket, 1)) == ANSWER
    # Without a successor, it accepts requests for a moment after SIGTERM.
    predecessor.process.send_signal(signal.SIGTERM)
    predecessor.wait_for_event("stopping")
    assert read_answer(send_request(inherited_socket, 2)) == ANSWER
    assert predecessor.process.wait(TIMEOUT_S) == 0


def test_successor_killed_after_it_is_ready_takes_nothing_over(
    start_limiter: StartLimiter, inherited_socket: socket.socket
) -> None:
    predecessor = start_incarnation(start_limiter, inherited_socket)
    predecessor.wait_for_event("ready")
    successor = start_incarnation(start_limiter, inherited_socket)
    successor.wait_for_event("ready")
    successor.process.kill()
    successor.process.wait(TIMEOUT_S)
    assert read_answer(send_request(inherited_socket, 1)) == ANSWER
    second_successor = start_incarnation(start_limiter, inherited_socket)
    second_successor.wait_for_event("ready")
    predecessor.process.send_signal(signal.SIGTERM)
    second_successor.wait_for_event("taken over", told=True)
    assert read_answer(send_request(inherited_socket, 2)) == ANSWER


@pytest.mark.parametrize(
    "step", ["before the successor", "before it is ready", "after it is ready", "after the handover"]
)  # fmt: skip
def test_killed_predecessor_leaves_the_socket_to_its_successor(
    start_limiter: StartLimiter, inherited_socket: socket.socket, backend: Backend, step: str
) -> None:
    predecessor = start_incarnation(start_limiter, inherited_socket)
    predecessor.wait_for_event("ready")
    if step == "before the successor":
        predecessor.process.kill()
        predecessor.process.wait(TIMEOUT_S)
    successor = start_incarnation(start_limiter, inherited_socket)
    if step == "before it is ready":
        predecessor.process.kill()
    successor.wait_for_event("ready")
    if step == "after it is ready":
        predecessor.process.kill()
    elif step == "after the handover":
        backend.may_answer.clear()
        in_flight = send_request(inherited_socket, 1)
        assert backend.request_received.wait(TIMEOUT_S)
        predecessor.process.send_signal(signal.SIGTERM)
        predecessor.wait_for_event("relieved")
        predecessor.process.kill()
        backend.may_answer.set()
        in_flight.close()
    if step != "before the successor":
        assert successor.wait_for_event("taken over")["told"] is (step == "after the handover")
    assert read_answer(send_request(inherited_socket, 2)) == ANSWER


@pytest.mark.parametrize(
    "handover",
    [b"", b"{", b'{"form":9}', b"[]", b'{"form":1,"at":-1}', b'{"form":1,"customers":7}', b"\0" * 99],
)
def test_limiter_starts_with_a_truncated_or_foreign_handover(
    start_limiter: StartLimiter, inherited_socket: socket.socket, tmp_path: Path, handover: bytes
) -> None:
    predecessor = start_incarnation(start_limiter, inherited_socket)
    predecessor.wait_for_event("ready")
    (tmp_path / "tmp" / "scalelb" / "left-1").write_bytes(handover)
    successor = start_incarnation(start_limiter, inherited_socket)
    successor.wait_for_event("taken over")
    assert read_answer(send_request(inherited_socket, 1)) == ANSWER
    assert predecessor.process.poll() is None


@pytest.mark.parametrize("state", ["a file in its place", "files of an earlier run", "foreign files"])
def test_limiter_starts_with_an_unusable_shared_folder(
    start_limiter: StartLimiter, inherited_socket: socket.socket, tmp_path: Path, state: str
) -> None:
    folder = tmp_path / "tmp" / "scalelb"
    folder.parent.mkdir()
    if state == "a file in its place":
        folder.write_text("")
    else:
        folder.mkdir()
        old_names = ["life-3", "ready-7", "left-1", "left-4"]
        names = old_names if state == "files of an earlier run" else ["life-x", "..."]
        for name in names:
            (folder / name).write_text("{}")
    limiter = start_incarnation(start_limiter, inherited_socket)
    limiter.wait_for_event("ready")
    assert read_answer(send_request(inherited_socket, 1)) == ANSWER
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_ejected_backend_stays_ejected_across_upgrades_until_the_operator_readmits_it(
    start_limiter: StartLimiter, inherited_socket: socket.socket
) -> None:
    predecessor = start_incarnation(start_limiter, inherited_socket)
    predecessor.wait_for_event("ready")
    assert call_operator_api(predecessor, "POST", "/deck-servers/s9/maint")[0] == 404
    assert call_operator_api(predecessor, "POST", "/deck-servers/s0/maint")[0] == 200
    assert call_operator_api(predecessor, "POST", "/deck-servers/s0/maint")[0] == 200
    assert call_operator_api(predecessor, "GET", "/stats")[1]["pool_ejected"] == 1
    successor = start_incarnation(start_limiter, inherited_socket)
    successor.wait_for_event("ready")
    assert call_operator_api(successor, "GET", "/stats")[1]["pool_ejected"] == 1
    # Either incarnation accepts the operator's calls.
    assert call_operator_api(successor, "POST", "/deck-servers/s0/ready")[0] == 200
    predecessor.wait_for_event("bans")
    assert call_operator_api(predecessor, "GET", "/stats")[1]["pool_ejected"] == 0
    assert call_operator_api(predecessor, "POST", "/deck-servers/s0/maint")[0] == 200
    successor.wait_for_event("bans")
    predecessor.process.kill()
    successor.wait_for_event("taken over")
    assert call_operator_api(successor, "GET", "/stats")[1]["pool_ejected"] == 1
    assert call_operator_api(successor, "POST", "/deck-servers/s0/ready")[0] == 200
    assert call_operator_api(successor, "GET", "/stats")[1]["pool_ejected"] == 0


@pytest.mark.parametrize(
    ("descriptor", "message"),
    [("x", "EDGE_FD: must be a descriptor"), ("999", "EDGE_FD: .*Bad file"), ("2", "EDGE_FD: ")],
)
def test_error_names_a_descriptor_that_is_no_listening_socket(descriptor: str, message: str) -> None:
    from scalelb.program.config import ConfigError, read_inherited

    with pytest.raises(ConfigError, match=message):
        read_inherited({"EDGE_FD": descriptor})
    assert read_inherited({}) is None


def test_running_incarnations_are_recognized_by_their_locks(tmp_path: Path) -> None:
    events: list[str] = []
    incarnations = [
        Incarnation(str(tmp_path), lambda event, **fields: events.append(event)) for _ in range(3)
    ]
    for incarnation in incarnations[:2]:
        incarnation.register()
    assert (incarnations[1].number, incarnations[1].predecessor) == (2, 1)
    assert incarnations[1].read_handover() is None
    assert not incarnations[0].has_successor()
    incarnations[1].announce_ready()
    assert incarnations[0].has_successor()
    incarnations[0].hand_over({"at": 1})
    assert incarnations[1].read_handover() == {"form": 1, "at": 1}
    import os

    os.close(incarnations[0].lock_descriptor)
    assert not incarnations[1].is_running(1)
    incarnations[2].register()
    assert (incarnations[2].number, incarnations[2].predecessor) == (3, 2)
    incarnations[2].remove_stale_files()
    assert sorted(path.name for path in (tmp_path / "scalelb").iterdir()) == ["life-2", "life-3", "ready-2"]
