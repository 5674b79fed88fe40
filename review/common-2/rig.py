"""Stand-ins and a starter for the cases of this review: deck servers, counter, discovery, limiter, clients.

Standard library only. All addresses are 127.0.0.1 with free ports. A case script imports this module, runs
one coroutine with `main`, and ends with 0 (the rule held), 1 (the rule was broken) or 2 (it could not run).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
MAX_CASE_S = 110.0
WRITERS: list[asyncio.StreamWriter] = []  # of the stand-ins' connections, to be closed at the end


class CannotRunError(Exception):
    """The case could not run; the script ends with 2."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.file = self.path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def line(self, *words: object) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")

    def say(self, *words: object) -> None:
        """Write one line, and print it."""
        self.line(*words)
        print(f"{self.now():8.3f}", *words, flush=True)


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the sample of the wire page, with one limiter."""
    plans = [("basic", 0, 12.0, 0.72, 1.8), ("standard", 0, 19.0, 1.3, 4.7), ("campus", 0, 36.0, 1.6, 17.0)]
    value: dict[str, Any] = {
        "balancers": 1,
        "classes": [
            {"aim-ms": 2000.0, "effect": "safe", "group": "all", "hard-limit-ms": 7500.0, "late-value": 0.2,
             "name": "fetch-cards", "stream": False, "window-ms": 5000.0, "worth": 2.0},
            {"aim-ms": 1000.0, "effect": "keyed", "group": "all", "hard-limit-ms": 4000.0, "late-value": 0.2,
             "name": "record-answer", "stream": False, "window-ms": 4000.0, "worth": 6.0},
        ],
        "clients": {"marks-retry": False},
        "dcs": ["bldg-a", "bldg-b", "bldg-c"],
        "discovery": "pushed",
        "extra": {"call-price": 0.005, "cost-after": False, "count-limit-ms": 30.0, "metering-ms": 0.0,
                  "most-units": 6, "peer-in-per-s": 0.0, "shared-counter": True},
        "family": "gate",
        "index": 0,
        "kinds": ["std-3core", "slow-3core"],
        "limits": {"cancel": True, "conn-idle-ms": 30000.0, "connect-timeout-ms": 250.0,
                   "cpu-us-per-request": 0.0, "cpu-us-per-s": 500000, "max-open": 20000,
                   "max-retry-after-ms": 1000.0, "peers": False, "probing": True, "retry-after": True,
                   "second-copies": False, "streams-per-conn": 32, "try-limit": 4},
        "load-report": {"fields": ["inflight", "queue"], "how": "probe"},
        "objective-mix": {"whole": 0.55, "worst-class": 0.0, "worst-tenant": 0.15, "worst-window": 0.3},
        "penalties": {"connection": 0.0, "cross-zone": 0.02, "discovery": 0.0, "handshake": 0.0,
                      "late-fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.014,
                      "waste": 0.058},
        "rules": {"answer-slack-ms": 16.0, "cold-from": 0.15, "cold-ms": 18000.0, "drain-grace-ms": 1000.0,
                  "fall-ms": 1500.0, "fall-multiple": 3.0, "must-ask-in-ms": 10000.0},
        "tariffs": [
            {"at-once": at_once, "cap-rate": 0.0, "hard-burst": 0.0, "hard-slack": 0.0, "most-at-once": burst,
             "name": name, "over-cost": 1.2, "over-worth": 0.0, "pays": pays, "units-per-s": rate}
            for name, at_once, burst, pays, rate in plans
        ],
        "tick-ms": 4.0, "tier": 0, "tiers": ["deck-servers"], "weights": "none", "zone": 0,
    }  # fmt: skip
    value.update(changes)
    return value


# Deck servers


class Parser:
    """Splits bytes into commands: arrays of bulk strings."""

    def __init__(self) -> None:
        self.data = b""

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the commands that are complete."""
        self.data += data
        commands, start = [], 0
        while (found := self._command(start)) is not None:
            command, start = found
            commands.append(command)
        self.data = self.data[start:]
        return commands

    def _line(self, start: int, mark: bytes) -> tuple[int, int] | None:
        end = self.data.find(b"\r\n", start)
        if end < 0:
            return None
        if self.data[start : start + 1] != mark:
            raise ValueError(f"not a command: {self.data[start : start + 20]!r}")
        return int(self.data[start + 1 : end]), end + 2

    def _command(self, start: int) -> tuple[list[bytes], int] | None:
        head = self._line(start, b"*")
        if head is None:
            return None
        count, at = head
        parts = []
        for _ in range(count):
            length = self._line(at, b"$")
            if length is None or len(self.data) < length[1] + length[0] + 2:
                return None
            parts.append(self.data[length[1] : length[1] + length[0]])
            at = length[1] + length[0] + 2
        return parts, at


def value_reply(value: bytes) -> bytes:
    """Return a deck server's good answer: the value, no figures on use, no load report."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


def listed(call: list[bytes]) -> dict[str, str]:
    """Return the list of names and values of a call."""
    return dict(item.split("=", 1) for item in call[3].decode().split(","))


class DeckLink:
    """One connection of a limiter to a deck server."""

    def __init__(self, deck: Deck, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.deck, self.reader, self.writer = deck, reader, writer
        self.ended = False
        deck.links.append(self)
        WRITERS.append(writer)

    async def run(self) -> None:
        """Serve the commands of the connection, in order; each begins once its last byte has come."""
        parser = Parser()
        queue: asyncio.Queue[asyncio.Task[bytes]] = asyncio.Queue()
        sender = asyncio.create_task(self._send(queue))
        try:
            while data := await self.reader.read(65536):
                for command in parser.feed(data):
                    queue.put_nowait(asyncio.create_task(self.deck.begin(self, command)))
        except OSError:
            pass
        finally:
            self.ended = True
            sender.cancel()
            with contextlib.suppress(OSError, RuntimeError):
                self.writer.close()

    async def _send(self, queue: asyncio.Queue[asyncio.Task[bytes]]) -> None:
        with contextlib.suppress(OSError):
            while True:
                reply = await (await queue.get())
                self.writer.write(reply)
                await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and not self.ended:
            self.writer.transport.abort()


Work = Callable[["Deck", DeckLink, list[bytes]], Awaitable[bytes]]


class Deck:
    """A deck server. `work` answers a call; the default waits `work_s` and names server and request."""

    def __init__(self, name: str, record: Record, work: Work | None = None, work_s: float = 0.02) -> None:
        self.name, self.record, self.work, self.work_s = name, record, work, work_s
        self.links: list[DeckLink] = []
        self.calls: list[tuple[float, str, dict[str, str]]] = []  # when, id, list of values
        self.address = ""
        self.inflight = 0
        self.died = False

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            lambda r, w: DeckLink(self, r, w).run(), HOST, 0, backlog=512
        )
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def begin(self, link: DeckLink, command: list[bytes]) -> bytes:
        """Run one command and return its answer."""
        name = command[0].upper()
        if name == b"PING":
            return b"+PONG\r\n"
        if name == b"INFO":
            report = b"inflight=%d,queue=0" % self.inflight
            return b"$%d\r\n%s\r\n" % (len(report), report)
        if name in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if name not in (b"CALL.GET", b"CALL.POST") or len(command) not in (4, 5):
            return b"-ERR unknown\r\n"
        ident = command[2].decode()
        self.calls.append((self.record.now(), ident, listed(command)))
        self.record.line("deck", self.name, "gets", ident, command[3].decode())
        self.inflight += 1
        try:
            if self.work is not None:
                return await self.work(self, link, command)
            await asyncio.sleep(self.work_s)
            return value_reply(f"{self.name} {ident}".encode())
        finally:
            self.inflight -= 1


# Discovery and the counter


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str] | None:
    """Return method and target of the next HTTP request without a body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ", 2)
    return method, target


def http_answer(status: str, body: bytes) -> bytes:
    """Return an HTTP response."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


class Discovery:
    """Discovery's agent: the whole list, and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.address = ""

    def add(self, deck: Deck, zone: str = "bldg-a") -> None:
        """Add a deck server to the list, before the start."""
        self.entries[deck.name] = {
            "instanceId": deck.name, "hostPort": deck.address, "zone": zone, "machineType": "std-3core",
            "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip

    async def change(self, name: str, **fields: Any) -> None:
        """Change an entry and answer the open watches."""
        self.generation += 1
        entry = {**self.entries[name], **fields}
        if entry["lifecycle"] == "gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.changes.append((self.generation, entry))
        self.record.line("discovery", self.generation, name, fields)
        async with self.changed:
            self.changed.notify_all()

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITERS.append(writer)
        with contextlib.suppress(OSError):
            while (request := await read_request(reader)) is not None:
                query = parse_qs(urlsplit(request[1]).query)
                writer.write(http_answer("200 OK", json.dumps(await self._list(query)).encode()))
                await writer.drain()
            writer.close()

    async def _list(self, query: dict[str, list[str]]) -> dict[str, Any]:
        if "from" not in query:
            return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}
        known = int(query["from"][0])
        hold_s = min(60_000.0, float(query.get("hold_ms", ["0"])[0])) / 1000
        with contextlib.suppress(asyncio.TimeoutError):
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.generation > known), hold_s)
        changed = [entry for at, entry in self.changes if at > known]
        return {"generation": self.generation, "reset": False, "instances": changed}


class Counter:
    """The counter: adds an amount to a named number."""

    def __init__(self) -> None:
        self.numbers: dict[str, float] = {}
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITERS.append(writer)
        with contextlib.suppress(OSError):
            while (request := await read_request(reader)) is not None:
                parts = urlsplit(request[1])
                name, delta = parts.path.rpartition("/")[2], float(parse_qs(parts.query)["delta"][0])
                await asyncio.sleep(0.001)
                self.numbers[name] = self.numbers.get(name, 0.0) + delta
                writer.write(http_answer("200 OK", f"{self.numbers[name]:.6f}".encode()))
                await writer.drain()
            writer.close()


# The limiter


class Limiter:
    """One limiter, started with the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], **environment: str) -> None:
        self.record, self.folder, self.config = record, folder, config
        self.port = int(config["listen"].rpartition(":")[2])
        self.environment = environment
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{config['name']}.log"
        self.config_path = folder / f"{config['name']}.json"
        self.killed = False

    def write_config(self) -> None:
        """Write the configuration file, in one step."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.rename(self.config_path)

    async def start(self, pass_fds: tuple[int, ...] = ()) -> None:
        """Start the program."""
        self.write_config()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        scratch = self.folder / f"{self.config['name']}.tmp"
        scratch.mkdir(exist_ok=True)
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "SCALELB_"))
        }
        environment |= {
            "EDGE_NAME": self.config["name"], "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"], "EDGE_CONFIG": str(self.config_path),
            "TMPDIR": str(scratch), "PYTHONDONTWRITEBYTECODE": "1",
        } | self.environment  # fmt: skip
        log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, pass_fds=pass_fds,
        )  # fmt: skip
        log.close()
        self.record.line("limiter", self.config["name"], "started")

    async def ready(self, timeout_s: float = 30.0) -> None:
        """Wait until `PING` is answered with `PONG`."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRunError(f"the limiter ended with {self.process.returncode} before it was ready")
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if answer == b"+PONG\r\n":
                    self.record.line("limiter", self.config["name"], "ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the limiter is not ready")

    def memory_mb(self) -> float:
        """Return the resident memory of the program now."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.record.line("signal", signal.Signals(number).name, "to", self.config["name"])
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the program and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log_lines(self, event: str = "") -> list[dict[str, Any]]:
        """Return the lines of the program's log, of one event or of all."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if not event or entry.get("event") == event or event in entry.values():
                    found.append(entry)
        return found


# Clients


def call(
    ident: str, customer: int, kind: str = "fetch-cards", plan: str = "basic", d: int = 7500, units: int = 1,
    key: str = "", body: bytes | None = None,
) -> bytes:  # fmt: skip
    """Return a client's request."""
    name = "CALL.GET" if kind.startswith("fetch") else "CALL.POST"
    keyed = f"k={key}," if key else ""
    values = f"c={kind},t={plan},d={d},{keyed}units={units},spread=1,first=0"
    words = [name.encode(), b"%016x" % customer, ident.encode(), values.encode()]
    if body is not None:
        words.append(body)
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer: a bulk string's content, or a whole line with its type byte."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] != b"$":
        return line[:-2]
    data = await reader.readexactly(int(line[1:-2]) + 2)
    return b"$" + data[:-2]


# Running a case


class Case:
    """The stand-ins of one case, and its temporary folder."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.discovery, self.counter = Discovery(self.record), Counter()
        self.decks: list[Deck] = []
        self.limiters: list[Limiter] = []

    async def begin(self, decks: list[Deck]) -> None:
        """Start the stand-ins."""
        await self.counter.listen()
        await self.discovery.listen()
        for deck in decks:
            await deck.listen()
            self.discovery.add(deck)
        self.decks = decks

    def config(self, name: str = "n0", **changes: Any) -> dict[str, Any]:
        """Return a limiter's configuration."""
        value = {
            "name": name, "listen": f"{HOST}:{free_port()}", "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": self.counter.address, "settings": settings(),
            "known": {"generation": self.discovery.generation, "reset": True,
                      "instances": list(self.discovery.entries.values())},
        }  # fmt: skip
        value.update(changes)
        return value

    def limiter(self, config: dict[str, Any], **environment: str) -> Limiter:
        """Return a limiter, which is ended with the case."""
        made = Limiter(self.record, self.folder, config, **environment)
        self.limiters.append(made)
        return made

    async def end(self) -> None:
        """End all processes and remove the folder."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in WRITERS:
            writer.transport.abort()
        await asyncio.sleep(0)
        for limiter in self.limiters:
            await limiter.end()
            if limiter.log_path.exists() and os.environ.get("KEEP_LOG"):
                shutil.copy(limiter.log_path, os.environ["KEEP_LOG"])
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.close()


def main(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Run a case: `play` returns whether the rule held. Ends the process with 0, 1 or 2."""

    async def run() -> int:
        case = Case(folder)
        task = asyncio.ensure_future(play(case))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            held = await asyncio.wait_for(task, MAX_CASE_S)
        except (Exception, asyncio.CancelledError) as error:  # a fault of the script is not a broken rule
            case.record.say(f"could not run: {type(error).__name__}: {error}")
            return 2
        else:
            case.record.say("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        finally:
            await case.end()

    sys.exit(asyncio.run(run()))
