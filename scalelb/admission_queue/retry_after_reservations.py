"""Reservations behind Retry-After: which tenant was told to come back when, and what is held back for it.

A reservation names a time and holds back its units until a short grace period after it.  A tenant's
reservations follow one another by the rate at which its quota is refilled, so that a thousand rejections in
one second get a thousand different times.  A request that is marked as a retry redeems the oldest reservation
of its tenant that is due, not one by name: a retry through another limiter takes what a request there left.
What is not redeemed expires, and its units are free again.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

MAX_EXAMINED = 8  # due reservations that are searched for one of as many units
MIN_WAIT_MS = 1.0


@dataclass(slots=True)
class Reservation:
    """Units that a tenant may redeem at a time.

    One that does not hold units was only told a time, the longest allowed: a retry at that time redeems
    nothing, and must not take another's reservation.
    """

    due_at: float
    units: float
    start_tag: float  # virtual time of the fair queue when it was made
    holds_units: bool = True


@dataclass(slots=True, eq=False)
class TenantReservations:
    """The reservations of one tenant, in the order of their times."""

    reservations: list[Reservation] = field(default_factory=list)
    held_units: float = 0.0


class RetryAfterReservations:
    """All reservations of one admission queue: at most `max_reservations`.

    A reservation may be redeemed from `early_ms` before its time until `grace_ms` after it.
    """

    def __init__(self, max_reservations: int, early_ms: float, grace_ms: float) -> None:
        self.max_reservations = max_reservations
        self.early_ms = early_ms
        self.grace_ms = grace_ms
        self.by_tenant: dict[str, TenantReservations] = {}
        self.expiries: list[tuple[float, str]] = []  # a heap: when a reservation expires, and whose it is
        self.count = 0
        # Counts under their names in the log.  `beyond`: the honest time was longer than the longest allowed;
        # `full`: there was no room for a reservation.
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
        """Reserve units at the time when the rate has covered what the tenant is missing, all its earlier
        reservations and these units.

        Returns the wait in milliseconds and whether units are held for it.  Beyond `max_wait_ms` that is all
        that may be told, and no units are held.
        """
        account = self.by_tenant.get(tenant)
        held_units = account.held_units if account else 0.0
        if rate_per_s > 0:
            wait_ms = 1000.0 * max(0.0, missing_units + held_units + units) / rate_per_s
        else:
            wait_ms = inf
        if account and account.reservations and rate_per_s > 0:
            # Where the rate or the backlog has improved since the last reservation, all later ones would
            # else be told the same time.
            last_due_ms = account.reservations[-1].due_at - now
            wait_ms = max(wait_ms, last_due_ms + 1000.0 * units / rate_per_s)
        wait_ms = max(MIN_WAIT_MS, wait_ms)
        holds_units = wait_ms <= max_wait_ms
        wait_ms = min(wait_ms, max_wait_ms)
        if self.count >= self.max_reservations:
            self.counts["full"] += 1
            return wait_ms, False
        account = account or self.by_tenant.setdefault(tenant, TenantReservations())
        account.reservations.append(Reservation(now + wait_ms, units, start_tag, holds_units))
        self.count += 1
        if holds_units:
            account.held_units += units
            self.counts["made"] += 1
        else:
            self.counts["beyond"] += 1
        heappush(self.expiries, (now + wait_ms + self.grace_ms, tenant))
        return wait_ms, holds_units

    def redeem(self, tenant: str, now: float, units: float) -> Reservation | None:
        """Take a reservation for a retry: of the oldest that are due the first of as many units, or else the
        oldest.  Nothing where none is due, or where that one holds no units."""
        account = self.by_tenant.get(tenant)
        if account is None or not account.reservations:
            return None
        latest_due_at = now + self.early_ms
        if account.reservations[0].due_at > latest_due_at:
            return None
        index = 0
        for candidate_index, candidate in enumerate(account.reservations):
            if candidate.due_at > latest_due_at or candidate_index >= MAX_EXAMINED:
                break
            if candidate.units == units:
                index = candidate_index
                break
        reservation = account.reservations.pop(index)
        self._remove_counts(tenant, account, reservation)
        if not reservation.holds_units:
            return None
        self.counts["claimed"] += 1
        return reservation

    def held(self, tenant: str, now: float) -> tuple[float, float, float]:
        """Units held for reservations that are due by now, for all, and the time when the last is due."""
        account = self.by_tenant.get(tenant)
        if account is None or not account.reservations:
            return 0.0, 0.0, now
        due_units = 0.0
        for reservation in account.reservations:
            if reservation.due_at > now + self.early_ms:
                break
            if reservation.holds_units:
                due_units += reservation.units
        return due_units, account.held_units, account.reservations[-1].due_at

    def units_due_before(self, tenant: str, until: float) -> float:
        """Units held for a tenant's reservations before a time, estimated by their number: O(log n)."""
        account = self.by_tenant.get(tenant)
        if account is None:
            return 0.0
        count = bisect_right(account.reservations, until, key=lambda reservation: reservation.due_at)
        return account.held_units * count / len(account.reservations)

    def expire(self, now: float) -> None:
        """Remove the reservations whose grace period is over."""
        while self.expiries and self.expiries[0][0] <= now:
            _, tenant = heappop(self.expiries)
            account = self.by_tenant.get(tenant)
            while account and account.reservations and account.reservations[0].due_at + self.grace_ms <= now:
                expired = account.reservations.pop(0)
                self._remove_counts(tenant, account, expired)
                if expired.holds_units:
                    self.counts["lapsed"] += 1

    def _remove_counts(self, tenant: str, account: TenantReservations, reservation: Reservation) -> None:
        self.count -= 1
        if reservation.holds_units:
            account.held_units -= reservation.units
        if not account.reservations:
            del self.by_tenant[tenant]
