"""A limiter that decides requests by the decided policy version, and only while it holds leases for it.

A lease is measured from its request on the limiter's own clock. It is checked each time it is used, because a
process that was stalled resumes in the middle of its code, before any timer runs. A version may be used while
a quorum of acceptors has granted leases for it that have not expired.
"""

from __future__ import annotations

from scalelb.consensus.ballot import quorum_size
from scalelb.consensus.lease import LeaseTimes
from scalelb.consensus.messages import Decided, LeaseHolder, LeaseRequest, LeaseReturn
from scalelb.consensus.replies import replying_acceptor, request_number
from scalelb.consensus.wire import Kind, WireMessage, kind_of

MAX_PENDING_REQUESTS = 8  # replies to older ones are ignored


class Learner:
    """One incarnation of a limiter.

    Times are in milliseconds of its own monotonic clock.
    """

    def __init__(self, name: str, incarnation: str, acceptors: tuple[str, ...], times: LeaseTimes) -> None:
        """Creates a learner; `incarnation` must be unique among all learners, past and present."""
        self.name = name
        self.incarnation = incarnation
        self.acceptors = acceptors
        self.times = times
        self.version = 0  # the version in use, while a quorum of its leases is valid
        self.value = ""
        self.next_version = 0  # the newest version that an acceptor has reported
        self.next_value = ""
        self.lease_ends_at: dict[str, float] = {}  # by acceptor, for `version`
        self.next_lease_ends_at: dict[str, float] = {}  # by acceptor, for `next_version`
        self.requested_at: dict[int, float] = {}  # by request number, oldest first
        self.request_number = 0

    def permitted_version(self, now: float) -> int:
        """Returns the version that may be used now, or 0 if there is none."""
        self._advance_if_leased(now)
        return self.version if self._has_quorum(self.lease_ends_at, now) else 0

    def request_leases(self, now: float) -> WireMessage:
        """Starts a request for leases and returns the message to all acceptors."""
        self.request_number += 1
        self.requested_at[self.request_number] = now
        while len(self.requested_at) > MAX_PENDING_REQUESTS:
            del self.requested_at[next(iter(self.requested_at))]
        # Without leases for `version`, all versions before the newest one have been given up.
        given_up_before = self.next_version if not self.lease_ends_at else 0
        version = max(self.version, given_up_before)
        return LeaseRequest(self._holder(), self.request_number, version).to_wire()

    def receive(self, reply: WireMessage, now: float) -> WireMessage | None:
        """Processes an acceptor's reply and returns the resulting message to all acceptors, if any.

        Raises `MalformedMessageError` if the reply is invalid.
        """
        acceptor = replying_acceptor(reply)
        kind = kind_of(reply)
        if acceptor not in self.acceptors or kind is Kind.STATE_LOST:
            return None
        decided = Decided.from_wire(reply)
        message = None
        if decided.version > max(self.next_version, self.version):
            self.next_version = decided.version
            self.next_value = decided.value
            self.next_lease_ends_at = {}
            if self.lease_ends_at:
                # Returned at once: otherwise the next version could be used only after these leases expire.
                self.lease_ends_at = {}
                message = LeaseReturn(self._holder(), self.request_number).to_wire()
        if kind is Kind.LEASE_GRANTED:
            self._record_lease(acceptor, decided.version, self.requested_at.get(request_number(reply)))
        self._advance_if_leased(now)
        return message

    def _record_lease(self, acceptor: str, version: int, requested_at: float | None) -> None:
        if requested_at is None:
            return  # the reply is too late: its request is no longer pending
        ends_at = requested_at + self.times.holder_lease_ms
        if version == self.next_version > self.version:
            leases = self.next_lease_ends_at
        elif version == self.version == max(self.version, self.next_version):
            leases = self.lease_ends_at
        else:
            return  # a lease for a version that is no longer used
        leases[acceptor] = max(ends_at, leases.get(acceptor, ends_at))

    def _advance_if_leased(self, now: float) -> None:
        """Switches to the next version if there is one and a quorum has granted leases for it."""
        if self._has_quorum(self.next_lease_ends_at, now) and self.next_version > self.version:
            self.version = self.next_version
            self.value = self.next_value
            self.lease_ends_at = self.next_lease_ends_at
            self.next_lease_ends_at = {}

    def _has_quorum(self, lease_ends_at: dict[str, float], now: float) -> bool:
        valid_leases = sum(ends_at > now for ends_at in lease_ends_at.values())
        return valid_leases >= quorum_size(len(self.acceptors))

    def _holder(self) -> LeaseHolder:
        return LeaseHolder(self.name, self.incarnation)
