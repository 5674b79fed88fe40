"""Requests that were forwarded and are not finished, and the number of those in flight."""

from __future__ import annotations

from heapq import heappop, heappush

from scalelb.admission_queue.admission_request import QueuedRequest


class ForwardedRequests:
    """Forwarded requests by id.

    At most about `max_unsent_per_flow` forwarded requests of each flow wait for quota or an endpoint.
    """

    def __init__(self, max_unsent_per_flow: int) -> None:
        self.max_unsent_per_flow = max_unsent_per_flow
        self.by_id: dict[int, QueuedRequest] = {}
        self.unsent_by_flow: dict[str, int] = {}
        self.expected_ends: list[float] = []  # a heap: when requests that callers send themselves should end
        self.in_flight = 0

    def add(self, forwarded: QueuedRequest) -> None:
        """Add a request that is forwarded and not sent yet."""
        self.by_id[forwarded.request.request_id] = forwarded
        self.unsent_by_flow[forwarded.flow] = self.unsent_by_flow.get(forwarded.flow, 0) + 1

    def has_too_many_unsent(self, flow: str) -> bool:
        """Return whether a flow has reached the limit on unsent requests."""
        return self.unsent_by_flow.get(flow, 0) >= self.max_unsent_per_flow

    def remove_unsent(self, flow: str) -> None:
        """Subtract a request of a flow that was sent or finished without being sent."""
        unsent = self.unsent_by_flow.get(flow, 0) - 1
        if unsent > 0:
            self.unsent_by_flow[flow] = unsent
        else:
            self.unsent_by_flow.pop(flow, None)

    def count_in_flight_until(self, ends_at: float) -> None:
        """Count a request as in flight until this time, as its end is not reported."""
        self.in_flight += 1
        heappush(self.expected_ends, ends_at)

    def remove_ended(self, now: float) -> None:
        """Stop counting the requests whose expected end has passed."""
        while self.expected_ends and self.expected_ends[0] <= now:
            heappop(self.expected_ends)
            self.in_flight -= 1
