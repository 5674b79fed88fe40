"""Ballots and quorums."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """One attempt at a version; of two the greater one goes first."""

    number: int
    proposer_incarnation: str  # makes the ballots of two proposers differ


NO_BALLOT = Ballot(0, "")


def quorum_size(acceptor_count: int) -> int:
    """The size of a majority: any two of them share an acceptor."""
    return acceptor_count // 2 + 1
