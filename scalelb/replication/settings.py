"""Names, times and counts of one limiter's replication; `deploy/peers.toml` has the keys."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Times in ms."""

    name: str
    members: tuple[str, ...]  # all of them, this one too
    tick_ms: float = 100.0
    heartbeat_ms: float = 500.0  # each link carries a digest at least so often
    suspect_after_ms: float = 1500.0  # silence after which a member is reported
    settle_alone_after_ms: float = 2000.0  # how long an incarnation without a settled peer waits
    wait_for_links_ms: float = 300.0  # how long it waits for further links once it has one
    push_ms: float = 50.0  # between two pushes of its own writes
    digests_per_tick: int = 1  # links that get a digest in one tick before their heartbeat is due
    push_targets: int = 2  # links that own writes are pushed to
