"""The actions that an event calls for, collected in order."""

from __future__ import annotations

from scalelb.policy.actions import Action


class Outbox:
    """Collects the actions of one event; all parts of a limiter add to it."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def clear(self) -> None:
        """Begin a new list: the one before belongs to whoever was given it."""
        self.actions = []

    def add_first(self, action: Action) -> None:
        """Add an action that is to be carried out before all others."""
        self.actions.insert(0, action)

    def add(self, action: Action | None) -> None:
        """Add an action, if there is one."""
        if action is not None:
            self.actions.append(action)
