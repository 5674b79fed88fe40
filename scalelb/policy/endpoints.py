"""What the endpoint list of service discovery says of an endpoint (a backend server)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list."""

    SERVING = "serving"
    DRAINING = "draining"  # finishes what it has; takes nothing new
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    name: str
    state: EndpointState
    zone: int = 0
    cell: int = 0
    relative_capacity: float = 1.0  # compares endpoints; no unit
    started_at: float = 0.0  # ms; 0: long ago
