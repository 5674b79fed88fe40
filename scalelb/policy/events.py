"""Events: the input of a limiter.  Types only; times in milliseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from scalelb.policy.endpoints import Endpoint


class Outcome(Enum):
    """How an attempt, a health check or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # may have been executed
    REJECTED = "full"  # shed by the endpoint: never executed
    TIMEOUT = "timeout"  # may have been executed, or may still be executed
    CONNECT_FAILED = "connect failed"  # never executed
    RESET = "reset"  # may have been executed
    CANCELLED = "cancelled"  # may have been executed
    NOT_SENT = "moot"  # never executed


LOAD_SIGNALS = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)  # outcomes that depend on an endpoint's load
NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
NEVER_REACHED_ENDPOINT = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Started:
    """The limiter has started."""


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The complete endpoint list, or the entries that changed."""

    endpoints: tuple[Endpoint, ...]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class EndpointListLost:
    """A call to discovery failed or the watch ended."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request arrived; it must get exactly one final answer."""

    request_id: int
    tenant: str
    plan_index: int
    class_index: int
    expires_in_ms: float
    units: float  # an estimate if `Settings.settles_true_units` is set
    sharing_limiters: int  # number of limiters that receive the tenant's requests
    first_limiter: int = 0  # index of the first of the sharing limiters
    is_retry: bool = False  # whether it is a retry by the client
    listener: int = 0  # number of the front end of this limiter that received it
    idempotency_key: str = ""  # identifies its attempts across front ends; empty: no key
    admission_only: bool = False  # the caller forwards the request itself
    queued_ms: float = 0.0  # time spent in the admission queue
    executed_on: Endpoint | None = None  # may have executed an attempt with this key from another limiter
    executed_at: float = 0.0  # when the other limiter sent that attempt


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has started; its bytes are forwarded to the client."""

    request_id: int
    attempt_number: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended."""

    request_id: int
    attempt_number: int
    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    request_finished: bool
    true_units: float = 0.0  # 0: not reported
    load_report: Mapping[str, float] = field(default_factory=dict)
    quota_used_percent: float | None = None  # of the tenant in the last metering period, over all limiters


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client closed its connection; no answer is needed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer fired."""

    tag: int


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The outcome of one `AddToCounter`."""

    counter_key: int
    outcome: Outcome
    total: float
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

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
