"""The codecs: messages in one or several pieces, malformed input, and commands that are forwarded."""

from __future__ import annotations

import subprocess
import sys
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import call

from scalelb.core.ports import NO_LOAD_REPORT
from scalelb.protocol import MalformedError, agentcheck, headers, http, resp
from scalelb.protocol.agentcheck import Status
from scalelb.protocol.resp import NO_USAGE, UsageFigures
from scalelb.transport.fetch import AttemptResult, read_outcome

ROOT = Path(__file__).parent.parent
FAST_SETTINGS = settings(max_examples=150, deadline=None, derandomize=True)
CALLS = b"".join(
    text.replace("\n", "\r\n").encode()
    for text in (call(1), call(2, "record-answer", key="5c", body="BODY"), "*1\n$4\nPING\n", call(3, wait=9))
)
REPLIES: dict[bytes, Any] = {  # outcome ("one": OK with that value) and load report
    b"*3\r\n$3\r\none\r\n$-1\r\n$18\r\ninflight=7,queue=2\r\n": ("one", {"inflight": 7.0, "queue": 2.0}),
    b"*3\r\n$3\r\none\r\n*2\r\n:5\r\n:-1\r\n$-1\r\n": ("one", {}),
    b"*3\r\n$3\r\none\r\n$-1\r\n:9\r\n": ("one", {}),
    b"$2\r\nok\r\n": ("ok", {}),  # this and the next: to a health check
    b"+PONG\r\n": ("ok", {}),
    b"-BUSY\r\n": ("full", {}),
    b"-ERR failed queue=3\r\n": ("error", {"queue": 3.0}),
}


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    edges = [0, *sorted(position % (len(data) + 1) for position in positions), len(data)]
    return [data[start:end] for start, end in pairwise(edges)]


@FAST_SETTINGS
@given(st.lists(st.integers(0, 10_000), max_size=12))
def test_commands_are_parsed_alike_however_they_are_split(positions: list[int]) -> None:
    reader = resp.CommandReader()
    commands = [command for piece in split_at(CALLS, positions) for command in reader.feed(piece)]
    parsed = [[bytes(message.part(index)) for index in range(len(message))] for message in commands]
    assert [parts[0] for parts in parsed] == [b"CALL.GET", b"CALL.POST", b"PING", b"CALL.GET"]
    assert parsed[1][4] == b"BODY"


@FAST_SETTINGS
@given(st.lists(st.integers(0, 10_000), max_size=12))
def test_replies_are_parsed_alike_however_they_are_split(positions: list[int]) -> None:
    for wire, (kind, report) in REPLIES.items():
        reader = resp.ReplyReader()
        [reply] = filter(None, map(reader.read, split_at(wire, positions)))
        result = read_outcome(reply, is_health_check=True)
        assert (result.outcome.value, result.report) == ("ok" if kind == "one" else kind, report)
        assert kind != "one" or (result.value is not None and bytes(result.value) == b"$3\r\none\r\n")
        assert not reader.has_extra_bytes
    assert NO_LOAD_REPORT == {}


MALFORMED_REPLIES = [
    b":5\r\n", b"+OK\r\n", b"$2\r\nok\r\n", b"*1000000000\r\n", b"*3\r\n*3\r\n", b"*3\r\n$-1\r\n", b"*2\r\n",
    b"*3\r\n$3000000000\r\nab", b"*3\r\n$-7\r\n", b"*3\r\n$2\r\nokay\r\n", b"x", b"\xff\xfe", b"-\x00\r\n",
    b"-err\r\n", b"*3\r\n$2\r\nok\r\n$-1\r\n" + b"*1\r\n" * 4, b"-ERR " + b"x" * 2000, b"*" + b"1" * 20,
]  # fmt: skip


@pytest.mark.parametrize("wire", MALFORMED_REPLIES, ids=repr)
def test_malformed_reply_is_detected_at_its_first_invalid_byte(wire: bytes) -> None:
    # In a trace, `:5` was taken for an error reply and its broken connection was reused; after `*3 *3` the
    # reader waited for more bytes.
    def read_completely() -> None:
        reply = resp.ReplyReader().read(wire)
        assert reply is not None, "the reader waits for more bytes"
        read_outcome(reply, is_health_check=False)

    with pytest.raises(MalformedError):
        read_completely()


@pytest.mark.parametrize(
    "text",
    ["nan", "inf", "-1", "1e99", "1_0", "", "queue", "queue=", "queue=nan", "queue=1,x=-3", "=3", "q=9e99"],
)
def test_malformed_load_report_is_ignored_and_the_value_is_used(text: str) -> None:
    text = text if "=" in text or not text else f"inflight=2,queue={text}"
    wire = b"*3\r\n$3\r\none\r\n$-1\r\n$%d\r\n%s\r\n" % (len(text), text.encode())
    reply = resp.ReplyReader().read(wire)
    assert reply is not None
    result = read_outcome(reply, is_health_check=False)
    assert (result.outcome.value, result.report) == ("ok", {})
    assert result.value is not None
    assert bytes(result.value) == b"$3\r\none\r\n"


USAGE_TEXTS = {
    b"used=37,cost=4": UsageFigures(37.0, 4.0),
    b"cost=2.5": UsageFigures(None, 2.5),
    b"used=0": UsageFigures(0.0),
    b"later=x,used=12,also": UsageFigures(12.0),  # unknown names are skipped
    b"used=5,later=1,later=2": UsageFigures(5.0),
    b"used=nan,cost=4": UsageFigures(None, 4.0),
    b"used=inf,cost=-4": NO_USAGE,
    b"cost=1e1,used=1_0": NO_USAGE,
    b"cost=0x4,used=+3": NO_USAGE,
    b"cost=4\n,used= 3": NO_USAGE,
    b"cost=1,cost=2,cost=3,used=9": UsageFigures(9.0),  # repeated: none of them is valid
    b"cost=,used": NO_USAGE,
    b"cost=" + b"9" * 10: NO_USAGE,
    b"cost=" + b"9" * 400: NO_USAGE,
    b"": NO_USAGE,
    b"," * 200: NO_USAGE,
    b"used=3," + b"x" * 300: NO_USAGE,
    b"\xff\x00=1,cost=2": UsageFigures(None, 2.0),
}


@pytest.mark.parametrize("text", USAGE_TEXTS, ids=repr)
def test_usage_figures_are_parsed_strictly(text: bytes) -> None:
    assert resp.read_usage(text) == USAGE_TEXTS[text]


def read_split_reply(wire: bytes, positions: list[int]) -> AttemptResult:
    """Return the result of a reply that arrives in pieces, split at these positions."""
    reader = resp.ReplyReader()
    [reply] = filter(None, map(reader.read, split_at(wire, positions)))
    assert not reader.has_extra_bytes
    return read_outcome(reply, is_health_check=False)


USAGE_REPLIES: dict[bytes, tuple[str, Any, UsageFigures]] = {
    b"*3\r\n$3\r\none\r\n$14\r\nused=37,cost=4\r\n$-1\r\n": ("ok", {}, UsageFigures(37.0, 4.0)),
    b"*3\r\n$3\r\none\r\n$7\r\nused=37\r\n$7\r\nqueue=2\r\n": ("ok", {"queue": 2.0}, UsageFigures(37.0)),
    b"*3\r\n$3\r\none\r\n$-1\r\n$7\r\nqueue=2\r\n": ("ok", {"queue": 2.0}, NO_USAGE),
    b"*3\r\n$3\r\none\r\n_\r\n_\r\n": ("ok", {}, NO_USAGE),
    b"*3\r\n$3\r\none\r\n:37\r\n$-1\r\n": ("ok", {}, NO_USAGE),
    b"*3\r\n$3\r\none\r\n+used=37\r\n$-1\r\n": ("ok", {}, NO_USAGE),
    b"*3\r\n$3\r\none\r\n*2\r\n$7\r\nused=37\r\n:4\r\n$-1\r\n": ("ok", {}, NO_USAGE),
    b"-ERR failed used=37,cost=4\r\n": ("error", {}, UsageFigures(37.0, 4.0)),
    b"-ERR failed used=37 queue=3\r\n": ("error", {"queue": 3.0}, UsageFigures(37.0)),
    b"-ERR failed queue=3\r\n": ("error", {"queue": 3.0}, NO_USAGE),
    b"-ERR failed later=1,used=37 queue=3,busy=1\r\n": (
        "error",
        {"queue": 3.0, "busy": 1.0},
        UsageFigures(37.0),
    ),
    b"-ERR a=b is no figure\r\n": ("error", {}, NO_USAGE),
    b"-ERR used=1 used=2\r\n": ("error", {}, NO_USAGE),
    b"-ERR\r\n": ("error", {}, NO_USAGE),
    b"-BUSY used=120\r\n": ("full", {}, UsageFigures(120.0)),
    b"-BUSYBODY\r\n": ("error", {}, NO_USAGE),
}


@FAST_SETTINGS
@given(st.lists(st.integers(0, 10_000), max_size=12))
def test_usage_and_load_report_are_distinguished_however_a_reply_is_split(positions: list[int]) -> None:
    for wire, (outcome, report, usage) in USAGE_REPLIES.items():
        result = read_split_reply(wire, positions)
        assert (result.outcome.value, result.report, result.usage) == (outcome, report, usage), wire
        assert outcome != "ok" or (result.value is not None and bytes(result.value) == b"$3\r\none\r\n")


@FAST_SETTINGS
@given(st.binary(max_size=300), st.lists(st.integers(0, 10_000), max_size=6))
def test_usage_figures_of_any_content_do_not_affect_the_value(text: bytes, positions: list[int]) -> None:
    wire = b"*3\r\n$3\r\none\r\n$%d\r\n%s\r\n$-1\r\n" % (len(text), text)
    result = read_split_reply(wire, positions)
    assert result.outcome.value == "ok"
    assert result.value is not None
    assert bytes(result.value) == b"$3\r\none\r\n"
    assert 0.0 <= result.usage.true_units < 1e9
    assert 0.0 <= (result.usage.used_percent or 0.0) < 1e9


@pytest.mark.parametrize(
    ("usage_element", "usage"), [(b"$6\r\ncost=4\r\n", UsageFigures(None, 4.0)), (b":4\r\n", NO_USAGE)]
)
def test_usage_figures_after_a_streamed_value_are_read(usage_element: bytes, usage: UsageFigures) -> None:
    reader = resp.ReplyReader()
    assert reader.read(b"*3\r\n$%d\r\n" % (resp.MAX_BUFFERED_VALUE_BYTES + 1)) is None
    assert reader.begin_streaming() is not None
    reader.split_streamed(b"v" * (resp.MAX_BUFFERED_VALUE_BYTES + 1))
    replies = [
        reader.read(piece) for piece in split_at(b"\r\n" + usage_element + b"$7\r\nqueue=2\r\n", [1, 5, 9])
    ]
    assert replies[:-1] == [None] * (len(replies) - 1)
    assert replies[-1] is not None
    result = read_outcome(replies[-1], is_health_check=False)
    assert (result.usage, result.report) == (usage, {"queue": 2.0})


@pytest.mark.parametrize(
    "body", [b"nan", b"inf", b"-", b"", b"{}", b"1x7", b"1_0", b"0x1", b"1e99", b"9" * 400]
)
def test_counter_total_that_is_not_a_number_is_malformed(body: bytes) -> None:
    assert http.read_total(b"-12.5\n") == -12.5
    with pytest.raises(MalformedError):
        http.read_total(body)


def test_informational_responses_are_skipped() -> None:
    reader = http.ResponseReader()
    informational = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    [final] = reader.feed(informational + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12")
    assert (final.status, final.body, final.keep_alive) == (200, b"12", True)


@FAST_SETTINGS
@given(st.binary(max_size=200), st.integers(0, len(CALLS)))
def test_random_bytes_raise_only_malformed_error(noise: bytes, position: int) -> None:
    for valid in (CALLS, *REPLIES):
        data = valid[:position] + noise + valid[position:]
        try:
            if valid is CALLS:
                for message in resp.CommandReader().feed(data):
                    if message.name in (resp.CALL_GET, resp.CALL_POST):
                        resp.Call.read(message)
            elif (reply := resp.ReplyReader().read(data)) is not None:
                read_outcome(reply, is_health_check=False)
        except MalformedError:
            continue


@pytest.mark.parametrize("timeout_ms", [1, 38, 7000, 123456])
def test_forwarded_command_differs_only_in_the_timeout(timeout_ms: int) -> None:
    raw = call(7, "record-answer", wait=4000, key="a", body="B\x00*$").replace("\n", "\r\n").encode()
    received = resp.read_command(b"*1\r\n$4\r\nPING\r\n" + raw, 14)
    assert isinstance(received, resp.Command)
    forwarded_bytes = resp.Call.read(received).forwarded_command(timeout_ms)
    forwarded = resp.read_command(forwarded_bytes, 0)
    assert isinstance(forwarded, resp.Command)
    assert forwarded.end == len(forwarded_bytes)
    before, after = (
        [bytes(command.part(index)) for index in range(len(command))] for command in (received, forwarded)
    )
    assert after[3] == before[3].replace(b"d=4000", b"d=%d" % timeout_ms)
    assert after[:3] + after[4:] == before[:3] + before[4:]


def test_value_of_64_kib_is_buffered_a_longer_one_streamed_and_one_beyond_4_mib_malformed() -> None:
    longest = b"v" * resp.MAX_BUFFERED_VALUE_BYTES
    reply = resp.ReplyReader().read(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(longest), longest))
    assert reply is not None
    assert reply.value is not None
    assert len(reply.value) == len(longest) + 10
    with pytest.raises(MalformedError):
        resp.ReplyReader().read(b"*3\r\n$%d\r\n" % (resp.MAX_STREAMED_VALUE_BYTES + 1))
    reader = resp.ReplyReader()
    assert reader.read(b"*3\r\n$%d\r\nabc" % (len(longest) + 1)) is None
    assert (reader.begin_streaming(), reader.streamed_bytes_left) == (
        b"$%d\r\nabc" % (len(longest) + 1),
        len(longest) - 2,
    )
    piece, rest = reader.split_streamed(longest)
    assert (len(piece), rest, reader.streamed_bytes_left) == (len(longest) - 2, b"vv", 0)
    with pytest.raises(MalformedError):
        reader.read(rest)
    with pytest.raises(MalformedError):
        resp.ReplyReader().read(b"*3\r\n:1\r\n" + longest * 2)
    with pytest.raises(MalformedError):
        list(resp.CommandReader().feed(b"*2\r\n$4\r\nPING\r\n$%d\r\n" % (2 * len(longest))))


@pytest.mark.parametrize(("retry_after_ms", "argument"), [(0.0, b""), (0.4, b""), (117.9, b" 117")])
def test_rejection_has_a_retry_after_time_of_whole_ms_if_any(retry_after_ms: float, argument: bytes) -> None:
    assert resp.busy(retry_after_ms) == b"-BUSY" + argument + b"\r\n"


@pytest.mark.parametrize(
    ("retry_after_ms", "value"), [(0.0, "1"), (1000.0, "1"), (1000.1, "2"), (2500.0, "3")]
)
def test_retry_after_header_is_in_whole_seconds(retry_after_ms: float, value: str) -> None:
    assert headers.retry_after(retry_after_ms) == value


@pytest.mark.parametrize(
    ("data", "bodies"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12" * 2, [b"12", b"12"]),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", [b""]),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n1\r\n3\r\n0\r\n\r\n", [b"123"]),
    ],
)
def test_responses_that_arrive_byte_by_byte_are_read_in_order(data: bytes, bodies: list[bytes]) -> None:
    reader = http.ResponseReader()
    received = [
        response.body for index in range(len(data)) for response in reader.feed(data[index : index + 1])
    ]
    assert received == bodies


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"generation":1,"reset":true,"instances":[7]}', b'{"generation":"x"}']
)
def test_endpoint_list_of_another_form_is_malformed(body: bytes) -> None:
    with pytest.raises(MalformedError):
        http.read_endpoint_list(body)


def test_counter_request_has_the_form_that_the_counter_expects() -> None:
    wire = http.counter_request("c:1", 0xAB, -2.5, 4000.0)
    assert wire.startswith(b"POST /v2/numbers/ab?delta=-2.5&life_ms=4000 HTTP/1.1\r\nHost: c:1\r\n")
    assert b"life_ms=60000 " in http.counter_request("c:1", 1, 1.0, 1e9)
    assert b"delta=12345678&" in http.counter_request("c:1", 1, 12345678.0, 1.0)


@pytest.mark.parametrize(
    ("status", "weight", "line"),
    [
        (Status.READY, 1.0, b"up 100%\n"),
        (Status.READY, 0.75, b"up 75%\n"),
        (Status.READY, 0.0, b"up 1%\n"),
        (Status.DRAINING, 1.0, b"drain\n"),
        (Status.STARTING, 1.0, b"down #starting\n"),
    ],
)
def test_agent_check_lines(status: Status, weight: float, line: bytes) -> None:
    assert agentcheck.agent_check_line(status, weight) == line


def test_generated_stubs_match_the_proto_file(tmp_path: Path) -> None:
    proto = "scalelb/transport/authz/external_auth"
    run = subprocess.run(
        [sys.executable, "-c", COMPILE, str(tmp_path), f"{proto}.proto"],
        cwd=ROOT, capture_output=True, text=True,
    )  # fmt: skip
    assert run.returncode == 0, run.stderr
    assert (tmp_path / f"{proto}_pb2.py").read_text() == (ROOT / f"{proto}_pb2.py").read_text()


COMPILE = """
import sys, pathlib, google.rpc
from grpc_tools import protoc
common = pathlib.Path(next(iter(google.rpc.__path__))).parent.parent
known = pathlib.Path(protoc.__file__).parent / "_proto"
sys.exit(protoc.main(["", "-I.", f"-I{common}", f"-I{known}", f"--python_out={sys.argv[1]}", sys.argv[2]]))
"""


def test_encoding_matches_the_public_specification() -> None:
    """The expected bytes are built by hand from the specification's field numbers, without the stubs."""
    from scalelb.transport.authz import external_auth_pb2 as pb

    def field(number: int, data: bytes) -> bytes:
        return bytes([number << 3 | 2, len(data)]) + data

    header = field(3, field(1, b"x-plan") + field(2, b"basic"))
    http_request = field(1, b"id") + field(2, b"GET") + header + field(4, b"/due") + field(5, b"host")
    attributes = field(4, field(2, http_request)) + field(10, field(1, b"k") + field(2, b"v"))
    request: Any = pb.CheckRequest.FromString(field(1, attributes))
    assert request.attributes.request.http.headers == {"x-plan": "basic"}
    assert request.attributes.request.http.path == "/due"
    assert request.attributes.context_extensions == {"k": "v"}
    option = pb.HeaderValueOption(header=pb.HeaderValue(key="a", value="b"), append_action=2)
    denied = pb.DeniedHttpResponse(status=pb.HttpStatus(code=429), headers=[option], body="no")
    response = pb.CheckResponse(denied_response=denied)
    response.status.code = 8
    header = field(2, field(1, field(1, b"a") + field(2, b"b")) + b"\x18\x02")
    expected = field(1, b"\x08\x08") + field(2, field(1, b"\x08\xad\x03") + header + field(3, b"no"))
    assert response.SerializeToString() == expected


@FAST_SETTINGS
@given(st.integers(1, len(CALLS) - 1), st.lists(st.integers(0, 10_000), max_size=12))
def test_discarded_command_ends_where_it_would_have_ended(position: int, positions: list[int]) -> None:
    # What follows a command that was discarded for lack of memory must not be taken for a part of it.
    reader = resp.CommandReader()
    reader.append(CALLS[:position])
    count_before = 0
    while reader.next_command() is not None:
        count_before += 1
    if reader.is_in_command():
        assert reader.discard_command() > 0
        assert reader.size == 0
        expected_ends = 1
    else:
        expected_ends = 0
    ends, count = 0, 0
    for piece in split_at(CALLS[position:], positions):
        ends += bool(piece) and reader.append(piece)
        while reader.next_command() is not None:
            count += 1
    assert (ends, count_before + ends + count) == (expected_ends, 4)
    assert not reader.is_in_command()
