"""Several real limiters, stand-ins and relays on loopback, with faults between them at observed events.

`python -m scalelb.lab.faults SCHEDULE.toml OUT` runs a schedule, writes `history.jsonl` and `report.json`,
and ends with 1 where a checker found something. Everything runs on one loop: a relay that sees a message can
have a limiter killed before it passes the message on. Processes are ended by the id they were started with.
"""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from collections import Counter, deque
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import error
from twisted.internet.protocol import ProcessProtocol

from scalelb.lab.checkers import CHECKERS, Event, check, quota_use, quotas
from scalelb.lab.experiment import CLASSES, Experiment, ExperimentError, Fleet, Variant
from scalelb.lab.relay import Relay, Way
from scalelb.lab.schedule import Schedule, Step, read_schedule
from scalelb.lab.stage import toml_text
from scalelb.lab.traffic import Clients
from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Dial, Stream

PATIENCE_S = 90.0  # for a step's event, and for quiet at the end: generous, nothing is judged by it
SETTLE_S = 9.0  # after the load's end until every request is over: its longest deadline, and some
PLAN = "basic"
DECKS = 4


class Lines(ProcessProtocol):
    """A process whose lines are read as JSON."""

    def __init__(self, stage: FaultStage, name: str, log: Path | None) -> None:
        self.stage, self.name = stage, name
        self.rest: dict[int, bytes] = {1: b"", 2: b""}
        self.file = log.open("ab") if log is not None else None
        self.ended = False

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        """What it has written."""
        if childFD == 2 and self.file is not None:
            self.file.write(data)
        *lines, self.rest[childFD] = (self.rest[childFD] + data).split(b"\n")
        for line in lines:
            with suppress(orjson.JSONDecodeError):
                self.stage.line(self, orjson.loads(line))

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """It has ended."""
        self.ended = True
        if self.file is not None:
            self.file.close()
        self.stage.ended(self, reason.value.exitCode)


class Asker(Stream):
    """One request on a connection of its own."""

    def __init__(self, stage: FaultStage, ident: str, limiter: str, wire: bytes, event: Event) -> None:
        self.stage, self.ident, self.limiter, self.wire, self.event = stage, ident, limiter, wire, event
        self.reader, self.done = resp.ReplyReader(), False

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up: ask."""
        super().connectionMade()
        self.stage.note("ask", **self.event)
        self.send(self.wire)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """The answer."""
        try:
            reply = self.reader.read(data)
        except MalformedError:
            self.abort()
            return
        if reply is None or self.done:
            return
        self.done = True
        verdict, made_for = "failed", ""
        if reply.value is not None:
            verdict = "served"
            made_for = bytes(reply.value).split(b"\r\n")[1].rpartition(b" ")[2].decode("ascii", "replace")
        elif reply.line.startswith(b"-BUSY"):
            verdict = "refused"
        self.stage.answered(self, verdict, made_for)
        self.close()

    def lost(self) -> None:
        """The connection has ended."""
        if not self.done:
            self.done = True
            self.stage.note("lost", ident=self.ident)


class FaultStage:
    """One run of a schedule."""

    def __init__(self, reactor: Any, schedule: Schedule, out: Path) -> None:
        self.reactor, self.schedule, self.out = reactor, schedule, out
        self.history: list[Event] = []
        self.random = random.Random(schedule.seed)
        self.processes: dict[str, Lines] = {}
        self.transports: dict[str, Any] = {}
        self.ports: dict[str, int] = {}
        self.addresses: dict[str, Any] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.steps = deque(schedule.steps)
        self.since: Counter[Any] = Counter()  # what was seen since the last step was done
        self.loading = self.quieting = self.closing = self.stopped = False
        self.asked = self.faults = 0
        self.quiet: dict[str, str] = {}
        self.problems: list[str] = []
        self.late: Any = None
        self.status = 1

    # Start

    def start(self) -> None:
        """Stand-ins first, then the relays, then the limiters."""
        self.out.mkdir(parents=True, exist_ok=True)
        self.patience()
        self.spawn("stand-ins", ["scalelb.lab.standins"], {}, None)
        plan = {
            "decks": [{"name": f"deck-{n}", "cores": 4, "speed": 1.0, "room": 50} for n in range(DECKS)],
            "work_ms": {str(kind["name"]): 10.0 for kind in CLASSES},
            "counter_ms": 0.5,
            "record": True,
        }
        self.command(plan)

    def spawn(self, name: str, module: list[str], more: dict[str, str], log: Path | None) -> None:
        """Start a process."""
        environment = {n: v for n, v in os.environ.items() if not n.startswith(("EDGE_", "SCALELB_"))} | more
        found = self.processes[name] = Lines(self, name, log)
        fds = {0: "w", 1: "r", 2: "r" if log is not None else 2}
        command = [sys.executable, "-m", *module]
        spawn = self.reactor.spawnProcess
        self.transports[name] = spawn(found, sys.executable, command, environment, childFDs=fds)

    def command(self, told: dict[str, Any]) -> None:
        """Tell the stand-ins something."""
        self.transports["stand-ins"].write(orjson.dumps(told) + b"\n")

    def prepare(self) -> None:
        """Relays between all pairs, and the limiters' files."""
        names = self.schedule.names
        for a in names:
            for b in names:
                if a != b:
                    self.relays[a, b] = Relay(self.reactor, (a, b), self.message)
        fleet = Fleet(servers=DECKS)
        plans: dict[str, Any] = {
            PLAN: {"rate": self.schedule.rate, "burst": self.schedule.burst, "at_once": 0, "price": 1.0}
        }
        experiment = Experiment(
            self.schedule.name, 1.0, 1.0, 1000.0, 6.0, fleet, plans, (), Clients(), {}, (),
        )  # fmt: skip
        variant = Variant("faults", limiters=len(names), seed=self.schedule.seed)
        for index, name in enumerate(names):
            config = {
                "name": name, "listen": "127.0.0.1:0", "seed": f"{self.schedule.seed * 31 + index:x}",
                **self.addresses, "limits": {"sockets": 1024, "memory_mb": 192},
                "settings": experiment.settings_object(variant, index),
            }  # fmt: skip
            (self.out / f"{name}.json").write_bytes(orjson.dumps(config))
            members = {
                other: f"127.0.0.1:{self.relays[name, other].port}" if other != name else "127.0.0.1:0"
                for other in names
            }
            link = {"on": self.schedule.linked, "listen": "127.0.0.1:0"}
            words = "".join(f"{key} = {orjson.dumps(value).decode()}\n" for key, value in link.items())
            (self.out / f"{name}.toml").write_text(words + toml_text({"members": members}))
        for name in names:
            self.run(name)

    def run(self, name: str) -> None:
        """Start a limiter."""
        more = {
            "EDGE_CONFIG": str(self.out / f"{name}.json"),
            "SCALELB_PEERS": str(self.out / f"{name}.toml"),
        }
        self.spawn(name, ["scalelb.program"], more, self.out / f"{name}.log")

    # What is seen

    def note(self, what: str, **fields: Any) -> None:
        """One event of the history."""
        self.history.append({"what": what, "seen": time.time() * 1000.0, **fields})

    def line(self, process: Lines, said: dict[str, Any]) -> None:
        """A process has written a line."""
        if process.name == "stand-ins":
            if "discovery" in said:
                self.addresses = said
                self.prepare()
            elif "decks" in said:
                self.finish(said)
            return
        if self.processes.get(process.name) is not process:
            return
        event = said.get("event", "")
        if event == "started":
            self.ports[process.name] = said["port"]
            for (_, target), relay in self.relays.items():
                if target == process.name and "peers" in said["fronts"]:
                    relay.target = ("127.0.0.1", said["fronts"]["peers"])
        elif event == "quiet":
            self.quiet[process.name] = said["digest"]
            self.look_quiet()
        elif event == "list":  # told: from here on, and for all of them from the last on
            for deck, state in said["servers"].items():
                if state == "draining":
                    self.note("drain", deck=deck, at=1000.0 * said["at"])
        elif event == "fault":
            self.faults += 1
            self.problems.append(f"{process.name}: a fault; see its log")
        self.since["log", event, process.name] += 1
        self.since["log", event, ""] += 1
        all_run = set(self.ports) == set(self.schedule.names)
        if event == "ready" and self.steps and not self.loading and all_run:
            self.loading = True
            self.load()
        self.look()

    def message(self, source: str, target: str, message: bytes) -> None:
        """A message goes by, and has not gone on yet."""
        if b'"hello"' not in message:
            self.since["messages", source, target] += 1
            self.since["messages", source, ""] += 1
            self.look()

    def answered(self, asker: Asker, verdict: str, made_for: str) -> None:
        """A client has its answer."""
        at = time.time() * 1000.0
        self.note("answer", ident=asker.ident, verdict=verdict, made_for=made_for, at=at)
        self.since["answers"] += 1
        self.look()

    def ended(self, process: Lines, status: int | None) -> None:
        """A process has ended."""
        if self.processes.get(process.name) is process and status and not self.closing:
            self.problems.append(f"{process.name}: ended with status {status}")

    # Load

    def load(self) -> None:
        """The next request, after a drawn time; open, whatever came of those before."""
        if not self.loading or self.closing:
            return
        self.asked += 1
        limiter = self.random.choice(self.schedule.names)
        keyed = self.random.random() < self.schedule.keyed
        kind = CLASSES[keyed]
        customer = f"{self.random.randrange(self.schedule.customers) + 1:016x}"
        units = self.random.randint(1, 3)
        ident, key = f"{self.asked + (self.schedule.seed << 32):016x}", f"{self.random.getrandbits(64):016x}"
        values = f"c={kind['name']},t={PLAN},d={kind['hard-limit-ms']}" + f",k={key}" * keyed
        values += f",units={units},spread={len(self.schedule.names)},first=0"
        parts = ["CALL.POST" if keyed else "CALL.GET", customer, ident, values, *["answer"] * keyed]
        wire = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p.encode()) for p in parts)
        event: Event = {"ident": ident, "limiter": limiter, "customer": customer, "plan": PLAN}
        event |= {"units": units, "key": key, "dialled": time.time() * 1000.0}
        port = self.ports.get(limiter)
        if port is not None:
            asker = Asker(self, ident, limiter, wire, event)
            self.reactor.connectTCP("127.0.0.1", port, Dial(asker, lambda: None), timeout=2)
        self.reactor.callLater(self.random.expovariate(self.schedule.per_s), self.load)

    # Steps

    def look(self) -> None:
        """Do the next steps whose events have been seen."""
        while self.steps and self.due(self.steps[0]):
            step = self.steps.popleft()
            self.since.clear()
            self.patience()
            self.do(step)
            if not self.steps:
                self.reactor.callLater(0, self.wind_down)

    def due(self, step: Step) -> bool:
        """Whether what a step waits for has been seen."""
        if step.wait == "log":
            return self.since["log", step.what, step.source] >= step.count
        if step.wait == "messages":
            return self.since["messages", step.source, step.target] >= step.count
        return step.wait == "" or self.since["answers"] >= step.count

    def do(self, step: Step) -> None:
        """One fault, or its end."""
        self.note("fault", do=step.do, of=step.of, to=step.to)
        if step.do in ("kill", "stall", "wake"):
            self.signal(step.of, {"kill": "KILL", "stall": "STOP", "wake": "CONT"}[step.do])
        elif step.do == "start":
            self.ports.pop(step.of, None)
            self.run(step.of)
        elif step.do == "counter":
            self.command({"counter": step.how})
        elif step.do == "drain":
            self.command({"drain": step.of})
        elif step.do == "load":
            self.schedule = Schedule(**{**self.schedule.__dict__, "per_s": float(step.how)})
        elif step.do != "nothing":
            self.links(step)

    def links(self, step: Step) -> None:
        """Something befalls the links from one limiter (or all) to another (or all)."""
        some = self.schedule.names if step.of in ("", "all") else [step.of]
        others = self.schedule.names if step.to in ("", "all") else [step.to]
        for (a, b), relay in self.relays.items():
            if step.do == "reset":
                if {a, b} & set(some) and {a, b} & set(others):
                    relay.reset()
                continue
            way = Way(step.do)
            if a in some and b in others:
                relay.set(True, way, step.delay_ms)
            if b in some and a in others:
                relay.set(False, way, step.delay_ms)
            if not step.one_way and a in others and b in some:
                relay.set(True, way, step.delay_ms)
            if not step.one_way and b in others and a in some:
                relay.set(False, way, step.delay_ms)

    def signal(self, name: str, what: str) -> None:
        """A signal to a process that we started."""
        with suppress(error.ProcessExitedAlready):
            self.transports[name].signalProcess(getattr(signal, "SIG" + what).value)
        if what == "KILL":
            self.processes[name] = Lines(self, name, None)  # its lines count no more
            self.processes[name].ended = True
            self.ports.pop(name, None)

    def patience(self) -> None:
        """Give up where nothing that is waited for comes."""
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.late = self.reactor.callLater(PATIENCE_S, self.too_late)

    def too_late(self) -> None:
        """What is waited for has not come."""
        step = self.steps[0] if self.steps else None
        self.problems.append(f"did not come in {PATIENCE_S:g} s: {step if step is not None else 'quiet'}")
        self.tell()

    # End

    def wind_down(self) -> None:
        """No more load; once all requests are over and all is quiet, ask what was seen."""
        self.loading = False
        self.reactor.callLater(SETTLE_S, self.begin_quiet)

    def begin_quiet(self) -> None:
        """From here on lines of quiet count."""
        self.patience()
        self.quieting = True
        self.look_quiet()

    def look_quiet(self) -> None:
        """Whether all limiters that run have told the same."""
        if not self.quieting:
            return
        alive = [name for name in self.schedule.names if name in self.ports]
        told = [self.quiet.get(name, name) for name in alive]
        if not self.schedule.linked or len(set(told)) == 1:
            self.quieting = False
            for name, state in zip(alive, told, strict=True):
                if self.schedule.linked:
                    self.note("digest", limiter=name, state=state)
            self.tell()

    def tell(self) -> None:
        """Ask the stand-ins what they saw."""
        self.command({"tell": True})

    def finish(self, seen: dict[str, Any]) -> None:
        """Check, report, end."""
        if self.late.active():
            self.late.cancel()
        self.closing = True
        for take in seen["seen"]:
            self.history.append(take)
        only = [n for n in CHECKERS if not (n.startswith("nothing new") and not self.drained())]
        only = [n for n in only if self.schedule.linked or not n.startswith("copies")]
        found = check(self.history, only)
        plans = {PLAN: (self.schedule.rate, self.schedule.burst)}
        takes = sum(e["what"] == "take" for e in self.history)
        found["quotas over all limiters"] = takes, quotas(self.history, plans, self.schedule.bound)
        broken = [f"{name}: {words}" for name, (_, some) in found.items() for words in some]
        broken += [f"{name}: nothing to check" for name, (count, _) in found.items() if not count]
        broken += self.problems + [f"step not reached: {step.do} {step.of}" for step in self.steps]
        verdicts = Counter(e["verdict"] for e in self.history if e["what"] == "answer")
        report = {
            "name": self.schedule.name,
            "broken": broken,
            "checked": {name: count for name, (count, _) in found.items()},
            "answers": dict(verdicts),
            "faults": sum(e["what"] == "fault" for e in self.history),
            "lost": sum(e["what"] == "lost" for e in self.history),
            "use": {
                c: [u, round(a, 1), round(u / a, 3)] for c, (u, a) in quota_use(self.history, plans).items()
            },
        }
        with (self.out / "history.jsonl").open("wb") as file:
            file.writelines(orjson.dumps(event) + b"\n" for event in self.history)
        (self.out / "report.json").write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2))
        print(orjson.dumps(report).decode(), flush=True)
        self.status = 1 if broken else 0
        self.end()

    def drained(self) -> bool:
        """Whether a backend was drained in this run."""
        return any(event["what"] == "drain" for event in self.history)

    def end(self) -> None:
        """End all processes by the ids that they were started with."""
        self.closing = True
        for name, transport in self.transports.items():
            if not self.processes[name].ended:
                with suppress(error.ProcessExitedAlready):
                    transport.signalProcess("KILL")
        self.reactor.callLater(0.2, self.stop)

    def stop(self) -> None:
        """Leave the loop, once."""
        if not self.stopped:
            self.stopped = True
            self.reactor.stop()


def main() -> int:
    """Run one schedule."""
    try:
        schedule = read_schedule(Path(sys.argv[1]))
    except ExperimentError as fault:
        print(fault, file=sys.stderr)
        return 2
    from twisted.internet import reactor

    run: Any = reactor
    stage = FaultStage(run, schedule, Path(sys.argv[2]).resolve())
    run.callWhenRunning(stage.start)
    run.addSystemEventTrigger("before", "shutdown", stage.end)
    run.run()
    return stage.status


if __name__ == "__main__":
    sys.exit(main())
