"""What a gateway remembers: requests, customers, servers, attempts.  Records only; `control.py` decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, inf

from scalelb.admission_queue.tenant_records import TenantRecord, TenantRecords
from scalelb.overload.concurrency_limit import ConcurrencyLimit
from scalelb.overload.counter_contention import CounterContention
from scalelb.policy.actions import Action
from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import Idempotency, Plan, RequestClass, Settings
from scalelb.routing.keys import Keys
from scalelb.routing.retry_age import RetryAge

MARGIN, MARGIN_MOST = 1.0, 0.5  # requests that a door keeps unlent; at most this part of the burst
DEMAND_MEMORY_S = 2.0  # time constant of the decaying demand rate


@dataclass(slots=True, eq=False)
class Request:
    """A request that is owed an answer."""

    ident: int
    customer: Customer
    kind: RequestClass
    units: float
    due: float  # an answer after this is worth less
    arrived: float
    rank: tuple[float, float]  # order in its customer's queue: class precedence, then fewest units
    sends: int = 0
    barred: bool = False  # from overdrawing the balance
    charged: float = 0.0
    tried: str = ""  # the last server
    ran: bool = False  # an earlier attempt may have run
    ran_at: float = 0.0  # when the first such attempt was sent
    ran_on: Endpoint | None = None
    door: int = 0
    key: str = ""
    admission: bool = False  # the asker sends it

    @classmethod
    def of(
        cls,
        e: RequestArrived,
        customer: Customer,
        kind: RequestClass,
        now: float,
        age_ms: float,
        precedence: float,
    ) -> Request:
        """The record of a request that arrives now (ms), first sent by its client `age_ms` ago.

        Among requests of one precedence fewer units go first: the balance covers them sooner, and a unit
        earns the same whichever request uses it.  Where limiters share one bucket on the counter, each is
        granted its own units, and those of one that is overtaken would cover no other."""
        units = e.units or customer.estimate
        return cls(
            ident=e.request_id,
            customer=customer,
            kind=kind,
            units=units,
            due=now + min(kind.latency_objective_ms - e.queued_ms - age_ms, e.expires_in_ms),
            arrived=now,
            rank=(precedence, 0.0 if customer.shared else -units),
            door=1 << e.listener,
            key=e.idempotency_key,
            admission=e.admission_only,
            ran=e.executed_on is not None,
            ran_at=e.executed_at,
            ran_on=e.executed_on,
        )

    @property
    def repeat_by(self) -> float:
        """Before when a further attempt has to begin: never, once an unsafe one may have run."""
        if not self.ran or self.kind.idempotency is Idempotency.IDEMPOTENT:
            return inf
        return (
            self.ran_at + self.kind.idempotency_window_ms
            if self.kind.idempotency is Idempotency.IDEMPOTENCY_KEY
            else -inf
        )


@dataclass(slots=True, eq=False)
class Customer:
    """A customer: queue, balance and average cost, and what the counter told of its store."""

    name: str
    plan: Plan
    doors: int
    at_once: int  # this door's share of the attempts out at once
    ceiling: float  # this door's share of the ceiling's store
    seen: float
    estimate: float  # running average of true cost
    queue: list[Request] = field(default_factory=list)  # short, and most often empty
    queued: float = 0.0  # units
    out: int = 0  # attempts
    lent: list[float] = field(default_factory=list)  # when admitted ones, out elsewhere, count as back
    balance: float = 0.0
    block: float = 0.0  # leased, not yet credited
    ready: float = 0.0  # when the block begins to be credited
    credited: float = 0.0
    wake: float = inf  # when a turn has to look at it
    ceiling_at: float = 0.0
    unreported: float = 0.0  # granted here, not yet added to the counter
    blind: float = 0.0  # the part of it that was credited while the counter was silent
    demand: float = 0.0  # units a second
    arrived: float = 0.0  # units that were asked for here since the counter's last answer
    store: float = 0.0  # what is left for all doors
    store_at: float = 0.0
    total: float = 0.0
    window: int = -1  # of the last call
    unread: bool = False  # nothing of it is known yet
    reading: bool = False  # what the window before left
    over: float = 0.0  # taken off with the call in flight, as it has run over the brim
    calling: bool = False
    called: float = 0.0  # when
    amount: float = 0.0  # of the call in flight
    asked: float = 0.0  # the part of it that is to be granted
    broke: bool = False  # the store was empty at the last reply
    shared: bool = False  # one store for all doors, kept on the counter (`ledger.py`)

    def __post_init__(self) -> None:
        self.credited = self.ceiling_at = self.store_at = self.seen

    @classmethod
    def fresh(
        cls, e: RequestArrived, settings: Settings, now: float, ran_ms: float, estimate: float
    ) -> Customer:
        """One that was never seen, at a door that has run for so long; `estimate`: units of a request."""
        plan, doors = settings.plans[e.plan_index], max(1, e.sharing_limiters)
        place = (settings.limiter_index - e.first_limiter) % settings.limiter_count
        at_once = (
            max(1, plan.max_concurrent_attempts // doors + (place < plan.max_concurrent_attempts % doors))
            if plan.max_concurrent_attempts
            else 0
        )
        # Guards the ceiling at a restart: a fresh share has filled only since this door began.
        filled = min(plan.ceiling_burst, plan.ceiling_slack + plan.ceiling_rate_per_s * ran_ms / 1000)
        return cls(e.tenant, plan, doors, at_once, filled / doors, now, estimate)

    def note_demand(self, now: float, units: float) -> None:
        """Add units to the exponentially decaying demand rate (units/s); a request was seen now (ms)."""
        fade = exp((self.seen - now) / (1000 * DEMAND_MEMORY_S))
        self.demand = self.demand * fade + units / DEMAND_MEMORY_S
        self.arrived += units
        self.seen = now

    def turn(self, window: int, began: float) -> None:
        """The count's window.  A new one began at nothing, with what the store held by the last word."""
        if window == self.window:
            return
        self.store = min(self.room(), self.filled(began))
        self.window, self.total, self.store_at = window, 0.0, began
        self.unread, self.reading = True, False

    def filled(self, at: float) -> float:
        """What the store holds then by the counter's last word, without a bound."""
        return self.store + self.plan.rate_per_s * max(0.0, at - self.store_at) / 1000

    def level(self, at: float, others: float, blind: float) -> float:
        """Units in the bucket when the counter answers (ms), before what this call asks for.

        `others`: units that the other limiters have taken since the last answer, at times it does not tell.
        `blind`: units credited here while it was silent; each of the others has credited as much.

        Guards the quota: as many of those units as came here, for each limiter, count as spread over the
        time. The rest was taken just now, from a bucket that was full where it may have run over: a customer
        that comes back comes to all its limiters at once. For that alone it is never taken to be overdrawn,
        as a full bucket gives no more than it holds."""
        spread = min(others, max(blind, self.arrived) * (self.doors - 1))
        self.arrived = 0.0
        refilled, recent = self.filled(at) - blind - spread, others - spread
        full = min(self.room(), refilled)
        return min(refilled - recent, max(full - recent, min(0.0, full)))

    def told(self, now: float) -> float:
        """What the counter's last word leaves of the store for all doors, at least nothing."""
        return max(0.0, min(self.room(), self.filled(now))) if self.window >= 0 else 0.0

    def told_here(self, now: float, silent: float) -> float:
        """This door's share of it; nothing while the counter is silent."""
        return 0.0 if silent else self.told(now) / (1 if self.shared else self.doors)

    def reach(self, at: float, blind: float = 0.0) -> float:
        """The most units that a shared store can have for this door until then, by the counter's word; while
        that is silent (`blind`: now) this door's share of the rate is all that comes."""
        share = self.plan.rate_per_s * (at - blind) / 1000 / self.doors
        return self.balance + self.block + (share if blind else min(self.plan.burst, self.filled(at)))

    def give_back(self) -> None:
        """What is on hand goes back to the store, with the next call."""
        hand, self.balance, self.block = self.balance + self.block, 0.0, 0.0
        self.unreported, self.store = self.unreported - hand, self.store + hand

    def free(self) -> None:
        """The counter is silent: its word is not to be waited for."""
        for request in self.queue:
            request.barred = False
        self.reading, self.over = False, 0.0

    def unqueue(self, request: Request) -> None:
        """A request waits no longer."""
        if request in self.queue:
            self.queue.remove(request)
            self.queued = sum(r.units for r in self.queue if not r.sends)

    def busy(self) -> bool:
        """Whether something of it is under way, so that it can't be let go."""
        return bool(self.queue or self.out or self.calling)

    def record(self, now: float, silent: bool = False) -> TenantRecord:
        """What is to be kept of it.  Its store is full again once the rate has covered what is missing,
        by the counter's last word and by what this door has on hand; while the counter is `silent` only that
        tells, as what was credited since is in no word of it."""
        rate, room = self.plan.rate_per_s, self.room()
        told = min(room, self.filled(now)) - max(0.0, self.unreported)
        hand = (self.balance + self.block) * self.doors
        missing = room - (told if self.shared and not silent else min(told, hand))
        full_at = now + 1000 * max(0.0, missing) / rate if rate else now
        if self.plan.ceiling_rate_per_s:
            below = self.plan.ceiling_burst - self.ceiling * self.doors
            full_at = max(full_at, now + 1000 * max(0.0, below) / self.plan.ceiling_rate_per_s)
        balance = self.balance + self.block
        return TenantRecord(balance, self.unreported, told, self.total, self.window, now, full_at)

    def room(self) -> float:
        """What of the burst is lent out; the rest covers the overdrafts of all doors.  There are none where
        each request waits for the counter's word."""
        if self.shared:
            return self.plan.burst
        return self.plan.burst - min(MARGIN * (self.doors + 1) * self.estimate, MARGIN_MOST * self.plan.burst)

    def recall(self, record: TenantRecord | None) -> None:
        """Go on where the record ends, if there is one."""
        if record is None:
            return
        # Guards the quota: a record may be another limiter's copy, and no store holds more than its burst.
        held, self.unreported, self.store = record.balance, record.unreported_units, record.shared_balance
        self.balance = min(held, self.plan.burst) if self.plan.rate_per_s else held
        self.total, self.window = record.counter_total, record.counter_window
        self.store_at = record.evicted_at
        self.credited = self.ceiling_at = record.evicted_at
        self.ceiling = 0.0
        self.out, self.lent = record.in_flight, [record.in_flight_until] * record.in_flight


@dataclass(slots=True, eq=False)
class Server:
    """A server as this gateway sees it."""

    info: Endpoint
    latency: float
    limit: float  # most load out
    marked: float  # when latency and failing were last judged
    serving: bool = True
    warm: float = 1.0  # share of its capacity that it has at least
    failing: float = 0.0
    load: float = 0.0  # estimated outstanding load, in mean requests
    cut: float = 0.0  # when the limit was last cut
    heard: float = 0.0  # answers that still count
    goods: int = 0  # good answers since the last that was none
    misses: int = 0  # connects that failed in a row
    down: float = 0.0  # left out until then
    ready: int = 0  # connections to it that are open and free
    used: float = 0.0  # when the newest of them was


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that is out."""

    request: Request
    server: Server
    load: float
    sent: float


@dataclass(eq=False)
class Memory:
    """All that a gateway remembers, as it is at the start."""

    began: float = -1.0
    now: float = 0.0
    servers: dict[str, Server] = field(default_factory=dict)
    serving: list[Server] = field(default_factory=list)  # the warm ones
    cold: list[Server] = field(default_factory=list)  # those that serve too, but are cold
    # What is drawn from, first to last, the last being all warm servers; with the running sum of their sizes.
    pools: list[tuple[list[Server], list[float]]] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)  # size times warm share of the cold ones, running sum
    size: float = 1.0  # mean of all that serve
    work: float = 0.0  # units that warm servers did for this gateway lately
    filled: float = 0.0  # their size times the time that this took
    measured: float = 0.0  # when both were last reckoned
    allowed: float = 0.0  # units that may go to cold servers
    allowed_at: float = 0.0
    customers: dict[str, Customer] = field(default_factory=dict)
    active: dict[str, Customer] = field(default_factory=dict)  # those with something to do at a turn
    requests: dict[int, Request] = field(default_factory=dict)
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    calls: dict[int, Customer] = field(default_factory=dict)  # counter calls in flight
    # Of customers that were let go.
    records: TenantRecords = field(default_factory=lambda: TenantRecords(b""))
    unvisited: list[Customer] = field(default_factory=list)  # in this round of house-keeping
    keys: Keys = field(default_factory=Keys)  # counted for the other doors
    ages: RetryAge = field(default_factory=RetryAge)  # of requests that clients retry
    crowd: CounterContention = field(default_factory=lambda: CounterContention(0.0))  # sampling rate
    flight: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)  # how many attempts may be out
    spare: float = 0.0  # units of quiet customers
    blocked: bool = False  # no server has room
    gap: float = 0.0  # mean ms between answers
    judged: float = 0.0  # when the last one came
    full_at: float = -inf  # when a server last turned a request away
    wake: float = inf  # when a customer has to be looked at next
    turn_at: float = inf  # when the timer is due
    housed: bool = False  # whether house-keeping is due
    actions: list[Action] = field(default_factory=list)

    @property
    def backoff(self) -> float:
        """How long the counter is left alone, as it is silent; 0: it is not."""
        return self.crowd.pause_ms

    @property
    def ask(self) -> float:
        """The part of the tries that the counter is asked for."""
        return self.crowd.sampling_rate

    @ask.setter
    def ask(self, part: float) -> None:
        self.crowd.sampling_rate = part

    def knows(self, customer: str) -> bool:
        """Whether a customer was seen lately."""
        return customer in self.customers or self.records.has_record(customer)
