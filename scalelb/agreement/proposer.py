"""Brings one change about, or finishes what another has begun.

A proposer asks for a version by its number, the one after what it knows: two changes at once want the same
one, one wins whole and the other is told. One that dies at any step leaves nothing half: whoever comes next
finds what was accepted and finishes it, or nobody has it and it is as though it had not been.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from scalelb.agreement.words import NONE, Ballot, Word, majority, policy, text, whole


class End(Enum):
    """How a change ended."""

    AGREED = "agreed"
    LOST = "lost"  # another change won the version
    OPEN = "open"


class Proposer:
    """One change; `life` must be one of its own, as its ballots are told apart by it."""

    def __init__(self, life: str, voters: tuple[str, ...], version: int, value: str, before: str) -> None:
        """`version`: that the change wants to be; `before`: the one before it, which is agreed."""
        self.life, self.voters, self.version, self.value = life, voters, version, value
        self.before = before
        self.ballot = NONE
        self.highest = 0  # of the ballots that were seen
        self.promises: dict[str, tuple[Ballot, str]] = {}
        self.accepts: set[str] = set()
        self.proposed: str | None = None
        self.end, self.won = End.OPEN, ""  # what the version has become

    def begin(self) -> Word:
        """A new attempt: to all voters."""
        self.ballot = Ballot(self.highest + 1, self.life)
        self.highest += 1
        self.promises, self.accepts, self.proposed = {}, set(), None
        told = {"version": self.version, "ballot": list(self.ballot), "before": self.before}
        return {"k": "prepare", **told}

    def received(self, word: Word) -> Word | None:
        """A voter's answer; returns what is to be told to all voters now, if anything.  Raises
        `MalformedWordError`."""
        voter, kind = text(word.get("voter")), word.get("k")
        if voter not in self.voters or self.end is not End.OPEN or kind == "lost":
            return None
        known, value = whole(word.get("version")), policy(word.get("value"))
        if known >= self.version:  # it is agreed already; as this one or as another
            won = value if known == self.version else None
            return self._over(won)
        if kind == "no":
            self.highest = max(self.highest, Ballot.read(word.get("promised")).number)
            return None
        if Ballot.read(word.get("ballot")) != self.ballot:
            return None  # of an attempt before
        if kind == "promise" and self.proposed is None:
            self.promises[voter] = Ballot.read(word.get("accepted")), policy(word.get("proposed"))
            if len(self.promises) >= majority(len(self.voters)):
                accepted, proposed = max(self.promises.values())
                self.proposed = proposed if accepted > NONE else self.value
                return self._word("accept", ballot=list(self.ballot))
        if kind == "accepted" and self.proposed is not None:
            self.accepts.add(voter)
            if len(self.accepts) >= majority(len(self.voters)):
                return self._over(self.proposed)
        return None

    def _word(self, kind: str, **more: Any) -> Word:
        return {"k": kind, "version": self.version, "value": self.proposed, **more}

    def _over(self, won: str | None) -> Word | None:
        self.end = End.AGREED if won == self.value else End.LOST
        self.won = won or ""
        self.proposed = won
        return self._word("agreed") if won is not None else None
