"""Arbitrary files and environment variables result in a configuration, or in a `ConfigError` of one line."""

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
from processes import SETTINGS, TIMEOUT_S, LimiterProcess, encode_lines
from scenario import Harness, MemoryNetwork, call

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
MISSING = "remove this key"

UNUSUAL_TEXTS = [
    "", " ", "a b", "a\r\nb", "\x00", "\x7f", "\u2028", "\udcff", "abc", "basic", "own", "all", "x" * 5000,
    "127.0.0.1:80", "127.0.0.1:²", "127.0.0.1:٣", "127.0.0.1:99999", "a\r\nX: y:80", "::1:80", ":80", "0x1f",
]  # fmt: skip
NUMBERS = st.one_of(
    st.integers(-3, 3),
    st.sampled_from([10**6, 2_000_000, 2**31, 2**63, 2**64, 10**400, 16**5000, -(10**400)]),
    st.floats(allow_nan=True, allow_infinity=True),
)
SCALARS = st.one_of(st.booleans(), NUMBERS, st.sampled_from(UNUSUAL_TEXTS), st.text(max_size=8))
VALUES = st.one_of(
    st.sampled_from([MISSING, None]),
    SCALARS,
    st.lists(SCALARS, max_size=3),
    st.dictionaries(st.text(max_size=5), SCALARS, max_size=2),
)


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of each value of a document, including its objects and lists."""
    children = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    return [path, *(nested_path for key, item in children for nested_path in paths_of(item, (*path, key)))]


def replace_value(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy of the document with another value at a path."""
    if not path:
        return {} if value == MISSING else value
    copy = document.copy()
    if len(path) == 1 and value == MISSING:
        del copy[path[0]]
    else:
        copy[path[0]] = replace_value(document[path[0]], path[1:], value)
    return copy


def as_toml(value: Any) -> str:
    """Format a value as TOML, including integers of any size; None becomes an empty string."""
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
    """Format a value as JSON; an integer that is too long for Python to print becomes one of 5000 digits."""
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) > 10**400:
        return "9" * 5000
    if isinstance(value, list):
        return "[" + ", ".join(map(as_json, value)) + "]"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)}: {as_json(item)}" for key, item in value.items()) + "}"
    return json.dumps(value)


def file_content(kind: str, document: Any) -> bytes:
    """Return the bytes of a document's file."""
    if kind == "config":
        return as_json(document).encode()
    if not isinstance(document, dict):
        return as_toml(document).encode()
    return "".join(f"{json.dumps(key)} = {as_toml(item)}\n" for key, item in document.items()).encode()


def write_files(folder: Path, contents: dict[str, bytes]) -> dict[str, str]:
    """Write the files, and return the environment variables that name them."""
    environment = {"EDGE_CONFIG": str(folder / "config")}
    for kind, data in contents.items():
        (folder / kind).write_bytes(data)
        if kind in VARIABLES:
            environment[VARIABLES[kind]] = str(folder / kind)
    return environment


def read_or_error(environment: dict[str, str], is_reload: bool) -> Config | ConfigError:
    """Read the configuration; any exception other than `ConfigError` fails the test."""
    try:
        return read_config(environment, is_reload)
    except ConfigError as error:
        return error


def check_configuration(environment: dict[str, str]) -> None:
    """Read the files as at a start and as on SIGHUP; a `Program` must accept each valid configuration."""
    for is_reload in (False, True):
        result = read_or_error(environment, is_reload)
        if isinstance(result, ConfigError):
            assert str(result)
            assert str(result).isprintable()
            continue
        assert (
            min(
                result.available_descriptors,
                result.max_sessions,
                result.max_open_request_bytes,
                result.max_read_ahead_bytes,
            )
            > 0
        )
        net: Any = MemoryNetwork()
        Program(replace(result, shared=""), net, lambda: 1e6, lambda event, **fields: None)
        assert compare(result, result) == ([], [])


def valid_files() -> dict[str, bytes]:
    return {kind: file_content(kind, document) for kind, document in DOCUMENTS.items()}


def test_unchanged_documents_of_these_tests_are_valid(tmp_path: Path) -> None:
    config = read_config(write_files(tmp_path, valid_files()))
    assert config.fairness is not None
    assert config.peers is not None
    assert config.zones == ("a", "b")


MUTATIONS = st.sampled_from(
    [(kind, path) for kind, document in DOCUMENTS.items() for path in paths_of(document)]
)


@settings(max_examples=600, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.lists(st.tuples(MUTATIONS, VALUES), min_size=1, max_size=2))
def test_any_value_at_any_path_is_accepted_or_reported(changes: list[tuple[tuple[str, Any], Any]]) -> None:
    documents = dict(DOCUMENTS)
    for (kind, path), value in changes:
        try:
            documents[kind] = replace_value(documents[kind], path, value)
        except (KeyError, IndexError, TypeError, AttributeError):
            continue  # The previous change removed this path.
    contents = {kind: file_content(kind, document) for kind, document in documents.items()}
    with tempfile.TemporaryDirectory() as folder:
        check_configuration(write_files(Path(folder), contents))


@settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    kind=st.sampled_from(sorted(DOCUMENTS)),
    position=st.floats(0, 1),
    data=st.one_of(
        st.binary(min_size=1, max_size=4),
        st.sampled_from([b"\xff", b"\xef\xbb\xbf", b"\x00", b"1e999"]),
        st.sampled_from([b"9" * 5000, b"[" * 5000, b'{"a":' * 5000]),
    ),
)  # fmt: skip
def test_any_bytes_in_a_file_are_accepted_or_reported(kind: str, position: float, data: bytes) -> None:
    contents = valid_files()
    offset = int(position * len(contents[kind]))
    contents[kind] = contents[kind][:offset] + data + contents[kind][offset + 1 :]
    with tempfile.TemporaryDirectory() as folder:
        check_configuration(write_files(Path(folder), contents))


@settings(max_examples=300, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    st.dictionaries(
        st.sampled_from(ENVIRONMENT),
        st.one_of(
            st.sampled_from([*UNUSUAL_TEXTS, "/", "/" + "n" * 300, "-1", "999999", "²", "9" * 5000, "0"]),
            st.text(max_size=8),
        ),
        min_size=1,
        max_size=2,
    )
)
def test_any_environment_variable_is_accepted_or_reported(variables: dict[str, str]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        check_configuration({**write_files(Path(folder), valid_files()), **variables})


@settings(max_examples=300, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.sampled_from(paths_of(ENTRY)), VALUES)
def test_any_value_in_an_endpoint_list_entry_is_accepted_or_reported(
    path: tuple[Any, ...], value: Any
) -> None:
    entry = replace_value(ENTRY, path, value)
    try:
        endpoint, address = parse_endpoint(entry, ("a",), "instances[0]")
    except ConfigError as error:
        message = str(error)
    else:
        message = "instances[0]"
        assert math.isfinite(endpoint.started_at)
        assert Node({"at": address}, "").address("at", "") == address
    assert message.startswith("instances[0]")


@settings(max_examples=100, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(MUTATIONS, VALUES)
def test_sighup_with_any_file_logs_one_line_and_an_invalid_file_changes_nothing(
    change: tuple[str, Any], value: Any
) -> None:
    kind, path = change
    contents = {**valid_files(), kind: file_content(kind, replace_value(DOCUMENTS[kind], path, value))}
    harness = Harness()
    config_before, line_count = harness.program.config, len(harness.logged)
    with tempfile.TemporaryDirectory() as folder:
        environment = write_files(Path(folder), contents)
        harness.program.reread = lambda: read_config(environment, is_reload=True)
        harness.program.reload()
    [line] = harness.logged[line_count:]
    assert line["event"] in ("configuration", "reloaded")
    if line["event"] == "configuration":
        assert line["kept"]
        assert harness.program.config == config_before
    harness.run("""
        client send {call(1)}
        backend expect CALL.GET
        backend send *3\\n$2\\nok\\n$-1\\n$-1\\n
        client expect $2\\nok\\n
    """)


@pytest.mark.parametrize(
    ("path", "value", "message"),
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
def test_invalid_values_that_were_once_accepted_are_reported(
    tmp_path: Path, path: tuple[Any, ...], value: Any, message: str
) -> None:
    contents = {**valid_files(), "config": file_content("config", replace_value(CONFIG, path, value))}
    with pytest.raises(ConfigError, match=message):
        read_config(write_files(tmp_path, contents))


@pytest.mark.parametrize("key", ["classes", "tariffs"])
def test_duplicate_class_or_plan_name_is_reported(tmp_path: Path, key: str) -> None:
    # Requests with the duplicate name used the last entry, and no request could use the first.
    duplicates = replace_value(CONFIG, ("settings", key), [CONFIG["settings"][key][0]] * 2)
    environment = write_files(tmp_path, {**valid_files(), "config": file_content("config", duplicates)})
    with pytest.raises(
        ConfigError, match=rf"{key}\[1\].name: '.*' is the name of settings.{key}\[0\] already"
    ):
        read_config(environment)


def test_member_name_with_a_space_is_reported(tmp_path: Path) -> None:
    members = replace_value(PEERS, ("members",), {"n0": "h:1", "n 1": "h:2"})
    environment = write_files(tmp_path, {**valid_files(), "peers": file_content("peers", members)})
    with pytest.raises(ConfigError, match="members: a name must be printable"):
        read_config(environment)


def test_path_that_is_not_utf8_is_logged(capfd: pytest.CaptureFixture[str]) -> None:
    # The log line with the path could not be encoded, and a traceback was written instead.
    program_log.log("configuration", what="EDGE_CONFIG: /tmp/\udcff: No such file or directory")
    line = orjson.loads(capfd.readouterr().err)
    assert line["what"] == "EDGE_CONFIG: /tmp/\\udcff: No such file or directory"


INVALID_FILES = [
    json.dumps(replace_value(CONFIG, ("settings", "dcs"), 7)).encode(),
    json.dumps(replace_value(CONFIG, ("settings", "classes", 0, "name"), "a\r\nb")).encode(),
    b"\xff",
    b"[" * 5000,
]


def test_running_program_keeps_its_configuration_after_invalid_files(
    start_limiter: Callable[..., LimiterProcess], tmp_path: Path
) -> None:
    limiter = start_limiter()
    limiter.wait_for_event("ready")
    path = tmp_path / "config.json"
    with limiter.connect() as client:
        for number, invalid in enumerate(INVALID_FILES, 1):
            client.sendall(encode_lines(call(number, wait=60_000)))
            path.write_bytes(invalid)
            limiter.process.send_signal(signal.SIGHUP)
            line = limiter.wait_for_event("configuration")
            assert line["kept"]
            answer = b""
            while not answer.endswith(b"ok\r\n"):
                answer += client.recv(1000)
            assert answer == b"$2\r\nok\r\n"
    limiter.process.send_signal(signal.SIGTERM)
    assert limiter.process.stderr is not None
    events = [json.loads(line)["event"] for line in limiter.process.stderr]
    assert "fault" not in events
    assert limiter.process.wait(TIMEOUT_S) == 0
