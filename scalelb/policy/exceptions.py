"""Errors that the decision module raises."""

from __future__ import annotations

from scalelb.policy.actions import Action


class DecisionFaultError(Exception):
    """Something failed while events were handled.

    `actions` is what is to be done all the same, in order: it holds what all other events call for, the
    timers, and a `FailRequest` for each request that the fault concerned. `errors` is what failed.
    """

    def __init__(self, actions: list[Action], errors: list[Exception]) -> None:
        super().__init__("; ".join(f"{type(error).__name__}: {error}" for error in errors))
        self.actions = actions
        self.errors = errors
