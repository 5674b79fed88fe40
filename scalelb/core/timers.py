"""The core's timers: a heap ordered by due time.

Obsolete entries stay in the heap until they reach its top or are too many.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import inf
from typing import Final, Literal

from scalelb.core.request_table import RequestTable

BASE_HEAP_SIZE = 256  # entries expected with no request open
TIMERS_PER_REQUEST = 3  # entries expected for each open request; the heap is swept at twice the expected size


# The kinds of timers.  Plain constants: reading a member of an `Enum` takes ten times as long in Python 3.11,
# and each request reads several.
POLICY: Final = "policy"  # set by the decision module; the subject is its tag
REQUEST_DEADLINE: Final = "request deadline"  # the request must be answered
TABLE_FULL: Final = "table full"  # the request exceeds the limit on open requests and must be rejected
SHUTDOWN: Final = "ending"  # the request arrived too late to be answered before the process ends: reject it
ATTEMPT_TIMEOUT: Final = "attempt timeout"  # the attempt must be abandoned
QUEUE_CHECK: Final = "queue check"  # the admission queue must be checked
TimerKind = Literal["policy", "request deadline", "table full", "ending", "attempt timeout", "queue check"]

# Due time (ms), sequence number, kind, request id or tag of the decision module, attempt number.  A plain
# tuple, as the heap compares timers and each request creates several.
Timer = tuple[float, int, TimerKind, int, int]


class TimerHeap:
    """Timers ordered by due time; those due at the same time in the order in which they were added."""

    def __init__(self, open_requests: RequestTable) -> None:
        self.open_requests = open_requests
        self.entries: list[Timer] = []
        self.last_sequence = 0

    def add(self, due_at: float, kind: TimerKind, subject_id: int = 0, attempt_number: int = -1) -> None:
        """Add a timer that is due at this time (ms)."""
        self.last_sequence += 1
        heappush(self.entries, (due_at, self.last_sequence, kind, subject_id, attempt_number))

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the next timer that is due; None if there is none."""
        if self.entries and self.entries[0][0] <= now:
            return heappop(self.entries)
        return None

    def next_due_at(self) -> float:
        """Return when the next timer is due that is not obsolete; inf if there is none."""
        # Most requests end before their timers are due; waking up for those timers would waste CPU time.
        while self.entries and self._is_obsolete(self.entries[0]):
            heappop(self.entries)
        expected_size = TIMERS_PER_REQUEST * len(self.open_requests) + BASE_HEAP_SIZE
        if len(self.entries) > 2 * expected_size:
            self._sweep()
        return self.entries[0][0] if self.entries else inf

    def _sweep(self) -> None:
        """Remove all obsolete timers; those of answered requests would take up memory until they are due."""
        self.entries = [timer for timer in self.entries if not self._is_obsolete(timer)]
        heapify(self.entries)

    def _is_obsolete(self, timer: Timer) -> bool:
        _, _, kind, subject_id, attempt_number = timer
        if kind in (POLICY, QUEUE_CHECK):
            return False
        request = self.open_requests.get(subject_id)
        if request is None:
            return True
        if kind != ATTEMPT_TIMEOUT:
            return False
        return not (request.in_flight and request.attempt_number == attempt_number)
