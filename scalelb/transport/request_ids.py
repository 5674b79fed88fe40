"""The ids of requests: the open ones, and those that must not be executed again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

MAX_EXECUTED_IDS = 16_384  # the oldest is forgotten first

T = TypeVar("T")


class RequestIds(Generic[T]):
    """Open requests by id, and the ids that must not be executed again.

    A client whose connection ends may come again with the id of a request whose attempt has been sent. Such
    an id is remembered for `memory_ms`, within which a client can still want the answer."""

    def __init__(self, clock: Callable[[], float], memory_ms: float) -> None:
        self.clock, self.memory_ms = clock, memory_ms
        self.open: dict[bytes, T] = {}
        self.executed: dict[bytes, float] = {}  # ends of their memory (ms), oldest first

    def may_have_been_executed(self, request_id: bytes) -> bool:
        """Return whether an attempt was sent under this id for a client that got no answer."""
        return self.executed.get(request_id, 0.0) > self.clock()

    def remember_executed(self, request_id: bytes) -> None:
        """Remember the id of a request whose attempt was sent."""
        self.executed.pop(request_id, None)
        self.executed[request_id] = self.clock() + self.memory_ms
        if len(self.executed) > MAX_EXECUTED_IDS:
            del self.executed[next(iter(self.executed))]

    def sweep(self) -> None:
        """Forget ids whose time is over."""
        now = self.clock()
        while self.executed:
            request_id = next(iter(self.executed))
            if self.executed[request_id] > now:
                return
            del self.executed[request_id]
