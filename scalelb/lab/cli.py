"""`python -m scalelb lab`: run experiments, report on them."""

from __future__ import annotations

import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
import orjson
from tqdm import tqdm

from scalelb.lab import model, stage
from scalelb.lab.experiment import Experiment, ExperimentError, Variant, read_experiment, with_seed
from scalelb.lab.report import RESULT_FILE, ReportError, markdown, table, write_report
from scalelb.lab.rows import Row, write_rows


@click.group()
def lab() -> None:
    """Experiments on the limiter: real processes on loopback, or its core in virtual time."""


@lab.command()
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="For results.")
@click.option("--virtual", is_flag=True, help="Play the core in virtual time, without sockets or processes.")
@click.option("--seed", type=click.IntRange(0, 2**31 - 1), default=0, help="Added to each variant's seed.")
@click.option("--only", multiple=True, metavar="VARIANT", help="Run this variant alone; may be given again.")
def run(experiment: Path, out: Path, virtual: bool, seed: int, only: tuple[str, ...]) -> None:
    """Run every variant of EXPERIMENT and report on them."""
    try:
        read = with_seed(read_experiment(experiment), seed)
        chosen = _chosen(read, only)
        results = [_play(read, variant, out / _folder(variant), virtual) for variant in chosen]
    except (ExperimentError, stage.ProcessError) as error:
        raise click.ClickException(str(error)) from None
    how = "the core in virtual time" if virtual else "the real program on loopback"
    result = {"name": read.name, "seconds": read.seconds, "how": how, "variants": [r for r, _ in results]}
    (out / RESULT_FILE).write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    click.echo(markdown(table(row for _, rows in results for row in rows)), nl=False)
    click.echo(f"report: {write_report(out)}")
    if broken := [f"{r['name']}: {words}" for r, _ in results for words in r["broken"]]:
        raise click.ClickException("rules broken: " + "; ".join(broken))


@lab.command()
@click.argument("out", type=click.Path(path_type=Path))
def report(out: Path) -> None:
    """Write the report on what OUT holds anew."""
    try:
        click.echo(write_report(out))
    except ReportError as error:
        raise click.ClickException(str(error)) from None


@lab.command()
@click.argument("experiment", type=click.Path(path_type=Path))
def check(experiment: Path) -> None:
    """Check EXPERIMENT and say what it would do."""
    try:
        read = read_experiment(experiment)
    except ExperimentError as error:
        raise click.ClickException(str(error)) from None
    for variant in read.variants:
        count = len(read.arrivals(variant))
        click.echo(f"{variant.name}: {count} requests in {read.seconds:g} s, {variant.limiters} limiters")


@lab.command()
@click.argument("schedule", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="For results.")
@click.option("--virtual", is_flag=True, help="Play the cores in virtual time, without sockets or processes.")
@click.option("--seeds", type=click.IntRange(1, 10_000), default=1, help="So many runs, in virtual time.")
@click.option("--limiters", type=click.IntRange(2, 500), default=None, help="So many, in virtual time.")
def faults(schedule: Path, out: Path, virtual: bool, seeds: int, limiters: int | None) -> None:
    """Run the faults of SCHEDULE between several limiters and check what must never happen."""
    from scalelb.lab.schedule import read_schedule
    from scalelb.lab.virtual import play

    try:
        read = read_schedule(schedule)
    except ExperimentError as error:
        raise click.ClickException(str(error)) from None
    if not virtual:
        command = [sys.executable, "-m", "scalelb.lab.faults", str(schedule), str(out)]
        if subprocess.run(command, stdout=subprocess.DEVNULL).returncode:
            click.echo((out / "report.json").read_text() if (out / "report.json").exists() else "no report")
            raise click.ClickException("rules broken")
        told = orjson.loads((out / "report.json").read_bytes())
        for name, count in told["checked"].items():
            click.echo(f"{name}: {count} checked, none broken")
        return
    failed = {}
    for seed in tqdm(range(read.seed, read.seed + seeds), file=sys.stderr, disable=None):
        if broken := play(read, seed, limiters or read.limiters):
            failed[seed] = broken
    out.mkdir(parents=True, exist_ok=True)
    (out / "report.json").write_bytes(orjson.dumps({str(s): b for s, b in failed.items()}))
    click.echo(f"{seeds - len(failed)} of {seeds} seeds kept all rules")
    if failed:
        seed, broken = next(iter(failed.items()))
        raise click.ClickException(f"seed {seed}: {'; '.join(broken[:5])}")


@lab.command()
@click.option("--seeds", type=click.IntRange(1, 10_000), default=50, help="So many seeds.")
@click.option("--first", type=click.IntRange(1, 2**31 - 1), default=1, help="The first of them.")
@click.option("--seed", type=click.IntRange(1, 2**31 - 1), default=None, help="This seed alone.")
@click.option("--jobs", type=click.IntRange(1, 8), default=1, help="So many runs side by side.")
@click.option("--slack", type=click.FloatRange(0, 30), default=0.0, help="Seconds that kills come later.")
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="For results.")
def soak(seeds: int, first: int, seed: int | None, jobs: int, slack: float, out: Path) -> None:
    """End real limiters in many ways while their clients go on, and check that each request is answered."""
    chosen = range(first, first + seeds) if seed is None else range(seed, seed + 1)
    with ThreadPoolExecutor(jobs) as pool:
        found = list(pool.map(lambda one: _soak_one(one, out, slack), chosen))
    failed = {one: broken for one, broken in zip(chosen, found, strict=True) if broken}
    for one, broken in failed.items():
        click.echo(f"seed {one}: {len(broken)} broken; {'; '.join(broken[:3])}")
        click.echo(f"  again: python -m scalelb lab soak --seed {one} --out {out}")
    click.echo(f"{len(chosen) - len(failed)} of {len(chosen)} seeds kept all rules")
    if failed:
        raise click.ClickException(f"rules broken by seeds {', '.join(map(str, failed))}")


def _soak_one(seed: int, out: Path, slack: float) -> list[str]:
    """Play one seed in a process of its own; returns what was broken."""
    folder = out / f"seed-{seed}"
    command = [sys.executable, "-m", "scalelb.lab.soak", str(seed), str(folder), str(slack)]
    run = subprocess.run(command, capture_output=True, text=True)
    path = folder / "report.json"
    if not path.exists():
        return [f"no report: {run.stderr[-1000:]}"]
    broken: list[str] = orjson.loads(path.read_bytes())["broken"]
    return broken


def _chosen(experiment: Experiment, only: tuple[str, ...]) -> list[Variant]:
    names = [variant.name for variant in experiment.variants]
    if unknown := [name for name in only if name not in names]:
        raise ExperimentError(f"no variant {unknown[0]!r}; there are {', '.join(names)}")
    return [variant for variant in experiment.variants if not only or variant.name in only]


def _folder(variant: Variant) -> str:
    return re.sub(r"[^A-Za-z0-9]+", "-", variant.name).strip("-").lower() or "variant"


def _play(
    experiment: Experiment, variant: Variant, out: Path, virtual: bool
) -> tuple[dict[str, Any], list[Row]]:
    with tqdm(total=100, desc=variant.name, unit="%", file=sys.stderr, disable=None) as bar:
        if virtual:
            world = model.play(experiment, variant, lambda part: bar.update(100 * part - bar.n))
            out.mkdir(parents=True, exist_ok=True)
            write_rows(out / "rows.parquet", world.rows)
            adapters = [limiter.core.queue_adapter for limiter in world.limiters]
            limiters = [
                {
                    "cpu_ms": round(limiter.cpu_ns / 1e6, 1),
                    "longest_turn_ms": round(limiter.longest_ns / 1e6, 1),
                    "door": adapter.queue.log_fields()["door"] if adapter is not None else {},
                }
                for limiter, adapter in zip(world.limiters, adapters, strict=True)
            ]
            found = {"name": variant.name, "folder": out.name, "tries": len(world.rows), "broken": []}
            return found | {"limiters": limiters}, world.rows
        played = stage.play(experiment, variant, out, lambda part: bar.update(100 * part - bar.n))
        bar.update(100 - bar.n)
    found = {
        "name": variant.name, "folder": out.name, "tries": len(played.rows), "broken": played.broken(),
        "limiters": played.limiters, "late_p99_ms": played.load["late_p99_ms"],
    }  # fmt: skip
    return found, played.rows
