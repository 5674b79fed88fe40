"""What the admission queue is asked and what it answers: requests, quota balances, decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from scalelb.admission_queue.fair_queue import QueueEntry


class QueueDecision(Enum):
    """What becomes of a request that arrives."""

    FORWARD = "forward"  # to the limiter, now
    QUEUE = "queue"  # it waits here
    REJECT = "reject"  # answer it now


class AdmissionRequest(NamedTuple):
    """One request.  Times are in milliseconds."""

    request_id: int
    tenant: str
    plan_index: int
    units: float
    latest_send_at: float  # sent later than this, its response would be late
    priority_weight: float = 1.0
    is_retry: bool = False  # marked by its client: it may redeem a reservation
    client: str = ""  # whoever holds the connection
    is_known_tenant: bool = True  # whether its tenant was seen lately
    is_already_charged: bool = False  # through another listener: it takes nothing from the quota


class QuotaBalance(NamedTuple):
    """A tenant's quota at this limiter."""

    available_units: float  # units on hand less those of the requests that wait for them
    rate_per_s: float  # units a second


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that is queued here, or was forwarded and is not finished."""

    request: AdmissionRequest
    arrived_at: float
    flow: str
    payload: Any = None  # the caller's own
    entry: QueueEntry[QueuedRequest] | None = None  # while it is queued
    is_sent: bool = False  # whether its first attempt was sent


class AdmissionResult(NamedTuple):
    """What was decided about a request that arrived."""

    decision: QueueDecision
    retry_after_ms: float = 0.0  # of the request that is rejected, this one or the displaced one
    displaced: QueuedRequest | None = None  # a queued one that gives its place to this one: reject it instead
