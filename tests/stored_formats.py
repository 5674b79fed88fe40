"""Writes and reads, with the present code, the data that limiters store and send to each other.

The files in `tests/data/b1c877a` were written by the code of commit b1c877a, with the version of this module
in commit c7a90a0: `python tests/stored_formats.py FOLDER`. `tests/test_stored_formats.py` compares them with
the present code, which it uses only through this module.
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
from scenario import MemoryNetwork, Wire

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
NOW_MS = 1_700_000_000_000.0  # the time at which the data was written, as passed in
INCARNATION = 3  # the incarnation that wrote the handover files


def ignore(event: str, **fields: Any) -> None:
    """A log function that discards all lines."""


# Handover files: `life-N`, `ready-N`, `left-N`, `bans-N`


def start_incarnation(folder: Path) -> Incarnation:
    """Registers the next incarnation among those that share a folder."""
    incarnation = Incarnation(str(folder), ignore)
    incarnation.register()
    return incarnation


@contextmanager
def running_predecessor(folder: Path, names: tuple[str, ...]) -> Iterator[Incarnation]:
    """Copies stored files of a predecessor that still runs, and yields its successor."""
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
    folder: Path, handover: dict[str, Any], overrides: dict[str, Override]
) -> dict[str, bytes]:
    """Returns the files that incarnation 3 writes for its successor."""
    shared = folder / "scalelb"
    shared.mkdir(parents=True)
    (shared / f"life-{INCARNATION - 1}").touch()  # so that the next incarnation has number 3
    incarnation = start_incarnation(folder)
    incarnation.announce_ready()
    incarnation.publish_overrides(overrides)
    incarnation.hand_over(handover)
    os.close(incarnation.lock_descriptor)
    return {path.name: path.read_bytes() for path in shared.iterdir() if path.name.endswith("-3")}


# The handover in `left-N`

KEYED_CLASS = replace(IDEMPOTENT_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_window_ms=5000.0)
HANDOVER_SETTINGS = replace(
    SETTINGS,
    request_classes=(IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, KEYED_CLASS),
    plans=(
        Plan(rate_per_s=4.0, burst=16.0),
        Plan(),
        Plan(rate_per_s=2.0, burst=3.0),  # its bucket is on the counter, shared by two limiters
        Plan(rate_per_s=0.05, burst=16.0),  # its bucket takes minutes to be full again
    ),
)


def list_four_endpoints(driver: Driver) -> None:
    """Lists three warm endpoints and one that has just started."""
    warm = serving_endpoints(4, started_at=NOW_MS - 3_600_000.0)[:3]
    driver.handle(
        EndpointsListed((*warm, serving_endpoints(4, started_at=NOW_MS - 4000.0)[3]), is_complete=True)
    )


def limiter_before_handover() -> Driver:
    """Returns a limiter after 30 s of work.

    It has active tenants and evicted ones with compact records, requests that are queued or in flight, an
    unreachable endpoint and one in slow start, and idempotency keys within their windows.
    """
    driver = Driver(HANDOVER_SETTINGS, now=NOW_MS - 30_000.0)
    list_four_endpoints(driver)
    answered_sends: set[tuple[int, int]] = set()
    answered_calls = 0

    def answer_all() -> None:
        nonlocal answered_calls
        while pending := [
            sent
            for sent in enumerate(driver.sent_attempts())
            if (sent[0], sent[1].request_id) not in answered_sends
        ]:
            index, send = pending[0]
            answered_sends.add((index, send.request_id))
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


def write_handover() -> dict[str, Any]:
    """Returns the handover of `limiter_before_handover`."""
    driver = limiter_before_handover()
    return export_handover(driver.limiter, driver.now)


def read_handover(handover: dict[str, Any]) -> tuple[Limiter, tuple[int, int]]:
    """Returns a successor with the same endpoints, and its numbers of adopted and malformed entries."""
    successor = Driver(HANDOVER_SETTINGS, now=NOW_MS)
    list_four_endpoints(successor)
    return successor.limiter, apply_handover(successor.limiter, handover, NOW_MS)


def rewrite_handover(limiter: Limiter) -> dict[str, Any]:
    """Returns the handover of a limiter that has read one.

    `export_handover` omits tenants without a request since then, so they are added here.
    """
    tenants = {name: list(record) for name, record in limiter.tenants.records.inherited.items()}
    start_empty_until = limiter.tenants.records.unknown_start_empty_until
    handover = export_handover(limiter, NOW_MS)
    return handover | {"given_way_until": start_empty_until, "customers": tenants}


def read_endpoint(limiter: Limiter, name: str) -> dict[str, float]:
    """Returns the state of an endpoint at a successor."""
    endpoint = limiter.selector.endpoints[name]
    return {
        "latency_ms": endpoint.latency_ms,
        "failure_ratio": endpoint.failure_ratio,
        "concurrency_limit": endpoint.concurrency_limit,
        "updated_at": endpoint.updated_at,
        "answer_weight": endpoint.answer_weight,
        "connect_failures": endpoint.connect_failures,
        "ejected_until": endpoint.ejected_until,
    }


def read_tenant(limiter: Limiter, name: str) -> TenantRecord | None:
    """Returns the inherited record of a tenant whose first request arrives now."""
    return limiter.tenants.records.take(name, NOW_MS)


def read_charged_key(limiter: Limiter, tenant: str, key: str) -> tuple[float, int]:
    """Returns the end of the window of an idempotency key, and the listeners it was charged for as bits."""
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
    """Returns the concatenated columns of a table that holds `RECORDS`."""
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
    """Returns records whose only table has these columns."""
    records = empty_records()
    records.put("overwritten", RECORDS["ada"], NOW_MS)  # creates the table
    start = 0
    for column in columns(records):
        end = start + column.itemsize * len(column)
        column[:] = type(column)(column.typecode, data[start:end])
        start = end
    assert start == len(data)
    records.tables[0].count = sum(name_hash != 0 for name_hash in records.tables[0].name_hashes)
    return records


def rewrite_records(records: TenantRecords) -> bytes:
    return b"".join(column.tobytes() for column in columns(records))


# Consensus: messages and the store of an acceptor

ACCEPTORS = ("a", "b", "c")


def new_proposer(incarnation: str, version: int, value: str, previous_value: str) -> Proposer:
    return Proposer(incarnation, ACCEPTORS, version, value, previous_value)


def new_learner() -> Learner:
    return Learner("n0", "n0.1", ACCEPTORS, LeaseTimes())


class Exchanges:
    """Messages to acceptors and their replies, each as JSON."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lines: list[dict[str, Any]] = []
        self.stores: dict[str, PolicyRegister] = {}
        self.acceptors = {name: self.create_acceptor(name, is_new_register=True) for name in ACCEPTORS}

    def create_acceptor(self, name: str, is_new_register: bool, now: float = 0.0) -> Acceptor:
        store = self.stores[name] = PolicyRegister(self.folder / f"voter-{name}.db", name, ignore)
        return Acceptor(name, ACCEPTORS, store, LeaseTimes(), now, is_new_register=is_new_register)

    def lose_store(self, name: str, now: float) -> None:
        """Restarts an acceptor without its store."""
        self.stores[name].close()
        (self.folder / f"voter-{name}.db").unlink()
        self.acceptors[name] = self.create_acceptor(name, is_new_register=False, now=now)

    def close(self) -> None:
        for store in self.stores.values():
            store.close()

    def send(self, now: float, receiver: str, message: dict[str, Any]) -> dict[str, Any]:
        """Sends a message to an acceptor and returns the reply, both encoded and decoded as JSON."""
        sent = orjson.loads(orjson.dumps(message))
        reply = self.acceptors[receiver].receive(sent, now)
        self.lines.append({"at": now, "to": receiver, "word": sent, "answer": reply})
        received: dict[str, Any] = orjson.loads(orjson.dumps(reply))
        return received

    def send_to_all(
        self, now: float, message: dict[str, Any], names: tuple[str, ...] = ACCEPTORS
    ) -> list[dict[str, Any]]:
        return [self.send(now, name, message) for name in names]

    def propose(self, now: float, proposer: Proposer, names: tuple[str, ...] = ACCEPTORS) -> None:
        """Runs one attempt of a proposer to its end."""
        messages: list[dict[str, Any] | None] = [proposer.begin_attempt()]
        while messages and (message := messages.pop(0)) is not None:
            proposer_replies = [proposer.receive(reply) for reply in self.send_to_all(now, message, names)]
            messages += [reply for reply in proposer_replies if reply is not None]

    def request_leases(self, now: float, learner: Learner) -> None:
        """Sends one lease request of a learner, and the lease returns that result from the replies."""
        for reply in self.send_to_all(now, learner.request_leases(now)):
            if (lease_return := learner.receive(reply, now)) is not None:
                self.send_to_all(now, lease_return)


def write_exchanges(folder: Path) -> list[dict[str, Any]]:
    """Returns messages and replies of every kind, and leaves the acceptors' stores in the folder.

    They come from two concurrent changes, the leases of a learner, and an acceptor that lost its store.
    """
    exchanges = Exchanges(folder)
    learner = new_learner()
    exchanges.propose(0.0, new_proposer("p0", 1, '{"rate":4}', ""))
    exchanges.request_leases(4000.0, learner)
    exchanges.send(4000.0, "a", {"k": "ask", "holder": "n0", "life": "n0.1", "ask": 1, "version": 0})
    first = new_proposer("p1", 2, '{"rate":1}', '{"rate":4}')
    second = new_proposer("p2", 2, '{"rate":2}', '{"rate":4}')
    exchanges.send_to_all(4100.0, first.begin_attempt(), ("a", "b"))
    second.begin_attempt()
    exchanges.propose(4200.0, second)
    exchanges.propose(4300.0, first, ("a",))
    exchanges.request_leases(4400.0, learner)
    exchanges.request_leases(9000.0, learner)
    third = new_proposer("p3", 3, '{"rate":9}', second.decided_value)
    for reply in exchanges.send_to_all(9100.0, third.begin_attempt()):
        if (accept := third.receive(reply)) is not None:
            exchanges.send(9100.0, "a", accept)  # one acceptor accepts, and its reply is lost
    exchanges.lose_store("c", 9200.0)
    exchanges.send(9200.0, "c", third.begin_attempt())
    for name in ("a", "b"):
        exchanges.send(9200.0, "c", exchanges.send(9200.0, name, {"k": "tell"}))
    exchanges.close()
    return exchanges.lines


def replay_exchanges(folder: Path, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sends the messages in the lines and returns the lines with the replies of the present code."""
    exchanges = Exchanges(folder)
    for line in lines:
        if line["answer"] == {"k": "lost", "voter": line["to"]} and line["word"]["k"] != "told":
            exchanges.lose_store(line["to"], line["at"])
        exchanges.send(line["at"], line["to"], line["word"])
    exchanges.close()
    return exchanges.lines


def read_acceptor(path: Path) -> Acceptor:
    """Starts an acceptor with a stored state; its state counts as lost if the store can't be read."""
    return Acceptor("a", ACCEPTORS, PolicyRegister(path, "a", ignore), LeaseTimes(), 20_000.0)


def rewrite_acceptor(acceptor: Acceptor, path: Path) -> None:
    """Stores the state of an acceptor in another file."""
    store = PolicyRegister(path, "a", ignore)
    store.save(acceptor.state.to_wire())
    store.close()


def stored_rows(path: Path) -> list[tuple[Any, ...]]:
    """Returns the definitions of the tables and their rows.

    The bytes of the file can't be compared, because they contain the version of SQLite.
    """
    with closing(sqlite3.connect(path)) as database:
        tables = database.execute("SELECT type, name, sql FROM sqlite_master").fetchall()
        rows = database.execute("SELECT one, name, form, crc, state FROM voter").fetchall()
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
FRAME_PREFIX = b"*2\r\n$5\r\nPEERS\r\n"


class PeeredLimiter:
    """A limiter whose links carry frames as bytes. It also implements the ports of its core."""

    def __init__(self, name: str, nonce: int, now: float = 0.0) -> None:
        self.now = now  # the clock of the links; the clock of the core is ahead by NOW_MS
        net: Any = MemoryNetwork()
        addresses = {other: f"127.0.0.1:{7200 + int(other[1])}" for other in MEMBERS if other != name}
        self.replicator = Replicator(ReplicationSettings(name, MEMBERS), nonce, now, ignore)
        self.links = PeerLinks(
            net,
            name,
            addresses,
            ignore,
            lambda peer: self.replicator.link_up(peer, self.now),
            lambda peer: self.replicator.link_down(peer, self.now),
            self.receive_frame,
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
            self.apply_overrides,
            ignore,
            OverrideScope.FLEET,
        )

    def clock(self) -> float:
        return NOW_MS + self.now

    # Links

    def connect(self, peer: str, hello: bytes) -> None:
        self.wires[peer] = self.net.connect(peer, self.links)
        self.deliver(peer, hello)

    def deliver(self, peer: str, data: bytes) -> None:
        self.wires[peer].protocol.dataReceived(data)

    def receive_frame(self, peer: str, message: Any) -> None:
        for receiver, reply in self.replicator.receive(peer, message, self.now):
            self.links.send(receiver, reply)

    def take_sent_frames(self, peer: str) -> list[bytes]:
        """Returns the frames sent to a peer since the previous call."""
        wire: Any = self.wires[peer]
        sent: bytes = wire.value()
        wire.clear()
        return split_frames(sent)

    def run(self, duration_ms: float) -> None:
        """Lets time pass in ticks of 50 ms."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += 50.0
            self.core.turn()
            for peer, message in self.peering.tick(self.now, self.links.is_ready):
                self.links.send(peer, message)

    # State read from the frames of peers

    def read_log(self, name: str, number: int, nonce: int) -> tuple[int, int, dict[str, Any]]:
        """Returns the version and the floor of a peer's log, and its live entries."""
        log = next(
            copy
            for incarnation, copy in self.replicator.replica.logs.items()
            if incarnation == (name, number, nonce)
        )
        return log.version, log.floor, dict(log.live_entries())

    def read_peer_states(self, peer: str) -> tuple[bool, dict[tuple[str, int, int], tuple[int, int]]]:
        """Returns whether a peer has settled, and the state of its copy of each log."""
        link = self.replicator.links[peer]
        return link.is_settled, {(*incarnation,): state for incarnation, state in link.assumed_states.items()}

    def read_overrides(self) -> dict[str, Override]:
        return self.overrides.by_endpoint

    def read_attempt(self, tenant: str, key: str) -> tuple[int, int, float] | None:
        """Returns the zone and cell to which a request with this key was sent, and when."""
        attempt = self.peering.idempotency.find_execution(tenant, key)
        return None if attempt is None else (attempt[0].zone, attempt[0].cell, attempt[1])

    def read_endpoint_reports(self) -> set[str]:
        """Returns the keys of the peers' current reports on endpoints."""
        return set(self.peering.endpoints.reporters)

    def read_accounts(self) -> dict[str, TenantRecord]:
        """Returns the tenant records that earlier incarnations of this limiter have left."""
        return self.core.limiter.tenants.records.inherited

    def read_digest(self) -> str:
        """Returns the digest of the replica, which limiters log so that operators can compare replicas."""
        return self.peering.digest()

    def read_incarnation(self) -> tuple[bool, int]:
        """Returns whether the limiter has settled, and the number of its incarnation."""
        return self.replicator.is_settled, self.replicator.incarnation.number

    # Work of the core

    def list_endpoints(self, *names: str) -> None:
        started_at = NOW_MS - 3_600_000.0
        endpoints = [Endpoint(n, EndpointState.SERVING, zone=2, cell=5, started_at=started_at) for n in names]
        self.core.on_endpoints(self.overrides.on_endpoints(endpoints, True), True)
        self.core.turn()

    def apply_overrides(self, endpoints: list[str]) -> None:
        self.core.on_endpoints(self.overrides.effective_entries(endpoints), False)

    def request(self, tenant: str, outcome: Outcome, class_index: int = 0, idempotency_key: str = "") -> None:
        """Submits a request of two units; each of its attempts ends with `outcome`."""
        caller: Any = self
        incoming = IncomingRequest(
            tenant=tenant,
            plan_index=0,
            class_index=class_index,
            expires_in_ms=2000.0,
            units=2.0,
            sharing_limiters=3,
            idempotency_key=idempotency_key,
        )
        self.core.submit(caller, None, incoming)
        self.core.turn()
        while self.sent_attempts:
            self.core.attempt_ended(self.sent_attempts.pop(), outcome)
            self.core.turn()

    def on_answer(self, *answer: Any) -> None:
        """Ignores the answer to a request."""

    def send_attempt(self, request: Any, endpoint: str, timeout_ms: float) -> None:
        self.sent_attempts.append(request)

    def abandon_attempt(self, request: Any) -> None: ...

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        self.core.counter_replied(counter_key, Outcome.OK, max(0.0, amount), 3.0)

    def check_health(self, endpoint: str) -> None: ...

    def on_endpoints(self, endpoints: Any, is_complete: bool) -> None: ...

    def wake_at(self, due_at: float) -> None: ...


def encode_frame(message: Any) -> bytes:
    """Encodes a peer's frame without the code under test."""
    data = orjson.dumps(message)
    return FRAME_PREFIX + b"$%d\r\n%s\r\n" % (len(data), data)


def digest_frame(*logs: list[Any], wants_digest: bool = False) -> bytes:
    """Encodes the digest of a settled peer."""
    return encode_frame({"k": "have", "v": list(logs), "s": True, "m": False, "a": wants_digest})


def delta_frame(name: str, number: int, after: int, *entries: list[Any]) -> bytes:
    """Encodes the next entries of an incarnation's log."""
    up_to = after + len(entries)
    versioned = [[entry[0], after + index, entry[1]] for index, entry in enumerate(entries, 1)]
    return encode_frame({"k": "news", "c": [[name, number, 77, after, up_to, 0, False, versioned]]})


ENDPOINT = "s2"  # by rendezvous hashing of its name, n0 is the member that probes it for all


def write_frames() -> dict[str, bytes]:
    """Returns frames that contain every kind of frame and of entry.

    They are the frames that n0 sends to n1 from its start, without repetitions, and those that it sends to
    n2, which connects much later.
    """
    limiter = PeeredLimiter("n0", nonce=1234)
    limiter.list_endpoints(ENDPOINT)
    limiter.connect("n1", encode_frame({"hello": "n1", "form": 1}))
    limiter.deliver("n1", digest_frame(["n0", 1, 77, 1, 0], ["n1", 1, 77, 2, 0], ["n2", 1, 77, 1, 0]))
    account = [3.5, 0.25, 7.0, 12.0, 56_666, round(NOW_MS) - 900, round(NOW_MS) + 30_000]
    limiter.deliver("n1", delta_frame("n0", 1, 0, ["u:former", account]))
    limiter.deliver("n1", delta_frame("n1", 1, 0, ["!beat", 1.0], ["b:" + ENDPOINT, [0]]))
    limiter.deliver("n1", delta_frame("n2", 1, 0, ["!beat", 1.0]))
    limiter.run(1000.0)  # it settles as its second incarnation
    limiter.request("ada", Outcome.ERROR)
    limiter.request("grace", Outcome.OK, class_index=1, idempotency_key="swap-1")
    limiter.request("ada", Outcome.ERROR)
    limiter.run(1100.0)
    limiter.deliver("n1", digest_frame(["n1", 1, 77, 2, 0]))  # only n2 is unresponsive
    limiter.request("ada", Outcome.OK)
    limiter.request("grace", Outcome.OK)
    limiter.run(1000.0)
    limiter.list_endpoints(ENDPOINT, "s0", "s1", "s3")
    limiter.overrides.set_by_operator("s1", True, limiter.clock())
    limiter.peering.publish_override("s1", limiter.now)
    limiter.deliver("n1", digest_frame(wants_digest=True))
    limiter.run(1000.0)
    limiter.list_endpoints(ENDPOINT, "s0", "s1")
    limiter.run(1000.0)
    limiter.run(40_000.0)  # the earlier incarnation is closed, and expired entries are deleted
    sent_to_n1 = limiter.take_sent_frames("n1")
    limiter.run(TOMBSTONE_MS + 30_000.0)
    limiter.take_sent_frames("n1")
    limiter.connect("n2", encode_frame({"hello": "n2", "form": 1}))
    limiter.deliver("n2", digest_frame())
    sent_to_n2 = limiter.take_sent_frames("n2")
    return {"frames-to-n1": b"".join(dict.fromkeys(sent_to_n1)), "frames-to-n2": b"".join(sent_to_n2)}


def split_frames(data: bytes) -> list[bytes]:
    """Splits the bytes of a link into frames."""
    return [FRAME_PREFIX + part for part in data.split(FRAME_PREFIX)[1:]]


def decode_frame(data: bytes) -> dict[str, Any]:
    match = re.fullmatch(rb"\*2\r\n\$5\r\nPEERS\r\n\$([0-9]+)\r\n(.*)\r\n", data)
    assert match is not None
    assert int(match[1]) == len(match[2])
    message: dict[str, Any] = orjson.loads(match[2])
    return message


def limiter_with_frames(name: str, peer: str, frames: list[bytes], now: float = 3000.0) -> PeeredLimiter:
    """Returns a limiter that has received `frames` from a peer and is linked to another peer too."""
    limiter = PeeredLimiter(name, nonce=99, now=now)
    limiter.list_endpoints("s0", "s1", "s2", "s3")
    other = next(member for member in MEMBERS if member not in (name, peer))
    limiter.connect(other, encode_frame({"hello": other, "form": 1}))
    limiter.connect(peer, frames[0])
    for data in frames[1:]:
        limiter.deliver(peer, data)
        assert not limiter.wires[peer].ended
    return limiter


# The files


def write_all(folder: Path, scratch: Path) -> None:
    """Writes all files to a folder; `scratch` is an empty folder."""
    files = write_handover_files(scratch / "tmp", write_handover(), OVERRIDES)
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


def read_stored(name: str) -> bytes:
    return (DATA / name).read_bytes()


def exchange_lines() -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in read_stored("agreement-words").splitlines()]


def frames_to_n1() -> list[bytes]:
    return split_frames(read_stored("frames-to-n1"))


def frames_to_n2() -> list[bytes]:
    return split_frames(read_stored("frames-to-n2"))


if __name__ == "__main__":
    from tempfile import TemporaryDirectory

    with TemporaryDirectory() as temporary:
        write_all(Path(sys.argv[1]), Path(temporary))
