"""Replicated state between limiters, and what becomes of it when some of them fail.  No I/O: clocks,
randomness and frames are passed in.  Nothing here knows what an entry means to a limiter;
`program/peering.py` does.

`replicated_log` is the data, `topology` says who is linked, `frames` is the form on the wire, `gossip`
exchanges logs over links, `membership` detects failures, `settling` says when an incarnation may write, and
`replicator` joins them into one limiter's replica.
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
