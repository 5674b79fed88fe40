"""An acceptor, which votes on the next version and grants leases for the newest decided one.

There is one decree for each version (Lamport, 1998; for a single register as in CASPaxos, Rystsov, 2018).
Only the newest decided version and the promise and accepted value for the version after it are stored. The
acceptor saves its state before it replies.

Leases (Gray and Cheriton, 1989) ensure that no limiter still uses an older version when the next one comes
into use. An acceptor grants leases for one version at a time, the newest that it knows to be decided. It
starts to grant leases for the next version only when all leases for older versions have expired or were
returned. It saves the number of the version, but not the leases: after a crash, a new incarnation waits until
every lease that may have been granted has expired before it grants leases for a later version.

An acceptor whose store was lost does not vote, because it may have made promises that it no longer knows. It
asks the other acceptors for their states. When `reports_needed` of them have replied, each past quorum has a
member among them, so the acceptor can restore a state that covers all its promises. It then waits as after a
crash.
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

MAX_LEASES = 512  # held at the same time; bounds the memory
RETURNED_LEASE_EXPIRES_AT = float("-inf")  # always in the past


class StateStore(Protocol):
    """Stores an acceptor's state so that it survives a crash."""

    def load(self) -> dict[str, Any] | None:
        """Returns the state that was saved last, or None if there is none."""

    def save(self, state: dict[str, Any]) -> None:
        """Saves the state atomically and returns once it is on disk."""


@dataclass(slots=True)
class GrantedLease:
    """A lease that was granted to a learner."""

    expires_at: float
    request_number: int  # the number of the holder's request
    version: int


@dataclass
class Acceptor:
    """One incarnation of one acceptor.

    Times are in milliseconds of its own monotonic clock.
    """

    name: str
    acceptors: tuple[str, ...]  # the names of all acceptors, including this one
    store: StateStore
    times: LeaseTimes
    started_at: float
    is_new_register: bool = False  # at the first use of the register: an empty store is no lost state
    state: AcceptorState = field(default_factory=AcceptorState)
    leases: dict[str, GrantedLease] = field(default_factory=dict)  # by the holder's key
    reported_states: dict[str, AcceptorState] = field(default_factory=dict)  # by acceptor, during recovery

    def __post_init__(self) -> None:
        saved = self.store.load()
        self.has_lost_state = saved is None and not self.is_new_register
        if saved is not None:
            self.state = AcceptorState.from_wire(saved)
        elif self.is_new_register:
            self._save()
        # Leases granted by an earlier incarnation are unknown and may be in use until then.
        self.earlier_leases_end_at = self.started_at + self.times.acceptor_lease_ms

    @property
    def reports_needed(self) -> int:
        """How many other acceptors have to report before one with lost state votes again."""
        return len(self.acceptors) - quorum_size(len(self.acceptors)) + 1

    def receive(self, message: WireMessage, now: float) -> WireMessage:
        """Processes one message and returns the reply.

        The reply may be sent at once, because the state that it reports has been saved. Raises
        `MalformedMessageError` if the message is invalid; the state is unchanged then.
        """
        kind = kind_of(message)
        if kind is Kind.STATE_REPORT:
            return self._receive_state_report(StateReport.from_wire(message)).to_wire()
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
            return self._release_lease(LeaseReturn.from_wire(message))
        raise MalformedMessageError(f"k: unknown kind of request {str(message.get('k'))[:20]!r}")

    # Promises and accepted values

    def _promise(self, request: Prepare) -> Promise | Rejected:
        # A proposer prepares a version only if it knows that the previous one is decided.
        self._learn(Decided(request.version - 1, request.previous_value))
        if not self._is_acceptable(request.version, request.ballot):
            return self._reject(request.ballot)
        state = self.state
        if request.ballot > state.promised_ballot:
            state.promised_ballot = request.ballot
            self._save()
        return Promise(
            self.name, self._decided(), request.ballot, state.accepted_ballot, state.accepted_value
        )

    def _accept(self, request: Accept) -> Accepted | Rejected:
        if not self._is_acceptable(request.version, request.ballot):
            return self._reject(request.ballot)
        state = self.state
        state.promised_ballot = request.ballot
        state.accepted_ballot = request.ballot
        state.accepted_value = request.value
        self._save()
        return Accepted(self.name, self._decided(), request.ballot)

    def _is_acceptable(self, version: int, ballot: Ballot) -> bool:
        return version == self.state.decided_version + 1 and ballot >= self.state.promised_ballot

    def _reject(self, ballot: Ballot) -> Rejected:
        return Rejected(self.name, self._decided(), ballot, self.state.promised_ballot)

    def _learn(self, decided: Decided) -> Acknowledged:
        """Records a decided version. Versions that were missed in between are skipped."""
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
        """Grants a lease for the newest decided version, unless leases for older ones may be in use."""
        state = self.state
        holder = request.holder.key
        number = request.request_number
        lease = self.leases.get(holder)
        if lease is not None and number <= lease.request_number:
            return LeaseRequestOutdated(self.name, self._decided(), NO_BALLOT, number)
        if lease is not None and lease.version < state.decided_version <= request.version:
            del self.leases[holder]  # the holder already uses the newest version
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

    def _release_lease(self, returned: LeaseReturn) -> Acknowledged:
        lease = self.leases.get(returned.holder.key)
        if lease is not None and lease.request_number <= returned.request_number:
            lease.expires_at = RETURNED_LEASE_EXPIRES_AT
        return Acknowledged(self.name, self._decided(), NO_BALLOT)

    def drop_expired_leases(self, now: float) -> None:
        """Removes expired leases, to bound the memory."""
        for holder in [holder for holder, lease in self.leases.items() if lease.expires_at <= now]:
            del self.leases[holder]

    # Recovery of lost state

    def _receive_state_report(self, report: StateReport) -> BriefReply:
        if self.has_lost_state and report.acceptor in self.acceptors and report.acceptor != self.name:
            self.reported_states[report.acceptor] = report.state
            if len(self.reported_states) >= self.reports_needed:
                self._adopt_reported_states()
        kind = Kind.STATE_LOST if self.has_lost_state else Kind.ACKNOWLEDGED
        return BriefReply(kind, self.name)

    def _adopt_reported_states(self) -> None:
        """Restores a state that covers all promises that this acceptor may have made.

        It consists of the newest decided version and the greatest ballots for the version after it.
        """
        newest = max(self.reported_states.values(), key=lambda state: state.decided_version)
        newest_states = [
            state
            for state in self.reported_states.values()
            if state.decided_version == newest.decided_version
        ]
        last_accepted = max(newest_states, key=lambda state: state.accepted_ballot)
        self.state = AcceptorState(
            decided_version=newest.decided_version,
            decided_value=newest.decided_value,
            promised_ballot=max(state.promised_ballot for state in newest_states),
            accepted_ballot=last_accepted.accepted_ballot,
            accepted_value=last_accepted.accepted_value,
            # Leases granted by this acceptor for an older version have to expire first, whatever the others
            # have granted.
            leased_version=0,
        )
        self._save()
        self.has_lost_state = False
        self.reported_states.clear()

    def _save(self) -> None:
        self.store.save(self.state.to_wire())
