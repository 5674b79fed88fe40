"""Two lives of one limiter on a socket that the platform holds: real processes, killed at each step.

What must hold whatever dies when: every request that a client has sent gets one whole answer, unless the
process that had read it was killed outright, and nobody is turned back while the other life runs.
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
from processes import PATIENCE, Backend, Limiter, wire
from scenario import call

from scalelb.program.predecessor import Incarnation

Start = Callable[..., Limiter]
ANSWER = b"$2\r\nok\r\n"


@pytest.fixture
def heir() -> Iterator[socket.socket]:
    """The clients' socket, as the platform holds it."""
    with socket.create_server(("127.0.0.1", 0), backlog=128) as server:
        yield server


def ask(heir: socket.socket, ident: int) -> socket.socket:
    client = socket.create_connection(heir.getsockname(), PATIENCE)
    client.sendall(wire(call(ident, wait=60_000, swap=("00000000000000ad", f"{ident:016x}"))))
    return client


def answered(client: socket.socket) -> bytes:
    """All that comes until as much as an answer is there, or the end."""
    came = b""
    while len(came) < len(ANSWER) and (more := client.recv(100)):
        came += more
    return came


def admin(limiter: Limiter, verb: str, path: str) -> tuple[int, dict[str, Any]]:
    with limiter.client(limiter.started["fronts"]["admin"]) as caller:
        caller.sendall(f"{verb} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        came = b""
        while more := caller.recv(65536):
            came += more
    head, _, body = came.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


def begin(start: Start, heir: socket.socket) -> Limiter:
    return start(heir=heir, admin="127.0.0.1:0")


def test_the_old_life_finishes_what_it_took_and_the_new_one_takes_the_rest(
    start: Start, heir: socket.socket, backend: Backend
) -> None:
    old = begin(start, heir)
    old.until("ready")
    backend.may.clear()
    taken = ask(heir, 1)
    assert backend.came.wait(PATIENCE)
    idle = socket.create_connection(heir.getsockname(), PATIENCE)
    new = begin(start, heir)
    new.until("ready")
    assert admin(new, "GET", "/healthcheck") == (200, {"ready": True})
    old.process.send_signal(signal.SIGTERM)
    old.until("relieved")
    assert new.until("taken over")["told"] is True
    assert idle.recv(10) == b""  # told at once, so that it comes to the new one
    after = ask(heir, 2)
    backend.may.set()
    assert [answered(taken), answered(after)] == [ANSWER, ANSWER]
    assert old.process.wait(PATIENCE) == 0
    assert new.process.poll() is None
    assert admin(new, "GET", "/stats")[1]["responses"]["fetch-cards"]["ok"] == 1


def test_a_successor_takes_over_the_links_of_its_predecessor(
    start: Start, heir: socket.socket, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Seen in the soak: the successor could not bind the links' address, which its predecessor held, and ended
    # with status 2.
    with socket.create_server(("127.101.0.1", 0)) as free:  # where nobody dials from
        address = f"127.101.0.1:{free.getsockname()[1]}"
    links = f'on = true\nlisten = "{address}"\n[members]\nn0 = "{address}"\nn1 = "127.101.0.2:9"\n'
    (tmp_path / "peers.toml").write_text(links)
    monkeypatch.setenv("SCALELB_PEERS", str(tmp_path / "peers.toml"))
    old = begin(start, heir)
    old.until("ready")
    new = begin(start, heir)
    new.until("ready")
    old.process.send_signal(signal.SIGTERM)
    assert new.until("taken over")["told"] is True
    new.until("recalled")  # its links are up: it has settled
    with ask(heir, 1) as client:
        assert answered(client) == ANSWER
    assert old.process.wait(PATIENCE) == 0
    assert new.process.poll() is None


def test_no_request_is_turned_back_through_five_upgrades_under_load(
    start: Start, heir: socket.socket
) -> None:
    life, stop, wrong, served = begin(start, heir), threading.Event(), list[bytes](), list[int]()
    life.until("ready")

    def come(first: int) -> None:
        ident = first
        while not stop.is_set():
            with ask(heir, ident) as client:
                if (came := answered(client)) != ANSWER:
                    wrong.append(came)
            served.append(ident)
            ident += 10

    clients = [threading.Thread(target=come, args=(n,)) for n in range(10, 15)]
    for client in clients:
        client.start()
    try:
        for _ in range(5):
            new = begin(start, heir)
            new.until("ready")
            life.process.send_signal(signal.SIGTERM)
            new.until("taken over", told=True)
            before = len(served)
            while len(served) < before + 20:
                assert not wrong
            assert life.process.wait(PATIENCE) == 0
            life = new
    finally:
        stop.set()
        for client in clients:
            client.join(PATIENCE)
    assert not wrong
    assert len(served) >= 100


def test_a_new_life_that_dies_before_its_yes_changes_nothing(start: Start, heir: socket.socket) -> None:
    old = begin(start, heir)
    old.until("ready")
    new = begin(start, heir)
    new.process.kill()
    new.process.wait(PATIENCE)
    assert answered(ask(heir, 1)) == ANSWER
    old.process.send_signal(signal.SIGTERM)  # nobody relieves it: it goes on for a moment, and ends well
    old.until("stopping")
    assert answered(ask(heir, 2)) == ANSWER
    assert old.process.wait(PATIENCE) == 0


def test_a_new_life_that_dies_after_its_yes_relieves_nobody(start: Start, heir: socket.socket) -> None:
    old = begin(start, heir)
    old.until("ready")
    new = begin(start, heir)
    new.until("ready")
    new.process.kill()
    new.process.wait(PATIENCE)
    assert answered(ask(heir, 1)) == ANSWER
    third = begin(start, heir)
    third.until("ready")
    old.process.send_signal(signal.SIGTERM)
    third.until("taken over", told=True)
    assert answered(ask(heir, 2)) == ANSWER


@pytest.mark.parametrize(
    "step", ["before the new one", "before its yes", "after its yes", "when it has left"]
)  # fmt: skip
def test_an_old_life_that_is_killed_leaves_the_socket_to_the_new_one(
    start: Start, heir: socket.socket, backend: Backend, step: str
) -> None:
    old = begin(start, heir)
    old.until("ready")
    if step == "before the new one":
        old.process.kill()
        old.process.wait(PATIENCE)
    new = begin(start, heir)
    if step == "before its yes":
        old.process.kill()
    new.until("ready")
    if step == "after its yes":
        old.process.kill()
    elif step == "when it has left":
        backend.may.clear()
        taken = ask(heir, 1)
        assert backend.came.wait(PATIENCE)
        old.process.send_signal(signal.SIGTERM)
        old.until("relieved")
        old.process.kill()
        backend.may.set()
        taken.close()
    if step != "before the new one":
        assert new.until("taken over")["told"] is (step == "when it has left")
    assert answered(ask(heir, 2)) == ANSWER


@pytest.mark.parametrize(
    "left", [b"", b"{", b'{"form":9}', b"[]", b'{"form":1,"at":-1}', b'{"form":1,"customers":7}', b"\0" * 99]
)  # fmt: skip
def test_what_was_left_torn_or_foreign_is_no_reason_not_to_start(
    start: Start, heir: socket.socket, tmp_path: Path, left: bytes
) -> None:
    old = begin(start, heir)
    old.until("ready")
    (tmp_path / "tmp" / "scalelb" / "left-1").write_bytes(left)
    new = begin(start, heir)
    new.until("taken over")
    assert answered(ask(heir, 1)) == ANSWER
    assert old.process.poll() is None


@pytest.mark.parametrize("made", ["a file in its place", "files of a run before", "strangers in it"])
def test_a_shared_folder_that_is_not_as_it_should_be_is_no_reason_not_to_start(
    start: Start, heir: socket.socket, tmp_path: Path, made: str
) -> None:
    folder = tmp_path / "tmp" / "scalelb"
    folder.parent.mkdir()
    if made == "a file in its place":
        folder.write_text("")
    else:
        folder.mkdir()
        old = ["life-3", "ready-7", "left-1", "left-4"]
        names = old if made == "files of a run before" else ["life-x", "..."]
        for name in names:
            (folder / name).write_text("{}")
    limiter = begin(start, heir)
    limiter.until("ready")
    assert answered(ask(heir, 1)) == ANSWER
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.wait(PATIENCE) == 0


def test_a_backend_out_by_hand_stays_out_across_upgrades_until_the_call_back(
    start: Start, heir: socket.socket
) -> None:
    old = begin(start, heir)
    old.until("ready")
    assert admin(old, "POST", "/deck-servers/s9/maint")[0] == 404
    assert admin(old, "POST", "/deck-servers/s0/maint")[0] == 200
    assert admin(old, "POST", "/deck-servers/s0/maint")[0] == 200
    assert admin(old, "GET", "/stats")[1]["pool_ejected"] == 1
    new = begin(start, heir)
    new.until("ready")
    assert admin(new, "GET", "/stats")[1]["pool_ejected"] == 1
    assert admin(new, "POST", "/deck-servers/s0/ready")[0] == 200  # by either life's door
    old.until("bans")
    assert admin(old, "GET", "/stats")[1]["pool_ejected"] == 0
    assert admin(old, "POST", "/deck-servers/s0/maint")[0] == 200
    new.until("bans")
    old.process.kill()
    new.until("taken over")
    assert admin(new, "GET", "/stats")[1]["pool_ejected"] == 1
    assert admin(new, "POST", "/deck-servers/s0/ready")[0] == 200
    assert admin(new, "GET", "/stats")[1]["pool_ejected"] == 0


@pytest.mark.parametrize(
    ("told", "words"),
    [("x", "EDGE_FD: must be a descriptor"), ("999", "EDGE_FD: .*Bad file"), ("2", "EDGE_FD: ")],
)
def test_a_descriptor_that_is_no_listening_socket_is_named(told: str, words: str) -> None:
    from scalelb.program.config import ConfigError, read_inherited

    with pytest.raises(ConfigError, match=words):
        read_inherited({"EDGE_FD": told})
    assert read_inherited({}) is None


def test_incarnations_are_told_apart_by_their_locks(tmp_path: Path) -> None:
    said: list[str] = []
    incarnations = [Incarnation(str(tmp_path), lambda event, **fields: said.append(event)) for _ in range(3)]
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
    assert sorted(p.name for p in (tmp_path / "scalelb").iterdir()) == ["life-2", "life-3", "ready-2"]
