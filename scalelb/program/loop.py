"""Connects the core to its sockets: passes events to the core and carries out the actions it returns."""

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
from scalelb.program.config import Config, ConfigError, parse_endpoint
from scalelb.transport.counter import CounterClient
from scalelb.transport.fetch import (
    AttemptResult,
    BackendConnection,
    ConnectionPool,
    OnPiece,
    PoolLimits,
    UpstreamAttempt,
)
from scalelb.transport.session import RequestPayload
from scalelb.transport.stream import DelayedCall, Log, Reactor


def unix_clock() -> Callable[[], float]:
    """Return a clock of milliseconds since 1970 that never steps back.

    It is comparable with the clocks of discovery and of other limiters."""
    offset = time.time() - time.monotonic()
    return lambda: (time.monotonic() + offset) * 1000.0


def start_order(endpoint: Endpoint) -> tuple[float, bool]:
    """Return what orders endpoints at one address: by start, and of equal ones the serving one last."""
    return endpoint.started_at, endpoint.state is EndpointState.SERVING


class Loop:
    """The ports of one core, on pooled connections, the counter's connection and timers."""

    def __init__(self, config: Config, reactor: Reactor, clock: Callable[[], float], log: Log) -> None:
        self.config, self.reactor, self.clock, self.log = config, reactor, clock, log
        limits = CoreLimits(max_open_requests=min(4096, config.requests_most))
        queue_settings = config.fairness
        self.core = Core(config.settings, config.seed, self, clock, limits, self.on_fault, queue_settings)
        max_per_backend = max(1, config.max_backend_connections // 4)
        pool = PoolLimits(
            max_connections=config.max_backend_connections,
            max_connections_per_backend=max_per_backend,
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
        self.wake_timer: DelayedCall | None = None
        self.wake_timer_at = 0.0
        self.addresses: dict[str, str] = {}
        self.overrides = EndpointOverrides()
        self.class_indexes = {name: position for position, name in enumerate(config.kinds)}
        self.metrics = ClassMetrics(len(config.kinds))

    def on_fault(self, error: Exception) -> None:
        """Log an exception in the decision module; the limiter continues."""
        self.log("fault", level="error", what="".join(traceback.format_exception(error)))

    # Ports of the core

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt on a pooled connection."""
        held_request: RequestPayload = request.payload
        attempt_number = request.attempt_number
        session: Any = request.caller

        def on_value_begun(connection: BackendConnection) -> OnPiece:
            self.core.first_byte_forwarded(request)
            session.begin_value(held_request.answer, connection)
            return lambda data: session.send_piece(held_request.answer, data)

        def on_attempt_ended(result: AttemptResult) -> None:
            if request.in_flight and request.attempt_number == attempt_number:
                self.end_attempt(request, endpoint, result)

        timeout_at = self.clock() + timeout_ms
        class_index = self.class_indexes[held_request.call.class_name]

        def write_request() -> bytes | None:
            # The end of a connection is read only behind all input before it: this check notices it at once.
            if not session.is_client_connected():
                session.abort()
                self.core.cancel(request)
            elif session.may_hide_close():
                return None
            if request.attempt_number != attempt_number or not self.core.may_begin(request):
                return None
            held_request.is_sent = True
            return held_request.call.forwarded_command(int(timeout_at - self.clock()))

        def on_request_sent() -> None:
            self.metrics.attempts[class_index] += 1

        attempt = self.pool.start_attempt(
            endpoint,
            write_request,
            on_attempt_ended,
            on_sent=on_request_sent,
            on_value_started=on_value_begun,
        )
        if not attempt.is_done:
            request.attempt_handle = attempt

    def end_attempt(self, request: OpenRequest, endpoint: str, result: AttemptResult) -> None:
        """Report the result of the attempt in flight to the core."""
        if result.outcome is not Outcome.OK:
            self.log_attempt(request, endpoint, result.outcome.value)
            if request.first_byte_at and not request.is_finished:
                session: Any = request.caller
                session.fail_value(request.payload.answer, request)
        usage = result.usage
        self.core.attempt_ended(
            request, result.outcome, result.value, result.report, usage.true_units, usage.used_percent
        )

    def log_attempt(self, request: OpenRequest, endpoint: str, outcome: str) -> None:
        """Log an attempt that ended without a value; whether a retry follows shows in the next line."""
        self.log(
            "attempt.ended",
            id=request.payload.call.request_id.decode(),
            attempt=request.attempt_number,
            server=endpoint,
            outcome=outcome,
            took_ms=round(self.clock() - request.sent_at, 1),
        )

    def abandon_attempt(self, request: OpenRequest) -> None:
        """Abandon the attempt in flight."""
        self.log_attempt(request, request.endpoint, "client left" if request.is_finished else "timeout")
        attempt = request.attempt_handle
        request.attempt_handle = None
        if isinstance(attempt, UpstreamAttempt):
            self.pool.abandon(attempt)

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the counter."""
        if self.counter is None:
            self.core.counter_replied(counter_key, Outcome.CONNECT_FAILED, 0.0, 0.0)
        else:
            self.counter.add(counter_key, amount, retention_ms)

    def check_health(self, endpoint: str) -> None:
        """Query an endpoint for its load report."""
        started_at = self.clock()

        def on_probe_ended(outcome: Outcome, load_report: Mapping[str, float]) -> None:
            elapsed_ms = self.clock() - started_at
            self.core.health_check_ended(endpoint, outcome, elapsed_ms, load_report)

        self.pool.check_health(endpoint, on_probe_ended)

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """Update the connection pool after a change of the endpoint list."""
        changed = list(endpoints)
        for entry in changed:
            if entry.state is not EndpointState.REMOVED:
                self.pool.update_backend(
                    entry.name,
                    self.addresses[entry.name],
                    entry.state is EndpointState.SERVING,
                    entry.started_at,
                )
        removed = {entry.name for entry in changed if entry.state is EndpointState.REMOVED}
        listed = {entry.name for entry in changed} if is_complete else self.pool.backends.keys()
        self.pool.retain_backends(listed - removed)

    def wake_at(self, due_at: float) -> None:
        """Schedule a call of `Core.turn` at `due_at` (ms); 0 means as soon as possible."""
        # A timer for a later time stays: it is often still needed after the turn.
        if not due_at:
            self.reactor.callLater(0, self.core.turn)
            return
        if self.wake_timer is not None and self.wake_timer.active():
            if self.wake_timer_at <= due_at:
                return
            self.wake_timer.cancel()
        self.wake_timer_at = due_at
        self.wake_timer = self.reactor.callLater(max(0.0, due_at - self.clock()) / 1000, self.core.turn)

    # Discovery and the counter's address

    def move_counter(self, address: str) -> None:
        """Send further counter calls to another address; calls in flight end at the old one."""
        if self.counter is not None:
            self.counter.move(address)

    def apply_endpoint_list(
        self, generation: int, is_complete: bool, entries: Iterable[dict[str, Any]]
    ) -> None:
        """Apply an endpoint list, or a watch event with the entries that changed.

        A malformed entry is logged and left out; the others apply."""
        endpoints = []
        for position, entry in enumerate(entries):
            try:
                endpoint, address = parse_endpoint(entry, self.config.zones, f"instances[{position}]")
            except ConfigError as error:
                self.log("malformed", level="warning", what=str(error), director=self.config.director)
                continue
            if endpoint.state is not EndpointState.REMOVED:
                self.addresses[endpoint.name] = address
            endpoints.append(endpoint)
        endpoints = self.remove_replaced(endpoints, is_complete)
        states = {endpoint.name: endpoint.state.value for endpoint in endpoints}
        self.log("list", generation=generation, full=is_complete, servers=states)
        self.core.on_endpoints(self.overrides.on_endpoints(endpoints, is_complete), is_complete)
        known = self.pool.backends
        self.addresses = {name: known[name].address for name in known}

    def overrides_changed(self, servers: Iterable[str]) -> None:
        """Pass changed overrides to the decision module, as a change of the endpoint list."""
        if entries := self.overrides.effective_entries(servers):
            self.core.on_endpoints(entries, False)

    def ejected_count(self) -> int:
        """Count the listed backends that are ejected, by an operator or for their failures."""
        now, servers = self.clock(), self.core.limiter.selector.endpoints
        return sum(
            self.overrides.is_ejected(name) or (name in servers and servers[name].ejected_until > now)
            for name in self.pool.backends
        )

    def remove_replaced(self, endpoints: list[Endpoint], is_complete: bool) -> list[Endpoint]:
        """Mark an endpoint as removed if a newer one has its address.

        There is one machine at an address, so the older endpoint no longer exists, even if the list still
        holds it, or news of it arrives late. With both, the machine would get twice its share of requests
        while it is warming up."""
        named = {endpoint.name for endpoint in endpoints}
        listed = self.overrides.listed
        known = (
            [] if is_complete else [listed[n] for n in self.pool.backends if n in listed and n not in named]
        )
        current: dict[str, Endpoint] = {}  # by address
        replaced: dict[str, Endpoint] = {}
        for endpoint in [*known, *endpoints]:
            if endpoint.state is EndpointState.REMOVED:
                continue
            address = self.addresses[endpoint.name]
            other = current.setdefault(address, endpoint)
            if other.name != endpoint.name:
                older, newer = sorted((other, endpoint), key=start_order)
                replaced[older.name] = replace(older, state=EndpointState.REMOVED)
                current[address] = newer
        remaining = [endpoint for endpoint in endpoints if endpoint.name not in replaced]
        return remaining + list(replaced.values())

    def sweep(self) -> None:
        """Close connections that are idle for too long, or whose response has stalled."""
        self.pool.sweep()
        if self.counter is not None:
            self.counter.sweep()
