"""Soak test of shutdowns: real limiters whose clients keep using their connections until the kill.

`python -m scalelb.lab.soak SEED OUT [SLACK_S [PROGRAM]]` runs one seed (`soak_plan`), checks it
(`soak_checks`), writes `history.jsonl` and `report.json`, and exits with 1 if a rule was broken.  SIGKILL is
sent `SLACK_S` seconds (by default 0) after the earliest time that the platform allows; busy machines need
more.
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
from scalelb.lab.soak_plan import BACKENDS, LAST_ENDING, Ending, SoakPlan, Trouble, draw_plan
from scalelb.lab.stage import toml_text
from scalelb.lab.traffic import Clients
from scalelb.transport.stream import Stream, StreamFactory

PLAN = "basic"
PLAN_LIMITS = {"rate": 40.0, "burst": 80.0, "at_once": 0, "price": 1.0}
TENANTS = 20
WORK_MS = 40.0
KEYED_RATIO = 0.3  # Requests with an idempotency key, relative to all requests.
OUTAGE_S = 1.0  # The shared counter or discovery does not answer for this time.
BURST_CLIENTS = 250
BURST_S = 0.3  # All clients of a burst connect within this time.
BURST_REQUEST_RATIO = 0.3  # Clients of a burst that send a request; the others only connect.
LAST_LOAD_S = 1.0  # The load continues for this time after all last incarnations are ready.
EARLY_SIGTERM_S = (0.0, 0.8)  # Range of the delay of a SIGTERM to a limiter that is starting.
MAX_RUN_S = 90.0
BACKLOG = 128
REQUIRED_EVENTS = ("ask", "answer", "take", "exit")  # Without one of them the rules have nothing to check.
DEFAULT_DEADLINES_MS = tuple(int(str(kind["hard-limit-ms"])) for kind in CLASSES)
LIMITER_PREFIX = "limiter-"


class Process(ProcessProtocol):
    """A process that writes one JSON object per line."""

    def __init__(self, harness: SoakHarness, name: str, incarnation: int, log: Path | None) -> None:
        self.harness = harness
        self.name = name
        self.incarnation = incarnation
        self.started_at = time.monotonic()
        self.partial_lines: dict[int, bytes] = {1: b"", 2: b""}
        self.file = log.open("ab") if log is not None else None
        self.cancelled_requests = 0  # requests of clients that disconnected, as logged by the process
        self.is_ready = False
        self.has_ended = False

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        """Split the output into lines and pass them to the harness; a line that is not JSON is a fault."""
        if childFD == 2 and self.file is not None:
            self.file.write(data)
        *lines, self.partial_lines[childFD] = (self.partial_lines[childFD] + data).split(b"\n")
        for line in lines:
            try:
                fields = orjson.loads(line)
            except orjson.JSONDecodeError:
                fields = {"event": "fault", "what": line.decode("utf-8", "replace")}
            self.harness.on_line(self, fields)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Pass the exit status to the harness; it is negative if a signal ended the process."""
        self.has_ended = True
        if self.file is not None:
            self.file.close()
        status = reason.value.exitCode if reason.value.signal is None else -reason.value.signal
        self.harness.on_exit(self, status)

    def signal(self, name: str) -> None:
        """Send a signal if the process is still running."""
        with suppress(error.ProcessExitedAlready):
            transport: Any = self.transport
            transport.signalProcess(getattr(signal, f"SIG{name}").value)


class BurstClient(Stream):
    """A client of a connection burst: sends one request or none, and keeps the connection open."""

    def __init__(self, command: bytes) -> None:
        self.command = command

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request, if there is one."""
        super().connectionMade()
        if self.command:
            self.send(self.command)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Ignore the answer."""


class SoakHarness:
    """One run of one seed."""

    def __init__(self, reactor: Any, plan: SoakPlan, out: Path, slack_s: float, program: list[str]) -> None:
        """`program` is the Python module of the limiter and its arguments."""
        self.program = program
        self.reactor = reactor
        self.plan = plan
        self.out = out
        self.slack_s = slack_s
        self.random = random.Random(f"soak stage {plan.seed}")
        self.history: list[dict[str, Any]] = []
        self.names = [f"{LIMITER_PREFIX}{number}" for number in range(plan.limiters)]
        self.standins: Process | None = None
        self.current: dict[str, Process] = {}  # the newest incarnation of each limiter
        self.processes: list[Process] = []
        self.ports: dict[str, int] = {}
        self.sockets: dict[str, socket.socket] = {}  # listening sockets that limiters inherit
        self.addresses: dict[str, Any] = {}
        self.incarnations: Counter[str] = Counter()
        self.on_last_incarnation: set[str] = set()
        self.clients: list[SoakClient] = []
        self.request_count = 0
        self.is_loading = False
        self.is_finished = False
        self.problems: list[str] = []
        self.run_timeout: Any = None
        self.status = 1

    # Start

    def start(self) -> None:
        """Start the stand-ins; the limiters follow once their addresses are known."""
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self.run_timeout = self.reactor.callLater(MAX_RUN_S, self.on_run_timeout)
        self.standins = self.spawn("stand-ins", ["scalelb.lab.standins"], {}, None, {})
        self.send_command(
            {
                "decks": [
                    {"name": f"deck-{n}", "cores": 4, "speed": 1.0, "room": 50} for n in range(BACKENDS)
                ],
                "work_ms": {str(kind["name"]): WORK_MS for kind in CLASSES},
                "counter_ms": 0.5,
                "record": True,
            }
        )

    def spawn(
        self, name: str, module: list[str], variables: dict[str, str], log: Path | None, files: dict[int, int]
    ) -> Process:
        """Start a Python module as a process, with further environment variables and file descriptors."""
        inherited = {n: v for n, v in os.environ.items() if not n.startswith(("EDGE_", "SCALELB_"))}
        self.incarnations[name] += 1
        process = Process(self, name, self.incarnations[name], log)
        descriptors: dict[int, Any] = {0: "w", 1: "r", 2: "r" if log is not None else 2, **files}
        command = [sys.executable, "-m", *module]
        self.reactor.spawnProcess(
            process, sys.executable, command, inherited | variables, childFDs=descriptors
        )
        self.processes.append(process)
        return process

    def send_command(self, command: dict[str, Any]) -> None:
        """Send a command to the stand-ins."""
        assert self.standins is not None
        transport: Any = self.standins.transport
        transport.write(orjson.dumps(command) + b"\n")

    def start_limiters(self, addresses: dict[str, Any]) -> None:
        """Prepare files and sockets of all limiters and start them; `addresses`: those of the stand-ins."""
        self.addresses = addresses
        peers = {name: self._free_address(name) for name in self.names}
        for index, name in enumerate(self.names):
            (self.out / f"{name}-tmp").mkdir()
            (self.out / f"{name}.json").write_bytes(orjson.dumps(self.configuration(index)))
            links = {"on": self.plan.linked, "listen": peers[name]}
            links_toml = "".join(f"{key} = {orjson.dumps(value).decode()}\n" for key, value in links.items())
            (self.out / f"{name}.toml").write_text(links_toml + toml_text({"members": peers}))
        if self.plan.has_successor:
            listener = self.sockets[self.names[0]] = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
            self.ports[self.names[0]] = listener.getsockname()[1]
        for name in self.names:
            self.start_limiter(name)

    def _free_address(self, name: str) -> str:
        """Return an address on which a limiter can listen, also after a restart.

        Each limiter has a host address from which no connection is opened, as the local end of a connection
        could occupy the port.
        """
        host = f"127.100.{self.plan.seed % 250}.{self.names.index(name) + 1}"
        with socket.create_server((host, 0)) as listener:
            return f"{host}:{listener.getsockname()[1]}"

    def configuration(self, index: int) -> dict[str, Any]:
        """Return the configuration of a limiter."""
        plan = self.plan
        fleet = Fleet(servers=BACKENDS)
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

    def start_limiter(self, name: str) -> Process:
        """Start the next incarnation of a limiter."""
        variables = {
            "EDGE_CONFIG": str(self.out / f"{name}.json"),
            "SCALELB_PEERS": str(self.out / f"{name}.toml"),
            "TMPDIR": str(self.out / f"{name}-tmp"),
        }
        files: dict[int, int] = {}
        if name in self.sockets:
            files[3] = self.sockets[name].fileno()
            variables |= {"EDGE_FD": "3", "EDGE_ADMIN": self._free_address(name)}
        log = self.out / f"{name}-{self.incarnations[name] + 1}.log"
        process = self.spawn(name, self.program, variables, log, files)
        self.current[name] = process
        transport: Any = process.transport
        if transport.pid is not None:
            limits = (self.plan.sockets, self.plan.sockets)
            resource.prlimit(transport.pid, resource.RLIMIT_NOFILE, limits)
        return process

    # Observations

    def note(self, what: str, **fields: Any) -> None:
        """Add an event to the history."""
        now = time.time() * 1000.0
        self.history.append({"what": what, "seen": now, "at": now, **fields})

    def port_of(self, limiter: str) -> int | None:
        """Return the port of a limiter, or None while it does not run."""
        return self.ports.get(limiter)

    def incarnation_of(self, limiter: str) -> int:
        """Return the number of the current incarnation of a limiter."""
        return self.current[limiter].incarnation

    def on_line(self, process: Process, line: dict[str, Any]) -> None:
        """Process a line of output of a process."""
        if process is self.standins:
            if "discovery" in line:
                self.start_limiters(line)
            elif "decks" in line:
                self.finish(line.get("seen", []))
            return
        event, source = line.get("event", ""), {"limiter": process.name, "life": process.incarnation}
        if event == "started" and line["port"] is not None:
            self.ports[process.name] = line["port"]
        elif event == "ready":
            process.is_ready = True
            self.note("ready", **source, took_ms=1000.0 * (time.monotonic() - process.started_at))
            self.on_ready(process)
        elif event == "tally":
            process.cancelled_requests += line["counts"].get("gone", 0)
        elif event == "stopped":
            cancelled = process.cancelled_requests + line["counts"].get("gone", 0)
            self.note("stopped", **source, open=line["open"], attempts=line["attempts"], gone=cancelled)
        elif event == "fault":
            self.note("fault", **source, text=line)

    def on_ready(self, process: Process) -> None:
        """Begin the load once all limiters are ready, and end the run once all last incarnations are.

        A successor that is ready ends its predecessor.
        """
        if not self.is_loading and all(self.current[name].is_ready for name in self.names):
            self.is_loading = True
            self.start_load()
        elif process.incarnation > 1 and process is self.current[process.name]:
            for other in self.processes:
                if (
                    other.name == process.name
                    and other.incarnation < process.incarnation
                    and not other.has_ended
                ):
                    self.end_incarnation(other, self.plan.endings[0])
            self.on_last_incarnation.add(process.name)
            if self.on_last_incarnation == set(self.names):
                self.reactor.callLater(LAST_LOAD_S, self.end_last_incarnations)

    def on_exit(self, process: Process, status: int) -> None:
        """Record the exit of a process and restart a limiter whose last incarnation is still to come."""
        if process is self.standins:
            if not self.is_finished:
                self.problems.append(f"stand-ins exited with status {status}")
                self.finish([])
            return
        self.note("exit", limiter=process.name, life=process.incarnation, status=status)
        if process is self.current[process.name]:
            if process.name not in self.sockets:
                self.ports.pop(process.name, None)
            if process.name not in self.on_last_incarnation:
                self.restart(process.name)
        if self.on_last_incarnation == set(self.names) and all(p.has_ended for p in self.limiters()):
            self.send_command({"tell": True})

    def limiters(self) -> list[Process]:
        """Return all limiter processes that were started."""
        return [process for process in self.processes if process is not self.standins]

    def restart(self, name: str) -> None:
        """Start the next incarnation of a limiter; in some runs it gets SIGTERM before it is ready."""
        process = self.start_limiter(name)
        if self.plan.stops_while_starting and name == self.names[0] and process.incarnation == 2:
            wait_s = self.random.uniform(*EARLY_SIGTERM_S)
            self.reactor.callLater(wait_s, self.end_incarnation, process, LAST_ENDING, True)

    # Load, faults, endings

    def start_load(self) -> None:
        """Connect all clients; schedule the faults and the endings of the first incarnations."""
        for name in self.names:
            for number, kind in enumerate(self.plan.clients):
                rng = random.Random(f"client {self.plan.seed} {name} {number}")
                client = SoakClient(self.reactor, self, name, kind, rng)
                self.clients.append(client)
                client.connect()
        for after_s, fault in self.plan.troubles:
            self.reactor.callLater(after_s, self.inject_fault, fault)
        for name, after_s, ending in zip(self.names, self.plan.end_at_s, self.plan.endings, strict=True):
            if name in self.sockets:
                # Start the successor; this incarnation is ended once the successor is ready.
                self.reactor.callLater(after_s, self.start_limiter, name)
            else:
                self.reactor.callLater(after_s, self.end_incarnation, self.current[name], ending)

    def new_request(self, limiter: str) -> tuple[str, bytes]:
        """Return the id and the command of a new random request."""
        self.request_count += 1
        index = int(self.random.random() < KEYED_RATIO)
        kind = CLASSES[index]
        has_key = kind["effect"] == "keyed"
        deadline_ms = (self.plan.deadlines_ms or DEFAULT_DEADLINES_MS)[index]
        ident = f"{self.request_count + (self.plan.seed << 32):016x}"
        key = f",k={self.random.getrandbits(64):016x}" if has_key else ""
        units = self.random.randint(1, 3)
        values = f"c={kind['name']},t={PLAN},d={deadline_ms}{key},units={units}"
        values += f",spread={self.plan.limiters},first=0"
        tenant = f"{self.random.randrange(TENANTS) + 1:016x}"
        parts = ["CALL.POST" if has_key else "CALL.GET", tenant, ident, values]
        if has_key:
            parts.append("answer")
        command = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p.encode()) for p in parts)
        return ident, command

    def inject_fault(self, fault: Trouble) -> None:
        """Inject a fault into the stand-ins, or start a connection burst."""
        backends = [f"deck-{number}" for number in range(BACKENDS)]
        self.note("trouble", name=fault.value)
        if fault is Trouble.HANG:
            for backend in backends[: self.plan.hung_backends]:
                self.send_command({"hang": backend})
        elif fault is Trouble.RESET:
            for backend in backends:
                self.send_command({"reset": backend})
        elif fault is Trouble.CROWD:
            for _ in range(BURST_CLIENTS):
                self.reactor.callLater(self.random.uniform(0.0, BURST_S), self.connect_burst_client)
        else:
            self.send_command({fault.value: "silent"})
            self.reactor.callLater(OUTAGE_S, self.send_command, {fault.value: "well"})

    def connect_burst_client(self) -> None:
        """Connect one client of a burst to a random limiter."""
        name = self.random.choice(self.names)
        port = self.ports.get(name)
        if port is None:
            return
        command = self.new_request(name)[1] if self.random.random() < BURST_REQUEST_RATIO else b""
        self.reactor.connectTCP(
            "127.0.0.1", port, StreamFactory(BurstClient(command), lambda: None), timeout=2
        )

    def end_incarnation(self, process: Process, ending: Ending, is_starting: bool = False) -> None:
        """Schedule the signals of an ending, and the kill after the first SIGTERM.

        With `is_starting` the ending is for an incarnation that is not ready yet.
        """
        if is_starting and process.is_ready:
            return  # it started faster than expected, so it becomes the last incarnation
        kill_after_s = self.plan.kill_after_s(max(DEFAULT_DEADLINES_MS)) + self.slack_s
        has_sigterm = False
        for sent in ending.signals:
            self.reactor.callLater(sent.after_s, self.signal, process, sent.name)
            if sent.name == "TERM" and not has_sigterm:
                has_sigterm = True
                self.reactor.callLater(sent.after_s + kill_after_s, self.signal, process, "KILL")

    def signal(self, process: Process, name: str) -> None:
        """Record a signal and send it to a limiter that is still running."""
        if process.has_ended:
            return
        self.note("signal", limiter=process.name, life=process.incarnation, name=name)
        if name == "HUP":
            self.change_configuration(process.name)
        process.signal(name)

    def change_configuration(self, name: str) -> None:
        """Write a configuration file that is the same, names discovery by another host, or is invalid."""
        index = self.names.index(name)
        valid = self.configuration(index)
        renamed = {**valid, "discovery": valid["discovery"].replace("127.0.0.1", "localhost")}
        candidates = [orjson.dumps(valid), orjson.dumps(renamed), b"{", b'{"listen": 7}']
        path = self.out / f"{name}.json"
        path.write_bytes(self.random.choice(candidates))
        self.reactor.callLater(0.3, path.write_bytes, orjson.dumps(valid))  # for the next incarnation

    # End

    def end_last_incarnations(self) -> None:
        """End the last incarnation of each limiter while its clients still send requests."""
        for name in self.names:
            self.end_incarnation(self.current[name], LAST_ENDING)

    def on_run_timeout(self) -> None:
        """End a run that takes too long."""
        running = [f"{p.name} incarnation {p.incarnation}" for p in self.limiters() if not p.has_ended]
        self.problems.append(
            f"run did not end within {MAX_RUN_S:g} s; still running: {', '.join(running) or 'none'}"
        )
        self.finish([])

    def finish(self, seen: list[dict[str, Any]]) -> None:
        """Check the history, write the report and stop; `seen` are the events that the stand-ins recorded."""
        if self.run_timeout.active():
            self.run_timeout.cancel()
        self.is_finished = True
        for client in self.clients:
            client.stop()
        self.history += seen
        checked = soak_checks.check(self.history)
        broken = [f"{rule}: {text}" for rule, violations in checked.items() for text in violations]
        counts = Counter(event["what"] for event in self.history)
        broken += [f"nothing to check: no {what}" for what in REQUIRED_EVENTS if not counts[what]]
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
        for process in self.processes:
            if not process.has_ended:
                process.signal("KILL")
        self.reactor.callLater(0.2, self.reactor.stop)


def main() -> int:
    """Run one seed; return the exit status."""
    seed, out = int(sys.argv[1]), Path(sys.argv[2]).resolve()
    slack_s = float(sys.argv[3]) if len(sys.argv) > 3 else 0.0
    program = sys.argv[4].split() if len(sys.argv) > 4 else ["scalelb.program"]
    from twisted.internet import reactor

    loop: Any = reactor
    harness = SoakHarness(loop, draw_plan(seed), out, slack_s, program)
    loop.callWhenRunning(harness.start)
    loop.run()
    return harness.status


if __name__ == "__main__":
    sys.exit(main())
