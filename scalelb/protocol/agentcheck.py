"""HAProxy's agent check: one line that says how much a balancer should send here."""

from __future__ import annotations

from enum import Enum


class Status(Enum):
    """Where a limiter is between start and stop."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


def agent_check_line(status: Status, weight: float) -> bytes:
    """`up 75%` with the part of the requests that is let in; `drain`; or `down`."""
    if status is Status.READY:
        return b"up %d%%\n" % max(1, min(100, round(100 * weight)))
    return b"drain\n" if status is Status.DRAINING else b"down #starting\n"
