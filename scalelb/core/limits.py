"""Limits of the core that the platform does not set."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoreLimits:
    """What the core holds at most, and how early it answers."""

    max_open_requests: int = 4096
    answer_margin_ms: float = 12.0  # before the client gives up, so that the answer reaches it in time
    client_transit_ms: float = 1.0  # what a request is taken to have been under way
    max_deadline_multiple: float = 2.0  # of its class's deadline: no client waits longer


DEFAULT_LIMITS = CoreLimits()
