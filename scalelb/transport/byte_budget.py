"""A bound on the bytes that several owners hold together."""

from __future__ import annotations


class ByteBudget:
    """Counts the bytes that are held of one kind, against a limit that follows from the process's memory."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def change(self, difference: int) -> None:
        """Record that more bytes are held, or fewer if `difference` is negative."""
        self.used += difference

    def is_exceeded(self) -> bool:
        """Return whether more bytes are held than the limit allows."""
        return self.used > self.limit

    def fits(self, size: int) -> bool:
        """Return whether so many further bytes may be held."""
        return self.used + size <= self.limit
