"""Many limiters on a counter that bears less than they would ask of it, in virtual time.

Customers come through 30 of 200 limiters each, some inside their quotas, some far beyond; the counter serves
a stated number of calls for each request, in one line. `python -m scalelb.lab.counter_contention` prints the
table of `docs/overload.md`.
"""

from __future__ import annotations

import random
from collections import Counter as Tally
from dataclasses import dataclass, replace
from typing import Any

from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.request_table import OpenRequest, Verdict
from scalelb.lab.experiment import Fleet
from scalelb.lab.flock import Flock, Member
from scalelb.lab.model import START_MS
from scalelb.lab.rows import Row
from scalelb.policy.events import Outcome
from scalelb.policy.settings import Plan, RequestClass, Settings

PLAN = Plan(rate_per_s=4.0, burst=12.0)
SITE = Settings(
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
BEGIN_MS = 4000.0  # counted from


@dataclass(frozen=True)
class Case:
    """One run."""

    bears: float = 1.0  # calls of the counter for each request
    limiters: int = 200
    doors: int = 30
    seed: int = 1
    per_s: float = 600.0
    customers: int = 120
    over: float = 0.25  # part of the customers that ask five times what their plan allows
    back: float = 0.6  # part of those refused who come again, after 50 to 400 ms, up to three times
    seconds: float = 14.0


class Client:
    """One client's try."""

    def __init__(self, run: Run, row: Row) -> None:
        self.run, self.row = run, row

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """The final answer; some of those refused come again."""
        run, row = self.run, self.row
        row.verdict = verdict.value
        if not run.counts():
            return
        run.ends[verdict.value] += 1
        if verdict is Verdict.REJECTED:
            held, at = run.meter.stores.get(row.customer, (PLAN.burst, run.kernel.now))
            held = min(PLAN.burst, held + PLAN.rate_per_s * (run.kernel.now - at) / 1000)
            run.ends["refused with half unused"] += held >= max(row.units, PLAN.burst / 2)
            if row.number < 3 and run.drawn.random() < run.case.back:
                again = replace(row, number=row.number + 1, sent=-1.0, verdict="")
                run.kernel.after(run.drawn.uniform(50.0, 400.0), run.enter, again)


class Door(Member):
    """One that counts what became of its calls."""

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """A call to the counter, and how late its answer is."""
        run: Any = self.flock
        settings = self.core.settings

        def told(outcome: Outcome, total: float, took: float) -> None:
            if run.counts():
                run.ends["calls"] += 1
                run.ends["late"] += outcome is Outcome.TIMEOUT
                run.ends["over 30 ms"] += took > settings.counter_late_after_ms
            self.timed(self.core.counter_replied, counter_key, outcome, total, took)

        run.counter.add(counter_key, amount, settings.counter_wait_ms, told)


class Run(Flock):
    """One case."""

    def __init__(self, case: Case) -> None:
        self.case, self.drawn, self.ends = case, random.Random(f"crowded {case.seed}"), Tally[str]()
        settings = replace(SITE, limiter_count=case.limiters)
        fleet = Fleet(servers=60, cores=8, room=60, work_ms=(100.0, 100.0))
        super().__init__(settings, seed=case.seed, linked=False, fleet=fleet)
        self.counter.service_ms = 1000.0 / (case.per_s * case.bears)
        quiet = int(case.customers * (1 - case.over))
        weights = [1.0] * quiet + [6.0] * (case.customers - quiet)
        at = 0.0
        while at < 1000.0 * case.seconds:
            at += self.drawn.expovariate(case.per_s) * 1000.0
            (who,) = self.drawn.choices(range(case.customers), weights)
            units = float(self.drawn.choice((1, 1, 2, 3)))
            row = Row("", "x", who + 1, 0, 0, 0, units, 0, at)
            self.kernel.at(START_MS + at, self.enter, row)

    def make(self, index: int) -> Any:
        """A limiter."""
        return Door(self, index, replace(self.settings, limiter_index=index), 0)

    def counts(self) -> bool:
        """Whether the run has warmed up."""
        return self.now >= BEGIN_MS

    def enter(self, row: Row) -> None:
        """A try comes through one of the customer's doors."""
        case = self.case
        first = row.customer * 7919 % case.limiters
        row.limiter = (first + self.drawn.randrange(case.doors)) % case.limiters
        row.at = self.now
        limiter: Any = self.limiters[row.limiter]
        self.ends["asked"] += self.counts()
        incoming = IncomingRequest(
            tenant=f"{row.customer:016x}",
            plan_index=0,
            class_index=0,
            expires_in_ms=3000.0,
            units=row.units,
            sharing_limiters=case.doors,
            first_limiter=first,
        )
        limiter.timed(limiter.core.submit, Client(self, row), (row, 100.0), incoming)

    def play(self) -> dict[str, float]:
        """To its end."""
        self.run(BEGIN_MS)
        before = self.meter.inside, self.meter.beyond
        self.run(1000.0 * self.case.seconds + 3000.0)
        inside, beyond = self.meter.inside - before[0], self.meter.beyond - before[1]
        ends, asked = self.ends, max(1, self.ends["asked"])
        return {
            "calls a try": round(ends["calls"] / asked, 2),
            "no answer": round(ends["late"] / max(1, ends["calls"]), 3),
            "over 30 ms": round(ends["over 30 ms"] / max(1, ends["calls"]), 3),
            "beyond": round(beyond / (inside + beyond), 3),
            "half unused": round(ends["refused with half unused"] / asked, 3),
            "refused": round(ends["refused"] / asked, 3),
            "inside a second": round(inside / (self.case.seconds - BEGIN_MS / 1000), 1),
        }


def main() -> None:
    """The table."""
    for bears in (1.0, 0.5, 0.25):
        for seed in (1, 2):
            print(bears, seed, Run(Case(bears, seed=seed)).play(), flush=True)


if __name__ == "__main__":
    main()
