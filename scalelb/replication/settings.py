"""Settings of one limiter's replication; `deploy/peers.toml` lists the keys that operators set."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Settings of one limiter's replication. Fields that end in `_ms` are in milliseconds."""

    name: str
    members: tuple[str, ...]  # the names of all members, including this one
    tick_ms: float = 100.0
    heartbeat_ms: float = 500.0  # maximum interval between two digests on a link
    suspect_after_ms: float = 1500.0  # time without a frame after which a member is reported
    settle_alone_after_ms: float = 2000.0  # how long an incarnation waits for a settled peer
    wait_for_links_ms: float = 300.0  # how long an incarnation with a link waits for its other links
    push_ms: float = 50.0  # interval between two pushes of this limiter's own writes
    digests_per_tick: int = 1  # links per tick that may get a digest before their heartbeat is due
    push_targets: int = 2  # maximum number of links that own writes are pushed to
