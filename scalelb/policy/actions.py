"""Actions: the output of a limiter.  Types only; times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Forward a request to an endpoint; the attempts of a request are numbered from 0."""

    request_id: int
    attempt_number: int
    endpoint: str
    timeout_ms: float = 0.0  # 0: until the client's deadline
    must_begin_within_ms: float = inf  # time limit for writing the first byte; later the attempt is not sent


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected; a retry by the client is harmless."""

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Final answer to an admission request: the caller may forward it, and its units are charged."""

    request_id: int


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed; the request may have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its `AttemptEnded` still follows."""

    request_id: int
    attempt_number: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a number on the shared counter; a `CounterReplied` with the total follows."""

    counter_key: int
    amount: float
    retention_ms: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` after a delay."""

    tag: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Request a load report from an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list and its changes."""


Action = (
    SendAttempt
    | AdmitRequest
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | AddToCounter
    | SetTimer
    | CheckHealth
    | WatchEndpoints
)
