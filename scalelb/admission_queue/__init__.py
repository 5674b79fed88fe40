"""Fair queues at the door: who goes next, how much may wait, and when to come back.

Stands between what arrives and the decisions (`scalelb.routing`), which still say which server, whether
again and what is turned away for quota.  No input or output; clocks are passed in (milliseconds).  See
`docs/fairness.md`.
"""

from scalelb.admission_queue.admission_queue import (
    AdmissionQueue,
    AdmissionRequest,
    QueueDecision,
    QueuedRequest,
    QuotaBalance,
)
from scalelb.admission_queue.settings import AdmissionQueueSettings, FlowKey

__all__ = [
    "AdmissionQueue",
    "AdmissionQueueSettings",
    "AdmissionRequest",
    "FlowKey",
    "QueueDecision",
    "QueuedRequest",
    "QuotaBalance",
]
