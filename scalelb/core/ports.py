"""Interfaces that the core requires: the upstream side, and the links to other limiters."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from scalelb.core.request_table import OpenRequest
from scalelb.policy.endpoints import Endpoint
from scalelb.policy.request import Request

NO_LOAD_REPORT: Mapping[str, float] = {}


class Ports(Protocol):
    """The upstream side of the core: carries out its actions and reports their results back to it."""

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt; call `Core.attempt_ended` when it ends, unless `abandon_attempt` was called."""

    def abandon_attempt(self, request: OpenRequest) -> None:
        """Abandon the attempt in flight."""

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the counter; call `Core.counter_replied` when that ends."""

    def check_health(self, endpoint: str) -> None:
        """Start a health check; call `Core.health_check_ended` when it ends."""

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """Process the endpoint list (`is_complete`), or only the entries that changed."""

    def wake_at(self, due_at: float) -> None:
        """Call `Core.turn` at this time (ms); if it has passed, after the events that are already waiting."""


class Replicas(Protocol):
    """Records of attempts that limiters share over their links (`program/peering.py`)."""

    def find_execution(self, tenant: str, key: str) -> tuple[Endpoint, float] | None:
        """Return where an attempt with this idempotency key may have been executed through another limiter,
        and when it was sent (ms); None if there is none."""

    def record_attempt(self, request: Request) -> None:
        """Record an attempt of a request with an idempotency key that is about to be sent."""
