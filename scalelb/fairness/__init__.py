"""Fair queues at the door: who goes next, how much may wait, and when to come back.

Stands between what arrives and the decisions (`scalelb.routing`), which still say which server, whether
again and what is turned away for quota.  No input or output; clocks are passed in (milliseconds).  See
`docs/fairness.md`.
"""

from scalelb.fairness.door import Ask, Credit, FairDoor, Held, Step
from scalelb.fairness.settings import DoorSettings, FlowBy

__all__ = ["Ask", "Credit", "DoorSettings", "FairDoor", "FlowBy", "Held", "Step"]
