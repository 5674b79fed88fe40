"""Replicates between limiters where attempts with an idempotency key may have run.

    k:TENANT KEY  [zone, cell, sent_at, ends_at]

An entry represents an attempt of a class whose duplicates are dropped only within one zone or cell. A limiter
that receives a request with this key forwards it to that zone or cell, or not at all. Of two limiters'
entries for one key the older one applies. A forged entry can only fail requests whose key the forger knows.

Times are Unix milliseconds, and the machines' clocks are synchronized; entries with times far from now are
ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any, NamedTuple

from scalelb.core.lifecycle import Core
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.request import Request
from scalelb.policy.settings import DeduplicationScope, Idempotency
from scalelb.replication import Incarnation

IDEMPOTENCY_PREFIX = "k:"
MAX_OWN_KEYS = 8192
MAX_PEER_KEYS = 65_536
MAX_CLOCK_DISTANCE_MS = 60_000.0  # A peer's times may differ from now by this much.
EXPIRY_CHECKS_PER_TICK = 256  # Own keys, and as many of the peers', that each tick checks.

Write = Callable[[str, Any], None]


class PeerAttempt(NamedTuple):
    """An attempt that was forwarded by a peer or by an earlier incarnation of this limiter."""

    sent_at: float
    ends_at: float  # end of its idempotency window
    incarnation: Incarnation  # the sender's
    endpoint: Endpoint  # holds only the zone and the cell


class IdempotencyRecords:
    """Idempotency keys whose attempts may have run, through this limiter or through others."""

    def __init__(
        self, core: Core, clock: Callable[[], float], write: Write, flush: Callable[[], None]
    ) -> None:
        """`write` takes the key and the value of an entry of this limiter; `flush` sends writes at once."""
        self.core = core
        self.clock = clock
        self.write = write
        self.flush = flush
        self.own_ends_at: dict[str, float] = {}  # end of the window of each own key, oldest key first
        self.peer_attempts: dict[str, PeerAttempt] = {}
        core.replicas = self

    def find_execution(self, tenant: str, key: str) -> tuple[Endpoint, float] | None:
        """Return where an attempt with this key may have run through another limiter, or through an earlier
        incarnation of this one, and when it was sent; None if there is none."""
        attempt = self.peer_attempts.get(_record_key(tenant, key))
        if attempt is None or self.clock() >= attempt.ends_at:
            return None
        return attempt.endpoint, attempt.sent_at

    def record_attempt(self, request: Request) -> None:
        """Publish an attempt before it is forwarded, unless its duplicates are dropped everywhere."""
        request_class = request.request_class
        now = self.clock()
        if not request.idempotency_key or request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return
        if request_class.deduplication_scope is DeduplicationScope.ALL:
            return
        endpoint = self.core.limiter.attempts[request.request_id, request.attempts_sent - 1].endpoint.endpoint
        record_key = _record_key(request.tenant.name, request.idempotency_key)
        ends_at = now + request_class.idempotency_window_ms
        self.own_ends_at.pop(record_key, None)
        if len(self.own_ends_at) >= MAX_OWN_KEYS:  # Bounds the memory: the oldest is evicted.
            self._withdraw(next(iter(self.own_ends_at)))
        self.own_ends_at[record_key] = ends_at
        value = [endpoint.zone, endpoint.cell, round(now), round(ends_at)]
        self.write(IDEMPOTENCY_PREFIX + record_key, value)
        self.flush()

    def _withdraw(self, record_key: str) -> None:
        del self.own_ends_at[record_key]
        self.write(IDEMPOTENCY_PREFIX + record_key, None)

    def tick(self, now: float) -> None:
        """Drop keys whose windows have ended, a bounded number per tick."""
        own = list(self.own_ends_at.items())[:EXPIRY_CHECKS_PER_TICK]
        for record_key in [key for key, ends_at in own if ends_at <= now]:
            self._withdraw(record_key)
        peers = list(self.peer_attempts.items())[:EXPIRY_CHECKS_PER_TICK]
        for record_key in [key for key, attempt in peers if attempt.ends_at <= now]:
            del self.peer_attempts[record_key]

    def on_entry(self, incarnation: Incarnation, record_key: str, value: Any) -> None:
        """Apply an entry that was received or deleted (None)."""
        known = self.peer_attempts.get(record_key)
        if value is None:
            if known is not None and known.incarnation == incarnation:
                del self.peer_attempts[record_key]
            return
        now = self.clock()
        attempt = _decode_attempt(incarnation, value, now)
        if attempt is None or attempt.ends_at <= now:
            return
        if known is not None and known.incarnation != incarnation and known.sent_at <= attempt.sent_at:
            return
        if len(self.peer_attempts) >= MAX_PEER_KEYS and known is None:
            return
        self.peer_attempts[record_key] = attempt


def _record_key(tenant: str, key: str) -> str:
    return f"{tenant} {key}"


def _decode_attempt(incarnation: Incarnation, value: Any, now: float) -> PeerAttempt | None:
    """Decode an entry's value; None if it is invalid, or its times are too far from now."""
    match value:
        case [int(zone), int(cell), int() | float() as sent_at, int() | float() as ends_at]:
            if any(isinstance(item, bool) for item in value):
                return None
        case _:
            return None
    if not isfinite(sent_at) or not isfinite(ends_at):
        return None
    if not now - MAX_CLOCK_DISTANCE_MS < sent_at <= ends_at < now + MAX_CLOCK_DISTANCE_MS:
        return None
    endpoint = Endpoint("", EndpointState.REMOVED, zone=zone, cell=cell)
    return PeerAttempt(float(sent_at), float(ends_at), incarnation, endpoint)
