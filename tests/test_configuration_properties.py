"""Whatever stands in the files and in the environment: a configuration, or a `ConfigError` on one line."""

from __future__ import annotations

import json
import math
import signal
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from processes import PATIENCE, SETTINGS, Limiter, wire
from scenario import Net, Stage, call

from scalelb.program import log as program_log
from scalelb.program.__main__ import Program
from scalelb.program.config import Config, ConfigError, compare, parse_endpoint, read_config
from scalelb.program.config_reader import Node

ENTRY = {
    "instanceId": "s1", "hostPort": "127.0.0.1:7200", "zone": "a", "cell": 3, "lifecycle": "ready",
    "weight": 1.0, "startedAtMs": 0,
}  # fmt: skip
CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:7000",
    "counter": "127.0.0.1:7100",
    "admin": "127.0.0.1:0",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"generation": 4, "reset": True, "instances": [ENTRY]},
    "settings": {**SETTINGS, "dcs": ["a", "b"]},
}
FAIRNESS: dict[str, Any] = {
    "door": {"on": True, "flows": "customer", "held": 100, "waiting": 8},
    "weights": {"basic": 1.0, "strangers": 2.0},
    "promises": {"reserve": True, "grace_ms": 400, "early_ms": 25.0, "most": 100},
    "limit": {"start_requests": 32, "least_requests": 6, "most_requests": 2048, "tolerance": 1.05},
}
PEERS: dict[str, Any] = {
    "on": True, "listen": "127.0.0.1:0", "bans": "own", "tick_ms": 100, "beat_ms": 500, "suspect_ms": 1500,
    "alone_ms": 2000, "members": {"n0": "127.0.0.1:1", "n1": "127.0.0.1:2"},
}  # fmt: skip
FRONTS: dict[str, Any] = {"agent_check": {"listen": "127.0.0.1:0"}, "http_health": {"listen": ""}}
DOCUMENTS = {"config": CONFIG, "fairness": FAIRNESS, "peers": PEERS, "fronts": FRONTS}
VARIABLES = {"fairness": "SCALELB_FAIRNESS", "peers": "SCALELB_PEERS", "fronts": "SCALELB_FRONTS"}
ENVIRONMENT = (
    "EDGE_CONFIG", "EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_ADMIN", "EDGE_FD",
    "SCALELB_FAIRNESS", "SCALELB_PEERS", "SCALELB_FRONTS",
)  # fmt: skip
MISSING = "take this key out"

ODD_TEXTS = [
    "", " ", "a b", "a\r\nb", "\x00", "\x7f", "\u2028", "\udcff", "abc", "basic", "own", "all", "x" * 5000,
    "127.0.0.1:80", "127.0.0.1:²", "127.0.0.1:٣", "127.0.0.1:99999", "a\r\nX: y:80", "::1:80", ":80", "0x1f",
]  # fmt: skip
NUMBERS = st.one_of(
    st.integers(-3, 3),
    st.sampled_from([10**6, 2_000_000, 2**31, 2**63, 2**64, 10**400, 16**5000, -(10**400)]),
    st.floats(allow_nan=True, allow_infinity=True),
)
SCALARS = st.one_of(st.booleans(), NUMBERS, st.sampled_from(ODD_TEXTS), st.text(max_size=8))
VALUES = st.one_of(
    st.sampled_from([MISSING, None]),
    SCALARS,
    st.lists(SCALARS, max_size=3),
    st.dictionaries(st.text(max_size=5), SCALARS, max_size=2),
)


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The way to each value of a document, objects and lists too."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [path, *(way for key, item in inner for way in paths_of(item, (*path, key)))]


def changed(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """The document with another value at a path; the document itself stays as it is."""
    if not path:
        return {} if value == MISSING else value
    copy = document.copy()
    if len(path) == 1 and value == MISSING:
        del copy[path[0]]
    else:
        copy[path[0]] = changed(document[path[0]], path[1:], value)
    return copy


def as_toml(value: Any) -> str:
    """A value as TOML has it, integers of any size too; what TOML has no form for is left empty."""
    if isinstance(value, list):
        return "[" + ", ".join(map(as_toml, value)) + "]"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)} = {as_toml(item)}" for key, item in value.items()) + "}"
    if isinstance(value, int) and not isinstance(value, bool):
        return f"0x{value:x}" if value >= 0 else f"{value:d}"
    if isinstance(value, float):
        return repr(value)
    return "" if value is None else json.dumps(value)


def as_json(value: Any) -> str:
    """A value as JSON; an integer that Python does not write is written as one of many digits."""
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) > 10**400:
        return "9" * 5000
    if isinstance(value, list):
        return "[" + ", ".join(map(as_json, value)) + "]"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)}: {as_json(item)}" for key, item in value.items()) + "}"
    return json.dumps(value)


def content(kind: str, document: Any) -> bytes:
    """A document as its file holds it."""
    if kind == "config":
        return as_json(document).encode()
    if not isinstance(document, dict):
        return as_toml(document).encode()
    return "".join(f"{json.dumps(key)} = {as_toml(item)}\n" for key, item in document.items()).encode()


def written(folder: Path, contents: dict[str, bytes]) -> dict[str, str]:
    """Write the files; return the environment that names them."""
    environment = {"EDGE_CONFIG": str(folder / "config")}
    for kind, data in contents.items():
        (folder / kind).write_bytes(data)
        if kind in VARIABLES:
            environment[VARIABLES[kind]] = str(folder / kind)
    return environment


def read(environment: dict[str, str], again: bool) -> Config | ConfigError:
    """What reading ends in; any other error is a failure of the test."""
    try:
        return read_config(environment, again)
    except ConfigError as error:
        return error


def check(environment: dict[str, str]) -> None:
    """Read it as at a start and as on SIGHUP; what can be read is taken by every constructor."""
    for again in (False, True):
        found = read(environment, again)
        if isinstance(found, ConfigError):
            assert str(found)
            assert str(found).isprintable()
            continue
        assert (
            min(
                found.available_descriptors,
                found.max_sessions,
                found.max_open_request_bytes,
                found.max_read_ahead_bytes,
            )
            > 0
        )
        net: Any = Net()
        Program(replace(found, shared=""), net, lambda: 1e6, lambda event, **fields: None)
        assert compare(found, found) == ([], [])


def originals() -> dict[str, bytes]:
    return {kind: content(kind, document) for kind, document in DOCUMENTS.items()}


def test_the_documents_of_these_tests_are_themselves_good(tmp_path: Path) -> None:
    config = read_config(written(tmp_path, originals()))
    assert config.fairness is not None
    assert config.peers is not None
    assert config.zones == ("a", "b")


MUTATIONS = st.sampled_from(
    [(kind, path) for kind, document in DOCUMENTS.items() for path in paths_of(document)]
)


@settings(max_examples=600, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.lists(st.tuples(MUTATIONS, VALUES), min_size=1, max_size=2))
def test_any_value_at_any_place_is_taken_or_named(changes: list[tuple[tuple[str, Any], Any]]) -> None:
    documents = dict(DOCUMENTS)
    for (kind, path), value in changes:
        try:
            documents[kind] = changed(documents[kind], path, value)
        except (KeyError, IndexError, TypeError, AttributeError):
            continue  # the change before took the place away
    contents = {kind: content(kind, document) for kind, document in documents.items()}
    with tempfile.TemporaryDirectory() as folder:
        check(written(Path(folder), contents))


@settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    kind=st.sampled_from(sorted(DOCUMENTS)),
    place=st.floats(0, 1),
    data=st.one_of(
        st.binary(min_size=1, max_size=4),
        st.sampled_from([b"\xff", b"\xef\xbb\xbf", b"\x00", b"1e999"]),
        st.sampled_from([b"9" * 5000, b"[" * 5000, b'{"a":' * 5000]),
    ),
)  # fmt: skip
def test_any_bytes_in_a_file_are_taken_or_named(kind: str, place: float, data: bytes) -> None:
    contents = originals()
    at = int(place * len(contents[kind]))
    contents[kind] = contents[kind][:at] + data + contents[kind][at + 1 :]
    with tempfile.TemporaryDirectory() as folder:
        check(written(Path(folder), contents))


@settings(max_examples=300, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    st.dictionaries(
        st.sampled_from(ENVIRONMENT),
        st.one_of(
            st.sampled_from([*ODD_TEXTS, "/", "/" + "n" * 300, "-1", "999999", "²", "9" * 5000, "0"]),
            st.text(max_size=8),
        ),
        min_size=1,
        max_size=2,
    )
)
def test_any_variable_of_the_environment_is_taken_or_named(variables: dict[str, str]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        check({**written(Path(folder), originals()), **variables})


@settings(max_examples=300, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.sampled_from(paths_of(ENTRY)), VALUES)
def test_any_value_in_a_list_entry_is_taken_or_named(path: tuple[Any, ...], value: Any) -> None:
    entry = changed(ENTRY, path, value)
    try:
        endpoint, address = parse_endpoint(entry, ("a",), "instances[0]")
    except ConfigError as error:
        named = str(error)
    else:
        named = "instances[0]"
        assert math.isfinite(endpoint.started_at)
        assert Node({"at": address}, "").address("at", "") == address
    assert named.startswith("instances[0]")


@settings(max_examples=100, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(MUTATIONS, VALUES)
def test_sighup_with_any_file_is_one_line_and_keeps_what_was(change: tuple[str, Any], value: Any) -> None:
    kind, path = change
    contents = {**originals(), kind: content(kind, changed(DOCUMENTS[kind], path, value))}
    stage = Stage()
    before, lines = stage.program.config, len(stage.logged)
    with tempfile.TemporaryDirectory() as folder:
        environment = written(Path(folder), contents)
        stage.program.reread = lambda: read_config(environment, is_reload=True)
        stage.program.reload()
    [line] = stage.logged[lines:]
    assert line["event"] in ("configuration", "reloaded")
    if line["event"] == "configuration":
        assert line["kept"]
        assert stage.program.config == before
    stage.play("""
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$2\\nok\\n$-1\\n$-1\\n
        client expect $2\\nok\\n
    """)


@pytest.mark.parametrize(
    ("path", "value", "words"),
    [
        (("settings", "dcs"), "abc", "settings.dcs: must be a list of strings, not 'abc'"),
        (("settings", "dcs"), ["a", 7], r"settings.dcs\[1\]: must be a string, not 7"),
        (("settings", "classes", 0, "name"), "fetch cards", "name: must be printable and without spaces"),
        (("settings", "classes", 0, "name"), "a,b", "name: must be printable and without spaces or ,"),
        (("settings", "tariffs", 0, "name"), "basic\r\nX: y", "name: must be printable"),
        (("settings", "tariffs", 0, "name"), "", "name: must be printable"),
        (("name",), "n 0", "name: must be printable"),
        (("name",), "n0\x1b[2J", "name: must be printable"),
        (("discovery",), "x\r\nHost: y:80", "discovery: must be host:port"),
        (("listen",), "127.0.0.1:²", "listen: must be host:port"),
        (("limits", "memory_mb"), 1e308, r"limits.memory_mb: must be at most 1e\+09"),
        (("limits", "sockets"), 1e300, "limits.sockets: must be at most"),
    ],
)
def test_what_was_taken_without_a_word_is_named(
    tmp_path: Path, path: tuple[Any, ...], value: Any, words: str
) -> None:
    contents = {**originals(), "config": content("config", changed(CONFIG, path, value))}
    with pytest.raises(ConfigError, match=words):
        read_config(written(tmp_path, contents))


@pytest.mark.parametrize("key", ["classes", "tariffs"])
def test_a_name_stands_only_once(tmp_path: Path, key: str) -> None:
    # A request of this name went by the last of them, and the first could never be asked for.
    twice = changed(CONFIG, ("settings", key), [CONFIG["settings"][key][0]] * 2)
    environment = written(tmp_path, {**originals(), "config": content("config", twice)})
    with pytest.raises(
        ConfigError, match=rf"{key}\[1\].name: '.*' is the name of settings.{key}\[0\] already"
    ):
        read_config(environment)


def test_a_member_has_a_name_of_printable_letters(tmp_path: Path) -> None:
    members = changed(PEERS, ("members",), {"n0": "h:1", "n 1": "h:2"})
    environment = written(tmp_path, {**originals(), "peers": content("peers", members)})
    with pytest.raises(ConfigError, match="members: a name must be printable"):
        read_config(environment)


def test_a_path_of_other_bytes_than_utf8_is_logged(capfd: pytest.CaptureFixture[str]) -> None:
    # The line that names the file could not be written itself: a traceback took its place.
    program_log.log("configuration", what="EDGE_CONFIG: /tmp/\udcff: No such file or directory")
    line = orjson.loads(capfd.readouterr().err)
    assert line["what"] == "EDGE_CONFIG: /tmp/\\udcff: No such file or directory"


FAULTY_FILES = [
    json.dumps(changed(CONFIG, ("settings", "dcs"), 7)).encode(),
    json.dumps(changed(CONFIG, ("settings", "classes", 0, "name"), "a\r\nb")).encode(),
    b"\xff",
    b"[" * 5000,
]


def test_running_program_keeps_its_configuration_through_faulty_files(
    start: Callable[..., Limiter], tmp_path: Path
) -> None:
    limiter = start()
    limiter.until("ready")
    path = tmp_path / "config.json"
    with limiter.client() as client:
        for number, faulty in enumerate(FAULTY_FILES, 1):
            client.sendall(wire(call(number, wait=60_000)))
            path.write_bytes(faulty)
            limiter.process.send_signal(signal.SIGHUP)
            line = limiter.until("configuration")
            assert line["kept"]
            answer = b""
            while not answer.endswith(b"ok\r\n"):
                answer += client.recv(1000)
            assert answer == b"$2\r\nok\r\n"
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.stderr is not None
    events = [json.loads(line)["event"] for line in limiter.process.stderr]
    assert "fault" not in events
    assert limiter.process.wait(PATIENCE) == 0
