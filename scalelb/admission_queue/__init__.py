"""The admission queue: fair queuing, a concurrency limit and Retry-After reservations.

It is placed between the listeners and the limiter (`scalelb.policy`), which still decides which endpoint gets
a request, whether it is retried, and what is rejected because of the quota.  No I/O; times are passed in, in
milliseconds.  See `docs/fairness.md`.
"""

from scalelb.admission_queue.admission_queue import AdmissionQueue
from scalelb.admission_queue.admission_request import (
    AdmissionRequest,
    AdmissionResult,
    QueueDecision,
    QueuedRequest,
    QuotaBalance,
)
from scalelb.admission_queue.settings import AdmissionQueueSettings, FlowKey, SettingRangeError

__all__ = [
    "AdmissionQueue",
    "AdmissionQueueSettings",
    "AdmissionRequest",
    "AdmissionResult",
    "FlowKey",
    "QueueDecision",
    "QueuedRequest",
    "QuotaBalance",
    "SettingRangeError",
]
