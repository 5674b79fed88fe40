"""Tables and charts of what was measured, as one HTML page without anything beside it, and as Markdown."""

from __future__ import annotations

import base64
import io as streams
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib
import orjson
from jinja2 import Environment, PackageLoader, select_autoescape

from scalelb.lab.rows import Row, Summary, read_rows, summarize

matplotlib.use("Agg")
from matplotlib import pyplot

RESULT_FILE = "result.json"
STEP_MS = 500.0  # of the charts over time


class ReportError(Exception):
    """A folder without results."""


@dataclass(frozen=True)
class Line:
    """One line of the table: a group of centers in a variant, and how its waits compare with the first's."""

    variant: str
    group: str
    summary: Summary
    ratio_p50: float | None
    ratio_p95: float | None


def table(rows: Iterable[Row]) -> list[Line]:
    """All groups in all variants, in the order in which they come; the first variant is what others are held
    against."""
    found: list[Line] = []
    by: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        by.setdefault((row.variant, row.group), []).append(row)
    first: dict[str, Summary] = {}
    for (variant, group), some in by.items():
        summary = summarize(some)
        base = first.setdefault(group, summary)
        same = base is summary
        found.append(
            Line(
                variant, group, summary,
                None if same or not base.wait_p50 else summary.wait_p50 / base.wait_p50,
                None if same or not base.wait_p95 else summary.wait_p95 / base.wait_p95,
            )
        )  # fmt: skip
    return found


HEADS = (
    "variant", "centers", "tries", "served", "refused", "failed", "p50 ms", "p95 ms", "p50 / first",
    "p95 / first", "back when told", "got in", "beyond",
)  # fmt: skip


def cells(line: Line) -> list[str]:
    """A line in words."""
    s = line.summary
    ratios = ["" if ratio is None else f"{ratio:.2f}" for ratio in (line.ratio_p50, line.ratio_p95)]
    kept = f"{s.kept:.3f}" if s.came else ""
    numbers = [s.tries, s.served, s.refused, s.failed + s.unanswered]
    return [
        line.variant, line.group, *map(str, numbers), f"{s.wait_p50:.0f}", f"{s.wait_p95:.0f}", *ratios,
        str(s.came), kept, str(s.beyond),
    ]  # fmt: skip


def markdown(lines: Iterable[Line]) -> str:
    """The table for a page of `docs/`."""
    text = ["| " + " | ".join(HEADS) + " |", "| " + " | ".join("---" for _ in HEADS) + " |"]
    text += ["| " + " | ".join(cells(line)) + " |" for line in lines]
    return "\n".join(text) + "\n"


def _percentiles(rows: list[Row]) -> Any:
    """Waits of each variant, as the part of the answers that took longer."""
    figure, axes = pyplot.subplots(figsize=(7.5, 3.6))
    variants = dict.fromkeys(row.variant for row in rows)
    groups = list(dict.fromkeys(row.group for row in rows))
    watched = groups[-1] if len(groups) > 1 else groups[0]
    for variant in variants:
        times = sorted(
            row.ended - row.due
            for row in rows
            if row.variant == variant and row.group == watched and row.verdict == "served"
        )
        if times:
            parts = [(place + 1) / len(times) for place in range(len(times))]
            axes.plot(times, parts, label=variant, linewidth=1.4)
    axes.set_xscale("log")
    axes.set_xlabel(f"time to the answer, ms ({watched})")
    axes.set_ylabel("part of the answers")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return figure


def _over_time(rows: list[Row]) -> Any:
    """What each group was served a second, in each variant."""
    variants = list(dict.fromkeys(row.variant for row in rows))
    figure, all_axes = pyplot.subplots(
        len(variants), 1, figsize=(7.5, 1.9 * len(variants)), sharex=True, squeeze=False
    )
    for axes, variant in zip(all_axes[:, 0], variants, strict=True):
        some = [row for row in rows if row.variant == variant and row.verdict == "served"]
        for group in dict.fromkeys(row.group for row in some):
            counts: dict[int, float] = {}
            for row in some:
                if row.group == group:
                    place = int(row.ended // STEP_MS)
                    counts[place] = counts.get(place, 0.0) + row.units * 1000.0 / STEP_MS
            places = range(max(counts, default=0) + 1)
            seconds, units = [p * STEP_MS / 1000.0 for p in places], [counts.get(p, 0.0) for p in places]
            axes.plot(seconds, units, label=group)
        axes.set_title(variant, fontsize=9, loc="left")
        axes.set_ylabel("units/s", fontsize=8)
        axes.grid(alpha=0.3)
        axes.legend(fontsize=7, loc="upper right")
    all_axes[-1, 0].set_xlabel("s")
    return figure


def _picture(figure: Any, path: Path | None = None) -> str:
    figure.tight_layout()
    held = streams.BytesIO()
    # Without a date: the same rows give the same file.
    figure.savefig(held, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    if path is not None:
        path.write_bytes(held.getvalue())
    return base64.b64encode(held.getvalue()).decode("ascii")


def write_report(out: Path) -> Path:
    """Read what `out` holds; write `report.html`, `table.md` and the charts there.  Returns the page."""
    try:
        result = orjson.loads((out / RESULT_FILE).read_bytes())
    except (OSError, orjson.JSONDecodeError):
        raise ReportError(f"{out}: no {RESULT_FILE} to report on") from None
    rows: list[Row] = []
    for name in result["variants"]:
        rows += read_rows(out / name["folder"] / "rows.parquet")
    if not rows:
        raise ReportError(f"{out}: no rows")
    lines = table(rows)
    (out / "table.md").write_text(markdown(lines))
    matplotlib.rcParams["svg.hashsalt"] = "scalelb"
    charts = [
        ("Times to the answer", _picture(_percentiles(rows), out / "waits.svg")),
        ("What was served", _picture(_over_time(rows), out / "served.svg")),
    ]
    loader = PackageLoader("scalelb.lab", ".")
    page = Environment(loader=loader, autoescape=select_autoescape(["j2"])).get_template("report.html.j2")
    path = out / "report.html"
    words = page.render(result=result, heads=HEADS, lines=[cells(line) for line in lines], charts=charts)
    path.write_text(words)
    return path
