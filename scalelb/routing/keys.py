"""Keys of tries that one door of a limiter has counted, so that another door does not count them again."""

from __future__ import annotations

KEYS_MOST = 8192


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
