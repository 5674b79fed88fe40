"""Measurements: one row per request, stored in Parquet; latencies are summarized with HdrHistogram.

A retry of a client is a request of its own, with a row of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq
from hdrh.histogram import HdrHistogram

MIN_US, MAX_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3  # of a histogram, in microseconds


@dataclass(slots=True)
class Row:
    """One request and its result.  Times are milliseconds from the start of the run."""

    variant: str
    group: str  # of tenants
    customer: int
    limiter: int
    kind: int
    plan: int
    units: float
    number: int  # 0: the first request; otherwise the number of the retry
    due: float  # when it should be sent; latencies are measured from here, even if the load is late
    at: float = -1.0  # when it was sent
    sent: float = -1.0  # when a limiter sent its first attempt; -1: never, or not visible from outside
    ended: float = -1.0  # when the final answer arrived; -1: none
    verdict: str = ""  # served, refused, failed; empty: no answer
    retry_after_ms: float = 0.0
    told_beyond: bool = False  # whether the Retry-After time is the maximum, so that the true one is longer
    server: str = ""
    key: str = ""  # idempotency key, the same for a request and its retries


COLUMN_TYPES = {"str": pa.string(), "int": pa.int64(), "float": pa.float64(), "bool": pa.bool_()}
SCHEMA = pa.schema([(f.name, COLUMN_TYPES[str(f.type)]) for f in fields(Row)])


def write_rows(path: Path, rows: Iterable[Row]) -> None:
    """Write rows to a file; an existing file is replaced atomically."""
    table = pa.Table.from_pylist([asdict(row) for row in rows], schema=SCHEMA)
    temporary = path.with_suffix(".part")
    pq.write_table(table, temporary, compression="zstd")
    temporary.replace(path)


def read_rows(path: Path) -> list[Row]:
    """Read the rows of a file."""
    table = pq.read_table(path, schema=SCHEMA)
    return [Row(**record) for record in table.to_pylist()]


def histogram(ms: Iterable[float]) -> Any:
    """Return a histogram of times; times outside its range count as its lowest or highest value."""
    hist = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
    for value in ms:
        hist.record_value(int(max(MIN_US, min(MAX_US, value * 1000.0))))
    return hist


def percentile(hist: Any, ratio: float) -> float:
    """Return a percentile of a histogram, in milliseconds; `ratio` is between 0 and 1."""
    return float(hist.get_value_at_percentile(100.0 * ratio)) / 1000.0 if hist.total_count else 0.0


@dataclass(frozen=True)
class Summary:
    """Totals of some rows.  A latency is the time from due to the answer, in milliseconds."""

    requests: int  # including retries
    served: int
    rejected: int
    failed: int
    unanswered: int
    latency_p50: float
    latency_p95: float
    latency_p99: float
    rejected_with_retry_after: int  # first requests rejected with a Retry-After time below the maximum
    rejected_beyond_max: int  # first requests rejected with the maximum, as the true time is longer
    retries: int  # first retries after a Retry-After time below the maximum
    admitted_retries: int  # of these

    @property
    def admitted_ratio(self) -> float:
        """Return the ratio of retries that were admitted."""
        return self.admitted_retries / self.retries if self.retries else 1.0


def summarize(rows: Iterable[Row], is_included: Callable[[Row], bool] = lambda row: True) -> Summary:
    """Summarize rows.  Retries after the maximum Retry-After time are left out, as they come too early."""
    included = [row for row in rows if is_included(row)]
    verdicts = ("served", "refused", "failed")
    counts = {verdict: sum(row.verdict == verdict for row in included) for verdict in verdicts}
    latencies = histogram(row.ended - row.due for row in included if row.verdict == "served")
    first_rejected = [row for row in included if row.number == 0 and row.verdict == "refused"]
    retries = [row for row in included if row.number == 1 and not row.told_beyond]
    return Summary(
        requests=len(included),
        served=counts["served"],
        rejected=counts["refused"],
        failed=counts["failed"],
        unanswered=len(included) - sum(counts.values()),
        latency_p50=percentile(latencies, 0.5),
        latency_p95=percentile(latencies, 0.95),
        latency_p99=percentile(latencies, 0.99),
        rejected_with_retry_after=sum(not row.told_beyond for row in first_rejected),
        rejected_beyond_max=sum(row.told_beyond for row in first_rejected),
        retries=len(retries),
        admitted_retries=sum(row.verdict in ("served", "failed") for row in retries),
    )
