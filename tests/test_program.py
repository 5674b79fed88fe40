"""The program as it is run, among stand-ins on loopback (`processes.py`), and its configuration."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from processes import PATIENCE, ROOT, SETTINGS, Backend, Limiter, until, wire
from scenario import call

from scalelb.program.config import ConfigError, read_config, read_fronts, read_peers, read_settings
from scalelb.program.log import RateLimitedLog


def test_a_request_is_served_over_real_sockets(start: Callable[..., Limiter]) -> None:
    limiter = start()
    limiter.until("ready")
    with limiter.client() as client:
        client.sendall(wire("*1\n$4\nPING\n") + wire(call(1, wait=60_000)))
        answer = b""
        while b"ok\r\n" not in answer:
            answer += client.recv(1000)
        assert answer == b"+PONG\r\n$2\r\nok\r\n"


def test_sigterm_finishes_what_was_taken_and_ends_with_0(
    start: Callable[..., Limiter], backend: Backend
) -> None:
    limiter = start(http_health="127.0.0.1:0", agent_check="127.0.0.1:0")
    limiter.until("ready")
    with limiter.client(limiter.started["fronts"]["agent_check"]) as agent:
        assert agent.recv(100) == b"up 100%\n"
    backend.may.clear()
    with limiter.client() as client:
        client.sendall(wire(call(1, wait=60_000)))
        assert backend.came.wait(PATIENCE)
        limiter.process.send_signal(signal.SIGTERM)
        limiter.until("stopping")
        with limiter.client(limiter.started["fronts"]["http_health"]) as health:
            health.sendall(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = health.recv(1000)
            assert answer.startswith(b"HTTP/1.1 503")
            assert b'"draining"' in answer
        with limiter.client(limiter.started["fronts"]["agent_check"]) as agent:
            assert agent.recv(100) == b"drain\n"
        backend.may.set()
        assert client.recv(100) == b"$2\r\nok\r\n"
    assert limiter.process.wait(PATIENCE) == 0


def test_signals_up_to_the_very_end_leave_the_status_0(start: Callable[..., Limiter]) -> None:
    # Seen in the soak: the interpreter puts the usual handlers back before it ends, and a further SIGTERM in
    # that moment ended the process with status -15.
    limiter = start()
    limiter.until("ready")
    while limiter.process.poll() is None:
        for number in (signal.SIGTERM, signal.SIGHUP):
            limiter.process.send_signal(number)
        time.sleep(0.001)
    assert limiter.process.returncode == 0


def test_sighup_reads_the_file_anew_twice_and_sigterm_still_ends_it(
    start: Callable[..., Limiter], backend: Backend, tmp_path: Path
) -> None:
    # Guards the restart-free move: SIGHUP ended the program with 129.
    limiter = start()
    limiter.until("ready")
    path = tmp_path / "config.json"
    good = json.loads(path.read_text())
    moved = good["discovery"].replace("127.0.0.1", "localhost")
    for change, event, told in (
        ({"discovery": "nowhere"}, "configuration", {"what": "discovery: must be host:port, not 'nowhere'"}),
        ({"listen": "127.0.0.1:1"}, "reloaded", {"moved": [], "at_next_start": ["listen"]}),
        ({"discovery": moved}, "reloaded", {"moved": ["discovery"], "at_next_start": []}),
    ):
        path.write_text(json.dumps({**good, **change}))
        limiter.process.send_signal(signal.SIGHUP)
        assert told.items() <= limiter.until(event).items()
    limiter.until("list")  # from the director under its other name
    with limiter.client() as client:
        client.sendall(wire(call(1, wait=60_000)))
        assert client.recv(100) == b"$2\r\nok\r\n"
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.wait(PATIENCE) == 0


def test_when_it_is_read_again_the_file_goes_before_the_environment(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}))
    environment = {"EDGE_CONFIG": str(path), "EDGE_DISCOVERY": "127.0.0.1:2", "EDGE_NAME": "n4"}
    assert read_config(environment).director == "127.0.0.1:2"
    again = read_config(environment, is_reload=True)
    assert (again.director, again.name) == ("127.0.0.1:1", "n4")


def test_the_grpc_door_opens_where_the_fronts_file_says(start: Callable[..., Limiter]) -> None:
    limiter = start(external_authorization="127.0.0.1:0")
    assert limiter.until("grpc")["listen"] == ["127.0.0.1:0"]
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.wait(PATIENCE) == 0


def without(path: str) -> dict[str, Any]:
    """The settings without one key, or with another value for it (`path=value`)."""
    settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    path, _, value = path.partition("=")
    *way, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    place: Any = settings
    for step in way:
        place = place[step]
    if value:
        place[last] = json.loads(value)
    else:
        del place[last]
    return settings


@pytest.mark.parametrize(
    ("path", "words"),
    [
        ("index", "index: missing"),
        ("classes=[]", "classes: must be a list of 1"),
        ("classes.0.aim-ms=0", r"classes\[0\].aim-ms: must be above 0"),
        ("classes.0.aim-ms=true", r"classes\[0\].aim-ms: must be a number"),
        ("classes.0.effect=\"odd\"", r"classes\[0\].effect: must be one of safe, keyed, unsafe"),
        ("tariffs.0.units-per-s=-1", r"tariffs\[0\].units-per-s: must be at least 0"),
        ("limits.try-limit=1.5", "limits.try-limit: must be a whole number"),
        ("limits.cancel=1", "limits.cancel: must be true or false"),
        ("rules", "rules: missing"),
        ("rules=7", "rules: must be an object"),
    ],
)  # fmt: skip
def test_a_faulty_setting_is_named(path: str, words: str) -> None:
    with pytest.raises(ConfigError, match=f"settings.{words}"):
        read_settings(without(path), "settings")


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"listen": "nowhere"}, "listen: must be host:port"),
        ({"listen": None}, "listen: must be a string"),
        ({"discovery": "x:99999"}, "discovery: must be host:port"),
        ({"seed": "xyz"}, "seed: must be a hex number"),
        ({"limits": {"sockets": 3}}, "limits.sockets: must be at least 64"),
        ({"known": {"generation": 1, "instances": "s"}}, "known.instances: must be a list"),
        ({"settings": {}}, "settings.limits: missing"),
    ],
)
def test_a_faulty_configuration_is_named(tmp_path: Path, change: dict[str, Any], words: str) -> None:
    good = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(good))
    assert read_config({"EDGE_CONFIG": str(path)}).listen == "127.0.0.1:0"
    path.write_text(json.dumps(good | change))
    with pytest.raises(ConfigError, match=words):
        read_config({"EDGE_CONFIG": str(path)})


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("[", "not TOML"),
        ("[agent_check]\nlisten = 5", "agent_check.listen: must be a string"),
        ("[agent_check]\nlisten = 'here'", "agent_check.listen: must be host:port"),
        ("[agentcheck]\nlisten = ''", "agentcheck: unknown front end"),
    ],
)
def test_a_faulty_fronts_file_is_named(tmp_path: Path, text: str, words: str) -> None:
    (tmp_path / "fronts.toml").write_text(text)
    with pytest.raises(ConfigError, match=words):
        read_fronts({"SCALELB_FRONTS": str(tmp_path / "fronts.toml")})


def test_the_repositorys_own_fronts_are_closed() -> None:
    fronts = read_fronts({})
    assert {getattr(fronts, name) for name in fronts.__slots__} == {""}


def test_the_log_is_bounded_and_says_what_was_left_out() -> None:
    now, lines = [5.0], []
    log = RateLimitedLog(
        lambda event, level, **fields: lines.append((event, fields)), lambda: now[0], max_lines=2
    )
    for _ in range(5):
        log("malformed", what="x")
    log("list")
    now[0] = 6.0
    log("malformed", what="y")
    assert lines == [("malformed", {"what": "x"})] * 2 + [
        ("list", {}),
        ("malformed", {"what": "y", "left_out": 3}),
    ]


def test_the_program_ends_before_it_listens_and_names_the_key(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0"}))
    run = subprocess.run(
        [sys.executable, "-m", "scalelb.program"], capture_output=True, text=True, cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json")},
    )  # fmt: skip
    assert run.returncode == 2
    [line] = [json.loads(line) for line in run.stderr.splitlines()]
    assert (line["event"], line["what"]) == ("configuration", "settings: missing field")


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("on = true\nlisten = '127.0.0.1:0'", "members: missing"),
        ("on = true\nlisten = '127.0.0.1:0'\n[members]\nn0 = '127.0.0.1:1'", "members: must be 2 to"),
        ("on = true\nlisten = 'x'\n[members]\nn0 = '127.0.0.1:1'\nn1 = 'h:2'", "listen: must be host"),
        ("on = true\nlisten = 'h:1'\n[members]\nn2 = 'h:1'\nn1 = 'h:2'", "must hold this limiter's own name"),
        ("on = true\nlisten = 'h:1'\n[members]\nn0 = 'h'\nn1 = 'h:2'", "members.n0: must be host:port"),
        ("on = true\nlisten = 'h:1'\nbans = 'odd'\n[members]\nn0 = 'h:1'\nn1 = 'h:2'", "bans: must be"),
        ("on = true\nlisten = 'h:1'\nsuspect_ms = 600\n[members]\nn0 = 'h:1'\nn1 = 'h:2'", "suspect_ms"),
        ("odd = 1", "odd: not known"),
        ("on = 'yes'", "on: must be true or false"),
    ],
)
def test_a_faulty_peers_file_is_named(tmp_path: Path, text: str, words: str) -> None:
    (tmp_path / "peers.toml").write_text(text)
    with pytest.raises(ConfigError, match=words):
        read_peers({"SCALELB_PEERS": str(tmp_path / "peers.toml")}, "n0")


def test_the_repositorys_own_links_are_off() -> None:
    assert read_peers({}, "n0") is None


ASKED = 12  # requests, one after the other
GUESSES = {"too high": (4, b"used=5,cost=1"), "too low": (1, b"cost=4,used=90")}


@pytest.mark.parametrize(
    ("guess", "settled", "least", "most"),
    [
        ("too high", True, ASKED, ASKED),  # 12 true units of the store's 24
        ("too high", False, 4, 7),  # 48 units by the guess; some of the store is kept against overdrafts
        ("too low", True, 4, 7),  # 48 true units
        ("too low", False, ASKED, ASKED),
    ],
)
def test_a_customer_is_held_to_the_true_units_that_answers_tell(
    start: Callable[..., Limiter], backend: Backend, guess: str, settled: bool, least: int, most: int
) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    settings["extra"]["cost-after"] = settled
    settings["tariffs"][0] |= {"units-per-s": 0.001, "most-at-once": 24.0}
    settings["classes"][0]["aim-ms"] = 4000.0  # for so long, at most, a request waits for credit
    units, backend.usage = GUESSES[guess]
    limiter = start(settings=settings)
    limiter.until("ready")
    served = 0
    with limiter.client() as client:
        while served < ASKED:
            client.sendall(wire(call(served + 1, wait=60_000, units=units)))
            answer = until(client, b"\r\n")
            if answer.startswith(b"-BUSY"):
                break
            assert answer.startswith(b"$2")
            served += 1
            if not answer.endswith(b"ok\r\n"):
                until(client, b"ok\r\n")
    assert least <= served <= most
