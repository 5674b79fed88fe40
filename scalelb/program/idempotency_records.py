"""What limiters tell each other of attempts with an idempotency key: where a key may have run.

    k:TENANT KEY  [zone, cell, sent_at, ends_at]

It stands for an attempt of a class whose duplicates are dropped by one zone or cell only. Every limiter that
the key comes to reads it: the request goes there, or nowhere. Of two owners' entries the older stands. By a
forged one a request fails whose key the forger knows; no other does.

Times are Unix milliseconds of the one clock that all machines read; what lies far from the own time is
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
MAX_CLOCK_DISTANCE_MS = 60_000.0  # from now, at which a time of a peer may lie
EXPIRY_CHECKS_PER_TICK = 256  # of the own keys, and of the peers'

Write = Callable[[str, Any], None]


class PeerAttempt(NamedTuple):
    """An attempt that a peer, or an earlier incarnation of this limiter, has forwarded."""

    sent_at: float
    ends_at: float  # when its idempotency window ends
    incarnation: Incarnation  # of its sender
    endpoint: Endpoint  # its zone and cell only


class IdempotencyRecords:
    """Keys that may have run, by this limiter and by others."""

    def __init__(
        self, core: Core, clock: Callable[[], float], write: Write, flush: Callable[[], None]
    ) -> None:
        """`write` takes the key and the value of an own entry; `flush` sends what was written at once."""
        self.core = core
        self.clock = clock
        self.write = write
        self.flush = flush
        self.own_ends_at: dict[str, float] = {}  # when the windows of the own keys end; the oldest first
        self.peer_attempts: dict[str, PeerAttempt] = {}
        core.replicas = self

    def find_execution(self, tenant: str, key: str) -> tuple[Endpoint, float] | None:
        """Where an attempt with this key may have run through another limiter or another incarnation of this
        one, and when it was sent; None if none has."""
        attempt = self.peer_attempts.get(_record_key(tenant, key))
        if attempt is None or self.clock() >= attempt.ends_at:
            return None
        return attempt.endpoint, attempt.sent_at

    def record_attempt(self, request: Request) -> None:
        """Publish an attempt before it is forwarded, if its duplicates are not dropped everywhere."""
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
        if len(self.own_ends_at) >= MAX_OWN_KEYS:  # bounds the memory: the oldest goes
            self._withdraw(next(iter(self.own_ends_at)))
        self.own_ends_at[record_key] = ends_at
        value = [endpoint.zone, endpoint.cell, round(now), round(ends_at)]
        self.write(IDEMPOTENCY_PREFIX + record_key, value)
        self.flush()

    def _withdraw(self, record_key: str) -> None:
        del self.own_ends_at[record_key]
        self.write(IDEMPOTENCY_PREFIX + record_key, None)

    def tick(self, now: float) -> None:
        """Drop some of the keys whose windows have ended."""
        own = list(self.own_ends_at.items())[:EXPIRY_CHECKS_PER_TICK]
        for record_key in [key for key, ends_at in own if ends_at <= now]:
            self._withdraw(record_key)
        peers = list(self.peer_attempts.items())[:EXPIRY_CHECKS_PER_TICK]
        for record_key in [key for key, attempt in peers if attempt.ends_at <= now]:
            del self.peer_attempts[record_key]

    def on_entry(self, incarnation: Incarnation, record_key: str, value: Any) -> None:
        """An entry is new here, or was deleted (None)."""
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
    """An entry's value; None where it can't be one, or lies too far from now."""
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
