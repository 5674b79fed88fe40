"""Every order of messages, losses, crashes and ends of permissions, in the agreement's own code.

A world is some voters, proposers and learners, the words that are under way, and one clock that goes on in
steps. From each state every word may come next, or never; a voter may crash, with its store or without; time
may go on. States that were seen are not gone into twice. What must hold is looked at in each: once any
learner has decided by a version none decides by an older one, and a version has one value.
`python -m scalelb.lab.model_check [STATES]` prints how many states were looked at.
"""

from __future__ import annotations

import pickle
import random
import sys
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from scalelb.agreement import Learner, Proposer, Times, Voter
from scalelb.agreement.proposer import End

VOTERS = ("a", "b", "c")
STEP_MS = 1000.0
TIMES = Times(permission_ms=2000.0, renew_ms=1000.0, drift=0.0)


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
        self.disks = {name: Disk() for name in VOTERS}
        self.voters = {n: Voter(n, VOTERS, self.disks[n], TIMES, -10 * STEP_MS, fresh=True) for n in VOTERS}
        for voter in self.voters.values():  # version 1 is agreed from the beginning, and long so
            voter.received({"k": "agreed", "version": 1, "value": "one"}, 0.0)
        some = [f"p{n}" for n in range(proposers)]
        self.proposers = {n: Proposer(n, VOTERS, 2, f"two of {n}", "one") for n in some}
        self.learners = {f"l{n}": Learner(f"l{n}", "x", VOTERS, TIMES) for n in range(learners)}
        self.words: set[bytes] = set()  # under way: to whom, from whom, what
        self.asked: set[tuple[str, float]] = set()
        self.decided = 0  # the newest version that anyone has decided by
        self.values: dict[int, str] = {}
        self.wrong = ""

    # What may happen next

    def steps(self) -> Iterator[Callable[[World], None]]:
        """All that may happen."""
        for word in sorted(self.words):
            yield partial(World.deliver, packed=word)
        for name, proposer in self.proposers.items():
            if proposer.ballot.number < 2 and proposer.end is End.OPEN:
                yield partial(World.propose, name=name)
        for name in self.learners:
            if (name, self.now) not in self.asked:
                yield partial(World.ask, name=name)
        for name in VOTERS:
            if self.crashes:
                yield partial(World.crash, name=name, keeps=True)
            if self.losses:
                yield partial(World.crash, name=name, keeps=False)
        if self.now < 4 * STEP_MS:
            yield World.pass_time

    def propose(self, name: str) -> None:
        """A proposer begins, or begins anew."""
        self.to_all(name, self.proposers[name].begin())

    def to_all(self, sender: str, word: dict[str, Any] | None) -> None:
        """A word to all voters is under way."""
        if word is not None:
            self.words |= {pickle.dumps((name, sender, sorted(word.items()))) for name in VOTERS}

    def ask(self, name: str) -> None:
        """A learner asks for its permission."""
        self.asked.add((name, self.now))
        self.to_all(name, self.learners[name].ask(self.now))

    def deliver(self, packed: bytes) -> None:
        """One word comes; it is under way no more (a copy may be: what was sent again is another word)."""
        self.words.discard(packed)
        to, sender, items = pickle.loads(packed)
        word = dict(items)
        if to in self.voters:
            answer = self.voters[to].received(word, self.now)
            if answer.get("k") not in ("knows", "lost"):
                self.words.add(pickle.dumps((sender, to, sorted(answer.items()))))
        elif to in self.proposers:
            self.to_all(to, self.proposers[to].received(word))
        else:
            self.to_all(to, self.learners[to].received(word, self.now))

    def crash(self, name: str, keeps: bool) -> None:
        """A voter dies and is back at once; words to it may still come."""
        if keeps:
            self.crashes -= 1
        else:
            self.losses -= 1
            self.disks[name].kept = None
        self.voters[name] = Voter(name, VOTERS, self.disks[name], TIMES, self.now)
        if self.voters[name].lost:
            for other in VOTERS:
                told = self.voters[other].received({"k": "tell"}, self.now)
                if told["k"] == "told":
                    self.voters[name].received(told, self.now)

    def pass_time(self) -> None:
        """A step of the clock."""
        self.now += STEP_MS

    # What must hold

    def look(self) -> str:
        """What is wrong in this state; empty: nothing."""
        by = {name: learner.permitted(self.now) for name, learner in self.learners.items()}
        self.decided = max([self.decided, *by.values()])
        for name, version in by.items():
            if version and version < self.decided:
                return f"{name} decides by {version} after {self.decided} was decided by"
            value = self.learners[name].value
            if version and self.values.setdefault(version, value) != value:
                return f"version {version} is {value!r} and {self.values[version]!r}"
        for voter in self.voters.values():
            version, value = voter.state.version, voter.state.value
            if version and self.values.setdefault(version, value) != value:
                return f"version {version} is {value!r} and {self.values[version]!r}"
        return ""

    def mark(self) -> int:
        """Tells states apart."""
        voters = [
            (repr(v.state), v.lost, v.free_at, sorted((k, repr(g)) for k, g in v.given.items()), disk.kept)
            for v, disk in zip(self.voters.values(), self.disks.values(), strict=True)
        ]
        others = [sorted((k, repr(v)) for k, v in vars(o).items()) for o in self.parts()]
        asked = sorted(self.asked)
        left = self.now, self.crashes, self.losses, self.decided
        return hash(repr((left, sorted(self.words), asked, voters, others)))

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
