"""The replies of an acceptor, as types for who sends them and as readers for who gets them.

A proposer and a learner check only the fields that they use at that moment, so there is one reader for each.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from scalelb.consensus.ballot import Ballot
from scalelb.consensus.messages import Decided
from scalelb.consensus.wire import Kind, WireMessage, read_ballot, read_name, read_number, read_value


@dataclass(frozen=True, slots=True)
class BriefReply:
    """The reply to a state report, and of an acceptor that has lost its store."""

    kind: Kind
    acceptor: str

    def to_wire(self) -> WireMessage:
        return {"k": self.kind.value, "voter": self.acceptor}


@dataclass(frozen=True, slots=True)
class Reply:
    """What all other replies tell: whose it is, on which ballot, and the newest decided version."""

    kind: ClassVar[Kind]

    acceptor: str
    decided: Decided
    ballot: Ballot

    def to_wire(self) -> WireMessage:
        return {
            "k": self.kind.value,
            "ballot": list(self.ballot),
            "voter": self.acceptor,
            "version": self.decided.version,
            "value": self.decided.value,
        }


@dataclass(frozen=True, slots=True)
class Promise(Reply):
    """Nothing below the ballot will be accepted; what was accepted so far."""

    kind = Kind.PROMISE

    accepted_ballot: Ballot
    accepted_value: str

    def to_wire(self) -> WireMessage:
        fields = {"accepted": list(self.accepted_ballot), "proposed": self.accepted_value}
        return Reply.to_wire(self) | fields


@dataclass(frozen=True, slots=True)
class Accepted(Reply):
    """The value was accepted on the ballot."""

    kind = Kind.ACCEPTED


@dataclass(frozen=True, slots=True)
class Rejected(Reply):
    """The ballot is below one that was promised, or the version is not the next one."""

    kind = Kind.REJECTED

    promised_ballot: Ballot

    def to_wire(self) -> WireMessage:
        return Reply.to_wire(self) | {"promised": list(self.promised_ballot)}


@dataclass(frozen=True, slots=True)
class Acknowledged(Reply):
    """The message was taken."""

    kind = Kind.ACKNOWLEDGED


@dataclass(frozen=True, slots=True)
class LeaseGranted(Reply):
    """A lease for the newest decided version."""

    kind = Kind.LEASE_GRANTED

    request_number: int

    def to_wire(self) -> WireMessage:
        return Reply.to_wire(self) | {"ask": self.request_number}


@dataclass(frozen=True, slots=True)
class LeaseDeferred(Reply):
    """No lease before `retry_after_ms`: earlier ones are out, or there are too many."""

    kind = Kind.LEASE_DEFERRED

    request_number: int
    retry_after_ms: int

    def to_wire(self) -> WireMessage:
        return Reply.to_wire(self) | {"ask": self.request_number, "wait": self.retry_after_ms}


@dataclass(frozen=True, slots=True)
class LeaseRequestOutdated(Reply):
    """A newer request of this holder was granted already."""

    kind = Kind.LEASE_REQUEST_OUTDATED

    request_number: int

    def to_wire(self) -> WireMessage:
        return Reply.to_wire(self) | {"ask": self.request_number}


# Readers


def replying_acceptor(message: WireMessage) -> str:
    """Whose reply it is."""
    return read_name(message, "voter")


def reply_ballot(message: WireMessage) -> Ballot:
    """The ballot that a reply is about."""
    return read_ballot(message, "ballot")


def promised_ballot(message: WireMessage) -> Ballot:
    """Of a rejection: the ballot that was promised."""
    return read_ballot(message, "promised")


def accepted_proposal(message: WireMessage) -> tuple[Ballot, str]:
    """Of a promise: the ballot and the value that were accepted before."""
    return read_ballot(message, "accepted"), read_value(message, "proposed")


def request_number(message: WireMessage) -> int:
    """Of a granted lease: the request that it answers."""
    return read_number(message, "ask")
