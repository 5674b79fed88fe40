"""Ballots and quorums."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """Identifies one attempt to decide a version. Of two ballots the greater one takes precedence."""

    number: int
    proposer_incarnation: str  # makes the ballots of two proposers differ


NO_BALLOT = Ballot(0, "")


def quorum_size(acceptor_count: int) -> int:
    """Returns the size of a majority. Any two majorities have an acceptor in common."""
    return acceptor_count // 2 + 1
