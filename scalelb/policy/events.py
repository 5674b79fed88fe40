"""Events: what a limiter is told.  Types only; times in milliseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from scalelb.policy.endpoints import Endpoint


class Outcome(Enum):
    """How an attempt, a health check or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # may have been executed
    REJECTED = "full"  # the endpoint shed it: never executed
    TIMEOUT = "timeout"  # may have been executed, or may still be
    CONNECT_FAILED = "connect failed"  # never executed
    RESET = "reset"  # may have been executed
    CANCELLED = "cancelled"  # may have been executed
    NOT_SENT = "moot"  # never executed


LOAD_SIGNALS = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)  # outcomes that tell of an endpoint's load
NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
NEVER_REACHED_ENDPOINT = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Started:
    """The limiter starts."""


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The endpoint list: all of it, or the entries that changed."""

    endpoints: tuple[Endpoint, ...]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class EndpointListLost:
    """A call to discovery failed, or the watch ended."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; exactly one final answer is owed."""

    request_id: int
    tenant: str
    plan_index: int
    class_index: int
    expires_in_ms: float
    units: float  # an estimate where the settings say that the true cost follows
    sharing_limiters: int  # how many limiters the tenant's requests come through
    first_limiter: int = 0  # index of the first of these
    is_retry: bool = False  # by the client
    listener: int = 0  # which of the limiter's own front ends it came through
    idempotency_key: str = ""  # identifies its attempts at the other front ends; empty: none
    admission_only: bool = False  # whoever asks does the forwarding
    queued_ms: float = 0.0  # how long it has waited in the admission queue
    executed_on: Endpoint | None = None  # where an attempt with its key may have been executed, sent by
    executed_at: float = 0.0  # another limiter at this time


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun; its bytes go to the client."""

    request_id: int
    attempt_number: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended."""

    request_id: int
    attempt_number: int
    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    request_finished: bool
    true_units: float = 0.0  # 0: not told
    load_report: Mapping[str, float] = field(default_factory=dict)
    quota_used_percent: float | None = None  # by the tenant in the last metering period, over all limiters


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client closed its connection; no answer is owed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer came due."""

    tag: int


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The answer to one `AddToCounter`."""

    counter_key: int
    outcome: Outcome
    total: float
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """What a health check found."""

    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    load_report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another limiter sent a message."""

    sender: int
    content: bytes


Event = (
    Started
    | EndpointsListed
    | EndpointListLost
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | RequestCancelled
    | TimerFired
    | CounterReplied
    | HealthCheckEnded
    | PeerMessageReceived
)
