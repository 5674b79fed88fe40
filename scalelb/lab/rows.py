"""What was measured: one row a try, kept in Parquet; latencies summed up in HdrHistogram."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq
from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, DIGITS = 1, 120_000_000, 3  # of a histogram, in microseconds


@dataclass(slots=True)
class Row:
    """What became of one try.  Times are milliseconds from the start of the run."""

    variant: str
    group: str  # of centers
    customer: int
    limiter: int
    kind: int
    plan: int
    units: float
    number: int  # 0: the first try
    due: float  # when it was to be sent; latencies count from here, however late the load was
    at: float = -1.0  # when it was
    sent: float = -1.0  # when a limiter sent its first attempt; -1: never, or not seen from outside
    ended: float = -1.0  # -1: no final answer
    verdict: str = ""  # served, refused, failed; empty: none
    retry_after_ms: float = 0.0
    told_beyond: bool = False  # the time it was told is all that may be said
    server: str = ""
    key: str = ""  # the same for all tries of a request


COLUMN = {"str": pa.string(), "int": pa.int64(), "float": pa.float64(), "bool": pa.bool_()}
SCHEMA = pa.schema([(f.name, COLUMN[str(f.type)]) for f in fields(Row)])


def write_rows(path: Path, rows: Iterable[Row]) -> None:
    """Keep rows; a file that is there is replaced whole."""
    table = pa.Table.from_pylist([asdict(row) for row in rows], schema=SCHEMA)
    beside = path.with_suffix(".part")
    pq.write_table(table, beside, compression="zstd")
    beside.replace(path)


def read_rows(path: Path) -> list[Row]:
    """Rows that were kept."""
    table = pq.read_table(path, schema=SCHEMA)
    return [Row(**found) for found in table.to_pylist()]


def histogram(ms: Iterable[float]) -> Any:
    """A histogram of times; what lies beyond its ends counts at them."""
    found = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for value in ms:
        found.record_value(int(max(LOWEST_US, min(HIGHEST_US, value * 1000.0))))
    return found


def percentile(found: Any, part: float) -> float:
    """A percentile of a histogram, in milliseconds."""
    return float(found.get_value_at_percentile(100.0 * part)) / 1000.0 if found.total_count else 0.0


@dataclass(frozen=True)
class Summary:
    """What some tries came to.  Times in milliseconds; a wait is the time to the answer."""

    tries: int
    served: int
    refused: int
    failed: int
    unanswered: int
    wait_p50: float
    wait_p95: float
    wait_p99: float
    told: int  # first tries refused with a time that can be kept
    beyond: int  # first tries refused whose honest time may not be said
    came: int  # that came back when told
    got_in: int  # of those

    @property
    def kept(self) -> float:
        """The part of those that came back when told and got in."""
        return self.got_in / self.came if self.came else 1.0


def summarize(rows: Iterable[Row], chosen: Callable[[Row], bool] = lambda row: True) -> Summary:
    """Sum rows up.  Only tries that came back after a time that could be kept count as told."""
    some = [row for row in rows if chosen(row)]
    verdicts = ("served", "refused", "failed")
    count = {verdict: sum(row.verdict == verdict for row in some) for verdict in verdicts}
    waits = histogram(row.ended - row.due for row in some if row.verdict == "served")
    first = [row for row in some if row.number == 0 and row.verdict == "refused"]
    back = [row for row in some if row.number == 1 and not row.told_beyond]
    return Summary(
        tries=len(some),
        served=count["served"],
        refused=count["refused"],
        failed=count["failed"],
        unanswered=len(some) - sum(count.values()),
        wait_p50=percentile(waits, 0.5),
        wait_p95=percentile(waits, 0.95),
        wait_p99=percentile(waits, 0.99),
        told=sum(not row.told_beyond for row in first),
        beyond=sum(row.told_beyond for row in first),
        came=len(back),
        got_in=sum(row.verdict in ("served", "failed") for row in back),
    )
