"""The replies of an acceptor: types for the sender, and functions that read single fields for the receiver.

Proposers and learners check only the fields that they use at that moment, so each field has its own function.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from scalelb.consensus.ballot import Ballot
from scalelb.consensus.messages import Decided
from scalelb.consensus.wire import Kind, WireMessage, read_ballot, read_name, read_number, read_value


@dataclass(frozen=True, slots=True)
class BriefReply:
    """The reply to a state report, and any reply of an acceptor that has lost its state."""

    kind: Kind
    acceptor: str

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {"k": self.kind.value, "voter": self.acceptor}


@dataclass(frozen=True, slots=True)
class Reply:
    """The fields of all other replies: the acceptor, the newest decided version and the ballot."""

    kind: ClassVar[Kind]

    acceptor: str
    decided: Decided
    ballot: Ballot

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {
            "k": self.kind.value,
            "ballot": list(self.ballot),
            "voter": self.acceptor,
            "version": self.decided.version,
            "value": self.decided.value,
        }


@dataclass(frozen=True, slots=True)
class Promise(Reply):
    """Promises to accept no lower ballot, and contains the proposal that was accepted last."""

    kind = Kind.PROMISE

    accepted_ballot: Ballot
    accepted_value: str

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        fields = {"accepted": list(self.accepted_ballot), "proposed": self.accepted_value}
        return Reply.to_wire(self) | fields


@dataclass(frozen=True, slots=True)
class Accepted(Reply):
    """The acceptor has accepted the value for the ballot."""

    kind = Kind.ACCEPTED


@dataclass(frozen=True, slots=True)
class Rejected(Reply):
    """The ballot is below the promised one, or the version is not the next one."""

    kind = Kind.REJECTED

    promised_ballot: Ballot

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return Reply.to_wire(self) | {"promised": list(self.promised_ballot)}


@dataclass(frozen=True, slots=True)
class Acknowledged(Reply):
    """The message was processed."""

    kind = Kind.ACKNOWLEDGED


@dataclass(frozen=True, slots=True)
class LeaseGranted(Reply):
    """A lease for the newest decided version."""

    kind = Kind.LEASE_GRANTED

    request_number: int

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return Reply.to_wire(self) | {"ask": self.request_number}


@dataclass(frozen=True, slots=True)
class LeaseDeferred(Reply):
    """No lease is granted yet, as older ones are in use or there are too many.

    The request may be repeated after `retry_after_ms`.
    """

    kind = Kind.LEASE_DEFERRED

    request_number: int
    retry_after_ms: int

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return Reply.to_wire(self) | {"ask": self.request_number, "wait": self.retry_after_ms}


@dataclass(frozen=True, slots=True)
class LeaseRequestOutdated(Reply):
    """This request of the holder, or a newer one, was granted already."""

    kind = Kind.LEASE_REQUEST_OUTDATED

    request_number: int

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return Reply.to_wire(self) | {"ask": self.request_number}


# Functions that read fields of a reply


def replying_acceptor(message: WireMessage) -> str:
    """Returns the name of the acceptor that sent a reply."""
    return read_name(message, "voter")


def reply_ballot(message: WireMessage) -> Ballot:
    """Returns the ballot of a reply."""
    return read_ballot(message, "ballot")


def promised_ballot(message: WireMessage) -> Ballot:
    """Returns the promised ballot of a rejection."""
    return read_ballot(message, "promised")


def accepted_proposal(message: WireMessage) -> tuple[Ballot, str]:
    """Returns the ballot and value of a promise that were accepted before."""
    return read_ballot(message, "accepted"), read_value(message, "proposed")


def request_number(message: WireMessage) -> int:
    """Returns the number of the request that a granted lease answers."""
    return read_number(message, "ask")
