"""Tables and charts of the measurements, as one self-contained HTML page and as Markdown."""

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
BIN_MS = 500.0  # width of a time bin in the charts over time


class ReportError(Exception):
    """A folder without results."""


@dataclass(frozen=True)
class Line:
    """One line of the table: a group of tenants in a variant.  Ratios compare it with the first variant."""

    variant: str
    group: str
    summary: Summary
    ratio_p50: float | None
    ratio_p95: float | None


def table(rows: Iterable[Row]) -> list[Line]:
    """Return a line for each group in each variant, in the order of the rows.

    The first variant of a group is the baseline for the others.
    """
    lines: list[Line] = []
    rows_by_line: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        rows_by_line.setdefault((row.variant, row.group), []).append(row)
    baselines: dict[str, Summary] = {}
    for (variant, group), line_rows in rows_by_line.items():
        summary = summarize(line_rows)
        baseline = baselines.setdefault(group, summary)
        is_first = baseline is summary
        lines.append(
            Line(
                variant, group, summary,
                None if is_first or not baseline.latency_p50 else summary.latency_p50 / baseline.latency_p50,
                None if is_first or not baseline.latency_p95 else summary.latency_p95 / baseline.latency_p95,
            )
        )  # fmt: skip
    return lines


HEADINGS = (
    "variant", "centers", "tries", "served", "refused", "failed", "p50 ms", "p95 ms", "p50 / first",
    "p95 / first", "back when told", "got in", "beyond",
)  # fmt: skip


def cells(line: Line) -> list[str]:
    """Return the texts of a line's cells, in the order of `HEADINGS`."""
    summary = line.summary
    ratios = ["" if ratio is None else f"{ratio:.2f}" for ratio in (line.ratio_p50, line.ratio_p95)]
    admitted_ratio = f"{summary.admitted_ratio:.3f}" if summary.retries else ""
    numbers = [summary.requests, summary.served, summary.rejected, summary.failed + summary.unanswered]
    return [
        line.variant, line.group, *map(str, numbers), f"{summary.latency_p50:.0f}",
        f"{summary.latency_p95:.0f}", *ratios, str(summary.retries), admitted_ratio,
        str(summary.rejected_beyond_max),
    ]  # fmt: skip


def markdown(lines: Iterable[Line]) -> str:
    """Return the table in Markdown, for a page of `docs/`."""
    text = ["| " + " | ".join(HEADINGS) + " |", "| " + " | ".join("---" for _ in HEADINGS) + " |"]
    text += ["| " + " | ".join(cells(line)) + " |" for line in lines]
    return "\n".join(text) + "\n"


def _plot_latencies(rows: list[Row]) -> Any:
    """Plot the latencies of one group in each variant, as the ratio of answers within a time."""
    figure, axes = pyplot.subplots(figsize=(7.5, 3.6))
    variants = dict.fromkeys(row.variant for row in rows)
    groups = list(dict.fromkeys(row.group for row in rows))
    plotted_group = groups[-1] if len(groups) > 1 else groups[0]
    for variant in variants:
        latencies = sorted(
            row.ended - row.due
            for row in rows
            if row.variant == variant and row.group == plotted_group and row.verdict == "served"
        )
        if latencies:
            ratios = [(index + 1) / len(latencies) for index in range(len(latencies))]
            axes.plot(latencies, ratios, label=variant, linewidth=1.4)
    axes.set_xscale("log")
    axes.set_xlabel(f"time to the answer, ms ({plotted_group})")
    axes.set_ylabel("part of the answers")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return figure


def _plot_served_units(rows: list[Row]) -> Any:
    """Plot the units per second that were served to each group, over time, in each variant."""
    variants = list(dict.fromkeys(row.variant for row in rows))
    figure, all_axes = pyplot.subplots(
        len(variants), 1, figsize=(7.5, 1.9 * len(variants)), sharex=True, squeeze=False
    )
    for axes, variant in zip(all_axes[:, 0], variants, strict=True):
        served = [row for row in rows if row.variant == variant and row.verdict == "served"]
        for group in dict.fromkeys(row.group for row in served):
            rates: dict[int, float] = {}
            for row in served:
                if row.group == group:
                    index = int(row.ended // BIN_MS)
                    rates[index] = rates.get(index, 0.0) + row.units * 1000.0 / BIN_MS
            bins = range(max(rates, default=0) + 1)
            seconds, units = [b * BIN_MS / 1000.0 for b in bins], [rates.get(b, 0.0) for b in bins]
            axes.plot(seconds, units, label=group)
        axes.set_title(variant, fontsize=9, loc="left")
        axes.set_ylabel("units/s", fontsize=8)
        axes.grid(alpha=0.3)
        axes.legend(fontsize=7, loc="upper right")
    all_axes[-1, 0].set_xlabel("s")
    return figure


def _svg_base64(figure: Any, path: Path | None = None) -> str:
    """Return a figure as SVG in base64; write the SVG to `path` if it is given."""
    figure.tight_layout()
    buffer = streams.BytesIO()
    # Without a date, the same rows give the same file.
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    if path is not None:
        path.write_bytes(buffer.getvalue())
    return base64.b64encode(buffer.getvalue()).decode("ascii")


def write_report(out: Path) -> Path:
    """Read the results in `out`; write `report.html`, `table.md` and the charts there.  Returns the page."""
    try:
        result = orjson.loads((out / RESULT_FILE).read_bytes())
    except (OSError, orjson.JSONDecodeError):
        raise ReportError(f"{out}: no {RESULT_FILE} to report on") from None
    rows: list[Row] = []
    for variant in result["variants"]:
        rows += read_rows(out / variant["folder"] / "rows.parquet")
    if not rows:
        raise ReportError(f"{out}: no rows")
    lines = table(rows)
    (out / "table.md").write_text(markdown(lines))
    matplotlib.rcParams["svg.hashsalt"] = "scalelb"
    charts = [
        ("Times to the answer", _svg_base64(_plot_latencies(rows), out / "waits.svg")),
        ("What was served", _svg_base64(_plot_served_units(rows), out / "served.svg")),
    ]
    loader = PackageLoader("scalelb.lab", ".")
    page = Environment(loader=loader, autoescape=select_autoescape(["j2"])).get_template("report.html.j2")
    path = out / "report.html"
    html = page.render(result=result, heads=HEADINGS, lines=[cells(line) for line in lines], charts=charts)
    path.write_text(html)
    return path
