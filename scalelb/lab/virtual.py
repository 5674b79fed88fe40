"""A fault schedule on many cores in one process and in virtual time: the same steps, history and checkers.

What begins a step is seen here as it is with real processes: a line of a log, so many answers, the n-th
message between two limiters. One seed is one order of everything; a seed that fails replays alone.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.request_table import OpenRequest, Verdict
from scalelb.lab.checkers import CHECKERS, Event, check, quotas
from scalelb.lab.experiment import CLASSES, Experiment, Fleet, Variant
from scalelb.lab.flock import Delays, Flock, Member
from scalelb.lab.model import Caller
from scalelb.lab.rows import Row
from scalelb.lab.schedule import Schedule, Step
from scalelb.lab.traffic import Clients
from scalelb.policy.shared_counter import WINDOW_MS

LIMIT_MS, SETTLE_MS = 120_000.0, 14_000.0  # of virtual time: for a step's event; after the load
PLAN = "basic"
LINK_DELAYS = Delays()


class Recorded(Caller):
    """A client whose answer goes into the history."""

    __slots__ = ("ident", "limiter")

    def __init__(self, world: Any, row: Row, ident: str, limiter: str) -> None:
        super().__init__(world, row)
        self.ident, self.limiter = ident, limiter

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """The final answer."""
        super().on_answer(request, verdict, value, retry_after_ms)
        world: Any = self.world
        world.note("answer", ident=self.ident, verdict=verdict.value, made_for=self.ident)
        world.since["answers"] += 1
        world.look()


class Recorder(Member):
    """A life whose attempts go into the history."""

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """An attempt goes out."""
        flock: Any = self.flock
        ident, row = request.payload[2], request.payload[0]
        link = f"{self.life} {request.attempt_number}"
        customer = f"{row.customer:016x}"
        flock.note("take", ident=ident, customer=customer, units=row.units, key="", deck=endpoint, link=link)
        super().send_attempt(request, endpoint, timeout_ms)

    @property
    def life(self) -> int:
        """Which life of its limiter this is."""
        return id(self)

    def _attempt_ended(self, request: OpenRequest, attempt: int, outcome: Any) -> None:
        if request.in_flight and request.attempt_number == attempt and not self.dead:
            self.gone(request, attempt)
        super()._attempt_ended(request, attempt, outcome)

    def abandon_attempt(self, request: OpenRequest) -> None:
        """An attempt is given up."""
        self.gone(request, request.attempt_number)
        super().abandon_attempt(request)

    def gone(self, request: OpenRequest, attempt: int) -> None:
        """An attempt is out no more."""
        flock: Any = self.flock
        flock.note("end", ident=request.payload[2], deck=request.endpoint, link=f"{self.life} {attempt}")


class Virtual(Flock):
    """One run of a schedule."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        limiters: int,
        clock_ms: float | None = None,
        delays: Delays = LINK_DELAYS,
    ) -> None:
        """`clock_ms`: the wall clock's time in the counting window when all begin; drawn, if it is not given.
        `delays`: of the links between the limiters."""
        if clock_ms is None:
            clock_ms = random.Random(f"clock {seed}").uniform(0.0, WINDOW_MS)
        self.history: list[Event] = []
        self.since: Counter[Any] = Counter()
        self.steps = deque(schedule.steps)
        self.schedule, self.drawn, self.asked = schedule, random.Random(f"load {seed}"), 0
        self.loading, self.done_at = not schedule.linked, 0.0
        plan: dict[str, Any] = {"rate": schedule.rate, "burst": schedule.burst, "at_once": 0, "price": 1.0}
        fleet, clients = Fleet(servers=12, cores=8), Clients(obey=False)
        tenants, variants = (), ()
        experiment = Experiment(
            schedule.name, 1.0, 1.0, 1000.0, 6.0, fleet, {PLAN: plan}, tenants, clients, {}, variants
        )  # fmt: skip
        settings = experiment.settings(Variant("virtual", limiters=limiters, seed=seed))
        share = limiters // schedule.limiters
        self.index_of = {name: n * share for n, name in enumerate(schedule.names)}
        shares = [schedule.names[min(n // share, schedule.limiters - 1)] for n in range(limiters)]
        self.shown = {f"limiter-{n:03}": known for n, known in enumerate(shares)}  # whose share it is in
        linked = schedule.linked
        super().__init__(
            settings, seed=seed, linked=linked, delays=delays, fleet=fleet, clients=clients, clock_ms=clock_ms
        )  # fmt: skip
        self.kernel.after(0.0, self.ask_next)

    def make(self, index: int) -> Any:
        """A new life."""
        life, self.lives[index] = self.lives[index], self.lives[index] + 1
        return Recorder(self, index, replace(self.settings, limiter_index=index), life)

    # What is seen

    def note(self, what: str, **fields: Any) -> None:
        """One event of the history."""
        self.history.append({"what": what, "seen": self.kernel.now, "at": self.kernel.now, **fields})

    def log(self, event: str, **fields: Any) -> None:
        """A line of one of them."""
        super().log(event, **fields)
        self.since["log", event, ""] += 1
        if event == "settled" and self.since["log", "settled", ""] >= 1:
            self.loading = True
        self.kernel.after(0.0, self.look)

    def carry(self, member: Member, name: str, message: Any) -> None:
        """A message goes by, and has not gone on yet."""
        source, target = self.shown[member.name], self.shown[name]
        if source != target:
            self.since["messages", source, target] += 1
            self.look()
        super().carry(member, name, message)

    def ask_next(self) -> None:
        """The next request, after a drawn time."""
        if self.done_at:
            return
        if self.loading:
            self.asked += 1
            index, ident = self.drawn.randrange(len(self.limiters)), f"{self.asked:016x}"
            limiter: Any = self.limiters[index]
            keyed = self.drawn.random() < self.schedule.keyed
            row = Row("", "x", 1 + self.drawn.randrange(self.schedule.customers), index, int(keyed), 0,
                      float(self.drawn.randint(1, 3)), 0, self.now)  # fmt: skip
            customer = f"{row.customer:016x}"
            if not limiter.dead:
                told = {"ident": ident, "limiter": limiter.name, "customer": customer, "plan": PLAN}
                self.note("ask", **told, units=row.units, key="")
                row.at = self.now
                self.rows.append(row)
                kind = CLASSES[keyed]
                caller = Recorded(self, row, ident, limiter.name)
                incoming = IncomingRequest(
                    tenant=customer,
                    plan_index=0,
                    class_index=int(keyed),
                    expires_in_ms=float(str(kind["hard-limit-ms"])),
                    units=row.units,
                    sharing_limiters=len(self.limiters),
                )
                limiter.timed(limiter.core.submit, caller, (row, 10.0 * row.units, ident), incoming)
        self.kernel.after(self.drawn.expovariate(self.schedule.per_s) * 1000.0, self.ask_next)

    # Steps

    def look(self) -> None:
        """Do the next steps whose events have been seen."""
        while self.steps and self.due(self.steps[0]):
            step = self.steps.popleft()
            self.since.clear()
            self.do(step)
            if not self.steps:
                self.done_at = self.now

    def due(self, step: Step) -> bool:
        """Whether what a step waits for has been seen."""
        if step.wait == "log":
            return self.since["log", step.what, ""] >= step.count
        if step.wait == "messages":
            return self.since["messages", step.source, step.target] >= step.count
        return step.wait == "" or self.since["answers"] >= step.count

    def do(self, step: Step) -> None:
        """One fault, or its end."""
        name = self.names[self.index_of[step.of]] if step.of in self.index_of else step.of
        self.note("fault", do=step.do, of=name, to=step.to)
        index = self.index_of.get(step.of, 0)
        acts: dict[str, Callable[[], None]] = {
            "kill": lambda: self.kill(index, 1e12),
            "start": lambda: self.restart(index),
            "stall": lambda: self.stall(index, 1e12),
            "wake": lambda: self.wake(self.member(name)),
            "carry": self.heal,
            "reset": lambda: self.part(name),
            "cut": lambda: self.cut(self.group(step.of), self.group(step.to), step.one_way),
            "delay": lambda: self.delay(step),
        }
        if step.do == "counter":
            self.counter.silent = step.how == "silent"
            if step.how == "empty":
                self.counter.numbers.clear()
        elif step.do in acts:
            acts[step.do]()

    def delay(self, step: Step) -> None:
        """Messages from one limiter (or all) to another (or all) come late from here on."""
        for a in self.group(step.of):
            for b in self.group(step.to):
                self.late[a, b] = Delays(*step.delay_ms)
                if not step.one_way:
                    self.late[b, a] = Delays(*step.delay_ms)

    def group(self, name: str) -> set[str]:
        """The limiters that a name of the schedule stands for: its share of them all."""
        if name in ("", "all"):
            return set(self.names)
        return {member for member, shown in self.shown.items() if shown == name}

    def play(self) -> dict[str, tuple[int, list[str]]]:
        """Run it to its end; what the checkers found, and steps that were not reached."""
        while not self.done_at and self.now < LIMIT_MS:
            self.run(self.now + 100.0)
        self.done_at = self.done_at or self.now
        self.run(self.now + SETTLE_MS)
        only = [name for name in CHECKERS if not name.startswith("nothing new")]
        for limiter in self.limiters:
            member: Any = limiter
            if not member.dead and member.peering is not None:
                self.note("digest", limiter=member.name, state=member.peering.digest())
        found = check(self.history, only if self.linked else [n for n in only if not n.startswith("copies")])
        plans = {PLAN: (self.schedule.rate, self.schedule.burst)}
        takes = sum(event["what"] == "take" for event in self.history)
        found["quotas over all limiters"] = takes, quotas(self.history, plans, self.schedule.bound)
        missed = [f"not reached: {step.do} {step.of}" for step in self.steps]
        found["steps"] = len(self.schedule.steps), missed
        return found


def play(schedule: Schedule, seed: int = 1, limiters: int = 0) -> list[str]:
    """One seed of a schedule; what was broken, in words."""
    found = Virtual(schedule, seed, limiters or schedule.limiters).play()
    empty = [f"{name}: nothing to check" for name, (count, _) in found.items() if not count]
    return empty + [f"{name}: {words}" for name, (_, some) in found.items() for words in some]
