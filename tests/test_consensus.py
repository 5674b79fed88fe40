"""Consensus: every order of messages, crashes and expiring leases in its own code, planted faults that the
search finds, long runs with clocks that differ, and messages that can't be."""

from __future__ import annotations

import inspect
import pickle
import random
import textwrap
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from scalelb.consensus import (
    Acceptor,
    ChangeOutcome,
    Learner,
    LeaseTimes,
    MalformedMessageError,
    Proposer,
    acceptor,
    learner,
    proposer,
)
from scalelb.lab.model_check import Disk, World, search, wander
from scalelb.program.policy_register import PolicyRegister

NAMES = ("a", "b", "c")


def test_no_order_breaks_the_invariant() -> None:
    count, wrong = search(World(), 2500)
    assert (wrong, count > 10_000) == ("", True)


@pytest.mark.parametrize("losses", [0, 1])
def test_no_long_order_breaks_it_either(losses: int) -> None:
    count, wrong = wander(lambda: World(crashes=2, losses=losses), 250, 150)
    assert (wrong, count > 10_000) == ("", True)


def changed(where: Any, name: str, old: str, new: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Plant a fault in one method."""
    source = textwrap.dedent(inspect.getsource(getattr(where, name)))
    assert old in source
    space = dict(vars(inspect.getmodule(where)))
    exec(source.replace(old, new), space)
    monkeypatch.setattr(where, name, space[name])


def unsynced_stores() -> World:
    world = World(crashes=2)
    for disk in world.disks.values():
        disk.synced = False
    return world


def one_incarnation() -> World:
    world = World()
    for one in world.proposers.values():
        one.incarnation = "same"
    return world


def quorum_of_one(m: pytest.MonkeyPatch) -> None:
    for module in (learner, proposer, acceptor):
        m.setattr(module, "quorum_size", lambda acceptor_count: 1)


PLANTED: dict[str, tuple[Callable[[], World], Callable[[pytest.MonkeyPatch], None]]] = {
    "a promise is sent before it is synced": (unsynced_stores, lambda m: None),
    "a lease counts from the reply's arrival": (
        World,
        lambda m: changed(
            Learner, "receive", "self.requested_at.get(request_number(reply))",
            "now if request_number(reply) in self.requested_at else None", m,
        ),
    ),
    "a minority is a quorum": (World, quorum_of_one),
    "a ballot is used twice": (one_incarnation, lambda m: None),
    "an acceptor goes on while older leases are out": (
        World,
        lambda m: changed(
            Acceptor, "_grant_lease",
            "max((expires_at - now for expires_at in older_leases_end_at), default=0.0)", "0.0", m,
        ),
    ),
    "a new incarnation of an acceptor goes on at once": (
        lambda: World(crashes=2),
        lambda m: changed(
            Acceptor, "_grant_lease", "older_leases_end_at.append(self.earlier_leases_end_at)", "pass", m
        ),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", PLANTED)
def test_the_search_finds_each_planted_fault(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    make, plant = PLANTED[name]
    plant(monkeypatch)
    assert wander(make, 2500, 160)[1]


def deliver_among(world: World, *names: str) -> None:
    """Deliver what is in flight between some, until nothing is."""
    while some := [m for m in sorted(world.in_flight) if set(pickle.loads(m)[:2]) <= set(names)]:
        world.deliver(some[0])


@pytest.mark.parametrize("planted", [False, True])
def test_an_acceptor_that_lost_its_store_does_not_vote_as_though_it_knew(
    planted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The random walks do not come to this order: accepted by a and b, b loses its store, and votes with c.
    if planted:
        changed(Acceptor, "__post_init__", "saved is None and not self.is_new_register", "False", monkeypatch)
    world = World(learners=0, losses=1)
    world.to_all("p0", world.proposers["p0"].begin_attempt())
    deliver_among(world, "p0", "a", "b")
    assert world.proposers["p0"].outcome is ChangeOutcome.DECIDED
    assert world.look() == ""
    world.crash("b", False)
    world.to_all("p1", world.proposers["p1"].begin_attempt())
    deliver_among(world, "p1", "b", "c")
    assert bool(world.look()) is planted


class Fleet:
    """Acceptors, learners and changes in virtual time: clocks whose rates differ, messages late, lost or
    twice."""

    def __init__(self, seed: int, acceptors: int = 3, learners: int = 4) -> None:
        self.drawn, self.now, self.times = random.Random(seed), 0.0, LeaseTimes()
        self.names = tuple(f"v{n}" for n in range(acceptors))
        self.rates = {n: self.drawn.uniform(0.995, 1.005) for n in (*self.names, *map(str, range(learners)))}
        self.disks = {name: Disk() for name in self.names}
        self.acceptors = {
            n: Acceptor(n, self.names, self.disks[n], self.times, 0.0, is_new_register=True)
            for n in self.names
        }
        self.changes: list[tuple[Proposer, Callable[[Any], None]]] = []
        self.learners = {str(n): self.learner(str(n), 0) for n in range(learners)}
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.version, self.decisions = 0, 0, list[tuple[float, str, int]]()
        self.down: set[str] = set()
        self.cut: set[tuple[str, str]] = set()

    def learner(self, name: str, incarnation: int) -> Learner:
        return Learner(name, f"{name}.{incarnation}", self.names, self.times)

    def clock(self, name: str) -> float:
        return 5000.0 * (1 + len(name)) + self.now * self.rates.get(name, 1.0)

    def send(self, source: str, to: str, message: Any, arrive: Callable[[Any], None]) -> None:
        if message is None or (source, to) in self.cut or self.drawn.random() < 0.05:
            return
        for _ in range(1 + (self.drawn.random() < 0.05)):
            self.order += 1
            at = self.now + self.drawn.choice((2.0, 10.0, 40.0, 900.0))
            self.due.append((at, self.order, lambda: arrive(message)))

    def to_acceptors(self, source: str, message: Any, replied: Callable[[Any], None]) -> None:
        for name in self.names:

            def arrive(request: Any, name: str = name) -> None:
                if name not in self.down:
                    reply = self.acceptors[name].receive(request, self.clock(name))
                    self.send(name, source, reply, replied)

            self.send(source, name, message, arrive)

    def request_leases(self, name: str) -> None:
        one = self.learners[name]

        def replied(reply: Any) -> None:
            if self.learners[name] is one and name not in self.down:
                self.to_acceptors(name, one.receive(reply, self.clock(name)), lambda reply: None)

        self.to_acceptors(name, one.request_leases(self.clock(name)), replied)

    def propose(self, value: str) -> Proposer:
        newest = max((a.state for a in self.acceptors.values()), key=lambda state: state.decided_version)
        change = Proposer(
            f"p{self.order}", self.names, newest.decided_version + 1, value, newest.decided_value
        )

        def replied(reply: Any) -> None:
            self.to_acceptors("p", change.receive(reply), replied)

        self.changes.append((change, replied))
        return change

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 5.0
            ready = sorted(entry for entry in self.due if entry[0] <= self.now)
            self.due = [entry for entry in self.due if entry[0] > self.now]
            for _, _, do in ready:
                do()
            self.changes = [entry for entry in self.changes if entry[0].outcome is ChangeOutcome.PENDING]
            for change, replied in self.changes:
                if not change.ballot.number or self.drawn.random() < 0.004:  # once more, as messages get lost
                    self.to_acceptors("p", change.begin_attempt(), replied)
            for name, one in self.learners.items():
                if name in self.down:
                    continue
                if self.drawn.random() < 5.0 / self.times.renew_ms:
                    self.request_leases(name)
                if version := one.permitted_version(self.clock(name)):
                    self.decisions.append((self.now, one.value, version))

    def restart_acceptor(self, name: str) -> None:
        self.acceptors[name] = Acceptor(name, self.names, self.disks[name], self.times, self.clock(name))
        self.down.discard(name)


def checked(fleet: Fleet) -> int:
    """The invariant over every decision; how many there were."""
    newest, values = 0, dict[int, str]()
    for at, value, version in fleet.decisions:
        assert version >= newest, f"{version} after {newest} at {at}"
        assert values.setdefault(version, value) == value
        newest = version
    return len(fleet.decisions)


@pytest.mark.parametrize("seed", range(6))
def test_changes_under_crashes_stalls_and_cuts_take_hold_everywhere_or_nowhere(seed: int) -> None:
    fleet = Fleet(seed, acceptors=3 + 2 * (seed % 2))
    first = fleet.propose("first")
    fleet.run(6000.0)
    assert first.outcome is ChangeOutcome.DECIDED
    drawn, decided = random.Random(seed), 1
    for number in range(12):
        victim = drawn.choice((*fleet.names, *fleet.learners))
        cut = drawn.random() < 0.5
        if cut:
            fleet.cut |= {(victim, other) for other in (*fleet.names, *fleet.learners)}
        else:
            fleet.down.add(victim)
        change = fleet.propose(f"change {number}")
        fleet.run(drawn.uniform(50.0, 5000.0))
        fleet.cut.clear()
        if victim in fleet.names and not cut:
            fleet.restart_acceptor(victim)
        elif not cut and drawn.random() < 0.5:  # a new incarnation; else it was stalled, and wakes
            fleet.learners[victim] = fleet.learner(victim, number + 1)
        fleet.down.clear()
        fleet.run(drawn.uniform(50.0, 4000.0))
        decided += change.outcome is ChangeOutcome.DECIDED
    for _ in range(20):  # faults are over: the next change takes hold at all
        last = fleet.propose("last")
        fleet.run(8000.0)
        if last.outcome is ChangeOutcome.DECIDED:
            break
    for _ in range(100):  # messages still get lost: sooner or later all go by it at once
        fleet.run(200.0)
        by = {one.value for name, one in fleet.learners.items() if one.permitted_version(fleet.clock(name))}
        if by == {"last"} and all(one.permitted_version(fleet.clock(n)) for n, one in fleet.learners.items()):
            break
    else:
        raise AssertionError("not everywhere")
    assert decided > 3
    assert checked(fleet) > 10_000


def test_the_checker_finds_a_planted_break() -> None:
    fleet = Fleet(1)
    fleet.decisions = [(0.0, "x", 2), (1.0, "w", 1)]
    with pytest.raises(AssertionError):
        checked(fleet)


def test_who_can_not_renew_stops_before_the_next_version_takes_hold() -> None:
    fleet = Fleet(3)
    fleet.propose("old")
    fleet.run(6000.0)
    assert fleet.learners["0"].permitted_version(fleet.clock("0"))
    fleet.cut |= {("0", name) for name in fleet.names}
    fleet.propose("new")
    fleet.run(9000.0)
    assert fleet.learners["0"].permitted_version(fleet.clock("0")) == 0
    assert {fleet.learners[n].value for n in "123"} == {"new"}
    checked(fleet)


def test_an_acceptor_without_its_store_votes_again_once_enough_have_reported() -> None:
    acceptors = {n: Acceptor(n, NAMES, Disk(), LeaseTimes(), 0.0, is_new_register=True) for n in NAMES}
    for name in "ab":
        acceptors[name].receive({"k": "agreed", "version": 4, "value": "x"}, 0.0)
    back = Acceptor("a", NAMES, Disk(), LeaseTimes(), 0.0)
    assert back.receive({"k": "ask", "holder": "l", "life": "1", "ask": 1, "version": 0}, 0.0)["k"] == "lost"
    for name in "bc":
        back.receive(acceptors[name].receive({"k": "tell"}, 0.0), 0.0)
    assert (back.has_lost_state, back.state.decided_version, back.state.decided_value) == (False, 4, "x")
    request = {"k": "ask", "holder": "l", "life": "1", "version": 0}
    assert back.receive({**request, "ask": 1}, 100.0)["k"] == "wait"  # as after a crash
    assert back.receive({**request, "ask": 2}, 4000.0)["k"] == "permit"


def spoil(path: Path, how: str) -> None:
    data = path.read_bytes()
    spoilt = {
        "torn": data[: len(data) // 2], "foreign": b"not a database at all" * 50, "empty": b"",
        "flipped": data.replace(b'"version"', b'"versiom"'),
    }  # fmt: skip
    path.write_bytes(spoilt[how])


@pytest.mark.parametrize("how", ["torn", "foreign", "empty", "flipped"])
def test_a_store_that_can_not_be_is_set_aside_and_does_not_vote(tmp_path: Path, how: str) -> None:
    said: list[str] = []
    path = tmp_path / "voter.db"
    store = PolicyRegister(path, "a", lambda event, **more: said.append(event))
    one = Acceptor("a", NAMES, store, LeaseTimes(), 0.0, is_new_register=True)
    one.receive({"k": "agreed", "version": 3, "value": "x"}, 0.0)
    store.close()
    again = Acceptor(
        "a", NAMES, PolicyRegister(path, "a", lambda event, **more: said.append(event)), LeaseTimes(), 0.0
    )
    assert (again.state.decided_version, again.has_lost_state, said) == (3, False, [])
    spoil(path, how)
    last = Acceptor(
        "a", NAMES, PolicyRegister(path, "a", lambda event, **more: said.append(event)), LeaseTimes(), 0.0
    )
    assert last.has_lost_state
    assert said == ["register"] * (how != "empty")
    other = PolicyRegister(tmp_path / "other.db", "b", lambda event, **more: None)
    Acceptor("b", NAMES, other, LeaseTimes(), 0.0, is_new_register=True)
    other.close()
    assert Acceptor(
        "a", NAMES, PolicyRegister(tmp_path / "other.db", "a", lambda e, **m: None), LeaseTimes(), 0.0
    ).has_lost_state


@pytest.mark.parametrize(
    "message",
    [
        {}, {"k": "odd"}, {"k": "prepare"}, {"k": "accept", "version": 2},
        {"k": "prepare", "version": -1, "ballot": [1, "x"], "before": ""},
        {"k": "prepare", "version": 2, "ballot": [1], "before": ""},
        {"k": "accept", "version": 2, "ballot": [1, "x"], "value": 7},
        {"k": "agreed", "version": True, "value": ""}, {"k": "agreed", "version": 2, "value": "x" * 70_000},
        {"k": "ask", "holder": "", "life": "x", "ask": 1}, {"k": "told", "from": "b"},
        {"k": "ask", "holder": "x" * 200, "life": "x", "ask": 1, "version": 0},
        {"k": "back", "holder": "l", "life": "1", "ask": 2**60},
    ],
)  # fmt: skip
def test_a_message_that_can_not_be_changes_nothing(message: dict[str, Any]) -> None:
    one = Acceptor("a", NAMES, Disk(), LeaseTimes(), 0.0, is_new_register=True)
    before = repr((one.state, one.leases))
    with pytest.raises(MalformedMessageError):
        one.receive(message, 1.0)
    assert repr((one.state, one.leases)) == before
