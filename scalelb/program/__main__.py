"""Starts and stops one limiter: `python -m scalelb.program`."""

from __future__ import annotations

import gc
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.error import CannotListenError
from twisted.logger import LogEvent, LogLevel, formatEvent, globalLogBeginner

from scalelb.policy.handover import apply_handover, export_handover
from scalelb.program.config import Config, ConfigError, compare, read_config
from scalelb.program.log import RateLimitedLog, log
from scalelb.program.loop import Loop, unix_clock
from scalelb.program.predecessor import Incarnation
from scalelb.protocol.agentcheck import Status
from scalelb.transport.admin import AdminListener
from scalelb.transport.director import DiscoveryClient
from scalelb.transport.listener import RespListener
from scalelb.transport.pace import PollBackoff
from scalelb.transport.status import StatusFactory
from scalelb.transport.stream import Log, host_port

if TYPE_CHECKING:
    from scalelb.program.peer_connections import PeerConnections
    from scalelb.transport.authz.front import GrpcFront

# Seconds between sweeps of connections, between sweeps while new clients wait, and between tally log lines.
SWEEP_INTERVAL_S, FULL_SWEEP_INTERVAL_S, TALLY_INTERVAL_S = 0.25, 0.03, 5.0
# A limiter that starts with a configured endpoint list waits this long for discovery's first answer.
FIRST_LIST_TIMEOUT_S = 0.6
HANDOVER_TIMEOUT_S = 2.0  # A predecessor that received SIGTERM hands over within this time.
HANDOVER_POLL_INTERVAL_S = 0.01
# Two incarnations run at once for at most this long: the longest deadline (up to 3 s) plus 0.7 s of grace.
MAX_OVERLAP_S = 4.0
LISTEN_DELAY_S = 0.005  # The reactor has completed one iteration by then.
# Seconds after SIGTERM in which requests are still accepted: load balancers have not noticed the drain yet.
SHUTDOWN_GRACE_S = 0.7
# After `SHUTDOWN_GRACE_S` the kill is delayed by the longest deadline, but by no more than this.
MAX_DRAIN_S = 3.0
# Seconds before the kill by which all answers are sent: the limiter may be stalled for 0.15 s.
KILL_MARGIN_S = 0.25
BACKLOG = 512  # Connections that the kernel queues for each listener.


class Program:
    """One limiter process, from start to stop."""

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
        self.listener = RespListener(
            self.loop.core,
            list(config.kinds),
            list(config.plans),
            self.ready,
            log,
            call_in_next_round=lambda function: reactor.callLater(0, function),
            max_sessions=config.max_sessions,
            max_open_request_bytes=config.max_open_request_bytes,
            max_read_ahead_bytes=config.max_read_ahead_bytes,
            expected_connections=config.sockets // 3,
            has_other_listener=bool(fronts.external_authorization),
            metrics=self.loop.metrics,
            max_shared_requests=2 * config.max_backend_connections,
            max_input_bytes=config.max_input_bytes,
        )
        self.incarnation: Incarnation | None = None  # None without a folder shared with other incarnations
        if config.shared:
            self.incarnation = Incarnation(config.shared, log)
            self.incarnation.register()
            self.merge_overrides()
            self.incarnation.remove_stale_files()
        self.peer_connections: PeerConnections | None = None
        if config.peers is not None:
            from scalelb.program.peer_connections import PeerConnections

            self.peer_connections = PeerConnections(reactor, self.loop, config.name, config.peers, self.log)
        # Reactor time at which the wait for the predecessor's handover began; 0: there is none.
        self.waiting_since_s = 0.0
        self.admin: AdminListener | None = None
        if fronts.external_authorization or fronts.grpc_health:
            from scalelb.transport.authz.front import Authorization, GrpcFront

            check = Authorization(self.loop.core, config.kinds, config.plans, self.ready, log)
            self.grpc = GrpcFront(check, fronts.external_authorization, fronts.grpc_health, log)
        max_silence_ms = (
            config.settings.discovery_silence_ms if config.settings.subscribes_to_endpoints else 0.0
        )
        pace = PollBackoff(config.settings.limiter_count, Random(f"director {config.seed}"), max_silence_ms)
        self.discovery = DiscoveryClient(
            reactor, config.director, config.generation, self.on_endpoint_list, log, pace
        )
        self.has_endpoint_list = False  # whether discovery has answered
        self.cpu_s = 0.0  # CPU time of the process at the last tally
        self.sweep_due_s = 0.0  # reactor time at which the next sweep is due
        self.max_lag_s = 0.0  # longest delay of a sweep since the last tally
        self.tasks: set[Any] = set()
        self.status_code = 0
        self.reread: Callable[[], Config] = lambda: read_config(is_reload=True)

    def listen(self) -> None:
        """Bind the addresses."""
        has_running_predecessor = self.incarnation is not None and self.incarnation.predecessor != 0
        if has_running_predecessor and self.config.inherited is not None:
            self.halve_connection_limits()
            self.waiting_since_s = self.reactor.seconds()
            self.take_over()
        else:
            self.accept_clients()
        if self.peer_connections is not None:
            self.listen_for_peers()
        if self.config.admin:
            host, port = host_port(self.config.admin)
            self.admin = AdminListener(self.reactor, self, self.log)
            self.ports["admin"] = self.reactor.listenTCP(port, self.admin, BACKLOG, host)
        fronts = self.config.fronts
        for name, address in (("agent_check", fronts.agent_check), ("http_health", fronts.http_health)):
            if address:
                host, port = host_port(address)
                factory = StatusFactory(
                    self.reactor, self.health_status, self.log, is_agent_check=name == "agent_check"
                )
                self.ports[name] = self.reactor.listenTCP(port, factory, BACKLOG, host)
        bound_ports = {name: port.getHost().port for name, port in self.ports.items()}
        client_port = self.listener.port
        number = client_port.getHost().port if client_port is not None else None
        self.log("started", name=self.config.name, port=number, fronts=bound_ports)

    def listen_for_peers(self) -> None:
        """Listen for peers. While a predecessor still holds the address, try again until it is released."""
        assert self.peer_connections is not None
        try:
            self.ports["peers"] = self.peer_connections.listen()
        except CannotListenError:
            if self.incarnation is None or not self.incarnation.predecessor_is_running():
                raise
            self.reactor.callLater(HANDOVER_POLL_INTERVAL_S, self.listen_for_peers)

    def accept_clients(self) -> None:
        """Accept clients on the socket inherited from the platform, or else on a socket of this process."""
        inherited_descriptor = self.config.inherited
        if inherited_descriptor is None:
            host, port = host_port(self.config.listen)
            self.listener.port = self.reactor.listenTCP(port, self.listener, BACKLOG, host)
            return
        with socket.socket(fileno=os.dup(inherited_descriptor)) as inherited:
            inherited.setblocking(False)
            self.listener.port = self.reactor.adoptStreamPort(
                inherited.fileno(), inherited.family, self.listener
            )

    # Two incarnations of one limiter

    def take_over(self) -> None:
        """Accept clients once the predecessor has handed over or ended, or the wait for it has timed out.

        While the predecessor serves, the unspent units belong to it: otherwise both would spend them."""
        incarnation = self.incarnation
        assert incarnation is not None
        if self.listener.is_closing:
            return
        # Checked before the handover is read: the predecessor may write it and end in between.
        predecessor_runs = incarnation.predecessor_is_running()
        handover = incarnation.read_handover()
        is_timed_out = self.ready() and self.reactor.seconds() - self.waiting_since_s > HANDOVER_TIMEOUT_S
        if not self.ready() or (predecessor_runs and handover is None and not is_timed_out):
            if not self.ready():
                self.waiting_since_s = self.reactor.seconds()
            self.reactor.callLater(HANDOVER_POLL_INTERVAL_S, self.take_over)
            return
        now = self.loop.clock()
        limiter = self.loop.core.limiter
        restored, faulty = apply_handover(limiter, handover, now) if handover else (0, 0)
        if handover is None and predecessor_runs:
            # The predecessor still grants quota: no tenant may get a second, full balance here.
            limiter.tenants.records.unknown_start_empty_until = now + 1000 * MAX_OVERLAP_S
        self.accept_clients()
        has_handover = handover is not None
        self.log("taken over", lives=predecessor_runs, told=has_handover, entries=restored, faulty=faulty)
        self.restore_connection_limits()

    def halve_connection_limits(self) -> None:
        """Halve the connection limits: while two incarnations run, they share the descriptors of one."""
        self.scale_connection_limits(0.5)

    def restore_connection_limits(self) -> None:
        """Restore the full connection limits once the predecessor has ended."""
        if self.incarnation is not None and self.incarnation.predecessor_is_running():
            self.reactor.callLater(SWEEP_INTERVAL_S, self.restore_connection_limits)
        else:
            self.scale_connection_limits(1.0)

    def scale_connection_limits(self, ratio: float) -> None:
        """Limit sessions and backend connections to `ratio` of what is configured."""
        self.listener.max_sessions = max(1, int(ratio * self.config.max_sessions))
        max_connections = max(1, int(ratio * self.config.max_backend_connections))
        self.loop.pool.limits = replace(self.loop.pool.limits, max_connections=max_connections)

    def hand_over(self) -> None:
        """Hand over to a successor that is ready: stop accepting, leave it the unspent units, and finish the
        requests in flight."""
        assert self.incarnation is not None
        self.loop.core.turn()
        handover = export_handover(self.loop.core.limiter, self.loop.clock())
        self.incarnation.hand_over(handover)
        if self.peer_connections is not None:
            self.peer_connections.stop()  # The successor binds the same address.
        self.loop.pool.close_idle_connections()
        self.halve_connection_limits()
        self.log("relieved", customers=len(handover["customers"]), open=len(self.loop.core.open_requests))
        self.finish()

    def merge_overrides(self) -> None:
        """Merge the manual overrides that other incarnations have published."""
        assert self.incarnation is not None
        overrides = self.loop.overrides
        copies = self.incarnation.read_overrides()
        changed = overrides.merge(copies)
        if changed:
            self.incarnation.publish_overrides(overrides.by_endpoint)
            self.loop.overrides_changed(changed)
            self.log("bans", joined=changed[:20], count=len(changed))

    def override_endpoint(self, endpoint: str, is_ejected: bool) -> int:
        """Eject an endpoint by manual override, or undo that; return an HTTP status.

        The status is 200 only once other incarnations can read the override: otherwise an upgrade would undo
        it."""
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
        if self.peer_connections is not None:
            self.peer_connections.publish_override(endpoint)
        self.log("ban", server=endpoint, out=is_ejected)
        return 200

    def stats(self) -> dict[str, Any]:
        """Return the current figures for the operator API."""
        metrics, pool = self.loop.metrics, self.loop.pool
        return {
            "responses": metrics.by_class(self.config.kinds),
            "tries": sum(metrics.attempts),
            "active": self.listener.active(),
            "pool_size": len(pool.backends),
            "pool_ejected": self.loop.ejected_count(),
        }

    def begin(self) -> None:
        """Start discovery, then open the listeners."""
        self.start()
        self.reactor.callLater(LISTEN_DELAY_S, self.open_listeners)

    def open_listeners(self) -> None:
        """Bind the addresses, now that the work of the start is done.

        On a port that is bound earlier, the kernel accepts connections whose requests stay unread while their
        deadlines run."""
        try:
            self.listen()
        except (OSError, CannotListenError) as fault:
            self.log("start", level="error", what=f"{type(fault).__name__}: {fault}")
            self.status_code = 2
            self.reactor.stop()
        else:
            if self.grpc is not None:
                self.start_task(self.grpc.start())
            self.set_ready(self.has_endpoint_list)

    def start(self) -> None:
        """Start discovery, housekeeping and the tally."""
        if self.config.known:
            self.loop.apply_endpoint_list(self.config.generation or 0, True, self.config.known)
            self.reactor.callLater(FIRST_LIST_TIMEOUT_S, self.set_ready)
        self.discovery.start()
        self.schedule_sweep(SWEEP_INTERVAL_S)
        self.reactor.callLater(TALLY_INTERVAL_S, self.log_tally)

    def on_endpoint_list(self, generation: int, is_complete: bool, entries: list[dict[str, Any]]) -> None:
        """Apply an endpoint list or a watch event from discovery."""
        self.loop.apply_endpoint_list(generation, is_complete, entries)
        self.has_endpoint_list = True
        self.set_ready()

    def set_ready(self, has_endpoint_list: bool = True) -> None:
        """Become ready, if the addresses are bound and backends are known."""
        is_listening = self.listener.port is not None or self.waiting_since_s
        if has_endpoint_list and is_listening and self.status is Status.STARTING and self.loop.pool.backends:
            self.set_status(Status.READY)
            if self.incarnation is not None:
                self.incarnation.announce_ready()
            self.log("ready", backends=len(self.loop.pool.backends))

    def ready(self) -> bool:
        """Whether requests are accepted; for a while after SIGTERM they are, too."""
        return self.status is not Status.STARTING

    def health_status(self) -> tuple[Status, float]:
        """Return the status and the admission probability, for the health checks of load balancers."""
        return self.status, self.loop.core.limiter.shedder.admission_probability

    def set_status(self, status: Status) -> None:
        """Change the status, and publish it through gRPC health."""
        self.status = status
        if self.grpc is not None:
            self.start_task(self.grpc.set_status(status))

    def start_task(self, work: Coroutine[Any, Any, None]) -> Any:
        """Start a coroutine on the asyncio event loop; an exception in it is logged."""
        task = self.asyncio_loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_end)
        return task

    def on_task_end(self, task: Any) -> None:
        """Drop a finished task. One that failed ends the program, as a listener that can't bind does."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.log("grpc", level="error", what=f"{type(error).__name__}: {error}")
            self.status_code = 2
            self.reactor.stop()

    def sweep(self) -> None:
        """Do the periodic housekeeping, and schedule the next run, also after an exception."""
        self.max_lag_s = max(self.max_lag_s, self.reactor.seconds() - self.sweep_due_s)
        try:
            self.loop.sweep()
            self.listener.sweep()
            if self.incarnation is not None:
                self.merge_overrides()
        finally:
            self.schedule_sweep(FULL_SWEEP_INTERVAL_S if self.listener.is_full else SWEEP_INTERVAL_S)

    def schedule_sweep(self, delay_s: float) -> None:
        """Schedule the next sweep, whose delay shows how long the event loop is held up."""
        self.sweep_due_s = self.reactor.seconds() + delay_s
        self.reactor.callLater(delay_s, self.sweep)

    def log_tally(self) -> None:
        """Log the activity since the last tally, and schedule the next one."""
        self.reactor.callLater(TALLY_INTERVAL_S, self.log_tally)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        core, limiter = self.loop.core, self.loop.core.limiter
        counts, core.counts = core.counts, {}
        self.log(
            "tally",
            cpu_ms=round(1000 * (cpu_s - self.cpu_s), 1),
            memory_mb=round(usage.ru_maxrss / 1024, 1),
            resident_mb=resident_mb(),
            lag_ms=round(1000 * self.max_lag_s, 1),
            input_bytes=self.listener.input_bytes,
            request_bytes=self.listener.open_request_bytes,
            closed=self.listener.session_metrics.take(),
            sessions=len(self.listener.sessions),
            connections=self.loop.pool.total_connections,
            open=len(core.open_requests),
            attempts=len(limiter.attempts),  # in flight, by the decision module's count
            fetches=self.loop.pool.busy_connections(),  # in flight, by the connection pool's count
            serving=[len(limiter.selector.endpoints), len(self.loop.pool.backends)],
            held=sum(len(t.queue.requests) for t in limiter.scheduler.active.values()),
            let_in=round(limiter.shedder.admission_probability, 3),
            usual_ms=round(limiter.estimates.latency_ms, 1),
            counts=dict(sorted(counts.items())),
            **(core.queue_adapter.queue.log_fields() if core.queue_adapter is not None else {}),
            **(self.peer_connections.log_fields() if self.peer_connections is not None else {}),
            **(
                {"admin": {str(s): n for s, n in self.admin.answer_counts.items()}}
                if self.admin is not None
                else {}
            ),
        )
        self.cpu_s = cpu_s
        self.max_lag_s = 0.0

    def reload(self) -> None:
        """Handle SIGHUP: read the configuration again.

        All of it is checked before anything changes. For a faulty one the key is logged, and the old one
        stays in use. New addresses of discovery and of the counter take effect; no request is dropped."""
        try:
            new = self.reread()
        except ConfigError as error:
            self.log("configuration", level="error", what=str(error), kept=True)
            return
        followed_keys, restart_keys = compare(self.config, new)
        if "discovery" in followed_keys:
            self.discovery.move(new.director)
        if "counter" in followed_keys:
            self.loop.move_counter(new.counter)
            self.config = replace(self.config, counter=new.counter)
        self.config = self.loop.config = replace(self.config, director=new.director)
        self.log("reloaded", moved=followed_keys, at_next_start=restart_keys)

    def stop(self, signalled_at: float | None = None) -> None:
        """Handle SIGTERM: accept requests for a moment longer, finish those accepted, end.

        `signalled_at` is the time of the signal (ms of the loop's clock); None means now. Clients keep
        sending on open connections until the kill, and late requests must not be in flight then: every
        request is answered before it.
        """
        if self.status is not Status.DRAINING:
            signalled_at = self.loop.clock() if signalled_at is None else signalled_at
            self.loop.core.answer_all_by(signalled_at + 1000.0 * (self.kill_after_s() - KILL_MARGIN_S))
            self.set_status(Status.DRAINING)
            self.log("stopping", open=len(self.loop.core.open_requests))
            if self.incarnation is not None and self.incarnation.has_successor():
                self.hand_over()
            else:
                self.reactor.callLater(SHUTDOWN_GRACE_S, self.finish)

    def kill_after_s(self) -> float:
        """Return the shortest time after SIGTERM in which this process may be killed."""
        longest_ms = max(kind.deadline_ms for kind in self.config.settings.request_classes)
        return min(longest_ms / 1000.0, MAX_DRAIN_S) + SHUTDOWN_GRACE_S

    def finish(self) -> None:
        """Stop accepting clients, and end once every request is answered."""
        self.listener.close(is_shared=self.config.inherited is not None)
        if self.grpc is not None:
            self.start_task(self.grpc.stop(self.kill_after_s() - SHUTDOWN_GRACE_S))
        self.wait_until_idle()

    def wait_until_idle(self) -> None:
        """Stop the reactor once every session has its answers and the decision module has processed the end
        of every attempt; until then, check again and again."""
        self.listener.close_idle_sessions()
        core = self.loop.core
        has_pending_ends = bool(core.inbox and core.limiter.attempts)
        if self.listener.sessions or self.tasks or has_pending_ends:
            self.reactor.callLater(0.02, self.wait_until_idle)
        else:
            counts = dict(sorted(core.counts.items()))  # since the last tally line
            attempts = len(core.limiter.attempts)
            self.log("stopped", open=len(core.open_requests), attempts=attempts, counts=counts)
            if self.peer_connections is not None:
                self.peer_connections.stop()
            self.discovery.stop()
            self.reactor.stop()


def resident_mb() -> float:
    """Return the memory that the process has now, in MB; 0 if the system does not tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return round(pages * resource.getpagesize() / (1024 * 1024), 1)


def log_twisted_error(event: LogEvent) -> None:
    """Log an error that Twisted reports, which is a fault in network code, as one JSON line.

    Twisted's other log events are dropped."""
    if event.get("log_level") in (LogLevel.error, LogLevel.critical):
        failure = event.get("log_failure")
        trace = failure.getTraceback() if failure is not None else ""
        log("fault", level="error", what=formatEvent(event), trace=trace)


def main() -> int:
    """Run one limiter; return the exit status."""
    # SIGHUPs received during the start; the reload follows once the reactor runs.
    early_sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_sighups.append(number))
    try:
        config = read_config()
    except ConfigError as error:
        log("configuration", level="error", what=str(error))
        return 2
    if config.fronts.external_authorization or config.fronts.grpc_health:
        import asyncio  # grpc.aio needs asyncio's event loop; without gRPC, the epoll reactor costs less CPU

        from twisted.internet import asyncioreactor

        install: Any = asyncioreactor.install
        install(asyncio.new_event_loop())
    from twisted.internet import reactor

    untyped_reactor: Any = reactor
    try:
        program = Program(config, untyped_reactor, log=RateLimitedLog())
    except (OSError, ImportError) as fault:
        log("start", level="error", what=f"{type(fault).__name__}: {fault}")
        return 2
    observer: Any = log_twisted_error
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    untyped_reactor.callWhenRunning(program.begin)

    def on_sigterm(number: int, frame: Any) -> None:
        untyped_reactor.callFromThread(program.stop, program.loop.clock())

    def on_sighup(number: int, frame: Any) -> None:
        untyped_reactor.callFromThread(program.reload)

    untyped_reactor.callWhenRunning(signal.signal, signal.SIGTERM, on_sigterm)
    untyped_reactor.callWhenRunning(signal.signal, signal.SIGHUP, on_sighup)
    untyped_reactor.callWhenRunning(lambda: program.reload() if early_sighups else None)
    gc.collect()
    gc.freeze()  # Objects of the start live as long as the process: the collector need not visit them.
    untyped_reactor.run()
    for number in (signal.SIGTERM, signal.SIGHUP):
        # A signal during the interpreter's shutdown would otherwise change the exit status.
        signal.signal(number, signal.SIG_IGN)
    return program.status_code


if __name__ == "__main__":
    sys.exit(main())
