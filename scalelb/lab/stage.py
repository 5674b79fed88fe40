"""Runs one variant of an experiment on loopback: stand-ins, the real program and the load, each a process
of its own.

Every process is ended by the id that it was started with, whatever happens, and nothing listens beyond
127.0.0.1.
"""

from __future__ import annotations

import os
import select
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import orjson

from scalelb.lab.experiment import CLASSES, KINDS, Experiment, Variant
from scalelb.lab.rows import Row, read_rows
from scalelb.lab.standins import draw_speeds

READY_S, STOP_S, ANSWER_S = 15.0, 12.0, 5.0  # a process may take to be ready, to stop, to answer
OF_DECKS = ("twice", "malformed", "after_drain")  # what breaks a rule, as stand-ins and load count it
OF_LOAD = ("wrong", "malformed", "unanswered")
Progress = Callable[[float], None]


class ProcessError(Exception):
    """A process did not do what it should; the message names it."""


@dataclass
class VariantResult:
    """What one variant came to."""

    variant: str
    rows: list[Row]
    load: dict[str, Any] = field(default_factory=dict)  # how the load itself fared
    standins: dict[str, Any] = field(default_factory=dict)  # what they saw, rules broken among it
    limiters: list[dict[str, Any]] = field(default_factory=list)  # time, memory, the door

    def broken(self) -> list[str]:
        """Rules that were broken, in words."""
        seen = [(name, deck, OF_DECKS) for name, deck in self.standins.get("decks", {}).items()]
        seen += [("load", self.load, OF_LOAD)]
        return [f"{name}: {word} {told[word]}" for name, told, some in seen for word in some if told[word]]


@contextmanager
def process(command: list[str], **more: Any) -> Iterator[subprocess.Popen[bytes]]:
    """A process that is ended by its id when this is left."""
    started = subprocess.Popen(command, **more)
    try:
        yield started
    finally:
        for ending in (signal.SIGTERM, signal.SIGKILL):
            if started.poll() is None:
                with suppress(ProcessLookupError):
                    started.send_signal(ending)
                with suppress(subprocess.TimeoutExpired):
                    started.wait(STOP_S)


def play(
    experiment: Experiment, variant: Variant, out: Path, progress: Progress = lambda part: None
) -> VariantResult:
    """Run a variant; rows, logs and configuration stay in `out`."""
    out.mkdir(parents=True, exist_ok=True)
    with ExitStack() as stack:
        standins = stack.enter_context(_standins(experiment, variant))
        addresses = _line(standins, READY_S, "stand-ins")
        limiters, ports = [], []
        for index in range(variant.limiters):
            log = out / f"limiter-{index}.log"
            limiter = _limiter(experiment, variant, index, addresses, out, log)
            limiters.append(stack.enter_context(limiter))
            ports.append(_ready(limiters[-1], log, index))
        told = _load(stack, experiment, variant, ports, out, progress)
        _command(standins, {"tell": True})
        seen = _line(standins, ANSWER_S, "stand-ins")
        for limiter in limiters:
            limiter.send_signal(signal.SIGTERM)
        for index, limiter in enumerate(limiters):
            try:
                if limiter.wait(STOP_S):
                    raise ProcessError(f"limiter {index}: ended with status {limiter.returncode}")
            except subprocess.TimeoutExpired:
                raise ProcessError(f"limiter {index}: did not stop") from None
    measured = [_measured(out / f"limiter-{index}.log") for index in range(variant.limiters)]
    played = VariantResult(variant.name, read_rows(out / "rows.parquet"), told, seen, measured)
    found = {"load": told, "standins": seen, "limiters": measured, "broken": played.broken()}
    (out / "seen.json").write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
    return played


def _standins(experiment: Experiment, variant: Variant) -> Any:
    fleet = experiment.fleet
    drawn = draw_speeds(fleet.servers, *fleet.speeds, variant.seed)
    plan = {
        "decks": [
            {
                "name": f"deck-{n}", "cores": fleet.cores, "speed": speed, "room": fleet.room,
                "cold_from": fleet.cold_from if n < fleet.cold else 1.0, "cold_ms": fleet.cold_ms,
            }
            for n, speed in enumerate(drawn)
        ],
        "work_ms": dict(zip(KINDS, fleet.work_ms, strict=True)),
        "counter_ms": experiment.counter_ms,
    }  # fmt: skip

    @contextmanager
    def started() -> Iterator[subprocess.Popen[bytes]]:
        command = [sys.executable, "-m", "scalelb.lab.standins"]
        with process(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as found:
            _command(found, plan)
            yield found

    return started()


def _limiter(
    experiment: Experiment, variant: Variant, index: int, addresses: Any, out: Path, log: Path
) -> Any:
    config = {
        "name": f"limiter-{index}", "listen": "127.0.0.1:0", "seed": f"{variant.seed * 31 + index:x}",
        **addresses, "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": experiment.settings_object(variant, index),
    }  # fmt: skip
    (out / f"limiter-{index}.json").write_bytes(orjson.dumps(config, option=orjson.OPT_INDENT_2))
    door = out / "fairness.toml"
    door.write_text(toml_text(experiment.admission_queue_object(variant)))
    environment = {
        **{name: value for name, value in os.environ.items() if not name.startswith(("EDGE_", "SCALELB_"))},
        "EDGE_CONFIG": str(out / f"limiter-{index}.json"),
        "SCALELB_FAIRNESS": str(door),
    }
    command = [sys.executable, "-m", "scalelb.program"]

    @contextmanager
    def started() -> Iterator[subprocess.Popen[bytes]]:
        with log.open("wb") as file, process(command, env=environment, stderr=file) as found:
            yield found

    return started()


def toml_text(tables: dict[str, dict[str, Any]]) -> str:
    """Tables of plain values as TOML."""
    lines: list[str] = []
    for name, table in tables.items():
        lines.append(f"[{name}]")
        for pair in table.items():  # JSON's plain values are TOML's
            lines.append(" = ".join(orjson.dumps(word).decode() for word in pair))
    return "\n".join(lines) + "\n"


def _ready(limiter: subprocess.Popen[bytes], log: Path, index: int) -> str:
    """Wait until a limiter takes requests; returns its address."""
    until, port = time.monotonic() + READY_S, 0
    while time.monotonic() < until:
        for event in events(log):
            port = event["port"] if event.get("event") == "started" else port
            if event.get("event") == "ready" and port:
                return f"127.0.0.1:{port}"
        if limiter.poll() is not None:
            raise ProcessError(f"limiter {index}: ended at its start; see {log}")
        time.sleep(0.02)
    raise ProcessError(f"limiter {index}: not ready after {READY_S:g} s; see {log}")


def events(log: Path) -> list[dict[str, Any]]:
    """The whole lines of a limiter's log."""
    found = []
    for line in log.read_bytes().split(b"\n")[:-1]:
        with suppress(orjson.JSONDecodeError):
            found.append(orjson.loads(line))
    return found


def _load(
    stack: ExitStack,
    experiment: Experiment,
    variant: Variant,
    ports: list[str],
    out: Path,
    progress: Progress,
) -> dict[str, Any]:
    until = 1000.0 * (experiment.seconds + experiment.settle_s)
    plan = {
        "limiters": ports, "variant": variant.name, "classes": CLASSES, "plans": list(experiment.plans),
        "clients": asdict(experiment.clients), "max_retry_after_ms": experiment.max_retry_after_ms,
        "arrivals": [list(asdict(arrival).values()) for arrival in experiment.arrivals(variant)],
        "until_ms": until, "seed": variant.seed, "out": str(out / "rows.parquet"),
    }  # fmt: skip
    command = [sys.executable, "-m", "scalelb.lab.load"]
    load = stack.enter_context(process(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE))
    _command(load, plan, last=True)
    ends = time.monotonic() + until / 1000.0 + 60.0
    while True:
        told: dict[str, Any] = _line(load, max(0.0, ends - time.monotonic()), "load")
        if told.get("done"):
            load.wait(STOP_S)
            return told
        progress(min(1.0, told["at"] / until))


def _command(to: subprocess.Popen[bytes], command: dict[str, Any], last: bool = False) -> None:
    assert to.stdin is not None
    to.stdin.write(orjson.dumps(command) + b"\n")
    to.stdin.flush()
    if last:
        to.stdin.close()


def _line(of: subprocess.Popen[bytes], seconds: float, name: str) -> Any:
    """The next line that a process writes."""
    assert of.stdout is not None
    if not select.select([of.stdout], [], [], seconds)[0]:
        raise ProcessError(f"{name}: said nothing for {seconds:.0f} s")
    line = of.stdout.readline()
    if not line:
        raise ProcessError(f"{name}: ended with status {of.wait()}")
    return orjson.loads(line)


def _measured(log: Path) -> dict[str, Any]:
    """What a limiter's tallies come to."""
    tallies = [event for event in events(log) if event.get("event") == "tally"]
    counts: dict[str, int] = {}
    for tally in tallies:
        for name, count in [*tally["counts"].items(), *tally.get("promises", {}).items()]:
            counts[name] = counts.get(name, 0) + count
    last = tallies[-1] if tallies else {}
    return {
        "cpu_ms": round(sum(tally["cpu_ms"] for tally in tallies), 1),
        "memory_mb": max((tally["memory_mb"] for tally in tallies), default=0.0),
        "counts": counts,
        "door": last.get("door", {}),
        "faults": sum(event.get("event") == "fault" for event in events(log)),
    }
