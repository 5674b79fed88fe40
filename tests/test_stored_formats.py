"""Checks that the files and frames written by commit b1c877a are read and written back byte for byte.

They are in `tests/data/b1c877a`. A limiter takes over from a predecessor of another version, and limiters of
different versions are peers, so the stored and sent bytes must not change when names in the code change.
"""

from __future__ import annotations

import fcntl
import os
import re
import shutil
from pathlib import Path

import orjson
import pytest
from stored_formats import (
    DATA,
    NOW_MS,
    RECORDS,
    decode_frame,
    digest_frame,
    encode_frame,
    exchange_lines,
    frames_to_n1,
    frames_to_n2,
    limiter_with_frames,
    new_learner,
    new_proposer,
    read_acceptor,
    read_charged_key,
    read_endpoint,
    read_handover,
    read_records,
    read_stored,
    read_tenant,
    replay_exchanges,
    rewrite_acceptor,
    rewrite_handover,
    rewrite_records,
    running_predecessor,
    start_incarnation,
    stored_rows,
    write_all,
    write_handover_files,
)

FIGURES = {
    "usual": 79.83520715114739, "mean": 2.495972932570852, "worth": 1.0, "open": 1.0, "ask": 0.6,
    "gap": 74.47301035226162, "retries": 15.0, "work": 162.2224588796478, "filled": 29004.258632642726,
    "allowed": 0.0,
}  # fmt: skip
UNREACHABLE = {
    "latency_ms": 263.8962690993025, "failure_ratio": 0.2, "concurrency_limit": 2.487107259335263,
    "updated_at": 1_700_000_000_000.0, "answer_weight": 24.14492862838469, "connect_failures": 1,
    "ejected_until": 1_700_000_000_500.0,
}  # fmt: skip
# The fields of `TenantRecord` in their order.
GRACE = (
    -4.335, 0.14, -1.7400000000000002, 2.4000000000000004, 56_666_666, 1_700_000_000_000.0,
    1_700_000_004_393.1155, 2, 1_700_000_000_159.6704,
)  # fmt: skip
SHARED = (
    0.0, 0.0, 3.0, 4.223145302310912, 56_666_667, 1_700_000_000_000.0,
    1_700_000_001_500.0, 3, 1_700_000_000_159.6704,
)  # fmt: skip


@pytest.fixture(scope="module")
def written(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Returns a folder with the files that the present code writes from the same input."""
    folder = tmp_path_factory.mktemp("written")
    write_all(folder, tmp_path_factory.mktemp("scratch"))
    return folder


@pytest.mark.parametrize(
    "name",
    [
        "life-3", "ready-3", "left-3", "bans-3", "records", "agreement-words", "voter-a.db", "frames-to-n1",
        "frames-to-n2",
    ],
)  # fmt: skip
def test_present_code_writes_the_stored_bytes_from_the_same_input(written: Path, name: str) -> None:
    if name == "voter-a.db":
        assert stored_rows(written / name) == stored_rows(DATA / name)
    else:
        assert (written / name).read_bytes() == read_stored(name)


def test_every_stored_file_is_written(written: Path) -> None:
    names = {path.name for path in DATA.iterdir()}
    assert names == {path.name for path in written.iterdir()} | {"README.md"}


def test_handover_files_are_read_and_written_back(tmp_path: Path) -> None:
    names = ("life-3", "ready-3", "left-3", "bans-3")
    (tmp_path / "read").mkdir()
    with running_predecessor(tmp_path / "read", names) as successor:
        assert (successor.number, successor.predecessor) == (4, 3)
        handover = successor.read_handover()
        overrides = dict(successor.read_overrides())
    assert overrides == {
        "s0": (1_699_999_995_000.0, True),
        "s1": (1_699_999_999_999.5, False),
        "zoë": (1_700_000_000_000.0, True),
    }
    assert handover is not None
    assert handover.pop("form") == 1
    rewritten = write_handover_files(tmp_path / "rewritten", handover, overrides)
    assert rewritten == {name: read_stored(name) for name in names}


def test_no_handover_is_read_while_the_predecessor_runs(tmp_path: Path) -> None:
    with running_predecessor(tmp_path, ("life-3", "ready-3", "bans-3")) as successor:
        assert (successor.predecessor, successor.read_handover()) == (3, None)


def test_later_incarnation_is_a_successor_only_when_it_is_ready(tmp_path: Path) -> None:
    earlier = start_incarnation(tmp_path)
    shared = tmp_path / "scalelb"
    shutil.copy(DATA / "life-3", shared / "life-3")
    with (shared / "life-3").open("r+") as later:
        fcntl.flock(later, fcntl.LOCK_EX)
        assert not earlier.has_successor()
        shutil.copy(DATA / "ready-3", shared / "ready-3")
        assert earlier.has_successor()
    os.close(earlier.lock_descriptor)


def test_handover_is_taken_over_and_written_back() -> None:
    handover = orjson.loads(read_stored("left-3"))
    del handover["form"]
    limiter, (taken, malformed) = read_handover(handover)
    assert (taken, malformed) == (1 + 5 + 4 + 8, 0)  # figures, tenants, endpoints, idempotency keys
    rewritten = rewrite_handover(limiter)
    assert orjson.dumps({"form": 1, **rewritten}) == read_stored("left-3")
    # Literal values, because two swapped fields would be written back as they were read.
    assert rewritten["given_way_until"] == 1_700_000_320_000.0
    assert rewritten["figures"] == FIGURES
    assert read_tenant(limiter, "grace") == GRACE
    assert read_tenant(limiter, "shared") == SHARED
    assert read_endpoint(limiter, "s0") == UNREACHABLE
    assert read_charged_key(limiter, "grace", "swap-10") == (1_700_000_000_590.0, 1)


def test_compact_records_are_read_and_written_back() -> None:
    data = read_stored("records")
    assert len(data) == 36 * (4 + 8)  # the slots of the table, and those after the last one
    records = read_records(data)
    assert rewrite_records(records) == data
    assert records.count == 3
    assert records.take("ada", NOW_MS) == RECORDS["ada"]
    assert records.take("grace", NOW_MS) == RECORDS["grace"]
    assert records.take("zoë", NOW_MS) == RECORDS["zoë"]
    assert records.count == 0


def test_stored_consensus_messages_get_the_stored_replies(tmp_path: Path) -> None:
    lines = replay_exchanges(tmp_path, exchange_lines())
    assert b"".join(orjson.dumps(line) + b"\n" for line in lines) == read_stored("agreement-words")


@pytest.mark.parametrize(
    "kind",
    [
        "prepare", "accept", "agreed", "ask", "back", "tell", "told", "promise", "no", "accepted", "knows",
        "permit", "wait", "stale", "lost",
    ],
)  # fmt: skip
def test_each_kind_of_consensus_message_is_stored(kind: str) -> None:
    assert kind in {line[side]["k"] for line in exchange_lines() for side in ("word", "answer")}


def test_proposer_reads_stored_promises_and_sends_the_stored_messages() -> None:
    lines = exchange_lines()
    proposer = new_proposer("p0", 1, '{"rate":4}', "")
    assert proposer.begin_attempt() == lines[0]["word"]
    assert proposer.receive(lines[0]["answer"]) is None
    accept = proposer.receive(lines[1]["answer"])
    assert orjson.dumps(accept) == orjson.dumps(lines[3]["word"])
    assert proposer.receive(lines[3]["answer"]) is None
    decided = proposer.receive(lines[4]["answer"])
    assert orjson.dumps(decided) == orjson.dumps(lines[6]["word"])


def test_learner_reads_stored_leases() -> None:
    requests = [line for line in exchange_lines() if line["word"]["k"] == "ask"]
    learner = new_learner()
    assert learner.request_leases(4000.0) == requests[0]["word"]
    assert learner.permitted_version(4000.0) == 0
    for line in requests[:2]:
        assert learner.receive(line["answer"], 4000.0) is None
    assert (learner.permitted_version(4000.0), learner.value) == (1, '{"rate":4}')
    learner.request_leases(4400.0)
    lease_return = learner.receive(requests[4]["answer"], 4400.0)
    assert lease_return == {"k": "back", "holder": "n0", "life": "n0.1", "ask": 2}
    assert (learner.permitted_version(4400.0), learner.next_version) == (0, 2)


def test_store_of_an_acceptor_is_read_and_written_back(tmp_path: Path) -> None:
    shutil.copy(DATA / "voter-a.db", tmp_path / "voter-a.db")
    acceptor = read_acceptor(tmp_path / "voter-a.db")
    assert not acceptor.has_lost_state
    state = acceptor.state
    assert (state.decided_version, state.decided_value, state.leased_version) == (2, '{"rate":2}', 2)
    assert (state.promised_ballot, state.accepted_ballot, state.accepted_value) == (
        (1, "p3"),
        (1, "p3"),
        '{"rate":9}',
    )
    rewrite_acceptor(acceptor, tmp_path / "rewritten.db")
    assert stored_rows(tmp_path / "rewritten.db") == stored_rows(DATA / "voter-a.db")
    stored_state = b'{"version":2,"value":"{\\"rate\\":2}","promised":[1,"p3"],"accepted":[1,"p3"],'
    stored_state += b'"proposed":"{\\"rate\\":9}","permitted":2}'
    assert stored_rows(DATA / "voter-a.db")[-1] == (1, "a", 1, 1_254_240_689, stored_state)


# Frames


def index_of_frame(entry: str, is_deletion: bool = False) -> int:
    """Returns the index of the last frame to n1 that contains this entry, or its deletion."""
    indexes = [
        index
        for index, data in enumerate(frames_to_n1())
        for item in decode_frame(data).get("c", [])
        if any(key == entry and (value is None) is is_deletion for key, _, value in item[7])
    ]
    return indexes[-1]


@pytest.mark.parametrize(
    "index", [n for n, data in enumerate(frames_to_n1()) if decode_frame(data).get("k") == "news"]
)
def test_delta_frame_is_read_and_forwarded_with_the_same_bytes(index: int) -> None:
    limiter = limiter_with_frames("n1", "n0", frames_to_n1()[:index])
    limiter.deliver("n2", digest_frame())  # n2 lacks all entries
    limiter.take_sent_frames("n2")
    limiter.deliver("n0", frames_to_n1()[index])
    limiter.deliver("n2", digest_frame())
    assert limiter.take_sent_frames("n2") == [frames_to_n1()[index]]


def test_full_copy_is_read_and_forwarded_with_the_same_bytes() -> None:
    limiter = limiter_with_frames("n2", "n0", frames_to_n2())
    limiter.take_sent_frames("n1")
    limiter.deliver("n1", digest_frame())
    assert limiter.take_sent_frames("n1") == frames_to_n2()[1:]
    entries = {"!beat": 350.0, "x:s1": [1_700_000_003_100.0, True], "!closed": 2}
    assert limiter.read_log("n0", 2, 1234) == (23, 23, entries)


@pytest.mark.parametrize(
    "index", [n for n, data in enumerate(frames_to_n1()) if decode_frame(data).get("k") == "have"]
)
def test_digest_frame_is_read(index: int) -> None:
    limiter = limiter_with_frames("n1", "n0", frames_to_n1()[:index])
    limiter.deliver("n0", frames_to_n1()[index])
    message = decode_frame(frames_to_n1()[index])
    is_settled, states = limiter.read_peer_states("n0")
    assert is_settled is message["s"]
    for name, number, nonce, version, floor in message["v"]:
        assert states[name, number, nonce] == (version, floor)


def test_each_kind_of_frame_and_entry_is_stored() -> None:
    messages = [decode_frame(data) for data in frames_to_n1() + frames_to_n2()]
    assert {"hello": "n0", "form": 1} in messages
    flags = {(m["s"], m["a"]) for m in messages if m.get("k") == "have"}
    assert flags == {(False, True), (True, True), (True, False)}
    items = [item for m in messages if m.get("k") == "news" for item in m["c"]]
    assert {item[6] for item in items} == {False, True}  # parts of a log, and a full copy
    entries = [entry for item in items for entry in item[7]]
    written_prefixes = {re.split("(?<=:)", key)[0] for key, _, value in entries if value is not None}
    assert written_prefixes == {"!beat", "!closed", "down:", "u:", "x:", "b:", "t:", "g:", "k:"}
    deleted_prefixes = {re.split("(?<=:)", key)[0] for key, _, value in entries if value is None}
    assert deleted_prefixes == {"down:", "u:", "b:", "t:", "k:"}


def test_peer_applies_the_stored_entries() -> None:
    index = index_of_frame("x:s1")
    limiter = limiter_with_frames("n1", "n0", frames_to_n1()[: index + 1])
    assert limiter.read_overrides() == {"s1": (1_700_000_003_100.0, True)}
    assert limiter.read_attempt("grace", "swap-1") == (2, 5, 1_700_000_001_000.0)
    assert limiter.read_endpoint_reports() == {"t:s2"}
    for data in frames_to_n1()[index + 1 :]:
        limiter.deliver("n0", data)
    assert limiter.read_attempt("grace", "swap-1") is None
    assert limiter.read_endpoint_reports() == {"g:s3"}


def test_next_incarnation_continues_from_the_stored_entries() -> None:
    # A peer sends n0 its own entries back, in the same frames that it received.
    index = index_of_frame("b:s2", is_deletion=True)
    frames = [encode_frame({"hello": "n1", "form": 1}), *frames_to_n1()[1 : index + 1]]
    limiter = limiter_with_frames(
        "n0", "n1", [data for data in frames if decode_frame(data).get("k") != "have"], now=2200.0
    )
    limiter.deliver("n1", digest_frame(["n0", 2, 1234, 10, 0]))
    limiter.run(500.0)
    assert limiter.read_incarnation() == (True, 3)
    accounts = limiter.read_accounts()
    # The first seven fields of `TenantRecord`.
    assert accounts["ada"][:7] == (
        2.667, 0.0, 3.933, 2.0, 56_666_666, 1_700_000_002_150.0, 1_700_000_003_167.0,
    )  # fmt: skip
    assert accounts["grace"][:7] == (
        2.667, 0.0, 5.933, 2.0, 56_666_666, 1_700_000_002_150.0, 1_700_000_002_667.0,
    )  # fmt: skip


def test_limiters_of_all_versions_log_the_same_digest() -> None:
    # The hashed text contains the names of a class and of its fields. If they changed with the code, limiters
    # of two versions that hold the same logs would log different digests.
    assert limiter_with_frames("n1", "n0", frames_to_n1()).read_digest() == "ff7262d3"
    assert limiter_with_frames("n2", "n0", frames_to_n2()).read_digest() == "5287720e"
