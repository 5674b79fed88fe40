"""Keyed requests whose repeats only a zone drops, through kills, splits and lost zones, in virtual time.

Clients whose limiter died come again with the same key through another one. What ran in two zones ran twice.
`python -m scalelb.lab.idempotency` prints the table of `docs/replication.md`.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.request_table import OpenRequest, Verdict
from scalelb.lab.experiment import Fleet
from scalelb.lab.flock import Flock, Member
from scalelb.lab.model import START_MS
from scalelb.policy.endpoints import EndpointState
from scalelb.policy.events import Outcome
from scalelb.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

WINDOW_MS, DEADLINE_MS = 4000.0, 4000.0
CLASS = RequestClass(1000.0, DEADLINE_MS, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, WINDOW_MS)
SITE = Settings(
    limiter_index=0,
    limiter_count=8,
    zone=0,
    request_classes=(CLASS,),
    plans=(Plan(),),
    max_attempts=4,
    slow_start_initial_ratio=0.15,
    slow_start_ms=18_000.0,
    overload_multiple=3.0,
    overload_window_ms=1500.0,
    max_units=6.0,
    sends_retry_after=True,
    max_retry_after_ms=1000.0,
)
BEGIN_MS = 3000.0  # links have settled by then


@dataclass(frozen=True)
class Case:
    """One run."""

    seed: int = 1
    limiters: int = 8
    requests: int = 10_000
    per_s: float = 200.0
    kills_s: float = 2.0
    linked: bool = True
    keys: bool = True  # the decisions are told the keys
    splits: bool = False  # the limiters' links are cut in halves, 3 of every 8 s
    lost_zones: bool = False  # a zone leaves the list for 2 of every 6 s, and comes back
    back_ms: tuple[float, float] = (5.0, 300.0)  # after which a client comes again


class Client:
    """One client's request and its repeats."""

    def __init__(self, run: Run, key: str) -> None:
        self.run, self.key = run, key
        self.limiter: Any = None
        self.verdict, self.tries = "", 0

    def ask(self) -> None:
        """Through some limiter that runs."""
        run = self.run
        alive: list[Any] = [m for m in run.limiters if not getattr(m, "dead", True)]
        self.limiter, self.tries = run.drawn.choice(alive), self.tries + 1
        run.open.setdefault(id(self.limiter), {})[self.key] = self
        incoming = IncomingRequest(
            tenant="c",
            plan_index=0,
            class_index=0,
            expires_in_ms=DEADLINE_MS,
            units=1.0,
            sharing_limiters=len(run.limiters),
            idempotency_key=self.key if run.case.keys else "",
            is_retry=self.tries > 1,
        )
        payload = (None, run.drawn.uniform(10.0, 60.0), self.key)
        self.limiter.timed(self.limiter.core.submit, self, payload, incoming)

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """The final answer."""
        self.run.open.get(id(self.limiter), {}).pop(self.key, None)
        if verdict is Verdict.REJECTED and self.tries < 4:
            self.run.kernel.after(retry_after_ms, self.ask)
        else:
            self.verdict = verdict.value
            self.run.ends[verdict.value] += 1


class Life(Member):
    """A life whose attempts are seen where they run."""

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """No meter: nothing has a quota here."""
        attempt, link = request.attempt_number, self.world.fleet.link_ms

        def ended(outcome: Outcome) -> None:
            self.kernel.after(link, self._attempt_ended, request, attempt, outcome)

        def begin() -> None:  # it is in the kernel's hands: it arrives whether or not its sender lives
            request.attempt_handle = self.reached(request, endpoint, ended)

        self.kernel.after(link, begin)

    def reached(
        self, request: OpenRequest, server: str, ended: Callable[[Outcome], None]
    ) -> Callable[[], None]:
        """An attempt has come to its server: it may run there."""
        run: Any = self.flock
        run.ran[request.payload[2]].add(run.zones[server])
        return super().reached(request, server, ended)


class Run(Flock):
    """One case."""

    def __init__(self, case: Case) -> None:
        self.case, self.drawn = case, random.Random(f"keyed {case.seed}")
        self.open: dict[int, dict[str, Client]] = {}
        self.ran: defaultdict[str, set[int]] = defaultdict(set)
        self.ends: Counter[str] = Counter()
        self.lost: int | None = None  # the zone that is off the lists
        super().__init__(
            replace(SITE, limiter_count=case.limiters),
            seed=case.seed,
            linked=case.linked,
            fleet=Fleet(servers=18, cores=8, room=60, zones=3),
        )
        self.zones = {info.name: info.zone for info in self.infos}
        self.length = 1000.0 * case.requests / case.per_s
        at = BEGIN_MS
        for number in range(case.requests):
            at += self.drawn.expovariate(case.per_s) * 1000.0
            self.kernel.at(START_MS + at, Client(self, f"{number:016x}").ask)
        for number in range(int(self.length / 1000.0 * case.kills_s)):
            self.kernel.at(START_MS + BEGIN_MS + 1000.0 / case.kills_s * (number + 0.5), self.strike)
        if case.splits:
            self.kernel.at(START_MS + BEGIN_MS + 2000.0, self.split)
        if case.lost_zones:
            self.kernel.at(START_MS + BEGIN_MS + 1000.0, self.lose, 0)

    def make(self, index: int) -> Any:
        """A new life: it has the list that holds now."""
        life, self.lives[index] = self.lives[index], self.lives[index] + 1
        made = Life(self, index, replace(self.settings, limiter_index=index), life)
        if self.lost is not None:
            self.tell(made, self.lost, EndpointState.REMOVED)
        return made

    def strike(self) -> None:
        """One limiter dies; its clients come again through others."""
        index = self.drawn.randrange(len(self.limiters))
        some = self.open.pop(id(self.limiters[index]), {})
        self.kill(index, 300.0)
        for client in some.values():
            self.kernel.after(self.drawn.uniform(*self.case.back_ms), client.ask)

    def split(self) -> None:
        """The links between two halves carry nothing for 3 s, again and again."""
        half = set(self.drawn.sample(self.names, len(self.names) // 2))
        self.cut(half, set(self.names) - half)
        self.kernel.after(3000.0, self.heal)
        if self.now < self.length:
            self.kernel.after(8000.0, self.split)

    def lose(self, zone: int) -> None:
        """A zone leaves the lists, at each limiter at a time of its own, and comes back."""
        self.lost = zone
        for limiter in self.limiters:
            self.kernel.after(self.drawn.uniform(0.0, 800.0), self.tell, limiter, zone, EndpointState.REMOVED)
        self.kernel.after(2000.0, self.find, zone)
        if self.now < self.length:
            self.kernel.after(6000.0, self.lose, (zone + 1) % 3)

    def find(self, zone: int) -> None:
        """It comes back."""
        self.lost = None
        for limiter in self.limiters:
            self.kernel.after(self.drawn.uniform(0.0, 800.0), self.tell, limiter, zone, EndpointState.SERVING)

    def tell(self, limiter: Any, zone: int, state: EndpointState) -> None:
        """A limiter's list changes."""
        some = tuple(replace(info, state=state) for info in self.infos if info.zone == zone)
        if not limiter.dead:
            limiter.timed(limiter.core.on_endpoints, some, False)

    def play(self) -> dict[str, int]:
        """To its end; how many keys ran in more than one zone."""
        self.run(BEGIN_MS + self.length + 12_000.0)
        twice = sum(len(zones) > 1 for zones in self.ran.values())
        return {"asked": self.case.requests, "ran": len(self.ran), "twice": twice, **self.ends}


def main() -> None:
    """The table."""
    cases = {
        "kills": Case(),
        "kills and splits": Case(splits=True),
        "kills and lost zones": Case(lost_zones=True),
        "all three": Case(splits=True, lost_zones=True),
    }
    ways: dict[str, dict[str, Any]] = {
        "neither": {"linked": False, "keys": False},
        "homes": {"linked": False, "keys": True},
        "links": {"linked": True, "keys": True},
    }
    for name, case in cases.items():
        for way, fields in ways.items():
            for seed in (1, 2):
                found = Run(replace(case, seed=seed, **fields)).play()
                print(f"{name:24} {way:8} seed {seed}", found, flush=True)


if __name__ == "__main__":
    main()
