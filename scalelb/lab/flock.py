"""Many limiters in one process and in virtual time, with links between them, killed and cut on command.

One kernel, a seed, and for everything that can happen a stream of its own: a run is the same from its seed.
The links carry what the real ones do (the same objects through the same JSON), late by a drawn time; each can
be cut in one direction or both. A quota meter that sees every first attempt says what was inside quotas.
"""

from __future__ import annotations

import random
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import orjson

from scalelb.core.endpoint_overrides import EndpointOverrides
from scalelb.core.request_table import OpenRequest
from scalelb.lab.model import START_MS, Limiter, World
from scalelb.policy.settings import Plan, Settings
from scalelb.program.peering import OverrideScope, Peering
from scalelb.replication import ReplicationSettings, Replicator

SLACK = 1e-6  # of a store's arithmetic


@dataclass(frozen=True, slots=True)
class Delays:
    """Of the links between limiters, in milliseconds."""

    least: float = 0.5
    most: float = 5.0


class Meter:
    """The customers' stores as the platform counts them, exact and for all limiters together."""

    def __init__(self, plans: tuple[Plan, ...]) -> None:
        self.plans = plans
        self.stores: dict[int, tuple[float, float]] = {}
        self.inside = self.beyond = 0.0  # units

    def take(self, customer: int, plan: int, units: float, now: float) -> None:
        """A try is first sent on."""
        rate, burst = self.plans[plan].rate_per_s, self.plans[plan].burst
        held, at = self.stores.get(customer, (burst, now))
        held = min(burst, held + rate * (now - at) / 1000)
        inside = held >= units - SLACK
        self.stores[customer] = held - units * inside, now
        self.inside += units * inside
        self.beyond += units * (not inside)


class Member(Limiter):
    """One life of one limiter: the core's ports, and its replicator."""

    def __init__(self, flock: Flock, index: int, settings: Settings, life: int) -> None:
        self.flock, self.dead = flock, False
        self.stalled, self.backlog = False, list[Callable[[], Any]]()  # it stands still; what came meanwhile
        self.peering: Peering | None = None
        super().__init__(flock, index + 10_000 * life, settings, flock.door)
        self.index = index
        self.name = flock.names[index]
        if flock.linked:
            drawn = random.Random(f"{flock.seed} {index} {life}")
            replication = replace(flock.replication, name=self.name)
            replicator = Replicator(replication, drawn.getrandbits(31), flock.now, flock.log)
            overrides = EndpointOverrides()
            overrides.on_endpoints(flock.infos, True)
            self.overrides = overrides
            core, fleet = self.core, OverrideScope.FLEET
            clock = lambda: self.kernel.now  # noqa: E731
            self.peering = Peering(
                replicator, core, overrides, clock, self.overrides_changed, flock.log, fleet, self.flush
            )
            self.drawn = drawn
            self.kernel.after(drawn.uniform(0.0, flock.replication.tick_ms), self.tick)

    def overrides_changed(self, some: list[str]) -> None:
        """Words on backends have changed."""
        self.core.on_endpoints(self.overrides.effective_entries(some), False)

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """An attempt on its way; the meter sees the first."""
        row = request.payload[0]
        if row.sent < 0:
            self.flock.meter.take(row.customer, row.plan, row.units, self.kernel.now)
        self.flock.seen["attempts"] += 1
        super().send_attempt(request, endpoint, timeout_ms)

    def timed(self, call: Callable[..., Any], *given: Any, **named: Any) -> Any:
        """Nothing comes to one that is dead; what comes to one that stands still waits."""
        if self.dead:
            return None
        if self.stalled:
            self.backlog.append(lambda: self.timed(call, *given, **named))
            return None
        return super().timed(call, *given, **named)

    def turn(self, alarm: float) -> None:
        """One turn, unless it is dead or stands still."""
        if self.dead:
            return
        if self.stalled:
            self.backlog.append(lambda: self.turn(alarm))
            return
        super().turn(alarm)

    def tick(self) -> None:
        """The replicator's turn, again and again."""
        if self.dead or self.peering is None:
            return
        if self.stalled:
            self.backlog.append(self.tick)
            return
        flock = self.flock
        replicator = self.peering.replicator
        for name in replicator.links_to_dial(self.drawn.choice):
            flock.dial(self, name)
        for name, message in self.peering.tick(flock.now, lambda name: True):
            flock.carry(self, name, message)
        self.kernel.after(flock.replication.push_ms, self.tick)

    def flush(self) -> None:
        """Own writes go at once."""
        assert self.peering is not None
        for name, message in self.peering.replicator.push(lambda name: True):
            self.flock.carry(self, name, message)

    def receive(self, life: Member, message: bytes) -> None:
        """A message of a peer's life, unless the link has ended meanwhile."""
        linked = self.flock.pairs.get((self.name, life.name)) is life
        if self.dead or life.dead or self.peering is None or not linked:
            return
        if self.stalled:
            self.backlog.append(lambda: self.receive(life, message))
            return
        for name, answer in self.peering.replicator.receive(life.name, orjson.loads(message), self.flock.now):
            self.flock.carry(self, name, answer)


class Flock(World):
    """Limiters with links and faults between them."""

    def __init__(
        self,
        settings: Settings,
        *,
        seed: int = 1,
        linked: bool = True,
        delays: Delays = Delays(),
        replication: ReplicationSettings | None = None,
        **more: Any,
    ) -> None:
        self.linked, self.delays = linked, delays
        self.names = [f"limiter-{n:03}" for n in range(settings.limiter_count)]
        self.replication = replication or ReplicationSettings(self.names[0], tuple(self.names))
        self.replication = replace(self.replication, members=tuple(self.names))
        self.meter, self.seen = Meter(settings.plans), Tally[str]()
        self.pairs: dict[tuple[str, str], Member] = {}  # (here, there): the life at the other end
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.late: dict[tuple[str, str], Delays] = {}  # (from, to): links with delays of their own
        self.bytes: Tally[str] = Tally()  # by receiver
        self.logged: list[tuple[float, str, dict[str, Any]]] = []
        self.of_links = random.Random(f"links {seed}")
        self.lives = [0] * settings.limiter_count
        super().__init__(settings, seed=seed, **more)

    @property
    def now(self) -> float:
        """The replicators' clock."""
        return self.kernel.now - START_MS

    def log(self, event: str, **fields: Any) -> None:
        """A line of one of them."""
        self.logged.append((self.now, event, fields))

    def make(self, index: int) -> Any:
        """A new life."""
        life, self.lives[index] = self.lives[index], self.lives[index] + 1
        return Member(self, index, replace(self.settings, limiter_index=index), life)

    def member(self, name: str) -> Member:
        """The life that runs under a name."""
        found: Any = self.limiters[self.names.index(name)]
        assert isinstance(found, Member)
        return found

    # Faults

    def kill(self, index: int, down_ms: float) -> None:
        """SIGKILL; a new life after a while."""
        old: Any = self.limiters[index]
        old.dead = True
        self.seen["kills"] += 1
        self.part(old.name)
        self.kernel.after(down_ms, self.restart, index)

    def restart(self, index: int) -> None:
        """A new life."""
        if getattr(self.limiters[index], "dead", True):
            self.limiters[index] = self.make(index)

    def stall(self, index: int, ms: float) -> None:
        """SIGSTOP, and SIGCONT after a while."""
        member: Any = self.limiters[index]
        member.stalled = True
        self.kernel.after(ms, self.wake, member)

    def wake(self, member: Member) -> None:
        """SIGCONT: all that came meanwhile is there at once."""
        member.stalled = False
        backlog, member.backlog = member.backlog, []
        for call in backlog:
            call()

    def part(self, name: str) -> None:
        """Every link of a life ends."""
        for here, there in [pair for pair in self.pairs if name in pair]:
            del self.pairs[here, there]
            other = self.member(here)
            if other.peering is not None and not other.dead:
                other.peering.replicator.link_down(there, self.now)

    def cut(self, some: set[str], others: set[str], one_way: bool = False) -> None:
        """Nothing comes from some to others; unless `one_way`, nor back."""
        self.cuts |= {(a, b) for a in some for b in others if a != b}
        if not one_way:
            self.cuts |= {(b, a) for a in some for b in others if a != b}

    def heal(self) -> None:
        """All links carry again, and in time; those that were silent have ended meanwhile."""
        self.late.clear()
        for a, b in self.cuts:
            for pair in ((a, b), (b, a)):
                if self.pairs.pop(pair, None) is not None:
                    other = self.member(pair[0])
                    if other.peering is not None:
                        other.peering.replicator.link_down(pair[1], self.now)
        self.cuts.clear()

    # Links

    def dial(self, member: Member, name: str) -> None:
        """A link comes up, if nothing is in its way."""
        other = self.member(name)
        if other.dead or (member.name, name) in self.cuts or (name, member.name) in self.cuts:
            return
        if (member.name, name) in self.pairs or member.peering is None or other.peering is None:
            return
        self.pairs[member.name, name], self.pairs[name, member.name] = other, member
        member.peering.replicator.link_up(name, self.now)
        other.peering.replicator.link_up(member.name, self.now)

    def carry(self, member: Member, name: str, message: Any) -> None:
        """One message, late by a drawn time, in the order of the link."""
        data = orjson.dumps(message)
        delays = self.late.get((member.name, name), self.delays)
        late = self.of_links.uniform(delays.least, delays.most)
        if (member.name, name) in self.cuts or (other := self.pairs.get((member.name, name))) is None:
            return
        self.bytes[name] += len(data)
        self.seen["messages"] += 1
        key = member.name, name
        at = max(self.kernel.now + late, self.last.get(key, 0.0) + 0.001)
        self.last[key] = at
        self.kernel.at(at, other.receive, member, data)

    @property
    def last(self) -> dict[tuple[str, str], float]:
        """When the newest message of each link arrives: they keep their order."""
        found: dict[tuple[str, str], float] = self.__dict__.setdefault("_last", {})
        return found

    def same(self) -> bool:
        """Whether all copies of all chains are equal."""
        members: list[Any] = [m for m in self.limiters if not getattr(m, "dead", True)]
        replicas = [m.peering.replicator.replica for m in members]
        return all(replica.has_same_entries(replicas[0]) for replica in replicas[1:])
