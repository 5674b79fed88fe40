"""Estimates how long ago a client first sent a request that it now retries.

A client waits for a class's deadline in all, over every attempt that it makes, and for a part of it (its
timeout) on each. A first attempt therefore arrives with this timeout left, a retry with the lesser of the
timeout and what the earlier attempts have left of the deadline. Where less than the timeout is left, the
difference to the deadline is the time since the first attempt. Where the whole timeout is left, that time
lies between nothing and the part of the deadline that the timeout leaves; its middle is taken.
"""

from __future__ import annotations

from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import RequestClass

TOLERANCE_MS = 5.0  # by which first attempts differ in time left, for their way to the limiter
UNKNOWN_AGE_RATIO = 0.5  # of the greatest age that a retry with its whole timeout left may have


class RetryAgeEstimator:
    """Learns the timeout of each class's clients from their first attempts."""

    def __init__(self) -> None:
        self._timeout_ms: dict[int, float] = {}  # by class index

    def age_ms(self, arrived: RequestArrived, request_class: RequestClass) -> float:
        """Return the expected time (ms) since the client's first attempt.

        It is 0 for a first attempt, before any attempt of the class was seen, and where a late answer keeps a
        part of its value, so that the age decides nothing.
        """
        left_ms = arrived.expires_in_ms + arrived.queued_ms
        timeout_ms = self._timeout_ms.get(arrived.class_index, 0.0)
        if not arrived.is_retry:
            self._timeout_ms[arrived.class_index] = max(timeout_ms, min(left_ms, request_class.deadline_ms))
            return 0.0
        if request_class.late_value_ratio > 0 or not timeout_ms:
            return 0.0
        if left_ms >= timeout_ms - TOLERANCE_MS:
            return UNKNOWN_AGE_RATIO * (request_class.deadline_ms - timeout_ms)
        return max(0.0, request_class.deadline_ms - left_ms)
