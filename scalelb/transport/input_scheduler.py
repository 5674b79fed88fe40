"""Shares the event loop among client sessions with commands to handle.

A session whose commands do not fit into one turn is paused and queued. The queue is served by least attained
service: the session that has used least in the current window comes first, so that a client that floods one
connection, or many, does not hold up one that sends a request now and then. The work done in one round of the
event loop is bounded; between rounds, backends are read and timers fire.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Protocol

REQUEST_COST = 16  # of a request, which the decision module handles; any other command costs 1
TURN_COST = 4 * REQUEST_COST  # of the commands that one session handles in a turn
MAX_ROUND_COST = 64 * REQUEST_COST  # of the commands that all sessions handle in a round of the event loop
MIN_ROUND_COST = REQUEST_COST
LONG_ROUND_MS = 20.0  # a round that takes longer handles too much: what a command causes may cost more
WINDOW_MS = 1000.0  # in which the use of a session is counted


class InputSource(Protocol):
    """A session with input."""

    attained_cost: int  # in the window `attained_in`
    attained_in: int

    def handle_input(self, max_cost: int) -> int:
        """Handle commands until they have cost `max_cost`; return their cost."""

    def has_input(self) -> bool:
        """Return whether there are commands that may be handled now."""


class InputScheduler:
    """Decides when sessions handle their commands."""

    def __init__(
        self, clock: Callable[[], float], call_in_next_round: Callable[[Callable[[], None]], object]
    ) -> None:
        self.clock, self.call_in_next_round = clock, call_in_next_round
        self.queue: list[tuple[int, int, InputSource]] = []  # a heap by attained cost
        self.queued: set[InputSource] = set()
        self.sequence = count()
        self.round_cost = 0  # of the commands handled in the current round
        self.max_round_cost = MAX_ROUND_COST
        self.round_began_at = 0.0
        self.is_round_scheduled = False

    def on_input(self, source: InputSource) -> None:
        """Let a session handle its commands: now if the round has capacity, else in its order."""
        if not self.queue and self.round_cost < self.max_round_cost:
            self._serve(source)
        if source.has_input():
            self._enqueue(source)
        self._schedule_round()

    def remove(self, source: InputSource) -> None:
        """Forget a session that has ended."""
        self.queued.discard(source)

    def _begin_round(self) -> None:
        """Serve queued sessions until the round's capacity is used."""
        self.is_round_scheduled = False
        self._adapt_to_last_round()
        self.round_cost = 0
        while self.queue and self.round_cost < self.max_round_cost:
            _, _, source = heappop(self.queue)
            if source not in self.queued:
                continue
            self.queued.discard(source)
            self._serve(source)
            if source.has_input():
                self._enqueue(source)
        self._schedule_round()

    def _adapt_to_last_round(self) -> None:
        """Halve the work of a round after a long one, and double it after one of less than half that time."""
        took_ms = self.clock() - self.round_began_at
        if took_ms > LONG_ROUND_MS and self.round_cost:
            self.max_round_cost = max(MIN_ROUND_COST, self.max_round_cost // 2)
        elif took_ms < LONG_ROUND_MS / 2:
            self.max_round_cost = min(MAX_ROUND_COST, 2 * self.max_round_cost)

    def _serve(self, source: InputSource) -> None:
        cost = source.handle_input(min(TURN_COST, self.max_round_cost))
        self.round_cost += cost
        source.attained_cost = self._attained(source) + cost

    def _attained(self, source: InputSource) -> int:
        window = int(self.clock() / WINDOW_MS)
        if source.attained_in != window:
            source.attained_in, source.attained_cost = window, 0
        return source.attained_cost

    def _enqueue(self, source: InputSource) -> None:
        if source not in self.queued:
            self.queued.add(source)
            heappush(self.queue, (self._attained(source), next(self.sequence), source))

    def _schedule_round(self) -> None:
        if not self.is_round_scheduled and (self.queue or self.round_cost):
            self.is_round_scheduled = True
            self.round_began_at = self.clock()
            self.call_in_next_round(self._begin_round)
