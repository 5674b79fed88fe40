"""Fault injection: several real limiters, stand-ins and relays on loopback, with faults at observed events.

`python -m scalelb.lab.faults SCHEDULE.toml OUT` runs a schedule, writes `history.jsonl` and `report.json`,
and exits with 1 if a checker found a violation. Everything runs in one event loop: a relay that sees a
message can have a limiter killed before it forwards the message. Processes are ended by the id they were
started with.
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
from scalelb.transport.stream import Stream, StreamFactory

# For a step's event, and for equal digests at the end.  It is generous, as no rule depends on it.
STEP_TIMEOUT_S = 90.0
SETTLE_S = 9.0  # from the end of the load until every request is over: more than the longest deadline
PLAN = "basic"
BACKENDS = 4


class JsonLinesProcess(ProcessProtocol):
    """A process that writes lines of JSON."""

    def __init__(self, harness: FaultHarness, name: str, log: Path | None) -> None:
        self.harness, self.name = harness, name
        self.partial_lines: dict[int, bytes] = {1: b"", 2: b""}
        self.log_file = log.open("ab") if log is not None else None
        self.has_ended = False

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        """Parse the output of the process; copy its standard error to the log file."""
        if childFD == 2 and self.log_file is not None:
            self.log_file.write(data)
        *lines, self.partial_lines[childFD] = (self.partial_lines[childFD] + data).split(b"\n")
        for line in lines:
            with suppress(orjson.JSONDecodeError):
                self.harness.on_line(self, orjson.loads(line))

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Close the log file and report the exit status."""
        self.has_ended = True
        if self.log_file is not None:
            self.log_file.close()
        self.harness.on_process_ended(self, reason.value.exitCode)


class RequestConnection(Stream):
    """A client that sends one request on its own connection."""

    def __init__(self, harness: FaultHarness, ident: str, limiter: str, command: bytes, event: Event) -> None:
        self.harness, self.ident, self.limiter, self.command, self.event = (
            harness, ident, limiter, command, event,
        )  # fmt: skip
        self.reader, self.is_done = resp.ReplyReader(), False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        super().connectionMade()
        self.harness.note("ask", **self.event)
        self.send(self.command)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the answer."""
        try:
            reply = self.reader.read(data)
        except MalformedError:
            self.abort()
            return
        if reply is None or self.is_done:
            return
        self.is_done = True
        verdict, made_for = "failed", ""
        if reply.value is not None:
            verdict = "served"
            made_for = bytes(reply.value).split(b"\r\n")[1].rpartition(b" ")[2].decode("ascii", "replace")
        elif reply.line.startswith(b"-BUSY"):
            verdict = "refused"
        self.harness.on_answer(self, verdict, made_for)
        self.close()

    def lost(self) -> None:
        """Record that the connection ended without an answer."""
        if not self.is_done:
            self.is_done = True
            self.harness.note("lost", ident=self.ident)


class FaultHarness:
    """One run of a schedule."""

    def __init__(self, reactor: Any, schedule: Schedule, out: Path) -> None:
        self.reactor, self.schedule, self.out = reactor, schedule, out
        self.history: list[Event] = []
        self.random = random.Random(schedule.seed)
        self.processes: dict[str, JsonLinesProcess] = {}
        self.transports: dict[str, Any] = {}
        self.ports: dict[str, int] = {}  # of the limiters that run
        self.addresses: dict[str, Any] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.steps = deque(schedule.steps)
        self.observed: Counter[Any] = Counter()  # events since the last step
        self.is_loading = self.is_awaiting_quiet = self.is_closing = self.has_stopped = False
        self.request_count = self.fault_count = 0
        self.digests: dict[str, str] = {}  # each limiter's digest of its replicated state
        self.problems: list[str] = []
        self.timeout: Any = None
        self.status = 1

    # Start

    def start(self) -> None:
        """Start the stand-ins; the relays and the limiters follow when the addresses are known."""
        self.out.mkdir(parents=True, exist_ok=True)
        self.restart_timeout()
        self.spawn("stand-ins", ["scalelb.lab.standins"], {}, None)
        plan = {
            "decks": [{"name": f"deck-{n}", "cores": 4, "speed": 1.0, "room": 50} for n in range(BACKENDS)],
            "work_ms": {str(kind["name"]): 10.0 for kind in CLASSES},
            "counter_ms": 0.5,
            "record": True,
        }
        self.send_command(plan)

    def spawn(self, name: str, module: list[str], extra: dict[str, str], log: Path | None) -> None:
        """Start a process; `extra`: environment variables to add."""
        environment = {n: v for n, v in os.environ.items() if not n.startswith(("EDGE_", "SCALELB_"))} | extra
        process = self.processes[name] = JsonLinesProcess(self, name, log)
        fds = {0: "w", 1: "r", 2: "r" if log is not None else 2}
        command = [sys.executable, "-m", *module]
        spawn = self.reactor.spawnProcess
        self.transports[name] = spawn(process, sys.executable, command, environment, childFDs=fds)

    def send_command(self, command: dict[str, Any]) -> None:
        """Send a command to the stand-ins."""
        self.transports["stand-ins"].write(orjson.dumps(command) + b"\n")

    def start_limiters(self) -> None:
        """Create a relay for each ordered pair of limiters, write their configuration and start them."""
        names = self.schedule.names
        for dialer in names:
            for listener in names:
                if dialer != listener:
                    self.relays[dialer, listener] = Relay(self.reactor, (dialer, listener), self.on_message)
        fleet = Fleet(servers=BACKENDS)
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
            link_text = "".join(f"{key} = {orjson.dumps(value).decode()}\n" for key, value in link.items())
            (self.out / f"{name}.toml").write_text(link_text + toml_text({"members": members}))
        for name in names:
            self.start_limiter(name)

    def start_limiter(self, name: str) -> None:
        """Start a limiter."""
        variables = {
            "EDGE_CONFIG": str(self.out / f"{name}.json"),
            "SCALELB_PEERS": str(self.out / f"{name}.toml"),
        }
        self.spawn(name, ["scalelb.program"], variables, self.out / f"{name}.log")

    # Observed events

    def note(self, what: str, **fields: Any) -> None:
        """Append an event to the history."""
        self.history.append({"what": what, "seen": time.time() * 1000.0, **fields})

    def on_line(self, process: JsonLinesProcess, line: dict[str, Any]) -> None:
        """Handle a line that a process has written."""
        if process.name == "stand-ins":
            if "discovery" in line:
                self.addresses = line
                self.start_limiters()
            elif "decks" in line:
                self.finish(line)
            return
        if self.processes.get(process.name) is not process:
            return
        event = line.get("event", "")
        if event == "started":
            self.ports[process.name] = line["port"]
            for (_, target), relay in self.relays.items():
                if target == process.name and "peers" in line["fronts"]:
                    relay.target = ("127.0.0.1", line["fronts"]["peers"])
        elif event == "quiet":
            self.digests[process.name] = line["digest"]
            self.check_digests()
        elif event == "list":  # this limiter knows from now on which backends are draining
            for backend, state in line["servers"].items():
                if state == "draining":
                    self.note("drain", deck=backend, at=1000.0 * line["at"])
        elif event == "fault":
            self.fault_count += 1
            self.problems.append(f"{process.name}: logged a fault; see its log")
        self.observed["log", event, process.name] += 1
        self.observed["log", event, ""] += 1
        all_run = set(self.ports) == set(self.schedule.names)
        if event == "ready" and self.steps and not self.is_loading and all_run:
            self.is_loading = True
            self.send_request()
        self.run_due_steps()

    def on_message(self, source: str, target: str, message: bytes) -> None:
        """Count a message between limiters before the relay forwards it."""
        if b'"hello"' not in message:
            self.observed["messages", source, target] += 1
            self.observed["messages", source, ""] += 1
            self.run_due_steps()

    def on_answer(self, client: RequestConnection, verdict: str, made_for: str) -> None:
        """Record the final answer to a client."""
        at = time.time() * 1000.0
        self.note("answer", ident=client.ident, verdict=verdict, made_for=made_for, at=at)
        self.observed["answers"] += 1
        self.run_due_steps()

    def on_process_ended(self, process: JsonLinesProcess, status: int | None) -> None:
        """Report a process that failed without being killed by the harness."""
        if self.processes.get(process.name) is process and status and not self.is_closing:
            self.problems.append(f"{process.name}: exited with status {status}")

    # Load

    def send_request(self) -> None:
        """Send the next request and schedule the one after it.

        The load is open: its rate does not depend on earlier answers.
        """
        if not self.is_loading or self.is_closing:
            return
        self.request_count += 1
        limiter = self.random.choice(self.schedule.names)
        is_keyed = self.random.random() < self.schedule.keyed
        kind = CLASSES[is_keyed]
        tenant = f"{self.random.randrange(self.schedule.customers) + 1:016x}"
        units = self.random.randint(1, 3)
        ident, key = (
            f"{self.request_count + (self.schedule.seed << 32):016x}",
            f"{self.random.getrandbits(64):016x}",
        )
        values = f"c={kind['name']},t={PLAN},d={kind['hard-limit-ms']}" + f",k={key}" * is_keyed
        values += f",units={units},spread={len(self.schedule.names)},first=0"
        parts = ["CALL.POST" if is_keyed else "CALL.GET", tenant, ident, values, *["answer"] * is_keyed]
        command = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p.encode()) for p in parts)
        event: Event = {"ident": ident, "limiter": limiter, "customer": tenant, "plan": PLAN}
        event |= {"units": units, "key": key, "dialled": time.time() * 1000.0}
        port = self.ports.get(limiter)
        if port is not None:
            client = RequestConnection(self, ident, limiter, command, event)
            self.reactor.connectTCP("127.0.0.1", port, StreamFactory(client, lambda: None), timeout=2)
        self.reactor.callLater(self.random.expovariate(self.schedule.per_s), self.send_request)

    # Steps

    def run_due_steps(self) -> None:
        """Run the next steps whose events have been observed."""
        while self.steps and self.is_due(self.steps[0]):
            step = self.steps.popleft()
            self.observed.clear()
            self.restart_timeout()
            self.run_step(step)
            if not self.steps:
                self.reactor.callLater(0, self.stop_load)

    def is_due(self, step: Step) -> bool:
        """Return whether the events that a step waits for have been observed."""
        if step.wait == "log":
            return self.observed["log", step.what, step.source] >= step.count
        if step.wait == "messages":
            return self.observed["messages", step.source, step.target] >= step.count
        return step.wait == "" or self.observed["answers"] >= step.count

    def run_step(self, step: Step) -> None:
        """Inject a fault or end one."""
        self.note("fault", do=step.do, of=step.of, to=step.to)
        if step.do in ("kill", "stall", "wake"):
            self.send_signal(step.of, {"kill": "KILL", "stall": "STOP", "wake": "CONT"}[step.do])
        elif step.do == "start":
            self.ports.pop(step.of, None)
            self.start_limiter(step.of)
        elif step.do == "counter":
            self.send_command({"counter": step.how})
        elif step.do == "drain":
            self.send_command({"drain": step.of})
        elif step.do == "load":
            self.schedule = Schedule(**{**self.schedule.__dict__, "per_s": float(step.how)})
        elif step.do != "nothing":
            self.change_links(step)

    def change_links(self, step: Step) -> None:
        """Apply a link fault between one limiter (or all) and another (or all)."""
        sources = self.schedule.names if step.of in ("", "all") else [step.of]
        targets = self.schedule.names if step.to in ("", "all") else [step.to]
        for (dialer, listener), relay in self.relays.items():
            if step.do == "reset":
                if {dialer, listener} & set(sources) and {dialer, listener} & set(targets):
                    relay.reset()
                continue
            way = Way(step.do)
            if dialer in sources and listener in targets:
                relay.set(True, way, step.delay_ms)
            if listener in sources and dialer in targets:
                relay.set(False, way, step.delay_ms)
            if not step.one_way and dialer in targets and listener in sources:
                relay.set(True, way, step.delay_ms)
            if not step.one_way and listener in targets and dialer in sources:
                relay.set(False, way, step.delay_ms)

    def send_signal(self, name: str, signal_name: str) -> None:
        """Send a signal to a process that the harness started."""
        with suppress(error.ProcessExitedAlready):
            self.transports[name].signalProcess(getattr(signal, "SIG" + signal_name).value)
        if signal_name == "KILL":
            self.processes[name] = JsonLinesProcess(self, name, None)  # lines of the killed one are ignored
            self.processes[name].has_ended = True
            self.ports.pop(name, None)

    def restart_timeout(self) -> None:
        """Restart the time limit for the next expected event."""
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.timeout = self.reactor.callLater(STEP_TIMEOUT_S, self.on_timeout)

    def on_timeout(self) -> None:
        """Report the expected event that was not observed, and end the run."""
        step = self.steps[0] if self.steps else None
        self.problems.append(
            f"not observed within {STEP_TIMEOUT_S:g} s: {step if step is not None else 'quiet'}"
        )
        self.request_report()

    # End

    def stop_load(self) -> None:
        """Stop the load and wait until all requests are over."""
        self.is_loading = False
        self.reactor.callLater(SETTLE_S, self.await_quiet)

    def await_quiet(self) -> None:
        """Wait until all running limiters have reported the same digest."""
        self.restart_timeout()
        self.is_awaiting_quiet = True
        self.check_digests()

    def check_digests(self) -> None:
        """Request the stand-ins' report once all running limiters have reported the same digest."""
        if not self.is_awaiting_quiet:
            return
        running = [name for name in self.schedule.names if name in self.ports]
        digests = [self.digests.get(name, name) for name in running]
        if not self.schedule.linked or len(set(digests)) == 1:
            self.is_awaiting_quiet = False
            for name, state in zip(running, digests, strict=True):
                if self.schedule.linked:
                    self.note("digest", limiter=name, state=state)
            self.request_report()

    def request_report(self) -> None:
        """Ask the stand-ins for their report."""
        self.send_command({"tell": True})

    def finish(self, stand_in_report: dict[str, Any]) -> None:
        """Check the history, write the report and end the run."""
        if self.timeout.active():
            self.timeout.cancel()
        self.is_closing = True
        for recorded in stand_in_report["seen"]:
            self.history.append(recorded)
        only = [n for n in CHECKERS if not (n.startswith("nothing new") and not self.has_drain())]
        only = [n for n in only if self.schedule.linked or not n.startswith("copies")]
        results = check(self.history, only)
        plans = {PLAN: (self.schedule.rate, self.schedule.burst)}
        take_count = sum(e["what"] == "take" for e in self.history)
        results["quotas over all limiters"] = take_count, quotas(self.history, plans, self.schedule.bound)
        broken = [f"{name}: {text}" for name, (_, violations) in results.items() for text in violations]
        broken += [f"{name}: nothing to check" for name, (count, _) in results.items() if not count]
        broken += self.problems + [f"step not reached: {step.do} {step.of}" for step in self.steps]
        verdicts = Counter(e["verdict"] for e in self.history if e["what"] == "answer")
        report = {
            "name": self.schedule.name,
            "broken": broken,
            "checked": {name: count for name, (count, _) in results.items()},
            "answers": dict(verdicts),
            "faults": sum(e["what"] == "fault" for e in self.history),
            "lost": sum(e["what"] == "lost" for e in self.history),
            "use": {
                tenant: [units, round(allowed, 1), round(units / allowed, 3)]
                for tenant, (units, allowed) in quota_use(self.history, plans).items()
            },
        }
        with (self.out / "history.jsonl").open("wb") as file:
            file.writelines(orjson.dumps(event) + b"\n" for event in self.history)
        (self.out / "report.json").write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2))
        print(orjson.dumps(report).decode(), flush=True)
        self.status = 1 if broken else 0
        self.end()

    def has_drain(self) -> bool:
        """Return whether a backend was drained in this run."""
        return any(event["what"] == "drain" for event in self.history)

    def end(self) -> None:
        """Kill all processes by the ids that they were started with, and stop."""
        self.is_closing = True
        for name, transport in self.transports.items():
            if not self.processes[name].has_ended:
                with suppress(error.ProcessExitedAlready):
                    transport.signalProcess("KILL")
        self.reactor.callLater(0.2, self.stop)

    def stop(self) -> None:
        """Stop the event loop, if that was not done before."""
        if not self.has_stopped:
            self.has_stopped = True
            self.reactor.stop()


def main() -> int:
    """Run one schedule."""
    try:
        schedule = read_schedule(Path(sys.argv[1]))
    except ExperimentError as invalid:
        print(invalid, file=sys.stderr)
        return 2
    from twisted.internet import reactor

    any_reactor: Any = reactor
    harness = FaultHarness(any_reactor, schedule, Path(sys.argv[2]).resolve())
    any_reactor.callWhenRunning(harness.start)
    any_reactor.addSystemEventTrigger("before", "shutdown", harness.end)
    any_reactor.run()
    return harness.status


if __name__ == "__main__":
    sys.exit(main())
