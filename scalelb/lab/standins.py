"""Stand-ins on loopback, in one process of their own: backends, the shared counter and discovery.

They follow the platform's protocol.  `python -m scalelb.lab.standins` reads one JSON object from standard
input (`Plan`), binds free ports, writes one line of JSON with the addresses, and then reads commands, one
JSON object per line: `{"counter": "silent" | "empty" | "well"}`, `{"discovery": "silent" | "well"}`,
`{"drain": NAME}`, `{"gone": NAME}`, `{"hang": NAME}`, `{"well": NAME}`, `{"reset": NAME}`, `{"tell": true}`.
The process ends when its standard input is closed.
"""

from __future__ import annotations

import random
import re
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
from twisted.internet import stdio
from twisted.internet.protocol import Factory, ServerFactory, connectionDone
from twisted.protocols.basic import LineReceiver

from scalelb.protocol import MalformedError, http, resp
from scalelb.transport.stream import Stream

MAX_HOLD_MS = 60_000.0  # for which a watch of the endpoint list stays open without a change
DELTA_PATTERN = re.compile(r"-?[0-9]{1,12}(?:\.[0-9]{1,12})?")
MAX_DELTA = 1e9
MAX_RECORDED_EVENTS = 500_000
CLOSE_DETECTION_S = 0.05  # within this time the end of a connection has been read


@dataclass(frozen=True)
class BackendSpec:
    """One backend: its cores, their speed, the capacity of its queue (`room`), and its warm-up.

    A backend starts at the ratio `cold_from` of its speed and reaches its full speed after `cold_ms`; with a
    ratio of 1 it is warm from the start.
    """

    name: str
    cores: int
    speed: float
    room: int
    cold_from: float = 1.0
    cold_ms: float = 1.0


@dataclass(frozen=True)
class Plan:
    """All stand-ins of a run.  `work_ms` is the work per unit, by class.

    If `true_per_guess` is above 0, each reply reports that many actual units per estimated unit; if
    `used_percent` is 0 or more, each reply reports that use of the tenant's quota.
    """

    backends: tuple[BackendSpec, ...]
    work_ms: dict[str, float]
    counter_ms: float = 1.0
    record: bool = False  # whether each attempt and its end are recorded
    true_per_guess: float = 0.0
    used_percent: float = -1.0

    @classmethod
    def read(cls, options: dict[str, Any]) -> Plan:
        """Return the plan that a JSON object describes."""
        backends = tuple(BackendSpec(**backend) for backend in options["decks"])
        more = options.get("counter_ms", 1.0), options.get("record", False)
        figures = options.get("true_per_guess", 0.0), options.get("used_percent", -1.0)
        return cls(backends, options["work_ms"], *more, *figures)

    def usage(self, estimated_units: float) -> bytes:
        """Return the element of a reply that reports usage; a null element if no figure is configured."""
        items = [b"used=%g" % self.used_percent] if self.used_percent >= 0 else []
        items += [b"cost=%g" % (self.true_per_guess * estimated_units)] if self.true_per_guess > 0 else []
        text = b",".join(items)
        return b"$%d\r\n%s\r\n" % (len(text), text) if text else b"$-1\r\n"


@dataclass(eq=False)
class Job:
    """A request that a backend has received."""

    session: BackendSession
    ident: bytes
    work_ms: float
    units: float = 0.0  # as the client estimated them
    reply: bytes = b""  # empty until the job is done


class Backend(ServerFactory):
    """A backend.

    Each core serves one request at a time, in the order of arrival; the answers on a connection are sent in
    the order of its commands.
    """

    noisy = False

    def __init__(self, reactor: Any, spec: BackendSpec, plan: Plan) -> None:
        self.reactor, self.spec, self.plan = reactor, spec, plan
        self.work_ms = {name.encode(): ms for name, ms in plan.work_ms.items()}
        self.started_at = reactor.seconds()
        self.running = 0
        self.waiting: deque[Job] = deque()
        self.is_draining = False
        self.counts = {"taken": 0, "served": 0, "busy": 0, "malformed": 0, "twice": 0, "after_drain": 0}
        self.unfinished: dict[bytes, Job] = {}  # waiting and running jobs by request id
        self.drain_at = 0.0  # when draining began
        self.events: list[dict[str, Any]] | None = None  # attempts and their ends; None: not recorded
        self.session_count = 0
        self.open_sessions: set[BackendSession] = set()
        self.is_hanging = False  # sends no answers

    def set_hanging(self, is_hanging: bool) -> None:
        """Stop or resume sending answers; those of jobs done in the meantime are sent on resuming."""
        self.is_hanging = is_hanging
        for session in list(self.open_sessions):
            session.flush()

    def reset(self) -> None:
        """Abort all connections."""
        for session in list(self.open_sessions):
            session.abort()

    def buildProtocol(self, addr: Any) -> BackendSession:  # noqa: N802
        """Accept a limiter's connection."""
        self.session_count += 1
        return BackendSession(self)

    def note(self, what: str, job: Job, **fields: Any) -> None:
        """Record an event of an attempt."""
        if self.events is not None and job.ident and len(self.events) < MAX_RECORDED_EVENTS:
            at, link = time.time() * 1000.0, job.session.number
            event = {
                "what": what,
                "ident": job.ident.decode(),
                "at": at,
                "deck": self.spec.name,
                "link": link,
            }
            self.events.append({**event, **fields})

    def speed(self) -> float:
        """Return the current speed of a core, which is lower while the backend is warming up."""
        spec = self.spec
        age: float = min(1.0, 1000.0 * (self.reactor.seconds() - self.started_at) / spec.cold_ms)
        return spec.speed * (spec.cold_from + (1.0 - spec.cold_from) * age)

    def receive(self, session: BackendSession, call: resp.Call) -> Job:
        """Run or queue the request of a complete command, or answer that the backend is busy."""
        work_ms = call.units * self.work_ms.get(call.class_name.encode(), 1.0)
        job = Job(session, call.request_id, work_ms, call.units)
        self.counts["taken"] += 1
        self.note(
            "take", job, customer=f"{int(call.tenant, 16):016x}", units=call.units, key=call.idempotency_key
        )
        if self.is_draining and self.reactor.seconds() - self.drain_at > 1.0:
            self.counts["after_drain"] += 1
        if (earlier := self.unfinished.get(call.request_id)) is not None:
            self.reactor.callLater(CLOSE_DETECTION_S, self._count_concurrent, earlier)
        if self.running < self.spec.cores:
            self.unfinished[call.request_id] = job
            self._begin(job)
        elif len(self.waiting) < self.spec.room and not self.is_draining:
            self.unfinished[call.request_id] = job
            self.waiting.append(job)
        else:
            self.counts["busy"] += 1
            job.reply = resp.busy()
        return job

    def _count_concurrent(self, earlier: Job) -> None:
        """Count a violation if the earlier attempt of a request was still in flight when another arrived.

        An attempt whose connection was closed is not in flight; the end of that connection may be read a
        moment after the next attempt has arrived on another."""
        self.counts["twice"] += not (earlier.session.is_closed or earlier.reply)

    def _begin(self, job: Job) -> None:
        self.running += 1
        self.reactor.callLater(job.work_ms / self.speed() / 1000.0, self._end, job)

    def _end(self, job: Job) -> None:
        self.running -= 1
        self._forget(job)
        self.counts["served"] += 1
        # The value names its request, so that a client detects the value of another request.
        value = b"%s %s" % (self.spec.name.encode(), job.ident)
        job.reply = b"*3\r\n$%d\r\n%s\r\n%s$-1\r\n" % (len(value), value, self.plan.usage(job.units))
        job.session.flush()
        while self.waiting and self.running < self.spec.cores:
            waiting = self.waiting.popleft()
            if waiting.session.is_closed:  # the limiter has abandoned the attempt: its job is dropped
                self._forget(waiting)
            else:
                self._begin(waiting)

    def _forget(self, job: Job) -> None:
        if self.unfinished.get(job.ident) is job:
            del self.unfinished[job.ident]


class BackendSession(Stream):
    """One connection from a limiter."""

    def __init__(self, backend: Backend) -> None:
        self.backend, self.reader = backend, resp.CommandReader()
        self.number = backend.session_count
        self.unanswered: deque[Job] = deque()  # in the order of their commands

    def connectionMade(self) -> None:  # noqa: N802
        """Register the open connection."""
        super().connectionMade()
        self.backend.open_sessions.add(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process the commands of a limiter."""
        try:
            for command in self.reader.feed(data):
                if command.name in (resp.CALL_GET, resp.CALL_POST):
                    self.unanswered.append(self.backend.receive(self, resp.Call.read(command)))
                else:
                    answer = resp.PONG if command.name == b"PING" else resp.error("unknown command")
                    self.unanswered.append(Job(self, b"", 0.0, reply=answer))
            self.flush()
        except MalformedError:
            self.backend.counts["malformed"] += 1
            self.send(b"-SYNTAX\r\n")
            self.close()

    def flush(self) -> None:
        """Send the answers that are ready, in the order of the commands."""
        while self.unanswered and self.unanswered[0].reply and not self.backend.is_hanging:
            job = self.unanswered.popleft()
            self.backend.note("end", job)
            self.send(job.reply)

    def lost(self) -> None:
        """Record the end of the attempts that were open on the connection."""
        self.backend.open_sessions.discard(self)
        for job in self.unanswered:
            self.backend.note("end", job)


class HttpSession(Stream):
    """One connection to the counter or to discovery; requests are answered in order."""

    def __init__(self, on_request: Callable[[HttpSession, str, str], None]) -> None:
        self.on_request = on_request
        self.reader = UrlReader(lambda method, url, keep_alive: on_request(self, method, url))

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process the requests of a limiter."""
        try:
            self.reader.feed(data)
        except MalformedError:
            self.send(http.response(400, "Bad Request", b""))
            self.close()

    def answer(self, body: bytes) -> None:
        """Send a response with status 200."""
        self.send(http.response(200, "OK", body))


class UrlReader(http.RequestReader):
    """Reads requests and passes on their URLs with the query, which the base class cuts off."""

    def on_message_complete(self) -> None:
        """Pass on a complete request."""
        url, self.url = self.url, b""
        self.handle_request(self.parser.get_method().decode(), url.decode("ascii", "replace"), True)


class Counter(Factory):
    """The shared counter.

    It serves one addition at a time; on command it stops answering or loses all numbers.
    """

    noisy = False

    def __init__(self, reactor: Any, service_ms: float) -> None:
        self.reactor, self.service_s = reactor, service_ms / 1000.0
        self.numbers: dict[str, float] = {}
        self.free_at = 0.0
        self.is_unresponsive = False
        self.calls = 0
        self.units = 0.0  # sum of all additions

    def buildProtocol(self, addr: Any) -> HttpSession:  # noqa: N802
        """Accept a limiter's connection."""
        return HttpSession(self.handle_request)

    def handle_request(self, session: HttpSession, method: str, url: str) -> None:
        """Check a call and add its delta once the additions before it are done."""
        parts = urlsplit(url)
        query = parse_qs(parts.query)
        name, delta = parts.path.removeprefix("/v2/numbers/"), query.get("delta", [""])[0]
        if method != "POST" or not 1 <= len(name) <= 64 or DELTA_PATTERN.fullmatch(delta) is None:
            session.send(http.response(400, "Bad Request", b""))
            return
        self.calls += 1
        if self.is_unresponsive:
            return
        if abs(float(delta)) > MAX_DELTA:
            session.send(http.response(400, "Bad Request", b""))
            return
        self.free_at = max(self.reactor.seconds(), self.free_at) + self.service_s
        wait_s = self.free_at - self.reactor.seconds()
        self.reactor.callLater(wait_s, self._add, session, name, float(delta))

    def _add(self, session: HttpSession, name: str, delta: float) -> None:
        self.numbers[name] = self.numbers.get(name, 0.0) + delta
        self.units += delta
        session.answer(f"{self.numbers[name]:.6f}".encode())

    def set_state(self, state: str) -> None:
        """Stop answering (`silent`), lose all numbers (`empty`), or work normally (`well`)."""
        self.is_unresponsive = state == "silent"
        if state == "empty":
            self.numbers.clear()


@dataclass(eq=False)
class Discovery(Factory):
    """Discovery: sends the complete endpoint list, or answers a watch at the next change."""

    reactor: Any
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    generation: int = 1
    watches: dict[HttpSession, tuple[int, Any]] = field(default_factory=dict)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    is_unresponsive: bool = False
    noisy = False

    def buildProtocol(self, addr: Any) -> HttpSession:  # noqa: N802
        """Accept a limiter's connection."""
        return HttpSession(self.handle_request)

    def handle_request(self, session: HttpSession, method: str, url: str) -> None:
        """Send the endpoint list or the changes since a generation, or hold a watch open."""
        if self.is_unresponsive:
            return
        query = parse_qs(urlsplit(url).query)
        if "from" not in query:
            self._send_entries(session, True, list(self.entries.values()))
            return
        known = int(query["from"][0])
        hold_ms = min(MAX_HOLD_MS, float(query.get("hold_ms", ["0"])[0]))
        if known < self.generation:
            self._send_entries(session, False, [entry for at, entry in self.changes if at > known])
        else:
            timeout = self.reactor.callLater(hold_ms / 1000.0, self._end_watch, session)
            self.watches[session] = known, timeout

    def update_entry(self, name: str, lifecycle: str) -> None:
        """Change the lifecycle of an entry and answer all watches."""
        self.generation += 1
        entry = {**self.entries[name], "lifecycle": lifecycle}
        self.changes.append((self.generation, entry))
        if lifecycle == "gone":
            del self.entries[name]
        else:
            self.entries[name] = entry
        for session, (_, timeout) in list(self.watches.items()):
            timeout.cancel()
            del self.watches[session]
            self._send_entries(session, False, [entry])

    def _end_watch(self, session: HttpSession) -> None:
        if self.watches.pop(session, None) is not None:
            self._send_entries(session, False, [])

    def _send_entries(self, session: HttpSession, is_complete: bool, entries: list[dict[str, Any]]) -> None:
        answer = {"generation": self.generation, "reset": is_complete, "instances": entries}
        session.answer(orjson.dumps(answer))


class StandIns:
    """All stand-ins of a run."""

    def __init__(self, reactor: Any, plan: Plan) -> None:
        self.reactor = reactor
        self.backends = {spec.name: Backend(reactor, spec, plan) for spec in plan.backends}
        self.events: list[dict[str, Any]] = []
        for backend in self.backends.values():
            backend.events = self.events if plan.record else None
        self.counter, self.discovery = Counter(reactor, plan.counter_ms), Discovery(reactor)
        self.addresses: dict[str, Any] = {}

    def listen(self, unix_ms: float) -> dict[str, Any]:
        """Bind free ports of 127.0.0.1 and return the addresses."""
        for name, backend in self.backends.items():
            port = self.reactor.listenTCP(0, backend, 512, "127.0.0.1").getHost().port
            is_cold = backend.spec.cold_from < 1.0
            self.discovery.entries[name] = {
                "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "std",
                "cell": 0, "lifecycle": "ready", "weight": 1.0,
                "startedAtMs": round(unix_ms) if is_cold else 0,
            }  # fmt: skip
        ports = [self.reactor.listenTCP(0, f, 512, "127.0.0.1") for f in (self.discovery, self.counter)]
        discovery, counter = (f"127.0.0.1:{port.getHost().port}" for port in ports)
        self.addresses = {"discovery": discovery, "counter": counter}
        return self.addresses

    def execute_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command and return its answer, which is empty for all commands but `tell`."""
        if state := command.get("counter"):
            self.counter.set_state(state)
        if state := command.get("discovery"):
            self.discovery.is_unresponsive = state == "silent"
        for key, is_hanging in (("hang", True), ("well", False)):
            if name := command.get(key):
                self.backends[name].set_hanging(is_hanging)
        if name := command.get("reset"):
            self.backends[name].reset()
        for key, lifecycle in (("drain", "draining"), ("gone", "gone")):
            if name := command.get(key):
                self.backends[name].is_draining, self.backends[name].drain_at = True, self.reactor.seconds()
                self.discovery.update_entry(name, lifecycle)
        return self.report() if command.get("tell") else {}

    def report(self) -> dict[str, Any]:
        """Return what the stand-ins have counted and recorded, including violations of rules."""
        counts = {name: backend.counts for name, backend in self.backends.items()}
        recorded = {"seen": self.events} if self.events else {}
        return {
            "decks": counts,
            **recorded,
            "counter": {"calls": self.counter.calls, "units": self.counter.units},
        }


class ControlChannel(LineReceiver):
    """Reads the plan and then commands from standard input, and writes answers to standard output."""

    delimiter = b"\n"
    MAX_LENGTH = 1024 * 1024

    def __init__(self, reactor: Any, unix_ms: Callable[[], float]) -> None:
        self.reactor, self.unix_ms = reactor, unix_ms
        self.standins: StandIns | None = None

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Start the stand-ins with the plan of the first line; execute the command of any other line."""
        message = orjson.loads(line)
        if self.standins is None:
            self.standins = StandIns(self.reactor, Plan.read(message))
            self.write_line(self.standins.listen(self.unix_ms()))
        elif answer := self.standins.execute_command(message):
            self.write_line(answer)

    def write_line(self, answer: dict[str, Any]) -> None:
        """Write one line to standard output."""
        transport: Any = self.transport
        transport.write(orjson.dumps(answer) + b"\n")

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Stop when the parent process has closed standard input."""
        if self.reactor.running:
            self.reactor.stop()


def draw_speeds(count: int, min_speed: float, max_speed: float, seed: int) -> list[float]:
    """Draw the speed of the cores of each backend of a fleet."""
    rng = random.Random(seed)
    return [round(rng.uniform(min_speed, max_speed), 3) for _ in range(count)]


def main() -> int:
    """Run the stand-ins of one run."""
    from twisted.internet import reactor

    any_reactor: Any = reactor
    standard_io: Any = stdio.StandardIO
    standard_io(ControlChannel(any_reactor, lambda: time.time() * 1000.0))
    any_reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
