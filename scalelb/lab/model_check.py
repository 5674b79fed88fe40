"""Model checker for the consensus code: explores orders of messages, losses, crashes and expiring leases.

A `World` is one state: acceptors, proposers and learners, the messages in flight, and one clock that advances
in steps.  From each state any message may arrive next, or never; an acceptor may crash and keep or lose its
store; time may advance.  States that were visited are not searched again.  The invariant is checked in each
state: after any learner has used a version, none uses an older one, and a version has one value.
`python -m scalelb.lab.model_check [STATES]` prints how many states were checked.
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
    """The store of an acceptor; it survives a crash unless the crash loses it."""

    def __init__(self) -> None:
        self.saved: bytes | None = None
        self.synced = True  # False plants a fault: writes after the first one are lost

    def load(self) -> dict[str, Any] | None:
        """Return the state that was saved last, or None if there is none."""
        return pickle.loads(self.saved) if self.saved is not None else None

    def save(self, state: dict[str, Any]) -> None:
        """Save a state."""
        if self.synced or self.saved is None:
            self.saved = pickle.dumps(state)


class World:
    """One state of the system under test."""

    def __init__(self, proposers: int = 2, learners: int = 2, crashes: int = 1, losses: int = 0) -> None:
        """`crashes` and `losses` limit how many crashes keep and how many lose the store."""
        self.now = 0.0
        self.crashes, self.losses = crashes, losses  # still allowed
        self.disks = {name: Disk() for name in ACCEPTORS}
        self.acceptors = {
            n: Acceptor(n, ACCEPTORS, self.disks[n], TIMES, -10 * STEP_MS, is_new_register=True)
            for n in ACCEPTORS
        }
        for acceptor in self.acceptors.values():  # all know that version 1 is decided
            acceptor.receive(Decided(1, "one").to_wire(), 0.0)
        proposer_names = [f"p{n}" for n in range(proposers)]
        self.proposers = {n: Proposer(n, ACCEPTORS, 2, f"two of {n}", "one") for n in proposer_names}
        self.learners = {f"l{n}": Learner(f"l{n}", "x", ACCEPTORS, TIMES) for n in range(learners)}
        self.in_flight: set[bytes] = set()  # pickled: receiver, sender, message
        self.requested: set[tuple[str, float]] = set()
        self.newest_used = 0  # the newest version that any learner has used
        self.values: dict[int, str] = {}
        self.violation = ""

    # Possible steps

    def steps(self) -> Iterator[Callable[[World], None]]:
        """Yield every step that is possible in this state."""
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
                yield partial(World.crash, name=name, keeps_store=True)
            if self.losses:
                yield partial(World.crash, name=name, keeps_store=False)
        if self.now < 4 * STEP_MS:
            yield World.pass_time

    def propose(self, name: str) -> None:
        """Start the first or the next attempt of a proposer."""
        self.to_all(name, self.proposers[name].begin_attempt())

    def to_all(self, sender: str, message: WireMessage | None) -> None:
        """Send a message to all acceptors."""
        if message is not None:
            self.in_flight |= {pickle.dumps((name, sender, sorted(message.items()))) for name in ACCEPTORS}

    def request_leases(self, name: str) -> None:
        """Let a learner request its leases."""
        self.requested.add((name, self.now))
        self.to_all(name, self.learners[name].request_leases(self.now))

    def deliver(self, packed: bytes) -> None:
        """Deliver one message and remove it; a message that is sent again is another one."""
        self.in_flight.discard(packed)
        receiver, sender, items = pickle.loads(packed)
        message = dict(items)
        if receiver in self.acceptors:
            reply = self.acceptors[receiver].receive(message, self.now)
            if kind_of(reply) not in (Kind.ACKNOWLEDGED, Kind.STATE_LOST):
                self.in_flight.add(pickle.dumps((sender, receiver, sorted(reply.items()))))
        elif receiver in self.proposers:
            self.to_all(receiver, self.proposers[receiver].receive(message))
        else:
            self.to_all(receiver, self.learners[receiver].receive(message, self.now))

    def crash(self, name: str, keeps_store: bool) -> None:
        """Crash an acceptor and restart it at once; messages to it may still arrive."""
        if keeps_store:
            self.crashes -= 1
        else:
            self.losses -= 1
            self.disks[name].saved = None
        self.acceptors[name] = Acceptor(name, ACCEPTORS, self.disks[name], TIMES, self.now)
        if self.acceptors[name].has_lost_state:
            for other in ACCEPTORS:
                report = self.acceptors[other].receive(StateRequest().to_wire(), self.now)
                if kind_of(report) is Kind.STATE_REPORT:
                    self.acceptors[name].receive(report, self.now)

    def pass_time(self) -> None:
        """Advance the clock by one step."""
        self.now += STEP_MS

    # Invariant

    def find_violation(self) -> str:
        """Return a description of the violation in this state; it is empty if there is none."""
        used = {name: learner.permitted_version(self.now) for name, learner in self.learners.items()}
        self.newest_used = max([self.newest_used, *used.values()])
        for name, version in used.items():
            if version and version < self.newest_used:
                return f"{name} uses version {version} after version {self.newest_used} was used"
            value = self.learners[name].value
            if version and self.values.setdefault(version, value) != value:
                return f"version {version} has two values: {value!r} and {self.values[version]!r}"
        for acceptor in self.acceptors.values():
            version = acceptor.state.decided_version
            value = acceptor.state.decided_value
            if version and self.values.setdefault(version, value) != value:
                return f"version {version} has two values: {value!r} and {self.values[version]!r}"
        return ""

    def fingerprint(self) -> int:
        """Return a hash that identifies this state."""
        acceptors = [
            (
                repr(a.state),
                a.has_lost_state,
                a.earlier_leases_end_at,
                sorted((holder, repr(lease)) for holder, lease in a.leases.items()),
                disk.saved,
            )
            for a, disk in zip(self.acceptors.values(), self.disks.values(), strict=True)
        ]
        others = [sorted((k, repr(v)) for k, v in vars(o).items()) for o in self.proposers_and_learners()]
        requested = sorted(self.requested)
        scalars = self.now, self.crashes, self.losses, self.newest_used
        return hash(repr((scalars, sorted(self.in_flight), requested, acceptors, others)))

    def proposers_and_learners(self) -> list[Any]:
        """Return all proposers and learners."""
        return [*self.proposers.values(), *self.learners.values()]


def search(world: World, max_states: int) -> tuple[int, str]:
    """Search breadth first, up to a number of states; return how many there were and any violation."""
    first = pickle.dumps(world)
    visited, queue = {world.fingerprint()}, deque([first])
    count = 0
    while queue and count < max_states:
        packed = queue.popleft()
        count += 1
        for step in list(pickle.loads(packed).steps()):
            successor: World = pickle.loads(packed)
            step(successor)
            if violation := successor.find_violation():
                return count, violation
            if (fingerprint := successor.fingerprint()) not in visited:
                visited.add(fingerprint)
                queue.append(pickle.dumps(successor))
    return len(visited), ""


def random_walks(
    create_world: Callable[[], World], walks: int, length: int, seed: int = 1
) -> tuple[int, str]:
    """Walk at random from the first state; this reaches deeper orders than the breadth-first search.

    Returns how many states there were and any violation.
    """
    rng, visited = random.Random(seed), set[int]()
    for _ in range(walks):
        world = create_world()
        for _ in range(length):
            steps = list(world.steps())
            if not steps:
                break
            rng.choice(steps)(world)
            visited.add(world.fingerprint())
            if violation := world.find_violation():
                return len(visited), violation
    return len(visited), ""


def main() -> int:
    """Run the breadth-first search and the random walks."""
    max_states = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    count, violation = search(World(), max_states)
    print(f"breadth first: {count} states: {violation or 'no violation'}", flush=True)
    for losses in (0, 1):
        walked, walk_violation = random_walks(partial(World, crashes=2, losses=losses), max_states // 20, 120)
        print(f"walks, {losses} stores lost: {walked} states: {walk_violation or 'no violation'}", flush=True)
        violation = violation or walk_violation
    return 1 if violation else 0


if __name__ == "__main__":
    sys.exit(main())
