"""Files and frames that commit b1c877a wrote (`tests/data/b1c877a`) are read and written back byte for byte.

A limiter of one version takes over from one of another, and the two talk to each other as peers: what is
stored and sent keeps its bytes, whatever the code calls its parts.
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
    agreement_lines,
    frame,
    have,
    message_in,
    new_learner,
    new_proposer,
    read_account,
    read_endpoint,
    read_key,
    read_records,
    read_tenant,
    read_voter,
    reader,
    replay_exchanges,
    rewrite_account,
    rewrite_records,
    rewrite_voter,
    running_predecessor,
    start_incarnation,
    stored,
    stored_rows,
    to_n1,
    to_n2,
    write_all,
    write_handover_files,
)

FIGURES = {
    "usual": 79.83520715114739, "mean": 2.495972932570852, "worth": 1.0, "open": 1.0, "ask": 0.6,
    "gap": 74.47301035226162, "retries": 15.0, "work": 162.2224588796478, "filled": 29004.258632642726,
    "allowed": 0.0,
}  # fmt: skip
UNREACHABLE = {
    "latency_ms": 263.8962690993025, "failing": 0.2, "limit": 2.487107259335263,
    "judged_at": 1_700_000_000_000.0, "answers": 24.14492862838469, "failed_connects": 1,
    "left_out_until": 1_700_000_000_500.0,
}  # fmt: skip
# balance, unreported, store, total, window, at, full_at, out, out_until
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
    """The data as the present code writes it, from the same input."""
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
        assert (written / name).read_bytes() == stored(name)


def test_no_stored_file_is_left_out(written: Path) -> None:
    names = {path.name for path in DATA.iterdir()}
    assert names == {path.name for path in written.iterdir()} | {"README.md"}


def test_handover_files_are_read_and_written_back(tmp_path: Path) -> None:
    names = ("life-3", "ready-3", "left-3", "bans-3")
    (tmp_path / "read").mkdir()
    with running_predecessor(tmp_path / "read", names) as successor:
        assert (successor.number, successor.predecessor) == (4, 3)
        account = successor.read_handover()
        overrides = dict(successor.read_overrides())
    assert overrides == {
        "s0": (1_699_999_995_000.0, True),
        "s1": (1_699_999_999_999.5, False),
        "zoë": (1_700_000_000_000.0, True),
    }
    assert account is not None
    assert account.pop("form") == 1
    rewritten = write_handover_files(tmp_path / "rewritten", account, overrides)
    assert rewritten == {name: stored(name) for name in names}


def test_nothing_is_read_before_the_predecessor_has_left(tmp_path: Path) -> None:
    with running_predecessor(tmp_path, ("life-3", "ready-3", "bans-3")) as successor:
        assert (successor.predecessor, successor.read_handover()) == (3, None)


def test_an_incarnation_is_relieved_by_a_later_one_that_is_ready(tmp_path: Path) -> None:
    earlier = start_incarnation(tmp_path)
    shared = tmp_path / "scalelb"
    shutil.copy(DATA / "life-3", shared / "life-3")
    with (shared / "life-3").open("r+") as later:
        fcntl.flock(later, fcntl.LOCK_EX)
        assert not earlier.has_successor()
        shutil.copy(DATA / "ready-3", shared / "ready-3")
        assert earlier.has_successor()
    os.close(earlier.lock_descriptor)


def test_handover_account_is_taken_over_and_written_back() -> None:
    account = orjson.loads(stored("left-3"))
    del account["form"]
    limiter, (taken, faulty) = read_account(account)
    assert (taken, faulty) == (1 + 5 + 4 + 8, 0)  # figures, tenants, endpoints, idempotency keys
    rewritten = rewrite_account(limiter)
    assert orjson.dumps({"form": 1, **rewritten}) == stored("left-3")
    # Literal values: a field that changes places with another one would be written back as it was read.
    assert rewritten["given_way_until"] == 1_700_000_320_000.0
    assert rewritten["figures"] == FIGURES
    assert read_tenant(limiter, "grace") == GRACE
    assert read_tenant(limiter, "shared") == SHARED
    assert read_endpoint(limiter, "s0") == UNREACHABLE
    assert read_key(limiter, "grace", "swap-10") == (1_700_000_000_590.0, 1)


def test_compact_records_are_read_and_written_back() -> None:
    data = stored("records")
    assert len(data) == 36 * (4 + 8)  # the table's places, and those behind the last
    records = read_records(data)
    assert rewrite_records(records) == data
    assert records.count == 3
    assert records.take("ada", NOW_MS) == RECORDS["ada"]
    assert records.take("grace", NOW_MS) == RECORDS["grace"]
    assert records.take("zoë", NOW_MS) == RECORDS["zoë"]
    assert records.count == 0


def test_agreement_words_are_read_and_answered_with_the_stored_bytes(tmp_path: Path) -> None:
    lines = replay_exchanges(tmp_path, agreement_lines())
    assert b"".join(orjson.dumps(line) + b"\n" for line in lines) == stored("agreement-words")


@pytest.mark.parametrize(
    "kind",
    [
        "prepare", "accept", "agreed", "ask", "back", "tell", "told", "promise", "no", "accepted", "knows",
        "permit", "wait", "stale", "lost",
    ],
)  # fmt: skip
def test_each_kind_of_agreement_word_is_stored(kind: str) -> None:
    assert kind in {line[side]["k"] for line in agreement_lines() for side in ("word", "answer")}


def test_a_proposer_reads_stored_promises_and_goes_on_as_stored() -> None:
    lines = agreement_lines()
    proposer = new_proposer("p0", 1, '{"rate":4}', "")
    assert proposer.begin_attempt() == lines[0]["word"]
    assert proposer.receive(lines[0]["answer"]) is None
    accept = proposer.receive(lines[1]["answer"])
    assert orjson.dumps(accept) == orjson.dumps(lines[3]["word"])
    assert proposer.receive(lines[3]["answer"]) is None
    agreed = proposer.receive(lines[4]["answer"])
    assert orjson.dumps(agreed) == orjson.dumps(lines[6]["word"])


def test_a_learner_reads_stored_permissions() -> None:
    asks = [line for line in agreement_lines() if line["word"]["k"] == "ask"]
    learner = new_learner()
    assert learner.request_leases(4000.0) == asks[0]["word"]
    assert learner.permitted_version(4000.0) == 0
    for line in asks[:2]:
        assert learner.receive(line["answer"], 4000.0) is None
    assert (learner.permitted_version(4000.0), learner.value) == (1, '{"rate":4}')
    learner.request_leases(4400.0)
    back = learner.receive(asks[4]["answer"], 4400.0)
    assert back == {"k": "back", "holder": "n0", "life": "n0.1", "ask": 2}
    assert (learner.permitted_version(4400.0), learner.next_version) == (0, 2)


def test_a_voters_store_is_read_and_written_back(tmp_path: Path) -> None:
    shutil.copy(DATA / "voter-a.db", tmp_path / "voter-a.db")
    voter = read_voter(tmp_path / "voter-a.db")
    assert not voter.has_lost_state
    state = voter.state
    assert (state.decided_version, state.decided_value, state.leased_version) == (2, '{"rate":2}', 2)
    assert (state.promised_ballot, state.accepted_ballot, state.accepted_value) == (
        (1, "p3"),
        (1, "p3"),
        '{"rate":9}',
    )
    rewrite_voter(voter, tmp_path / "rewritten.db")
    assert stored_rows(tmp_path / "rewritten.db") == stored_rows(DATA / "voter-a.db")
    kept = b'{"version":2,"value":"{\\"rate\\":2}","promised":[1,"p3"],"accepted":[1,"p3"],'
    kept += b'"proposed":"{\\"rate\\":9}","permitted":2}'
    assert stored_rows(DATA / "voter-a.db")[-1] == (1, "a", 1, 1_254_240_689, kept)


# Frames


def place_of(entry: str, ended: bool = False) -> int:
    """The place of the last frame to n1 that has this entry, or its end."""
    places = [
        place
        for place, data in enumerate(to_n1())
        for item in message_in(data).get("c", [])
        if any(key == entry and (value is None) is ended for key, _, value in item[7])
    ]
    return places[-1]


@pytest.mark.parametrize(
    "place", [n for n, data in enumerate(to_n1()) if message_in(data).get("k") == "news"]
)
def test_a_news_frame_is_read_and_passed_on_with_the_same_bytes(place: int) -> None:
    limiter = reader("n1", "n0", to_n1()[:place])
    limiter.deliver("n2", have())  # it lacks all that is here
    limiter.frames("n2")
    limiter.deliver("n0", to_n1()[place])
    limiter.deliver("n2", have())
    assert limiter.frames("n2") == [to_n1()[place]]


def test_a_full_copy_is_read_and_passed_on_with_the_same_bytes() -> None:
    limiter = reader("n2", "n0", to_n2())
    limiter.frames("n1")
    limiter.deliver("n1", have())
    assert limiter.frames("n1") == to_n2()[1:]
    entries = {"!beat": 350.0, "x:s1": [1_700_000_003_100.0, True], "!closed": 2}
    assert limiter.read_log("n0", 2, 1234) == (23, 23, entries)


@pytest.mark.parametrize(
    "place", [n for n, data in enumerate(to_n1()) if message_in(data).get("k") == "have"]
)
def test_a_have_frame_is_read(place: int) -> None:
    limiter = reader("n1", "n0", to_n1()[:place])
    limiter.deliver("n0", to_n1()[place])
    message = message_in(to_n1()[place])
    settled, held = limiter.read_have("n0")
    assert settled is message["s"]
    for name, number, nonce, version, floor in message["v"]:
        assert held[name, number, nonce] == (version, floor)


def test_each_kind_of_frame_and_entry_is_stored() -> None:
    messages = [message_in(data) for data in to_n1() + to_n2()]
    assert {"hello": "n0", "form": 1} in messages
    flags = {(m["s"], m["a"]) for m in messages if m.get("k") == "have"}
    assert flags == {(False, True), (True, True), (True, False)}
    items = [item for m in messages if m.get("k") == "news" for item in m["c"]]
    assert {item[6] for item in items} == {False, True}  # parts of a chain, and one whole
    entries = [entry for item in items for entry in item[7]]
    told = {re.split("(?<=:)", key)[0] for key, _, value in entries if value is not None}
    assert told == {"!beat", "!closed", "down:", "u:", "x:", "b:", "t:", "g:", "k:"}
    ended = {re.split("(?<=:)", key)[0] for key, _, value in entries if value is None}
    assert ended == {"down:", "u:", "b:", "t:", "k:"}


def test_a_peer_heeds_the_stored_entries() -> None:
    place = place_of("x:s1")
    limiter = reader("n1", "n0", to_n1()[: place + 1])
    assert limiter.read_overrides() == {"s1": (1_700_000_003_100.0, True)}
    assert limiter.read_attempt("grace", "swap-1") == (2, 5, 1_700_000_001_000.0)
    assert limiter.read_claims() == {"t:s2"}
    for data in to_n1()[place + 1 :]:
        limiter.deliver("n0", data)
    assert limiter.read_attempt("grace", "swap-1") is None
    assert limiter.read_claims() == {"g:s3"}


def test_the_next_incarnation_goes_on_from_the_stored_entries() -> None:
    # A peer gives n0 its own entries back: the frames are those that it was sent.
    place = place_of("b:s2", ended=True)
    frames = [frame({"hello": "n1", "form": 1}), *to_n1()[1 : place + 1]]
    limiter = reader("n0", "n1", [data for data in frames if message_in(data).get("k") != "have"], now=2200.0)
    limiter.deliver("n1", have(["n0", 2, 1234, 10, 0]))
    limiter.run(500.0)
    assert limiter.read_life() == (True, 3)
    accounts = limiter.read_accounts()
    # balance, unreported, store, total, window, at, full_at
    assert accounts["ada"][:7] == (
        2.667, 0.0, 3.933, 2.0, 56_666_666, 1_700_000_002_150.0, 1_700_000_003_167.0,
    )  # fmt: skip
    assert accounts["grace"][:7] == (
        2.667, 0.0, 5.933, 2.0, 56_666_666, 1_700_000_002_150.0, 1_700_000_002_667.0,
    )  # fmt: skip


def test_limiters_of_all_versions_log_the_same_digest_of_what_they_hold() -> None:
    # It hashes the text of a tuple with its class's and fields' names: a renamed class would change it, and
    # equal limiters of two versions would look unequal.
    assert reader("n1", "n0", to_n1()).read_digest() == "ff7262d3"
    assert reader("n2", "n0", to_n2()).read_digest() == "5287720e"
