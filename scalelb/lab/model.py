"""The limiters' own core in virtual time, among modelled servers, counter and clients.

Everything happens on one discrete-event kernel, and each component draws from a random stream of its own,
so a run is the same, event by event, from its seed.  Times are milliseconds of virtual time since 1970 (the
core names counts by them); processor time is measured beside, and is the only thing that differs between
two runs.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from math import inf
from typing import Any

import numpy as np

from scalelb.fairness import DoorSettings
from scalelb.routing import interface as io
from scalelb.routing.core import Core, Limits, Ticket, Verdict

START_MS = 1_800_000_000_000.0  # when every run begins
VALUE = memoryview(b"$2\r\nok\r\n")


class Kernel:
    """Virtual time and what is to happen in it."""

    def __init__(self) -> None:
        self.now = START_MS
        self.order = 0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, call: Callable[..., None], *given: Any) -> None:
        """Call at a time, or now if that has passed."""
        self.order += 1
        heappush(self.events, (max(when, self.now), self.order, call, given))

    def after(self, ms: float, call: Callable[..., None], *given: Any) -> None:
        """Call after so long."""
        self.at(self.now + ms, call, *given)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, call, given = heappop(self.events)
            call(*given)
        self.now = until


class Server:
    """A deck server: cores, their speed, and a waiting room; beyond that it turns away."""

    def __init__(self, kernel: Kernel, name: str, cores: int, speed: float, room: int) -> None:
        self.kernel, self.name, self.cores, self.speed, self.room = kernel, name, cores, speed, room
        self.running = 0
        self.waiting: deque[tuple[float, Callable[[io.Outcome], None], list[bool]]] = deque()
        self.done = 0

    def take(self, work_ms: float, ended: Callable[[io.Outcome], None]) -> Callable[[], None]:
        """A request comes; `ended` is called once.  Returns what drops it while it waits."""
        dropped = [False]
        if self.running < self.cores:
            self._begin(work_ms, ended, dropped)
        elif len(self.waiting) < self.room:
            self.waiting.append((work_ms, ended, dropped))
        else:
            self.kernel.after(0.0, ended, io.Outcome.FULL)

        def drop() -> None:
            dropped[0] = True

        return drop

    def _begin(self, work_ms: float, ended: Callable[[io.Outcome], None], dropped: list[bool]) -> None:
        self.running += 1
        self.kernel.after(work_ms / self.speed, self._end, ended, dropped)

    def _end(self, ended: Callable[[io.Outcome], None], dropped: list[bool]) -> None:
        self.running -= 1
        self.done += 1
        if not dropped[0]:
            ended(io.Outcome.OK)
        while self.waiting and self.running < self.cores:
            work_ms, other, gone = self.waiting.popleft()
            if not gone[0]:
                self._begin(work_ms, other, gone)


class Counter:
    """The shared counter: adds, after a service time in one line; it may be silent."""

    def __init__(self, kernel: Kernel, service_ms: float = 1.0, link_ms: float = 0.5) -> None:
        self.kernel, self.service_ms, self.link_ms = kernel, service_ms, link_ms
        self.numbers: dict[int, float] = {}
        self.free_at = 0.0
        self.silent = False
        self.calls = 0

    def add(
        self, name: int, amount: float, timeout_ms: float, told: Callable[[io.Outcome, float, float], None]
    ) -> None:
        """One call; it is added whether or not the answer is in time."""
        began, self.calls = self.kernel.now, self.calls + 1
        begins = max(began + self.link_ms, self.free_at)
        self.free_at = begins + self.service_ms
        self.numbers[name] = self.numbers.get(name, 0.0) + amount
        total, took = self.numbers[name], self.free_at + self.link_ms - began
        if self.silent or took > timeout_ms:
            self.kernel.after(timeout_ms, told, io.Outcome.TIMEOUT, 0.0, timeout_ms)
        else:
            self.kernel.after(took, told, io.Outcome.OK, total, took)


@dataclass(slots=True)
class Row:
    """What became of one try."""

    tenant: str
    limiter: int
    kind: int
    units: float
    number: int  # 0: the first try
    at: float
    sent: float = -1.0  # when its first attempt went out; -1: never
    ended: float = -1.0
    verdict: str = ""
    retry_after_ms: float = 0.0
    told_beyond: bool = False  # the time that it was told is all that may be said


@dataclass(frozen=True)
class Tenant:
    """A center: its plan, how many requests a second it asks for first, and what they are."""

    name: str
    per_s: float
    plan: int = 0
    units: Sequence[float] = (1.0, 2.0, 3.0)
    kinds: Sequence[int] = (0,)
    from_ms: float = 0.0
    until_ms: float = inf
    renames: bool = False  # asks under a new name each time


@dataclass(frozen=True)
class Clients:
    """How clients behave."""

    obey: bool = True  # come back when told, marked as a retry
    tries: int = 2
    stray: float = 0.0  # part of the retries that come through another limiter of the set
    jitter_ms: float = 2.0  # later than told


class Limiter:
    """One core on the kernel: the core's ports."""

    def __init__(self, world: World, index: int, settings: io.Settings, door: DoorSettings | None) -> None:
        self.world, self.kernel, self.index = world, world.kernel, index
        self.cpu_ns = self.longest_ns = self.turns = 0
        self.alarm = inf
        seed, limits = world.seed * 31 + index, Limits(requests=100_000)
        self.core = Core(settings, seed, self, lambda: self.kernel.now, limits, door=door)
        servers = tuple(io.ServerInfo(s.name, io.State.SERVING) for s in world.servers.values())
        self.core.listed(servers, True)

    def fetch(self, ticket: Ticket, server: str, patience_ms: float) -> None:
        """An attempt on its way."""
        row: Row = ticket.payload[0]
        row.sent = self.kernel.now if row.sent < 0 else row.sent
        attempt, link = ticket.attempt, self.world.link_ms

        def ended(outcome: io.Outcome) -> None:
            self.kernel.after(link, self._fetched, ticket, attempt, outcome)

        def begin() -> None:
            if ticket.out and ticket.attempt == attempt:
                ticket.handle = self.world.servers[server].take(ticket.payload[1], ended)

        self.kernel.after(link, begin)

    def _fetched(self, ticket: Ticket, attempt: int, outcome: io.Outcome) -> None:
        if ticket.out and ticket.attempt == attempt:
            self.timed(self.core.fetched, ticket, outcome, VALUE if outcome is io.Outcome.OK else None)

    def drop(self, ticket: Ticket) -> None:
        """The attempt is given up."""
        handle, ticket.handle = ticket.handle, None
        if handle is not None:
            handle()

    def count(self, name: int, amount: float, keep_ms: float) -> None:
        """A call to the counter."""
        timeout = self.core.settings.counter_timeout_ms

        def told(outcome: io.Outcome, total: float, took: float) -> None:
            self.timed(self.core.counted, name, outcome, total, took)

        self.world.counter.add(name, amount, timeout, told)

    def probe(self, server: str) -> None:
        """Nothing is probed here."""

    def listed(self, servers: Iterable[io.ServerInfo], full: bool) -> None:
        """The model's servers are all known."""

    def wake(self, at: float) -> None:
        """A turn, at that time or as soon as what is ready has been gathered."""
        if at < self.alarm:
            self.alarm = max(at, self.kernel.now)
            self.kernel.at(at, self.turn, self.alarm)

    def turn(self, alarm: float) -> None:
        """One turn, its processor time measured; nothing where an earlier alarm took this one's place."""
        if alarm != self.alarm:
            return
        self.alarm = inf
        began = time.process_time_ns()
        self.core.turn()
        took = time.process_time_ns() - began
        self.cpu_ns, self.turns = self.cpu_ns + took, self.turns + 1
        self.longest_ns = max(self.longest_ns, took)

    def timed(self, call: Callable[..., Any], *given: Any, **named: Any) -> Any:
        """Call into the core, its processor time measured."""
        began = time.process_time_ns()
        found = call(*given, **named)
        self.cpu_ns += time.process_time_ns() - began
        return found


class World:
    """Limiters, servers, counter and clients, from one seed."""

    def __init__(
        self,
        settings: io.Settings,
        *,
        seed: int = 1,
        door: DoorSettings | None = None,
        servers: int = 12,
        cores: int = 3,
        speeds: tuple[float, float] = (0.55, 1.1),
        room: int = 12,
        work_ms: Sequence[float] = (60.0, 40.0),
        link_ms: float = 0.5,
        clients: Clients = Clients(),
    ) -> None:
        self.kernel, self.seed, self.link_ms, self.clients = Kernel(), seed, link_ms, clients
        self.work_ms, self.settings = work_ms, settings
        streams = np.random.SeedSequence(seed).spawn(3)
        of_servers, self.arrivals, self.of_clients = (np.random.default_rng(stream) for stream in streams)
        drawn = of_servers.uniform(*speeds, servers)
        self.servers = {
            f"deck-{n}": Server(self.kernel, f"deck-{n}", cores, float(speed), room)
            for n, speed in enumerate(drawn)
        }
        self.counter = Counter(self.kernel)
        self.rows: list[Row] = []
        self.limiters = [
            Limiter(self, index, replace(settings, index=index), door) for index in range(settings.gateways)
        ]

    def load(self, tenants: Iterable[Tenant], ms: float) -> None:
        """Draw all arrivals of so much time ahead: load is open, never slowed by late answers."""
        for tenant in tenants:
            begin, end = tenant.from_ms, min(ms, tenant.until_ms)
            count = int(self.arrivals.poisson(tenant.per_s * max(0.0, end - begin) / 1000.0))
            times = np.sort(self.arrivals.uniform(begin, end, count))
            units = self.arrivals.choice(np.asarray(tenant.units), count)
            kinds = self.arrivals.choice(np.asarray(tenant.kinds), count)
            through = self.arrivals.integers(0, len(self.limiters), count)
            for place, when in enumerate(times):
                name = f"{tenant.name}-{place}" if tenant.renames else tenant.name
                row = Row(name, int(through[place]), int(kinds[place]), float(units[place]), 0, 0.0)
                self.kernel.at(START_MS + float(when), self.ask, row, tenant.plan)

    def ask(self, row: Row, plan: int) -> None:
        """One try reaches its limiter."""
        row.at = self.kernel.now
        self.rows.append(row)
        limiter, kind = self.limiters[row.limiter], self.settings.classes[row.kind]
        work = self.work_ms[row.kind] * row.units
        limiter.timed(
            limiter.core.arrive,
            Caller(self, row, plan),
            (row, work),
            customer=row.tenant,
            plan=plan,
            kind=row.kind,
            expires_ms=kind.deadline_ms,
            units=row.units,
            doors=len(self.limiters),
            retry=row.number > 0,
        )

    def back(self, row: Row, plan: int) -> None:
        """A refused client comes back when it was told to."""
        limiter = row.limiter
        if len(self.limiters) > 1 and self.of_clients.random() < self.clients.stray:
            limiter = int(self.of_clients.integers(0, len(self.limiters)))
        again = Row(row.tenant, limiter, row.kind, row.units, row.number + 1, 0.0)
        late = float(self.of_clients.uniform(0.0, self.clients.jitter_ms))
        self.kernel.after(row.retry_after_ms + late, self.ask, again, plan)

    def run(self, ms: float) -> None:
        """Let so much time pass from the start."""
        self.kernel.run(START_MS + ms)

    @property
    def cpu_us(self) -> float:
        """Processor time of all cores for one request, in microseconds."""
        return sum(limiter.cpu_ns for limiter in self.limiters) / 1000 / max(1, len(self.rows))


class Caller:
    """A client's side of one try."""

    __slots__ = ("plan", "row", "world")

    def __init__(self, world: World, row: Row, plan: int) -> None:
        self.world, self.row, self.plan = world, row, plan

    def answered(
        self, ticket: Ticket, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """The final answer; a client that obeys comes back once it may."""
        row, clients = self.row, self.world.clients
        if row.verdict:
            raise AssertionError(f"two final answers: {row}")
        row.ended, row.verdict, row.retry_after_ms = self.world.kernel.now, verdict.value, retry_after_ms
        row.told_beyond = retry_after_ms >= self.world.settings.max_retry_after_ms
        if verdict is Verdict.REFUSED and clients.obey and row.number + 1 < clients.tries and retry_after_ms:
            self.world.back(row, self.plan)


@dataclass
class Waits:
    """What some tenants' tries came to."""

    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    waits: list[float] = field(default_factory=list)  # from coming in to the first attempt
    latencies: list[float] = field(default_factory=list)

    def percentile(self, part: float) -> float:
        """Of the waits, in milliseconds."""
        return float(np.percentile(self.waits, 100 * part)) if self.waits else 0.0


def waits(rows: Iterable[Row], chosen: Callable[[Row], bool] = lambda row: True) -> Waits:
    """Add up rows."""
    found = Waits()
    for row in rows:
        if not chosen(row):
            continue
        found.tries += 1
        found.served += row.verdict == "served"
        found.refused += row.verdict == "refused"
        found.failed += row.verdict == "failed"
        if row.sent >= 0:
            found.waits.append(row.sent - row.at)
        if row.verdict == "served":
            found.latencies.append(row.ended - row.at)
    return found


@dataclass(frozen=True)
class Returns:
    """How honest the times to come back were."""

    told: int  # refusals of first tries with a time that could be kept
    beyond: int  # refusals whose honest time may not be said
    came: int  # tries that came back when told
    served: int

    @property
    def kept(self) -> float:
        """The part of those who came back when told that got in."""
        return self.served / self.came if self.came else 1.0


def returns(rows: Iterable[Row], chosen: Callable[[Row], bool] = lambda row: True) -> Returns:
    """Count refusals with a time, and what became of those who kept to it."""
    told = beyond = came = served = 0
    for row in rows:
        if not chosen(row) or not row.verdict:
            continue
        if row.number == 0 and row.verdict == "refused":
            told, beyond = told + (not row.told_beyond), beyond + row.told_beyond
        if row.number == 1:
            came, served = came + 1, served + (row.sent >= 0)
    return Returns(told, beyond, came, served)
