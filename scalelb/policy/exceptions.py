"""Exceptions of the decision module."""

from __future__ import annotations

from scalelb.policy.actions import Action


class DecisionFaultError(Exception):
    """An exception occurred while events were handled.

    `actions` must be carried out nevertheless, in order: the actions for all other events, the timers, and a
    `FailRequest` for each request that the fault affected. `errors` contains the original exceptions.
    """

    def __init__(self, actions: list[Action], errors: list[Exception]) -> None:
        super().__init__("; ".join(f"{type(error).__name__}: {error}" for error in errors))
        self.actions = actions
        self.errors = errors
