"""HAProxy's agent check: a line from which a load balancer sets the weight of this limiter."""

from __future__ import annotations

from enum import Enum


class Status(Enum):
    """Readiness of a limiter, as shown to load balancers and health checks."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


def agent_check_line(status: Status, weight: float) -> bytes:
    """Return `up 75%` for an admission probability (`weight`) of 0.75, `drain` or `down`."""
    if status is Status.READY:
        return b"up %d%%\n" % max(1, min(100, round(100 * weight)))
    return b"drain\n" if status is Status.DRAINING else b"down #starting\n"
