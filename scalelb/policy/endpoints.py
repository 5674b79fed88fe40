"""Entries of the endpoint list from service discovery.  An endpoint is a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list."""

    SERVING = "serving"
    DRAINING = "draining"  # completes its requests in flight; accepts no new ones
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    name: str
    state: EndpointState
    zone: int = 0
    cell: int = 0
    relative_capacity: float = 1.0  # relative to other endpoints, without a unit
    started_at: float = 0.0  # ms; 0: long ago, no slow start
