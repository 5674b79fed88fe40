"""The limiters' own core in virtual time, among modelled servers, counter and clients.

Everything happens on one discrete-event kernel, and each component draws from a random stream of its own,
so a run is the same, event by event, from its seed.  Times are milliseconds of virtual time since 1970 (the
core names counts by them); processor time is measured beside, and is the only thing that differs between
two runs.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from heapq import heappop, heappush
from math import inf
from typing import Any

import numpy as np

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.lifecycle import Core
from scalelb.core.limits import CoreLimits
from scalelb.core.request_table import OpenRequest, Verdict
from scalelb.lab.experiment import Experiment, Fleet, Variant
from scalelb.lab.rows import Row
from scalelb.lab.traffic import Arrival, Clients
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import Outcome
from scalelb.policy.settings import Settings

START_MS = 1_800_000_000_000.0  # when every run begins
FAIL_MS = 2.0  # that a server which fails takes for it
FLEET, CLIENTS = Fleet(), Clients()
VALUE = memoryview(b"$2\r\nok\r\n")


class Kernel:
    """Virtual time and what is to happen in it."""

    def __init__(self, start_ms: float = START_MS) -> None:
        self.now = start_ms
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
        self.waiting: deque[tuple[float, Callable[[Outcome], None], list[bool]]] = deque()
        self.done = self.taken = 0
        self.fails = False  # everything that comes, at once

    def take(self, work_ms: float, ended: Callable[[Outcome], None]) -> Callable[[], None]:
        """A request comes; `ended` is called once.  Returns what drops it while it waits."""
        dropped = [False]
        self.taken += 1
        if self.fails:
            self.kernel.after(FAIL_MS, ended, Outcome.ERROR)
        elif self.running < self.cores:
            self._begin(work_ms, ended, dropped)
        elif len(self.waiting) < self.room:
            self.waiting.append((work_ms, ended, dropped))
        else:
            self.kernel.after(0.0, ended, Outcome.REJECTED)

        def drop() -> None:
            dropped[0] = True

        return drop

    def _begin(self, work_ms: float, ended: Callable[[Outcome], None], dropped: list[bool]) -> None:
        self.running += 1
        self.kernel.after(work_ms / self.speed, self._end, ended, dropped)

    def _end(self, ended: Callable[[Outcome], None], dropped: list[bool]) -> None:
        self.running -= 1
        self.done += 1
        if not dropped[0]:
            ended(Outcome.OK)
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
        self, name: int, amount: float, timeout_ms: float, told: Callable[[Outcome, float, float], None]
    ) -> None:
        """One call; it is added whether or not the answer is in time."""
        began, self.calls = self.kernel.now, self.calls + 1
        begins = max(began + self.link_ms, self.free_at)
        self.free_at = begins + self.service_ms
        self.numbers[name] = self.numbers.get(name, 0.0) + amount
        total, took = self.numbers[name], self.free_at + self.link_ms - began
        if self.silent or took > timeout_ms:
            self.kernel.after(timeout_ms, told, Outcome.TIMEOUT, 0.0, timeout_ms)
        else:
            self.kernel.after(took, told, Outcome.OK, total, took)


class Limiter:
    """One core on the kernel: the core's ports."""

    def __init__(
        self, world: World, index: int, settings: Settings, door: AdmissionQueueSettings | None
    ) -> None:
        self.world, self.kernel, self.index = world, world.kernel, index
        self.cpu_ns = self.longest_ns = self.turns = 0
        self.alarm = inf
        seed, limits = world.seed * 31 + index, CoreLimits(max_open_requests=100_000)
        self.core = Core(settings, seed, self, lambda: self.kernel.now, limits, queue_settings=door)
        self.core.on_endpoints(world.infos, True)

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """An attempt on its way."""
        row: Row = request.payload[0]
        if row.sent < 0:
            row.sent, row.server = self.kernel.now - START_MS, endpoint
        attempt, link = request.attempt_number, self.world.fleet.link_ms

        def ended(outcome: Outcome) -> None:
            self.kernel.after(link, self._attempt_ended, request, attempt, outcome)

        def begin() -> None:
            if request.in_flight and request.attempt_number == attempt:
                request.attempt_handle = self.reached(request, endpoint, ended)

        self.kernel.after(link, begin)

    def reached(
        self, request: OpenRequest, server: str, ended: Callable[[Outcome], None]
    ) -> Callable[[], None]:
        """An attempt has come to its server.  Returns what drops it."""
        return self.world.servers[server].take(request.payload[1], ended)

    def _attempt_ended(self, request: OpenRequest, attempt: int, outcome: Outcome) -> None:
        if request.in_flight and request.attempt_number == attempt:
            self.timed(self.core.attempt_ended, request, outcome, VALUE if outcome is Outcome.OK else None)

    def abandon_attempt(self, request: OpenRequest) -> None:
        """The attempt is given up."""
        handle, request.attempt_handle = request.attempt_handle, None
        if handle is not None:
            handle()

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """A call to the counter."""
        timeout = self.core.settings.counter_wait_ms

        def told(outcome: Outcome, total: float, took: float) -> None:
            self.timed(self.core.counter_replied, counter_key, outcome, total, took)

        self.world.counter.add(counter_key, amount, timeout, told)

    def check_health(self, endpoint: str) -> None:
        """Nothing is probed here."""

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """The model's servers are all known."""

    def wake_at(self, due_at: float) -> None:
        """A turn, at that time or as soon as what is ready has been gathered."""
        if due_at < self.alarm:
            self.alarm = max(due_at, self.kernel.now)
            self.kernel.at(due_at, self.turn, self.alarm)

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
        settings: Settings,
        *,
        seed: int = 1,
        door: AdmissionQueueSettings | None = None,
        fleet: Fleet = FLEET,
        clients: Clients = CLIENTS,
        name: str = "",
        clock_ms: float = 0.0,
    ) -> None:
        """`clock_ms`: the wall clock at the start, past `START_MS`, at which all counting windows turn."""
        self.kernel, self.seed, self.fleet, self.clients = Kernel(START_MS + clock_ms), seed, fleet, clients
        self.name, self.settings = name, settings
        of_servers, self.of_clients = (
            np.random.default_rng(stream) for stream in np.random.SeedSequence(seed).spawn(2)
        )
        drawn = of_servers.uniform(*fleet.speeds, fleet.servers)
        self.servers = {
            f"deck-{n}": Server(self.kernel, f"deck-{n}", fleet.cores, float(speed), fleet.room)
            for n, speed in enumerate(drawn)
        }
        self.infos = tuple(
            Endpoint(server, EndpointState.SERVING, zone=n % fleet.zones)
            for n, server in enumerate(self.servers)
        )
        self.counter = Counter(self.kernel)
        self.rows: list[Row] = []
        self.door = door
        self.limiters = [self.make(index) for index in range(settings.limiter_count)]

    def make(self, index: int) -> Limiter:
        """A limiter's first life."""
        return Limiter(self, index, replace(self.settings, limiter_index=index), self.door)

    def load(self, arrivals: Iterable[Arrival]) -> None:
        """First tries, each at its time."""
        for a in arrivals:
            row = Row(self.name, a.group, a.customer, a.limiter, a.kind, a.plan, a.units, 0, a.at_ms)
            self.kernel.at(START_MS + a.at_ms, self.ask, row)

    def ask(self, row: Row) -> None:
        """One try reaches its limiter."""
        row.at = self.kernel.now - START_MS
        self.rows.append(row)
        limiter, kind = self.limiters[row.limiter], self.settings.request_classes[row.kind]
        work = self.fleet.work_ms[row.kind] * row.units
        incoming = IncomingRequest(
            tenant=f"{row.customer:016x}",
            plan_index=row.plan,
            class_index=row.kind,
            expires_in_ms=kind.deadline_ms,
            units=row.units,
            sharing_limiters=len(self.limiters),
            is_retry=row.number > 0,
        )
        limiter.timed(limiter.core.submit, Caller(self, row), (row, work), incoming)

    def back(self, row: Row) -> None:
        """A refused client comes back when it was told to."""
        limiter = row.limiter
        if len(self.limiters) > 1 and self.of_clients.random() < self.clients.stray:
            limiter = int(self.of_clients.integers(0, len(self.limiters)))
        late = float(self.of_clients.uniform(0.0, self.clients.jitter_ms))
        due = row.ended + row.retry_after_ms + late
        again = replace(row, limiter=limiter, number=row.number + 1, due=due, at=-1.0, sent=-1.0, ended=-1.0)
        again.verdict, again.retry_after_ms = "", 0.0  # `told_beyond` stays: no promise was made
        self.kernel.at(START_MS + due, self.ask, again)

    def run(self, ms: float) -> None:
        """Let so much time pass from the start."""
        self.kernel.run(START_MS + ms)

    @property
    def cpu_us(self) -> float:
        """Processor time of all cores for one request, in microseconds."""
        return sum(limiter.cpu_ns for limiter in self.limiters) / 1000 / max(1, len(self.rows))


class Caller:
    """A client's side of one try."""

    __slots__ = ("row", "world")

    def __init__(self, world: World, row: Row) -> None:
        self.world, self.row = world, row

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """The final answer; a client that obeys comes back once it may."""
        row, clients, world = self.row, self.world.clients, self.world
        if row.verdict:
            raise AssertionError(f"two final answers: {row}")
        row.ended, row.verdict = world.kernel.now - START_MS, verdict.value
        row.retry_after_ms = retry_after_ms
        if verdict is Verdict.REJECTED:
            row.told_beyond = retry_after_ms >= world.settings.max_retry_after_ms
            if clients.obey and row.number + 1 < clients.tries and retry_after_ms:
                world.back(row)


def play(
    experiment: Experiment, variant: Variant, progress: Callable[[float], None] = lambda part: None
) -> World:
    """Run one variant of an experiment in virtual time, to its end."""
    fleet = experiment.fleet
    world = World(
        experiment.settings(variant),
        seed=variant.seed,
        door=experiment.admission_queue_settings(variant),
        fleet=fleet,
        clients=experiment.clients,
        name=variant.name,
    )
    world.counter.service_ms = experiment.counter_ms
    world.load(experiment.arrivals(variant))
    until = 1000.0 * (experiment.seconds + experiment.settle_s)
    for step in range(1, 101):
        world.run(until * step / 100)
        progress(step / 100)
    return world
