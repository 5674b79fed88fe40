"""Many limiters on a shared counter with less capacity than they need, in virtual time.

Each tenant uses 30 of 200 limiters; some tenants stay within their quotas, others far exceed them.  The
counter has capacity for a given number of calls per request and processes them one at a time.
`python -m scalelb.lab.counter_contention` prints the table of `docs/overload.md`.
"""

from __future__ import annotations

import random
from collections import Counter as Tally
from dataclasses import dataclass, replace
from typing import Any

from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.request_table import OpenRequest, Verdict
from scalelb.lab.experiment import Fleet
from scalelb.lab.model import START_MS
from scalelb.lab.rows import Row
from scalelb.lab.simulated_cluster import Member, SimulatedCluster
from scalelb.policy.events import Outcome
from scalelb.policy.settings import Plan, RequestClass, Settings

PLAN = Plan(rate_per_s=4.0, burst=12.0)
LIMITER_SETTINGS = Settings(
    limiter_index=0,
    limiter_count=200,
    zone=0,
    request_classes=(RequestClass(1000.0, 3000.0),),
    plans=(PLAN,),
    max_attempts=4,
    slow_start_initial_ratio=0.15,
    slow_start_ms=18_000.0,
    overload_multiple=3.0,
    overload_window_ms=1500.0,
    max_units=4.0,
    has_counter=True,
    counter_late_after_ms=30.0,
    sends_retry_after=True,
    max_retry_after_ms=1000.0,
)
BEGIN_MS = 4000.0  # The measurement starts at this time, when the limiters have warmed up.


@dataclass(frozen=True)
class Case:
    """The parameters of one run."""

    counter_calls_per_request: float = 1.0  # the capacity of the counter
    limiters: int = 200
    limiters_per_tenant: int = 30
    seed: int = 1
    requests_per_s: float = 600.0
    tenants: int = 120
    over_quota_ratio: float = 0.25  # tenants that request five times what their plan allows
    retry_ratio: float = 0.6  # rejected requests that are retried after 50 to 400 ms, up to three times
    duration_s: float = 14.0


class Client:
    """The client side of one request."""

    def __init__(self, run: Run, row: Row) -> None:
        self.run, self.row = run, row

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Record the final answer; some rejected requests are retried."""
        run, row = self.run, self.row
        row.verdict = verdict.value
        if not run.is_measuring():
            return
        run.measured[verdict.value] += 1
        if verdict is Verdict.REJECTED:
            balance, updated_at = run.meter.balances.get(row.customer, (PLAN.burst, run.kernel.now))
            balance = min(PLAN.burst, balance + PLAN.rate_per_s * (run.kernel.now - updated_at) / 1000)
            run.measured["rejected with half unused"] += balance >= max(row.units, PLAN.burst / 2)
            if row.number < 3 and run.rng.random() < run.case.retry_ratio:
                retry = replace(row, number=row.number + 1, sent=-1.0, verdict="")
                run.kernel.after(run.rng.uniform(50.0, 400.0), run.submit_to_limiter, retry)


class CounterMeasuringMember(Member):
    """A limiter that counts its calls to the shared counter and their outcomes."""

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the shared counter and record how long the reply takes."""
        run: Any = self.cluster
        settings = self.core.settings

        def on_reply(outcome: Outcome, total: float, took_ms: float) -> None:
            if run.is_measuring():
                run.measured["calls"] += 1
                run.measured["late"] += outcome is Outcome.TIMEOUT
                run.measured["over 30 ms"] += took_ms > settings.counter_late_after_ms
            self.timed(self.core.counter_replied, counter_key, outcome, total, took_ms)

        run.counter.add(counter_key, amount, settings.counter_wait_ms, on_reply)


class Run(SimulatedCluster):
    """One run of a case."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng, self.measured = case, random.Random(f"crowded {case.seed}"), Tally[str]()
        settings = replace(LIMITER_SETTINGS, limiter_count=case.limiters)
        fleet = Fleet(servers=60, cores=8, room=60, work_ms=(100.0, 100.0))
        super().__init__(settings, seed=case.seed, linked=False, fleet=fleet)
        self.counter.service_ms = 1000.0 / (case.requests_per_s * case.counter_calls_per_request)
        within_quota = int(case.tenants * (1 - case.over_quota_ratio))
        weights = [1.0] * within_quota + [6.0] * (case.tenants - within_quota)
        arrives_at = 0.0
        while arrives_at < 1000.0 * case.duration_s:
            arrives_at += self.rng.expovariate(case.requests_per_s) * 1000.0
            (tenant,) = self.rng.choices(range(case.tenants), weights)
            units = float(self.rng.choice((1, 1, 2, 3)))
            row = Row("", "x", tenant + 1, 0, 0, 0, units, 0, arrives_at)
            self.kernel.at(START_MS + arrives_at, self.submit_to_limiter, row)

    def create_limiter(self, index: int) -> Any:
        """Create a limiter."""
        return CounterMeasuringMember(self, index, replace(self.settings, limiter_index=index), 0)

    def is_measuring(self) -> bool:
        """Whether the limiters have warmed up, so that requests and calls are counted."""
        return self.now >= BEGIN_MS

    def submit_to_limiter(self, row: Row) -> None:
        """Submit a request to one of the limiters of its tenant."""
        case = self.case
        first = row.customer * 7919 % case.limiters
        row.limiter = (first + self.rng.randrange(case.limiters_per_tenant)) % case.limiters
        row.at = self.now
        limiter: Any = self.limiters[row.limiter]
        self.measured["asked"] += self.is_measuring()
        incoming = IncomingRequest(
            tenant=f"{row.customer:016x}",
            plan_index=0,
            class_index=0,
            expires_in_ms=3000.0,
            units=row.units,
            sharing_limiters=case.limiters_per_tenant,
            first_limiter=first,
        )
        limiter.timed(limiter.core.submit, Client(self, row), (row, 100.0), incoming)

    def play(self) -> dict[str, float]:
        """Run to the end; return one row of the table."""
        self.run(BEGIN_MS)
        before = self.meter.units_within_quota, self.meter.units_over_quota
        self.run(1000.0 * self.case.duration_s + 3000.0)
        within, over = self.meter.units_within_quota - before[0], self.meter.units_over_quota - before[1]
        measured, requests = self.measured, max(1, self.measured["asked"])
        return {
            "calls a try": round(measured["calls"] / requests, 2),
            "no answer": round(measured["late"] / max(1, measured["calls"]), 3),
            "over 30 ms": round(measured["over 30 ms"] / max(1, measured["calls"]), 3),
            "beyond": round(over / (within + over), 3),
            "half unused": round(measured["rejected with half unused"] / requests, 3),
            "refused": round(measured["refused"] / requests, 3),
            "inside a second": round(within / (self.case.duration_s - BEGIN_MS / 1000), 1),
        }


def main() -> None:
    """Print the table."""
    for capacity in (1.0, 0.5, 0.25):
        for seed in (1, 2):
            print(capacity, seed, Run(Case(capacity, seed=seed)).play(), flush=True)


if __name__ == "__main__":
    main()
