"""Exceptions that the core raises to the front ends."""

from __future__ import annotations


class OutOfRangeError(ValueError):
    """A value of a request is out of range; nothing was charged or sent."""
