"""A limiter that decides by the agreed version, and by none without leases for it.

A lease counts from its request, on the limiter's own clock, and is checked when it is used: a process that
was stalled goes on in the middle of its own code, before any timer could tell it. It takes leases for one
version from a quorum of acceptors, none of which has expired.
"""

from __future__ import annotations

from scalelb.consensus.ballot import quorum_size
from scalelb.consensus.lease import LeaseTimes
from scalelb.consensus.messages import Decided, LeaseHolder, LeaseRequest, LeaseReturn
from scalelb.consensus.replies import replying_acceptor, request_number
from scalelb.consensus.wire import Kind, WireMessage, kind_of

MAX_PENDING_REQUESTS = 8  # replies to older ones are ignored


class Learner:
    """One incarnation of a limiter.  Times are ms of its own monotonic clock."""

    def __init__(self, name: str, incarnation: str, acceptors: tuple[str, ...], times: LeaseTimes) -> None:
        """`incarnation` must differ from that of every other learner, earlier ones of this name too."""
        self.name = name
        self.incarnation = incarnation
        self.acceptors = acceptors
        self.times = times
        self.version = 0  # what it decides by, while it holds the leases
        self.value = ""
        self.next_version = 0  # the newest that an acceptor told it of
        self.next_value = ""
        self.lease_ends_at: dict[str, float] = {}  # by acceptor, for `version`
        self.next_lease_ends_at: dict[str, float] = {}  # by acceptor, for `next_version`
        self.requested_at: dict[int, float] = {}  # by request number, the oldest first
        self.request_number = 0

    def permitted_version(self, now: float) -> int:
        """The version that it may decide by now; 0: by none."""
        self._advance_if_leased(now)
        return self.version if self._has_quorum(self.lease_ends_at, now) else 0

    def request_leases(self, now: float) -> WireMessage:
        """Begin a request for leases; returns the message to all acceptors."""
        self.request_number += 1
        self.requested_at[self.request_number] = now
        while len(self.requested_at) > MAX_PENDING_REQUESTS:
            del self.requested_at[next(iter(self.requested_at))]
        # Without leases for `version` it decides by none, and has given up all before the newest.
        given_up_before = self.next_version if not self.lease_ends_at else 0
        version = max(self.version, given_up_before)
        return LeaseRequest(self._holder(), self.request_number, version).to_wire()

    def receive(self, reply: WireMessage, now: float) -> WireMessage | None:
        """Take an acceptor's reply; returns the message to all acceptors that follows from it, if any.
        Raises `MalformedMessageError`."""
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
                # Returned at once: else the next version takes hold only once these leases have expired.
                self.lease_ends_at = {}
                message = LeaseReturn(self._holder(), self.request_number).to_wire()
        if kind is Kind.LEASE_GRANTED:
            self._take_lease(acceptor, decided.version, self.requested_at.get(request_number(reply)))
        self._advance_if_leased(now)
        return message

    def _take_lease(self, acceptor: str, version: int, requested_at: float | None) -> None:
        if requested_at is None:
            return  # the request was too long ago
        ends_at = requested_at + self.times.holder_lease_ms
        if version == self.next_version > self.version:
            leases = self.next_lease_ends_at
        elif version == self.version == max(self.version, self.next_version):
            leases = self.lease_ends_at
        else:
            return  # for a version whose leases were returned
        leases[acceptor] = max(ends_at, leases.get(acceptor, ends_at))

    def _advance_if_leased(self, now: float) -> None:
        """Decide by the next version from now on, if there is one and a quorum has granted leases for it."""
        if self._has_quorum(self.next_lease_ends_at, now) and self.next_version > self.version:
            self.version = self.next_version
            self.value = self.next_value
            self.lease_ends_at = self.next_lease_ends_at
            self.next_lease_ends_at = {}

    def _has_quorum(self, lease_ends_at: dict[str, float], now: float) -> bool:
        running = sum(ends_at > now for ends_at in lease_ends_at.values())
        return running >= quorum_size(len(self.acceptors))

    def _holder(self) -> LeaseHolder:
        return LeaseHolder(self.name, self.incarnation)
