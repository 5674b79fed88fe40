"""The daemon as a process, among stand-ins on loopback (`processes.py`), and its configuration."""

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
from processes import ROOT, SETTINGS, TIMEOUT_S, Backend, LimiterProcess, encode_lines, read_until
from scenario import call

from scalelb.program.config import ConfigError, read_config, read_fronts, read_peers, read_settings
from scalelb.program.log import RateLimitedLog


def test_request_is_served_over_real_sockets(start_limiter: Callable[..., LimiterProcess]) -> None:
    limiter = start_limiter()
    limiter.wait_for_event("ready")
    with limiter.connect() as client:
        client.sendall(encode_lines("*1\n$4\nPING\n") + encode_lines(call(1, wait=60_000)))
        answer = b""
        while b"ok\r\n" not in answer:
            answer += client.recv(1000)
        assert answer == b"+PONG\r\n$2\r\nok\r\n"


def test_accepted_requests_are_finished_after_sigterm(
    start_limiter: Callable[..., LimiterProcess], backend: Backend
) -> None:
    limiter = start_limiter(http_health="127.0.0.1:0", agent_check="127.0.0.1:0")
    limiter.wait_for_event("ready")
    with limiter.connect(limiter.started["fronts"]["agent_check"]) as agent:
        assert agent.recv(100) == b"up 100%\n"
    backend.may_answer.clear()
    with limiter.connect() as client:
        client.sendall(encode_lines(call(1, wait=60_000)))
        assert backend.request_received.wait(TIMEOUT_S)
        limiter.process.send_signal(signal.SIGTERM)
        limiter.wait_for_event("stopping")
        with limiter.connect(limiter.started["fronts"]["http_health"]) as health:
            health.sendall(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = health.recv(1000)
            assert answer.startswith(b"HTTP/1.1 503")
            assert b'"draining"' in answer
        with limiter.connect(limiter.started["fronts"]["agent_check"]) as agent:
            assert agent.recv(100) == b"drain\n"
        backend.may_answer.set()
        assert client.recv(100) == b"$2\r\nok\r\n"
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_signals_during_the_exit_do_not_change_the_exit_status(
    start_limiter: Callable[..., LimiterProcess],
) -> None:
    # The interpreter restores the default handlers while it exits; in the soak test, another SIGTERM at that
    # moment ended the process with status -15.
    limiter = start_limiter()
    limiter.wait_for_event("ready")
    while limiter.process.poll() is None:
        for number in (signal.SIGTERM, signal.SIGHUP):
            limiter.process.send_signal(number)
        time.sleep(0.001)
    assert limiter.process.returncode == 0


def test_sighup_reloads_the_configuration_and_sigterm_still_ends_the_process(
    start_limiter: Callable[..., LimiterProcess], backend: Backend, tmp_path: Path
) -> None:
    # SIGHUP used to end the process with 129; it must move discovery to another address without a restart.
    limiter = start_limiter()
    limiter.wait_for_event("ready")
    path = tmp_path / "config.json"
    original = json.loads(path.read_text())
    moved = original["discovery"].replace("127.0.0.1", "localhost")
    for change, event, expected in (
        ({"discovery": "nowhere"}, "configuration", {"what": "discovery: must be host:port, not 'nowhere'"}),
        ({"listen": "127.0.0.1:1"}, "reloaded", {"moved": [], "at_next_start": ["listen"]}),
        ({"discovery": moved}, "reloaded", {"moved": ["discovery"], "at_next_start": []}),
    ):
        path.write_text(json.dumps({**original, **change}))
        limiter.process.send_signal(signal.SIGHUP)
        assert expected.items() <= limiter.wait_for_event(event).items()
    limiter.wait_for_event("list")  # from discovery at its new address
    with limiter.connect() as client:
        client.sendall(encode_lines(call(1, wait=60_000)))
        assert client.recv(100) == b"$2\r\nok\r\n"
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.wait(TIMEOUT_S) == 0


def test_file_takes_precedence_over_the_environment_on_reload(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}))
    environment = {"EDGE_CONFIG": str(path), "EDGE_DISCOVERY": "127.0.0.1:2", "EDGE_NAME": "n4"}
    assert read_config(environment).director == "127.0.0.1:2"
    reloaded = read_config(environment, is_reload=True)
    assert (reloaded.director, reloaded.name) == ("127.0.0.1:1", "n4")


def test_grpc_front_end_listens_at_the_configured_address(
    start_limiter: Callable[..., LimiterProcess],
) -> None:
    limiter = start_limiter(external_authorization="127.0.0.1:0")
    assert limiter.wait_for_event("grpc")["listen"] == ["127.0.0.1:0"]
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.wait(TIMEOUT_S) == 0


def changed_settings(path: str) -> dict[str, Any]:
    """Return the settings without the key at `path`, or with another value for it (`path=value`)."""
    settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    path, _, value = path.partition("=")
    *parents, key = [int(part) if part.isdigit() else part for part in path.split(".")]
    node: Any = settings
    for part in parents:
        node = node[part]
    if value:
        node[key] = json.loads(value)
    else:
        del node[key]
    return settings


@pytest.mark.parametrize(
    ("path", "message"),
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
def test_error_names_the_invalid_setting(path: str, message: str) -> None:
    with pytest.raises(ConfigError, match=f"settings.{message}"):
        read_settings(changed_settings(path), "settings")


@pytest.mark.parametrize(
    ("change", "message"),
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
def test_error_names_the_invalid_key_of_the_configuration(
    tmp_path: Path, change: dict[str, Any], message: str
) -> None:
    valid = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(valid))
    assert read_config({"EDGE_CONFIG": str(path)}).listen == "127.0.0.1:0"
    path.write_text(json.dumps(valid | change))
    with pytest.raises(ConfigError, match=message):
        read_config({"EDGE_CONFIG": str(path)})


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[", "not TOML"),
        ("[agent_check]\nlisten = 5", "agent_check.listen: must be a string"),
        ("[agent_check]\nlisten = 'here'", "agent_check.listen: must be host:port"),
        ("[agentcheck]\nlisten = ''", "agentcheck: unknown front end"),
    ],
)
def test_error_names_the_invalid_key_of_the_fronts_file(tmp_path: Path, text: str, message: str) -> None:
    (tmp_path / "fronts.toml").write_text(text)
    with pytest.raises(ConfigError, match=message):
        read_fronts({"SCALELB_FRONTS": str(tmp_path / "fronts.toml")})


def test_front_ends_are_off_by_default() -> None:
    fronts = read_fronts({})
    assert {getattr(fronts, name) for name in fronts.__slots__} == {""}


def test_log_is_rate_limited_and_reports_the_dropped_lines() -> None:
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


def test_invalid_configuration_ends_the_start_and_is_logged_by_its_key(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0"}))
    run = subprocess.run(
        [sys.executable, "-m", "scalelb.program"], capture_output=True, text=True, cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json")},
    )  # fmt: skip
    assert run.returncode == 2
    [line] = [json.loads(line) for line in run.stderr.splitlines()]
    assert (line["event"], line["what"]) == ("configuration", "settings: missing field")


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_error_names_the_invalid_key_of_the_peers_file(tmp_path: Path, text: str, message: str) -> None:
    (tmp_path / "peers.toml").write_text(text)
    with pytest.raises(ConfigError, match=message):
        read_peers({"SCALELB_PEERS": str(tmp_path / "peers.toml")}, "n0")


def test_peer_connections_are_off_by_default() -> None:
    assert read_peers({}, "n0") is None


REQUESTS = 12  # Sent one after the other.
# Units that the client states, and the usage that the backend reports.
ESTIMATES = {"too high": (4, b"used=5,cost=1"), "too low": (1, b"cost=4,used=90")}


@pytest.mark.parametrize(
    ("estimate", "is_settled", "min_served", "max_served"),
    [
        ("too high", True, REQUESTS, REQUESTS),  # 12 true units of a burst of 24
        ("too high", False, 4, 7),  # 48 units as estimated; part of the burst is reserved against overdrafts
        ("too low", True, 4, 7),  # 48 true units
        ("too low", False, REQUESTS, REQUESTS),
    ],
)
def test_tenant_is_charged_the_true_units_that_answers_report(
    start_limiter: Callable[..., LimiterProcess],
    backend: Backend,
    estimate: str,
    is_settled: bool,
    min_served: int,
    max_served: int,
) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    settings["extra"]["cost-after"] = is_settled
    settings["tariffs"][0] |= {"units-per-s": 0.001, "most-at-once": 24.0}
    settings["classes"][0]["aim-ms"] = 4000.0  # the longest wait of a request for units
    units, backend.usage = ESTIMATES[estimate]
    limiter = start_limiter(settings=settings)
    limiter.wait_for_event("ready")
    served = 0
    with limiter.connect() as client:
        while served < REQUESTS:
            client.sendall(encode_lines(call(served + 1, wait=60_000, units=units)))
            answer = read_until(client, b"\r\n")
            if answer.startswith(b"-BUSY"):
                break
            assert answer.startswith(b"$2")
            served += 1
            if not answer.endswith(b"ok\r\n"):
                read_until(client, b"ok\r\n")
    assert min_served <= served <= max_served
