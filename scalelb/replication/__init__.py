"""State that limiters replicate to each other, and detection of failed limiters.

The package does no I/O: clocks, randomness and frames are passed in. It doesn't interpret the entries that it
replicates; `program/peering.py` does.

`replicated_log` holds the data, `topology` determines which members are linked, `frames` encodes and decodes
the frames on the wire, `gossip` exchanges logs over links, `membership` detects failures, `settling`
determines when an incarnation may write, and `replicator` combines them into the replica of one limiter.
"""

from scalelb.replication.frames import MalformedFrameError
from scalelb.replication.gossip import OutgoingFrame
from scalelb.replication.membership import MemberState
from scalelb.replication.replicated_log import Entry, Incarnation, Replica, ReplicatedLog
from scalelb.replication.replicator import Replicator
from scalelb.replication.settings import ReplicationSettings

__all__ = [
    "Entry", "Incarnation", "MalformedFrameError", "MemberState", "OutgoingFrame", "Replica", "ReplicatedLog",
    "ReplicationSettings", "Replicator",
]  # fmt: skip
