"""What goes into and comes out of a gateway: settings, events and actions.  Types only.

One `Gateway(settings, seed)` decides for one front door.  The host calls `handle(now_ms, event)` for each
event, in the order of arrival, and carries out the returned actions in order.  Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # any number of runs does no harm
    KEYED = "keyed"  # servers of one group drop repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What the server list says of a server."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # may have run
    FULL = "full"  # turned away unseen: never ran
    TIMEOUT = "timeout"  # may have run, or may be running
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # never sent


JUDGED = (Outcome.OK, Outcome.FULL, Outcome.TIMEOUT)  # outcomes that tell of load
# Of the time after which a server closes an idle connection: ours rest no longer.  The decisions count the
# connections that the pool keeps, so both go by it.
REST = 0.5
# Of the least aim: how long an answer of the counter is waited for.  A word that comes late is a word.
COUNT_WAIT = 0.15


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    aim_ms: float  # an answer inside this time has its full worth
    deadline_ms: float
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0  # how long a group remembers a keyed request
    worth: float = 1.0
    late_value: float = 0.0  # the part of the worth left after the aim

    @property
    def repeatable(self) -> bool:
        """Whether a repeat does no harm, wherever it goes."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.group is Group.ALL)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer of a plan may use, over all gateways together; 0 stands for no such limit."""

    rate: float = 0.0  # units a second
    burst: float = 0.0  # units
    at_once: int = 0  # attempts out
    ceiling_rate: float = 0.0  # units a second, never to be passed
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units
    price: float = 1.0
    over_worth: float = 0.0  # the part of the worth earned beyond the quota
    over_cost: float = 0.0  # the part of the worth paid for sending beyond the quota


@dataclass(frozen=True, slots=True)
class Objective:
    """How the operators weigh the parts of a site's result: the share of the worth asked inside the quotas
    that is answered in time, over all requests and of the class that fares worst."""

    whole: float = 1.0
    worst_class: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    index: int
    gateways: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    attempt_limit: int
    cold_from: float  # a started server has this part of its capacity, or more
    cold_ms: float  # and is warm after this long
    fall_multiple: float  # sent more than so many times what it can do by then,
    fall_ms: float  # within this time, it falls over
    most_units: float  # of one request
    units_settled: bool = False  # units are a guess; the first good answer tells the true ones
    counter: bool = False
    counter_timeout_ms: float = 0.0
    cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    subscribe: bool = False  # the server list has to be asked for
    handshake: float = 0.0  # price of a new connection, in requests of mean worth
    idle_ms: float = 0.0  # a server closes a connection after so long
    must_ask_ms: float = 10_000.0  # then: who has not asked for so long counts as told
    objective: Objective = Objective()

    @property
    def counter_wait_ms(self) -> float:
        """How long an answer of the counter is waited for; one that takes longer than `counter_timeout_ms`
        tells of a crowd."""
        return max(self.counter_timeout_ms, COUNT_WAIT * min(kind.aim_ms for kind in self.classes))

    def precedences(self) -> tuple[float, ...]:
        """The precedence of each class where credit or servers are short: its worth, or 1 for all.

        A unit spent on the class of most worth instead of that of least gains `whole` times their difference
        in mean worths.  It costs `worst_class` times the number of classes while the class of least worth
        fares worst, with the classes taken to be asked for equally, as the settings do not tell."""
        worths = tuple(kind.worth for kind in self.classes)
        mean = max(sum(worths) / len(worths), 1e-9)
        gain = self.objective.whole * (max(worths) - min(worths)) / mean
        loss = self.objective.worst_class * len(worths)
        return worths if gain >= loss else (1.0,) * len(worths)

    def __post_init__(self) -> None:
        """Guards the decisions' arithmetic, whoever made the settings."""
        if not self.classes or not self.plans or self.gateways < 1 or self.attempt_limit < 1:
            raise ValueError("settings need a class, a plan, a gateway and an attempt")
        for name in ("cold_from", "cold_ms", "fall_multiple", "fall_ms"):
            if not 0 < getattr(self, name) < inf:
                raise ValueError(f"{name} must be above 0")


@dataclass(frozen=True, slots=True)
class ServerInfo:
    """An entry of the server list."""

    server: str
    state: State
    zone: int = 0
    cell: int = 0
    size: float = 1.0  # compares servers; no unit
    started_ms: float = 0.0  # 0: long ago


# Events


@dataclass(frozen=True, slots=True)
class Started:
    """The gateway begins."""


@dataclass(frozen=True, slots=True)
class ServersListed:
    """The server list: all of it, or the entries that changed."""

    servers: tuple[ServerInfo, ...]
    full: bool


@dataclass(frozen=True, slots=True)
class ListLost:
    """A call for the server list failed, or the subscription ended."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; one final answer is owed."""

    request: int
    customer: str
    plan: int
    request_class: int
    expires_in_ms: float
    units: float  # a guess where the true cost follows
    doors: int  # how many gateways this customer comes through
    first_door: int = 0
    retry: bool = False
    door: int = 0  # which of the gateway's own doors it came through
    key: str = ""  # by which its tries are known at the other doors; empty: not to be remembered
    admission: bool = False  # only asked for: whoever asks does the sending
    held_ms: float = 0.0  # how long it has waited at the door before
    ran_on: ServerInfo | None = None  # where a try with its key may have run, at another limiter,
    ran_at: float = 0.0  # sent then


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed answer has begun; the attempt is the client's now."""

    request: int
    attempt: int
    server: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_ms: float
    final: bool  # the request is finished
    true_units: float = 0.0  # 0: not told
    report: Mapping[str, float] = field(default_factory=dict)
    used_percent: float | None = None  # customer's use of its quota in the last metered period, all limiters


@dataclass(frozen=True, slots=True)
class RequestGone:
    """The client left; no answer is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer came due."""

    tag: int


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The answer to one `AddToCounter`."""

    name: int
    outcome: Outcome
    total: float
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What a probe found."""

    server: str
    outcome: Outcome
    elapsed_ms: float
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another gateway sent a message."""

    sender: int
    content: bytes


Event = (
    Started
    | ServersListed
    | ListLost
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | RequestGone
    | TimerFired
    | CounterReplied
    | ProbeEnded
    | PeerMessage
)

# Actions


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a server; its attempts count from 0."""

    request: int
    server: str
    timeout_ms: float = 0.0  # 0: until the client gives up
    begin_ms: float = inf  # its first byte is written before that, or never


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; a further try is harmless."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Admit:
    """Final answer to an admission: it may go, and its units are taken."""

    request: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; nothing is promised."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Wait no longer for an attempt; its outcome still follows."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a named number that all gateways share, and learn the total."""

    name: int
    amount: float
    keep_ms: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired`."""

    tag: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Ask a server for its report."""

    server: str


@dataclass(frozen=True, slots=True)
class SubscribeServers:
    """Ask for the server list and its changes."""


Action = (
    SendAttempt
    | Admit
    | Refuse
    | Fail
    | CancelAttempt
    | AddToCounter
    | SetTimer
    | ProbeServer
    | SubscribeServers
)
