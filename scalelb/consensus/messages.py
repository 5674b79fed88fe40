"""The requests to acceptors and the stored state of an acceptor, with their encoding on the wire.

The store uses the same encoding. `from_wire` raises `MalformedMessageError` for invalid input and ignores
unknown fields.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from scalelb.consensus.ballot import NO_BALLOT, Ballot
from scalelb.consensus.wire import (
    Kind,
    MalformedMessageError,
    WireMessage,
    read_ballot,
    read_name,
    read_number,
    read_value,
)


@dataclass
class AcceptorState:
    """The newest decided version, and the ballots for the version after it."""

    decided_version: int = 0
    decided_value: str = ""
    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    accepted_value: str = ""
    leased_version: int = 0  # the version that leases were last granted for

    def to_wire(self) -> WireMessage:
        """Encodes the state for the store and for state reports."""
        return {
            "version": self.decided_version,
            "value": self.decided_value,
            "promised": list(self.promised_ballot),
            "accepted": list(self.accepted_ballot),
            "proposed": self.accepted_value,
            "permitted": self.leased_version,
        }

    @classmethod
    def from_wire(cls, state: Any) -> AcceptorState:
        """Decodes a state and checks every field; raises `MalformedMessageError`."""
        if not isinstance(state, dict):
            raise MalformedMessageError("state: not an object")
        return cls(
            decided_version=read_number(state, "version"),
            decided_value=read_value(state, "value"),
            promised_ballot=read_ballot(state, "promised"),
            accepted_ballot=read_ballot(state, "accepted"),
            accepted_value=read_value(state, "proposed"),
            leased_version=read_number(state, "permitted"),
        )


# Requests to acceptors


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for a promise to accept no ballot below `ballot` for `version`."""

    version: int
    ballot: Ballot
    previous_value: str  # the decided value of the version before

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {
            "k": Kind.PREPARE.value,
            "version": self.version,
            "ballot": list(self.ballot),
            "before": self.previous_value,
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> Prepare:
        """Decodes a message; raises `MalformedMessageError`."""
        ballot = read_ballot(message, "ballot")
        previous_value = read_value(message, "before")
        return cls(read_number(message, "version"), ballot, previous_value)


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks an acceptor to accept `value` for `version`."""

    version: int
    value: str
    ballot: Ballot

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {
            "k": Kind.ACCEPT.value,
            "version": self.version,
            "value": self.value,
            "ballot": list(self.ballot),
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> Accept:
        """Decodes a message; raises `MalformedMessageError`."""
        ballot = read_ballot(message, "ballot")
        return cls(read_number(message, "version"), read_value(message, "value"), ballot)


@dataclass(frozen=True, slots=True)
class Decided:
    """Reports that `version` is decided as `value`. A separate message, and also part of each `Reply`."""

    version: int
    value: str

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {"k": Kind.DECIDED.value, "version": self.version, "value": self.value}

    @classmethod
    def from_wire(cls, message: WireMessage) -> Decided:
        """Decodes a message; raises `MalformedMessageError`."""
        return cls(read_number(message, "version"), read_value(message, "value"))


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """One incarnation of a limiter that holds leases.

    The name alone is not enough: an earlier incarnation may be stalled, and resume with its leases.
    """

    name: str
    incarnation: str

    @classmethod
    def from_wire(cls, message: WireMessage) -> LeaseHolder:
        """Decodes the holder in a message; raises `MalformedMessageError`."""
        return cls(read_name(message, "holder"), read_name(message, "life"))

    @property
    def key(self) -> str:
        """The key of the holder's lease at an acceptor."""
        return f"{self.name} {self.incarnation}"


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks for a lease for the newest version; `version` is the one that the learner uses so far."""

    holder: LeaseHolder
    request_number: int
    version: int

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {
            "k": Kind.LEASE_REQUEST.value,
            "holder": self.holder.name,
            "life": self.holder.incarnation,
            "ask": self.request_number,
            "version": self.version,
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> LeaseRequest:
        """Decodes a message; raises `MalformedMessageError`."""
        holder = LeaseHolder.from_wire(message)
        return cls(holder, read_number(message, "ask"), read_number(message, "version"))


@dataclass(frozen=True, slots=True)
class LeaseReturn:
    """Returns the leases that were granted for this request and for earlier ones."""

    holder: LeaseHolder
    request_number: int

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {
            "k": Kind.LEASE_RETURN.value,
            "holder": self.holder.name,
            "life": self.holder.incarnation,
            "ask": self.request_number,
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> LeaseReturn:
        """Decodes a message; raises `MalformedMessageError`."""
        return cls(LeaseHolder.from_wire(message), read_number(message, "ask"))


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Asks another acceptor for its state; sent by an acceptor that has lost its own stored state."""

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {"k": Kind.STATE_REQUEST.value}


@dataclass(frozen=True, slots=True)
class StateReport:
    """The stored state of one acceptor."""

    acceptor: str
    state: AcceptorState

    def to_wire(self) -> WireMessage:
        """Encodes the message for the wire."""
        return {"k": Kind.STATE_REPORT.value, "from": self.acceptor, "state": self.state.to_wire()}

    @classmethod
    def from_wire(cls, message: WireMessage) -> StateReport:
        """Decodes a message; raises `MalformedMessageError`."""
        return cls(read_name(message, "from"), AcceptorState.from_wire(message.get("state")))
