"""The core's timers: a heap by due time.  Obsolete entries stay in it until they come up or are too many."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import inf
from typing import Final, Literal

from scalelb.core.request_table import RequestTable

MIN_KEPT_TIMERS = 256  # entries that are kept however few requests are open
TIMERS_PER_REQUEST = 3  # entries that an open request may have before the heap is swept


# What a timer is for.  Plain constants: reading a member of an `Enum` costs ten times as much in Python 3.11,
# and each request reads several.
POLICY: Final = "policy"  # the decisions asked for it; the subject is their tag
REQUEST_DEADLINE: Final = "request deadline"  # the request has to be answered
TABLE_FULL: Final = "table full"  # the request came over the limit of open ones and has to be rejected
ENDING: Final = "ending"  # the request came when no answer could reach its client any more
ATTEMPT_TIMEOUT: Final = "attempt timeout"  # the attempt has to be abandoned
QUEUE_CHECK: Final = "queue check"  # the admission queue has to be looked at
TimerKind = Literal["policy", "request deadline", "table full", "ending", "attempt timeout", "queue check"]

# When (ms), order of insertion, kind, request id or tag of the decisions, attempt number.  A plain tuple, as
# the heap compares and each request makes several.
Timer = tuple[float, int, TimerKind, int, int]


class TimerHeap:
    """Timers in the order of their due times; those due at the same time in the order they were added."""

    def __init__(self, open_requests: RequestTable) -> None:
        self.open_requests = open_requests
        self.entries: list[Timer] = []
        self.last_sequence = 0

    def add(self, due_at: float, kind: TimerKind, subject_id: int = 0, attempt_number: int = -1) -> None:
        """Add a timer that comes due at this time (ms)."""
        self.last_sequence += 1
        heappush(self.entries, (due_at, self.last_sequence, kind, subject_id, attempt_number))

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the next timer that is due; none if there is none."""
        if self.entries and self.entries[0][0] <= now:
            return heappop(self.entries)
        return None

    def next_due_at(self) -> float:
        """When the next timer comes due that is not obsolete; inf if there is none."""
        # Most requests end before their timers; waking up for those would cost processor time for nothing.
        while self.entries and self._is_obsolete(self.entries[0]):
            heappop(self.entries)
        max_live = TIMERS_PER_REQUEST * len(self.open_requests) + MIN_KEPT_TIMERS
        if len(self.entries) > 2 * max_live:
            self._sweep()
        return self.entries[0][0] if self.entries else inf

    def _sweep(self) -> None:
        """Without it, timers of requests long answered would fill the memory until their due times."""
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
