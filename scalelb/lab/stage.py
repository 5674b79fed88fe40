"""Runs one variant of an experiment on loopback: stand-ins, the real program and the load, each in a process
of its own.

Every process is ended by the id that it was started with, also after an error, and nothing listens on an
address other than 127.0.0.1.
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

READY_TIMEOUT_S, STOP_TIMEOUT_S, ANSWER_TIMEOUT_S = 15.0, 12.0, 5.0  # for a process to be ready, stop, answer
BACKEND_VIOLATIONS = ("twice", "malformed", "after_drain")  # counts of the stand-ins that have to be 0
LOAD_VIOLATIONS = ("wrong", "malformed", "unanswered")  # counts of the load that have to be 0
Progress = Callable[[float], None]


class ProcessError(Exception):
    """A process failed or did not respond; the message names it."""


@dataclass
class VariantResult:
    """The results of one variant."""

    variant: str
    rows: list[Row]
    load: dict[str, Any] = field(default_factory=dict)  # the report of the load
    standins: dict[str, Any] = field(default_factory=dict)  # the report of the stand-ins
    limiters: list[dict[str, Any]] = field(default_factory=list)  # CPU time, memory, admission queue

    def broken(self) -> list[str]:
        """Return the rules that were broken, as texts."""
        reports = [
            (name, backend, BACKEND_VIOLATIONS) for name, backend in self.standins.get("decks", {}).items()
        ]
        reports += [("load", self.load, LOAD_VIOLATIONS)]
        return [
            f"{name}: {key} {counts[key]}" for name, counts, keys in reports for key in keys if counts[key]
        ]


@contextmanager
def process(command: list[str], **options: Any) -> Iterator[subprocess.Popen[bytes]]:
    """Start a process; on leaving the context, end it by its id."""
    started = subprocess.Popen(command, **options)
    try:
        yield started
    finally:
        for ending in (signal.SIGTERM, signal.SIGKILL):
            if started.poll() is None:
                with suppress(ProcessLookupError):
                    started.send_signal(ending)
                with suppress(subprocess.TimeoutExpired):
                    started.wait(STOP_TIMEOUT_S)


def play(
    experiment: Experiment, variant: Variant, out: Path, progress: Progress = lambda ratio: None
) -> VariantResult:
    """Run a variant.

    Rows, logs and configuration are written to `out`; `progress` is called with the ratio that is done.
    """
    out.mkdir(parents=True, exist_ok=True)
    with ExitStack() as stack:
        standins = stack.enter_context(_stand_ins(experiment, variant))
        addresses = _read_line(standins, READY_TIMEOUT_S, "stand-ins")
        limiters, ports = [], []
        for index in range(variant.limiters):
            log = out / f"limiter-{index}.log"
            limiter = _limiter(experiment, variant, index, addresses, out, log)
            limiters.append(stack.enter_context(limiter))
            ports.append(_wait_until_ready(limiters[-1], log, index))
        load_report = _run_load(stack, experiment, variant, ports, out, progress)
        _send_command(standins, {"tell": True})
        stand_in_report = _read_line(standins, ANSWER_TIMEOUT_S, "stand-ins")
        for limiter in limiters:
            limiter.send_signal(signal.SIGTERM)
        for index, limiter in enumerate(limiters):
            try:
                if limiter.wait(STOP_TIMEOUT_S):
                    raise ProcessError(f"limiter {index}: exited with status {limiter.returncode}")
            except subprocess.TimeoutExpired:
                raise ProcessError(f"limiter {index}: did not stop in time after SIGTERM") from None
    measured = [_measurements(out / f"limiter-{index}.log") for index in range(variant.limiters)]
    result = VariantResult(
        variant.name, read_rows(out / "rows.parquet"), load_report, stand_in_report, measured
    )
    summary = {
        "load": load_report,
        "standins": stand_in_report,
        "limiters": measured,
        "broken": result.broken(),
    }
    (out / "seen.json").write_bytes(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    return result


def _stand_ins(experiment: Experiment, variant: Variant) -> Any:
    fleet = experiment.fleet
    speeds = draw_speeds(fleet.servers, *fleet.speeds, variant.seed)
    plan = {
        "decks": [
            {
                "name": f"deck-{n}", "cores": fleet.cores, "speed": speed, "room": fleet.room,
                "cold_from": fleet.cold_from if n < fleet.cold else 1.0, "cold_ms": fleet.cold_ms,
            }
            for n, speed in enumerate(speeds)
        ],
        "work_ms": dict(zip(KINDS, fleet.work_ms, strict=True)),
        "counter_ms": experiment.counter_ms,
    }  # fmt: skip

    @contextmanager
    def started() -> Iterator[subprocess.Popen[bytes]]:
        command = [sys.executable, "-m", "scalelb.lab.standins"]
        with process(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as standins:
            _send_command(standins, plan)
            yield standins

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
    queue_config = out / "fairness.toml"
    queue_config.write_text(toml_text(experiment.admission_queue_object(variant)))
    environment = {
        **{name: value for name, value in os.environ.items() if not name.startswith(("EDGE_", "SCALELB_"))},
        "EDGE_CONFIG": str(out / f"limiter-{index}.json"),
        "SCALELB_FAIRNESS": str(queue_config),
    }
    command = [sys.executable, "-m", "scalelb.program"]

    @contextmanager
    def started() -> Iterator[subprocess.Popen[bytes]]:
        with log.open("wb") as file, process(command, env=environment, stderr=file) as limiter:
            yield limiter

    return started()


def toml_text(tables: dict[str, dict[str, Any]]) -> str:
    """Return tables of plain values as TOML."""
    lines: list[str] = []
    for name, table in tables.items():
        lines.append(f"[{name}]")
        for pair in table.items():  # plain values are written in TOML as they are in JSON
            lines.append(" = ".join(orjson.dumps(part).decode() for part in pair))
    return "\n".join(lines) + "\n"


def _wait_until_ready(limiter: subprocess.Popen[bytes], log: Path, index: int) -> str:
    """Wait until a limiter accepts requests; return its address."""
    until, port = time.monotonic() + READY_TIMEOUT_S, 0
    while time.monotonic() < until:
        for event in events(log):
            port = event["port"] if event.get("event") == "started" else port
            if event.get("event") == "ready" and port:
                return f"127.0.0.1:{port}"
        if limiter.poll() is not None:
            raise ProcessError(f"limiter {index}: exited before it was ready; see {log}")
        time.sleep(0.02)
    raise ProcessError(f"limiter {index}: not ready after {READY_TIMEOUT_S:g} s; see {log}")


def events(log: Path) -> list[dict[str, Any]]:
    """Return the complete lines of a limiter's log."""
    parsed = []
    for line in log.read_bytes().split(b"\n")[:-1]:
        with suppress(orjson.JSONDecodeError):
            parsed.append(orjson.loads(line))
    return parsed


def _run_load(
    stack: ExitStack,
    experiment: Experiment,
    variant: Variant,
    ports: list[str],
    out: Path,
    progress: Progress,
) -> dict[str, Any]:
    until_ms = 1000.0 * (experiment.seconds + experiment.settle_s)
    plan = {
        "limiters": ports, "variant": variant.name, "classes": CLASSES, "plans": list(experiment.plans),
        "clients": asdict(experiment.clients), "max_retry_after_ms": experiment.max_retry_after_ms,
        "arrivals": [list(asdict(arrival).values()) for arrival in experiment.arrivals(variant)],
        "until_ms": until_ms, "seed": variant.seed, "out": str(out / "rows.parquet"),
    }  # fmt: skip
    command = [sys.executable, "-m", "scalelb.lab.load"]
    load = stack.enter_context(process(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE))
    _send_command(load, plan, is_last=True)
    deadline = time.monotonic() + until_ms / 1000.0 + 60.0
    while True:
        report: dict[str, Any] = _read_line(load, max(0.0, deadline - time.monotonic()), "load")
        if report.get("done"):
            load.wait(STOP_TIMEOUT_S)
            return report
        progress(min(1.0, report["at"] / until_ms))


def _send_command(receiver: subprocess.Popen[bytes], command: dict[str, Any], is_last: bool = False) -> None:
    assert receiver.stdin is not None
    receiver.stdin.write(orjson.dumps(command) + b"\n")
    receiver.stdin.flush()
    if is_last:
        receiver.stdin.close()


def _read_line(source: subprocess.Popen[bytes], timeout_s: float, name: str) -> Any:
    """Read the next line that a process writes, and parse it."""
    assert source.stdout is not None
    if not select.select([source.stdout], [], [], timeout_s)[0]:
        raise ProcessError(f"{name}: no output for {timeout_s:.0f} s")
    line = source.stdout.readline()
    if not line:
        raise ProcessError(f"{name}: exited with status {source.wait()}")
    return orjson.loads(line)


def _measurements(log: Path) -> dict[str, Any]:
    """Sum up the periodic counts in a limiter's log."""
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
