"""Manual overrides: endpoints that an operator has ejected.  No I/O; the time is passed in.

An override is kept apart from the endpoint list: while an endpoint is ejected, the decision module sees it as
draining, whatever discovery reports.  When the ejection is undone, the endpoint counts as just started,
unless the list gives a later start time: operators eject an endpoint to restart it, and it has to warm up.

Each incarnation of a limiter keeps its own copy.  Of two copies of an override the later one wins, so copies
may be merged in any order and repeatedly.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from scalelb.policy.endpoints import Endpoint, EndpointState

MAX_OVERRIDES = 1024  # overrides of further endpoints are refused
MAX_NAME_LENGTH = 256  # characters in the name of an endpoint
MIN_STEP_MS = 1.0  # minimum time between two overrides of one endpoint


class Override(NamedTuple):
    """The latest override of one endpoint.  Compares by time; at the same time an ejection wins."""

    set_at: float  # ms of the limiter's clock
    is_ejected: bool


class EndpointOverrides:
    """The latest override of each endpoint, and the endpoint list with the overrides applied."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, Override] = {}
        self.listed: dict[str, Endpoint] = {}  # as reported by discovery
        # Endpoints that peers report as removed: they count as draining until discovery reports them.
        self.distrusted: set[str] = set()

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether an operator has ejected an endpoint."""
        override = self.by_endpoint.get(endpoint)
        return override is not None and override.is_ejected

    def on_endpoints(self, listed: Iterable[Endpoint], is_complete: bool) -> tuple[Endpoint, ...]:
        """Store the endpoint list, or the entries that changed; return them with the overrides applied."""
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
        """Return an entry of the list with its override applied, for the decision module."""
        override = self.by_endpoint.get(endpoint.name)
        if endpoint.name in self.distrusted and endpoint.state is EndpointState.SERVING:
            return replace(endpoint, state=EndpointState.DRAINING)
        if override is None or endpoint.state is EndpointState.REMOVED:
            return endpoint
        if override.is_ejected:
            return replace(endpoint, state=EndpointState.DRAINING)
        return replace(endpoint, started_at=max(endpoint.started_at, override.set_at))

    def set_by_operator(self, endpoint: str, is_ejected: bool, now: float) -> bool:
        """Eject an endpoint, or undo its ejection.

        Returns False if the endpoint is not known or there are too many overrides."""
        if endpoint not in self.listed and endpoint not in self.by_endpoint:
            return False
        old = self.by_endpoint.get(endpoint)
        if old is None:
            if not is_ejected:
                return True  # there is nothing to undo; an override would make it count as just started
            if len(self.by_endpoint) >= MAX_OVERRIDES and not self._evict():
                return False
            self.by_endpoint[endpoint] = Override(now, is_ejected)
        elif old.is_ejected != is_ejected:
            # Two overrides, or the clocks of two processes, may be less than a clock tick apart, but the new
            # override must be later than the old one.
            self.by_endpoint[endpoint] = Override(max(now, old.set_at + MIN_STEP_MS), is_ejected)
        return True

    def merge(self, copies: Iterable[tuple[str, Override]]) -> list[str]:
        """Merge another copy; return the endpoints whose override changed."""
        changed = []
        for endpoint, override in copies:
            old = self.by_endpoint.get(endpoint)
            if old is not None:
                is_accepted = override > old
            else:
                is_accepted = len(self.by_endpoint) < MAX_OVERRIDES or self._evict()
            if is_accepted:
                self.by_endpoint[endpoint] = override
                changed.append(endpoint)
        return changed

    def effective_entries(self, endpoints: Iterable[str]) -> tuple[Endpoint, ...]:
        """Return the entries of the given endpoints, with overrides applied; skip endpoints not listed."""
        return tuple(self.apply(self.listed[name]) for name in endpoints if name in self.listed)

    def _evict(self) -> bool:
        """Evict the oldest override that is undone or whose endpoint is not listed; False if none is."""
        evictable = [
            name
            for name, override in self.by_endpoint.items()
            if not override.is_ejected or name not in self.listed
        ]
        if not evictable:
            return False
        del self.by_endpoint[min(evictable, key=lambda name: self.by_endpoint[name].set_at)]
        return True
