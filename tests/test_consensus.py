"""Consensus: model checking of its code, planted faults, long runs with clock drift, and malformed messages.

The model checker tries every order of messages, crashes and expiring leases.
"""

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
from scalelb.lab.model_check import Disk, World, random_walks, search
from scalelb.program.policy_register import PolicyRegister

NAMES = ("a", "b", "c")


def test_breadth_first_search_finds_no_violation() -> None:
    count, violation = search(World(), 2500)
    assert (violation, count > 10_000) == ("", True)


@pytest.mark.parametrize("losses", [0, 1])
def test_random_walks_find_no_violation(losses: int) -> None:
    count, violation = random_walks(lambda: World(crashes=2, losses=losses), 250, 150)
    assert (violation, count > 10_000) == ("", True)


def patch_source(owner: Any, name: str, old: str, new: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Plants a fault by replacing text in the source of one method."""
    source = textwrap.dedent(inspect.getsource(getattr(owner, name)))
    assert old in source
    namespace = dict(vars(inspect.getmodule(owner)))
    exec(source.replace(old, new), namespace)
    monkeypatch.setattr(owner, name, namespace[name])


def world_with_unsynced_stores() -> World:
    world = World(crashes=2)
    for disk in world.disks.values():
        disk.synced = False
    return world


def world_with_equal_proposer_incarnations() -> World:
    world = World()
    for candidate in world.proposers.values():
        candidate.incarnation = "same"
    return world


def patch_quorum_size_to_one(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (learner, proposer, acceptor):
        monkeypatch.setattr(module, "quorum_size", lambda acceptor_count: 1)


PLANTED_FAULTS: dict[str, tuple[Callable[[], World], Callable[[pytest.MonkeyPatch], None]]] = {
    "a promise is sent before it is synced": (world_with_unsynced_stores, lambda m: None),
    "a lease is measured from the arrival of the reply": (
        World,
        lambda m: patch_source(
            Learner, "receive", "self.requested_at.get(request_number(reply))",
            "now if request_number(reply) in self.requested_at else None", m,
        ),
    ),
    "a minority is a quorum": (World, patch_quorum_size_to_one),
    "a ballot is used twice": (world_with_equal_proposer_incarnations, lambda m: None),
    "an acceptor grants leases for a new version while older leases are in use": (
        World,
        lambda m: patch_source(
            Acceptor, "_grant_lease",
            "max((expires_at - now for expires_at in older_leases_end_at), default=0.0)", "0.0", m,
        ),
    ),
    "a new incarnation of an acceptor does not wait for leases of its predecessor": (
        lambda: World(crashes=2),
        lambda m: patch_source(
            Acceptor, "_grant_lease", "older_leases_end_at.append(self.earlier_leases_end_at)", "pass", m
        ),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_random_walks_find_each_planted_fault(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    create_world, plant = PLANTED_FAULTS[name]
    plant(monkeypatch)
    assert random_walks(create_world, 2500, 160)[1]


def deliver_among(world: World, *names: str) -> None:
    """Delivers the messages in flight between the named processes until none is left."""
    while packed := [m for m in sorted(world.in_flight) if set(pickle.loads(m)[:2]) <= set(names)]:
        world.deliver(packed[0])


@pytest.mark.parametrize("has_fault", [False, True])
def test_acceptor_does_not_vote_after_it_lost_its_store(
    has_fault: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The random walks do not reach this order: a and b accept a value, b loses its store and votes with c.
    if has_fault:
        patch_source(
            Acceptor, "__post_init__", "saved is None and not self.is_new_register", "False", monkeypatch
        )
    world = World(learners=0, losses=1)
    world.to_all("p0", world.proposers["p0"].begin_attempt())
    deliver_among(world, "p0", "a", "b")
    assert world.proposers["p0"].outcome is ChangeOutcome.DECIDED
    assert world.find_violation() == ""
    world.crash("b", False)
    world.to_all("p1", world.proposers["p1"].begin_attempt())
    deliver_among(world, "p1", "b", "c")
    assert bool(world.find_violation()) is has_fault


class SimulatedFleet:
    """Acceptors, learners and proposers in virtual time.

    The rates of their clocks differ, and messages are delayed, lost or duplicated.
    """

    def __init__(self, seed: int, acceptors: int = 3, learners: int = 4) -> None:
        self.rng, self.now, self.times = random.Random(seed), 0.0, LeaseTimes()
        self.names = tuple(f"v{n}" for n in range(acceptors))
        self.clock_rates = {
            n: self.rng.uniform(0.995, 1.005) for n in (*self.names, *map(str, range(learners)))
        }
        self.disks = {name: Disk() for name in self.names}
        self.acceptors = {
            n: Acceptor(n, self.names, self.disks[n], self.times, 0.0, is_new_register=True)
            for n in self.names
        }
        self.changes: list[tuple[Proposer, Callable[[Any], None]]] = []
        self.learners = {str(n): self.create_learner(str(n), 0) for n in range(learners)}
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence, self.version, self.decisions = 0, 0, list[tuple[float, str, int]]()
        self.down: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()

    def create_learner(self, name: str, incarnation: int) -> Learner:
        return Learner(name, f"{name}.{incarnation}", self.names, self.times)

    def clock(self, name: str) -> float:
        return 5000.0 * (1 + len(name)) + self.now * self.clock_rates.get(name, 1.0)

    def send(self, sender: str, receiver: str, message: Any, arrive: Callable[[Any], None]) -> None:
        if message is None or (sender, receiver) in self.cut_links or self.rng.random() < 0.05:
            return
        for _ in range(1 + (self.rng.random() < 0.05)):
            self.sequence += 1
            arrives_at = self.now + self.rng.choice((2.0, 10.0, 40.0, 900.0))
            self.due.append((arrives_at, self.sequence, lambda: arrive(message)))

    def send_to_acceptors(self, sender: str, message: Any, on_reply: Callable[[Any], None]) -> None:
        for name in self.names:

            def arrive(request: Any, name: str = name) -> None:
                if name not in self.down:
                    reply = self.acceptors[name].receive(request, self.clock(name))
                    self.send(name, sender, reply, on_reply)

            self.send(sender, name, message, arrive)

    def request_leases(self, name: str) -> None:
        requester = self.learners[name]

        def on_reply(reply: Any) -> None:
            if self.learners[name] is requester and name not in self.down:
                self.send_to_acceptors(name, requester.receive(reply, self.clock(name)), lambda reply: None)

        self.send_to_acceptors(name, requester.request_leases(self.clock(name)), on_reply)

    def propose(self, value: str) -> Proposer:
        newest = max((a.state for a in self.acceptors.values()), key=lambda state: state.decided_version)
        change = Proposer(
            f"p{self.sequence}", self.names, newest.decided_version + 1, value, newest.decided_value
        )

        def on_reply(reply: Any) -> None:
            self.send_to_acceptors("p", change.receive(reply), on_reply)

        self.changes.append((change, on_reply))
        return change

    def run(self, duration_ms: float) -> None:
        end = self.now + duration_ms
        while self.now < end:
            self.now += 5.0
            ready = sorted(entry for entry in self.due if entry[0] <= self.now)
            self.due = [entry for entry in self.due if entry[0] > self.now]
            for _, _, deliver in ready:
                deliver()
            self.changes = [entry for entry in self.changes if entry[0].outcome is ChangeOutcome.PENDING]
            for change, on_reply in self.changes:
                # Attempts are repeated at random, because messages get lost.
                if not change.ballot.number or self.rng.random() < 0.004:
                    self.send_to_acceptors("p", change.begin_attempt(), on_reply)
            for name, limiter in self.learners.items():
                if name in self.down:
                    continue
                if self.rng.random() < 5.0 / self.times.renew_ms:
                    self.request_leases(name)
                if version := limiter.permitted_version(self.clock(name)):
                    self.decisions.append((self.now, limiter.value, version))

    def restart_acceptor(self, name: str) -> None:
        self.acceptors[name] = Acceptor(name, self.names, self.disks[name], self.times, self.clock(name))
        self.down.discard(name)


def check_decisions(fleet: SimulatedFleet) -> int:
    """Asserts the invariant for all decisions and returns their number."""
    newest, values = 0, dict[int, str]()
    for decided_at, value, version in fleet.decisions:
        assert version >= newest, f"version {version} used after {newest} at {decided_at} ms"
        assert values.setdefault(version, value) == value
        newest = version
    return len(fleet.decisions)


@pytest.mark.parametrize("seed", range(6))
def test_changes_are_used_by_all_learners_or_none_despite_crashes_stalls_and_partitions(seed: int) -> None:
    fleet = SimulatedFleet(seed, acceptors=3 + 2 * (seed % 2))
    first = fleet.propose("first")
    fleet.run(6000.0)
    assert first.outcome is ChangeOutcome.DECIDED
    rng, decided = random.Random(seed), 1
    for number in range(12):
        victim = rng.choice((*fleet.names, *fleet.learners))
        is_cut_off = rng.random() < 0.5
        if is_cut_off:
            fleet.cut_links |= {(victim, other) for other in (*fleet.names, *fleet.learners)}
        else:
            fleet.down.add(victim)
        change = fleet.propose(f"change {number}")
        fleet.run(rng.uniform(50.0, 5000.0))
        fleet.cut_links.clear()
        if victim in fleet.names and not is_cut_off:
            fleet.restart_acceptor(victim)
        elif not is_cut_off and rng.random() < 0.5:  # a restarted learner; otherwise it resumes
            fleet.learners[victim] = fleet.create_learner(victim, number + 1)
        fleet.down.clear()
        fleet.run(rng.uniform(50.0, 4000.0))
        decided += change.outcome is ChangeOutcome.DECIDED
    for _ in range(20):  # without further faults one of the next changes is decided
        last = fleet.propose("last")
        fleet.run(8000.0)
        if last.outcome is ChangeOutcome.DECIDED:
            break
    for _ in range(100):  # all learners use it at the same time eventually, as messages still get lost
        fleet.run(200.0)
        values = {
            limiter.value
            for name, limiter in fleet.learners.items()
            if limiter.permitted_version(fleet.clock(name))
        }
        if values == {"last"} and all(
            limiter.permitted_version(fleet.clock(n)) for n, limiter in fleet.learners.items()
        ):
            break
    else:
        raise AssertionError("not all learners use the last change")
    assert decided > 3
    assert check_decisions(fleet) > 10_000


def test_check_of_decisions_detects_an_older_version() -> None:
    fleet = SimulatedFleet(1)
    fleet.decisions = [(0.0, "x", 2), (1.0, "w", 1)]
    with pytest.raises(AssertionError):
        check_decisions(fleet)


def test_learner_that_cannot_renew_stops_before_the_next_version_is_used() -> None:
    fleet = SimulatedFleet(3)
    fleet.propose("old")
    fleet.run(6000.0)
    assert fleet.learners["0"].permitted_version(fleet.clock("0"))
    fleet.cut_links |= {("0", name) for name in fleet.names}
    fleet.propose("new")
    fleet.run(9000.0)
    assert fleet.learners["0"].permitted_version(fleet.clock("0")) == 0
    assert {fleet.learners[n].value for n in "123"} == {"new"}
    check_decisions(fleet)


def test_acceptor_with_lost_store_votes_again_after_enough_state_reports() -> None:
    acceptors = {n: Acceptor(n, NAMES, Disk(), LeaseTimes(), 0.0, is_new_register=True) for n in NAMES}
    for name in "ab":
        acceptors[name].receive({"k": "agreed", "version": 4, "value": "x"}, 0.0)
    restarted = Acceptor("a", NAMES, Disk(), LeaseTimes(), 0.0)
    assert (
        restarted.receive({"k": "ask", "holder": "l", "life": "1", "ask": 1, "version": 0}, 0.0)["k"]
        == "lost"
    )
    for name in "bc":
        restarted.receive(acceptors[name].receive({"k": "tell"}, 0.0), 0.0)
    assert (restarted.has_lost_state, restarted.state.decided_version, restarted.state.decided_value) == (
        False,
        4,
        "x",
    )
    request = {"k": "ask", "holder": "l", "life": "1", "version": 0}
    assert restarted.receive({**request, "ask": 1}, 100.0)["k"] == "wait"  # as after a crash
    assert restarted.receive({**request, "ask": 2}, 4000.0)["k"] == "permit"


def damage_file(path: Path, damage: str) -> None:
    data = path.read_bytes()
    damaged = {
        "torn": data[: len(data) // 2], "foreign": b"not a database at all" * 50, "empty": b"",
        "flipped": data.replace(b'"version"', b'"versiom"'),
    }  # fmt: skip
    path.write_bytes(damaged[damage])


@pytest.mark.parametrize("damage", ["torn", "foreign", "empty", "flipped"])
def test_damaged_store_is_set_aside_and_its_acceptor_does_not_vote(tmp_path: Path, damage: str) -> None:
    logged_events: list[str] = []
    path = tmp_path / "voter.db"
    store = PolicyRegister(path, "a", lambda event, **more: logged_events.append(event))
    original = Acceptor("a", NAMES, store, LeaseTimes(), 0.0, is_new_register=True)
    original.receive({"k": "agreed", "version": 3, "value": "x"}, 0.0)
    store.close()
    reopened = Acceptor(
        "a",
        NAMES,
        PolicyRegister(path, "a", lambda event, **more: logged_events.append(event)),
        LeaseTimes(),
        0.0,
    )
    assert (reopened.state.decided_version, reopened.has_lost_state, logged_events) == (3, False, [])
    damage_file(path, damage)
    after_damage = Acceptor(
        "a",
        NAMES,
        PolicyRegister(path, "a", lambda event, **more: logged_events.append(event)),
        LeaseTimes(),
        0.0,
    )
    assert after_damage.has_lost_state
    assert logged_events == ["register"] * (damage != "empty")
    other_register = PolicyRegister(tmp_path / "other.db", "b", lambda event, **more: None)
    Acceptor("b", NAMES, other_register, LeaseTimes(), 0.0, is_new_register=True)
    other_register.close()
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
def test_malformed_message_changes_nothing(message: dict[str, Any]) -> None:
    target = Acceptor("a", NAMES, Disk(), LeaseTimes(), 0.0, is_new_register=True)
    before = repr((target.state, target.leases))
    with pytest.raises(MalformedMessageError):
        target.receive(message, 1.0)
    assert repr((target.state, target.leases)) == before
