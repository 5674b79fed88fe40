"""The core of the limiters in virtual time, with simulated servers, counter and clients.

Everything runs on one discrete-event kernel, and each component draws from its own random stream, so a run
is reproducible event by event from its seed.  Times are milliseconds of virtual time since 1970, because the
core derives names of counters from them.  Processor time is measured separately and is the only value that
differs between two runs.
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

START_MS = 1_800_000_000_000.0  # The virtual time at which every run starts.
SERVER_FAILURE_MS = 2.0  # A failing server answers with an error after this time.
DEFAULT_FLEET, DEFAULT_CLIENTS = Fleet(), Clients()
VALUE = memoryview(b"$2\r\nok\r\n")  # The value of every successful response.


class Kernel:
    """Virtual time and the events that are scheduled in it."""

    def __init__(self, start_ms: float = START_MS) -> None:
        self.now = start_ms
        self.sequence = 0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, due_at: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call at a time, or now if that time has passed."""
        self.sequence += 1
        heappush(self.events, (max(due_at, self.now), self.sequence, call, args))

    def after(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + delay_ms, call, *args)

    def run(self, until: float) -> None:
        """Advance the time and make all calls that are due by then."""
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heappop(self.events)
            call(*args)
        self.now = until


class Server:
    """A backend whose cores have one speed; up to `capacity` requests wait, and further ones are rejected."""

    def __init__(self, kernel: Kernel, name: str, cores: int, speed: float, capacity: int) -> None:
        self.kernel, self.name, self.cores, self.speed, self.capacity = kernel, name, cores, speed, capacity
        self.running = 0
        self.waiting: deque[tuple[float, Callable[[Outcome], None], list[bool]]] = deque()
        self.completed = self.received = 0
        self.is_failing = False  # answers every request with an error

    def handle_request(self, work_ms: float, on_end: Callable[[Outcome], None]) -> Callable[[], None]:
        """Receive a request; `on_end` is called once, unless the request is dropped.

        Returns a function that drops the request, also while it waits.
        """
        is_dropped = [False]
        self.received += 1
        if self.is_failing:
            self.kernel.after(SERVER_FAILURE_MS, on_end, Outcome.ERROR)
        elif self.running < self.cores:
            self._begin(work_ms, on_end, is_dropped)
        elif len(self.waiting) < self.capacity:
            self.waiting.append((work_ms, on_end, is_dropped))
        else:
            self.kernel.after(0.0, on_end, Outcome.REJECTED)

        def drop() -> None:
            is_dropped[0] = True

        return drop

    def _begin(self, work_ms: float, on_end: Callable[[Outcome], None], is_dropped: list[bool]) -> None:
        self.running += 1
        self.kernel.after(work_ms / self.speed, self._end, on_end, is_dropped)

    def _end(self, on_end: Callable[[Outcome], None], is_dropped: list[bool]) -> None:
        self.running -= 1
        self.completed += 1
        if not is_dropped[0]:
            on_end(Outcome.OK)
        while self.waiting and self.running < self.cores:
            work_ms, next_on_end, next_is_dropped = self.waiting.popleft()
            if not next_is_dropped[0]:
                self._begin(work_ms, next_on_end, next_is_dropped)


class Counter:
    """The shared counter: processes calls one at a time, each in a fixed service time."""

    def __init__(self, kernel: Kernel, service_ms: float = 1.0, link_ms: float = 0.5) -> None:
        self.kernel, self.service_ms, self.link_ms = kernel, service_ms, link_ms
        self.totals: dict[int, float] = {}
        self.free_at = 0.0
        self.is_unresponsive = False
        self.calls = 0

    def add(
        self,
        counter_key: int,
        amount: float,
        timeout_ms: float,
        on_reply: Callable[[Outcome, float, float], None],
    ) -> None:
        """Process one call; the amount is added even if the reply arrives after the timeout."""
        called_at, self.calls = self.kernel.now, self.calls + 1
        service_starts_at = max(called_at + self.link_ms, self.free_at)
        self.free_at = service_starts_at + self.service_ms
        self.totals[counter_key] = self.totals.get(counter_key, 0.0) + amount
        total, took_ms = self.totals[counter_key], self.free_at + self.link_ms - called_at
        if self.is_unresponsive or took_ms > timeout_ms:
            self.kernel.after(timeout_ms, on_reply, Outcome.TIMEOUT, 0.0, timeout_ms)
        else:
            self.kernel.after(took_ms, on_reply, Outcome.OK, total, took_ms)


class Limiter:
    """One core on the kernel, and its ports."""

    def __init__(
        self, world: World, index: int, settings: Settings, queue_settings: AdmissionQueueSettings | None
    ) -> None:
        self.world, self.kernel, self.index = world, world.kernel, index
        self.cpu_ns = self.longest_ns = self.turns = 0
        self.wakes_at = inf
        seed, limits = world.seed * 31 + index, CoreLimits(max_open_requests=100_000)
        self.core = Core(settings, seed, self, lambda: self.kernel.now, limits, queue_settings=queue_settings)
        self.core.on_endpoints(world.endpoints, True)

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Send an attempt over the link to its server."""
        row: Row = request.payload[0]
        if row.sent < 0:
            row.sent, row.server = self.kernel.now - START_MS, endpoint
        attempt_number, link_ms = request.attempt_number, self.world.fleet.link_ms

        def on_end(outcome: Outcome) -> None:
            self.kernel.after(link_ms, self._attempt_ended, request, attempt_number, outcome)

        def arrive() -> None:
            if request.in_flight and request.attempt_number == attempt_number:
                request.attempt_handle = self.deliver_attempt(request, endpoint, on_end)

        self.kernel.after(link_ms, arrive)

    def deliver_attempt(
        self, request: OpenRequest, server: str, on_end: Callable[[Outcome], None]
    ) -> Callable[[], None]:
        """Pass an attempt that has arrived to its server; return the function that drops it."""
        return self.world.servers[server].handle_request(request.payload[1], on_end)

    def _attempt_ended(self, request: OpenRequest, attempt_number: int, outcome: Outcome) -> None:
        if request.in_flight and request.attempt_number == attempt_number:
            self.timed(self.core.attempt_ended, request, outcome, VALUE if outcome is Outcome.OK else None)

    def abandon_attempt(self, request: OpenRequest) -> None:
        """Drop the attempt in flight at its server."""
        drop, request.attempt_handle = request.attempt_handle, None
        if drop is not None:
            drop()

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the shared counter."""
        timeout_ms = self.core.settings.counter_wait_ms

        def on_reply(outcome: Outcome, total: float, took_ms: float) -> None:
            self.timed(self.core.counter_replied, counter_key, outcome, total, took_ms)

        self.world.counter.add(counter_key, amount, timeout_ms, on_reply)

    def check_health(self, endpoint: str) -> None:
        """Do nothing: health checks are not simulated."""

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """Do nothing: the simulated servers are known from the start."""

    def wake_at(self, due_at: float) -> None:
        """Schedule a turn at this time or, if it has passed, after all input that is due now."""
        if due_at < self.wakes_at:
            self.wakes_at = max(due_at, self.kernel.now)
            self.kernel.at(due_at, self.turn, self.wakes_at)

    def turn(self, due_at: float) -> None:
        """Run one turn and measure its processor time; do nothing if an earlier turn has replaced it."""
        if due_at != self.wakes_at:
            return
        self.wakes_at = inf
        started_ns = time.process_time_ns()
        self.core.turn()
        took_ns = time.process_time_ns() - started_ns
        self.cpu_ns, self.turns = self.cpu_ns + took_ns, self.turns + 1
        self.longest_ns = max(self.longest_ns, took_ns)

    def timed(self, call: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        """Call into the core and measure the processor time of the call."""
        started_ns = time.process_time_ns()
        result = call(*args, **kwargs)
        self.cpu_ns += time.process_time_ns() - started_ns
        return result


class World:
    """Limiters, servers, the counter and clients, all drawn from one seed."""

    def __init__(
        self,
        settings: Settings,
        *,
        seed: int = 1,
        queue_settings: AdmissionQueueSettings | None = None,
        fleet: Fleet = DEFAULT_FLEET,
        clients: Clients = DEFAULT_CLIENTS,
        name: str = "",
        clock_ms: float = 0.0,
    ) -> None:
        """The run starts `clock_ms` after `START_MS`, the time at which all counting windows begin."""
        self.kernel, self.seed, self.fleet, self.clients = Kernel(START_MS + clock_ms), seed, fleet, clients
        self.name, self.settings = name, settings
        servers_rng, self.clients_rng = (
            np.random.default_rng(stream) for stream in np.random.SeedSequence(seed).spawn(2)
        )
        speeds = servers_rng.uniform(*fleet.speeds, fleet.servers)
        self.servers = {
            f"deck-{n}": Server(self.kernel, f"deck-{n}", fleet.cores, float(speed), fleet.room)
            for n, speed in enumerate(speeds)
        }
        self.endpoints = tuple(
            Endpoint(server, EndpointState.SERVING, zone=n % fleet.zones)
            for n, server in enumerate(self.servers)
        )
        self.counter = Counter(self.kernel)
        self.rows: list[Row] = []
        self.queue_settings = queue_settings
        self.limiters = [self.create_limiter(index) for index in range(settings.limiter_count)]

    def create_limiter(self, index: int) -> Limiter:
        """Create a limiter."""
        return Limiter(self, index, replace(self.settings, limiter_index=index), self.queue_settings)

    def load(self, arrivals: Iterable[Arrival]) -> None:
        """Schedule the first attempt of each client request."""
        for arrival in arrivals:
            row = Row(
                self.name, arrival.group, arrival.customer, arrival.limiter, arrival.kind, arrival.plan,
                arrival.units, 0, arrival.at_ms,
            )  # fmt: skip
            self.kernel.at(START_MS + arrival.at_ms, self.submit, row)

    def submit(self, row: Row) -> None:
        """Submit a client request to its limiter."""
        row.at = self.kernel.now - START_MS
        self.rows.append(row)
        limiter, request_class = self.limiters[row.limiter], self.settings.request_classes[row.kind]
        work_ms = self.fleet.work_ms[row.kind] * row.units
        incoming = IncomingRequest(
            tenant=f"{row.customer:016x}",
            plan_index=row.plan,
            class_index=row.kind,
            expires_in_ms=request_class.deadline_ms,
            units=row.units,
            sharing_limiters=len(self.limiters),
            is_retry=row.number > 0,
        )
        limiter.timed(limiter.core.submit, Caller(self, row), (row, work_ms), incoming)

    def schedule_retry(self, row: Row) -> None:
        """Submit a rejected request again after its Retry-After time, possibly to another limiter."""
        limiter = row.limiter
        if len(self.limiters) > 1 and self.clients_rng.random() < self.clients.stray:
            limiter = int(self.clients_rng.integers(0, len(self.limiters)))
        jitter_ms = float(self.clients_rng.uniform(0.0, self.clients.jitter_ms))
        due = row.ended + row.retry_after_ms + jitter_ms
        retry = replace(row, limiter=limiter, number=row.number + 1, due=due, at=-1.0, sent=-1.0, ended=-1.0)
        # `told_beyond` is not reset: a Retry-After time at the maximum makes no reservation.
        retry.verdict, retry.retry_after_ms = "", 0.0
        self.kernel.at(START_MS + due, self.submit, retry)

    def run(self, until_ms: float) -> None:
        """Advance the time to `until_ms` after the start."""
        self.kernel.run(START_MS + until_ms)

    @property
    def cpu_us(self) -> float:
        """Processor time of all cores per request, in microseconds."""
        return sum(limiter.cpu_ns for limiter in self.limiters) / 1000 / max(1, len(self.rows))


class Caller:
    """The client side of one request."""

    __slots__ = ("row", "world")

    def __init__(self, world: World, row: Row) -> None:
        self.world, self.row = world, row

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Record the final answer; a client that obeys Retry-After retries a rejected request."""
        row, clients, world = self.row, self.world.clients, self.world
        if row.verdict:
            raise AssertionError(f"second final answer for a request: {row}")
        row.ended, row.verdict = world.kernel.now - START_MS, verdict.value
        row.retry_after_ms = retry_after_ms
        if verdict is Verdict.REJECTED:
            row.told_beyond = retry_after_ms >= world.settings.max_retry_after_ms
            if clients.obey and row.number + 1 < clients.tries and retry_after_ms:
                world.schedule_retry(row)


def play(
    experiment: Experiment, variant: Variant, progress: Callable[[float], None] = lambda part: None
) -> World:
    """Run one variant of an experiment in virtual time, to its end."""
    fleet = experiment.fleet
    world = World(
        experiment.settings(variant),
        seed=variant.seed,
        queue_settings=experiment.admission_queue_settings(variant),
        fleet=fleet,
        clients=experiment.clients,
        name=variant.name,
    )
    world.counter.service_ms = experiment.counter_ms
    world.load(experiment.arrivals(variant))
    until_ms = 1000.0 * (experiment.seconds + experiment.settle_s)
    for step in range(1, 101):
        world.run(until_ms * step / 100)
        progress(step / 100)
    return world
