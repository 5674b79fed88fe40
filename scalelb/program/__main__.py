"""Start and stop of one limiter: `python -m scalelb.program`."""

from __future__ import annotations

import gc
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.error import CannotListenError
from twisted.logger import LogEvent, LogLevel, formatEvent, globalLogBeginner

from scalelb.policy.handover import apply_handover, export_handover
from scalelb.program.config import Config, ConfigError, compare, read_config
from scalelb.program.log import Bounded, log
from scalelb.program.loop import Loop, unix_clock
from scalelb.program.predecessor import Incarnation
from scalelb.protocol.agentcheck import Status
from scalelb.transport.admin import AdminDoor
from scalelb.transport.director import DiscoveryClient
from scalelb.transport.pace import Pace
from scalelb.transport.session import Door
from scalelb.transport.status import StatusFactory
from scalelb.transport.stream import Log, host_port

if TYPE_CHECKING:
    from scalelb.program.peer_connections import PeerConnections
    from scalelb.transport.authz.front import GrpcFront

SWEEP_S, SWEEP_FULL_S, TALLY_S = 0.25, 0.03, 5.0  # house-keeping; while new clients wait; log
KNOWN_S = 0.6  # how long the director's first word is waited for where an old list is known
TAKE_OVER_S = 2.0  # an incarnation that was told to stop hands over within it
TAKE_OVER_LOOK_S = 0.01  # between two looks for its account
OVERLAP_S = 4.0  # that two incarnations may run at once: the longest deadline, 3 s at most, and 0.7 s
OPEN_S = 0.005  # the loop has waited once by then
LINGER_S = 0.7  # how long a stopping limiter takes what comes: the front has not noticed yet
KILL_AFTER_MOST_S = 3.0  # after SIGTERM and `LINGER_S` no kill is waited with longer than this, or than the
# longest deadline where that is shorter
KILL_MARGIN_S = 0.25  # answers are out so long before the kill: the limiter may be held up for 0.15 s
BACKLOG = 512


class Program:
    """One limiter from start to stop."""

    def __init__(
        self, config: Config, reactor: Any, clock: Callable[[], float] | None = None, log: Log = log
    ) -> None:
        self.log = log
        self.config, self.reactor = config, reactor
        self.status = Status.STARTING
        self.loop = Loop(config, reactor, clock or unix_clock(), log)
        fronts = config.fronts
        self.asyncio_loop: Any = getattr(reactor, "_asyncioEventloop", None)
        self.grpc: GrpcFront | None = None
        self.ports: dict[str, Any] = {}
        self.door = Door(
            self.loop.core,
            list(config.kinds),
            list(config.plans),
            self.ready,
            log,
            sessions_most=config.sessions_most,
            held_most=config.held_most,
            ahead_most=config.ahead_most,
            clients_most=config.sockets // 3,
            keyed=bool(fronts.external_authorization),
            metrics=self.loop.metrics,
        )
        self.incarnation: Incarnation | None = None  # none: no folder is shared with others
        if config.shared:
            self.incarnation = Incarnation(config.shared, log)
            self.incarnation.register()
            self.merge_overrides()
            self.incarnation.remove_stale_files()
        self.links: PeerConnections | None = None
        if config.peers is not None:
            from scalelb.program.peer_connections import PeerConnections

            self.links = PeerConnections(reactor, self.loop, config.name, config.peers, self.log)
        self.waiting = 0.0  # since when the predecessor is waited for (s of the reactor)
        self.admin: AdminDoor | None = None
        if fronts.external_authorization or fronts.grpc_health:
            from scalelb.transport.authz.front import Authorization, GrpcFront

            check = Authorization(self.loop.core, config.kinds, config.plans, self.ready, log)
            self.grpc = GrpcFront(check, fronts.external_authorization, fronts.grpc_health, log)
        asked = config.settings.discovery_silence_ms if config.settings.subscribes_to_endpoints else 0.0
        pace = Pace(config.settings.limiter_count, Random(f"director {config.seed}"), asked)
        self.director = DiscoveryClient(reactor, config.director, config.generation, self.told, log, pace)
        self.heard = False  # the director's word
        self.cpu = 0.0
        self.tasks: set[Any] = set()
        self.status_code = 0
        self.reread: Callable[[], Config] = lambda: read_config(again=True)

    def listen(self) -> None:
        """Bind the addresses."""
        has_predecessor = self.incarnation is not None and self.incarnation.predecessor != 0
        if has_predecessor and self.config.inherited is not None:
            self.halve()
            self.waiting = self.reactor.seconds()
            self.take_over()
        else:
            self.accept()
        if self.links is not None:
            self.listen_for_peers()
        if self.config.admin:
            host, port = host_port(self.config.admin)
            self.admin = AdminDoor(self.reactor, self, self.log)
            self.ports["admin"] = self.reactor.listenTCP(port, self.admin, BACKLOG, host)
        fronts = self.config.fronts
        for name, address in (("agent_check", fronts.agent_check), ("http_health", fronts.http_health)):
            if address:
                host, port = host_port(address)
                factory = StatusFactory(self.reactor, self.tell_status, self.log, agent=name == "agent_check")
                self.ports[name] = self.reactor.listenTCP(port, factory, BACKLOG, host)
        told = {name: port.getHost().port for name, port in self.ports.items()}
        door = self.door.port
        bound = door.getHost().port if door is not None else None
        self.log("started", name=self.config.name, port=bound, fronts=told)

    def listen_for_peers(self) -> None:
        """Let peers come, once a predecessor that runs has left the address to this incarnation."""
        assert self.links is not None
        try:
            self.ports["peers"] = self.links.listen()
        except CannotListenError:
            if self.incarnation is None or not self.incarnation.predecessor_is_running():
                raise
            self.reactor.callLater(TAKE_OVER_LOOK_S, self.listen_for_peers)

    def accept(self) -> None:
        """Let clients come: on the platform's socket where it has handed one over, else on one of our own."""
        heir = self.config.inherited
        if heir is None:
            host, port = host_port(self.config.listen)
            self.door.port = self.reactor.listenTCP(port, self.door, BACKLOG, host)
            return
        with socket.socket(fileno=os.dup(heir)) as held:
            held.setblocking(False)
            self.door.port = self.reactor.adoptStreamPort(held.fileno(), held.family, self.door)

    # Two incarnations of one limiter

    def take_over(self) -> None:
        """Accept clients once the predecessor takes nothing new, has ended, or can't be waited for any more.
        While it serves, the units on hand are its own: both would spend them."""
        incarnation = self.incarnation
        assert incarnation is not None
        if self.door.closing:
            return
        # Asked before its account is looked for, as it may leave one and end in between.
        predecessor_runs = incarnation.predecessor_is_running()
        account = incarnation.read_handover()
        late = self.ready() and self.reactor.seconds() - self.waiting > TAKE_OVER_S
        if not self.ready() or (predecessor_runs and account is None and not late):
            if not self.ready():
                self.waiting = self.reactor.seconds()
            self.reactor.callLater(TAKE_OVER_LOOK_S, self.take_over)
            return
        now = self.loop.clock()
        limiter = self.loop.core.limiter
        taken, faulty = apply_handover(limiter, account, now) if account else (0, 0)
        if account is None and predecessor_runs:
            # Nobody gets a fresh share of its quota beside the one that the predecessor still grants.
            limiter.tenants.records.unknown_start_empty_until = now + 1000 * OVERLAP_S
        self.accept()
        has_account = account is not None
        self.log("taken over", lives=predecessor_runs, told=has_account, entries=taken, faulty=faulty)
        self.alone()

    def halve(self) -> None:
        """While two incarnations run, each has half of the descriptors that one has."""
        self.bound(0.5)

    def alone(self) -> None:
        """All of it again, once the predecessor has ended."""
        if self.incarnation is not None and self.incarnation.predecessor_is_running():
            self.reactor.callLater(SWEEP_S, self.alone)
        else:
            self.bound(1.0)

    def bound(self, part: float) -> None:
        """Bound sessions and connections to a part of what is configured."""
        self.door.sessions_most = max(1, int(part * self.config.sessions_most))
        most = max(1, int(part * self.config.connections_most))
        self.loop.pool.limits = replace(self.loop.pool.limits, max_connections=most)

    def hand_over(self) -> None:
        """A successor serves: take nothing new, leave it what is on hand, finish the rest."""
        assert self.incarnation is not None
        self.loop.core.turn()
        account = export_handover(self.loop.core.limiter, self.loop.clock())
        self.incarnation.hand_over(account)
        if self.links is not None:
            self.links.stop()  # the successor binds its address
        self.loop.pool.close_idle_connections()
        self.halve()
        self.log("relieved", customers=len(account["customers"]), open=len(self.loop.core.open_requests))
        self.finish()

    def merge_overrides(self) -> None:
        """Take in what other incarnations know of ejections by operators."""
        assert self.incarnation is not None
        overrides = self.loop.overrides
        copies = self.incarnation.read_overrides()
        changed = overrides.merge(copies)
        if changed:
            self.incarnation.publish_overrides(overrides.by_endpoint)
            self.loop.overrides_changed(changed)
            self.log("bans", joined=changed[:20], count=len(changed))

    def override_endpoint(self, endpoint: str, is_ejected: bool) -> int:
        """Eject an endpoint by hand, or undo that: an HTTP status.  200 only once other incarnations can read
        it: else an upgrade would put the endpoint back."""
        overrides = self.loop.overrides
        before = overrides.by_endpoint.get(endpoint)
        if not overrides.set_by_operator(endpoint, is_ejected, self.loop.clock()):
            is_listed = endpoint in overrides.listed
            reason = "full" if is_listed else "unknown"
            self.log("ban", level="warning", server=endpoint[:80], out=is_ejected, what=reason)
            return 503 if is_listed else 404
        if overrides.by_endpoint.get(endpoint) == before:
            return 200
        if self.incarnation is not None and not self.incarnation.publish_overrides(overrides.by_endpoint):
            if before is None:
                del overrides.by_endpoint[endpoint]
            else:
                overrides.by_endpoint[endpoint] = before
            return 503
        self.loop.overrides_changed([endpoint])
        if self.links is not None:
            self.links.say(endpoint)
        self.log("ban", server=endpoint, out=is_ejected)
        return 200

    def stats(self) -> dict[str, Any]:
        """The figures that staff asks for, as they are now."""
        metrics, pool = self.loop.metrics, self.loop.pool
        return {
            "responses": metrics.by_class(self.config.kinds),
            "tries": sum(metrics.attempts),
            "active": self.door.active(),
            "pool_size": len(pool.backends),
            "pool_ejected": self.loop.ejected(),
        }

    def begin(self) -> None:
        """Learn of the backends, then let clients come."""
        self.start()
        self.reactor.callLater(OPEN_S, self.open)

    def open(self) -> None:
        """Bind the addresses, as the start's work is done.  Guards the clients' time: a port that is bound
        before lets the kernel accept connections, and what they ask lies unread while it counts."""
        try:
            self.listen()
        except (OSError, CannotListenError) as fault:
            self.log("start", level="error", what=f"{type(fault).__name__}: {fault}")
            self.status_code = 2
            self.reactor.stop()
        else:
            if self.grpc is not None:
                self.task(self.grpc.start())
            self.set_ready(self.heard)

    def start(self) -> None:
        """Learn of the backends."""
        if self.config.known:
            self.loop.told(self.config.generation or 0, True, self.config.known)
            self.reactor.callLater(KNOWN_S, self.set_ready)
        self.director.start()
        self.reactor.callLater(SWEEP_S, self.sweep)
        self.reactor.callLater(TALLY_S, self.tell)

    def told(self, generation: int, full: bool, entries: list[dict[str, Any]]) -> None:
        """The director's word."""
        self.loop.told(generation, full, entries)
        self.heard = True
        self.set_ready()

    def set_ready(self, heard: bool = True) -> None:
        """Clients may come, if the addresses are bound: backends are known."""
        listens = self.door.port is not None or self.waiting
        if heard and listens and self.status is Status.STARTING and self.loop.pool.backends:
            self.show(Status.READY)
            if self.incarnation is not None:
                self.incarnation.announce_ready()
            self.log("ready", backends=len(self.loop.pool.backends))

    def ready(self) -> bool:
        """Whether requests are taken; they are for a while after SIGTERM too."""
        return self.status is not Status.STARTING

    def tell_status(self) -> tuple[Status, float]:
        """For other balancers: how the limiter is, and the part of the requests that it lets in."""
        return self.status, self.loop.core.limiter.shedder.admission_probability

    def show(self, status: Status) -> None:
        """Change the status, at every listener."""
        self.status = status
        if self.grpc is not None:
            self.task(self.grpc.tell(status))

    def task(self, work: Coroutine[Any, Any, None]) -> Any:
        """Start something on the event loop; a fault of it is logged."""
        task = self.asyncio_loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)
        return task

    def task_ended(self, task: Any) -> None:
        """Keep no finished task; a front that can't listen ends the program, as any other would."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.log("grpc", level="error", what=f"{type(error).__name__}: {error}")
            self.status_code = 2
            self.reactor.stop()

    def sweep(self) -> None:
        """House-keeping, again and again, also after a fault in it."""
        try:
            self.loop.sweep()
            self.door.sweep()
            if self.incarnation is not None:
                self.merge_overrides()
        finally:
            self.reactor.callLater(SWEEP_FULL_S if self.door.full else SWEEP_S, self.sweep)

    def tell(self) -> None:
        """Log what was done lately, again and again."""
        self.reactor.callLater(TALLY_S, self.tell)
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu = used.ru_utime + used.ru_stime
        core, limiter = self.loop.core, self.loop.core.limiter
        tally, core.counts = core.counts, {}
        self.log(
            "tally",
            cpu_ms=round(1000 * (cpu - self.cpu), 1),
            memory_mb=round(used.ru_maxrss / 1024, 1),
            sessions=len(self.door.sessions),
            connections=self.loop.pool.total_connections,
            open=len(core.open_requests),
            attempts=len(limiter.attempts),  # as the decisions have it,
            fetches=self.loop.pool.busy_connections(),  # and as the sockets do
            serving=[len(limiter.selector.endpoints), len(self.loop.pool.backends)],
            held=sum(len(t.queue.requests) for t in limiter.scheduler.active.values()),
            let_in=round(limiter.shedder.admission_probability, 3),
            usual_ms=round(limiter.estimates.latency_ms, 1),
            counts=dict(sorted(tally.items())),
            **(core.queue_adapter.queue.log_fields() if core.queue_adapter is not None else {}),
            **(self.links.told() if self.links is not None else {}),
            **({"admin": {str(s): n for s, n in self.admin.calls.items()}} if self.admin is not None else {}),
        )
        self.cpu = cpu

    def reload(self) -> None:
        """SIGHUP: read the configuration anew.  All of it is checked before anything is changed; a faulty
        one is logged by its key and the old one stays.  Director and counter move; no request is dropped."""
        try:
            new = self.reread()
        except ConfigError as error:
            self.log("configuration", level="error", what=str(error), kept=True)
            return
        moved, others = compare(self.config, new)
        if "discovery" in moved:
            self.director.move(new.director)
        if "counter" in moved:
            self.loop.move_counter(new.counter)
            self.config = replace(self.config, counter=new.counter)
        self.config = self.loop.config = replace(self.config, director=new.director)
        self.log("reloaded", moved=moved, at_next_start=others)

    def stop(self, signalled_at: float | None = None) -> None:
        """SIGTERM: go on for a moment, finish what was taken, end.

        `signalled_at`: when it came (ms of the loop's clock); now, if it is not given.  Clients keep sending
        on open connections until the kill, and what came late must not be open then: all is answered before.
        """
        if self.status is not Status.DRAINING:
            signalled_at = self.loop.clock() if signalled_at is None else signalled_at
            self.loop.core.answer_all_by(signalled_at + 1000.0 * (self.kill_after_s() - KILL_MARGIN_S))
            self.show(Status.DRAINING)
            self.log("stopping", open=len(self.loop.core.open_requests))
            if self.incarnation is not None and self.incarnation.has_successor():
                self.hand_over()
            else:
                self.reactor.callLater(LINGER_S, self.finish)

    def kill_after_s(self) -> float:
        """How long after SIGTERM this process may be killed at the earliest."""
        longest_ms = max(kind.deadline_ms for kind in self.config.settings.request_classes)
        return min(longest_ms / 1000.0, KILL_AFTER_MOST_S) + LINGER_S

    def finish(self) -> None:
        """Take nothing new; end once all is answered."""
        self.door.shut(shared=self.config.inherited is not None)
        if self.grpc is not None:
            self.task(self.grpc.stop(self.kill_after_s() - LINGER_S))
        self.wait()

    def wait(self) -> None:
        """Until the last session has its answers, and the decisions have heard of every end."""
        self.door.shut_on()
        core = self.loop.core
        hears_ends = bool(core.inbox and core.limiter.attempts)
        if self.door.sessions or self.tasks or hears_ends:
            self.reactor.callLater(0.02, self.wait)
        else:
            counts = dict(sorted(core.counts.items()))  # since the last tally
            attempts = len(core.limiter.attempts)
            self.log("stopped", open=len(core.open_requests), attempts=attempts, counts=counts)
            if self.links is not None:
                self.links.stop()
            self.director.stop()
            self.reactor.stop()


def observe(event: LogEvent) -> None:
    """Twisted's own log: faults in network code, as one JSON line each; the rest is chatter."""
    if event.get("log_level") in (LogLevel.error, LogLevel.critical):
        failure = event.get("log_failure")
        trace = failure.getTraceback() if failure is not None else ""
        log("fault", level="error", what=formatEvent(event), trace=trace)


def main() -> int:
    """Run one limiter."""
    early: list[int] = []  # guards the start: a SIGHUP that comes before anything can follow it waits
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        config = read_config()
    except ConfigError as error:
        log("configuration", level="error", what=str(error))
        return 2
    if config.fronts.external_authorization or config.fronts.grpc_health:
        import asyncio  # grpc.aio needs its loop; without it, epoll alone costs less

        from twisted.internet import asyncioreactor

        install: Any = asyncioreactor.install
        install(asyncio.new_event_loop())
    from twisted.internet import reactor

    run: Any = reactor
    try:
        program = Program(config, run, log=Bounded())
    except (OSError, ImportError) as fault:
        log("start", level="error", what=f"{type(fault).__name__}: {fault}")
        return 2
    observer: Any = observe
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    run.callWhenRunning(program.begin)

    def on_sigterm(number: int, frame: Any) -> None:
        run.callFromThread(program.stop, program.loop.clock())

    def on_sighup(number: int, frame: Any) -> None:
        run.callFromThread(program.reload)

    run.callWhenRunning(signal.signal, signal.SIGTERM, on_sigterm)
    run.callWhenRunning(signal.signal, signal.SIGHUP, on_sighup)
    run.callWhenRunning(lambda: program.reload() if early else None)
    gc.collect()
    gc.freeze()  # what is there now stays: it need not be looked through again
    run.run()
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # the interpreter's end would take one for its own
    return program.status_code


if __name__ == "__main__":
    sys.exit(main())
