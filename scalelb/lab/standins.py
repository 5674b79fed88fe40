"""Stand-ins on loopback, in one process of their own: deck servers, counter and director.

Written from the platform's protocol.  `python -m scalelb.lab.standins` reads one JSON object from standard
input (`Plan`), binds free ports, writes one line of JSON with the addresses, and then takes commands, one
JSON object a line: `{"counter": "silent" | "empty" | "well"}`, `{"discovery": "silent" | "well"}`,
`{"drain": NAME}`, `{"gone": NAME}`, `{"hang": NAME}`, `{"well": NAME}`, `{"reset": NAME}`, `{"tell": true}`.
It ends with its standard input.
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

HOLD_MOST_MS = 60_000.0
DELTA = re.compile(r"-?[0-9]{1,12}(?:\.[0-9]{1,12})?")
AMOUNT_MOST = 1e9
SEEN_MOST = 500_000
CLOSE_S = 0.05  # in which the end of a connection has been read


@dataclass(frozen=True)
class BackendSpec:
    """One deck server: its cores, their speed, its waiting room, and whether it starts with the run."""

    name: str
    cores: int
    speed: float
    room: int
    cold_from: float = 1.0
    cold_ms: float = 1.0


@dataclass(frozen=True)
class Plan:
    """All stand-ins of a run.  `work_ms` is a unit's work by class.

    With `true_per_guess` above 0, every answer tells that many true units for each unit of the guess; with
    `used_percent` of 0 or more, it tells that use of the customer's quota.
    """

    backends: tuple[BackendSpec, ...]
    work_ms: dict[str, float]
    counter_ms: float = 1.0
    record: bool = False  # keep every attempt that was seen
    true_per_guess: float = 0.0
    used_percent: float = -1.0

    @classmethod
    def read(cls, options: dict[str, Any]) -> Plan:
        """From JSON."""
        decks = tuple(BackendSpec(**deck) for deck in options["decks"])
        more = options.get("counter_ms", 1.0), options.get("record", False)
        figures = options.get("true_per_guess", 0.0), options.get("used_percent", -1.0)
        return cls(decks, options["work_ms"], *more, *figures)

    def usage(self, guess: float) -> bytes:
        """The figures on use of an answer, as an element of it; null where none are asked for."""
        items = [b"used=%g" % self.used_percent] if self.used_percent >= 0 else []
        items += [b"cost=%g" % (self.true_per_guess * guess)] if self.true_per_guess > 0 else []
        text = b",".join(items)
        return b"$%d\r\n%s\r\n" % (len(text), text) if text else b"$-1\r\n"


@dataclass(eq=False)
class Job:
    """A request that a deck server has taken."""

    session: BackendSession
    ident: bytes
    work_ms: float
    units: float = 0.0  # by the client's guess
    reply: bytes = b""  # once it is done


class Backend(ServerFactory):
    """A deck server.  Its cores serve one request each, in the order of arrival; on a connection, answers
    come in the order of the commands."""

    noisy = False

    def __init__(self, reactor: Any, spec: BackendSpec, plan: Plan) -> None:
        self.reactor, self.spec, self.plan = reactor, spec, plan
        self.work_ms = {name.encode(): ms for name, ms in plan.work_ms.items()}
        self.started = reactor.seconds()
        self.running = 0
        self.waiting: deque[Job] = deque()
        self.drains = False
        self.tally = {"taken": 0, "served": 0, "busy": 0, "malformed": 0, "twice": 0, "after_drain": 0}
        self.inside: dict[bytes, Job] = {}  # by id: what waits or runs
        self.drained_at = 0.0
        self.seen: list[dict[str, Any]] | None = None  # attempts and their ends, where they are kept
        self.sessions = 0
        self.open_sessions: set[BackendSession] = set()
        self.hangs = False  # answers nothing

    def become(self, hangs: bool) -> None:
        """Answer nothing from now on, or again; what was done meanwhile is answered then."""
        self.hangs = hangs
        for session in list(self.open_sessions):
            session.flush()

    def reset(self) -> None:
        """End all connections."""
        for session in list(self.open_sessions):
            session.abort()

    def buildProtocol(self, addr: Any) -> BackendSession:  # noqa: N802
        """A limiter connects."""
        self.sessions += 1
        return BackendSession(self)

    def note(self, what: str, job: Job, **more: Any) -> None:
        """Keep what was seen of an attempt."""
        if self.seen is not None and job.ident and len(self.seen) < SEEN_MOST:
            at, link = time.time() * 1000.0, job.session.number
            told = {"what": what, "ident": job.ident.decode(), "at": at, "deck": self.spec.name, "link": link}
            self.seen.append({**told, **more})

    def speed(self) -> float:
        """Of a core now: a server that has just started is slow at first."""
        spec = self.spec
        age: float = min(1.0, 1000.0 * (self.reactor.seconds() - self.started) / spec.cold_ms)
        return spec.speed * (spec.cold_from + (1.0 - spec.cold_from) * age)

    def take(self, session: BackendSession, call: resp.Call) -> Job:
        """A whole command has come."""
        work_ms = call.units * self.work_ms.get(call.kind.encode(), 1.0)
        job = Job(session, call.ident, work_ms, call.units)
        self.tally["taken"] += 1
        self.note("take", job, customer=f"{int(call.customer, 16):016x}", units=call.units, key=call.key)
        if self.drains and self.reactor.seconds() - self.drained_at > 1.0:
            self.tally["after_drain"] += 1
        if (earlier := self.inside.get(call.ident)) is not None:
            self.reactor.callLater(CLOSE_S, self._twice, earlier)
        if self.running < self.spec.cores:
            self.inside[call.ident] = job
            self._begin(job)
        elif len(self.waiting) < self.spec.room and not self.drains:
            self.inside[call.ident] = job
            self.waiting.append(job)
        else:
            self.tally["busy"] += 1
            job.reply = resp.busy()
        return job

    def _twice(self, earlier: Job) -> None:
        """The rule: never two attempts out.  One whose connection was given up is not out; the end of a
        connection may be read a moment after what was sent on another."""
        self.tally["twice"] += not (earlier.session.gone or earlier.reply)

    def _begin(self, job: Job) -> None:
        self.running += 1
        self.reactor.callLater(job.work_ms / self.speed() / 1000.0, self._end, job)

    def _end(self, job: Job) -> None:
        self.running -= 1
        self._leave(job)
        self.tally["served"] += 1
        # The value names the request it was made for, so that a client knows one made for another.
        value = b"%s %s" % (self.spec.name.encode(), job.ident)
        job.reply = b"*3\r\n$%d\r\n%s\r\n%s$-1\r\n" % (len(value), value, self.plan.usage(job.units))
        job.session.flush()
        while self.waiting and self.running < self.spec.cores:
            waiting = self.waiting.popleft()
            if waiting.session.gone:  # given up: waiting work is dropped
                self._leave(waiting)
            else:
                self._begin(waiting)

    def _leave(self, job: Job) -> None:
        if self.inside.get(job.ident) is job:
            del self.inside[job.ident]


class BackendSession(Stream):
    """One connection of a limiter."""

    def __init__(self, deck: Backend) -> None:
        self.deck, self.reader = deck, resp.CommandReader()
        self.number = deck.sessions
        self.order: deque[Job] = deque()

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        self.deck.open_sessions.add(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes of a limiter."""
        try:
            for command in self.reader.feed(data):
                if command.name in (resp.SAFE, resp.OTHER):
                    self.order.append(self.deck.take(self, resp.Call.read(command)))
                else:
                    answer = resp.PONG if command.name == b"PING" else resp.error("unknown command")
                    self.order.append(Job(self, b"", 0.0, reply=answer))
            self.flush()
        except MalformedError:
            self.deck.tally["malformed"] += 1
            self.send(b"-SYNTAX\r\n")
            self.close()

    def flush(self) -> None:
        """Answer what is done, in order."""
        while self.order and self.order[0].reply and not self.deck.hangs:
            job = self.order.popleft()
            self.deck.note("end", job)
            self.send(job.reply)

    def lost(self) -> None:
        """The limiter has ended the connection."""
        self.deck.open_sessions.discard(self)
        for job in self.order:
            self.deck.note("end", job)


class HttpSession(Stream):
    """One connection to counter or director: requests are answered in order."""

    def __init__(self, asked: Callable[[HttpSession, str, str], None]) -> None:
        self.asked = asked
        self.reader = Requests(lambda method, url, keep: asked(self, method, url))

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes of a limiter."""
        try:
            self.reader.feed(data)
        except MalformedError:
            self.send(http.response(400, "Bad Request", b""))
            self.close()

    def answer(self, body: bytes) -> None:
        """Say OK, with a body."""
        self.send(http.response(200, "OK", body))


class Requests(http.RequestReader):
    """Requests with their queries."""

    def on_message_complete(self) -> None:
        """A request is whole."""
        url, self.url = self.url, b""
        self.take(self.parser.get_method().decode(), url.decode("ascii", "replace"), True)


class Counter(Factory):
    """The shared counter: adds, after a service time in one line; silent or empty on command."""

    noisy = False

    def __init__(self, reactor: Any, service_ms: float) -> None:
        self.reactor, self.service_s = reactor, service_ms / 1000.0
        self.numbers: dict[str, float] = {}
        self.free_at = 0.0
        self.silent = False
        self.calls = 0
        self.units = 0.0  # added in all

    def buildProtocol(self, addr: Any) -> HttpSession:  # noqa: N802
        """A limiter connects."""
        return HttpSession(self.asked)

    def asked(self, session: HttpSession, method: str, url: str) -> None:
        """One call."""
        parts = urlsplit(url)
        query = parse_qs(parts.query)
        name, delta = parts.path.removeprefix("/v2/numbers/"), query.get("delta", [""])[0]
        if method != "POST" or not 1 <= len(name) <= 64 or DELTA.fullmatch(delta) is None:
            session.send(http.response(400, "Bad Request", b""))
            return
        self.calls += 1
        if self.silent:
            return
        if abs(float(delta)) > AMOUNT_MOST:
            session.send(http.response(400, "Bad Request", b""))
            return
        self.free_at = max(self.reactor.seconds(), self.free_at) + self.service_s
        wait = self.free_at - self.reactor.seconds()
        self.reactor.callLater(wait, self._added, session, name, float(delta))

    def _added(self, session: HttpSession, name: str, delta: float) -> None:
        self.numbers[name] = self.numbers.get(name, 0.0) + delta
        self.units += delta
        session.answer(f"{self.numbers[name]:.6f}".encode())

    def become(self, how: str) -> None:
        """Fall silent, come back empty, or be well."""
        self.silent = how == "silent"
        if how == "empty":
            self.numbers.clear()


@dataclass(eq=False)
class Discovery(Factory):
    """The director: the whole list, or a watch that is answered once something changes."""

    reactor: Any
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    generation: int = 1
    watches: dict[HttpSession, tuple[int, Any]] = field(default_factory=dict)
    changed: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    silent: bool = False
    noisy = False

    def buildProtocol(self, addr: Any) -> HttpSession:  # noqa: N802
        """A limiter connects."""
        return HttpSession(self.asked)

    def asked(self, session: HttpSession, method: str, url: str) -> None:
        """One call."""
        if self.silent:
            return
        query = parse_qs(urlsplit(url).query)
        if "from" not in query:
            self._tell(session, True, list(self.entries.values()))
            return
        known = int(query["from"][0])
        hold = min(HOLD_MOST_MS, float(query.get("hold_ms", ["0"])[0]))
        if known < self.generation:
            self._tell(session, False, [entry for at, entry in self.changed if at > known])
        else:
            alarm = self.reactor.callLater(hold / 1000.0, self._held, session)
            self.watches[session] = known, alarm

    def change(self, name: str, lifecycle: str) -> None:
        """An entry changes: whoever watches is told."""
        self.generation += 1
        entry = {**self.entries[name], "lifecycle": lifecycle}
        self.changed.append((self.generation, entry))
        if lifecycle == "gone":
            del self.entries[name]
        else:
            self.entries[name] = entry
        for session, (_, alarm) in list(self.watches.items()):
            alarm.cancel()
            del self.watches[session]
            self._tell(session, False, [entry])

    def _held(self, session: HttpSession) -> None:
        if self.watches.pop(session, None) is not None:
            self._tell(session, False, [])

    def _tell(self, session: HttpSession, whole: bool, entries: list[dict[str, Any]]) -> None:
        answer = {"generation": self.generation, "reset": whole, "instances": entries}
        session.answer(orjson.dumps(answer))


class StandIns:
    """All of a run."""

    def __init__(self, reactor: Any, plan: Plan) -> None:
        self.reactor = reactor
        self.decks = {spec.name: Backend(reactor, spec, plan) for spec in plan.backends}
        self.seen: list[dict[str, Any]] = []
        for deck in self.decks.values():
            deck.seen = self.seen if plan.record else None
        self.counter, self.director = Counter(reactor, plan.counter_ms), Discovery(reactor)
        self.addresses: dict[str, Any] = {}

    def listen(self, unix_ms: float) -> dict[str, Any]:
        """Bind free ports of 127.0.0.1; returns the addresses."""
        for name, deck in self.decks.items():
            port = self.reactor.listenTCP(0, deck, 512, "127.0.0.1").getHost().port
            cold = deck.spec.cold_from < 1.0
            self.director.entries[name] = {
                "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "std",
                "cell": 0, "lifecycle": "ready", "weight": 1.0,
                "startedAtMs": round(unix_ms) if cold else 0,
            }  # fmt: skip
        ports = [self.reactor.listenTCP(0, f, 512, "127.0.0.1") for f in (self.director, self.counter)]
        director, counter = (f"127.0.0.1:{port.getHost().port}" for port in ports)
        self.addresses = {"discovery": director, "counter": counter}
        return self.addresses

    def follow(self, command: dict[str, Any]) -> dict[str, Any]:
        """One command; what is there to tell."""
        if how := command.get("counter"):
            self.counter.become(how)
        if how := command.get("discovery"):
            self.director.silent = how == "silent"
        for word, hangs in (("hang", True), ("well", False)):
            if name := command.get(word):
                self.decks[name].become(hangs)
        if name := command.get("reset"):
            self.decks[name].reset()
        for word, lifecycle in (("drain", "draining"), ("gone", "gone")):
            if name := command.get(word):
                self.decks[name].drains, self.decks[name].drained_at = True, self.reactor.seconds()
                self.director.change(name, lifecycle)
        return self.told() if command.get("tell") else {}

    def told(self) -> dict[str, Any]:
        """What the stand-ins have seen, rules broken among it."""
        decks = {name: deck.tally for name, deck in self.decks.items()}
        kept = {"seen": self.seen} if self.seen else {}
        return {"decks": decks, **kept, "counter": {"calls": self.counter.calls, "units": self.counter.units}}


class Commands(LineReceiver):
    """Standard input: the plan, then commands."""

    delimiter = b"\n"
    MAX_LENGTH = 1024 * 1024

    def __init__(self, reactor: Any, unix_ms: Callable[[], float]) -> None:
        self.reactor, self.unix_ms = reactor, unix_ms
        self.standins: StandIns | None = None

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """One object."""
        given = orjson.loads(line)
        if self.standins is None:
            self.standins = StandIns(self.reactor, Plan.read(given))
            self.tell(self.standins.listen(self.unix_ms()))
        elif answer := self.standins.follow(given):
            self.tell(answer)

    def tell(self, answer: dict[str, Any]) -> None:
        """One line of standard output."""
        transport: Any = self.transport
        transport.write(orjson.dumps(answer) + b"\n")

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Whoever started this has gone."""
        if self.reactor.running:
            self.reactor.stop()


def draw_speeds(count: int, least: float, most: float, seed: int) -> list[float]:
    """The speeds of a fleet's cores."""
    drawn = random.Random(seed)
    return [round(drawn.uniform(least, most), 3) for _ in range(count)]


def main() -> int:
    """Run the stand-ins of one run."""
    from twisted.internet import reactor

    run: Any = reactor
    make: Any = stdio.StandardIO
    make(Commands(run, lambda: time.time() * 1000.0))
    run.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
