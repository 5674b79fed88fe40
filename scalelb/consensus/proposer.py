"""Gets one change decided, or completes the proposal of another proposer.

A proposer proposes the version after the newest one that it knows. Two concurrent changes compete for the
same version: one of them is decided, and the other proposer learns that it was superseded. A proposer that
crashes at any step leaves no partial change: either the next proposer finds the accepted value and completes
it, or no acceptor has accepted the value and the proposal has no effect.
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
    """Whether a change was decided."""

    PENDING = "pending"
    DECIDED = "decided"
    SUPERSEDED = "superseded"  # another change was decided as the version


class Proposer:
    """Proposes one change."""

    def __init__(
        self, incarnation: str, acceptors: tuple[str, ...], version: int, value: str, previous_value: str
    ) -> None:
        """Creates the proposer of one change.

        `incarnation` must be unique, because it makes the ballots of proposers differ. `version` is the
        version that the change is to become, and `previous_value` is the decided value of the version before.
        """
        self.incarnation = incarnation
        self.acceptors = acceptors
        self.version = version
        self.value = value
        self.previous_value = previous_value
        self.ballot = NO_BALLOT
        self.highest_ballot_number = 0  # the highest number seen in any ballot
        self.promises: dict[str, tuple[Ballot, str]] = {}  # by acceptor: its last accepted proposal
        self.accepted_by: set[str] = set()
        self.proposed_value: str | None = None
        self.outcome = ChangeOutcome.PENDING
        self.decided_value = ""  # the decided value of the version; empty while unknown

    def begin_attempt(self) -> WireMessage:
        """Starts a new attempt and returns the message to all acceptors."""
        self.ballot = Ballot(self.highest_ballot_number + 1, self.incarnation)
        self.highest_ballot_number += 1
        self.promises = {}
        self.accepted_by = set()
        self.proposed_value = None
        return Prepare(self.version, self.ballot, self.previous_value).to_wire()

    def receive(self, reply: WireMessage) -> WireMessage | None:
        """Processes an acceptor's reply and returns the resulting message to all acceptors, if any.

        Raises `MalformedMessageError` if the reply is invalid.
        """
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
            return None  # a reply to an earlier attempt
        if kind is Kind.PROMISE and self.proposed_value is None:
            return self._receive_promise(acceptor, accepted_proposal(reply))
        if kind is Kind.ACCEPTED and self.proposed_value is not None:
            return self._receive_accepted(acceptor)
        return None

    def _receive_promise(self, acceptor: str, accepted_before: tuple[Ballot, str]) -> WireMessage | None:
        self.promises[acceptor] = accepted_before
        if len(self.promises) < quorum_size(len(self.acceptors)):
            return None
        accepted_ballot, accepted_value = max(self.promises.values())
        # A value that any member of the quorum has accepted may be decided, so it has to be proposed again.
        value = accepted_value if accepted_ballot > NO_BALLOT else self.value
        self.proposed_value = value
        return Accept(self.version, value, self.ballot).to_wire()

    def _receive_accepted(self, acceptor: str) -> WireMessage | None:
        self.accepted_by.add(acceptor)
        if len(self.accepted_by) < quorum_size(len(self.acceptors)):
            return None
        return self._finish(self.proposed_value)

    def _finish(self, decided_value: str | None) -> WireMessage | None:
        """Records the decided value. It is None if unknown because a later version is decided too."""
        is_own = decided_value == self.value
        self.outcome = ChangeOutcome.DECIDED if is_own else ChangeOutcome.SUPERSEDED
        self.decided_value = decided_value or ""
        self.proposed_value = decided_value
        return Decided(self.version, decided_value).to_wire() if decided_value is not None else None
