"""Shares the event loop among client sessions with commands to handle.

New input of a session gets a first turn, in which one request is handled. Commands that are left wait for
further turns, behind the first turns of other sessions: a client that sends a request now and then does not
wait behind those that flood their connections. Every round of the event loop has a further turn, too. Its
work is bounded; between rounds, backends are read and timers fire.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

REQUEST_COST = 16  # of a request, which the decision module handles; any other command costs 1
FIRST_TURN_COST = REQUEST_COST  # of the commands that one session handles in its first turn
TURN_COST = 4 * REQUEST_COST  # in a further turn
MAX_ROUND_COST = 64 * REQUEST_COST  # of the commands that all sessions handle in a round of the event loop
MIN_ROUND_COST = 2 * TURN_COST
LONG_ROUND_MS = 20.0  # a round that takes longer handles too much: what a command causes may cost more


class InputSource(Protocol):
    """A session with input."""

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
        self.first_turns: deque[InputSource] = deque()
        self.further_turns: deque[InputSource] = deque()
        self.queued: set[InputSource] = set()  # the sources in either queue
        self.round_cost = 0  # of the commands handled in the current round
        self.max_round_cost = MAX_ROUND_COST
        self.round_began_at = 0.0
        self.is_round_scheduled = False

    def on_input(self, source: InputSource) -> None:
        """Let a session handle new input: now if the round has capacity, else in its order."""
        if source in self.queued or not source.has_input():
            return
        if not self.first_turns and self.round_cost < self.max_round_cost:
            self._serve(source, FIRST_TURN_COST)
        else:
            self._enqueue(source, self.first_turns)
        self._schedule_round()

    def on_unblocked(self, source: InputSource) -> None:
        """Let a session go on whose commands had to wait for answers."""
        if source not in self.queued and source.has_input():
            self._enqueue(source, self.further_turns)
            self._schedule_round()

    def remove(self, source: InputSource) -> None:
        """Forget a session that has ended."""
        self.queued.discard(source)

    def _begin_round(self) -> None:
        """Serve queued sessions until the round's capacity is used."""
        self.is_round_scheduled = False
        self._adapt_to_last_round()
        self.round_cost = 0
        self._serve_queue(self.first_turns, FIRST_TURN_COST, self.max_round_cost - TURN_COST)
        self._serve_queue(self.further_turns, TURN_COST, self.max_round_cost)
        self._schedule_round()

    def _serve_queue(self, queue: deque[InputSource], turn_cost: int, max_round_cost: int) -> None:
        while queue and self.round_cost < max_round_cost:
            source = queue.popleft()
            if source in self.queued:
                self.queued.discard(source)
                self._serve(source, turn_cost)

    def _adapt_to_last_round(self) -> None:
        """Halve the work of a round after a long one, and double it after one of less than half that time."""
        took_ms = self.clock() - self.round_began_at
        if took_ms > LONG_ROUND_MS and self.round_cost:
            self.max_round_cost = max(MIN_ROUND_COST, self.max_round_cost // 2)
        elif took_ms < LONG_ROUND_MS / 2:
            self.max_round_cost = min(MAX_ROUND_COST, 2 * self.max_round_cost)

    def _serve(self, source: InputSource, turn_cost: int) -> None:
        self.round_cost += source.handle_input(turn_cost)
        if source.has_input():
            self._enqueue(source, self.further_turns)

    def _enqueue(self, source: InputSource, queue: deque[InputSource]) -> None:
        self.queued.add(source)
        queue.append(source)

    def _schedule_round(self) -> None:
        if not self.is_round_scheduled and (self.queued or self.round_cost):
            self.is_round_scheduled = True
            self.round_began_at = self.clock()
            self.call_in_next_round(self._begin_round)
