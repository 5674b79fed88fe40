"""Requests with idempotency keys whose duplicates only one zone drops, under faults and in virtual time.

Limiters are killed, their links are cut and zones are removed, while clients whose limiter died retry with
the same key through another limiter.  A request that was executed in two zones was executed twice.
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
from scalelb.lab.model import START_MS
from scalelb.lab.simulated_cluster import Member, SimulatedCluster
from scalelb.policy.endpoints import EndpointState
from scalelb.policy.events import Outcome
from scalelb.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

WINDOW_MS, DEADLINE_MS = 4000.0, 4000.0
CLASS = RequestClass(1000.0, DEADLINE_MS, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, WINDOW_MS)
LIMITER_SETTINGS = Settings(
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
BEGIN_MS = 3000.0  # The load starts at this time, when all limiters have settled.


@dataclass(frozen=True)
class Case:
    """The parameters of one run."""

    seed: int = 1
    limiters: int = 8
    requests: int = 10_000
    per_s: float = 200.0  # requests per second
    kills_per_s: float = 2.0
    linked: bool = True
    keys: bool = True  # whether limiters get the idempotency keys
    splits: bool = False  # whether the links between two halves of the limiters are cut for 3 of every 8 s
    lost_zones: bool = False  # whether a zone is missing from the endpoint lists for 2 of every 6 s
    retry_delay_ms: tuple[float, float] = (5.0, 300.0)  # from the kill of a limiter to its clients' retries


class Client:
    """One client request and its retries."""

    def __init__(self, run: Run, key: str) -> None:
        self.run, self.key = run, key
        self.limiter: Any = None
        self.verdict, self.attempts = "", 0

    def submit(self) -> None:
        """Submit the request to a random limiter that is running."""
        run = self.run
        running: list[Any] = [m for m in run.limiters if not getattr(m, "dead", True)]
        self.limiter, self.attempts = run.rng.choice(running), self.attempts + 1
        run.open_requests.setdefault(id(self.limiter), {})[self.key] = self
        incoming = IncomingRequest(
            tenant="c",
            plan_index=0,
            class_index=0,
            expires_in_ms=DEADLINE_MS,
            units=1.0,
            sharing_limiters=len(run.limiters),
            idempotency_key=self.key if run.case.keys else "",
            is_retry=self.attempts > 1,
        )
        payload = (None, run.rng.uniform(10.0, 60.0), self.key)
        self.limiter.timed(self.limiter.core.submit, self, payload, incoming)

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Record the final answer, or retry if the request was rejected."""
        self.run.open_requests.get(id(self.limiter), {}).pop(self.key, None)
        if verdict is Verdict.REJECTED and self.attempts < 4:
            self.run.kernel.after(retry_after_ms, self.submit)
        else:
            self.verdict = verdict.value
            self.run.verdicts[verdict.value] += 1


class RecordingMember(Member):
    """An incarnation of a limiter that records in which zone its attempts are executed."""

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Send an attempt without the quota meter: the plan has no quota."""
        attempt_number, link_ms = request.attempt_number, self.world.fleet.link_ms

        def on_end(outcome: Outcome) -> None:
            self.kernel.after(link_ms, self._attempt_ended, request, attempt_number, outcome)

        def arrive() -> None:  # A sent attempt arrives even if its limiter is killed.
            request.attempt_handle = self.deliver_attempt(request, endpoint, on_end)

        self.kernel.after(link_ms, arrive)

    def deliver_attempt(
        self, request: OpenRequest, server: str, on_end: Callable[[Outcome], None]
    ) -> Callable[[], None]:
        """Record the zone of the server, which may now execute the attempt."""
        run: Any = self.cluster
        run.zones_by_key[request.payload[2]].add(run.zones[server])
        return super().deliver_attempt(request, server, on_end)


class Run(SimulatedCluster):
    """One run of a case."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng = case, random.Random(f"keyed {case.seed}")
        self.open_requests: dict[int, dict[str, Client]] = {}  # by limiter and key
        self.zones_by_key: defaultdict[str, set[int]] = defaultdict(set)
        self.verdicts: Counter[str] = Counter()
        self.removed_zone: int | None = None  # the zone that is missing from the endpoint lists
        super().__init__(
            replace(LIMITER_SETTINGS, limiter_count=case.limiters),
            seed=case.seed,
            linked=case.linked,
            fleet=Fleet(servers=18, cores=8, room=60, zones=3),
        )
        self.zones = {endpoint.name: endpoint.zone for endpoint in self.endpoints}
        self.load_ms = 1000.0 * case.requests / case.per_s
        arrives_at = BEGIN_MS
        for number in range(case.requests):
            arrives_at += self.rng.expovariate(case.per_s) * 1000.0
            self.kernel.at(START_MS + arrives_at, Client(self, f"{number:016x}").submit)
        for number in range(int(self.load_ms / 1000.0 * case.kills_per_s)):
            self.kernel.at(
                START_MS + BEGIN_MS + 1000.0 / case.kills_per_s * (number + 0.5), self.kill_random_limiter
            )
        if case.splits:
            self.kernel.at(START_MS + BEGIN_MS + 2000.0, self.split)
        if case.lost_zones:
            self.kernel.at(START_MS + BEGIN_MS + 1000.0, self.remove_zone, 0)

    def create_limiter(self, index: int) -> Any:
        """Create the next incarnation of a limiter, with the current endpoint list."""
        incarnation, self.incarnations[index] = self.incarnations[index], self.incarnations[index] + 1
        member = RecordingMember(self, index, replace(self.settings, limiter_index=index), incarnation)
        if self.removed_zone is not None:
            self.update_endpoints(member, self.removed_zone, EndpointState.REMOVED)
        return member

    def kill_random_limiter(self) -> None:
        """Kill a random limiter; its clients retry through other limiters."""
        index = self.rng.randrange(len(self.limiters))
        clients = self.open_requests.pop(id(self.limiters[index]), {})
        self.kill(index, 300.0)
        for client in clients.values():
            self.kernel.after(self.rng.uniform(*self.case.retry_delay_ms), client.submit)

    def split(self) -> None:
        """Cut the links between two random halves of the limiters for 3 s, and again every 8 s."""
        half = set(self.rng.sample(self.names, len(self.names) // 2))
        self.cut(half, set(self.names) - half)
        self.kernel.after(3000.0, self.heal)
        if self.now < self.load_ms:
            self.kernel.after(8000.0, self.split)

    def remove_zone(self, zone: int) -> None:
        """Remove a zone from the endpoint list of each limiter, with random delays, and restore it later."""
        self.removed_zone = zone
        for limiter in self.limiters:
            self.kernel.after(
                self.rng.uniform(0.0, 800.0), self.update_endpoints, limiter, zone, EndpointState.REMOVED
            )
        self.kernel.after(2000.0, self.restore_zone, zone)
        if self.now < self.load_ms:
            self.kernel.after(6000.0, self.remove_zone, (zone + 1) % 3)

    def restore_zone(self, zone: int) -> None:
        """Restore a zone on the endpoint list of each limiter, with random delays."""
        self.removed_zone = None
        for limiter in self.limiters:
            self.kernel.after(
                self.rng.uniform(0.0, 800.0), self.update_endpoints, limiter, zone, EndpointState.SERVING
            )

    def update_endpoints(self, limiter: Any, zone: int, state: EndpointState) -> None:
        """Change the state of all endpoints of a zone on the endpoint list of a limiter."""
        changed = tuple(replace(entry, state=state) for entry in self.endpoints if entry.zone == zone)
        if not limiter.dead:
            limiter.timed(limiter.core.on_endpoints, changed, False)

    def play(self) -> dict[str, int]:
        """Run to the end; return the number of keys that were executed in two zones, and the verdicts."""
        self.run(BEGIN_MS + self.load_ms + 12_000.0)
        twice = sum(len(zones) > 1 for zones in self.zones_by_key.values())
        return {"asked": self.case.requests, "ran": len(self.zones_by_key), "twice": twice, **self.verdicts}


def main() -> None:
    """Print the table."""
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
                result = Run(replace(case, seed=seed, **fields)).play()
                print(f"{name:24} {way:8} seed {seed}", result, flush=True)


if __name__ == "__main__":
    main()
