"""Idempotency keys: the endpoints that drop duplicates of a key, and the front ends that charged a key."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple, TypeVar

from scalelb.policy.endpoints import Endpoint
from scalelb.policy.settings import DeduplicationScope

MAX_KEYS = 8192
G = TypeVar("G", int, int | None, str)


def deduplication_group(endpoint: Endpoint, scope: DeduplicationScope) -> int | None:
    """Return the group of endpoints that drop duplicates among themselves; `None`: all endpoints together."""
    if scope is DeduplicationScope.ZONE:
        return endpoint.zone
    if scope is DeduplicationScope.CELL:
        return endpoint.cell
    return None


def preferred_groups(key: str, groups: Iterable[G]) -> list[G]:
    """Return the groups in a key's order of preference, which is the same at every limiter.

    Uses rendezvous hashing (Thaler and Ravishankar, 1998): adding or removing a group moves only its keys.
    """
    return sorted(groups, key=lambda group: blake2b(f"{key} {group}".encode(), digest_size=8).digest())


class ChargedKey(NamedTuple):
    """A charged key: the end of its idempotency window and the front ends that received its attempts."""

    until: float  # ms
    listeners: int  # one bit for each front end


class ChargedKeys:
    """The keys that were charged within their idempotency windows.

    At most `max_keys` are stored; the oldest key is evicted first.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.charged: dict[tuple[str, str], ChargedKey] = {}  # by tenant and key, oldest first

    def __len__(self) -> int:
        return len(self.charged)

    def is_charged_elsewhere(self, tenant: str, key: str, listener: int, now: float) -> bool:
        """Whether another front end has charged this key and this one has received no attempt since."""
        entry = self.charged.get((tenant, key))
        if entry is None:
            return False
        return now < entry.until and not entry.listeners & listener

    def record(self, tenant: str, key: str, listener: int, now: float, window_ms: float) -> None:
        """Record an attempt through this front end.

        Its charge also covers attempts through the other front ends within `window_ms`.
        """
        name = tenant, key
        if self.is_charged_elsewhere(tenant, key, listener, now):
            entry = self.charged[name]
            self.charged[name] = ChargedKey(entry.until, entry.listeners | listener)
            return
        self.charged.pop(name, None)
        if len(self.charged) >= self.max_keys:
            del self.charged[next(iter(self.charged))]
        self.charged[name] = ChargedKey(now + window_ms, listener)
