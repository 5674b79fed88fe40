"""Keys of tries: which door of a limiter has counted one, so that another does not count it again, and which
backends drop its repeats."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

from scalelb.policy.endpoints import Endpoint
from scalelb.policy.settings import DeduplicationScope

KEYS_MOST = 8192
G = TypeVar("G", int, int | None, str)


def group(info: Endpoint, kind: DeduplicationScope) -> int | None:
    """The group of backends that drop each other's repeats; None: all do."""
    return {
        DeduplicationScope.ALL: None,
        DeduplicationScope.ZONE: info.zone,
        DeduplicationScope.CELL: info.cell,
    }[kind]


def homes(key: str, groups: Iterable[G]) -> list[G]:
    """The groups in the order in which they are a key's: the same at every limiter, and a group that comes or
    goes moves its own keys alone (rendezvous hashing, Thaler and Ravishankar, 1998)."""
    return sorted(groups, key=lambda one: blake2b(f"{key} {one}".encode(), digest_size=8).digest())


class Keys:
    """What was counted within each key's window, and by which doors (bits)."""

    def __init__(self, most: int = KEYS_MOST) -> None:
        self.most = most
        self.known: dict[tuple[str, str], tuple[float, int]] = {}  # until, doors; oldest first

    def __len__(self) -> int:
        return len(self.known)

    def counted(self, customer: str, key: str, door: int, now: float) -> bool:
        """Whether another door has counted a try with this key, and this door none since."""
        until, doors = self.known.get((customer, key), (0.0, 0))
        return now < until and not doors & door

    def count(self, customer: str, key: str, door: int, now: float, window_ms: float) -> None:
        """A try goes through this door: it stands for the other doors' until the window is over."""
        name = customer, key
        if self.counted(customer, key, door, now):
            until, doors = self.known[name]
            self.known[name] = until, doors | door
            return
        self.known.pop(name, None)
        if len(self.known) >= self.most:  # guards the memory: the oldest goes
            del self.known[next(iter(self.known))]
        self.known[name] = now + window_ms, door
