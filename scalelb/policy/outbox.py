"""Collects the actions that result from an event, in order."""

from __future__ import annotations

from scalelb.policy.actions import Action


class Outbox:
    """The actions of the current event; all components of a limiter add to it."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def clear(self) -> None:
        """Start a new list, as the caller of the previous event owns the old one."""
        self.actions = []

    def add_first(self, action: Action) -> None:
        """Add an action to carry out before all others."""
        self.actions.insert(0, action)

    def add(self, action: Action | None) -> None:
        """Add an action; `None` is ignored."""
        if action is not None:
            self.actions.append(action)
