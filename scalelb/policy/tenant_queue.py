"""The queue of one tenant's requests at one limiter, in the order in which they are sent."""

from __future__ import annotations

from scalelb.policy.request import Request


class TenantQueue:
    """Retries first, then by rank, then in the order of arrival.  Short, and most often empty."""

    __slots__ = ("requests", "units")

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.units = 0.0  # of the first attempts among them: retries are charged already

    def insert(self, request: Request) -> None:
        """Add a request in its place."""
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
        """Whether a new request would be the first, ahead of all that are queued."""
        return not self.requests or request.rank > self.requests[0].rank
