"""Input and output types of the admission queue: requests, quota balances, decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from scalelb.admission_queue.fair_queue import QueueEntry


class QueueDecision(Enum):
    """The decision about a request that arrives."""

    FORWARD = "forward"  # forward it to the limiter now
    QUEUE = "queue"  # it was queued
    REJECT = "reject"  # answer it with a rejection now


class AdmissionRequest(NamedTuple):
    """One request.  Times are in milliseconds."""

    request_id: int
    tenant: str
    plan_index: int
    units: float
    latest_send_at: float  # its response would be late if it were sent after this time
    priority_weight: float = 1.0
    is_retry: bool = False  # whether its client marked it as a retry, which may redeem a reservation
    client: str = ""  # address of the peer of its connection
    is_known_tenant: bool = True  # whether its tenant was seen recently
    is_already_charged: bool = False  # whether another listener charged it, so that it needs no quota


class QuotaBalance(NamedTuple):
    """A tenant's quota at this limiter."""

    available_units: float  # balance less the units of the requests that wait for quota
    rate_per_s: float  # units per second


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that is queued, or was forwarded and is not finished."""

    request: AdmissionRequest
    arrived_at: float
    flow: str
    payload: Any = None  # opaque to the queue; used by the caller
    entry: QueueEntry[QueuedRequest] | None = None  # its entry in the fair queue while it is queued
    is_sent: bool = False  # whether its first attempt was sent


class AdmissionResult(NamedTuple):
    """The decision about a request that arrived, with its consequences."""

    decision: QueueDecision
    retry_after_ms: float = 0.0  # Retry-After of the rejected request: this one or the displaced one
    displaced: QueuedRequest | None = None  # a queued request that this one displaced; it is to be rejected
