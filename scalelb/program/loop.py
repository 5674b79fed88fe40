"""The loop: gathers what is ready, has the core take its turn, and carries out what came of it."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from scalelb.core.endpoint_overrides import EndpointOverrides
from scalelb.core.lifecycle import Core
from scalelb.core.limits import CoreLimits
from scalelb.core.metrics import ClassMetrics
from scalelb.core.request_table import OpenRequest
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import Outcome
from scalelb.policy.settings import IDLE_REUSE_RATIO
from scalelb.program.config import Config, ConfigError, read_entry
from scalelb.transport.counter import CounterClient
from scalelb.transport.fetch import (
    AttemptResult,
    BackendConnection,
    ConnectionPool,
    OnPiece,
    PoolLimits,
    UpstreamAttempt,
)
from scalelb.transport.session import Held
from scalelb.transport.stream import Delay, Log, Reactor


def unix_clock() -> Callable[[], float]:
    """Milliseconds since 1970 that never step back: the director's and the other limiters' clock."""
    offset = time.time() - time.monotonic()
    return lambda: (time.monotonic() + offset) * 1000.0


class Loop:
    """Joins one core to the sockets: the core's ports."""

    def __init__(self, config: Config, reactor: Reactor, clock: Callable[[], float], log: Log) -> None:
        self.config, self.reactor, self.clock, self.log = config, reactor, clock, log
        limits = CoreLimits(max_open_requests=min(4096, config.requests_most))
        door = config.fairness
        self.core = Core(config.settings, config.seed, self, clock, limits, self.fault, door)
        each = max(1, config.connections_most // 4)
        pool = PoolLimits(
            max_connections=config.connections_most,
            max_connections_per_backend=each,
            connect_timeout_ms=config.connect_timeout_ms,
            idle_timeout_ms=IDLE_REUSE_RATIO * config.conn_idle_ms,
        )
        self.pool = ConnectionPool(reactor, clock, log, pool)
        self.counter: CounterClient | None = None
        if config.counter:
            timeout = config.settings.counter_wait_ms
            self.counter = CounterClient(
                reactor, clock, config.counter, timeout, self.core.counter_replied, log
            )
        self.alarm: Delay | None = None
        self.alarm_at = 0.0
        self.addresses: dict[str, str] = {}
        self.overrides = EndpointOverrides()
        self.kinds = {name: place for place, name in enumerate(config.kinds)}
        self.metrics = ClassMetrics(len(config.kinds))

    def fault(self, error: Exception) -> None:
        """A fault of the decisions: it is logged, and the limiter goes on."""
        self.log("fault", level="error", what="".join(traceback.format_exception(error)))

    # Ports of the core

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt on a pooled connection."""
        held: Held = request.payload
        attempt_number = request.attempt_number
        session: Any = request.caller

        def begun(connection: BackendConnection) -> OnPiece:
            self.core.first_byte_forwarded(request)
            session.begin(held.answer, connection)
            return lambda data: session.piece(held.answer, data)

        def ended(result: AttemptResult) -> None:
            if request.in_flight and request.attempt_number == attempt_number:
                if request.first_byte_at and result.outcome is not Outcome.OK and not request.is_finished:
                    session.broken(held.answer, request)
                usage = result.usage
                self.core.attempt_ended(
                    request, result.outcome, result.value, result.report, usage.true_units, usage.used_percent
                )

        timeout_at = self.clock() + timeout_ms
        class_index = self.kinds[held.call.class_name]

        def write() -> bytes | None:
            if not session.there():  # nobody reads a session that is paused: this is how its end is seen
                session.abort()
                self.core.cancel(request)
            if request.attempt_number != attempt_number or not self.core.may_begin(request):
                return None
            return held.call.forwarded_command(int(timeout_at - self.clock()))

        def left() -> None:
            self.metrics.attempts[class_index] += 1

        fetch = self.pool.start_attempt(endpoint, write, ended, on_sent=left, on_value_started=begun)
        if not fetch.is_done:
            request.attempt_handle = fetch

    def abandon_attempt(self, request: OpenRequest) -> None:
        """Give up the attempt in flight."""
        fetch = request.attempt_handle
        request.attempt_handle = None
        if isinstance(fetch, UpstreamAttempt):
            self.pool.abandon(fetch)

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the counter."""
        if self.counter is None:
            self.core.counter_replied(counter_key, Outcome.CONNECT_FAILED, 0.0, 0.0)
        else:
            self.counter.add(counter_key, amount, retention_ms)

    def check_health(self, endpoint: str) -> None:
        """Ask an endpoint for its load report."""
        started_at = self.clock()

        def ended(outcome: Outcome, load_report: Mapping[str, float]) -> None:
            elapsed_ms = self.clock() - started_at
            self.core.health_check_ended(endpoint, outcome, elapsed_ms, load_report)

        self.pool.check_health(endpoint, ended)

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """The endpoint list has changed: the pool follows."""
        changed = list(endpoints)
        for entry in changed:
            if entry.state is not EndpointState.REMOVED:
                self.pool.update_backend(
                    entry.name, self.addresses[entry.name], entry.state is EndpointState.SERVING
                )
        removed = {entry.name for entry in changed if entry.state is EndpointState.REMOVED}
        listed = {entry.name for entry in changed} if is_complete else self.pool.backends.keys()
        self.pool.retain_backends(listed - removed)

    def wake_at(self, due_at: float) -> None:
        """Have the core take its turn at this time."""
        if not due_at:  # the alarm for later stays: the turn may well find it right
            self.reactor.callLater(0, self.core.turn)
            return
        if self.alarm is not None and self.alarm.active():
            if self.alarm_at <= due_at:
                return
            self.alarm.cancel()
        self.alarm_at = due_at
        self.alarm = self.reactor.callLater(max(0.0, due_at - self.clock()) / 1000, self.core.turn)

    # The director

    def move_counter(self, address: str) -> None:
        """The counter is called elsewhere from now on; what is under way ends where it began."""
        if self.counter is not None:
            self.counter.move(address)

    def told(self, generation: int, full: bool, entries: Iterable[dict[str, Any]]) -> None:
        """The list or its changes.  A faulty entry is logged and left out; the others count."""
        infos = []
        for place, entry in enumerate(entries):
            try:
                info, address = read_entry(entry, self.config.zones, f"instances[{place}]")
            except ConfigError as error:
                self.log("malformed", level="warning", what=str(error), director=self.config.director)
                continue
            if info.state is not EndpointState.REMOVED:
                self.addresses[info.name] = address
            infos.append(info)
        infos = self.replaced(infos)
        states = {info.name: info.state.value for info in infos}
        self.log("list", generation=generation, full=full, servers=states)
        self.core.on_endpoints(self.overrides.on_endpoints(infos, full), full)
        known = self.pool.backends
        self.addresses = {name: known[name].address for name in known}

    def overrides_changed(self, servers: Iterable[str]) -> None:
        """Overrides have changed: the decisions see it as a change of the endpoint list."""
        if entries := self.overrides.effective_entries(servers):
            self.core.on_endpoints(entries, False)

    def ejected(self) -> int:
        """Backends in the list that are left out, by hand or because they can't be reached."""
        now, servers = self.clock(), self.core.limiter.selector.endpoints
        return sum(
            self.overrides.is_ejected(n) or (n in servers and servers[n].ejected_until > now)
            for n in self.pool.backends
        )

    def replaced(self, infos: list[Endpoint]) -> list[Endpoint]:
        """Guards a new backend at the address of another: there is one machine at an address, so the other is
        gone, whether or not the list says so yet.  It would be sent twice its share, and cold."""
        newest: dict[str, Endpoint] = {}
        gone: dict[str, Endpoint] = {}
        for info in [i for i in infos if i.state is not EndpointState.REMOVED]:
            address = self.addresses[info.name]
            other = newest.setdefault(address, info)
            if other.name != info.name:
                older, newer = sorted((other, info), key=lambda i: i.started_at)
                gone[older.name] = replace(older, state=EndpointState.REMOVED)
                newest[address] = newer
        named = {info.name for info in infos}
        for name, backend in self.pool.backends.items():
            if name not in named and backend.address in newest:
                gone[name] = Endpoint(name, EndpointState.REMOVED)
        kept = [info for info in infos if info.name not in gone]
        return kept + list(gone.values())

    def sweep(self) -> None:
        """House-keeping of connections."""
        self.pool.sweep()
        if self.counter is not None:
            self.counter.sweep()
