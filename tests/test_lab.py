"""The lab: validation of experiments, the model, the real program on loopback, measurements."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from scenario import call
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from scalelb.lab import model, stage, standins
from scalelb.lab.cli import lab
from scalelb.lab.experiment import ExperimentError, read_experiment
from scalelb.lab.report import ReportError, table, write_report
from scalelb.lab.rows import Row, histogram, percentile, read_rows, write_rows
from scalelb.lab.traffic import read_recorded_day

VALID_EXPERIMENT = """
seconds = 1.5
settle_s = 1.5
[fleet]
servers = 2
[plans.basic]
rate = 40
burst = 80
[[tenants]]
name = "hog"
per_s = 60
[[tenants]]
name = "others"
count = 3
per_s = 4
[[variants]]
name = "quiet"
without = ["hog"]
[[variants]]
name = "door"
limiters = 2
"""
RECORDED_DAY = Path(__file__).parent / "evening.csv"


def write_experiment(folder: Path, text: str = VALID_EXPERIMENT) -> Path:
    path = folder / "experiment.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("seconds = 1.5", "seconds = 0", "seconds: must be 0.1 to 3600, not 0"),
        ("per_s = 60", "per_s = nan", r"tenants\[0\].per_s: must be a number"),
        ("servers = 2", "servers = 2.5", "fleet.servers: must be a whole number"),
        ("servers = 2", "serves = 2", "fleet.serves: not known"),
        ('without = ["hog"]', 'without = ["pig"]', r"variants\[0\].without: must be names of tenants"),
        ('name = "others"', 'name = "hog"', "tenants: two have the same name"),
        ("rate = 40", "rate = -1", "plans.basic.rate: must be at least 0"),
        ("limiters = 2", "limiters = 0", r"variants\[1\].limiters"),
        ("[plans.basic]", "[plans.basic", "not TOML"),
        ("[plans.basic]", "[door.weights]\nbasic = 0\n[plans.basic]", "weights.basic: must be above 0"),
        ("per_s = 60", "per_s = 100000\ncount = 1000", r"more than 2000000 requests"),
    ],
)
def test_invalid_experiment_is_rejected_with_file_key_and_reason(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    assert old in VALID_EXPERIMENT
    path = write_experiment(tmp_path, VALID_EXPERIMENT.replace(old, new, 1))
    with pytest.raises(ExperimentError, match=message) as raised:
        read_experiment(path)
    assert str(path) in str(raised.value)
    result = CliRunner().invoke(lab, ["run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 1
    assert str(path) in result.output
    assert not (tmp_path / "out").exists()


def test_model_gives_the_same_rows_for_the_same_seed(tmp_path: Path) -> None:
    experiment = read_experiment(write_experiment(tmp_path))
    variant = experiment.variants[1]
    first, second = (model.play(experiment, variant).rows for _ in range(2))
    assert first == second
    assert len(first) > 60
    assert model.play(experiment, replace(variant, seed=9)).rows != first
    without_hog = model.play(experiment, replace(experiment.variants[0], limiters=2)).rows
    due_times = [row.due for row in first if row.group == "others" and not row.number]
    # Leaving a group out does not change the requests of the others.
    assert [row.due for row in without_hog if not row.number] == due_times


def test_real_program_runs_an_experiment_without_broken_rules(tmp_path: Path) -> None:
    path, out = write_experiment(tmp_path), tmp_path / "out"
    result = CliRunner().invoke(lab, ["run", str(path), "--out", str(out)])
    assert result.exit_code == 0, result.output
    rows = read_rows(out / "door" / "rows.parquet")
    assert {row.verdict for row in rows} <= {"served", "refused", ""}
    assert len(rows) > 60
    assert (out / "report.html").read_text().count("<svg") == 0  # charts are embedded as data URLs
    assert "data:image/svg+xml" in (out / "report.html").read_text()
    repeated = CliRunner().invoke(lab, ["report", str(out)])
    assert repeated.exit_code == 0
    assert (out / "waits.svg").exists()


def test_broken_rules_are_reported_by_name() -> None:
    backends = {"deck-0": {"twice": 1, "malformed": 0, "after_drain": 0}}
    load = {"wrong": 0, "malformed": 0, "unanswered": 2}
    assert stage.VariantResult("v", [], load, {"decks": backends}).broken() == [
        "deck-0: twice 1",
        "load: unanswered 2",
    ]


def test_rows_are_read_as_they_were_written_and_summarized(tmp_path: Path) -> None:
    rows = [Row("v", "g", 7, 0, 1, 0, 2.5, 0, 10.0, 10.5, 11.0, 12.0 + n, "served") for n in range(100)]
    write_rows(tmp_path / "rows.parquet", rows)
    assert read_rows(tmp_path / "rows.parquet") == rows
    assert percentile(histogram(row.ended for row in rows), 0.5) == pytest.approx(61.5, abs=0.6)
    assert table(rows)[0].summary.served == 100
    with pytest.raises(ReportError, match=r"no result\.json"):
        write_report(tmp_path)


def test_recorded_day_is_read_and_an_invalid_line_is_reported(tmp_path: Path) -> None:
    arrivals = read_recorded_day(
        RECORDED_DAY, ["basic", "standard", "campus"], ["fetch-cards", "record-answer"], 3, 2.0
    )
    assert len(arrivals) == 1572
    assert arrivals[0].at_ms <= arrivals[-1].at_ms
    invalid = tmp_path / "evening.csv"
    invalid.write_text("at_ms,customer,plan,class,units\n1,1,basic,fetch-cards,1\n2,zz,basic,fetch-cards,1\n")
    with pytest.raises(ValueError, match=r"evening.csv, line 3"):
        read_recorded_day(invalid, ["basic"], ["fetch-cards"], 1)


@pytest.mark.parametrize(
    ("options", "element"),
    [
        ({}, b"$-1\r\n"),
        ({"true_per_guess": 0.5}, b"$6\r\ncost=2\r\n"),
        ({"true_per_guess": 0.25, "used_percent": 37}, b"$14\r\nused=37,cost=1\r\n"),
    ],
)
def test_stand_ins_report_usage_only_as_configured(options: dict[str, float], element: bytes) -> None:
    backend = {"name": "d0", "cores": 1, "speed": 1.0, "room": 1}
    plan = standins.Plan.read({"decks": [backend], "work_ms": {"fetch-cards": 1.0}, **options})
    clock, transport = Clock(), StringTransport()  # type: ignore[no-untyped-call]
    session = standins.Backend(clock, plan.backends[0], plan).buildProtocol(None)
    session.makeConnection(transport)  # type: ignore[no-untyped-call]
    session.rawDataReceived(call(1, units=4).replace("\n", "\r\n").encode())
    clock.advance(1.0)
    assert transport.value() == b"*3\r\n$19\r\nd0 0000000000000001\r\n" + element + b"$-1\r\n"  # type: ignore[no-untyped-call]
