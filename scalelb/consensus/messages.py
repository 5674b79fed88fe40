"""The requests to acceptors as types, what an acceptor keeps, and the form of both on the wire and in the
store.

`from_wire` raises `MalformedMessageError` for what can't be; fields that it does not know are ignored.
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
    leased_version: int = 0  # the version that leases were granted for last

    def to_wire(self) -> WireMessage:
        """The form in the store and in state reports."""
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
        """Strict; raises `MalformedMessageError`."""
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
    """Asks for a promise to accept nothing below `ballot` for `version`."""

    version: int
    ballot: Ballot
    previous_value: str  # of the version before, which is decided

    def to_wire(self) -> WireMessage:
        return {
            "k": Kind.PREPARE.value,
            "version": self.version,
            "ballot": list(self.ballot),
            "before": self.previous_value,
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> Prepare:
        ballot = read_ballot(message, "ballot")
        previous_value = read_value(message, "before")
        return cls(read_number(message, "version"), ballot, previous_value)


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks to accept `value` for `version`."""

    version: int
    value: str
    ballot: Ballot

    def to_wire(self) -> WireMessage:
        return {
            "k": Kind.ACCEPT.value,
            "version": self.version,
            "value": self.value,
            "ballot": list(self.ballot),
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> Accept:
        ballot = read_ballot(message, "ballot")
        return cls(read_number(message, "version"), read_value(message, "value"), ballot)


@dataclass(frozen=True, slots=True)
class Decided:
    """`version` is decided as `value`: a message of its own, and a part of each `Reply`."""

    version: int
    value: str

    def to_wire(self) -> WireMessage:
        return {"k": Kind.DECIDED.value, "version": self.version, "value": self.value}

    @classmethod
    def from_wire(cls, message: WireMessage) -> Decided:
        return cls(read_number(message, "version"), read_value(message, "value"))


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """One incarnation of a limiter.  By incarnation, not by name alone: an earlier one may be stalled, and go
    on with the leases that it was granted."""

    name: str
    incarnation: str

    @classmethod
    def from_wire(cls, message: WireMessage) -> LeaseHolder:
        return cls(read_name(message, "holder"), read_name(message, "life"))

    @property
    def key(self) -> str:
        """Under which an acceptor keeps the holder's lease."""
        return f"{self.name} {self.incarnation}"


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A learner that decides by `version` until now asks for a lease for the newest one."""

    holder: LeaseHolder
    request_number: int
    version: int

    def to_wire(self) -> WireMessage:
        return {
            "k": Kind.LEASE_REQUEST.value,
            "holder": self.holder.name,
            "life": self.holder.incarnation,
            "ask": self.request_number,
            "version": self.version,
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> LeaseRequest:
        holder = LeaseHolder.from_wire(message)
        return cls(holder, read_number(message, "ask"), read_number(message, "version"))


@dataclass(frozen=True, slots=True)
class LeaseReturn:
    """A learner uses no lease of this request or an earlier one any more."""

    holder: LeaseHolder
    request_number: int

    def to_wire(self) -> WireMessage:
        return {
            "k": Kind.LEASE_RETURN.value,
            "holder": self.holder.name,
            "life": self.holder.incarnation,
            "ask": self.request_number,
        }

    @classmethod
    def from_wire(cls, message: WireMessage) -> LeaseReturn:
        return cls(LeaseHolder.from_wire(message), read_number(message, "ask"))


@dataclass(frozen=True, slots=True)
class StateRequest:
    """An acceptor that has lost its store asks the others for theirs."""

    def to_wire(self) -> WireMessage:
        return {"k": Kind.STATE_REQUEST.value}


@dataclass(frozen=True, slots=True)
class StateReport:
    """What one acceptor keeps in its store."""

    acceptor: str
    state: AcceptorState

    def to_wire(self) -> WireMessage:
        return {"k": Kind.STATE_REPORT.value, "from": self.acceptor, "state": self.state.to_wire()}

    @classmethod
    def from_wire(cls, message: WireMessage) -> StateReport:
        return cls(read_name(message, "from"), AcceptorState.from_wire(message.get("state")))
