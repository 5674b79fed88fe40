"""Overload handled by many limiters as one fleet.  No I/O: clocks and randomness are passed in.

`thin` needs no talk: what each limiter may do so that the sum over all of them stays bounded, from the number
of limiters alone.  The decision module uses it; it decides.
"""

from scalelb.overload import thin

__all__ = ["thin"]
