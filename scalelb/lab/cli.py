"""`python -m scalelb lab`: runs experiments and writes reports on them."""

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
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Folder for the results."
)
@click.option("--virtual", is_flag=True, help="Run the core in virtual time, without sockets or processes.")
@click.option("--seed", type=click.IntRange(0, 2**31 - 1), default=0, help="Added to each variant's seed.")
@click.option("--only", multiple=True, metavar="VARIANT", help="Run only this variant; can be repeated.")
def run(experiment: Path, out: Path, virtual: bool, seed: int, only: tuple[str, ...]) -> None:
    """Run every variant of EXPERIMENT and report on them."""
    try:
        config = with_seed(read_experiment(experiment), seed)
        variants = _select_variants(config, only)
        results = [_run_variant(config, variant, out / _folder(variant), virtual) for variant in variants]
    except (ExperimentError, stage.ProcessError) as error:
        raise click.ClickException(str(error)) from None
    how = "the core in virtual time" if virtual else "the real program on loopback"
    result = {"name": config.name, "seconds": config.seconds, "how": how, "variants": [r for r, _ in results]}
    (out / RESULT_FILE).write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    click.echo(markdown(table(row for _, rows in results for row in rows)), nl=False)
    click.echo(f"report: {write_report(out)}")
    if broken := [f"{r['name']}: {text}" for r, _ in results for text in r["broken"]]:
        raise click.ClickException("rules broken: " + "; ".join(broken))


@lab.command()
@click.argument("out", type=click.Path(path_type=Path))
def report(out: Path) -> None:
    """Write the report on the results in OUT again."""
    try:
        click.echo(write_report(out))
    except ReportError as error:
        raise click.ClickException(str(error)) from None


@lab.command()
@click.argument("experiment", type=click.Path(path_type=Path))
def check(experiment: Path) -> None:
    """Validate EXPERIMENT and print the size of its variants."""
    try:
        config = read_experiment(experiment)
    except ExperimentError as error:
        raise click.ClickException(str(error)) from None
    for variant in config.variants:
        count = len(config.arrivals(variant))
        click.echo(f"{variant.name}: {count} requests in {config.seconds:g} s, {variant.limiters} limiters")


@lab.command()
@click.argument("schedule", type=click.Path(path_type=Path))
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Folder for the results."
)
@click.option("--virtual", is_flag=True, help="Run the cores in virtual time, without sockets or processes.")
@click.option("--seeds", type=click.IntRange(1, 10_000), default=1, help="Number of runs, in virtual time.")
@click.option(
    "--limiters", type=click.IntRange(2, 500), default=None, help="Number of limiters, in virtual time."
)
def faults(schedule: Path, out: Path, virtual: bool, seeds: int, limiters: int | None) -> None:
    """Inject the faults of SCHEDULE into several limiters and check the invariants."""
    from scalelb.lab.schedule import read_schedule
    from scalelb.lab.virtual import play

    try:
        config = read_schedule(schedule)
    except ExperimentError as error:
        raise click.ClickException(str(error)) from None
    if not virtual:
        command = [sys.executable, "-m", "scalelb.lab.faults", str(schedule), str(out)]
        if subprocess.run(command, stdout=subprocess.DEVNULL).returncode:
            click.echo((out / "report.json").read_text() if (out / "report.json").exists() else "no report")
            raise click.ClickException("rules broken")
        results = orjson.loads((out / "report.json").read_bytes())
        for name, count in results["checked"].items():
            click.echo(f"{name}: {count} checked, none broken")
        return
    failed = {}
    for seed in tqdm(range(config.seed, config.seed + seeds), file=sys.stderr, disable=None):
        if broken := play(config, seed, limiters or config.limiters):
            failed[seed] = broken
    out.mkdir(parents=True, exist_ok=True)
    (out / "report.json").write_bytes(orjson.dumps({str(s): b for s, b in failed.items()}))
    click.echo(f"{seeds - len(failed)} of {seeds} seeds kept all rules")
    if failed:
        seed, broken = next(iter(failed.items()))
        raise click.ClickException(f"seed {seed}: {'; '.join(broken[:5])}")


@lab.command()
@click.option("--seeds", type=click.IntRange(1, 10_000), default=50, help="Number of seeds.")
@click.option("--first", type=click.IntRange(1, 2**31 - 1), default=1, help="First seed.")
@click.option("--seed", type=click.IntRange(1, 2**31 - 1), default=None, help="Run only this seed.")
@click.option("--jobs", type=click.IntRange(1, 8), default=1, help="Number of runs in parallel.")
@click.option(
    "--slack", type=click.FloatRange(0, 30), default=0.0, help="Seconds by which kills are delayed."
)
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Folder for the results."
)
def soak(seeds: int, first: int, seed: int | None, jobs: int, slack: float, out: Path) -> None:
    """Stop real limiters in many ways under load, and check that each request is answered."""
    chosen = range(first, first + seeds) if seed is None else range(seed, seed + 1)
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda number: _soak_one(number, out, slack), chosen))
    failed = {number: broken for number, broken in zip(chosen, results, strict=True) if broken}
    for number, broken in failed.items():
        click.echo(f"seed {number}: {len(broken)} broken; {'; '.join(broken[:3])}")
        click.echo(f"  to repeat it: python -m scalelb lab soak --seed {number} --out {out}")
    click.echo(f"{len(chosen) - len(failed)} of {len(chosen)} seeds kept all rules")
    if failed:
        raise click.ClickException(f"rules broken by seeds {', '.join(map(str, failed))}")


def _soak_one(seed: int, out: Path, slack: float) -> list[str]:
    """Run one seed in a process of its own; return the rules that were broken."""
    folder = out / f"seed-{seed}"
    command = [sys.executable, "-m", "scalelb.lab.soak", str(seed), str(folder), str(slack)]
    completed = subprocess.run(command, capture_output=True, text=True)
    path = folder / "report.json"
    if not path.exists():
        return [f"no report: {completed.stderr[-1000:]}"]
    broken: list[str] = orjson.loads(path.read_bytes())["broken"]
    return broken


def _select_variants(experiment: Experiment, only: tuple[str, ...]) -> list[Variant]:
    names = [variant.name for variant in experiment.variants]
    if unknown := [name for name in only if name not in names]:
        raise ExperimentError(f"no variant {unknown[0]!r}; there are {', '.join(names)}")
    return [variant for variant in experiment.variants if not only or variant.name in only]


def _folder(variant: Variant) -> str:
    return re.sub(r"[^A-Za-z0-9]+", "-", variant.name).strip("-").lower() or "variant"


def _run_variant(
    experiment: Experiment, variant: Variant, out: Path, virtual: bool
) -> tuple[dict[str, Any], list[Row]]:
    with tqdm(total=100, desc=variant.name, unit="%", file=sys.stderr, disable=None) as bar:
        if virtual:
            world = model.play(experiment, variant, lambda ratio: bar.update(100 * ratio - bar.n))
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
            result = {"name": variant.name, "folder": out.name, "tries": len(world.rows), "broken": []}
            return result | {"limiters": limiters}, world.rows
        measured = stage.play(experiment, variant, out, lambda ratio: bar.update(100 * ratio - bar.n))
        bar.update(100 - bar.n)
    result = {
        "name": variant.name, "folder": out.name, "tries": len(measured.rows), "broken": measured.broken(),
        "limiters": measured.limiters, "late_p99_ms": measured.load["late_p99_ms"],
    }  # fmt: skip
    return result, measured.rows
