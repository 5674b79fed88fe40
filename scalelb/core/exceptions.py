"""Errors that the core raises to the fronts."""

from __future__ import annotations


class OutOfRangeError(ValueError):
    """A value of a request is out of its range; nothing was charged or sent."""
