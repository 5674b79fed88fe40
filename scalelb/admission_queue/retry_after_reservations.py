"""Retry-After reservations: when a tenant's rejected requests may retry, and the units reserved for them.

A reservation has a due time and reserves its units until a short grace period after that.  The due times of a
tenant's reservations are spaced by the rate at which its quota is refilled, so that a thousand rejections in
one second get a thousand different times.  A request that is marked as a retry redeems the oldest reservation
of its tenant that is due, whichever request that was made for: a retry through another limiter redeems a
reservation of that limiter.  Reservations that are not redeemed expire, which frees their units.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

MAX_EXAMINED = 8  # due reservations that are searched for one with the same number of units
MIN_WAIT_MS = 1.0


@dataclass(slots=True)
class Reservation:
    """Units that a tenant may redeem at a certain time.

    A reservation without units represents a rejection with the longest Retry-After allowed, which is earlier
    than the units will be available.  A retry at that time gets no units, and must not redeem the reservation
    of another request.
    """

    due_at: float
    units: float
    start_tag: float  # virtual time of the fair queue when the reservation was made
    has_units: bool = True


@dataclass(slots=True, eq=False)
class TenantReservations:
    """The reservations of one tenant, ordered by due time."""

    reservations: list[Reservation] = field(default_factory=list)
    reserved_units: float = 0.0


class RetryAfterReservations:
    """All reservations of one admission queue, at most `max_reservations`.

    A reservation may be redeemed from `early_ms` before its due time until `grace_ms` after it.
    """

    def __init__(self, max_reservations: int, early_ms: float, grace_ms: float) -> None:
        self.max_reservations = max_reservations
        self.early_ms = early_ms
        self.grace_ms = grace_ms
        self.by_tenant: dict[str, TenantReservations] = {}
        self.expiries: list[tuple[float, str]] = []  # a heap: when a reservation expires, and its tenant
        self.count = 0
        # Event counts; the keys are the names in the log.  `claimed`: redeemed; `lapsed`: expired; `beyond`:
        # the wait was longer than the longest one allowed; `full`: there were too many reservations.
        self.counts = {"made": 0, "claimed": 0, "lapsed": 0, "beyond": 0, "full": 0}

    def reserve(
        self,
        tenant: str,
        now: float,
        units: float,
        missing_units: float,
        rate_per_s: float,
        max_wait_ms: float,
        start_tag: float,
    ) -> tuple[float, bool]:
        """Reserve units for the time when the rate has covered the units that the tenant is missing, its
        earlier reservations and these units.

        Returns the wait in milliseconds and whether units are reserved.  If the wait would be longer than
        `max_wait_ms`, that is returned and no units are reserved.
        """
        entry = self.by_tenant.get(tenant)
        reserved_units = entry.reserved_units if entry else 0.0
        if rate_per_s > 0:
            wait_ms = 1000.0 * max(0.0, missing_units + reserved_units + units) / rate_per_s
        else:
            wait_ms = inf
        if entry and entry.reservations and rate_per_s > 0:
            # Without this, if the rate or the backlog has improved since the last reservation, all later
            # reservations would get the same due time.
            last_due_ms = entry.reservations[-1].due_at - now
            wait_ms = max(wait_ms, last_due_ms + 1000.0 * units / rate_per_s)
        wait_ms = max(MIN_WAIT_MS, wait_ms)
        has_units = wait_ms <= max_wait_ms
        wait_ms = min(wait_ms, max_wait_ms)
        if self.count >= self.max_reservations:
            self.counts["full"] += 1
            return wait_ms, False
        entry = entry or self.by_tenant.setdefault(tenant, TenantReservations())
        entry.reservations.append(Reservation(now + wait_ms, units, start_tag, has_units))
        self.count += 1
        if has_units:
            entry.reserved_units += units
            self.counts["made"] += 1
        else:
            self.counts["beyond"] += 1
        heappush(self.expiries, (now + wait_ms + self.grace_ms, tenant))
        return wait_ms, has_units

    def redeem(self, tenant: str, now: float, units: float) -> Reservation | None:
        """Redeem a reservation for a retry.

        Among the oldest reservations that are due, takes the first with the same number of units, or else the
        oldest.  Returns None if none is due or the one taken has no units."""
        entry = self.by_tenant.get(tenant)
        if entry is None or not entry.reservations:
            return None
        latest_due_at = now + self.early_ms
        if entry.reservations[0].due_at > latest_due_at:
            return None
        index = 0
        for candidate_index, candidate in enumerate(entry.reservations):
            if candidate.due_at > latest_due_at or candidate_index >= MAX_EXAMINED:
                break
            if candidate.units == units:
                index = candidate_index
                break
        reservation = entry.reservations.pop(index)
        self._remove_counts(tenant, entry, reservation)
        if not reservation.has_units:
            return None
        self.counts["claimed"] += 1
        return reservation

    def reserved(self, tenant: str, now: float) -> tuple[float, float, float]:
        """Return the reserved units of a tenant's reservations that are due, those of all its reservations,
        and the time when the last one is due."""
        entry = self.by_tenant.get(tenant)
        if entry is None or not entry.reservations:
            return 0.0, 0.0, now
        due_units = 0.0
        for reservation in entry.reservations:
            if reservation.due_at > now + self.early_ms:
                break
            if reservation.has_units:
                due_units += reservation.units
        return due_units, entry.reserved_units, entry.reservations[-1].due_at

    def units_due_before(self, tenant: str, until: float) -> float:
        """Return the units of a tenant's reservations due by `until`, estimated by their number: O(log n)."""
        entry = self.by_tenant.get(tenant)
        if entry is None:
            return 0.0
        count = bisect_right(entry.reservations, until, key=lambda reservation: reservation.due_at)
        return entry.reserved_units * count / len(entry.reservations)

    def expire(self, now: float) -> None:
        """Remove the reservations whose grace period has ended."""
        while self.expiries and self.expiries[0][0] <= now:
            _, tenant = heappop(self.expiries)
            entry = self.by_tenant.get(tenant)
            while entry and entry.reservations and entry.reservations[0].due_at + self.grace_ms <= now:
                expired = entry.reservations.pop(0)
                self._remove_counts(tenant, entry, expired)
                if expired.has_units:
                    self.counts["lapsed"] += 1

    def _remove_counts(self, tenant: str, entry: TenantReservations, reservation: Reservation) -> None:
        self.count -= 1
        if reservation.has_units:
            entry.reserved_units -= reservation.units
        if not entry.reservations:
            del self.by_tenant[tenant]
