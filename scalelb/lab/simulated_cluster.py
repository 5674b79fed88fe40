"""Many limiters in one process and in virtual time, connected by links that can fail on command.

All limiters run on one event kernel, and each source of randomness has its own stream, so a run is
reproducible from its seed.  A link carries the same objects through the same JSON as a real one, each message
after a random delay; it can be cut in one direction or in both.  A quota meter counts the first attempt of
every request and records how many units were within the quotas.
"""

from __future__ import annotations

import random
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import orjson

from scalelb.core.endpoint_overrides import EndpointOverrides
from scalelb.core.request_table import OpenRequest
from scalelb.lab.model import START_MS, Limiter, World
from scalelb.policy.settings import Plan, Settings
from scalelb.program.peering import OverrideScope, Peering
from scalelb.replication import ReplicationSettings, Replicator

ROUNDING_TOLERANCE_UNITS = 1e-6


@dataclass(frozen=True, slots=True)
class Delays:
    """The range from which the delay of each message on a link is drawn."""

    min_ms: float = 0.5
    max_ms: float = 5.0


class Meter:
    """The exact balance of each tenant's quota, as the platform counts it for all limiters together."""

    def __init__(self, plans: tuple[Plan, ...]) -> None:
        self.plans = plans
        # By tenant: the units that are left, and the time to which they are computed.
        self.balances: dict[int, tuple[float, float]] = {}
        self.units_within_quota = self.units_over_quota = 0.0

    def record_first_attempt(self, tenant: int, plan: int, units: float, now: float) -> None:
        """Charge a request whose first attempt is sent; units over the quota leave the balance unchanged."""
        rate, burst = self.plans[plan].rate_per_s, self.plans[plan].burst
        balance, updated_at = self.balances.get(tenant, (burst, now))
        balance = min(burst, balance + rate * (now - updated_at) / 1000)
        is_within_quota = balance >= units - ROUNDING_TOLERANCE_UNITS
        self.balances[tenant] = balance - units * is_within_quota, now
        self.units_within_quota += units * is_within_quota
        self.units_over_quota += units * (not is_within_quota)


class Member(Limiter):
    """One incarnation of a limiter: the ports of its core, and its replicator."""

    def __init__(self, cluster: SimulatedCluster, index: int, settings: Settings, incarnation: int) -> None:
        self.cluster, self.dead = cluster, False
        # A stalled limiter defers all calls to its backlog, as a process does after SIGSTOP.
        self.stalled, self.backlog = False, list[Callable[[], Any]]()
        self.peering: Peering | None = None
        super().__init__(cluster, index + 10_000 * incarnation, settings, cluster.queue_settings)
        self.index = index
        self.name = cluster.names[index]
        if cluster.linked:
            rng = random.Random(f"{cluster.seed} {index} {incarnation}")
            replication = replace(cluster.replication, name=self.name)
            replicator = Replicator(replication, rng.getrandbits(31), cluster.now, cluster.log)
            overrides = EndpointOverrides()
            overrides.on_endpoints(cluster.endpoints, True)
            self.overrides = overrides
            core, fleet = self.core, OverrideScope.FLEET
            clock = lambda: self.kernel.now  # noqa: E731
            self.peering = Peering(
                replicator, core, overrides, clock, self.overrides_changed, cluster.log, fleet, self.flush
            )
            self.rng = rng
            self.kernel.after(rng.uniform(0.0, cluster.replication.tick_ms), self.tick)

    def overrides_changed(self, endpoints: list[str]) -> None:
        """Pass the endpoints whose overrides have changed to the core."""
        self.core.on_endpoints(self.overrides.effective_entries(endpoints), False)

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Send an attempt, and charge the quota meter for the first one of a request."""
        row = request.payload[0]
        if row.sent < 0:
            self.cluster.meter.record_first_attempt(row.customer, row.plan, row.units, self.kernel.now)
        self.cluster.counts["attempts"] += 1
        super().send_attempt(request, endpoint, timeout_ms)

    def timed(self, call: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        """Call into the core; a dead limiter ignores the call, and a stalled one defers it."""
        if self.dead:
            return None
        if self.stalled:
            self.backlog.append(lambda: self.timed(call, *args, **kwargs))
            return None
        return super().timed(call, *args, **kwargs)

    def turn(self, due_at: float) -> None:
        """Run one turn of the core; a dead limiter ignores it, and a stalled one defers it."""
        if self.dead:
            return
        if self.stalled:
            self.backlog.append(lambda: self.turn(due_at))
            return
        super().turn(due_at)

    def tick(self) -> None:
        """Run the periodic work of the replicator and schedule the next tick."""
        if self.dead or self.peering is None:
            return
        if self.stalled:
            self.backlog.append(self.tick)
            return
        cluster = self.cluster
        replicator = self.peering.replicator
        for name in replicator.links_to_dial(self.rng.choice):
            cluster.dial(self, name)
        for name, message in self.peering.tick(cluster.now, lambda name: True):
            cluster.send_message(self, name, message)
        self.kernel.after(cluster.replication.push_ms, self.tick)

    def flush(self) -> None:
        """Send own writes to the peers at once."""
        assert self.peering is not None
        for name, message in self.peering.replicator.push(lambda name: True):
            self.cluster.send_message(self, name, message)

    def receive(self, sender: Member, message: bytes) -> None:
        """Process a message from an incarnation of a peer, unless their link was closed in the meantime."""
        is_linked = self.cluster.links.get((self.name, sender.name)) is sender
        if self.dead or sender.dead or self.peering is None or not is_linked:
            return
        if self.stalled:
            self.backlog.append(lambda: self.receive(sender, message))
            return
        for name, reply in self.peering.replicator.receive(
            sender.name, orjson.loads(message), self.cluster.now
        ):
            self.cluster.send_message(self, name, reply)


class SimulatedCluster(World):
    """Limiters in virtual time, with links and faults between them."""

    def __init__(
        self,
        settings: Settings,
        *,
        seed: int = 1,
        linked: bool = True,
        delays: Delays = Delays(),
        replication: ReplicationSettings | None = None,
        **world_options: Any,
    ) -> None:
        self.linked, self.delays = linked, delays
        self.names = [f"limiter-{n:03}" for n in range(settings.limiter_count)]
        self.replication = replication or ReplicationSettings(self.names[0], tuple(self.names))
        self.replication = replace(self.replication, members=tuple(self.names))
        self.meter, self.counts = Meter(settings.plans), Tally[str]()
        # By (limiter, peer): the incarnation of the peer at the other end.
        self.links: dict[tuple[str, str], Member] = {}
        self.cuts: set[tuple[str, str]] = set()  # pairs (sender, receiver)
        self.link_delays: dict[tuple[str, str], Delays] = {}  # by (sender, receiver), in place of `delays`
        self.bytes: Tally[str] = Tally()  # sent to each limiter
        self.logged: list[tuple[float, str, dict[str, Any]]] = []
        self.links_rng = random.Random(f"links {seed}")
        self.incarnations = [0] * settings.limiter_count  # how many each limiter has had
        super().__init__(settings, seed=seed, **world_options)

    @property
    def now(self) -> float:
        """The time on the clock of the replicators: milliseconds since the start."""
        return self.kernel.now - START_MS

    def log(self, event: str, **fields: Any) -> None:
        """Record a log line of a limiter."""
        self.logged.append((self.now, event, fields))

    def create_limiter(self, index: int) -> Any:
        """Create the next incarnation of a limiter."""
        incarnation, self.incarnations[index] = self.incarnations[index], self.incarnations[index] + 1
        return Member(self, index, replace(self.settings, limiter_index=index), incarnation)

    def member(self, name: str) -> Member:
        """Return the current incarnation of a limiter."""
        found: Any = self.limiters[self.names.index(name)]
        assert isinstance(found, Member)
        return found

    # Faults

    def kill(self, index: int, down_ms: float) -> None:
        """Kill a limiter, as SIGKILL does; its next incarnation starts after `down_ms`."""
        killed: Any = self.limiters[index]
        killed.dead = True
        self.counts["kills"] += 1
        self.disconnect(killed.name)
        self.kernel.after(down_ms, self.restart, index)

    def restart(self, index: int) -> None:
        """Start the next incarnation of a limiter if the current one is dead."""
        if getattr(self.limiters[index], "dead", True):
            self.limiters[index] = self.create_limiter(index)

    def stall(self, index: int, duration_ms: float) -> None:
        """Stop a limiter, as SIGSTOP does, and resume it after this time."""
        member: Any = self.limiters[index]
        member.stalled = True
        self.kernel.after(duration_ms, self.resume, member)

    def resume(self, member: Member) -> None:
        """Resume a stalled limiter, as SIGCONT does; it processes all deferred calls at once."""
        member.stalled = False
        backlog, member.backlog = member.backlog, []
        for call in backlog:
            call()

    def disconnect(self, name: str) -> None:
        """Close all links of a limiter."""
        for limiter, peer in [link for link in self.links if name in link]:
            del self.links[limiter, peer]
            other = self.member(limiter)
            if other.peering is not None and not other.dead:
                other.peering.replicator.link_down(peer, self.now)

    def cut(self, senders: set[str], receivers: set[str], one_way: bool = False) -> None:
        """Drop all messages from senders to receivers and, unless `one_way`, in the other direction too."""
        self.cuts |= {(a, b) for a in senders for b in receivers if a != b}
        if not one_way:
            self.cuts |= {(b, a) for a in senders for b in receivers if a != b}

    def heal(self) -> None:
        """Restore all links and their usual delays; links that were cut are closed and have to be dialled."""
        self.link_delays.clear()
        for sender, receiver in self.cuts:
            for link in ((sender, receiver), (receiver, sender)):
                if self.links.pop(link, None) is not None:
                    other = self.member(link[0])
                    if other.peering is not None:
                        other.peering.replicator.link_down(link[1], self.now)
        self.cuts.clear()

    # Links

    def dial(self, member: Member, name: str) -> None:
        """Open a link to a peer, unless there is one, the peer is dead, or the path is cut."""
        other = self.member(name)
        if other.dead or (member.name, name) in self.cuts or (name, member.name) in self.cuts:
            return
        if (member.name, name) in self.links or member.peering is None or other.peering is None:
            return
        self.links[member.name, name], self.links[name, member.name] = other, member
        member.peering.replicator.link_up(name, self.now)
        other.peering.replicator.link_up(member.name, self.now)

    def send_message(self, member: Member, name: str, message: Any) -> None:
        """Deliver a message to a peer after a random delay, in the order of the link."""
        data = orjson.dumps(message)
        delays = self.link_delays.get((member.name, name), self.delays)
        delay_ms = self.links_rng.uniform(delays.min_ms, delays.max_ms)
        if (member.name, name) in self.cuts or (receiver := self.links.get((member.name, name))) is None:
            return
        self.bytes[name] += len(data)
        self.counts["messages"] += 1
        key = member.name, name
        arrives_at = max(self.kernel.now + delay_ms, self.last_arrivals.get(key, 0.0) + 0.001)
        self.last_arrivals[key] = arrives_at
        self.kernel.at(arrives_at, receiver.receive, member, data)

    @property
    def last_arrivals(self) -> dict[tuple[str, str], float]:
        """The arrival time of the newest message on each link; the next message arrives after it."""
        arrivals: dict[tuple[str, str], float] = self.__dict__.setdefault("_last", {})
        return arrivals

    def has_equal_copies(self) -> bool:
        """Whether the copies of all replicated logs are equal on all running limiters."""
        members: list[Any] = [m for m in self.limiters if not getattr(m, "dead", True)]
        replicas = [m.peering.replicator.replica for m in members]
        return all(replica.has_same_entries(replicas[0]) for replica in replicas[1:])
