"""What the core needs from outside: the back side, and the links to other limiters."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from scalelb.core.request_table import OpenRequest
from scalelb.policy.endpoints import Endpoint
from scalelb.policy.request import Request

NO_LOAD_REPORT: Mapping[str, float] = {}


class Ports(Protocol):
    """The back side: carries out what was decided, and reports to the core what became of it."""

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt; `Core.attempt_ended` must follow, unless `abandon_attempt` comes first."""

    def abandon_attempt(self, request: OpenRequest) -> None:
        """Give up the attempt in flight."""

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the counter; `Core.counter_replied` must follow."""

    def check_health(self, endpoint: str) -> None:
        """Start a health check; `Core.health_check_ended` must follow."""

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """The endpoint list has changed: all of it, or these entries."""

    def wake_at(self, due_at: float) -> None:
        """Call `Core.turn` at this time (ms); if it has passed, once all pending input has been gathered."""


class Replicas(Protocol):
    """What other limiters know, where there are links to them (`program/peering.py`)."""

    def find_execution(self, tenant: str, key: str) -> tuple[Endpoint, float] | None:
        """Where an attempt with this idempotency key may have been executed, and when it was sent (ms)."""

    def record_attempt(self, request: Request) -> None:
        """An attempt of a request with an idempotency key is about to be sent."""
