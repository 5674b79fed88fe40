"""Brings one change about, or finishes what another proposer has begun.

A proposer asks for a version by its number, the one after the newest that it knows: two changes at once want
the same one, one of them wins whole and the other learns that it lost. A proposer that dies at any step
leaves nothing half done: whoever comes next finds what was accepted and finishes it, or nobody has accepted
anything and it is as though there had been no proposal.
"""

from __future__ import annotations

from enum import Enum

from scalelb.consensus.ballot import NO_BALLOT, Ballot, quorum_size
from scalelb.consensus.messages import Accept, Decided, Prepare
from scalelb.consensus.replies import (
    accepted_proposal,
    promised_ballot,
    reply_ballot,
    replying_acceptor,
)
from scalelb.consensus.wire import Kind, WireMessage, kind_of


class ChangeOutcome(Enum):
    """What has become of a change."""

    PENDING = "pending"
    DECIDED = "decided"
    SUPERSEDED = "superseded"  # another change won the version


class Proposer:
    """One change."""

    def __init__(
        self, incarnation: str, acceptors: tuple[str, ...], version: int, value: str, previous_value: str
    ) -> None:
        """`incarnation` must be one of its own, as it makes its ballots differ from all others; `version`:
        the one that the change wants to be; `previous_value`: of the version before, which is decided."""
        self.incarnation = incarnation
        self.acceptors = acceptors
        self.version = version
        self.value = value
        self.previous_value = previous_value
        self.ballot = NO_BALLOT
        self.highest_ballot_number = 0  # of all that were seen
        self.promises: dict[str, tuple[Ballot, str]] = {}  # by acceptor: what it had accepted before
        self.accepted_by: set[str] = set()
        self.proposed_value: str | None = None
        self.outcome = ChangeOutcome.PENDING
        self.decided_value = ""  # what the version has become; empty while that is not known

    def begin_attempt(self) -> WireMessage:
        """Begin a new attempt; returns the message to all acceptors."""
        self.ballot = Ballot(self.highest_ballot_number + 1, self.incarnation)
        self.highest_ballot_number += 1
        self.promises = {}
        self.accepted_by = set()
        self.proposed_value = None
        return Prepare(self.version, self.ballot, self.previous_value).to_wire()

    def receive(self, reply: WireMessage) -> WireMessage | None:
        """Take an acceptor's reply; returns the message to all acceptors that follows from it, if any.
        Raises `MalformedMessageError`."""
        acceptor = replying_acceptor(reply)
        kind = kind_of(reply)
        if acceptor not in self.acceptors or kind is Kind.STATE_LOST:
            return None
        if self.outcome is not ChangeOutcome.PENDING:
            return None
        decided = Decided.from_wire(reply)
        if decided.version >= self.version:
            return self._finish(decided.value if decided.version == self.version else None)
        if kind is Kind.REJECTED:
            self.highest_ballot_number = max(self.highest_ballot_number, promised_ballot(reply).number)
            return None
        if reply_ballot(reply) != self.ballot:
            return None  # it answers an earlier attempt
        if kind is Kind.PROMISE and self.proposed_value is None:
            return self._take_promise(acceptor, accepted_proposal(reply))
        if kind is Kind.ACCEPTED and self.proposed_value is not None:
            return self._take_accepted(acceptor)
        return None

    def _take_promise(self, acceptor: str, accepted_before: tuple[Ballot, str]) -> WireMessage | None:
        self.promises[acceptor] = accepted_before
        if len(self.promises) < quorum_size(len(self.acceptors)):
            return None
        accepted_ballot, accepted_value = max(self.promises.values())
        # A value that one of a quorum has accepted may be decided: it has to be proposed again.
        value = accepted_value if accepted_ballot > NO_BALLOT else self.value
        self.proposed_value = value
        return Accept(self.version, value, self.ballot).to_wire()

    def _take_accepted(self, acceptor: str) -> WireMessage | None:
        self.accepted_by.add(acceptor)
        if len(self.accepted_by) < quorum_size(len(self.acceptors)):
            return None
        return self._finish(self.proposed_value)

    def _finish(self, decided_value: str | None) -> WireMessage | None:
        """The version is decided; None: as a value that is not known here, as later ones are decided too."""
        is_own = decided_value == self.value
        self.outcome = ChangeOutcome.DECIDED if is_own else ChangeOutcome.SUPERSEDED
        self.decided_value = decided_value or ""
        self.proposed_value = decided_value
        return Decided(self.version, decided_value).to_wire() if decided_value is not None else None
