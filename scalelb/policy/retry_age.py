"""Estimates how long ago a client first sent a request that it now retries.

A client has the deadline of the request class for all its attempts together, and a shorter timeout for each
attempt. A first attempt therefore arrives with the full timeout left, a retry with the timeout or the rest
of the deadline, whichever is shorter. If less than the timeout is left, the request's age is the deadline
minus the time left. If the full timeout is left, the age is between 0 and the deadline minus the timeout;
the estimate is the middle of this range.
"""

from __future__ import annotations

from scalelb.policy.events import RequestArrived
from scalelb.policy.settings import RequestClass

TOLERANCE_MS = 5.0  # variation of the time left of first attempts, due to network latency
UNKNOWN_AGE_RATIO = 0.5  # estimate for a retry with its full timeout left, as a ratio of the maximum age


class RetryAgeEstimator:
    """Learns the timeout of each class's clients from their first attempts."""

    def __init__(self) -> None:
        self._timeout_ms: dict[int, float] = {}  # by class index

    def age_ms(self, arrived: RequestArrived, request_class: RequestClass) -> float:
        """Return the expected time (ms) since the client's first attempt.

        It is 0 for a first attempt, until a first attempt of the class has been seen, and for classes whose
        late answers retain some value, as the age does not matter there.
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
