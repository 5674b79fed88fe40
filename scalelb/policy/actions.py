"""Actions: what a limiter wants done.  Types only; times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Forward the request to an endpoint; its attempts are numbered from 0."""

    request_id: int
    attempt_number: int
    endpoint: str
    timeout_ms: float = 0.0  # 0: until the client's deadline
    must_begin_within_ms: float = inf  # its first byte is written within this time, or never


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected; a retry by the client is harmless."""

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Final answer to an admission request: it may be forwarded, and its units are charged."""

    request_id: int


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed; it may have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its outcome still follows."""

    request_id: int
    attempt_number: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a named number that all limiters share, and learn the total."""

    counter_key: int
    amount: float
    retention_ms: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired`."""

    tag: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask an endpoint for its load report."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask for the endpoint list and its changes."""


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
