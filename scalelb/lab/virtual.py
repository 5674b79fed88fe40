"""Runs a fault schedule on many cores in one process and in virtual time.

Steps, history and checkers are the same as with real processes, and a step waits for the same observations: a
log line, a number of answers, or the n-th message between two limiters.  A seed determines the order of all
events, so a seed that fails can be replayed alone.
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
from scalelb.lab.model import Caller
from scalelb.lab.rows import Row
from scalelb.lab.schedule import Schedule, Step
from scalelb.lab.simulated_cluster import Delays, Member, SimulatedCluster
from scalelb.lab.traffic import Clients
from scalelb.policy.shared_counter import WINDOW_MS

# All steps must begin within `MAX_LOAD_MS` of virtual time; the checks follow `SETTLE_MS` after the load.
MAX_LOAD_MS, SETTLE_MS = 120_000.0, 14_000.0
PLAN = "basic"
LINK_DELAYS = Delays()


class RecordingCaller(Caller):
    """A client whose final answer is added to the history."""

    __slots__ = ("ident", "limiter")

    def __init__(self, world: Any, row: Row, ident: str, limiter: str) -> None:
        super().__init__(world, row)
        self.ident, self.limiter = ident, limiter

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Record the final answer."""
        super().on_answer(request, verdict, value, retry_after_ms)
        world: Any = self.world
        world.note("answer", ident=self.ident, verdict=verdict.value, made_for=self.ident)
        world.observed["answers"] += 1
        world.run_due_steps()


class RecordingMember(Member):
    """An incarnation of a limiter whose attempts are added to the history."""

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Record an attempt and send it."""
        cluster: Any = self.cluster
        ident, row = request.payload[2], request.payload[0]
        link = f"{self.incarnation_id} {request.attempt_number}"
        customer = f"{row.customer:016x}"
        cluster.note(
            "take", ident=ident, customer=customer, units=row.units, key="", deck=endpoint, link=link
        )
        super().send_attempt(request, endpoint, timeout_ms)

    @property
    def incarnation_id(self) -> int:
        """A number that is unique among all incarnations of the run."""
        return id(self)

    def _attempt_ended(self, request: OpenRequest, attempt_number: int, outcome: Any) -> None:
        if request.in_flight and request.attempt_number == attempt_number and not self.dead:
            self.record_attempt_end(request, attempt_number)
        super()._attempt_ended(request, attempt_number, outcome)

    def abandon_attempt(self, request: OpenRequest) -> None:
        """Record the end of an attempt and abandon it."""
        self.record_attempt_end(request, request.attempt_number)
        super().abandon_attempt(request)

    def record_attempt_end(self, request: OpenRequest, attempt_number: int) -> None:
        """Record that an attempt is no longer in flight."""
        cluster: Any = self.cluster
        cluster.note(
            "end",
            ident=request.payload[2],
            deck=request.endpoint,
            link=f"{self.incarnation_id} {attempt_number}",
        )


class VirtualRun(SimulatedCluster):
    """One run of a fault schedule."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        limiters: int,
        clock_ms: float | None = None,
        delays: Delays = LINK_DELAYS,
    ) -> None:
        """`clock_ms` is the time since the counting window began; by default it is drawn from the seed.

        `delays` are those of the links between the limiters.
        """
        if clock_ms is None:
            clock_ms = random.Random(f"clock {seed}").uniform(0.0, WINDOW_MS)
        self.history: list[Event] = []
        self.observed: Counter[Any] = Counter()  # events since the last step was executed
        self.steps = deque(schedule.steps)
        self.schedule, self.rng, self.request_count = schedule, random.Random(f"load {seed}"), 0
        self.is_loading, self.load_ended_at = not schedule.linked, 0.0
        plan: dict[str, Any] = {"rate": schedule.rate, "burst": schedule.burst, "at_once": 0, "price": 1.0}
        fleet, clients = Fleet(servers=12, cores=8), Clients(obey=False)
        tenants, variants = (), ()
        experiment = Experiment(
            schedule.name, 1.0, 1.0, 1000.0, 6.0, fleet, {PLAN: plan}, tenants, clients, {}, variants
        )  # fmt: skip
        settings = experiment.settings(Variant("virtual", limiters=limiters, seed=seed))
        group_size = limiters // schedule.limiters
        self.index_of = {name: n * group_size for n, name in enumerate(schedule.names)}
        group_names = [schedule.names[min(n // group_size, schedule.limiters - 1)] for n in range(limiters)]
        # Each limiter of the schedule represents a group of simulated ones.
        self.group_of = {f"limiter-{n:03}": group for n, group in enumerate(group_names)}
        linked = schedule.linked
        super().__init__(
            settings, seed=seed, linked=linked, delays=delays, fleet=fleet, clients=clients, clock_ms=clock_ms
        )  # fmt: skip
        self.kernel.after(0.0, self.submit_next_request)

    def create_limiter(self, index: int) -> Any:
        """Create the next incarnation of a limiter."""
        incarnation, self.incarnations[index] = self.incarnations[index], self.incarnations[index] + 1
        return RecordingMember(self, index, replace(self.settings, limiter_index=index), incarnation)

    # Observations

    def note(self, what: str, **fields: Any) -> None:
        """Add an event to the history."""
        self.history.append({"what": what, "seen": self.kernel.now, "at": self.kernel.now, **fields})

    def log(self, event: str, **fields: Any) -> None:
        """Observe a log line of a limiter; the load begins when the first limiter has settled."""
        super().log(event, **fields)
        self.observed["log", event, ""] += 1
        if event == "settled" and self.observed["log", "settled", ""] >= 1:
            self.is_loading = True
        self.kernel.after(0.0, self.run_due_steps)

    def send_message(self, member: Member, name: str, message: Any) -> None:
        """Observe a message before it is sent, so that a step can still affect it."""
        source, target = self.group_of[member.name], self.group_of[name]
        if source != target:
            self.observed["messages", source, target] += 1
            self.run_due_steps()
        super().send_message(member, name, message)

    def submit_next_request(self) -> None:
        """Submit a random request and schedule the next one after a random time."""
        if self.load_ended_at:
            return
        if self.is_loading:
            self.request_count += 1
            index, ident = self.rng.randrange(len(self.limiters)), f"{self.request_count:016x}"
            limiter: Any = self.limiters[index]
            has_key = self.rng.random() < self.schedule.keyed
            row = Row("", "x", 1 + self.rng.randrange(self.schedule.customers), index, int(has_key), 0,
                      float(self.rng.randint(1, 3)), 0, self.now)  # fmt: skip
            customer = f"{row.customer:016x}"
            if not limiter.dead:
                fields = {"ident": ident, "limiter": limiter.name, "customer": customer, "plan": PLAN}
                self.note("ask", **fields, units=row.units, key="")
                row.at = self.now
                self.rows.append(row)
                request_class = CLASSES[has_key]
                caller = RecordingCaller(self, row, ident, limiter.name)
                incoming = IncomingRequest(
                    tenant=customer,
                    plan_index=0,
                    class_index=int(has_key),
                    expires_in_ms=float(str(request_class["hard-limit-ms"])),
                    units=row.units,
                    sharing_limiters=len(self.limiters),
                )
                limiter.timed(limiter.core.submit, caller, (row, 10.0 * row.units, ident), incoming)
        self.kernel.after(self.rng.expovariate(self.schedule.per_s) * 1000.0, self.submit_next_request)

    # Steps

    def run_due_steps(self) -> None:
        """Execute the next steps for as long as their conditions are met; the load ends with the last one."""
        while self.steps and self.is_due(self.steps[0]):
            step = self.steps.popleft()
            self.observed.clear()
            self.execute(step)
            if not self.steps:
                self.load_ended_at = self.now

    def is_due(self, step: Step) -> bool:
        """Whether what a step waits for has been observed."""
        if step.wait == "log":
            return self.observed["log", step.what, ""] >= step.count
        if step.wait == "messages":
            return self.observed["messages", step.source, step.target] >= step.count
        return step.wait == "" or self.observed["answers"] >= step.count

    def execute(self, step: Step) -> None:
        """Inject the fault of a step, or end one."""
        name = self.names[self.index_of[step.of]] if step.of in self.index_of else step.of
        self.note("fault", do=step.do, of=name, to=step.to)
        index = self.index_of.get(step.of, 0)
        actions: dict[str, Callable[[], None]] = {
            "kill": lambda: self.kill(index, 1e12),
            "start": lambda: self.restart(index),
            "stall": lambda: self.stall(index, 1e12),
            "wake": lambda: self.resume(self.member(name)),
            "carry": self.heal,
            "reset": lambda: self.disconnect(name),
            "cut": lambda: self.cut(self.group(step.of), self.group(step.to), step.one_way),
            "delay": lambda: self.delay(step),
        }
        if step.do == "counter":
            self.counter.is_unresponsive = step.how == "silent"
            if step.how == "empty":
                self.counter.totals.clear()
        elif step.do in actions:
            actions[step.do]()

    def delay(self, step: Step) -> None:
        """Delay all messages from one group of limiters to another from now on."""
        for sender in self.group(step.of):
            for receiver in self.group(step.to):
                self.link_delays[sender, receiver] = Delays(*step.delay_ms)
                if not step.one_way:
                    self.link_delays[receiver, sender] = Delays(*step.delay_ms)

    def group(self, name: str) -> set[str]:
        """Return the limiters that a name of the schedule denotes; an empty name or "all" means all."""
        if name in ("", "all"):
            return set(self.names)
        return {member for member, group in self.group_of.items() if group == name}

    def play(self) -> dict[str, tuple[int, list[str]]]:
        """Run the schedule to its end.

        Returns for each checker how many events it had to check and what was broken, and the same for the
        quotas and for steps that were not reached.
        """
        while not self.load_ended_at and self.now < MAX_LOAD_MS:
            self.run(self.now + 100.0)
        self.load_ended_at = self.load_ended_at or self.now
        self.run(self.now + SETTLE_MS)
        checkers = [name for name in CHECKERS if not name.startswith("nothing new")]
        for limiter in self.limiters:
            member: Any = limiter
            if not member.dead and member.peering is not None:
                self.note("digest", limiter=member.name, state=member.peering.digest())
        results = check(
            self.history, checkers if self.linked else [n for n in checkers if not n.startswith("copies")]
        )
        plans = {PLAN: (self.schedule.rate, self.schedule.burst)}
        takes = sum(event["what"] == "take" for event in self.history)
        results["quotas over all limiters"] = takes, quotas(self.history, plans, self.schedule.bound)
        missed = [f"not reached: {step.do} {step.of}" for step in self.steps]
        results["steps"] = len(self.schedule.steps), missed
        return results


def play(schedule: Schedule, seed: int = 1, limiters: int = 0) -> list[str]:
    """Run one seed of a schedule; return a description of each violation."""
    results = VirtualRun(schedule, seed, limiters or schedule.limiters).play()
    unchecked = [f"{name}: nothing to check" for name, (count, _) in results.items() if not count]
    return unchecked + [f"{name}: {text}" for name, (_, violations) in results.items() for text in violations]
