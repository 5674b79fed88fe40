"""What limiters tell each other, and what becomes of it when some of them fail.  No I/O: clocks, chance and
messages are passed in.  Nothing here knows what an entry means to a limiter; `program/peering.py` does."""

from scalelb.peers.chain import Chain, Entry, Life, Replica
from scalelb.peers.mesh import Mesh, MeshSettings, State

__all__ = ["Chain", "Entry", "Life", "Mesh", "MeshSettings", "Replica", "State"]
