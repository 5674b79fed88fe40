"""What limiters tell each other of single tries: where a key may have run.

    k:CUSTOMER KEY   [zone, cell, sent, until]   a try of a class whose repeats only a zone or a cell drops.
                     Read by every limiter that the key comes to: it goes there, or nowhere.  Of two owners'
                     words the older stands.  Wrong: a request whose key the liar knows fails; no other can.

Times are Unix milliseconds of the one clock that all machines read; what lies far from the own is left out.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any

from scalelb.core.lifecycle import Core
from scalelb.peers import Life
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.request import Request
from scalelb.policy.settings import DeduplicationScope, Idempotency

KEYED = "k:"
OWN_MOST, HEARD_MOST = 8192, 65_536  # keys told; keys known of others
FAR_MS = 60_000.0  # from now, that a time of a peer may lie
ENDED = 256  # looked at in one tick

Write = Callable[[str, Any], None]


class IdempotencyRecords:
    """Keys that may have run, own and others'."""

    def __init__(
        self, core: Core, clock: Callable[[], float], write: Write, flush: Callable[[], None]
    ) -> None:
        """`write` takes the chain's key and value; `flush` sends what was written at once."""
        self.core, self.clock, self.write, self.flush = core, clock, write, flush
        self.own: dict[str, float] = {}  # until when; oldest first
        self.heard: dict[str, tuple[float, float, Life, Endpoint]] = {}  # sent, until, by whom, where
        core.replicas = self

    def ran(self, customer: str, key: str) -> tuple[Endpoint, float] | None:
        """Where a try with this key may have run through another limiter, or another life of this one."""
        sent, until, _, info = self.heard.get(f"{customer} {key}", (0.0, 0.0, None, None))
        return (info, sent) if info is not None and self.clock() < until else None

    def sends(self, request: Request) -> None:
        """Tell it before it is sent."""
        kind, now = request.request_class, self.clock()
        if (
            not request.idempotency_key
            or kind.idempotency is not Idempotency.IDEMPOTENCY_KEY
            or kind.deduplication_scope is DeduplicationScope.ALL
        ):
            return
        server = self.core.limiter.attempts[request.request_id, request.attempts_sent - 1].endpoint.endpoint
        name = f"{request.tenant.name} {request.idempotency_key}"
        self.own.pop(name, None)
        if len(self.own) >= OWN_MOST:  # guards the memory: the oldest goes
            self._end(next(iter(self.own)))
        self.own[name] = now + kind.idempotency_window_ms
        self.write(
            KEYED + name, [server.zone, server.cell, round(now), round(now + kind.idempotency_window_ms)]
        )
        self.flush()

    def _end(self, name: str) -> None:
        del self.own[name]
        self.write(KEYED + name, None)

    def tick(self, now: float) -> None:
        """What is over ends."""
        for name in [n for n, until in list(self.own.items())[:ENDED] if until <= now]:
            self._end(name)
        for name in [n for n, told in list(self.heard.items())[:ENDED] if told[1] <= now]:
            del self.heard[name]

    def entered(self, life: Life, name: str, value: Any) -> None:
        """A peer's entry, or its end."""
        known = self.heard.get(name)
        if value is None:
            if known is not None and known[2] == life:
                del self.heard[name]
            return
        now = self.clock()
        match value:
            case [int(zone), int(cell), int() | float() as sent, int() | float() as until] if not any(
                isinstance(v, bool) for v in value
            ):
                sane = isfinite(sent) and isfinite(until) and now - FAR_MS < sent <= until < now + FAR_MS
                if not sane or until <= now or (known is not None and known[0] <= sent and known[2] != life):
                    return
                if len(self.heard) >= HEARD_MOST and name not in self.heard:
                    return
                info = Endpoint("", EndpointState.REMOVED, zone=zone, cell=cell)
                self.heard[name] = float(sent), float(until), life, info
