"""An acceptor: what it has promised and accepted for the next version, which version it knows to be decided,
and the leases that it has granted.

There is one decree for each version (Lamport, 1998; of a single register as in CASPaxos, Rystsov, 2018), of
which only the newest decided one and the one after it are kept. The acceptor saves its state before it
replies.

Leases are the other half (Gray and Cheriton, 1989). An acceptor grants them for one version at a time, the
newest that it knows to be decided, and goes on to the next only once all leases for older ones have expired
or were returned. It saves the number of that version and forgets the leases in a crash, by rule: a new
incarnation waits for as long as any lease can be out before it goes on to a later version.

An acceptor whose store is gone does not vote: whoever answers for it may have promised what it can't know. It
asks the others, and once `reports_needed` of them have reported their states, so that each past quorum has a
member among them, it holds no less than it may have promised; it then waits as after a crash.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from scalelb.consensus.ballot import NO_BALLOT, Ballot, quorum_size
from scalelb.consensus.lease import LeaseTimes
from scalelb.consensus.messages import (
    Accept,
    AcceptorState,
    Decided,
    LeaseRequest,
    LeaseReturn,
    Prepare,
    StateReport,
)
from scalelb.consensus.replies import (
    Accepted,
    Acknowledged,
    BriefReply,
    LeaseDeferred,
    LeaseGranted,
    LeaseRequestOutdated,
    Promise,
    Rejected,
    Reply,
)
from scalelb.consensus.wire import Kind, MalformedMessageError, WireMessage, kind_of

MAX_LEASES = 512  # out at once; bounds the memory
RETURNED_AT = float("-inf")  # when a returned lease expired: always in the past


class StateStore(Protocol):
    """Keeps an acceptor's state across crashes."""

    def load(self) -> dict[str, Any] | None:
        """The state that was saved last; None where there is none."""

    def save(self, state: dict[str, Any]) -> None:
        """Save the state, whole or not at all; returns once it is on the disk."""


@dataclass(slots=True)
class GrantedLease:
    """A lease that is out."""

    expires_at: float
    request_number: int  # the holder's request that it answered
    version: int


@dataclass
class Acceptor:
    """One incarnation of one acceptor.  Times are ms of its own monotonic clock."""

    name: str
    acceptors: tuple[str, ...]  # the names of all
    store: StateStore
    times: LeaseTimes
    started_at: float
    is_new_register: bool = False  # the register is being made: an empty store is no lost one
    state: AcceptorState = field(default_factory=AcceptorState)
    leases: dict[str, GrantedLease] = field(default_factory=dict)  # by the holder's key
    reported_states: dict[str, AcceptorState] = field(default_factory=dict)  # while its own is lost

    def __post_init__(self) -> None:
        saved = self.store.load()
        self.has_lost_state = saved is None and not self.is_new_register
        if saved is not None:
            self.state = AcceptorState.from_wire(saved)
        elif self.is_new_register:
            self._save()
        # Leases of an earlier incarnation are forgotten and may still be in use until then.
        self.earlier_leases_end_at = self.started_at + self.times.acceptor_lease_ms

    @property
    def reports_needed(self) -> int:
        """How many others have to report before an acceptor without its store votes again."""
        return len(self.acceptors) - quorum_size(len(self.acceptors)) + 1

    def receive(self, message: WireMessage, now: float) -> WireMessage:
        """Take one message and return the reply, which may be sent at once: all that it says is in the store.
        Raises `MalformedMessageError`, with nothing changed."""
        kind = kind_of(message)
        if kind is Kind.STATE_REPORT:
            return self._take_state_report(StateReport.from_wire(message)).to_wire()
        if self.has_lost_state:
            return BriefReply(Kind.STATE_LOST, self.name).to_wire()
        if kind is Kind.STATE_REQUEST:
            return StateReport(self.name, self.state).to_wire()
        return self._reply(kind, message, now).to_wire()

    def _reply(self, kind: Kind | None, message: WireMessage, now: float) -> Reply:
        if kind is Kind.PREPARE:
            return self._promise(Prepare.from_wire(message))
        if kind is Kind.ACCEPT:
            return self._accept(Accept.from_wire(message))
        if kind is Kind.DECIDED:
            return self._learn(Decided.from_wire(message))
        if kind is Kind.LEASE_REQUEST:
            return self._grant_lease(LeaseRequest.from_wire(message), now)
        if kind is Kind.LEASE_RETURN:
            return self._take_back_lease(LeaseReturn.from_wire(message))
        raise MalformedMessageError(f"k: no request is of the kind {str(message.get('k'))[:20]!r}")

    # The register

    def _promise(self, request: Prepare) -> Promise | Rejected:
        # A proposer asks for a version only if it knows the one before to be decided.
        self._learn(Decided(request.version - 1, request.previous_value))
        if not self._may_take(request.version, request.ballot):
            return self._reject(request.ballot)
        state = self.state
        if request.ballot > state.promised_ballot:
            state.promised_ballot = request.ballot
            self._save()
        return Promise(
            self.name, self._decided(), request.ballot, state.accepted_ballot, state.accepted_value
        )

    def _accept(self, request: Accept) -> Accepted | Rejected:
        if not self._may_take(request.version, request.ballot):
            return self._reject(request.ballot)
        state = self.state
        state.promised_ballot = request.ballot
        state.accepted_ballot = request.ballot
        state.accepted_value = request.value
        self._save()
        return Accepted(self.name, self._decided(), request.ballot)

    def _may_take(self, version: int, ballot: Ballot) -> bool:
        return version == self.state.decided_version + 1 and ballot >= self.state.promised_ballot

    def _reject(self, ballot: Ballot) -> Rejected:
        return Rejected(self.name, self._decided(), ballot, self.state.promised_ballot)

    def _learn(self, decided: Decided) -> Acknowledged:
        """A version is decided.  One that was missed is learnt with the newest."""
        state = self.state
        if decided.version > state.decided_version:
            state.decided_version = decided.version
            state.decided_value = decided.value
            state.promised_ballot = NO_BALLOT
            state.accepted_ballot = NO_BALLOT
            state.accepted_value = ""
            self._save()
        return Acknowledged(self.name, self._decided(), NO_BALLOT)

    def _decided(self) -> Decided:
        return Decided(self.state.decided_version, self.state.decided_value)

    # Leases

    def _grant_lease(
        self, request: LeaseRequest, now: float
    ) -> LeaseGranted | LeaseDeferred | LeaseRequestOutdated:
        """Grant a lease for the newest decided version, unless leases for older ones may be out."""
        state = self.state
        holder = request.holder.key
        number = request.request_number
        lease = self.leases.get(holder)
        if lease is not None and number <= lease.request_number:
            return LeaseRequestOutdated(self.name, self._decided(), NO_BALLOT, number)
        if lease is not None and lease.version < state.decided_version <= request.version:
            del self.leases[holder]  # it decides by the newest version: it has given the older one up
        older_leases = [other for other in self.leases.values() if other.version < state.decided_version]
        older_leases_end_at = [other.expires_at for other in older_leases if other.expires_at > now]
        if state.leased_version < state.decided_version:
            older_leases_end_at.append(self.earlier_leases_end_at)
        wait_ms = max((expires_at - now for expires_at in older_leases_end_at), default=0.0)
        if not state.decided_version or wait_ms > 0:
            return self._defer_lease(number, round(max(1.0, wait_ms)))
        if len(self.leases) >= MAX_LEASES and holder not in self.leases:
            self.drop_expired_leases(now)
            if len(self.leases) >= MAX_LEASES:
                return self._defer_lease(number, round(self.times.acceptor_lease_ms))
        if state.leased_version < state.decided_version:
            state.leased_version = state.decided_version
            self._save()
        expires_at = now + self.times.acceptor_lease_ms
        self.leases[holder] = GrantedLease(expires_at, number, state.decided_version)
        return LeaseGranted(self.name, self._decided(), NO_BALLOT, number)

    def _defer_lease(self, request_number: int, retry_after_ms: int) -> LeaseDeferred:
        return LeaseDeferred(self.name, self._decided(), NO_BALLOT, request_number, retry_after_ms)

    def _take_back_lease(self, returned: LeaseReturn) -> Acknowledged:
        lease = self.leases.get(returned.holder.key)
        if lease is not None and lease.request_number <= returned.request_number:
            lease.expires_at = RETURNED_AT
        return Acknowledged(self.name, self._decided(), NO_BALLOT)

    def drop_expired_leases(self, now: float) -> None:
        """Bounds the memory: expired leases are forgotten."""
        for holder in [holder for holder, lease in self.leases.items() if lease.expires_at <= now]:
            del self.leases[holder]

    # A store that is gone

    def _take_state_report(self, report: StateReport) -> BriefReply:
        if self.has_lost_state and report.acceptor in self.acceptors and report.acceptor != self.name:
            self.reported_states[report.acceptor] = report.state
            if len(self.reported_states) >= self.reports_needed:
                self._adopt_reported_states()
        kind = Kind.STATE_LOST if self.has_lost_state else Kind.ACKNOWLEDGED
        return BriefReply(kind, self.name)

    def _adopt_reported_states(self) -> None:
        """No less than may have been promised: the newest version, and the greatest ballots for the one after
        it."""
        newest = max(self.reported_states.values(), key=lambda state: state.decided_version)
        at_newest = [
            state
            for state in self.reported_states.values()
            if state.decided_version == newest.decided_version
        ]
        last_accepted = max(at_newest, key=lambda state: state.accepted_ballot)
        self.state = AcceptorState(
            decided_version=newest.decided_version,
            decided_value=newest.decided_value,
            promised_ballot=max(state.promised_ballot for state in at_newest),
            accepted_ballot=last_accepted.accepted_ballot,
            accepted_value=last_accepted.accepted_value,
            # Its own leases for an older version have to expire first, whatever the others granted.
            leased_version=0,
        )
        self._save()
        self.has_lost_state = False
        self.reported_states.clear()

    def _save(self) -> None:
        self.store.save(self.state.to_wire())
