"""Limits of the core that are not part of the platform's settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoreLimits:
    """Bounds on open requests and deadlines."""

    max_open_requests: int = 4096
    answer_margin_ms: float = 12.0  # answers are due this long before the client gives up, to arrive in time
    client_transit_ms: float = 1.0  # assumed time that a request took from the client to here
    max_deadline_multiple: float = 2.0  # longest deadline of a request, as a multiple of that of its class


DEFAULT_LIMITS = CoreLimits()
