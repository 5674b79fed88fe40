"""Every order of messages, losses, crashes and expiring leases, in the code of the agreement.

A world is some acceptors, proposers and learners, the messages in flight, and one clock that goes on in
steps. From each state every message may arrive next, or never; an acceptor may crash, with its store or
without; time may go on. States that were seen are not searched twice. The invariant is checked in each: once
any learner has decided by a version none decides by an older one, and a version has one value. `python -m
scalelb.lab.model_check [STATES]` prints how many states were looked at.
"""

from __future__ import annotations

import pickle
import random
import sys
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from scalelb.consensus import Acceptor, ChangeOutcome, Learner, LeaseTimes, Proposer
from scalelb.consensus.messages import Decided, StateRequest
from scalelb.consensus.wire import Kind, WireMessage, kind_of

ACCEPTORS = ("a", "b", "c")
STEP_MS = 1000.0
TIMES = LeaseTimes(lease_ms=2000.0, renew_ms=1000.0, drift_ratio=0.0)


class Disk:
    """A store that lasts as long as it is not taken away."""

    def __init__(self) -> None:
        self.kept: bytes | None = None
        self.synced = True  # planted fault: what is saved is lost in a crash

    def load(self) -> dict[str, Any] | None:
        """What was saved last."""
        return pickle.loads(self.kept) if self.kept is not None else None

    def save(self, state: dict[str, Any]) -> None:
        """Keep it."""
        if self.synced or self.kept is None:
            self.kept = pickle.dumps(state)


class World:
    """One state."""

    def __init__(self, proposers: int = 2, learners: int = 2, crashes: int = 1, losses: int = 0) -> None:
        self.now = 0.0
        self.crashes, self.losses = crashes, losses  # left
        self.disks = {name: Disk() for name in ACCEPTORS}
        self.acceptors = {
            n: Acceptor(n, ACCEPTORS, self.disks[n], TIMES, -10 * STEP_MS, is_new_register=True)
            for n in ACCEPTORS
        }
        for acceptor in self.acceptors.values():  # version 1 was decided long ago
            acceptor.receive(Decided(1, "one").to_wire(), 0.0)
        some = [f"p{n}" for n in range(proposers)]
        self.proposers = {n: Proposer(n, ACCEPTORS, 2, f"two of {n}", "one") for n in some}
        self.learners = {f"l{n}": Learner(f"l{n}", "x", ACCEPTORS, TIMES) for n in range(learners)}
        self.in_flight: set[bytes] = set()  # pickled: receiver, sender, message
        self.requested: set[tuple[str, float]] = set()
        self.decided = 0  # the newest version that anyone has decided by
        self.values: dict[int, str] = {}
        self.wrong = ""

    # What may happen next

    def steps(self) -> Iterator[Callable[[World], None]]:
        """All that may happen."""
        for packed in sorted(self.in_flight):
            yield partial(World.deliver, packed=packed)
        for name, proposer in self.proposers.items():
            if proposer.ballot.number < 2 and proposer.outcome is ChangeOutcome.PENDING:
                yield partial(World.propose, name=name)
        for name in self.learners:
            if (name, self.now) not in self.requested:
                yield partial(World.request_leases, name=name)
        for name in ACCEPTORS:
            if self.crashes:
                yield partial(World.crash, name=name, keeps=True)
            if self.losses:
                yield partial(World.crash, name=name, keeps=False)
        if self.now < 4 * STEP_MS:
            yield World.pass_time

    def propose(self, name: str) -> None:
        """A proposer begins, or begins anew."""
        self.to_all(name, self.proposers[name].begin_attempt())

    def to_all(self, sender: str, message: WireMessage | None) -> None:
        """A message to all acceptors is in flight."""
        if message is not None:
            self.in_flight |= {pickle.dumps((name, sender, sorted(message.items()))) for name in ACCEPTORS}

    def request_leases(self, name: str) -> None:
        """A learner requests its leases."""
        self.requested.add((name, self.now))
        self.to_all(name, self.learners[name].request_leases(self.now))

    def deliver(self, packed: bytes) -> None:
        """One message arrives; it is in flight no more (what is sent again is another message)."""
        self.in_flight.discard(packed)
        to, sender, items = pickle.loads(packed)
        message = dict(items)
        if to in self.acceptors:
            reply = self.acceptors[to].receive(message, self.now)
            if kind_of(reply) not in (Kind.ACKNOWLEDGED, Kind.STATE_LOST):
                self.in_flight.add(pickle.dumps((sender, to, sorted(reply.items()))))
        elif to in self.proposers:
            self.to_all(to, self.proposers[to].receive(message))
        else:
            self.to_all(to, self.learners[to].receive(message, self.now))

    def crash(self, name: str, keeps: bool) -> None:
        """An acceptor dies and is back at once; messages to it may still arrive."""
        if keeps:
            self.crashes -= 1
        else:
            self.losses -= 1
            self.disks[name].kept = None
        self.acceptors[name] = Acceptor(name, ACCEPTORS, self.disks[name], TIMES, self.now)
        if self.acceptors[name].has_lost_state:
            for other in ACCEPTORS:
                report = self.acceptors[other].receive(StateRequest().to_wire(), self.now)
                if kind_of(report) is Kind.STATE_REPORT:
                    self.acceptors[name].receive(report, self.now)

    def pass_time(self) -> None:
        """A step of the clock."""
        self.now += STEP_MS

    # What must hold

    def look(self) -> str:
        """What is wrong in this state; empty: nothing."""
        by = {name: learner.permitted_version(self.now) for name, learner in self.learners.items()}
        self.decided = max([self.decided, *by.values()])
        for name, version in by.items():
            if version and version < self.decided:
                return f"{name} decides by {version} after {self.decided} was decided by"
            value = self.learners[name].value
            if version and self.values.setdefault(version, value) != value:
                return f"version {version} is {value!r} and {self.values[version]!r}"
        for acceptor in self.acceptors.values():
            version = acceptor.state.decided_version
            value = acceptor.state.decided_value
            if version and self.values.setdefault(version, value) != value:
                return f"version {version} is {value!r} and {self.values[version]!r}"
        return ""

    def mark(self) -> int:
        """Tells states apart."""
        acceptors = [
            (
                repr(a.state),
                a.has_lost_state,
                a.earlier_leases_end_at,
                sorted((holder, repr(lease)) for holder, lease in a.leases.items()),
                disk.kept,
            )
            for a, disk in zip(self.acceptors.values(), self.disks.values(), strict=True)
        ]
        others = [sorted((k, repr(v)) for k, v in vars(o).items()) for o in self.parts()]
        requested = sorted(self.requested)
        left = self.now, self.crashes, self.losses, self.decided
        return hash(repr((left, sorted(self.in_flight), requested, acceptors, others)))

    def parts(self) -> list[Any]:
        """Proposers and learners."""
        return [*self.proposers.values(), *self.learners.values()]


def search(world: World, most: int) -> tuple[int, str]:
    """Breadth first, up to so many states; how many there were, and what was wrong."""
    first = pickle.dumps(world)
    seen, queue = {world.mark()}, deque([first])
    count = 0
    while queue and count < most:
        packed = queue.popleft()
        count += 1
        for step in list(pickle.loads(packed).steps()):
            after: World = pickle.loads(packed)
            step(after)
            if wrong := after.look():
                return count, wrong
            if (mark := after.mark()) not in seen:
                seen.add(mark)
                queue.append(pickle.dumps(after))
    return len(seen), ""


def wander(make: Callable[[], World], walks: int, length: int, seed: int = 1) -> tuple[int, str]:
    """So many random walks: deep orders that breadth first does not come to."""
    drawn, seen = random.Random(seed), set[int]()
    for _ in range(walks):
        world = make()
        for _ in range(length):
            steps = list(world.steps())
            if not steps:
                break
            drawn.choice(steps)(world)
            seen.add(world.mark())
            if wrong := world.look():
                return len(seen), wrong
    return len(seen), ""


def main() -> int:
    """Both ways."""
    most = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    count, wrong = search(World(), most)
    print(f"breadth first: {count} states: {wrong or 'nothing wrong'}", flush=True)
    for losses in (0, 1):
        more, also = wander(partial(World, crashes=2, losses=losses), most // 20, 120)
        print(f"walks, {losses} stores lost: {more} states: {also or 'nothing wrong'}", flush=True)
        wrong = wrong or also
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
