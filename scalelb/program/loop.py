"""The loop: gathers what is ready, has the core take its turn, and carries out what came of it."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import Outcome
from scalelb.policy.settings import IDLE_REUSE_RATIO
from scalelb.program.config import Config, ConfigError, read_entry
from scalelb.routing.bans import Bans
from scalelb.routing.core import Core, Limits, Ticket
from scalelb.routing.figures import Figures
from scalelb.transport.counter import CounterClient
from scalelb.transport.fetch import AttemptResult, BackendConnection, Fetch, Piece, Pool, PoolLimits
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
        limits = Limits(requests=min(4096, config.requests_most))
        door = config.fairness
        self.core = Core(config.settings, config.seed, self, clock, limits, self.fault, door)
        each = max(1, config.connections_most // 4)
        pool = PoolLimits(
            connections=config.connections_most,
            each=each,
            connect_ms=config.connect_timeout_ms,
            idle_ms=IDLE_REUSE_RATIO * config.conn_idle_ms,
        )
        self.pool = Pool(reactor, clock, log, pool)
        self.counter: CounterClient | None = None
        if config.counter:
            timeout = config.settings.counter_wait_ms
            self.counter = CounterClient(reactor, clock, config.counter, timeout, self.core.counted, log)
        self.alarm: Delay | None = None
        self.alarm_at = 0.0
        self.addresses: dict[str, str] = {}
        self.bans = Bans()
        self.kinds = {name: place for place, name in enumerate(config.kinds)}
        self.figures = Figures(len(config.kinds))

    def fault(self, error: Exception) -> None:
        """A fault of the decisions: it is logged, and the limiter goes on."""
        self.log("fault", level="error", what="".join(traceback.format_exception(error)))

    # Ports of the core

    def fetch(self, ticket: Ticket, server: str, patience_ms: float) -> None:
        """Begin an attempt."""
        held: Held = ticket.payload
        attempt = ticket.attempt

        session: Any = ticket.caller

        def begun(connection: BackendConnection) -> Piece:
            self.core.begun(ticket)
            session.begin(held.answer, connection)
            return lambda data: session.piece(held.answer, data)

        def ended(result: AttemptResult) -> None:
            if ticket.out and ticket.attempt == attempt:
                if ticket.first and result.outcome is not Outcome.OK and not ticket.done:
                    session.broken(held.answer, ticket)
                usage = result.usage
                self.core.fetched(
                    ticket, result.outcome, result.value, result.report, usage.true_units, usage.used_percent
                )

        until, place = self.clock() + patience_ms, self.kinds[held.call.kind]

        def write() -> bytes | None:
            if not session.there():  # nobody reads a session that is paused: this is how its end is seen
                session.abort()
                self.core.gone(ticket)
            wanted = ticket.attempt == attempt and self.core.wanted(ticket)
            return held.call.passed_on(int(until - self.clock())) if wanted else None

        def left() -> None:
            self.figures.tries[place] += 1

        fetch = self.pool.fetch(server, write, ended, left=left, begun=begun)
        if not fetch.done:
            ticket.handle = fetch

    def drop(self, ticket: Ticket) -> None:
        """Give an attempt up."""
        fetch, ticket.handle = ticket.handle, None
        if isinstance(fetch, Fetch):
            self.pool.drop(fetch)

    def count(self, name: int, amount: float, keep_ms: float) -> None:
        """Call the counter."""
        if self.counter is None:
            self.core.counted(name, Outcome.CONNECT_FAILED, 0.0, 0.0)
        else:
            self.counter.count(name, amount, keep_ms)

    def probe(self, server: str) -> None:
        """Probe a backend."""
        began = self.clock()
        self.pool.probe(server, lambda o, r: self.core.probed(server, o, self.clock() - began, r))

    def listed(self, servers: Iterable[Endpoint], full: bool) -> None:
        """The list has changed: the pool follows."""
        infos = list(servers)
        for info in infos:
            if info.state is not EndpointState.REMOVED:
                self.pool.name(info.name, self.addresses[info.name], info.state is EndpointState.SERVING)
        gone = {info.name for info in infos if info.state is EndpointState.REMOVED}
        keep = {i.name for i in infos} if full else self.pool.backends.keys()
        self.pool.keep(keep - gone)

    def wake(self, at: float) -> None:
        """Have the core take its turn at this time."""
        if not at:  # the alarm for later stays: the turn may well find it right
            self.reactor.callLater(0, self.core.turn)
            return
        if self.alarm is not None and self.alarm.active():
            if self.alarm_at <= at:
                return
            self.alarm.cancel()
        self.alarm_at = at
        self.alarm = self.reactor.callLater(max(0.0, at - self.clock()) / 1000, self.core.turn)

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
        self.core.listed(self.bans.told(infos, full), full)
        known = self.pool.backends
        self.addresses = {name: known[name].address for name in known}

    def banned(self, servers: Iterable[str]) -> None:
        """Staff's word on some backends has changed: the decisions are told, as of a change of the list."""
        if entries := self.bans.entries(servers):
            self.core.listed(entries, False)

    def ejected(self) -> int:
        """Backends in the list that are left out, by hand or because they can't be reached."""
        now, servers = self.clock(), self.core.limiter.selector.endpoints
        return sum(
            self.bans.out(n) or (n in servers and servers[n].ejected_until > now) for n in self.pool.backends
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
