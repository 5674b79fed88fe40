"""Estimates how long ago a client first sent a request that it now retries.

A client waits for a class's deadline in all, over every attempt that it makes, and for a part of it (its
patience) on each. A first attempt therefore arrives with its patience left, a retry with the lesser of its
patience and what the earlier attempts have left of the deadline. Where less than the patience is left, the
difference to the deadline is the time since the first attempt. Where the whole patience is left, that time
lies between nothing and the part of the deadline that the patience leaves; its middle is taken. All times are
in milliseconds.
"""

from __future__ import annotations

from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import RequestClass

TOLERANCE_MS = 5.0  # time left differs by so much between first attempts, for their way to the limiter
UNKNOWN_AGE = 0.5  # of the longest that a retry with the whole patience left may be old


class RetryAge:
    """Learns the patience of each class's clients from their first attempts."""

    def __init__(self) -> None:
        self._patience: dict[int, float] = {}  # by the class's number

    def of(self, arrived: RequestArrived, kind: RequestClass) -> float:
        """The time expected since the client's first attempt; 0 for a first attempt, before any of its class
        was seen, and where a late answer keeps a part of its worth, so that its age decides nothing."""
        left = arrived.expires_in_ms + arrived.queued_ms
        patience = self._patience.get(arrived.class_index, 0.0)
        if not arrived.is_retry:
            self._patience[arrived.class_index] = max(patience, min(left, kind.deadline_ms))
            return 0.0
        if kind.late_value_ratio > 0 or not patience:
            return 0.0
        if left >= patience - TOLERANCE_MS:
            return UNKNOWN_AGE * (kind.deadline_ms - patience)
        return max(0.0, kind.deadline_ms - left)
