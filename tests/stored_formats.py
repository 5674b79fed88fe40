"""What limiters store and send to each other, written and read by the present code.

The files in `tests/data/b1c877a` were written by the code of commit b1c877a, through this module as it
stands in commit c7a90a0: `python tests/stored_formats.py FOLDER`.  `tests/test_stored_formats.py` compares
them with the present code, which it names through this module only.
"""

from __future__ import annotations

import fcntl
import os
import re
import shutil
import sqlite3
import sys
from collections.abc import Iterator
from contextlib import closing, contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
from driver import IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, SETTINGS, Driver, serving_endpoints
from scenario import Net, Wire

from scalelb.admission_queue.tenant_records import TenantRecord, TenantRecords
from scalelb.consensus import Acceptor, Learner, LeaseTimes, Proposer
from scalelb.core.endpoint_overrides import EndpointOverrides, Override
from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.lifecycle import Core
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import CounterReplied, EndpointsListed, Outcome
from scalelb.policy.handover import apply_handover, export_handover
from scalelb.policy.limiter import Limiter
from scalelb.policy.settings import DeduplicationScope, Idempotency, Plan
from scalelb.program.peering import OverrideScope, Peering
from scalelb.program.policy_register import PolicyRegister
from scalelb.program.predecessor import Incarnation
from scalelb.replication import ReplicationSettings, Replicator
from scalelb.replication.replicated_log import TOMBSTONE_MS
from scalelb.transport.peerlink import PeerLinks

DATA = Path(__file__).parent / "data" / "b1c877a"
NOW_MS = 1_700_000_000_000.0  # when the data was written, by the clock that was passed in
INCARNATION = 3  # that left the files of the handover


def ignore(event: str, **fields: Any) -> None:
    """A log that keeps nothing."""


# Handover files: `life-N`, `ready-N`, `left-N`, `bans-N`


def start_incarnation(folder: Path) -> Incarnation:
    """The next incarnation among those that share this folder."""
    incarnation = Incarnation(str(folder), ignore)
    incarnation.register()
    return incarnation


@contextmanager
def running_predecessor(folder: Path, names: tuple[str, ...]) -> Iterator[Incarnation]:
    """The stored files of an incarnation that still runs, and the one that has started after it."""
    shared = folder / "scalelb"
    shared.mkdir()
    for name in names:
        shutil.copy(DATA / name, shared / name)
    lock = os.open(shared / f"life-{INCARNATION}", os.O_RDWR)
    fcntl.flock(lock, fcntl.LOCK_EX)
    successor = start_incarnation(folder)
    yield successor
    os.close(successor.lock_descriptor)
    os.close(lock)


def write_handover_files(
    folder: Path, account: dict[str, Any], overrides: dict[str, Override]
) -> dict[str, bytes]:
    """What incarnation 3 leaves to its successor."""
    shared = folder / "scalelb"
    shared.mkdir(parents=True)
    (shared / f"life-{INCARNATION - 1}").touch()  # so that the next number is 3
    incarnation = start_incarnation(folder)
    incarnation.announce_ready()
    incarnation.publish_overrides(overrides)
    incarnation.hand_over(account)
    os.close(incarnation.lock_descriptor)
    return {path.name: path.read_bytes() for path in shared.iterdir() if path.name.endswith("-3")}


# The account inside `left-N`

KEYED_CLASS = replace(IDEMPOTENT_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_window_ms=5000.0)
HANDOVER_SETTINGS = replace(
    SETTINGS,
    request_classes=(IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, KEYED_CLASS),
    plans=(
        Plan(rate_per_s=4.0, burst=16.0),
        Plan(),
        Plan(rate_per_s=2.0, burst=3.0),  # two limiters keep one bucket for it, on the counter
        Plan(rate_per_s=0.05, burst=16.0),  # is not full again for minutes
    ),
)


def list_four_endpoints(driver: Driver) -> None:
    """Three that are warm, and one that has just started."""
    warm = serving_endpoints(4, started_at=NOW_MS - 3_600_000.0)[:3]
    driver.handle(
        EndpointsListed((*warm, serving_endpoints(4, started_at=NOW_MS - 4000.0)[3]), is_complete=True)
    )


def leaving_limiter() -> Driver:
    """A limiter that has worked for 30 s.  It has tenants in full and as compact records, requests that wait
    or are in flight, an unreachable endpoint and a cold one, and idempotency keys that still count."""
    driver = Driver(HANDOVER_SETTINGS, now=NOW_MS - 30_000.0)
    list_four_endpoints(driver)
    answered_sends: set[tuple[int, int]] = set()
    answered_calls = 0

    def answer_all() -> None:
        nonlocal answered_calls
        while pending := [
            s for s in enumerate(driver.sent_attempts()) if (s[0], s[1].request_id) not in answered_sends
        ]:
            place, send = pending[0]
            answered_sends.add((place, send.request_id))
            if send.endpoint == "s2":
                driver.end_attempt(send, Outcome.ERROR, elapsed_ms=20.0, request_finished=True)
            else:
                driver.end_attempt(send, elapsed_ms=80.0, true_units=2.5)
        for call in driver.counter_calls()[answered_calls:]:
            driver.handle(CounterReplied(call.counter_key, Outcome.OK, max(0.0, call.amount), 3.0))
        answered_calls = len(driver.counter_calls())

    driver.send_request("forgotten", units=4.0, plan_index=3)
    for _ in range(240):
        answer_all()
        driver.advance(100.0)
    for round_number in range(60):
        driver.send_request("ada", units=2.0)
        driver.send_request("grace", units=3.0, class_index=2, idempotency_key=f"swap-{round_number}")
        driver.send_request("shared", units=1.0, plan_index=2)
        driver.send_request("unmetered", plan_index=1)
        driver.send_request("slow", units=1.0, plan_index=3)
        answer_all()
        driver.advance(100.0)
    driver.send_request("ada", units=2.0)
    driver.send_request("grace", units=4.0, class_index=2, idempotency_key="swap-60")
    driver.send_request("shared", units=2.0, plan_index=2)
    driver.end_attempt(driver.sent_attempts()[-1], Outcome.CONNECT_FAILED, elapsed_ms=1.0)
    driver.send_request("late", units=4.0)
    return driver


def write_account() -> dict[str, Any]:
    """What the leaving limiter leaves."""
    driver = leaving_limiter()
    return export_handover(driver.limiter, driver.now)


def read_account(account: dict[str, Any]) -> tuple[Limiter, tuple[int, int]]:
    """The successor, which has the same endpoints, and how many entries it took and could not read."""
    successor = Driver(HANDOVER_SETTINGS, now=NOW_MS)
    list_four_endpoints(successor)
    return successor.limiter, apply_handover(successor.limiter, account, NOW_MS)


def rewrite_account(limiter: Limiter) -> dict[str, Any]:
    """The account from what was read.  `export_handover` leaves out tenants that have not come yet."""
    tenants = {name: list(record) for name, record in limiter.tenants.records.inherited.items()}
    without_share_until = limiter.tenants.records.unknown_start_empty_until
    account = export_handover(limiter, NOW_MS)
    return account | {"given_way_until": without_share_until, "customers": tenants}


def read_endpoint(limiter: Limiter, name: str) -> dict[str, float]:
    """What a successor knows of an endpoint."""
    server = limiter.selector.endpoints[name]
    return {
        "latency_ms": server.latency_ms,
        "failing": server.failure_ratio,
        "limit": server.concurrency_limit,
        "judged_at": server.updated_at,
        "answers": server.answer_weight,
        "failed_connects": server.connect_failures,
        "left_out_until": server.ejected_until,
    }


def read_tenant(limiter: Limiter, name: str) -> TenantRecord | None:
    """What a successor is given of a tenant that comes now."""
    return limiter.tenants.records.take(name, NOW_MS)


def read_key(limiter: Limiter, tenant: str, key: str) -> tuple[float, int]:
    """Until when an idempotency key counts, and at which listeners."""
    return limiter.charged_keys.charged[tenant, key]


# Compact records of tenants

RECORDS_KEY = bytes(range(16))
RECORDS = {
    "ada": TenantRecord(1.5, 0.25, 12.0, 40.0, 56_666, NOW_MS - 500.0, NOW_MS + 30_000.0),
    "grace": TenantRecord(-2.0, 3.5, -1.25, 7.0, -1, NOW_MS - 20.0, NOW_MS + 4000.0),
    "zoë": TenantRecord(0.0, 0.0, 0.5, 0.0, 2**31 - 1, NOW_MS, NOW_MS + 600_000.0),
}


def empty_records() -> TenantRecords:
    return TenantRecords(RECORDS_KEY, bits=2, max_tables=1)


def write_records() -> bytes:
    """The columns of a table that holds `RECORDS`, one after the other."""
    records = empty_records()
    for name, record in RECORDS.items():
        records.put(name, record, NOW_MS)
    return rewrite_records(records)


def columns(records: TenantRecords) -> list[Any]:
    table = records.tables[0]
    return [
        table.name_hashes,
        table.evicted_ticks,
        table.full_ticks,
        table.counter_windows,
        *table.amounts,
    ]


def read_records(data: bytes) -> TenantRecords:
    """Records whose only table has these columns."""
    records = empty_records()
    records.put("overwritten", RECORDS["ada"], NOW_MS)  # makes the table
    begins = 0
    for column in columns(records):
        ends = begins + column.itemsize * len(column)
        column[:] = type(column)(column.typecode, data[begins:ends])
        begins = ends
    assert begins == len(data)
    records.tables[0].count = sum(name != 0 for name in records.tables[0].name_hashes)
    return records


def rewrite_records(records: TenantRecords) -> bytes:
    return b"".join(column.tobytes() for column in columns(records))


# The agreement: messages and a voter's store

VOTERS = ("a", "b", "c")


def new_proposer(life: str, version: int, value: str, before: str) -> Proposer:
    return Proposer(life, VOTERS, version, value, before)


def new_learner() -> Learner:
    return Learner("n0", "n0.1", VOTERS, LeaseTimes())


class Exchanges:
    """Words to voters and their answers, each as it stands on a link."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lines: list[dict[str, Any]] = []
        self.stores: dict[str, PolicyRegister] = {}
        self.voters = {name: self.voter(name, fresh=True) for name in VOTERS}

    def voter(self, name: str, fresh: bool, now: float = 0.0) -> Acceptor:
        store = self.stores[name] = PolicyRegister(self.folder / f"voter-{name}.db", name, ignore)
        return Acceptor(name, VOTERS, store, LeaseTimes(), now, is_new_register=fresh)

    def lose_store(self, name: str, now: float) -> None:
        """A voter starts again, and its store is gone."""
        self.stores[name].close()
        (self.folder / f"voter-{name}.db").unlink()
        self.voters[name] = self.voter(name, fresh=False, now=now)

    def close(self) -> None:
        for store in self.stores.values():
            store.close()

    def send(self, at: float, to: str, word: dict[str, Any]) -> dict[str, Any]:
        """Carry a word to a voter; returns the answer, as it is read at the other end."""
        sent = orjson.loads(orjson.dumps(word))
        answer = self.voters[to].receive(sent, at)
        self.lines.append({"at": at, "to": to, "word": sent, "answer": answer})
        told: dict[str, Any] = orjson.loads(orjson.dumps(answer))
        return told

    def to_all(
        self, at: float, word: dict[str, Any], names: tuple[str, ...] = VOTERS
    ) -> list[dict[str, Any]]:
        return [self.send(at, name, word) for name in names]

    def propose(self, at: float, proposer: Proposer, names: tuple[str, ...] = VOTERS) -> None:
        """One attempt of a proposer, to its end."""
        words: list[dict[str, Any] | None] = [proposer.begin_attempt()]
        while words and (word := words.pop(0)) is not None:
            answers = [proposer.receive(answer) for answer in self.to_all(at, word, names)]
            words += [answer for answer in answers if answer is not None]

    def ask(self, at: float, learner: Learner) -> None:
        """One ask of a learner for its permission, and what it gives back."""
        for answer in self.to_all(at, learner.request_leases(at)):
            if (back := learner.receive(answer, at)) is not None:
                self.to_all(at, back)


def write_exchanges(folder: Path) -> list[dict[str, Any]]:
    """Every kind of message: two changes that meet, a learner's permissions, a voter that has lost its store.
    The voters' stores are left in the folder."""
    exchanges = Exchanges(folder)
    learner = new_learner()
    exchanges.propose(0.0, new_proposer("p0", 1, '{"rate":4}', ""))
    exchanges.ask(4000.0, learner)
    exchanges.send(4000.0, "a", {"k": "ask", "holder": "n0", "life": "n0.1", "ask": 1, "version": 0})
    first = new_proposer("p1", 2, '{"rate":1}', '{"rate":4}')
    second = new_proposer("p2", 2, '{"rate":2}', '{"rate":4}')
    exchanges.to_all(4100.0, first.begin_attempt(), ("a", "b"))
    second.begin_attempt()
    exchanges.propose(4200.0, second)
    exchanges.propose(4300.0, first, ("a",))
    exchanges.ask(4400.0, learner)
    exchanges.ask(9000.0, learner)
    third = new_proposer("p3", 3, '{"rate":9}', second.decided_value)
    for answer in exchanges.to_all(9100.0, third.begin_attempt()):
        if (accept := third.receive(answer)) is not None:
            exchanges.send(9100.0, "a", accept)  # one voter accepts, and nobody hears of it
    exchanges.lose_store("c", 9200.0)
    exchanges.send(9200.0, "c", third.begin_attempt())
    for name in ("a", "b"):
        exchanges.send(9200.0, "c", exchanges.send(9200.0, name, {"k": "tell"}))
    exchanges.close()
    return exchanges.lines


def replay_exchanges(folder: Path, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The same lines, with the answers that the present voters give to the words in them."""
    exchanges = Exchanges(folder)
    for line in lines:
        if line["answer"] == {"k": "lost", "voter": line["to"]} and line["word"]["k"] != "told":
            exchanges.lose_store(line["to"], line["at"])
        exchanges.send(line["at"], line["to"], line["word"])
    exchanges.close()
    return exchanges.lines


def read_voter(path: Path) -> Acceptor:
    """A voter that starts with a store; it is lost where the store can't be read."""
    return Acceptor("a", VOTERS, PolicyRegister(path, "a", ignore), LeaseTimes(), 20_000.0)


def rewrite_voter(voter: Acceptor, path: Path) -> None:
    """Store what a voter has read in another file."""
    store = PolicyRegister(path, "a", ignore)
    store.save(voter.state.to_wire())
    store.close()


def stored_rows(path: Path) -> list[tuple[Any, ...]]:
    """The tables' definitions and rows.  The file around them has the version of SQLite in it."""
    with closing(sqlite3.connect(path)) as base:
        tables = base.execute("SELECT type, name, sql FROM sqlite_master").fetchall()
        rows = base.execute("SELECT one, name, form, crc, state FROM voter").fetchall()
    return [*tables, *rows]


# Frames between limiters

MEMBERS = ("n0", "n1", "n2")
ZONE_CLASS = replace(
    IDEMPOTENT_CLASS,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    idempotency_window_ms=20_000.0,
)
PEER_SETTINGS = replace(
    SETTINGS,
    limiter_count=3,
    request_classes=(IDEMPOTENT_CLASS, ZONE_CLASS),
    plans=(Plan(rate_per_s=4.0, burst=16.0),),
)
FRAME_BEGINS = b"*2\r\n$5\r\nPEERS\r\n"


class PeeredLimiter:
    """A limiter with links to its peers; the frames on them are bytes.  It is its core's ports too."""

    def __init__(self, name: str, nonce: int, now: float = 0.0) -> None:
        self.now = now  # of the links; the clock of the decisions stands NOW_MS further
        net: Any = Net()
        addresses = {other: f"127.0.0.1:{7200 + int(other[1])}" for other in MEMBERS if other != name}
        self.replicator = Replicator(ReplicationSettings(name, MEMBERS), nonce, now, ignore)
        self.links = PeerLinks(
            net,
            name,
            addresses,
            ignore,
            lambda peer: self.replicator.link_up(peer, self.now),
            lambda peer: self.replicator.link_down(peer, self.now),
            self.received,
        )
        self.net = net
        self.wires: dict[str, Wire] = {}
        self.overrides = EndpointOverrides()
        self.sent_attempts: list[Any] = []
        self.core = Core(PEER_SETTINGS, 7, self, self.clock)
        self.peering = Peering(
            self.replicator,
            self.core,
            self.overrides,
            self.clock,
            self.overridden,
            ignore,
            OverrideScope.FLEET,
        )

    def clock(self) -> float:
        return NOW_MS + self.now

    # Its links

    def connect(self, peer: str, hello: bytes) -> None:
        self.wires[peer] = self.net.join(peer, self.links)
        self.deliver(peer, hello)

    def deliver(self, peer: str, data: bytes) -> None:
        self.wires[peer].protocol.dataReceived(data)

    def received(self, peer: str, message: Any) -> None:
        for to, answer in self.replicator.receive(peer, message, self.now):
            self.links.send(to, answer)

    def frames(self, peer: str) -> list[bytes]:
        """What it has sent to a peer since this was last asked."""
        wire: Any = self.wires[peer]
        sent: bytes = wire.value()
        wire.clear()
        return split_frames(sent)

    def run(self, ms: float) -> None:
        """Time passes, in the steps of a limiter."""
        end = self.now + ms
        while self.now < end:
            self.now += 50.0
            self.core.turn()
            for peer, message in self.peering.tick(self.now, self.links.ready):
                self.links.send(peer, message)

    # What it has read

    def read_log(self, name: str, number: int, nonce: int) -> tuple[int, int, dict[str, Any]]:
        """The version and floor of a peer's log, and its live entries."""
        log = next(c for life, c in self.replicator.replica.logs.items() if life == (name, number, nonce))
        return log.version, log.floor, dict(log.live_entries())

    def read_have(self, peer: str) -> tuple[bool, dict[tuple[str, int, int], tuple[int, int]]]:
        """Whether a peer has settled, and what it holds of each life."""
        link = self.replicator.links[peer]
        return link.is_settled, {(*life,): state for life, state in link.assumed_states.items()}

    def read_overrides(self) -> dict[str, Override]:
        return self.overrides.by_endpoint

    def read_attempt(self, tenant: str, key: str) -> tuple[int, int, float] | None:
        """Zone and cell where a key may have run, and when it was sent there."""
        ran = self.peering.idempotency.ran(tenant, key)
        return None if ran is None else (ran[0].zone, ran[0].cell, ran[1])

    def read_claims(self) -> set[str]:
        """What peers say of endpoints."""
        return set(self.peering.endpoints.reporters)

    def read_accounts(self) -> dict[str, TenantRecord]:
        """What this limiter's former lives have left of tenants."""
        return self.core.limiter.tenants.records.inherited

    def read_digest(self) -> str:
        """What is held, as the log tells it: operators compare it between limiters."""
        return self.peering.digest()

    def read_life(self) -> tuple[bool, int]:
        """Whether it has settled, and the number of its life."""
        return self.replicator.is_settled, self.replicator.incarnation.number

    # Its work

    def list_endpoints(self, *names: str) -> None:
        started = NOW_MS - 3_600_000.0
        infos = [Endpoint(n, EndpointState.SERVING, zone=2, cell=5, started_at=started) for n in names]
        self.core.on_endpoints(self.overrides.on_endpoints(infos, True), True)
        self.core.turn()

    def overridden(self, some: list[str]) -> None:
        self.core.on_endpoints(self.overrides.effective_entries(some), False)

    def request(self, tenant: str, outcome: Outcome, kind: int = 0, key: str = "") -> None:
        """A request of two units, each of whose attempts ends like this."""
        caller: Any = self
        incoming = IncomingRequest(
            tenant=tenant,
            plan_index=0,
            class_index=kind,
            expires_in_ms=2000.0,
            units=2.0,
            sharing_limiters=3,
            idempotency_key=key,
        )
        self.core.submit(caller, None, incoming)
        self.core.turn()
        while self.sent_attempts:
            self.core.attempt_ended(self.sent_attempts.pop(), outcome)
            self.core.turn()

    def on_answer(self, *told: Any) -> None:
        """A request's answer, for nobody."""

    def send_attempt(self, request: Any, endpoint: str, timeout_ms: float) -> None:
        self.sent_attempts.append(request)

    def abandon_attempt(self, request: Any) -> None: ...

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        self.core.counter_replied(counter_key, Outcome.OK, max(0.0, amount), 3.0)

    def check_health(self, endpoint: str) -> None: ...

    def on_endpoints(self, endpoints: Any, is_complete: bool) -> None: ...

    def wake_at(self, due_at: float) -> None: ...


def frame(message: Any) -> bytes:
    """A peer's frame, written here by hand."""
    data = orjson.dumps(message)
    return FRAME_BEGINS + b"$%d\r\n%s\r\n" % (len(data), data)


def have(*lives: list[Any], ask: bool = False) -> bytes:
    """What a settled peer says that it holds."""
    return frame({"k": "have", "v": list(lives), "s": True, "m": False, "a": ask})


def news(name: str, number: int, begins: int, *entries: list[Any]) -> bytes:
    """The next entries of a peer's life."""
    upto = begins + len(entries)
    versioned = [[entry[0], begins + place, entry[1]] for place, entry in enumerate(entries, 1)]
    return frame({"k": "news", "c": [[name, number, 77, begins, upto, 0, False, versioned]]})


ENDPOINT = "s2"  # by its name's hash n0 is the one that tries it for all


def write_frames() -> dict[str, bytes]:
    """Every kind of frame and of entry: what n0 says to n1 from its start, each different frame once, and to
    n2 that comes much later."""
    limiter = PeeredLimiter("n0", nonce=1234)
    limiter.list_endpoints(ENDPOINT)
    limiter.connect("n1", frame({"hello": "n1", "form": 1}))
    limiter.deliver("n1", have(["n0", 1, 77, 1, 0], ["n1", 1, 77, 2, 0], ["n2", 1, 77, 1, 0]))
    account = [3.5, 0.25, 7.0, 12.0, 56_666, round(NOW_MS) - 900, round(NOW_MS) + 30_000]
    limiter.deliver("n1", news("n0", 1, 0, ["u:former", account]))
    limiter.deliver("n1", news("n1", 1, 0, ["!beat", 1.0], ["b:" + ENDPOINT, [0]]))
    limiter.deliver("n1", news("n2", 1, 0, ["!beat", 1.0]))
    limiter.run(1000.0)  # it settles, as its second life
    limiter.request("ada", Outcome.ERROR)
    limiter.request("grace", Outcome.OK, kind=1, key="swap-1")
    limiter.request("ada", Outcome.ERROR)
    limiter.run(1100.0)
    limiter.deliver("n1", have(["n1", 1, 77, 2, 0]))  # n2 alone is silent
    limiter.request("ada", Outcome.OK)
    limiter.request("grace", Outcome.OK)
    limiter.run(1000.0)
    limiter.list_endpoints(ENDPOINT, "s0", "s1", "s3")
    limiter.overrides.set_by_operator("s1", True, limiter.clock())
    limiter.peering.publish_override("s1", limiter.now)
    limiter.deliver("n1", have(ask=True))
    limiter.run(1000.0)
    limiter.list_endpoints(ENDPOINT, "s0", "s1")
    limiter.run(1000.0)
    limiter.run(40_000.0)  # the former life is closed; what is over ends
    to_first = limiter.frames("n1")
    limiter.run(TOMBSTONE_MS + 30_000.0)
    limiter.frames("n1")
    limiter.connect("n2", frame({"hello": "n2", "form": 1}))
    limiter.deliver("n2", have())
    to_second = limiter.frames("n2")
    return {"frames-to-n1": b"".join(dict.fromkeys(to_first)), "frames-to-n2": b"".join(to_second)}


def split_frames(data: bytes) -> list[bytes]:
    """A link's bytes, frame by frame."""
    return [FRAME_BEGINS + part for part in data.split(FRAME_BEGINS)[1:]]


def message_in(data: bytes) -> dict[str, Any]:
    match = re.fullmatch(rb"\*2\r\n\$5\r\nPEERS\r\n\$([0-9]+)\r\n(.*)\r\n", data)
    assert match is not None
    assert int(match[1]) == len(match[2])
    message: dict[str, Any] = orjson.loads(match[2])
    return message


def reader(name: str, peer: str, some: list[bytes], now: float = 3000.0) -> PeeredLimiter:
    """A limiter that has read the first frames of a link, and has one to another peer too."""
    limiter = PeeredLimiter(name, nonce=99, now=now)
    limiter.list_endpoints("s0", "s1", "s2", "s3")
    other = next(member for member in MEMBERS if member not in (name, peer))
    limiter.connect(other, frame({"hello": other, "form": 1}))
    limiter.connect(peer, some[0])
    for data in some[1:]:
        limiter.deliver(peer, data)
        assert not limiter.wires[peer].ended
    return limiter


# The data as files


def write_all(folder: Path, scratch: Path) -> None:
    """All files of the data; `scratch` is an empty folder."""
    files = write_handover_files(scratch / "tmp", write_account(), OVERRIDES)
    files["records"] = write_records()
    files |= write_frames()
    lines = write_exchanges(scratch)
    files["agreement-words"] = b"".join(orjson.dumps(line) + b"\n" for line in lines)
    files["voter-a.db"] = (scratch / "voter-a.db").read_bytes()
    for name, data in files.items():
        (folder / name).write_bytes(data)


OVERRIDES = {
    "s0": Override(NOW_MS - 5000.0, True),
    "s1": Override(NOW_MS - 0.5, False),
    "zoë": Override(NOW_MS, True),
}


def stored(name: str) -> bytes:
    return (DATA / name).read_bytes()


def agreement_lines() -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in stored("agreement-words").splitlines()]


def to_n1() -> list[bytes]:
    return split_frames(stored("frames-to-n1"))


def to_n2() -> list[bytes]:
    return split_frames(stored("frames-to-n2"))


if __name__ == "__main__":
    from tempfile import TemporaryDirectory

    with TemporaryDirectory() as temporary:
        write_all(Path(sys.argv[1]), Path(temporary))
