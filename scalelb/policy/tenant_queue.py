"""The queue of one tenant's requests at one limiter, in sending order."""

from __future__ import annotations

from scalelb.policy.request import Request


class TenantQueue:
    """Orders retries first, then by rank, then by arrival.  It is short, and usually empty."""

    __slots__ = ("requests", "units")

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.units = 0.0  # of queued first attempts; retries have already been charged

    def insert(self, request: Request) -> None:
        """Insert a request at its position in the sending order."""
        if request.attempts_sent:
            self.requests.insert(0, request)
            return
        ahead = sum(other.attempts_sent > 0 or other.rank >= request.rank for other in self.requests)
        self.requests.insert(ahead, request)
        self.units += request.units

    def remove(self, request: Request) -> None:
        """Remove a request, if it is queued."""
        if request in self.requests:
            self.requests.remove(request)
            self.units = sum(other.units for other in self.requests if not other.attempts_sent)

    def is_next(self, request: Request) -> bool:
        """Whether a new request would be first, ahead of all queued ones."""
        return not self.requests or request.rank > self.requests[0].rank
