"""Endpoints that an operator has ejected by hand.  No I/O: the clock's reading is passed in.

An override stands beside the endpoint list: while an endpoint is ejected, the decisions see it as draining,
whatever discovery says of it meanwhile.  Once the ejection is undone, the endpoint counts as just started,
unless the list tells of a later start: an operator ejects an endpoint to restart it, and it comes back cold.

Processes that stand for one limiter keep a copy each.  Of two copies of an override the later one wins, so
copies may be merged in any order and more than once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from scalelb.policy.endpoints import Endpoint, EndpointState

MAX_OVERRIDES = 1024  # a further endpoint is turned down
MAX_NAME_LENGTH = 256  # characters of an endpoint's name
MIN_STEP_MS = 1.0  # between two overrides of one endpoint


class Override(NamedTuple):
    """The last override of one endpoint.  Compares by time; at the same time an ejection wins."""

    set_at: float  # ms of the limiter's clock
    is_ejected: bool


class EndpointOverrides:
    """The last override of each endpoint, and the endpoint list with the overrides applied."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, Override] = {}
        self.listed: dict[str, Endpoint] = {}  # as discovery has it
        self.distrusted: set[str] = set()  # peers say that they are removed: they drain until the list tells

    def is_ejected(self, endpoint: str) -> bool:
        """Whether an operator has ejected it."""
        override = self.by_endpoint.get(endpoint)
        return override is not None and override.is_ejected

    def on_endpoints(self, listed: Iterable[Endpoint], is_complete: bool) -> tuple[Endpoint, ...]:
        """Take in the endpoint list, or its entries that changed; return them with the overrides applied."""
        endpoints = tuple(listed)
        if is_complete:
            self.listed = {}
        for endpoint in endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.listed.pop(endpoint.name, None)
            else:
                self.listed[endpoint.name] = endpoint
        if not self.by_endpoint and not self.distrusted:
            return endpoints
        return tuple(map(self.apply, endpoints))

    def apply(self, endpoint: Endpoint) -> Endpoint:
        """An entry of the list as the decisions are to see it."""
        override = self.by_endpoint.get(endpoint.name)
        if endpoint.name in self.distrusted and endpoint.state is EndpointState.SERVING:
            return replace(endpoint, state=EndpointState.DRAINING)
        if override is None or endpoint.state is EndpointState.REMOVED:
            return endpoint
        if override.is_ejected:
            return replace(endpoint, state=EndpointState.DRAINING)
        return replace(endpoint, started_at=max(endpoint.started_at, override.set_at))

    def set_by_operator(self, endpoint: str, is_ejected: bool, now: float) -> bool:
        """Eject an endpoint, or undo that.  False where it is not known, or there are too many overrides."""
        if endpoint not in self.listed and endpoint not in self.by_endpoint:
            return False
        old = self.by_endpoint.get(endpoint)
        if old is None:
            if not is_ejected:
                return True  # nothing to undo; an override would make it count as just started
            if len(self.by_endpoint) >= MAX_OVERRIDES and not self._evict():
                return False
            self.by_endpoint[endpoint] = Override(now, is_ejected)
        elif old.is_ejected != is_ejected:
            # Two overrides, or two processes' clocks, may be closer than a tick: the new one has to be later.
            self.by_endpoint[endpoint] = Override(max(now, old.set_at + MIN_STEP_MS), is_ejected)
        return True

    def merge(self, copies: Iterable[tuple[str, Override]]) -> list[str]:
        """Merge another copy; return the endpoints whose override changed here."""
        changed = []
        for endpoint, override in copies:
            old = self.by_endpoint.get(endpoint)
            if old is not None:
                is_taken = override > old
            else:
                is_taken = len(self.by_endpoint) < MAX_OVERRIDES or self._evict()
            if is_taken:
                self.by_endpoint[endpoint] = override
                changed.append(endpoint)
        return changed

    def effective_entries(self, endpoints: Iterable[str]) -> tuple[Endpoint, ...]:
        """The listed ones of these endpoints with the overrides applied, as a change of the list."""
        return tuple(self.apply(self.listed[name]) for name in endpoints if name in self.listed)

    def _evict(self) -> bool:
        """Make room: forget the oldest override that ejects nothing, or an endpoint that is not listed."""
        spare = [
            name
            for name, override in self.by_endpoint.items()
            if not override.is_ejected or name not in self.listed
        ]
        if not spare:
            return False
        del self.by_endpoint[min(spare, key=lambda name: self.by_endpoint[name].set_at)]
        return True
