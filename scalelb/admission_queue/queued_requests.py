"""Queued requests by id and by deadline.  `FairQueue` has the order in which they are served."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import inf

from scalelb.admission_queue.admission_request import QueuedRequest

MAX_STALE_DEADLINES = 64  # the heap is rebuilt when its stale entries exceed the live ones by more than this
WAKEUP_DELAY_MS = 1.0  # delay after a deadline, as a request is not overdue yet at the deadline itself


class QueuedRequests:
    """Requests that are queued.  Deadlines of those that were removed stay in the heap and are skipped."""

    def __init__(self) -> None:
        self.by_id: dict[int, QueuedRequest] = {}
        self.deadlines: list[tuple[float, int]] = []  # a heap: the latest time to send a request, and its id

    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""
        request = queued.request
        self.by_id[request.request_id] = queued
        heappush(self.deadlines, (request.latest_send_at, request.request_id))
        if len(self.deadlines) > 2 * len(self.by_id) + MAX_STALE_DEADLINES:
            self.deadlines = [(q.request.latest_send_at, request_id) for request_id, q in self.by_id.items()]
            heapify(self.deadlines)

    def find_overdue(self, now: float) -> QueuedRequest | None:
        """Return a request that can no longer be sent in time, None if all can.  The caller removes it."""
        while self.deadlines and self.deadlines[0][0] < now:
            _, request_id = heappop(self.deadlines)
            queued = self.by_id.get(request_id)
            if queued is not None and queued.request.latest_send_at < now:
                return queued
        return None

    def next_overdue_at(self) -> float:
        """Return when the next request will be overdue; infinite if none is queued."""
        while self.deadlines and self.deadlines[0][1] not in self.by_id:
            heappop(self.deadlines)
        return self.deadlines[0][0] + WAKEUP_DELAY_MS if self.deadlines else inf
