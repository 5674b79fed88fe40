"""A soak of the endings: real limiters whose clients keep using their connections until the kill.

`python -m scalelb.lab.soak SEED OUT [SLACK_S [PROGRAM]]` plays one seed (`soak_plan`), checks it
(`soak_checks`), writes `history.jsonl` and `report.json`, and ends with 1 where a rule was broken.  A kill
comes `SLACK_S` seconds later than the page's earliest, 0 if it is not given: for machines that are busy.
"""

from __future__ import annotations

import os
import random
import resource
import shutil
import signal
import socket
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import error
from twisted.internet.protocol import ProcessProtocol

from scalelb.lab import soak_checks
from scalelb.lab.experiment import CLASSES, Experiment, Fleet, Variant
from scalelb.lab.soak_clients import SoakClient
from scalelb.lab.soak_plan import DECKS, LAST, Ending, SoakPlan, Trouble, draw_plan
from scalelb.lab.stage import toml_text
from scalelb.lab.traffic import Clients
from scalelb.transport.stream import Stream, StreamFactory

PLAN = "basic"
PLAN_LIMITS = {"rate": 40.0, "burst": 80.0, "at_once": 0, "price": 1.0}
TENANTS = 20
WORK_MS = 40.0
KEYED_RATIO = 0.3
TROUBLE_S = 1.0  # that a silent counter or director stays so
CROWD = 250
CROWD_S = 0.3  # in which it comes
CROWD_ASKS_RATIO = 0.3  # the others only connect
AFTER_RESTART_S = 1.0  # of load on each limiter's last life
STARTING_S = (0.0, 0.8)  # after a start, that SIGTERM comes to one that is not ready
BOUND_S = 90.0  # for a whole run
BACKLOG = 128
MUST_HAPPEN = ("ask", "answer", "take", "exit")  # a history without these checks nothing
USUAL_DEADLINES_MS = tuple(int(str(kind["hard-limit-ms"])) for kind in CLASSES)
NAMES = "limiter-"


class Process(ProcessProtocol):
    """A process whose lines are read as JSON."""

    def __init__(self, stage: SoakStage, name: str, life: int, log: Path | None) -> None:
        self.stage = stage
        self.name = name
        self.life = life
        self.started_at = time.monotonic()
        self.rest: dict[int, bytes] = {1: b"", 2: b""}
        self.file = log.open("ab") if log is not None else None
        self.gone = 0  # requests whose clients had left, by its own count
        self.is_ready = False
        self.has_ended = False

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        """What it has written."""
        if childFD == 2 and self.file is not None:
            self.file.write(data)
        *lines, self.rest[childFD] = (self.rest[childFD] + data).split(b"\n")
        for line in lines:
            try:
                said = orjson.loads(line)
            except orjson.JSONDecodeError:
                said = {"event": "fault", "what": line.decode("utf-8", "replace")}
            self.stage.said(self, said)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """It has ended."""
        self.has_ended = True
        if self.file is not None:
            self.file.close()
        status = reason.value.exitCode if reason.value.signal is None else -reason.value.signal
        self.stage.ended(self, status)

    def signal(self, name: str) -> None:
        """Send a signal, if it still runs."""
        with suppress(error.ProcessExitedAlready):
            transport: Any = self.transport
            transport.signalProcess(getattr(signal, f"SIG{name}").value)


class Passer(Stream):
    """One of a crowd: it connects, may ask once, and stays."""

    def __init__(self, wire: bytes) -> None:
        self.wire = wire

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        if self.wire:
            self.send(self.wire)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """An answer: there is no more to it."""


class SoakStage:
    """One run of one seed."""

    def __init__(self, reactor: Any, plan: SoakPlan, out: Path, slack_s: float, program: list[str]) -> None:
        """`program`: the limiter's module and arguments."""
        self.program = program
        self.reactor = reactor
        self.plan = plan
        self.out = out
        self.slack_s = slack_s
        self.random = random.Random(f"soak stage {plan.seed}")
        self.history: list[dict[str, Any]] = []
        self.names = [f"{NAMES}{number}" for number in range(plan.limiters)]
        self.standins: Process | None = None
        self.current: dict[str, Process] = {}
        self.every: list[Process] = []
        self.ports: dict[str, int] = {}
        self.sockets: dict[str, socket.socket] = {}  # of clients, where the platform holds them
        self.addresses: dict[str, Any] = {}
        self.lives: Counter[str] = Counter()
        self.on_last_life: set[str] = set()
        self.clients: list[SoakClient] = []
        self.asked = 0
        self.is_loading = False
        self.is_ending = False
        self.problems: list[str] = []
        self.bound: Any = None
        self.status = 1

    # Start

    def start(self) -> None:
        """Stand-ins first, then the limiters."""
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self.bound = self.reactor.callLater(BOUND_S, self.too_late)
        self.standins = self.spawn("stand-ins", ["scalelb.lab.standins"], {}, None, {})
        self.command(
            {
                "decks": [{"name": f"deck-{n}", "cores": 4, "speed": 1.0, "room": 50} for n in range(DECKS)],
                "work_ms": {str(kind["name"]): WORK_MS for kind in CLASSES},
                "counter_ms": 0.5,
                "record": True,
            }
        )

    def spawn(
        self, name: str, module: list[str], more: dict[str, str], log: Path | None, files: dict[int, int]
    ) -> Process:
        """Start a process; `files`: further descriptors of it."""
        usual = {n: v for n, v in os.environ.items() if not n.startswith(("EDGE_", "SCALELB_"))}
        self.lives[name] += 1
        found = Process(self, name, self.lives[name], log)
        descriptors: dict[int, Any] = {0: "w", 1: "r", 2: "r" if log is not None else 2, **files}
        command = [sys.executable, "-m", *module]
        self.reactor.spawnProcess(found, sys.executable, command, usual | more, childFDs=descriptors)
        self.every.append(found)
        return found

    def command(self, told: dict[str, Any]) -> None:
        """Tell the stand-ins something."""
        assert self.standins is not None
        transport: Any = self.standins.transport
        transport.write(orjson.dumps(told) + b"\n")

    def prepare(self, addresses: dict[str, Any]) -> None:
        """The limiters' files and sockets; then start them."""
        self.addresses = addresses
        peers = {name: self._free_address(name) for name in self.names}
        for index, name in enumerate(self.names):
            (self.out / f"{name}-tmp").mkdir()
            (self.out / f"{name}.json").write_bytes(orjson.dumps(self.configuration(index)))
            links = {"on": self.plan.linked, "listen": peers[name]}
            words = "".join(f"{key} = {orjson.dumps(value).decode()}\n" for key, value in links.items())
            (self.out / f"{name}.toml").write_text(words + toml_text({"members": peers}))
        if self.plan.has_successor:
            held = self.sockets[self.names[0]] = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
            self.ports[self.names[0]] = held.getsockname()[1]
        for name in self.names:
            self.run(name)

    def _free_address(self, name: str) -> str:
        """Where a limiter can listen, and again after a restart: at an address from which nobody dials, as a
        connection under way could hold the port."""
        host = f"127.100.{self.plan.seed % 250}.{self.names.index(name) + 1}"
        with socket.create_server((host, 0)) as found:
            return f"{host}:{found.getsockname()[1]}"

    def configuration(self, index: int) -> dict[str, Any]:
        """A limiter's configuration."""
        plan = self.plan
        fleet = Fleet(servers=DECKS)
        experiment = Experiment(
            "soak", 1.0, 1.0, 1000.0, 6.0, fleet, {PLAN: PLAN_LIMITS}, (), Clients(), {}, (),
        )  # fmt: skip
        settings = experiment.settings_object(Variant("soak", limiters=plan.limiters, seed=plan.seed), index)
        classes = [dict(kind) for kind in settings["classes"]]
        for kind, deadline_ms in zip(classes, plan.deadlines_ms, strict=False):
            kind["hard-limit-ms"] = deadline_ms
            kind["aim-ms"] = deadline_ms / 2
        settings["classes"] = classes
        return {
            "name": self.names[index], "listen": "127.0.0.1:0", "seed": f"{plan.seed * 31 + index:x}",
            **self.addresses, "limits": {"sockets": plan.sockets, "memory_mb": 192}, "settings": settings,
        }  # fmt: skip

    def run(self, name: str) -> Process:
        """Start a limiter's next life."""
        more = {
            "EDGE_CONFIG": str(self.out / f"{name}.json"),
            "SCALELB_PEERS": str(self.out / f"{name}.toml"),
            "TMPDIR": str(self.out / f"{name}-tmp"),
        }
        files: dict[int, int] = {}
        if name in self.sockets:
            files[3] = self.sockets[name].fileno()
            more |= {"EDGE_FD": "3", "EDGE_ADMIN": self._free_address(name)}
        log = self.out / f"{name}-{self.lives[name] + 1}.log"
        found = self.spawn(name, self.program, more, log, files)
        self.current[name] = found
        transport: Any = found.transport
        if transport.pid is not None:
            limits = (self.plan.sockets, self.plan.sockets)
            resource.prlimit(transport.pid, resource.RLIMIT_NOFILE, limits)
        return found

    # What is seen

    def note(self, what: str, **fields: Any) -> None:
        """One event of the history."""
        now = time.time() * 1000.0
        self.history.append({"what": what, "seen": now, "at": now, **fields})

    def port_of(self, limiter: str) -> int | None:
        """Where a limiter listens, while it runs."""
        return self.ports.get(limiter)

    def life_of(self, limiter: str) -> int:
        """Which of its lives runs."""
        return self.current[limiter].life

    def said(self, process: Process, said: dict[str, Any]) -> None:
        """A process has written a line."""
        if process is self.standins:
            if "discovery" in said:
                self.prepare(said)
            elif "decks" in said:
                self.finish(said.get("seen", []))
            return
        event, where = said.get("event", ""), {"limiter": process.name, "life": process.life}
        if event == "started" and said["port"] is not None:
            self.ports[process.name] = said["port"]
        elif event == "ready":
            process.is_ready = True
            self.note("ready", **where, took_ms=1000.0 * (time.monotonic() - process.started_at))
            self.ready(process)
        elif event == "tally":
            process.gone += said["counts"].get("gone", 0)
        elif event == "stopped":
            gone = process.gone + said["counts"].get("gone", 0)
            self.note("stopped", **where, open=said["open"], attempts=said["attempts"], gone=gone)
        elif event == "fault":
            self.note("fault", **where, text=said)

    def ready(self, process: Process) -> None:
        """A limiter is ready: begin the load once all are, or relieve its predecessor, or wind down."""
        if not self.is_loading and all(self.current[name].is_ready for name in self.names):
            self.is_loading = True
            self.load()
        elif process.life > 1 and process is self.current[process.name]:
            for other in self.every:
                if other.name == process.name and other.life < process.life and not other.has_ended:
                    self.end_life(other, self.plan.endings[0])
            self.on_last_life.add(process.name)
            if self.on_last_life == set(self.names):
                self.reactor.callLater(AFTER_RESTART_S, self.wind_down)

    def ended(self, process: Process, status: int) -> None:
        """A process has ended."""
        if process is self.standins:
            if not self.is_ending:
                self.problems.append(f"the stand-ins ended with status {status}")
                self.finish([])
            return
        self.note("exit", limiter=process.name, life=process.life, status=status)
        if process is self.current[process.name]:
            if process.name not in self.sockets:
                self.ports.pop(process.name, None)
            if process.name not in self.on_last_life:
                self.restart(process.name)
        if self.on_last_life == set(self.names) and all(p.has_ended for p in self.limiters()):
            self.command({"tell": True})

    def limiters(self) -> list[Process]:
        """All limiters that were started."""
        return [process for process in self.every if process is not self.standins]

    def restart(self, name: str) -> None:
        """The next life of a limiter that has ended; it may be told to end before it is ready."""
        again = self.run(name)
        if self.plan.stops_while_starting and name == self.names[0] and again.life == 2:
            wait_s = self.random.uniform(*STARTING_S)
            self.reactor.callLater(wait_s, self.end_life, again, LAST, True)

    # Load, troubles, endings

    def load(self) -> None:
        """All clients connect; troubles and endings are due."""
        for name in self.names:
            for number, kind in enumerate(self.plan.clients):
                rng = random.Random(f"client {self.plan.seed} {name} {number}")
                client = SoakClient(self.reactor, self, name, kind, rng)
                self.clients.append(client)
                client.connect()
        for after_s, trouble in self.plan.troubles:
            self.reactor.callLater(after_s, self.befall, trouble)
        for name, after_s, ending in zip(self.names, self.plan.end_at_s, self.plan.endings, strict=True):
            if name in self.sockets:
                self.reactor.callLater(after_s, self.run, name)  # its successor; ended once that is ready
            else:
                self.reactor.callLater(after_s, self.end_life, self.current[name], ending)

    def new_request(self, limiter: str) -> tuple[str, bytes]:
        """The next request: its id and its command."""
        self.asked += 1
        index = int(self.random.random() < KEYED_RATIO)
        kind = CLASSES[index]
        is_keyed = kind["effect"] == "keyed"
        deadline_ms = (self.plan.deadlines_ms or USUAL_DEADLINES_MS)[index]
        ident = f"{self.asked + (self.plan.seed << 32):016x}"
        key = f",k={self.random.getrandbits(64):016x}" if is_keyed else ""
        units = self.random.randint(1, 3)
        values = f"c={kind['name']},t={PLAN},d={deadline_ms}{key},units={units}"
        values += f",spread={self.plan.limiters},first=0"
        tenant = f"{self.random.randrange(TENANTS) + 1:016x}"
        parts = ["CALL.POST" if is_keyed else "CALL.GET", tenant, ident, values]
        if is_keyed:
            parts.append("answer")
        command = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p.encode()) for p in parts)
        return ident, command

    def befall(self, trouble: Trouble) -> None:
        """Something befalls the stand-ins, or a crowd comes."""
        decks = [f"deck-{number}" for number in range(DECKS)]
        self.note("trouble", name=trouble.value)
        if trouble is Trouble.HANG:
            for deck in decks[: self.plan.hung_backends]:
                self.command({"hang": deck})
        elif trouble is Trouble.RESET:
            for deck in decks:
                self.command({"reset": deck})
        elif trouble is Trouble.CROWD:
            for _ in range(CROWD):
                self.reactor.callLater(self.random.uniform(0.0, CROWD_S), self.one_of_a_crowd)
        else:
            self.command({trouble.value: "silent"})
            self.reactor.callLater(TROUBLE_S, self.command, {trouble.value: "well"})

    def one_of_a_crowd(self) -> None:
        """It connects to any limiter, asks once or not at all, and stays."""
        name = self.random.choice(self.names)
        port = self.ports.get(name)
        if port is None:
            return
        wire = self.new_request(name)[1] if self.random.random() < CROWD_ASKS_RATIO else b""
        self.reactor.connectTCP("127.0.0.1", port, StreamFactory(Passer(wire), lambda: None), timeout=2)

    def end_life(self, process: Process, ending: Ending, is_starting: bool = False) -> None:
        """The signals of an ending, and the kill after the first SIGTERM."""
        if is_starting and process.is_ready:
            return  # it was faster: this life goes on as the last
        kill_after_s = self.plan.kill_after_s(max(USUAL_DEADLINES_MS)) + self.slack_s
        is_told = False
        for sent in ending.signals:
            self.reactor.callLater(sent.after_s, self.signal, process, sent.name)
            if sent.name == "TERM" and not is_told:
                is_told = True
                self.reactor.callLater(sent.after_s + kill_after_s, self.signal, process, "KILL")

    def signal(self, process: Process, name: str) -> None:
        """Send a signal to a limiter that still runs."""
        if process.has_ended:
            return
        self.note("signal", limiter=process.name, life=process.life, name=name)
        if name == "HUP":
            self.change_configuration(process.name)
        process.signal(name)

    def change_configuration(self, name: str) -> None:
        """A file that is the same, names the director otherwise, or can't be read."""
        index = self.names.index(name)
        good = self.configuration(index)
        moved = {**good, "discovery": good["discovery"].replace("127.0.0.1", "localhost")}
        some = [orjson.dumps(good), orjson.dumps(moved), b"{", b'{"listen": 7}']
        path = self.out / f"{name}.json"
        path.write_bytes(self.random.choice(some))
        self.reactor.callLater(0.3, path.write_bytes, orjson.dumps(good))  # for the next life

    # End

    def wind_down(self) -> None:
        """The last lives end under load; their clients send until then."""
        for name in self.names:
            self.end_life(self.current[name], LAST)

    def too_late(self) -> None:
        """The run takes longer than it may."""
        running = [f"{p.name} life {p.life}" for p in self.limiters() if not p.has_ended]
        self.problems.append(f"not over after {BOUND_S:g} s; running: {', '.join(running) or 'none'}")
        self.finish([])

    def finish(self, seen: list[dict[str, Any]]) -> None:
        """Check, report, end."""
        if self.bound.active():
            self.bound.cancel()
        self.is_ending = True
        for client in self.clients:
            client.stop()
        self.history += seen
        checked = soak_checks.check(self.history)
        broken = [f"{rule}: {words}" for rule, some in checked.items() for words in some]
        counts = Counter(event["what"] for event in self.history)
        broken += [f"nothing to check: no {what}" for what in MUST_HAPPEN if not counts[what]]
        report = {
            "seed": self.plan.seed,
            "replay": f"python -m scalelb lab soak --seed {self.plan.seed}",
            "plan": repr(self.plan),
            "broken": broken + self.problems,
            "events": dict(counts),
            "verdicts": dict(Counter(e["verdict"] for e in self.history if e["what"] == "answer")),
            "exits": [[e["limiter"], e["life"], e["status"]] for e in self.history if e["what"] == "exit"],
        }
        with (self.out / "history.jsonl").open("wb") as file:
            file.writelines(orjson.dumps(event) + b"\n" for event in self.history)
        (self.out / "report.json").write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2))
        self.status = 1 if report["broken"] else 0
        for process in self.every:
            if not process.has_ended:
                process.signal("KILL")
        self.reactor.callLater(0.2, self.reactor.stop)


def main() -> int:
    """Play one seed."""
    seed, out = int(sys.argv[1]), Path(sys.argv[2]).resolve()
    slack_s = float(sys.argv[3]) if len(sys.argv) > 3 else 0.0
    program = sys.argv[4].split() if len(sys.argv) > 4 else ["scalelb.program"]
    from twisted.internet import reactor

    run: Any = reactor
    stage = SoakStage(run, draw_plan(seed), out, slack_s, program)
    run.callWhenRunning(stage.start)
    run.run()
    return stage.status


if __name__ == "__main__":
    sys.exit(main())
